//! The functions of a file of hierarchy changes: `add()`, `remove()`, `move()`, `replace()`, `rerank()` and
//! `retire()`.

use linnethook_hierarchy::change_spec::ChangeSpec;
use starlark::environment::GlobalsBuilder;
use starlark::starlark_module;
use starlark::values::none::NoneType;
use starlark::values::Value;

use super::hierarchy::{node_spec, sources};
use crate::arguments::{Arguments, KeywordValues};
use crate::evaluation::with_collected;

fn collect(change: ChangeSpec) -> anyhow::Result<NoneType> {
    with_collected(|calls| {
        calls.changes.push(change);
        Ok(())
    })?;
    Ok(NoneType)
}

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Adds a new node.
    fn add<'v>(name: Value<'v>, #[starlark(kwargs)] values: KeywordValues<'v>) -> anyhow::Result<NoneType> {
        let spec = node_spec(Arguments::new("add()", values), name)?;
        collect(ChangeSpec::Add(spec))
    }

    /// Removes a node that is not the source of another.
    fn remove<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
    ) -> anyhow::Result<NoneType> {
        let arguments = Arguments::new("remove()", values);
        let node = arguments.name_value("name", name)?;
        arguments.finish()?;
        collect(ChangeSpec::Remove { node })
    }

    /// Moves a node to another site; `sources` are its fill sources there.
    fn r#move<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("move()", values);
        let node = arguments.name_value("name", name)?;
        let site = arguments.take("site").ok_or_else(|| anyhow::anyhow!("move(): site is missing"))?;
        let site = arguments.name_value("site", site)?;
        let sources = sources(&mut arguments)?;
        arguments.finish()?;
        collect(ChangeSpec::Move { node, site, sources })
    }

    /// Adds a new node in place of an old one, which retires.
    fn replace<'v>(
        old: Value<'v>,
        new: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
    ) -> anyhow::Result<NoneType> {
        let arguments = Arguments::new("replace()", values);
        let old = arguments.name_value("old", old)?;
        let new = node_spec(arguments, new)?;
        collect(ChangeSpec::Replace { old, new })
    }

    /// Changes the sources of a node.
    fn rerank<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("rerank()", values);
        let node = arguments.name_value("name", name)?;
        let sources = sources(&mut arguments)?;
        arguments.finish()?;
        collect(ChangeSpec::Rerank { node, sources })
    }

    /// Retires a node, or with `retiring = False` cancels its retirement.
    fn retire<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("retire()", values);
        let node = arguments.name_value("name", name)?;
        let retiring = arguments.flag("retiring", true)?;
        arguments.finish()?;
        collect(ChangeSpec::Retire { node, retiring })
    }
}
