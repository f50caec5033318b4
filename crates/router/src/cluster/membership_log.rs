//! Log lines about membership events.

use linnethook_membership::actions::ClusterEvent;
use linnethook_membership::membership::MemberChange;

use crate::log::log_line;

/// Logs a membership event.
pub(super) fn log_event(event: &ClusterEvent) {
    match event {
        ClusterEvent::Member { name, incarnation, change } => {
            let change = describe(change);
            log_line!(peer = %name, incarnation = *incarnation, "fellows: {name} {change}");
        }
        ClusterEvent::NameConflict { incarnation } => {
            log_line!(
                incarnation = *incarnation,
                "fellows: ANOTHER PROCESS USES THIS ROUTER'S NAME; it started later, and is rejected"
            );
        }
        ClusterEvent::Refused { holder } => {
            log_line!(
                holder = *holder,
                "fellows: THIS ROUTER'S NAME IS IN USE by an earlier process; this one does not join"
            );
        }
        ClusterEvent::Yielded { holder } => {
            log_line!(
                holder = *holder,
                "fellows: this process was frozen, and a later one has its name; this one leaves the cluster"
            );
        }
        ClusterEvent::Frozen(ms) => log_line!(ms = *ms, "fellows: this process was frozen for {ms} ms"),
    }
}

fn describe(change: &MemberChange) -> String {
    match change {
        MemberChange::Joined => "has joined".to_string(),
        MemberChange::Restarted(before) => format!("has restarted; its previous incarnation was {before}"),
        MemberChange::StateChanged(state) => format!("is {}", state.name()),
        MemberChange::Forgotten => "has been removed from the membership".to_string(),
    }
}
