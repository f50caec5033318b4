//! What this site publishes, what others have published, and the views of sites that follow from it.

use linnethook::interface::Ms;

use super::{Action, ConnectionId, Gateway};
use crate::codec::Message;
use crate::session::CloseReason;
use crate::site_names::OWN_SITE;
use crate::site_state::{Fact, FactKey, FactValue, StatePosition, StateUpdate, UpdateResult};

/// Load is published in steps of one over this: smaller changes are not worth a message to all sites.
const LOAD_STEPS: f64 = 20.0;

impl Gateway {
    /// Publishes a fact to all other sites, also to those that connect later.
    pub fn publish_fact(&mut self, now: Ms, key: FactKey, value: FactValue) {
        if !self.published.publish(now, key, value) {
            return;
        }
        let mut behind = Vec::new();
        for (connection, known) in &self.links.connections {
            if known.peer.is_some() && !self.links.is_cluster_peer(*connection) {
                behind.push((*connection, known.session.sent_version));
            }
        }
        for (connection, version) in behind {
            self.send_state(connection, StatePosition { epoch: self.epoch, version });
        }
    }

    /// Sends what has changed since a position of the other side.
    pub(super) fn send_state(&mut self, connection: ConnectionId, position: StatePosition) {
        let Some(session) = self.links.session_mut(connection) else { return };
        let update = self.published.changes_since(position);
        session.sent_version = update.version;
        session.send(&Message::StateUpdate(update));
        self.links.request_write(connection);
    }

    /// The other side lacks what follows that position.
    pub(super) fn handle_state_request(&mut self, connection: ConnectionId, position: StatePosition) {
        if self.links.is_cluster_peer(connection) {
            self.send_peer_state(connection, position);
        } else {
            self.send_state(connection, position);
        }
    }

    /// The other side has published something.
    pub(super) fn handle_state_update(
        &mut self,
        now: Ms,
        connection: ConnectionId,
        update: StateUpdate,
    ) -> Result<(), CloseReason> {
        // What of it has expired there may not have here.
        let max_facts = self.config.peers.max_facts * 2;
        let Some(peer) = self.links.peer_of_mut(connection) else { return Ok(()) };
        let is_in_cluster = peer.is_in_cluster();
        match peer.state.apply_update(now, update, max_facts) {
            UpdateResult::TooManyFacts => return Err(CloseReason::TooManyFacts),
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

    /// Whether another site has announced of a cache that it takes no new work.
    pub fn is_cache_barred(&self, cache: &str) -> bool {
        self.links.peers.values().any(|peer| peer.state.has_barred_cache(cache))
    }

    /// Has the routes follow what is known of other sites now.
    pub(super) fn refresh_site_views(&mut self, now: Ms) {
        for site in self.sites.others() {
            let mut view = self.links.site_view(now, site, self.config.peers.state_lifetime);
            view.flapping = self.sites.name(site).is_some_and(|name| self.dialers.is_flapping(now, name));
            view.drained |= self.drained_sites.contains(&site);
            self.forwarder.routing.update_site(now, site, view);
        }
        self.views_refreshed_at = now;
    }

    /// How many caches of this site take new work, and the ratio of what it can carry that is in use.
    pub fn report_local_load(&mut self, now: Ms, caches: u32, utilization: f64) {
        let capacity = &mut self.forwarder.local_capacity;
        capacity.set_listed_caches(caches);
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
        self.forwarder.routing.set_own_view(view);
    }

    /// The operators drain a site, or take that back; false if the setup names no such site.
    pub fn set_drained(&mut self, now: Ms, name: &str, drained: bool) -> bool {
        let Some(site) = self.sites.id(name) else { return false };
        if site == OWN_SITE {
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
