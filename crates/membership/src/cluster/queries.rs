//! Queries for the routers of another site.

use xxhash_rust::xxh3::xxh3_64;

use super::Cluster;
use crate::actions::ClusterAction;
use crate::aggregation::location::Location;
use crate::aggregation::query::{Query, QueryTarget, MAX_HOPS};
use crate::gossip::wire::{ANSWER_TAG, QUERY_TAG};
use crate::view::RouterView;
use crate::Ms;

impl Cluster {
    /// Queries the routers of a site. Returns the id that the answer carries; `None` if this router has no
    /// location or too many queries are remembered.
    pub fn start_query(&mut self, now: Ms, target: QueryTarget) -> Option<u64> {
        let at = self.clock.next_timestamp(now);
        let id = xxh3_64(format!("{}/{}/{at}", self.name, self.incarnation).as_bytes());
        if !self.topology.as_mut()?.queries.register(now, id, None) {
            return None;
        }
        self.handle_query(now, None, &Query { id, hops_left: MAX_HOPS, target });
        Some(id)
    }

    /// Handles a query from a peer; `None` if it cannot be decoded.
    pub(super) fn receive_query(&mut self, now: Ms, from: &str, value: &[u8]) -> Option<()> {
        let query: Query = postcard::from_bytes(value).ok()?;
        let topology = self.topology.as_mut();
        if topology.is_some_and(|topology| topology.queries.register(now, query.id, Some(from))) {
            self.handle_query(now, Some(from), &query);
        }
        Some(())
    }

    /// Handles an answer from a peer; `None` if it cannot be decoded.
    pub(super) fn receive_answer(&mut self, value: &[u8]) -> Option<()> {
        let (id, location, routers) = postcard::from_bytes::<(u64, Location, Vec<RouterView>)>(value).ok()?;
        self.route_answer(id, location, routers, value.to_vec());
        Some(())
    }

    /// Answers a query if this router aggregates the queried site; else forwards it.
    fn handle_query(&mut self, now: Ms, from: Option<&str>, query: &Query) {
        let Some(topology) = &self.topology else { return };
        let location = topology.location().clone();
        let is_for_own_site = match &query.target {
            QueryTarget::Site(site) => *site == location,
            QueryTarget::Router(name) => *name == self.name || self.members.get(name).is_some(),
        };
        if is_for_own_site && self.site_summary(now).1 {
            let routers = self.site_view(now);
            let bytes = postcard::to_stdvec(&(query.id, &location, &routers)).unwrap_or_default();
            return self.route_answer(query.id, location, routers, bytes);
        }
        self.forward_query(from, query);
    }

    fn forward_query(&mut self, from: Option<&str>, query: &Query) {
        let (Some(topology), Some(hops_left)) = (&self.topology, query.hops_left.checked_sub(1)) else {
            return;
        };
        let forwarded = Query { hops_left, ..query.clone() };
        let bytes = postcard::to_stdvec(&forwarded).unwrap_or_default();
        let peers = topology.links.peers_with_location().filter(|name| from != Some(name.as_str()));
        let peers: Vec<String> = peers.cloned().collect();
        for peer in peers {
            self.send_message(&peer, QUERY_TAG, bytes.clone());
        }
    }

    /// Sends an answer along the reverse route of its query.
    fn route_answer(&mut self, id: u64, location: Location, routers: Vec<RouterView>, bytes: Vec<u8>) {
        let return_link = self.topology.as_ref().and_then(|topology| topology.queries.return_link(id));
        match return_link.map(|peer| peer.map(str::to_string)) {
            Some(None) => self.actions.push_back(ClusterAction::Answer { id, location, routers }),
            Some(Some(peer)) => {
                self.send_message(&peer, ANSWER_TAG, bytes);
            }
            None => {}
        }
    }
}
