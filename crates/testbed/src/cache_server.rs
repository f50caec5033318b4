//! Owns one node: a cache, a parent or the origin. It keeps copies, lets them age, fills from the source that is
//! named, joins fills that are under way, passes the way of a fill on, warms, and falls over when it is pushed.
//!
//! Each router reaches it at an address of its own, so that a record tells who asked; nodes have one for themselves.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use linnethook_hierarchy::loop_detection::{FillPath, PathRejection};
use linnethook_quickstart::Answer;

use crate::faults::{Fault, Script};
use crate::recording::{now, Asked, Ms, RecordedEvent, Recording, WarmUpCapacity};
use crate::server::{ask, CacheRequest, HandlerResponse, RequestHandler, Server};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    Cache,
    Parent,
    Origin,
}

/// How a node works.
#[derive(Debug, Clone)]
pub struct CacheServerConfig {
    pub kind: ServerRole,
    /// Copies that it keeps; the one used longest ago goes first.
    pub copies: usize,
    /// How long an answer of its own takes.
    pub latency: Duration,
    /// How long a copy is fresh, by class; no class, or 0, is until it is purged.
    pub fresh: BTreeMap<String, Ms>,
    /// Classes that run at the origin.
    pub writes: Vec<String>,
    /// Where it goes on if it is told of no way: its own idea of the hierarchy.
    pub upstream: Vec<String>,
    /// Whether it goes the way that it is told; else always by its own idea.
    pub obeys: bool,
    /// How long a fill may take.
    pub patience: Duration,
    /// Bytes of an answer.
    pub size: usize,
    pub cold: WarmUpCapacity,
}

impl CacheServerConfig {
    pub fn new(kind: ServerRole) -> Self {
        let upstream = if kind == ServerRole::Origin { Vec::new() } else { vec!["origin".to_string()] };
        Self {
            kind,
            copies: 100_000,
            latency: Duration::from_millis(if kind == ServerRole::Origin { 10 } else { 1 }),
            fresh: BTreeMap::new(),
            writes: vec!["booking".to_string()],
            upstream,
            obeys: true,
            patience: Duration::from_secs(2),
            size: 1_000,
            cold: WarmUpCapacity::default(),
        }
    }
}

/// The addresses at which nodes reach each other.
#[derive(Debug, Clone, Default)]
pub struct Directory(Arc<Mutex<HashMap<String, SocketAddr>>>);

impl Directory {
    fn find(&self, name: &str) -> Option<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(name).copied()
    }

    fn put(&self, name: &str, address: SocketAddr) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(name.to_string(), address);
    }
}

type Key = (String, u32);

#[derive(Debug, Clone)]
struct Copy {
    body: Vec<u8>,
    dated: Ms,
    used: u64,
}

#[derive(Debug, Default)]
struct State {
    copies: HashMap<Key, Copy>,
    /// Keys in the order of their use, with those that were used again since.
    order: VecDeque<(Key, u64)>,
    uses: u64,
    filling: HashSet<Key>,
    started: Ms,
    arrivals: VecDeque<Ms>,
    fallen: bool,
    /// Fills on an older version than that are turned away.
    floor: u64,
    /// Where it goes on by itself; changes in service.
    upstream: Vec<String>,
    /// The version that goes with fills which it sends by itself.
    version: u64,
    runs: HashMap<String, u32>,
}

struct Inner {
    name: String,
    server_config: CacheServerConfig,
    directory: Directory,
    record: Recording,
    script: Script,
    state: Mutex<State>,
    filled: Condvar,
    attempts: Arc<AtomicU64>,
}

/// One address of a node: who asks there.
struct Front {
    inner: Arc<Inner>,
    router: Option<String>,
}

/// A node with its servers.
pub struct CacheServer {
    inner: Arc<Inner>,
    servers: Mutex<BTreeMap<String, (SocketAddr, Server)>>,
}

/// The name of the front at which nodes ask each other.
const NODES: &str = "";

impl CacheServer {
    pub fn start(
        name: &str,
        server_config: CacheServerConfig,
        directory: &Directory,
        record: &Recording,
        attempts: &Arc<AtomicU64>,
    ) -> io::Result<Self> {
        let upstream = server_config.upstream.clone();
        let state = State { started: now(), upstream, ..State::default() };
        let inner = Arc::new(Inner {
            name: name.to_string(),
            server_config,
            directory: directory.clone(),
            record: record.clone(),
            script: Script::default(),
            state: Mutex::new(state),
            filled: Condvar::new(),
            attempts: attempts.clone(),
        });
        let node = Self { inner, servers: Mutex::default() };
        node.note_start();
        let address = node.front(NODES)?;
        directory.put(name, address);
        Ok(node)
    }

    fn note_start(&self) {
        let cold = self.inner.server_config.cold;
        if cold.fall_multiple > 0.0 {
            self.inner.record.note(RecordedEvent::Started { node: self.inner.name.clone(), cold });
        }
    }

    fn servers(&self) -> MutexGuard<'_, BTreeMap<String, (SocketAddr, Server)>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address at which that router reaches it.
    pub fn front(&self, router: &str) -> io::Result<SocketAddr> {
        if let Some((address, _)) = self.servers().get(router) {
            return Ok(*address);
        }
        let server = self.serve(([127, 0, 0, 1], 0).into(), router)?;
        let address = server.address;
        self.servers().insert(router.to_string(), (address, server));
        Ok(address)
    }

    /// Listens for that router at an address that another node had.
    pub fn front_at(&self, router: &str, address: SocketAddr) -> io::Result<()> {
        let server = self.serve(address, router)?;
        self.servers().insert(router.to_string(), (address, server));
        Ok(())
    }

    fn serve(&self, address: SocketAddr, router: &str) -> io::Result<Server> {
        let router = (router != NODES).then(|| router.to_string());
        Server::start(address, Arc::new(Front { inner: self.inner.clone(), router }))
    }

    pub fn name(&self) -> &str {
        &self.inner.name
    }

    pub fn script(&self) -> &Script {
        &self.inner.script
    }

    /// Its process dies: connections are reset, and what it kept is gone.
    pub fn kill(&self) {
        self.servers().values().for_each(|(_, server)| server.kill());
        let mut state = self.inner.lock();
        let (upstream, version) = (std::mem::take(&mut state.upstream), state.version);
        *state = State { upstream, version, ..State::default() };
    }

    /// It starts again at its addresses, cold and empty.
    pub fn start_again(&self) -> io::Result<Ms> {
        let started = now();
        {
            let mut state = self.inner.lock();
            (state.started, state.fallen) = (started, false);
        }
        self.note_start();
        for (router, (address, server)) in self.servers().iter_mut() {
            *server = self.serve(*address, router)?;
        }
        Ok(started)
    }

    /// Fills on an older version than that are turned away from now on.
    pub fn set_floor(&self, version: u64) {
        self.inner.lock().floor = version;
    }

    /// Its own idea of where it goes on, with the version by which it has it.
    pub fn set_upstream(&self, upstream: &[&str], version: u64) {
        let mut state = self.inner.lock();
        state.upstream = upstream.iter().map(|name| name.to_string()).collect();
        state.version = version;
    }

    /// Drops copies from before a purge.
    pub fn purge(&self, object: &str, stamp: Ms) {
        self.inner.lock().copies.retain(|key, copy| key.0 != object || copy.dated >= stamp);
    }

    /// Copies that it keeps.
    pub fn copies(&self) -> usize {
        self.inner.lock().copies.len()
    }

    pub fn has_fallen(&self) -> bool {
        self.inner.lock().fallen
    }

    /// How often a harmful request ran here, by id: all that ran more than once.
    pub fn ran_twice(&self) -> Vec<String> {
        let state = self.inner.lock();
        state.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }
}

/// What came of looking for an object.
struct Found {
    status: &'static str,
    res: String,
    copy: Option<Copy>,
    /// Further fields of the answer.
    more: String,
    ran: bool,
}

impl Found {
    fn without(status: &'static str, res: &str) -> Self {
        Self { status, res: res.to_string(), copy: None, more: String::new(), ran: false }
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one that came in; false once it has fallen over.
    fn bears(&self) -> bool {
        let cold = self.server_config.cold;
        let mut state = self.lock();
        if state.fallen {
            return false;
        }
        if cold.fall_multiple > 0.0 {
            let at = now();
            state.arrivals.push_back(at);
            while state.arrivals.front().is_some_and(|first| at - first > cold.window) {
                state.arrivals.pop_front();
            }
            let capacity_at =
                cold.capacity_at(at - state.started) * cold.fall_multiple * cold.window / 1000.0;
            if state.arrivals.len() as f64 > capacity_at * 1.1 {
                state.fallen = true;
                drop(state);
                self.record.note(RecordedEvent::Fell { node: self.name.clone() });
                return false;
            }
        }
        true
    }

    fn find(&self, ask: &CacheRequest) -> Found {
        let text = |name: &str| ask.fields.get(name).map(String::as_str);
        let class = text("kind").unwrap_or_default();
        let key = (text("obj").unwrap_or_default().to_string(), part(ask));
        if self.server_config.kind == ServerRole::Origin {
            thread::sleep(self.server_config.latency);
            return self.give_out(ask, class, &key);
        }
        let passed = match text("passed").map(FillPath::parse) {
            None => None,
            Some(Ok(passed)) => Some(passed),
            Some(Err(_)) => return Found::without("failed", "ORIGIN_ERR"),
        };
        if passed.as_ref().is_some_and(|passed| passed.version < self.lock().floor) {
            // What is held would do; a fill on a shape that is gone would not.
            let oldest = f64::INFINITY;
            let cached = self.cached_copy(&key, oldest);
            return cached.map_or_else(
                || Found::without("absent", "NO_FILL"),
                |copy| Found {
                    status: "data",
                    res: "HIT".into(),
                    copy: Some(copy),
                    more: String::new(),
                    ran: true,
                },
            );
        }
        let passed = match passed.map(|passed| (passed.version, passed.append_node(&self.name))) {
            None => None,
            Some((_, Ok(passed))) => Some(passed),
            Some((version, Err(PathRejection::Loop { from, to }))) => {
                let more = format!(",round={version}:{from}>{to}");
                return Found { more, ..Found::without("full", "LOOP") };
            }
            Some((_, Err(PathRejection::HopLimit))) => return Found::without("full", "LOOP"),
        };
        let fresh = self.server_config.fresh.get(class).copied().unwrap_or(0.0);
        let oldest = text("accept").and_then(|age| age.parse::<Ms>().ok()).filter(|age| *age > 0.0);
        let oldest = oldest.or((fresh > 0.0).then_some(fresh)).unwrap_or(f64::INFINITY);
        thread::sleep(self.server_config.latency);
        if let Some(copy) = self.cached_copy(&key, oldest) {
            let stale = fresh > 0.0 && now() - copy.dated > fresh;
            let res = if stale { "STALE" } else { "HIT" };
            return Found {
                status: "data",
                res: res.to_string(),
                copy: Some(copy),
                more: String::new(),
                ran: true,
            };
        }
        let cached_only = hints(ask).any(|hint| hint == "h");
        // A cache is told its source; a parent goes on by the way that it is told, or by its own idea.
        let source_is_given = self.server_config.kind == ServerRole::Cache;
        let hops: Vec<String> = match (source_is_given, text("parent"), text("via")) {
            (true, None, _) => return Found::without("absent", "NO_FILL"),
            (true, Some(source), _) => {
                vec![if cached_only { format!("{source}:h") } else { source.to_string() }]
            }
            (false, _, _) if cached_only => return Found::without("absent", "UP_MISS"),
            (false, _, Some(via)) if self.server_config.obeys => via.split('+').map(str::to_string).collect(),
            (false, ..) => self.lock().upstream.first().cloned().into_iter().collect(),
        };
        if !self.begin(&key) {
            return match self.cached_copy(&key, oldest) {
                Some(copy) => Found {
                    status: "data",
                    res: "COLLAPSED".into(),
                    copy: Some(copy),
                    more: String::new(),
                    ran: true,
                },
                None => Found::without("full", "NO_FILL"),
            };
        }
        let found = self.fill(ask, &key, &hops, passed.as_ref(), oldest, source_is_given);
        self.lock().filling.remove(&key);
        self.filled.notify_all();
        found
    }

    /// The copy, if it is young enough.
    fn cached_copy(&self, key: &Key, oldest: Ms) -> Option<Copy> {
        let mut state = self.lock();
        state.uses += 1;
        let uses = state.uses;
        let copy = state.copies.get_mut(key).filter(|copy| now() - copy.dated <= oldest)?;
        copy.used = uses;
        let copy = copy.clone();
        state.order.push_back((key.clone(), uses));
        Some(copy)
    }

    /// Whether this one is to fill; else another has, or has taken too long.
    fn begin(&self, key: &Key) -> bool {
        let mut state = self.lock();
        if state.filling.insert(key.clone()) {
            return true;
        }
        let busy = |state: &mut State| state.filling.contains(key);
        let waited = self.filled.wait_timeout_while(state, self.server_config.patience, busy);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
        false
    }

    fn keep(&self, key: &Key, copy: &Copy) {
        let mut state = self.lock();
        state.uses += 1;
        let used = state.uses;
        state.copies.insert(key.clone(), Copy { used, ..copy.clone() });
        state.order.push_back((key.clone(), used));
        while state.copies.len() > self.server_config.copies
            || state.order.len() > self.server_config.copies * 4
        {
            let Some((key, used)) = state.order.pop_front() else { break };
            // Used again since: a later place in the order stands for it.
            if state.copies.get(&key).is_some_and(|copy| copy.used == used) {
                state.copies.remove(&key);
            }
        }
    }

    fn fill(
        &self,
        asked: &CacheRequest,
        key: &Key,
        hops: &[String],
        passed: Option<&FillPath>,
        oldest: Ms,
        source_is_given: bool,
    ) -> Found {
        let mut last = Found::without("absent", "NO_FILL");
        for (n, hop) in hops.iter().enumerate() {
            let (name, cached_copy) =
                hop.strip_suffix(":h").map_or((hop.as_str(), false), |name| (name, true));
            let mut fields = vec![
                format!("kind={}", asked.fields.get("kind").map_or("", String::as_str)),
                format!("obj={}", key.0),
                format!("seg={}", key.1),
            ];
            if oldest.is_finite() {
                fields.push(format!("accept={}", oldest.floor().max(1.0)));
            }
            if cached_copy {
                fields.push("hints=h".to_string());
            }
            match passed {
                Some(passed) => fields.push(format!("passed={passed}")),
                // By its own idea, where nobody told it a way.
                None if !source_is_given => {
                    fields.push(format!("passed={}:{}", self.lock().version, self.name))
                }
                None => {}
            }
            // The first source gets the way on that a cache was told; a parent hands on what is left of it.
            let via = match source_is_given {
                true => asked.fields.get("via").cloned(),
                false => Some(hops[n + 1..].join("+")).filter(|via| !via.is_empty()),
            };
            let via = via.filter(|_| !cached_copy || source_is_given);
            fields.extend(via.map(|via| format!("via={via}")));
            let Some(address) = self.directory.find(name) else {
                last = Found::without("full", "UP_DOWN");
                continue;
            };
            match ask(address, &asked.id, &fields.join(","), b"", self.server_config.patience) {
                Ok((status, fields, body)) if status == "data" => {
                    let dated = fields.get("dated").and_then(|at| at.parse().ok()).unwrap_or(0.0);
                    let copy = Copy { body, dated, used: 0 };
                    self.keep(key, &copy);
                    let origin = fields.get("res").is_some_and(|res| res == "MISS_ORIGIN");
                    let res = if origin { "MISS_ORIGIN" } else { "MISS" };
                    let res = res.to_string();
                    return Found { status: "data", res, copy: Some(copy), more: String::new(), ran: true };
                }
                Ok((_, fields, _)) if fields.get("res").is_some_and(|res| res == "LOOP") => {
                    let round = fields.get("round").map(|round| format!(",round={round}"));
                    return Found { more: round.unwrap_or_default(), ..Found::without("full", "LOOP") };
                }
                Ok((status, ..)) if status == "absent" => last = Found::without("absent", "UP_MISS"),
                Ok((status, ..)) if status == "full" => last = Found::without("full", "UP_BUSY"),
                Ok(_) => last = Found::without("failed", "ORIGIN_ERR"),
                Err(_) => last = Found::without("full", "UP_DOWN"),
            }
            if !cached_copy {
                break;
            }
        }
        last
    }

    /// The origin gives a copy out, or runs what is to be run there.
    fn give_out(&self, ask: &CacheRequest, class: &str, key: &Key) -> Found {
        if self.server_config.writes.iter().any(|write| write == class) {
            let mut state = self.lock();
            *state.runs.entry(ask.id.clone()).or_default() += 1;
        }
        let dated = now();
        // What a client can tell the copy by.
        let mut body = format!("{} {} {dated} ", key.0, key.1).into_bytes();
        body.resize(body.len().max(self.server_config.size), b'.');
        let copy = Copy { body, dated, used: 0 };
        Found { status: "data", res: "MISS_ORIGIN".into(), copy: Some(copy), more: String::new(), ran: true }
    }
}

fn part(ask: &CacheRequest) -> u32 {
    ask.fields.get("seg").and_then(|part| part.parse().ok()).unwrap_or(0)
}

fn hints(ask: &CacheRequest) -> impl Iterator<Item = &str> {
    ask.fields.get("hints").map(String::as_str).unwrap_or_default().split('+')
}

impl RequestHandler for Front {
    fn answer(&self, ask: &CacheRequest) -> HandlerResponse {
        let inner = &self.inner;
        let attempt = inner.attempts.fetch_add(1, Ordering::Relaxed);
        let text = |name: &str| ask.fields.get(name).cloned();
        let passed = text("passed").and_then(|text| FillPath::parse(&text).ok());
        let asked = Asked {
            at: inner.name.clone(),
            id: ask.id.clone(),
            class: text("kind").unwrap_or_default(),
            object: text("obj").unwrap_or_default(),
            part: part(ask),
            source: text("parent"),
            via: text("via").map(|via| via.split('+').map(str::to_string).collect()).unwrap_or_default(),
            cached_only: hints(ask).any(|hint| hint == "h"),
            passed: passed.iter().flat_map(FillPath::names).map(str::to_string).collect(),
            version: passed.as_ref().map(|passed| passed.version),
            router: self.router.clone(),
        };
        inner.record.note(RecordedEvent::Asked { attempt, asked });
        let ended = |status: &str, res: &str, ran: bool| {
            let (status, res) = (status.to_string(), res.to_string());
            inner.record.note(RecordedEvent::Ended { attempt, status, res, ran });
        };
        let fault = inner.script.next();
        let bears = inner.bears();
        match fault {
            _ if !bears => {
                ended("", "FALLEN", false);
                return HandlerResponse::Reset;
            }
            Some(Fault::Refuse) => {
                ended("full", "", false);
                return HandlerResponse::Answer(Answer::with_status("full"));
            }
            Some(Fault::Reset) => {
                ended("", "RESET", false);
                return HandlerResponse::Reset;
            }
            Some(Fault::Silent) => return HandlerResponse::Nothing,
            Some(Fault::Slow(by)) => thread::sleep(Duration::from_secs_f64(by / 1000.0)),
            Some(Fault::Fail | Fault::Cut) | None => {}
        }
        let found = inner.find(ask);
        let Found { status, res, copy, more, ran } = found;
        if fault == Some(Fault::Fail) {
            ended("failed", &res, ran);
            return HandlerResponse::Answer(Answer::with_status("failed"));
        }
        ended(status, &res, ran);
        let dated = copy.as_ref().map(|copy| {
            let digest = xxhash_rust::xxh3::xxh3_64(&copy.body[..copy.body.len().min(80)]);
            format!(",digest={digest:016x},dated={}", copy.dated)
        });
        let dated = dated.unwrap_or_default();
        let fields = format!("res={res},first=0{dated}{more}");
        let answer = Answer { status, fields, body: copy.map(|copy| copy.body).unwrap_or_default() };
        match fault {
            Some(Fault::Cut) => HandlerResponse::Half(answer),
            _ => HandlerResponse::Answer(answer),
        }
    }
}
