//! Control socket requests about the cluster.

use std::fmt;

use linnethook_membership::aggregation::query::QueryTarget;

use crate::audit_log::AuditLogSizes;
use crate::control::{
    AuditStorageView, ControlRequest, ControlResponse, DrainedCache, FleetView, OperatorFloorView,
};
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::straggler::StragglerCheck;
use super::{ClusterAdapter, GossipCounters, CHECK_INTERVAL};

/// Why a control socket request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rejection {
    NoCluster,
    NoStragglerCheck,
    NoAuditLog,
    /// No query of that id was started at this router, or it has been discarded.
    UnknownQuery,
    /// Queries address locations, and this router has none.
    NoLocations,
    TooManyQueries,
    /// The request does not concern the cluster.
    Unsupported,
}

impl Rejection {
    /// Whether the membership handled the request, and may have queued messages although it rejected it.
    fn is_from_membership(self) -> bool {
        matches!(self, Self::NoLocations | Self::TooManyQueries)
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoCluster => "the cluster is not enabled: the operator file has no fellows()",
            Self::NoStragglerCheck => "stragglers are not excluded: the operator file has no straggler()",
            Self::NoAuditLog => "the audit log is not enabled: the operator file has no audit()",
            Self::UnknownQuery => "unknown query: it was not started at this router, or was discarded",
            Self::NoLocations => {
                "this router has no location, so no site can be queried: fleet show lists all routers"
            }
            Self::TooManyQueries => "too many queries within half a minute",
            Self::Unsupported => "not a request about the cluster",
        })
    }
}

impl std::error::Error for Rejection {}

/// The response to a request.
pub struct ClusterReply {
    pub response: ControlResponse,
    /// Whether the cluster's timer has to run at once, as messages may be queued.
    pub run_timer: bool,
}

/// Handles a request; `cluster` is `None` if the operator file has no `fellows()`.
pub fn reply(cluster: Option<&mut ClusterAdapter>, now: Ms, request: ControlRequest) -> ClusterReply {
    let may_send = matches!(request, ControlRequest::StartQuery(_) | ControlRequest::SetFloor(_));
    match handle(cluster, now, request) {
        Ok(response) => ClusterReply { response, run_timer: may_send },
        Err(rejection) => ClusterReply {
            response: ControlResponse::Refused(rejection.to_string()),
            run_timer: rejection.is_from_membership(),
        },
    }
}

fn handle(
    cluster: Option<&mut ClusterAdapter>,
    now: Ms,
    request: ControlRequest,
) -> Result<ControlResponse, Rejection> {
    match request {
        ControlRequest::ShowFleet => {
            let view = cluster.ok_or(Rejection::NoCluster)?.view(now);
            Ok(ControlResponse::Fleet(Box::new(view)))
        }
        ControlRequest::StartQuery(target) => cluster.ok_or(Rejection::NoCluster)?.start_query(now, target),
        ControlRequest::FetchQueryResult(id) => {
            let response = cluster.and_then(|cluster| cluster.query_result(id));
            response.ok_or(Rejection::UnknownQuery)
        }
        ControlRequest::SetFloor(version) => {
            let response = cluster.and_then(|cluster| cluster.set_floor(now, version));
            response.ok_or(Rejection::NoStragglerCheck)
        }
        ControlRequest::ListAuditRecords => {
            let response = cluster.and_then(|cluster| cluster.audit_records(now));
            response.ok_or(Rejection::NoAuditLog)
        }
        _ => Err(Rejection::Unsupported),
    }
}

impl ClusterAdapter {
    fn view(&self, now: Ms) -> FleetView {
        let GossipCounters { drains, purges, batches, snapshots } = self.applied_from_gossip;
        let operator_floor = self.membership.operator_floor();
        let straggler = self.straggler.as_ref();
        FleetView {
            cluster: self.membership.view(now),
            drained_by_gossip: self.drained_caches(),
            drains_from_gossip: drains,
            purges_from_gossip: purges,
            batches_from_gossip: batches,
            snapshots_adopted: snapshots,
            fleet_size: self.membership.fleet_summary(now).map(|fleet| fleet.routers()),
            operator_floor: operator_floor
                .map(|floor| OperatorFloorView { version: floor.version, set_by: floor.set_by }),
            straggler_state: straggler.map(StragglerCheck::state),
            rejected_as_straggler: straggler.map_or(0, StragglerCheck::rejected),
            audit_storage: self.audit_storage(),
        }
    }

    fn drained_caches(&self) -> Vec<DrainedCache> {
        let drained = self.endpoints.drained();
        drained
            .map(|(name, journal_position)| DrainedCache { name: name.clone(), journal_position })
            .collect()
    }

    fn audit_storage(&self) -> Option<AuditStorageView> {
        let audit_log = self.audit_log.as_ref()?;
        let AuditLogSizes { own_records, replicas, dropped_records } = audit_log.sizes();
        Some(AuditStorageView {
            records: own_records,
            replica_logs: replicas.logs as u64,
            replica_records: replicas.records as u64,
            replica_bytes: replicas.bytes as u64,
            unsaved_records: dropped_records,
        })
    }

    /// Starts a query for the routers of a site.
    fn start_query(&mut self, now: Ms, target: QueryTarget) -> Result<ControlResponse, Rejection> {
        let Some(id) = self.membership.start_query(now, target) else {
            return Err(match self.membership.location() {
                None => Rejection::NoLocations,
                Some(_) => Rejection::TooManyQueries,
            });
        };
        self.queries.add(id);
        Ok(ControlResponse::QueryStarted(id))
    }

    fn query_result(&self, id: u64) -> Option<ControlResponse> {
        let query = self.queries.get(id)?;
        Some(ControlResponse::QueryResult(query.answer.clone()))
    }

    /// Sets the floor, the version of the hierarchy below which routers are excluded; 0 clears it. `None` if
    /// stragglers are not excluded.
    fn set_floor(&mut self, now: Ms, version: u64) -> Option<ControlResponse> {
        self.straggler.as_ref()?;
        self.membership.set_floor(now, version);
        self.last_check = now - CHECK_INTERVAL;
        log_line!(version, "straggler: an operator has set the floor to version {version}");
        Some(ControlResponse::Done(match version {
            0 => "the floor is cleared".to_string(),
            _ => format!("the floor is set to version {version}"),
        }))
    }

    /// All stored audit records; `None` if the audit log is not enabled.
    fn audit_records(&mut self, now: Ms) -> Option<ControlResponse> {
        let at = self.membership.clock.next_timestamp(now);
        self.audit_log.as_mut().map(|audit_log| ControlResponse::AuditRecords(audit_log.all_records(now, at)))
    }
}
