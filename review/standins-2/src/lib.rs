//! Stand-ins for the review: caches, parents, an origin, a journal service, clients, and the router as a process.
//!
//! They follow `PROTOCOL.md` and `DEPLOY.md` of the kit, use loopback addresses only, and write what they see to a
//! record. Nothing here reads the program's own state: only what crosses sockets counts.

pub mod deployment;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time of this machine in milliseconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

pub fn pause(ms: f64) {
    thread::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0));
}

/// Waits until a condition holds; returns whether it did within `ms`.
pub fn until(ms: f64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(ms / 1000.0);
    while !condition() {
        if Instant::now() > end {
            return false;
        }
        pause(2.0);
    }
    true
}

/// Whether the disruption is to be left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---- The record.

/// What was sent, answered and run, with times in milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: f64,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        thread::spawn(|| {
            pause(115_000.0);
            broken("it takes too long");
        });
        let file = File::create(path).unwrap_or_else(|error| broken(&format!("{}: {error}", path.display())));
        Self { start: now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>10.1} {}\n", now() - self.start, text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        self.note(&text);
        println!("{}", text.as_ref());
    }

    /// A time of [`now`] as the record states it.
    pub fn at(&self, time: f64) -> f64 {
        time - self.start
    }
}

/// The case could not run.
pub fn broken(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

/// Ends the case: 1 if the rule was broken, else 0.
pub fn verdict(record: &Record, mut processes: Vec<Router>, breaches: usize) -> ! {
    for process in &mut processes {
        if !process.is_running() {
            record.say(format!("router {} has ended by itself", process.name));
        }
    }
    drop(processes);
    record.say(if breaches > 0 { format!("BROKEN: {breaches} times") } else { "held".to_string() });
    std::process::exit(i32::from(breaches > 0))
}

// ---- Addresses.

/// An address that nobody listens at, below the ports that systems usually give to outgoing connections: one of these
/// could take it before the router does.
pub fn free_address() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() as u16).wrapping_mul(31).wrapping_add(now() as u64 as u16);
    for _ in 0..2_000 {
        let step = LAST.fetch_add(1, Ordering::Relaxed);
        let port = 20_000 + start.wrapping_add(step.wrapping_mul(7)) % 10_000;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr().unwrap_or_else(|e| broken(&format!("address: {e}")));
        }
    }
    broken("no free port")
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener =
        TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| broken(&format!("bind: {e}")));
    let address = listener.local_addr().unwrap_or_else(|e| broken(&format!("address: {e}")));
    (listener, address)
}

// ---- The protocol of caches.

/// A command that arrived whole.
#[derive(Debug, Clone)]
pub struct Ask {
    pub at: f64,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Ask {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name)?.parse().ok()
    }

    pub fn hints(&self, hint: &str) -> bool {
        self.field("hints").split('+').any(|word| word == hint)
    }
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn plain(word: &'static str) -> Self {
        Self { word, fields: "-".to_string(), body: Vec::new() }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

fn number_after(line: &str, mark: char) -> io::Result<usize> {
    let digits = line.strip_prefix(mark).ok_or(io::ErrorKind::InvalidData)?;
    digits.parse().map_err(|_| io::ErrorKind::InvalidData.into())
}

pub fn read_array(reader: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let count = number_after(&read_line(reader)?, '*')?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number_after(&read_line(reader)?, '$')?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(words)
}

pub fn write_array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

fn fields_of(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Serves the protocol of caches. `handle` has a thread of its own for each request and may take its time; its second
/// argument tells whether the request was given up meanwhile.
pub fn serve(handle: impl Fn(Ask, &dyn Fn() -> bool) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, handle);
            });
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    handle: Arc<impl Fn(Ask, &dyn Fn() -> bool) -> Answer + Send + Sync + 'static>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
    let closed = Arc::new(Mutex::new(false));
    let mut reader = BufReader::new(stream);
    loop {
        let words = match read_array(&mut reader) {
            Ok(words) => words,
            Err(error) => {
                *closed.lock().unwrap() = true;
                return Err(error);
            }
        };
        let text =
            |n: usize| words.get(n).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default();
        match text(0).as_str() {
            "ASK" => {
                let ask = Ask {
                    at: now(),
                    id: text(1),
                    fields: fields_of(&text(2)),
                    body: words.get(3).cloned().unwrap_or_default(),
                };
                given_up.lock().unwrap().remove(&ask.id);
                let (handle, writer) = (handle.clone(), writer.clone());
                let (given_up, closed) = (given_up.clone(), closed.clone());
                thread::spawn(move || {
                    let id = ask.id.clone();
                    let is_over = || *closed.lock().unwrap() || given_up.lock().unwrap().contains(&id);
                    let answer = handle(ask, &is_over);
                    if !is_over() {
                        let words: [&[u8]; 4] =
                            [id.as_bytes(), answer.word.as_bytes(), answer.fields.as_bytes(), &answer.body];
                        let _ = writer.lock().unwrap().write_all(&write_array(&words));
                    }
                });
            }
            "QUIT" => {
                given_up.lock().unwrap().insert(text(1));
            }
            "NOOP" | "INFO" => {
                let tag = text(1);
                let words: [&[u8]; 4] = [tag.as_bytes(), b"well", b"-", b""];
                writer.lock().unwrap().write_all(&write_array(&words))?;
            }
            _ => return Ok(()),
        }
    }
}

// ---- Caches, parents and the origin.

#[derive(Debug, Clone, PartialEq)]
struct Copy {
    dated: f64,
    tag: String,
}

/// The addresses of all nodes, by the name that requests give for a source.
#[derive(Clone, Default)]
pub struct Directory(Arc<Mutex<HashMap<String, SocketAddr>>>);

impl Directory {
    pub fn get(&self, name: &str) -> Option<SocketAddr> {
        self.0.lock().unwrap().get(name).copied()
    }

    pub fn set(&self, name: &str, address: SocketAddr) {
        self.0.lock().unwrap().insert(name.to_string(), address);
    }
}

/// A node that keeps copies, or the origin.
#[derive(Clone)]
pub struct Store {
    pub name: String,
    inner: Arc<StoreState>,
}

struct StoreState {
    name: String,
    /// Where it fetches what it lacks and no source is named; the origin has none.
    upstream: Option<String>,
    directory: Directory,
    record: Record,
    /// What its clock shows ahead of this machine's, in milliseconds.
    skew: Box<dyn Fn() -> f64 + Send + Sync>,
    /// How long a copy is fresh, by class; without an entry until it is purged.
    fresh: BTreeMap<String, f64>,
    latency: f64,
    size: usize,
    copies: Mutex<HashMap<(String, String), Copy>>,
    asked: Mutex<Vec<Ask>>,
    fetches: Mutex<u64>,
}

pub struct StoreSetup {
    pub name: &'static str,
    pub upstream: Option<&'static str>,
    pub skew: Box<dyn Fn() -> f64 + Send + Sync>,
    pub fresh: BTreeMap<String, f64>,
    pub latency: f64,
}

impl Store {
    pub fn start(directory: &Directory, record: &Record, setup: StoreSetup) -> Self {
        let inner = Arc::new(StoreState {
            name: setup.name.to_string(),
            upstream: setup.upstream.map(str::to_string),
            directory: directory.clone(),
            record: record.clone(),
            skew: setup.skew,
            fresh: setup.fresh,
            latency: setup.latency,
            size: 2_000,
            copies: Mutex::default(),
            asked: Mutex::default(),
            fetches: Mutex::default(),
        });
        let state = inner.clone();
        let address = serve(move |ask, _| state.answer(ask));
        directory.set(setup.name, address);
        Self { name: setup.name.to_string(), inner }
    }

    /// What has arrived.
    pub fn asked(&self) -> Vec<Ask> {
        self.inner.asked.lock().unwrap().clone()
    }

    /// Drops the copies of an object.
    pub fn drop_object(&self, object: &str) {
        self.inner.copies.lock().unwrap().retain(|(kept, _), _| kept != object);
    }

    /// Drops everything, as a process that has just started.
    pub fn drop_all(&self) {
        self.inner.copies.lock().unwrap().clear();
    }
}

impl StoreState {
    fn clock(&self) -> f64 {
        now() + (self.skew)()
    }

    fn answer(&self, ask: Ask) -> Answer {
        self.record.note(format!(
            "{} asked id={} kind={} obj={} seg={} accept={} parent={} ms={}",
            self.name,
            ask.id,
            ask.field("kind"),
            ask.field("obj"),
            ask.field("seg"),
            ask.field("accept"),
            ask.field("parent"),
            ask.field("ms")
        ));
        self.asked.lock().unwrap().push(ask.clone());
        pause(self.latency);
        let key = (ask.field("obj").to_string(), ask.field("seg").to_string());
        let limit = ask.number("accept").filter(|limit| *limit > 0.0);
        let limit = limit.or(self.fresh.get(ask.field("kind")).copied()).unwrap_or(f64::INFINITY);
        if self.upstream.is_none() {
            return self.data(&self.new_copy(), &key, "HIT");
        }
        let kept = self.copies.lock().unwrap().get(&key).cloned();
        if let Some(copy) = kept.filter(|copy| self.clock() - copy.dated <= limit) {
            return self.data(&copy, &key, "HIT");
        }
        // Without a source a cache fills nothing; a parent fetches what it lacks by itself.
        let is_parent = self.upstream.as_deref() == Some("origin") && ask.field("parent").is_empty();
        let source = if is_parent { "origin" } else { ask.field("parent") };
        if source.is_empty() || source == self.name || ask.hints("h") {
            return Answer { fields: "res=MISS".to_string(), ..Answer::plain("absent") };
        }
        match self.fetch(source, &ask) {
            Some(copy) => {
                self.copies.lock().unwrap().insert(key.clone(), copy.clone());
                self.data(&copy, &key, if source == "origin" { "MISS_ORIGIN" } else { "MISS" })
            }
            None => Answer { fields: "res=UP_DOWN".to_string(), ..Answer::plain("absent") },
        }
    }

    fn new_copy(&self) -> Copy {
        let mut fetches = self.fetches.lock().unwrap();
        *fetches += 1;
        Copy { dated: self.clock().floor(), tag: format!("{:016x}", *fetches) }
    }

    fn fetch(&self, source: &str, ask: &Ask) -> Option<Copy> {
        let stream = TcpStream::connect(self.directory.get(source)?).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let mut text = format!(
            "kind={},obj={},seg={},ms={}",
            ask.field("kind"),
            ask.field("obj"),
            ask.field("seg"),
            ask.field("ms")
        );
        if let Some(accept) = ask.fields.get("accept") {
            let _ = write!(text, ",accept={accept}");
        }
        let words: [&[u8]; 4] = [b"ASK", ask.id.as_bytes(), text.as_bytes(), b""];
        (&stream).write_all(&write_array(&words)).ok()?;
        let answer = read_array(&mut BufReader::new(stream)).ok()?;
        if answer.get(1).map(Vec::as_slice) != Some(b"data") {
            return None;
        }
        let fields = fields_of(&String::from_utf8_lossy(answer.get(2)?));
        Some(Copy { dated: fields.get("dated")?.parse().ok()?, tag: fields.get("digest")?.clone() })
    }

    fn data(&self, copy: &Copy, (object, part): &(String, String), note: &str) -> Answer {
        let mut body = format!("{object} {part} {} ", copy.dated).into_bytes();
        body.resize(self.size.max(body.len()), b'.');
        let fields = format!("digest={},dated={},res={note},first=0", copy.tag, copy.dated);
        Answer { word: "data", fields, body }
    }
}

/// When the origin gave out the copy of which this is the body.
pub fn dated_of(body: &[u8]) -> Option<f64> {
    String::from_utf8_lossy(&body[..body.len().min(120)]).split(' ').nth(2)?.parse().ok()
}

// ---- The journal service.

#[derive(Clone)]
pub struct Journal {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
    /// How long it leaves each request unread, in milliseconds.
    latency: Arc<Mutex<f64>>,
    record: Record,
}

impl Journal {
    /// Events 1 and up are `known` by the routers from their start.
    pub fn start(record: &Record, known: Vec<String>) -> Self {
        let (listener, address) = listen();
        let events = Arc::new((Mutex::new(known), Condvar::new()));
        let latency = Arc::new(Mutex::new(0.0));
        let (served, slow, notes) = (events.clone(), latency.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (events, latency, record) = (served.clone(), slow.clone(), notes.clone());
                thread::spawn(move || {
                    let _ = serve_journal(stream, &events, &latency, &record);
                });
            }
        });
        Self { address, events, latency, record: record.clone() }
    }

    /// From now on it is slow: it reads each request so many milliseconds after it came.
    pub fn slow_down(&self, latency: f64) {
        *self.latency.lock().unwrap() = latency;
        self.record
            .note(format!("the journal service leaves each request unread for {latency} ms from now on"));
    }

    /// All events so far, in the form of `known`.
    pub fn known(&self) -> String {
        page(&self.events.0.lock().unwrap(), 0)
    }

    /// Publishes an event, whose text is without its position; returns when it was in the service.
    pub fn publish(&self, event: &str) -> f64 {
        let mut events = self.events.0.lock().unwrap();
        events.push(event.to_string());
        self.record.note(format!("journal {} {event}", events.len()));
        self.events.1.notify_all();
        now()
    }
}

fn page(events: &[String], tail: usize) -> String {
    let new = events.iter().enumerate().skip(tail);
    let new: Vec<String> = new.map(|(n, event)| format!("{{\"pos\":{},{event}}}", n + 1)).collect();
    format!("{{\"pos\":{},\"entries\":[{}]}}", events.len(), new.join(","))
}

fn serve_journal(
    stream: TcpStream,
    events: &(Mutex<Vec<String>>, Condvar),
    latency: &Mutex<f64>,
    record: &Record,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let head = read_line(&mut reader)?;
        while !read_line(&mut reader)?.is_empty() {}
        let value = |name: &str| -> usize {
            let found =
                head.split(['?', '&', ' ']).find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
            found.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let (tail, wait) = (value("tail"), value("max_wait").min(5_000));
        let latency = *latency.lock().unwrap();
        if latency > 0.0 {
            record.note(format!("journal asked from {tail}, at most {wait} ms"));
            pause(latency);
        }
        let guard = events.0.lock().unwrap();
        let has_none = |events: &mut Vec<String>| events.len() <= tail;
        let (guard, _) =
            events.1.wait_timeout_while(guard, Duration::from_millis(wait as u64), has_none).unwrap();
        let body = page(&guard, tail);
        drop(guard);
        let length = body.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let written = writer.write_all(text.as_bytes());
        if latency > 0.0 {
            record.note(format!("journal answered from {tail} after {latency} ms or more: {written:?}"));
        }
        written?;
    }
}

/// An entry of the list of caches.
pub fn target(
    uid: &str,
    address: SocketAddr,
    zone: &str,
    kind: &str,
    capacity: u32,
    state: &str,
    boot: f64,
) -> String {
    format!(
        "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"{kind}\",\"pod_group\":0,\
         \"state\":\"{state}\",\"capacity_hint\":{capacity},\"boot_ms\":{boot:.0}}}"
    )
}

pub fn hosts(all: bool, targets: &[String]) -> String {
    format!("\"hosts\":{{\"rev\":1,\"all\":{all},\"targets\":[{}]}}", targets.join(","))
}

pub fn purge_object(object: &str, stamp: f64) -> String {
    format!("\"expire\":{{\"name\":\"{object}\",\"stamp\":{stamp:.0}}}")
}

// ---- Clients.

#[derive(Debug, Clone)]
pub struct Final {
    pub at: f64,
    pub code: u8,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// One connection of a client.
pub struct Client {
    stream: TcpStream,
    answers: Arc<Mutex<HashMap<u32, Vec<Final>>>>,
    ready: Arc<Mutex<bool>>,
    ended: Arc<Mutex<bool>>,
    last_stream: u32,
}

fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

fn fields_payload(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.bytes());
    }
    payload
}

/// A request of a client.
pub fn request_frame(stream: u32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut payload = fields_payload(fields);
    payload.extend(body);
    frame(65, stream, &payload)
}

/// Tells that nobody waits for a stream any more.
pub fn cancel_frame(stream: u32) -> Vec<u8> {
    frame(67, stream, &[])
}

type Answers = Arc<Mutex<HashMap<u32, Vec<Final>>>>;

fn read_answers(mut stream: TcpStream, answers: &Answers, ready: &Mutex<bool>) -> io::Result<()> {
    loop {
        let mut head = [0; 9];
        stream.read_exact(&mut head)?;
        let at = now();
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let number = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        let mut payload = vec![0; length.saturating_sub(5)];
        stream.read_exact(&mut payload)?;
        let code = payload.first().copied().unwrap_or(0);
        match head[4] {
            81 if code == 1 => *ready.lock().unwrap() = true,
            66 => {
                let mut rest = payload.get(2..).unwrap_or_default();
                let mut fields = Vec::new();
                for _ in 0..payload.get(1).copied().unwrap_or(0) {
                    let size = usize::from(rest[0]);
                    let name = String::from_utf8_lossy(&rest[1..1 + size]).into_owned();
                    rest = &rest[1 + size..];
                    let size = usize::from(u16::from_be_bytes([rest[0], rest[1]]));
                    fields.push((name, String::from_utf8_lossy(&rest[2..2 + size]).into_owned()));
                    rest = &rest[2 + size..];
                }
                let answer = Final { at, code, fields, body: rest.to_vec() };
                answers.lock().unwrap().entry(number).or_default().push(answer);
            }
            _ => {}
        }
    }
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let answers: Answers = Arc::default();
        let ready: Arc<Mutex<bool>> = Arc::default();
        let ended: Arc<Mutex<bool>> = Arc::default();
        let (reader, read, is_ready, has_ended) =
            (stream.try_clone()?, answers.clone(), ready.clone(), ended.clone());
        thread::spawn(move || {
            let _ = read_answers(reader, &read, &is_ready);
            *has_ended.lock().unwrap() = true;
        });
        Ok(Self { stream, answers, ready, ended, last_stream: 0 })
    }

    /// Sends a request with these fields; returns its stream and when its last byte was written.
    pub fn send(&mut self, fields: &[(&str, &str)], body: &[u8]) -> io::Result<(u32, f64)> {
        self.last_stream += 1;
        self.stream.write_all(&request_frame(self.last_stream, fields, body))?;
        Ok((self.last_stream, now()))
    }

    /// Tells that nobody waits for a stream any more; returns when that was written.
    pub fn cancel(&mut self, stream: u32) -> io::Result<f64> {
        self.stream.write_all(&cancel_frame(stream))?;
        Ok(now())
    }

    /// Closes the connection; returns when.
    pub fn close(self) -> f64 {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
        now()
    }

    /// The answers to a stream so far.
    pub fn answers(&self, stream: u32) -> Vec<Final> {
        self.answers.lock().unwrap().get(&stream).cloned().unwrap_or_default()
    }

    /// Whether the router has closed the connection.
    pub fn has_ended(&self) -> bool {
        *self.ended.lock().unwrap()
    }

    /// Waits for the answer to a stream, or the end of the connection.
    pub fn wait(&self, stream: u32, ms: f64) -> Option<Final> {
        until(ms, || self.has_ended() || !self.answers(stream).is_empty());
        self.answers(stream).into_iter().next()
    }

    fn is_ready(&mut self) -> bool {
        self.last_stream += 1;
        let sent = self.stream.write_all(&frame(80, self.last_stream, &[0]));
        sent.is_ok() && until(500.0, || *self.ready.lock().unwrap())
    }
}

// ---- The router.

/// The root of the repository: the case's folder is `review/N` in it.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| broken("REVIEW_ROOT is not set")))
}

/// The folder of the case.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_CASE").unwrap_or_else(|_| broken("REVIEW_CASE is not set")))
}

/// An empty temporary folder, removed by `run.sh`.
pub fn temporary() -> PathBuf {
    PathBuf::from(std::env::var("REVIEW_TMP").unwrap_or_else(|_| broken("REVIEW_TMP is not set")))
}

/// A router as a process, started with the `run` command of the deploy file.
pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

impl Router {
    /// `config` is the text after the address: `"journal":...,"known":...,"settings":...`.
    pub fn start(
        record: &Record,
        name: &str,
        address: SocketAddr,
        config: &str,
        operator: Option<&str>,
    ) -> Self {
        let folder = temporary();
        let run = std::fs::read_to_string(root().join("deploy/balancer.toml"))
            .ok()
            .and_then(|text| {
                let line = text.lines().find(|line| line.starts_with("run = "))?.to_string();
                Some(line.split('"').nth(1)?.to_string())
            })
            .unwrap_or_else(|| broken("no run command in deploy/balancer.toml"));
        let path = folder.join(format!("{name}.json"));
        let text = format!("{{\"name\":\"{name}\",\"listen\":\"{address}\",{config}}}");
        std::fs::write(&path, text).unwrap_or_else(|e| broken(&format!("configuration: {e}")));
        let private = folder.join(format!("{name}-{}", now() as u64));
        std::fs::create_dir_all(&private).unwrap_or_else(|e| broken(&format!("folder: {e}")));
        let log =
            File::create(folder.join(format!("{name}.log"))).unwrap_or_else(|e| broken(&format!("log: {e}")));
        let log_too = log.try_clone().unwrap_or_else(|e| broken(&format!("log: {e}")));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(root());
        command.env("LB_NAME", name).env("LB_LISTEN", address.to_string()).env("LB_CONFIG", &path);
        command.env("TMPDIR", &private);
        if let Some(operator) = operator {
            let path = folder.join(format!("{name}.star"));
            std::fs::write(&path, operator).unwrap_or_else(|e| broken(&format!("operator file: {e}")));
            command.env("LB_OPERATOR", path);
        }
        command.stdin(Stdio::null()).stdout(log).stderr(log_too).process_group(0);
        let child = command.spawn().unwrap_or_else(|e| broken(&format!("the router does not start: {e}")));
        // run.sh ends what is left of these.
        let pids = std::fs::OpenOptions::new().append(true).open(folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        record.note(format!("router {name} started at {address}"));
        let mut router = Self { name: name.to_string(), address, child };
        let ready = until(10_000.0, || Client::connect(address).is_ok_and(|mut client| client.is_ready()));
        if !ready || router.child.try_wait().ok().flatten().is_some() {
            let log = std::fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
            broken(&format!("router {name} is not ready; its log: {log}"));
        }
        record.note(format!("router {name} is ready"));
        router
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_none()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
