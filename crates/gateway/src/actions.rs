//! The actions that a gateway requests from its caller, and the types of requests and replies in them.

use bytes::Bytes;
use linnethook::interface::Ms;

use crate::attempt_ledger::Ticket;
use crate::codec::Fields;
use crate::session::CloseReason;
use crate::site_state::Fact;
use crate::transfer::ObjectVersion;

/// A connection, numbered by the owner of the sockets.
pub type ConnectionId = u64;

/// Lower bound of the tickets of requests from other sites. Callers use smaller tickets for their own
/// requests.
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
        /// The version of the object, if known.
        version: Option<ObjectVersion>,
    },
    /// It was rejected without having run.
    Rejected {
        /// The time until the client may try again, in milliseconds; 0 if unknown.
        retry_after: Ms,
    },
    /// It failed, and may have run.
    Failed,
}

/// A request from another site, to be served here.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteRequest {
    /// Identifies the request in the call that completes it.
    pub ticket: Ticket,
    /// Names and values of the request.
    pub fields: Fields,
    /// The body of the request.
    pub body: Bytes,
    /// The time left for its answer, in milliseconds.
    pub remaining: Ms,
    /// The names of the sites that it has passed, ending with the sender's.
    pub passed_sites: Vec<String>,
}

/// Why it is not known, or not true any more, that the sender of a request from another site waits for its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Departure {
    /// The sender has cancelled the request: nobody waits for it.
    Cancelled,
    /// The connection that the request came on has ended. The sender may wait, and then queries the outcome.
    ConnectionLost,
}

/// An action that the caller of a gateway has to carry out. Actions are carried out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a connection for this entry of the sites to dial.
    Dial(usize),
    /// Close a connection.
    Close(ConnectionId, CloseReason),
    /// Take the output of a connection and write it.
    Write(ConnectionId),
    /// Serve a submitted request at this site.
    ServeLocally(Ticket),
    /// Give a request its one final reply.
    Answer(Ticket, Reply),
    /// Serve a request from another site. The caller completes it exactly once, with
    /// [`complete_remote_request`](crate::gateway::Gateway::complete_remote_request).
    ServeRemote(RemoteRequest),
    /// Cancel a request from another site: no further attempt is begun for it. The caller completes it once its
    /// outcome is known, as rejected only if it is proven not to have run.
    CancelServe(Ticket),
    /// Begin no attempt for a request from another site whose connection was lost, until
    /// [`may_begin_attempt`](crate::gateway::Gateway::may_begin_attempt) allows it. An attempt that runs goes on.
    SuspendServe(Ticket),
    /// Begin no further attempt for a request whose sender was not heard for too long. An attempt that runs goes on.
    /// The caller completes the request once its outcome is known, as for [`Action::CancelServe`].
    StopRetries(Ticket),
    /// Another site has published a fact that concerns this site too.
    RemoteFact(Fact),
    /// The first connection to one start of a router of the local site is up, or the last one is down.
    PeerLink {
        /// The name of the router.
        name: String,
        /// The start time of its process, in Unix microseconds.
        start: u64,
        /// Whether the connection is up.
        up: bool,
    },
    /// A router of the local site has sent a gossip entry.
    PeerEntry {
        /// The name of the router.
        name: String,
        /// The encoded key of the entry.
        key: Vec<u8>,
        /// The encoded entry.
        entry: Vec<u8>,
    },
    /// Log a line.
    Log(String),
}
