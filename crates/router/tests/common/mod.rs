//! The router as a process, between stand-ins for all that it talks to.
#![allow(dead_code, reason = "each test file uses a part of this module")]

pub mod shut;
pub mod timed;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use linnethook_quickstart::{Answer, Cache, CacheEvent, Client, Journal};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rustix::process::{getrlimit, prlimit, Resource, Rlimit};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Longer than anything that is waited for; a test that needs it has failed.
const PATIENCE: Duration = Duration::from_secs(20);

pub type Fields = HashMap<String, String>;

pub struct Fleet {
    pub a: Cache,
    pub b: Cache,
    pub parent: Cache,
    pub origin: Cache,
    pub journal: Journal,
    pub router: Router,
}

pub struct Router {
    pub address: SocketAddr,
    child: Child,
    log: Receiver<String>,
    /// After the next line nobody reads it any more.
    log_closed: Arc<AtomicBool>,
    config: PathBuf,
    settings: Value,
}

/// A stand-in that answers as `answer` says.
pub fn cache(answer: impl Fn(&str, &Fields, &[u8]) -> Option<Answer> + Send + Sync + 'static) -> Cache {
    Cache::start("127.0.0.1:0", Arc::new(answer)).expect("a stand-in listens")
}

/// One that answers everything at once: what was asked, and by whom.
pub fn echo(name: &'static str) -> Cache {
    cache(move |id, fields, body| {
        let mut out = format!("{name} {id} {} {} ", fields["obj"], fields["seg"]).into_bytes();
        out.extend(body);
        Some(Answer::data(out))
    })
}

/// One that leaves everything open.
pub fn holding() -> Cache {
    cache(|_, _, _| None)
}

pub fn host(uid: &str, address: SocketAddr, state: &str) -> Value {
    let (zone, kind) = match uid {
        "cache-a" | "cache-b" => ("shop", "box"),
        "parent" => ("hub", "hub-box"),
        _ => ("hub", "store"),
    };
    json!({"uid": uid, "endpoint": address.to_string(), "az": zone, "model": kind, "pod_group": 0,
           "state": state, "capacity_hint": 8, "boot_ms": 0})
}

/// An address at which nobody listens; it stays taken as long as the socket lives.
pub fn nobody() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("an address");
    let address = socket.local_addr().ok().and_then(|address| address.as_socket());
    (socket, address.expect("an address"))
}

pub fn fleet() -> Fleet {
    fleet_of(echo("a"), echo("b"), echo("origin"))
}

/// A fleet whose router may open few descriptors, with caches that leave everything open.
pub fn narrow_fleet(sockets: usize) -> Fleet {
    fleet_with(holding(), holding(), echo("origin"), sockets)
}

pub fn narrow_fleet_of(sockets: usize, a: Cache, b: Cache) -> Fleet {
    fleet_with(a, b, echo("origin"), sockets)
}

pub fn fleet_of(a: Cache, b: Cache, origin: Cache) -> Fleet {
    fleet_with(a, b, origin, 1024)
}

/// A fleet whose router has an operator file.
pub fn operated_fleet(operator: &str) -> Fleet {
    fleet_by(echo("a"), echo("b"), echo("origin"), 1024, Some(operator))
}

/// A fleet whose router is given fewer descriptors than its configuration says, once it runs.
pub fn short_fleet(descriptors: u64) -> Fleet {
    let fleet = fleet();
    fleet.router.lower_descriptors(descriptors);
    fleet
}

fn fleet_with(a: Cache, b: Cache, origin: Cache, sockets: usize) -> Fleet {
    fleet_by(a, b, origin, sockets, None)
}

fn fleet_by(a: Cache, b: Cache, origin: Cache, sockets: usize, operator: Option<&str>) -> Fleet {
    let parent = echo("parent");
    let targets = [
        host("cache-a", a.address, "Ready"),
        host("cache-b", b.address, "Ready"),
        host("parent", parent.address, "Ready"),
        host("origin", origin.address, "Ready"),
    ];
    let known = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", known).expect("the journal listens");
    let router = Router::start(&journal, sockets, operator, None);
    Fleet { a, b, parent, origin, journal, router }
}

/// An address whose door is shut: connections to it begin and do not come up, until it is opened.
pub struct Late {
    pub address: SocketAddr,
    listener: TcpListener,
    /// What takes the one place that there is before the door.
    _waiting: TcpStream,
}

impl Late {
    pub fn new() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        listener.bind(&any.into()).expect("an address");
        listener.listen(0).expect("it listens");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("its address");
        let _waiting = TcpStream::connect(address).expect("the first one finds a place");
        Self { address, listener, _waiting }
    }

    /// Takes in whoever waits, and whoever comes; its first connection is that of nobody.
    ///
    /// From here on there is room before the door. Where the place is taken again and again, the system tells both sides
    /// different things: a connection is up for who has made it and takes what is written, which is told to this side up
    /// to seconds later, or never. A request would seem to have been sent when it came in.
    pub fn open(
        self,
        answer: impl Fn(&str, &Fields, &[u8]) -> Option<Answer> + Send + Sync + 'static,
    ) -> Cache {
        Cache::serve(self.opened(), Arc::new(answer)).expect("a stand-in listens")
    }

    /// Its listener, with room for whoever comes.
    pub fn opened(self) -> TcpListener {
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

    /// Starts one whose configuration is the example's, changed.
    pub fn start_with(
        journal: &Journal,
        change: impl FnOnce(&mut Value),
        operator: Option<&str>,
        descriptors: Option<u32>,
    ) -> Self {
        Self::try_start(journal, change, operator, descriptors)
            .unwrap_or_else(|log_lines| panic!("{log_lines:?}"))
    }

    /// The same, or what one that does not start has said.
    pub fn try_start(
        journal: &Journal,
        change: impl FnOnce(&mut Value),
        operator: Option<&str>,
        descriptors: Option<u32>,
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
            Some(most) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", &format!("ulimit -n {most} && exec {program}")]);
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
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router starts");
        let stderr = child.stderr.take().expect("its log");
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
            match log.recv_timeout(PATIENCE) {
                Ok(line) if line.contains("listens on") => break line,
                Ok(line) => log_lines.push(line),
                Err(RecvTimeoutError::Timeout) => panic!("it neither starts nor ends"),
                Err(RecvTimeoutError::Disconnected) => {
                    assert_eq!(child.wait().ok().and_then(|end| end.code()), Some(1), "{log_lines:?}");
                    let _ = std::fs::remove_file(path);
                    return Err(log_lines);
                }
            }
        };
        let address = address.rsplit(' ').next().and_then(|address| address.parse().ok());
        Ok(Self {
            address: address.expect("its address"),
            child,
            log,
            log_closed,
            config: path,
            settings: config,
        })
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).expect("a connection")
    }

    pub fn process_id(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32)
    }

    pub fn signal(&self, signal: Signal) {
        kill(self.process_id(), signal).expect("a signal is sent");
    }

    /// Has the system give it no more descriptors than that from here on; those that it has it keeps.
    pub fn lower_descriptors(&self, most: u64) {
        let maximum = getrlimit(Resource::Nofile).maximum;
        let id = rustix::process::Pid::from_raw(self.process_id().as_raw());
        let limit = Rlimit { current: Some(most), maximum };
        prlimit(id, Resource::Nofile, limit).expect("the limit is set");
    }

    /// The counters as it prints them, and the lines of the log before them.
    pub fn counters(&self) -> (HashMap<String, u64>, Vec<String>) {
        self.signal(Signal::SIGUSR1);
        let mut before = Vec::new();
        let line = loop {
            let line = self.log.recv_timeout(PATIENCE).expect("a line of the log");
            if line.contains(" held_clients=") {
                break line;
            }
            before.push(line);
        };
        let pairs = line.split_whitespace().filter_map(|pair| pair.split_once('='));
        (pairs.filter_map(|(name, count)| Some((name.to_string(), count.parse().ok()?))).collect(), before)
    }

    /// The line of the counters as it prints it.
    pub fn counters_line(&self) -> String {
        self.signal(Signal::SIGUSR1);
        self.logged(" held_clients=")
    }

    /// Writes the configuration anew, with another journal, and has it read.
    pub fn reload(&mut self, journal: SocketAddr) {
        self.settings["journal"] = json!(journal.to_string());
        let text = self.settings.to_string();
        self.reload_text(&text);
    }

    pub fn reload_text(&self, text: &str) {
        std::fs::write(&self.config, text).expect("a configuration is written");
        self.signal(Signal::SIGHUP);
    }

    /// Writes the operator file anew and has it read.
    pub fn rewrite_operator(&mut self, text: &str) {
        std::fs::write(self.config.with_extension("star"), text).expect("an operator file is written");
        self.signal(Signal::SIGHUP);
    }

    /// The next line of the log with that in it.
    pub fn logged(&self, part: &str) -> String {
        wait(&self.log, |line: &String| line.contains(part))
    }

    /// Whoever read the log is gone.
    pub fn close_log(&mut self) {
        self.log_closed.store(true, Ordering::Relaxed);
        self.signal(Signal::SIGUSR1);
        let _ = self.logged("counters");
    }

    pub fn ended(&mut self) -> ExitStatus {
        self.child.wait().expect("the router ends")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("star"));
    }
}

/// Waits for what fits, and passes over all before it.
pub fn wait<T>(from: &Receiver<T>, fits: impl Fn(&T) -> bool) -> T {
    loop {
        let next = from.recv_timeout(PATIENCE).expect("it comes in time");
        if fits(&next) {
            return next;
        }
    }
}

/// The next request that a stand-in was sent.
pub fn asked(cache: &Cache) -> (usize, String, Fields, Vec<u8>) {
    match wait(&cache.events, |event| matches!(event, CacheEvent::Request { .. })) {
        CacheEvent::Request { connection, id, fields, body } => (connection, id, fields, body),
        other => panic!("not a request: {other:?}"),
    }
}

/// Idle clients that fill whatever they are given: all come at once, each asks whether the router is ready and has
/// nothing more to say, and who is closed comes again.
pub struct Crowd {
    over: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    pub fn start(address: SocketAddr, count: usize) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let come = move || {
            let mut client = Client::connect(address).ok()?;
            client.ask_ready(1).ok()?;
            client.stream.set_nonblocking(true).ok()?;
            Some(client)
        };
        // Those that come first are there before anything else is done.
        let mut clients: Vec<Option<Client>> = (0..count).map(|_| come()).collect();
        let thread = thread::spawn(move || {
            let mut block = [0; 256];
            while !ends.load(Ordering::Relaxed) {
                for client in &mut clients {
                    let has_left =
                        client.as_mut().is_none_or(|client| match client.stream.read(&mut block) {
                            Ok(n) => n == 0,
                            Err(error) => error.kind() != ErrorKind::WouldBlock,
                        });
                    if has_left {
                        *client = come();
                    }
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Self { over, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The next request that either was sent, and whether the first one was.
pub fn asked_either<'a>(a: &'a Cache, b: &'a Cache) -> (&'a Cache, &'a Cache, usize, String) {
    let until = std::time::Instant::now() + PATIENCE;
    while std::time::Instant::now() < until {
        for (one, other) in [(a, b), (b, a)] {
            if let Ok(CacheEvent::Request { connection, id, .. }) = one.events.try_recv() {
                return (one, other, connection, id);
            }
        }
        thread::yield_now();
    }
    panic!("nobody was asked in time")
}

/// The requests that a stand-in was sent and nobody has looked at, by connection and id.
pub fn asks(cache: &Cache) -> Vec<(usize, String)> {
    let ask = |event| match event {
        CacheEvent::Request { connection, id, .. } => Some((connection, id)),
        _ => None,
    };
    cache.events.try_iter().filter_map(ask).collect()
}

/// Requests that a stand-in was sent and nobody has looked at.
pub fn left_over(cache: &Cache) -> usize {
    cache.events.try_iter().filter(|event| matches!(event, CacheEvent::Request { .. })).count()
}
