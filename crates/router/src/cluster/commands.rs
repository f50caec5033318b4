//! Questions of the control socket that concern the cluster.

use linnethook_audit::replicas::ReplicaSizes;
use linnethook_membership::aggregation::query::QueryTarget;

use crate::audit_log::AuditLogSizes;
use crate::control::{Answer, FleetShown, Question};
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::straggler::StragglerCheck;
use super::{ClusterAdapter, GossipCounters, CHECK_INTERVAL};

/// The answer to a question, and whether the cluster's timer is to run at once.
pub struct ClusterReply {
    pub answer: Answer,
    pub run_timer: bool,
}

/// Answers a question; `cluster` is `None` where the operator file has no `fellows()`.
pub fn reply(cluster: Option<&mut ClusterAdapter>, now: Ms, question: Question) -> ClusterReply {
    let run_timer = matches!(question, Question::Ask(_) | Question::Floor(_));
    let answer = match (question, cluster) {
        (Question::Fleet, Some(cluster)) => Ok(Answer::Fleet(Box::new(cluster.view(now)))),
        (Question::Ask(target), Some(cluster)) => cluster.start_query(now, target),
        (Question::Fleet | Question::Ask(_), None) => {
            Err("there are no fellows: the operator file has no fellows()")
        }
        (Question::Answered(id), cluster) => {
            cluster.and_then(|cluster| cluster.query_result(id)).ok_or("that was not asked here")
        }
        (Question::Floor(version), cluster) => cluster
            .and_then(|cluster| cluster.set_floor(now, version))
            .ok_or("nobody is shut out: the operator file has no straggler()"),
        (Question::Accounts, cluster) => cluster
            .and_then(|cluster| cluster.audit_records(now))
            .ok_or("there is no account: the operator file has no audit()"),
        _ => Err("a question of another part"),
    };
    match answer {
        Ok(answer) => ClusterReply { answer, run_timer },
        Err(reason) => ClusterReply { answer: Answer::No(reason.to_string()), run_timer: false },
    }
}

impl ClusterAdapter {
    fn view(&self, now: Ms) -> FleetShown {
        let GossipCounters { drains, purges, batches, snapshots } = self.applied_from_gossip;
        let operator_floor = self.membership.operator_floor();
        let straggler = self.straggler.as_ref();
        FleetShown {
            fellows: self.membership.view(now),
            barred: self.endpoints.drained().map(|(name, position)| (name.clone(), position)).collect(),
            drains,
            purges,
            batches,
            adopted: snapshots,
            whole: self.membership.fleet_summary(now).map(|summary| summary.routers()),
            set_by: operator_floor.map(|floor| (floor.version, floor.set_by)),
            state: straggler.map(StragglerCheck::state),
            shut_out: straggler.map_or(0, StragglerCheck::rejected),
            account: self.audit_log.as_ref().map(|audit_log| {
                let AuditLogSizes { own_records, replicas, dropped_records } = audit_log.sizes();
                let ReplicaSizes { logs, records, bytes } = replicas;
                (own_records, logs as u64, records as u64, bytes as u64, dropped_records)
            }),
        }
    }

    /// Asks another site for its routers.
    fn start_query(&mut self, now: Ms, target: QueryTarget) -> Result<Answer, &'static str> {
        let Some(id) = self.membership.start_query(now, target) else {
            // The timer runs all the same: the membership may have something to send.
            let reason = match self.membership.location() {
                None => "no router has a place here: fleet show names all there are",
                Some(_) => "too much was asked within half a minute",
            };
            return Ok(Answer::No(reason.to_string()));
        };
        self.queries.add(id);
        Ok(Answer::Asking(id))
    }

    fn query_result(&self, id: u64) -> Option<Answer> {
        let query = self.queries.get(id)?;
        Some(Answer::Detail(query.answer.clone()))
    }

    /// Sets the version of the hierarchy below which routers are excluded; 0 clears it. `None` where stragglers are not
    /// excluded.
    fn set_floor(&mut self, now: Ms, version: u64) -> Option<Answer> {
        self.straggler.as_ref()?;
        self.membership.set_floor(now, version);
        self.last_check = now - CHECK_INTERVAL;
        log_line!(version, "straggler: the floor was set to {version} by people");
        Some(Answer::Done(match version {
            0 => "the floor is taken back".to_string(),
            _ => format!("nobody is to act on a version below {version}"),
        }))
    }

    /// All audit records that are stored here; `None` where there is no audit log.
    fn audit_records(&mut self, now: Ms) -> Option<Answer> {
        let at = self.membership.clock.next_timestamp(now);
        self.audit_log.as_mut().map(|audit_log| Answer::Accounts(audit_log.all_records(now, at)))
    }
}
