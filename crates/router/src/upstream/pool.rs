//! The connection pool: choosing, opening and closing connections to endpoints.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use socket2::SockRef;

use crate::descriptors::DescriptorPurpose;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, EndpointKey, Ms};
use crate::sockets;
use crate::system_error::{is_out_of_descriptors, source_of_connect_error, ErrorSource};
use crate::turn::ConnectionKind;

use super::connection::{Connection, ConnectionId, Exchange, ExchangeOwner, UpstreamSocket};
use super::endpoints::Endpoint;
use super::Upstreams;

impl<W: EventHandler> Upstreams<W> {
    /// A connection for a message with this id: an idle one, a new one, or, at the connection limit, the one
    /// with the fewest open messages.
    ///
    /// Each attempt gets its own connection if possible: an unreachable machine does not read cancellations,
    /// and its open attempts stay open until their connection is closed.
    pub(super) fn connection_for(
        &mut self,
        now: Ms,
        key: EndpointKey,
        message_id: &str,
    ) -> Option<ConnectionId> {
        let endpoint = self.endpoints.get(&key)?;
        let address = endpoint.address;
        let connection_count = endpoint.connections.len();
        if let Some(idle) = self.latest_idle(endpoint, message_id) {
            return Some(idle);
        }
        if connection_count >= self.limits.upstreams.max_connections_per_endpoint {
            return self.least_loaded(key, message_id);
        }
        let is_full = self.connections.len() >= self.limits.upstreams.max_connections;
        if is_full && !self.close_longest_idle() {
            return self.least_loaded(key, message_id);
        }
        let id = self.last_id + 1;
        let mut socket = self.open_socket(id, address);
        if socket.as_ref().is_err_and(is_out_of_descriptors) && self.close_longest_idle() {
            socket = self.open_socket(id, address);
        }
        let deadline = now + self.limits.upstreams.local_retry_timeout_ms;
        let mut connection = Connection::new(key, &self.buffers, now, deadline);
        match socket {
            Ok(socket) => {
                connection.begin_connect(socket, now + self.limits.upstreams.connect_timeout_ms);
            }
            Err(error) => {
                self.log_failed_connect(key, &error);
                let least_loaded = self.least_loaded(key, message_id);
                if least_loaded.is_some() || source_of_connect_error(&error) == ErrorSource::Peer {
                    return least_loaded;
                }
                self.retries.insert(now, id);
            }
        }
        self.last_id = id;
        self.connections.insert(id, connection);
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.connections.push(id);
        }
        Some(id)
    }

    fn log_failed_connect(&self, key: EndpointKey, error: &io::Error) {
        log_line!(
            upstream = %self.endpoint_label(key),
            reason = %error,
            "connect to an upstream failed"
        );
    }

    /// Tries again to begin a connect that failed by an error of this machine.
    pub(super) fn retry_connect(&mut self, now: Ms, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.open.is_empty() {
            _ = self.remove(id);
            return;
        }
        let Some(address) = self.endpoints.get(&connection.endpoint).map(|endpoint| endpoint.address) else {
            return self.close(now, id, "endpoint was removed");
        };
        let key = connection.endpoint;
        match self.open_socket(id, address) {
            Ok(socket) => {
                let deadline = now + self.limits.upstreams.connect_timeout_ms;
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.begin_connect(socket, deadline);
                }
            }
            Err(error) if source_of_connect_error(&error) == ErrorSource::Local => {
                self.retries.insert(now, id);
            }
            Err(error) => {
                self.log_failed_connect(key, &error);
                self.close(now, id, &error.to_string());
            }
        }
    }

    /// The connections to an endpoint.
    fn connections_of<'a>(
        &'a self,
        endpoint: &'a Endpoint,
    ) -> impl Iterator<Item = (ConnectionId, &'a Connection)> {
        endpoint.connections.iter().filter_map(|id| Some((*id, self.connections.get(id)?)))
    }

    /// The most recently used idle connection that accepts a message with this id, so that the other ones reach the
    /// idle timeout.
    fn latest_idle(&self, endpoint: &Endpoint, id: &str) -> Option<ConnectionId> {
        let max_streams = self.limits.upstreams.max_streams_per_connection;
        let idle = self.connections_of(endpoint).filter(|(_, connection)| connection.is_idle());
        let usable = idle.filter(|(_, connection)| connection.accepts(id, max_streams));
        let latest = usable.max_by(|(_, a), (_, b)| a.last_used.total_cmp(&b.last_used));
        latest.map(|(found, _)| found)
    }

    /// The connection to an endpoint with the fewest open messages that accepts a message with this id.
    fn least_loaded(&self, key: EndpointKey, id: &str) -> Option<ConnectionId> {
        let max_streams = self.limits.upstreams.max_streams_per_connection;
        let all = self.connections_of(self.endpoints.get(&key)?);
        let usable = all.filter(|(_, connection)| connection.accepts(id, max_streams));
        let least_loaded = usable.min_by_key(|(_, connection)| connection.open.len());
        least_loaded.map(|(found, _)| found)
    }

    /// Closes the connection that has been idle longest; returns false if no connection is idle.
    ///
    /// Without this, idle connections to other endpoints could keep an endpoint unreachable.
    fn close_longest_idle(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        let oldest = idle.min_by(|(m, a), (n, b)| a.last_used.total_cmp(&b.last_used).then(m.cmp(n)));
        let oldest = oldest.map(|(id, _)| *id);
        oldest.is_some_and(|id| self.remove(id).is_some())
    }

    /// Begins a connect for the connection with this id.
    fn open_socket(&mut self, id: ConnectionId, address: SocketAddr) -> io::Result<UpstreamSocket> {
        let stream = Rc::new(self.reserve.open(DescriptorPurpose::Cache, || sockets::connect(address))?);
        // A small send buffer: bytes in the system's buffer can no longer be withdrawn.
        if let Err(error) =
            SockRef::from(&*stream).set_send_buffer_size(self.limits.upstreams.send_buffer_bytes)
        {
            log_line!(
                upstream = %address,
                reason = %error,
                "setting the send buffer size of a connection to an upstream failed"
            );
        }
        self.connects += 1;
        let on_ready = move |handler: &mut W, readiness| handler.on_upstream_ready(id, readiness);
        let token = sockets::register_stream(&self.handle, &stream, on_ready)?;
        Ok(UpstreamSocket { stream, token })
    }

    /// Closes idle connections to an endpoint from which nothing was received since `sent_at`: they may be as
    /// dead as the one on which an attempt was abandoned, and new connections show whether the endpoint still
    /// accepts any.
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

    /// Closes a connection to which a cancellation could not be written at once: until it is, the cancelled
    /// message may be executed while a retry is in flight.
    pub(super) fn close_if_cancellation_unsent(&mut self, now: Ms, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::has_unsent_cancellation) {
            self.close(now, id, "cancellation could not be written");
        }
    }

    /// Closes a draining connection that has no open messages.
    pub(super) fn close_if_drained(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::is_drained) {
            self.remove(id);
        }
    }

    /// Removes and closes a connection. The caller ends its open exchanges.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let mut connection = self.connections.remove(&id)?;
        self.retries.remove(id);
        self.ready.remove(ConnectionKind::Upstream, id);
        if let Some(socket) = connection.take_socket() {
            self.handle.remove(socket.token);
        }
        if let Some(endpoint) = self.endpoints.get_mut(&connection.endpoint) {
            endpoint.connections.retain(|&other| other != id);
        }
        Some(connection)
    }

    /// Closes a connection and ends its open exchanges. A message that was not written completely was not
    /// executed.
    pub(super) fn close(&mut self, now: Ms, id: ConnectionId, reason: &str) {
        let Some(connection) = self.remove(id) else { return };
        let key = connection.endpoint;
        let unsent_end = connection.unsent_end();
        if !connection.open.is_empty() {
            log_line!(
                upstream = %self.endpoint_label(key),
                open = connection.open.len(),
                %reason,
                "connection to an upstream closed with open messages"
            );
        }
        let mut open: Vec<Exchange> = connection.open.into_values().collect();
        open.sort_by_key(|exchange| match exchange.owner {
            ExchangeOwner::Attempt(attempt) => Some(attempt),
            ExchangeOwner::HealthCheck => None,
        });
        for exchange in open {
            self.end_exchange(now, key, &exchange, unsent_end);
        }
    }

    /// Ends an exchange whose connection is closed, or is not written any more.
    ///
    /// `unsent_end` is how an attempt ends that was not sent completely.
    pub(super) fn end_exchange(
        &mut self,
        now: Ms,
        key: EndpointKey,
        exchange: &Exchange,
        unsent_end: AttemptEnd,
    ) {
        let attempt = match exchange.owner {
            ExchangeOwner::HealthCheck if unsent_end == AttemptEnd::NotSentLocally => return,
            ExchangeOwner::HealthCheck => return self.health_checks.fail(key),
            ExchangeOwner::Attempt(attempt) => attempt,
        };
        let Some(in_flight) = self.attempts.remove(attempt) else { return };
        let end = if exchange.fully_sent { AttemptEnd::ConnectionLost } else { unsent_end };
        self.complete(now, attempt, key, in_flight.sent_at, end);
    }
}
