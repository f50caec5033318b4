//! The origin: its service time grows with its concurrent requests, it completes requests that nobody waits
//! for any more, and it crashes under overload.

use linnethook::interface::{AttemptStatus, CacheStatus};
use rand::RngExt;

use super::{micros, Event, Fault, Number, Simulation, Stage, Statistics, Work, PARENT, TOP};
use crate::Micros;

impl Simulation {
    /// An attempt requests from the origin: directly, for its cache, or through a parent that may already
    /// have requested the same key.
    pub(super) fn request_from_origin(&mut self, now: Micros, number: Number, parent: Option<usize>) {
        let Some(attempt) = self.attempts.get(&number) else { return };
        let (key, is_write) = (attempt.key, attempt.is_write);
        let max_age = attempt.fill.map_or(0.0, |fill| fill.max_age);
        let (parent, downstream_parent) = match parent.and_then(|n| Some((n, self.parent_of_parent(n, key)?)))
        {
            None => (parent, None),
            Some((lower_parent, top)) => {
                let health = self.servers[top].health;
                if health.fails_fast {
                    return self.fail_origin_request(now, number);
                }
                if health.silent || health.stalled {
                    return;
                }
                if let Some(issued_at) = self.cached_copy(now, top, key, max_age).filter(|_| !is_write) {
                    self.servers[lower_parent].copies.insert(key, 1, issued_at);
                    if let Some(attempt) = self.attempts.get_mut(&number) {
                        attempt.issued_at = Some(issued_at);
                    }
                    return self.transfer_fill(now, number, CacheStatus::FilledByParent);
                }
                (Some(top), Some(lower_parent).filter(|_| !is_write))
            }
        };
        let coalescing_parent = parent.filter(|_| !is_write);
        if let Some(work) = coalescing_parent.and_then(|n| self.servers[n].origin_fetches.get(&key)).copied()
        {
            if let Some(work) = self.origin_work.get_mut(&work) {
                work.downstream_parents.extend(downstream_parent);
            }
            return self.wait_for_work(number, work);
        }
        let origin = self.plan.origin();
        let health = self.servers[origin].health;
        if !health.up || health.fails_fast {
            return self.fail_origin_request(now, number);
        }
        Statistics::count(&mut self.statistics.origin_requests, (now / 1_000_000) as usize);
        self.statistics.origin_fills += 1;
        if let Some(attempt) = self.attempts.get_mut(&number) {
            attempt.stage = Stage::AtOrigin;
        }
        if health.silent || health.stalled {
            return;
        }
        let crash_limit = self.plan.origin_crash_limit;
        if crash_limit > 0 && self.origin_work.len() >= crash_limit {
            self.statistics.crashes += 1;
            self.inject_fault(now, Fault::Crash(origin));
            self.queue.add(now + micros(self.plan.origin_restart_delay * 1_000.0), Event::Restart(origin));
            return self.fail_origin_request(now, number);
        }
        if is_write {
            if let Some(attempt) = self.attempts.get_mut(&number) {
                attempt.executed = true;
            }
        }
        self.last_number += 1;
        let work = self.last_number;
        self.origin_work.insert(
            work,
            Work {
                parent,
                key,
                waiting: Vec::new(),
                downstream_parents: downstream_parent.into_iter().collect(),
                revalidating_cache: None,
            },
        );
        self.wait_for_work(number, work);
        if let Some(parent) = coalescing_parent {
            self.servers[parent].origin_fetches.insert(key, work);
        }
        let service_time = self.plan.origin_service_time * self.rng.random_range(0.7..1.3);
        self.begin_transfer(now, self.origin_processor, work, service_time * 1_000.0);
    }

    /// Divides the origin's speed by a factor.
    pub(super) fn slow_origin(&mut self, now: Micros, factor: f64) {
        let concurrency = self.plan.origin_concurrency.max(1) as f64;
        self.links[self.origin_processor].transfers.set_bandwidth(now, concurrency / factor, 1.0 / factor);
        self.schedule_completion(self.origin_processor);
    }

    /// The parent of a parent for a key, among those that are running.
    fn parent_of_parent(&self, parent: usize, key: u64) -> Option<usize> {
        let first = self.plan.origin() - self.plan.top_parents;
        let up = (first..self.plan.origin()).filter(|n| self.servers[*n].health.up);
        let tops = up.filter(|_| self.servers[parent].endpoint.role == PARENT);
        tops.min_by_key(|n| {
            linnethook::hash_ring::hash_pair(key, self.servers[*n].endpoint.id.0 ^ u64::from(TOP))
        })
    }

    /// Revalidates a stale copy that a cache has served, unless the origin is unavailable or the key is
    /// already being requested.
    pub(super) fn revalidate(&mut self, now: Micros, cache: usize, source: usize, key: u64) {
        let health = self.servers[self.plan.origin()].health;
        let through_parent = self.servers[source].endpoint.role == PARENT;
        let origin_available = health.up && !health.fails_fast && !health.silent && !health.stalled;
        let already_requested = through_parent && self.servers[source].origin_fetches.contains_key(&key);
        let source_reachable = self.servers[source].health.up && self.servers_connected(cache, source);
        if !origin_available
            || already_requested
            || !source_reachable
            || self.servers[cache].revalidations.contains(&key)
        {
            return;
        }
        Statistics::count(&mut self.statistics.origin_requests, (now / 1_000_000) as usize);
        self.last_number += 1;
        let (work, parent) = (self.last_number, through_parent.then_some(source));
        self.origin_work.insert(
            work,
            Work {
                parent,
                key,
                waiting: Vec::new(),
                downstream_parents: Vec::new(),
                revalidating_cache: Some(cache),
            },
        );
        self.servers[cache].revalidations.insert(key);
        if let Some(parent) = parent {
            self.servers[parent].origin_fetches.insert(key, work);
        }
        let service_time = self.plan.origin_service_time * self.rng.random_range(0.7..1.3);
        self.begin_transfer(now, self.origin_processor, work, service_time * 1_000.0);
    }

    fn wait_for_work(&mut self, number: Number, work: Number) {
        if let Some(attempt) = self.attempts.get_mut(&number) {
            (attempt.stage, attempt.work) = (Stage::AtOrigin, Some(work));
        }
        if let Some(work) = self.origin_work.get_mut(&work) {
            work.waiting.push(number);
        }
    }

    fn fail_origin_request(&mut self, now: Micros, number: Number) {
        let Some(attempt) = self.attempts.get_mut(&number) else { return };
        let direct = attempt.server == self.plan.origin();
        attempt.cache_status = (!direct).then_some(CacheStatus::OriginFailed);
        let up = self.servers[self.plan.origin()].health.up;
        let status = if direct && !up { AttemptStatus::ConnectFailed } else { AttemptStatus::Error };
        self.end_attempt(now, number, status);
    }

    /// The origin has completed a request: all attempts that wait for it continue.
    pub(super) fn complete_work(&mut self, now: Micros, number: Number) {
        let Some(work) = self.origin_work.remove(&number) else { return };
        if let Some(parent) = work.parent {
            if self.servers[parent].origin_fetches.get(&work.key) == Some(&number) {
                self.servers[parent].origin_fetches.remove(&work.key);
                self.servers[parent].copies.insert(work.key, 1, now);
            }
        }
        for lower_parent in &work.downstream_parents {
            let lower_parent = &mut self.servers[*lower_parent];
            if lower_parent.health.up {
                lower_parent.copies.insert(work.key, 1, now);
            }
        }
        if let Some(cache) = work.revalidating_cache {
            self.servers[cache].revalidations.remove(&work.key);
            self.servers[cache].copies.insert(work.key, 1, now);
        } else if work.waiting.is_empty() {
            self.statistics.wasted_origin_work += 1;
        }
        for (n, attempt) in work.waiting.into_iter().enumerate() {
            if let Some(attempt) = self.attempts.get_mut(&attempt) {
                attempt.issued_at = Some(now);
            }
            self.transfer_fill(
                now,
                attempt,
                if n == 0 { CacheStatus::FilledByOrigin } else { CacheStatus::FilledByParent },
            );
        }
    }

    /// An attempt stops waiting for the origin, which completes the request all the same.
    pub(super) fn stop_waiting(&mut self, number: Number, work: Option<Number>) {
        if let Some(work) = work.and_then(|work| self.origin_work.get_mut(&work)) {
            work.waiting.retain(|other| *other != number);
        }
    }

    /// The origin crashed: its requests are lost.
    pub(super) fn lose_origin_work(&mut self, now: Micros) {
        for (number, work) in std::mem::take(&mut self.origin_work) {
            self.links[self.origin_processor].transfers.end(now, number);
            if let Some(cache) = work.revalidating_cache {
                self.servers[cache].revalidations.remove(&work.key);
            }
            if let Some(parent) = work.parent {
                self.servers[parent].origin_fetches.remove(&work.key);
            }
            for number in work.waiting {
                self.fail_origin_request(now, number);
            }
        }
    }

    /// A parent crashed: the attempts that wait at it fail, but the origin completes its requests.
    pub(super) fn fail_waiters_of_parent(&mut self, now: Micros, parent: usize) {
        self.servers[parent].origin_fetches.clear();
        let own_work = self.origin_work.values_mut().filter(|work| work.parent == Some(parent));
        let waiting: Vec<Number> = own_work.flat_map(|work| std::mem::take(&mut work.waiting)).collect();
        for number in waiting {
            if let Some(attempt) = self.attempts.get_mut(&number) {
                attempt.cache_status = Some(CacheStatus::SourceUnreachable);
            }
            self.end_attempt(now, number, AttemptStatus::Error);
        }
    }
}
