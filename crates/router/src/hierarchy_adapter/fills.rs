//! The fills that the policy has selected: they are admitted, queued, cancelled and completed, and edges on
//! which fills loop are put in backoff.

use linnethook_hierarchy::loop_detection;
use linnethook_hierarchy::origin_shield::{self, Priority, QueuedDecision, ShieldDecision};
use linnethook_hierarchy::{FillResult, Hop, NodeId, Role, SelectedFill};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, AttemptKey, AttemptReport, CacheResult, EndpointKey, Ms, Ticket};
use crate::upstream::{AttemptOrder, CompletedAttempt, FillLoop, FillPath};

use super::endpoints::node_id;
use super::HierarchyAdapter;

/// Marks a node of a fill's path from which only a cached copy is requested.
const CACHED_ONLY_SUFFIX: &str = ":h";

/// The low bits of a shield's ticket, which hold the number of the attempt.
const ATTEMPT_NUMBER_BITS: u32 = 8;

/// The properties of the request that a fill is for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestProfile {
    /// The hash of the object.
    pub object: u64,
    /// The number of the object's part.
    pub part: u32,
    /// The purge group of the object.
    pub group: u32,
    /// Whether the request's class is a class of writes.
    pub is_write: bool,
    /// The size of the object in bytes, as far as it is known.
    pub size_bytes: f64,
    /// The time within which the request should be answered, in milliseconds.
    pub latency_objective: Ms,
    /// When the request was received, in milliseconds.
    pub received_at: Ms,
}

/// The decision on an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum FillDecision {
    /// Send it.
    Send {
        /// The attempt.
        order: AttemptOrder,
        /// The nodes that its fill passes, sent with the fill; `None` if the nodes do not support it.
        fill_path: Option<FillPath>,
    },
    /// Do not send it: it was cancelled, or its endpoint can no longer be used, while its fill was queued. An
    /// attempt whose fill the shield rejects is sent all the same, for a cached copy only.
    Reject {
        /// The attempt.
        order: AttemptOrder,
        /// When it was queued, in milliseconds.
        queued_at: Ms,
    },
}

/// The numbers of fills.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillCounts {
    /// Fills that are queued for admission.
    pub queued: usize,
    /// Fills that were sent and have not completed.
    pub in_flight: usize,
}

/// The two nodes of a fill. Child and source are the same node if the request is sent directly to a parent or
/// the origin.
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
    /// Whether it requests only cached copies, which do not pass the shield.
    is_cached_only: bool,
}

/// An attempt whose fill is queued for admission.
#[derive(Debug)]
pub(super) struct QueuedFill {
    pub(super) order: AttemptOrder,
    profile: RequestProfile,
    queued_at: Ms,
}

/// Packs the key of an attempt into a ticket of the shield.
pub(super) fn shield_ticket(attempt: AttemptKey) -> origin_shield::Ticket {
    attempt.ticket << ATTEMPT_NUMBER_BITS | u64::from(attempt.number)
}

/// Unpacks the key of an attempt from a ticket of the shield.
pub(super) fn attempt_of(ticket: origin_shield::Ticket) -> AttemptKey {
    AttemptKey {
        ticket: ticket >> ATTEMPT_NUMBER_BITS,
        number: (ticket & ((1 << ATTEMPT_NUMBER_BITS) - 1)) as u8,
    }
}

/// The result of an attempt's fill, derived from the report of the attempt.
fn fill_result(report: &AttemptReport) -> FillResult {
    match (report.end, report.cache_result) {
        (AttemptEnd::Answered, Some(CacheResult::FilledByParent)) => FillResult::ServedFromCache,
        (AttemptEnd::Answered, Some(CacheResult::FilledByOrigin)) => FillResult::ServedFromOrigin,
        (AttemptEnd::Answered, Some(CacheResult::Hit | CacheResult::Stale)) => FillResult::AlreadyCached,
        (AttemptEnd::Answered, _) => FillResult::ServedFromUnknown,
        (AttemptEnd::Cancelled | AttemptEnd::NotExecuted, _)
        | (_, Some(CacheResult::NoCapacity | CacheResult::FillLoop)) => FillResult::Abandoned,
        // The attempt did not reach the cache, or the cache rejected it: the source was not requested.
        (AttemptEnd::NotSent | AttemptEnd::NotSentLocally, _) | (AttemptEnd::Rejected, None) => {
            FillResult::Abandoned
        }
        _ => FillResult::Failed,
    }
}

/// The longest time that a fill may be queued: half of the remaining latency objective, so that enough time
/// remains to serve the request.
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

    /// Whether an attempt may cause a fill from a tier above the caches.
    pub fn may_fill(&self, order: &AttemptOrder) -> bool {
        !order.fill.only_if_cached && self.fill_route(order).is_some()
    }

    /// Decides on an attempt; returns `None` if its fill is queued.
    pub fn admit(
        &mut self,
        now: Ms,
        mut order: AttemptOrder,
        profile: RequestProfile,
    ) -> Option<FillDecision> {
        // Copies that may be served as they are need no revalidation while the tiers above are constrained.
        order.fill.revalidate &= !self.hierarchy.is_constrained(now);
        let Some(route) = self.fill_route(&order) else {
            return Some(FillDecision::Send { order, fill_path: None });
        };
        // Serving a copy that the source has cached adds no load to the tiers above.
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

    /// Admits an attempt without a fill: the cache and its source serve cached copies only, including stale
    /// ones. If there are none and the request is rejected, its Retry-After is `retry_after`, in
    /// milliseconds.
    pub fn admit_from_cache_only(
        &mut self,
        now: Ms,
        mut order: AttemptOrder,
        profile: RequestProfile,
        retry_after: Ms,
    ) -> FillDecision {
        order.fill.restrict_to_cached_copies();
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

    /// The nodes of an attempt's fill; `None` if it does not involve a tier above the caches.
    fn fill_route(&self, order: &AttemptOrder) -> Option<FillRoute> {
        let topology = self.hierarchy.topology();
        let is_above_caches = |id: NodeId| topology.node(id).is_some_and(|node| node.role != Role::Cache);
        let child = node_id(order.endpoint);
        // Without a source the request is sent directly to a parent or the origin. A sibling as the source
        // serves only what it has cached, and requests nothing from the tiers above.
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

    /// The path that is sent with a fill; `None` if there is no source, or the nodes do not support it.
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
        let hops: Vec<&Hop> = hops.iter().filter(|hop| !is_cached_only || hop.cached_only).collect();
        Some(FillPath {
            passed: passed.to_string(),
            via: hops.iter().map(|hop| self.hop_text(hop)).collect(),
            via_endpoints: hops.iter().map(|hop| EndpointKey::from_number(hop.node.0)).collect(),
        })
    }

    fn hop_text(&self, hop: &Hop) -> String {
        let mut text = self.names.node_name(hop.node);
        if hop.cached_only {
            text += CACHED_ONLY_SUFFIX;
        }
        text
    }

    // Completion.

    /// Records the result of an attempt. Returns the queued fills that are now admitted or rejected.
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

    /// Puts the edge on which a fill looped in backoff. If this router's hierarchy does not have that edge,
    /// the nodes act on another version of it: the edge on which this router started the fill is then put in
    /// backoff instead.
    fn back_off_looped_edge(&mut self, now: Ms, route: FillRoute, fill_loop: &FillLoop) {
        let FillLoop { from, to, version } = fill_loop;
        let (child, source) = (node_id(EndpointKey::of(from)), node_id(EndpointKey::of(to)));
        let is_known = self.hierarchy.topology().allows(child, source);
        let edge = if is_known { FillRoute { child, source } } else { route };
        self.next_deadline = now;
        self.hierarchy.report_loop(now, edge.child, edge.source, *version);
        log_line!(from, to, version, "hierarchy: a fill loop was detected; an edge is in backoff");
    }

    /// Cancels an attempt. If its fill is queued, the fill is rejected and the attempt has ended.
    pub fn cancel_attempt(&mut self, attempt: AttemptKey) -> Option<FillDecision> {
        if self.queued.contains_key(&attempt) {
            self.hierarchy.cancel_fill(shield_ticket(attempt));
        }
        self.reject_queued(attempt)
    }

    /// Cancels the queued fills of a cancelled request, and returns their attempts. The setting that forbids
    /// cancelling attempts does not apply, as nothing was sent.
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

    /// Withdraws the queued fills of a purged object, or of a purged group if `object` is `None`, and returns
    /// their attempts, each with the time at which it was queued: their age limits predate the purge.
    pub fn withdraw_purged(&mut self, object: Option<u64>, group: u32) -> Vec<(AttemptOrder, Ms)> {
        let is_purged = |profile: &RequestProfile| match object {
            Some(object) => profile.object == object,
            None => profile.group == group,
        };
        let purged = self.queued.iter().filter(|(_, queued)| is_purged(&queued.profile));
        let mut attempts: Vec<AttemptKey> = purged.map(|(attempt, _)| *attempt).collect();
        attempts.sort_unstable();
        let mut withdrawn = Vec::new();
        for attempt in attempts {
            self.hierarchy.cancel_fill(shield_ticket(attempt));
            withdrawn.extend(self.queued.remove(&attempt).map(|queued| (queued.order, queued.queued_at)));
        }
        withdrawn
    }

    pub(super) fn reject_queued(&mut self, attempt: AttemptKey) -> Option<FillDecision> {
        let QueuedFill { order, queued_at, .. } = self.queued.remove(&attempt)?;
        Some(FillDecision::Reject { order, queued_at })
    }

    /// Removes and returns the Retry-After of a completed request, in milliseconds; `None` unless a fill of
    /// it was not admitted.
    pub fn take_retry_after(&mut self, ticket: Ticket) -> Option<Ms> {
        self.retry_after.remove(&ticket)
    }

    /// The numbers of queued fills and fills in flight.
    pub fn fill_counts(&self) -> FillCounts {
        FillCounts { queued: self.queued.len(), in_flight: self.in_flight.len() }
    }
}
