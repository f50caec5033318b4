//! Owns the shield: which fills go now, which wait for a moment, and which are over what the tiers above bear.
//!
//! Before a fill goes it asks for the lease on its object and source, and for its part of the budget of each tier
//! that it is likely to reach. What can't go waits, bounded in time, number and bytes, bookings first, renewals
//! last; the rest is told at once when to come back. Must never pick a source, hold a booking back, or keep
//! anything waiting past its time.

use std::collections::{BTreeMap, HashMap};

use linnethook::interface::Ms;
use rustc_hash::FxBuildHasher;
use serde::Serialize;

use crate::lease::{FetchKey, Grant, LeaseId, LeaseTable};
use crate::rate_budget::{RateBudget, RateBudgetConfig};
use crate::topology::NodeId;

/// A request's name with whoever asks.
pub type Ticket = u64;

/// What goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Runs at the origin and is never held back.
    Write,
    /// Somebody waits for it.
    Demand,
    /// A copy that could still be served is renewed behind.
    Revalidation,
}

/// A fill that is to go.
#[derive(Debug, Clone, PartialEq)]
pub struct FillRequest {
    pub ticket: Ticket,
    pub fetch: FetchKey,
    pub priority: Priority,
    pub bytes: f64,
    /// Whether it may join one that is under way where it goes.
    pub may_join: bool,
    /// Whether it will most likely take place. What a cache holds is asked for by many at once, and none waits.
    pub needs_lease: bool,
    /// How long it can wait and still be in time.
    pub max_wait: Ms,
    /// The tiers that it will reach, with how likely: its source first.
    pub tolls: Vec<(NodeId, f64)>,
}

/// Why a fill does not go now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ShieldRejection {
    /// Another fetches the same, and this one can't wait for it.
    #[serde(rename = "fetched")]
    FetchInProgress,
    /// The tiers above have more than they bear.
    #[serde(rename = "budget")]
    BudgetExhausted,
    /// Too much waits already.
    #[serde(rename = "queue")]
    QueueFull,
    /// It has waited as long as it could.
    #[serde(rename = "time")]
    QueueTimeout,
}

/// What is said of a fill.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShieldDecision {
    Admit,
    /// It waits; one more word on it comes by then.
    Queue {
        until: Ms,
    },
    /// It does not go: only what is held, or an answer that says when to come back.
    Reject {
        reason: ShieldRejection,
        retry_after: Ms,
    },
}

/// The word on a fill that waited.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedDecision {
    pub ticket: Ticket,
    /// Never [`ShieldDecision::Queue`].
    pub decision: ShieldDecision,
}

/// How a fill ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillOutcome {
    /// There is a copy now.
    pub brought: bool,
    pub late: Option<bool>,
    /// It reached its source, and went on beyond it.
    pub filled: Option<bool>,
    pub reached: Option<bool>,
}

/// Every bound of the shield.
#[derive(Debug, Clone, Copy)]
pub struct ShieldConfig {
    pub budget: RateBudgetConfig,
    /// How long a lease lasts at the most: a filler that is lost blocks no longer.
    pub lease_duration: Ms,
    pub max_leases: usize,
    /// Fills that may wait, how many bytes they may want, and for how long.
    pub max_queued: usize,
    pub max_queued_bytes: f64,
    pub max_wait: Ms,
    /// The least and the most that is said of when to come back.
    pub min_retry_after: Ms,
    pub max_retry_after: Ms,
    /// Targets of which a budget is kept.
    pub max_targets: usize,
}

impl Default for ShieldConfig {
    fn default() -> Self {
        Self {
            budget: RateBudgetConfig::default(),
            lease_duration: 1_500.0,
            max_leases: 16_384,
            max_queued: 256,
            max_queued_bytes: 16.0 * 1024.0 * 1024.0,
            max_wait: 150.0,
            min_retry_after: 50.0,
            max_retry_after: 2_000.0,
            max_targets: 1_024,
        }
    }
}

/// One that waits.
#[derive(Debug, Clone)]
struct Waiting {
    fill: FillRequest,
    until: Ms,
}

/// One that went, until its end is reported.
#[derive(Debug, Clone)]
struct Out {
    fetch: FetchKey,
    lease: Option<LeaseId>,
    tolls: Vec<(NodeId, f64)>,
}

/// What was let through and what was not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ShieldCounters {
    #[serde(rename = "gone")]
    pub admitted: u64,
    pub joined: u64,
    #[serde(rename = "waited")]
    pub queued: u64,
    #[serde(rename = "over_fetched")]
    pub rejected_fetch_in_progress: u64,
    #[serde(rename = "over_budget")]
    pub rejected_budget: u64,
    #[serde(rename = "over_queue")]
    pub rejected_queue_full: u64,
    #[serde(rename = "over_time")]
    pub rejected_queue_timeout: u64,
    #[serde(rename = "leases_lost")]
    pub leases_expired: u64,
}

#[derive(Debug, Clone)]
pub struct OriginShield {
    rule: ShieldConfig,
    leases: LeaseTable,
    budgets: BTreeMap<NodeId, RateBudget>,
    /// In the order in which they go: by priority, then by when they came.
    queue: BTreeMap<(Priority, u64), Waiting>,
    places: HashMap<Ticket, (Priority, u64), FxBuildHasher>,
    /// Those that wait for the end of a fetch, not for a budget.
    behind: BTreeMap<FetchKey, Vec<Ticket>>,
    queue_bytes: f64,
    last: u64,
    out: BTreeMap<Ticket, Out>,
    counts: ShieldCounters,
}

impl OriginShield {
    pub fn new(rule: ShieldConfig) -> Self {
        Self {
            leases: LeaseTable::new(rule.max_leases),
            rule,
            budgets: BTreeMap::new(),
            queue: BTreeMap::new(),
            places: HashMap::default(),
            behind: BTreeMap::new(),
            queue_bytes: 0.0,
            last: 0,
            out: BTreeMap::new(),
            counts: ShieldCounters::default(),
        }
    }

    pub fn counters(&self) -> ShieldCounters {
        self.counts
    }

    /// Fills that wait, that are out, and leases held.
    pub fn kept(&self) -> (usize, usize, usize) {
        (self.queue.len(), self.out.len(), self.leases.len())
    }

    /// Targets with what goes there and what may, in fills a second.
    pub fn budgets(&self, now: Ms) -> impl Iterator<Item = (NodeId, f64, f64)> + '_ {
        self.budgets.iter().map(move |(id, budget)| (*id, budget.rate(now), budget.limit(now)))
    }

    pub fn budget(&self, target: NodeId) -> Option<&RateBudget> {
        self.budgets.get(&target)
    }

    fn budget_of(&mut self, now: Ms, target: NodeId) -> Option<&mut RateBudget> {
        let rule = self.rule.budget;
        if !self.budgets.contains_key(&target) && self.budgets.len() >= self.rule.max_targets {
            return None;
        }
        Some(self.budgets.entry(target).or_insert_with(|| RateBudget::new(now, rule)))
    }

    /// Asks for a fill to go.
    pub fn request_fill(&mut self, now: Ms, fill: FillRequest) -> ShieldDecision {
        if fill.priority == Priority::Write {
            self.go(now, &fill, None);
            return ShieldDecision::Admit;
        }
        match self.try_go(now, &fill) {
            Ok(()) => ShieldDecision::Admit,
            Err(why) => self.wait(now, fill, why),
        }
    }

    /// Lets it go if nobody fetches the same and the tiers above bear it.
    fn try_go(&mut self, now: Ms, fill: &FillRequest) -> Result<(), ShieldRejection> {
        if fill.needs_lease && self.leases.is_taken(now, fill.fetch) {
            if !fill.may_join {
                return Err(ShieldRejection::FetchInProgress);
            }
            self.counts.joined += 1;
            let joined = FillRequest { tolls: Vec::new(), ..fill.clone() };
            self.go(now, &joined, None);
            return Ok(());
        }
        let bears = |(target, cost): &(NodeId, f64)| {
            self.budgets.get(target).is_none_or(|budget| budget.admits(now, *cost))
        };
        if !fill.tolls.iter().all(bears) {
            return Err(ShieldRejection::BudgetExhausted);
        }
        let lease = fill.needs_lease.then(|| self.leases.ask(now, fill.fetch, self.rule.lease_duration));
        let lease = match lease {
            Some(Grant::Granted(id)) => Some(id),
            Some(Grant::AlreadyLeased(_) | Grant::Untracked) | None => None,
        };
        self.go(now, fill, lease);
        Ok(())
    }

    fn go(&mut self, now: Ms, fill: &FillRequest, lease: Option<LeaseId>) {
        self.counts.admitted += 1;
        for (target, cost) in &fill.tolls {
            if let Some(budget) = self.budget_of(now, *target) {
                budget.spend(now, *cost);
            }
        }
        let out = Out { fetch: fill.fetch, lease, tolls: fill.tolls.clone() };
        // The same request once more: what it had before is over.
        if let Some(Out { fetch, lease: Some(lease), .. }) = self.out.insert(fill.ticket, out) {
            self.leases.release(fetch, lease);
        }
    }

    fn wait(&mut self, now: Ms, fill: FillRequest, why: ShieldRejection) -> ShieldDecision {
        let delay = match why {
            ShieldRejection::BudgetExhausted => self.delay(now, &fill),
            _ => 0.0,
        };
        let span = fill.max_wait.min(self.rule.max_wait);
        let full = self.queue.len() >= self.rule.max_queued
            || self.queue_bytes + fill.bytes > self.rule.max_queued_bytes;
        if span <= 0.0 || delay > span || full || fill.priority == Priority::Revalidation {
            let why = if full && delay <= span { ShieldRejection::QueueFull } else { why };
            return self.over(why, delay);
        }
        self.last += 1;
        self.counts.queued += 1;
        let (place, until) = ((fill.priority, self.last), now + span);
        self.queue_bytes += fill.bytes;
        self.places.insert(fill.ticket, place);
        if why == ShieldRejection::FetchInProgress {
            self.behind.entry(fill.fetch).or_default().push(fill.ticket);
        }
        self.queue.insert(place, Waiting { fill, until });
        ShieldDecision::Queue { until }
    }

    /// How long until its budgets bear it.
    fn delay(&self, now: Ms, fill: &FillRequest) -> Ms {
        let wait = |(target, cost): &(NodeId, f64)| {
            self.budgets.get(target).map_or(0.0, |budget| budget.wait(now, *cost))
        };
        fill.tolls.iter().map(wait).fold(0.0, f64::max)
    }

    fn over(&mut self, why: ShieldRejection, delay: Ms) -> ShieldDecision {
        *match why {
            ShieldRejection::FetchInProgress => &mut self.counts.rejected_fetch_in_progress,
            ShieldRejection::BudgetExhausted => &mut self.counts.rejected_budget,
            ShieldRejection::QueueFull => &mut self.counts.rejected_queue_full,
            ShieldRejection::QueueTimeout => &mut self.counts.rejected_queue_timeout,
        } += 1;
        ShieldDecision::Reject {
            reason: why,
            retry_after: delay.clamp(self.rule.min_retry_after, self.rule.max_retry_after),
        }
    }

    fn leave(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.places.remove(&ticket)?;
        let waiting = self.queue.remove(&place)?;
        self.queue_bytes = (self.queue_bytes - waiting.fill.bytes).max(0.0);
        if let Some(others) = self.behind.get_mut(&waiting.fill.fetch) {
            others.retain(|other| *other != ticket);
            if others.is_empty() {
                self.behind.remove(&waiting.fill.fetch);
            }
        }
        Some(waiting)
    }

    /// Nobody waits for it any more. True where it was waiting here, and never went.
    pub fn cancel_fill(&mut self, ticket: Ticket) -> bool {
        self.leave(ticket).is_some()
    }

    /// Takes back all that wait for a fill from that source: it may not be used any more.
    pub fn cancel_source(&mut self, source: NodeId) -> Vec<Ticket> {
        let meant = self.queue.values().filter(|waiting| waiting.fill.fetch.source == source);
        let meant: Vec<Ticket> = meant.map(|waiting| waiting.fill.ticket).collect();
        meant.iter().for_each(|ticket| drop(self.leave(*ticket)));
        meant
    }

    /// How a fill ended that went: whether it brought a copy, and whether that was late and it reached the tiers
    /// above its source, as far as that is known.
    pub fn complete_fill(&mut self, now: Ms, ticket: Ticket, end: FillOutcome) -> Vec<QueuedDecision> {
        let Some(out) = self.out.remove(&ticket) else { return Vec::new() };
        for (n, (target, cost)) in out.tolls.iter().enumerate() {
            let Some(budget) = self.budgets.get_mut(target) else { continue };
            // What was only likely is set right now that it is known.
            let cost = match if n == 0 { end.filled } else { end.reached } {
                Some(reached) => {
                    let true_cost = f64::from(u8::from(reached));
                    budget.spend(now, true_cost - cost);
                    true_cost
                }
                None => *cost,
            };
            // What most likely did not reach a tier tells nothing of it.
            if let Some(late) = end.late.filter(|_| cost >= 0.5) {
                budget.report(now, late);
            }
        }
        let brought = end.brought;
        match out.lease {
            Some(lease) if self.leases.release(out.fetch, lease) => self.follow(now, out.fetch, brought),
            _ => Vec::new(),
        }
    }

    /// Those behind a fetch that is over: all of them where it brought a copy, else the first one tries.
    fn follow(&mut self, now: Ms, fetch: FetchKey, brought: bool) -> Vec<QueuedDecision> {
        let mut released = Vec::new();
        let behind = self.behind.get(&fetch).cloned().unwrap_or_default();
        for ticket in behind {
            let Some(waiting) = self.leave(ticket) else { continue };
            if brought {
                let held = FillRequest { tolls: Vec::new(), ..waiting.fill };
                self.go(now, &held, None);
                released.push(QueuedDecision { ticket, decision: ShieldDecision::Admit });
            } else if self.try_go(now, &waiting.fill).is_ok() {
                released.push(QueuedDecision { ticket, decision: ShieldDecision::Admit });
            } else {
                self.wait_on(waiting, self.leases.is_taken(now, fetch));
            }
        }
        released
    }

    /// Puts one back that has waited already, with its time as it was.
    fn wait_on(&mut self, waiting: Waiting, behind: bool) {
        self.last += 1;
        let place = (waiting.fill.priority, self.last);
        self.queue_bytes += waiting.fill.bytes;
        self.places.insert(waiting.fill.ticket, place);
        if behind {
            self.behind.entry(waiting.fill.fetch).or_default().push(waiting.fill.ticket);
        }
        self.queue.insert(place, waiting);
    }

    /// Lets go what may by now, in its order, and ends what has waited too long.
    pub fn tick(&mut self, now: Ms) -> Vec<QueuedDecision> {
        let mut released = Vec::new();
        self.budgets.values_mut().for_each(|budget| budget.tick(now));
        for fetch in self.leases.expired(now) {
            self.counts.leases_expired += 1;
            released.extend(self.follow(now, fetch, false));
        }
        let waiting: Vec<Ticket> = self.queue.values().map(|waiting| waiting.fill.ticket).collect();
        let mut spent = false;
        for ticket in waiting {
            let Some(place) = self.places.get(&ticket).copied() else { continue };
            let Some(waiting) = self.queue.get(&place) else { continue };
            let behind = self.behind.get(&waiting.fill.fetch).is_some_and(|all| all.contains(&ticket));
            if now >= waiting.until {
                let delay = self.delay(now, &waiting.fill);
                self.leave(ticket);
                released.push(QueuedDecision {
                    ticket,
                    decision: self.over(ShieldRejection::QueueTimeout, delay),
                });
            } else if !behind && !spent {
                let fill = waiting.fill.clone();
                match self.try_go(now, &fill) {
                    Ok(()) => {
                        self.leave(ticket);
                        released.push(QueuedDecision { ticket, decision: ShieldDecision::Admit });
                    }
                    // Those after it must not pass it by, unless they wait for something else.
                    Err(ShieldRejection::BudgetExhausted) => spent = self.same_tolls(),
                    Err(_) => {}
                }
            }
        }
        released
    }

    /// Whether all that wait want the same budgets, so that none can go before the first.
    fn same_tolls(&self) -> bool {
        let mut all = self.queue.values().map(|waiting| waiting.fill.tolls.first().map(|toll| toll.0));
        let first = all.next();
        all.all(|toll| Some(toll) == first)
    }

    /// When `tick` has something to do, as far as that is known.
    pub fn next_deadline(&self, now: Ms) -> Option<Ms> {
        let ends = self.queue.values().map(|waiting| waiting.until).reduce(f64::min);
        let budget = self.queue.values().next().map(|first| now + self.delay(now, &first.fill).max(1.0));
        let lease = self.leases.next().filter(|_| !self.behind.is_empty());
        [ends, budget, lease].into_iter().flatten().reduce(f64::min)
    }

    /// The shape begins to change below that target: its budget is held near what went there before. What it
    /// never had anything from is left alone; the stages hold that back.
    pub fn begin_change(&mut self, now: Ms, target: NodeId) {
        if let Some(budget) = self.budgets.get_mut(&target) {
            budget.begin_change(now);
        }
    }

    /// Whether a tier above what changes has hardly more room.
    pub fn is_tight(&self, now: Ms) -> bool {
        self.budgets.values().any(|budget| budget.is_tight(now))
    }

    /// Whether what went to a tier above what changes is still being learned.
    pub fn is_learning(&self) -> bool {
        self.budgets.values().any(RateBudget::is_learning)
    }

    /// No change is under way any more.
    pub fn end_change(&mut self, now: Ms) {
        self.budgets.values_mut().for_each(|budget| budget.end_change(now));
    }

    /// Drops the budgets of nodes that are gone.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.budgets.retain(|id, _| keep(*id));
    }
}
