//! Why bytes are not a part of an audit log.

use std::error::Error;
use std::fmt;

use crate::record::RECORD_VERSION;

/// Why a record can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordError {
    /// It is of a version that this build does not know.
    UnknownVersion(u16),
    /// Its bytes are no record.
    Malformed(postcard::Error),
    /// So many bytes follow the record.
    TrailingBytes(usize),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownVersion(version) => {
                write!(f, "a record of version {version}, where this build reads version {RECORD_VERSION}")
            }
            Self::Malformed(_) => f.write_str("the bytes are no record"),
            Self::TrailingBytes(bytes) => write!(f, "{bytes} bytes follow the record"),
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
        f.write_str("the bytes are no link of an audit log")
    }
}

impl Error for MalformedLink {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.0)
    }
}

/// Why the content of a file is not that of audit logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogFileError {
    /// It does not begin as such a file does.
    NoLogFile,
    /// Its links can't be decoded, for instance because the file is incomplete.
    Malformed(postcard::Error),
}

impl fmt::Display for LogFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoLogFile => f.write_str("this is no file of audit logs"),
            Self::Malformed(_) => f.write_str("the file of audit logs is incomplete or damaged"),
        }
    }
}

impl Error for LogFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Malformed(error) => Some(error),
            Self::NoLogFile => None,
        }
    }
}
