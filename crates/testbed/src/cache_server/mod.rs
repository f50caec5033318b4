//! One server: a cache, a parent or the origin. It keeps copies, lets them age, fills from the source that is
//! named, joins fills that are under way, passes the way of a fill on, warms, and falls over when it is pushed.
//!
//! Each router reaches it at an address of its own, so that a record tells who asked; nodes have one for themselves.

mod fill;
mod front;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::faults::Script;
use crate::recording::{now, Ms, RecordedEvent, Recording, WarmUpCapacity};
use crate::server::Server;
use fill::{hints, part};

/// What a server is in the hierarchy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// Keeps copies for routers and fills from the source that they name.
    Cache,
    /// Keeps copies for caches and fills from its own source.
    Parent,
    /// Has each object and runs what is not idempotent.
    Origin,
}

/// How a node works.
#[derive(Debug, Clone)]
pub struct CacheServerConfig {
    /// Its place in the hierarchy.
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
    /// What it can do after a start; it never falls over where the multiple is 0.
    pub cold: WarmUpCapacity,
}

impl CacheServerConfig {
    /// The usual settings of a role: a latency of 10 ms at the origin and of 1 ms elsewhere, and no warm-up.
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
    /// Starts a server and enters its address in the directory.
    ///
    /// # Errors
    /// The address can not be listened at.
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
    ///
    /// # Errors
    /// The address can not be listened at.
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
    ///
    /// # Errors
    /// The address can not be listened at.
    pub fn front_at(&self, router: &str, address: SocketAddr) -> io::Result<()> {
        let server = self.serve(address, router)?;
        self.servers().insert(router.to_string(), (address, server));
        Ok(())
    }

    fn serve(&self, address: SocketAddr, router: &str) -> io::Result<Server> {
        let router = (router != NODES).then(|| router.to_string());
        Server::start(address, Arc::new(Front { inner: self.inner.clone(), router }))
    }

    /// Its name in the endpoint list.
    pub fn name(&self) -> &str {
        &self.inner.name
    }

    /// The faults of this server.
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
    ///
    /// # Errors
    /// The address can not be listened at.
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

    /// Whether it fell over since its last start.
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
    /// A copy, with how it was found.
    fn cached(copy: Copy, res: &str) -> Self {
        Self { status: "data", res: res.to_string(), copy: Some(copy), more: String::new(), ran: true }
    }

    fn without(status: &'static str, res: &str) -> Self {
        Self { status, res: res.to_string(), copy: None, more: String::new(), ran: false }
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
