//! The router as a process, with servers of the test in place of everything that it connects to.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod booking_sites;
pub mod busy_store;
pub mod fault_plan;
pub mod faulty_origin;
pub mod flooding_clients;
pub mod idle_clients;
pub mod late_listener;
pub mod pending_connections;
pub mod slow_origin;
pub mod soak_client;
pub mod timestamped_server;

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fault_plan::FaultPlan;
use linnethook_quickstart::{Answer, Cache, CacheEvent, Client, Journal};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rustix::process::{getrlimit, prlimit, Resource, Rlimit};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Longer than any event of a test takes; a test that reaches it has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The code of an answer to a served request.
pub const SERVED: u8 = 1;
/// The code of an answer to a rejected request.
pub const REJECTED: u8 = 2;
/// The code of an answer to a failed request.
pub const FAILED: u8 = 3;

/// The fields of a request to a cache or origin, by name.
pub type Fields = HashMap<String, String>;

/// A router with two caches, a parent, an origin and a discovery service.
pub struct Fleet {
    pub a: Cache,
    pub b: Cache,
    pub parent: Cache,
    pub origin: Cache,
    pub journal: Journal,
    pub router: Router,
}

/// A router process; dropping it kills the process.
pub struct Router {
    /// The address that clients connect to.
    pub address: SocketAddr,
    child: Child,
    /// The lines of the process's standard error.
    log: Receiver<String>,
    /// Set once the log's reader is to exit after the next line.
    log_closed: Arc<AtomicBool>,
    config_path: PathBuf,
    config: Value,
}

/// A cache or origin whose answers come from a function; `None` leaves a request unanswered.
pub fn cache(answer: impl Fn(&str, &Fields, &[u8]) -> Option<Answer> + Send + Sync + 'static) -> Cache {
    Cache::start("127.0.0.1:0", Arc::new(answer)).expect("the server listens")
}

/// A server that answers each request at once, with its own name and what was requested.
pub fn echo(name: &'static str) -> Cache {
    cache(move |id, fields, body| {
        let mut out = format!("{name} {id} {} {} ", fields["obj"], fields["seg"]).into_bytes();
        out.extend(body);
        Some(Answer::data(out))
    })
}

/// A server whose requests stay open until the test answers them.
pub fn manual() -> Cache {
    cache(|_, _, _| None)
}

/// One entry of the endpoint list.
pub fn endpoint(uid: &str, address: SocketAddr, state: &str) -> Value {
    let (zone, kind) = match uid {
        "cache-a" | "cache-b" => ("shop", "box"),
        "parent" => ("hub", "hub-box"),
        _ => ("hub", "store"),
    };
    json!({"uid": uid, "endpoint": address.to_string(), "az": zone, "model": kind, "pod_group": 0,
           "state": state, "capacity_hint": 8, "boot_ms": 0})
}

/// The endpoint list of a fleet at these addresses, with all endpoints ready.
pub fn ready_endpoints(a: SocketAddr, b: SocketAddr, parent: SocketAddr, origin: SocketAddr) -> Vec<Value> {
    let addresses = [("cache-a", a), ("cache-b", b), ("parent", parent), ("origin", origin)];
    addresses.iter().map(|(uid, address)| endpoint(uid, *address, "Ready")).collect()
}

/// An address without a listener; it stays bound as long as the socket lives.
pub fn unused_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("an address");
    let address = socket.local_addr().ok().and_then(|address| address.as_socket());
    (socket, address.expect("an address"))
}

/// An address on which nothing listens now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
    listener.local_addr().expect("a bound address")
}

/// A fleet whose servers answer at once.
pub fn fleet() -> Fleet {
    fleet_of(echo("a"), echo("b"), echo("origin"))
}

/// A fleet whose router may open few sockets, with caches that the test answers for.
pub fn fleet_with_socket_limit(sockets: usize) -> Fleet {
    start_fleet(manual(), manual(), echo("origin"), sockets, None)
}

/// The same with other caches.
pub fn fleet_with_socket_limit_of(sockets: usize, a: Cache, b: Cache) -> Fleet {
    start_fleet(a, b, echo("origin"), sockets, None)
}

/// A fleet with these caches and this origin.
pub fn fleet_of(a: Cache, b: Cache, origin: Cache) -> Fleet {
    start_fleet(a, b, origin, 1024, None)
}

/// A fleet whose router has an operator file.
pub fn fleet_with_operator_file(operator: &str) -> Fleet {
    start_fleet(echo("a"), echo("b"), echo("origin"), 1024, Some(operator))
}

/// A fleet whose router gets fewer descriptors than its configuration allows, from after its start.
pub fn fleet_with_descriptor_limit(descriptors: u64) -> Fleet {
    let fleet = fleet();
    fleet.router.lower_descriptors(descriptors);
    fleet
}

fn start_fleet(a: Cache, b: Cache, origin: Cache, sockets: usize, operator: Option<&str>) -> Fleet {
    let parent = echo("parent");
    let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let router = Router::start(&journal, sockets, operator, None);
    Fleet { a, b, parent, origin, journal, router }
}

/// A listener with a full backlog: connections to it stay pending until it accepts them.
pub struct PendingListener {
    /// The address that connections are made to.
    pub address: SocketAddr,
    listener: TcpListener,
    /// The connection that fills the backlog.
    _first: TcpStream,
}

impl PendingListener {
    /// Binds a listener and fills its backlog.
    pub fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        listener.bind(&any.into()).expect("an address");
        listener.listen(0).expect("it listens");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("a bound address");
        let _first = TcpStream::connect(address).expect("the first connection is established");
        Self { address, listener, _first }
    }

    /// Accepts the pending connections and all later ones. The first of them is the one that filled the
    /// backlog.
    ///
    /// The backlog is large from here on. While it overflows, the two ends of a connection differ: the
    /// connecting end has it established and can write, and the listening end gets those bytes up to seconds
    /// later, or never. A request would appear to have been sent when it arrived.
    pub fn accept_connections(
        self,
        answer: impl Fn(&str, &Fields, &[u8]) -> Option<Answer> + Send + Sync + 'static,
    ) -> Cache {
        Cache::serve(self.into_listener(), Arc::new(answer)).expect("the server listens")
    }

    /// The listener, with a large backlog.
    pub fn into_listener(self) -> TcpListener {
        let listener = Socket::from(self.listener);
        listener.listen(1_024).expect("it listens");
        listener.into()
    }
}

impl Router {
    fn start(journal: &Journal, sockets: usize, operator: Option<&str>, descriptors: Option<u32>) -> Self {
        let sockets = |config: &mut Value| config["limits"]["sockets"] = json!(sockets);
        Self::start_with(journal, sockets, operator, descriptors)
    }

    /// Starts a router whose configuration is the example's with changes. `descriptors` is its system limit.
    pub fn start_with(
        journal: &Journal,
        change: impl FnOnce(&mut Value),
        operator: Option<&str>,
        descriptors: Option<u32>,
    ) -> Self {
        Self::try_start(journal, change, operator, descriptors)
            .unwrap_or_else(|log_lines| panic!("{log_lines:?}"))
    }

    /// The same; if the router exits before it listens, its log lines.
    pub fn try_start(
        journal: &Journal,
        change: impl FnOnce(&mut Value),
        operator: Option<&str>,
        descriptors: Option<u32>,
    ) -> Result<Self, Vec<String>> {
        Self::try_start_in(journal, change, operator, descriptors, &[])
    }

    /// Starts a router whose system calls fail as planned.
    pub fn start_with_faults(
        journal: &Journal,
        change: impl FnOnce(&mut Value),
        operator: Option<&str>,
        plan: &FaultPlan,
    ) -> Self {
        Self::try_start_in(journal, change, operator, None, &plan.environment())
            .unwrap_or_else(|log_lines| panic!("{log_lines:?}"))
    }

    /// Like [`Self::try_start`], with environment variables.
    pub fn try_start_in(
        journal: &Journal,
        change: impl FnOnce(&mut Value),
        operator: Option<&str>,
        descriptors: Option<u32>,
        environment: &[(&str, PathBuf)],
    ) -> Result<Self, Vec<String>> {
        let example = include_str!("../../../../examples/config.json");
        let mut config: Value = serde_json::from_str(example).expect("the example configuration");
        config["listen"] = json!("127.0.0.1:0");
        config["journal"] = json!(journal.address.to_string());
        config["known"] = journal.known();
        change(&mut config);
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("linnethook-{}-{n}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a configuration is written");
        let program = env!("CARGO_BIN_EXE_linnethook");
        let mut command = match descriptors {
            None => Command::new(program),
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {limit} && exec {program}")]);
                shell
            }
        };
        if let Some(text) = operator {
            let file = path.with_extension("star");
            std::fs::write(&file, text).expect("an operator file is written");
            command.env("LB_OPERATOR", file);
        }
        let mut child = command
            .env("LB_CONFIG", &path)
            .envs(environment.iter().map(|(name, value)| (*name, value)))
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let stderr = child.stderr.take().expect("the router's standard error");
        let (sender, log) = channel();
        let log_closed = Arc::new(AtomicBool::new(false));
        let closed = log_closed.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let last = closed.load(Ordering::Relaxed);
                let _ = sender.send(line);
                if last {
                    break;
                }
            }
        });
        let mut log_lines = Vec::new();
        let address = loop {
            match log.recv_timeout(TEST_TIMEOUT) {
                Ok(line) if line.contains("listens on") => break line,
                Ok(line) => log_lines.push(line),
                Err(RecvTimeoutError::Timeout) => {
                    panic!("the router neither listens nor exits: {log_lines:?}")
                }
                Err(RecvTimeoutError::Disconnected) => {
                    assert_eq!(child.wait().ok().and_then(|end| end.code()), Some(1), "{log_lines:?}");
                    let _ = std::fs::remove_file(path);
                    return Err(log_lines);
                }
            }
        };
        let address = address.rsplit(' ').next().and_then(|address| address.parse().ok());
        Ok(Self {
            address: address.expect("a bound address"),
            child,
            log,
            log_closed,
            config_path: path,
            config,
        })
    }

    /// A new client connection to the router.
    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }

    /// The process id, for signals and `/proc`.
    pub fn process_id(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // The process is not waited for yet, so that its id is not used again.
        kill(self.process_id(), signal).expect("a signal is sent");
    }

    /// Lowers the system's descriptor limit of the running process; open descriptors stay open.
    pub fn lower_descriptors(&self, limit: u64) {
        let maximum = getrlimit(Resource::Nofile).maximum;
        let id = rustix::process::Pid::from_raw(self.process_id().as_raw());
        let limit = Rlimit { current: Some(limit), maximum };
        prlimit(id, Resource::Nofile, limit).expect("the limit is set");
    }

    /// The counters as the router prints them, and the log lines before them.
    pub fn counters(&self) -> (HashMap<String, u64>, Vec<String>) {
        self.signal(Signal::SIGUSR1);
        let mut before = Vec::new();
        let line = loop {
            let line = self.log.recv_timeout(TEST_TIMEOUT).expect("a line of the log");
            if line.contains(" held_clients=") {
                break line;
            }
            before.push(line);
        };
        let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
        (pairs.filter_map(|(name, count)| Some((name.to_string(), count.parse().ok()?))).collect(), before)
    }

    /// The log line of the counters.
    pub fn counters_line(&self) -> String {
        self.signal(Signal::SIGUSR1);
        self.wait_for_log(" held_clients=")
    }

    /// Rewrites the configuration with another journal, and has the router reload it.
    pub fn reload(&mut self, journal: SocketAddr) {
        self.config["journal"] = json!(journal.to_string());
        let text = self.config.to_string();
        self.reload_text(&text);
    }

    /// Replaces the configuration file by a text, and has the router reload it.
    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.config_path, text).expect("a configuration is written");
        self.signal(Signal::SIGHUP);
    }

    /// Rewrites the operator file and has the router reload it.
    pub fn rewrite_operator(&mut self, text: &str) {
        std::fs::write(self.config_path.with_extension("star"), text).expect("an operator file is written");
        self.signal(Signal::SIGHUP);
    }

    /// Waits for the next log line that contains a text.
    pub fn wait_for_log(&self, part: &str) -> String {
        wait(&self.log, |line: &String| line.contains(part))
    }

    /// Closes the reading end of the log.
    pub fn close_log(&mut self) {
        self.log_closed.store(true, Ordering::Relaxed);
        self.signal(Signal::SIGUSR1);
        let _ = self.wait_for_log("counters");
    }

    /// The lines of the log that were not read yet, until it ends.
    pub fn remaining_log(&self) -> Vec<String> {
        std::iter::from_fn(|| self.log.recv_timeout(TEST_TIMEOUT).ok()).collect()
    }

    /// Kills the process, unless it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().expect("the router exits")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
        let _ = std::fs::remove_file(self.config_path.with_extension("star"));
    }
}

/// Waits for an item that matches, and skips all before it.
pub fn wait<T>(from: &Receiver<T>, matches: impl Fn(&T) -> bool) -> T {
    loop {
        let next = from.recv_timeout(TEST_TIMEOUT).expect("a matching item within the time-out");
        if matches(&next) {
            return next;
        }
    }
}

/// Waits for a condition that must occur.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = std::time::Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(std::time::Instant::now() < end, "not within {TEST_TIMEOUT:?}: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Waits for the next request at a server: its connection, id, fields and body.
pub fn next_request(cache: &Cache) -> (usize, String, Fields, Vec<u8>) {
    match wait(&cache.events, |event| matches!(event, CacheEvent::Request { .. })) {
        CacheEvent::Request { connection, id, fields, body } => (connection, id, fields, body),
        other => panic!("not a request: {other:?}"),
    }
}

/// Waits for the next request at either of two servers: its server, the other one, its connection and its id.
pub fn next_request_at_either<'a>(a: &'a Cache, b: &'a Cache) -> (&'a Cache, &'a Cache, usize, String) {
    let until = std::time::Instant::now() + TEST_TIMEOUT;
    while std::time::Instant::now() < until {
        for (one, other) in [(a, b), (b, a)] {
            if let Ok(CacheEvent::Request { connection, id, .. }) = one.events.try_recv() {
                return (one, other, connection, id);
            }
        }
        thread::yield_now();
    }
    panic!("no request arrived within {TEST_TIMEOUT:?}")
}

/// The requests at a server that the test has not read yet, by connection and id.
pub fn unread_requests(cache: &Cache) -> Vec<(usize, String)> {
    let request = |event| match event {
        CacheEvent::Request { connection, id, .. } => Some((connection, id)),
        _ => None,
    };
    cache.events.try_iter().filter_map(request).collect()
}

/// How many requests at a server the test has not read yet.
pub fn count_unread_requests(cache: &Cache) -> usize {
    cache.events.try_iter().filter(|event| matches!(event, CacheEvent::Request { .. })).count()
}
