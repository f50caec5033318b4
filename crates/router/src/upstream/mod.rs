//! Connections to caches, parents and the origin, with the attempts in flight on them.
//!
//! - [`codec`]: the wire protocol of caches: encoding and decoding;
//! - [`connection`]: one connection, with its message queue and open exchanges;
//! - [`endpoints`]: the endpoints of the endpoint list;
//! - [`pool`]: choosing, opening and closing connections;
//! - [`transfer`]: reading and writing;
//! - [`attempt`], [`attempt_table`]: the types of an attempt, and the table of attempts in flight;
//! - [`sending`], [`cancellation`], [`completion`]: sending attempts, ending them without a reply, and
//!   completing them;
//! - [`health_check`]: health checks and their results;
//! - [`request`], [`response`]: the fields of requests and replies;
//! - [`timers`], [`deadlines`]: deadlines of attempts, health checks and connections.
//!
//! This module never chooses an endpoint. It never reports an attempt as not executed if the endpoint may
//! have executed it: only an attempt that was not written completely, or that the endpoint itself reports as
//! not executed, counts as such.

mod attempt;
mod attempt_table;
mod cancellation;
mod codec;
mod completion;
mod connection;
mod deadlines;
mod endpoints;
mod health_check;
mod pool;
mod request;
mod response;
mod sending;
mod timers;
mod transfer;

use std::collections::{BTreeSet, HashMap, VecDeque};

use calloop::{LoopHandle, Readiness};

use crate::buffers::BufferPool;
use crate::config::Limits;
use crate::descriptors::DescriptorReserve;
use crate::event_handler::EventHandler;
use crate::policy_adapter::{EndpointKey, Ms};
use crate::retry_queue::RetryQueue;
use crate::system_error::{source_of_transfer_error, ErrorSource};
use crate::turn::{ConnectionKind, ReadyQueue, READABLE_AND_WRITABLE};

use attempt_table::AttemptTable;
use connection::Connection;
use endpoints::Endpoint;
use health_check::HealthChecks;

pub use attempt::{AttemptOrder, CompletedAttempt, FillPath, RequestMessage, ResponsePayload};
pub use connection::ConnectionId;
pub use health_check::HealthCheckResult;
pub use response::{CopyVersion, FillLoop};

/// All connections to caches, parents and the origin. Outcomes are queued here until the proxy processes
/// them.
pub struct Upstreams<W: EventHandler> {
    limits: Limits,
    buffers: BufferPool,
    reserve: DescriptorReserve,
    handle: LoopHandle<'static, W>,
    endpoints: HashMap<EndpointKey, Endpoint>,
    connections: HashMap<ConnectionId, Connection>,
    last_id: ConnectionId,
    attempts: AttemptTable,
    health_checks: HealthChecks,
    completed: VecDeque<CompletedAttempt>,
    /// Connections that are writable again, with a next attempt that was queued longer than the client check
    /// interval: its client is checked before the attempt is written.
    stalled: BTreeSet<ConnectionId>,
    /// Connections on which a connect, read or write failed by an error of this machine.
    retries: RetryQueue<ConnectionId>,
    ready: ReadyQueue,
    /// Whether completed attempts carry the version of the copy that was served.
    pub reports_versions: bool,
    /// Increases with each update of the endpoint list and each purge.
    revision: u64,
    /// Connections opened since the start.
    pub connects: u64,
    /// Attempts that were still queued though their requests had ended. They were not sent.
    pub violations: u64,
}

impl<W: EventHandler> Upstreams<W> {
    /// Creates the component without endpoints and connections.
    pub fn new(
        limits: Limits,
        buffers: &BufferPool,
        reserve: &DescriptorReserve,
        ready: &ReadyQueue,
        handle: LoopHandle<'static, W>,
    ) -> Self {
        Self {
            limits,
            buffers: buffers.clone(),
            reserve: reserve.clone(),
            handle,
            endpoints: HashMap::new(),
            connections: HashMap::new(),
            last_id: 0,
            attempts: AttemptTable::default(),
            health_checks: HealthChecks::default(),
            completed: VecDeque::new(),
            stalled: BTreeSet::new(),
            retries: RetryQueue::default(),
            ready: ready.clone(),
            reports_versions: false,
            revision: 0,
            connects: 0,
            violations: 0,
        }
    }

    /// The next attempt that has completed.
    pub fn next_completed(&mut self) -> Option<CompletedAttempt> {
        self.completed.pop_front()
    }

    /// A number that increases with each update of the endpoint list and each purge: an older order may not be sent.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// The number of endpoints in the endpoint list.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// The number of open connections and connects in progress.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The number of calls that failed by an error of this machine, and were to be repeated.
    pub fn repeated_calls(&self) -> u64 {
        self.retries.failed_calls()
    }

    /// The bytes of incomplete replies, and of unwritten messages, of all connections.
    pub fn buffered_bytes(&self) -> (usize, usize) {
        let input = self.connections.values().map(Connection::input_bytes).sum();
        let output = self.connections.values().map(Connection::unwritten_bytes).sum();
        (input, output)
    }

    /// Marks a connection as ready: it is read, or written, when it is its turn.
    pub fn mark_ready(&mut self, id: ConnectionId, readiness: Readiness) {
        if self.connections.contains_key(&id) {
            self.ready.insert(ConnectionKind::Upstream, id, readiness);
        }
    }

    /// Marks all connections that are up as ready, whether or not they were reported.
    pub fn mark_all_ready(&mut self) {
        let mut ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        ids.sort_unstable();
        ids.into_iter().for_each(|id| self.mark_ready_if_connected(id));
    }

    fn mark_ready_if_connected(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::is_connected) {
            self.mark_ready(id, READABLE_AND_WRITABLE);
        }
    }

    /// Reads and writes a connection that is ready.
    pub fn serve(&mut self, now: Ms, id: ConnectionId, readiness: Readiness) {
        let readable = readiness.readable || readiness.error;
        let writable = readiness.writable || readiness.error;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_up() {
            match connection.connect_result() {
                Ok(()) if writable => {
                    connection.mark_up();
                    self.note_activity(now, id);
                }
                Ok(()) => return,
                // Not known: the first write tells.
                Err(error) if source_of_transfer_error(&error) == ErrorSource::Local => {
                    if !writable {
                        return;
                    }
                    connection.mark_up();
                }
                Err(error) => return self.close(now, id, &error.to_string()),
            }
        }
        if writable {
            self.flush(now, id);
        }
        if readable {
            self.read(now, id);
        }
    }

    /// Repeats the connects, reads and writes that failed by errors of this machine.
    fn retry(&mut self, now: Ms) {
        for id in self.retries.take_due(now) {
            let Some(connection) = self.connections.get(&id) else { continue };
            match connection.is_waiting() {
                true => self.retry_connect(now, id),
                false => self.mark_ready_if_connected(id),
            }
        }
    }
}
