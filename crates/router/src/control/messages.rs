//! Requests and responses of the control socket, and the views that commands print.
//!
//! On the socket they are postcard, where the order of variants and of fields is the format. The serialized names are those
//! of the commands' JSON and differ from the field names.

use std::collections::BTreeMap;

use linnethook_audit::record::ChainLink;
use linnethook_gateway::gateway::{GatewayStatusView, RouteView};
use linnethook_hierarchy::change_spec::{BatchSpec, ChangeSpec, NodeSpec, PlanSpec};
use linnethook_membership::aggregation::query::QueryTarget;
use linnethook_membership::straggler::StragglerState;
use linnethook_membership::view::{ClusterView, RouterView};
use serde::{Deserialize, Serialize};

/// What a command asks of a router.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlRequest {
    /// The state of the hierarchy.
    ShowHierarchy,
    /// All nodes of the hierarchy.
    ListNodes,
    /// What these changes would do.
    PlanChanges(Vec<ChangeSpec>),
    /// These changes take effect as one batch.
    ApplyChanges(Vec<ChangeSpec>),
    /// A batch that another router has made.
    ReceiveBatch(BatchSpec),
    /// A batch is taken back.
    RollBack {
        /// The author of the batch.
        author: u16,
        /// Its number among those of its author.
        number: u64,
    },
    /// The state of the gateway.
    GatewayStatus,
    /// Where reads and writes go.
    GatewayRoutes,
    /// A site is drained, or used again.
    DrainSite {
        /// Its name.
        site: String,
        /// Whether it is to be drained.
        drained: bool,
    },
    /// The fleet as the router sees it.
    ShowFleet,
    /// A query for the routers of another site is started.
    StartQuery(QueryTarget),
    /// The result of the query with this id.
    FetchQueryResult(u64),
    /// The version of the hierarchy below which no router is to act; 0 clears it.
    SetFloor(u64),
    /// All audit records that the router stores.
    ListAuditRecords,
}

/// What a router answers.
#[derive(Debug, Serialize, Deserialize)]
pub enum ControlResponse {
    /// The state of the hierarchy.
    Hierarchy(Box<HierarchyView>),
    /// All nodes of the hierarchy.
    Nodes(Vec<NodeSpec>),
    /// What the changes would do.
    Plan(Box<PlanSpec>),
    /// The batch that the changes have become.
    Applied(BatchSpec),
    /// The state of the gateway.
    GatewayStatus(Box<GatewayStatusView>),
    /// Where reads and writes go.
    GatewayRoutes(Vec<RouteView>),
    /// The fleet as the router sees it.
    Fleet(Box<FleetView>),
    /// The id of the query that was started.
    QueryStarted(u64),
    /// The result of a query; `None` until there is one.
    QueryResult(Option<SiteDetail>),
    /// All audit records that the router stores.
    AuditRecords(Vec<ChainLink>),
    /// It was done; the text says what.
    Done(String),
    /// It can't be done, and nothing was changed; the text says why.
    Refused(String),
}

/// The hierarchy as a router has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HierarchyView {
    /// Its version.
    pub version: u64,
    /// The digest of its topology, in hexadecimal.
    pub digest: String,
    /// The number of nodes.
    pub nodes: usize,
    /// Edges that would close a cycle and are not used.
    #[serde(rename = "suspended")]
    pub suspended_edges: usize,
    /// Edges that are excluded for a while after a loop.
    #[serde(rename = "held_back")]
    pub backed_off_edges: usize,
    /// Batches that wait for others.
    #[serde(rename = "waiting_batches")]
    pub pending_batches: usize,
    /// Fills that wait for admission.
    #[serde(rename = "waiting_fills")]
    pub queued_fills: usize,
    /// Fills in flight.
    #[serde(rename = "out")]
    pub fills_in_flight: usize,
    /// Children that migrate to a new source.
    #[serde(rename = "moves")]
    pub migrations: Vec<MigrationView>,
    /// The budgets of fills, by target.
    pub budgets: Vec<BudgetView>,
    /// Counters since the start, by name.
    #[serde(rename = "counts")]
    pub counters: BTreeMap<String, u64>,
}

/// A migration to a new source.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MigrationView {
    /// The name of the new source.
    #[serde(rename = "to")]
    pub target: String,
    /// The author of the batch that started it.
    pub author: u16,
    /// The batch's number among those of its author.
    pub number: u64,
    /// The name of its stage.
    pub stage: String,
    /// The fraction of the objects that have migrated, 0 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    /// How often it was started.
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
    /// Fills in a second, as measured.
    pub per_second: f64,
    /// Fills in a second that are allowed; `None` without a limit.
    pub limit: Option<f64>,
}

/// The fleet as a router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// The routers, and what they act on.
    #[serde(rename = "fellows")]
    pub cluster: ClusterView,
    /// Caches whose drain is known from other routers alone so far.
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
    /// Snapshots of the hierarchy that were adopted.
    #[serde(rename = "adopted")]
    pub snapshots_adopted: u64,
    /// Routers of the whole fleet, where routers have locations.
    #[serde(rename = "whole")]
    pub fleet_size: Option<u64>,
    /// The version floor that operators have set.
    #[serde(rename = "set_by")]
    pub operator_floor: Option<OperatorFloorView>,
    /// Whether this router is a straggler; `None` where stragglers are not excluded.
    #[serde(rename = "state")]
    pub straggler_state: Option<StragglerState>,
    /// Actions that were not done because it is a straggler.
    #[serde(rename = "shut_out")]
    pub rejected_as_straggler: u64,
    /// How much the audit log stores; `None` where there is none.
    #[serde(rename = "account")]
    pub audit_storage: Option<AuditStorageView>,
}

/// A cache that is drained. Serialized as an array.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, u64)", into = "(String, u64)")]
pub struct DrainedCache {
    /// The cache's name.
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
    /// The version of the hierarchy below which no router is to act.
    pub version: u64,
    /// The router at which it was set.
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

/// How much the audit log stores. Serialized as an array.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 5]", into = "[u64; 5]")]
pub struct AuditStorageView {
    /// Records of this router's own log.
    pub records: u64,
    /// Logs of other routers.
    pub replica_logs: u64,
    /// Records of the logs of other routers.
    pub replica_records: u64,
    /// Bytes of the logs of other routers.
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

/// The routers of another site, as the router that aggregates the site reports them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteDetail {
    /// The location of the site.
    #[serde(rename = "place")]
    pub location: String,
    /// Its routers.
    pub routers: Vec<RouterView>,
}
