//! Why a connection is closed.

use linnethook::interface::Ms;

use crate::codec::{MalformedFrame, VersionRange};
use crate::flow_control::FlowControlError;

/// Why a connection is closed. A violation of the protocol closes only the connection on which it occurs.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum CloseReason {
    /// A frame can't be decoded.
    #[error(transparent)]
    MalformedFrame(#[from] MalformedFrame),
    /// The peer violated the flow control.
    #[error(transparent)]
    FlowControl(#[from] FlowControlError),
    /// The first message was not a hello.
    #[error("peer sent a message before its hello")]
    NoHello,
    /// A second hello was received on the connection.
    #[error("peer sent a second hello, expected one")]
    DuplicateHello,
    /// No hello was received within `hello_timeout`.
    #[error("peer sent no hello within {0} ms")]
    HelloTimeout(Ms),
    /// The two sides support no common protocol version.
    #[error(
        "peer supports protocol versions {} to {}, expected {} to {}",
        .offered.min, .offered.max, .supported.min, .supported.max
    )]
    UnsupportedVersions {
        /// The versions that the peer supports.
        offered: VersionRange,
        /// The versions that this build supports.
        supported: VersionRange,
    },
    /// A response does not belong to an open request, or is not what was requested.
    #[error("peer sent a response that matches no open request")]
    UnexpectedResponse,
    /// More than `max_output_bytes` are queued for writing.
    #[error("peer does not read its output: {bytes} bytes are queued, expected at most {max_bytes}")]
    OutputBacklog {
        /// The bytes queued.
        bytes: usize,
        /// `max_output_bytes`.
        max_bytes: usize,
    },
    /// The peer is this process itself, or claims to be of the local site although that has no cluster.
    #[error("peer identifies itself as this site, expected another site")]
    OwnIdentity,
    /// The site of the peer is not in the operator file.
    #[error("site {0:?} of the peer is not in the operator file")]
    UnknownSite(String),
    /// The start time in the hello is earlier than a known one of the peer, or in the future.
    #[error("start time of the peer is earlier than a known one or in the future: {0} us of Unix time")]
    InvalidEpoch(u64),
    /// The peer has published more facts than `max_facts` allows.
    #[error("peer published more than {0} facts, the maximum")]
    TooManyFacts(usize),
    /// The limit of known gateways or of accepted connections is reached.
    #[error("limit of {limit} {items} is reached")]
    TooManyGateways {
        /// What is limited.
        items: &'static str,
        /// The limit.
        limit: usize,
    },
    /// The failure detector suspects that the peer has failed.
    #[error("peer has sent no data for too long, it is suspected to have failed")]
    Silent,
    /// Data is received, but pings are not answered.
    #[error("peer sends data but does not answer pings")]
    HalfOpen,
    /// The peer closed the connection.
    #[error("connection closed by the peer")]
    Closed,
    /// The network failed: the peer may still consider the connection open.
    #[error("connection lost by the network")]
    Lost,
    /// This gateway no longer needs the connection.
    #[error("connection is no longer needed by this gateway")]
    Stopped,
    /// A newer connection, or a newer start of the peer, replaces it.
    #[error("connection replaced by a newer one of the same peer")]
    Replaced,
}
