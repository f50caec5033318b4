//! The operator file: all that is set beside what the platform gives, in Starlark, typed and checked.
//!
//! - [`arguments`]: the checked arguments of a call, also for other files in the language;
//! - [`knobs`]: the tables of settings, with defaults and ranges;
//! - [`script`]: the functions of the file, and its evaluation within the language's bounds;
//! - [`apart`]: the same in a process of its own, within the system's.
//!
//! [`Operator::read`] gives the whole file or one error with its place; nothing of a bad file is used.

pub mod apart;
pub mod arguments;
pub mod knobs;
pub mod script;

use std::fmt;

use linnethook_hierarchy::change_spec::{self, ChangeSpec, NodeSpec};
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::config::MembershipConfig;

use serde::{Deserialize, Serialize};

use script::{
    evaluate, At, AuditPart, GatewayPart, HierarchyPart, Kind, LinkSpec, Log, SiteSpec, StragglerPart,
    WatchPart,
};

/// How far an evaluation may go.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Of the file.
    pub bytes: usize,
    /// Instructions and turns of loops.
    pub steps: u64,
    pub depth: usize,
    /// Bytes of values, looked at as it goes.
    pub memory: usize,
    /// Milliseconds.
    pub millis: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 16 << 20, steps: 4_000_000, depth: 64, memory: 96 << 20, millis: 5_000 }
    }
}

/// What is wrong with a file, and where.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wrong {
    pub file: String,
    pub at: Option<At>,
    pub what: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.at {
            Some((line, column)) => write!(f, "{}:{line}:{column}: {}", self.file, self.what),
            None => write!(f, "{}: {}", self.file, self.what),
        }
    }
}

impl std::error::Error for Wrong {}

/// A whole operator file.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// The path of the control socket.
    pub control: Option<String>,
    pub log: Option<Log>,
    pub watch: Option<WatchPart>,
    pub hierarchy: Option<Hierarchy>,
    pub gateway: Option<Gateway>,
}

/// The gateway as the file has it.
#[derive(Debug, Clone)]
pub struct Gateway {
    pub part: GatewayPart,
    pub sites: Vec<SiteSpec>,
    pub links: Vec<LinkSpec>,
    /// What holds among routers of the own site, if they are fellows.
    pub fellows: Option<Fellows>,
}

/// Fellow routers as the file has them.
#[derive(Debug, Clone)]
pub struct Fellows {
    pub rules: MembershipConfig,
    /// Where this router stands in the tree of the fleet; nowhere in one without places.
    pub place: Option<Location>,
    pub audit: Option<AuditPart>,
    pub straggler: Option<StragglerPart>,
}

/// The hierarchy as the file has it.
#[derive(Debug, Clone)]
pub struct Hierarchy {
    pub part: HierarchyPart,
    pub nodes: Vec<NodeSpec>,
}

impl Operator {
    /// Reads a file's text.
    pub fn read(file: &str, text: &str, bounds: &Bounds) -> Result<Self, Wrong> {
        let parts = evaluate(Kind::Operator, file, text, bounds)?;
        let wrong = |at: Option<At>, what: String| Wrong { file: file.to_string(), at, what };
        let first = parts.nodes.first().map(|(at, _)| *at);
        let (places, nodes): (Vec<At>, Vec<NodeSpec>) = parts.nodes.into_iter().unzip();
        let hierarchy = match parts.hierarchy {
            None if !nodes.is_empty() => {
                return Err(wrong(first, "node(): expected a hierarchy() beside it".to_string()));
            }
            None => None,
            Some((at, part)) => {
                if nodes.len() > part.rules.batch_limits.max_nodes {
                    let most = part.rules.batch_limits.max_nodes;
                    return Err(wrong(
                        Some(at),
                        format!("{} nodes, expected {most} at the most", nodes.len()),
                    ));
                }
                // Without nodes the shape comes from elsewhere.
                if let Err(bad) =
                    change_spec::validate(&nodes)
                        .or_else(|bad| if nodes.is_empty() { Ok(()) } else { Err(bad) })
                {
                    let place = bad.node().and_then(|name| nodes.iter().rposition(|node| node.name == name));
                    return Err(wrong(place.map(|n| places[n]).or(Some(at)), bad.to_string()));
                }
                Some(Hierarchy { part, nodes })
            }
        };
        let control = parts.control.map(|(_, path)| path);
        let fellows = fellows(parts.fellows, parts.audit, parts.straggler);
        let fellows = fellows.map_err(|(at, what)| wrong(Some(at), what))?;
        let gateway = gateway(parts.gateway, parts.sites, parts.links, fellows);
        let gateway = gateway.map_err(|(at, what)| wrong(Some(at), what))?;
        let (log, watch) = (parts.log.map(|(_, log)| log), parts.watch.map(|(_, watch)| watch));
        Ok(Self { control, log, watch, hierarchy, gateway })
    }
}

/// Fellows with what stands on them.
fn fellows(
    rules: Option<(At, (MembershipConfig, Option<Location>))>,
    audit: Option<(At, AuditPart)>,
    straggler: Option<(At, StragglerPart)>,
) -> Result<Option<(At, Fellows)>, (At, String)> {
    let stray = audit.as_ref().map(|(at, _)| (*at, "audit()"));
    let stray = stray.or(straggler.as_ref().map(|(at, _)| (*at, "straggler()")));
    match (rules, stray) {
        (None, Some((at, function))) => Err((at, format!("{function}: expected fellows() beside it"))),
        (None, None) => Ok(None),
        (Some((at, (rules, place))), _) => {
            let (audit, straggler) = (audit.map(|(_, part)| part), straggler.map(|(_, part)| part));
            Ok(Some((at, Fellows { rules, place, audit, straggler })))
        }
    }
}

/// A gateway with its sites and links, each checked against the others.
fn gateway(
    part: Option<(At, GatewayPart)>,
    sites: Vec<(At, SiteSpec)>,
    links: Vec<(At, LinkSpec)>,
    fellows: Option<(At, Fellows)>,
) -> Result<Option<Gateway>, (At, String)> {
    let stray = sites.first().map(|(at, _)| (*at, "site()")).or(links.first().map(|(at, _)| (*at, "link()")));
    let stray = stray.or(fellows.as_ref().map(|(at, _)| (*at, "fellows()")));
    let Some((at, part)) = part else {
        return match stray {
            Some((at, function)) => Err((at, format!("{function}: expected a gateway() beside it"))),
            None => Ok(None),
        };
    };
    if sites.is_empty() && fellows.is_none() {
        return Err((at, "gateway(): expected at least one other site(), or fellows()".to_string()));
    }
    let mut names = vec![part.site.as_str()];
    let mut classes = Vec::new();
    for (at, site) in &sites {
        if names.contains(&site.name.as_str()) {
            return Err((*at, format!("site(): {:?} is a site already", site.name)));
        }
        names.push(&site.name);
        for class in &site.classes {
            if classes.contains(&class) {
                return Err((*at, format!("site(): classes: {class:?} is at home at another site already")));
            }
            classes.push(class);
        }
    }
    let own = |link: &LinkSpec| link.to == part.site;
    let known = |link: &LinkSpec| sites.iter().any(|(_, site)| site.name == link.to);
    if let Some((at, link)) = links.iter().find(|(_, link)| !known(link) && !own(link)) {
        return Err((*at, format!("link(): there is no site({:?})", link.to)));
    }
    if let Some((at, _)) = links.iter().find(|(_, link)| own(link) && fellows.is_none()) {
        return Err((*at, "link(): to the own site, expected fellows() beside it".to_string()));
    }
    if part.listen.is_none() && links.is_empty() {
        return Err((at, "gateway(): expected listen, or at least one link()".to_string()));
    }
    if part.rules.session.pulse.least > part.rules.session.pulse.most {
        return Err((at, "gateway(): expected silent_least up to silent_most".to_string()));
    }
    let strip = |(_, site): (At, SiteSpec)| site;
    let links = links.into_iter().map(|(_, link)| link).collect();
    let fellows = fellows.map(|(_, fellows)| fellows);
    Ok(Some(Gateway { part, sites: sites.into_iter().map(strip).collect(), links, fellows }))
}

/// Reads a file of changes, as `linnethook hierarchy plan` and `apply` take them.
pub fn changes(file: &str, text: &str, bounds: &Bounds) -> Result<Vec<ChangeSpec>, Wrong> {
    let parts = evaluate(Kind::Changes, file, text, bounds)?;
    match parts.changes.is_empty() {
        true => {
            Err(Wrong { file: file.to_string(), at: None, what: "expected at least one change".to_string() })
        }
        false => Ok(parts.changes),
    }
}

/// The reference of the tables: each setting with its function, default, range and unit, one a line.
pub fn reference() -> String {
    lines("hierarchy", knobs::HIERARCHY)
        + &lines("gateway", knobs::gateway::GATEWAY)
        + &lines("fellows", knobs::fellows::FELLOWS)
        + &lines("audit", knobs::audit::AUDIT)
        + &lines("straggler", knobs::audit::straggler::STRAGGLER)
}

fn lines<T: Default>(function: &str, table: &[knobs::Knob<T>]) -> String {
    let rules = T::default();
    let line = |knob: &knobs::Knob<T>| {
        let unit = if knob.unit.is_empty() { "" } else { " " };
        let (least, most, default) = (knob.least, knob.most, knob.default(&rules));
        format!(
            "| {function} | `{}` | {default}{unit}{} | {least} to {most} | {} |\n",
            knob.name, knob.unit, knob.about
        )
    };
    table.iter().map(line).collect()
}
