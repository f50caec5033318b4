//! The connections that are ready to be read or written.
//!
//! The event loop only reports which connections became ready. They are served afterwards, a bounded part of each at a
//! time, until the time of their side is over; the others wait for later turns. Upstream connections go first: requests
//! that were taken on are finished before further ones are taken on, or else a busy router would finish none. On each
//! side the kinds of connections have equal shares, and within a kind, the connection that was served least is next.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use calloop::Readiness;

use crate::config::TurnLimits;

use super::fair_queue::FairQueue;
use super::work_budget::WorkBudget;

/// The kinds of connections; where their shares are equal, the first goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ConnectionKind {
    /// A connection to the journal service.
    Discovery,
    /// A connection to a cache, a parent or the origin.
    Upstream,
    /// A link with another site.
    Link,
    /// A client's connection that has sent little so far, and no complete message. Others can't delay its first
    /// request.
    NewClient,
    /// Any other connection of a client.
    Client,
}

impl ConnectionKind {
    const ALL: [Self; 5] = [Self::Discovery, Self::Upstream, Self::Link, Self::NewClient, Self::Client];

    fn side(self) -> Side {
        match self {
            Self::Discovery | Self::Upstream | Self::Link => Side::Upstream,
            Self::NewClient | Self::Client => Side::Downstream,
        }
    }

    /// The budget for a part of a connection of this kind.
    fn budget(self, limits: &TurnLimits) -> WorkBudget {
        WorkBudget::new(match self.side() {
            Side::Upstream => limits.upstream_part,
            Side::Downstream => limits.client_part,
        })
    }
}

/// The sides of the router, each with its own time in a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Connections to the journal service, to caches, parents, the origin and other sites.
    Upstream,
    /// Connections of clients.
    Downstream,
}

impl Side {
    const ALL: [Self; 2] = [Self::Upstream, Self::Downstream];
}

/// A connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadyConnection {
    /// Whose connection it is.
    pub kind: ConnectionKind,
    /// Its id among those of its kind.
    pub id: u64,
}

/// Readiness to be read.
pub const READABLE: Readiness = Readiness { readable: true, writable: false, error: false };
/// Readiness to be read and written.
pub const READABLE_AND_WRITABLE: Readiness = Readiness { readable: true, writable: true, error: false };

/// The queue of ready connections. Clones share the same queue.
#[derive(Debug, Clone)]
pub struct ReadyQueue(Rc<RefCell<Queues>>);

#[derive(Debug)]
struct Queues {
    limits: TurnLimits,
    /// By side.
    kinds: [FairQueue<ConnectionKind>; Side::ALL.len()],
    /// By kind.
    connections: [FairQueue<u64>; ConnectionKind::ALL.len()],
    /// What the waiting connections are ready for.
    readiness: HashMap<ReadyConnection, Readiness>,
}

impl Queues {
    fn of(&mut self, kind: ConnectionKind) -> &mut FairQueue<u64> {
        &mut self.connections[kind as usize]
    }

    fn kinds_beside(&mut self, kind: ConnectionKind) -> &mut FairQueue<ConnectionKind> {
        &mut self.kinds[kind.side() as usize]
    }

    fn charge_kind(&mut self, kind: ConnectionKind, budget: &WorkBudget) {
        self.kinds_beside(kind).charge(kind, budget.spent());
    }

    fn charge_connection(&mut self, connection: ReadyConnection, budget: &WorkBudget) {
        self.of(connection.kind).charge(connection.id, budget.spent());
    }

    fn charge(&mut self, connection: ReadyConnection, budget: &WorkBudget) {
        self.charge_kind(connection.kind, budget);
        self.charge_connection(connection, budget);
    }

    fn withdraw(&mut self, connection: ReadyConnection) {
        self.of(connection.kind).withdraw(connection.id);
        self.readiness.remove(&connection);
        if self.of(connection.kind).is_empty() {
            self.kinds_beside(connection.kind).withdraw(connection.kind);
        }
    }
}

impl ReadyQueue {
    /// Creates an empty queue.
    pub fn new(limits: TurnLimits) -> Self {
        let queue_of = |kind: ConnectionKind| {
            // Beside clients that always send, others have a few messages before them.
            let credit = if kind == ConnectionKind::Client { limits.max_new_client_bytes } else { 0 };
            FairQueue::new(kind.budget(&limits).max_bytes(), credit as u64)
        };
        Self(Rc::new(RefCell::new(Queues {
            limits,
            kinds: Side::ALL.map(|_| FairQueue::new(0, 0)),
            connections: ConnectionKind::ALL.map(queue_of),
            readiness: HashMap::new(),
        })))
    }

    /// The work that a connection may cause before others have their turn.
    pub fn connection_budget(&self, kind: ConnectionKind) -> WorkBudget {
        kind.budget(&self.0.borrow().limits)
    }

    /// Whether no connection is ready.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().kinds.iter().all(FairQueue::is_empty)
    }

    /// Whether a connection is ready, and was not served since.
    pub fn contains(&self, kind: ConnectionKind, id: u64) -> bool {
        self.0.borrow().connections[kind as usize].contains(id)
    }

    /// Whether a connection of a kind is ready.
    pub fn has_any(&self, kind: ConnectionKind) -> bool {
        !self.0.borrow().connections[kind as usize].is_empty()
    }

    /// Marks a connection as ready.
    pub fn insert(&self, kind: ConnectionKind, id: u64, readiness: Readiness) {
        let mut queues = self.0.borrow_mut();
        queues.of(kind).insert(id);
        queues.kinds_beside(kind).insert(kind);
        let none = Readiness { readable: false, writable: false, error: false };
        let merged = queues.readiness.entry(ReadyConnection { kind, id }).or_insert(none);
        merged.readable |= readiness.readable;
        merged.writable |= readiness.writable;
        merged.error |= readiness.error;
    }

    /// Takes the next connection of a side to be served. Being served at all counts as a message.
    pub fn pop(&self, side: Side) -> Option<(ReadyConnection, Readiness)> {
        let mut queues = self.0.borrow_mut();
        let kind = queues.kinds[side as usize].pop()?;
        let id = queues.of(kind).pop()?;
        let mut budget = kind.budget(&queues.limits);
        budget.spend_message();
        queues.charge(ReadyConnection { kind, id }, &budget);
        if !queues.of(kind).is_empty() {
            queues.kinds_beside(kind).insert(kind);
        }
        let connection = ReadyConnection { kind, id };
        let readiness = queues.readiness.remove(&connection)?;
        Some((connection, readiness))
    }

    /// Counts the work that a connection has caused.
    pub fn charge(&self, kind: ConnectionKind, id: u64, budget: &WorkBudget) {
        self.0.borrow_mut().charge(ReadyConnection { kind, id }, budget);
    }

    /// Counts work in the share of a kind alone.
    pub fn charge_kind(&self, kind: ConnectionKind, budget: &WorkBudget) {
        self.0.borrow_mut().charge_kind(kind, budget);
    }

    /// Counts work in the share of a connection alone.
    pub fn charge_connection(&self, kind: ConnectionKind, id: u64, budget: &WorkBudget) {
        self.0.borrow_mut().charge_connection(ReadyConnection { kind, id }, budget);
    }

    /// Moves a new client, which is being served, to the other clients. Only the work that it is charged for from
    /// here on puts it behind them.
    pub fn promote_client(&self, id: u64) {
        self.remove(ConnectionKind::NewClient, id);
        self.0.borrow_mut().of(ConnectionKind::Client).join(id);
    }

    /// The same for a new client that has sent much at once: it begins behind those that others may have begun with.
    pub fn promote_busy_client(&self, id: u64) {
        self.promote_client(id);
        let mut queues = self.0.borrow_mut();
        let part = ConnectionKind::Client.budget(&queues.limits).max_bytes();
        queues.of(ConnectionKind::Client).charge(id, part);
    }

    /// Ends the wait of a connection that was served outside its turn.
    pub fn withdraw(&self, kind: ConnectionKind, id: u64) {
        self.0.borrow_mut().withdraw(ReadyConnection { kind, id });
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, kind: ConnectionKind, id: u64) {
        let mut queues = self.0.borrow_mut();
        queues.withdraw(ReadyConnection { kind, id });
        queues.of(kind).remove(id);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ready_queue.rs"]
mod tests;
