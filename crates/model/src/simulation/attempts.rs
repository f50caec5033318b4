//! Attempts: to a cache, to the source of a fill, over the links, and back to their router.

use linnethook::interface::{
    AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, Event as PolicyEvent, FillInstruction,
    RequestId,
};

use crate::recorder::Requester;

use super::{micros, ms, Attempt, Event, Number, Server, Simulation, Stage, ORIGIN, PARENT, SLOW_START, TOP};
use crate::Micros;

/// Offset of the numbers of server-to-server requests in the recording, so that they differ from those of
/// attempts.
const SERVER_REQUEST_OFFSET: u64 = 1 << 50;

impl Simulation {
    pub(super) fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        cache: EndpointId,
        timeout: f64,
        fill: Option<FillInstruction>,
    ) {
        let Some(server) = self.server_index(cache) else { return };
        let Some(client) = self.clients.get_mut(&request.0) else { return };
        let number = client.attempts;
        client.attempts += 1;
        let remaining = client.timeout - ms(now - client.sent_at);
        let timeout = if timeout > 0.0 { timeout.min(remaining) } else { remaining };
        self.last_number += 1;
        let attempt = Attempt {
            router: client.router,
            request: request.0,
            number,
            server,
            fill,
            stage: Stage::Queued,
            key: client.key(),
            is_write: client.is_booking,
            sent_at: now,
            source_wait: 0,
            cache_status: None,
            status: AttemptStatus::NotExecuted,
            work: None,
            tracked_by_shield: false,
            version: None,
            former_source: None,
            executed: false,
            issued_at: None,
        };
        self.attempts.insert(self.last_number, attempt);
        self.attempts_by_id.insert((request.0, number), self.last_number);
        let number = self.last_number;
        self.queue.add(now + micros(timeout), Event::AttemptTimeout(number));
        match self.plan.hierarchy {
            Some(_) => self.admit(now, number),
            None => self.send_attempt(now, number),
        }
    }

    /// Sends an attempt to its server.
    pub(super) fn send_attempt(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.stage = Stage::ToEndpoint;
        let delay = match self.servers[attempt.server].endpoint.role {
            0 => self.plan.local_delay,
            _ => self.plan.hub_delay,
        };
        self.queue.add(now + micros(delay), Event::AttemptArrival(number));
    }

    /// Counts a request at a server that is warming up. Returns false if the server crashes because of it.
    fn accept_while_cold(&mut self, now: Micros, n: usize) -> bool {
        let (throughput, slow_start) = match self.servers[n].endpoint.role {
            0 => (self.plan.cache_throughput, SLOW_START[0]),
            PARENT | TOP => (self.plan.parent_throughput, SLOW_START[1]),
            _ => return true,
        };
        let server = &mut self.servers[n];
        let age = ms(now) - server.endpoint.started_at;
        if throughput <= 0.0 || server.endpoint.started_at <= 0.0 || age >= slow_start.duration {
            return true;
        }
        server.recent_arrivals.push_back(now);
        while server.recent_arrivals.front().is_some_and(|at| ms(now - at) > slow_start.overload_window) {
            server.recent_arrivals.pop_front();
        }
        let ratio = slow_start.initial_ratio + (1.0 - slow_start.initial_ratio) * age / slow_start.duration;
        server.recent_arrivals.len() as f64
            <= throughput * ratio * slow_start.overload_multiple * slow_start.overload_window / 1_000.0
    }

    /// An attempt has arrived at its next hop.
    pub(super) fn on_attempt_arrival(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        match attempt.stage {
            Stage::ToEndpoint => self.at_endpoint(now, number),
            Stage::ToSource => self.at_source(now, number),
            Stage::Queued | Stage::AtOrigin | Stage::Filling | Stage::Answering => {}
            Stage::Coalesced | Stage::Finished => {}
        }
    }

    /// Whether a server processes requests. If not, the attempt fails, or waits if the server is silent.
    fn check_responsive(&mut self, now: Micros, number: Number, n: usize) -> bool {
        let health = self.servers[n].health;
        if !health.up {
            self.end_attempt(now, number, AttemptStatus::ConnectFailed);
        } else if health.fails_fast && !health.silent {
            self.end_attempt(now, number, AttemptStatus::Error);
        }
        health.up && !health.fails_fast && !health.silent
    }

    /// When the copy that a server stores was made, unless it is older than `max_age` (in milliseconds).
    pub(super) fn cached_copy(&mut self, now: Micros, n: usize, key: u64, max_age: f64) -> Option<Micros> {
        let issued_at = self.servers[n].copies.get(key)?;
        // Without a limit in the request, the freshness lifetime of the class applies.
        let max_age = if max_age > 0.0 { max_age } else { self.plan.freshness_lifetime };
        (max_age <= 0.0 || ms(now - issued_at.min(now)) <= max_age).then_some(issued_at)
    }

    fn at_endpoint(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let at = attempt.server;
        if !self.router_reaches(attempt.router, at) {
            // The message is lost without an error.
            return;
        }
        if !self.servers[at].health.up || self.servers[at].health.silent {
            _ = self.check_responsive(now, number, at);
            return;
        }
        let source = attempt.fill.filter(|fill| fill.source != self.servers[at].endpoint.id);
        let fill_source = source.and_then(|fill| Some((self.server_index(fill.source)?, fill)));
        if let Some(request_info) = self.request_info(attempt.request) {
            self.recorder.record_server_request(
                now,
                &self.plan,
                at,
                number,
                &request_info,
                Requester::Router(fill_source),
            );
        }
        if !self.check_responsive(now, number, at) {
            return;
        }
        if !self.accept_while_cold(now, at) {
            self.crash_under_overload(now, at);
            return self.end_attempt(now, number, AttemptStatus::Reset);
        }
        let max_requests = self.plan.max_requests_per_server;
        let server = &mut self.servers[at];
        if server.in_flight >= max_requests && server.endpoint.role != ORIGIN {
            return self.end_attempt(now, number, AttemptStatus::Rejected);
        }
        server.requests += 1;
        server.in_flight += 1;
        self.set_stage(number, Stage::ToSource);
        if self.servers[at].health.stalled {
            return;
        }
        if self.servers[at].endpoint.role == ORIGIN {
            return self.request_from_origin(now, number, None);
        }
        let max_age = attempt.fill.map_or(0.0, |fill| fill.max_age);
        if !attempt.is_write {
            if let Some(issued_at) = self.cached_copy(now, at, attempt.key, max_age) {
                self.statistics.hits += 1;
                self.servers[at].hits += 1;
                let stale = self.plan.freshness_lifetime > 0.0
                    && ms(now - issued_at.min(now)) > self.plan.freshness_lifetime;
                if let Some((source, _)) = fill_source.filter(|(_, fill)| stale && fill.revalidate) {
                    self.revalidate(now, at, source, attempt.key);
                }
                self.statistics.stale_hits += u64::from(stale);
                let cache_status = if stale { CacheStatus::Stale } else { CacheStatus::Hit };
                return self.transfer_response(now, number, cache_status, Some(issued_at));
            }
        }
        let Some((source, fill)) = fill_source else {
            // A parent that receives the request directly fills a miss from the origin.
            if self.servers[at].endpoint.role == PARENT && attempt.fill.is_some() {
                return self.request_from_origin(now, number, Some(at));
            }
            return self.end_attempt(now, number, AttemptStatus::CacheMiss);
        };
        if fill.coalesce && !attempt.is_write {
            if let Some(waiting) = self.servers[at].fills_in_progress.get_mut(&attempt.key) {
                waiting.push(number);
                return self.set_stage(number, Stage::Coalesced);
            }
        }
        // Each core of the cache has a limit on its concurrent fills.
        if self.plan.max_fills_per_cache > 0
            && self.servers[at].fills_in_progress.len() >= self.plan.max_fills_per_cache
            && !attempt.is_write
        {
            if let Some(attempt) = self.attempts.get_mut(&number) {
                attempt.cache_status = Some(CacheStatus::NoCapacity);
            }
            return self.end_attempt(now, number, AttemptStatus::Rejected);
        }
        if !attempt.is_write {
            self.servers[at].fills_in_progress.entry(attempt.key).or_default();
        }
        self.queue.add(now + micros(self.network_delay(at, source)), Event::AttemptArrival(number));
    }

    fn at_source(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let Some(fill) = attempt.fill else { return };
        let Some(source) = self.server_index(fill.source) else { return };
        let health = self.servers[source].health;
        if health.silent || !self.servers_connected(attempt.server, source) {
            return;
        }
        if health.up {
            if let Some(request_info) = self.request_info(attempt.request) {
                let from = Requester::Server(attempt.server, attempt.version, fill.only_if_cached);
                self.recorder.record_server_request(
                    now,
                    &self.plan,
                    source,
                    SERVER_REQUEST_OFFSET + number,
                    &request_info,
                    from,
                );
            }
        }
        let crashes = health.up && !self.accept_while_cold(now, source);
        if crashes {
            self.crash_under_overload(now, source);
        }
        let role = self.servers[source].endpoint.role;
        let fail_with = |simulation: &mut Self, cache_status: CacheStatus, status: AttemptStatus| {
            if let Some(attempt) = simulation.attempts.get_mut(&number) {
                attempt.cache_status = Some(cache_status);
            }
            simulation.end_attempt(now, number, status);
        };
        if !health.up || crashes {
            return fail_with(self, CacheStatus::SourceUnreachable, AttemptStatus::Error);
        }
        if role == ORIGIN {
            return self.request_from_origin(now, number, None);
        }
        if health.fails_fast {
            return fail_with(self, CacheStatus::SourceRejected, AttemptStatus::Error);
        }
        if health.stalled {
            return;
        }
        self.servers[source].requests += 1;
        if !attempt.is_write {
            if let Some(issued_at) = self.cached_copy(now, source, attempt.key, fill.max_age) {
                self.servers[source].hits += 1;
                if let Some(attempt) = self.attempts.get_mut(&number) {
                    attempt.issued_at = Some(issued_at);
                }
                return self.transfer_fill(now, number, CacheStatus::FilledByParent);
            }
        }
        if !attempt.is_write && role == PARENT {
            if let Some(issued_at) = self.cached_at_former_source(number, fill.max_age, now) {
                self.servers[source].copies.insert(attempt.key, 1, issued_at);
                if let Some(attempt) = self.attempts.get_mut(&number) {
                    attempt.issued_at = Some(issued_at);
                }
                return self.transfer_fill(now, number, CacheStatus::FilledByParent);
            }
        }
        if fill.only_if_cached || role == 0 {
            return fail_with(self, CacheStatus::SourceMiss, AttemptStatus::Rejected);
        }
        self.request_from_origin(now, number, Some(source));
    }

    pub(super) fn set_stage(&mut self, number: Number, stage: Stage) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = stage;
        }
    }

    /// Transfers a fill to its cache, over the location's link.
    pub(super) fn transfer_fill(&mut self, now: Micros, number: Number, cache_status: CacheStatus) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.cache_status = Some(cache_status);
        attempt.source_wait = now - attempt.sent_at;
        let (server, issued_at) = (attempt.server, attempt.issued_at);
        let size = self.clients.get(&attempt.request).map_or(1.0, |client| client.size);
        let role = self.servers[server].endpoint.role;
        let partitioned = role == 0 && self.partitioned[usize::from(self.servers[server].endpoint.zone)];
        if role != 0 || attempt.is_write {
            // A direct request of the router, or a response of a few bytes.
            return self.transfer_response(now, number, cache_status, issued_at);
        }
        attempt.stage = Stage::Filling;
        if !partitioned {
            let link = usize::from(self.servers[server].endpoint.zone).min(self.plan.locations);
            self.begin_transfer(now, link, number, size);
        }
    }

    fn transfer_response(
        &mut self,
        now: Micros,
        number: Number,
        cache_status: CacheStatus,
        issued_at: Option<Micros>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        (attempt.cache_status, attempt.stage, attempt.issued_at) =
            (Some(cache_status), Stage::Answering, issued_at);
        let server = &self.servers[attempt.server];
        let size = self.clients.get(&attempt.request).map_or(1.0, |client| client.size);
        let size = if attempt.is_write { 1.0 } else { size * server.health.slowdown(now) };
        let link = server.link;
        self.begin_transfer(now, link, number, size);
    }

    // ---- Links.

    pub(super) fn begin_transfer(&mut self, now: Micros, link: usize, number: Number, bytes: f64) {
        self.links[link].transfers.begin(now, number, bytes);
        self.schedule_completion(link);
    }

    pub(super) fn schedule_completion(&mut self, link: usize) {
        let state = &mut self.links[link];
        state.version += 1;
        if let Some((at, _)) = state.transfers.next_completion() {
            self.queue.add(at, Event::TransferCompletion(link, state.version));
        }
    }

    /// The next transfer of a link is due.
    pub(super) fn on_transfer_completion(&mut self, now: Micros, link: usize, version: u64) {
        if self.links[link].version != version {
            return;
        }
        let Some((_, number)) = self.links[link].transfers.next_completion().filter(|(at, _)| *at <= now)
        else {
            return self.schedule_completion(link);
        };
        self.links[link].transfers.end(now, number);
        self.schedule_completion(link);
        if link == self.origin_processor {
            return self.complete_work(now, number);
        }
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        match attempt.stage {
            Stage::Filling => self.complete_fill(now, number, &attempt),
            Stage::Answering => self.end_attempt(now, number, AttemptStatus::Ok),
            _ => {}
        }
    }

    fn complete_fill(&mut self, now: Micros, number: Number, attempt: &Attempt) {
        let Server { copies, fills_in_progress, .. } = &mut self.servers[attempt.server];
        let issued_at = attempt.issued_at.unwrap_or(now);
        let rank = attempt.fill.map_or(0, |fill| fill.retention);
        if rank > 0 {
            copies.insert(attempt.key, rank, issued_at);
        }
        let waiting = fills_in_progress.remove(&attempt.key).unwrap_or_default();
        self.transfer_response(
            now,
            number,
            attempt.cache_status.unwrap_or(CacheStatus::FilledByParent),
            Some(issued_at),
        );
        for other in waiting {
            self.transfer_response(now, other, CacheStatus::Coalesced, Some(issued_at));
        }
    }

    // ---- Outcomes.

    /// Ends an attempt where it is; its router receives the outcome after the one-way delay.
    pub(super) fn end_attempt(&mut self, now: Micros, number: Number, status: AttemptStatus) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        if attempt.stage == Stage::Finished {
            return;
        }
        let stage = std::mem::replace(&mut attempt.stage, Stage::Finished);
        // A queued attempt was never sent.
        let status = if stage == Stage::Queued && status != AttemptStatus::Rejected {
            AttemptStatus::NotExecuted
        } else {
            status
        };
        attempt.status = status;
        let attempt = attempt.clone();
        if stage == Stage::Queued {
            self.cancel_queued_fill(&attempt);
        }
        self.recorder.record_attempt_end(now, number, attempt.executed);
        if stage == Stage::AtOrigin {
            self.stop_waiting(number, attempt.work);
        }
        let at = &mut self.servers[attempt.server];
        if !matches!(stage, Stage::Queued | Stage::ToEndpoint) {
            at.in_flight = at.in_flight.saturating_sub(1);
        }
        let (link, zone) = (at.link, usize::from(at.endpoint.zone).min(self.plan.locations));
        // A fill that fails also ends the attempts that wait for it.
        let is_fill =
            matches!(stage, Stage::ToSource | Stage::AtOrigin | Stage::Filling) && !attempt.is_write;
        let waiting =
            if is_fill { at.fills_in_progress.remove(&attempt.key).unwrap_or_default() } else { Vec::new() };
        let link = match stage {
            Stage::Filling => Some(zone),
            Stage::Answering => Some(link),
            _ => None,
        };
        if let Some(link) = link.filter(|_| status != AttemptStatus::Ok) {
            self.links[link].transfers.end(now, number);
            self.schedule_completion(link);
        }
        for other in waiting {
            if let Some(other) = self.attempts.get_mut(&other) {
                other.cache_status = Some(CacheStatus::NoCapacity);
            }
            self.end_attempt(now, other, AttemptStatus::Rejected);
        }
        // The router knows at once of attempts that it ends itself.
        let delay = match status {
            _ if stage == Stage::Queued => 0.0,
            AttemptStatus::TimedOut | AttemptStatus::Cancelled => 0.0,
            _ if self.servers[attempt.server].endpoint.role == 0 => self.plan.local_delay,
            _ => self.plan.hub_delay,
        };
        self.queue.add(now + micros(delay), Event::OutcomeArrival(number));
    }

    pub(super) fn deliver_outcome(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.attempts_by_id.remove(&(attempt.request, attempt.number));
        if attempt.status == AttemptStatus::Ok && self.clients.contains_key(&attempt.request) {
            self.on_served(now, attempt.request, attempt.issued_at.filter(|_| !attempt.is_write));
        }
        self.report_fill_end(now, &attempt);
        let server = &self.servers[attempt.server];
        let outcome = AttemptOutcome {
            attempt: AttemptId { request: RequestId(attempt.request), number: attempt.number },
            endpoint: server.endpoint.id,
            status: attempt.status,
            request_finished: !self.clients.contains_key(&attempt.request),
            elapsed: ms(now - attempt.sent_at),
            source_wait: ms(attempt.source_wait),
            cache_status: attempt.cache_status,
            load_report: server.reported_load,
        };
        self.notify_policy(now, attempt.router, &PolicyEvent::AttemptFinished(outcome));
    }
}
