//! Why bytes from another router can't be read.

use thiserror::Error;

/// Why bytes are not what they should be.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes are incomplete or have another form.
    #[error("the bytes are incomplete or have another form")]
    Malformed(#[from] postcard::Error),
    /// The body has a version that no build writes.
    #[error("there is no version {0}")]
    UnknownVersion(u16),
}
