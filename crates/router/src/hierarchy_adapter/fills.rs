//! What becomes of the fills that the policy has chosen: they are admitted, queued, cancelled or completed, and edges
//! on which they loop are backed off.

use linnethook_hierarchy::loop_detection;
use linnethook_hierarchy::origin_shield::{self, Priority, QueuedDecision, ShieldDecision};
use linnethook_hierarchy::{FillResult, Hop, NodeId, Role, SelectedFill};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, AttemptKey, AttemptReport, CacheResult, EndpointKey, Ms, Ticket};
use crate::upstream::{AttemptOrder, CompletedAttempt, FillLoop, FillPath};

use super::endpoints::node_id;
use super::HierarchyAdapter;

/// Marks a node of a fill's path that is asked for a cached copy alone.
const CACHED_ONLY_SUFFIX: &str = ":h";

/// The bits of a shield's ticket that have the number of the attempt.
const ATTEMPT_NUMBER_BITS: u32 = 8;

/// What is known of the request that a fill is for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestProfile {
    /// The hash of the object.
    pub object: u64,
    /// The number of the object's part.
    pub part: u32,
    /// Whether the class of the request is one of writes.
    pub is_write: bool,
    /// The size of the object in bytes, as far as known.
    pub size_bytes: f64,
    /// How long an answer should take at most, in milliseconds.
    pub latency_objective: Ms,
    /// When the request was received, in milliseconds.
    pub received_at: Ms,
}

/// What is to be done with an attempt now.
#[derive(Debug, Clone, PartialEq)]
pub enum FillDecision {
    /// It is sent; the path goes with its fill where nodes understand it.
    Send {
        /// The attempt.
        order: AttemptOrder,
        /// The nodes that its fill passes.
        fill_path: Option<FillPath>,
    },
    /// It is not sent: it was cancelled, or its endpoint can no longer be used, while its fill was queued. A rejection
    /// by the shield sends it for a cached copy alone.
    Reject {
        /// The attempt.
        order: AttemptOrder,
        /// Since when it was queued, in milliseconds.
        queued_at: Ms,
    },
}

/// How many fills there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillCounts {
    /// Fills that wait to be admitted.
    pub queued: usize,
    /// Fills that were sent and have not ended.
    pub in_flight: usize,
}

/// The nodes of a fill; they are the same for a request that goes straight to a parent or the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FillRoute {
    child: NodeId,
    source: NodeId,
}

/// A fill that was sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlightFill {
    route: FillRoute,
    latency_objective: Ms,
    /// It asks for cached copies alone, and has not passed the shield.
    is_cached_only: bool,
}

/// An attempt that waits for the admission of its fill.
#[derive(Debug)]
pub(super) struct QueuedFill {
    pub(super) order: AttemptOrder,
    profile: RequestProfile,
    queued_at: Ms,
}

/// Packs an attempt into the shield's ticket, which is one number.
pub(super) fn shield_ticket(attempt: AttemptKey) -> origin_shield::Ticket {
    attempt.ticket << ATTEMPT_NUMBER_BITS | u64::from(attempt.number)
}

/// The attempt of a fill at the shield.
pub(super) fn attempt_of(ticket: origin_shield::Ticket) -> AttemptKey {
    AttemptKey {
        ticket: ticket >> ATTEMPT_NUMBER_BITS,
        number: (ticket & ((1 << ATTEMPT_NUMBER_BITS) - 1)) as u8,
    }
}

/// What the end of an attempt says of its fill.
fn fill_result(report: &AttemptReport) -> FillResult {
    match (report.end, report.cache_result) {
        (AttemptEnd::Answered, Some(CacheResult::FilledByParent)) => FillResult::ServedFromCache,
        (AttemptEnd::Answered, Some(CacheResult::FilledByOrigin)) => FillResult::ServedFromOrigin,
        (AttemptEnd::Answered, Some(CacheResult::Hit | CacheResult::Stale)) => FillResult::AlreadyCached,
        (AttemptEnd::Answered, _) => FillResult::ServedFromUnknown,
        (AttemptEnd::Cancelled | AttemptEnd::NotExecuted, _)
        | (_, Some(CacheResult::NoCapacity | CacheResult::FillLoop)) => FillResult::Abandoned,
        // It never reached the cache, or the cache rejected it: the source was not asked.
        (AttemptEnd::NotSent, _) | (AttemptEnd::Rejected, None) => FillResult::Abandoned,
        _ => FillResult::Failed,
    }
}

/// The longest time that a fill may be queued: half of what is left of the latency objective, so that there is time
/// left to serve it.
fn max_queue_wait(now: Ms, profile: &RequestProfile) -> Ms {
    let remaining = profile.received_at + profile.latency_objective - now;
    (remaining / 2.0).max(0.0)
}

fn selected_fill(now: Ms, order: &AttemptOrder, route: FillRoute, profile: &RequestProfile) -> SelectedFill {
    SelectedFill {
        ticket: shield_ticket(order.attempt),
        child: route.child,
        source: route.source,
        object: profile.object,
        key: xxh3_64_with_seed(&profile.object.to_le_bytes(), u64::from(profile.part)),
        priority: if profile.is_write { Priority::Write } else { Priority::Demand },
        bytes: profile.size_bytes,
        may_join: order.fill.coalesce,
        max_wait: max_queue_wait(now, profile),
    }
}

impl HierarchyAdapter {
    // Admission.

    /// Whether an attempt may have a cache fill.
    pub fn may_fill(&self, order: &AttemptOrder) -> bool {
        !order.fill.only_if_cached && self.fill_route(order).is_some()
    }

    /// Decides about an attempt; `None` if its fill is queued.
    pub fn admit(
        &mut self,
        now: Ms,
        mut order: AttemptOrder,
        profile: RequestProfile,
    ) -> Option<FillDecision> {
        // While the tiers above are constrained, a copy that can still be served is not revalidated.
        order.fill.revalidate &= !self.hierarchy.is_constrained(now);
        let Some(route) = self.fill_route(&order) else {
            return Some(FillDecision::Send { order, fill_path: None });
        };
        // A copy that the source has cached costs the tiers above nothing.
        if order.fill.only_if_cached {
            return Some(self.send(now, order, profile, true));
        }
        let fill = selected_fill(now, &order, route, &profile);
        match self.hierarchy.request_fill(now, &fill) {
            ShieldDecision::Admit => Some(self.send(now, order, profile, false)),
            ShieldDecision::Queue { .. } => {
                self.queued.insert(order.attempt, QueuedFill { order, profile, queued_at: now });
                self.next_deadline = self.next_deadline.min(self.hierarchy.next_deadline(now));
                None
            }
            ShieldDecision::Reject { retry_after, .. } => {
                Some(self.admit_from_cache_only(now, order, profile, retry_after))
            }
        }
    }

    /// Admits an attempt without a fill: cached copies are served, also stale ones, by the cache and by its source.
    /// Where there are none and the request is rejected, its Retry-After is `retry_after`, in milliseconds.
    pub fn admit_from_cache_only(
        &mut self,
        now: Ms,
        mut order: AttemptOrder,
        profile: RequestProfile,
        retry_after: Ms,
    ) -> FillDecision {
        let fill = &mut order.fill;
        fill.only_if_cached = true;
        fill.revalidate = false;
        if fill.max_stale_age > 0.0 {
            fill.max_age = fill.max_stale_age;
        }
        self.retry_after.insert(order.attempt.ticket, retry_after);
        self.send(now, order, profile, true)
    }

    /// Applies the shield's decisions on queued fills.
    pub(super) fn apply_queue_decisions(
        &mut self,
        now: Ms,
        decisions: Vec<QueuedDecision>,
    ) -> Vec<FillDecision> {
        let mut applied = Vec::new();
        for QueuedDecision { ticket, decision } in decisions {
            let Some(queued) = self.queued.remove(&attempt_of(ticket)) else { continue };
            let QueuedFill { mut order, profile, queued_at } = queued;
            order.timeout -= now - queued_at;
            applied.push(match decision {
                ShieldDecision::Reject { retry_after, .. } => {
                    self.admit_from_cache_only(now, order, profile, retry_after)
                }
                ShieldDecision::Admit | ShieldDecision::Queue { .. } => self.send(now, order, profile, false),
            });
        }
        applied
    }

    /// Who fills, and from where; `None` where the tiers above have no part in it.
    fn fill_route(&self, order: &AttemptOrder) -> Option<FillRoute> {
        let topology = self.hierarchy.topology();
        let is_above_caches = |id: NodeId| topology.node(id).is_some_and(|node| node.role != Role::Cache);
        let child = node_id(order.endpoint);
        // Without a source the request goes straight to a parent or the origin. A sibling as the source serves what it
        // has cached, and asks no tier above.
        let source = order.fill.source.map_or(child, node_id);
        is_above_caches(source).then_some(FillRoute { child, source })
    }

    fn send(
        &mut self,
        now: Ms,
        order: AttemptOrder,
        profile: RequestProfile,
        is_cached_only: bool,
    ) -> FillDecision {
        if let Some(route) = self.fill_route(&order) {
            let latency_objective = profile.latency_objective;
            self.in_flight.insert(order.attempt, InFlightFill { route, latency_objective, is_cached_only });
        }
        let fill_path = self.fill_path(now, &order, profile.object, is_cached_only);
        FillDecision::Send { order, fill_path }
    }

    /// The path that goes with a fill where nodes understand it.
    fn fill_path(
        &self,
        now: Ms,
        order: &AttemptOrder,
        object: u64,
        is_cached_only: bool,
    ) -> Option<FillPath> {
        let source = order.fill.source.filter(|_| self.extended)?;
        let passed = loop_detection::FillPath::new(self.hierarchy.version());
        let hops = self.hierarchy.onward_path(now, node_id(order.endpoint), node_id(source), object);
        let hops = hops.iter().filter(|hop| !is_cached_only || hop.cached_only);
        let via = hops.map(|hop| self.hop_text(hop)).collect();
        Some(FillPath { passed: passed.to_string(), via })
    }

    fn hop_text(&self, hop: &Hop) -> String {
        let mut text = self.names.node_name(hop.node);
        if hop.cached_only {
            text += CACHED_ONLY_SUFFIX;
        }
        text
    }

    // Ends.

    /// Records how an attempt ended. Queued fills that may go now, or are rejected, are returned.
    pub fn complete_attempt(&mut self, now: Ms, completed: &CompletedAttempt) -> Vec<FillDecision> {
        let report = &completed.report;
        let Some(fill) = self.in_flight.remove(&report.attempt) else { return Vec::new() };
        if let Some(fill_loop) = &completed.fill_loop {
            self.back_off_looped_edge(now, fill.route, fill_loop);
        }
        if fill.is_cached_only {
            return Vec::new();
        }
        let is_late = report.elapsed > fill.latency_objective;
        let ticket = shield_ticket(report.attempt);
        let decisions = self.hierarchy.complete_fill(now, ticket, fill_result(report), is_late);
        self.apply_queue_decisions(now, decisions)
    }

    /// Excludes the edge on which a fill looped, for a while. If this router's hierarchy lacks that edge, the nodes
    /// follow another version of it: then the source by which the fill got there is excluded.
    fn back_off_looped_edge(&mut self, now: Ms, route: FillRoute, fill_loop: &FillLoop) {
        let FillLoop { from, to, version } = fill_loop;
        let (child, source) = (node_id(EndpointKey::of(from)), node_id(EndpointKey::of(to)));
        let is_known = self.hierarchy.topology().allows(child, source);
        let edge = if is_known { FillRoute { child, source } } else { route };
        self.next_deadline = now;
        self.hierarchy.report_loop(now, edge.child, edge.source, *version);
        log_line!(from, to, version, "hierarchy: a fill came round; an edge is held back for a while");
    }

    /// Cancels an attempt. If its fill is queued, it is rejected, and the attempt has ended.
    pub fn cancel_attempt(&mut self, attempt: AttemptKey) -> Option<FillDecision> {
        if self.queued.contains_key(&attempt) {
            self.hierarchy.cancel_fill(shield_ticket(attempt));
        }
        self.reject_queued(attempt)
    }

    /// Cancels the queued fills of a request that was cancelled, and returns their attempts. Settings that forbid to
    /// cancel attempts do not matter here, as nothing was sent.
    pub fn cancel_request(&mut self, ticket: Ticket) -> Vec<AttemptOrder> {
        let mut attempts: Vec<AttemptKey> =
            self.queued.keys().copied().filter(|attempt| attempt.ticket == ticket).collect();
        attempts.sort_unstable();
        let mut orders = Vec::new();
        for attempt in attempts {
            self.hierarchy.cancel_fill(shield_ticket(attempt));
            orders.extend(self.queued.remove(&attempt).map(|queued| queued.order));
        }
        orders
    }

    pub(super) fn reject_queued(&mut self, attempt: AttemptKey) -> Option<FillDecision> {
        let QueuedFill { order, queued_at, .. } = self.queued.remove(&attempt)?;
        Some(FillDecision::Reject { order, queued_at })
    }

    /// Removes and returns the Retry-After of a request that ends, in milliseconds, if its fills were not admitted.
    pub fn take_retry_after(&mut self, ticket: Ticket) -> Option<Ms> {
        self.retry_after.remove(&ticket)
    }

    /// How many fills are queued and in flight.
    pub fn fill_counts(&self) -> FillCounts {
        FillCounts { queued: self.queued.len(), in_flight: self.in_flight.len() }
    }
}
