//! The facts that this site publishes, the facts received from other sites, and the views of sites derived
//! from them.

use linnethook::interface::Ms;

use super::{Action, ConnectionId, Gateway};
use crate::codec::Message;
use crate::session::CloseReason;
use crate::site_names::LOCAL_SITE;
use crate::site_state::{Fact, FactKey, FactValue, StatePosition, StateUpdate, UpdateResult};

/// The published load is rounded to multiples of 1 / `LOAD_STEPS`: smaller changes are not worth a message to
/// all sites.
const LOAD_STEPS: f64 = 20.0;

impl Gateway {
    /// Publishes a fact to all other sites, including those that connect later.
    pub fn publish_fact(&mut self, now: Ms, key: FactKey, value: FactValue) {
        if !self.published.publish(now, key, value) {
            return;
        }
        let mut outdated = Vec::new();
        for (connection, site_connection) in &self.links.connections {
            if site_connection.peer.is_some() && !self.links.is_cluster_peer(*connection) {
                outdated.push((*connection, site_connection.session.sent_version));
            }
        }
        for (connection, version) in outdated {
            self.send_state(connection, StatePosition { epoch: self.epoch, version });
        }
    }

    /// Sends the changes since a position of the peer.
    pub(super) fn send_state(&mut self, connection: ConnectionId, position: StatePosition) {
        let Some(session) = self.links.session_mut(connection) else { return };
        let update = self.published.changes_since(position);
        session.sent_version = update.version;
        session.send(&Message::StateUpdate(update));
        self.links.request_write(connection);
    }

    /// Handles a request for the state after a position.
    pub(super) fn handle_state_request(&mut self, connection: ConnectionId, position: StatePosition) {
        if self.links.is_cluster_peer(connection) {
            self.send_peer_state(connection, position);
        } else {
            self.send_state(connection, position);
        }
    }

    /// Handles an update of the published state of a peer.
    pub(super) fn handle_state_update(
        &mut self,
        now: Ms,
        connection: ConnectionId,
        update: StateUpdate,
    ) -> Result<(), CloseReason> {
        // Facts that have expired at the publisher may not have expired here yet.
        let max_facts = self.config.peers.max_facts * 2;
        let Some(peer) = self.links.peer_of_mut(connection) else { return Ok(()) };
        let is_in_cluster = peer.is_in_cluster();
        match peer.state.apply_update(now, update, max_facts) {
            UpdateResult::TooManyFacts => return Err(CloseReason::TooManyFacts(max_facts)),
            UpdateResult::Applied(facts) if is_in_cluster => self.handle_peer_entries(connection, facts),
            UpdateResult::Applied(facts) => {
                self.report_facts(facts);
                self.refresh_site_views(now);
            }
            UpdateResult::Outdated => {}
            UpdateResult::Missing(version) => {
                let position = StatePosition { version, ..peer.state.position() };
                self.links.send(connection, &Message::StateRequest(position));
            }
        }
        Ok(())
    }

    fn report_facts(&mut self, facts: Vec<Fact>) {
        for fact in facts {
            match fact.key {
                FactKey::Cache(_) | FactKey::Object(_) | FactKey::Group(_) => {
                    self.links.push(Action::RemoteFact(fact));
                }
                FactKey::Site | FactKey::Operators | FactKey::PeerEntry(_) => {}
            }
        }
    }

    /// Whether another site has published that a cache accepts no new work or was removed.
    pub fn is_cache_unavailable(&self, cache: &str) -> bool {
        self.links.peers.values().any(|peer| peer.state.has_unavailable_cache(cache))
    }

    /// Updates the routing table with the current views of other sites.
    pub(super) fn refresh_site_views(&mut self, now: Ms) {
        for site in self.sites.others() {
            let mut view = self.links.site_view(now, site, self.config.peers.state_lifetime);
            view.flapping = self.sites.name(site).is_some_and(|name| self.dialers.is_flapping(now, name));
            view.drained |= self.drained_sites.contains(&site);
            self.forwarder.routing.update_site(now, site, view);
        }
        self.views_refreshed_at = now;
    }

    /// Reports the number of caches of this site that accept new work, and its utilization, from 0 to 1.
    pub fn report_local_load(&mut self, now: Ms, caches: u32, utilization: f64) {
        let capacity = &mut self.forwarder.local_capacity;
        capacity.set_ready_caches(caches);
        capacity.set_utilization((utilization * LOAD_STEPS).round() / LOAD_STEPS);
        self.publish_load(now);
    }

    pub(super) fn publish_load(&mut self, now: Ms) {
        let capacity = &self.forwarder.local_capacity;
        let view = capacity.view();
        let load = FactValue::Load {
            utilization: view.utilization,
            caches: capacity.usable_caches(),
            origin_reachable: view.has_origin,
        };
        self.publish_fact(now, FactKey::Site, load);
        self.forwarder.routing.set_local_view(view);
    }

    /// Drains a site on behalf of the operators, or ends the drain. Returns false if the site is not in the
    /// setup.
    pub fn set_drained(&mut self, now: Ms, name: &str, drained: bool) -> bool {
        let Some(site) = self.sites.id(name) else { return false };
        if site == LOCAL_SITE {
            self.forwarder.local_capacity.set_drained(drained);
            self.publish_fact(now, FactKey::Operators, FactValue::Drained(drained));
            self.publish_load(now);
        } else if drained {
            self.drained_sites.insert(site);
        } else {
            self.drained_sites.remove(&site);
        }
        self.refresh_site_views(now);
        true
    }
}
