//! One router's view of the hierarchy: the history of batches, the rollout of changes and the origin shield.
//!
//! The decision module selects a source among the [`FillSources`] of a cache. This module submits the
//! selected fill to the shield and computes its onward path. It never selects a source itself.
//!
//! - `fill_sources`: which sources a child's fills may use, and where a source forwards a fill;
//! - `fills`: admission of fills, and the processing of their results;
//! - `rollout_control`: which migrations begin and end with a change;
//! - `fill_estimator`: the probability that a fill reaches the tiers above;
//! - `endpoints`, `child`: the state of nodes and of the caches whose fill sources this router selects.

use std::collections::BTreeMap;

use linnethook::interface::{EndpointPhase, Ms};

use crate::batch::{BatchRejection, Change, ChangeBatch};
use crate::edge_backoff::EdgeBackoff;
use crate::history::{History, ReceiveOutcome, Snapshot};
use crate::node::NodeId;
use crate::origin_shield::{OriginShield, QueuedDecision, Ticket};
use crate::rollout::{Migration, MigrationId, Rollout, StageTransition};
use crate::topology::Topology;
use crate::version::{AuthorId, BatchId, VersionVector};

mod child;
mod config;
mod endpoints;
mod fill_estimator;
mod fill_sources;
mod fills;
mod rollout_control;
mod view;

use self::child::Child;
pub use self::config::HierarchyConfig;
use self::endpoints::Endpoints;
use self::fill_estimator::FillEstimator;
pub use self::fill_sources::{FillSources, Hop};
use self::fills::PendingFill;
pub use self::fills::{FillResult, SelectedFill};
pub use self::view::{BudgetView, HierarchyView, MigrationView};

/// Interval at which the fractions of a rollout in progress are published, in milliseconds.
const PUBLISH_INTERVAL: Ms = 100.0;

/// Bounds on the time between two ticks, in milliseconds.
const MAX_TICK_INTERVAL: Ms = 1_000.0;
const MIN_TICK_INTERVAL: Ms = 1.0;

/// The effects of an endpoint update.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EndpointUpdateOutcome {
    /// Migrations to the endpoint that were rolled back.
    pub transitions: Vec<StageTransition>,
    /// Queued fills from the endpoint that were cancelled, as it may no longer be used.
    pub cancelled: Vec<Ticket>,
}

/// The effects of a tick.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct TickOutcome {
    /// Decisions on queued fills.
    pub decisions: Vec<QueuedDecision>,
    /// Stages that migrations have entered.
    pub transitions: Vec<StageTransition>,
}

/// One router's view of the hierarchy.
pub struct Hierarchy {
    config: HierarchyConfig,
    history: History,
    rollout: Rollout,
    shield: OriginShield,
    edge_backoff: EdgeBackoff,
    estimator: FillEstimator,
    endpoints: Endpoints,
    /// The caches whose fill sources this router selects.
    children: BTreeMap<NodeId, Child>,
    pending_fills: BTreeMap<Ticket, PendingFill>,
    /// The tiers above count as constrained until this time, after a rejected fill.
    constrained_until: Ms,
    /// Whether a migration was in progress at the last tick.
    was_in_progress: bool,
}

impl Hierarchy {
    /// An empty hierarchy.
    pub fn new(config: HierarchyConfig) -> Self {
        Self {
            history: History::new(config.batch_limits, config.history_limits),
            rollout: Rollout::new(config.rollout),
            shield: OriginShield::new(config.shield),
            edge_backoff: EdgeBackoff::new(config.edge_backoff),
            estimator: FillEstimator::new(&config),
            endpoints: Endpoints::default(),
            children: BTreeMap::new(),
            pending_fills: BTreeMap::new(),
            constrained_until: 0.0,
            was_in_progress: false,
            config,
        }
    }

    /// The current topology.
    pub fn topology(&self) -> &Topology {
        self.history.topology()
    }

    /// The batches received.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// The origin shield.
    pub fn shield(&self) -> &OriginShield {
        &self.shield
    }

    /// The rollout of changes.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// The version of the topology that fills carry.
    pub fn version(&self) -> u64 {
        self.history.version()
    }

    /// The migrations that are not settled by all children.
    pub fn migrations(&self) -> impl Iterator<Item = (MigrationId, &Migration)> {
        self.rollout.migrations()
    }

    // Batches.

    /// Receives a batch: inserts it into the history, or retains it until the batches that it depends on are
    /// received.
    pub fn receive_batch(&mut self, now: Ms, batch: ChangeBatch) -> ReceiveOutcome {
        let outcome = self.history.receive_batch(batch);
        if matches!(outcome, ReceiveOutcome::Accepted(_)) {
            self.topology_changed(now);
        }
        outcome
    }

    /// Replaces the topology by that of another router. Source lists that are settled there count as settled
    /// here.
    ///
    /// # Errors
    ///
    /// A rejection if the snapshot has too many nodes or lists an unknown source; nothing is then changed.
    pub fn restore_snapshot(&mut self, now: Ms, snapshot: Snapshot) -> Result<(), BatchRejection> {
        self.history.restore_snapshot(snapshot)?;
        self.topology_changed(now);
        Ok(())
    }

    /// A snapshot of the current topology for a router that has just started.
    pub fn snapshot(&self) -> Snapshot {
        self.history.snapshot()
    }

    /// Drafts a batch by `author` that is based on all batches received so far.
    pub fn draft_batch(&self, author: AuthorId, effective_at: Ms, changes: Vec<Change>) -> ChangeBatch {
        self.history.draft_batch(author, effective_at, changes)
    }

    /// The newest batch of each author.
    pub fn basis(&self) -> VersionVector {
        self.history.basis()
    }

    /// Rolls back the migrations of a batch at once, and returns the changes that revert it, for the caller
    /// to put into a new batch. `None` if the batch is not retained or was rejected.
    pub fn roll_back_batch(&mut self, now: Ms, id: BatchId) -> Option<Vec<Change>> {
        let changes = self.history.inverse_changes(id)?;
        self.rollout.roll_back_batch(now, id);
        Some(changes)
    }

    // Endpoints.

    /// Starts to select fill sources for a cache. Returns false if the maximum number of caches is reached.
    pub fn track_child(&mut self, now: Ms, child: NodeId) -> bool {
        if !self.children.contains_key(&child) && self.children.len() >= self.config.max_children {
            return false;
        }
        self.children.entry(child).or_default();
        self.refresh_child(now, child);
        true
    }

    /// Stops selecting fill sources for a cache.
    pub fn untrack_child(&mut self, child: NodeId) {
        self.children.remove(&child);
        self.drop_unused_migrations();
    }

    /// Applies an entry of the endpoint list. `started` is in milliseconds of Unix time.
    pub fn update_endpoint(
        &mut self,
        now: Ms,
        id: NodeId,
        phase: EndpointPhase,
        started: Ms,
    ) -> EndpointUpdateOutcome {
        if phase == EndpointPhase::Removed {
            self.untrack_child(id);
        }
        if self.endpoints.update(id, phase, started, self.history.topology()) {
            self.rollout.source_restarted(id, started);
            self.estimator.reset(id);
        }
        if phase == EndpointPhase::Ready {
            return EndpointUpdateOutcome::default();
        }
        EndpointUpdateOutcome {
            transitions: self.rollout.source_lost(now, id),
            cancelled: self.shield.cancel_source(id),
        }
    }

    /// Rolls back the migrations to a node that has failed or does not respond, as observed by this router.
    pub fn endpoint_failed(&mut self, now: Ms, id: NodeId) -> Vec<StageTransition> {
        self.rollout.source_lost(now, id)
    }

    // Time.

    /// Advances rollouts, budgets and timeouts to `now`.
    pub fn tick(&mut self, now: Ms) -> TickOutcome {
        self.estimator.tick(now);
        self.edge_backoff.expire(now);
        let transitions = self.tick_rollout(now);
        let decisions = self.shield.tick(now);
        self.apply_rejections(now, &decisions);
        TickOutcome { decisions, transitions }
    }

    /// When [`tick`](Self::tick) is due, in milliseconds of Unix time.
    pub fn next_deadline(&self, now: Ms) -> Ms {
        let publication = self.rollout.is_in_progress().then_some(now + PUBLISH_INTERVAL);
        let deadlines = [self.shield.next_deadline(now), publication, self.rollout.next_deadline()];
        let next = deadlines.into_iter().flatten().reduce(f64::min);
        next.unwrap_or(now + MAX_TICK_INTERVAL).max(now + MIN_TICK_INTERVAL)
    }
}
