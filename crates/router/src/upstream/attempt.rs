//! Attempts: how one is ordered, sent, cancelled and timed out, and how it completes.

use std::collections::{BTreeMap, BTreeSet};

use crate::buffers::BufferChain;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::{
    micros, AttemptEnd, AttemptKey, AttemptReport, CacheResult, EndpointKey, FillSpec, Ms, Ticket,
};

use super::codec::{self, FieldList, Reply, ReplyStatus};
use super::connection::{ConnectionId, ExchangeOwner, QueuedMessage};
use super::response::{self, CopyVersion, FillLoop};
use super::Upstreams;

/// The parts of a client's request that are forwarded unchanged.
#[derive(Debug)]
pub struct RequestMessage {
    pub id: String,
    pub class: String,
    pub object: String,
    pub part: String,
    /// The group of the object.
    pub group: u32,
    /// The tag of the copy that the client holds.
    pub client_copy: Option<String>,
    /// By which caches recognize a repeated request.
    pub idempotency_key: Option<String>,
    pub body: BufferChain,
}

/// An attempt as the policy ordered it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptOrder {
    pub attempt: AttemptKey,
    pub endpoint: EndpointKey,
    /// How long it may take, in milliseconds.
    pub timeout: Ms,
    pub fill: FillSpec,
}

/// Fields that go with a fill where nodes understand them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FillPath {
    /// The nodes passed so far, with the version of the hierarchy.
    pub passed: String,
    /// Where the source continues if it lacks the object; a name that ends with `:h` gives only what it has cached.
    pub via: Vec<String>,
}

/// What the reply to an attempt carried.
#[derive(Debug)]
pub enum ResponsePayload {
    Empty,
    /// The object, and which copy of it that is, where that is asked for and reported.
    Body(BufferChain, Option<CopyVersion>),
    /// The client's own copy is valid.
    NotModified,
}

/// An attempt that has ended.
#[derive(Debug)]
pub struct CompletedAttempt {
    pub report: AttemptReport,
    pub payload: ResponsePayload,
    /// Where its fill came back to a node that it had passed.
    pub fill_loop: Option<FillLoop>,
}

/// An attempt that was handed to a connection.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    connection: ConnectionId,
    endpoint: EndpointKey,
    id: String,
    pub sent: Ms,
    deadline_us: u64,
    /// The tag of the copy that the client holds.
    client_copy: Option<String>,
}

/// The attempts in flight, and their deadlines.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// In microseconds.
    deadlines: BTreeSet<(u64, AttemptKey)>,
}

impl AttemptTable {
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    fn insert(&mut self, attempt: AttemptKey, in_flight: InFlightAttempt) {
        self.deadlines.insert((in_flight.deadline_us, attempt));
        self.in_flight.insert(attempt, in_flight);
    }

    pub fn remove(&mut self, attempt: AttemptKey) -> Option<InFlightAttempt> {
        let in_flight = self.in_flight.remove(&attempt)?;
        self.deadlines.remove(&(in_flight.deadline_us, attempt));
        Some(in_flight)
    }

    /// The attempts of a request, in the order sent.
    fn of_request(&self, ticket: Ticket) -> impl Iterator<Item = (AttemptKey, &InFlightAttempt)> {
        let range = AttemptKey { ticket, number: 0 }..=AttemptKey { ticket, number: u8::MAX };
        self.in_flight.range(range).map(|(attempt, in_flight)| (*attempt, in_flight))
    }

    pub fn next_deadline(&self) -> Option<Ms> {
        self.deadlines.first().map(|(deadline, _)| *deadline as Ms / 1000.0)
    }

    /// The next attempt whose deadline has passed; its deadline is forgotten.
    pub fn pop_overdue(&mut self, now: Ms) -> Option<AttemptKey> {
        let next = *self.deadlines.first().filter(|(deadline, _)| *deadline <= micros(now))?;
        self.deadlines.remove(&next);
        Some(next.1)
    }
}

impl<W: EventHandler> Upstreams<W> {
    /// Sends an attempt.
    pub fn send(
        &mut self,
        now: Ms,
        order: &AttemptOrder,
        message: &RequestMessage,
        fill_path: Option<&FillPath>,
    ) {
        let AttemptOrder { attempt, endpoint, timeout, ref fill } = *order;
        let Some(id) = self.connection_for(now, endpoint, &message.id) else {
            log_line!("no connection for an attempt");
            return self.complete(now, attempt, endpoint, now, AttemptEnd::NotSent);
        };
        let fields = self.request_fields(order, message, fill_path);
        let bytes = codec::encode_request(&self.buffers, &message.id, &fields, message.body.duplicate());
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let object = u64::from_str_radix(&message.object, 16).ok();
        let queued = QueuedMessage {
            id: Some(message.id.clone()),
            attempt: Some(attempt),
            source: fill.source,
            object: object.map(|object| (object, message.group)),
            queued_at: now,
            bytes,
        };
        connection.enqueue(now, queued, ExchangeOwner::Attempt(attempt));
        let in_flight = InFlightAttempt {
            connection: id,
            endpoint,
            id: message.id.clone(),
            sent: now,
            deadline_us: micros(now + timeout.max(0.0)),
            client_copy: message.client_copy.clone(),
        };
        self.attempts.insert(attempt, in_flight);
        self.flush(now, id);
    }

    fn request_fields(
        &self,
        order: &AttemptOrder,
        message: &RequestMessage,
        fill_path: Option<&FillPath>,
    ) -> FieldList {
        let fill = &order.fill;
        let mut fields = FieldList::default();
        fields.push("kind", &message.class);
        fields.push("obj", &message.object);
        fields.push("seg", &message.part);
        fields.push("ms", order.timeout.ceil().max(1.0));
        if let Some(source) = fill.source.and_then(|source| self.endpoints.get(&source)) {
            fields.push("parent", &source.uid);
            let hints = [(fill.coalesce, "j"), (fill.only_if_cached, "h"), (fill.revalidate, "r")];
            let hints: Vec<&str> = hints.iter().filter(|(set, _)| *set).map(|(_, hint)| *hint).collect();
            if !hints.is_empty() {
                fields.push("hints", hints.join("+"));
            }
        }
        if fill.retention > 0 {
            fields.push("shelf", fill.retention);
        }
        if fill.max_age > 0.0 {
            // Rounded down, for a copy must not be older; but 0 would mean any fresh one.
            fields.push("accept", fill.max_age.floor().max(1.0));
        }
        if let Some(key) = &message.idempotency_key {
            fields.push("token", key);
        }
        if let Some(tag) = &message.client_copy {
            fields.push("got", tag);
        }
        if let Some(path) = fill_path {
            fields.push("passed", &path.passed);
            if !path.via.is_empty() {
                fields.push("via", path.via.join("+"));
            }
        }
        fields
    }

    /// Completes an attempt as cancelled that was never sent: nobody waits for it any more.
    pub fn cancel_unsent(&mut self, now: Ms, attempt: AttemptKey, endpoint: EndpointKey) {
        self.complete(now, attempt, endpoint, now, AttemptEnd::Cancelled);
    }

    /// Completes an attempt as rejected whose fill was not admitted: it was never sent, and that is no fault of its
    /// endpoint.
    pub fn reject_unsent(&mut self, now: Ms, attempt: AttemptKey, endpoint: EndpointKey, since: Ms) {
        let (elapsed, cache_result) = (now - since, Some(CacheResult::NoCapacity));
        let report = AttemptReport {
            attempt,
            endpoint,
            end: AttemptEnd::Rejected,
            elapsed,
            source_wait: elapsed,
            cache_result,
            gauges: Vec::new(),
        };
        self.push_completed(report);
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, now: Ms, attempt: AttemptKey) {
        self.abandon(now, attempt, AttemptEnd::Cancelled);
    }

    /// Withdraws what is still queued of a purged object or group: its age limit is from before the purge.
    ///
    /// A connect may last longer than the grace of a purge.
    pub fn withdraw_purged(&mut self, now: Ms, object: Option<u64>, group: u32) {
        self.withdraw(now, AttemptEnd::TimedOut, |_, queued| {
            let matches =
                |(own, own_group): (u64, u32)| object.map_or(own_group == group, |object| object == own);
            queued.object.is_some_and(matches)
        });
    }

    /// Withdraws what is still queued of a request that nobody waits for any more.
    ///
    /// This is not a cancellation, which settings may forbid: nothing has reached a cache yet.
    pub fn withdraw_request(&mut self, now: Ms, ticket: Ticket) {
        let is_queued = |attempt: AttemptKey, in_flight: &InFlightAttempt| {
            let connection = self.connections.get(&in_flight.connection);
            connection.is_some_and(|connection| connection.has_queued(attempt))
        };
        let of_request = self.attempts.of_request(ticket);
        let queued = of_request.filter(|(attempt, in_flight)| is_queued(*attempt, in_flight));
        let queued: Vec<AttemptKey> = queued.map(|(attempt, _)| attempt).collect();
        queued.into_iter().for_each(|attempt| self.abandon(now, attempt, AttemptEnd::Cancelled));
    }

    /// Withdraws queued attempts of which not a byte was written.
    pub(super) fn withdraw(
        &mut self,
        now: Ms,
        end: AttemptEnd,
        matches: impl Fn(EndpointKey, &QueuedMessage) -> bool,
    ) {
        let mut withdrawn = Vec::new();
        for connection in self.connections.values().filter(|connection| !connection.queue.is_empty()) {
            let matching = connection.queue.iter().filter(|queued| matches(connection.endpoint, queued));
            withdrawn.extend(matching.filter_map(|queued| queued.attempt));
        }
        withdrawn.sort_unstable();
        withdrawn.into_iter().for_each(|attempt| self.abandon(now, attempt, end));
    }

    /// The next connection that accepts data again while attempts have been queued on it for a while, and their requests:
    /// the clients of these are checked before the queue is written.
    pub fn next_stalled(&mut self) -> Option<(ConnectionId, Vec<Ticket>)> {
        let id = self.stalled.pop_first()?;
        let queue = self.connections.get(&id).map(|connection| &connection.queue);
        let attempts = queue.into_iter().flatten().filter_map(|queued| queued.attempt);
        Some((id, attempts.map(|attempt| attempt.ticket).collect()))
    }

    pub(super) fn on_reply(&mut self, now: Ms, id: ConnectionId, reply: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_used = now;
        // Without an exchange it crossed the request's cancellation.
        let Some(exchange) = connection.open.remove(&reply.id) else { return };
        let endpoint = connection.endpoint;
        let gauges = response::load_report(&reply.fields);
        let attempt = match exchange.owner {
            ExchangeOwner::Attempt(attempt) => attempt,
            ExchangeOwner::HealthCheck => {
                self.health_checks.report(endpoint, reply.status == ReplyStatus::Healthy, gauges);
                return self.close_if_drained(id);
            }
        };
        let Some(in_flight) = self.attempts.remove(attempt) else { return };
        if !matches!(reply.status, ReplyStatus::Data | ReplyStatus::Unchanged) {
            connection.retired_ids.insert(reply.id);
            connection.draining |=
                connection.retired_ids.len() >= self.limits.upstreams.max_streams_per_connection;
        }
        let source_wait = reply.fields.get("first").and_then(|first| first.parse().ok()).unwrap_or(0.0);
        let cache_result = reply.fields.get("res").and_then(response::cache_result);
        let fill_loop = reply.fields.get("round").and_then(FillLoop::parse);
        let (end, payload) = self.outcome(&in_flight, reply.status, &reply.fields, reply.body);
        let report = AttemptReport {
            attempt,
            endpoint,
            end,
            elapsed: now - in_flight.sent,
            source_wait,
            cache_result,
            gauges,
        };
        self.completed.push_back(CompletedAttempt { report, payload, fill_loop });
        self.close_if_drained(id);
    }

    fn outcome(
        &self,
        in_flight: &InFlightAttempt,
        status: ReplyStatus,
        fields: &FieldList,
        body: BufferChain,
    ) -> (AttemptEnd, ResponsePayload) {
        let end = match status {
            ReplyStatus::Data => {
                let version = if self.reports_versions { CopyVersion::of_reply(fields) } else { None };
                return (AttemptEnd::Answered, ResponsePayload::Body(body, version));
            }
            // Valid only for the copy that this client holds.
            ReplyStatus::Unchanged if names_copy(&in_flight.client_copy, fields) => {
                return (AttemptEnd::Answered, ResponsePayload::NotModified);
            }
            ReplyStatus::Absent => AttemptEnd::CacheMiss,
            ReplyStatus::Full => AttemptEnd::Rejected,
            ReplyStatus::Moot => AttemptEnd::NotExecuted,
            ReplyStatus::Unchanged | ReplyStatus::Failed | ReplyStatus::Healthy | ReplyStatus::Unhealthy => {
                AttemptEnd::Failed
            }
        };
        (end, ResponsePayload::Empty)
    }

    /// Ends an attempt that is in flight without a reply. Where it may be executed, it is cancelled at its endpoint.
    pub(super) fn abandon(&mut self, now: Ms, attempt: AttemptKey, end: AttemptEnd) {
        let Some(in_flight) = self.attempts.remove(attempt) else { return };
        let mut end = end;
        if let Some(connection) = self.connections.get_mut(&in_flight.connection) {
            let exchange = connection.open.remove(&in_flight.id);
            let fully_sent = exchange.is_some_and(|exchange| exchange.fully_sent);
            let endpoint = self.endpoints.get(&in_flight.endpoint);
            let silent = endpoint.is_none_or(|endpoint| endpoint.last_activity < in_flight.sent);
            if connection.remove_queued(attempt) {
                // Not a byte of it was written: there is nothing to cancel.
            } else if connection.open.is_empty() {
                self.remove(in_flight.connection);
            } else if silent {
                // A silent endpoint reads no cancellation: what shares the connection ends with it.
                self.close(now, in_flight.connection, "silent");
            } else {
                connection.draining = true;
                let bytes = codec::encode_cancellation(&self.buffers, &in_flight.id);
                connection.queue.push_front(QueuedMessage::control(None, now, bytes));
                self.flush(now, in_flight.connection);
                self.close_if_cancellation_waits(now, in_flight.connection);
            }
            if end == AttemptEnd::TimedOut && !fully_sent {
                end = AttemptEnd::NotSent;
            }
        }
        self.complete(now, attempt, in_flight.endpoint, in_flight.sent, end);
        self.close_idle_if_silent(in_flight.endpoint, in_flight.sent);
        self.flush(now, in_flight.connection);
    }

    /// Reports the end of an attempt that was not answered.
    pub(super) fn complete(
        &mut self,
        now: Ms,
        attempt: AttemptKey,
        endpoint: EndpointKey,
        sent: Ms,
        end: AttemptEnd,
    ) {
        let report = AttemptReport {
            attempt,
            endpoint,
            end,
            elapsed: now - sent,
            source_wait: 0.0,
            cache_result: None,
            gauges: Vec::new(),
        };
        self.push_completed(report);
    }

    fn push_completed(&mut self, report: AttemptReport) {
        let (payload, fill_loop) = (ResponsePayload::Empty, None);
        self.completed.push_back(CompletedAttempt { report, payload, fill_loop });
    }
}

/// Whether a reply names the copy that the client holds.
fn names_copy(client_copy: &Option<String>, fields: &FieldList) -> bool {
    client_copy.is_some() && client_copy.as_deref() == fields.get("digest")
}
