//! Connections of clients: requests in, answers out.
//!
//! - [`codec`]: frames of the protocol, bytes to messages and back;
//! - [`request`]: a request as it is read from its fields;
//! - [`connection`]: the state of one connection;
//! - [`listener`]: accepting connections, and closing idle ones for new ones;
//! - [`reader`]: reading requests and cancellations;
//! - [`protocol_error`]: why a connection is broken off;
//! - [`writer`]: answers, and the end of a connection;
//! - [`timers`]: deadlines of connections;
//! - [`drain`]: graceful shutdown.
//!
//! A request gets one final answer. Nothing here blocks on a client, and no client can displace the others.

pub mod codec;
mod connection;
mod drain;
mod listener;
mod protocol_error;
mod reader;
mod request;
mod timers;
mod writer;

use std::collections::{BTreeSet, HashMap};

use calloop::{LoopHandle, RegistrationToken};

use crate::buffers::BufferPool;
use crate::config::Limits;
use crate::descriptors::DescriptorReserve;
use crate::event_handler::EventHandler;
use crate::policy_adapter::{Ms, Ticket};

use connection::ClientConnection;

pub use request::{parse_request, ClientRequest};

/// The number of a connection; numbers are not used again.
pub type ClientId = u64;

/// A stream of a client's connection, which is owed an answer. A stream is used once on its connection, while the ids of
/// requests may be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClientStream {
    pub client: ClientId,
    pub stream: u32,
}

/// What was received from clients.
#[derive(Debug)]
pub enum ClientEvent {
    Request(Ticket, Box<ClientRequest>),
    Cancelled(Ticket),
    /// A request that can't be used.
    Invalid(ClientStream),
}

/// Connections that were accepted or ended, for the counters.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionCounts {
    pub accepted: u64,
    /// Broken off for a protocol error.
    pub malformed: u64,
    /// Broken off since nothing, or half a message, was received.
    pub silent: u64,
    /// Closed in favour of others.
    pub displaced: u64,
    /// Requests that were cancelled in the batch of events that brought them.
    pub withdrawn: u64,
}

/// All connections of clients.
pub struct Downstreams<W: EventHandler> {
    limits: Limits,
    buffers: BufferPool,
    reserve: DescriptorReserve,
    handle: LoopHandle<'static, W>,
    clients: HashMap<ClientId, ClientConnection>,
    last_id: ClientId,
    /// Clients whose reading is paused: they do not take their answers, or others have their turn.
    paused: BTreeSet<ClientId>,
    last_ticket: Ticket,
    next_sweep: Ms,
    listener: Option<RegistrationToken>,
    /// The listener is disabled until the next sweep.
    accept_paused: bool,
    /// The most connections for now, and since when that is fewer than configured: descriptors ran out.
    max_clients: usize,
    short_since: Option<Ms>,
    /// Some may wait to be accepted.
    accept_pending: bool,
    draining: bool,
    pub counts: ConnectionCounts,
}

impl<W: EventHandler> Downstreams<W> {
    /// No connections, and no listener yet.
    pub fn new(
        limits: Limits,
        buffers: &BufferPool,
        reserve: &DescriptorReserve,
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
            last_ticket: 0,
            next_sweep: 0.0,
            listener: None,
            accept_paused: false,
            max_clients: limits.clients.max_connections,
            short_since: None,
            accept_pending: false,
            draining: false,
            counts: ConnectionCounts::default(),
        }
    }

    /// Connections.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether that request is still open at its client.
    pub fn is_open(&self, stream: ClientStream, ticket: Ticket) -> bool {
        let client = self.clients.get(&stream.client);
        client.is_some_and(|client| client.open.get(&stream.stream) == Some(&ticket))
    }
}
