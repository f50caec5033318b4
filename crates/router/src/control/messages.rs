//! The requests and responses of the control socket, and the views that commands print.
//!
//! On the socket they are encoded as postcard, where the order of variants and fields is part of the format.
//! The serialized names appear in the commands' JSON and differ from the field names.

use std::collections::BTreeMap;

use linnethook_audit::record::ChainLink;
use linnethook_gateway::gateway::{GatewayStatusView, RouteView};
use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec, NodeSpec, PlanSpec};
use linnethook_membership::aggregation::query::QueryTarget;
use linnethook_membership::straggler::StragglerState;
use linnethook_membership::view::{ClusterView, RouterView};
use serde::{Deserialize, Serialize};

/// A request of a command to a router.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Show the state of the hierarchy.
    ShowHierarchy,
    /// List all nodes of the hierarchy.
    ListNodes,
    /// Show the effect of these changes without applying them.
    PlanChanges(Vec<ChangeSpec>),
    /// Apply these changes as one batch.
    ApplyChanges(Vec<ChangeSpec>),
    /// Apply a batch that another router has created.
    ReceiveBatch(BatchSpec),
    /// Roll a batch back.
    RollBack {
        /// The author of the batch.
        author: u16,
        /// The number of the batch, unique for its author.
        number: u64,
    },
    /// Show the state of the gateway.
    GatewayStatus,
    /// Show the sites that reads and writes are routed to.
    GatewayRoutes,
    /// Drain a site, or end its drain.
    DrainSite {
        /// The name of the site.
        site: String,
        /// Whether to drain the site; false ends the drain.
        drained: bool,
    },
    /// Show the fleet as the router sees it.
    ShowFleet,
    /// Start a query for the routers of another site.
    StartQuery(QueryTarget),
    /// Get the result of the query with this id.
    FetchQueryResult(u64),
    /// Set the version floor, the lowest version of the hierarchy that routers may act on; 0 clears it.
    SetFloor(u64),
    /// List all audit records that the router stores.
    ListAuditRecords,
}

/// The response of a router to a request.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The state of the hierarchy.
    Hierarchy(Box<HierarchyView>),
    /// All nodes of the hierarchy.
    Nodes(Vec<NodeSpec>),
    /// The effect that the changes would have.
    Plan(Box<PlanSpec>),
    /// The batch that was created from the changes.
    Applied(BatchSpec),
    /// The state of the gateway.
    GatewayStatus(Box<GatewayStatusView>),
    /// The sites that reads and writes are routed to.
    GatewayRoutes(Vec<RouteView>),
    /// The fleet as the router sees it.
    Fleet(Box<FleetView>),
    /// The id of the query that was started.
    QueryStarted(u64),
    /// The result of a query; `None` until there is one.
    QueryResult(Option<SiteDetail>),
    /// All audit records that the router stores.
    AuditRecords(Vec<ChainLink>),
    /// The request was executed. The text describes the result.
    Done(String),
    /// The request was rejected, and nothing was changed. The text gives the reason.
    Refused(String),
}

/// The state of a router's hierarchy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HierarchyView {
    /// The version of the hierarchy.
    pub version: u64,
    /// The digest of the topology, in hexadecimal.
    pub digest: String,
    /// The number of nodes.
    pub nodes: usize,
    /// Edges that are suspended because they would close a cycle.
    #[serde(rename = "suspended")]
    pub suspended_edges: usize,
    /// Edges that are in backoff after a fill loop.
    #[serde(rename = "held_back")]
    pub backed_off_edges: usize,
    /// Batches that are pending until earlier batches arrive.
    #[serde(rename = "waiting_batches")]
    pub pending_batches: usize,
    /// Fills that are queued for admission.
    #[serde(rename = "waiting_fills")]
    pub queued_fills: usize,
    /// Fills in flight.
    #[serde(rename = "out")]
    pub fills_in_flight: usize,
    /// Migrations of children to a new source.
    #[serde(rename = "moves")]
    pub migrations: Vec<MigrationView>,
    /// The fill budgets, by target.
    pub budgets: Vec<BudgetView>,
    /// The counters since the start, by name.
    #[serde(rename = "counts")]
    pub counters: BTreeMap<String, u64>,
}

/// A migration to a new source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MigrationView {
    /// The name of the new source.
    #[serde(rename = "to")]
    pub target: String,
    /// The author of the batch that started the migration.
    pub author: u16,
    /// The number of that batch, unique for its author.
    pub number: u64,
    /// The name of the current stage.
    pub stage: String,
    /// The fraction of the objects that have migrated, 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// How often the migration was started.
    #[serde(rename = "tries")]
    pub attempts: u32,
    /// The failure ratio of fills from the new source.
    #[serde(rename = "late_new")]
    pub new_failure_ratio: f64,
    /// The failure ratio of fills from the old source.
    #[serde(rename = "late_old")]
    pub old_failure_ratio: f64,
}

/// The rate of fills to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BudgetView {
    /// The name of the target.
    pub target: String,
    /// The measured rate, in fills per second.
    pub per_second: f64,
    /// The maximum rate, in fills per second; `None` without a limit.
    pub limit: Option<f64>,
}

/// The fleet as a router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// The routers, with the versions that they act on.
    #[serde(rename = "fellows")]
    pub cluster: ClusterView,
    /// Caches whose drain was reported by other routers, but not by the journal yet.
    #[serde(rename = "barred")]
    pub drained_by_gossip: Vec<DrainedCache>,
    /// Drains that other routers reported before the journal did.
    #[serde(rename = "drains")]
    pub drains_from_gossip: u64,
    /// Purges that other routers reported before the journal did.
    #[serde(rename = "purges")]
    pub purges_from_gossip: u64,
    /// Batches that other routers reported before the journal did.
    #[serde(rename = "batches")]
    pub batches_from_gossip: u64,
    /// Snapshots of the hierarchy that were adopted from other routers.
    #[serde(rename = "adopted")]
    pub snapshots_adopted: u64,
    /// The number of routers in the fleet; `None` if routers have no locations.
    #[serde(rename = "whole")]
    pub fleet_size: Option<u64>,
    /// The version floor that operators have set.
    #[serde(rename = "set_by")]
    pub operator_floor: Option<OperatorFloorView>,
    /// The straggler state of this router; `None` if stragglers are not excluded.
    #[serde(rename = "state")]
    pub straggler_state: Option<StragglerState>,
    /// Actions that this router did not execute because it was a straggler.
    #[serde(rename = "shut_out")]
    pub rejected_as_straggler: u64,
    /// The size of the stored audit logs; `None` without an audit log.
    #[serde(rename = "account")]
    pub audit_storage: Option<AuditStorageView>,
}

/// A drained cache. Serialized as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct DrainedCache {
    /// The name of the cache.
    pub name: String,
    /// The position of the drain in the journal.
    pub journal_position: u64,
}

impl From<(String, u64)> for DrainedCache {
    fn from((name, journal_position): (String, u64)) -> Self {
        Self { name, journal_position }
    }
}

impl From<DrainedCache> for (String, u64) {
    fn from(cache: DrainedCache) -> Self {
        (cache.name, cache.journal_position)
    }
}

/// The version floor that operators have set. Serialized as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, String)", into = "(u64, String)")]
pub struct OperatorFloorView {
    /// The lowest version of the hierarchy that routers may act on.
    pub version: u64,
    /// The name of the router at which it was set.
    pub set_by: String,
}

impl From<(u64, String)> for OperatorFloorView {
    fn from((version, set_by): (u64, String)) -> Self {
        Self { version, set_by }
    }
}

impl From<OperatorFloorView> for (u64, String) {
    fn from(floor: OperatorFloorView) -> Self {
        (floor.version, floor.set_by)
    }
}

/// The size of the stored audit logs. Serialized as an array.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 5]", into = "[u64; 5]")]
pub struct AuditStorageView {
    /// The number of records of this router's own log.
    pub records: u64,
    /// The number of replicated logs of other routers.
    pub replica_logs: u64,
    /// The number of records in the replicated logs.
    pub replica_records: u64,
    /// The size of the replicated logs in bytes.
    pub replica_bytes: u64,
    /// Records that could not be written to disk.
    pub unsaved_records: u64,
}

impl From<[u64; 5]> for AuditStorageView {
    fn from(sizes: [u64; 5]) -> Self {
        let [records, replica_logs, replica_records, replica_bytes, unsaved_records] = sizes;
        Self { records, replica_logs, replica_records, replica_bytes, unsaved_records }
    }
}

impl From<AuditStorageView> for [u64; 5] {
    fn from(view: AuditStorageView) -> Self {
        [view.records, view.replica_logs, view.replica_records, view.replica_bytes, view.unsaved_records]
    }
}

/// The routers of a site, as reported by the router that aggregates the site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteDetail {
    /// The location of the site.
    #[serde(rename = "place")]
    pub location: String,
    /// The routers of the site.
    pub routers: Vec<RouterView>,
}
