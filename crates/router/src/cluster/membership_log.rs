//! Log lines about the membership.

use linnethook_membership::actions::ClusterEvent;
use linnethook_membership::membership::MemberChange;

use crate::log::log_line;

/// Writes a change of the membership to the log.
pub(super) fn log_event(event: &ClusterEvent) {
    match event {
        ClusterEvent::Member { name, incarnation, change } => {
            let change = describe(change);
            log_line!(peer = %name, incarnation = *incarnation, "fellows: {name} {change}");
        }
        ClusterEvent::NameConflict { incarnation } => {
            log_line!(
                incarnation = *incarnation,
                "fellows: ANOTHER PROCESS HAS THIS ROUTER'S NAME; it started later, and is refused"
            );
        }
        ClusterEvent::Refused { holder } => {
            log_line!(
                holder = *holder,
                "fellows: THIS ROUTER'S NAME IS TAKEN by an earlier start; it takes no part"
            );
        }
        ClusterEvent::Yielded { holder } => {
            log_line!(
                holder = *holder,
                "fellows: this process was frozen, and a later start holds its name; it takes no part"
            );
        }
        ClusterEvent::Frozen(ms) => log_line!(ms = *ms, "fellows: this process did nothing for {ms} ms"),
    }
}

fn describe(change: &MemberChange) -> String {
    match change {
        MemberChange::Joined => "is there".to_string(),
        MemberChange::Restarted(before) => format!("has started again, after start {before}"),
        MemberChange::StateChanged(state) => format!("is {}", state.name()),
        MemberChange::Forgotten => "is forgotten".to_string(),
    }
}
