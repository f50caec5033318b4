//! Owns the control socket: one question and one answer on each connection, for the commands of this program.
//!
//! Must never hold the loop up, keep a connection past its time, or do anything by half: a question counts once it
//! is there whole.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use calloop::generic::{Generic, NoIoDrop};
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use linnethook_audit::record::ChainLink;
use linnethook_gateway::gateway::{RouteLine, Status};
use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec, NodeSpec, PlanSpec};
use linnethook_membership::aggregation::query::QueryTarget;
use linnethook_membership::straggler::StragglerState;
use linnethook_membership::view::RouterView;
use serde::{Deserialize, Serialize};

use crate::buffers::{BufferChain, BufferPool};
use crate::config::Limits;
use crate::descriptors::{Purpose, Reserve};
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;

/// A command of this program, in postcard behind a length of four bytes.
#[derive(Debug, Serialize, Deserialize)]
pub enum Question {
    Show,
    Nodes,
    Plan(Vec<ChangeSpec>),
    Apply(Vec<ChangeSpec>),
    Hear(BatchSpec),
    RollBack {
        author: u16,
        number: u64,
    },
    Gateway,
    Routes,
    Drain {
        site: String,
        drained: bool,
    },
    Fleet,
    /// The detail of a site elsewhere is wanted; what has come of it so far.
    Ask(QueryTarget),
    Answered(u64),
    /// The version below which nobody is to act; 0 takes it back.
    Floor(u64),
    Accounts,
}

/// A going over to a new source, as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveLine {
    pub to: String,
    pub author: u16,
    pub number: u64,
    pub stage: String,
    pub part: f64,
    pub tries: u32,
    pub late_new: f64,
    pub late_old: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetLine {
    pub target: String,
    pub per_second: f64,
    pub limit: Option<f64>,
}

/// The fleet as a router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetShown {
    pub fellows: linnethook_membership::view::ClusterView,
    /// Caches that only fellows call drained so far, with the journal's numbers.
    pub barred: Vec<(String, u64)>,
    /// Drains, purges and batches that were heard from fellows first.
    pub drains: u64,
    pub purges: u64,
    pub batches: u64,
    /// Snapshots of the hierarchy that were taken over whole.
    pub adopted: u64,
    /// Routers of the whole fleet, where there are places.
    pub whole: Option<u64>,
    /// The floor that people have set, and at which router.
    pub set_by: Option<(u64, String)>,
    /// Whether this router is behind, and what was not done for it.
    pub state: Option<StragglerState>,
    pub shut_out: u64,
    /// Records of the own account; accounts, records and bytes of others; records that did not get to the disk.
    pub account: Option<(u64, u64, u64, u64, u64)>,
}

/// A site elsewhere, router by router, as the one that speaks for it has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Detail {
    pub place: String,
    pub routers: Vec<RouterView>,
}

/// The hierarchy as a router has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub version: u64,
    pub digest: String,
    pub nodes: usize,
    pub suspended: usize,
    pub held_back: usize,
    pub waiting_batches: usize,
    pub waiting_fills: usize,
    pub out: usize,
    pub moves: Vec<MoveLine>,
    pub budgets: Vec<BudgetLine>,
    pub counts: BTreeMap<String, u64>,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    Shown(Box<Shown>),
    Nodes(Vec<NodeSpec>),
    Plan(Box<PlanSpec>),
    Applied(BatchSpec),
    Gateway(Box<Status>),
    Routes(Vec<RouteLine>),
    Fleet(Box<FleetShown>),
    /// The number under which the answer will be there, and the answer once it is.
    Asking(u64),
    Detail(Option<Detail>),
    Accounts(Vec<ChainLink>),
    Done(String),
    /// It can't be done, and nothing was changed.
    No(String),
}

struct Connection {
    stream: Rc<UnixStream>,
    token: RegistrationToken,
    input: BufferChain,
    output: BufferChain,
    /// It was answered; what is left is to be written.
    answered: bool,
    until: Ms,
}

pub struct Control<W: EventHandler> {
    limits: Limits,
    pool: BufferPool,
    reserve: Reserve,
    handle: LoopHandle<'static, W>,
    path: PathBuf,
    listener: RegistrationToken,
    /// When the listener is looked at again: those that wait could not be taken in.
    again: Option<Ms>,
    connections: BTreeMap<u64, Connection>,
    last: u64,
}

impl<W: EventHandler> Control<W> {
    /// Listens; a socket that a router before this one left behind is taken over, one in use is not.
    pub fn listen(
        limits: Limits,
        pool: &BufferPool,
        reserve: &Reserve,
        handle: LoopHandle<'static, W>,
        path: &Path,
    ) -> io::Result<Self> {
        if path.exists() {
            if UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another process listens on it"));
            }
            std::fs::remove_file(path)?;
        }
        let listener = UnixListener::bind(path)?;
        // Whoever may write here steers the router: its owner alone.
        std::fs::set_permissions(path, PermissionsExt::from_mode(0o600))?;
        listener.set_nonblocking(true)?;
        let source = Generic::new(listener, Interest::READ, Mode::Level);
        let ready = |_: Readiness, listener: &mut NoIoDrop<UnixListener>, router: &mut W| {
            Ok(if router.accept_commands(listener) { PostAction::Continue } else { PostAction::Disable })
        };
        let listener = handle.insert_source(source, ready).map_err(|wrong| io::Error::other(wrong.error))?;
        let (pool, reserve, path) = (pool.clone(), reserve.clone(), path.to_path_buf());
        let connections = BTreeMap::new();
        Ok(Self { limits, pool, reserve, handle, path, listener, again: None, connections, last: 0 })
    }

    /// Takes in those that wait; beyond the most they are closed at once. False where they can't be taken in now.
    pub fn accept(&mut self, now: Ms, listener: &UnixListener) -> bool {
        loop {
            let stream = match self.reserve.open(Purpose::Control, || listener.accept()) {
                Ok((stream, _)) => stream,
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => return true,
                Err(wrong) if wrong.kind() == ErrorKind::Interrupted => continue,
                Err(wrong) => {
                    // Guards against a turn without end: it would fail again at once.
                    log_line!("control: {wrong}");
                    self.again = Some(now + self.limits.client_sweep);
                    return false;
                }
            };
            if self.connections.len() >= self.limits.control_connections
                || stream.set_nonblocking(true).is_err()
            {
                continue;
            }
            self.last += 1;
            let id = self.last;
            let stream = Rc::new(stream);
            let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
            let ready = move |_: Readiness, _: &mut _, router: &mut W| {
                router.on_command_ready(id);
                Ok(PostAction::Continue)
            };
            let Ok(token) = self.handle.insert_source(source, ready) else { continue };
            let (input, output) = (BufferChain::new(&self.pool), BufferChain::new(&self.pool));
            let until = now + self.limits.control_time;
            let connection = Connection { stream, token, input, output, answered: false, until };
            self.connections.insert(id, connection);
        }
    }

    /// Reads on; the question, once it is there whole.
    pub fn read(&mut self, id: u64) -> Option<Question> {
        loop {
            let connection = self.connections.get_mut(&id).filter(|connection| !connection.answered)?;
            match connection.input.read_from(&*connection.stream) {
                Ok(0) => {
                    self.remove(id);
                    return None;
                }
                Ok(_) => {}
                Err(wrong) if wrong.kind() == ErrorKind::Interrupted => continue,
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => {
                    self.remove(id);
                    return None;
                }
            }
            let mut head = [0; 4];
            if connection.input.peek(&mut head) < 4 {
                continue;
            }
            let length = u32::from_be_bytes(head) as usize;
            if length > self.limits.control_message || self.pool.is_exhausted() {
                self.answer(id, &Answer::No("the question is too long, or buffers are short".to_string()));
                return None;
            }
            if connection.input.len() < 4 + length {
                continue;
            }
            connection.input.consume(4);
            let question = connection.input.split_to(length).to_vec();
            match postcard::from_bytes(&question) {
                Ok(question) => return Some(question),
                Err(wrong) => {
                    log_line!("control: a question that can't be read: {wrong}");
                    self.answer(id, &Answer::No(format!("the question can't be read: {wrong}")));
                    return None;
                }
            }
        }
    }

    /// Gives the one answer.
    pub fn answer(&mut self, id: u64, answer: &Answer) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes = postcard::to_stdvec(answer).unwrap_or_default();
        connection.answered = true;
        connection.output.push(&(bytes.len() as u32).to_be_bytes());
        connection.output.push(&bytes);
        self.flush(id);
    }

    /// Writes on, and ends the connection after its answer.
    pub fn flush(&mut self, id: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        while !connection.output.is_empty() {
            match connection.output.write_to(&*connection.stream) {
                Ok(_) => {}
                Err(wrong) if wrong.kind() == ErrorKind::Interrupted => {}
                Err(wrong) if wrong.kind() == ErrorKind::WouldBlock => return,
                Err(_) => break,
            }
        }
        if connection.answered {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id) {
            self.handle.remove(connection.token);
        }
    }

    /// When `tick` is due.
    pub fn next(&self) -> Option<Ms> {
        self.connections.values().map(|connection| connection.until).chain(self.again).reduce(Ms::min)
    }

    /// Ends connections that have had their time.
    pub fn tick(&mut self, now: Ms) {
        let over: Vec<u64> =
            self.connections.iter().filter(|(_, c)| now >= c.until).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.remove(id));
        if self.again.take_if(|again| now >= *again).is_some() {
            let enabled = self.handle.enable(&self.listener);
            let _ = enabled.inspect_err(|wrong| log_line!("control: {wrong}"));
        }
    }
}

impl<W: EventHandler> Drop for Control<W> {
    fn drop(&mut self) {
        // Whoever comes next takes it over in any case.
        let _ = std::fs::remove_file(&self.path);
    }
}
