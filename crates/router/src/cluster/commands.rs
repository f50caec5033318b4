//! Questions of the control socket that concern the cluster.

use linnethook_membership::aggregation::query::QueryTarget;

use crate::audit_log::AuditLogSizes;
use crate::control::{
    AuditStorageView, ControlRequest, ControlResponse, DrainedCache, FleetView, OperatorFloorView,
};
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::straggler::StragglerCheck;
use super::{ClusterAdapter, GossipCounters, CHECK_INTERVAL};

/// The answer to a question, and whether the cluster's timer is to run at once.
pub struct ClusterReply {
    pub answer: ControlResponse,
    pub run_timer: bool,
}

/// Answers a question; `cluster` is `None` where the operator file has no `fellows()`.
pub fn reply(cluster: Option<&mut ClusterAdapter>, now: Ms, question: ControlRequest) -> ClusterReply {
    let run_timer = matches!(question, ControlRequest::StartQuery(_) | ControlRequest::SetFloor(_));
    let answer = match (question, cluster) {
        (ControlRequest::ShowFleet, Some(cluster)) => Ok(ControlResponse::Fleet(Box::new(cluster.view(now)))),
        (ControlRequest::StartQuery(target), Some(cluster)) => cluster.start_query(now, target),
        (ControlRequest::ShowFleet | ControlRequest::StartQuery(_), None) => {
            Err("there are no fellows: the operator file has no fellows()")
        }
        (ControlRequest::FetchQueryResult(id), cluster) => {
            cluster.and_then(|cluster| cluster.query_result(id)).ok_or("that was not asked here")
        }
        (ControlRequest::SetFloor(version), cluster) => cluster
            .and_then(|cluster| cluster.set_floor(now, version))
            .ok_or("nobody is shut out: the operator file has no straggler()"),
        (ControlRequest::ListAuditRecords, cluster) => cluster
            .and_then(|cluster| cluster.audit_records(now))
            .ok_or("there is no account: the operator file has no audit()"),
        _ => Err("a question of another part"),
    };
    match answer {
        Ok(answer) => ClusterReply { answer, run_timer },
        Err(reason) => {
            ClusterReply { answer: ControlResponse::Refused(reason.to_string()), run_timer: false }
        }
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
    fn start_query(&mut self, now: Ms, target: QueryTarget) -> Result<ControlResponse, &'static str> {
        let Some(id) = self.membership.start_query(now, target) else {
            // The timer runs all the same: the membership may have something to send.
            let reason = match self.membership.location() {
                None => "no router has a place here: fleet show names all there are",
                Some(_) => "too much was asked within half a minute",
            };
            return Ok(ControlResponse::Refused(reason.to_string()));
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
