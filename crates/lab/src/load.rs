//! Open-loop load on real routers: each request has an intended time, independent of how fast others are
//! answered.
//!
//! Latencies count from the intended time, so that a request sent late because of another one includes that
//! delay. Sending never waits for the answer of an earlier request.

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

/// Code of a final answer: the request was served.
const SERVED: u8 = 1;
/// Code of a final answer: the request was rejected.
const REJECTED: u8 = 2;

/// A request of a client: a first one, or a retry.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClientRequest {
    object: u64,
    is_booking: bool,
    router: usize,
    /// The intended time of the first request, in seconds since the start of the load.
    first: f64,
    retries: u32,
}

/// First requests at their intended times in seconds; they depend on the seed alone, not on answers.
fn arrivals(plan: &Plan, routers: usize) -> Result<Vec<ClientRequest>, String> {
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
    let demand = Demand::new(plan.demand, plan.flash_crowds.clone()).map_err(|error| error.0)?;
    let gap = Exp::new(plan.rate).map_err(|why| why.to_string())?;
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at += gap.sample(&mut random);
        if at >= plan.seconds {
            return Ok(all);
        }
        let object = demand.object((at * 1e6) as u64, &mut random);
        let is_booking = plan.booking_share > 0.0 && random.random::<f64>() < plan.booking_share;
        let router = random.random_range(0..routers.max(1));
        all.push(ClientRequest { object, is_booking, router, first: at, retries: 0 });
    }
}

/// An answer read from a connection; `None` after the connection was closed.
struct ReceivedAnswer {
    connection: usize,
    answer: Option<(u32, u8, f64)>,
    at: Instant,
}

/// A connection to a router, with its open requests.
struct Connection {
    router: usize,
    client: Client,
    /// By stream: the request, and its number in the record.
    open: HashMap<u32, (ClientRequest, u64)>,
    last: u32,
    up: bool,
}

/// Clients that send the load of a plan to routers.
pub struct Clients<'a> {
    pub plan: &'a Plan,
    pub routers: &'a [(String, SocketAddr)],
    pub connections: usize,
    pub record: Recording,
    pub numbers: RequestNumbers,
}

/// How long answers are awaited after the last client time-out.
const SLACK: Duration = Duration::from_millis(500);

impl Clients<'_> {
    /// Sends the load until its end or until `stop` is set; returns how requests ended.
    ///
    /// # Errors
    /// A router that cannot be connected, and invalid parameters of the load.
    pub fn drive(&self, stop: &AtomicBool) -> Result<Statistics, String> {
        let text = |why: io::Error| why.to_string();
        let (sender, answers) = channel();
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
        let mut run = LoadRun {
            clients: self,
            connections,
            scheduled: BinaryHeap::new(),
            requests: Vec::new(),
            started_at: Instant::now(),
            statistics: Statistics::default(),
            random: Pcg64Mcg::seed_from_u64(self.plan.seed ^ 1),
            next_connection: 0,
        };
        for request in arrivals(self.plan, self.routers.len())? {
            run.schedule(request.first, request);
        }
        run.run(&answers, stop);
        for connection in &run.connections {
            let _ = connection.client.stream.shutdown(Shutdown::Both);
        }
        let statistics = run.statistics;
        readers.into_iter().for_each(|reader| _ = reader.join());
        Ok(statistics)
    }
}

fn read(stream: TcpStream, connection: usize, sender: &Sender<ReceivedAnswer>) {
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
        if sender.send(ReceivedAnswer { connection, answer, at: Instant::now() }).is_err() || over {
            return;
        }
    }
}

struct LoadRun<'a> {
    clients: &'a Clients<'a>,
    connections: Vec<Connection>,
    /// Scheduled requests: the time in microseconds, and the index in `requests`.
    scheduled: BinaryHeap<Reverse<(u64, usize)>>,
    requests: Vec<ClientRequest>,
    started_at: Instant,
    statistics: Statistics,
    random: Pcg64Mcg,
    next_connection: usize,
}

impl LoadRun<'_> {
    fn schedule(&mut self, at: f64, request: ClientRequest) {
        self.requests.push(request);
        self.scheduled.push(Reverse(((at * 1e6) as u64, self.requests.len() - 1)));
    }

    fn run(&mut self, answers: &Receiver<ReceivedAnswer>, stop: &AtomicBool) {
        let plan = self.clients.plan;
        let end = Duration::from_secs_f64(plan.seconds + plan.client_timeout / 1_000.0) + SLACK;
        while !stop.load(Ordering::Acquire) && self.started_at.elapsed() < end {
            let passed = self.started_at.elapsed();
            let due = self.scheduled.peek().map(|Reverse((at, _))| Duration::from_micros(*at));
            if due.is_some_and(|due| due <= passed) {
                if let Some(Reverse((at, n))) = self.scheduled.pop() {
                    self.send(at as f64 / 1e6, self.requests[n]);
                }
                continue;
            }
            let open = self.connections.iter().any(|connection| !connection.open.is_empty());
            if due.is_none() && !open {
                return;
            }
            let pause = due.unwrap_or(end).min(end).saturating_sub(passed).min(Duration::from_millis(50));
            match answers.recv_timeout(pause) {
                Ok(received) => self.receive(received),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        // Requests without an answer have failed.
        let open: Vec<ClientRequest> = self
            .connections
            .iter_mut()
            .flat_map(|c| c.open.drain())
            .map(|(_, (request, _))| request)
            .collect();
        open.iter()
            .for_each(|request| Statistics::count(&mut self.statistics.failed, request.first as usize));
    }

    fn send(&mut self, at: f64, request: ClientRequest) {
        let plan = self.clients.plan;
        if request.retries == 0 {
            Statistics::count(&mut self.statistics.requests, request.first as usize);
        } else {
            Statistics::count(&mut self.statistics.client_retries, at as usize);
        }
        self.next_connection += 1;
        let count = self.connections.len();
        let fits = |n: &usize| self.connections[*n].up && self.connections[*n].router == request.router;
        let Some(n) = (0..count).map(|n| (n + self.next_connection) % count).find(fits) else {
            return Statistics::count(&mut self.statistics.failed, request.first as usize);
        };
        let number = self.clients.numbers.next();
        let (id, wait) = (format!("{number:016x}"), plan.client_timeout.to_string());
        let object = format!("{:016x}", xxh3_64(&request.object.to_le_bytes()));
        let size = (plan.demand.median_size / 1_000.0).max(0.001).to_string();
        let class = if request.is_booking { "booking" } else { "video" };
        let fields = [("c", class), ("i", &id), ("d", &wait), ("o", &object), ("tag", "3"), ("m", &size)];
        let connection = &mut self.connections[n];
        connection.last += 1;
        connection.open.insert(connection.last, (request, number));
        self.clients.record.note(RecordedEvent::Requested {
            request: number,
            id: id.clone(),
            object: object.clone(),
            group: 3,
            deadline: now() + plan.client_timeout,
            harmful: request.is_booking,
            router: self.clients.routers[request.router].0.clone(),
        });
        if connection.client.ask(connection.last, &fields, b"").is_err() {
            self.connection_lost(n);
        }
    }

    fn receive(&mut self, received: ReceivedAnswer) {
        let Some((stream, code, wait)) = received.answer else {
            return self.connection_lost(received.connection);
        };
        let known = self.connections[received.connection].open.remove(&stream);
        // An answer without an open request is recorded too, because the checker must see it.
        let number = known.map_or(u64::MAX, |(_, number)| number);
        self.clients.record.note(RecordedEvent::Final { request: number, code, dated: None });
        let Some((request, _)) = known else { return };
        let at = (received.at - self.started_at).as_secs_f64();
        let (plan, second) = (self.clients.plan, request.first as usize);
        let latency_ms = (at - request.first) * 1_000.0;
        let latency_limit = plan.latency_objective + plan.demand.median_size / plan.transfer_rate * 1_000.0;
        let should_retry =
            code == REJECTED || plan.retry_failed_requests && !request.is_booking && code != SERVED;
        if code == SERVED {
            let list = if latency_ms <= latency_limit {
                &mut self.statistics.in_time
            } else {
                &mut self.statistics.late
            };
            Statistics::count(list, second);
            self.statistics.latencies_ms.push(latency_ms as f32);
        } else if should_retry && request.retries < plan.max_client_retries {
            let pause = plan.retry_pause * plan.retry_backoff.powi(request.retries as i32);
            let pause = if plan.respect_retry_after { pause.max(wait) } else { pause };
            let pause = pause * self.random.random_range(1.0..1.5);
            self.schedule(at + pause / 1_000.0, ClientRequest { retries: request.retries + 1, ..request });
        } else {
            let list =
                if code == REJECTED { &mut self.statistics.rejected } else { &mut self.statistics.failed };
            Statistics::count(list, second);
        }
    }

    /// Closes a connection after its router disconnected; its open requests have failed.
    fn connection_lost(&mut self, n: usize) {
        let connection = &mut self.connections[n];
        connection.up = false;
        for (_, (request, number)) in connection.open.drain() {
            self.clients.record.note(RecordedEvent::Released { request: number });
            Statistics::count(&mut self.statistics.failed, request.first as usize);
        }
    }
}
