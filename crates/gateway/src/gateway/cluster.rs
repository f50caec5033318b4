//! Links with routers of the local site: they carry gossip entries, and no requests.

use linnethook::interface::Ms;

use super::{Action, ConnectionId, Gateway};
use crate::codec::Message;
use crate::session::CloseReason;
use crate::site_state::{Fact, FactKey, FactValue, StatePosition};

/// The approximate limit on the bytes of entries in one frame.
const MAX_UPDATE_BYTES: usize = 128 << 10;

/// A gossip entry or message for a router of the local site. The gateway does not interpret it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// The key. A later entry replaces an earlier one with the same key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
}

impl Gateway {
    /// Requests all entries that were not received yet, and those that follow, on a connection.
    pub(super) fn request_peer_state(&mut self, connection: ConnectionId) {
        let position = self.links.peer_of(connection).map(|peer| peer.state.position());
        self.links.send(connection, &Message::StateRequest(position.unwrap_or_default()));
        self.links.request_write(connection);
    }

    pub(super) fn handle_peer_entries(&mut self, connection: ConnectionId, facts: Vec<Fact>) {
        let Some(peer) = self.links.peer_of(connection).filter(|peer| peer.is_in_cluster()) else { return };
        let name = peer.node.clone();
        for Fact { key, value } in facts {
            if let (FactKey::PeerEntry(key), FactValue::PeerEntry(entry)) = (key, value) {
                self.links.push(Action::PeerEntry { name: name.clone(), key, entry });
            }
        }
    }

    /// Sends entries to all routers of the local site, including those that connect later.
    pub fn broadcast_to_peers(&mut self, now: Ms, entries: Vec<PeerEntry>) {
        let Some(published) = &mut self.peer_entries else { return };
        for PeerEntry { key, value } in entries {
            published.publish(now, FactKey::PeerEntry(key), FactValue::PeerEntry(value));
        }
        for connection in self.links.cluster_connections() {
            // A router that has not requested entries yet receives them when it does.
            let site_connection = self
                .links
                .connections
                .get(&connection)
                .filter(|site_connection| site_connection.sends_peer_state);
            if let Some(version) = site_connection.map(|site_connection| site_connection.session.sent_version)
            {
                self.send_peer_state(connection, StatePosition { epoch: self.epoch, version });
            }
        }
    }

    /// Stops sending an entry to routers that connect later.
    pub fn remove_peer_entry(&mut self, key: Vec<u8>) {
        if let Some(published) = &mut self.peer_entries {
            published.remove(&FactKey::PeerEntry(key));
        }
    }

    /// Sends the entries that follow a position of the peer.
    pub(super) fn send_peer_state(&mut self, connection: ConnectionId, position: StatePosition) {
        let Some(published) = &self.peer_entries else { return };
        let Some(site_connection) = self.links.connections.get_mut(&connection) else { return };
        site_connection.sends_peer_state = true;
        for update in published.update_chunks(position, MAX_UPDATE_BYTES) {
            site_connection.session.sent_version = update.version;
            site_connection.session.send(&Message::StateUpdate(update));
        }
        self.links.request_write(connection);
    }

    /// Sends entries to one router of the local site.
    pub fn send_to_peer(&mut self, name: &str, entries: Vec<PeerEntry>) {
        let peers = self.links.peers.values().filter(|peer| peer.is_in_cluster() && peer.node == name);
        let connection = peers.filter_map(|peer| peer.connections.first().copied()).next();
        let Some(connection) = connection else { return };
        let fact = |PeerEntry { key, value }| Fact::new(FactKey::PeerEntry(key), FactValue::PeerEntry(value));
        self.links.send(connection, &Message::DirectFacts(entries.into_iter().map(fact).collect()));
        self.links.request_write(connection);
    }

    /// Closes the links with routers of the local site, and opens and accepts no more of them.
    pub fn disconnect_peers(&mut self, now: Ms) {
        self.peer_entries = None;
        for connection in self.links.cluster_connections() {
            self.close_connection(now, connection, CloseReason::Stopped);
        }
        self.dialers.abandon_site(self.sites.local());
    }
}
