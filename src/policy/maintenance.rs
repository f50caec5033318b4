//! Periodic maintenance of estimates, ejections and limits.

use super::Policy;
use crate::interface::{Action, Ms};

/// Time between two maintenance runs.
const MAINTENANCE_INTERVAL: Ms = 50.0;
/// Token of the maintenance timer; backoff timers have other tokens.
pub(super) const MAINTENANCE_TIMER: u32 = 0;

impl Policy {
    /// Sets the timer of the next maintenance run.
    pub(super) fn schedule_maintenance(&mut self) {
        let at = self.now + MAINTENANCE_INTERVAL;
        self.actions.push(Action::SetTimer { at, token: MAINTENANCE_TIMER });
    }

    /// Updates the estimates, ejects silent endpoints, counts late fills, raises the origin's limit and drops
    /// expired records, in this fixed order.
    pub(super) fn run_maintenance(&mut self) {
        self.schedule_maintenance();
        self.update_typical_slowness();
        self.start_due_recoveries();
        self.update_mean_loads();
        self.eject_silent_endpoints();
        self.count_late_fills();
        self.origin_admission.recover();
        self.rotate_filters_if_due();
    }
}
