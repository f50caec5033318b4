//! Owns a rig of processes: routers of the built program that are fellows, a link in the middle of each two that are
//! joined, journals that may be silent, load, and faults between them by hand or by a script from a seed.
//!
//! A seed is always the same script; when what happens within it is the system's. The record is what crossed the
//! sockets, and is judged by the checker.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use linnethook_audit::record::read_file;
use linnethook_audit::verification::{Finding, VerifiedLogs};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

use crate::aggregates::{quiet_from, AggregateBounds};
use crate::cache_server::CacheServerConfig;
use crate::checker::{judge, with_pauses, Breach, Rule, RuleBounds};
use crate::fault_proxy::{Corruption, FaultProxy, LinkConditions, ProxyEnds, TO_ACCEPTOR, TO_DIALER};
use crate::load::{Load, LoadResults, RunningLoad};
use crate::process_cluster::ProcessCluster;
use crate::recording::{now, LinkState, LocationSummary, Ms, Phase, RecordedEvent};

/// How a rig is made.
#[derive(Debug, Clone)]
pub struct Plan {
    pub routers: usize,
    /// Which router dials which; all that are lower numbered, if none are given.
    pub links: Option<Vec<(usize, usize)>>,
    pub caches: usize,
    /// Inside of `hierarchy(...)`, `gateway(...)` and `fellows(...)`.
    pub hierarchy: String,
    pub gateway: String,
    pub cluster_settings: String,
    /// Where each router stands in the tree of the fleet; without any the fleet is flat.
    pub places: Vec<String>,
    /// Inside of `audit(...)` and `straggler(...)`; without them they are off.
    pub audit: Option<String>,
    pub straggler: Option<String>,
    /// By router: a program other than the one of all, such as an earlier build.
    pub programs: BTreeMap<usize, PathBuf>,
    /// Requests a second at each router, and how many objects there are.
    pub rate: f64,
    pub objects: u64,
    /// Rigs of this process that may run at a time; 0 is any number. A machine that is overloaded breaks times by itself.
    pub at_once: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 3,
            links: None,
            caches: 3,
            hierarchy: "extended = True, announce = 0.3, warm = 2, settle = 1, rest = 0.5, retire = 3, \
                        least = 20, held = 3"
                .to_string(),
            gateway: "retry_most = 0.2".to_string(),
            cluster_settings: "suspect = 0.5, frozen = 0.5, compare = 0.5, snapshot = 0.5".to_string(),
            places: Vec::new(),
            audit: Some("span = 0.5".to_string()),
            straggler: None,
            programs: BTreeMap::new(),
            rate: 30.0,
            objects: 400,
            at_once: 3,
        }
    }
}

impl Plan {
    /// How late counts of places may be, by the settings of the fellows.
    pub fn aggregate_bounds(&self) -> AggregateBounds {
        let set = |name: &str| {
            let mut pairs = self.cluster_settings.split(',').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.find(|(known, _)| known.trim() == name)?;
            Some(value.trim().parse::<f64>().ok()? * 1_000.0)
        };
        let bounds = AggregateBounds::default();
        AggregateBounds {
            suspect: set("suspect").unwrap_or(bounds.suspect),
            relied_on: set("renew").map_or(bounds.relied_on, |renew| renew * 3.0),
            // News is gathered for three times as long at the most, and leaves with the next bundle.
            by_level: set("gather").map_or(bounds.by_level, |gather| gather * 3.0 + 200.0),
            moves: set("moves").unwrap_or(bounds.moves),
            ..bounds
        }
    }
}

/// Where the caches stand.
const ZONE: &str = "shop";

/// Rigs that run, and who waits for a turn.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A rig's turn; it ends with the rig.
struct Turn;

impl Turn {
    fn take(most: usize) -> Self {
        let (running, over) = &RUNNING;
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let full = |running: &mut usize| most > 0 && *running >= most;
        let running = over.wait_while(running, full);
        *running.unwrap_or_else(PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let (running, over) = &RUNNING;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        over.notify_one();
    }
}

pub struct Harness {
    pub fleet: ProcessCluster,
    pub plan: Plan,
    /// The fleet's own: rigs beside each other must not meet by a port that was given away.
    site: String,
    proxies: BTreeMap<(usize, usize), FaultProxy>,
    /// In the middle of each router and its journal.
    journals: BTreeMap<usize, FaultProxy>,
    loads: BTreeMap<usize, RunningLoad>,
    /// Loads that have ended, one after another.
    pub ends: Vec<LoadResults>,
    seeds: u64,
    /// What the one journal has told, and how far it has told it to each router.
    events: Vec<JournalEvent>,
    bytes_received: Vec<usize>,
    /// The last to go: all processes have ended by then.
    _turn: Turn,
}

/// An event of the journal.
#[derive(Debug, Clone)]
enum JournalEvent {
    Node(String, Phase),
    Purge(String, f64),
}

pub fn name(n: usize) -> String {
    format!("r{n}")
}

/// A router's operator file with fellows.
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
    pub fn start(program: impl Into<PathBuf>, plan: Plan) -> io::Result<Self> {
        Self::start_with(program, plan, |_, text| text)
    }

    /// The same; `change` has the last word on each router's operator file.
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
        let mut rig = Self {
            fleet,
            plan,
            site,
            proxies,
            journals: BTreeMap::new(),
            loads: BTreeMap::new(),
            ends: Vec::new(),
            seeds: 0,
            events: Vec::new(),
            bytes_received: Vec::new(),
            _turn: turn,
        };
        rig.bytes_received = vec![0; rig.plan.routers];
        for (n, program) in &rig.plan.programs {
            rig.fleet.set_program(&name(*n), Some(program.clone()));
        }
        for n in 0..rig.plan.routers {
            let dials: Vec<_> = rig.dials(n).map(|(to, proxy)| (to, proxy.address)).collect();
            let text = change(n, operator(&rig.plan, n, &rig.site, &dials));
            let sites = [name(n), "journal".to_string()];
            let proxy = FaultProxy::start(ProxyEnds { sites, record: rig.fleet.record.clone() })?;
            let through = |config: &mut Value| {
                if let Some(Ok(journal)) = config["journal"].as_str().map(str::parse) {
                    proxy.set_target(journal);
                }
                config["journal"] = json!(proxy.address.to_string());
            };
            rig.ran(n);
            rig.fleet.start_router(&name(n), Some(&text), through)?;
            rig.journals.insert(n, proxy);
            rig.lead(n)?;
        }
        rig.links().into_iter().for_each(|(a, b)| rig.linked(a, b, [LinkState::Open; 2]));
        for n in 0..rig.plan.routers {
            let others = rig.known(n, &(0..rig.plan.routers).collect::<Vec<_>>()) - 1;
            rig.until(n, "all know of each other", |shown| alive(shown) == others)?;
        }
        Ok(rig)
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
    fn lead(&self, n: usize) -> io::Result<()> {
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

    pub fn links(&self) -> Vec<(usize, usize)> {
        self.proxies.keys().copied().collect()
    }

    /// A second process under a router's name, with links of its own to the others.
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
    pub fn load(&mut self, n: usize) -> io::Result<()> {
        self.seeds += 1;
        let Plan { rate, objects, .. } = self.plan;
        let load = Load { seed: self.seeds, rate, objects, bookings: 0.1, ..Load::default() };
        let running = self.fleet.load(&name(n), &load)?;
        self.loads.insert(n, running);
        Ok(())
    }

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

    // ---- Faults.

    pub fn kill(&mut self, n: usize) {
        self.fleet.kill_router(&name(n));
        self.fleet.record.note(RecordedEvent::Ceased { router: name(n) });
        self.clear_target(n);
        self.end_load(n);
    }

    /// Asks a router to end, and waits for it.
    pub fn stop(&mut self, n: usize) -> io::Result<()> {
        self.fleet.stop_router(&name(n))?;
        self.fleet.record.note(RecordedEvent::Ceased { router: name(n) });
        self.clear_target(n);
        self.end_load(n);
        Ok(())
    }

    /// Starts a router's process again, with what its own journal has.
    pub fn start_again(&mut self, n: usize) -> io::Result<()> {
        self.ran(n);
        self.fleet.start_again(&name(n))?;
        self.ran(n);
        self.lead(n)
    }

    /// For the record: a process that runs from now on, or one that has just come up.
    fn ran(&self, n: usize) {
        if let Some(place) = self.plan.places.get(n) {
            self.fleet.record.note(RecordedEvent::Ran { router: name(n), place: place.clone() });
        }
    }

    /// For the record: what becomes of what each of two says to the other.
    fn linked(&self, a: usize, b: usize, states: [LinkState; 2]) {
        for ((from, to), state) in [(a, b), (b, a)].into_iter().zip(states) {
            self.fleet.record.note(RecordedEvent::Linked { from: name(from), to: name(to), state });
        }
    }

    pub fn freeze(&self, n: usize) -> io::Result<()> {
        self.fleet.record.note(RecordedEvent::Paused { router: name(n) });
        self.fleet.signal(&name(n), Signal::SIGSTOP)
    }

    pub fn wake(&self, n: usize) -> io::Result<()> {
        self.fleet.signal(&name(n), Signal::SIGCONT)?;
        self.fleet.record.note(RecordedEvent::Woken { router: name(n) });
        Ok(())
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.fleet.process_id(&name(n)).is_some()
    }

    fn conditions(&self, from: usize, to: usize, conditions: LinkConditions) {
        if let Some((proxy, direction)) = self.proxy(from, to) {
            proxy.conditions(direction, conditions);
            let state = if conditions.silent { LinkState::Closed } else { LinkState::Uneven };
            self.fleet.record.note(RecordedEvent::Linked { from: name(from), to: name(to), state });
        }
    }

    /// Nothing passes from the one to the other any more; what comes back does.
    pub fn block_direction(&self, from: usize, to: usize) {
        self.conditions(from, to, LinkConditions { silent: true, ..LinkConditions::default() });
    }

    pub fn cut(&self, a: usize, b: usize) {
        if let Some((proxy, _)) = self.proxy(a, b) {
            proxy.cut();
            self.linked(a, b, [LinkState::Closed; 2]);
        }
    }

    /// Bytes a second in each direction.
    pub fn slow(&self, a: usize, b: usize, rate: f64) {
        let conditions = LinkConditions { rate, ..LinkConditions::default() };
        self.conditions(a, b, conditions);
        self.conditions(b, a, conditions);
    }

    pub fn delay(&self, a: usize, b: usize, delay: Duration) {
        let conditions = LinkConditions { delay, ..LinkConditions::default() };
        self.conditions(a, b, conditions);
        self.conditions(b, a, conditions);
    }

    /// What is said next from the one to the other is lost, or comes twice, on a connection that stays up.
    pub fn corrupt(&self, from: usize, to: usize, corruption: Corruption) {
        self.conditions(
            from,
            to,
            LinkConditions { corruption: Some(corruption), ..LinkConditions::default() },
        );
    }

    pub fn mend(&self, a: usize, b: usize) {
        if let Some((proxy, _)) = self.proxy(a, b) {
            proxy.mend();
            self.linked(a, b, [LinkState::Open; 2]);
        }
    }

    pub fn mend_all(&self) {
        self.links().into_iter().for_each(|(a, b)| self.mend(a, b));
    }

    /// Cuts a router off from all fellows.
    pub fn cut_off(&self, n: usize) {
        let of = self.links().into_iter().filter(|(a, b)| *a == n || *b == n);
        of.for_each(|(a, b)| self.cut(a, b));
    }

    /// The same, and waits until it sees that.
    pub fn isolate(&self, n: usize) -> io::Result<()> {
        self.cut_off(n);
        self.until(n, "it is alone", |shown| alive(shown) == 0).map(drop)
    }

    /// Cuts all links between those below `left` and the others.
    pub fn split(&self, left: usize) {
        let across = self.links().into_iter().filter(|(a, b)| (*a < left) != (*b < left));
        across.for_each(|(a, b)| self.cut(a, b));
    }

    // ---- What is told and what is seen.

    /// The journal tells of a node. It is silent for all but these routers; who hears of it hears first of all that
    /// was silent before.
    pub fn tell(&mut self, node: &str, phase: Phase, routers: &[usize]) -> io::Result<()> {
        self.events.push(JournalEvent::Node(node.to_string(), phase));
        self.catch_up(routers)
    }

    /// The same with a purge; nodes drop their copies at once.
    pub fn purge(&mut self, object: &str, routers: &[usize]) -> io::Result<()> {
        let stamp = crate::recording::now().floor();
        self.events.push(JournalEvent::Purge(object.to_string(), stamp));
        self.catch_up(routers)?;
        self.fleet.drop_copies(object, stamp);
        Ok(())
    }

    /// The journal tells one router that a cache drains, and others are to heed it within so long: from then on the
    /// record has it as if their own journals had told them.
    pub fn tell_for(&mut self, node: &str, by: usize, others: &[usize], within: Duration) -> io::Result<()> {
        self.tell(node, Phase::Draining, &[by])?;
        let due = now() + within.as_secs_f64() * 1_000.0;
        for n in others {
            let (router, node, phase) = (name(*n), node.to_string(), Phase::Draining);
            self.fleet.record.note_at(due, RecordedEvent::Listed { router, node, phase });
        }
        Ok(())
    }

    /// The same with a purge; nodes keep their old copies.
    pub fn purge_for(
        &mut self,
        object: &str,
        by: usize,
        others: &[usize],
        within: Duration,
    ) -> io::Result<()> {
        let stamp = now().floor();
        self.events.push(JournalEvent::Purge(object.to_string(), stamp));
        self.catch_up(&[by])?;
        let due = now() + within.as_secs_f64() * 1_000.0;
        for n in others {
            let (router, object) = (name(*n), Some(object.to_string()));
            self.fleet.record.note_at(due, RecordedEvent::Purged { router, object, group: None, stamp });
        }
        Ok(())
    }

    /// Nobody is to act on a version below this one, says a router; 0 takes that back.
    pub fn raise(&self, n: usize, version: u64, bound: Duration) -> io::Result<()> {
        match version {
            0 => self.fleet.asked(&name(n), &["fleet", "floor", "clear"])?,
            _ => self.fleet.asked(&name(n), &["fleet", "floor", "set", &version.to_string()])?,
        };
        let bound = bound.as_secs_f64() * 1_000.0;
        self.fleet.record.note(RecordedEvent::Raised { version, bound });
        Ok(())
    }

    /// Bytes that have crossed the links between those below `left` and the others, both ways.
    pub fn bytes_across(&self, left: usize) -> u64 {
        let across = self.proxies.iter().filter(|((a, b), _)| (*a < left) != (*b < left));
        across.map(|(_, proxy)| proxy.passed().bytes.iter().sum::<u64>()).sum()
    }

    /// The journals of these routers tell all that they were silent about.
    pub fn catch_up(&mut self, routers: &[usize]) -> io::Result<()> {
        let all = self.events.len();
        routers.iter().try_for_each(|n| self.deliver_events(*n, all))
    }

    /// A router's journal tells it what it was silent about, up to so many events of all.
    pub fn deliver_events(&mut self, n: usize, upto: usize) -> io::Result<()> {
        for event in &self.events[self.bytes_received[n].min(upto)..upto] {
            match event {
                JournalEvent::Node(node, phase) => self.fleet.tell_one(&name(n), node, *phase)?,
                JournalEvent::Purge(object, stamp) => self.fleet.tell_purge(&name(n), object, *stamp),
            }
        }
        self.bytes_received[n] = self.bytes_received[n].max(upto);
        Ok(())
    }

    /// How a router sees the fleet.
    pub fn shown(&self, n: usize) -> io::Result<Value> {
        let since = now();
        let shown = self.fleet.asked(&name(n), &["fleet", "show"])?;
        self.note_shown(n, since, &shown);
        Ok(shown)
    }

    pub fn until(&self, n: usize, what: &str, fits: impl Fn(&Value) -> bool) -> io::Result<Value> {
        let since = Cell::new(now());
        let noted = |shown: &Value| {
            self.note_shown(n, since.get(), shown);
            since.set(now());
            fits(shown)
        };
        let seen = self.fleet.until(&name(n), &["fleet", "show"], &format!("r{n}: {what}"), noted);
        // What the record has to say of it.
        seen.map_err(|error| match self.check(&[]) {
            Ok(()) => error,
            Err(broken) => io::Error::new(error.kind(), format!("{error}\n{broken}")),
        })
    }

    /// For the record: what a router shows of places.
    fn note_shown(&self, n: usize, since: Ms, shown: &Value) {
        let places: Vec<LocationSummary> =
            shown["fellows"]["places"].as_array().into_iter().flatten().map(shown_place).collect();
        if !places.is_empty() {
            let (router, fleet_size) = (name(n), shown["whole"].as_u64());
            self.fleet.record.note(RecordedEvent::Shown { router, since, fleet_size, places });
        }
    }

    /// All routers that run.
    pub fn up(&self) -> Vec<usize> {
        (0..self.plan.routers).filter(|n| self.is_up(*n)).collect()
    }

    /// Waits until all that run see each other alive and act on the same hierarchy and the same journal's number.
    pub fn settle(&self) -> io::Result<()> {
        let up = self.up();
        for n in &up {
            let others = self.known(*n, &up) - 1;
            self.until(*n, "all are alive", |shown| alive(shown) == others)?;
        }
        let end = Instant::now() + Duration::from_secs(20);
        loop {
            let mut digests = Vec::new();
            for n in &up {
                digests.push(self.fleet.asked(&name(*n), &["hierarchy", "show"])?["digest"].clone());
            }
            if digests.windows(2).all(|pair| pair[0] == pair[1]) {
                return Ok(());
            }
            if Instant::now() > end {
                let why = format!("hierarchies differ: {digests:?}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, why));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Has changes of the hierarchy take effect at a router, as an operator does.
    pub fn apply(&self, n: usize, changes: &str) -> io::Result<Value> {
        let file = self.fleet.write_file(&format!("changes-{n}.star"), changes)?;
        self.fleet.asked(&name(n), &["hierarchy", "apply", &file.display().to_string()])
    }

    /// A router's operator has a cache fill by the other parent.
    pub fn move_cache(&mut self, n: usize, cache: usize) -> io::Result<()> {
        let cache = format!("cache-{cache}");
        let batch =
            self.apply(n, &format!("rerank(\"{cache}\", sources = [(\"centre\", 0), (\"origin\", 9)])\n"))?;
        let version = batch["stamp"].as_u64().ok_or(io::ErrorKind::InvalidData)?;
        self.fleet.note_shape(version, &[(&cache, &["centre", "origin"])]);
        Ok(())
    }

    /// The journal of a router can't be reached, or can again.
    pub fn silence_journal(&self, n: usize, silent: bool) {
        if let Some(proxy) = self.journals.get(&n) {
            match silent {
                true => proxy.cut(),
                false => proxy.mend(),
            }
        }
    }

    /// What all routers that run keep of their own and of others' accounts.
    pub fn accounts(&self) -> io::Result<VerifiedLogs> {
        let mut links = Vec::new();
        for n in self.up() {
            let file = self.fleet.write_file(&format!("accounts-{n}"), "")?;
            let socket = self.fleet.socket(&name(n)).display().to_string();
            let output =
                self.fleet.command(&["audit", "export", &file.display().to_string(), "--socket", &socket])?;
            if !output.status.success() {
                return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
            }
            links.extend(read_file(&std::fs::read(&file)?).ok_or(io::ErrorKind::InvalidData)?);
        }
        Ok(VerifiedLogs::new(links))
    }

    /// Whether the accounts and the record tell the same: each booking that reached a node is in some account or in a gap
    /// that is named, and no account has one that no node saw, unless its end says that it may not have got there.
    pub fn accounted(&self, accounts: &VerifiedLogs) -> Result<(), String> {
        let lines = self.fleet.record.lines();
        let mut seen = BTreeSet::<(&str, &str)>::new();
        let mut recorded = BTreeSet::<(String, String)>::new();
        let mut open = Vec::new();
        let known_from = accounts.earliest_known();
        for (router, _, _, span) in accounts.spans() {
            for booking in &span.write_attempts {
                recorded.insert((router.to_string(), booking.request_id.clone()));
                // Turned back, cancelled or broken off it may never have got there.
                let mut ends = accounts
                    .attempts_of_request(&booking.request_id)
                    .into_iter()
                    .filter(|trace| trace.name == router);
                let arrived = ends.any(|trace| {
                    let end = trace.outcome.filter(|end| end.attempt == booking.attempt);
                    end.is_some_and(|end| matches!(end.outcome.as_str(), "answered" | "absent"))
                });
                if arrived {
                    open.push((router.to_string(), booking.request_id.clone()));
                }
            }
        }
        for line in &lines {
            let RecordedEvent::Asked { asked, .. } = &line.what else { continue };
            let Some(router) = asked.router.as_deref().filter(|_| asked.class == "booking") else { continue };
            // A second process of a name is not told apart here.
            let router = router.trim_end_matches("-twin");
            seen.insert((router, &asked.id));
            let in_gap = |finding: &Finding| match finding {
                Finding::Gap { name, from, to, .. } => {
                    let from = from.map_or(0.0, |at| at.ms as f64);
                    let to = to.map_or(f64::INFINITY, |at| at.ms as f64);
                    name == router && (from - 50.0..=to + 50.0).contains(&line.at)
                }
                _ => false,
            };
            // Killed before anybody that still runs heard of its start: nothing is known of it, and that is said.
            let before = known_from.get(router).is_none_or(|from| line.at <= from.ms as f64 + 50.0);
            let known = before || recorded.contains(&(router.to_string(), asked.id.clone()));
            if !known && !accounts.findings.iter().any(in_gap) {
                return Err(format!(
                    "{router}'s booking {} at {:.0} is in no account and no gap",
                    asked.id, line.at
                ));
            }
        }
        let unseen = open.iter().find(|(router, id)| !seen.contains(&(router.as_str(), id.as_str())));
        match unseen {
            Some((router, id)) => Err(format!("{router}'s account has booking {id}, which no node saw")),
            None => Ok(()),
        }
    }

    fn rules(&self) -> RuleBounds {
        let aggregates = self.plan.aggregate_bounds();
        RuleBounds { slack: 500.0, going_over: 7_000.0, aggregates, ..RuleBounds::default() }
    }

    /// Waits until all that has changed is known everywhere by its bound, and has each router that runs show places: what
    /// they show then is judged as it is.
    pub fn look(&self) -> io::Result<()> {
        let due = quiet_from(&self.fleet.record.lines(), &self.rules());
        thread::sleep(Duration::from_secs_f64((due - now()).max(0.0) / 1_000.0 + 0.01));
        self.up().into_iter().try_for_each(|n| self.shown(n).map(drop))
    }

    /// The rules that were broken, but for those that are not asked for.
    pub fn breaches(&self, but: &[Rule]) -> Vec<Breach> {
        let rules = self.rules();
        let lines = with_pauses(&self.fleet.record.lines(), 2_000.0);
        let mut breaches = judge(&lines, &rules);
        breaches.retain(|breach| !but.contains(&breach.rule));
        breaches
    }

    /// No rule is broken.
    pub fn check(&self, but: &[Rule]) -> Result<(), String> {
        let breaches = self.breaches(but);
        let first: String = breaches.iter().take(8).map(|breach| format!("{breach}\n")).collect();
        let twice = self.fleet.node("origin").ran_twice();
        match breaches.is_empty() && twice.is_empty() {
            true => Ok(()),
            false => Err(format!("{} breaches, {} ran twice\n{first}", breaches.len(), twice.len())),
        }
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

// ---- Scripts.

/// One fault, or its end, or something that is told meanwhile.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    Kill(usize),
    StartAgain(usize),
    Freeze(usize),
    Wake(usize),
    Cut(usize, usize),
    BlockDirection(usize, usize),
    Slow(usize, usize),
    Delay(usize, usize),
    Lose(usize, usize),
    Repeat(usize, usize),
    Mend(usize, usize),
    /// A router's operator has a cache fill by another parent.
    Batch(usize, usize),
    /// The journals of the lower or the higher half tell that a cache drains, or that it is back.
    Drain(usize, bool),
    Back(usize),
}

/// A script: pauses in milliseconds and what comes after each.
pub type Script = Vec<(u64, Step)>;

/// The script of a seed: some kinds of faults are left out by each, so that rare mixes come up.
pub fn script(seed: u64, routers: usize, caches: usize, steps: usize) -> Script {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let kinds: Vec<usize> = (0..11).filter(|_| chance.random::<f64>() < 0.6).collect();
    let mut down = vec![false; routers];
    let mut frozen = vec![false; routers];
    let mut drained = None;
    let mut script = Script::new();
    for _ in 0..steps {
        let pause = chance.random_range(30..400);
        let (a, mut b) = (chance.random_range(0..routers), chance.random_range(0..routers));
        if a == b {
            b = (a + 1) % routers;
        }
        let kind = if kinds.is_empty() { 4 } else { kinds[chance.random_range(0..kinds.len())] };
        let step = match kind {
            0 if down[a] => Step::StartAgain(a),
            0 if !frozen[a] && down.iter().filter(|down| **down).count() + 1 < routers => Step::Kill(a),
            1 if frozen[a] => Step::Wake(a),
            1 if !down[a] => Step::Freeze(a),
            2 => Step::Cut(a, b),
            3 => Step::BlockDirection(a, b),
            4 => Step::Mend(a, b),
            5 => Step::Slow(a, b),
            6 => Step::Delay(a, b),
            7 => Step::Lose(a, b),
            8 => Step::Repeat(a, b),
            9 if !down[a] && !frozen[a] => Step::Batch(a, chance.random_range(0..caches)),
            10 => match drained.take() {
                Some(cache) => Step::Back(cache),
                None => {
                    let cache = chance.random_range(0..caches);
                    drained = Some(cache);
                    Step::Drain(cache, chance.random())
                }
            },
            _ => continue,
        };
        match step {
            Step::Kill(n) => down[n] = true,
            Step::StartAgain(n) => down[n] = false,
            Step::Freeze(n) => frozen[n] = true,
            Step::Wake(n) => frozen[n] = false,
            _ => {}
        }
        script.push((pause, step));
    }
    script
}

/// What a script came to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Played {
    pub asked: u32,
    pub served: u32,
    pub refused: u32,
    pub failed: u32,
    /// Drains and batches that were heard from fellows first, at all routers.
    pub drains: u64,
    pub batches: u64,
    /// From the end of the faults until all were of one mind.
    pub settled_in: Duration,
}

impl Harness {
    fn step(&mut self, step: Step, drained: &mut Option<usize>) -> io::Result<()> {
        match step {
            Step::Kill(n) => self.kill(n),
            Step::StartAgain(n) => {
                self.start_again(n)?;
                self.load(n)?;
            }
            Step::Freeze(n) => self.freeze(n)?,
            Step::Wake(n) => self.wake(n)?,
            Step::Cut(a, b) => self.cut(a, b),
            Step::BlockDirection(a, b) => self.block_direction(a, b),
            Step::Slow(a, b) => self.slow(a, b, 2_000.0),
            Step::Delay(a, b) => self.delay(a, b, Duration::from_millis(150)),
            Step::Lose(a, b) => self.corrupt(a, b, Corruption::Lost),
            Step::Repeat(a, b) => self.corrupt(a, b, Corruption::Repeated),
            Step::Mend(a, b) => self.mend(a, b),
            // One that overtakes another may be refused: that is for the hierarchy to say.
            Step::Batch(n, cache) => _ = self.move_cache(n, cache),
            Step::Drain(cache, high) => {
                let half = self.plan.routers / 2;
                let notified: Vec<usize> = (0..self.plan.routers).filter(|n| (*n >= half) == high).collect();
                self.tell(&format!("cache-{cache}"), Phase::Draining, &notified)?;
                *drained = Some(cache);
            }
            Step::Back(cache) => {
                let all: Vec<usize> = (0..self.plan.routers).collect();
                self.tell(&format!("cache-{cache}"), Phase::Ready, &all)?;
                *drained = None;
            }
        }
        Ok(())
    }

    /// Plays a script under load, ends all its faults, and waits until all are of one mind. A cache that is drained
    /// then by some journals only must have been left alone by all.
    pub fn play(&mut self, script: &Script) -> Result<Played, String> {
        let io_text = |error: io::Error| error.to_string();
        self.load_all().map_err(io_text)?;
        let mut drained = None;
        for (pause, step) in script {
            thread::sleep(Duration::from_millis(*pause));
            self.step(*step, &mut drained).map_err(|error| format!("{step:?}: {error}"))?;
        }
        self.mend_all();
        for n in 0..self.plan.routers {
            match self.is_up(n) {
                true => self.wake(n).map_err(io_text)?,
                false => {
                    self.start_again(n).map_err(io_text)?;
                    self.load(n).map_err(io_text)?;
                }
            }
        }
        let begun = Instant::now();
        self.settle().map_err(io_text)?;
        let settled_in = begun.elapsed();
        if let Some(cache) = drained {
            let cache = format!("cache-{cache}");
            let silent: Vec<usize> =
                (0..self.plan.routers).filter(|n| self.bytes_received[*n] < self.events.len()).collect();
            for n in silent {
                let by_gossip = |shown: &Value| {
                    let barred = shown["barred"].as_array();
                    barred.is_some_and(|all| all.iter().any(|line| line[0] == cache.as_str()))
                };
                self.until(n, "the drain is heard from fellows", by_gossip).map_err(io_text)?;
                // From now on it counts as told.
                let (router, node, phase) = (name(n), cache.clone(), Phase::Draining);
                self.fleet.record.note(RecordedEvent::Listed { router, node, phase });
            }
        }
        thread::sleep(Duration::from_millis(700));
        let mut played = Played { settled_in, ..Played::default() };
        for n in 0..self.plan.routers {
            let shown = self.shown(n).map_err(io_text)?;
            played.drains += shown["drains"].as_u64().unwrap_or(0);
            played.batches += shown["batches"].as_u64().unwrap_or(0);
        }
        self.end_loads();
        for ends in &self.ends {
            let sum = |list: &[u32]| list.iter().sum::<u32>();
            played.asked += sum(&ends.asked);
            played.served += sum(&ends.served);
            played.refused += sum(&ends.refused);
            played.failed += sum(&ends.failed);
        }
        let accounts = self.accounts().map_err(io_text)?;
        self.accounted(&accounts)?;
        if let Some(error) = accounts.findings.iter().find(|finding| !matches!(finding, Finding::Gap { .. }))
        {
            return Err(format!("the accounts do not hold together: {error:?}"));
        }
        // Halves that change the hierarchy apart from each other have versions that no record can tell apart.
        self.check(&[Rule::NoStrangeEdge])?;
        Ok(played)
    }
}
