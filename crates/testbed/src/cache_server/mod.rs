//! One server: a cache, a parent or the origin. It stores copies with an age limit, fills from the source
//! that a request names, joins fills in progress, forwards the path of a fill, warms up, and fails when it is
//! overloaded.
//!
//! It has a separate address for each router, so that the recording has the sender of each request, and one
//! that is shared by the other nodes.

mod endpoint;
mod fill;

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

/// Role of a server in the hierarchy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// Stores copies for routers and fills from the source that they name.
    Cache,
    /// Stores copies for caches and fills from a source of its own.
    Parent,
    /// Has all objects, and runs requests that are not idempotent.
    Origin,
}

/// Configuration of a server.
#[derive(Debug, Clone)]
pub struct CacheServerConfig {
    /// Its role in the hierarchy.
    pub kind: ServerRole,
    /// Most copies that it stores; the least recently used one is evicted first.
    pub copies: usize,
    /// How long it takes to respond without a fill.
    pub latency: Duration,
    /// How long a copy is fresh, by class; without an entry, or with 0, until it is purged.
    pub fresh: BTreeMap<String, Ms>,
    /// Classes of requests that the origin runs.
    pub writes: Vec<String>,
    /// Its own sources, for requests that give no path.
    pub upstream: Vec<String>,
    /// Whether it follows the path in a request; if not, it always uses `upstream`.
    pub follows_path: bool,
    /// Time-out of a fill.
    pub fill_timeout: Duration,
    /// Bytes in the body of a response.
    pub size: usize,
    /// Its capacity after a start; with a multiple of 0 it never fails by overload.
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
            follows_path: true,
            fill_timeout: Duration::from_secs(2),
            size: 1_000,
            cold: WarmUpCapacity::default(),
        }
    }
}

/// The addresses at which nodes reach each other, by name.
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
    /// Keys in the order of their uses; a key that was used again has a later entry too.
    order: VecDeque<(Key, u64)>,
    uses: u64,
    filling: HashSet<Key>,
    started: Ms,
    arrivals: VecDeque<Ms>,
    fallen: bool,
    /// Fills on an older version than this are rejected.
    floor: u64,
    /// Its own sources; they can change while it runs.
    upstream: Vec<String>,
    /// The hierarchy version that it sends with fills to its own sources.
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

/// One address of a server, and the router that uses it; `None` for the other nodes.
struct ServerEndpoint {
    inner: Arc<Inner>,
    router: Option<String>,
}

/// A server with its addresses.
pub struct CacheServer {
    inner: Arc<Inner>,
    servers: Mutex<BTreeMap<String, (SocketAddr, Server)>>,
}

/// The name of the address that nodes use among each other.
const OTHER_NODES: &str = "";

impl CacheServer {
    /// Starts a server and adds its address to the directory.
    ///
    /// # Errors
    /// The address can't be bound.
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
        let address = node.address_for(OTHER_NODES)?;
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

    /// The address for a router; it starts to listen there at the first call.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn address_for(&self, router: &str) -> io::Result<SocketAddr> {
        if let Some((address, _)) = self.servers().get(router) {
            return Ok(*address);
        }
        let server = self.serve(([127, 0, 0, 1], 0).into(), router)?;
        let address = server.address;
        self.servers().insert(router.to_string(), (address, server));
        Ok(address)
    }

    /// Listens for a router at an address that another server had.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen_at(&self, router: &str, address: SocketAddr) -> io::Result<()> {
        let server = self.serve(address, router)?;
        self.servers().insert(router.to_string(), (address, server));
        Ok(())
    }

    fn serve(&self, address: SocketAddr, router: &str) -> io::Result<Server> {
        let router = (router != OTHER_NODES).then(|| router.to_string());
        Server::start(address, Arc::new(ServerEndpoint { inner: self.inner.clone(), router }))
    }

    /// Its name in the endpoint list.
    pub fn name(&self) -> &str {
        &self.inner.name
    }

    /// The fault script of this server.
    pub fn script(&self) -> &Script {
        &self.inner.script
    }

    /// Simulates the end of its process: connections are reset, and its copies are lost.
    pub fn kill(&self) {
        self.servers().values().for_each(|(_, server)| server.kill());
        let mut state = self.inner.lock();
        let (upstream, version) = (std::mem::take(&mut state.upstream), state.version);
        *state = State { upstream, version, ..State::default() };
    }

    /// Starts again at the same addresses, cold and without copies; returns the time.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn restart(&self) -> io::Result<Ms> {
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

    /// Rejects fills on an older version than this from now on.
    pub fn set_floor(&self, version: u64) {
        self.inner.lock().floor = version;
    }

    /// Sets its own sources, and the hierarchy version that has them.
    pub fn set_upstream(&self, upstream: &[&str], version: u64) {
        let mut state = self.inner.lock();
        state.upstream = upstream.iter().map(|name| name.to_string()).collect();
        state.version = version;
    }

    /// Drops the copies of an object that are older than a purge.
    pub fn purge(&self, object: &str, stamp: Ms) {
        self.inner.lock().copies.retain(|key, copy| key.0 != object || copy.dated >= stamp);
    }

    /// Number of stored copies.
    pub fn copies(&self) -> usize {
        self.inner.lock().copies.len()
    }

    /// Whether it has failed by overload since its last start.
    pub fn has_fallen(&self) -> bool {
        self.inner.lock().fallen
    }

    /// Ids of the requests that ran here more than once.
    pub fn ran_twice(&self) -> Vec<String> {
        let state = self.inner.lock();
        state.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }
}

/// The result of a lookup.
struct LookupResult {
    status: &'static str,
    res: String,
    copy: Option<Copy>,
    /// Further fields of the response.
    extra_fields: String,
    ran: bool,
}

impl LookupResult {
    /// A stored copy, with the value of `res`.
    fn cached(copy: Copy, res: &str) -> Self {
        Self {
            status: "data",
            res: res.to_string(),
            copy: Some(copy),
            extra_fields: String::new(),
            ran: true,
        }
    }

    fn without_copy(status: &'static str, res: &str) -> Self {
        Self { status, res: res.to_string(), copy: None, extra_fields: String::new(), ran: false }
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
