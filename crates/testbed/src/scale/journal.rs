//! A simulated discovery service: one log of events, told to every router by long polls on an address of its own.
//!
//! What each router has taken in, and when, is seen from its polls alone: the next poll names the number it has
//! reached. Simulated: one machine that gathers what is new for [`GATHER`], so that a page carries what fell into it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// How long what is new is gathered before polls that wait are answered.
pub const GATHER: Duration = Duration::from_millis(50);
/// Events in one page at the most: routers take pages of up to 8 MB.
const PAGE: usize = 20_000;
/// The threads of polls hold little.
const STACK: usize = 128 << 10;

/// What one router asked and was told.
#[derive(Debug, Clone, Default)]
pub struct Meter {
    pub polls: u64,
    /// Bytes that it has said and heard.
    pub bytes_sent: u64,
    pub bytes_received: u64,
    /// The number that its last poll named.
    pub reached: usize,
    /// How long each event took to be taken in, in milliseconds, from when it was told.
    pub delays: Vec<f64>,
    /// When it first polled in this start.
    pub first: Option<Instant>,
}

#[derive(Debug, Default)]
struct Polled {
    meter: Meter,
    /// Its polls are not answered, and nothing is said of it.
    silent: bool,
    stream: Option<TcpStream>,
}

#[derive(Debug, Default)]
struct State {
    /// Events as they stand in a page, and when each was told.
    events: Vec<(Box<str>, Instant)>,
    /// How far pages go: what was gathered.
    shown: usize,
    dead: bool,
    over: bool,
    routers: Vec<Polled>,
}

type Shared = Arc<(Mutex<State>, Condvar)>;

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The service; dropped, it is gone.
pub struct Journal {
    shared: Shared,
    addresses: Vec<SocketAddr>,
}

impl Journal {
    /// Listens for each router at its address; `known` is what they find in their configurations.
    pub fn start(addresses: Vec<SocketAddr>, known: Vec<Value>) -> io::Result<Self> {
        let shared: Shared = Arc::default();
        lock(&shared).routers.resize_with(addresses.len(), Polled::default);
        for (n, address) in addresses.iter().enumerate() {
            let listener = TcpListener::bind(address)?;
            let shared = shared.clone();
            thread::Builder::new().stack_size(STACK).spawn(move || accept(n, &listener, &shared))?;
        }
        let journal = Self { shared, addresses };
        let at = Instant::now();
        known.into_iter().for_each(|event| journal.tell(event, at));
        journal.show();
        let shared = journal.shared.clone();
        thread::Builder::new().stack_size(STACK).spawn(move || loop {
            thread::sleep(GATHER);
            let mut state = lock(&shared);
            if state.over {
                return;
            }
            if state.shown < state.events.len() && !state.dead {
                state.shown = state.events.len();
                drop(state);
                shared.1.notify_all();
            }
        })?;
        Ok(journal)
    }

    /// Adds an event, which counts as told at that time.
    pub fn tell(&self, mut event: Value, at: Instant) {
        let mut state = lock(&self.shared);
        event["pos"] = json!(state.events.len() + 1);
        state.events.push((event.to_string().into(), at));
    }

    fn show(&self) {
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

    /// It is killed: all connections are reset, and new ones too; or it is back, with all that it had.
    pub fn kill(&self, dead: bool) {
        let mut state = lock(&self.shared);
        state.dead = dead;
        if dead {
            let streams = state.routers.iter_mut().filter_map(|router| router.stream.take());
            streams.for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Some routers' polls are held without a word, or answered again.
    pub fn silence(&self, routers: &[usize], silent: bool) {
        let mut state = lock(&self.shared);
        routers.iter().for_each(|n| state.routers[*n].silent = silent);
        drop(state);
        self.shared.1.notify_all();
    }

    /// A router starts again with all up to a number: what lies before was not told to this start.
    pub fn begins(&self, router: usize, number: usize) {
        let mut state = lock(&self.shared);
        let meter = &mut state.routers[router].meter;
        (meter.reached, meter.first) = (number, None);
    }

    /// From here on delays are taken anew.
    pub fn forget_delays(&self) {
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
        if state.dead {
            continue;
        }
        state.routers[n].stream = stream.try_clone().ok();
        drop(state);
        let shared = shared.clone();
        let talks = move || _ = talk(n, &stream, &shared);
        if thread::Builder::new().stack_size(STACK).spawn(talks).is_err() {
            return;
        }
    }
}

/// Answers the polls of one connection until it ends.
fn talk(n: usize, stream: &TcpStream, shared: &Shared) -> Option<()> {
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
        bytes_received(&mut state, n, tail, bytes);
        let wait = Duration::from_millis(wait.min(5_000));
        let quiet = |state: &mut State| !state.dead && (state.shown <= tail || state.routers[n].silent);
        let waited = shared.1.wait_timeout_while(state, wait, quiet);
        (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if state.dead || state.over {
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        if state.routers[n].silent {
            // Whoever waits for it gives up by itself; what it asks then is held as well.
            let silent = |state: &mut State| !state.dead && state.routers[n].silent;
            drop(shared.1.wait_while(state, silent));
            let _ = stream.shutdown(Shutdown::Both);
            return None;
        }
        let upto = state.shown.min(tail + PAGE).max(tail);
        let page = page(&state, tail, upto);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len());
        state.routers[n].meter.bytes_received += answer.len() as u64;
        drop(state);
        let mut output = stream;
        output.write_all(answer.as_bytes()).ok()?;
    }
}

/// The number and the wait that the first line of a poll has.
fn poll(line: &str) -> Option<(usize, u64)> {
    let query = line.split_whitespace().nth(1)?.split_once('?')?.1;
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    Some((value("tail")?.parse().ok()?, value("max_wait")?.parse::<f64>().ok()? as u64))
}

/// A router's poll names what it has taken in.
fn bytes_received(state: &mut State, n: usize, tail: usize, bytes: usize) {
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

fn page(state: &State, from: usize, upto: usize) -> String {
    let entries = state.events.get(from..upto).unwrap_or_default();
    let mut page = format!("{{\"pos\":{upto},\"entries\":[");
    for (n, (event, _)) in entries.iter().enumerate() {
        if n > 0 {
            page.push(',');
        }
        page.push_str(event);
    }
    page.push_str("]}");
    page
}
