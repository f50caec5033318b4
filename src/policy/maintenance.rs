//! Maintenance: what is done periodically, in a fixed order.

use super::Policy;
use crate::interface::{Action, Ms};

/// Time between two maintenance runs.
const MAINTENANCE_INTERVAL: Ms = 50.0;
/// The token of the maintenance timer; backoffs have others.
pub(super) const MAINTENANCE_TIMER: u32 = 0;

impl Policy {
    /// Sets the timer of the next maintenance run.
    pub(super) fn schedule_maintenance(&mut self) {
        let at = self.now + MAINTENANCE_INTERVAL;
        self.actions.push(Action::SetTimer { at, token: MAINTENANCE_TIMER });
    }

    /// Updates the estimates, then ejects silent endpoints and counts late fills, then lets limits recover
    /// and old records expire.
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
