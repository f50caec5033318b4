//! The endpoints of the endpoint list, with their connections.

use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;

use crate::discovery::event::EndpointEntry;
use crate::event_handler::EventHandler;
use crate::policy_adapter::{AttemptEnd, EndpointKey, Ms};

use super::connection::ConnectionId;
use super::Upstreams;

/// A cache, a parent or the origin in the endpoint list.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub uid: String,
    pub address: SocketAddr,
    started_at: Ms,
    /// When data was last received from it, in Unix milliseconds.
    pub last_activity: Ms,
    pub connections: Vec<ConnectionId>,
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.uid, self.address)
    }
}

impl<W: EventHandler> Upstreams<W> {
    /// The name and address of an endpoint for the log; empty if it is no longer in the endpoint list.
    pub(super) fn endpoint_label(&self, key: EndpointKey) -> String {
        self.endpoints.get(&key).map(Endpoint::to_string).unwrap_or_default()
    }

    /// Applies an update of the endpoint list. The connections of an endpoint that was removed or restarted
    /// are drained: another process may listen at its address now.
    pub fn update_endpoints(&mut self, now: Ms, entries: &[EndpointEntry], complete: bool) {
        self.revision += 1;
        let mut removed = Vec::new();
        if complete {
            let listed: HashSet<EndpointKey> =
                entries.iter().map(|entry| EndpointKey::of(&entry.uid)).collect();
            removed.extend(self.endpoints.keys().filter(|key| !listed.contains(key)));
        }
        self.withdraw_for_unusable(now, entries, &removed);
        let mut replaced = Vec::new();
        for entry in entries {
            let key = EndpointKey::of(&entry.uid);
            if entry.is_removed() {
                removed.push(key);
            } else if let Some(address) = entry.address {
                if self.update_endpoint(key, entry, address) {
                    replaced.push(key);
                }
            }
        }
        for key in replaced {
            let endpoint = self.endpoints.get_mut(&key);
            let connections = endpoint.map(|endpoint| std::mem::take(&mut endpoint.connections));
            self.drain(connections.unwrap_or_default());
        }
        // Endpoints are replaced continually: removed ones must not accumulate.
        for key in removed {
            let connections = self.endpoints.remove(&key).map(|endpoint| endpoint.connections);
            self.drain(connections.unwrap_or_default());
        }
    }

    /// Withdraws queued attempts to, or with a fill from, an endpoint that is draining, removed or replaced:
    /// they were ordered with an older list.
    fn withdraw_for_unusable(&mut self, now: Ms, entries: &[EndpointEntry], removed: &[EndpointKey]) {
        let mut unusable: HashSet<EndpointKey> = removed.iter().copied().collect();
        let is_unusable = |entry: &&EndpointEntry| !entry.is_ready() || self.is_replaced(entry);
        unusable.extend(entries.iter().filter(is_unusable).map(|entry| EndpointKey::of(&entry.uid)));
        self.withdraw(now, AttemptEnd::TimedOut, |key, queued| {
            unusable.contains(&key) || queued.sources.iter().any(|source| unusable.contains(source))
        });
    }

    /// Whether an entry of the list has another start time or address than the known endpoint.
    fn is_replaced(&self, entry: &EndpointEntry) -> bool {
        let known = self.endpoints.get(&EndpointKey::of(&entry.uid)).zip(entry.address);
        known.is_some_and(|(endpoint, address)| {
            endpoint.address != address || endpoint.started_at != entry.started_at()
        })
    }

    /// Adds or updates an endpoint; returns true if its start time or address changed.
    fn update_endpoint(&mut self, key: EndpointKey, entry: &EndpointEntry, address: SocketAddr) -> bool {
        let started_at = entry.started_at();
        match self.endpoints.get_mut(&key) {
            Some(endpoint) if endpoint.address == address && endpoint.started_at == started_at => false,
            Some(endpoint) => {
                endpoint.address = address;
                endpoint.started_at = started_at;
                true
            }
            None => {
                let endpoint = Endpoint {
                    uid: entry.uid.clone(),
                    address,
                    started_at,
                    last_activity: 0.0,
                    connections: Vec::new(),
                };
                self.endpoints.insert(key, endpoint);
                false
            }
        }
    }

    /// Drains connections: each is closed once nothing is open on it.
    fn drain(&mut self, connections: Vec<ConnectionId>) {
        for id in connections {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.draining = true;
            }
            self.close_if_drained(id);
        }
    }

    /// Records that data was received on a connection.
    pub(super) fn note_activity(&mut self, now: Ms, id: ConnectionId) {
        let key = self.connections.get(&id).map(|connection| connection.endpoint);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(&key)) {
            endpoint.last_activity = now;
        }
    }
}
