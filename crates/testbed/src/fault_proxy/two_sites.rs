//! Two sites with a gateway each, and a proxy between them.

use std::io::{self, ErrorKind};

use super::{FaultProxy, ProxyEnds};

/// Two sites with a gateway each, `north` and `south`, and the link between them; the north dials.
pub struct TwoSites {
    /// The site that dials.
    pub north: crate::process_cluster::ProcessCluster,
    /// The site that is dialed.
    pub south: crate::process_cluster::ProcessCluster,
    /// The link between them.
    pub proxy: FaultProxy,
}

impl TwoSites {
    /// Starts both sites; `settings` are added to the `gateway(...)` of both.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn start(
        program: &std::path::Path,
        settings: &str,
        server_config: impl Fn(crate::cache_server::ServerRole) -> crate::cache_server::CacheServerConfig,
    ) -> io::Result<Self> {
        use crate::process_cluster::ProcessCluster;
        let mut north = ProcessCluster::site(program, "north", 2, None, &server_config)?;
        let mut south = ProcessCluster::site(program, "south", 2, Some(&north), &server_config)?;
        let sites = ["north".to_string(), "south".to_string()];
        let proxy = FaultProxy::start(ProxyEnds { sites, record: north.record.clone() })?;
        let listens = format!("listen = \"127.0.0.1:0\"{settings}");
        south.start_router(SOUTH, Some(&operator("south", "north", &listens, "")), |_| {})?;
        proxy.set_target(south.gateway_address(SOUTH).ok_or(ErrorKind::NotFound)?);
        let link = format!("link(\"south\", connect = \"{}\", connections = 2)", proxy.address);
        let settings = settings.trim_start_matches(", ");
        north.start_router(NORTH, Some(&operator("north", "south", settings, &link)), |_| {})?;
        Ok(Self { north, south, proxy })
    }

    /// Kills the gateway of the south and starts it again.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn restart_south(&mut self) -> io::Result<()> {
        self.south.kill_router(SOUTH);
        self.south.restart_router(SOUTH)?;
        self.proxy.set_target(self.south.gateway_address(SOUTH).ok_or(ErrorKind::NotFound)?);
        Ok(())
    }

    /// Runs a `gateway` command of a router. Returns whether it succeeded, and its output or error text.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn gateway(&self, router: &str, arguments: &[&str]) -> io::Result<(bool, String)> {
        let fleet = self.fleet(router);
        let socket = fleet.socket(router).display().to_string();
        let arguments = [&["gateway"], arguments, &["--socket", &socket]].concat();
        let output = fleet.command(&arguments)?;
        let text = if output.status.success() { output.stdout } else { output.stderr };
        Ok((output.status.success(), String::from_utf8_lossy(&text).into_owned()))
    }

    pub(super) fn fleet(&self, router: &str) -> &crate::process_cluster::ProcessCluster {
        if router == NORTH {
            &self.north
        } else {
            &self.south
        }
    }

    /// The status of a gateway.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn status(&self, router: &str) -> io::Result<serde_json::Value> {
        self.fleet(router).query(router, &["gateway", "status"])
    }

    /// Waits until the status of a gateway fulfils a condition, or times out.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn until(
        &self,
        router: &str,
        what: &str,
        fits: impl Fn(&serde_json::Value) -> bool,
    ) -> io::Result<serde_json::Value> {
        self.fleet(router).until(router, &["gateway", "status"], what, fits)
    }

    /// Waits until both gateways report the other site as reachable.
    ///
    /// # Errors
    /// A socket or a process that fails.
    pub fn until_up(&self) -> io::Result<()> {
        for router in [NORTH, SOUTH] {
            self.until(router, "the link is up", |status| status["sites"][0]["reachable"] == true)?;
        }
        Ok(())
    }
}

/// The router of the north.
pub const NORTH: &str = "n0";

/// The router of the south.
pub const SOUTH: &str = "s0";

/// The operator file of a gateway; `link` is its `link(...)` line, if any.
pub(super) fn operator(site: &str, other: &str, settings: &str, link: &str) -> String {
    let comma = if settings.is_empty() { "" } else { ", " };
    format!(
        "control(path = \"SOCKET\")\nlog(lines_per_second = 200)\n\
         gateway(site = \"{site}\"{comma}{settings})\nsite(\"{other}\")\n{link}\n"
    )
}
