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
    /// Not exactly one socket is given, but one is required.
    NotOneRouter,
    /// Several sockets are given for a command that takes one.
    SeveralRouters,
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
            | Self::NotOneRouter
            | Self::SeveralRouters
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
            Self::NoRouter => f.write_str("--socket (or LB_CONTROL) is required"),
            Self::NotOneRouter => f.write_str("exactly one --socket (or LB_CONTROL) is required"),
            Self::SeveralRouters => f.write_str("several sockets are allowed for apply only"),
            Self::NoAuditSource => f.write_str("--socket (or LB_CONTROL) or --from is required"),
            Self::Location(error) => write!(f, "--site: {error}"),
            Self::Config(error) => error.fmt(f),
            Self::ReadFile(error) | Self::WriteFile(error) => error.fmt(f),
            Self::LogFile(error) => error.fmt(f),
            Self::ProgramPath(error) => write!(f, "the path of this program can't be determined: {error}"),
            Self::Output(error) => error.fmt(f),
            Self::Router(error) => error.fmt(f),
            Self::LogsNotVerified(report) => f.write_str(report),
            Self::StartsRouters => f.write_str("this command starts routers"),
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
            | Self::NotOneRouter
            | Self::SeveralRouters
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

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.source)
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
        // One text for both kinds of invalid content.
        write!(f, "{}: not an audit log file, or truncated", self.path.display())
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
            RouterCallErrorKind::Io(error) => Some(error),
            RouterCallErrorKind::Codec(error) => Some(error),
            RouterCallErrorKind::ResponseTooLong
            | RouterCallErrorKind::UnexpectedResponse
            | RouterCallErrorKind::Rejected(_)
            | RouterCallErrorKind::QueryTimeout => None,
        }
    }
}

/// Why a call to a router failed.
#[derive(Debug)]
pub enum RouterCallErrorKind {
    /// The connection failed or timed out.
    Io(io::Error),
    /// The request can't be encoded, or the response can't be decoded.
    Codec(postcard::Error),
    /// The response exceeds the size limit.
    ResponseTooLong,
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
            Self::Io(error) => error.fmt(f),
            Self::Codec(error) => error.fmt(f),
            Self::ResponseTooLong => f.write_str("response is too long"),
            Self::UnexpectedResponse => f.write_str("response does not match the request"),
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
