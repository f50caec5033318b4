//! A burst of bookings while the central store stands still and goes on slowly: is a booking refused that was written
//! whole to the store?

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const DEADLINE_MS: u32 = 3_000;
const CLIENTS: usize = 20;
/// The store stops twice a day at most.
const ROUNDS: usize = 2;
/// Bookings a second.
const RATE: usize = 160;
/// The bookings of a round: first those of clients that wait for the whole time, then of some that wait for half of it.
const LONG: usize = 160;
const SHORT: usize = 48;
/// How long the store stands still, and then is slow, from the beginning of a round.
const STILL_MS: u64 = 2_350;
const SLOW_MS: u64 = 1_000;
/// The slow store reads so many bytes of each connection, so often.
const CHUNK: usize = 8_000;
const TICK_MS: u64 = 50;
const RECEIVE_BUFFER: i32 = 16_384;
const BODY: usize = 48_000;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

fn settings() -> String {
    format!(
        r#"{{"allowed":{{"conn-idle":15000,"connect-timeout":400,"max-attempts":6,"max-open":20000,
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
        "deadline":{DEADLINE_MS},"effect":"non_idempotent","late-worth":0,"worth":3}}],
        "kinds":["std-box","parent","origin"],"locality":0,
        "report":{{"how":"on_probe","fields":["outstanding","utilization","x1","x0"]}},"resolution":2,
        "rules":{{"cold":16000,"drain-grace":250,"fall":3000,"fall-multiple":3,"start-capacity":0.23}}}}"#
    )
}

/// How the store reads its connections.
const USUAL: u8 = 0;
/// A little of each at a time.
const SLOW: u8 = 1;
/// Not at all.
const STILL: u8 = 2;

/// The central store.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    pace: Arc<AtomicU8>,
    connections: Arc<AtomicUsize>,
    /// When each booking was read whole, and began to run.
    ran: Arc<Mutex<HashMap<String, Vec<f64>>>>,
    record: Record,
}

impl Store {
    fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        // SAFETY: the socket is open, and the option is one number.
        unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER, 4) };
        let store = Self {
            address: listener.local_addr()?,
            pace: Arc::default(),
            connections: Arc::default(),
            ran: Arc::default(),
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                store.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn set_pace(&self, pace: u8, name: &str) {
        self.record.note(&format!("the store {name}"));
        self.pace.store(pace, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input: Vec<u8> = Vec::new();
        let mut block = vec![0; 65_536];
        loop {
            let pace = self.pace.load(Ordering::SeqCst);
            if pace != USUAL {
                sleep_ms(TICK_MS);
            }
            if self.pace.load(Ordering::SeqCst) == STILL {
                continue;
            }
            let limit = if pace == SLOW { CHUNK } else { block.len() };
            let n = stream.read(&mut block[..limit]).unwrap_or(0);
            if n == 0 {
                return;
            }
            input.extend(&block[..n]);
            while let Some((parts, length)) = parse(&input) {
                input.drain(..length);
                let id = String::from_utf8_lossy(&parts[1]).into_owned();
                if parts[0] == b"QUIT" {
                    self.record.note(&format!("store reads QUIT {id}"));
                    continue;
                }
                self.record.note(&format!("store reads {id} whole and RUNS it"));
                self.ran.lock().expect("bookings").entry(id.clone()).or_default().push(now_ms());
                let mut answer = b"*4\r\n".to_vec();
                for part in [id.as_bytes(), b"data", b"res=MISS_ORIGIN,first=1,digest=d1,dated=1", b"booked"] {
                    answer.extend(format!("${}\r\n", part.len()).bytes());
                    answer.extend(part);
                    answer.extend(b"\r\n");
                }
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        }
    }
}

/// The first array and its length, once it is complete.
fn parse(input: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let mut at = 0;
    let number = |at: &mut usize| -> Option<usize> {
        let end = *at + input[*at..].windows(2).take(24).position(|pair| pair == b"\r\n")?;
        let value = std::str::from_utf8(&input[*at + 1..end]).ok()?.parse().ok()?;
        *at = end + 2;
        Some(value)
    };
    if input.is_empty() {
        return None;
    }
    let count = number(&mut at)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let size = if at < input.len() { number(&mut at)? } else { return None };
        parts.push(input.get(at..at + size)?.to_vec());
        at += size + 2;
        if at > input.len() {
            return None;
        }
    }
    Some((parts, at))
}

/// The answers by id.
type Answers = Arc<Mutex<HashMap<String, u8>>>;

/// The id of a try: each try of a booking has a new one.
fn id_of(round: usize, n: usize, is_retry: bool) -> String {
    format!("{:016x}", 0x00b0_0000 + round * 0x1_0000 + usize::from(is_retry) * 0x1000 + n)
}

/// The sending side of a client's connection.
struct Sender {
    client: Client,
    /// The bookings and tries by stream, from 1.
    streams: Vec<(usize, bool)>,
}

impl Sender {
    fn send(&mut self, round: usize, n: usize, is_retry: bool, body: &[u8], record: &Record) -> std::io::Result<()> {
        self.streams.push((n, is_retry));
        let (id, object) = (id_of(round, n, is_retry), format!("{:016x}", 0x0b7e_c700 + 977 * n));
        let wait = if n < LONG { "3000" } else { "1500" };
        record.note(&format!("client sends {id} d={wait}{}", if is_retry { ", again after a refusal" } else { "" }));
        let mut fields = vec![("c", "job-booking"), ("i", id.as_str()), ("d", wait), ("o", object.as_str()), ("m", "20")];
        if is_retry {
            fields.push(("r", "1"));
        }
        self.client.ask(self.streams.len() as u32, &fields, body)
    }
}

/// One client: its share of a round's bookings, on one connection. One whose try was for half of the time tries once more
/// after a refusal, when the router says that it may.
fn book(address: SocketAddr, round: usize, c: usize, begun: Instant, body: &[u8], answers: &Answers, record: &Record) {
    let Ok(client) = Client::connect(address) else { return };
    let Ok(mut reader) = client.try_clone() else { return };
    let own: Vec<usize> = (c..LONG + SHORT).step_by(CLIENTS).collect();
    let sender = Mutex::new(Sender { client, streams: Vec::new() });
    thread::scope(|scope| {
        let (sender, mut open) = (&sender, own.len());
        scope.spawn(move || {
            while open > 0 {
                let Some((66, answer)) = reader.read(Duration::from_millis(4_500)) else { return };
                let stream = (answer.stream as usize).wrapping_sub(1);
                let Some((n, is_retry)) = sender.lock().expect("a sender").streams.get(stream).copied() else { return };
                let id = id_of(round, n, is_retry);
                record.note_at(answer.at, &format!("client has the answer to {id}: {}", code_name(answer.code)));
                answers.lock().expect("answers").insert(id, answer.code);
                open -= 1;
                if answer.code == 2 && n >= LONG && !is_retry {
                    let wait = answer.fields.iter().find(|(name, _)| name == "w").and_then(|(_, value)| value.parse().ok());
                    sleep_ms(wait.unwrap_or(50));
                    open += usize::from(sender.lock().expect("a sender").send(round, n, true, body, record).is_ok());
                }
            }
        });
        for n in &own {
            thread::sleep(Duration::from_millis((n * 1_000 / RATE) as u64).saturating_sub(begun.elapsed()));
            if sender.lock().expect("a sender").send(round, *n, false, body, record).is_err() {
                return;
            }
        }
    });
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
            target("hub-cache", serve_cache(page)?, "hub", "parent", 20, "Ready"),
            target("store", store.address, "hub", "origin", 20, "Ready"),
        ],
    );
    let journal = Journal::start(&[list])?;
    let settings = settings();
    let setup = RouterSetup { name: "n0", journal: &journal, settings: &settings, operator: None, folder: &files.0, sockets: 256, memory_mb: 192 };
    let mut router = Router::start(&setup)?;
    let body = vec![b'x'; BODY];
    let answers: Answers = Arc::default();
    for round in 0..ROUNDS {
        let begun = Instant::now();
        thread::scope(|scope| {
            for c in 0..CLIENTS {
                let (record, body, answers, address) = (&record, &body, &answers, router.address);
                scope.spawn(move || book(address, round, c, begun, body, answers, record));
            }
            if trouble() {
                store.set_pace(STILL, "stands still");
                thread::sleep(Duration::from_millis(STILL_MS).saturating_sub(begun.elapsed()));
                store.set_pace(SLOW, "goes on slowly");
                sleep_ms(SLOW_MS);
                store.set_pace(USUAL, "is as usual");
            }
        });
    }
    sleep_ms(1_000);
    if let Some(status) = router.ended() {
        return Err(format!("the router has ended: {status}").into());
    }
    record.note(&format!("{} connections to the store", store.connections.load(Ordering::SeqCst)));
    let (answers, ran) = (answers.lock().expect("answers"), store.ran.lock().expect("bookings"));
    let mut counts: HashMap<(u8, bool), usize> = HashMap::new();
    let (mut broken, mut twice) = (0, 0);
    for (round, n) in (0..ROUNDS).flat_map(|round| (0..LONG + SHORT).map(move |n| (round, n))) {
        let tries = [id_of(round, n, false), id_of(round, n, true)];
        let runs: Vec<usize> = tries.iter().map(|id| ran.get(id).map_or(0, Vec::len)).collect();
        let code = answers.get(&tries[0]).copied().unwrap_or(0);
        *counts.entry((code, runs[0] > 0)).or_default() += 1;
        if code == 2 && runs[0] > 0 || runs[0] > 1 {
            broken += 1;
            twice += usize::from(runs[0] + runs[1] > 1);
            let id = &tries[0];
            record.note(&format!("{id}: {}, run {} times, as {} {} times BROKEN", code_name(code), runs[0], tries[1], runs[1]));
        }
    }
    record.note(&format!("{broken} bookings refused although they ran; {twice} of them ran again for the client's next try"));
    for ((code, has_run), count) in counts {
        let has_run = if has_run { "run" } else { "not run" };
        let code = if code == 0 { "without an answer" } else { code_name(code) };
        record.note(&format!("{count} first tries {code}, {has_run}"));
    }
    Ok(broken > 0)
}

fn main() -> std::process::ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    finish(run(Path::new(&folder)))
}
