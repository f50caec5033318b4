//! What the error of a system call says: this is the one place that decides whether a call is repeated, or ends
//! what it was made for.
//!
//! An error of this machine says nothing about a peer: nobody is disconnected, and no endpoint is blamed for it.

use std::io;

/// What has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorSource {
    /// This machine, for a moment: the call may succeed when it is repeated.
    Local,
    /// The peer or the path to it: the connection has ended.
    Peer,
}

/// Whether a call was interrupted, so that it is repeated at once.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Whether something failed for lack of a descriptor.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

/// The source of an error of a read or write on an established connection, other than one that would block.
pub fn source_of_transfer_error(error: &io::Error) -> ErrorSource {
    match error.raw_os_error() {
        Some(libc::EINTR | libc::ENOBUFS | libc::ENOMEM) => ErrorSource::Local,
        _ => ErrorSource::Peer,
    }
}

/// The source of an error with which `socket` or `connect` fails at once. Only a refusal is an answer of the
/// peer; without one, no packet has left this machine.
pub fn source_of_connect_error(error: &io::Error) -> ErrorSource {
    match error.raw_os_error() {
        Some(libc::ECONNREFUSED | libc::ECONNRESET | libc::ETIMEDOUT | libc::EHOSTUNREACH) => {
            ErrorSource::Peer
        }
        _ => ErrorSource::Local,
    }
}

/// What an accept that has failed says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptErrorSource {
    /// No connection is waiting.
    NoneWaiting,
    /// The connection that was waiting has ended, or the call was interrupted: the next one is accepted.
    Client,
    /// This machine, for a moment: the connection is still waiting.
    Local,
}

/// The source of an error of `accept`. Errors of the network that are pending on a connection are reported by
/// `accept`, and say nothing about the next one.
pub fn source_of_accept_error(error: &io::Error) -> AcceptErrorSource {
    match error.raw_os_error() {
        Some(libc::EAGAIN) => AcceptErrorSource::NoneWaiting,
        Some(
            libc::ECONNABORTED
            | libc::EINTR
            | libc::EPROTO
            | libc::ENOPROTOOPT
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::EHOSTDOWN
            | libc::EHOSTUNREACH
            | libc::ENONET
            | libc::EOPNOTSUPP,
        ) => AcceptErrorSource::Client,
        _ => AcceptErrorSource::Local,
    }
}

#[cfg(test)]
#[path = "../tests/unit/system_error.rs"]
mod tests;
