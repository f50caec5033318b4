//! The text of the commands of a gateway. What needs attention stands in capitals.

use linnethook_gateway::gateway::{RouteLine, Status};
use linnethook_gateway::status::{ConnLine, GatewayLine, SiteLine};

use super::output::counters_text;

/// The state of a gateway: itself, the other sites, their gateways and the connections with these.
pub fn status_text(status: &Status) -> String {
    let mut out = format!(
        "{}/{}: {} caches, {}, load {:.2}{}; {} requests across, {} of them uncertain, {} from other sites\n",
        status.site,
        status.node,
        status.caches,
        if status.origin { "origin reached" } else { "ORIGIN NOT REACHED" },
        status.used,
        if status.drained { ", LEFT ALONE" } else { "" },
        status.out,
        status.uncertain,
        status.serving
    );
    for site in &status.sites {
        out += &site_line(site);
        out.extend(site.gateways.iter().map(gateway_lines));
    }
    out + &counters_text(&status.counts) + "\n"
}

fn site_line(site: &SiteLine) -> String {
    format!(
        "{}: {}{}{}{}{}{}, load {:.2}; may get {:.0}% of the reads and {:.0}% of the writes, {} out of {:.0}; ended badly {:.2}\n",
        site.name,
        if site.reachable { "reached" } else { "NOT REACHED" },
        if site.caches { "" } else { ", no caches" },
        if site.origin { "" } else { ", no way to the origin" },
        if site.drained { ", LEFT ALONE" } else { "" },
        if site.flapping { ", FLAPPING" } else { "" },
        if site.shut { ", shut" } else { "" },
        site.used,
        site.part * 100.0,
        site.part_writes * 100.0,
        site.out,
        site.window,
        site.bad
    )
}

fn gateway_lines(gateway: &GatewayLine) -> String {
    let mut out = format!("  {}: {} tokens remembered\n", gateway.name, gateway.remembered);
    out.extend(gateway.connections.iter().map(connection_line));
    out
}

fn connection_line(connection: &ConnLine) -> String {
    format!(
        "    {}, answers in {:.1} ms, phi {:.1}; {} out, {} from there, {} bytes waiting\n",
        connection.health,
        connection.trip,
        connection.phi,
        connection.out,
        connection.serving,
        connection.waiting
    )
}

/// Where reads and writes go, one line each.
pub fn routes_text(routes: &[RouteLine]) -> String {
    routes.iter().map(route_line).collect()
}

fn route_line(route: &RouteLine) -> String {
    let home = if route.home { "home" } else { "home CAN'T" };
    let sites = route.across.iter().map(|(site, share)| format!("{site} ({:.0}%)", share * 100.0));
    let sites = sites.collect::<Vec<_>>().join(", ");
    let sites = if sites.is_empty() { "nowhere" } else { &sites };
    format!("{}: {home}, else {sites}\n", route.what)
}
