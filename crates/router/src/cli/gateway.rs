//! The commands that show the state of a gateway, or drain a site.

use clap::Subcommand;

use super::client::{call, unexpected_response};
use super::error::CommandError;
use super::gateway_text::{routes_text, status_text};
use super::ControlTarget;
use crate::control::{ControlRequest, ControlResponse};

#[derive(Debug, Subcommand)]
pub enum GatewayCommand {
    /// Show the links, the state of the other sites, and the requests in flight
    Status,
    /// Show the sites that reads and writes are routed to
    Routes,
    /// Drain a site: the gateway's own site for all others, any other site for this gateway only
    Drain { site: String },
    /// End the drain of a site
    Undrain { site: String },
}

/// Runs a command.
///
/// # Errors
///
/// Incorrect usage, and errors of the router.
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
