//! Connections of clients: reading requests and writing answers.
//!
//! - [`codec`]: the frames of the protocol: encoding and decoding;
//! - [`request`]: parsing a request from its fields;
//! - [`connection`]: the state of one connection;
//! - [`listener`]: accepting connections, and evicting idle ones in favour of new ones;
//! - [`shortage`]: whether this process is short of descriptors;
//! - [`reader`]: reading what clients send;
//! - [`messages`]: handling their requests, cancellations and readiness checks;
//! - [`protocol_error`]: why a connection is closed with an error;
//! - [`writer`]: writing answers;
//! - [`closing`]: closing connections;
//! - [`timers`]: deadlines of connections;
//! - [`drain`]: graceful shutdown.
//!
//! Each request gets exactly one final answer. Nothing here blocks on a client, and no single client can
//! starve the others.

mod closing;
pub mod codec;
mod connection;
mod drain;
mod listener;
mod messages;
mod protocol_error;
mod reader;
mod request;
mod shortage;
mod timers;
mod writer;

use std::collections::{BTreeSet, HashMap};

use calloop::{LoopHandle, RegistrationToken};

use crate::buffers::BufferPool;
use crate::config::Limits;
use crate::descriptors::DescriptorReserve;
use crate::event_handler::EventHandler;
use crate::policy_adapter::{Ms, Ticket};
use crate::retry_queue::RetryQueue;
use crate::turn::ReadyQueue;

use connection::ClientConnection;
use shortage::DescriptorShortage;

pub use request::{parse_request, ClientRequest};

/// The id of a connection; ids are never reused.
pub type ClientId = u64;

/// A stream of a client's connection, which identifies a request. A stream is used once per connection,
/// whereas clients may reuse the ids of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClientStream {
    pub client: ClientId,
    pub stream: u32,
}

/// An event received from a client.
#[derive(Debug)]
pub enum ClientEvent {
    Request(Ticket, Box<ClientRequest>),
    Cancelled(Ticket),
    /// A request that was not kept, since buffers were short.
    Discarded(Ticket, ClientStream),
    /// An invalid request.
    Invalid(ClientStream),
}

impl ClientEvent {
    /// The ticket of the valid request that the event reports.
    fn opened_request(&self) -> Option<Ticket> {
        match self {
            Self::Request(ticket, _) | Self::Discarded(ticket, _) => Some(*ticket),
            Self::Cancelled(_) | Self::Invalid(_) => None,
        }
    }
}

/// Counts of connections that were accepted or closed, for the counters.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionCounts {
    pub accepted: u64,
    /// Closed with a protocol error, timeouts and evictions included.
    pub malformed: u64,
    /// Closed because no request, or only a part of a message, was received within the timeout.
    pub timed_out: u64,
    /// Idle ones closed to free a connection or descriptor for others.
    pub evicted: u64,
    /// Requests that were cancelled before they were handled, in the same batch of events.
    pub withdrawn: u64,
    /// Calls that failed by an error of this machine, and were to be repeated.
    pub repeated_calls: u64,
    /// Connections that ended with open requests.
    pub closed_open: u64,
    /// Connections that were closed for a reason that is not the client's while answers were owed.
    pub violations: u64,
}

/// All connections of clients.
pub struct Downstreams<W: EventHandler> {
    limits: Limits,
    buffers: BufferPool,
    reserve: DescriptorReserve,
    handle: LoopHandle<'static, W>,
    clients: HashMap<ClientId, ClientConnection>,
    last_id: ClientId,
    /// Clients whose reading is paused: they have too much unwritten output.
    paused: BTreeSet<ClientId>,
    ready: ReadyQueue,
    /// Input of the client that is being looked at, which is left to the system.
    unread_input: Box<[u8]>,
    /// Clients with a read or write that failed by an error of this machine.
    retries: RetryQueue<ClientId>,
    last_ticket: Ticket,
    next_sweep: Ms,
    listener: Option<RegistrationToken>,
    /// When the listener is enabled again, if it is disabled.
    accept_again_at: Option<Ms>,
    shortage: DescriptorShortage,
    /// Whether connections may be waiting to be accepted.
    accept_pending: bool,
    /// Since when connections may be waiting although there is room for them; `None` once none was waiting, or
    /// there was no room: then it is not known how long the next one has waited.
    backlog_since: Option<Ms>,
    /// The earliest time at which requests that are read now can have arrived.
    earliest_arrival: Ms,
    draining: bool,
    counts: ConnectionCounts,
}

impl<W: EventHandler> Downstreams<W> {
    /// Creates the component without connections and listener.
    pub fn new(
        limits: Limits,
        buffers: &BufferPool,
        reserve: &DescriptorReserve,
        ready: &ReadyQueue,
        handle: LoopHandle<'static, W>,
    ) -> Self {
        Self {
            limits,
            buffers: buffers.clone(),
            reserve: reserve.clone(),
            handle,
            clients: HashMap::new(),
            last_id: 0,
            paused: BTreeSet::new(),
            ready: ready.clone(),
            unread_input: vec![0; limits.clients.max_read_ahead_bytes].into_boxed_slice(),
            retries: RetryQueue::default(),
            last_ticket: 0,
            next_sweep: 0.0,
            listener: None,
            accept_again_at: None,
            shortage: DescriptorShortage::default(),
            accept_pending: false,
            backlog_since: None,
            earliest_arrival: f64::INFINITY,
            draining: false,
            counts: ConnectionCounts::default(),
        }
    }

    /// Sets the earliest time at which requests that are read from here on can have arrived.
    pub fn set_earliest_arrival(&mut self, at: Ms) {
        self.earliest_arrival = at;
    }

    /// The counts since the start.
    pub fn counts(&self) -> ConnectionCounts {
        let repeated_calls = self.counts.repeated_calls + self.retries.failed_calls();
        ConnectionCounts { repeated_calls, ..self.counts }
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// The bytes of received and not yet decoded input, and of unwritten output, of all connections.
    pub fn buffered_bytes(&self) -> (usize, usize) {
        let input = self.clients.values().map(|client| client.input.len()).sum();
        let output = self.clients.values().map(|client| client.output.len()).sum();
        (input, output)
    }

    /// Whether a request is still open on its client's connection.
    pub fn is_open(&self, stream: ClientStream, ticket: Ticket) -> bool {
        let client = self.clients.get(&stream.client);
        client.is_some_and(|client| client.open.get(&stream.stream) == Some(&ticket))
    }
}
