//! Errors of decoding parts of an audit log.

use std::error::Error;
use std::fmt;

use crate::record::RECORD_VERSION;

/// Why a record cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordError {
    /// The record has a version that this build does not know.
    UnknownVersion(u16),
    /// The bytes are not a record.
    Malformed(postcard::Error),
    /// This many bytes follow the record.
    TrailingBytes(usize),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownVersion(version) => {
                write!(f, "record of an audit log has version {version}, expected version {RECORD_VERSION}")
            }
            Self::Malformed(_) => {
                f.write_str("record of an audit log can't be decoded: its bytes are malformed or incomplete")
            }
            Self::TrailingBytes(bytes) => {
                write!(f, "record of an audit log is followed by {bytes} bytes, expected none")
            }
        }
    }
}

impl Error for RecordError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Malformed(error) => Some(error),
            Self::UnknownVersion(_) | Self::TrailingBytes(_) => None,
        }
    }
}

/// Bytes that are not a link of an audit log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedLink(
    /// The error of the decoder.
    pub postcard::Error,
);

impl fmt::Display for MalformedLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("link of an audit log can't be decoded: its bytes are malformed or incomplete")
    }
}

impl Error for MalformedLink {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.0)
    }
}

/// Why a file of audit logs cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogFileError {
    /// The file does not begin with the magic bytes of such files.
    NotALogFile,
    /// The links cannot be decoded, for instance because the file is incomplete.
    Malformed(postcard::Error),
}

impl fmt::Display for LogFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotALogFile => {
                f.write_str("not an audit log file: the magic bytes at its start are missing")
            }
            Self::Malformed(_) => {
                f.write_str("audit log file is truncated or damaged: its records can't be decoded")
            }
        }
    }
}

impl Error for LogFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Malformed(error) => Some(error),
            Self::NotALogFile => None,
        }
    }
}
