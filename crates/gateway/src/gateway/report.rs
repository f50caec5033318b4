//! The status of the gateway, as printed by commands.

use linnethook::interface::Ms;

use super::{Gateway, GatewayStatusView, PeerGatewayView, RemoteSiteView, RouteView, SiteShare};
use crate::concurrency_window::ConcurrencyWindow;
use crate::local_capacity::RequestKind;
use crate::routing::{SiteId, SiteView};

impl Gateway {
    /// The current routes of reads and writes.
    pub fn route_views(&self, now: Ms) -> Vec<RouteView> {
        vec![self.route_view(now, RequestKind::Read), self.route_view(now, RequestKind::Write)]
    }

    fn route_view(&self, now: Ms, kind: RequestKind) -> RouteView {
        let is_write = kind == RequestKind::Write;
        let can_serve = |view: &SiteView| if is_write { view.has_origin } else { view.has_caches };
        let routing = &self.forwarder.routing;
        let is_usable = |site: &SiteId| {
            let view = routing.site_status(*site).map(|status| status.view);
            view.is_some_and(|view| view.reachable && !view.drained && can_serve(&view))
        };
        let sites = self.sites.others().filter(is_usable);
        let capacity = &self.forwarder.local_capacity;
        RouteView {
            request_kind: if is_write { "writes" } else { "reads" }.to_string(),
            is_served_locally: !capacity.is_drained() && can_serve(&capacity.view()),
            remote_sites: sites
                .map(|site| SiteShare {
                    site: self.site_name(site).to_string(),
                    share: routing.admitted_share(now, site, is_write),
                })
                .collect(),
        }
    }

    /// The status of the gateway and of the other sites.
    pub fn status(&self, now: Ms) -> GatewayStatusView {
        let capacity = &self.forwarder.local_capacity;
        let own = capacity.view();
        GatewayStatusView {
            site: self.sites.local().to_string(),
            node: self.node.clone(),
            epoch: self.epoch,
            usable_caches: capacity.usable_caches(),
            has_origin: own.has_origin,
            utilization: own.utilization,
            is_drained: own.drained,
            sites: self.sites.others().map(|site| self.remote_site_view(now, site)).collect(),
            forwarded: self.forwarder.pending_count() as u64,
            uncertain: self.forwarder.uncertain_count() as u64,
            remote_requests: self.remote_requests.len() as u64,
            counts: self.links.counts,
        }
    }

    fn remote_site_view(&self, now: Ms, site: SiteId) -> RemoteSiteView {
        let routing = &self.forwarder.routing;
        let status = routing.site_status(site).unwrap_or_default();
        let window = self.forwarder.window(site);
        RemoteSiteView {
            name: self.site_name(site).to_string(),
            is_reachable: status.view.reachable,
            has_caches: status.view.has_caches,
            has_origin: status.view.has_origin,
            utilization: status.view.utilization,
            is_drained: status.view.drained,
            is_shut: status.is_shut,
            is_flapping: status.view.flapping,
            failure_ratio: status.failure_ratio,
            read_share: routing.admitted_share(now, site, false),
            write_share: routing.admitted_share(now, site, true),
            concurrency_limit: window.map_or(0.0, ConcurrencyWindow::limit),
            in_flight: window.map_or(0, ConcurrencyWindow::in_flight),
            gateways: self.peer_gateway_views(now, site),
        }
    }

    fn peer_gateway_views(&self, now: Ms, site: SiteId) -> Vec<PeerGatewayView> {
        let mut views = Vec::new();
        for (name, peer) in self.links.peers.iter().filter(|(_, peer)| peer.site == site) {
            let connections = peer.connections.iter().filter_map(|id| self.links.connections.get(id));
            views.push(PeerGatewayView {
                name: name.clone(),
                connections: connections.map(|connection| connection.status(now)).collect(),
                remembered_tokens: peer.received_attempts.retained().tokens as u64,
            });
        }
        views
    }
}
