//! Whether this router is behind the others, and what it then rejects.

use linnethook_audit::record::AuditedAction;
use linnethook_membership::cluster::Cluster;
use linnethook_membership::straggler::{
    ExclusionReason, StragglerDetector, StragglerObservation, StragglerState,
};
use linnethook_operator_config::config::StragglerSection;
use xxhash_rust::xxh3::xxh3_64;

use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::ClusterAdapter;

/// The check whether this router is a straggler.
pub(super) struct StragglerCheck {
    voters: Vec<String>,
    detector: StragglerDetector,
    /// Since when no other router can be reached.
    isolated_since: Option<Ms>,
    /// Requests and fills that were rejected because this router is one.
    rejected: u64,
}

impl StragglerCheck {
    /// A router that has just started, and reaches no other one yet.
    pub fn new(now: Ms, section: &StragglerSection) -> Self {
        Self {
            voters: section.voters.clone(),
            detector: StragglerDetector::new(section.parameters),
            isolated_since: Some(now),
            rejected: 0,
        }
    }

    /// Applies an operator file that was read again.
    pub fn reload(&mut self, section: &StragglerSection) {
        self.voters.clone_from(&section.voters);
        self.detector.set_config(section.parameters);
    }

    /// The state as of the last check.
    pub fn state(&self) -> StragglerState {
        self.detector.state()
    }

    /// Requests and fills that were rejected because this router is a straggler.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Checks this router, which acts on `own_version`, and the others.
    fn run(&mut self, now: Ms, membership: &mut Cluster, own_version: u64, journal_valid_until: Ms) {
        let floor = membership.floor(&self.voters);
        membership.enforce_floor(now, floor, self.detector.config().grace_period);
        self.isolated_since = match membership.has_reachable_peer() {
            true => None,
            false => Some(self.isolated_since.unwrap_or(now)),
        };
        let isolated_since = self.isolated_since;
        let observation = StragglerObservation { own_version, floor, isolated_since, journal_valid_until };
        if let Some(entered) = self.detector.observe(now, &observation) {
            log_state(entered, own_version, floor);
        }
    }

    /// The Retry-After of what concerns an object, where this router must not handle it; `None` where it may.
    fn reject(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let admitted_ratio = self.detector.admitted_ratio(now);
        // During the recovery ramp the same objects are admitted all the time.
        if admitted_ratio >= 1.0 || unit_hash(object) < admitted_ratio {
            return None;
        }
        self.rejected += 1;
        Some(self.detector.config().retry_after)
    }
}

/// A number from 0 to 1, always the same for an object.
fn unit_hash(object: u64) -> f64 {
    // As many bits as the mantissa has.
    (xxh3_64(&object.to_le_bytes()) >> 11) as f64 / ((1u64 << 53) as f64)
}

/// Writes the state that was entered to the log.
fn log_state(state: StragglerState, version: u64, floor: u64) {
    match state {
        StragglerState::UpToDate => {
            log_line!(version, floor, "straggler: this router is level with the fleet");
        }
        StragglerState::Lagging(_) => {
            log_line!(version, floor, "straggler: this router is at version {version}, below {floor}");
        }
        StragglerState::Excluded(ExclusionReason::Behind) => {
            log_line!(
                version,
                floor,
                "straggler: THIS ROUTER IS SHUT OUT: it is at version {version}, below {floor}"
            );
        }
        StragglerState::Excluded(ExclusionReason::Isolated) => {
            log_line!(
                version,
                floor,
                "straggler: THIS ROUTER IS SHUT OUT: it hears no fellow, and its journal is silent"
            );
        }
        StragglerState::Recovering(_) => {
            log_line!(version, floor, "straggler: this router comes back");
        }
    }
}

impl ClusterAdapter {
    /// Checks whether this router, or another one, is behind.
    pub(super) fn check_straggler(&mut self, now: Ms, journal_valid_until: Ms) {
        if let Some(straggler) = &mut self.straggler {
            let own_version = self.versions.hierarchy.version;
            straggler.run(now, &mut self.membership, own_version, journal_valid_until);
        }
    }

    /// The Retry-After of a request for an object, where this router is a straggler and must not handle it; `None` where
    /// it may.
    pub fn reject_as_straggler(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let retry_after = self.straggler.as_mut()?.reject(now, object)?;
        self.record_action(now, AuditedAction::RejectedAsStraggler);
        Some(retry_after)
    }
}
