//! A cluster of router processes under the control of a test: routers of the built program, a proxy on each
//! link, journals that can be silenced, load, and faults that are injected one by one or by a script from a
//! seed.
//!
//! - `plan`: the routers, links, caches and settings of a harness;
//! - `events`: events of the journals, and waiting for what routers show;
//! - `faults`: processes and links that fail;
//! - `script`: schedules of faults from a seed;
//! - `verification`: checks of the recording and of the audit logs;
//! - `permit`: limits how many harnesses run concurrently.
//!
//! A seed always gives the same script; the timing within a run depends on the system. The recording has what
//! crossed the sockets, and the checker judges it.

mod error;
mod events;
mod faults;
mod permit;
mod plan;
mod script;
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
use permit::HarnessPermit;

pub use error::HarnessError;
pub use plan::Plan;
pub use script::{script, Played, Script, Step};

/// Zone of the caches.
const ZONE: &str = "shop";

/// A cluster of routers that are peers, with links, journals, load and faults under the control of a test.
pub struct Harness {
    /// The processes and servers.
    pub fleet: ProcessCluster,
    /// The plan that it was started from.
    pub plan: Plan,
    /// A site name of its own, so that routers of two harnesses don't join one cluster where a port is
    /// reused.
    site: String,
    proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// The proxy between each router and its journal, by router.
    journals: BTreeMap<usize, FaultProxy>,
    loads: BTreeMap<usize, RunningLoad>,
    /// Results of the loads that have ended, in that order.
    pub ends: Vec<LoadResults>,
    seeds: u64,
    /// All events of the journal, and how many of them each router has got.
    events: Vec<JournalEvent>,
    events_delivered: Vec<usize>,
    /// Last field, so that it is dropped after all processes have ended.
    _permit: HarnessPermit,
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
    /// Starts all servers and routers, and waits until the routers see each other alive.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn start(program: impl Into<PathBuf>, plan: Plan) -> io::Result<Self> {
        Self::start_with(program, plan, |_, text| text)
    }

    /// Like [`Self::start`]; `change` can replace the text of each router's operator file.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn start_with(
        program: impl Into<PathBuf>,
        plan: Plan,
        change: impl Fn(usize, String) -> String,
    ) -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let permit = HarnessPermit::acquire(plan.at_once);
        let site = format!("shop-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let mut fleet = ProcessCluster::two_hubs(program, plan.caches, CacheServerConfig::new)?;
        let caches: Vec<String> = (0..plan.caches).map(|n| format!("cache-{n}")).collect();
        let mut lists: Vec<(&str, &[&str])> = vec![("south", &["origin"]), ("centre", &["origin"])];
        lists.extend(caches.iter().map(|cache| (cache.as_str(), &["south", "origin"][..])));
        fleet.record_hierarchy(1, &lists);
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
            _permit: permit,
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
            harness.until(n, "all peers are alive", |shown| alive(shown) == others)?;
        }
        Ok(harness)
    }

    /// How many of these routers a router knows individually: all, or those of its site.
    fn known(&self, n: usize, of: &[usize]) -> usize {
        let place = |n: usize| self.plan.places.get(n);
        of.iter().filter(|other| place(**other) == place(n)).count()
    }

    fn dials(&self, n: usize) -> impl Iterator<Item = (usize, &FaultProxy)> {
        self.proxies.iter().filter(move |((from, _), _)| *from == n).map(|((_, to), proxy)| (*to, proxy))
    }

    /// Points the proxies of links to a router at the address where it listens since its last start.
    fn point_links_at(&self, n: usize) -> io::Result<()> {
        let address = self.fleet.gateway_address(&name(n)).ok_or(io::ErrorKind::NotFound)?;
        let here = self.proxies.iter().filter(|((_, to), _)| *to == n);
        here.for_each(|(_, proxy)| proxy.set_target(address));
        Ok(())
    }

    fn clear_target(&self, n: usize) {
        let here = self.proxies.iter().filter(|((_, to), _)| *to == n);
        here.for_each(|(_, proxy)| proxy.clear_target());
    }

    /// The proxy between two routers, and its direction from the first to the second.
    pub fn proxy(&self, from: usize, to: usize) -> Option<(&FaultProxy, usize)> {
        let there = self.proxies.get(&(from, to)).map(|proxy| (proxy, TO_ACCEPTOR));
        there.or_else(|| self.proxies.get(&(to, from)).map(|proxy| (proxy, TO_DIALER)))
    }

    /// All links as pairs of routers, the dialer first.
    pub fn links(&self) -> Vec<(usize, usize)> {
        self.proxies.keys().copied().collect()
    }

    /// Starts a second process under a router's name, with links of its own to the others; returns the key of
    /// that process.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn start_duplicate(&mut self, of: usize) -> io::Result<String> {
        let key = format!("{}-twin", name(of));
        let others: Vec<usize> = (0..self.plan.routers).filter(|n| *n != of).collect();
        let addresses = others.iter().filter_map(|n| Some((*n, self.fleet.gateway_address(&name(*n))?)));
        let text = operator(&self.plan, of, &self.site, &addresses.collect::<Vec<_>>());
        self.fleet.start_router(&key, Some(&text), |config| config["name"] = json!(name(of)))?;
        Ok(key)
    }

    // ---- Load.

    /// Starts clients of a router; they run until it is killed or the load ends.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
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
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn load_all(&mut self) -> io::Result<()> {
        (0..self.plan.routers).try_for_each(|n| self.load(n))
    }

    fn end_load(&mut self, n: usize) {
        if let Some(running) = self.loads.remove(&n) {
            self.ends.push(running.finish());
        }
    }

    /// Ends all loads: no new requests are sent, and open ones are waited for.
    pub fn end_loads(&mut self) {
        let all: Vec<usize> = self.loads.keys().copied().collect();
        all.into_iter().for_each(|n| self.end_load(n));
    }
}

/// Parses the summary of a location in the output of `fleet show`.
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

/// Number of peers that a router shows as alive.
pub fn alive(shown: &Value) -> usize {
    let others = shown["fellows"]["others"].as_array();
    others.map_or(0, |others| others.iter().filter(|line| line["standing"] == "Alive").count())
}

/// The entry of a peer in the output of `fleet show`.
pub fn line<'a>(shown: &'a Value, name: &str) -> Option<&'a Value> {
    shown["fellows"]["others"].as_array()?.iter().find(|line| line["name"] == name)
}
