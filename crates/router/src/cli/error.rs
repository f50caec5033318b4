//! Why a command failed, and the exit code that follows from it.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use linnethook_audit::error::LogFileError;
use linnethook_membership::aggregation::location::LocationError;
use linnethook_operator_config::ConfigError;

/// The exit code of wrong use and of invalid input.
const USAGE_EXIT_CODE: u8 = 2;

/// Why a command failed. The text is one that operators see as it stands.
#[derive(Debug)]
pub enum CommandError {
    /// No socket is named where one or several are needed.
    NoRouter,
    /// Not exactly one socket is named where one is needed.
    NotOneRouter,
    /// Several sockets are named for a command that takes one.
    SeveralRouters,
    /// Neither a socket nor a file of audit logs is named.
    NoAuditSource,
    /// The location of a site is invalid.
    Location(LocationError),
    /// An operator file or a file of changes is invalid.
    Config(ConfigError),
    /// A file can't be read.
    ReadFile(FileError),
    /// The content of a file is not that of audit logs.
    LogFile(LogFileReadError),
    /// A file can't be written.
    WriteFile(FileError),
    /// The path of this program is not known.
    ProgramPath(io::Error),
    /// The output of the command can't be written.
    Output(io::Error),
    /// A router can't be asked, or does not do what it was asked.
    Router(RouterCallError),
    /// Something is missing from audit logs or contradicts them: the report.
    LogsNotVerified(String),
    /// The command is one that starts routers, and is not run here.
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
            Self::NoRouter => f.write_str("--socket (or LB_CONTROL) is needed: where is the router?"),
            Self::NotOneRouter => f.write_str("one --socket (or LB_CONTROL) is needed: where is the router?"),
            Self::SeveralRouters => f.write_str("several sockets are for apply only"),
            Self::NoAuditSource => {
                f.write_str("--socket (or LB_CONTROL) or --from is needed: whose accounts?")
            }
            Self::Location(error) => write!(f, "--site: {error}"),
            Self::Config(error) => error.fmt(f),
            Self::ReadFile(error) | Self::WriteFile(error) => error.fmt(f),
            Self::LogFile(error) => error.fmt(f),
            Self::ProgramPath(error) => write!(f, "the program's own path: {error}"),
            Self::Output(error) => error.fmt(f),
            Self::Router(error) => error.fmt(f),
            Self::LogsNotVerified(report) => f.write_str(report),
            Self::StartsRouters => f.write_str("routers are started elsewhere"),
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

/// An error of the system with the file that it is about.
#[derive(Debug)]
pub struct FileError {
    /// The file.
    pub path: PathBuf,
    /// The error.
    pub source: io::Error,
}

impl FileError {
    /// The error at that file.
    pub fn new(path: &Path, source: io::Error) -> Self {
        Self { path: path.to_path_buf(), source }
    }
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.source)
    }
}

/// A file whose content is not that of audit logs.
#[derive(Debug)]
pub struct LogFileReadError {
    /// The file.
    pub path: PathBuf,
    /// What is wrong with its content.
    pub source: LogFileError,
}

impl fmt::Display for LogFileReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Operators know this text, whichever of the two it is.
        write!(f, "{}: this is no file of accounts, or it is cut short", self.path.display())
    }
}

/// Why a call to a router failed, with the socket of the router.
#[derive(Debug)]
pub struct RouterCallError {
    /// The control socket.
    pub socket: PathBuf,
    /// What happened.
    pub kind: RouterCallErrorKind,
}

impl RouterCallError {
    /// The error at that socket.
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
            | RouterCallErrorKind::Refused(_)
            | RouterCallErrorKind::QueryTimeout => None,
        }
    }
}

/// What kept a call to a router from its result.
#[derive(Debug)]
pub enum RouterCallErrorKind {
    /// The connection failed or timed out.
    Io(io::Error),
    /// The request can't be encoded, or the response not be decoded.
    Codec(postcard::Error),
    /// The response is longer than a router's may be.
    ResponseTooLong,
    /// The response is that of another request.
    UnexpectedResponse,
    /// The router does not do it; the text is its reason.
    Refused(String),
    /// The other site has not answered in time.
    QueryTimeout,
}

impl fmt::Display for RouterCallErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(f),
            Self::Codec(error) => error.fmt(f),
            Self::ResponseTooLong => f.write_str("an answer that is too long"),
            Self::UnexpectedResponse => f.write_str("another answer than was asked for"),
            Self::Refused(reason) => f.write_str(reason),
            Self::QueryTimeout => f.write_str("nobody has answered"),
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
