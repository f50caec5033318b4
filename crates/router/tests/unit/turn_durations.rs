//! Unit tests of `src/turn/durations.rs`, as a submodule of it.

use super::*;

const MAX_TURN: Ms = 50.0;

#[test]
fn a_turn_over_the_bound_is_reported_with_its_times() {
    let mut durations = TurnDurations::new(MAX_TURN).expect("valid bounds");
    durations.add(TurnWork::Clients, 30.0);
    assert_eq!(durations.end_turn(MAX_TURN), None);
    durations.add(TurnWork::Clients, 20.0);
    durations.add(TurnWork::Timers, 10.0);
    durations.add(TurnWork::Clients, 25.0);
    let times = durations.end_turn(MAX_TURN + 6.0).expect("a turn over the bound");
    assert_eq!((times.get(TurnWork::Clients), times.get(TurnWork::Timers)), (45.0, 10.0));
    assert_eq!(times.get(TurnWork::Upstreams), 0.0);
}

#[test]
fn the_longest_time_of_each_kind_of_work_is_printed() {
    let mut durations = TurnDurations::new(MAX_TURN).expect("valid bounds");
    for (clients, timers) in [(3.0, 1.0), (2.0, 4.0)] {
        durations.add(TurnWork::Clients, clients);
        durations.add(TurnWork::Timers, timers);
        durations.end_turn(clients + timers);
    }
    durations.end_turn(60_001.0);
    let text = durations.report().to_string();
    assert!(text.starts_with(" turns=3 turns_over_bound=1 "), "{text}");
    assert!(text.contains(" turn_max_accepts_us=0 turn_max_clients_us=3000 turn_max_caches_us=0 "), "{text}");
    assert!(text.ends_with(" turn_max_timers_us=4000"), "{text}");
}
