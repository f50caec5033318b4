//! Owns a link in the middle of two gateways: it passes bytes, and holds, delays, throttles or cuts them by script.
//!
//! It reads along by the published frames, and notes what concerns the rules; it never changes a byte.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use linnethook_gateway::attempt_ledger::AttemptOutcome;
use linnethook_gateway::codec::{FrameDecoder, Message};

use crate::recording::{RecordedEvent, Recording};

/// What befalls one direction.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LinkConditions {
    /// Nothing passes, and nothing is said of it.
    pub silent: bool,
    pub delay: Duration,
    /// Bytes a second; 0 is as many as come.
    pub rate: f64,
    /// After so many more bytes all connections are reset.
    pub cut_after: Option<usize>,
    /// What comes next is lost, or comes twice: once, and on the connection on which it comes.
    pub corruption: Option<Corruption>,
}

/// What befalls the bytes of a connection that no wire would do to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Corruption {
    Lost,
    Repeated,
}

/// What passed, in each direction: towards the server first.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Passed {
    pub bytes: [u64; 2],
    /// Bytes of bodies, and requests with and without a token.
    pub bodies: [u64; 2],
    pub opened: [u64; 2],
    pub connections: u64,
    /// Bytes of bodies by connection, both directions together.
    pub by_connection: BTreeMap<u64, u64>,
    /// Times at which requests passed, in Unix milliseconds.
    pub at: Vec<f64>,
}

#[derive(Debug, Default)]
struct State {
    conditions: [LinkConditions; 2],
    /// Connections are reset, and new ones too.
    cut: bool,
    target: Option<SocketAddr>,
    streams: BTreeMap<u64, [TcpStream; 2]>,
    passed: Passed,
}

/// One link; dropped, it is gone.
pub struct FaultProxy {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
}

/// Towards the one that is dialled, and towards the one that dials.
pub const TO_ACCEPTOR: usize = 0;
pub const TO_DIALER: usize = 1;

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Who is at the ends, for the record: the site that dials and the one that is dialled.
#[derive(Debug, Clone)]
pub struct ProxyEnds {
    pub sites: [String; 2],
    pub record: Recording,
}

impl FaultProxy {
    pub fn start(ends: ProxyEnds) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let over = Arc::new(AtomicBool::new(false));
        let (shared, done) = (state.clone(), over.clone());
        thread::spawn(move || {
            for (n, stream) in listener.incoming().enumerate() {
                if done.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let (state, ends, done) = (shared.clone(), ends.clone(), done.clone());
                thread::spawn(move || _ = join(n as u64, stream, &state, &ends, &done));
            }
        });
        Ok(Self { address, state, over })
    }

    /// Where those that connect are passed on to.
    pub fn set_target(&self, target: SocketAddr) {
        lock(&self.state).target = Some(target);
    }

    /// Whoever was there has gone: its port may be another's by now.
    pub fn clear_target(&self) {
        lock(&self.state).target = None;
    }

    pub fn conditions(&self, direction: usize, conditions: LinkConditions) {
        lock(&self.state).conditions[direction] = conditions;
    }

    /// Nothing passes in some directions any more.
    pub fn silence(&self, directions: &[usize]) {
        let mut state = lock(&self.state);
        directions.iter().for_each(|n| state.conditions[*n].silent = true);
    }

    /// All connections are reset, and so are new ones.
    pub fn cut(&self) {
        let mut state = lock(&self.state);
        state.cut = true;
        reset(&mut state);
    }

    /// All passes as it should.
    pub fn mend(&self) {
        let mut state = lock(&self.state);
        (state.cut, state.conditions) = (false, [LinkConditions::default(); 2]);
    }

    pub fn passed(&self) -> Passed {
        lock(&self.state).passed.clone()
    }

    /// Connections that are up.
    pub fn connections(&self) -> usize {
        lock(&self.state).streams.len()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        reset(&mut lock(&self.state));
        drop(TcpStream::connect(self.address));
    }
}

fn reset(state: &mut State) {
    for streams in std::mem::take(&mut state.streams).into_values() {
        streams.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

fn join(
    n: u64,
    dialler: TcpStream,
    state: &Arc<Mutex<State>>,
    ends: &ProxyEnds,
    over: &Arc<AtomicBool>,
) -> io::Result<()> {
    // A silent link takes nobody on.
    while lock(state).conditions.iter().any(|conditions| conditions.silent) {
        if over.load(Ordering::Acquire) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(5));
    }
    let target = lock(state).target.ok_or(ErrorKind::NotConnected)?;
    if lock(state).cut {
        return Ok(());
    }
    let dialled = TcpStream::connect(target)?;
    for stream in [&dialler, &dialled] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(2)))?;
    }
    {
        let mut state = lock(state);
        state.passed.connections += 1;
        state.streams.insert(n, [dialler.try_clone()?, dialled.try_clone()?]);
    }
    let tokens = Arc::new(Mutex::new(BTreeMap::new()));
    let both = [(dialler.try_clone()?, dialled.try_clone()?), (dialled, dialler)];
    let threads = both.into_iter().enumerate().map(|(direction, (from, to))| {
        let (state, over) = (state.clone(), over.clone());
        let watch = Watch {
            connection: n,
            direction,
            ends: ends.clone(),
            decoder: FrameDecoder::default(),
            lost: false,
            tokens: tokens.clone(),
        };
        thread::spawn(move || pump(direction, &from, &to, &state, &over, watch))
    });
    let threads: Vec<_> = threads.collect();
    threads.into_iter().for_each(|thread| _ = thread.join());
    lock(state).streams.remove(&n);
    Ok(())
}

/// Bytes that are held between the ends at the most.
const MAX_BUFFERED_BYTES: usize = 512 << 10;

fn pump(
    direction: usize,
    mut from: &TcpStream,
    mut to: &TcpStream,
    state: &Mutex<State>,
    over: &AtomicBool,
    mut watch: Watch,
) {
    let mut block = vec![0; 64 << 10];
    let mut buffered = VecDeque::<(Instant, Vec<u8>)>::new();
    let (mut bytes, mut ended) = (0, false);
    let mut free = Instant::now();
    while !over.load(Ordering::Acquire) {
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
        // What came in after the weather turned is held by the new one.
        let conditions = lock(state).conditions[direction];
        let at = Instant::now();
        while !conditions.silent
            && buffered.front().is_some_and(|(due, _)| *due <= at)
            && (conditions.rate <= 0.0 || free <= at)
        {
            let Some((_, mut chunk)) = buffered.pop_front() else { break };
            bytes -= chunk.len();
            let cut = {
                let mut state = lock(state);
                let left = state.conditions[direction].cut_after;
                if let Some(left) = left {
                    let over = chunk.len() >= left;
                    chunk.truncate(left);
                    state.conditions[direction].cut_after =
                        if over { None } else { Some(left - chunk.len()) };
                    over
                } else {
                    false
                }
            };
            watch.saw(&chunk, state);
            match lock(state).conditions[direction].corruption.take() {
                Some(Corruption::Lost) => chunk.clear(),
                Some(Corruption::Repeated) => chunk.extend_from_within(..),
                None => {}
            }
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
        // An end is passed on too, once all before it has been; over a silent link it is not.
        if ended && buffered.is_empty() && !conditions.silent {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// By the side that opened it and its number: the token of a stream.
type Tokens = Arc<Mutex<BTreeMap<(usize, u32), (u64, u64)>>>;

/// Reads along in one direction.
struct Watch {
    connection: u64,
    direction: usize,
    ends: ProxyEnds,
    decoder: FrameDecoder,
    /// What passes are no frames: it is not read any more.
    lost: bool,
    tokens: Tokens,
}

impl Watch {
    fn saw(&mut self, bytes: &[u8], state: &Mutex<State>) {
        let n = self.direction;
        lock(state).passed.bytes[n] += bytes.len() as u64;
        if self.lost {
            return;
        }
        self.decoder.push_bytes(bytes);
        loop {
            let frame = match self.decoder.next_frame(4 << 20) {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) => {
                    self.lost = true;
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

/// Two sites with a gateway each, `north` and `south`, and the link in their middle; the north dials.
pub struct TwoSites {
    pub north: crate::process_cluster::ProcessCluster,
    pub south: crate::process_cluster::ProcessCluster,
    pub proxy: FaultProxy,
}

/// The routers' names.
pub const NORTH: &str = "n0";
pub const SOUTH: &str = "s0";

impl TwoSites {
    /// Starts all; `settings` go into both gateways.
    pub fn start(
        program: &std::path::Path,
        settings: &str,
        server_config: impl Fn(crate::cache_server::ServerRole) -> crate::cache_server::CacheServerConfig,
    ) -> io::Result<Self> {
        use crate::process_cluster::ProcessCluster;
        let mut north = ProcessCluster::site(program, "north", 2, None, &server_config)?;
        let mut south = ProcessCluster::site(program, "south", 2, Some(&north), &server_config)?;
        let sites = ["north".to_string(), "south".to_string()];
        let proxy = FaultProxy::start(ProxyEnds { sites, record: north.record.clone() })?;
        let listens = format!("listen = \"127.0.0.1:0\"{settings}");
        south.start_router(SOUTH, Some(&operator("south", "north", &listens, "")), |_| {})?;
        proxy.set_target(south.links(SOUTH).ok_or(ErrorKind::NotFound)?);
        let link = format!("link(\"south\", connect = \"{}\", connections = 2)", proxy.address);
        let settings = settings.trim_start_matches(", ");
        north.start_router(NORTH, Some(&operator("north", "south", settings, &link)), |_| {})?;
        Ok(Self { north, south, proxy })
    }

    /// The gateway of the south is killed and started again.
    pub fn restart_south(&mut self) -> io::Result<()> {
        self.south.kill_router(SOUTH);
        self.south.start_again(SOUTH)?;
        self.proxy.set_target(self.south.links(SOUTH).ok_or(ErrorKind::NotFound)?);
        Ok(())
    }

    /// A command to the gateway of a side.
    pub fn gateway(&self, router: &str, arguments: &[&str]) -> io::Result<(bool, String)> {
        let fleet = self.fleet(router);
        let socket = fleet.socket(router).display().to_string();
        let arguments = [&["gateway"], arguments, &["--socket", &socket]].concat();
        let output = fleet.command(&arguments)?;
        let text = if output.status.success() { output.stdout } else { output.stderr };
        Ok((output.status.success(), String::from_utf8_lossy(&text).into_owned()))
    }

    fn fleet(&self, router: &str) -> &crate::process_cluster::ProcessCluster {
        if router == NORTH {
            &self.north
        } else {
            &self.south
        }
    }

    /// How a gateway stands.
    pub fn status(&self, router: &str) -> io::Result<serde_json::Value> {
        self.fleet(router).asked(router, &["gateway", "status"])
    }

    /// Waits until a gateway shows what is wanted; the time is only a bound.
    pub fn until(
        &self,
        router: &str,
        what: &str,
        fits: impl Fn(&serde_json::Value) -> bool,
    ) -> io::Result<serde_json::Value> {
        self.fleet(router).until(router, &["gateway", "status"], what, fits)
    }

    /// Waits until both sides use the link.
    pub fn until_up(&self) -> io::Result<()> {
        for router in [NORTH, SOUTH] {
            self.until(router, "the link is up", |status| status["sites"][0]["reachable"] == true)?;
        }
        Ok(())
    }
}

/// The operator file of a gateway.
fn operator(site: &str, other: &str, settings: &str, link: &str) -> String {
    let comma = if settings.is_empty() { "" } else { ", " };
    format!(
        "control(path = \"SOCKET\")\nlog(lines_per_second = 200)\n\
         gateway(site = \"{site}\"{comma}{settings})\nsite(\"{other}\")\n{link}\n"
    )
}
