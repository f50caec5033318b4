//! Checks of a run: its recording against the rules, and the audit logs against its recording.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::Duration;

use linnethook_audit::record::read_file;
use linnethook_audit::verification::{Finding, SpanRecord, VerifiedLogs};

use super::{name, Harness, HarnessError};
use crate::aggregates::changes_known_at;
use crate::checker::{adjust_for_pauses, judge, Breach, Rule, RuleBounds};
use crate::recording::{now, RecordedEvent};

impl Harness {
    /// The audit logs that the running routers store, their own and replicas of others', verified together.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn audit_logs(&self) -> io::Result<VerifiedLogs> {
        let mut all_records = Vec::new();
        for n in self.up() {
            let file = self.fleet.write_file(&format!("audit-export-{n}"), "")?;
            let socket = self.fleet.socket(&name(n)).display().to_string();
            let output =
                self.fleet.command(&["audit", "export", &file.display().to_string(), "--socket", &socket])?;
            if !output.status.success() {
                return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
            }
            let records = read_file(&std::fs::read(&file)?);
            all_records.extend(records.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?);
        }
        Ok(VerifiedLogs::new(all_records))
    }

    /// Checks the audit logs against the recording: each booking that reached a server is in some audit log
    /// or in a reported gap, and no audit log has an attempt that no server received, unless its outcome
    /// leaves open whether it arrived.
    ///
    /// # Errors
    /// The first booking that only one of the two has.
    pub fn check_audit_logs(&self, logs: &VerifiedLogs) -> Result<(), HarnessError> {
        let lines = self.fleet.record.lines();
        let mut seen = BTreeSet::<(&str, &str)>::new();
        let mut recorded = BTreeSet::<(String, String)>::new();
        let mut open = Vec::new();
        let known_from = logs.earliest_known();
        for SpanRecord { name: router, span, .. } in logs.spans() {
            for booking in &span.write_attempts {
                recorded.insert((router.to_string(), booking.request_id.clone()));
                // Only an attempt with one of these outcomes is certain to have reached the server.
                let mut ends = logs
                    .attempts_of_request(&booking.request_id)
                    .into_iter()
                    .filter(|trace| trace.name == router);
                let arrived = ends.any(|trace| {
                    let end = trace.outcome.filter(|end| end.attempt == booking.attempt);
                    end.is_some_and(|end| matches!(end.outcome.as_str(), "answered" | "absent"))
                });
                if arrived {
                    open.push((router.to_string(), booking.request_id.clone()));
                }
            }
        }
        for line in &lines {
            let RecordedEvent::Asked { asked, .. } = &line.what else { continue };
            let Some(router) = asked.router.as_deref().filter(|_| asked.class == "booking") else { continue };
            // A second process under the same name counts as that router.
            let router = router.trim_end_matches("-twin");
            seen.insert((router, &asked.id));
            let in_gap = |finding: &Finding| match finding {
                Finding::Gap { name, from, to, .. } => {
                    let from = from.map_or(0.0, |at| at.ms as f64);
                    let to = to.map_or(f64::INFINITY, |at| at.ms as f64);
                    name == router && (from - 50.0..=to + 50.0).contains(&line.at)
                }
                _ => false,
            };
            // The router was killed before any router that still runs learned of its start: no log covers
            // that time.
            let before = known_from.get(router).is_none_or(|from| line.at <= from.ms as f64 + 50.0);
            let known = before || recorded.contains(&(router.to_string(), asked.id.clone()));
            if !known && !logs.findings.iter().any(in_gap) {
                let (router, id) = (router.to_string(), asked.id.clone());
                return Err(HarnessError::NotAudited { router, id, at: line.at });
            }
        }
        let unseen = open.iter().find(|(router, id)| !seen.contains(&(router.as_str(), id.as_str())));
        match unseen {
            Some((router, id)) => Err(HarnessError::NotReceived { router: router.clone(), id: id.clone() }),
            None => Ok(()),
        }
    }

    pub(super) fn rules(&self) -> RuleBounds {
        let aggregates = self.plan.aggregate_bounds();
        RuleBounds { slack: 500.0, migration_grace: 7_000.0, aggregates, ..RuleBounds::default() }
    }

    /// Waits until all changes must be known everywhere by their bounds, then records the location summaries
    /// of each running router, so that the checker compares them exactly.
    ///
    /// # Errors
    /// A process, a control socket or a file that fails, or a wait that times out.
    pub fn show_after_changes(&self) -> io::Result<()> {
        let due = changes_known_at(&self.fleet.record.lines(), &self.rules());
        thread::sleep(Duration::from_secs_f64((due - now()).max(0.0) / 1_000.0 + 0.01));
        self.up().into_iter().try_for_each(|n| self.shown(n).map(drop))
    }

    /// Breaches of all rules except those in `but`.
    pub fn breaches(&self, but: &[Rule]) -> Vec<Breach> {
        let rules = self.rules();
        let lines = adjust_for_pauses(&self.fleet.record.lines(), 2_000.0);
        let mut breaches = judge(&lines, &rules);
        breaches.retain(|breach| !but.contains(&breach.rule));
        breaches
    }

    /// Checks that no rule is broken except those in `but`, and that no booking ran twice at the origin.
    ///
    /// # Errors
    /// [`HarnessError::RulesBroken`] with all breaches.
    pub fn check(&self, but: &[Rule]) -> Result<(), HarnessError> {
        let breaches = self.breaches(but);
        let ran_twice = self.fleet.node("origin").ran_twice().len();
        match breaches.is_empty() && ran_twice == 0 {
            true => Ok(()),
            false => Err(HarnessError::RulesBroken { breaches, ran_twice }),
        }
    }
}
