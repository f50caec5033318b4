//! A cluster of router processes under the control of a test: routers of the built program, a proxy on each link, journals
//! that may be silent, load, and faults between them by hand or by a script from a seed.
//!
//! - `plan`: what a harness is made of;
//! - `events`: what the journals publish, and waits for what routers show;
//! - `faults`: processes and links that fail;
//! - `script`: schedules of faults from a seed;
//! - `verification`: recordings and audit logs compared;
//! - `turn`: how many harnesses run at a time.
//!
//! A seed is always the same script; when what happens within it is the system's. The record is what crossed the
//! sockets, and is judged by the checker.

mod error;
mod events;
mod faults;
mod plan;
mod script;
mod turn;
mod verification;

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::{json, Value};

use crate::cache_server::CacheServerConfig;
use crate::fault_proxy::{FaultProxy, ProxyEnds, TO_ACCEPTOR, TO_DIALER};
use crate::load::{Load, LoadResults, RunningLoad};
use crate::process_cluster::ProcessCluster;
use crate::recording::{LinkState, LocationSummary, Phase};
use turn::Turn;

pub use error::HarnessError;
pub use plan::Plan;
pub use script::{script, Played, Script, Step};

/// Where the caches stand.
const ZONE: &str = "shop";

/// A cluster of routers that know each other, with links, journals, load and faults under the control of a test.
pub struct Harness {
    /// The processes and servers.
    pub fleet: ProcessCluster,
    /// What it was made by.
    pub plan: Plan,
    /// A site name of its own: where a port is reused, routers of two harnesses must not join one cluster.
    site: String,
    proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// The proxy between each router and its journal, by router.
    journals: BTreeMap<usize, FaultProxy>,
    loads: BTreeMap<usize, RunningLoad>,
    /// Loads that have ended, one after another.
    pub ends: Vec<LoadResults>,
    seeds: u64,
    /// What the one journal has told, and how far it has told it to each router.
    events: Vec<JournalEvent>,
    events_delivered: Vec<usize>,
    /// The last to go: all processes have ended by then.
    _turn: Turn,
}

/// An event of the journal.
#[derive(Debug, Clone)]
enum JournalEvent {
    Node(String, Phase),
    Purge(String, f64),
}

/// The name of the router with this number.
pub fn name(n: usize) -> String {
    format!("r{n}")
}

/// A router's operator file with a cluster section.
fn operator(plan: &Plan, n: usize, site: &str, links: &[(usize, std::net::SocketAddr)]) -> String {
    let comma = |text: &str| if text.is_empty() { String::new() } else { format!(", {text}") };
    let caches = plan.caches;
    let place = plan.places.get(n).map_or(String::new(), |place| format!(", place = \"{place}\""));
    let mut text = format!(
        "control(path = \"SOCKET\")\nlog(lines_per_second = 500)\nhierarchy({})\n\
         node(\"origin\", role = \"origin\", site = \"hub\", capacity = 20)\n\
         for hub in [\"south\", \"centre\"]:\n    \
         node(hub, role = \"parent\", site = hub, capacity = 30, sources = [\"origin\"])\n\
         for n in range({caches}):\n    \
         node(\"cache-%d\" % n, site = \"{ZONE}\", capacity = 8, sources = [(\"south\", 0), (\"origin\", 9)])\n\
         gateway(site = \"{site}\", listen = \"127.0.0.1:0\"{})\nfellows({}{place})\n",
        plan.hierarchy,
        comma(&plan.gateway),
        plan.cluster_settings
    );
    for (function, inside) in [("audit", &plan.audit), ("straggler", &plan.straggler)] {
        text += &inside.as_ref().map_or(String::new(), |inside| format!("{function}({inside})\n"));
    }
    for (_, address) in links {
        text += &format!("link(\"{site}\", connect = \"{address}\")\n");
    }
    text
}

impl Harness {
    /// Starts all, and waits until all know of each other.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn start(program: impl Into<PathBuf>, plan: Plan) -> io::Result<Self> {
        Self::start_with(program, plan, |_, text| text)
    }

    /// The same; `change` has the last word on each router's operator file.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn start_with(
        program: impl Into<PathBuf>,
        plan: Plan,
        change: impl Fn(usize, String) -> String,
    ) -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let turn = Turn::take(plan.at_once);
        let site = format!("shop-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let mut fleet = ProcessCluster::two_hubs(program, plan.caches, CacheServerConfig::new)?;
        let caches: Vec<String> = (0..plan.caches).map(|n| format!("cache-{n}")).collect();
        let mut lists: Vec<(&str, &[&str])> = vec![("south", &["origin"]), ("centre", &["origin"])];
        lists.extend(caches.iter().map(|cache| (cache.as_str(), &["south", "origin"][..])));
        fleet.note_shape(1, &lists);
        let all = || (0..plan.routers).flat_map(|a| (0..a).map(move |b| (a, b))).collect();
        let links: Vec<(usize, usize)> = plan.links.clone().unwrap_or_else(all);
        let mut proxies = BTreeMap::new();
        for link in links {
            let sites = [name(link.0), name(link.1)];
            proxies.insert(link, FaultProxy::start(ProxyEnds { sites, record: fleet.record.clone() })?);
        }
        let mut harness = Self {
            fleet,
            plan,
            site,
            proxies,
            journals: BTreeMap::new(),
            loads: BTreeMap::new(),
            ends: Vec::new(),
            seeds: 0,
            events: Vec::new(),
            events_delivered: Vec::new(),
            _turn: turn,
        };
        harness.events_delivered = vec![0; harness.plan.routers];
        for (n, program) in &harness.plan.programs {
            harness.fleet.set_program(&name(*n), Some(program.clone()));
        }
        for n in 0..harness.plan.routers {
            let dials: Vec<_> = harness.dials(n).map(|(to, proxy)| (to, proxy.address)).collect();
            let text = change(n, operator(&harness.plan, n, &harness.site, &dials));
            let sites = [name(n), "journal".to_string()];
            let proxy = FaultProxy::start(ProxyEnds { sites, record: harness.fleet.record.clone() })?;
            let through = |config: &mut Value| {
                if let Some(Ok(journal)) = config["journal"].as_str().map(str::parse) {
                    proxy.set_target(journal);
                }
                config["journal"] = json!(proxy.address.to_string());
            };
            harness.ran(n);
            harness.fleet.start_router(&name(n), Some(&text), through)?;
            harness.journals.insert(n, proxy);
            harness.point_links_at(n)?;
        }
        harness.links().into_iter().for_each(|(a, b)| harness.linked(a, b, [LinkState::Open; 2]));
        for n in 0..harness.plan.routers {
            let others = harness.known(n, &(0..harness.plan.routers).collect::<Vec<_>>()) - 1;
            harness.until(n, "all know of each other", |shown| alive(shown) == others)?;
        }
        Ok(harness)
    }

    /// Of these routers, how many a router knows one by one: all, or those of its site.
    fn known(&self, n: usize, of: &[usize]) -> usize {
        let place = |n: usize| self.plan.places.get(n);
        of.iter().filter(|other| place(**other) == place(n)).count()
    }

    fn dials(&self, n: usize) -> impl Iterator<Item = (usize, &FaultProxy)> {
        self.proxies.iter().filter(move |((from, _), _)| *from == n).map(|((_, to), proxy)| (*to, proxy))
    }

    /// Links to a router that has just started lead to where it listens now.
    fn point_links_at(&self, n: usize) -> io::Result<()> {
        let address = self.fleet.links(&name(n)).ok_or(io::ErrorKind::NotFound)?;
        let here = self.proxies.iter().filter(|((_, to), _)| *to == n);
        here.for_each(|(_, proxy)| proxy.set_target(address));
        Ok(())
    }

    fn clear_target(&self, n: usize) {
        let here = self.proxies.iter().filter(|((_, to), _)| *to == n);
        here.for_each(|(_, proxy)| proxy.clear_target());
    }

    /// The link between two, and the direction in it that leads from the first to the second.
    pub fn proxy(&self, from: usize, to: usize) -> Option<(&FaultProxy, usize)> {
        let there = self.proxies.get(&(from, to)).map(|proxy| (proxy, TO_ACCEPTOR));
        there.or_else(|| self.proxies.get(&(to, from)).map(|proxy| (proxy, TO_DIALER)))
    }

    /// Links by their two routers, the dialer first.
    pub fn links(&self) -> Vec<(usize, usize)> {
        self.proxies.keys().copied().collect()
    }

    /// A second process under a router's name, with links of its own to the others.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn start_duplicate(&mut self, of: usize) -> io::Result<String> {
        let key = format!("{}-twin", name(of));
        let others: Vec<usize> = (0..self.plan.routers).filter(|n| *n != of).collect();
        let addresses = others.iter().filter_map(|n| Some((*n, self.fleet.links(&name(*n))?)));
        let text = operator(&self.plan, of, &self.site, &addresses.collect::<Vec<_>>());
        self.fleet.start_router(&key, Some(&text), |config| config["name"] = json!(name(of)))?;
        Ok(key)
    }

    // ---- Load.

    /// Clients of a router, until it is killed or the load ends.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn load(&mut self, n: usize) -> io::Result<()> {
        self.seeds += 1;
        let Plan { rate, objects, .. } = self.plan;
        let load = Load { seed: self.seeds, rate, objects, bookings: 0.1, ..Load::default() };
        let running = self.fleet.load(&name(n), &load)?;
        self.loads.insert(n, running);
        Ok(())
    }

    /// Starts clients of all routers.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that runs out.
    pub fn load_all(&mut self) -> io::Result<()> {
        (0..self.plan.routers).try_for_each(|n| self.load(n))
    }

    fn end_load(&mut self, n: usize) {
        if let Some(running) = self.loads.remove(&n) {
            self.ends.push(running.finish());
        }
    }

    /// No new requests; what is out is answered.
    pub fn end_loads(&mut self) {
        let all: Vec<usize> = self.loads.keys().copied().collect();
        all.into_iter().for_each(|n| self.end_load(n));
    }
}

/// A place as a whole, as `fleet show` has it.
fn shown_place(line: &Value) -> LocationSummary {
    let count = |field: &str| line[field].as_u64().unwrap_or(0);
    let stragglers = line["stragglers"].as_array().into_iter().flatten();
    LocationSummary {
        place: line["place"].as_str().unwrap_or_default().to_string(),
        fresh: line["fresh"] == true,
        alive: count("alive"),
        counted: ["alive", "suspected", "gone", "leaving", "unheard"].into_iter().map(count).sum(),
        oldest: line["oldest"].as_u64(),
        stragglers: stragglers.filter_map(|name| Some(name.as_str()?.to_string())).collect(),
        behind: count("behind"),
    }
}

/// Fellows that a router takes for alive.
pub fn alive(shown: &Value) -> usize {
    let others = shown["fellows"]["others"].as_array();
    others.map_or(0, |others| others.iter().filter(|line| line["standing"] == "Alive").count())
}

/// A fellow's line, as a router has it.
pub fn line<'a>(shown: &'a Value, name: &str) -> Option<&'a Value> {
    shown["fellows"]["others"].as_array()?.iter().find(|line| line["name"] == name)
}
