//! Why a router failed to start, or ended with an error.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use linnethook_operator_config::ConfigError as OperatorError;

use crate::cli::CommandError;
use crate::config::ConfigError;
use crate::hierarchy_adapter::HierarchyError;
use crate::multi_router::RouterError;

/// An error that ends the process with exit code 1.
#[derive(Debug)]
pub enum StartError {
    /// `LB_CONFIG` is not set.
    NoConfig,
    /// The configuration is invalid.
    Config(ConfigError),
    /// The operator file can't be evaluated.
    Operator(OperatorError),
    /// The process that evaluates the operator file can't be started.
    Evaluation(CommandError),
    /// The hierarchy of the operator file is invalid.
    Hierarchy(HierarchyError),
    /// Listening on the control socket failed.
    ControlSocket {
        /// The path of the socket.
        path: String,
        /// The error of the system.
        source: io::Error,
    },
    /// Listening on a network address failed, for example because it is in use.
    Listen {
        /// The setting of the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// Another system error.
    System(io::Error),
    /// The event loop failed.
    EventLoop(calloop::Error),
    /// The error of one of several routers in this process.
    Router(Box<RouterError>),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoConfig => f.write_str("LB_CONFIG is not set; it must name the configuration file"),
            Self::Config(error) => error.fmt(f),
            Self::Operator(error) => error.fmt(f),
            Self::Evaluation(error) => error.fmt(f),
            Self::Hierarchy(error) => write!(f, "the hierarchy of the operator file is invalid: {error}"),
            Self::Router(error) => error.fmt(f),
            Self::ControlSocket { path, source } => {
                write!(f, "can't listen on control socket {path}: {source}")
            }
            Self::Listen { setting, address, source } => {
                write!(f, "can't listen on {address}, the address of {setting}: {source}")
            }
            Self::System(error) => write!(f, "system error while the router starts or runs: {error}"),
            Self::EventLoop(error) => write!(f, "event loop of the router failed: {error}"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Config(error) => Some(error),
            Self::Operator(error) => Some(error),
            Self::ControlSocket { source, .. } | Self::Listen { source, .. } | Self::System(source) => {
                Some(source)
            }
            Self::Hierarchy(error) => Some(error),
            Self::EventLoop(error) => Some(error),
            Self::Router(error) => Some(error),
            Self::Evaluation(error) => Some(error),
            Self::NoConfig => None,
        }
    }
}

impl From<ConfigError> for StartError {
    fn from(error: ConfigError) -> Self {
        Self::Config(error)
    }
}

impl From<OperatorError> for StartError {
    fn from(error: OperatorError) -> Self {
        Self::Operator(error)
    }
}

impl From<CommandError> for StartError {
    fn from(error: CommandError) -> Self {
        Self::Evaluation(error)
    }
}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        Self::System(error)
    }
}

impl From<calloop::Error> for StartError {
    fn from(error: calloop::Error) -> Self {
        Self::EventLoop(error)
    }
}
