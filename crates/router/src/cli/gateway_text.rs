//! Text output of the commands of a gateway. Capitals mark what needs attention.

use linnethook_gateway::status::{
    ConnectionView, GatewayStatusView, PeerGatewayView, RemoteSiteView, RouteView,
};

use super::output::counters_text;

/// The state of a gateway: its own site, the other sites, their gateways, and the connections to these.
pub fn status_text(status: &GatewayStatusView) -> String {
    let mut out = format!(
        "{}/{}: {} caches, {}, load {:.2}{}; \
         {} requests forwarded, {} of them uncertain, {} from other sites\n",
        status.site,
        status.node,
        status.usable_caches,
        if status.has_origin { "origin reachable" } else { "ORIGIN UNREACHABLE" },
        status.utilization,
        if status.is_drained { ", DRAINED" } else { "" },
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
        "{}: {}{}{}{}{}{}, load {:.2}; \
         receives up to {:.0}% of the reads and {:.0}% of the writes, {} of {:.0} requests in flight; \
         failure ratio {:.2}\n",
        site.name,
        if site.is_reachable { "reachable" } else { "UNREACHABLE" },
        if site.has_caches { "" } else { ", no caches" },
        if site.has_origin { "" } else { ", no route to the origin" },
        if site.is_drained { ", DRAINED" } else { "" },
        if site.is_flapping { ", FLAPPING" } else { "" },
        if site.is_shut { ", excluded for load or failures" } else { "" },
        site.utilization,
        site.read_share * 100.0,
        site.write_share * 100.0,
        site.in_flight,
        site.concurrency_limit,
        site.failure_ratio
    )
}

fn gateway_lines(gateway: &PeerGatewayView) -> String {
    let mut out = format!("  {}: {} fencing tokens stored\n", gateway.name, gateway.remembered_tokens);
    out.extend(gateway.connections.iter().map(connection_line));
    out
}

fn connection_line(connection: &ConnectionView) -> String {
    format!(
        "    {}, round trip {:.1} ms, phi {:.1}; {} outgoing, {} incoming, {} bytes queued\n",
        connection.health,
        connection.round_trip,
        connection.phi,
        connection.outgoing,
        connection.incoming,
        connection.queued_bytes
    )
}

/// The sites that reads and writes are routed to, one line each.
pub fn routes_text(routes: &[RouteView]) -> String {
    routes.iter().map(route_line).collect()
}

fn route_line(route: &RouteView) -> String {
    let local = if route.is_served_locally { "this site" } else { "this site UNAVAILABLE" };
    let sites =
        route.remote_sites.iter().map(|entry| format!("{} ({:.0}%)", entry.site, entry.share * 100.0));
    let sites = sites.collect::<Vec<_>>().join(", ");
    let sites = if sites.is_empty() { "none" } else { &sites };
    format!("{}: {local}, else {sites}\n", route.request_kind)
}
