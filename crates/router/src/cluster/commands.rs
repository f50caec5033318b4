//! Requests of the control socket that concern the cluster.

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

/// Why a request of the control socket is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Refusal {
    NoCluster,
    NoStragglerCheck,
    NoAuditLog,
    /// No query of that id was started here, or it is no longer remembered.
    UnknownQuery,
    /// Queries go to locations, which no router of this cluster has.
    NoLocations,
    TooManyQueries,
    /// Another part of the router handles the request.
    NotOfTheCluster,
}

impl Refusal {
    /// Whether the membership was asked, which may have something to send all the same.
    fn is_by_membership(self) -> bool {
        matches!(self, Self::NoLocations | Self::TooManyQueries)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoCluster => "there are no fellows: the operator file has no fellows()",
            Self::NoStragglerCheck => "nobody is shut out: the operator file has no straggler()",
            Self::NoAuditLog => "there is no account: the operator file has no audit()",
            Self::UnknownQuery => "that was not asked here",
            Self::NoLocations => "no router has a place here: fleet show names all there are",
            Self::TooManyQueries => "too much was asked within half a minute",
            Self::NotOfTheCluster => "a question of another part",
        })
    }
}

impl std::error::Error for Refusal {}

/// The response to a request, and whether the cluster's timer is to run at once.
pub struct ClusterReply {
    pub response: ControlResponse,
    pub run_timer: bool,
}

/// Handles a request; `cluster` is `None` where the operator file has no `fellows()`.
pub fn reply(cluster: Option<&mut ClusterAdapter>, now: Ms, request: ControlRequest) -> ClusterReply {
    let may_send = matches!(request, ControlRequest::StartQuery(_) | ControlRequest::SetFloor(_));
    match handle(cluster, now, request) {
        Ok(response) => ClusterReply { response, run_timer: may_send },
        Err(refusal) => ClusterReply {
            response: ControlResponse::Refused(refusal.to_string()),
            run_timer: refusal.is_by_membership(),
        },
    }
}

fn handle(
    cluster: Option<&mut ClusterAdapter>,
    now: Ms,
    request: ControlRequest,
) -> Result<ControlResponse, Refusal> {
    match request {
        ControlRequest::ShowFleet => {
            let view = cluster.ok_or(Refusal::NoCluster)?.view(now);
            Ok(ControlResponse::Fleet(Box::new(view)))
        }
        ControlRequest::StartQuery(target) => cluster.ok_or(Refusal::NoCluster)?.start_query(now, target),
        ControlRequest::FetchQueryResult(id) => {
            let response = cluster.and_then(|cluster| cluster.query_result(id));
            response.ok_or(Refusal::UnknownQuery)
        }
        ControlRequest::SetFloor(version) => {
            let response = cluster.and_then(|cluster| cluster.set_floor(now, version));
            response.ok_or(Refusal::NoStragglerCheck)
        }
        ControlRequest::ListAuditRecords => {
            let response = cluster.and_then(|cluster| cluster.audit_records(now));
            response.ok_or(Refusal::NoAuditLog)
        }
        _ => Err(Refusal::NotOfTheCluster),
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

    /// Asks another site for its routers.
    fn start_query(&mut self, now: Ms, target: QueryTarget) -> Result<ControlResponse, Refusal> {
        let Some(id) = self.membership.start_query(now, target) else {
            return Err(match self.membership.location() {
                None => Refusal::NoLocations,
                Some(_) => Refusal::TooManyQueries,
            });
        };
        self.queries.add(id);
        Ok(ControlResponse::QueryStarted(id))
    }

    fn query_result(&self, id: u64) -> Option<ControlResponse> {
        let query = self.queries.get(id)?;
        Some(ControlResponse::QueryResult(query.answer.clone()))
    }

    /// Sets the version of the hierarchy below which routers are excluded; 0 clears it. `None` where stragglers are not
    /// excluded.
    fn set_floor(&mut self, now: Ms, version: u64) -> Option<ControlResponse> {
        self.straggler.as_ref()?;
        self.membership.set_floor(now, version);
        self.last_check = now - CHECK_INTERVAL;
        log_line!(version, "straggler: the floor was set to {version} by people");
        Some(ControlResponse::Done(match version {
            0 => "the floor is taken back".to_string(),
            _ => format!("nobody is to act on a version below {version}"),
        }))
    }

    /// All audit records that are stored here; `None` where there is no audit log.
    fn audit_records(&mut self, now: Ms) -> Option<ControlResponse> {
        let at = self.membership.clock.next_timestamp(now);
        self.audit_log.as_mut().map(|audit_log| ControlResponse::AuditRecords(audit_log.all_records(now, at)))
    }
}
