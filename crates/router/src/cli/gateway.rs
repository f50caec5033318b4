//! The commands that show how a gateway stands with other sites, or drain a site.

use clap::Subcommand;

use super::client::{call, unexpected_response};
use super::error::CommandError;
use super::gateway_text::{routes_text, status_text};
use super::ControlTarget;
use crate::control::{ControlRequest, ControlResponse};

#[derive(Debug, Subcommand)]
pub enum GatewayCommand {
    /// Show the links, what other sites say of themselves, and what is under way
    Status,
    /// Show where reads and writes go now
    Routes,
    /// Have a site left alone: the own one by all others, another one by this gateway
    Drain { site: String },
    /// Have it used again
    Undrain { site: String },
}

/// Runs a command.
///
/// # Errors
///
/// Wrong use, and errors of the router.
pub fn run(command: &GatewayCommand, target: &ControlTarget) -> Result<String, CommandError> {
    let socket = target.single_socket()?;
    let request = match command {
        GatewayCommand::Status => ControlRequest::GatewayStatus,
        GatewayCommand::Routes => ControlRequest::GatewayRoutes,
        GatewayCommand::Drain { site } => ControlRequest::DrainSite { site: site.clone(), drained: true },
        GatewayCommand::Undrain { site } => ControlRequest::DrainSite { site: site.clone(), drained: false },
    };
    match call(socket, &request)? {
        ControlResponse::GatewayStatus(status) => Ok(target.format.render(&*status, status_text)),
        ControlResponse::GatewayRoutes(routes) => Ok(target.format.render(&routes[..], routes_text)),
        ControlResponse::Done(message) => Ok(target.format.render_done(&message)),
        other => Err(unexpected_response(socket, other).into()),
    }
}
