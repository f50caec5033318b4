//! Why a connection is closed.

use crate::codec::{MalformedFrame, VersionRange};
use crate::flow_control::FlowControlError;

/// Why a connection is closed. What the other side may not do closes that connection alone.
#[derive(Debug, Clone, Copy, PartialEq, thiserror::Error)]
pub enum CloseReason {
    /// A frame can't be read.
    #[error(transparent)]
    MalformedFrame(#[from] MalformedFrame),
    /// More was sent, granted or opened than may be.
    #[error(transparent)]
    FlowControl(#[from] FlowControlError),
    /// The first message has to be a hello.
    #[error("a word before its hello")]
    NoHello,
    /// There is one hello on a connection.
    #[error("a second hello")]
    DuplicateHello,
    /// The hello took longer than `hello_timeout`.
    #[error("no hello in time")]
    HelloTimeout,
    /// There is no version that both sides speak.
    #[error(
        "it speaks versions {} to {}, expected {} to {}",
        .offered.min, .offered.max, .supported.min, .supported.max
    )]
    UnsupportedVersions {
        /// What the other side speaks.
        offered: VersionRange,
        /// What this build speaks.
        supported: VersionRange,
    },
    /// A response has no request, or is not what was requested.
    #[error("an answer to a stream that was never opened, or that has one")]
    UnexpectedResponse,
    /// More than `max_output_bytes` wait to be written.
    #[error("it takes nothing of what waits for it")]
    OutputBacklog,
    /// The other side is this very process, or of this site where that has no cluster.
    #[error("it says that it is this site")]
    OwnIdentity,
    /// The operator file does not name the other side's site.
    #[error("it is of a site that is not known here")]
    UnknownSite,
    /// An earlier start of the other side than one that is known, or one in the future.
    #[error("an earlier start of its, or another than it had")]
    InvalidEpoch,
    /// The other side has published more than `max_facts` allows.
    #[error("it says more of its site than is kept")]
    TooManyFacts,
    /// More gateways, or accepted connections, than may be.
    #[error("more gateways than may be")]
    TooManyGateways,
    /// The failure detector suspects that the other side is gone.
    #[error("nothing comes in any more")]
    Silent,
    /// Something comes in, but pings are not answered.
    #[error("nothing that is sent is answered")]
    HalfOpen,
    /// The other side has closed the connection, or the network has.
    #[error("closed by the other side, or broken")]
    Closed,
    /// This gateway has no use for it any more.
    #[error("this gateway ends")]
    Stopped,
    /// A newer connection, or a newer start of the other side, replaces it.
    #[error("a newer connection has taken its place")]
    Replaced,
}
