//! The text of the commands of a gateway. What needs attention stands in capitals.

use linnethook_gateway::status::{
    ConnectionView, GatewayStatusView, PeerGatewayView, RemoteSiteView, RouteView,
};

use super::output::counters_text;

/// The state of a gateway: itself, the other sites, their gateways and the connections with these.
pub fn status_text(status: &GatewayStatusView) -> String {
    let mut out = format!(
        "{}/{}: {} caches, {}, load {:.2}{}; {} requests across, {} of them uncertain, {} from other sites\n",
        status.site,
        status.node,
        status.usable_caches,
        if status.has_origin { "origin reached" } else { "ORIGIN NOT REACHED" },
        status.utilization,
        if status.is_drained { ", LEFT ALONE" } else { "" },
        status.forwarded,
        status.uncertain,
        status.remote_requests
    );
    for site in &status.sites {
        out += &site_line(site);
        out.extend(site.gateways.iter().map(gateway_lines));
    }
    out + &counters_text(&status.counts) + "\n"
}

fn site_line(site: &RemoteSiteView) -> String {
    format!(
        "{}: {}{}{}{}{}{}, load {:.2}; may get {:.0}% of the reads and {:.0}% of the writes, {} out of {:.0}; ended badly {:.2}\n",
        site.name,
        if site.is_reachable { "reached" } else { "NOT REACHED" },
        if site.has_caches { "" } else { ", no caches" },
        if site.has_origin { "" } else { ", no way to the origin" },
        if site.is_drained { ", LEFT ALONE" } else { "" },
        if site.is_flapping { ", FLAPPING" } else { "" },
        if site.is_shut { ", shut" } else { "" },
        site.utilization,
        site.read_share * 100.0,
        site.write_share * 100.0,
        site.in_flight,
        site.concurrency_limit,
        site.failure_ratio
    )
}

fn gateway_lines(gateway: &PeerGatewayView) -> String {
    let mut out = format!("  {}: {} tokens remembered\n", gateway.name, gateway.remembered_tokens);
    out.extend(gateway.connections.iter().map(connection_line));
    out
}

fn connection_line(connection: &ConnectionView) -> String {
    format!(
        "    {}, answers in {:.1} ms, phi {:.1}; {} out, {} from there, {} bytes waiting\n",
        connection.health,
        connection.round_trip,
        connection.phi,
        connection.outgoing,
        connection.incoming,
        connection.queued_bytes
    )
}

/// Where reads and writes go, one line each.
pub fn routes_text(routes: &[RouteView]) -> String {
    routes.iter().map(route_line).collect()
}

fn route_line(route: &RouteView) -> String {
    let home = if route.is_served_locally { "home" } else { "home CAN'T" };
    let sites =
        route.remote_sites.iter().map(|entry| format!("{} ({:.0}%)", entry.site, entry.share * 100.0));
    let sites = sites.collect::<Vec<_>>().join(", ");
    let sites = if sites.is_empty() { "nowhere" } else { &sites };
    format!("{}: {home}, else {sites}\n", route.request_kind)
}
