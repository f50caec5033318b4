//! The commands that show the routers of the fleet, or set the version floor.

use std::io::Write;
use std::path::Path;
use std::time::{Duration, Instant};

use clap::Subcommand;
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::aggregation::query::QueryTarget;
use linnethook_membership::view::{ClusterView, RouterView};

use super::client::{call, unexpected_response, RESPONSE_TIMEOUT};
use super::error::{CommandError, RouterCallError, RouterCallErrorKind};
use super::fleet_text::{fleet_text, site_text};
use super::output::{json_text, OutputFormat};
use super::ControlTarget;
use crate::control::{ControlRequest, ControlResponse, FleetView, SiteDetail};

/// The pause between requests for the result of a query.
const QUERY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum interval of `fleet watch`, in seconds.
const MIN_WATCH_SECONDS: f64 = 0.05;
/// The interval of `fleet watch` if the requested one is not a valid duration.
const DEFAULT_WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// The version that clears the floor.
const NO_FLOOR: u64 = 0;

#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Show the routers with differences of their active versions, and summaries of other sites
    Show {
        /// The name of a router; a router of another site is queried there
        name: Option<String>,
        /// The location of a site whose routers to list
        #[arg(long, value_name = "PLACE", conflicts_with = "name")]
        site: Option<String>,
    },
    /// Print the fleet each time that it changes
    Watch {
        /// Seconds between two polls of the router
        #[arg(long, default_value_t = 1.0)]
        every: f64,
        /// Number of polls after which to stop; 0 for no limit
        #[arg(long, default_value_t = 0)]
        looks: u64,
    },
    /// Set or clear the version floor, the lowest version of the hierarchy that routers may act on
    Floor {
        #[command(subcommand)]
        command: FloorCommand,
    },
}

#[derive(Debug, Subcommand)]
pub enum FloorCommand {
    /// Set the version floor
    Set {
        #[arg(value_parser = clap::value_parser!(u64).range(1..))]
        version: u64,
    },
    /// Clear the version floor
    Clear,
}

/// Runs a command.
///
/// # Errors
///
/// Incorrect usage, and errors of the router.
pub fn run(command: &FleetCommand, target: &ControlTarget) -> Result<String, CommandError> {
    let socket = target.single_socket()?;
    match command {
        FleetCommand::Show { name: None, site: None } => Ok(show_fleet(socket, target.format)?),
        FleetCommand::Show { name: Some(name), .. } => show_router(socket, target.format, name),
        FleetCommand::Show { name: None, site: Some(site) } => show_site(socket, target.format, site),
        FleetCommand::Watch { every, looks } => Ok(watch_fleet(socket, target.format, *every, *looks)?),
        FleetCommand::Floor { command: FloorCommand::Set { version } } => {
            Ok(set_floor(socket, target.format, *version)?)
        }
        FleetCommand::Floor { command: FloorCommand::Clear } => {
            Ok(set_floor(socket, target.format, NO_FLOOR)?)
        }
    }
}

fn fetch_fleet(socket: &Path) -> Result<FleetView, RouterCallError> {
    match call(socket, &ControlRequest::ShowFleet)? {
        ControlResponse::Fleet(view) => Ok(*view),
        other => Err(unexpected_response(socket, other)),
    }
}

fn show_fleet(socket: &Path, format: OutputFormat) -> Result<String, RouterCallError> {
    Ok(format.render(&fetch_fleet(socket)?, fleet_text))
}

/// Polls the router and prints the fleet each time that it has changed. Stops after `max_polls` polls; 0 for
/// no limit.
fn watch_fleet(
    socket: &Path,
    format: OutputFormat,
    seconds: f64,
    max_polls: u64,
) -> Result<String, RouterCallError> {
    let seconds = seconds.max(MIN_WATCH_SECONDS);
    let interval = Duration::try_from_secs_f64(seconds).unwrap_or(DEFAULT_WATCH_INTERVAL);
    let mut printed = String::new();
    for poll in 1.. {
        let text = show_fleet(socket, format)?;
        if text != printed {
            let mut stdout = std::io::stdout();
            let written = writeln!(stdout, "{text}").and_then(|()| stdout.flush());
            if written.is_err() {
                break;
            }
            printed = text;
        }
        if poll == max_polls {
            break;
        }
        std::thread::sleep(interval);
    }
    Ok(String::new())
}

fn set_floor(socket: &Path, format: OutputFormat, version: u64) -> Result<String, RouterCallError> {
    match call(socket, &ControlRequest::SetFloor(version))? {
        ControlResponse::Done(message) => Ok(format.render_done(&message)),
        other => Err(unexpected_response(socket, other)),
    }
}

/// Shows the routers of a site: of the router's own site directly, of another one by a query.
fn show_site(socket: &Path, format: OutputFormat, site: &str) -> Result<String, CommandError> {
    let cluster = fetch_fleet(socket)?.cluster;
    let location = Location::parse(site).map_err(CommandError::Location)?;
    let me = cluster.me.clone();
    let detail = match cluster.location.as_deref() == Some(site) {
        true => own_site(cluster),
        false => query_site(socket, QueryTarget::Site(location))?,
    };
    Ok(render_routers(format, &detail, &me, |_| true))
}

/// Shows the router with a name: from the called router's own view, or else by a query to its site.
fn show_router(socket: &Path, format: OutputFormat, name: &str) -> Result<String, CommandError> {
    let cluster = fetch_fleet(socket)?.cluster;
    let me = cluster.me.clone();
    let has_name = |router: &RouterView| router.name == name;
    let is_known = has_name(&me) || cluster.others.iter().any(has_name);
    let detail = match is_known {
        true => own_site(cluster),
        false => query_site(socket, QueryTarget::Router(name.to_string()))?,
    };
    Ok(render_routers(format, &detail, &me, has_name))
}

fn own_site(cluster: ClusterView) -> SiteDetail {
    let routers = std::iter::once(cluster.me).chain(cluster.others).collect();
    SiteDetail { location: cluster.location.unwrap_or_default(), routers }
}

fn render_routers(
    format: OutputFormat,
    detail: &SiteDetail,
    me: &RouterView,
    is_shown: impl Fn(&RouterView) -> bool,
) -> String {
    let routers: Vec<&RouterView> = detail.routers.iter().filter(|router| is_shown(router)).collect();
    match format {
        OutputFormat::Text => site_text(&detail.location, &routers, me),
        OutputFormat::Json => json_text(&(&detail.location, &routers)),
    }
}

/// Has the router query another site for its routers, and waits for the result.
fn query_site(socket: &Path, target: QueryTarget) -> Result<SiteDetail, RouterCallError> {
    let id = match call(socket, &ControlRequest::StartQuery(target))? {
        ControlResponse::QueryStarted(id) => id,
        other => return Err(unexpected_response(socket, other)),
    };
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    while Instant::now() < deadline {
        match call(socket, &ControlRequest::FetchQueryResult(id))? {
            ControlResponse::QueryResult(Some(detail)) => return Ok(detail),
            ControlResponse::QueryResult(None) => std::thread::sleep(QUERY_POLL_INTERVAL),
            other => return Err(unexpected_response(socket, other)),
        }
    }
    Err(RouterCallError::new(socket, RouterCallErrorKind::QueryTimeout))
}
