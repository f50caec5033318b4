//! Owns the router's side of the hierarchy: what the policy may choose from, and what becomes of the fills that it
//! has chosen on their way to the sockets.
//!
//! Must never choose a source, send an attempt twice, or keep one waiting that was taken back.

use std::collections::HashMap;

use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec, NameTable, NodeSpec, PlanSpec};
use linnethook_hierarchy::history::Snapshot;
use linnethook_hierarchy::loop_detection;
use linnethook_hierarchy::origin_shield::{Priority, QueuedDecision, ShieldDecision};
use linnethook_hierarchy::rollout::{RolloutStage, StageTransition};
use linnethook_hierarchy::{
    AuthorId, BatchId, EndpointPhase, FillResult, FillSources, Hierarchy, HierarchyView, Hop, NodeId,
    ReceiveOutcome, Role, SelectedFill, Source,
};
use linnethook_membership::versions::HierarchyVersion;
use linnethook_operator_config::config::HierarchySection;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::discovery::event::{EndpointEntry, EndpointUpdate};
use crate::log::log_line;
use crate::policy_adapter::{AttemptEnd, AttemptKey, CacheResult, EndpointKey, FillSourceLists, Ms, Ticket};
use crate::upstream::{AttemptOrder, CompletedAttempt, FillLoop, FillPath};

/// What is known of the request that it is for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestProfile {
    /// The hash of the object.
    pub object: u64,
    pub part: u32,
    pub is_write: bool,
    /// Its size in bytes, as far as known.
    pub size_bytes: f64,
    /// How long an answer should take at most, in milliseconds.
    pub latency_objective: Ms,
    /// When it was received, in milliseconds.
    pub received_at: Ms,
}

/// What is to be done with an attempt now.
#[derive(Debug, Clone, PartialEq)]
pub enum FillDecision {
    /// It is sent; the path goes with its fill where nodes understand it.
    Send { order: AttemptOrder, fill_path: Option<FillPath> },
    /// It is not sent: its fill was queued at that time, and is not admitted any more.
    Reject { order: AttemptOrder, queued_at: Ms },
}

/// A stage of the rollout that was entered, for the audit log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EnteredStage {
    /// The source that children migrate to.
    pub target: u64,
    /// The number of the stage in the audit log.
    pub stage: u8,
}

/// A cache with the sources that it may be filled from from now on.
#[derive(Debug, Clone, PartialEq)]
pub struct ChangedFillSources {
    pub endpoint: EndpointKey,
    pub sources: FillSourceLists,
}

/// How many fills there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillCounts {
    /// Fills that wait to be admitted.
    pub queued: usize,
    /// Fills that were sent and have not ended.
    pub in_flight: usize,
}

/// A fill that went.
#[derive(Debug, Clone, Copy)]
struct Out {
    child: NodeId,
    source: NodeId,
    aim: Ms,
    /// It asks only for what is held, and passed no shield.
    held: bool,
}

#[derive(Debug)]
struct Waiting {
    ordered: AttemptOrder,
    profile: RequestProfile,
    since: Ms,
}

/// What came of a change that somebody wanted.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    Done(BatchSpec),
    No(String),
}

pub struct HierarchyAdapter {
    hierarchy: Hierarchy,
    names: NameTable,
    /// The author of the operator file's batches, and that of the control socket's.
    file: AuthorId,
    socket: AuthorId,
    /// Whether nodes understand more than the platform's protocol.
    extended: bool,
    waiting: HashMap<AttemptKey, Waiting>,
    out: HashMap<AttemptKey, Out>,
    /// When the clients of requests that were held back had better come again.
    come_back: HashMap<Ticket, Ms>,
    /// When `tick` has something to do next.
    due: Ms,
    /// Batches that were taken here and that fellows are to hear of, if there are any.
    news: Option<Vec<BatchSpec>>,
    /// Stages that were entered, by the node that children go over to, for the account of it.
    entered: Vec<EnteredStage>,
}

/// Batches that wait to be passed on.
const NEWS: usize = 1_024;

/// One name for both numbers: the shield knows attempts, not requests.
fn ticket(attempt: AttemptKey) -> u64 {
    attempt.ticket << 8 | u64::from(attempt.number)
}

fn attempt(ticket: u64) -> AttemptKey {
    AttemptKey { ticket: ticket >> 8, number: (ticket & 255) as u8 }
}

fn node(place: EndpointKey) -> NodeId {
    NodeId(place.number())
}

fn lists(feeds: &FillSources) -> FillSourceLists {
    let all = |list: &[Source]| list.iter().map(|s| (EndpointKey::from_number(s.node.0), s.rank)).collect();
    FillSourceLists {
        current: all(&feeds.current),
        previous: all(&feeds.previous),
        migrated_ratio: feeds.fraction,
        salt: feeds.salt,
    }
}

/// The author of a router's control socket: half of the numbers are for these. Each start is another one, since none
/// remembers how far the one before it had counted.
fn socket_author(router: &str, start: Ms) -> AuthorId {
    AuthorId(0x8000 | (xxh3_64_with_seed(router.as_bytes(), (start * 1_000.0) as u64) as u16))
}

impl HierarchyAdapter {
    /// Begins with the shape of the operator file, which is there since ever.
    pub fn new(now: Ms, router: &str, settings: &HierarchySection) -> Result<Self, String> {
        let mut upstream = Self {
            hierarchy: Hierarchy::new(settings.parameters),
            names: NameTable::default(),
            file: AuthorId(settings.author),
            socket: socket_author(router, now),
            extended: settings.extended,
            waiting: HashMap::new(),
            out: HashMap::new(),
            come_back: HashMap::new(),
            due: now,
            news: None,
            entered: Vec::new(),
        };
        if !settings.nodes.is_empty() {
            let changes = upstream.names.changes_to_reach(upstream.hierarchy.topology(), &settings.nodes);
            // The same at all routers that read the same file.
            let batch = upstream.hierarchy.draft_batch(upstream.file, 0.0, changes);
            upstream.take(now, batch)?;
        }
        Ok(upstream)
    }

    // ---- Changes.

    fn take(&mut self, now: Ms, batch: linnethook_hierarchy::ChangeBatch) -> Result<(), String> {
        let batch_id = batch.id;
        self.due = now;
        // What the operator file says each router reads by itself.
        if let Some(news) =
            self.news.as_mut().filter(|news| batch_id.author != self.file && news.len() < NEWS)
        {
            news.push(self.names.batch_spec(&batch));
        }
        match self.hierarchy.receive_batch(now, batch) {
            ReceiveOutcome::Accepted(_) => match self.hierarchy.history().outcome(batch_id) {
                Some(Err(refusal)) => Err(refusal.to_string()),
                _ => Ok(()),
            },
            ReceiveOutcome::Duplicate => Ok(()),
            ReceiveOutcome::Pending(missing) => {
                Err(format!("it waits for batch {} of author {}", missing.number, missing.author.0))
            }
            ReceiveOutcome::Invalid(wrong) => Err(wrong.to_string()),
        }
    }

    /// The operator file was read again: what differs from the present shape is one batch.
    pub fn reload(&mut self, now: Ms, nodes: &[NodeSpec]) -> Result<usize, String> {
        let changes = self.names.changes_to_reach(self.hierarchy.topology(), nodes);
        let count = changes.len();
        if count > 0 {
            let batch = self.hierarchy.draft_batch(self.file, now, changes);
            self.take(now, batch)?;
            self.names.retain(self.hierarchy.topology());
        }
        Ok(count)
    }

    /// A batch that another has written.
    pub fn apply_journal_batch(&mut self, now: Ms, spec: &BatchSpec) -> Result<(), String> {
        let batch = self.names.resolve_batch(spec);
        let taken = self.take(now, batch);
        self.names.retain(self.hierarchy.topology());
        taken
    }

    /// A batch that a fellow has passed on; what is wrong with it, unless it only waits for others.
    pub fn apply_gossip_batch(&mut self, now: Ms, spec: &BatchSpec) -> Result<(), String> {
        let batch = self.names.resolve_batch(spec);
        let batch_id = batch.id;
        let heard = self.take(now, batch);
        self.names.retain(self.hierarchy.topology());
        let waits = |(waiting, _): (BatchId, BatchId)| waiting == batch_id;
        if heard.is_err() && self.hierarchy.history().pending().any(waits) {
            return Ok(());
        }
        heard
    }

    /// The whole shape with its place in the history, for a fellow that is too far behind.
    pub fn encode_snapshot(&self) -> Vec<u8> {
        let (nodes, sites) = (self.names.node_names(), self.names.site_names());
        postcard::to_stdvec(&(self.hierarchy.snapshot(), nodes, sites)).unwrap_or_default()
    }

    /// Takes a fellow's whole shape over, where it is newer than what is here. All of it or nothing.
    pub fn restore_snapshot(&mut self, now: Ms, bytes: &[u8]) -> Result<(), String> {
        let (snapshot, nodes, sites) = postcard::from_bytes::<(Snapshot, Vec<String>, Vec<String>)>(bytes)
            .map_err(|wrong| wrong.to_string())?;
        let before = self.active_version();
        if snapshot.version() < before.version {
            return Err(format!(
                "it is at version {}, this router at {}",
                snapshot.version(),
                before.version
            ));
        }
        self.hierarchy.restore_snapshot(now, snapshot).map_err(|wrong| wrong.to_string())?;
        self.names.add_names(&nodes, &sites);
        self.names.retain(self.hierarchy.topology());
        self.due = now;
        Ok(())
    }

    /// Batches are to be passed on to fellows from now on.
    pub fn enable_gossip(&mut self) {
        self.news.get_or_insert_default();
    }

    /// Batches to be passed on.
    pub fn drain_outgoing_batches(&mut self) -> Vec<BatchSpec> {
        self.news.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Stages that were entered.
    pub fn drain_stage_transitions(&mut self) -> Vec<EnteredStage> {
        std::mem::take(&mut self.entered)
    }

    /// The version and the digest of the shape.
    pub fn active_version(&self) -> HierarchyVersion {
        HierarchyVersion { version: self.hierarchy.version(), digest: self.hierarchy.topology().digest() }
    }

    /// What changes would do now.
    pub fn plan(&mut self, now: Ms, changes: &[ChangeSpec]) -> Result<PlanSpec, String> {
        let read = self.names.resolve_changes(changes);
        let batch = self.hierarchy.draft_batch(self.socket, now, read);
        let plan = self.hierarchy.plan_batch(now, &batch).map(|plan| self.names.plan_spec(&plan));
        self.names.retain(self.hierarchy.topology());
        plan.map_err(|wrong| wrong.to_string())
    }

    /// Has changes take effect, as a batch of this router's control socket.
    pub fn apply(&mut self, now: Ms, changes: Vec<ChangeSpec>) -> Applied {
        let read = self.names.resolve_changes(&changes);
        let batch = self.hierarchy.draft_batch(self.socket, now, read);
        let spec = self.names.batch_spec(&batch);
        let applied = match self.take(now, batch) {
            Ok(()) => Applied::Done(spec),
            Err(why) => Applied::No(why),
        };
        self.names.retain(self.hierarchy.topology());
        applied
    }

    /// Takes a batch back: its stages at once, and what it wrote by a batch of its own.
    pub fn roll_back(&mut self, now: Ms, author: u16, number: u64) -> Result<usize, String> {
        let batch_id = BatchId { author: AuthorId(author), number };
        let changes = self.hierarchy.roll_back_batch(now, batch_id);
        let changes = changes.ok_or("no such batch is kept, or it was not applied")?;
        let count = changes.len();
        let batch = self.hierarchy.draft_batch(self.socket, now, changes);
        self.take(now, batch).map(|()| count)
    }

    pub fn view(&self, now: Ms) -> HierarchyView {
        self.hierarchy.view(now)
    }

    pub fn node_specs(&self) -> Vec<NodeSpec> {
        self.names.node_specs(self.hierarchy.topology())
    }

    /// A node's name, by its number.
    pub fn node_name(&self, id: u64) -> String {
        self.names.node_name(NodeId(id))
    }

    // ---- What is reported to the policy.

    /// Lines of the list of caches. `own` says which stand in this router's location. What waits for one that may
    /// not be used any more comes back.
    pub fn update_endpoints(
        &mut self,
        now: Ms,
        hosts: &EndpointUpdate,
        own: impl Fn(&EndpointEntry) -> bool,
    ) -> Vec<FillDecision> {
        let mut back = Vec::new();
        self.due = now;
        for target in &hosts.targets {
            let place = EndpointKey::of(&target.uid);
            let phase = match (target.ready(), target.gone()) {
                (true, _) => EndpointPhase::Ready,
                (_, true) => EndpointPhase::Removed,
                _ => EndpointPhase::Draining,
            };
            let update = self.hierarchy.update_endpoint(now, node(place), phase, target.started());
            self.note(&update.transitions);
            back.extend(update.cancelled.into_iter().filter_map(|ticket| self.turn_back(attempt(ticket))));
            if phase != EndpointPhase::Ready {
                let to_it: Vec<AttemptKey> = (self.waiting.iter())
                    .filter(|(_, waiting)| waiting.ordered.endpoint == place)
                    .map(|(attempt, _)| *attempt)
                    .collect();
                for attempt in to_it {
                    self.hierarchy.cancel_fill(ticket(attempt));
                    back.extend(self.turn_back(attempt));
                }
            }
            let is_cache = self.hierarchy.topology().node(node(place)).is_none_or(|n| n.role == Role::Cache);
            if phase != EndpointPhase::Removed && is_cache && own(target) {
                self.hierarchy.track_child(now, node(place));
            }
        }
        back
    }

    /// The sources that caches may be filled from, where these are other ones than were told last.
    pub fn changed_fill_sources(&mut self, now: Ms) -> Vec<ChangedFillSources> {
        let changed = self.hierarchy.changed_fill_sources(now);
        let published = |(id, feeds): (NodeId, FillSources)| ChangedFillSources {
            endpoint: EndpointKey::from_number(id.0),
            sources: lists(&feeds),
        };
        changed.into_iter().map(published).collect()
    }

    fn note(&mut self, entered: &[StageTransition]) {
        for entered in entered {
            if self.news.is_some() && self.entered.len() < NEWS {
                let stage = match entered.stage {
                    RolloutStage::Planned => 0,
                    RolloutStage::Announced => 1,
                    RolloutStage::Warming => 2,
                    RolloutStage::Settled => 3,
                    RolloutStage::RolledBack(_) => 4,
                };
                self.entered.push(EnteredStage { target: entered.migration.target.0, stage });
            }
            let (to, batch_id) =
                (self.names.node_name(entered.migration.target), entered.migration.position.batch_id());
            log_line!(
                to,
                author = batch_id.author.0,
                number = batch_id.number,
                stage = %entered.stage,
                for_good = entered.is_final,
                "hierarchy: a change enters its next stage"
            );
        }
    }

    // ---- Fills.

    /// Whether an attempt may have a cache fill.
    pub fn may_fill(&self, ordered: &AttemptOrder) -> bool {
        !ordered.fill.only_if_cached && self.ends(ordered).is_some()
    }

    /// What is to be done with an attempt; `None` where it waits.
    pub fn admit(
        &mut self,
        now: Ms,
        mut ordered: AttemptOrder,
        profile: RequestProfile,
    ) -> Option<FillDecision> {
        // Renewals come last: what can still be served as it is waits for better times.
        ordered.fill.revalidate &= !self.hierarchy.is_constrained(now);
        let Some((child, source)) = self.ends(&ordered) else {
            return Some(FillDecision::Send { order: ordered, fill_path: None });
        };
        let priority = if profile.is_write { Priority::Write } else { Priority::Demand };
        let left = profile.received_at + profile.latency_objective - now;
        let picked = SelectedFill {
            ticket: ticket(ordered.attempt),
            child,
            source,
            object: profile.object,
            key: xxh3_64_with_seed(&profile.object.to_le_bytes(), u64::from(profile.part)),
            priority,
            bytes: profile.size_bytes,
            may_join: ordered.fill.coalesce,
            // Half of what is left of the wanted time, so that there is some left to be served in.
            max_wait: (left / 2.0).max(0.0),
        };
        // What a source holds costs the tiers above nothing.
        if ordered.fill.only_if_cached {
            return Some(self.send(now, ordered, profile, true));
        }
        match self.hierarchy.request_fill(now, &picked) {
            ShieldDecision::Admit => Some(self.send(now, ordered, profile, false)),
            ShieldDecision::Queue { .. } => {
                self.waiting.insert(ordered.attempt, Waiting { ordered, profile, since: now });
                self.due = self.due.min(self.hierarchy.next_deadline(now));
                None
            }
            ShieldDecision::Reject { retry_after, .. } => {
                Some(self.admit_from_cache_only(now, ordered, profile, retry_after))
            }
        }
    }

    /// Who fills, and from where; nothing where no fill may take place.
    fn ends(&self, ordered: &AttemptOrder) -> Option<(NodeId, NodeId)> {
        let (child, source) = (node(ordered.endpoint), ordered.fill.source.map(node));
        let shape = self.hierarchy.topology();
        match source {
            // A sibling gives what it holds: no tier above is asked.
            Some(source) if shape.node(source).is_some_and(|n| n.role != Role::Cache) => {
                Some((child, source))
            }
            Some(_) => None,
            // Straight to a parent or the origin.
            None if shape.node(child).is_some_and(|n| n.role != Role::Cache) => Some((child, child)),
            None => None,
        }
    }

    fn send(&mut self, now: Ms, ordered: AttemptOrder, profile: RequestProfile, held: bool) -> FillDecision {
        if let Some((child, source)) = self.ends(&ordered) {
            self.out.insert(ordered.attempt, Out { child, source, aim: profile.latency_objective, held });
        }
        let way = self.way(now, &ordered, profile.object, held);
        FillDecision::Send { order: ordered, fill_path: way }
    }

    /// It may not fill: what is held will do, also an ageing copy, at the source and beside it.
    pub fn admit_from_cache_only(
        &mut self,
        now: Ms,
        mut ordered: AttemptOrder,
        profile: RequestProfile,
        come_back: Ms,
    ) -> FillDecision {
        let fill = &mut ordered.fill;
        fill.only_if_cached = true;
        fill.revalidate = false;
        if fill.max_stale_age > 0.0 {
            fill.max_age = fill.max_stale_age;
        }
        self.come_back.insert(ordered.attempt.ticket, come_back);
        self.send(now, ordered, profile, true)
    }

    /// What goes with a fill where nodes understand it.
    fn way(&self, now: Ms, ordered: &AttemptOrder, object: u64, held: bool) -> Option<FillPath> {
        let source = ordered.fill.source.filter(|_| self.extended)?;
        let passed = loop_detection::FillPath::new(self.hierarchy.version());
        let hops = self.hierarchy.onward_path(now, node(ordered.endpoint), node(source), object);
        let named = |hop: &Hop| {
            let name = self.names.node_name(hop.node);
            if hop.cached_only {
                format!("{name}:h")
            } else {
                name
            }
        };
        let via = hops.iter().filter(|hop| !held || hop.cached_only).map(named).collect();
        Some(FillPath { passed: passed.to_string(), via })
    }

    /// How an attempt ended that went.
    pub fn complete_attempt(&mut self, now: Ms, ended: &CompletedAttempt) -> Vec<FillDecision> {
        let ending = &ended.report;
        let Some(out) = self.out.remove(&ending.attempt) else { return Vec::new() };
        if let Some(FillLoop { from, to, version }) = &ended.fill_loop {
            self.came_round(now, &out, from, to, *version);
        }
        if out.held {
            return Vec::new();
        }
        let late = ending.elapsed > out.aim;
        let brought = match (ending.end, ending.cache_result) {
            (AttemptEnd::Answered, Some(CacheResult::FilledByParent)) => FillResult::ServedFromCache,
            (AttemptEnd::Answered, Some(CacheResult::FilledByOrigin)) => FillResult::ServedFromOrigin,
            (AttemptEnd::Answered, Some(CacheResult::Hit | CacheResult::Stale)) => FillResult::AlreadyCached,
            (AttemptEnd::Answered, _) => FillResult::ServedFromUnknown,
            (AttemptEnd::Cancelled | AttemptEnd::NotExecuted, _)
            | (_, Some(CacheResult::NoCapacity | CacheResult::FillLoop)) => FillResult::Abandoned,
            // It never reached the cache, or the cache did not take it: the source was not asked.
            (AttemptEnd::NotSent, _) | (AttemptEnd::Rejected, None) => FillResult::Abandoned,
            _ => FillResult::Failed,
        };
        let released = self.hierarchy.complete_fill(now, ticket(ending.attempt), brought, late);
        self.go_on(now, released)
    }

    /// Holds back the edge on which a fill came round. Where that is none of this shape, its nodes go by another one,
    /// and this router can only leave the source by which it got there.
    fn came_round(&mut self, now: Ms, out: &Out, from: &str, to: &str, version: u64) {
        let id = |name: &str| NodeId(EndpointKey::of(name).number());
        let known = self.hierarchy.topology().allows(id(from), id(to));
        let (a, b) = if known { (id(from), id(to)) } else { (out.child, out.source) };
        self.due = now;
        self.hierarchy.report_loop(now, a, b, version);
        log_line!(from, to, version, "hierarchy: a fill came round; an edge is held back for a while");
    }

    fn go_on(&mut self, now: Ms, released: Vec<QueuedDecision>) -> Vec<FillDecision> {
        let mut steps = Vec::new();
        for word in released {
            let Some(waiting) = self.waiting.remove(&attempt(word.ticket)) else { continue };
            let Waiting { mut ordered, profile, since } = waiting;
            ordered.timeout -= now - since;
            steps.push(match word.decision {
                ShieldDecision::Reject { retry_after, .. } => {
                    self.admit_from_cache_only(now, ordered, profile, retry_after)
                }
                ShieldDecision::Admit | ShieldDecision::Queue { .. } => {
                    self.send(now, ordered, profile, false)
                }
            });
        }
        steps
    }

    fn turn_back(&mut self, attempt: AttemptKey) -> Option<FillDecision> {
        let waiting = self.waiting.remove(&attempt)?;
        Some(FillDecision::Reject { order: waiting.ordered, queued_at: waiting.since })
    }

    /// An attempt is called off. Where it waits here it goes no further, and ends.
    pub fn cancel_attempt(&mut self, attempt: AttemptKey) -> Option<FillDecision> {
        if self.waiting.contains_key(&attempt) {
            self.hierarchy.cancel_fill(ticket(attempt));
        }
        self.turn_back(attempt)
    }

    /// Nobody waits for a request any more: what of it waits here goes no further, also where settings forbid calling
    /// off. There is nothing at a cache yet.
    pub fn cancel_request(&mut self, left: Ticket) -> Vec<AttemptOrder> {
        let mut of: Vec<AttemptKey> = self.waiting.keys().copied().filter(|a| a.ticket == left).collect();
        of.sort_unstable();
        let mut ordered = Vec::new();
        for attempt in of {
            self.hierarchy.cancel_fill(ticket(attempt));
            ordered.extend(self.waiting.remove(&attempt).map(|waiting| waiting.ordered));
        }
        ordered
    }

    /// When a client that is refused had better come back; said once.
    pub fn take_retry_after(&mut self, ticket: Ticket) -> Option<Ms> {
        self.come_back.remove(&ticket)
    }

    /// Whether `tick` has something to do.
    pub fn is_due(&self, now: Ms) -> bool {
        now >= self.due
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Ms) -> Vec<FillDecision> {
        let outcome = self.hierarchy.tick(now);
        self.due = self.hierarchy.next_deadline(now);
        self.note(&outcome.transitions);
        self.go_on(now, outcome.decisions)
    }

    /// When `tick` is due.
    pub fn next_deadline(&self) -> Ms {
        self.due
    }

    /// Attempts that wait, and fills that are out.
    pub fn fill_counts(&self) -> FillCounts {
        FillCounts { queued: self.waiting.len(), in_flight: self.out.len() }
    }
}

#[cfg(test)]
#[path = "../tests/unit/hierarchy_adapter.rs"]
mod tests;
