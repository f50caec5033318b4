//! Attempts: to a cache, to the source of a fill, over the links, and back to their router.

use linnethook::interface::{
    AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, EndpointId, Event as PolicyEvent, FillInstruction,
    RequestId,
};

use crate::notes::Asker;

use super::{micros, ms, Attempt, Event, Number, Server, Stage, World, COLD, ORIGIN, PARENT, TOP};
use crate::Micros;

/// Offset of the numbers of server-to-server requests in the recording, so that they differ from those of
/// attempts.
const BETWEEN: u64 = 1 << 50;

impl World {
    pub(super) fn send(
        &mut self,
        now: Micros,
        request: RequestId,
        cache: EndpointId,
        timeout: f64,
        fill: Option<FillInstruction>,
    ) {
        let Some(server) = self.server(cache) else { return };
        let Some(client) = self.clients.get_mut(&request.0) else { return };
        let number = client.attempts;
        client.attempts += 1;
        let left = client.wait - ms(now - client.since);
        let timeout = if timeout > 0.0 { timeout.min(left) } else { left };
        self.last += 1;
        let attempt = Attempt {
            router: client.router,
            request: request.0,
            number,
            server,
            fill,
            stage: Stage::Held,
            key: client.key(),
            write: client.books,
            sent: now,
            waited: 0,
            note: None,
            status: AttemptStatus::NotExecuted,
            work: None,
            tolled: false,
            version: None,
            beside: None,
            ran: false,
            dated: None,
        };
        self.attempts.insert(self.last, attempt);
        self.by_id.insert((request.0, number), self.last);
        let number = self.last;
        self.queue.add(now + micros(timeout), Event::Expire(number));
        match self.plan.tiers {
            Some(_) => self.admit(now, number),
            None => self.goes(now, number),
        }
    }

    /// Sends an attempt to its server.
    pub(super) fn goes(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.stage = Stage::ToCache;
        let way = match self.servers[attempt.server].member.role {
            0 => self.plan.near,
            _ => self.plan.far,
        };
        self.queue.add(now + micros(way), Event::Step(number));
    }

    /// Counts a request at a server that is warming up. Returns false if the server crashes because of it.
    fn bears(&mut self, now: Micros, n: usize) -> bool {
        let (able, cold) = match self.servers[n].member.role {
            0 => (self.plan.cache_able, COLD[0]),
            PARENT | TOP => (self.plan.parent_able, COLD[1]),
            _ => return true,
        };
        let server = &mut self.servers[n];
        let age = ms(now) - server.member.started_at;
        if able <= 0.0 || server.member.started_at <= 0.0 || age >= cold.duration {
            return true;
        }
        server.came.push_back(now);
        while server.came.front().is_some_and(|at| ms(now - at) > cold.overload_window) {
            server.came.pop_front();
        }
        let part = cold.initial_ratio + (1.0 - cold.initial_ratio) * age / cold.duration;
        server.came.len() as f64 <= able * part * cold.overload_multiple * cold.overload_window / 1_000.0
    }

    /// An attempt has arrived at its next hop.
    pub(super) fn step(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        match attempt.stage {
            Stage::ToCache => self.at_cache(now, number),
            Stage::ToSource => self.at_source(now, number),
            Stage::Held | Stage::AtOrigin | Stage::Filling | Stage::Answering => {}
            Stage::Joined | Stage::Over => {}
        }
    }

    /// Whether a server processes requests. If not, the attempt fails, or waits if the server is silent.
    fn answers(&mut self, now: Micros, number: Number, n: usize) -> bool {
        let health = self.servers[n].health;
        if !health.up {
            self.end(now, number, AttemptStatus::ConnectFailed);
        } else if health.fails && !health.silent {
            self.end(now, number, AttemptStatus::Error);
        }
        health.up && !health.fails && !health.silent
    }

    /// When the copy that a server stores was made, unless it is older than `max_age` (in milliseconds).
    pub(super) fn held(&mut self, now: Micros, n: usize, key: u64, max_age: f64) -> Option<Micros> {
        let made = self.servers[n].copies.get(key)?;
        // Without a limit in the request, the freshness lifetime of the class applies.
        let most = if max_age > 0.0 { max_age } else { self.plan.fresh };
        (most <= 0.0 || ms(now - made.min(now)) <= most).then_some(made)
    }

    fn at_cache(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let at = attempt.server;
        if !self.hears(attempt.router, at) {
            // The message is lost without an error.
            return;
        }
        if !self.servers[at].health.up || self.servers[at].health.silent {
            _ = self.answers(now, number, at);
            return;
        }
        let source = attempt.fill.filter(|fill| fill.source != self.servers[at].member.id);
        let named = source.and_then(|fill| Some((self.server(fill.source)?, fill)));
        if let Some(wish) = self.wish(attempt.request) {
            self.notes.asked(now, &self.plan, at, number, &wish, Asker::Router(named));
        }
        if !self.answers(now, number, at) {
            return;
        }
        if !self.bears(now, at) {
            self.falls(now, at);
            return self.end(now, number, AttemptStatus::Reset);
        }
        let slots = self.plan.slots;
        let server = &mut self.servers[at];
        if server.in_hand >= slots && server.member.role != ORIGIN {
            return self.end(now, number, AttemptStatus::Rejected);
        }
        server.asked += 1;
        server.in_hand += 1;
        self.set_stage(number, Stage::ToSource);
        if self.servers[at].health.stalled {
            return;
        }
        if self.servers[at].member.role == ORIGIN {
            return self.ask_origin(now, number, None);
        }
        let max_age = attempt.fill.map_or(0.0, |fill| fill.max_age);
        if !attempt.write {
            if let Some(made) = self.held(now, at, attempt.key, max_age) {
                self.seen.hits += 1;
                self.servers[at].hits += 1;
                let stale = self.plan.fresh > 0.0 && ms(now - made.min(now)) > self.plan.fresh;
                if let Some((source, _)) = named.filter(|(_, fill)| stale && fill.revalidate) {
                    self.renew(now, at, source, attempt.key);
                }
                self.seen.stale += u64::from(stale);
                let note = if stale { CacheStatus::Stale } else { CacheStatus::Hit };
                return self.answer(now, number, note, Some(made));
            }
        }
        let Some((source, fill)) = named else {
            // A parent that receives the request directly fills a miss from the origin.
            if self.servers[at].member.role == PARENT && attempt.fill.is_some() {
                return self.ask_origin(now, number, Some(at));
            }
            return self.end(now, number, AttemptStatus::CacheMiss);
        };
        if fill.coalesce && !attempt.write {
            if let Some(waiting) = self.servers[at].filling.get_mut(&attempt.key) {
                waiting.push(number);
                return self.set_stage(number, Stage::Joined);
            }
        }
        // Each core of the cache has a limit on its concurrent fills.
        if self.plan.fills > 0 && self.servers[at].filling.len() >= self.plan.fills && !attempt.write {
            if let Some(attempt) = self.attempts.get_mut(&number) {
                attempt.note = Some(CacheStatus::NoCapacity);
            }
            return self.end(now, number, AttemptStatus::Rejected);
        }
        if !attempt.write {
            self.servers[at].filling.entry(attempt.key).or_default();
        }
        self.queue.add(now + micros(self.way(at, source)), Event::Step(number));
    }

    fn at_source(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        let Some(fill) = attempt.fill else { return };
        let Some(source) = self.server(fill.source) else { return };
        let health = self.servers[source].health;
        if health.silent || !self.reaches(attempt.server, source) {
            return;
        }
        if health.up {
            if let Some(wish) = self.wish(attempt.request) {
                let from = Asker::Server(attempt.server, attempt.version, fill.only_if_cached);
                self.notes.asked(now, &self.plan, source, BETWEEN + number, &wish, from);
            }
        }
        let falls = health.up && !self.bears(now, source);
        if falls {
            self.falls(now, source);
        }
        let kind = self.servers[source].member.role;
        let missing = |world: &mut Self, note: CacheStatus, status: AttemptStatus| {
            if let Some(attempt) = world.attempts.get_mut(&number) {
                attempt.note = Some(note);
            }
            world.end(now, number, status);
        };
        if !health.up || falls {
            return missing(self, CacheStatus::SourceUnreachable, AttemptStatus::Error);
        }
        if kind == ORIGIN {
            return self.ask_origin(now, number, None);
        }
        if health.fails {
            return missing(self, CacheStatus::SourceRejected, AttemptStatus::Error);
        }
        if health.stalled {
            return;
        }
        self.servers[source].asked += 1;
        if !attempt.write {
            if let Some(made) = self.held(now, source, attempt.key, fill.max_age) {
                self.servers[source].hits += 1;
                if let Some(attempt) = self.attempts.get_mut(&number) {
                    attempt.dated = Some(made);
                }
                return self.fill_moves(now, number, CacheStatus::FilledByParent);
            }
        }
        if !attempt.write && kind == PARENT {
            if let Some(made) = self.found_beside(number, fill.max_age, now) {
                self.servers[source].copies.keep(attempt.key, 1, made);
                if let Some(attempt) = self.attempts.get_mut(&number) {
                    attempt.dated = Some(made);
                }
                return self.fill_moves(now, number, CacheStatus::FilledByParent);
            }
        }
        if fill.only_if_cached || kind == 0 {
            return missing(self, CacheStatus::SourceMiss, AttemptStatus::Rejected);
        }
        self.ask_origin(now, number, Some(source));
    }

    pub(super) fn set_stage(&mut self, number: Number, stage: Stage) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = stage;
        }
    }

    /// Transfers a fill to its cache, over the location's link.
    pub(super) fn fill_moves(&mut self, now: Micros, number: Number, note: CacheStatus) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        attempt.note = Some(note);
        attempt.waited = now - attempt.sent;
        let (server, dated) = (attempt.server, attempt.dated);
        let size = self.clients.get(&attempt.request).map_or(1.0, |client| client.size);
        let kind = self.servers[server].member.role;
        let lost = kind == 0 && self.cut[usize::from(self.servers[server].member.zone)];
        if kind != 0 || attempt.write {
            // A direct request of the router, or a response of a few bytes.
            return self.answer(now, number, note, dated);
        }
        attempt.stage = Stage::Filling;
        if !lost {
            let wire = usize::from(self.servers[server].member.zone).min(self.plan.locations);
            self.begin(now, wire, number, size);
        }
    }

    fn answer(&mut self, now: Micros, number: Number, note: CacheStatus, dated: Option<Micros>) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        (attempt.note, attempt.stage, attempt.dated) = (Some(note), Stage::Answering, dated);
        let server = &self.servers[attempt.server];
        let size = self.clients.get(&attempt.request).map_or(1.0, |client| client.size);
        let size = if attempt.write { 1.0 } else { size * server.health.slowness(now) };
        let link = server.link;
        self.begin(now, link, number, size);
    }

    // ---- Links.

    pub(super) fn begin(&mut self, now: Micros, wire: usize, number: Number, bytes: f64) {
        self.wires[wire].fair.begin(now, number, bytes);
        self.plan_link(wire);
    }

    pub(super) fn plan_link(&mut self, wire: usize) {
        let w = &mut self.wires[wire];
        w.version += 1;
        if let Some((at, _)) = w.fair.next() {
            self.queue.add(at, Event::Link(wire, w.version));
        }
    }

    /// The next transfer of a link is due.
    pub(super) fn moved(&mut self, now: Micros, wire: usize, version: u64) {
        if self.wires[wire].version != version {
            return;
        }
        let Some((_, number)) = self.wires[wire].fair.next().filter(|(at, _)| *at <= now) else {
            return self.plan_link(wire);
        };
        self.wires[wire].fair.end(now, number);
        self.plan_link(wire);
        if wire == self.working {
            return self.worked(now, number);
        }
        let Some(attempt) = self.attempts.get(&number).cloned() else { return };
        match attempt.stage {
            Stage::Filling => self.filled(now, number, &attempt),
            Stage::Answering => self.end(now, number, AttemptStatus::Ok),
            _ => {}
        }
    }

    fn filled(&mut self, now: Micros, number: Number, attempt: &Attempt) {
        let Server { copies, filling, .. } = &mut self.servers[attempt.server];
        let made = attempt.dated.unwrap_or(now);
        let rank = attempt.fill.map_or(0, |fill| fill.retention);
        if rank > 0 {
            copies.keep(attempt.key, rank, made);
        }
        let waiting = filling.remove(&attempt.key).unwrap_or_default();
        self.answer(now, number, attempt.note.unwrap_or(CacheStatus::FilledByParent), Some(made));
        for other in waiting {
            self.answer(now, other, CacheStatus::Coalesced, Some(made));
        }
    }

    // ---- Outcomes.

    /// Ends an attempt where it is; its router receives the outcome after the one-way delay.
    pub(super) fn end(&mut self, now: Micros, number: Number, status: AttemptStatus) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        if attempt.stage == Stage::Over {
            return;
        }
        let stage = std::mem::replace(&mut attempt.stage, Stage::Over);
        // A queued attempt was never sent.
        let status = if stage == Stage::Held && status != AttemptStatus::Rejected {
            AttemptStatus::NotExecuted
        } else {
            status
        };
        attempt.status = status;
        let attempt = attempt.clone();
        if stage == Stage::Held {
            self.forget_held(&attempt);
        }
        self.notes.ended(now, number, attempt.ran);
        if stage == Stage::AtOrigin {
            self.leaves_origin(number, attempt.work);
        }
        let at = &mut self.servers[attempt.server];
        if !matches!(stage, Stage::Held | Stage::ToCache) {
            at.in_hand = at.in_hand.saturating_sub(1);
        }
        let (link, zone) = (at.link, usize::from(at.member.zone).min(self.plan.locations));
        // A fill that fails also ends the attempts that wait for it.
        let filled = matches!(stage, Stage::ToSource | Stage::AtOrigin | Stage::Filling) && !attempt.write;
        let waiting = if filled { at.filling.remove(&attempt.key).unwrap_or_default() } else { Vec::new() };
        let wire = match stage {
            Stage::Filling => Some(zone),
            Stage::Answering => Some(link),
            _ => None,
        };
        if let Some(wire) = wire.filter(|_| status != AttemptStatus::Ok) {
            self.wires[wire].fair.end(now, number);
            self.plan_link(wire);
        }
        for other in waiting {
            if let Some(other) = self.attempts.get_mut(&other) {
                other.note = Some(CacheStatus::NoCapacity);
            }
            self.end(now, other, AttemptStatus::Rejected);
        }
        // The router knows at once of attempts that it ends itself.
        let way = match status {
            _ if stage == Stage::Held => 0.0,
            AttemptStatus::TimedOut | AttemptStatus::Cancelled => 0.0,
            _ if self.servers[attempt.server].member.role == 0 => self.plan.near,
            _ => self.plan.far,
        };
        self.queue.add(now + micros(way), Event::Tell(number));
    }

    pub(super) fn outcome(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.remove(&number) else { return };
        self.by_id.remove(&(attempt.request, attempt.number));
        if attempt.status == AttemptStatus::Ok && self.clients.contains_key(&attempt.request) {
            self.served(now, attempt.request, attempt.dated.filter(|_| !attempt.write));
        }
        self.toll(now, &attempt);
        let server = &self.servers[attempt.server];
        let outcome = AttemptOutcome {
            attempt: AttemptId { request: RequestId(attempt.request), number: attempt.number },
            endpoint: server.member.id,
            status: attempt.status,
            request_finished: !self.clients.contains_key(&attempt.request),
            elapsed: ms(now - attempt.sent),
            source_wait: ms(attempt.waited),
            cache_status: attempt.note,
            load_report: server.reported,
        };
        self.tell(now, attempt.router, &PolicyEvent::AttemptFinished(outcome));
    }
}
