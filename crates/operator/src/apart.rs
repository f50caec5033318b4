//! Owns the evaluation of a file in a process of its own, with limits that the system keeps.
//!
//! The language's own bounds are looked at between its steps only, and one step may ask for gigabytes; and a router
//! must not stand still while a file is read. Must never pass on anything but a whole, checked result or one error.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use linnethook_hierarchy::change_spec::{ChangeSpec, NodeSpec};
use linnethook_hierarchy::HierarchyConfig;
use linnethook_membership::aggregation::location::Location;
use nix::sys::resource::{setrlimit, Resource};
use nix::unistd::alarm;
use serde::{Deserialize, Serialize};

use crate::knobs::audit::straggler::STRAGGLER;
use crate::knobs::audit::AUDIT;
use crate::knobs::fellows::FELLOWS;
use crate::knobs::gateway::GATEWAY;
use crate::knobs::{Knob, HIERARCHY};
use crate::script::{
    AuditPart, GatewayPart, HierarchyPart, Kind, LinkSpec, Log, SiteSpec, StragglerPart, WatchPart,
};
use crate::{changes, Bounds, Fellows, Gateway, Hierarchy, Operator, Wrong};

/// The first argument that makes the program do nothing but evaluate.
pub const VERB: &str = "evaluate";

/// Seconds of processor time and bytes of address space of the process.
const SECONDS: u64 = 2;
/// Seconds after which it ends whatever it does.
const ALARM: u32 = 10;
const SPACE: u64 = 768 << 20;
/// The most bytes of a result.
const RESULT: u64 = 32 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct Sent {
    control: Option<String>,
    log: Option<(bool, u32)>,
    watch: Option<WatchPart>,
    hierarchy: Option<SentHierarchy>,
    gateway: Option<SentGateway>,
}

#[derive(Debug, Serialize, Deserialize)]
struct SentGateway {
    site: String,
    listen: Option<SocketAddr>,
    /// In the order of the table.
    knobs: Vec<f64>,
    sites: Vec<SiteSpec>,
    links: Vec<LinkSpec>,
    fellows: Option<SentFellows>,
}

#[derive(Debug, Serialize, Deserialize)]
struct SentFellows {
    place: Option<Location>,
    /// Each in the order of its table.
    knobs: Vec<f64>,
    audit: Option<(Option<String>, Vec<f64>)>,
    straggler: Option<(Vec<String>, Vec<f64>)>,
}

fn values<T>(table: &[Knob<T>], of: &T) -> Vec<f64> {
    table.iter().map(|knob| (knob.get)(of)).collect()
}

fn put<T: Default>(table: &[Knob<T>], values: &[f64]) -> T {
    let mut into = T::default();
    for (knob, value) in table.iter().zip(values) {
        (knob.set)(&mut into, *value);
    }
    into
}

#[derive(Debug, Serialize, Deserialize)]
struct SentHierarchy {
    author: u16,
    extended: bool,
    staged: bool,
    shielded: bool,
    /// In the order of the table.
    knobs: Vec<f64>,
    nodes: Vec<NodeSpec>,
}

impl From<Operator> for Sent {
    fn from(operator: Operator) -> Self {
        let hierarchy = operator.hierarchy.map(|Hierarchy { part, nodes }| SentHierarchy {
            author: part.author,
            extended: part.extended,
            staged: part.rules.rollout_enabled,
            shielded: part.rules.shield_enabled,
            knobs: values(HIERARCHY, &part.rules),
            nodes,
        });
        let log = operator.log.map(|log| (log.json, log.lines_per_second));
        let gateway = operator.gateway.map(|Gateway { part, sites, links, fellows }| SentGateway {
            site: part.site,
            listen: part.listen,
            knobs: values(GATEWAY, &part.rules),
            sites,
            links,
            fellows: fellows.map(|Fellows { rules, place, audit, straggler }| SentFellows {
                place,
                knobs: values(FELLOWS, &rules),
                audit: audit.map(|part| (part.folder, values(AUDIT, &part.rules))),
                straggler: straggler.map(|part| (part.voters, values(STRAGGLER, &part.rule))),
            }),
        });
        Self { control: operator.control, log, watch: operator.watch, hierarchy, gateway }
    }
}

impl From<Sent> for Operator {
    fn from(sent: Sent) -> Self {
        let hierarchy = sent.hierarchy.map(|sent| {
            let (rollout_enabled, shield_enabled) = (sent.staged, sent.shielded);
            let rules = HierarchyConfig { rollout_enabled, shield_enabled, ..put(HIERARCHY, &sent.knobs) };
            let part = HierarchyPart { author: sent.author, extended: sent.extended, rules };
            Hierarchy { part, nodes: sent.nodes }
        });
        let log = sent.log.map(|(json, lines_per_second)| Log { json, lines_per_second });
        let gateway = sent.gateway.map(|sent| {
            let rules = put(GATEWAY, &sent.knobs);
            let part = GatewayPart { site: sent.site, listen: sent.listen, rules };
            let fellows = sent.fellows.map(|sent| Fellows {
                rules: put(FELLOWS, &sent.knobs),
                place: sent.place,
                audit: sent.audit.map(|(folder, knobs)| AuditPart { folder, rules: put(AUDIT, &knobs) }),
                straggler: (sent.straggler)
                    .map(|(voters, knobs)| StragglerPart { voters, rule: put(STRAGGLER, &knobs) }),
            });
            Gateway { part, sites: sent.sites, links: sent.links, fellows }
        });
        Self { control: sent.control, log, watch: sent.watch, hierarchy, gateway }
    }
}

/// What a process tells of a file: postcard, so that it is small and quickly read.
type Told<T> = Result<T, Wrong>;

fn word(kind: Kind) -> &'static str {
    match kind {
        Kind::Operator => "operator",
        Kind::Changes => "changes",
    }
}

/// Starts the process that evaluates a file; `program` is this very program.
pub fn start(program: &Path, kind: Kind, file: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    command.args([VERB, word(kind)]).arg(file);
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()
}

/// What that process is: evaluates, and writes the result to standard output.
pub fn serve(kind: &str, file: &Path, out: &mut impl Write) -> io::Result<()> {
    // A panic for want of memory may wait for ever on its way out.
    std::panic::set_hook(Box::new(|_| std::process::abort()));
    alarm::set(ALARM);
    setrlimit(Resource::RLIMIT_CPU, SECONDS, SECONDS)?;
    setrlimit(Resource::RLIMIT_CORE, 0, 0)?;
    setrlimit(Resource::RLIMIT_AS, SPACE, SPACE)?;
    let (name, bounds) = (file.display().to_string(), Bounds::default());
    let unreadable = |wrong: io::Error| Wrong { file: name.clone(), at: None, what: wrong.to_string() };
    let mut text = String::new();
    // One byte more tells that there is more than may be.
    let limit = bounds.bytes as u64 + 1;
    let read = std::fs::File::open(file).and_then(|file| file.take(limit).read_to_string(&mut text));
    let text = read.map(|_| text).map_err(unreadable);
    let told = match kind == word(Kind::Operator) {
        true => {
            let told: Told<Sent> =
                text.and_then(|text| Operator::read(&name, &text, &bounds)).map(Sent::from);
            postcard::to_stdvec(&told)
        }
        false => {
            let told: Told<Vec<ChangeSpec>> = text.and_then(|text| changes(&name, &text, &bounds));
            postcard::to_stdvec(&told)
        }
    };
    out.write_all(&told.map_err(io::Error::other)?)?;
    out.flush()
}

fn parse<T: for<'a> Deserialize<'a>>(file: &Path, bytes: &[u8]) -> Told<T> {
    let wrong = |what: String| Wrong { file: file.display().to_string(), at: None, what };
    if bytes.is_empty() {
        return Err(wrong(format!("its evaluation needs more than {SECONDS} s or {} MB", SPACE >> 20)));
    }
    postcard::from_bytes::<Told<T>>(bytes).unwrap_or_else(|error| Err(wrong(error.to_string())))
}

/// The operator file in what the process wrote.
pub fn operator(file: &Path, bytes: &[u8]) -> Result<Operator, Wrong> {
    parse::<Sent>(file, bytes).map(Operator::from)
}

/// The changes in what the process wrote.
pub fn change_list(file: &Path, bytes: &[u8]) -> Result<Vec<ChangeSpec>, Wrong> {
    parse(file, bytes)
}

/// Starts the process and waits for its end; the system ends it after its time.
pub fn run(program: &Path, kind: Kind, file: &Path) -> Result<Vec<u8>, Wrong> {
    let wrong =
        |error: io::Error| Wrong { file: file.display().to_string(), at: None, what: error.to_string() };
    let mut child = start(program, kind, file).map_err(wrong)?;
    let mut bytes = Vec::new();
    if let Some(out) = child.stdout.take() {
        out.take(RESULT).read_to_end(&mut bytes).map_err(wrong)?;
    }
    let status = child.wait().map_err(wrong)?;
    // What a process wrote that did not end well is not whole.
    Ok(if status.success() { bytes } else { Vec::new() })
}
