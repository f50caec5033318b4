//! Owns the load on real routers: an open loop, in which each request has its intended time, whoever is slow.
//!
//! A request that goes out late because another was in the way has taken that much longer: latencies count from the intended
//! time. Must never wait for an answer before it sends the next request.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use linnethook_model::demand::Demand;
use linnethook_model::plan::Plan;
use linnethook_model::statistics::Statistics;
use linnethook_quickstart::Client;
use linnethook_testbed::load::RequestNumbers;
use linnethook_testbed::recording::{now, RecordedEvent, Recording};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64;

/// The code of a final answer that serves, and of one that refuses.
const SERVED: u8 = 1;
const REFUSED: u8 = 2;

/// A client's request, first or again.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Wish {
    object: u64,
    books: bool,
    router: usize,
    /// When it was wanted for the first time, in seconds of the load.
    first: f64,
    tries: u32,
}

/// First requests at their intended times, in seconds: the seed's, whatever becomes of them.
fn arrivals(plan: &Plan, routers: usize) -> Result<Vec<Wish>, String> {
    let mut chance = Pcg64Mcg::seed_from_u64(plan.seed);
    let demand = Demand::new(plan.demand, plan.flash_crowds.clone()).map_err(|wrong| wrong.0)?;
    let gap = Exp::new(plan.rate).map_err(|why| why.to_string())?;
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += gap.sample(&mut chance);
        if at >= plan.seconds {
            return Ok(all);
        }
        let object = demand.object((at * 1e6) as u64, &mut chance);
        let books = plan.booking_share > 0.0 && chance.random::<f64>() < plan.booking_share;
        let router = chance.random_range(0..routers.max(1));
        all.push(Wish { object, books, router, first: at, tries: 0 });
    }
}

/// An answer as a reader has it; `None` once its connection is gone.
struct Came {
    connection: usize,
    answer: Option<(u32, u8, f64)>,
    at: Instant,
}

/// What is sent on.
struct Connection {
    router: usize,
    client: Client,
    /// By stream: the wish, its number in the record, and when it was sent.
    open: HashMap<u32, (Wish, u64)>,
    last: u32,
    up: bool,
}

/// Clients on connections to routers, by the plan's load.
pub struct Clients<'a> {
    pub plan: &'a Plan,
    pub routers: &'a [(String, SocketAddr)],
    pub connections: usize,
    pub record: Recording,
    pub numbers: RequestNumbers,
}

/// Of the bounds between clients' wishes and what their routers are asked.
const SLACK: Duration = Duration::from_millis(500);

impl Clients<'_> {
    /// Drives it to its end, or until it is to stop; how requests ended.
    pub fn drive(&self, stop: &AtomicBool) -> Result<Statistics, String> {
        let text = |why: io::Error| why.to_string();
        let (sender, came) = channel();
        let mut connections = Vec::new();
        let mut readers = Vec::new();
        for (router, (_, address)) in self.routers.iter().enumerate() {
            for _ in 0..self.connections.max(1) {
                let client = Client::connect(address).map_err(text)?;
                let copy = client.stream.try_clone().map_err(text)?;
                copy.set_read_timeout(None).map_err(text)?;
                let (sender, n) = (sender.clone(), connections.len());
                readers.push(thread::spawn(move || read(copy, n, &sender)));
                connections.push(Connection { router, client, open: HashMap::new(), last: 0, up: true });
            }
        }
        let mut under_way = UnderWay {
            clients: self,
            connections,
            waiting: BinaryHeap::new(),
            wishes: Vec::new(),
            begun: Instant::now(),
            seen: Statistics::default(),
            chance: Pcg64Mcg::seed_from_u64(self.plan.seed ^ 1),
            turn: 0,
        };
        for wish in arrivals(self.plan, self.routers.len())? {
            under_way.put(wish.first, wish);
        }
        under_way.run(&came, stop);
        for connection in &under_way.connections {
            let _ = connection.client.stream.shutdown(Shutdown::Both);
        }
        let seen = under_way.seen;
        readers.into_iter().for_each(|reader| _ = reader.join());
        Ok(seen)
    }
}

fn read(stream: TcpStream, connection: usize, sender: &Sender<Came>) {
    let mut client = Client { stream };
    loop {
        let answer = match client.read() {
            Ok(frame) if frame.kind == 66 && frame.stream > 0 => {
                let wait = frame.fields.iter().find(|(name, _)| name == "w");
                let wait = wait.and_then(|(_, wait)| wait.parse().ok()).unwrap_or(0.0);
                Some((frame.stream, frame.code, wait))
            }
            Ok(_) => continue,
            Err(_) => None,
        };
        let over = answer.is_none();
        if sender.send(Came { connection, answer, at: Instant::now() }).is_err() || over {
            return;
        }
    }
}

struct UnderWay<'a> {
    clients: &'a Clients<'a>,
    connections: Vec<Connection>,
    /// What is to be sent: when, in whole microseconds, and which wish.
    waiting: BinaryHeap<Reverse<(u64, usize)>>,
    wishes: Vec<Wish>,
    begun: Instant,
    seen: Statistics,
    chance: Pcg64Mcg,
    turn: usize,
}

impl UnderWay<'_> {
    fn put(&mut self, at: f64, wish: Wish) {
        self.wishes.push(wish);
        self.waiting.push(Reverse(((at * 1e6) as u64, self.wishes.len() - 1)));
    }

    fn run(&mut self, came: &Receiver<Came>, stop: &AtomicBool) {
        let plan = self.clients.plan;
        let end = Duration::from_secs_f64(plan.seconds + plan.client_timeout / 1_000.0) + SLACK;
        while !stop.load(Ordering::Acquire) && self.begun.elapsed() < end {
            let passed = self.begun.elapsed();
            let due = self.waiting.peek().map(|Reverse((at, _))| Duration::from_micros(*at));
            if due.is_some_and(|due| due <= passed) {
                if let Some(Reverse((at, n))) = self.waiting.pop() {
                    self.ask(at as f64 / 1e6, self.wishes[n]);
                }
                continue;
            }
            let open = self.connections.iter().any(|connection| !connection.open.is_empty());
            if due.is_none() && !open {
                return;
            }
            let pause = due.unwrap_or(end).min(end).saturating_sub(passed).min(Duration::from_millis(50));
            match came.recv_timeout(pause) {
                Ok(came) => self.came(came),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        // Nobody answered these in time.
        let open: Vec<Wish> =
            self.connections.iter_mut().flat_map(|c| c.open.drain()).map(|(_, (wish, _))| wish).collect();
        open.iter().for_each(|wish| Statistics::count(&mut self.seen.failed, wish.first as usize));
    }

    fn ask(&mut self, at: f64, wish: Wish) {
        let plan = self.clients.plan;
        if wish.tries == 0 {
            Statistics::count(&mut self.seen.requests, wish.first as usize);
        } else {
            Statistics::count(&mut self.seen.client_retries, at as usize);
        }
        self.turn += 1;
        let count = self.connections.len();
        let fits = |n: &usize| self.connections[*n].up && self.connections[*n].router == wish.router;
        let Some(n) = (0..count).map(|n| (n + self.turn) % count).find(fits) else {
            return Statistics::count(&mut self.seen.failed, wish.first as usize);
        };
        let request = self.clients.numbers.next();
        let (id, wait) = (format!("{request:016x}"), plan.client_timeout.to_string());
        let object = format!("{:016x}", xxh3_64(&wish.object.to_le_bytes()));
        let size = (plan.demand.median_size / 1_000.0).max(0.001).to_string();
        let class = if wish.books { "booking" } else { "video" };
        let fields = [("c", class), ("i", &id), ("d", &wait), ("o", &object), ("tag", "3"), ("m", &size)];
        let connection = &mut self.connections[n];
        connection.last += 1;
        connection.open.insert(connection.last, (wish, request));
        self.clients.record.note(RecordedEvent::Requested {
            request,
            id: id.clone(),
            object: object.clone(),
            group: 3,
            deadline: now() + plan.client_timeout,
            harmful: wish.books,
            router: self.clients.routers[wish.router].0.clone(),
        });
        if connection.client.ask(connection.last, &fields, b"").is_err() {
            self.lost(n);
        }
    }

    fn came(&mut self, came: Came) {
        let Some((stream, code, wait)) = came.answer else { return self.lost(came.connection) };
        let known = self.connections[came.connection].open.remove(&stream);
        // One that is not known is noted too: the checker must see it.
        let request = known.map_or(u64::MAX, |(_, request)| request);
        self.clients.record.note(RecordedEvent::Final { request, code, dated: None });
        let Some((wish, _)) = known else { return };
        let at = (came.at - self.begun).as_secs_f64();
        let (plan, second) = (self.clients.plan, wish.first as usize);
        let took = (at - wish.first) * 1_000.0;
        let aim = plan.latency_objective + plan.demand.median_size / plan.transfer_rate * 1_000.0;
        let again = code == REFUSED || plan.retry_failed_requests && !wish.books && code != SERVED;
        if code == SERVED {
            let list = if took <= aim { &mut self.seen.in_time } else { &mut self.seen.late };
            Statistics::count(list, second);
            self.seen.latencies_ms.push(took as f32);
        } else if again && wish.tries < plan.max_client_retries {
            let pause = plan.retry_pause * plan.retry_backoff.powi(wish.tries as i32);
            let pause = if plan.respect_retry_after { pause.max(wait) } else { pause };
            let pause = pause * self.chance.random_range(1.0..1.5);
            self.put(at + pause / 1_000.0, Wish { tries: wish.tries + 1, ..wish });
        } else {
            let list = if code == REFUSED { &mut self.seen.rejected } else { &mut self.seen.failed };
            Statistics::count(list, second);
        }
    }

    /// A router has gone, with all that was asked of it.
    fn lost(&mut self, n: usize) {
        let connection = &mut self.connections[n];
        connection.up = false;
        for (_, (wish, request)) in connection.open.drain() {
            self.clients.record.note(RecordedEvent::Released { request });
            Statistics::count(&mut self.seen.failed, wish.first as usize);
        }
    }
}
