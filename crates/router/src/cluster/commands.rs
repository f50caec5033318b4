//! Questions of the control socket that concern the cluster.

use linnethook_audit::replicas::ReplicaSizes;
use linnethook_membership::aggregation::query::QueryTarget;

use crate::audit_log::AuditLogSizes;
use crate::control::{Answer, FleetShown, Question};
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::{ClusterAdapter, SiteQuery, CHECK_INTERVAL, MAX_QUERIES};

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
        FleetShown {
            fellows: self.core.view(now),
            barred: self.drained.iter().map(|(name, number)| (name.clone(), *number)).collect(),
            drains: self.drains,
            purges: self.purges,
            batches: self.batches,
            adopted: self.adopted,
            whole: self.core.fleet_summary(now).map(|whole| whole.routers()),
            set_by: self.core.operator_floor().map(|floor| (floor.version, floor.set_by)),
            state: self.straggler.as_ref().map(|behind| behind.core.state()),
            shut_out: self.straggler.as_ref().map_or(0, |behind| behind.shut_out),
            account: self.audit.as_ref().map(|audit| {
                let AuditLogSizes { own_records, replicas, dropped_records } = audit.sizes();
                let ReplicaSizes { logs, records, bytes } = replicas;
                (own_records, logs as u64, records as u64, bytes as u64, dropped_records)
            }),
        }
    }

    /// Asks another site for its routers.
    fn start_query(&mut self, now: Ms, target: QueryTarget) -> Result<Answer, &'static str> {
        let Some(id) = self.core.start_query(now, target) else {
            // The timer runs all the same: the membership may have something to send.
            let reason = match self.core.location() {
                None => "no router has a place here: fleet show names all there are",
                Some(_) => "too much was asked within half a minute",
            };
            return Ok(Answer::No(reason.to_string()));
        };
        if self.queries.len() >= MAX_QUERIES {
            self.queries.pop_front();
        }
        self.queries.push_back(SiteQuery { id, answer: None });
        Ok(Answer::Asking(id))
    }

    fn query_result(&self, id: u64) -> Option<Answer> {
        let query = self.queries.iter().find(|query| query.id == id)?;
        Some(Answer::Detail(query.answer.clone()))
    }

    /// Sets the version of the hierarchy below which routers are excluded; 0 clears it. `None` where stragglers are not
    /// excluded.
    fn set_floor(&mut self, now: Ms, version: u64) -> Option<Answer> {
        self.straggler.as_ref()?;
        self.core.set_floor(now, version);
        self.last_check = now - CHECK_INTERVAL;
        log_line!(version, "straggler: the floor was set to {version} by people");
        Some(Answer::Done(match version {
            0 => "the floor is taken back".to_string(),
            _ => format!("nobody is to act on a version below {version}"),
        }))
    }

    /// All audit records that are stored here; `None` where there is no audit log.
    fn audit_records(&mut self, now: Ms) -> Option<Answer> {
        let at = self.core.clock.next_timestamp(now);
        self.audit.as_mut().map(|audit| Answer::Accounts(audit.all_records(now, at)))
    }
}
