//! The state of the cluster in the form that commands print.

use super::Cluster;
use crate::aggregation::location::Location;
use crate::aggregation::summary::{Summary, SummaryReport};
use crate::aggregation::tree::ReceivedSummary;
use crate::membership::{Member, MemberState};
use crate::view::{ClusterView, LocationView, RouterView};
use crate::Ms;

impl Cluster {
    /// The state of the cluster as known to this router.
    pub fn view(&self, now: Ms) -> ClusterView {
        let topology = self.topology.as_ref();
        let pending_on_links = topology.map_or(0, |topology| topology.links.pending_count());
        let remote_peers = topology.into_iter().flat_map(|topology| topology.links.remote_peers());
        let members = self.members.iter();
        ClusterView {
            me: self.own_view(now),
            participation: self.participation,
            others: members.map(|(name, member)| self.member_view(now, name, member)).collect(),
            entries: self.table.len(),
            bytes: self.table.bytes(),
            pending: self.outbox.len() + pending_on_links,
            floor: self.floor_monitor.floor(),
            counters: self.counters,
            location: self.location().map(Location::to_string),
            remote_peers: remote_peers
                .map(|(name, handshake)| (name.clone(), handshake.location.to_string()))
                .collect(),
            locations: self.location_views(now),
        }
    }

    /// The routers of this router's site, this one first.
    pub(super) fn site_view(&self, now: Ms) -> Vec<RouterView> {
        let members = self.members.iter();
        let others = members.map(|(name, member)| self.member_view(now, name, member));
        std::iter::once(self.own_view(now)).chain(others).collect()
    }

    fn own_view(&self, now: Ms) -> RouterView {
        RouterView {
            name: self.name.clone(),
            incarnation: self.incarnation,
            state: MemberState::Alive,
            state_age: 0.0,
            versions: self.versions.clone(),
            links: self.members.links().count(),
            straggler: self.is_straggler(now, &self.name),
        }
    }

    fn member_view(&self, now: Ms, name: &str, member: &Member) -> RouterView {
        RouterView {
            name: name.to_string(),
            incarnation: member.incarnation,
            state: member.state,
            state_age: now - member.state_since,
            versions: member.status.versions.clone(),
            links: member.status.links.len(),
            straggler: self.is_straggler(now, name),
        }
    }

    /// The known summaries of locations, the outermost first.
    fn location_views(&self, now: Ms) -> Vec<LocationView> {
        let Some(topology) = &self.topology else { return Vec::new() };
        let clock = self.clock.last();
        let view = |(location, received): (&Location, &ReceivedSummary)| {
            let SummaryReport { reported_by, summary } = received.report.clone();
            let is_fresh = topology.summaries.is_fresh(now, clock, received);
            LocationView::new(location, reported_by, is_fresh, now - received.received_at, summary)
        };
        let mut views: Vec<LocationView> = topology.summaries.received().iter().map(view).collect();
        views.sort_by_key(|view| view.location.matches('/').count());
        views
    }

    /// The summary of the entire fleet; `None` if this router has no location.
    pub fn fleet_summary(&self, now: Ms) -> Option<Summary> {
        let topology = self.topology.as_ref()?;
        Some(topology.summaries.summarize(now, self.clock.last(), &Location::default()))
    }
}
