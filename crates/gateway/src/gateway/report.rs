//! The gateway as commands show it.

use linnethook::interface::Ms;

use super::{Gateway, GatewayLine, RouteLine, SiteLine, Status};
use crate::concurrency_window::ConcurrencyWindow;
use crate::local_capacity::RequestKind;
use crate::routing::{SiteId, SiteView};

impl Gateway {
    /// Where reads and writes go now.
    pub fn route_lines(&self, now: Ms) -> Vec<RouteLine> {
        vec![self.route_line(now, RequestKind::Read), self.route_line(now, RequestKind::Write)]
    }

    fn route_line(&self, now: Ms, kind: RequestKind) -> RouteLine {
        let is_write = kind == RequestKind::Write;
        let can_serve = |view: &SiteView| if is_write { view.has_origin } else { view.has_caches };
        let routing = &self.forwarder.routing;
        let is_usable = |site: &SiteId| {
            let view = routing.site_status(*site).map(|status| status.view);
            view.is_some_and(|view| view.reachable && !view.drained && can_serve(&view))
        };
        let sites = self.sites.others().filter(is_usable);
        let capacity = &self.forwarder.local_capacity;
        RouteLine {
            what: if is_write { "writes" } else { "reads" }.to_string(),
            home: !capacity.is_drained() && can_serve(&capacity.view()),
            across: sites
                .map(|site| (self.site_name(site).to_string(), routing.admitted_share(now, site, is_write)))
                .collect(),
        }
    }

    /// The gateway and the other sites.
    pub fn status(&self, now: Ms) -> Status {
        let capacity = &self.forwarder.local_capacity;
        let own = capacity.view();
        Status {
            site: self.sites.own().to_string(),
            node: self.node.clone(),
            epoch: self.epoch,
            caches: capacity.usable_caches(),
            origin: own.has_origin,
            used: own.utilization,
            drained: own.drained,
            sites: self.sites.others().map(|site| self.site_line(now, site)).collect(),
            out: self.forwarder.pending_count() as u64,
            uncertain: self.forwarder.uncertain_count() as u64,
            serving: self.remote_requests.len() as u64,
            counts: self.links.counts,
        }
    }

    fn site_line(&self, now: Ms, site: SiteId) -> SiteLine {
        let routing = &self.forwarder.routing;
        let status = routing.site_status(site).unwrap_or_default();
        let window = self.forwarder.window(site);
        SiteLine {
            name: self.site_name(site).to_string(),
            reachable: status.view.reachable,
            caches: status.view.has_caches,
            origin: status.view.has_origin,
            used: status.view.utilization,
            drained: status.view.drained,
            shut: status.is_shut,
            flapping: status.view.flapping,
            bad: status.failure_ratio,
            part: routing.admitted_share(now, site, false),
            part_writes: routing.admitted_share(now, site, true),
            window: window.map_or(0.0, ConcurrencyWindow::limit),
            out: window.map_or(0, ConcurrencyWindow::in_flight),
            gateways: self.gateway_lines(now, site),
        }
    }

    fn gateway_lines(&self, now: Ms, site: SiteId) -> Vec<GatewayLine> {
        let mut lines = Vec::new();
        for (name, peer) in self.links.peers.iter().filter(|(_, peer)| peer.site == site) {
            let connections = peer.connections.iter().filter_map(|id| self.links.connections.get(id));
            lines.push(GatewayLine {
                name: name.clone(),
                connections: connections.map(|connection| connection.status(now)).collect(),
                remembered: peer.received_attempts.retained().tokens as u64,
            });
        }
        lines
    }
}
