//! The endpoints and their connections: which connection a message takes, and when connections are opened and closed.

use std::collections::HashSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use socket2::SockRef;

use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::discovery::event::EndpointEntry;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, EndpointKey, Ms};
use crate::sockets;

use super::connection::{Connection, ConnectionId, Exchange, ExchangeOwner, WriteProgress};
use super::Upstreams;

/// A cache, parent or the origin, as the endpoint list has it.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub uid: String,
    address: SocketAddr,
    started_at: Ms,
    /// When something was last received from it.
    pub last_activity: Ms,
    connections: Vec<ConnectionId>,
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.uid, self.address)
    }
}

impl<W: EventHandler> Upstreams<W> {
    /// The name and the address of an endpoint for the log; empty for one that is no longer listed.
    pub(super) fn endpoint_label(&self, key: EndpointKey) -> String {
        self.endpoints.get(&key).map(Endpoint::to_string).unwrap_or_default()
    }

    /// Applies an update of the endpoint list. An endpoint that was removed or restarted gets fresh connections: another
    /// process may answer at its address now.
    pub fn update_endpoints(&mut self, now: Ms, entries: &[EndpointEntry], complete: bool) {
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
        // Endpoints are replaced all day: those that are removed must not accumulate.
        for key in removed {
            let connections = self.endpoints.remove(&key).map(|endpoint| endpoint.connections);
            self.drain(connections.unwrap_or_default());
        }
    }

    /// Withdraws what is queued for, or fills from, an endpoint that drains, is removed or was replaced: it was ordered by an
    /// older list.
    fn withdraw_for_unusable(&mut self, now: Ms, entries: &[EndpointEntry], removed: &[EndpointKey]) {
        let mut unusable: HashSet<EndpointKey> = removed.iter().copied().collect();
        let is_unusable = |entry: &&EndpointEntry| !entry.is_ready() || self.is_replaced(entry);
        unusable.extend(entries.iter().filter(is_unusable).map(|entry| EndpointKey::of(&entry.uid)));
        self.withdraw(now, AttemptEnd::TimedOut, |key, queued| {
            unusable.contains(&key) || queued.source.is_some_and(|source| unusable.contains(&source))
        });
    }

    /// Whether a line of the list names another process, or another address, than the known one.
    fn is_replaced(&self, entry: &EndpointEntry) -> bool {
        let known = self.endpoints.get(&EndpointKey::of(&entry.uid)).zip(entry.address);
        known.is_some_and(|(endpoint, address)| {
            endpoint.address != address || endpoint.started_at != entry.started_at()
        })
    }

    /// Stores an endpoint; true where it replaces another process or address.
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

    /// Lets connections finish what is open on them, and then closes them.
    fn drain(&mut self, connections: Vec<ConnectionId>) {
        for id in connections {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.draining = true;
            }
            self.close_if_drained(id);
        }
    }

    /// A connection for a message under that id: an idle one, a new one, or, at the limit of connections, the one with
    /// the fewest open messages.
    ///
    /// Each attempt gets a connection for itself where possible: a machine that has vanished reads no cancellation, and
    /// what is open there stays open until its connection is closed.
    pub(super) fn connection_for(&mut self, now: Ms, key: EndpointKey, id: &str) -> Option<ConnectionId> {
        let endpoint = self.endpoints.get(&key)?;
        let max_streams = self.limits.upstreams.max_streams_per_connection;
        let known = endpoint.connections.iter().filter_map(|id| self.connections.get(id).map(|c| (*id, c)));
        let usable: Vec<(ConnectionId, &Connection)> =
            known.filter(|(_, connection)| connection.accepts(id, max_streams)).collect();
        // The most recently used one, so that the others become old enough to be closed.
        let idle = usable.iter().filter(|(_, connection)| connection.is_idle());
        let latest = idle.max_by(|(_, a), (_, b)| a.last_used.total_cmp(&b.last_used));
        if let Some((found, _)) = latest {
            return Some(*found);
        }
        let least_loaded = usable.iter().min_by_key(|(_, connection)| connection.open.len());
        let least_loaded = least_loaded.map(|(found, _)| *found);
        let address = endpoint.address;
        if endpoint.connections.len() >= self.limits.upstreams.max_connections_per_endpoint
            || (self.connections.len() >= self.limits.upstreams.max_connections && !self.close_longest_idle())
        {
            return least_loaded;
        }
        let mut opened = self.open_connection(now, key, address);
        if opened.as_ref().is_err_and(is_out_of_descriptors) && self.close_longest_idle() {
            opened = self.open_connection(now, key, address);
        }
        match opened {
            Ok(opened) => Some(opened),
            Err(error) => {
                log_line!(upstream = %self.endpoint_label(key), reason = %error, "connect to an upstream failed");
                least_loaded
            }
        }
    }

    /// Closes the connection that has been idle for longest; false where each has something open.
    ///
    /// Without this an endpoint could not be reached because others were busy a while ago.
    fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let oldest = idle.min_by(|(m, a), (n, b)| a.last_used.total_cmp(&b.last_used).then(m.cmp(n)));
        let oldest = oldest.map(|(id, _)| *id);
        oldest.is_some_and(|id| self.remove(id).is_some())
    }

    fn open_connection(
        &mut self,
        now: Ms,
        key: EndpointKey,
        address: SocketAddr,
    ) -> io::Result<ConnectionId> {
        let stream = Rc::new(self.reserve.open(DescriptorPurpose::Cache, || sockets::connect(address))?);
        // Bytes that the system holds can't be withdrawn any more.
        if let Err(error) =
            SockRef::from(&*stream).set_send_buffer_size(self.limits.upstreams.send_buffer_bytes)
        {
            log_line!(upstream = %self.endpoint_label(key), reason = %error, "a connection keeps its send buffer");
        }
        self.connects += 1;
        self.last_id += 1;
        let id = self.last_id;
        let on_ready = move |handler: &mut W, readiness| handler.on_upstream_ready(id, readiness);
        let token = sockets::register_stream(&self.handle, &stream, on_ready)?;
        let deadline = now + self.limits.upstreams.connect_timeout_ms;
        let connection = Connection::new(key, stream, token, &self.buffers, now, deadline);
        self.connections.insert(id, connection);
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.connections.push(id);
        }
        Ok(id)
    }

    /// Notes that something was received on a connection.
    pub(super) fn note_activity(&mut self, now: Ms, id: ConnectionId) {
        let key = self.connections.get(&id).map(|connection| connection.endpoint);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(&key)) {
            endpoint.last_activity = now;
        }
    }

    /// Closes idle connections to an endpoint that has been silent since `sent_at`: they may be as dead as the one on which
    /// an attempt was abandoned, and new ones show whether it still accepts any.
    pub(super) fn close_idle_if_silent(&mut self, key: EndpointKey, sent_at: Ms) {
        let Some(endpoint) = self.endpoints.get(&key).filter(|endpoint| endpoint.last_activity < sent_at)
        else {
            return;
        };
        for id in endpoint.connections.clone() {
            if self.connections.get(&id).is_some_and(Connection::is_idle) {
                self.remove(id);
            }
        }
    }

    /// Reads and handles all replies that have arrived.
    pub(super) fn read(&mut self, now: Ms, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            match connection.read() {
                Ok(0) => return self.close(now, id, "closed"),
                Ok(_) => self.note_activity(now, id),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.close_if_out_of_step(now, id);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return self.close(now, id, &error.to_string()),
            }
            loop {
                let Some(connection) = self.connections.get_mut(&id) else { return };
                match connection.next_reply(self.limits.upstreams.max_string_bytes) {
                    Ok(Some(reply)) => self.on_reply(now, id, reply),
                    Ok(None) => break,
                    Err(error) => return self.close(now, id, &error.to_string()),
                }
            }
        }
    }

    /// Writes what is queued, but for attempts whose clients have to be checked first.
    pub(super) fn flush(&mut self, now: Ms, id: ConnectionId) {
        self.write(now, id, now - self.limits.clients.check_interval_ms);
    }

    /// Writes what is queued, however long it has been queued.
    pub fn write_queued(&mut self, now: Ms, id: ConnectionId) {
        self.write(now, id, f64::NEG_INFINITY);
    }

    /// Writes what the system takes, but no attempt that was queued before `oldest`.
    fn write(&mut self, now: Ms, id: ConnectionId, oldest: Ms) {
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.is_up()) else {
            return;
        };
        match connection.write(oldest) {
            Ok(WriteProgress::Done) => {}
            Ok(WriteProgress::Stalled) => _ = self.stalled.insert(id),
            Err(error) => self.close(now, id, &error.to_string()),
        }
    }

    /// Closes a connection that does not take a cancellation at once: until it does, the cancelled message may be
    /// executed while a retry is in flight.
    pub(super) fn close_if_cancellation_waits(&mut self, now: Ms, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::has_unsent_cancellation) {
            self.close(now, id, "it takes no more");
        }
    }

    /// Closes a connection on which a reply has begun though nothing is open: the reply to the next message would come
    /// behind it, if at all.
    fn close_if_out_of_step(&mut self, now: Ms, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::has_unexpected_input) {
            let upstream =
                self.connections.get(&id).map(|connection| self.endpoint_label(connection.endpoint));
            log_line!(upstream = %upstream.unwrap_or_default(), "an answer that nobody asked for ends its connection");
            self.close(now, id, "an answer that nobody asked for");
        }
    }

    /// Closes a connection that takes no new messages once nothing is open on it.
    pub(super) fn close_if_drained(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::is_drained) {
            self.remove(id);
        }
    }

    /// Closes a connection; what is open on it is not ended here.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.handle.remove(connection.token);
        if let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) {
            endpoint.connections.retain(|&other| other != id);
        }
        Some(connection)
    }

    /// Closes a connection and ends all that is open on it. What was not written in full was not executed.
    pub(super) fn close(&mut self, now: Ms, id: ConnectionId, reason: &str) {
        let Some(connection) = self.remove(id) else { return };
        let key = connection.endpoint;
        if !connection.open.is_empty() {
            let upstream = self.endpoint_label(key);
            let open = connection.open.len();
            log_line!(%upstream, open, %reason, "a connection ended with messages open");
        }
        let mut open: Vec<Exchange> = connection.open.into_values().collect();
        open.sort_by_key(|exchange| match exchange.owner {
            ExchangeOwner::Attempt(attempt) => Some(attempt),
            ExchangeOwner::HealthCheck => None,
        });
        for exchange in open {
            match exchange.owner {
                ExchangeOwner::HealthCheck => self.health_checks.fail(key),
                ExchangeOwner::Attempt(attempt) => {
                    let Some(in_flight) = self.attempts.remove(attempt) else { continue };
                    let end =
                        if exchange.fully_sent { AttemptEnd::ConnectionLost } else { AttemptEnd::NotSent };
                    self.complete(now, attempt, key, in_flight.sent_at, end);
                }
            }
        }
    }
}
