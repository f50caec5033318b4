//! Routers as processes that start at once during an outage of discovery, and how long each takes from its
//! start until it reports that it is ready.
//!
//! The times depend on the machine: a test waits for the responses and asserts no time.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use linnethook_quickstart::{Answer, Cache, Client, Journal};
use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};

/// Time-out for a start; longer than any start should take.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The kind of outage of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused: nothing listens at its address.
    Refusing,
    /// Connections are accepted, and nothing is ever sent on them.
    Silent,
    /// A response arrives a byte at a time and never ends.
    Trickling,
}

/// A discovery service with an outage, until it recovers at the same address.
pub struct Discovery {
    /// The address that routers poll.
    pub address: SocketAddr,
    socket: Socket,
    stopped: Arc<AtomicBool>,
    trickle: Option<JoinHandle<()>>,
}

impl Discovery {
    /// Reserves an address, and simulates the outage there.
    ///
    /// # Errors
    /// A socket that fails.
    pub fn start(outage: Outage) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let stopped = Arc::new(AtomicBool::new(false));
        if outage != Outage::Refusing {
            socket.listen(128)?;
        }
        let trickle = match outage {
            Outage::Trickling => {
                let listener = TcpListener::from(socket.try_clone()?);
                listener.set_nonblocking(true)?;
                let ends = stopped.clone();
                Some(thread::spawn(move || trickle(&listener, &ends)))
            }
            _ => None,
        };
        Ok(Self { address, socket, stopped, trickle })
    }

    /// Ends the outage: a journal service with these events listens at the same address.
    ///
    /// # Errors
    /// A socket that fails.
    pub fn recover(mut self, known: Vec<Value>) -> io::Result<Journal> {
        self.stop();
        self.socket.listen(128)?;
        self.socket.set_nonblocking(false)?;
        Journal::serve(TcpListener::from(self.socket.try_clone()?), known)
    }

    fn stop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        if let Some(trickle) = self.trickle.take() {
            let _ = trickle.join();
        }
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Sends each connection a response, a byte every 20 ms.
fn trickle(listener: &TcpListener, stopped: &AtomicBool) {
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"pos\": ";
    let mut streams: Vec<(TcpStream, usize)> = Vec::new();
    while !stopped.load(Ordering::Acquire) {
        while let Ok((stream, _)) = listener.accept() {
            streams.push((stream, 0));
        }
        streams.retain_mut(|(stream, written)| {
            let byte = head.get(*written).copied().unwrap_or(b' ');
            *written += 1;
            stream.write_all(&[byte]).is_ok()
        });
        thread::sleep(Duration::from_millis(20));
    }
}

/// The conditions under which routers start.
#[derive(Debug, Clone, Copy)]
pub struct StartScenario {
    /// The kind of outage of discovery.
    pub outage: Outage,
    /// Number of processes that start at once.
    pub processes: usize,
    /// Servers in the endpoint list of each router's configuration.
    pub listed: usize,
    /// Purges in each router's configuration.
    pub purges: usize,
    /// No cache responds, and each router gets requests before it is polled for readiness.
    pub hung: bool,
    /// Threads that keep the machine's cores busy during the start.
    pub busy: usize,
}

impl StartScenario {
    /// A short endpoint list, caches that respond, and no other load.
    pub fn new(outage: Outage, processes: usize) -> Self {
        Self { outage, processes, listed: 4, purges: 0, hung: false, busy: 0 }
    }
}

/// Threads that spin until they are dropped, for at most 60 s.
struct Busy(Arc<AtomicBool>, Vec<JoinHandle<()>>);

impl Busy {
    fn start(threads: usize) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let until = Instant::now() + Duration::from_secs(60);
        let spin = |_| {
            let stopped = stopped.clone();
            thread::spawn(move || {
                while !stopped.load(Ordering::Relaxed) && Instant::now() < until {
                    std::hint::spin_loop();
                }
            })
        };
        let threads = (0..threads).map(spin).collect();
        Self(stopped, threads)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        for thread in self.1.drain(..) {
            let _ = thread.join();
        }
    }
}

/// A process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A file that is removed on drop.
struct TemporaryFile(PathBuf);

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// The events in a router's configuration: the endpoint list, then the purges.
fn known(case: &StartScenario, address: SocketAddr) -> Value {
    let target = |n: usize| {
        let (uid, zone, model) = match n {
            0 => ("origin".to_string(), "hub", "store"),
            1 => ("parent".to_string(), "hub", "hub-box"),
            _ => (format!("cache-{n}"), "shop", "box"),
        };
        json!({"uid": uid, "endpoint": address.to_string(), "az": zone, "model": model, "pod_group": n % 16,
            "state": "Ready", "capacity_hint": 8, "boot_ms": 0})
    };
    let targets: Vec<Value> = (0..case.listed).map(target).collect();
    let mut entries = vec![json!({"pos": 1, "hosts": {"rev": 1, "all": true, "targets": targets}})];
    let stamp = 1_764_576_000_000_u64;
    entries.extend(
        (0..case.purges).map(
            |n| json!({"pos": n + 2, "expire": {"name": format!("{n:016x}"), "stamp": stamp + n as u64}}),
        ),
    );
    json!({"pos": entries.len(), "entries": entries})
}

/// The simulated services that routers connect to, and their configuration.
struct SimulatedServices {
    _discovery: Discovery,
    _hung: TcpListener,
    _cache: Cache,
    config: TemporaryFile,
}

impl SimulatedServices {
    fn start(case: &StartScenario) -> io::Result<Self> {
        let discovery = Discovery::start(case.outage)?;
        let hung = TcpListener::bind("127.0.0.1:0")?;
        let cache = Cache::start("127.0.0.1:0", Arc::new(|_, _, _| Some(Answer::data("held"))))?;
        let address = if case.hung { hung.local_addr()? } else { cache.address };
        let mut config: Value = serde_json::from_str(include_str!("../../../examples/config.json"))?;
        config["listen"] = json!("127.0.0.1:0");
        config["journal"] = json!(discovery.address.to_string());
        config["known"] = known(case, address);
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let file =
            TemporaryFile(std::env::temp_dir().join(format!("lh-ready-{}-{n}.json", std::process::id())));
        std::fs::write(&file.0, config.to_string())?;
        Ok(Self { _discovery: discovery, _hung: hung, _cache: cache, config: file })
    }
}

/// Starts the routers, kills them and starts them again all at once. Returns for each the time from its
/// second start until it reports ready; `None` for one that does not within 20 s.
///
/// # Errors
/// A simulated service or the configuration can't be set up.
pub fn restart_all(program: &Path, case: &StartScenario) -> io::Result<Vec<Option<Duration>>> {
    let services = SimulatedServices::start(case)?;
    let requests = if case.hung { 8 } else { 0 };
    start_all(program, &services.config.0, case.processes, requests);
    let _busy = Busy::start(case.busy);
    Ok(start_all(program, &services.config.0, case.processes, requests))
}

/// Peak memory of one router in bytes by the time it reports ready (`VmHWM` in `/proc`).
///
/// # Errors
/// A simulated service or the configuration can't be set up, the router does not start, or `/proc` has no
/// such value.
pub fn peak_memory(program: &Path, case: &StartScenario) -> io::Result<u64> {
    let services = SimulatedServices::start(case)?;
    let (process, _) = start(program, &services.config.0, 0)?;
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id()))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kilobytes.map(|kilobytes| kilobytes * 1024).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Starts all processes concurrently, and kills them once the last one is ready or has failed.
fn start_all(program: &Path, config: &Path, processes: usize, requests: u32) -> Vec<Option<Duration>> {
    let started: Vec<Option<(Process, Duration)>> = thread::scope(|scope| {
        let starts: Vec<_> =
            (0..processes).map(|_| scope.spawn(|| start(program, config, requests).ok())).collect();
        starts.into_iter().map(|start| start.join().ok().flatten()).collect()
    });
    started.iter().map(|started| started.as_ref().map(|(_, took)| *took)).collect()
}

fn start(program: &Path, config: &Path, requests: u32) -> io::Result<(Process, Duration)> {
    let since = Instant::now();
    let mut command = Command::new(program);
    command.env("LB_CONFIG", config).stdin(Stdio::null()).stderr(Stdio::piped());
    let mut process = Process(command.spawn()?);
    let log = process.0.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?;
    let mut address = None;
    for line in BufReader::new(log).lines() {
        address =
            line?.split_once(" listens on ").and_then(|(_, address)| address.parse::<SocketAddr>().ok());
        if address.is_some() {
            break;
        }
    }
    let mut client = Client::connect(address.ok_or(io::ErrorKind::UnexpectedEof)?)?;
    for stream in 1..=requests {
        let (id, object) = (format!("{stream:016x}"), format!("{:016x}", stream * 7_919));
        let fields = [("c", "video"), ("i", &id), ("o", &object), ("d", "3000"), ("m", "40")];
        client.ask(stream, &fields, b"")?;
    }
    let mut stream = requests;
    while since.elapsed() < START_TIMEOUT {
        stream += 1;
        client.ask_ready(stream)?;
        loop {
            let frame = client.read()?;
            match (frame.kind, frame.code) {
                (81, 1) => return Ok((process, since.elapsed())),
                (81, _) => break,
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// Median, 95th percentile and maximum of times; `None` without any.
pub fn spread(mut times: Vec<Duration>) -> Option<[Duration; 3]> {
    times.sort_unstable();
    let at = |part: f64| times.get(((times.len() as f64 * part).ceil() as usize).saturating_sub(1)).copied();
    Some([at(0.5)?, at(0.95)?, at(1.0)?])
}
