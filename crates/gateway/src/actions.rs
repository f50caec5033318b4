//! What a gateway asks its owner to do, and the requests and replies that this is about.

use bytes::Bytes;
use linnethook::interface::Ms;

use crate::attempt_ledger::Ticket;
use crate::codec::Fields;
use crate::session::CloseReason;
use crate::site_state::Fact;
use crate::transfer::ObjectVersion;

/// A connection, numbered by whoever owns the sockets.
pub type ConnectionId = u64;

/// The first ticket of requests from other sites: whoever numbers requests of its own stays below.
pub const FIRST_REMOTE_TICKET: Ticket = 1 << 54;

/// The final reply to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// It was served.
    Served {
        /// Names and values of the answer.
        fields: Fields,
        /// The complete body.
        body: Bytes,
        /// The version of the object, where that is known.
        version: Option<ObjectVersion>,
    },
    /// It never ran.
    Rejected {
        /// When the client may try again, in milliseconds; 0 if that is not known.
        retry_after: Ms,
    },
    /// It may have run; nothing is promised.
    Failed,
}

/// A request from another site, to be served here.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteRequest {
    /// Names it in the reply that is owed.
    pub ticket: Ticket,
    /// Names and values of the request.
    pub fields: Fields,
    /// The body of the request.
    pub body: Bytes,
    /// How long its answer may take, in milliseconds.
    pub remaining: Ms,
    /// The names of the sites that it has passed, the sender's last.
    pub passed_sites: Vec<String>,
}

/// What the owner of a gateway is to do. Actions are carried out in their order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Connect, for that entry of the sites to dial.
    Dial(usize),
    /// Close a connection.
    Close(ConnectionId, CloseReason),
    /// Take output for a connection and write it.
    Write(ConnectionId),
    /// Serve a request of this site here.
    ServeLocally(Ticket),
    /// Give a request its one final reply.
    Answer(Ticket, Reply),
    /// Serve a request from another site; it is owed one
    /// [`complete_remote_request`](crate::gateway::Gateway::complete_remote_request).
    ServeRemote(RemoteRequest),
    /// Cancel a request from another site.
    CancelServe(Ticket),
    /// Another site has published a fact that counts here, too.
    RemoteFact(Fact),
    /// The first connection with that start of a router of the own site is up, or the last one is down.
    PeerLink {
        /// The router's name.
        name: String,
        /// When its process started, in Unix microseconds.
        start: u64,
        /// Up or down.
        up: bool,
    },
    /// A router of the own site has sent an entry of its gossip.
    PeerEntry {
        /// The router's name.
        name: String,
        /// The entry's key, as routers encode it.
        key: Vec<u8>,
        /// The entry, as routers encode it.
        entry: Vec<u8>,
    },
    /// Log a line.
    Log(String),
}
