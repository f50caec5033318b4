//! The servers: requests, fills, revalidations and transfers.

use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::{
    AttemptOutcome, AttemptStatus, CacheStatus, Event as PolicyEvent, FillInstruction, LoadReport, Ms,
    OutcomeDetail, SlowStart,
};

use super::deployments::ReadClass;
use super::fleet::{
    Arrival, Attempt, ClientRequest, Event, Fleet, ALL_NOTIFIED_AFTER, HUB_DELAY, RESTART_TIME, TRIAL_START,
};

const ORIGIN_SERVICE_TIME: Ms = 30.0;
/// A server rejects requests while this multiple of its capacity is in progress.
const REJECTION_MULTIPLE: f64 = 8.0;

impl Fleet<'_> {
    /// Records a request at a server that starts cold.
    pub(super) fn record_arrival(&mut self, server: usize, router: usize, work: Ms) {
        let notified_at = self.notified_at[router].get(&server).copied();
        let notified = notified_at.is_some() || self.now > RESTART_TIME + ALL_NOTIFIED_AFTER;
        if let Some(arrivals) = self.arrivals.get_mut(&server) {
            arrivals.push(Arrival { at: self.now, work, router, notified });
        }
    }

    /// Starts a transfer at a server. Returns its duration, or `None` if the server rejects it.
    fn start_transfer(&mut self, n: usize, work: Ms) -> Option<Ms> {
        let age = self.now - self.servers[n].endpoint.started_at;
        let server = &mut self.servers[n];
        let capacity = server.capacity * capacity_ratio(&server.slow_start, server.endpoint.started_at, age);
        if f64::from(server.in_flight) >= capacity.max(1.0) * REJECTION_MULTIPLE {
            return None;
        }
        server.in_flight += 1;
        let duration = work * (f64::from(server.in_flight) / capacity).max(1.0);
        let crashes = server.crashes;
        self.add(self.now + duration, Event::TransferEnd(n, crashes));
        Some(duration)
    }

    /// When the copy was made that a server stores, if it stores one.
    fn cached_copy(&self, n: usize, object: u64, class: u16) -> Option<Ms> {
        let server = &self.servers[n];
        let fresh = self.trial.deployment.settings.class(class).freshness_lifetime;
        let from_before = server.has_all_objects && object / 8 < self.trial.deployment.objects;
        let age = unit_fraction(hash_pair(object, server.endpoint.id.0))
            * if fresh > 0.0 { fresh } else { 60_000.0 };
        server.copies.get(&object).copied().or(from_before.then_some(TRIAL_START - age))
    }

    /// Whether a copy made at that time is recent enough for the fill instruction.
    fn is_recent_enough(&self, issued_at: Ms, class: u16, fill: Option<&FillInstruction>) -> bool {
        let fresh = self.trial.deployment.settings.class(class).freshness_lifetime;
        let max_age =
            fill.map_or(0.0, |fill| if fill.revalidate { fill.max_stale_age } else { fill.max_age });
        let max_age = if max_age > 0.0 { max_age } else { fresh };
        max_age <= 0.0 || self.now - issued_at <= max_age
    }

    fn request_of(&self, attempt: &Attempt) -> Option<(ClientRequest, ReadClass)> {
        let client_request = self.requests.get(&attempt.id.request.0).copied()?;
        Some((client_request, self.trial.deployment.read_classes[client_request.read_class]))
    }

    pub(super) fn respond(
        &mut self,
        number: u64,
        status: AttemptStatus,
        cache_status: Option<CacheStatus>,
        after: Ms,
    ) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            (attempt.status, attempt.cache_status) = (status, cache_status);
            self.add(self.now + after, Event::ResponseArrival(number));
        }
    }

    pub(super) fn on_attempt_arrival(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).copied() else { return };
        let delay = self.network_delay(attempt.server);
        if !self.servers[attempt.server].up {
            return self.respond(number, AttemptStatus::ConnectFailed, None, delay);
        }
        let Some((client_request, read_class)) = self.request_of(&attempt) else { return };
        self.record_arrival(attempt.server, attempt.router, read_class.work);
        let origin = self.servers.len() - 1;
        let (object, class) = (client_request.object, read_class.class);
        if attempt.server == origin {
            return self.respond(
                number,
                AttemptStatus::Ok,
                None,
                ORIGIN_SERVICE_TIME + client_request.work + delay,
            );
        }
        let fill = attempt.fill.as_ref();
        let cached = self.cached_copy(attempt.server, object, class);
        if let Some(issued_at) = cached.filter(|issued_at| self.is_recent_enough(*issued_at, class, fill)) {
            let fresh = self.trial.deployment.settings.class(class).freshness_lifetime;
            let needs_revalidation = fresh > 0.0 && self.now - issued_at > fresh * 0.8;
            let source = fill
                .filter(|fill| fill.revalidate && needs_revalidation)
                .and_then(|fill| self.server_index(fill.source));
            if let Some(source) = source.filter(|source| *source != attempt.server) {
                let (router, cache, work) = (attempt.router, attempt.server, client_request.work);
                // The copy counts as new until the revalidation completes, so that it is revalidated only
                // once.
                self.servers[cache].copies.insert(object, self.now);
                let at = self.now + self.network_delay(source);
                self.add(at, Event::Revalidation { router, cache, source, object, work });
            }
            let stale = fresh > 0.0 && self.now - issued_at > fresh;
            return match self.start_transfer(attempt.server, client_request.work) {
                Some(duration) => {
                    let cache_status = if stale { CacheStatus::Stale } else { CacheStatus::Hit };
                    self.respond(number, AttemptStatus::Ok, Some(cache_status), duration + delay);
                }
                None => self.respond(number, AttemptStatus::Rejected, None, delay),
            };
        }
        let own = self.servers[attempt.server].endpoint.id;
        match attempt.fill.filter(|fill| fill.source != own).and_then(|fill| self.server_index(fill.source)) {
            None => self.respond(number, AttemptStatus::CacheMiss, None, delay),
            Some(source) => self.add(self.now + self.network_delay(source), Event::FillArrival(number)),
        }
    }

    /// A fill has arrived at its source.
    pub(super) fn on_fill_arrival(&mut self, number: u64) {
        let Some(attempt) = self.attempts.get(&number).copied() else { return };
        let (Some(fill), Some((client_request, read_class))) = (attempt.fill, self.request_of(&attempt))
        else {
            return;
        };
        let Some(source) = self.server_index(fill.source) else { return };
        let delay = self.network_delay(source) + self.network_delay(attempt.server);
        if !self.servers[source].up {
            return self.respond(
                number,
                AttemptStatus::Rejected,
                Some(CacheStatus::SourceUnreachable),
                delay,
            );
        }
        self.record_arrival(source, attempt.router, read_class.work);
        let origin = self.servers.len() - 1;
        let cached = self.cached_copy(source, client_request.object, read_class.class);
        let cached = cached.filter(|issued_at| {
            source != origin && self.is_recent_enough(*issued_at, read_class.class, Some(&fill))
        });
        if cached.is_none() && fill.only_if_cached {
            return self.respond(number, AttemptStatus::CacheMiss, Some(CacheStatus::SourceMiss), delay);
        }
        let origin_wait = if cached.is_none() { ORIGIN_SERVICE_TIME } else { 0.0 };
        let duration = if source == origin {
            Some(client_request.work)
        } else {
            self.start_transfer(source, client_request.work)
        };
        let Some(duration) = duration else {
            return self.respond(number, AttemptStatus::Rejected, Some(CacheStatus::SourceRejected), delay);
        };
        let issued_at = cached.unwrap_or(self.now);
        if source != origin {
            self.servers[source].copies.insert(client_request.object, issued_at);
        }
        if fill.retention > 0 {
            self.servers[attempt.server].copies.insert(client_request.object, issued_at);
        }
        let cache_status =
            if cached.is_none() { CacheStatus::FilledByOrigin } else { CacheStatus::FilledByParent };
        // The cache forwards the data while it fills, which uses its own link for as long.
        let own = self.start_transfer(attempt.server, client_request.work);
        let Some(own) = own else {
            return self.respond(number, AttemptStatus::Rejected, Some(CacheStatus::NoCapacity), delay);
        };
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.source_wait = self.now - attempt.sent_at + origin_wait + HUB_DELAY;
        }
        self.respond(number, AttemptStatus::Ok, Some(cache_status), origin_wait + duration.max(own) + delay);
    }

    /// A revalidation has arrived at its source, which has a fresh copy or fetches one; no request waits for
    /// it.
    pub(super) fn on_revalidation(
        &mut self,
        router: usize,
        cache: usize,
        source: usize,
        object: u64,
        work: Ms,
    ) {
        if !self.servers[source].up {
            return;
        }
        let read_class = self.trial.deployment.read_classes[(object % 8) as usize];
        self.record_arrival(source, router, read_class.work);
        let issued_at = self
            .cached_copy(source, object, read_class.class)
            .filter(|issued_at| self.is_recent_enough(*issued_at, read_class.class, None));
        let issued_at = issued_at.unwrap_or(self.now);
        if source + 1 < self.servers.len() && self.start_transfer(source, work).is_none() {
            return;
        }
        self.servers[source].copies.insert(object, issued_at);
        self.servers[cache].copies.insert(object, issued_at);
    }

    /// The outcome of an attempt arrives at its router.
    pub(super) fn deliver_outcome(&mut self, number: u64) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.attempts_by_id.remove(&attempt.id);
        let finished =
            attempt.status == AttemptStatus::Ok && self.requests.remove(&attempt.id.request.0).is_some();
        let detail = self.trial.deployment.settings.outcome_detail;
        let cache_status = attempt.cache_status.filter(|cache_status| {
            detail == OutcomeDetail::Full
                || detail == OutcomeDetail::HitsOnly && *cache_status == CacheStatus::Hit
        });
        let server = &self.servers[attempt.server];
        let load = LoadReport { in_flight: Some(f64::from(server.in_flight)), ..LoadReport::default() };
        let outcome = AttemptOutcome {
            attempt: attempt.id,
            endpoint: server.endpoint.id,
            status: attempt.status,
            request_finished: finished,
            elapsed: self.now - attempt.sent_at,
            source_wait: if detail == OutcomeDetail::Full { attempt.source_wait } else { 0.0 },
            cache_status,
            load_report: load,
        };
        self.notify_policy(attempt.router, &PolicyEvent::AttemptFinished(outcome));
    }
}

/// The share of its capacity that a server has at least, at an age after its start.
pub(super) fn capacity_ratio(slow_start: &SlowStart, started_at: Ms, age: Ms) -> f64 {
    if started_at <= 0.0 || slow_start.duration <= 0.0 {
        return 1.0;
    }
    slow_start.initial_ratio + (1.0 - slow_start.initial_ratio) * (age / slow_start.duration).clamp(0.0, 1.0)
}
