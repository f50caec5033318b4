//! Why a command failed, and the resulting exit code.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use linnethook_audit::error::LogFileError;
use linnethook_membership::aggregation::location::LocationError;
use linnethook_operator_config::ConfigError;

/// The exit code for incorrect usage and invalid input.
const USAGE_EXIT_CODE: u8 = 2;

/// Why a command failed. The text is printed to operators unchanged.
#[derive(Debug)]
pub enum CommandError {
    /// No socket is given, but one or more are required.
    NoRouter,
    /// Not exactly one socket is given, but one is required: their number.
    NotOneRouter(usize),
    /// Several sockets are given for a command that takes one: their number.
    SeveralRouters(usize),
    /// Neither a socket nor an audit log file is given.
    NoAuditSource,
    /// The location of a site is invalid.
    Location(LocationError),
    /// An operator file or a file of changes is invalid.
    Config(ConfigError),
    /// A file can't be read.
    ReadFile(FileError),
    /// A file does not contain audit logs, or is truncated.
    LogFile(LogFileReadError),
    /// A file can't be written.
    WriteFile(FileError),
    /// The path of this program can't be determined.
    ProgramPath(io::Error),
    /// The output of the command can't be written.
    Output(io::Error),
    /// A call to a router failed, or the router rejected the request.
    Router(RouterCallError),
    /// The verification of audit logs has findings, which the text reports.
    LogsNotVerified(String),
    /// The command starts routers, which [`run_command`](super::run_command) does not do.
    StartsRouters,
}

impl CommandError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::NoRouter
            | Self::NotOneRouter(_)
            | Self::SeveralRouters(_)
            | Self::NoAuditSource
            | Self::Location(_)
            | Self::Config(_)
            | Self::ReadFile(_)
            | Self::LogFile(_) => ExitCode::from(USAGE_EXIT_CODE),
            Self::WriteFile(_)
            | Self::ProgramPath(_)
            | Self::Output(_)
            | Self::Router(_)
            | Self::LogsNotVerified(_)
            | Self::StartsRouters => ExitCode::FAILURE,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoRouter => f.write_str("no router given: --socket (or LB_CONTROL) is required"),
            Self::NotOneRouter(count) => {
                write!(f, "--socket (or LB_CONTROL): expected exactly one control socket, got {count}")
            }
            Self::SeveralRouters(count) => {
                write!(f, "--socket: several control sockets are allowed for apply only, got {count}")
            }
            Self::NoAuditSource => {
                f.write_str("no audit logs given: --socket (or LB_CONTROL) or --from is required")
            }
            Self::Location(error) => write!(f, "--site: {error}"),
            Self::Config(error) => error.fmt(f),
            Self::ReadFile(error) => {
                write!(f, "{}: audit log file can't be read: {}", error.path.display(), error.source)
            }
            Self::WriteFile(error) => {
                write!(f, "{}: audit log file can't be written: {}", error.path.display(), error.source)
            }
            Self::LogFile(error) => error.fmt(f),
            Self::ProgramPath(error) => write!(f, "the path of this program can't be determined: {error}"),
            Self::Output(error) => write!(f, "the output of the command can't be written: {error}"),
            Self::Router(error) => error.fmt(f),
            Self::LogsNotVerified(report) => f.write_str(report),
            Self::StartsRouters => {
                f.write_str("run and hollow start routers and can't be run as commands for a running router")
            }
        }
    }
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Location(error) => Some(error),
            Self::Config(error) => Some(error),
            Self::ReadFile(error) | Self::WriteFile(error) => Some(&error.source),
            Self::ProgramPath(error) | Self::Output(error) => Some(error),
            Self::Router(error) => Some(error),
            Self::LogFile(error) => Some(&error.source),
            Self::NoRouter
            | Self::NotOneRouter(_)
            | Self::SeveralRouters(_)
            | Self::NoAuditSource
            | Self::LogsNotVerified(_)
            | Self::StartsRouters => None,
        }
    }
}

impl From<RouterCallError> for CommandError {
    fn from(error: RouterCallError) -> Self {
        Self::Router(error)
    }
}

impl From<ConfigError> for CommandError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

/// A system error of a file operation.
#[derive(Debug)]
pub struct FileError {
    /// The file.
    pub path: PathBuf,
    /// The error.
    pub source: io::Error,
}

impl FileError {
    /// Creates the error for a file.
    pub fn new(path: &Path, source: io::Error) -> Self {
        Self { path: path.to_path_buf(), source }
    }
}

/// A file that does not contain audit logs, or is truncated.
#[derive(Debug)]
pub struct LogFileReadError {
    /// The file.
    pub path: PathBuf,
    /// Why its content is invalid.
    pub source: LogFileError,
}

impl fmt::Display for LogFileReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.source)
    }
}

/// Why a call to a router failed, with the socket of the router.
#[derive(Debug)]
pub struct RouterCallError {
    /// The control socket.
    pub socket: PathBuf,
    /// Why the call failed.
    pub kind: RouterCallErrorKind,
}

impl RouterCallError {
    /// Creates the error of a call to the router at a socket.
    pub fn new(socket: &Path, kind: impl Into<RouterCallErrorKind>) -> Self {
        Self { socket: socket.to_path_buf(), kind: kind.into() }
    }
}

impl fmt::Display for RouterCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.socket.display(), self.kind)
    }
}

impl std::error::Error for RouterCallError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            RouterCallErrorKind::Connect(error) | RouterCallErrorKind::Io(error) => Some(error),
            RouterCallErrorKind::Codec(error) => Some(error),
            RouterCallErrorKind::ResponseTooLong { .. }
            | RouterCallErrorKind::UnexpectedResponse
            | RouterCallErrorKind::Rejected(_)
            | RouterCallErrorKind::QueryTimeout => None,
        }
    }
}

/// Why a call to a router failed.
#[derive(Debug)]
pub enum RouterCallErrorKind {
    /// Connecting to the control socket failed.
    Connect(io::Error),
    /// The connection failed or timed out.
    Io(io::Error),
    /// The request can't be encoded, or the response can't be decoded.
    Codec(postcard::Error),
    /// The response exceeds the size limit.
    ResponseTooLong {
        /// The size of the response.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    /// The response does not belong to the request.
    UnexpectedResponse,
    /// The router rejected the request. The text gives the reason.
    Rejected(String),
    /// The queried site did not answer in time.
    QueryTimeout,
}

impl fmt::Display for RouterCallErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => match error.kind() {
                io::ErrorKind::NotFound => write!(f, "no router listens on this control socket: {error}"),
                io::ErrorKind::ConnectionRefused => {
                    write!(
                        f,
                        "no router listens on this control socket any more, or it is no socket: {error}"
                    )
                }
                _ => write!(f, "connect to the control socket failed: {error}"),
            },
            Self::Io(error) => write!(f, "exchange with the router failed: {error}"),
            Self::Codec(error) => {
                write!(f, "the router's response can't be decoded, it may be of another version: {error}")
            }
            Self::ResponseTooLong { bytes, max_bytes } => {
                write!(f, "the router's response has {bytes} bytes, expected at most {max_bytes}")
            }
            Self::UnexpectedResponse => f.write_str("the router's response does not match the request"),
            Self::Rejected(reason) => f.write_str(reason),
            Self::QueryTimeout => f.write_str("the site did not answer the query in time"),
        }
    }
}

impl From<io::Error> for RouterCallErrorKind {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<postcard::Error> for RouterCallErrorKind {
    fn from(error: postcard::Error) -> Self {
        Self::Codec(error)
    }
}
