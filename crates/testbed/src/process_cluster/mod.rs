//! A small cluster: servers, a journal service for each router, and the routers as processes.

mod commands;
mod configuration;
mod events;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use linnethook_quickstart::Journal;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::{json, Value};

use crate::cache_server::{CacheServer, CacheServerConfig, Directory, ServerRole};
use crate::load::{self, Load, RequestNumbers, RunningLoad};
use crate::recording::{Phase, Recording};

pub use configuration::{
    operator_file, reroute, router_program, sources, use_long_deadlines, use_long_deadlines_and_flow,
    LONG_DEADLINE_MS,
};

/// Time-out of waits; longer than anything should take.
const PATIENCE: Duration = Duration::from_secs(20);

/// Text before the address of a gateway in the router's log.
const GATEWAY_ADDRESS_MARKER: &str = "listening for links at ";
/// The same text in earlier builds, which tests of rolling upgrades run.
const EARLIER_GATEWAY_ADDRESS_MARKER: &str = "links come in at ";

/// A server and its entry in the endpoint list.
struct Listed {
    node: CacheServer,
    zone: String,
    capacity: f64,
    started: f64,
}

/// Servers, routers and their journals.
pub struct ProcessCluster {
    /// The recorded traffic.
    pub record: Recording,
    /// The source of request numbers for all clients.
    pub numbers: RequestNumbers,
    program: PathBuf,
    /// Routers with another program than `program`, such as another build.
    programs: BTreeMap<String, PathBuf>,
    folder: PathBuf,
    directory: Directory,
    attempts: Arc<AtomicU64>,
    nodes: BTreeMap<String, Listed>,
    routers: BTreeMap<String, Router>,
    /// The sources of each node in the newest recorded hierarchy.
    edges: BTreeMap<String, Vec<String>>,
}

struct Router {
    journal: Journal,
    config: PathBuf,
    operator: Option<PathBuf>,
    process: Option<Process>,
}

struct Process {
    child: Child,
    address: SocketAddr,
    /// Address for gateways of other sites, if it has a gateway.
    gateway_address: Option<SocketAddr>,
    log: Receiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ProcessCluster {
    fn drop(&mut self) {
        self.routers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ProcessCluster {
    /// A cluster without servers and routers; routers run `program`.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn new(program: impl Into<PathBuf>) -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        // The path is short because the address of a Unix socket has a length limit.
        let folder = std::env::temp_dir().join(format!("lh-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            record: Recording::default(),
            numbers: RequestNumbers::default(),
            program: program.into(),
            programs: BTreeMap::new(),
            folder,
            directory: Directory::default(),
            attempts: Arc::default(),
            nodes: BTreeMap::new(),
            routers: BTreeMap::new(),
            edges: BTreeMap::new(),
        })
    }

    /// The parents of two hubs, `south` and `centre`, caches in one zone, and the origin.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn two_hubs(
        program: impl Into<PathBuf>,
        caches: usize,
        server_config: impl Fn(ServerRole) -> CacheServerConfig,
    ) -> io::Result<Self> {
        let mut fleet = Self::new(program)?;
        fleet.add("origin", "hub", 20.0, server_config(ServerRole::Origin))?;
        for hub in ["south", "centre"] {
            fleet.add(hub, "hub", 30.0, server_config(ServerRole::Parent))?;
        }
        for n in 0..caches {
            fleet.add(&format!("cache-{n}"), "shop", 8.0, server_config(ServerRole::Cache))?;
        }
        Ok(fleet)
    }

    /// A site with caches, a parent and an origin that have its name as prefix. It shares the recording of
    /// `beside`.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn site(
        program: impl Into<PathBuf>,
        site: &str,
        caches: usize,
        beside: Option<&Self>,
        server_config: impl Fn(ServerRole) -> CacheServerConfig,
    ) -> io::Result<Self> {
        let mut fleet = Self::new(program)?;
        if let Some(other) = beside {
            fleet.record = other.record.clone();
            fleet.numbers = other.numbers.clone();
            fleet.attempts = other.attempts.clone();
        }
        let origin = format!("{site}-origin");
        let server_config = |kind| {
            let server_config = server_config(kind);
            let upstream = if kind == ServerRole::Origin { Vec::new() } else { vec![origin.clone()] };
            CacheServerConfig { upstream, ..server_config }
        };
        fleet.add(&origin, "hub", 20.0, server_config(ServerRole::Origin))?;
        fleet.add(&format!("{site}-parent"), "hub", 30.0, server_config(ServerRole::Parent))?;
        for n in 0..caches {
            fleet.add(&format!("{site}-cache-{n}"), "shop", 8.0, server_config(ServerRole::Cache))?;
        }
        Ok(fleet)
    }

    /// Starts a server; routers that start later have it in their endpoint lists.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn add(
        &mut self,
        name: &str,
        zone: &str,
        capacity: f64,
        server_config: CacheServerConfig,
    ) -> io::Result<()> {
        let node = CacheServer::start(name, server_config, &self.directory, &self.record, &self.attempts)?;
        self.nodes.insert(name.to_string(), Listed { node, zone: zone.to_string(), capacity, started: 0.0 });
        Ok(())
    }

    /// A server by its name. Panics if it does not exist.
    pub fn node(&self, name: &str) -> &CacheServer {
        &self.nodes[name].node
    }

    /// Names of all servers.
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// The entry of a server in the endpoint list of a router.
    fn line(&self, router: &str, name: &str, phase: Phase) -> io::Result<Value> {
        let listed = &self.nodes[name];
        let kind = match (name, listed.zone.as_str()) {
            (name, _) if name.ends_with("origin") => "store",
            (_, "hub") => "hub-box",
            _ => "box",
        };
        let state = match phase {
            Phase::Ready => "Ready",
            Phase::Draining => "Terminating",
            Phase::Removed => "Gone",
        };
        let address = listed.node.address_for(router)?;
        Ok(json!({"uid": name, "endpoint": address.to_string(), "az": listed.zone, "model": kind,
            "pod_group": 0, "state": state, "capacity_hint": listed.capacity, "boot_ms": listed.started}))
    }

    /// Starts a router, with an operator file if there is one; `patch` changes its configuration. Returns the
    /// address for clients.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn start_router(
        &mut self,
        name: &str,
        operator: Option<&str>,
        patch: impl Fn(&mut Value),
    ) -> io::Result<SocketAddr> {
        let names = self.node_names();
        let lines: io::Result<Vec<Value>> = names.iter().map(|n| self.line(name, n, Phase::Ready)).collect();
        let known = vec![json!({"hosts": {"rev": 1, "all": true, "targets": lines?}})];
        let journal = Journal::start("127.0.0.1:0", known)?;
        let mut config: Value = serde_json::from_str(include_str!("../../../../examples/config.json"))?;
        config["name"] = json!(name);
        config["listen"] = json!("127.0.0.1:0");
        config["journal"] = json!(journal.address.to_string());
        patch(&mut config);
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, config.to_string())?;
        let operator = operator.map(|text| (self.folder.join(format!("{name}.star")), text));
        if let Some((path, text)) = &operator {
            std::fs::write(path, text.replace("SOCKET", &self.socket(name).display().to_string()))?;
        }
        let operator = operator.map(|(path, _)| path);
        let router = Router { journal, config: path, operator, process: None };
        self.routers.insert(name.to_string(), router);
        self.restart_router(name)
    }

    /// Sets the program of a router from its next start on; `None` is the default program.
    pub fn set_program(&mut self, router: &str, program: Option<PathBuf>) {
        match program {
            Some(program) => self.programs.insert(router.to_string(), program),
            None => self.programs.remove(router),
        };
    }

    /// Starts or restarts a router's process, with the journal's events so far in its configuration.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn restart_router(&mut self, name: &str) -> io::Result<SocketAddr> {
        let program = self.programs.get(name).unwrap_or(&self.program).clone();
        let router = self.routers.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        router.process = None;
        let mut config: Value = serde_json::from_slice(&std::fs::read(&router.config)?)?;
        config["known"] = router.journal.known();
        std::fs::write(&router.config, config.to_string())?;
        let mut command = Command::new(program);
        command.env("LB_CONFIG", &router.config).stdin(Stdio::null()).stderr(Stdio::piped());
        if let Some(operator) = &router.operator {
            command.env("LB_OPERATOR", operator);
        }
        let mut child = command.spawn()?;
        let stderr = child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (sender, log) = channel();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let mut process = Process { child, address: ([127, 0, 0, 1], 0).into(), gateway_address: None, log };
        let address = loop {
            let line = wait(&process.log, "")?;
            if let Some(address) = gateway_address(&line) {
                process.gateway_address = Some(address);
            } else if let Some(address) = address_after(&line, " listens on ") {
                break address;
            }
        };
        process.address = address;
        router.process = Some(process);
        Ok(address)
    }

    /// Kills a router's process (SIGKILL).
    pub fn kill_router(&mut self, name: &str) {
        if let Some(router) = self.routers.get_mut(name) {
            router.process = None;
        }
    }

    /// Ends a router's process with SIGTERM, and waits for its end.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn stop_router(&mut self, name: &str) -> io::Result<()> {
        let router = self.routers.get_mut(name).ok_or(io::ErrorKind::NotFound)?;
        if let Some(mut process) = router.process.take() {
            let id = i32::try_from(process.child.id()).map_err(io::Error::other)?;
            kill(Pid::from_raw(id), Signal::SIGTERM)?;
            process.child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to a router's process.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn signal(&self, router: &str, signal: Signal) -> io::Result<()> {
        let id = self.process_id(router).ok_or(io::ErrorKind::NotFound)?;
        kill(Pid::from_raw(i32::try_from(id).map_err(io::Error::other)?), signal)?;
        Ok(())
    }

    /// Address of a router for clients.
    pub fn address(&self, router: &str) -> Option<SocketAddr> {
        self.routers.get(router)?.process.as_ref().map(|process| process.address)
    }

    /// Address of a router for gateways of other sites.
    pub fn gateway_address(&self, router: &str) -> Option<SocketAddr> {
        self.routers.get(router)?.process.as_ref()?.gateway_address
    }

    /// Starts clients of a router.
    ///
    /// # Errors
    /// A process, a socket or a file that fails, or a name that does not exist.
    pub fn load(&self, router: &str, load: &Load) -> io::Result<RunningLoad> {
        let address = self.address(router).ok_or(io::ErrorKind::NotFound)?;
        load::start(load, router, address, &self.record, &self.numbers)
    }
}

/// The address of the gateway in a log line, if the line has it.
fn gateway_address(line: &str) -> Option<SocketAddr> {
    address_after(line, GATEWAY_ADDRESS_MARKER)
        .or_else(|| address_after(line, EARLIER_GATEWAY_ADDRESS_MARKER))
}

/// The address after a marker in a log line. In a text line it is last; in a JSON line more follows.
fn address_after(line: &str, marker: &str) -> Option<SocketAddr> {
    let rest = line.split(marker).nth(1)?;
    let end = rest.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == ':')).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn wait(log: &Receiver<String>, part: &str) -> io::Result<String> {
    loop {
        let line = log.recv_timeout(PATIENCE).map_err(|_| {
            io::Error::new(io::ErrorKind::TimedOut, format!("no log line with {part:?} within {PATIENCE:?}"))
        })?;
        if line.contains(part) {
            return Ok(line);
        }
    }
}
