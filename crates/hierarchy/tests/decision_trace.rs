//! Compares the decisions of one router's view of the hierarchy with golden files, over seeded scripts. Every
//! result, including the bits of floats, is added to a running hash. Errors are added by kind and fields, not
//! by their texts, which `golden.rs` compares.

use std::fmt::Write as _;
use std::path::Path;

use linnethook::interface::{EndpointPhase, Ms};
use linnethook_hierarchy::change_spec::NameTable;
use linnethook_hierarchy::hierarchy::{FillSources, HierarchyConfig, SelectedFill};
use linnethook_hierarchy::origin_shield::{Priority, QueuedDecision, ShieldDecision, ShieldRejection};
use linnethook_hierarchy::plan::PlanError;
use linnethook_hierarchy::rollout::{RollbackReason, RolloutStage, StageTransition};
use linnethook_hierarchy::{
    AuthorId, BatchError, BatchId, BatchRejection, Change, ChangeBatch, FillResult, Hierarchy, History, Hop,
    Node, NodeId, ReceiveOutcome, Role, Source,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

const ORIGIN: NodeId = NodeId(1);
const PARENTS: std::ops::Range<u64> = 2..7;
const CACHES: std::ops::Range<u64> = 10..16;
const SEEDS: u64 = 6;
const STEPS: u32 = 20_000;

/// A running hash of the results of a script.
#[derive(Default)]
struct Trace(Xxh3);

impl Trace {
    fn text(&mut self, text: &str) {
        self.0.update(text.as_bytes());
        self.0.update(&[0]);
    }

    fn number(&mut self, number: u64) {
        self.0.update(&number.to_le_bytes());
    }

    fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    fn sources(&mut self, sources: &[Source]) {
        self.number(sources.len() as u64);
        for source in sources {
            self.number(source.node.0);
            self.number(u64::from(source.rank));
        }
    }

    fn fill_sources(&mut self, sources: &FillSources) {
        self.sources(&sources.current);
        self.sources(&sources.previous);
        self.float(sources.fraction);
        self.number(sources.salt);
    }

    fn hops(&mut self, hops: &[Hop]) {
        for hop in hops {
            self.number(hop.node.0);
            self.number(u64::from(hop.cached_only));
        }
    }

    fn decision(&mut self, decision: &ShieldDecision) {
        match decision {
            ShieldDecision::Admit => self.text("admit"),
            ShieldDecision::Queue { until } => {
                self.text("queue");
                self.float(*until);
            }
            ShieldDecision::Reject { reason, retry_after } => {
                self.text(match reason {
                    ShieldRejection::FetchInProgress => "fetch in progress",
                    ShieldRejection::BudgetExhausted => "budget exhausted",
                    ShieldRejection::QueueFull => "queue full",
                    ShieldRejection::QueueTimeout => "queue timeout",
                });
                self.float(*retry_after);
            }
        }
    }

    fn queued_decisions(&mut self, decisions: &[QueuedDecision]) {
        for decision in decisions {
            self.number(decision.ticket);
            self.decision(&decision.decision);
        }
    }

    fn transitions(&mut self, transitions: &[StageTransition]) {
        for transition in transitions {
            self.number(transition.migration.target.0);
            self.number(transition.migration.position.batch_id().number);
            self.text(match transition.stage {
                RolloutStage::Planned => "planned",
                RolloutStage::Announced => "announced",
                RolloutStage::Warming => "warming",
                RolloutStage::Settled => "settled",
                RolloutStage::RolledBack(RollbackReason::HighFailureRate) => "high failure rate",
                RolloutStage::RolledBack(RollbackReason::SourceLost) => "source lost",
                RolloutStage::RolledBack(RollbackReason::Requested) => "requested",
            });
            self.number(u64::from(transition.is_final));
        }
    }

    fn receive_outcome(&mut self, outcome: &ReceiveOutcome) {
        match outcome {
            ReceiveOutcome::Accepted(batch_ids) => {
                self.text("accepted");
                batch_ids.iter().for_each(|batch_id| self.number(batch_id.number));
            }
            ReceiveOutcome::Duplicate => self.text("duplicate"),
            ReceiveOutcome::Pending(batch_id) => self.number(batch_id.number),
            ReceiveOutcome::Invalid(error) => self.batch_error(error),
        }
    }

    fn batch_id(&mut self, batch_id: BatchId) {
        self.number(u64::from(batch_id.author.0));
        self.number(batch_id.number);
    }

    fn batch_error(&mut self, error: &BatchError) {
        match error {
            BatchError::ConflictingContent(batch_id) => {
                self.text("conflicting content");
                self.batch_id(*batch_id);
            }
            BatchError::StampTooLow { dependency, .. } => {
                self.text("timestamp too low");
                self.batch_id(*dependency);
            }
            BatchError::TooOld { .. } => self.text("too old"),
            BatchError::LimitReached { .. } => self.text("limit reached"),
            BatchError::ZeroNumber(_) | BatchError::ZeroStamp(_) | BatchError::NonFiniteValue(_) => {
                self.text("invalid value");
            }
        }
    }

    fn batch_rejection(&mut self, rejection: &BatchRejection) {
        let (kind, node) = match rejection {
            BatchRejection::UnknownNode(node) => ("unknown node", Some(node)),
            BatchRejection::NodeExists(node) => ("node exists", Some(node)),
            BatchRejection::StillReferenced(node) => ("still referenced", Some(node)),
            BatchRejection::NoSource(node) => ("no source", Some(node)),
            BatchRejection::OriginWithSource(node) => ("origin with source", Some(node)),
            BatchRejection::SelfReference(node) => ("self-reference", Some(node)),
            BatchRejection::NoOrigin => ("no origin", None),
            BatchRejection::Conflict { node, by } => {
                self.batch_id(*by);
                ("conflict", Some(node))
            }
            BatchRejection::LimitExceeded { limit, items, .. } => {
                self.number(*limit as u64);
                (*items, None)
            }
            BatchRejection::InvalidCapacity { node, .. } => ("invalid capacity", Some(node)),
        };
        self.text(kind);
        if let Some(node) = node {
            self.number(node.0);
        }
    }

    fn plan_error(&mut self, error: &PlanError) {
        match error {
            PlanError::Rejected(rejection) => self.batch_rejection(rejection),
            PlanError::Invalid(error) => self.batch_error(error),
            PlanError::UnknownBase { .. } => self.text("unknown base"),
            PlanError::Duplicate(_) => self.text("duplicate"),
        }
    }
}

fn node(id: u64, role: Role, tier: u8) -> Node {
    Node { id: NodeId(id), role, site: 0, tier, capacity: 4.0 + id as f64, retiring: false }
}

struct Script {
    hierarchy: Hierarchy,
    names: NameTable,
    rng: Pcg64Mcg,
    trace: Trace,
    now: Ms,
    ticket: u64,
    /// Fills admitted, and fills queued.
    in_flight: Vec<u64>,
    queued: Vec<u64>,
    batches: Vec<BatchId>,
}

impl Script {
    fn new(seed: u64) -> Self {
        Self::with_config(seed, |_| {})
    }

    /// A script with changed settings.
    fn with_config(seed: u64, change: impl FnOnce(&mut HierarchyConfig)) -> Self {
        let mut config = HierarchyConfig { retirement_grace: 5_000.0, ..HierarchyConfig::default() };
        config.rollout.ramp_duration = 6_000.0;
        config.rollout.settling_time = 4_000.0;
        config.rollout.retry_delay = 1_500.0;
        config.rollout.slow_start.duration = 4_000.0;
        config.shield.max_queued = 12;
        config.shield.lease_duration = 300.0;
        config.history_limits.retained_batches = 30;
        change(&mut config);
        let mut script = Self {
            hierarchy: Hierarchy::new(config),
            names: NameTable::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            trace: Trace::default(),
            now: 1e6,
            ticket: 0,
            in_flight: Vec::new(),
            queued: Vec::new(),
            batches: Vec::new(),
        };
        let mut changes = vec![Change::Add { node: node(1, Role::Origin, 9), sources: Vec::new() }];
        changes.extend(PARENTS.map(|id| Change::Add {
            node: node(id, Role::Parent, 1),
            sources: vec![Source::new(ORIGIN, 9)],
        }));
        changes.extend(CACHES.map(|id| Change::Add {
            node: node(id, Role::Cache, 0),
            sources: vec![Source::new(NodeId(2), 0), Source::new(NodeId(3), 0), Source::new(ORIGIN, 9)],
        }));
        script.change(changes);
        CACHES.for_each(|id| assert!(script.hierarchy.track_child(script.now, NodeId(id))));
        script
    }

    fn random_node(&mut self, ids: std::ops::Range<u64>) -> NodeId {
        NodeId(self.rng.random_range(ids))
    }

    fn change(&mut self, changes: Vec<Change>) {
        let author = AuthorId(self.rng.random_range(1..4));
        let batch = self.hierarchy.draft_batch(author, self.now, changes);
        self.batches.push(batch.id);
        match self.hierarchy.plan_batch(self.now, &batch) {
            Ok(plan) => {
                let plan = serde_json::to_string(&self.names.plan_spec(&plan)).expect("serialised plan");
                self.trace.text(&plan);
            }
            Err(error) => self.trace.plan_error(&error),
        }
        let outcome = self.hierarchy.receive_batch(self.now, batch);
        self.trace.receive_outcome(&outcome);
    }

    fn random_change(&mut self) {
        let parent = self.random_node(PARENTS);
        let (first, second) = (self.random_node(PARENTS), self.random_node(PARENTS));
        let mut sources = vec![Source::new(first, 0), Source::new(ORIGIN, 9)];
        if second != first {
            sources.insert(1, Source::new(second, self.rng.random_range(0..2)));
        }
        let cache = self.random_node(CACHES);
        let change = match self.rng.random_range(0..8) {
            0 => Change::Retire { node: parent, retiring: self.rng.random_range(0..3) == 0 },
            1 => Change::Rerank {
                node: parent,
                sources: sources.into_iter().filter(|source| source.node != parent).collect(),
            },
            2 => Change::Move { node: cache, site: self.rng.random_range(0..3), sources },
            _ => {
                let all = CACHES.map(|id| Change::Rerank { node: NodeId(id), sources: sources.clone() });
                return self.change(all.collect());
            }
        };
        self.change(vec![change]);
    }

    fn fill(&mut self) {
        let child = self.random_node(CACHES);
        let object = (self.rng.random_range(0.0..1.0f64).powi(3) * 300.0) as u64;
        let fill_sources = self.hierarchy.fill_sources(self.now, child);
        let is_direct = self.rng.random_range(0..20) == 0;
        let source =
            fill_sources.of(object).iter().min_by_key(|source| source.rank).map(|source| source.node);
        let Some(source) = source else { return self.trace.text("no source") };
        self.ticket += 1;
        let priority = match self.rng.random_range(0..10) {
            0 => Priority::Write,
            1 | 2 => Priority::Revalidation,
            _ => Priority::Demand,
        };
        let fill = SelectedFill {
            ticket: self.ticket,
            child: if is_direct { source } else { child },
            source,
            object,
            key: linnethook::hash_ring::hash_pair(object, 3),
            priority,
            bytes: 1e4,
            may_join: self.rng.random_range(0..2) == 0,
            max_wait: f64::from(self.rng.random_range(0..200u32)),
        };
        let path = self.hierarchy.onward_path(self.now, child, source, object);
        self.trace.hops(&path);
        let decision = self.hierarchy.request_fill(self.now, &fill);
        self.trace.decision(&decision);
        match decision {
            ShieldDecision::Admit => self.in_flight.push(self.ticket),
            ShieldDecision::Queue { .. } => self.queued.push(self.ticket),
            ShieldDecision::Reject { .. } => {}
        }
    }

    fn complete_fill(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let ticket = self.in_flight.swap_remove(self.rng.random_range(0..self.in_flight.len()));
        let result = match self.rng.random_range(0..20) {
            0..=6 => FillResult::ServedFromCache,
            7..=13 => FillResult::ServedFromOrigin,
            14 => FillResult::ServedFromUnknown,
            15 | 16 => FillResult::AlreadyCached,
            17 | 18 => FillResult::Failed,
            _ => FillResult::Abandoned,
        };
        // Most fills are late during one in four intervals of 10 s.
        let is_late =
            self.rng.random_range(0..10) < if (self.now / 10_000.0) as u64 % 4 == 3 { 6 } else { 1 };
        let decisions = self.hierarchy.complete_fill(self.now, ticket, result, is_late);
        self.apply_decisions(&decisions);
    }

    fn apply_decisions(&mut self, decisions: &[QueuedDecision]) {
        self.trace.queued_decisions(decisions);
        for decision in decisions {
            self.queued.retain(|ticket| *ticket != decision.ticket);
            if decision.decision == ShieldDecision::Admit {
                self.in_flight.push(decision.ticket);
            }
        }
    }

    fn update_endpoint(&mut self) {
        let id = self.random_node(PARENTS);
        let (phase, started) = match self.rng.random_range(0..4) {
            0 => (EndpointPhase::Draining, 0.0),
            1 => (EndpointPhase::Removed, 0.0),
            _ => (EndpointPhase::Ready, self.now),
        };
        let update = self.hierarchy.update_endpoint(self.now, id, phase, started);
        self.trace.transitions(&update.transitions);
        update.cancelled.iter().for_each(|ticket| self.trace.number(*ticket));
        self.queued.retain(|ticket| !update.cancelled.contains(ticket));
    }

    fn rare_event(&mut self) {
        match self.rng.random_range(0..6) {
            0 | 1 => self.random_change(),
            2 => self.update_endpoint(),
            3 => {
                let (from, to) = (self.random_node(CACHES), self.random_node(PARENTS));
                let version = self.hierarchy.version();
                self.hierarchy.report_loop(self.now, from, to, version);
            }
            4 if !self.batches.is_empty() && self.rng.random_range(0..4) == 0 => {
                let batch_id = self.batches[self.rng.random_range(0..self.batches.len())];
                if let Some(changes) = self.hierarchy.roll_back_batch(self.now, batch_id) {
                    self.change(changes);
                }
            }
            4 => {
                let id = self.random_node(PARENTS);
                let transitions = self.hierarchy.endpoint_failed(self.now, id);
                self.trace.transitions(&transitions);
            }
            _ => {
                let snapshot = self.hierarchy.snapshot();
                self.trace.number(snapshot.version());
                let restored = self.hierarchy.restore_snapshot(self.now, snapshot);
                assert_eq!(restored, Ok(()));
            }
        }
    }

    fn step(&mut self) {
        self.now += f64::from(self.rng.random_range(0..8u32));
        match self.rng.random_range(0..1_000) {
            0..=3 => self.rare_event(),
            4..=14 => {
                if let Some(ticket) = self.queued.pop() {
                    self.hierarchy.cancel_fill(ticket);
                }
            }
            15..=549 => self.fill(),
            _ => self.complete_fill(),
        }
        if self.rng.random_range(0..3) == 0 {
            let outcome = self.hierarchy.tick(self.now);
            self.apply_decisions(&outcome.decisions);
            self.trace.transitions(&outcome.transitions);
            for (child, fill_sources) in self.hierarchy.changed_fill_sources(self.now) {
                self.trace.number(child.0);
                self.trace.fill_sources(&fill_sources);
            }
            self.trace.number(u64::from(self.hierarchy.is_constrained(self.now)));
            self.trace.float(self.hierarchy.next_deadline(self.now));
        }
    }
}

#[test]
fn decisions_of_seeded_scripts() {
    let mut text = String::new();
    for seed in 0..SEEDS {
        let mut script = Script::new(seed);
        for step in 1..=STEPS {
            script.step();
            if step % 1_000 == 0 {
                let view =
                    serde_json::to_string(&script.hierarchy.view(script.now)).expect("serialised view");
                script.trace.text(&view);
                let hash = script.trace.0.digest();
                let _ = writeln!(text, "seed {seed} step {step}: {hash:016x}");
            }
        }
        let counts =
            serde_json::to_string(&script.hierarchy.view(script.now).counters).expect("serialised counters");
        let _ = writeln!(text, "seed {seed}: {counts}");
    }
    assert_golden("decision_trace.txt", &text);
}

/// A batch of one to three random changes of any kind, by one of three authors. `step` gives added nodes
/// unused ids.
fn random_batch(rng: &mut Pcg64Mcg, history: &History, step: u64) -> ChangeBatch {
    let author = AuthorId(rng.random_range(1..4));
    let count = rng.random_range(1..4u64);
    let changes = (0..count).map(|n| random_change(rng, 100 + step * 4 + n)).collect();
    history.draft_batch(author, step as f64, changes)
}

fn random_change(rng: &mut Pcg64Mcg, unused_id: u64) -> Change {
    let target = NodeId(rng.random_range(2..14));
    let mut sources = vec![Source::new(ORIGIN, 9)];
    for rank in 0..rng.random_range(0..3u16) {
        sources.push(Source::new(NodeId(rng.random_range(2..14)), rank));
    }
    sources.retain(|source| source.node != target);
    match rng.random_range(0..10) {
        0..=2 => Change::Add { node: node(target.0, Role::Parent, 1), sources },
        3 | 4 => Change::Remove { node: target },
        5 => Change::Move { node: target, site: rng.random_range(0..3), sources },
        6 => Change::Replace { old: target, new: node(unused_id, Role::Parent, 1) },
        7 => Change::Retire { node: target, retiring: rng.random_range(0..2) == 0 },
        _ => Change::Rerank { node: target, sources },
    }
}

/// The results of applying batches, their inverse changes and the snapshots, at a history that receives all
/// batches in order and at one that receives them late and out of order.
#[test]
fn histories_of_seeded_batches() {
    let mut text = String::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut trace = Trace::default();
        let (mut in_order, mut late) = (History::default(), History::default());
        let mut delayed = Vec::new();
        let origin = Change::Add { node: node(1, Role::Origin, 9), sources: Vec::new() };
        let parents = (2..14)
            .map(|id| Change::Add { node: node(id, Role::Parent, 1), sources: vec![Source::new(ORIGIN, 9)] });
        let first = in_order.draft_batch(AuthorId(9), 0.0, std::iter::once(origin).chain(parents).collect());
        late.receive_batch(first.clone());
        in_order.receive_batch(first);
        for step in 1..=200 {
            // Some batches are based only on the batches that the late history has received.
            let basis = if rng.random_range(0..3) == 0 { &late } else { &in_order };
            let batch = random_batch(&mut rng, basis, step);
            let id = batch.id;
            trace.receive_outcome(&in_order.receive_batch(batch.clone()));
            delayed.push(batch);
            while delayed.len() > 6 || (!delayed.is_empty() && rng.random_range(0..3) == 0) {
                let batch = delayed.swap_remove(rng.random_range(0..delayed.len()));
                trace.receive_outcome(&late.receive_batch(batch));
            }
            if let Some(Err(rejection)) = in_order.outcome(id) {
                trace.batch_rejection(rejection);
            }
            let inverse = serde_json::to_string(&in_order.inverse_changes(id)).expect("serialised changes");
            trace.text(&inverse);
            let snapshot = serde_json::to_string(&late.snapshot()).expect("serialised snapshot");
            trace.text(&snapshot);
            trace.number(in_order.topology().digest());
            trace.number(late.pending().count() as u64);
            if step % 20 == 0 {
                let hash = trace.0.digest();
                let _ = writeln!(text, "seed {seed} batch {step}: {hash:016x}");
            }
        }
        let applied = in_order.entries().filter(|(_, result)| result.is_ok()).count();
        let suspended = in_order.topology().suspended_edges().count();
        let _ = writeln!(text, "seed {seed}: {applied} applied, {suspended} edges suspended");
    }
    assert_golden("history_trace.txt", &text);
}

/// The scripts above with a maximum pause of 700 ms, so that ramps continue while the tiers above are
/// constrained.
#[test]
fn decisions_with_short_pauses() {
    let mut text = String::new();
    for seed in 0..SEEDS {
        let mut script = Script::with_config(seed, |config| config.rollout.max_pause = 700.0);
        for step in 1..=STEPS / 2 {
            script.step();
            if step % 1_000 == 0 {
                let view =
                    serde_json::to_string(&script.hierarchy.view(script.now)).expect("serialised view");
                script.trace.text(&view);
                let hash = script.trace.0.digest();
                let _ = writeln!(text, "seed {seed} step {step}: {hash:016x}");
            }
        }
    }
    assert_golden("decision_trace_short_pauses.txt", &text);
}

fn assert_golden(file: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    if !path.exists() && std::env::var_os("LINNETHOOK_WRITE_GOLDEN").is_some() {
        std::fs::write(&path, text).expect("golden file written");
    }
    let expected = std::fs::read_to_string(&path).expect("golden file");
    for (actual, expected) in text.lines().zip(expected.lines()) {
        assert_eq!(actual, expected);
    }
    assert_eq!(text, expected);
}
