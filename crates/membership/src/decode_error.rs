//! Errors of decoding bytes from another router.

use thiserror::Error;

/// Why bytes from another router cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are incomplete or not of the expected type.
    #[error("the bytes are incomplete or malformed")]
    Malformed(#[from] postcard::Error),
    /// The body has a version that no build writes.
    #[error("unknown version {0} of the body")]
    UnknownVersion(u16),
}
