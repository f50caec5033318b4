//! Why a client's connection is closed with an error.

use std::fmt;

use super::codec::FrameError;

/// How a client violates the protocol or exceeds a limit. The text is logged, and is part of the protocol: it
/// is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProtocolError {
    /// A frame can't be decoded.
    Frame(FrameError),
    /// A request reuses the stream of an earlier one.
    StreamReused,
    /// More requests are open on the connection than the protocol allows.
    TooManyOpenRequests,
    /// Too many requests on the connection were invalid.
    TooManyInvalidRequests,
    /// The client sent no request in time.
    NoRequest,
    /// The rest of a message was not received in time.
    MessageTimeout,
    /// The message was incomplete when the router shut down.
    PartialMessageAtShutdown,
    /// The message was incomplete when the connection was evicted for another one.
    PartialMessageEvicted,
}

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame(error) => write!(f, "{error}"),
            Self::StreamReused => f.write_str("a stream that is not new"),
            Self::TooManyOpenRequests => f.write_str("more requests than may be open"),
            Self::TooManyInvalidRequests => f.write_str("too many requests that can't be used"),
            Self::NoRequest => f.write_str("nothing was asked"),
            Self::MessageTimeout => f.write_str("a message that does not end"),
            Self::PartialMessageAtShutdown => f.write_str("half a message at the end"),
            Self::PartialMessageEvicted => f.write_str("half a message while places are short"),
        }
    }
}

impl std::error::Error for ProtocolError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Frame(error) => Some(error),
            _ => None,
        }
    }
}

impl From<FrameError> for ProtocolError {
    fn from(error: FrameError) -> Self {
        Self::Frame(error)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/protocol_error.rs"]
mod tests;
