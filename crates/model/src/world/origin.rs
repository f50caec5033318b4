//! The origin: its service time grows with its concurrent requests, it completes requests that nobody waits
//! for any more, and it crashes under overload.

use linnethook::interface::{AttemptStatus, CacheStatus};
use rand::RngExt;

use super::{micros, Event, Fault, Number, Seen, Stage, Work, World, PARENT, TOP};
use crate::Micros;

impl World {
    /// An attempt requests from the origin: directly, for its cache, or through a parent that may already
    /// have requested the same key.
    pub(super) fn ask_origin(&mut self, now: Micros, number: Number, parent: Option<usize>) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        let (key, write) = (attempt.key, attempt.write);
        let max_age = attempt.fill.map_or(0.0, |fill| fill.max_age);
        let (parent, through) = match parent.and_then(|n| Some((n, self.top_of(n, key)?))) {
            None => (parent, None),
            Some((below, top)) => {
                let health = self.servers[top].health;
                if health.fails {
                    return self.origin_failed(now, number);
                }
                if health.silent || health.stalled {
                    return;
                }
                if let Some(made) = self.held(now, top, key, max_age).filter(|_| !write) {
                    self.servers[below].copies.keep(key, 1, made);
                    if let Some(attempt) = self.attempts.get_mut(&number) {
                        attempt.dated = Some(made);
                    }
                    return self.fill_moves(now, number, CacheStatus::FilledByParent);
                }
                (Some(top), Some(below).filter(|_| !write))
            }
        };
        let joins = parent.filter(|_| !write);
        if let Some(work) = joins.and_then(|n| self.servers[n].fetching.get(&key)).copied() {
            if let Some(work) = self.works.get_mut(&work) {
                work.through.extend(through);
            }
            return self.waits_for(number, work);
        }
        let origin = self.plan.origin();
        let health = self.servers[origin].health;
        if !health.up || health.fails {
            return self.origin_failed(now, number);
        }
        Seen::count(&mut self.seen.origin, (now / 1_000_000) as usize);
        self.seen.fills += 1;
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::AtOrigin;
        }
        if health.silent || health.stalled {
            return;
        }
        let bears = self.plan.origin_bears;
        if bears > 0 && self.works.len() >= bears {
            self.seen.fell += 1;
            self.strike(now, Fault::Die(origin));
            self.queue.add(now + micros(self.plan.origin_away * 1_000.0), Event::Back(origin));
            return self.origin_failed(now, number);
        }
        if write {
            if let Some(attempt) = self.attempts.get_mut(&number) {
                attempt.ran = true;
            }
        }
        self.last += 1;
        let work = self.last;
        self.works.insert(
            work,
            Work { parent, key, waiting: Vec::new(), through: through.into_iter().collect(), renews: None },
        );
        self.waits_for(number, work);
        if let Some(parent) = joins {
            self.servers[parent].fetching.insert(key, work);
        }
        let takes = self.plan.origin_takes * self.chance.random_range(0.7..1.3);
        self.begin(now, self.working, work, takes * 1_000.0);
    }

    /// Divides the origin's speed by a factor.
    pub(super) fn origin_slows(&mut self, now: Micros, times: f64) {
        let easy = self.plan.origin_easy.max(1) as f64;
        self.wires[self.working].fair.carry(now, easy / times, 1.0 / times);
        self.plan_link(self.working);
    }

    /// The parent of a parent for a key, among those that are running.
    fn top_of(&self, parent: usize, key: u64) -> Option<usize> {
        let first = self.plan.origin() - self.plan.tops;
        let up = (first..self.plan.origin()).filter(|n| self.servers[*n].health.up);
        let tops = up.filter(|_| self.servers[parent].member.role == PARENT);
        tops.min_by_key(|n| {
            linnethook::hash_ring::hash_pair(key, self.servers[*n].member.id.0 ^ u64::from(TOP))
        })
    }

    /// Revalidates a stale copy that a cache has served, unless the origin is unavailable or the key is
    /// already being requested.
    pub(super) fn renew(&mut self, now: Micros, cache: usize, source: usize, key: u64) {
        let health = self.servers[self.plan.origin()].health;
        let through = self.servers[source].member.role == PARENT;
        let there = health.up && !health.fails && !health.silent && !health.stalled;
        let busy = through && self.servers[source].fetching.contains_key(&key);
        let open = self.servers[source].health.up && self.reaches(cache, source);
        if !there || busy || !open || self.servers[cache].renewing.contains(&key) {
            return;
        }
        Seen::count(&mut self.seen.origin, (now / 1_000_000) as usize);
        self.last += 1;
        let (work, parent) = (self.last, through.then_some(source));
        self.works.insert(
            work,
            Work { parent, key, waiting: Vec::new(), through: Vec::new(), renews: Some(cache) },
        );
        self.servers[cache].renewing.insert(key);
        if let Some(parent) = parent {
            self.servers[parent].fetching.insert(key, work);
        }
        let takes = self.plan.origin_takes * self.chance.random_range(0.7..1.3);
        self.begin(now, self.working, work, takes * 1_000.0);
    }

    fn waits_for(&mut self, number: Number, work: Number) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            (attempt.stage, attempt.work) = (Stage::AtOrigin, Some(work));
        }
        if let Some(work) = self.works.get_mut(&work) {
            work.waiting.push(number);
        }
    }

    fn origin_failed(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let direct = attempt.server == self.plan.origin();
        attempt.note = (!direct).then_some(CacheStatus::OriginFailed);
        let up = self.servers[self.plan.origin()].health.up;
        let status = if direct && !up { AttemptStatus::ConnectFailed } else { AttemptStatus::Error };
        self.end(now, number, status);
    }

    /// The origin has completed a request: all attempts that wait for it continue.
    pub(super) fn worked(&mut self, now: Micros, number: Number) {
        let Some(work) = self.works.remove(&number) else { return };
        if let Some(parent) = work.parent {
            if self.servers[parent].fetching.get(&work.key) == Some(&number) {
                self.servers[parent].fetching.remove(&work.key);
                self.servers[parent].copies.keep(work.key, 1, now);
            }
        }
        for below in &work.through {
            let below = &mut self.servers[*below];
            if below.health.up {
                below.copies.keep(work.key, 1, now);
            }
        }
        if let Some(cache) = work.renews {
            self.servers[cache].renewing.remove(&work.key);
            self.servers[cache].copies.keep(work.key, 1, now);
        } else if work.waiting.is_empty() {
            self.seen.in_vain += 1;
        }
        for (n, attempt) in work.waiting.into_iter().enumerate() {
            if let Some(attempt) = self.attempts.get_mut(&attempt) {
                attempt.dated = Some(now);
            }
            self.fill_moves(
                now,
                attempt,
                if n == 0 { CacheStatus::FilledByOrigin } else { CacheStatus::FilledByParent },
            );
        }
    }

    /// An attempt stops waiting for the origin, which completes the request all the same.
    pub(super) fn leaves_origin(&mut self, number: Number, work: Option<Number>) {
        if let Some(work) = work.and_then(|work| self.works.get_mut(&work)) {
            work.waiting.retain(|other| *other != number);
        }
    }

    /// The origin crashed: its requests are lost.
    pub(super) fn origin_lost(&mut self, now: Micros) {
        for (number, work) in std::mem::take(&mut self.works) {
            self.wires[self.working].fair.end(now, number);
            if let Some(cache) = work.renews {
                self.servers[cache].renewing.remove(&work.key);
            }
            if let Some(parent) = work.parent {
                self.servers[parent].fetching.remove(&work.key);
            }
            for number in work.waiting {
                self.origin_failed(now, number);
            }
        }
    }

    /// A parent crashed: the attempts that wait at it fail, but the origin completes its requests.
    pub(super) fn parent_lost(&mut self, now: Micros, parent: usize) {
        self.servers[parent].fetching.clear();
        let of_it = self.works.values_mut().filter(|work| work.parent == Some(parent));
        let waiting: Vec<Number> = of_it.flat_map(|work| std::mem::take(&mut work.waiting)).collect();
        for number in waiting {
            if let Some(attempt) = self.attempts.get_mut(&number) {
                attempt.note = Some(CacheStatus::SourceUnreachable);
            }
            self.end(now, number, AttemptStatus::Error);
        }
    }
}
