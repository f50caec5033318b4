//! Stand-ins for clients, caches, the journal service and the network, by the protocol page. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in milliseconds.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the run includes the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The record.

/// What was sent, answered and run, one line each, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: f64,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { start: now_ms(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn at(&self, at: f64) -> f64 {
        at - self.start
    }

    pub fn note(&self, line: &str) {
        self.note_at(now_ms(), line);
    }

    pub fn note_at(&self, at: f64, line: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:10.1} {line}", at - self.start);
        println!("{:10.1} {line}", at - self.start);
    }
}

// ---- Caches, parents and the origin.

/// A request that has arrived whole.
#[derive(Clone)]
pub struct Ask {
    pub at: f64,
    pub connection: u64,
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    out: Arc<Mutex<TcpStream>>,
    over: Arc<AtomicBool>,
}

impl Ask {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Whether it was given up, by QUIT or by the end of its connection.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Writes an answer; false if the connection has ended or the request was given up.
    pub fn answer(&self, word: &str, fields: &str, body: &[u8]) -> bool {
        if self.over.swap(true, Ordering::SeqCst) {
            return false;
        }
        let mut bytes = b"*4\r\n".to_vec();
        for part in [self.id.as_bytes(), word.as_bytes(), fields.as_bytes(), body] {
            bytes.extend(format!("${}\r\n", part.len()).bytes());
            bytes.extend(part);
            bytes.extend(b"\r\n");
        }
        self.out.lock().expect("a socket").write_all(&bytes).is_ok()
    }
}

/// What a server of the cache protocol sees.
pub enum Seen {
    Asked(Ask),
    /// Given up by QUIT, or by the end of the connection.
    GivenUp { at: f64, id: String, how: &'static str },
}

/// Starts a server; `see` is called in the thread of the connection and must not block for long.
pub fn serve_cache(see: impl Fn(Seen) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let see: Arc<dyn Fn(Seen) + Send + Sync> = Arc::new(see);
    let count = AtomicU64::new(0);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = count.fetch_add(1, Ordering::SeqCst) + 1;
            let see = see.clone();
            thread::spawn(move || serve_connection(number, &stream, &*see));
        }
    });
    Ok(address)
}

fn serve_connection(number: u64, stream: &TcpStream, see: &(dyn Fn(Seen) + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let Ok(out) = stream.try_clone() else { return };
    let out = Arc::new(Mutex::new(out));
    let mut open: HashMap<String, Arc<AtomicBool>> = HashMap::new();
    let mut input = BufReader::new(stream);
    while let Ok(parts) = read_array(&mut input) {
        let text = |n: usize| parts.get(n).map(|part| String::from_utf8_lossy(part).into_owned()).unwrap_or_default();
        let (command, id) = (text(0), text(1));
        match command.as_str() {
            "ASK" => {
                let over = Arc::new(AtomicBool::new(false));
                open.insert(id.clone(), over.clone());
                let fields = text(2);
                let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
                let fields = pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect();
                let body = parts.get(3).cloned().unwrap_or_default();
                see(Seen::Asked(Ask { at: now_ms(), connection: number, id, fields, body, out: out.clone(), over }));
            }
            "QUIT" => {
                if let Some(over) = open.remove(&id) {
                    if !over.swap(true, Ordering::SeqCst) {
                        see(Seen::GivenUp { at: now_ms(), id, how: "QUIT" });
                    }
                }
            }
            "NOOP" | "INFO" => {
                let answer = format!("*4\r\n${}\r\n{id}\r\n$4\r\nwell\r\n$1\r\n-\r\n$0\r\n\r\n", id.len());
                if out.lock().expect("a socket").write_all(answer.as_bytes()).is_err() {
                    break;
                }
            }
            _ => break,
        }
    }
    for (id, over) in open {
        if !over.swap(true, Ordering::SeqCst) {
            see(Seen::GivenUp { at: now_ms(), id, how: "closed" });
        }
    }
}

fn read_array(input: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count = read_number(input, b'*')?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let mut part = vec![0; read_number(input, b'$')? + 2];
        input.read_exact(&mut part)?;
        part.truncate(part.len() - 2);
        parts.push(part);
    }
    Ok(parts)
}

fn read_number(input: &mut impl BufRead, sign: u8) -> io::Result<usize> {
    let mut line = Vec::new();
    input.take(32).read_until(b'\n', &mut line)?;
    if line.first() != Some(&sign) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let digits = String::from_utf8_lossy(&line[1..]).trim().to_string();
    digits.parse().map_err(|_| io::ErrorKind::InvalidData.into())
}

// ---- The journal service.

/// A journal service: events by number, over long polls.
#[derive(Clone)]
pub struct Journal {
    pub address: SocketAddr,
    /// Each answer comes so long after its request at the earliest.
    pub delay_ms: Arc<AtomicU64>,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl Journal {
    /// `events` are JSON objects without their first brace and number, for example `"expire":{...}}`.
    pub fn start(events: &[String]) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let journal = Self { address, delay_ms: Arc::default(), events: Arc::default() };
        events.iter().for_each(|event| journal.publish(event));
        let serving = journal.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let journal = serving.clone();
                thread::spawn(move || journal.serve(&stream));
            }
        });
        Ok(journal)
    }

    pub fn publish(&self, event: &str) {
        let (events, changed) = &*self.events;
        let mut events = events.lock().expect("events");
        let number = events.len() + 1;
        events.push(format!("{{\"pos\":{number},{event}"));
        changed.notify_all();
    }

    /// The events after a number, as a page.
    pub fn page(&self, after: usize) -> String {
        let events = self.events.0.lock().expect("events");
        let later = events.get(after..).unwrap_or_default();
        format!("{{\"pos\":{},\"entries\":[{}]}}", events.len().max(after), later.join(","))
    }

    fn serve(&self, stream: &TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut input = BufReader::new(stream);
        loop {
            let mut head = String::new();
            loop {
                let mut line = String::new();
                if input.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                if line == "\r\n" {
                    break;
                }
                head.push_str(&line);
            }
            let query = head.split_whitespace().nth(1)?.split_once('?')?.1.to_string();
            let value = |name: &str| -> Option<u64> {
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let (tail, wait) = (value("tail")? as usize, value("max_wait")?.min(5_000));
            let asked = Instant::now();
            {
                let (events, changed) = &*self.events;
                let events = events.lock().ok()?;
                let _ = changed
                    .wait_timeout_while(events, Duration::from_millis(wait), |events| events.len() <= tail)
                    .ok()?;
            }
            let page = self.page(tail);
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::SeqCst)).saturating_sub(asked.elapsed()));
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len());
            (&mut &*stream).write_all(answer.as_bytes()).ok()?;
        }
    }
}

/// An entry of the list of caches.
pub fn target(uid: &str, address: SocketAddr, zone: &str, kind: &str, size: u32, state: &str) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\"pod_group\":0,\
         \"state\":\"{state}\",\"capacity_hint\":{size},\"boot_ms\":0}}"
    )
}

/// The event of a list of caches.
pub fn hosts(all: bool, targets: &[String]) -> String {
    format!("\"hosts\":{{\"rev\":1,\"all\":{all},\"targets\":[{}]}}}}", targets.join(","))
}

// ---- A proxy.

/// What the proxy does with bytes that arrive.
#[derive(Clone, Copy, PartialEq)]
pub enum Flow {
    Pass,
    /// They are dropped, and so is the end of the connection: the other side hears nothing.
    Silent,
}

/// A proxy on one address that can be told to drop what goes in one direction.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    /// Towards the one that was connected to.
    pub forth: Arc<Mutex<Flow>>,
    /// Towards the one that connected.
    pub back: Arc<Mutex<Flow>>,
    /// Both ends of each connection: of the one that connected, and of the target.
    ends: Arc<Mutex<Vec<(TcpStream, TcpStream)>>>,
    pub accepts: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
            forth: Arc::new(Mutex::new(Flow::Pass)),
            back: Arc::new(Mutex::new(Flow::Pass)),
            ends: Arc::default(),
            accepts: Arc::new(AtomicBool::new(true)),
        };
        let serving = proxy.clone();
        thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if !serving.accepts.load(Ordering::SeqCst) {
                    continue;
                }
                let to = *serving.target.lock().expect("a target");
                let Ok(to) = TcpStream::connect(to) else { continue };
                let _ = (from.set_nodelay(true), to.set_nodelay(true));
                let (Ok(a), Ok(b), Ok(c), Ok(d)) = (from.try_clone(), to.try_clone(), from.try_clone(), to.try_clone())
                else {
                    continue;
                };
                serving.ends.lock().expect("ends").push((a, b));
                relay(from, d, serving.forth.clone());
                relay(to, c, serving.back.clone());
            }
        });
        Ok(proxy)
    }

    pub fn set(&self, forth: Flow, back: Flow) {
        *self.forth.lock().expect("a flow") = forth;
        *self.back.lock().expect("a flow") = back;
    }

    /// Ends all connections towards the side that connected; the other side is left open and silent.
    pub fn drop_dialers(&self) {
        for (dialer, _) in self.ends.lock().expect("ends").iter() {
            let _ = dialer.shutdown(Shutdown::Both);
        }
    }
}

fn relay(mut from: TcpStream, mut to: TcpStream, flow: Arc<Mutex<Flow>>) {
    thread::spawn(move || {
        let mut block = [0; 65_536];
        loop {
            let n = from.read(&mut block).unwrap_or(0);
            let silent = *flow.lock().expect("a flow") == Flow::Silent;
            if n == 0 {
                if !silent {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
            if !silent && to.write_all(&block[..n]).is_err() {
                return;
            }
        }
    });
}

// ---- Clients.

/// An answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at: f64,
    pub stream: u32,
    /// 1 served, 2 refused, 3 failed.
    pub code: u8,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn code_name(code: u8) -> &'static str {
    match code {
        1 => "served",
        2 => "refused",
        3 => "failed",
        _ => "unknown",
    }
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    pub fn try_clone(&self) -> io::Result<Self> {
        Ok(Self { stream: self.stream.try_clone()? })
    }

    pub fn ask(&mut self, stream: u32, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.bytes());
            payload.extend((value.len() as u16).to_be_bytes());
            payload.extend(value.bytes());
        }
        payload.extend(body);
        self.frame(65, stream, &payload)
    }

    pub fn frame(&mut self, kind: u8, stream: u32, payload: &[u8]) -> io::Result<()> {
        let mut out = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
        out.push(kind);
        out.extend(stream.to_be_bytes());
        out.extend(payload);
        self.stream.write_all(&out)
    }

    /// The next frame: its type and, as an answer, its content. `None` at the end of the connection or time.
    pub fn read(&mut self, within: Duration) -> Option<(u8, Answer)> {
        self.stream.set_read_timeout(Some(within.max(Duration::from_millis(1)))).ok()?;
        let mut head = [0; 9];
        self.stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        let mut payload = vec![0; length.saturating_sub(5)];
        self.stream.read_exact(&mut payload).ok()?;
        let mut answer = Answer { at: now_ms(), stream, code: 0, fields: Vec::new(), body: Vec::new() };
        if payload.len() >= 2 {
            answer.code = payload[0];
            let mut rest = &payload[2..];
            for _ in 0..payload[1] {
                let (name, after) = rest.get(1..)?.split_at_checked(usize::from(rest[0]))?;
                let size = u16::from_be_bytes([*after.first()?, *after.get(1)?]);
                let (value, after) = after.get(2..)?.split_at_checked(usize::from(size))?;
                let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
                answer.fields.push((text(name), text(value)));
                rest = after;
            }
            answer.body = rest.to_vec();
        }
        Some((head[4], answer))
    }
}

/// Sends one request on a connection of its own and waits for its answer until 1 s after its time.
pub fn ask_once(
    router: SocketAddr,
    record: &Record,
    class: &str,
    id: &str,
    object: &str,
    wait_ms: u32,
    more: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut client = Client::connect(router).ok()?;
    let wait = wait_ms.to_string();
    let mut fields = vec![("c", class), ("i", id), ("d", wait.as_str()), ("o", object)];
    fields.extend_from_slice(more);
    record.note(&format!("client sends {id} class={class} object={object} d={wait}"));
    client.ask(1, &fields, body).ok()?;
    let end = Instant::now() + Duration::from_millis(u64::from(wait_ms) + 1_000);
    let mut answer = None;
    while let Some(left) = end.checked_duration_since(Instant::now()) {
        match client.read(left) {
            Some((66, found)) if found.stream == 1 => {
                answer = Some(found);
                break;
            }
            Some(_) => {}
            None => break,
        }
    }
    match &answer {
        Some(found) => record.note_at(
            found.at,
            &format!("client has the answer to {id}: {} fields={:?}", code_name(found.code), found.fields),
        ),
        None => record.note(&format!("client has no answer to {id}")),
    }
    answer
}

// ---- Routers.

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// A router that this test started; it is killed when it is dropped.
pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

/// A free address; it is bound and released at once.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

pub struct RouterSetup<'a> {
    pub name: &'a str,
    pub journal: &'a Journal,
    pub settings: &'a str,
    /// The text of the operator file; `None` for none.
    pub operator: Option<&'a str>,
    /// A folder for its files.
    pub folder: &'a Path,
    pub sockets: u32,
    pub memory_mb: u32,
}

impl Router {
    /// Starts `run` of the deploy file, and waits until the router says that it is ready.
    pub fn start(setup: &RouterSetup<'_>) -> io::Result<Self> {
        let RouterSetup { name, journal, settings, operator, folder, sockets, memory_mb } = *setup;
        let address = free_address();
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"journal\":\"{}\",\
             \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{},\"settings\":{settings}}}",
            journal.address,
            journal.page(0)
        );
        let config_path = folder.join(format!("{name}.json"));
        std::fs::write(&config_path, config)?;
        let run = std::env::var("RUN_COMMAND").map_err(|_| io::Error::other("RUN_COMMAND is not set"))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).env("LB_NAME", name).env("LB_LISTEN", address.to_string());
        command.env("LB_CONFIG", &config_path).env("TMPDIR", folder).stdin(Stdio::null());
        command.env_remove("LB_OPERATOR");
        if let Some(text) = operator {
            let path = folder.join(format!("{name}.star"));
            std::fs::write(&path, text)?;
            command.env("LB_OPERATOR", path);
        }
        let log = File::create(folder.join(format!("{name}.log")))?;
        command.stdout(log.try_clone()?).stderr(log);
        // SAFETY: the call only sets the signal that the router gets if this program ends before it.
        unsafe { command.pre_exec(|| if prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }) };
        let child = command.spawn()?;
        let mut router = Self { name: name.to_string(), address, child };
        router.until_ready()?;
        Ok(router)
    }

    fn until_ready(&mut self) -> io::Result<()> {
        let end = Instant::now() + Duration::from_secs(30);
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("router {} ended at its start: {status}", self.name)));
            }
            if let Ok(mut client) = Client::connect(self.address) {
                if client.frame(80, 1, &[0]).is_ok() {
                    if let Some((81, answer)) = client.read(Duration::from_secs(1)) {
                        if answer.code == 1 {
                            return Ok(());
                        }
                    }
                }
            }
            sleep_ms(20);
        }
        Err(io::Error::other(format!("router {} is not ready", self.name)))
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the program that `run` started.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.pid())).status().map(|_| ())
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A folder of this run for the routers' files, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), now_ms() as u64));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(outcome: Result<bool, Box<dyn std::error::Error>>) -> std::process::ExitCode {
    match outcome {
        Ok(true) => {
            println!("the rule was broken");
            std::process::ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            std::process::ExitCode::from(0)
        }
        Err(error) => {
            println!("the case could not run: {error}");
            std::process::ExitCode::from(2)
        }
    }
}
