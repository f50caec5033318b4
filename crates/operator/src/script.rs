//! Owns the functions of the file, and its evaluation.
//!
//! Must never read another file, run past its bounds, or let a value through that was not checked.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linnethook_audit::audit_log::AuditLogConfig;
use linnethook_gateway::gateway::Rules as GatewayRules;
use linnethook_hierarchy::change_spec::{ChangeSpec, NodeSpec, SourceSpec};
use linnethook_hierarchy::{HierarchyConfig, Role};
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::straggler::StragglerConfig;
use serde::{Deserialize, Serialize};
use starlark::collections::SmallMap;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::list::ListRef;
use starlark::values::none::NoneType;
use starlark::values::tuple::TupleRef;
use starlark::values::Value;

use crate::arguments::Arguments;
use crate::knobs::audit::straggler::STRAGGLER;
use crate::knobs::audit::AUDIT;
use crate::knobs::fellows::FELLOWS;
use crate::knobs::gateway::GATEWAY;
use crate::knobs::HIERARCHY;
use crate::{Bounds, Wrong};

thread_local! {
    /// What the file under evaluation has collected. The evaluator's own place for it asks for an unsafe impl.
    static COLLECTED: RefCell<Option<Parts>> = const { RefCell::new(None) };
}

/// A line and a column, both from 1 on.
pub type At = (usize, usize);

/// What the functions of a file have collected, with the places of their calls.
#[derive(Debug, Default)]
pub struct Parts {
    pub control: Option<(At, String)>,
    pub log: Option<(At, Log)>,
    pub watch: Option<(At, WatchPart)>,
    pub hierarchy: Option<(At, HierarchyPart)>,
    pub nodes: Vec<(At, NodeSpec)>,
    pub gateway: Option<(At, GatewayPart)>,
    pub sites: Vec<(At, SiteSpec)>,
    pub links: Vec<(At, LinkSpec)>,
    pub fellows: Option<(At, (MembershipConfig, Option<Location>))>,
    pub audit: Option<(At, AuditPart)>,
    pub straggler: Option<(At, StragglerPart)>,
    pub changes: Vec<ChangeSpec>,
}

/// How the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Log {
    pub json: bool,
    pub lines_per_second: u32,
}

/// Settings of another shape that are watched beside those that decide; what is not given is as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchPart {
    pub weight_source: Option<String>,
    pub tells: Option<String>,
    pub peers_fill: Option<String>,
    pub merges_fills: Option<bool>,
    pub bypass_allowed: Option<bool>,
    pub max_attempts: Option<u32>,
    /// Seconds between two lines of the log.
    pub every: f64,
}

#[derive(Debug, Clone)]
pub struct HierarchyPart {
    pub author: u16,
    pub extended: bool,
    pub rules: HierarchyConfig,
}

/// The gateway's own side.
#[derive(Debug, Clone)]
pub struct GatewayPart {
    pub site: String,
    /// Where other sites connect; none where this one only dials.
    pub listen: Option<SocketAddr>,
    pub rules: GatewayRules,
}

/// The account of what routers do.
#[derive(Debug, Clone, PartialEq)]
pub struct AuditPart {
    pub folder: Option<String>,
    pub rules: AuditLogConfig,
}

/// What becomes of routers that are behind.
#[derive(Debug, Clone, PartialEq)]
pub struct StragglerPart {
    /// The roll whose majority settles a version; without one only people set a floor.
    pub voters: Vec<String>,
    pub rule: StragglerConfig,
}

/// Another site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteSpec {
    pub name: String,
    /// Classes of requests that are at home there.
    pub classes: Vec<String>,
}

/// Connections that are kept up to a gateway of another site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkSpec {
    pub to: String,
    pub connect: SocketAddr,
    pub connections: u32,
}

/// Which functions a file may call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The operator file: settings.
    Operator,
    /// Changes of the hierarchy.
    Changes,
}

impl<'v> Arguments<'v> {
    /// `["a", "b"]` for ranks 0 and 1, or `[("a", 0), ("b", 0)]`.
    fn sources(&mut self) -> anyhow::Result<Vec<SourceSpec>> {
        const EXPECTED: &str = "a list of names, or of (name, rank) with a rank from 0 to 65535";
        let Some(value) = self.take("sources") else { return Ok(Vec::new()) };
        let list = ListRef::from_value(value).ok_or_else(|| self.wrong("sources", EXPECTED, value))?;
        let mut sources = Vec::new();
        for (n, item) in list.iter().enumerate() {
            let rank = u16::try_from(n).map_err(|_| self.wrong("sources", EXPECTED, value))?;
            let source = match TupleRef::from_value(item).map(TupleRef::content) {
                Some([name, rank]) => {
                    let range = (0.0, f64::from(u16::MAX));
                    let rank = self.in_range("sources", *rank, range, true, EXPECTED)? as u16;
                    SourceSpec { name: self.name("sources", *name)?, rank }
                }
                Some(_) => return Err(self.wrong("sources", EXPECTED, item)),
                None => SourceSpec { name: self.name("sources", item)?, rank },
            };
            sources.push(source);
        }
        sources.sort_by(|a, b| (a.rank, &a.name).cmp(&(b.rank, &b.name)));
        Ok(sources)
    }

    fn node(mut self, name: Value<'v>) -> anyhow::Result<NodeSpec> {
        let name = self.name("name", name)?;
        let roles = [("cache", Role::Cache), ("parent", Role::Parent), ("origin", Role::Origin)];
        let role = self.one_of("role", &roles)?.unwrap_or(Role::Cache);
        let usual = match role {
            Role::Cache => 0.0,
            Role::Parent => 1.0,
            Role::Origin => 255.0,
        };
        let site = match self.take("site") {
            Some(value) => self.name("site", value)?,
            None => "-".to_string(),
        };
        let tier = self.number("tier", (0.0, 255.0), true)?.unwrap_or(usual) as u8;
        let capacity = self.number("capacity", (1e-3, 1e9), false)?.unwrap_or(1.0);
        let retiring = self.flag("retiring", false)?;
        let sources = self.sources()?;
        self.end()?;
        Ok(NodeSpec { name, role, site, tier, capacity, retiring, sources })
    }
}

/// The place of the call under way.
fn at(eval: &Evaluator) -> At {
    eval.call_stack_top_location().map_or((1, 1), |span| place(&span))
}

fn place(span: &starlark::codemap::FileSpan) -> At {
    let begin = span.resolve_span().begin;
    (begin.line + 1, begin.column + 1)
}

fn collect(put: impl FnOnce(&mut Parts) -> anyhow::Result<()>) -> anyhow::Result<NoneType> {
    COLLECTED.with_borrow_mut(|parts| match parts {
        Some(parts) => put(parts).map(|()| NoneType),
        None => Err(anyhow::anyhow!("a call outside of a file")),
    })
}

fn once<T>(slot: &mut Option<(At, T)>, at: At, function: &str, value: T) -> anyhow::Result<()> {
    if let Some(((line, _), _)) = slot {
        return Err(anyhow::anyhow!("{function}: it is set already, in line {line}"));
    }
    *slot = Some((at, value));
    Ok(())
}

#[starlark_module]
fn settings(builder: &mut GlobalsBuilder) {
    /// Where the router listens for `linnethook` commands.
    fn control<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("control()", given);
        let path = arguments.text("path")?.ok_or_else(|| anyhow::anyhow!("control(): path is missing"))?;
        // What an address of a Unix socket holds.
        if path.len() > 100 || !path.starts_with('/') {
            return Err(anyhow::anyhow!(
                "control(): path: expected an absolute path of up to 100 bytes, got {path:?}"
            ));
        }
        arguments.end()?;
        let at = at(eval);
        collect(|parts| once(&mut parts.control, at, "control()", path))
    }

    /// How the log is written.
    fn log<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("log()", given);
        let json = arguments.one_of("format", &[("text", false), ("json", true)])?.unwrap_or(false);
        let rate = arguments.number("lines_per_second", (1.0, 10_000.0), true)?.unwrap_or(20.0);
        arguments.end()?;
        let at = at(eval);
        collect(|parts| once(&mut parts.log, at, "log()", Log { json, lines_per_second: rate as u32 }))
    }

    /// Counts where the settings of another shape would have decided otherwise.
    fn watch<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("watch()", given);
        let word = |word| (word, word);
        let weights = ["off", "nominal", "rough", "live"].map(word);
        let part = WatchPart {
            weight_source: arguments.one_of("weight_source", &weights)?.map(str::to_string),
            tells: arguments.one_of("tells", &["all", "hit", "off"].map(word))?.map(str::to_string),
            peers_fill: arguments
                .one_of("peers_fill", &["off", "location", "any"].map(word))?
                .map(str::to_string),
            merges_fills: arguments.choice("merges_fills")?,
            bypass_allowed: arguments.choice("bypass_allowed")?,
            max_attempts: arguments.number("max_attempts", (1.0, 255.0), true)?.map(|most| most as u32),
            every: arguments.number("every", (1.0, 86_400.0), false)?.unwrap_or(60.0),
        };
        arguments.end()?;
        let at = at(eval);
        collect(|parts| once(&mut parts.watch, at, "watch()", part))
    }

    /// Switches the hierarchy on.
    fn hierarchy<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("hierarchy()", given);
        let mut rules = HierarchyConfig::default();
        arguments.knobs(HIERARCHY, &mut rules)?;
        rules.rollout_enabled = arguments.flag("staged", rules.rollout_enabled)?;
        rules.shield_enabled = arguments.flag("shielded", rules.shield_enabled)?;
        let extended = arguments.flag("extended", false)?;
        let author = arguments.number("author", (1.0, 32_767.0), true)?.unwrap_or(1.0) as u16;
        arguments.end()?;
        let at = at(eval);
        let part = HierarchyPart { author, extended, rules };
        collect(|parts| once(&mut parts.hierarchy, at, "hierarchy()", part))
    }

    /// A node of the hierarchy.
    fn node<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let spec = Arguments::new("node()", given).node(name)?;
        let at = at(eval);
        collect(|parts| {
            parts.nodes.push((at, spec));
            Ok(())
        })
    }
}

#[starlark_module]
fn gateways(builder: &mut GlobalsBuilder) {
    /// Makes the router a gateway of that site.
    fn gateway<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("gateway()", given);
        let site = arguments.take("site").ok_or_else(|| anyhow::anyhow!("gateway(): site is missing"))?;
        let site = arguments.name("site", site)?;
        let listen = arguments.address("listen")?;
        let mut rules = GatewayRules::default();
        arguments.knobs(GATEWAY, &mut rules)?;
        arguments.end()?;
        let at = at(eval);
        collect(|parts| once(&mut parts.gateway, at, "gateway()", GatewayPart { site, listen, rules }))
    }

    /// Makes routers of the own site fellows: they tell each other what they act on.
    fn fellows<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("fellows()", given);
        let place = match arguments.take("place") {
            Some(value) => {
                let text = arguments.plain_text("place", value)?;
                let place =
                    Location::parse(&text).map_err(|bad| anyhow::anyhow!("fellows(): place: {bad}"))?;
                Some(place)
            }
            None => None,
        };
        let mut rules = MembershipConfig::default();
        arguments.knobs(FELLOWS, &mut rules)?;
        arguments.end()?;
        let members = rules.timeouts;
        if members.suspect_after > members.dead_after {
            return Err(anyhow::anyhow!("fellows(): expected suspect up to gone"));
        }
        if rules.freeze_threshold > members.suspect_after {
            return Err(anyhow::anyhow!("fellows(): expected frozen up to suspect"));
        }
        let at = at(eval);
        collect(|parts| once(&mut parts.fellows, at, "fellows()", (rules, place)))
    }

    /// Keeps an account of what this router does, on which versions.
    fn audit<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("audit()", given);
        let folder = arguments.text("folder")?;
        if let Some(folder) = folder.as_ref().filter(|folder| !folder.starts_with('/')) {
            return Err(anyhow::anyhow!("audit(): folder: expected an absolute path, got {folder:?}"));
        }
        let mut rules = AuditLogConfig::default();
        arguments.knobs(AUDIT, &mut rules)?;
        arguments.end()?;
        let at = at(eval);
        collect(|parts| once(&mut parts.audit, at, "audit()", AuditPart { folder, rules }))
    }

    /// Shuts out routers that are behind what the fleet has settled.
    fn straggler<'v>(
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("straggler()", given);
        let voters = arguments.names("voters")?;
        let mut rule = StragglerConfig::default();
        arguments.knobs(STRAGGLER, &mut rule)?;
        arguments.end()?;
        let twice = voters.iter().enumerate().find(|(n, voter)| voters[..*n].contains(voter));
        if let Some((_, voter)) = twice {
            return Err(anyhow::anyhow!("straggler(): voters: {voter:?} stands there twice"));
        }
        let at = at(eval);
        collect(|parts| once(&mut parts.straggler, at, "straggler()", StragglerPart { voters, rule }))
    }

    /// Another site.
    fn site<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("site()", given);
        let name = arguments.name("name", name)?;
        let classes = arguments.names("classes")?;
        arguments.end()?;
        let at = at(eval);
        collect(|parts| {
            parts.sites.push((at, SiteSpec { name, classes }));
            Ok(())
        })
    }

    /// Connections to a gateway of another site, or to a fellow of the own one.
    fn link<'v>(
        to: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("link()", given);
        let to = arguments.name("to", to)?;
        let connect = arguments.address("connect")?;
        let connect = connect.ok_or_else(|| anyhow::anyhow!("link(): connect is missing"))?;
        let connections = arguments.number("connections", (1.0, 4.0), true)?.unwrap_or(1.0) as u32;
        arguments.end()?;
        let at = at(eval);
        collect(|parts| {
            parts.links.push((at, LinkSpec { to, connect, connections }));
            Ok(())
        })
    }
}

#[starlark_module]
fn changes(builder: &mut GlobalsBuilder) {
    /// A node that was not there.
    fn add<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let spec = Arguments::new("add()", given).node(name)?;
        change(ChangeSpec::Add(spec))
    }

    /// A node that nothing names as a source any more.
    fn remove<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let arguments = Arguments::new("remove()", given);
        let node = arguments.name("name", name)?;
        arguments.end()?;
        change(ChangeSpec::Remove { node })
    }

    /// A node stands elsewhere, and fills from there.
    fn r#move<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("move()", given);
        let node = arguments.name("name", name)?;
        let site = arguments.take("site").ok_or_else(|| anyhow::anyhow!("move(): site is missing"))?;
        let site = arguments.name("site", site)?;
        let sources = arguments.sources()?;
        arguments.end()?;
        change(ChangeSpec::Move { node, site, sources })
    }

    /// A new node takes the place of an old one, which retires.
    fn replace<'v>(
        old: Value<'v>,
        new: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let arguments = Arguments::new("replace()", given);
        let old = arguments.name("old", old)?;
        let new = arguments.node(new)?;
        change(ChangeSpec::Replace { old, new })
    }

    /// Other sources for a node.
    fn rerank<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("rerank()", given);
        let node = arguments.name("name", name)?;
        let sources = arguments.sources()?;
        arguments.end()?;
        change(ChangeSpec::Rerank { node, sources })
    }

    /// A node is to be left; or, with `retiring = False`, it is back.
    fn retire<'v>(
        name: Value<'v>,
        #[starlark(kwargs)] given: SmallMap<String, Value<'v>>,
    ) -> anyhow::Result<NoneType> {
        let mut arguments = Arguments::new("retire()", given);
        let node = arguments.name("name", name)?;
        let retiring = arguments.flag("retiring", true)?;
        arguments.end()?;
        change(ChangeSpec::Retire { node, retiring })
    }
}

fn change(change: ChangeSpec) -> anyhow::Result<NoneType> {
    collect(|parts| {
        parts.changes.push(change);
        Ok(())
    })
}

fn globals(kind: Kind) -> Globals {
    let builder = GlobalsBuilder::standard();
    match kind {
        Kind::Operator => builder.with(settings).with(gateways).build(),
        Kind::Changes => builder.with(changes).build(),
    }
}

/// Runs a file within its bounds.
pub fn evaluate(kind: Kind, file: &str, text: &str, bounds: &Bounds) -> Result<Parts, Wrong> {
    COLLECTED.set(Some(Parts::default()));
    let outcome = run(&globals(kind), file, text, bounds);
    let parts = COLLECTED.take().unwrap_or_default();
    outcome.map(|()| parts)
}

/// Runs a file with these functions within its bounds.
pub fn run(globals: &Globals, file: &str, text: &str, bounds: &Bounds) -> Result<(), Wrong> {
    let wrong = |at: At, what: String| Wrong { file: file.to_string(), at: Some(at), what };
    if text.len() > bounds.bytes {
        let what = format!("the file has {} bytes, expected {} at the most", text.len(), bounds.bytes);
        return Err(Wrong { file: file.to_string(), at: None, what });
    }
    let told = |error: starlark::Error| {
        let at = error.span().map_or((1, 1), place);
        // The first line says what; the others draw the place once more.
        let text = error.without_diagnostic().to_string();
        let what = text.lines().next().unwrap_or_default().trim_start_matches("error: ").to_string();
        wrong(at, what)
    };
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_f_strings: true,
        enable_load: false,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(file, text.to_string(), &dialect).map_err(told)?;
    let until = Instant::now() + Duration::from_millis(bounds.millis);
    Module::with_temp_heap(|module| -> Result<(), Wrong> {
        let mut eval = Evaluator::new(&module);
        let bound = |outcome: anyhow::Result<()>| outcome.map_err(|error| wrong((1, 1), error.to_string()));
        bound(eval.set_max_tick_count(bounds.steps))?;
        bound(eval.set_max_heap_size(bounds.memory))?;
        bound(eval.set_max_callstack_size(bounds.depth))?;
        eval.set_check_cancelled(Box::new(move || Instant::now() > until));
        eval.eval_module(ast, globals).map(|_| ()).map_err(told)
    })
}
