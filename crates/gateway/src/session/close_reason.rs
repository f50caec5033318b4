//! Why a connection is closed.

use crate::codec::{MalformedFrame, VersionRange};
use crate::flow_control::FlowControlError;

/// Why a connection is closed. A violation of the protocol closes only the connection on which it occurs.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum CloseReason {
    /// A frame can't be decoded.
    #[error(transparent)]
    MalformedFrame(#[from] MalformedFrame),
    /// The peer violated the flow control.
    #[error(transparent)]
    FlowControl(#[from] FlowControlError),
    /// The first message was not a hello.
    #[error("received a message before the hello")]
    NoHello,
    /// A second hello was received on the connection.
    #[error("received a second hello")]
    DuplicateHello,
    /// No hello was received within `hello_timeout`.
    #[error("received no hello in time")]
    HelloTimeout,
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
    #[error("received a response that matches no open request")]
    UnexpectedResponse,
    /// More than `max_output_bytes` are queued for writing.
    #[error("peer does not read the queued output")]
    OutputBacklog,
    /// The peer is this process itself, or claims to be of the local site although that has no cluster.
    #[error("peer identifies itself as this site")]
    OwnIdentity,
    /// The site of the peer is not in the operator file.
    #[error("site of the peer is not in the operator file")]
    UnknownSite,
    /// The start time in the hello is earlier than a known one of the peer, or in the future.
    #[error("start time of the peer is earlier than a known one or in the future")]
    InvalidEpoch,
    /// The peer has published more facts than `max_facts` allows.
    #[error("peer published more facts than are retained for a site")]
    TooManyFacts,
    /// The limit of known gateways or of accepted connections is reached.
    #[error("limit of gateways or accepted connections reached")]
    TooManyGateways,
    /// The failure detector suspects that the peer has failed.
    #[error("nothing received for too long")]
    Silent,
    /// Data is received, but pings are not answered.
    #[error("pings are not answered")]
    HalfOpen,
    /// The peer closed the connection, or the network failed.
    #[error("closed by the peer or lost")]
    Closed,
    /// This gateway no longer needs the connection.
    #[error("no longer needed by this gateway")]
    Stopped,
    /// A newer connection, or a newer start of the peer, replaces it.
    #[error("replaced by a newer connection")]
    Replaced,
}
