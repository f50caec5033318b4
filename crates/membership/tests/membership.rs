//! Which routers are alive, derived from links that both ends report.

use linnethook_membership::membership::{
    MemberChange, MemberEvent, MemberList, MemberState, MembershipTimeouts,
};
use linnethook_membership::versions::RouterStatus;

fn status(links: &[(&str, u64)], leaving: bool) -> RouterStatus {
    let links = links.iter().map(|(name, incarnation)| (name.to_string(), *incarnation)).collect();
    RouterStatus { links, leaving, ..RouterStatus::default() }
}

fn state_change(name: &str, state: MemberState) -> MemberEvent {
    MemberEvent { name: name.to_string(), incarnation: 1, change: MemberChange::StateChanged(state) }
}

fn member_states(members: &MemberList) -> Vec<(String, MemberState)> {
    members.iter().map(|(name, member)| (name.clone(), member.state)).collect()
}

/// A chain me - a - b: b is alive as long as a is alive and both a and b report their link.
#[test]
fn router_is_alive_while_reachable_over_links_that_both_ends_report() {
    let mut members = MemberList::new(MembershipTimeouts::default(), "me");
    members.set_link("a", 1, true);
    members.update_status(0.0, "a", 1, status(&[("me", 1), ("b", 1)], false));
    members.update_status(0.0, "b", 1, status(&[("a", 1)], false));
    assert!(members.tick(0.0).is_empty());
    // Only one end reports the link: a partition in one direction, or a dead router.
    members.update_status(100.0, "a", 1, status(&[("me", 1)], false));
    assert!(members.tick(100.0).is_empty(), "the suspect timeout has not passed");
    assert_eq!(members.tick(1_100.0), [state_change("b", MemberState::Suspect)]);
    members.update_status(2_000.0, "a", 1, status(&[("me", 1), ("b", 1)], false));
    assert_eq!(members.tick(2_000.0), [state_change("b", MemberState::Alive)]);
    // Only the other end reports the link.
    members.update_status(2_100.0, "b", 1, status(&[], false));
    members.tick(2_100.0);
    assert_eq!(members.tick(3_200.0), [state_change("b", MemberState::Suspect)]);
    members.update_status(3_300.0, "b", 1, status(&[("a", 1)], false));
    assert_eq!(members.tick(3_300.0), [state_change("b", MemberState::Alive)]);
    // The link of this router fails: both are unreachable, whatever they reported of each other.
    members.set_link("a", 1, false);
    members.tick(4_000.0);
    assert_eq!(members.next_deadline(4_000.0), 5_000.0);
    members.tick(5_000.0);
    assert!(member_states(&members).iter().all(|(_, state)| *state == MemberState::Suspect));
    members.tick(34_000.0);
    assert!(member_states(&members).iter().all(|(_, state)| *state == MemberState::Dead));
    members.tick(604_000.0);
    assert_eq!(members.iter().count(), 0, "forgotten");
}

#[test]
fn restarted_router_needs_its_own_links_and_earlier_incarnation_is_ignored() {
    let mut members = MemberList::new(MembershipTimeouts::default(), "me");
    members.set_link("a", 1, true);
    assert_eq!(members.update_status(0.0, "a", 1, status(&[], false)), Some(MemberChange::Joined));
    assert_eq!(members.update_status(0.0, "a", 7, status(&[], false)), Some(MemberChange::Restarted(1)));
    assert_eq!(members.update_status(0.0, "a", 1, status(&[("b", 1)], true)), None);
    assert_eq!(members.get("a").map(|a| (a.incarnation, a.status.leaving)), Some((7, false)));
    // The link is with the earlier incarnation.
    members.tick(0.0);
    members.tick(1_000.0);
    assert_eq!(members.get("a").map(|a| a.state), Some(MemberState::Suspect));
    members.set_link("a", 7, true);
    members.tick(1_001.0);
    assert_eq!(members.get("a").map(|a| a.state), Some(MemberState::Alive));
}

#[test]
fn leaving_router_has_left_once_unreachable() {
    let mut members = MemberList::new(MembershipTimeouts::default(), "me");
    members.set_link("a", 1, true);
    members.update_status(0.0, "a", 1, status(&[], true));
    assert!(members.tick(0.0).is_empty(), "it is alive while it shuts down");
    members.set_link("a", 1, false);
    assert_eq!(members.tick(1.0), [state_change("a", MemberState::Left)]);
}
