//! Protects parents and the origin from more fills than they can serve.
//!
//! The decision on a fill follows these rules, in this order:
//!
//! 1. A write is admitted.
//! 2. A fill whose key another fill is fetching joins that fetch if its source supports it, and is otherwise
//!    queued until that fetch ends.
//! 3. A fill is admitted if the rate budgets of all tiers that it may reach admit its expected cost.
//! 4. Any other fill is queued, by priority and order of arrival, unless the queue is full, its budgets admit
//!    it only after its longest queueing time, or it is a revalidation. It is then rejected with a
//!    Retry-After.
//!
//! A queued fill is admitted when its fetch has ended or its budgets admit it, and rejected when its queueing
//! time expires. The shield never selects a source.

use std::collections::BTreeMap;

use linnethook::interface::Ms;
use serde::Serialize;

use crate::lease::{FetchKey, Grant, LeaseId, LeaseTable};
use crate::node::NodeId;
use crate::rate_budget::RateBudget;

mod config;
mod fill;
mod queue;

pub use self::config::ShieldConfig;
pub use self::fill::{
    FillOutcome, FillRequest, Priority, QueuedDecision, ShieldDecision, ShieldRejection, Ticket, TierCost,
};
use self::queue::{FillQueue, QueuedFill};

/// The end of a fill counts as an observation of a tier if the probability that it reached the tier is at
/// least this.
const MIN_OBSERVED_COST: f64 = 0.5;

/// The shortest time between two checks of the budgets of the first queued fill, in milliseconds.
const MIN_BUDGET_DELAY: Ms = 1.0;

/// A fill that was admitted and whose end was not reported yet.
#[derive(Debug, Clone)]
struct InFlightFill {
    fetch: FetchKey,
    lease: Option<LeaseId>,
    tier_costs: Vec<TierCost>,
}

/// Numbers of fills by decision since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct ShieldCounters {
    /// Fills admitted, immediately or from the queue.
    #[serde(rename = "gone")]
    pub admitted: u64,
    /// Fills that joined a fetch of the same key.
    pub joined: u64,
    /// Fills queued.
    #[serde(rename = "waited")]
    pub queued: u64,
    /// Fills rejected with [`ShieldRejection::FetchInProgress`].
    #[serde(rename = "over_fetched")]
    pub rejected_fetch_in_progress: u64,
    /// Fills rejected with [`ShieldRejection::BudgetExhausted`].
    #[serde(rename = "over_budget")]
    pub rejected_budget: u64,
    /// Fills rejected with [`ShieldRejection::QueueFull`].
    #[serde(rename = "over_queue")]
    pub rejected_queue_full: u64,
    /// Fills rejected with [`ShieldRejection::QueueTimeout`].
    #[serde(rename = "over_time")]
    pub rejected_queue_timeout: u64,
    /// Leases that expired before their fetch ended.
    #[serde(rename = "leases_lost")]
    pub leases_expired: u64,
}

/// The current size of the shield's tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShieldOccupancy {
    /// Fills queued.
    pub queued: usize,
    /// Admitted fills whose end was not reported yet.
    pub in_flight: usize,
    /// Leases in the table.
    pub leases: usize,
}

/// The budget of a target, in fills per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetStatus {
    /// The parent or origin.
    pub target: NodeId,
    /// The rate of fills that are sent to it.
    pub rate: f64,
    /// The limit on that rate; infinite if unlimited.
    pub limit: f64,
}

/// The shield of one router.
#[derive(Debug, Clone)]
pub struct OriginShield {
    config: ShieldConfig,
    leases: LeaseTable,
    budgets: BTreeMap<NodeId, RateBudget>,
    queue: FillQueue,
    in_flight: BTreeMap<Ticket, InFlightFill>,
    counters: ShieldCounters,
}

impl OriginShield {
    /// A shield without fills or limits.
    pub fn new(config: ShieldConfig) -> Self {
        Self {
            leases: LeaseTable::new(config.max_leases),
            config,
            budgets: BTreeMap::new(),
            queue: FillQueue::default(),
            in_flight: BTreeMap::new(),
            counters: ShieldCounters::default(),
        }
    }

    /// Numbers of fills by decision since the start.
    pub fn counters(&self) -> ShieldCounters {
        self.counters
    }

    /// The current size of the tables.
    pub fn occupancy(&self) -> ShieldOccupancy {
        ShieldOccupancy {
            queued: self.queue.len(),
            in_flight: self.in_flight.len(),
            leases: self.leases.len(),
        }
    }

    /// The budgets of all targets, by id.
    pub fn budgets(&self, now: Ms) -> impl Iterator<Item = BudgetStatus> + '_ {
        self.budgets.iter().map(move |(target, budget)| BudgetStatus {
            target: *target,
            rate: budget.rate(now),
            limit: budget.limit(now),
        })
    }

    /// The budget of a target; `None` if no fill was sent to it.
    pub fn budget(&self, target: NodeId) -> Option<&RateBudget> {
        self.budgets.get(&target)
    }

    // Decisions.

    /// Admits, queues or rejects a fill by the rules of this module.
    pub fn request_fill(&mut self, now: Ms, fill: FillRequest) -> ShieldDecision {
        if fill.priority == Priority::Write {
            self.admit(now, &fill, None);
            return ShieldDecision::Admit;
        }
        match self.try_admit(now, &fill) {
            Ok(()) => ShieldDecision::Admit,
            Err(reason) => self.queue_or_reject(now, fill, reason),
        }
    }

    /// Admits a fill if it may join a fetch of its key, or if no other fill is fetching the key and its
    /// budgets admit it.
    fn try_admit(&mut self, now: Ms, fill: &FillRequest) -> Result<(), ShieldRejection> {
        if fill.needs_lease && self.leases.is_leased(now, fill.fetch) {
            if !fill.may_join {
                return Err(ShieldRejection::FetchInProgress);
            }
            self.counters.joined += 1;
            self.admit_without_cost(now, fill.clone());
            return Ok(());
        }
        if !fill.tier_costs.iter().all(|cost| self.budget_admits(now, cost)) {
            return Err(ShieldRejection::BudgetExhausted);
        }
        let lease = if fill.needs_lease { self.acquire_lease(now, fill.fetch) } else { None };
        self.admit(now, fill, lease);
        Ok(())
    }

    fn budget_admits(&self, now: Ms, cost: &TierCost) -> bool {
        let budget = self.budgets.get(&cost.target);
        budget.is_none_or(|budget| budget.admits(now, cost.expected_fills))
    }

    fn acquire_lease(&mut self, now: Ms, fetch: FetchKey) -> Option<LeaseId> {
        match self.leases.acquire(now, fetch, self.config.lease_duration) {
            Grant::Granted(id) => Some(id),
            Grant::AlreadyLeased(_) | Grant::Untracked => None,
        }
    }

    fn admit(&mut self, now: Ms, fill: &FillRequest, lease: Option<LeaseId>) {
        self.counters.admitted += 1;
        for cost in &fill.tier_costs {
            if let Some(budget) = self.budget_mut(now, cost.target) {
                budget.spend(now, cost.expected_fills);
            }
        }
        let in_flight = InFlightFill { fetch: fill.fetch, lease, tier_costs: fill.tier_costs.clone() };
        let replaced = self.in_flight.insert(fill.ticket, in_flight);
        // The same ticket was admitted before: its earlier fetch has ended.
        if let Some(InFlightFill { fetch, lease: Some(lease), .. }) = replaced {
            self.leases.release(fetch, lease);
        }
    }

    /// Admits a fill that is served by the fetch of another one.
    fn admit_without_cost(&mut self, now: Ms, fill: FillRequest) {
        let fill = FillRequest { tier_costs: Vec::new(), ..fill };
        self.admit(now, &fill, None);
    }

    /// The budget of a target; `None` if the maximum number of targets is reached.
    fn budget_mut(&mut self, now: Ms, target: NodeId) -> Option<&mut RateBudget> {
        let config = self.config.budget;
        if !self.budgets.contains_key(&target) && self.budgets.len() >= self.config.max_targets {
            return None;
        }
        Some(self.budgets.entry(target).or_insert_with(|| RateBudget::new(now, config)))
    }

    /// Queues a fill that is not admitted now, or rejects it if it can't be queued.
    fn queue_or_reject(&mut self, now: Ms, fill: FillRequest, reason: ShieldRejection) -> ShieldDecision {
        let delay = match reason {
            ShieldRejection::BudgetExhausted => self.budget_delay(now, &fill),
            _ => 0.0,
        };
        let max_wait = fill.max_wait.min(self.config.max_wait);
        let is_full = self.queue.len() >= self.config.max_queued
            || self.queue.bytes() + fill.bytes > self.config.max_queued_bytes;
        let can_queue = max_wait > 0.0 && delay <= max_wait && fill.priority != Priority::Revalidation;
        if is_full || !can_queue {
            let reason = if is_full && delay <= max_wait { ShieldRejection::QueueFull } else { reason };
            return self.reject(reason, delay);
        }
        self.counters.queued += 1;
        let until = now + max_wait;
        self.queue.push(QueuedFill { fill, until }, reason == ShieldRejection::FetchInProgress);
        ShieldDecision::Queue { until }
    }

    /// Milliseconds until all budgets of a fill admit it, if no other fill is admitted.
    fn budget_delay(&self, now: Ms, fill: &FillRequest) -> Ms {
        let delay = |cost: &TierCost| {
            let budget = self.budgets.get(&cost.target);
            budget.map_or(0.0, |budget| budget.delay(now, cost.expected_fills))
        };
        fill.tier_costs.iter().map(delay).fold(0.0, f64::max)
    }

    fn reject(&mut self, reason: ShieldRejection, delay: Ms) -> ShieldDecision {
        let counter = match reason {
            ShieldRejection::FetchInProgress => &mut self.counters.rejected_fetch_in_progress,
            ShieldRejection::BudgetExhausted => &mut self.counters.rejected_budget,
            ShieldRejection::QueueFull => &mut self.counters.rejected_queue_full,
            ShieldRejection::QueueTimeout => &mut self.counters.rejected_queue_timeout,
        };
        *counter += 1;
        let retry_after = delay.clamp(self.config.min_retry_after, self.config.max_retry_after);
        ShieldDecision::Reject { reason, retry_after }
    }

    // Ends of fills.

    /// Removes a fill from the queue. Returns whether it was queued.
    pub fn cancel_fill(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Cancels all queued fills from a source that may no longer be used.
    pub fn cancel_source(&mut self, source: NodeId) -> Vec<Ticket> {
        self.queue.remove_source(source)
    }

    /// Records the end of an admitted fill: corrects the budgets by its actual cost, and returns the
    /// decisions on the fills that were queued for its fetch.
    pub fn complete_fill(&mut self, now: Ms, ticket: Ticket, outcome: FillOutcome) -> Vec<QueuedDecision> {
        let Some(fill) = self.in_flight.remove(&ticket) else { return Vec::new() };
        for (index, cost) in fill.tier_costs.iter().enumerate() {
            let Some(budget) = self.budgets.get_mut(&cost.target) else { continue };
            let has_reached = if index == 0 { outcome.reached_source } else { outcome.reached_upper_tiers };
            let actual_cost = match has_reached {
                Some(has_reached) => {
                    let actual_cost = f64::from(u8::from(has_reached));
                    budget.spend(now, actual_cost - cost.expected_fills);
                    actual_cost
                }
                None => cost.expected_fills,
            };
            // A fill that most likely did not reach a tier is no observation of it.
            if let Some(is_late) = outcome.is_late.filter(|_| actual_cost >= MIN_OBSERVED_COST) {
                budget.report(now, is_late);
            }
        }
        match fill.lease {
            Some(lease) if self.leases.release(fill.fetch, lease) => {
                self.decide_queued_for(now, fill.fetch, outcome.has_copy)
            }
            _ => Vec::new(),
        }
    }

    /// Decides on the fills that are queued for a fetch that has ended. If it stored a copy, all of them are
    /// admitted. Otherwise the first one that its budgets admit fetches the key again, and the others are
    /// queued for that fetch.
    fn decide_queued_for(&mut self, now: Ms, fetch: FetchKey, has_copy: bool) -> Vec<QueuedDecision> {
        let mut decisions = Vec::new();
        for ticket in self.queue.queued_for(fetch).to_vec() {
            let Some(queued) = self.queue.remove(ticket) else { continue };
            if has_copy {
                self.admit_without_cost(now, queued.fill);
            } else if self.try_admit(now, &queued.fill).is_err() {
                let is_queued_for_fetch = self.leases.is_leased(now, fetch);
                self.queue.push(queued, is_queued_for_fetch);
                continue;
            }
            decisions.push(QueuedDecision { ticket, decision: ShieldDecision::Admit });
        }
        decisions
    }

    // Time.

    /// Admits queued fills in their order while budgets admit them, and rejects those whose queueing time has
    /// expired.
    pub fn tick(&mut self, now: Ms) -> Vec<QueuedDecision> {
        let mut decisions = Vec::new();
        self.budgets.values_mut().for_each(|budget| budget.tick(now));
        for fetch in self.leases.remove_expired(now) {
            self.counters.leases_expired += 1;
            decisions.extend(self.decide_queued_for(now, fetch, false));
        }
        let mut is_blocked = false;
        for ticket in self.queue.tickets() {
            let Some(queued) = self.queue.get(ticket) else { continue };
            let is_queued_for_fetch = self.queue.queued_for(queued.fill.fetch).contains(&ticket);
            if now >= queued.until {
                let delay = self.budget_delay(now, &queued.fill);
                self.queue.remove(ticket);
                let decision = self.reject(ShieldRejection::QueueTimeout, delay);
                decisions.push(QueuedDecision { ticket, decision });
            } else if !is_queued_for_fetch && !is_blocked {
                let fill = queued.fill.clone();
                match self.try_admit(now, &fill) {
                    Ok(()) => {
                        self.queue.remove(ticket);
                        decisions.push(QueuedDecision { ticket, decision: ShieldDecision::Admit });
                    }
                    // Later fills must not be admitted before this one, unless they need other budgets.
                    Err(ShieldRejection::BudgetExhausted) => is_blocked = self.queue.needs_single_budget(),
                    Err(_) => {}
                }
            }
        }
        decisions
    }

    /// When [`tick`](Self::tick) is due, in milliseconds of Unix time; `None` if no fill is queued.
    pub fn next_deadline(&self, now: Ms) -> Option<Ms> {
        let timeout = self.queue.next_timeout();
        let first = self.queue.fills().next();
        let budget = first.map(|queued| now + self.budget_delay(now, &queued.fill).max(MIN_BUDGET_DELAY));
        let lease = self.leases.next_expiry().filter(|_| self.queue.has_fills_queued_for_fetch());
        [timeout, budget, lease].into_iter().flatten().reduce(f64::min)
    }

    // Changes of the topology.

    /// Limits the fill rate of a target to about its current level while the topology below the target
    /// changes. A target without a budget has no earlier rate to compare with; only the staged rollout
    /// protects it.
    pub fn begin_change(&mut self, now: Ms, target: NodeId) {
        if let Some(budget) = self.budgets.get_mut(&target) {
            budget.begin_change(now);
        }
    }

    /// Ends the limits of [`begin_change`](Self::begin_change), once no change is in progress.
    pub fn end_change(&mut self, now: Ms) {
        self.budgets.values_mut().for_each(|budget| budget.end_change(now));
    }

    /// Whether a target above a change is near its limit.
    pub fn is_near_ceiling(&self, now: Ms) -> bool {
        self.budgets.values().any(|budget| budget.is_near_ceiling(now))
    }

    /// Whether the rate of a target from before a change is still being measured.
    pub fn is_learning(&self) -> bool {
        self.budgets.values().any(RateBudget::is_learning)
    }

    /// Drops the budgets of all nodes for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(NodeId) -> bool) {
        self.budgets.retain(|id, _| keep(*id));
    }
}
