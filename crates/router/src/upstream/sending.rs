//! Sending attempts.

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::permission::{self, SendOrder};
use crate::policy_adapter::{AttemptEnd, AttemptKey, AttemptReport, CacheResult, EndpointKey, Ms};

use super::attempt::{AttemptOrder, FillPath, RequestMessage};
use super::attempt_table::InFlightAttempt;
use super::connection::{ExchangeOwner, MessageContent, QueuedMessage, RequestedObject};
use super::request::RequestFields;
use super::Upstreams;

impl<W: EventHandler> Upstreams<W> {
    /// Queues an attempt on a connection to its endpoint, and writes as much as possible. Without a
    /// connection, or if it may no longer be sent, it completes as not sent.
    pub fn send(
        &mut self,
        now: Ms,
        order: &AttemptOrder,
        message: &RequestMessage,
        fill_path: Option<&FillPath>,
    ) {
        let AttemptOrder { attempt, endpoint, timeout, send_by, ref fill } = *order;
        let deadline = now + timeout.max(0.0);
        if permission::may_send(now, Some(SendOrder { deadline, send_by })).is_err() {
            return self.complete(now, attempt, endpoint, now, AttemptEnd::NotSent);
        }
        let Some(id) = self.connection_for(now, endpoint, &message.id) else {
            log_line!(
                upstream = %self.endpoint_label(endpoint),
                request = %message.id,
                attempt = attempt.number,
                "no connection to the upstream available for an attempt"
            );
            return self.complete(now, attempt, endpoint, now, AttemptEnd::NotSent);
        };
        let source_name =
            fill.source.and_then(|source| self.endpoints.get(&source)).map(|source| &*source.uid);
        let fields = RequestFields::new(deadline, order, message, source_name, fill_path);
        let via_endpoints = fill_path.into_iter().flat_map(|path| path.via_endpoints.iter().copied());
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let object = u64::from_str_radix(&message.object, 16).ok();
        let queued = QueuedMessage {
            id: Some(message.id.clone()),
            attempt: Some(attempt),
            sources: fill.source.into_iter().chain(via_endpoints).collect(),
            object: object.map(|object| RequestedObject { object, group: message.group }),
            queued_at: now,
            content: MessageContent::Request { fields, body: message.body.duplicate() },
        };
        connection.enqueue(now, queued, ExchangeOwner::Attempt(attempt));
        let in_flight = InFlightAttempt {
            connection: id,
            endpoint,
            request_id: message.id.clone(),
            sent_at: now,
            deadline,
            send_by,
            client_copy: message.client_copy.clone(),
        };
        self.attempts.insert(attempt, in_flight);
        self.flush(now, id);
    }

    /// Completes an attempt that was never sent as cancelled.
    pub fn cancel_unsent(&mut self, now: Ms, attempt: AttemptKey, endpoint: EndpointKey) {
        self.complete_unsent(now, attempt, endpoint, now, AttemptEnd::Cancelled);
    }

    /// Completes an attempt that was not sent, for no reason of its endpoint.
    pub fn give_back_unsent(&mut self, now: Ms, attempt: AttemptKey, endpoint: EndpointKey, deferred_at: Ms) {
        self.complete(now, attempt, endpoint, deferred_at, AttemptEnd::NotSentLocally);
    }

    /// Completes an attempt whose queued fill was withdrawn as not sent.
    pub fn withdraw_unsent(&mut self, now: Ms, attempt: AttemptKey, endpoint: EndpointKey, queued_at: Ms) {
        self.complete(now, attempt, endpoint, queued_at, AttemptEnd::NotSent);
    }

    /// Completes an attempt whose queued fill was not admitted as rejected. It was never sent, and does not
    /// count as a fault of its endpoint.
    pub fn reject_unsent(&mut self, now: Ms, attempt: AttemptKey, endpoint: EndpointKey, queued_at: Ms) {
        let elapsed = now - queued_at;
        let report = AttemptReport {
            attempt,
            endpoint,
            end: AttemptEnd::Rejected,
            elapsed,
            source_wait: elapsed,
            cache_result: Some(CacheResult::NoCapacity),
            gauges: Vec::new(),
        };
        self.push_completed(report, false);
    }
}
