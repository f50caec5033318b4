//! Errors of decoding bytes from another router.

use thiserror::Error;

/// Why bytes from another router cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are incomplete or not of the expected type.
    #[error("membership message can't be decoded, its bytes are incomplete or malformed: {0}")]
    Malformed(#[from] postcard::Error),
    /// The body has a version that no build writes.
    #[error("membership message has the unknown body version {0}")]
    UnknownVersion(u16),
}
