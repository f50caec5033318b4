//! Clients of a router: requests at random times in an open loop, each recorded before it is sent.
//!
//! Requests don't wait for earlier answers: each is sent at its time, up to `MAX_OPEN_REQUESTS` per
//! connection.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use linnethook_quickstart::Client;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp, Uniform, Zipf};
use rand_pcg::Pcg64Mcg;

use crate::recording::{now, Ms, RecordedEvent, Recording};

/// The requests that clients send.
#[derive(Debug, Clone)]
pub struct Load {
    /// The same seed gives the same objects at the same times.
    pub seed: u64,
    /// Requests per second, of all clients together.
    pub rate: f64,
    /// Number of connections; the rate is divided among them.
    pub clients: usize,
    /// Number of objects.
    pub objects: u64,
    /// Exponent of the Zipf distribution of their popularity.
    pub skew: f64,
    /// Share of requests that are bookings, 0 to 1.
    pub bookings: f64,
    /// Class of the other requests.
    pub class: String,
    /// How long a client waits, in milliseconds.
    pub wait: Ms,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            seed: 1,
            rate: 200.0,
            clients: 4,
            objects: 2_000,
            skew: 0.9,
            bookings: 0.0,
            class: "video".to_string(),
            wait: 2_000.0,
        }
    }
}

/// How requests ended, by the second in which they were sent, since the start of the load.
#[derive(Debug, Clone, Default)]
pub struct LoadResults {
    /// Requests.
    pub asked: Vec<u32>,
    /// Requests that were served.
    pub served: Vec<u32>,
    /// Requests that were rejected.
    pub refused: Vec<u32>,
    /// Requests that failed.
    pub failed: Vec<u32>,
}

impl LoadResults {
    fn count(list: &mut Vec<u32>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }

    /// Share of the requests of some seconds that were served.
    pub fn served_share(&self, seconds: std::ops::Range<usize>) -> f64 {
        let sum = |list: &[u32]| f64::from(list.iter().skip(seconds.start).take(seconds.len()).sum::<u32>());
        sum(&self.served) / sum(&self.asked).max(1.0)
    }
}

/// Running clients.
pub struct RunningLoad {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    /// How requests have ended so far.
    pub ends: Arc<Mutex<LoadResults>>,
    /// When the load began.
    pub since: Ms,
}

impl RunningLoad {
    /// A copy of how requests have ended so far.
    pub fn ends(&self) -> LoadResults {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Stops sending requests, and waits until the open ones are answered or past their deadlines.
    pub fn finish(self) -> LoadResults {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.ends.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Source of request numbers, unique in a fleet.
#[derive(Debug, Clone, Default)]
pub struct RequestNumbers(Arc<AtomicU64>);

impl RequestNumbers {
    /// The next unused number.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Starts clients of one router.
///
/// # Errors
/// The router can not be reached.
pub fn start(
    load: &Load,
    router: &str,
    address: SocketAddr,
    record: &Recording,
    numbers: &RequestNumbers,
) -> io::Result<RunningLoad> {
    let (stop, ends, since) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(LoadResults::default())), now());
    let mut threads = Vec::new();
    for n in 0..load.clients.max(1) {
        let connection = ClientConnection {
            load: Load { rate: load.rate / load.clients.max(1) as f64, ..load.clone() },
            router: router.to_string(),
            record: record.clone(),
            numbers: numbers.clone(),
            stop: stop.clone(),
            ends: ends.clone(),
            since,
            open: Arc::default(),
            disconnected: Arc::default(),
        };
        let client = Client::connect(address)?;
        let reading = Client { stream: client.stream.try_clone()? };
        let reader = connection.clone();
        threads.push(thread::spawn(move || reader.read(reading)));
        threads.push(thread::spawn(move || connection.write(client, n as u64)));
    }
    Ok(RunningLoad { threads, stop, ends, since })
}

/// Open requests by stream: the request's number, its deadline, and the second in which it was sent.
type OpenRequests = HashMap<u32, (u64, Ms, usize)>;

#[derive(Clone)]
struct ClientConnection {
    load: Load,
    router: String,
    record: Recording,
    numbers: RequestNumbers,
    stop: Arc<AtomicBool>,
    ends: Arc<Mutex<LoadResults>>,
    since: Ms,
    open: Arc<Mutex<OpenRequests>>,
    /// The connection has ended: no answer is expected any more.
    disconnected: Arc<AtomicBool>,
}

/// Most open requests of a connection; a request beyond that is skipped.
const MAX_OPEN_REQUESTS: usize = 30;

impl ClientConnection {
    fn second(&self, at: Ms) -> usize {
        ((at - self.since) / 1000.0).max(0.0) as usize
    }

    fn write(&self, mut client: Client, n: u64) {
        let mut random = Pcg64Mcg::seed_from_u64(self.load.seed.wrapping_mul(1_000).wrapping_add(n));
        let (Ok(gap), Ok(popularity), Ok(uniform)) = (
            Exp::new(self.load.rate.max(1e-6)),
            Zipf::new(self.load.objects.max(1) as f64, self.load.skew),
            Uniform::new(0.0, 1.0),
        ) else {
            return;
        };
        let begun = Instant::now();
        let mut at = 0.0;
        let mut stream = 0;
        while !self.stop.load(Ordering::Acquire) {
            at += gap.sample(&mut random);
            let due = Duration::from_secs_f64(at);
            while let Some(left) = due.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) {
                if self.stop.load(Ordering::Acquire) {
                    return;
                }
                thread::sleep(left.min(Duration::from_millis(50)));
            }
            let object = popularity.sample(&mut random) as u64;
            let booking = uniform.sample(&mut random) < self.load.bookings;
            if self.open.lock().unwrap_or_else(PoisonError::into_inner).len() >= MAX_OPEN_REQUESTS {
                continue;
            }
            stream += 1;
            if self.ask(&mut client, stream, object, booking).is_err() {
                return;
            }
        }
    }

    fn ask(&self, client: &mut Client, stream: u32, object: u64, booking: bool) -> io::Result<()> {
        let request = self.numbers.next();
        // Objects are identified by hash in all components, so consecutive numbers must give unrelated ids.
        let object = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&object.to_le_bytes()));
        let (id, wait) = (format!("{request:016x}"), format!("{}", self.load.wait));
        let class = if booking { "booking" } else { self.load.class.as_str() };
        let fields = [("c", class), ("i", &id), ("d", &wait), ("o", &object), ("tag", "3"), ("m", "20")];
        let at = now();
        let deadline = at + self.load.wait;
        let second = self.second(at);
        self.open.lock().unwrap_or_else(PoisonError::into_inner).insert(stream, (request, deadline, second));
        LoadResults::count(&mut self.ends.lock().unwrap_or_else(PoisonError::into_inner).asked, second);
        self.record.note(RecordedEvent::Requested {
            request,
            id: id.clone(),
            object: object.clone(),
            group: 3,
            deadline,
            harmful: booking,
            router: self.router.clone(),
        });
        let asked = client.ask(stream, &fields, b"");
        if self.disconnected.load(Ordering::Acquire) {
            self.record.note(RecordedEvent::Released { request });
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        asked
    }

    fn read(&self, mut client: Client) {
        let _ = client.stream.set_read_timeout(Some(Duration::from_millis(200)));
        let mut idle = 0;
        loop {
            match client.read() {
                Ok(frame) if frame.kind == 66 && frame.stream > 0 => {
                    idle = 0;
                    let known =
                        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&frame.stream);
                    // An answer to an unknown stream is recorded too, so that the checker reports it.
                    let (request, _, second) = known.unwrap_or((u64::MAX, 0.0, 0));
                    self.record.note(RecordedEvent::Final {
                        request,
                        code: frame.code,
                        dated: dated(&frame.body),
                    });
                    let mut ends = self.ends.lock().unwrap_or_else(PoisonError::into_inner);
                    let list = match frame.code {
                        1 => &mut ends.served,
                        2 => &mut ends.refused,
                        _ => &mut ends.failed,
                    };
                    LoadResults::count(list, second);
                }
                Ok(_) => {}
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    idle += 1;
                    let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
                    let late = open.values().all(|(_, deadline, _)| now() > deadline + 500.0);
                    if self.stop.load(Ordering::Acquire) && (open.is_empty() || late || idle > 100) {
                        return;
                    }
                }
                Err(_) => {
                    self.disconnected.store(true, Ordering::Release);
                    for (request, ..) in self.open.lock().unwrap_or_else(PoisonError::into_inner).values() {
                        self.record.note(RecordedEvent::Released { request: *request });
                    }
                    return;
                }
            }
        }
    }
}

/// When the origin issued a copy, from the start of its body.
fn dated(body: &[u8]) -> Option<Ms> {
    let start = String::from_utf8_lossy(&body[..body.len().min(120)]).into_owned();
    start.split(' ').nth(2).and_then(|at| at.parse().ok())
}
