//! The check whether this router is a straggler, and the rejection of requests and fills while it is one.

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

/// Checks whether this router is a straggler.
pub(super) struct StragglerCheck {
    voters: Vec<String>,
    detector: StragglerDetector,
    /// Since when no peer has been reachable; `None` while one is.
    isolated_since: Option<Ms>,
    /// The number of requests and fills that were rejected because this router was a straggler.
    rejected: u64,
}

impl StragglerCheck {
    /// Creates the check of a router that has just started and can reach no peer yet.
    pub fn new(now: Ms, section: &StragglerSection) -> Self {
        Self {
            voters: section.voters.clone(),
            detector: StragglerDetector::new(section.parameters),
            isolated_since: Some(now),
            rejected: 0,
        }
    }

    /// Applies a reloaded operator file.
    pub fn reload(&mut self, section: &StragglerSection) {
        self.voters.clone_from(&section.voters);
        self.detector.set_config(section.parameters);
    }

    /// The state as of the last check.
    pub fn state(&self) -> StragglerState {
        self.detector.state()
    }

    /// The number of requests and fills that were rejected because this router was a straggler.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Checks this router, which acts on `own_version`, and enforces the floor for its peers.
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

    /// Returns the Retry-After, in milliseconds, if a request or fill for an object is rejected; `None` if it
    /// is admitted.
    fn reject(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let admitted_ratio = self.detector.admitted_ratio(now);
        // Admission depends on the object alone, so an object admitted during the recovery ramp stays
        // admitted.
        if admitted_ratio >= 1.0 || unit_hash(object) < admitted_ratio {
            return None;
        }
        self.rejected += 1;
        Some(self.detector.config().retry_after)
    }
}

/// Hashes an object to a number from 0 to 1, excluding 1.
fn unit_hash(object: u64) -> f64 {
    // The 53 bits that the mantissa of an `f64` can hold.
    (xxh3_64(&object.to_le_bytes()) >> 11) as f64 / ((1u64 << 53) as f64)
}

/// Logs the state that was entered.
fn log_state(state: StragglerState, version: u64, floor: u64) {
    match state {
        StragglerState::UpToDate => {
            log_line!(version, floor, "straggler: this router is up to date");
        }
        StragglerState::Lagging(_) => {
            log_line!(
                version,
                floor,
                "straggler: this router is at version {version}, below the floor {floor}"
            );
        }
        StragglerState::Excluded(ExclusionReason::Behind) => {
            log_line!(
                version,
                floor,
                "straggler: THIS ROUTER IS EXCLUDED: it is at version {version}, below the floor {floor}"
            );
        }
        StragglerState::Excluded(ExclusionReason::Isolated) => {
            log_line!(
                version,
                floor,
                "straggler: THIS ROUTER IS EXCLUDED: no peer is reachable, and its journal is not up to date"
            );
        }
        StragglerState::Recovering(_) => {
            log_line!(version, floor, "straggler: this router is recovering");
        }
    }
}

impl ClusterAdapter {
    /// Checks whether this router or one of its peers is a straggler.
    pub(super) fn check_straggler(&mut self, now: Ms, journal_valid_until: Ms) {
        if let Some(straggler) = &mut self.straggler {
            let own_version = self.versions.hierarchy.version;
            straggler.run(now, &mut self.membership, own_version, journal_valid_until);
        }
    }

    /// Returns the Retry-After, in milliseconds, if this router is a straggler and rejects a request or fill
    /// for an object; `None` if it is admitted.
    pub fn reject_as_straggler(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let retry_after = self.straggler.as_mut()?.reject(now, object)?;
        self.record_action(now, AuditedAction::RejectedAsStraggler);
        Some(retry_after)
    }
}
