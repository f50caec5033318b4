//! Owns one router's view: the history, the stages of what changes, and the shield, wired together.
//!
//! The decision module picks among the [`Feed`]s of a cache; what it picked passes the shield, and gets its way on
//! from there. Must never pick a source itself, name one that is barred, or repeat a fill.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::estimators::Ewma;
use linnethook::hash_ring::{hash_pair, unit_fraction};
use linnethook::interface::{EndpointPhase, Ms};
use linnethook::policy::parent_rank_hash;
use serde::Serialize;

use crate::batch::{
    AuthorId, BatchId, BatchLimits, BatchPosition, BatchRejection, Change, ChangeBatch, VersionVector,
};
use crate::history::{History, HistoryLimits, ReceiveOutcome, Snapshot};
use crate::lease::FetchKey;
use crate::loop_detection::{EdgeBackoff, EdgeBackoffConfig, MAX_HOPS};
use crate::origin_shield::{
    FillOutcome, FillRequest, OriginShield, Priority, QueuedDecision, ShieldConfig, ShieldCounters,
    ShieldDecision, ShieldRejection, Ticket,
};
use crate::recent_keys::RecentKeys;
use crate::rollout::{Migration, MigrationId, Rollout, RolloutConfig, RolloutStage, StageTransition};
use crate::topology::{NodeId, Role, Source, Topology};

/// Every figure of the hierarchy.
#[derive(Debug, Clone, Copy)]
pub struct HierarchyConfig {
    pub batch_limits: BatchLimits,
    pub history_limits: HistoryLimits,
    pub edge_backoff: EdgeBackoffConfig,
    pub rollout: RolloutConfig,
    pub shield: ShieldConfig,
    /// Whether children go over by stages, and whether fills pass the shield; both off is the plain flip.
    pub rollout_enabled: bool,
    pub shield_enabled: bool,
    /// How long a node that retires may still be asked for what it holds.
    pub retirement_grace: Ms,
    /// Cold keys that are remembered, and for how long.
    pub recent_keys: usize,
    pub recent_keys_horizon: Ms,
    /// The likelihood that a cache fills what was asked of it lately, and that such a fill goes on from its source
    /// to the origin, before that was seen; and the weight of one in what was seen.
    pub initial_fill_probability: f64,
    pub sample_weight: f64,
    /// Children that sources are picked for here.
    pub max_children: usize,
    /// A part is told anew when it has moved by that much.
    pub publish_step: f64,
    /// Fills that were turned away for the budget hold the stages back for so long.
    pub constrained_hold: Ms,
}

impl Default for HierarchyConfig {
    fn default() -> Self {
        Self {
            batch_limits: BatchLimits::default(),
            history_limits: HistoryLimits::default(),
            edge_backoff: EdgeBackoffConfig::default(),
            rollout: RolloutConfig::default(),
            shield: ShieldConfig::default(),
            rollout_enabled: true,
            shield_enabled: true,
            retirement_grace: 120_000.0,
            recent_keys: 65_536,
            recent_keys_horizon: 120_000.0,
            initial_fill_probability: 0.1,
            sample_weight: 0.05,
            max_children: 4_096,
            publish_step: 1.0 / 128.0,
            constrained_hold: 500.0,
        }
    }
}

/// The sources that the decision module may choose from for a cache's fills: lower ranks first, among equals an
/// object has its own by hash.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FillSources {
    /// For the objects whose hash with `salt` is below `fraction`.
    pub current: Vec<Source>,
    /// For the others, as before the change that is on its way.
    pub previous: Vec<Source>,
    pub fraction: f64,
    pub salt: u64,
}

impl FillSources {
    /// The list that an object's fills run by.
    pub fn of(&self, object: u64) -> &[Source] {
        match unit_fraction(hash_pair(object, self.salt)) < self.fraction {
            true => &self.current,
            false => &self.previous,
        }
    }
}

/// Where a source goes on if it lacks what it is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    pub node: NodeId,
    /// It gives only what it holds.
    pub cached_only: bool,
}

/// A fill that the decision module has picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectedFill {
    pub ticket: Ticket,
    pub child: NodeId,
    pub source: NodeId,
    pub object: u64,
    /// The object's part, by hash.
    pub key: u64,
    pub priority: Priority,
    pub bytes: f64,
    pub may_join: bool,
    pub max_wait: Ms,
}

/// How a fill ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FillResult {
    /// The source had it, or had it from beside.
    ServedFromCache,
    /// It came from the origin, by way of the source; or the source is the origin.
    ServedFromOrigin,
    /// It came, and it is not told from where.
    ServedFromUnknown,
    /// The cache had it all along: no fill took place.
    AlreadyCached,
    /// The source refused, failed or could not be reached.
    Failed,
    /// Whoever waited for it has left: it tells nothing.
    Abandoned,
}

/// What follows from an update of an endpoint.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EndpointUpdate {
    pub transitions: Vec<StageTransition>,
    /// Queued fills from an endpoint that may not be used any more.
    pub cancelled: Vec<Ticket>,
}

/// What follows from the passing of time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TickOutcome {
    pub decisions: Vec<QueuedDecision>,
    pub transitions: Vec<StageTransition>,
}

/// What is known of a node beside its place in the shape.
#[derive(Debug, Clone, Copy)]
struct Listed {
    phase: EndpointPhase,
    started: Ms,
}

/// A cache that sources are picked for here.
#[derive(Debug, Clone, Default)]
struct Child {
    /// The list that fills run by where the wanted one has not warmed.
    settled: Vec<Source>,
    wanted: Vec<Source>,
    by: BatchPosition,
    told: FillSources,
}

#[derive(Debug, Clone, Copy)]
struct Out {
    child: NodeId,
    source: NodeId,
    key: u64,
    /// The classes of what was remembered of the key, at the child and at the source.
    ages: (usize, usize),
}

/// How old what is remembered of a key may be, in classes: the last one is what is not remembered at all.
const AGES: usize = 6;
const AGE_FIRST: Ms = 1_000.0;
const AGE_RATIO: f64 = 4.0;

fn age_class(age: Option<Ms>) -> usize {
    let class = |age: Ms| (age / AGE_FIRST).max(1.0).log(AGE_RATIO).ceil() as usize;
    age.map_or(AGES - 1, |age| class(age).min(AGES - 2))
}

/// A source as it was seen here.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    /// The share of fills that went on to the origin, by how long ago the object was fetched through it.
    reach: [Ewma; AGES],
    /// As a child: the share of requests that it had to fill, likewise.
    fills: [Ewma; AGES],
    retiring_since: Option<Ms>,
}

/// What is shown to people.
#[derive(Debug, Clone, Serialize)]
pub struct HierarchyView {
    pub version: u64,
    pub digest: String,
    pub nodes: usize,
    #[serde(rename = "suspended")]
    pub suspended_edges: usize,
    #[serde(rename = "held_back")]
    pub backed_off_edges: usize,
    #[serde(rename = "waiting_batches")]
    pub pending_batches: usize,
    #[serde(rename = "moves")]
    pub migrations: Vec<MigrationView>,
    pub budgets: Vec<BudgetView>,
    #[serde(rename = "counts")]
    pub counters: ShieldCounters,
}

#[derive(Debug, Clone, Serialize)]
pub struct MigrationView {
    #[serde(rename = "to")]
    pub target: u64,
    pub author: u16,
    pub number: u64,
    pub stage: RolloutStage,
    #[serde(rename = "part")]
    pub fraction: f64,
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// Shares of late fills, by the new source and by the old ones.
    #[serde(rename = "late_new")]
    pub new_failure_ratio: f64,
    #[serde(rename = "late_old")]
    pub old_failure_ratio: f64,
}

#[derive(Debug, Clone, Serialize)]
pub struct BudgetView {
    pub target: u64,
    pub per_second: f64,
    /// `None` without a limit.
    pub limit: Option<f64>,
}

/// Keeps the hash by which objects go over apart from all others.
const SALT_GOING_OVER: u64 = 0x676f_6f76;
/// What is remembered of a key at a child, apart from what is remembered of it at a source.
const SALT_CHILD: u64 = 0x6368_696c;

pub struct Hierarchy {
    config: HierarchyConfig,
    history: History,
    stages: Rollout,
    shield: OriginShield,
    held_back: EdgeBackoff,
    recency: RecentKeys,
    swept: Ms,
    listed: BTreeMap<NodeId, Listed>,
    known: BTreeMap<NodeId, Known>,
    children: BTreeMap<NodeId, Child>,
    out: BTreeMap<Ticket, Out>,
    /// The tiers above turned fills away until then.
    short_until: Ms,
    changing: bool,
}

impl Hierarchy {
    pub fn new(config: HierarchyConfig) -> Self {
        Self {
            history: History::new(config.batch_limits, config.history_limits),
            stages: Rollout::new(config.rollout),
            shield: OriginShield::new(config.shield),
            held_back: EdgeBackoff::new(config.edge_backoff),
            recency: RecentKeys::new(config.recent_keys, config.recent_keys_horizon),
            swept: 0.0,
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            children: BTreeMap::new(),
            out: BTreeMap::new(),
            short_until: 0.0,
            changing: false,
            config,
        }
    }

    pub fn topology(&self) -> &Topology {
        self.history.topology()
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    pub fn shield(&self) -> &OriginShield {
        &self.shield
    }

    pub fn rollout(&self) -> &Rollout {
        &self.stages
    }

    /// The version that goes with fills.
    pub fn version(&self) -> u64 {
        self.history.version()
    }

    // ---- Changes.

    /// Takes in a batch, from wherever it comes.
    pub fn receive_batch(&mut self, now: Ms, batch: ChangeBatch) -> ReceiveOutcome {
        let heard = self.history.receive_batch(batch);
        if matches!(heard, ReceiveOutcome::Accepted(_)) {
            self.reshaped(now);
        }
        heard
    }

    /// Begins from another router's shape: what that has settled counts as settled here too.
    pub fn restore_snapshot(&mut self, now: Ms, snapshot: Snapshot) -> Result<(), BatchRejection> {
        self.history.restore_snapshot(snapshot)?;
        self.reshaped(now);
        Ok(())
    }

    pub fn snapshot(&self) -> Snapshot {
        self.history.snapshot()
    }

    /// A batch by that author on the present shape.
    pub fn draft_batch(&self, author: AuthorId, effective_at: Ms, changes: Vec<Change>) -> ChangeBatch {
        self.history.draft_batch(author, effective_at, changes)
    }

    pub fn basis(&self) -> VersionVector {
        self.history.basis()
    }

    /// Stops what a batch began, at once; the changes that take it back are for a batch of their own.
    pub fn roll_back_batch(&mut self, now: Ms, batch_id: BatchId) -> Option<Vec<Change>> {
        let changes = self.history.inverse_changes(batch_id)?;
        self.stages.stop(now, batch_id);
        Some(changes)
    }

    /// The shape is another one: children get new lists, and stages begin or end.
    fn reshaped(&mut self, now: Ms) {
        let children: Vec<NodeId> = self.children.keys().copied().collect();
        children.into_iter().for_each(|child| self.refresh(now, child));
        let shape = self.history.topology();
        let retiring = |id: &NodeId| shape.node(*id).is_some_and(|node| node.retiring);
        self.known.retain(|id, _| shape.node(*id).is_some());
        self.listed.retain(|id, listed| listed.phase != EndpointPhase::Removed || shape.node(*id).is_some());
        for record in shape.records().into_iter().filter(|record| record.node.retiring) {
            self.known.entry(record.node.id).or_default().retiring_since.get_or_insert(now);
        }
        for (_, known) in self.known.iter_mut().filter(|(id, _)| !retiring(id)) {
            known.retiring_since = None;
        }
        self.shield.retain(|id| shape.node(id).is_some());
        self.drop_moves();
    }

    fn refresh(&mut self, now: Ms, id: NodeId) {
        let shape = self.history.topology();
        let Some(record) = shape.record(id) else { return };
        let Some(child) = self.children.get_mut(&id) else { return };
        // Whoever retires is left by the same stages as one that is no source any more.
        let stays = |source: &Source| shape.node(source.node).is_some_and(|node| !node.retiring);
        let wanted: Vec<Source> = shape.sources(id).filter(stays).collect();
        let written = shape.sources(id).filter_map(|s| shape.record(s.node)).map(|record| record.node_by);
        let by = written.fold(record.edges_by, BatchPosition::max);
        if child.wanted == wanted {
            return;
        }
        if child.settled.is_empty() || !self.config.rollout_enabled {
            child.settled.clone_from(&wanted);
        }
        child.wanted = wanted;
        child.by = by;
        let at = self.history.effective_at(by).unwrap_or(now);
        for to in receivers(child) {
            let started = self.listed.get(&to).map_or(0.0, |listed| listed.started);
            self.stages.begin(now, MigrationId { target: to, position: by }, at, started);
        }
    }

    /// Forgets the goings over that no child is on any more.
    fn drop_moves(&mut self) {
        let on: BTreeSet<MigrationId> = self.children.values().flat_map(Child::moves).collect();
        self.stages.retain(|id| on.contains(&id));
    }

    // ---- What is known of nodes.

    /// Sources are picked for this cache from now on. False where there is no room for more.
    pub fn track_child(&mut self, now: Ms, child: NodeId) -> bool {
        if !self.children.contains_key(&child) && self.children.len() >= self.config.max_children {
            return false;
        }
        self.children.entry(child).or_default();
        self.refresh(now, child);
        true
    }

    pub fn untrack_child(&mut self, child: NodeId) {
        self.children.remove(&child);
        self.drop_moves();
    }

    /// A line of the list of caches. What waits for a fill from one that may not be used comes back.
    pub fn update_endpoint(
        &mut self,
        now: Ms,
        id: NodeId,
        phase: EndpointPhase,
        started: Ms,
    ) -> EndpointUpdate {
        let before = self.listed.get(&id).copied();
        if phase == EndpointPhase::Removed {
            self.untrack_child(id);
        }
        // One that the shape still names must not be taken for one that was never listed.
        if phase == EndpointPhase::Removed && self.topology().node(id).is_none() {
            self.listed.remove(&id);
        } else {
            self.listed.insert(id, Listed { phase, started });
        }
        if before.is_some_and(|before| started > before.started) {
            // What it held is gone.
            self.stages.started(id, started);
            if let Some(known) = self.known.get_mut(&id) {
                (known.reach, known.fills) = Default::default();
            }
        }
        if phase == EndpointPhase::Ready {
            return EndpointUpdate::default();
        }
        EndpointUpdate { transitions: self.stages.lost(now, id), cancelled: self.shield.cancel_source(id) }
    }

    /// It has fallen over, or answers nothing, by what this router sees.
    pub fn endpoint_failed(&mut self, now: Ms, id: NodeId) -> Vec<StageTransition> {
        self.stages.lost(now, id)
    }

    /// Whether a node may be named as a source at all. One that was never listed may be: the shape knows it.
    fn is_ready(&self, id: NodeId) -> bool {
        self.listed.get(&id).is_none_or(|listed| listed.phase == EndpointPhase::Ready)
    }

    /// Whether a node that retires may still be asked for what it holds.
    fn in_grace(&self, now: Ms, id: NodeId) -> bool {
        let since = self.known.get(&id).and_then(|known| known.retiring_since);
        since.is_none_or(|since| now - since < self.config.retirement_grace)
    }

    fn is_retiring(&self, id: NodeId) -> bool {
        self.topology().node(id).is_some_and(|node| node.retiring)
    }

    // ---- Sources.

    /// What the decision module may choose from for a cache's fills.
    pub fn fill_sources(&self, now: Ms, id: NodeId) -> FillSources {
        let Some(child) = self.children.get(&id) else { return FillSources::default() };
        let version = self.version();
        let free = |source: &&Source| !self.held_back.is_backed_off(now, id, source.node, version);
        let part = child.moves().map(|id| self.stages.part(now, id)).fold(1.0, f64::min);
        let old =
            child.settled.iter().filter(|_| part < 1.0).filter(free).filter(|source| {
                self.topology().node(source.node).is_some() && self.in_grace(now, source.node)
            });
        FillSources {
            current: child.wanted.iter().filter(free).copied().collect(),
            previous: old.copied().collect(),
            fraction: part,
            salt: child.by.stamp ^ SALT_GOING_OVER,
        }
    }

    /// The feeds that are other ones than were told last.
    pub fn changed_fill_sources(&mut self, now: Ms) -> Vec<(NodeId, FillSources)> {
        let mut changed = Vec::new();
        let ids: Vec<NodeId> = self.children.keys().copied().collect();
        for id in ids {
            let feeds = self.fill_sources(now, id);
            let grain = self.config.publish_step;
            let Some(child) = self.children.get_mut(&id) else { continue };
            let told = &child.told;
            let near = (feeds.fraction - told.fraction).abs() < grain
                && (feeds.fraction < 1.0) == (told.fraction < 1.0);
            if !(near
                && feeds.current == told.current
                && feeds.previous == told.previous
                && feeds.salt == told.salt)
            {
                child.told.clone_from(&feeds);
                changed.push((id, feeds));
            }
        }
        changed
    }

    /// Where a source goes on that lacks what `child` wants of it: while it warms first sideways to the old one,
    /// which gives what it holds, then up to the origin by the ranks. Nothing that is barred is named, nor any
    /// node twice.
    pub fn onward_path(&self, now: Ms, child: NodeId, source: NodeId, object: u64) -> Vec<Hop> {
        let mut way = Vec::new();
        let mut passed = vec![child, source];
        let going_over =
            self.children.get(&child).filter(|child| child.moves().any(|id| id.target == source));
        if let Some(known) = going_over {
            let holds = |id: &NodeId| {
                let parent = self.topology().node(*id).is_some_and(|node| node.role == Role::Parent);
                parent && *id != source && self.is_ready(*id) && self.in_grace(now, *id)
            };
            // By the hash that chose among them when they were the ones.
            let home = best(&known.settled).filter(holds).min_by_key(|id| parent_rank_hash(object, id.0));
            way.extend(home.map(|node| Hop { node, cached_only: true }));
            passed.extend(home);
        }
        let (mut at, version) = (source, self.version());
        while passed.len() < MAX_HOPS {
            let fit = |s: &Source| {
                !passed.contains(&s.node)
                    && self.is_ready(s.node)
                    && !self.is_retiring(s.node)
                    && !self.held_back.is_backed_off(now, at, s.node, version)
            };
            let next = self
                .topology()
                .sources(at)
                .filter(fit)
                .min_by_key(|s| (s.rank, parent_rank_hash(object, s.node.0)));
            let Some(next) = next else { break };
            way.push(Hop { node: next.node, cached_only: false });
            passed.push(next.node);
            at = next.node;
        }
        way
    }

    // ---- Fills.

    /// How likely something happens to what was last asked for so long ago: what was seen of others like it.
    fn likely(&self, age: Option<Ms>, seen: Option<&[Ewma; AGES]>) -> (usize, f64) {
        let class = age_class(age);
        let guess = if age.is_some() { self.config.initial_fill_probability } else { 1.0 };
        let mean = seen.map(|seen| seen[class]).filter(|mean| mean.samples > 0.0);
        (class, mean.map_or(guess, |mean| mean.value))
    }

    /// How likely a cache has to fill, with the class of what is remembered. What goes straight to a source does
    /// reach it.
    fn fills(&self, now: Ms, picked: &SelectedFill) -> (usize, f64) {
        if picked.child == picked.source {
            return (AGES - 1, 1.0);
        }
        let age = self.recency.age(now, hash_pair(picked.key, picked.child.0 ^ SALT_CHILD));
        self.likely(age, self.known.get(&picked.child).map(|known| &known.fills))
    }

    /// How likely a fill goes on from its source to the origin.
    fn reach(&self, now: Ms, picked: &SelectedFill) -> (usize, f64) {
        let age = self.recency.age(now, hash_pair(picked.key, picked.source.0));
        self.likely(age, self.known.get(&picked.source).map(|known| &known.reach))
    }

    /// The tiers that a fill is likely to reach, and how likely. What gives only what it holds is not held back.
    fn tolls(source: NodeId, way: &[Hop], fills: f64, reach: f64) -> Vec<(NodeId, f64)> {
        let above = way.iter().filter(|hop| !hop.cached_only).map(|hop| (hop.node, fills * reach));
        std::iter::once((source, fills)).chain(above).collect()
    }

    /// Asks for a picked fill to go.
    pub fn request_fill(&mut self, now: Ms, picked: &SelectedFill) -> ShieldDecision {
        let way = self.onward_path(now, picked.child, picked.source, picked.object);
        let (child_age, fills) = self.fills(now, picked);
        let (source_age, reach) = self.reach(now, picked);
        let verdict = match self.config.shield_enabled {
            true => self.shield.request_fill(
                now,
                FillRequest {
                    ticket: picked.ticket,
                    fetch: FetchKey { source: picked.source, key: picked.key },
                    priority: picked.priority,
                    bytes: picked.bytes,
                    may_join: picked.may_join,
                    max_wait: picked.max_wait,
                    tolls: Self::tolls(picked.source, &way, fills, reach),
                    needs_lease: fills >= 0.5,
                },
            ),
            false => ShieldDecision::Admit,
        };
        if let ShieldDecision::Reject {
            reason: ShieldRejection::BudgetExhausted | ShieldRejection::QueueTimeout,
            ..
        } = verdict
        {
            self.short_until = now + self.config.constrained_hold;
        }
        if !matches!(verdict, ShieldDecision::Reject { .. }) {
            let SelectedFill { child, source, key, .. } = *picked;
            self.out.insert(picked.ticket, Out { child, source, key, ages: (child_age, source_age) });
        }
        verdict
    }

    /// How a fill ended that went.
    pub fn complete_fill(
        &mut self,
        now: Ms,
        ticket: Ticket,
        brought: FillResult,
        late: bool,
    ) -> Vec<QueuedDecision> {
        let Some(out) = self.out.remove(&ticket) else { return Vec::new() };
        let told = !matches!(brought, FillResult::Abandoned | FillResult::AlreadyCached);
        if told {
            let by = self
                .children
                .get(&out.child)
                .map(|child| MigrationId { target: out.source, position: child.by });
            let on = by.filter(|id| self.stages.get(*id).is_some());
            self.stages.report(on, out.source, late || brought == FillResult::Failed);
        }
        let (filled, reached) = match brought {
            FillResult::AlreadyCached => (Some(false), Some(false)),
            FillResult::ServedFromCache => (Some(true), Some(false)),
            FillResult::ServedFromOrigin => (Some(true), Some(true)),
            FillResult::ServedFromUnknown | FillResult::Failed | FillResult::Abandoned => (None, None),
        };
        let weight = self.config.sample_weight;
        if let Some(filled) = filled.filter(|_| out.child != out.source) {
            let known = self.known.entry(out.child).or_default();
            known.fills[out.ages.0].update_from_mean(f64::from(u8::from(filled)), weight);
        }
        if let (Some(true), Some(reached)) = (filled, reached) {
            let known = self.known.entry(out.source).or_default();
            known.reach[out.ages.1].update_from_mean(f64::from(u8::from(reached)), weight);
        }
        if !matches!(brought, FillResult::Failed | FillResult::Abandoned) {
            self.recency.note(now, hash_pair(out.key, out.child.0 ^ SALT_CHILD));
        }
        if matches!(
            brought,
            FillResult::ServedFromCache | FillResult::ServedFromOrigin | FillResult::ServedFromUnknown
        ) {
            self.recency.note(now, hash_pair(out.key, out.source.0));
        }
        let late = told.then_some(late || brought == FillResult::Failed);
        let end = FillOutcome { brought: brought != FillResult::Failed, late, filled, reached };
        let released = self.shield.complete_fill(now, ticket, end);
        self.let_go(now, released)
    }

    /// Whoever wanted it has left before it went.
    pub fn cancel_fill(&mut self, ticket: Ticket) {
        self.shield.cancel_fill(ticket);
        self.out.remove(&ticket);
    }

    /// Whether a tier above what changes has hardly more room, or fills were turned away lately: what could be served
    /// as it is had better not be fetched anew now.
    pub fn is_constrained(&self, now: Ms) -> bool {
        now < self.short_until || self.shield.is_tight(now)
    }

    /// A node has found itself on the way of a fill that was sent on from `from`.
    pub fn report_loop(&mut self, now: Ms, from: NodeId, to: NodeId, version: u64) {
        self.held_back.back_off(now, from, to, version.max(self.version()));
    }

    fn let_go(&mut self, now: Ms, released: Vec<QueuedDecision>) -> Vec<QueuedDecision> {
        for word in &released {
            if let ShieldDecision::Reject { .. } = word.decision {
                self.out.remove(&word.ticket);
                self.short_until = now + self.config.constrained_hold;
            }
        }
        released
    }

    /// Lets time pass: the fills that may go by now, and the stages that were entered.
    pub fn tick(&mut self, now: Ms) -> TickOutcome {
        if now - self.swept >= self.recency.sweep_every() {
            self.swept = now;
            self.recency.sweep(now);
        }
        self.held_back.expire(now);
        self.see_ways_back(now);
        // Nor does a part rise while it is not known yet what is usual: what rises meanwhile would count as that.
        let short = self.is_constrained(now) || self.shield.is_learning();
        let listed = &self.listed;
        let ready = |id: NodeId| listed.get(&id).is_none_or(|listed| listed.phase == EndpointPhase::Ready);
        let entered = self.stages.tick(now, short, ready);
        if entered.iter().any(|entered| entered.stage == RolloutStage::Settled) {
            self.settle();
        }
        let changing = self.stages.are_under_way();
        if changing {
            self.hold_tiers_above(now);
        } else if self.changing {
            self.shield.end_change(now);
        }
        self.changing = changing;
        let released = self.shield.tick(now);
        TickOutcome { decisions: self.let_go(now, released), transitions: entered }
    }

    /// Holds the budgets of all tiers above the sources that children go over to. A tier that nothing reached before
    /// the change has no past that could be its measure: the stages alone hold it back.
    fn hold_tiers_above(&mut self, now: Ms) {
        let fresh: BTreeSet<NodeId> = self.stages.iter().map(|(id, _)| id.target).collect();
        let settled = self.children.values().flat_map(|child| &child.settled).map(|source| source.node);
        let before = self.and_above(settled.collect());
        for id in self.and_above(fresh.clone()).difference(&fresh).filter(|id| before.contains(id)) {
            self.shield.begin_change(now, *id);
        }
    }

    /// Some nodes, and all that they may fill from.
    fn and_above(&self, nodes: BTreeSet<NodeId>) -> BTreeSet<NodeId> {
        let mut open: Vec<NodeId> = nodes.iter().copied().collect();
        let mut all = nodes;
        while let Some(id) = open.pop() {
            let further = self.history.topology().sources(id).map(|source| source.node);
            open.extend(further.filter(|id| all.insert(*id)));
        }
        all
    }

    /// A change has a way back while something of the old list could be used.
    fn see_ways_back(&mut self, now: Ms) {
        let mut none = BTreeMap::<MigrationId, bool>::new();
        for child in self.children.values() {
            let old = best(&child.settled).any(|id| {
                let parent = self.topology().node(id).is_some_and(|node| node.role == Role::Parent);
                parent && self.is_ready(id) && self.in_grace(now, id)
            });
            for id in child.moves() {
                *none.entry(id).or_insert(true) &= !old;
            }
        }
        none.into_iter().for_each(|(id, none)| self.stages.no_way_back(id, none));
    }

    /// Children all of whose new sources have settled forget their old list.
    fn settle(&mut self) {
        for child in self.children.values_mut() {
            let open = |id: MigrationId| {
                self.stages.get(id).is_some_and(|moved| moved.stage != RolloutStage::Settled)
            };
            if !child.moves().any(open) {
                child.settled.clone_from(&child.wanted);
            }
        }
        self.drop_moves();
    }

    /// When `tick` has something to do.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let shield = self.shield.next_deadline(now);
        // A part that rises is told in steps.
        let step = self.stages.are_under_way().then_some(now + 100.0);
        let due = [shield, step, self.stages.next()].into_iter().flatten().reduce(f64::min);
        due.unwrap_or(now + 1_000.0).max(now + 1.0)
    }

    /// The goings over that no child has finished.
    pub fn migrations(&self) -> impl Iterator<Item = (MigrationId, &Migration)> {
        self.stages.iter()
    }

    /// What people are shown.
    pub fn view(&self, now: Ms) -> HierarchyView {
        let moves = self.stages.iter().map(|(id, moved)| MigrationView {
            target: id.target.0,
            author: id.position.batch_id().author.0,
            number: id.position.batch_id().number,
            stage: moved.stage,
            fraction: moved.part(now, self.stages.config()),
            attempts: moved.tries(),
            new_failure_ratio: moved.late().0,
            old_failure_ratio: moved.late().1,
        });
        let budgets = self.shield.budgets(now).map(|(target, per_second, limit)| BudgetView {
            target: target.0,
            per_second,
            limit: limit.is_finite().then_some(limit),
        });
        HierarchyView {
            version: self.version(),
            digest: format!("{:016x}", self.topology().digest()),
            nodes: self.topology().len(),
            suspended_edges: self.topology().suspended_edges().count(),
            backed_off_edges: self.held_back.backed_off_edges(now).count(),
            pending_batches: self.history.pending().count(),
            migrations: moves.collect(),
            budgets: budgets.collect(),
            counters: self.shield.counters(),
        }
    }
}

impl Child {
    /// Its goings over that are on their way.
    fn moves(&self) -> impl Iterator<Item = MigrationId> + '_ {
        receivers(self).into_iter().map(|to| MigrationId { target: to, position: self.by })
    }
}

/// The first sources of a list.
fn best(list: &[Source]) -> impl Iterator<Item = NodeId> + '_ {
    let first = list.iter().map(|source| source.rank).min();
    list.iter().filter(move |source| Some(source.rank) == first).map(|source| source.node)
}

/// The sources that get more of a child's fills than before: those that come new to the first ones of its list, or
/// all of these where one has only left.
fn receivers(child: &Child) -> Vec<NodeId> {
    let old: Vec<NodeId> = best(&child.settled).collect();
    let new: Vec<NodeId> = best(&child.wanted).collect();
    let fresh: Vec<NodeId> = new.iter().copied().filter(|id| !old.contains(id)).collect();
    match fresh.is_empty() && old.iter().any(|id| !new.contains(id)) {
        true => new,
        false => fresh,
    }
}
