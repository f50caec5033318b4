//! A simulated discovery service: one log of events, which each router reads by long polls at an address of
//! its own.
//!
//! Which events each router has applied, and when, is known only from its polls: a poll has the number of the
//! last applied event. New events are gathered for [`GATHER`], as on a real machine, and then sent in one
//! page.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// How long new events are gathered before waiting polls are answered.
pub const GATHER: Duration = Duration::from_millis(50);
/// Most events in one page: routers accept pages of up to 8 MB.
const MAX_PAGE_EVENTS: usize = 20_000;
/// Stack size of the threads, which need little; there are several for each router.
const STACK_BYTES: usize = 128 << 10;

/// Polls of one router, and what they transferred.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    pub polls: u64,
    /// Bytes of the router's requests.
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// The event number of its last poll.
    pub reached: usize,
    /// Milliseconds from the publication of each event until the router had applied it.
    pub delays: Vec<f64>,
    /// Its first poll since its last start.
    pub first: Option<Instant>,
}

#[derive(Debug, Default)]
struct RouterPolls {
    meter: Meter,
    /// Its polls get no response, and its connections stay open.
    silent: bool,
    stream: Option<TcpStream>,
}

#[derive(Debug, Default)]
struct State {
    /// Events as JSON texts, and when each was published.
    events: Vec<(Box<str>, Instant)>,
    /// Number of events that pages may contain.
    shown: usize,
    killed: bool,
    over: bool,
    routers: Vec<RouterPolls>,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The service; it ends on drop.
pub struct Journal {
    shared: Shared,
    addresses: Vec<SocketAddr>,
}

impl Journal {
    /// Listens for each router at its address; `known` are the events in the routers' configurations.
    pub fn start(addresses: Vec<SocketAddr>, known: Vec<Value>) -> io::Result<Self> {
        let shared: Shared = Arc::default();
        lock(&shared).routers.resize_with(addresses.len(), RouterPolls::default);
        for (n, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let shared = shared.clone();
            thread::Builder::new().stack_size(STACK_BYTES).spawn(move || accept(n, &listener, &shared))?;
        }
        let journal = Self { shared, addresses };
        let at = Instant::now();
        known.into_iter().for_each(|event| journal.publish(event, at));
        journal.show_all();
        let shared = journal.shared.clone();
        thread::Builder::new().stack_size(STACK_BYTES).spawn(move || loop {
            thread::sleep(GATHER);
            let mut state = lock(&shared);
            if state.over {
                return;
            }
            if state.shown < state.events.len() && !state.killed {
                state.shown = state.events.len();
                drop(state);
                shared.1.notify_all();
            }
        })?;
        Ok(journal)
    }

    /// Adds an event with its time of publication.
    pub fn publish(&self, mut event: Value, at: Instant) {
        let mut state = lock(&self.shared);
        event["pos"] = json!(state.events.len() + 1);
        state.events.push((event.to_string().into(), at));
    }

    fn show_all(&self) {
        let mut state = lock(&self.shared);
        state.shown = state.events.len();
    }

    /// The number of the last event.
    pub fn number(&self) -> usize {
        lock(&self.shared).events.len()
    }

    /// All events up to now, in the form that a configuration holds, with the number of the last one.
    pub fn known(&self) -> (usize, String) {
        let state = lock(&self.shared);
        let count = state.shown;
        (count, page(&state, 0, count))
    }

    /// Kills the service (all connections are reset, also new ones), or restores it with all its events.
    pub fn kill(&self, killed: bool) {
        let mut state = lock(&self.shared);
        state.killed = killed;
        if killed {
            let streams = state.routers.iter_mut().filter_map(|router| router.stream.take());
            streams.for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Leaves the polls of some routers without a response, or answers them again.
    pub fn silence(&self, routers: &[usize], silent: bool) {
        let mut state = lock(&self.shared);
        routers.iter().for_each(|n| state.routers[*n].silent = silent);
        drop(state);
        self.shared.1.notify_all();
    }

    /// Records that a router starts with all events up to a number in its configuration.
    pub fn router_starts(&self, router: usize, number: usize) {
        let mut state = lock(&self.shared);
        let meter = &mut state.routers[router].meter;
        (meter.reached, meter.first) = (number, None);
    }

    /// Clears the measured delays of all routers.
    pub fn clear_delays(&self) {
        lock(&self.shared).routers.iter_mut().for_each(|router| router.meter.delays.clear());
    }

    pub fn meters(&self) -> Vec<Meter> {
        lock(&self.shared).routers.iter().map(|router| router.meter.clone()).collect()
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        lock(&self.shared).over = true;
        self.kill(true);
        self.addresses.iter().for_each(|address| drop(TcpStream::connect(address)));
    }
}

fn accept(n: usize, listener: &TcpListener, shared: &Shared) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { return };
        let mut state = lock(shared);
        if state.over {
            return;
        }
        if state.killed {
            continue;
        }
        state.routers[n].stream = stream.try_clone().ok();
        drop(state);
        let shared = shared.clone();
        let serve = move || _ = serve_connection(n, &stream, &shared);
        if thread::Builder::new().stack_size(STACK_BYTES).spawn(serve).is_err() {
            return;
        }
    }
}

/// Answers the polls of one connection until it ends.
fn serve_connection(n: usize, stream: &TcpStream, shared: &Shared) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    loop {
        let (mut asked, mut bytes) = (None, 0);
        loop {
            line.clear();
            bytes += input.read_line(&mut line).ok().filter(|n| *n > 0)?;
            if line == "\r\n" {
                break;
            }
            asked = asked.or_else(|| poll(&line));
        }
        let (tail, wait) = asked?;
        let mut state = lock(shared);
        record_poll(&mut state, n, tail, bytes);
        let wait = Duration::from_millis(wait.min(5_000));
        let quiet = |state: &mut State| !state.killed && (state.shown <= tail || state.routers[n].silent);
        let waited = shared.1.wait_timeout_while(state, wait, quiet);
        (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if state.killed || state.over {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        if state.routers[n].silent {
            // The router's poll times out, and its next one gets no response either.
            let silent = |state: &mut State| !state.killed && state.routers[n].silent;
            drop(shared.1.wait_while(state, silent));
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        let up_to = state.shown.min(tail + MAX_PAGE_EVENTS).max(tail);
        let page = page(&state, tail, up_to);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len());
        state.routers[n].meter.bytes_received += answer.len() as u64;
        drop(state);
        let mut output = stream;
        output.write_all(answer.as_bytes()).ok()?;
    }
}

/// The event number and the wait in the request line of a poll.
fn poll(line: &str) -> Option<(usize, u64)> {
    let query = line.split_whitespace().nth(1)?.split_once('?')?.1;
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    Some((value("tail")?.parse().ok()?, value("max_wait")?.parse::<f64>().ok()? as u64))
}

/// Updates a router's meter for a poll, which has the number of the last event that the router has applied.
fn record_poll(state: &mut State, n: usize, tail: usize, bytes: usize) {
    let at = Instant::now();
    let State { events, routers, .. } = state;
    let meter = &mut routers[n].meter;
    meter.polls += 1;
    meter.bytes_sent += bytes as u64;
    meter.first.get_or_insert(at);
    let new = events.get(meter.reached..tail.min(events.len())).unwrap_or_default();
    let delays =
        new.iter().map(|(_, published)| at.saturating_duration_since(*published).as_secs_f64() * 1_000.0);
    meter.delays.extend(delays);
    meter.reached = meter.reached.max(tail);
}

fn page(state: &State, from: usize, up_to: usize) -> String {
    let entries = state.events.get(from..up_to).unwrap_or_default();
    let mut page = format!("{{\"pos\":{up_to},\"entries\":[");
    for (n, (event, _)) in entries.iter().enumerate() {
        if n > 0 {
            page.push(',');
        }
        page.push_str(event);
    }
    page.push_str("]}");
    page
}
