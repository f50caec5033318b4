//! Relays the bytes of one connection, and decodes the frames in them.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use linnethook_gateway::attempt_ledger::AttemptOutcome;
use linnethook_gateway::codec::{FrameDecoder, Message};

use super::{lock, reset, Corruption, ProxyEnds, State};
use crate::recording::RecordedEvent;

pub(super) fn relay_connection(
    n: u64,
    dialer: TcpStream,
    state: &Arc<Mutex<State>>,
    ends: &ProxyEnds,
    stopped: &Arc<AtomicBool>,
) -> io::Result<()> {
    // A silent link accepts no new connection.
    while lock(state).conditions.iter().any(|conditions| conditions.silent) {
        if stopped.load(Ordering::Acquire) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    let target = lock(state).target.ok_or(ErrorKind::NotConnected)?;
    if lock(state).cut {
        return Ok(());
    }
    let dialed = TcpStream::connect(target)?;
    for stream in [&dialer, &dialed] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(2)))?;
    }
    {
        let mut state = lock(state);
        state.passed.connections += 1;
        state.streams.insert(n, [dialer.try_clone()?, dialed.try_clone()?]);
    }
    let tokens = Arc::new(Mutex::new(BTreeMap::new()));
    let both = [(dialer.try_clone()?, dialed.try_clone()?), (dialed, dialer)];
    let threads = both.into_iter().enumerate().map(|(direction, (from, to))| {
        let (state, stopped) = (state.clone(), stopped.clone());
        let observer = FrameObserver {
            connection: n,
            direction,
            ends: ends.clone(),
            decoder: FrameDecoder::default(),
            undecodable: false,
            tokens: tokens.clone(),
        };
        thread::spawn(move || relay_direction(direction, &from, &to, &state, &stopped, observer))
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().for_each(|thread| _ = thread.join());
    lock(state).streams.remove(&n);
    Ok(())
}

/// Most bytes that are buffered in one direction.
pub(super) const MAX_BUFFERED_BYTES: usize = 512 << 10;

pub(super) fn relay_direction(
    direction: usize,
    mut from: &TcpStream,
    mut to: &TcpStream,
    state: &Mutex<State>,
    stopped: &AtomicBool,
    mut observer: FrameObserver,
) {
    let mut block = vec![0; 64 << 10];
    let mut buffered = VecDeque::<(Instant, Vec<u8>)>::new();
    let (mut bytes, mut ended) = (0, false);
    let mut free = Instant::now();
    while !stopped.load(Ordering::Acquire) {
        if lock(state).half_open.contains_key(&observer.connection) {
            return;
        }
        let conditions = lock(state).conditions[direction];
        if bytes < MAX_BUFFERED_BYTES && !ended && !conditions.silent {
            match from.read(&mut block) {
                Ok(0) => ended = true,
                Ok(n) => {
                    bytes += n;
                    buffered.push_back((Instant::now() + conditions.delay, block[..n].to_vec()));
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => ended = true,
            }
        } else {
            thread::sleep(Duration::from_millis(1));
        }
        // The conditions may have changed during the read.
        let conditions = lock(state).conditions[direction];
        let at = Instant::now();
        while !conditions.silent
            && buffered.front().is_some_and(|(due, _)| *due <= at)
            && (conditions.rate <= 0.0 || free <= at)
        {
            let Some((_, mut chunk)) = buffered.pop_front() else { break };
            bytes -= chunk.len();
            let cut = truncate_at_cut(&mut chunk, direction, state);
            observer.observe(&chunk, state);
            corrupt(&mut chunk, direction, state);
            if conditions.rate > 0.0 {
                free = free.max(at) + Duration::from_secs_f64(chunk.len() as f64 / conditions.rate);
            }
            if to.write_all(&chunk).is_err() {
                ended = true;
                buffered.clear();
            }
            if cut {
                reset(&mut lock(state));
                return;
            }
        }
        // The end of the stream is forwarded after all bytes before it, and not over a silent link.
        if ended && buffered.is_empty() && !conditions.silent {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Truncates a chunk to what passes before the connections are reset; returns whether they must be reset
/// after it.
fn truncate_at_cut(chunk: &mut Vec<u8>, direction: usize, state: &Mutex<State>) -> bool {
    let mut state = lock(state);
    let Some(left) = state.conditions[direction].cut_after else { return false };
    let over = chunk.len() >= left;
    chunk.truncate(left);
    state.conditions[direction].cut_after = if over { None } else { Some(left - chunk.len()) };
    over
}

/// Drops or repeats a chunk if a corruption is set, and clears it.
fn corrupt(chunk: &mut Vec<u8>, direction: usize, state: &Mutex<State>) {
    match lock(state).conditions[direction].corruption.take() {
        Some(Corruption::Lost) => chunk.clear(),
        Some(Corruption::Repeated) => chunk.extend_from_within(..),
        None => {}
    }
}

/// The fencing token of each stream, by the direction of its request and its number.
pub(super) type Tokens = Arc<Mutex<BTreeMap<(usize, u32), (u64, u64)>>>;

/// Decodes the frames of one direction.
pub(super) struct FrameObserver {
    connection: u64,
    direction: usize,
    ends: ProxyEnds,
    decoder: FrameDecoder,
    /// The bytes can't be decoded as frames: decoding has ended.
    undecodable: bool,
    tokens: Tokens,
}

impl FrameObserver {
    pub(super) fn observe(&mut self, bytes: &[u8], state: &Mutex<State>) {
        let n = self.direction;
        lock(state).passed.bytes[n] += bytes.len() as u64;
        if self.undecodable {
            return;
        }
        self.decoder.push_bytes(bytes);
        loop {
            let frame = match self.decoder.next_frame(4 << 20) {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => {
                    self.undecodable = true;
                    return;
                }
            };
            let tokens = || self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
            match frame.message {
                Message::Request(open) => {
                    let id = open.fields.iter().find(|(name, _)| name == "i").map(|(_, id)| id.clone());
                    let token = open.token.map(|token| (token.epoch, token.number));
                    token.into_iter().for_each(|token| _ = tokens().insert((n, frame.stream), token));
                    let (to, passed) = (self.ends.sites[1 - n].clone(), open.passed_sites);
                    let id = id.unwrap_or_default();
                    let at = self.ends.record.note(RecordedEvent::Crossed { to, id, token, passed });
                    let mut state = lock(state);
                    state.passed.opened[n] += 1;
                    state.passed.at.push(at);
                }
                Message::Reject { .. } => {
                    if let Some(token) = tokens().remove(&(1 - n, frame.stream)) {
                        self.ends.record.note(RecordedEvent::Proven { token });
                    }
                }
                Message::OutcomeReport(token, AttemptOutcome::NeverRan) => {
                    self.ends.record.note(RecordedEvent::Proven { token: (token.epoch, token.number) });
                }
                Message::Data(bytes) => {
                    let mut state = lock(state);
                    state.passed.bodies[n] += bytes.len() as u64;
                    *state.passed.by_connection.entry(self.connection).or_default() += bytes.len() as u64;
                }
                _ => {}
            }
        }
    }
}
