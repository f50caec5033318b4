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

use crate::batch::{Author, Basis, Batch, Bounds, Change, Key, Refusal, Serial};
use crate::history::{Heard, History, Kept, Snapshot};
use crate::lease::Fetch;
use crate::passed::{HeldBack, HoldRule, HOPS};
use crate::recency::Recency;
use crate::shape::{NodeId, Role, Shape, Source};
use crate::shield::{Counts, Fill, FillEnd, Over, Priority, Released, Shield, ShieldRule, Ticket, Verdict};
use crate::stages::{Entered, Move, MoveId, Stage, StageRule, Stages};

/// Every figure of the hierarchy.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    pub bounds: Bounds,
    pub kept: Kept,
    pub hold: HoldRule,
    pub stages: StageRule,
    pub shield: ShieldRule,
    /// Whether children go over by stages, and whether fills pass the shield; both off is the plain flip.
    pub staged: bool,
    pub shielded: bool,
    /// How long a node that retires may still be asked for what it holds.
    pub retire: Ms,
    /// Cold keys that are remembered, and for how long.
    pub keys: usize,
    pub horizon: Ms,
    /// The likelihood that a cache fills what was asked of it lately, and that such a fill goes on from its source
    /// to the origin, before that was seen; and the weight of one in what was seen.
    pub likely_seen: f64,
    pub weight: f64,
    /// Children that sources are picked for here.
    pub children: usize,
    /// A part is told anew when it has moved by that much.
    pub grain: f64,
    /// Fills that were turned away for the budget hold the stages back for so long.
    pub short: Ms,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            bounds: Bounds::default(),
            kept: Kept::default(),
            hold: HoldRule::default(),
            stages: StageRule::default(),
            shield: ShieldRule::default(),
            staged: true,
            shielded: true,
            retire: 120_000.0,
            keys: 65_536,
            horizon: 120_000.0,
            likely_seen: 0.1,
            weight: 0.05,
            children: 4_096,
            grain: 1.0 / 128.0,
            short: 500.0,
        }
    }
}

/// The sources that the decision module may choose from for a cache's fills: lower ranks first, among equals an
/// object has its own by hash.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Feeds {
    /// For the objects whose hash with `salt` is below `part`.
    pub now: Vec<Source>,
    /// For the others, as before the change that is on its way.
    pub before: Vec<Source>,
    pub part: f64,
    pub salt: u64,
}

impl Feeds {
    /// The list that an object's fills run by.
    pub fn of(&self, object: u64) -> &[Source] {
        match unit_fraction(hash_pair(object, self.salt)) < self.part {
            true => &self.now,
            false => &self.before,
        }
    }
}

/// Where a source goes on if it lacks what it is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    pub node: NodeId,
    /// It gives only what it holds.
    pub only_held: bool,
}

/// A fill that the decision module has picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Picked {
    pub ticket: Ticket,
    pub child: NodeId,
    pub source: NodeId,
    pub object: u64,
    /// The object's part, by hash.
    pub key: u64,
    pub priority: Priority,
    pub bytes: f64,
    pub joins: bool,
    pub patience: Ms,
}

/// How a fill ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Brought {
    /// The source had it, or had it from beside.
    Held,
    /// It came from the origin, by way of the source; or the source is the origin.
    FromOrigin,
    /// It came, and it is not told from where.
    Somehow,
    /// The cache had it all along: no fill took place.
    NoFill,
    /// The source refused, failed or could not be reached.
    Nothing,
    /// Whoever waited for it has left: it tells nothing.
    Unknown,
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
    by: Key,
    told: Feeds,
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
pub struct View {
    pub version: u64,
    pub digest: String,
    pub nodes: usize,
    pub suspended: usize,
    pub held_back: usize,
    pub waiting_batches: usize,
    pub moves: Vec<MoveView>,
    pub budgets: Vec<BudgetView>,
    pub counts: Counts,
}

#[derive(Debug, Clone, Serialize)]
pub struct MoveView {
    pub to: u64,
    pub author: u16,
    pub number: u64,
    pub stage: Stage,
    pub part: f64,
    pub tries: u32,
    /// Shares of late fills, by the new source and by the old ones.
    pub late_new: f64,
    pub late_old: f64,
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
    rules: Rules,
    history: History,
    stages: Stages,
    shield: Shield,
    held_back: HeldBack,
    recency: Recency,
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
    pub fn new(rules: Rules) -> Self {
        Self {
            history: History::new(rules.bounds, rules.kept),
            stages: Stages::new(rules.stages),
            shield: Shield::new(rules.shield),
            held_back: HeldBack::new(rules.hold),
            recency: Recency::new(rules.keys, rules.horizon),
            swept: 0.0,
            listed: BTreeMap::new(),
            known: BTreeMap::new(),
            children: BTreeMap::new(),
            out: BTreeMap::new(),
            short_until: 0.0,
            changing: false,
            rules,
        }
    }

    pub fn shape(&self) -> &Shape {
        self.history.shape()
    }

    pub fn history(&self) -> &History {
        &self.history
    }

    pub fn shield(&self) -> &Shield {
        &self.shield
    }

    pub fn stages(&self) -> &Stages {
        &self.stages
    }

    /// The version that goes with fills.
    pub fn version(&self) -> u64 {
        self.history.version()
    }

    // ---- Changes.

    /// Takes in a batch, from wherever it comes.
    pub fn hear(&mut self, now: Ms, batch: Batch) -> Heard {
        let heard = self.history.hear(batch);
        if matches!(heard, Heard::Taken(_)) {
            self.reshaped(now);
        }
        heard
    }

    /// Begins from another router's shape: what that has settled counts as settled here too.
    pub fn adopt(&mut self, now: Ms, snapshot: Snapshot) -> Result<(), Refusal> {
        self.history.adopt(snapshot)?;
        self.reshaped(now);
        Ok(())
    }

    pub fn snapshot(&self) -> Snapshot {
        self.history.snapshot()
    }

    /// A batch by that author on the present shape.
    pub fn draft(&self, author: Author, at: Ms, changes: Vec<Change>) -> Batch {
        self.history.draft(author, at, changes)
    }

    pub fn basis(&self) -> Basis {
        self.history.basis()
    }

    /// Stops what a batch began, at once; the changes that take it back are for a batch of their own.
    pub fn roll_back(&mut self, now: Ms, serial: Serial) -> Option<Vec<Change>> {
        let changes = self.history.inverse(serial)?;
        self.stages.stop(now, serial);
        Some(changes)
    }

    /// The shape is another one: children get new lists, and stages begin or end.
    fn reshaped(&mut self, now: Ms) {
        let children: Vec<NodeId> = self.children.keys().copied().collect();
        children.into_iter().for_each(|child| self.refresh(now, child));
        let shape = self.history.shape();
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
        let shape = self.history.shape();
        let Some(record) = shape.record(id) else { return };
        let Some(child) = self.children.get_mut(&id) else { return };
        // Whoever retires is left by the same stages as one that is no source any more.
        let stays = |source: &Source| shape.node(source.node).is_some_and(|node| !node.retiring);
        let wanted: Vec<Source> = shape.sources(id).filter(stays).collect();
        let written = shape.sources(id).filter_map(|s| shape.record(s.node)).map(|record| record.node_by);
        let by = written.fold(record.edges_by, Key::max);
        if child.wanted == wanted {
            return;
        }
        if child.settled.is_empty() || !self.rules.staged {
            child.settled.clone_from(&wanted);
        }
        child.wanted = wanted;
        child.by = by;
        let at = self.history.took_effect(by).unwrap_or(now);
        for to in receivers(child) {
            let started = self.listed.get(&to).map_or(0.0, |listed| listed.started);
            self.stages.begin(now, MoveId { to, by }, at, started);
        }
    }

    /// Forgets the goings over that no child is on any more.
    fn drop_moves(&mut self) {
        let on: BTreeSet<MoveId> = self.children.values().flat_map(Child::moves).collect();
        self.stages.retain(|id| on.contains(&id));
    }

    // ---- What is known of nodes.

    /// Sources are picked for this cache from now on. False where there is no room for more.
    pub fn watch(&mut self, now: Ms, child: NodeId) -> bool {
        if !self.children.contains_key(&child) && self.children.len() >= self.rules.children {
            return false;
        }
        self.children.entry(child).or_default();
        self.refresh(now, child);
        true
    }

    pub fn unwatch(&mut self, child: NodeId) {
        self.children.remove(&child);
        self.drop_moves();
    }

    /// A line of the list of caches. What waits for a fill from one that may not be used comes back.
    pub fn listed(
        &mut self,
        now: Ms,
        id: NodeId,
        phase: EndpointPhase,
        started: Ms,
    ) -> (Vec<Entered>, Vec<Ticket>) {
        let before = self.listed.get(&id).copied();
        if phase == EndpointPhase::Removed {
            self.unwatch(id);
        }
        // One that the shape still names must not be taken for one that was never listed.
        if phase == EndpointPhase::Removed && self.shape().node(id).is_none() {
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
            return (Vec::new(), Vec::new());
        }
        (self.stages.lost(now, id), self.shield.withdraw(id))
    }

    /// It has fallen over, or answers nothing, by what this router sees.
    pub fn lost(&mut self, now: Ms, id: NodeId) -> Vec<Entered> {
        self.stages.lost(now, id)
    }

    /// Whether a node may be named as a source at all. One that was never listed may be: the shape knows it.
    fn is_ready(&self, id: NodeId) -> bool {
        self.listed.get(&id).is_none_or(|listed| listed.phase == EndpointPhase::Ready)
    }

    /// Whether a node that retires may still be asked for what it holds.
    fn in_grace(&self, now: Ms, id: NodeId) -> bool {
        let since = self.known.get(&id).and_then(|known| known.retiring_since);
        since.is_none_or(|since| now - since < self.rules.retire)
    }

    fn is_retiring(&self, id: NodeId) -> bool {
        self.shape().node(id).is_some_and(|node| node.retiring)
    }

    // ---- Sources.

    /// What the decision module may choose from for a cache's fills.
    pub fn feeds(&self, now: Ms, id: NodeId) -> Feeds {
        let Some(child) = self.children.get(&id) else { return Feeds::default() };
        let version = self.version();
        let free = |source: &&Source| !self.held_back.holds(now, id, source.node, version);
        let part = child.moves().map(|id| self.stages.part(now, id)).fold(1.0, f64::min);
        let old = child
            .settled
            .iter()
            .filter(|_| part < 1.0)
            .filter(free)
            .filter(|source| self.shape().node(source.node).is_some() && self.in_grace(now, source.node));
        Feeds {
            now: child.wanted.iter().filter(free).copied().collect(),
            before: old.copied().collect(),
            part,
            salt: child.by.stamp ^ SALT_GOING_OVER,
        }
    }

    /// The feeds that are other ones than were told last.
    pub fn changed_feeds(&mut self, now: Ms) -> Vec<(NodeId, Feeds)> {
        let mut changed = Vec::new();
        let ids: Vec<NodeId> = self.children.keys().copied().collect();
        for id in ids {
            let feeds = self.feeds(now, id);
            let grain = self.rules.grain;
            let Some(child) = self.children.get_mut(&id) else { continue };
            let told = &child.told;
            let near = (feeds.part - told.part).abs() < grain && (feeds.part < 1.0) == (told.part < 1.0);
            if !(near && feeds.now == told.now && feeds.before == told.before && feeds.salt == told.salt) {
                child.told.clone_from(&feeds);
                changed.push((id, feeds));
            }
        }
        changed
    }

    /// Where a source goes on that lacks what `child` wants of it: while it warms first sideways to the old one,
    /// which gives what it holds, then up to the origin by the ranks. Nothing that is barred is named, nor any
    /// node twice.
    pub fn way(&self, now: Ms, child: NodeId, source: NodeId, object: u64) -> Vec<Hop> {
        let mut way = Vec::new();
        let mut passed = vec![child, source];
        let going_over = self.children.get(&child).filter(|child| child.moves().any(|id| id.to == source));
        if let Some(known) = going_over {
            let holds = |id: &NodeId| {
                let parent = self.shape().node(*id).is_some_and(|node| node.role == Role::Parent);
                parent && *id != source && self.is_ready(*id) && self.in_grace(now, *id)
            };
            // By the hash that chose among them when they were the ones.
            let home = best(&known.settled).filter(holds).min_by_key(|id| parent_rank_hash(object, id.0));
            way.extend(home.map(|node| Hop { node, only_held: true }));
            passed.extend(home);
        }
        let (mut at, version) = (source, self.version());
        while passed.len() < HOPS {
            let fit = |s: &Source| {
                !passed.contains(&s.node)
                    && self.is_ready(s.node)
                    && !self.is_retiring(s.node)
                    && !self.held_back.holds(now, at, s.node, version)
            };
            let next = self
                .shape()
                .sources(at)
                .filter(fit)
                .min_by_key(|s| (s.rank, parent_rank_hash(object, s.node.0)));
            let Some(next) = next else { break };
            way.push(Hop { node: next.node, only_held: false });
            passed.push(next.node);
            at = next.node;
        }
        way
    }

    // ---- Fills.

    /// How likely something happens to what was last asked for so long ago: what was seen of others like it.
    fn likely(&self, age: Option<Ms>, seen: Option<&[Ewma; AGES]>) -> (usize, f64) {
        let class = age_class(age);
        let guess = if age.is_some() { self.rules.likely_seen } else { 1.0 };
        let mean = seen.map(|seen| seen[class]).filter(|mean| mean.samples > 0.0);
        (class, mean.map_or(guess, |mean| mean.value))
    }

    /// How likely a cache has to fill, with the class of what is remembered. What goes straight to a source does
    /// reach it.
    fn fills(&self, now: Ms, picked: &Picked) -> (usize, f64) {
        if picked.child == picked.source {
            return (AGES - 1, 1.0);
        }
        let age = self.recency.age(now, hash_pair(picked.key, picked.child.0 ^ SALT_CHILD));
        self.likely(age, self.known.get(&picked.child).map(|known| &known.fills))
    }

    /// How likely a fill goes on from its source to the origin.
    fn reach(&self, now: Ms, picked: &Picked) -> (usize, f64) {
        let age = self.recency.age(now, hash_pair(picked.key, picked.source.0));
        self.likely(age, self.known.get(&picked.source).map(|known| &known.reach))
    }

    /// The tiers that a fill is likely to reach, and how likely. What gives only what it holds is not held back.
    fn tolls(source: NodeId, way: &[Hop], fills: f64, reach: f64) -> Vec<(NodeId, f64)> {
        let above = way.iter().filter(|hop| !hop.only_held).map(|hop| (hop.node, fills * reach));
        std::iter::once((source, fills)).chain(above).collect()
    }

    /// Asks for a picked fill to go.
    pub fn send(&mut self, now: Ms, picked: &Picked) -> Verdict {
        let way = self.way(now, picked.child, picked.source, picked.object);
        let (child_age, fills) = self.fills(now, picked);
        let (source_age, reach) = self.reach(now, picked);
        let verdict = match self.rules.shielded {
            true => self.shield.ask(
                now,
                Fill {
                    ticket: picked.ticket,
                    fetch: Fetch { source: picked.source, key: picked.key },
                    priority: picked.priority,
                    bytes: picked.bytes,
                    joins: picked.joins,
                    patience: picked.patience,
                    tolls: Self::tolls(picked.source, &way, fills, reach),
                    leased: fills >= 0.5,
                },
            ),
            false => Verdict::Go,
        };
        if let Verdict::Over { why: Over::Budget | Over::Time, .. } = verdict {
            self.short_until = now + self.rules.short;
        }
        if !matches!(verdict, Verdict::Over { .. }) {
            let Picked { child, source, key, .. } = *picked;
            self.out.insert(picked.ticket, Out { child, source, key, ages: (child_age, source_age) });
        }
        verdict
    }

    /// How a fill ended that went.
    pub fn ended(&mut self, now: Ms, ticket: Ticket, brought: Brought, late: bool) -> Vec<Released> {
        let Some(out) = self.out.remove(&ticket) else { return Vec::new() };
        let told = !matches!(brought, Brought::Unknown | Brought::NoFill);
        if told {
            let by = self.children.get(&out.child).map(|child| MoveId { to: out.source, by: child.by });
            let on = by.filter(|id| self.stages.get(*id).is_some());
            self.stages.report(on, out.source, late || brought == Brought::Nothing);
        }
        let (filled, reached) = match brought {
            Brought::NoFill => (Some(false), Some(false)),
            Brought::Held => (Some(true), Some(false)),
            Brought::FromOrigin => (Some(true), Some(true)),
            Brought::Somehow | Brought::Nothing | Brought::Unknown => (None, None),
        };
        let weight = self.rules.weight;
        if let Some(filled) = filled.filter(|_| out.child != out.source) {
            let known = self.known.entry(out.child).or_default();
            known.fills[out.ages.0].update_from_mean(f64::from(u8::from(filled)), weight);
        }
        if let (Some(true), Some(reached)) = (filled, reached) {
            let known = self.known.entry(out.source).or_default();
            known.reach[out.ages.1].update_from_mean(f64::from(u8::from(reached)), weight);
        }
        if !matches!(brought, Brought::Nothing | Brought::Unknown) {
            self.recency.note(now, hash_pair(out.key, out.child.0 ^ SALT_CHILD));
        }
        if matches!(brought, Brought::Held | Brought::FromOrigin | Brought::Somehow) {
            self.recency.note(now, hash_pair(out.key, out.source.0));
        }
        let late = told.then_some(late || brought == Brought::Nothing);
        let end = FillEnd { brought: brought != Brought::Nothing, late, filled, reached };
        let released = self.shield.ended(now, ticket, end);
        self.let_go(now, released)
    }

    /// Whoever wanted it has left before it went.
    pub fn forget(&mut self, ticket: Ticket) {
        self.shield.forget(ticket);
        self.out.remove(&ticket);
    }

    /// Whether a tier above what changes has hardly more room, or fills were turned away lately: what could be served
    /// as it is had better not be fetched anew now.
    pub fn is_short(&self, now: Ms) -> bool {
        now < self.short_until || self.shield.is_tight(now)
    }

    /// A node has found itself on the way of a fill that was sent on from `from`.
    pub fn came_round(&mut self, now: Ms, from: NodeId, to: NodeId, version: u64) {
        self.held_back.hold(now, from, to, version.max(self.version()));
    }

    fn let_go(&mut self, now: Ms, released: Vec<Released>) -> Vec<Released> {
        for word in &released {
            if let Verdict::Over { .. } = word.verdict {
                self.out.remove(&word.ticket);
                self.short_until = now + self.rules.short;
            }
        }
        released
    }

    /// Lets time pass: the fills that may go by now, and the stages that were entered.
    pub fn tick(&mut self, now: Ms) -> (Vec<Released>, Vec<Entered>) {
        if now - self.swept >= self.recency.sweep_every() {
            self.swept = now;
            self.recency.sweep(now);
        }
        self.held_back.expire(now);
        self.see_ways_back(now);
        // Nor does a part rise while it is not known yet what is usual: what rises meanwhile would count as that.
        let short = self.is_short(now) || self.shield.is_learning();
        let listed = &self.listed;
        let ready = |id: NodeId| listed.get(&id).is_none_or(|listed| listed.phase == EndpointPhase::Ready);
        let entered = self.stages.tick(now, short, ready);
        if entered.iter().any(|entered| entered.stage == Stage::Settled) {
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
        (self.let_go(now, released), entered)
    }

    /// Holds the budgets of all tiers above the sources that children go over to. A tier that nothing reached before
    /// the change has no past that could be its measure: the stages alone hold it back.
    fn hold_tiers_above(&mut self, now: Ms) {
        let fresh: BTreeSet<NodeId> = self.stages.iter().map(|(id, _)| id.to).collect();
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
            let further = self.history.shape().sources(id).map(|source| source.node);
            open.extend(further.filter(|id| all.insert(*id)));
        }
        all
    }

    /// A change has a way back while something of the old list could be used.
    fn see_ways_back(&mut self, now: Ms) {
        let mut none = BTreeMap::<MoveId, bool>::new();
        for child in self.children.values() {
            let old = best(&child.settled).any(|id| {
                let parent = self.shape().node(id).is_some_and(|node| node.role == Role::Parent);
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
            let open = |id: MoveId| self.stages.get(id).is_some_and(|moved| moved.stage != Stage::Settled);
            if !child.moves().any(open) {
                child.settled.clone_from(&child.wanted);
            }
        }
        self.drop_moves();
    }

    /// When `tick` has something to do.
    pub fn next(&self, now: Ms) -> Ms {
        let shield = self.shield.next(now);
        // A part that rises is told in steps.
        let step = self.stages.are_under_way().then_some(now + 100.0);
        let due = [shield, step, self.stages.next()].into_iter().flatten().reduce(f64::min);
        due.unwrap_or(now + 1_000.0).max(now + 1.0)
    }

    /// The goings over that no child has finished.
    pub fn moves(&self) -> impl Iterator<Item = (MoveId, &Move)> {
        self.stages.iter()
    }

    /// What people are shown.
    pub fn view(&self, now: Ms) -> View {
        let moves = self.stages.iter().map(|(id, moved)| MoveView {
            to: id.to.0,
            author: id.by.serial().author.0,
            number: id.by.serial().number,
            stage: moved.stage,
            part: moved.part(now, self.stages.rule()),
            tries: moved.tries(),
            late_new: moved.late().0,
            late_old: moved.late().1,
        });
        let budgets = self.shield.budgets(now).map(|(target, per_second, limit)| BudgetView {
            target: target.0,
            per_second,
            limit: limit.is_finite().then_some(limit),
        });
        View {
            version: self.version(),
            digest: format!("{:016x}", self.shape().digest()),
            nodes: self.shape().len(),
            suspended: self.shape().suspended().count(),
            held_back: self.held_back.held(now).count(),
            waiting_batches: self.history.waiting().count(),
            moves: moves.collect(),
            budgets: budgets.collect(),
            counts: self.shield.counts(),
        }
    }
}

impl Child {
    /// Its goings over that are on their way.
    fn moves(&self) -> impl Iterator<Item = MoveId> + '_ {
        receivers(self).into_iter().map(|to| MoveId { to, by: self.by })
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
