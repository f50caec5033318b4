//! Clients: they send requests, wait, request the next part, retry after a rejection, and give up.

use linnethook::interface::{Event as PolicyEvent, ObjectId, Request, RequestId};
use linnethook_gateway::gateway::Reply;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::{micros, ms, Client, Event, Number, Simulation, Statistics};
use crate::recorder::RequestInfo;
use crate::Micros;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ClientOutcome {
    Served,
    Rejected,
    Failed,
}

/// Codes of the final answers, as on the wire.
const SERVED: u8 = 1;
const REJECTED: u8 = 2;
const FAILED: u8 = 3;

/// The maximum number of retry tokens that clients can accumulate.
const MAX_RETRY_TOKENS: f64 = 100.0;

impl Simulation {
    pub(super) fn on_client_arrival(&mut self, now: Micros) {
        if now >= micros(self.plan.seconds * 1_000.0) {
            return;
        }
        if let Ok(gap) = Exp::new((self.plan.rate * self.rate_factor).max(1e-9) / 1e6) {
            let gap = gap.sample(&mut self.rng).max(1.0);
            self.queue.add(now + gap as Micros, Event::ClientArrival);
        }
        let router = self.rng.random_range(0..self.policies.len());
        let object = self.demand.object(now, &mut self.rng);
        let size = self.demand.size::<Pcg64Mcg>(object);
        let is_booking = self.plan.booking_share > 0.0 && self.rng.random::<f64>() < self.plan.booking_share;
        self.retry_tokens = (self.retry_tokens + self.plan.retry_budget).min(MAX_RETRY_TOKENS);
        self.begin_request(
            now,
            Client {
                router,
                object,
                part: 0,
                is_booking,
                size,
                first_sent_at: now,
                sent_at: now,
                timeout: self.plan.client_timeout,
                retries: 0,
                attempts: 0,
                remote_ticket: None,
                remote_number: None,
            },
        );
    }

    fn begin_request(&mut self, now: Micros, client: Client) {
        self.last_number += 1;
        self.clients.insert(self.last_number, client);
        Statistics::count(&mut self.statistics.requests, (now / 1_000_000) as usize);
        self.send_request(now, self.last_number);
    }

    pub(super) fn send_request(&mut self, now: Micros, number: Number) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.sent_at = now;
        if let Some(request_info) = self.request_info(number) {
            self.recorder.record_request(now, &request_info);
        }
        if !self.submit_to_gateway(now, number) {
            self.serve_locally(now, number);
        }
    }

    /// Passes a request to the decision module of the client's router.
    pub(super) fn serve_locally(&mut self, now: Micros, number: Number) {
        let Some(client) = self.clients.get_mut(&number) else { return };
        client.attempts = 0;
        let request = Request {
            id: RequestId(number),
            object: ObjectId(linnethook::hash_ring::hash_pair(client.object, 1)),
            part: client.part,
            group: 0,
            class: u16::from(client.is_booking),
            size_kb: client.size / 1_000.0,
            client_retry: client.retries > 0,
            is_write: client.is_booking,
            time_limit: client.timeout - ms(now - client.sent_at),
        };
        let router = client.router;
        self.notify_policy(now, router, &PolicyEvent::Request(request));
    }

    /// The properties of a request that are recorded.
    pub(super) fn request_info(&self, number: Number) -> Option<RequestInfo> {
        let client = self.clients.get(&number)?;
        let deadline = ms(client.sent_at) + client.timeout;
        let (object, router, harmful) = (client.object, client.router, client.is_booking);
        Some(RequestInfo {
            request: client.remote_number.unwrap_or(number),
            object,
            router,
            deadline,
            harmful,
        })
    }

    /// The decision module rejected a request; `retry_after` is in milliseconds.
    pub(super) fn on_rejected(&mut self, now: Micros, number: Number, retry_after: f64) {
        let retry_after = retry_after.max(self.retry_after_by_request.remove(&number).unwrap_or(0.0));
        if self.report_local_outcome(now, number, false, true)
            || self.answer_remote(now, number, |_| Reply::Rejected { retry_after })
        {
            return;
        }
        self.reject_client(now, number, retry_after);
    }

    /// The decision module answered that a request failed, possibly after it was executed.
    pub(super) fn on_failed(&mut self, now: Micros, number: Number) {
        self.report_local_outcome(now, number, false, false);
        if !self.answer_remote(now, number, |_| Reply::Failed) {
            self.fail_client(now, number);
        }
    }

    /// An attempt served a request; `issued_at` is when its copy was made.
    pub(super) fn on_served(&mut self, now: Micros, number: Number, issued_at: Option<Micros>) {
        self.report_local_outcome(now, number, true, false);
        if !self.answer_remote(now, number, |client| Self::served_reply(client, issued_at)) {
            self.complete_client(now, number, issued_at);
        }
    }

    // ---- Final answers.

    pub(super) fn reject_client(&mut self, now: Micros, number: Number, retry_after: f64) {
        self.recorder.record_answer(now, number, REJECTED, None);
        if !self.schedule_retry(now, number, retry_after) {
            self.finish_client(now, number, ClientOutcome::Rejected);
        }
    }

    pub(super) fn fail_client(&mut self, now: Micros, number: Number) {
        self.recorder.record_answer(now, number, FAILED, None);
        let may_retry = self.plan.retry_failed_requests
            && self.clients.get(&number).is_some_and(|client| !client.is_booking);
        if !(may_retry && self.schedule_retry(now, number, 0.0)) {
            self.finish_client(now, number, ClientOutcome::Failed);
        }
    }

    pub(super) fn complete_client(&mut self, now: Micros, number: Number, issued_at: Option<Micros>) {
        self.recorder.record_answer(now, number, SERVED, issued_at);
        let next =
            self.clients.get(&number).filter(|c| !c.is_booking && c.part + 1 < self.plan.parts).cloned();
        self.finish_client(now, number, ClientOutcome::Served);
        if let Some(before) = next {
            let (part, retries, attempts) = (before.part + 1, 0, 0);
            self.begin_request(
                now,
                Client { part, retries, attempts, first_sent_at: now, sent_at: now, ..before },
            );
        }
    }

    /// Schedules a retry, under a new request number. Returns whether the client retries.
    fn schedule_retry(&mut self, now: Micros, number: Number, retry_after: f64) -> bool {
        let (max_retries, has_budget) = (self.plan.max_client_retries, self.plan.retry_budget > 0.0);
        let Some(client) = self.clients.get(&number) else { return false };
        if client.retries >= max_retries || has_budget && self.retry_tokens < 1.0 {
            return false;
        }
        self.retry_tokens -= 1.0;
        let mut client = client.clone();
        self.clients.remove(&number);
        let pause = self.plan.retry_pause * self.plan.retry_backoff.powi(client.retries as i32);
        let pause = if self.plan.respect_retry_after { pause.max(retry_after) } else { pause };
        (client.retries, client.attempts) = (client.retries + 1, 0);
        self.last_number += 1;
        self.clients.insert(self.last_number, client);
        let pause = pause * self.rng.random_range(1.0..1.5);
        Statistics::count(&mut self.statistics.client_retries, ((now + micros(pause)) / 1_000_000) as usize);
        self.queue.add(now + micros(pause), Event::SendRequest(self.last_number));
        true
    }

    fn finish_client(&mut self, now: Micros, number: Number, outcome: ClientOutcome) {
        let Some(client) = self.clients.remove(&number) else { return };
        let second = (client.first_sent_at / 1_000_000) as usize;
        let latency = ms(now - client.first_sent_at);
        self.retry_after_by_request.remove(&number);
        let objective = self.latency_objective(client.size);
        let list = match outcome {
            ClientOutcome::Served if latency <= objective => &mut self.statistics.in_time,
            ClientOutcome::Served => &mut self.statistics.late,
            ClientOutcome::Rejected => &mut self.statistics.rejected,
            ClientOutcome::Failed => &mut self.statistics.failed,
        };
        Statistics::count(list, second);
        if outcome == ClientOutcome::Served {
            self.statistics.latencies_ms.push(latency as f32);
        }
    }
}
