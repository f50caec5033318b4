//! `hierarchy()` and `node()`, and the arguments that they share with the functions of changes.

use linnethook_hierarchy::change_spec::{NodeSpec, SourceSpec};
use linnethook_hierarchy::{HierarchyConfig, Role};
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::list::ListRef;
use starlark::values::none::NoneType;
use starlark::values::tuple::TupleRef;
use starlark::values::Value;

use super::{set_once, HierarchyCall, Located};
use crate::arguments::{Arguments, KeywordValues, NumberKind};
use crate::evaluation::{call_position, with_collected};
use crate::parameters;

/// The author number if the file sets none.
const DEFAULT_AUTHOR: f64 = 1.0;
/// The site of a node without the argument `site`.
const NO_SITE: &str = "-";

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// Turns on the hierarchy.
    fn hierarchy<'v>(
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("hierarchy()", values);
        let mut parameters = HierarchyConfig::default();
        arguments.parameters(parameters::hierarchy::PARAMETERS, &mut parameters)?;
        parameters.rollout_enabled = arguments.flag("staged", parameters.rollout_enabled)?;
        parameters.shield_enabled = arguments.flag("shielded", parameters.shield_enabled)?;
        let extended = arguments.flag("extended", false)?;
        let author = arguments.number("author", 1.0..=32_767.0, NumberKind::Integer)?;
        arguments.finish()?;
        let author = author.unwrap_or(DEFAULT_AUTHOR) as u16;
        let position = call_position(eval);
        let call = HierarchyCall { author, extended, parameters };
        with_collected(|calls| set_once(&mut calls.hierarchy, position, "hierarchy()", call))?;
        Ok(NoneType)
    }

    /// Defines a node of the hierarchy.
    fn node<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] values: KeywordValues<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let value = node_spec(Arguments::new("node()", values), name)?;
        let position = call_position(eval);
        with_collected(|calls| {
            calls.nodes.push(Located { position, value });
            Ok(())
        })?;
        Ok(NoneType)
    }
}

/// Reads all arguments of a node: `role`, `site`, `tier`, `capacity`, `retiring` and `sources`.
pub(super) fn node_spec<'v>(mut arguments: Arguments<'v>, name: Value<'v>) -> anyhow::Result<NodeSpec> {
    let name = arguments.name_value("name", name)?;
    let roles = [("cache", Role::Cache), ("parent", Role::Parent), ("origin", Role::Origin)];
    let role = arguments.one_of("role", &roles)?.unwrap_or(Role::Cache);
    let site = match arguments.take("site") {
        Some(value) => arguments.name_value("site", value)?,
        None => NO_SITE.to_string(),
    };
    let tier = arguments.number("tier", 0.0..=255.0, NumberKind::Integer)?;
    let capacity = arguments.number("capacity", 1e-3..=1e9, NumberKind::Real)?.unwrap_or(1.0);
    let retiring = arguments.flag("retiring", false)?;
    let sources = sources(&mut arguments)?;
    arguments.finish()?;
    let tier = tier.map_or(default_tier(role), |tier| tier as u8);
    Ok(NodeSpec { name, role, site, tier, capacity, retiring, sources })
}

fn default_tier(role: Role) -> u8 {
    match role {
        Role::Cache => 0,
        Role::Parent => 1,
        Role::Origin => 255,
    }
}

/// Reads the argument `sources`: `["a", "b"]` for ranks 0 and 1, or `[("a", 0), ("b", 0)]`. The result is
/// sorted by rank, then name.
pub(super) fn sources(arguments: &mut Arguments) -> anyhow::Result<Vec<SourceSpec>> {
    const EXPECTED: &str = "a list of names, or of (name, rank) with a rank from 0 to 65535";
    let Some(value) = arguments.take("sources") else { return Ok(Vec::new()) };
    let Some(list) = ListRef::from_value(value) else {
        return Err(arguments.invalid_value("sources", EXPECTED, value));
    };
    let mut sources = Vec::new();
    for (index, item) in list.iter().enumerate() {
        let Ok(default_rank) = u16::try_from(index) else {
            return Err(arguments.invalid_value("sources", EXPECTED, value));
        };
        let source = match TupleRef::from_value(item).map(TupleRef::content) {
            Some([name, rank]) => {
                let ranks = 0.0..=f64::from(u16::MAX);
                let rank = arguments.number_value("sources", *rank, ranks, NumberKind::Integer, EXPECTED)?;
                SourceSpec { name: arguments.name_value("sources", *name)?, rank: rank as u16 }
            }
            Some(_) => return Err(arguments.invalid_value("sources", EXPECTED, item)),
            None => SourceSpec { name: arguments.name_value("sources", item)?, rank: default_rank },
        };
        sources.push(source);
    }
    sources.sort_by(|a, b| (a.rank, &a.name).cmp(&(b.rank, &b.name)));
    Ok(sources)
}
