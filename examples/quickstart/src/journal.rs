//! The journal service: serves numbered events over HTTP to long polls.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, ToSocketAddrs};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

#[derive(Default)]
struct JournalState {
    events: Vec<Value>,
    /// Number of polls to close without a response.
    polls_to_drop: usize,
    /// The minimum time between a poll and its response.
    response_delay: Duration,
}

type Shared = Arc<(Mutex<JournalState>, Condvar)>;

/// A journal service.
pub struct Journal {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// The event number in each received poll: the client has all events up to it.
    pub polls: Receiver<u64>,
    state: Shared,
}

impl Journal {
    /// Listens at an address; `known` are the first events, which routers have in their configurations.
    pub fn start(address: impl ToSocketAddrs, known: Vec<Value>) -> io::Result<Self> {
        Self::serve(TcpListener::bind(address)?, known)
    }

    /// Serves the connections of a listener.
    pub fn serve(listener: TcpListener, known: Vec<Value>) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let state: Shared = Arc::default();
        let (sender, polls) = channel();
        let journal = Self { address, polls, state: state.clone() };
        known.into_iter().for_each(|event| journal.publish(event));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { return };
                let (state, sender) = (state.clone(), sender.clone());
                thread::spawn(move || serve_connection(&stream, &state, &sender));
            }
        });
        Ok(journal)
    }

    /// Appends an event with the next number.
    pub fn publish(&self, mut event: Value) {
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            event["pos"] = json!(state.events.len() + 1);
            state.events.push(event);
            changed.notify_all();
        }
    }

    /// Closes the connection of the open poll, or of the next one, without a response.
    pub fn drop_poll(&self) {
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            state.polls_to_drop += 1;
            changed.notify_all();
        }
    }

    /// Delays each response until this long after its poll.
    pub fn delay_responses(&self, delay: Duration) {
        if let Ok(mut state) = self.state.0.lock() {
            state.response_delay = delay;
        }
    }

    /// All events so far, in the form of the configuration's `known`.
    pub fn known(&self) -> Value {
        let events = self.state.0.lock().map(|state| state.events.clone()).unwrap_or_default();
        json!({"pos": events.len(), "entries": events})
    }
}

fn serve_connection(stream: &TcpStream, state: &Shared, sender: &Sender<u64>) -> Option<()> {
    let mut input = BufReader::new(stream);
    loop {
        let mut request = String::new();
        loop {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|&n| n > 0)?;
            if line == "\r\n" {
                break;
            }
            request.push_str(&line);
        }
        let query = request.split_whitespace().nth(1)?.split_once('?')?.1;
        let value = |name: &str| -> Option<u64> {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (tail, wait) = (value("tail")?, value("max_wait")?);
        let received_at = Instant::now();
        let _ = sender.send(tail);
        let position = usize::try_from(tail).ok()?;
        let (lock, changed) = &**state;
        let quiet = |state: &mut JournalState| state.events.len() <= position && state.polls_to_drop == 0;
        let wait = Duration::from_millis(wait.min(5_000));
        let (mut state, _) = changed.wait_timeout_while(lock.lock().ok()?, wait, quiet).ok()?;
        if state.polls_to_drop > 0 {
            state.polls_to_drop -= 1;
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return None;
        }
        let later = state.events.get(position..).unwrap_or_default();
        let page = json!({"pos": state.events.len().max(position), "entries": later}).to_string();
        let delay = state.response_delay;
        drop(state);
        thread::sleep(delay.saturating_sub(received_at.elapsed()));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", page.len());
        let mut output = stream;
        output.write_all(head.as_bytes()).and_then(|()| output.write_all(page.as_bytes())).ok()?;
    }
}
