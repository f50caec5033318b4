//! A keyed booking whose retry waits for a connection: is it sent after the store has forgotten its key?
//!
//! One router, one store. With the disruption, the store runs a booking and its connection is reset under the request
//! 0.8 s later; the next connection to the store comes up 1 s late.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::error::Error;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;

/// How long the store remembers a key, as the settings tell.
const WINDOW_MS: f64 = 1_000.0;
/// Every time limit is longer by this on sockets.
const SLACK_MS: f64 = 50.0;
const DEADLINE_MS: u32 = 3_000;
/// When a connection is reset under its request.
const RESET_AFTER_MS: u64 = 800;
const BOOKINGS: usize = 4;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

fn settings() -> String {
    format!(
        r#"{{"allowed":{{"conn-idle":15000,"connect-timeout":1500,"max-attempts":6,"max-open":20000,
        "max-retry-after":2000,"may-cancel":true,"parallel-tries":false,"peers":false,"probes":true,"retry-after":true,
        "streams-per-conn":100}},"balancers":1,"dcs":["centre","hub"],"discovery":"pushed",
        "family-info":{{"bypass-allowed":true,"class-parts":[true,false,false],"cleared-within":6000,
        "flow-kb-per-s":5000,"grace-for":[0,20000,0],"max-age":[0,12000,0],"merges-fills":false,"notice-time":1000,
        "old-copy-worth":[1,0.7,1],"parent-fall-multiple":2,"parent-floor":0.07,"parent-warms-in":22000,
        "pass-on":[false,false,true],"peers-fill":"any","seats-by-zone":[1,0],"second-tier-kind":1,"store-kind":2,
        "tells":"all"}},
        "grades":[{{"name":"fit-video","objective":400,"aim-stretch":2,"deadline":5000,"effect":"read_like",
        "late-worth":0.15,"worth":2}},{{"name":"catalog-item","objective":300,"aim-stretch":2,"deadline":2500,
        "effect":"read_like","late-worth":0.2,"worth":1}},{{"name":"job-booking","objective":800,
        "deadline":{DEADLINE_MS},"effect":"idempotency_key","dedup-scope":"all","window":{WINDOW_MS},"late-worth":0,
        "worth":3}}],"kinds":["std-box","parent","origin"],"locality":0,
        "report":{{"how":"on_probe","fields":["outstanding","utilization","x1","x0"]}},"resolution":2,
        "rules":{{"cold":16000,"drain-grace":250,"fall":3000,"fall-multiple":3,"start-capacity":0.23}}}}"#
    )
}

#[derive(Default)]
struct Keys {
    /// For each key, when requests with it arrived whole.
    arrived: HashMap<String, Vec<f64>>,
    /// For each key, when it ran.
    ran: HashMap<String, Vec<f64>>,
}

/// The central store. While its door is shut, no new connection comes up: the system drops what asks for one, as its
/// queue has one place and that is taken.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    listener: Arc<TcpListener>,
    is_open: Arc<AtomicBool>,
    filler: Arc<Mutex<Option<TcpStream>>>,
    keys: Arc<Mutex<Keys>>,
    record: Record,
}

impl Store {
    fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let store = Self {
            address: listener.local_addr()?,
            listener: Arc::new(listener),
            is_open: Arc::new(AtomicBool::new(true)),
            filler: Arc::default(),
            keys: Arc::default(),
            record: record.clone(),
        };
        let accepting = store.clone();
        thread::spawn(move || loop {
            if accepting.is_open.load(Ordering::SeqCst) {
                match accepting.listener.accept() {
                    Ok((stream, _)) => {
                        let store = accepting.clone();
                        thread::spawn(move || store.serve(stream));
                        continue;
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
            sleep_ms(1);
        });
        Ok(store)
    }

    fn shut_door(&self) {
        self.is_open.store(false, Ordering::SeqCst);
        sleep_ms(5);
        // SAFETY: the listener is open; the call changes the length of its queue.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        *self.filler.lock().expect("a socket") = TcpStream::connect(self.address).ok();
        self.record.note("store: new connections don't come up");
    }

    fn open_door(&self) {
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        self.is_open.store(true, Ordering::SeqCst);
        *self.filler.lock().expect("a socket") = None;
        self.record.note("store: new connections come up again");
    }

    fn serve(&self, stream: TcpStream) {
        if stream.set_nonblocking(false).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        let mut input = BufReader::new(&stream);
        while let Some(parts) = array(&mut input) {
            if parts[0] != b"ASK" {
                continue;
            }
            let (at, id) = (now_ms(), String::from_utf8_lossy(&parts[1]).into_owned());
            let mut keys = self.keys.lock().expect("keys");
            let arrived = keys.arrived.entry(id.clone()).or_default();
            arrived.push(at);
            let is_first = arrived.len() == 1;
            let ran = keys.ran.entry(id.clone()).or_default();
            // A repeat within the window is dropped: it gets the answer of the one that ran.
            let is_repeat = ran.last().is_some_and(|last| at - last < WINDOW_MS);
            if !is_repeat {
                ran.push(at);
            }
            drop(keys);
            self.record.note_at(at, &format!("store {} {id}", if is_repeat { "drops the repeat of" } else { "RUNS" }));
            if trouble() && is_first {
                sleep_ms(RESET_AFTER_MS - 20);
                self.shut_door();
                sleep_ms(15);
                self.record.note(&format!("store: the connection is reset under {id}"));
                let linger = [1, 0];
                // SAFETY: the socket is open, and the option has two numbers.
                unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
                let store = self.clone();
                thread::spawn(move || {
                    sleep_ms(500);
                    store.open_door();
                });
                return;
            }
            sleep_ms(10);
            let fields = format!("res=MISS_ORIGIN,first=1,digest=d1,dated={}", at as u64);
            let mut answer = b"*4\r\n".to_vec();
            for part in [id.as_bytes(), b"data", fields.as_bytes(), b"booked"] {
                answer.extend(format!("${}\r\n", part.len()).bytes());
                answer.extend(part);
                answer.extend(b"\r\n");
            }
            if (&stream).write_all(&answer).is_err() {
                return;
            }
        }
    }
}

fn array(input: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let number = |sign: u8, input: &mut dyn BufRead| -> Option<usize> {
        let mut line = Vec::new();
        input.read_until(b'\n', &mut line).ok()?;
        let digits = line.strip_prefix(&[sign])?;
        String::from_utf8_lossy(digits).trim().parse().ok()
    };
    let count = number(b'*', input)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let mut part = vec![0; number(b'$', input)? + 2];
        input.read_exact(&mut part).ok()?;
        part.truncate(part.len() - 2);
        parts.push(part);
    }
    Some(parts)
}

fn run(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let record = Record::create(&folder.join("record.txt"))?;
    let files = Folder::create()?;
    record.note(if trouble() { "with the disruption" } else { "without the disruption" });
    let store = Store::start(&record)?;
    let page = |seen| {
        if let Seen::Asked(ask) = seen {
            ask.answer("data", &format!("res=HIT,first=0,digest=d1,dated={}", ask.at as u64), b"page");
        }
    };
    let list = hosts(
        true,
        &[
            target("box-a", serve_cache(page)?, "centre", "std-box", 6, "Ready"),
            target("box-b", serve_cache(page)?, "centre", "std-box", 6, "Ready"),
            target("hub-cache", serve_cache(page)?, "hub", "parent", 20, "Ready"),
            target("store", store.address, "hub", "origin", 20, "Ready"),
        ],
    );
    let journal = Journal::start(&[list])?;
    let settings = settings();
    let setup = RouterSetup { name: "n0", journal: &journal, settings: &settings, operator: None, folder: &files.0, sockets: 1024, memory_mb: 192 };
    let mut router = Router::start(&setup)?;
    for n in 0..BOOKINGS {
        let (id, object) = (format!("{:016x}", 0x00b0_0c00 + n), format!("{:016x}", 0x0b7e_c700 + 977 * n));
        let more = [("m", "20")];
        ask_once(router.address, &record, "job-booking", &id, &object, DEADLINE_MS, &more, b"a slot").ok_or("no answer")?;
        sleep_ms(2_500);
    }
    if let Some(status) = router.ended() {
        return Err(format!("the router has ended: {status}").into());
    }
    let keys = store.keys.lock().expect("keys");
    let mut ids: Vec<&String> = keys.arrived.keys().collect();
    ids.sort();
    let mut broken = false;
    for id in ids {
        let (arrived, runs) = (&keys.arrived[id], keys.ran[id].len());
        let late: Vec<f64> =
            arrived.iter().map(|at| at - arrived[0]).filter(|after| *after > WINDOW_MS + SLACK_MS).collect();
        let held = late.is_empty() && runs == 1;
        broken |= !held;
        record.note(&format!(
            "{id}: sent {} times, run {runs} times; later than {WINDOW_MS} + {SLACK_MS} ms after the first: {late:.0?} ms{}",
            arrived.len(),
            if held { "" } else { " BROKEN" }
        ));
    }
    Ok(broken)
}

fn main() -> std::process::ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    finish(run(Path::new(&folder)))
}
