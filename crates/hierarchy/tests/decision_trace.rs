//! Fixes what one router's view of the hierarchy decides over seeded scripts: every answer, float bits
//! included, goes into a running hash that is compared with `tests/golden/decision_trace.txt`.

use std::fmt::Write as _;
use std::path::Path;

use linnethook::interface::{EndpointPhase, Ms};
use linnethook_hierarchy::change_spec::NameTable;
use linnethook_hierarchy::hierarchy::{FillSources, HierarchyConfig, SelectedFill};
use linnethook_hierarchy::origin_shield::{Priority, QueuedDecision, ShieldDecision, ShieldRejection};
use linnethook_hierarchy::plan::PlanError;
use linnethook_hierarchy::rollout::{RollbackReason, RolloutStage, StageTransition};
use linnethook_hierarchy::{
    AuthorId, BatchId, Change, ChangeBatch, FillResult, Hierarchy, History, Hop, Node, NodeId,
    ReceiveOutcome, Role, Source,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::Xxh3;

const ORIGIN: NodeId = NodeId(1);
const PARENTS: std::ops::Range<u64> = 2..7;
const CACHES: std::ops::Range<u64> = 10..16;
const SEEDS: u64 = 6;
const STEPS: u32 = 20_000;

/// The answers to a script, hashed.
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
            ShieldDecision::Admit => self.text("go"),
            ShieldDecision::Queue { until } => {
                self.text("wait");
                self.float(*until);
            }
            ShieldDecision::Reject { reason, retry_after } => {
                self.text(match reason {
                    ShieldRejection::FetchInProgress => "fetched",
                    ShieldRejection::BudgetExhausted => "budget",
                    ShieldRejection::QueueFull => "queue",
                    ShieldRejection::QueueTimeout => "time",
                });
                self.float(*retry_after);
            }
        }
    }

    fn released(&mut self, released: &[QueuedDecision]) {
        for released in released {
            self.number(released.ticket);
            self.decision(&released.decision);
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
                RolloutStage::RolledBack(RollbackReason::HighFailureRate) => "late",
                RolloutStage::RolledBack(RollbackReason::SourceLost) => "lost",
                RolloutStage::RolledBack(RollbackReason::Requested) => "asked",
            });
            self.number(u64::from(transition.is_final));
        }
    }

    fn receive_outcome(&mut self, outcome: &ReceiveOutcome) {
        match outcome {
            ReceiveOutcome::Accepted(batch_ids) => {
                self.text("taken");
                batch_ids.iter().for_each(|batch_id| self.number(batch_id.number));
            }
            ReceiveOutcome::Duplicate => self.text("repeated"),
            ReceiveOutcome::Pending(batch_id) => self.number(batch_id.number),
            ReceiveOutcome::Invalid(wrong) => self.text(&wrong.to_string()),
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
        Self::with(seed, |_| {})
    }

    /// A script with other settings.
    fn with(seed: u64, change: impl FnOnce(&mut HierarchyConfig)) -> Self {
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

    fn any(&mut self, ids: std::ops::Range<u64>) -> NodeId {
        NodeId(self.rng.random_range(ids))
    }

    fn change(&mut self, changes: Vec<Change>) {
        let author = AuthorId(self.rng.random_range(1..4));
        let batch = self.hierarchy.draft_batch(author, self.now, changes);
        self.batches.push(batch.id);
        match self.hierarchy.plan_batch(self.now, &batch) {
            Ok(plan) => {
                let plan = serde_json::to_string(&self.names.plan_spec(&plan)).expect("a plan is written");
                self.trace.text(&plan);
            }
            Err(why @ (PlanError::Rejected(_) | PlanError::Invalid(_))) => self.trace.text(&why.to_string()),
            Err(_) => self.trace.text("no plan"),
        }
        let outcome = self.hierarchy.receive_batch(self.now, batch);
        self.trace.receive_outcome(&outcome);
    }

    fn random_change(&mut self) {
        let parent = self.any(PARENTS);
        let (first, second) = (self.any(PARENTS), self.any(PARENTS));
        let mut sources = vec![Source::new(first, 0), Source::new(ORIGIN, 9)];
        if second != first {
            sources.insert(1, Source::new(second, self.rng.random_range(0..2)));
        }
        let cache = self.any(CACHES);
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
        let child = self.any(CACHES);
        let object = (self.rng.random_range(0.0..1.0f64).powi(3) * 300.0) as u64;
        let fill_sources = self.hierarchy.fill_sources(self.now, child);
        let straight = self.rng.random_range(0..20) == 0;
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
            child: if straight { source } else { child },
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
        // At some times most fills are late.
        let late = self.rng.random_range(0..10) < if (self.now / 10_000.0) as u64 % 4 == 3 { 6 } else { 1 };
        let released = self.hierarchy.complete_fill(self.now, ticket, result, late);
        self.release(&released);
    }

    fn release(&mut self, released: &[QueuedDecision]) {
        self.trace.released(released);
        for released in released {
            self.queued.retain(|ticket| *ticket != released.ticket);
            if released.decision == ShieldDecision::Admit {
                self.in_flight.push(released.ticket);
            }
        }
    }

    fn update_endpoint(&mut self) {
        let id = self.any(PARENTS);
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
                let (from, to) = (self.any(CACHES), self.any(PARENTS));
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
                let id = self.any(PARENTS);
                let transitions = self.hierarchy.endpoint_failed(self.now, id);
                self.trace.transitions(&transitions);
            }
            _ => {
                let snapshot = self.hierarchy.snapshot();
                self.trace.number(snapshot.version());
                let adopted = self.hierarchy.restore_snapshot(self.now, snapshot);
                assert_eq!(adopted, Ok(()));
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
            self.release(&outcome.decisions);
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
                let view = serde_json::to_string(&script.hierarchy.view(script.now)).expect("a view");
                script.trace.text(&view);
                let hash = script.trace.0.digest();
                let _ = writeln!(text, "seed {seed} step {step}: {hash:016x}");
            }
        }
        let counts = serde_json::to_string(&script.hierarchy.view(script.now).counters).expect("counts");
        let _ = writeln!(text, "seed {seed}: {counts}");
    }
    assert_golden("decision_trace.txt", &text);
}

/// A batch of one to three random changes of every kind, by one of three authors.
fn random_batch(rng: &mut Pcg64Mcg, history: &History, fresh: u64) -> ChangeBatch {
    let author = AuthorId(rng.random_range(1..4));
    let count = rng.random_range(1..4u64);
    let changes = (0..count).map(|n| any_change(rng, 100 + fresh * 4 + n)).collect();
    history.draft_batch(author, fresh as f64, changes)
}

fn any_change(rng: &mut Pcg64Mcg, fresh: u64) -> Change {
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
        6 => Change::Replace { old: target, new: node(fresh, Role::Parent, 1) },
        7 => Change::Retire { node: target, retiring: rng.random_range(0..2) == 0 },
        _ => Change::Rerank { node: target, sources },
    }
}

/// The results of applying batches, their inverse changes and the snapshots, at a history that receives them in order
/// and at one that receives them late.
#[test]
fn histories_of_seeded_batches() {
    let mut text = String::new();
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut trace = Trace::default();
        let (mut prompt, mut late) = (History::default(), History::default());
        let mut delayed = Vec::new();
        let origin = Change::Add { node: node(1, Role::Origin, 9), sources: Vec::new() };
        let parents = (2..14)
            .map(|id| Change::Add { node: node(id, Role::Parent, 1), sources: vec![Source::new(ORIGIN, 9)] });
        let first = prompt.draft_batch(AuthorId(9), 0.0, std::iter::once(origin).chain(parents).collect());
        late.receive_batch(first.clone());
        prompt.receive_batch(first);
        for step in 1..=200 {
            // Some batches are drafted on what the late history has received.
            let basis = if rng.random_range(0..3) == 0 { &late } else { &prompt };
            let batch = random_batch(&mut rng, basis, step);
            let id = batch.id;
            trace.receive_outcome(&prompt.receive_batch(batch.clone()));
            delayed.push(batch);
            while delayed.len() > 6 || (!delayed.is_empty() && rng.random_range(0..3) == 0) {
                let batch = delayed.swap_remove(rng.random_range(0..delayed.len()));
                trace.receive_outcome(&late.receive_batch(batch));
            }
            if let Some(Err(why)) = prompt.outcome(id) {
                trace.text(&why.to_string());
            }
            let inverse = serde_json::to_string(&prompt.inverse_changes(id)).expect("changes are written");
            trace.text(&inverse);
            let snapshot = serde_json::to_string(&late.snapshot()).expect("a snapshot is written");
            trace.text(&snapshot);
            trace.number(prompt.topology().digest());
            trace.number(late.pending().count() as u64);
            if step % 20 == 0 {
                let hash = trace.0.digest();
                let _ = writeln!(text, "seed {seed} batch {step}: {hash:016x}");
            }
        }
        let applied = prompt.entries().filter(|(_, result)| result.is_ok()).count();
        let suspended = prompt.topology().suspended_edges().count();
        let _ = writeln!(text, "seed {seed}: {applied} applied, {suspended} edges suspended");
    }
    assert_golden("history_trace.txt", &text);
}

/// As the scripts above, with a rollout that may pause for a moment only, so that ramps go on while the tiers above
/// are constrained.
#[test]
fn decisions_with_short_pauses() {
    let mut text = String::new();
    for seed in 0..SEEDS {
        let mut script = Script::with(seed, |config| config.rollout.max_pause = 700.0);
        for step in 1..=STEPS / 2 {
            script.step();
            if step % 1_000 == 0 {
                let view = serde_json::to_string(&script.hierarchy.view(script.now)).expect("a view");
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
        std::fs::write(&path, text).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture is there");
    for (actual, expected) in text.lines().zip(expected.lines()) {
        assert_eq!(actual, expected);
    }
    assert_eq!(text, expected);
}
