//! The five rules of the protocol, as far as the module keeps them by itself.

mod common;

use common::*;
use linnethook::interface::*;

const ENDS: [AttemptStatus; 8] = [
    AttemptStatus::Error,
    AttemptStatus::Rejected,
    AttemptStatus::TimedOut,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::Cancelled,
    AttemptStatus::NotExecuted,
    AttemptStatus::CacheMiss,
];

/// Ends every attempt of one request with the same status, and counts its final answers.
fn finals_for(class: u16, status: AttemptStatus) -> (World, usize) {
    let mut world = World::new(settings());
    let mut last = world.ask(class, 4);
    while let Some(sent) = last {
        world.pass(10.0);
        last = world.end(sent, status, None);
        if last.is_none() && world.finals.is_empty() {
            let before = world.sent.len();
            world.pass(3000.0);
            last = world.sent.get(before).copied();
        }
    }
    let finals = world.finals.len();
    (world, finals)
}

#[test]
fn rule_1_every_request_gets_one_final_answer_whatever_happens() {
    for class in [SAFE, FRESH, KEYED, UNSAFE] {
        for status in ENDS {
            let (mut world, finals) = finals_for(class, status);
            assert_eq!(finals, 1, "class {class}, {status:?}");
            let sent = world.sent.len();
            world.pass(20_000.0);
            assert_eq!((world.sent.len(), world.finals.len()), (sent, 1), "nothing more is sent for it");
        }
    }
}

#[test]
fn rule_1_time_outs_end_before_the_client_gives_up() {
    let mut world = World::new(settings());
    for class in [SAFE, FRESH, KEYED, UNSAFE] {
        let sent = world.ask(class, 4).expect("an attempt");
        assert!(sent.timeout > 0.0 && sent.timeout <= 3000.0);
    }
    // Without any time left there is a final answer all the same.
    let hopeless = Request { time_limit: 0.5, ..world.request(SAFE, 9) };
    assert_eq!(world.submit(hopeless), None);
    assert_eq!(world.finals.len(), 1);
}

#[test]
fn rule_1_a_disconnected_client_gets_no_answer() {
    let mut world = World::new(settings());
    let sent = world.ask(SAFE, 4).expect("an attempt");
    world.tell(Event::ClientDisconnected(sent.attempt.request));
    assert_eq!(world.cancelled, [sent.attempt]);
    assert_eq!(world.end(sent, AttemptStatus::Cancelled, None), None);
    assert_eq!((world.end(sent, AttemptStatus::TimedOut, None), world.finals.len()), (None, 0));
    world.tell(Event::ClientDisconnected(RequestId(999)));
    world.tell(Event::Timer(12_345));
}

#[test]
fn rule_2_a_non_idempotent_request_that_may_have_executed_is_neither_retried_nor_rejected() {
    for status in ENDS {
        let mut world = World::new(settings());
        let sent = world.ask(UNSAFE, 4).expect("an attempt");
        assert_eq!((sent.cache, sent.fill), (THE_ORIGIN, None));
        let again = world.end(sent, status, None);
        if !status.never_executed() {
            assert_eq!(again, None, "{status:?}");
            assert_eq!(world.finals, [failed(sent, RejectReason::RepeatNotAllowed)], "{status:?}");
        }
    }
}

#[test]
fn rule_2_a_request_with_a_key_is_retried_only_within_its_window() {
    let mut world = World::new(settings());
    let sent = world.ask(KEYED, 4).expect("an attempt");
    world.pass(500.0);
    world.end(sent, AttemptStatus::TimedOut, None);
    world.pass(500.0);
    assert_eq!(world.sent.len(), 2, "a repeat within the window is dropped by the origin");
    let mut world = World::new(settings());
    let late = Request { time_limit: 9000.0, ..world.request(KEYED, 4) };
    let sent = world.submit(late).expect("an attempt");
    world.pass(3500.0);
    world.end(sent, AttemptStatus::TimedOut, None);
    world.pass(2000.0);
    assert_eq!((world.sent.len(), world.finals.len()), (1, 1), "after it the repeat would run again");
}

#[test]
fn rule_2_a_request_of_an_unknown_class_is_not_retried() {
    let mut world = World::new(settings());
    let unknown = Request { is_write: false, ..world.request(99, 4) };
    let sent = world.submit(unknown).expect("an attempt");
    assert_eq!(world.end(sent, AttemptStatus::Reset, None), None);
    assert_eq!(world.finals, [failed(sent, RejectReason::RepeatNotAllowed)]);
}

#[test]
fn rule_3_nothing_is_sent_to_a_draining_or_removed_cache_or_source() {
    for phase in [EndpointPhase::Draining, EndpointPhase::Removed] {
        let mut world = World::new(settings());
        for object in 0..50 {
            world.serve(SAFE, object, CacheStatus::Hit);
        }
        let before = world.sent.len();
        world.list(Endpoint { phase, ..endpoint(CACHES[0]) });
        world.list(Endpoint { phase, ..endpoint(PARENTS[0]) });
        for object in 0..100 {
            world.serve(SAFE, object, CacheStatus::Hit);
        }
        for sent in &world.sent[before..] {
            assert!(sent.cache != CACHES[0]);
            assert!(sent.fill.is_some_and(|fill| fill.source != PARENTS[0] && fill.source != CACHES[0]));
        }
    }
}

#[test]
fn rule_3_a_retry_respects_a_drain_since_the_first_attempt() {
    let mut world = World::new(settings());
    let sent = world.ask(SAFE, 4).expect("an attempt");
    let home = sent.fill.expect("a fill").source;
    world.list(Endpoint { phase: EndpointPhase::Draining, ..endpoint(home) });
    world.list(Endpoint { phase: EndpointPhase::Draining, ..endpoint(sent.cache) });
    let again = world.end(sent, AttemptStatus::Reset, None).expect("a further attempt");
    assert!(again.cache != sent.cache && again.fill.expect("a fill").source != home);
}

#[test]
fn rule_3_a_snapshot_removes_endpoints_that_it_lacks() {
    let mut world = World::new(settings());
    let members = everyone().into_iter().filter(|member| member.id != CACHES[2]).collect();
    world.tell(Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: members });
    for object in 0..100 {
        assert_ne!(world.serve(SAFE, object, CacheStatus::Hit).cache, CACHES[2]);
    }
}

/// The work sent to an endpoint, at its class's mean, with one request every `every` milliseconds.
fn cold_work(id: EndpointId, every: Ms, length: Ms) -> f64 {
    let mut world = World::new(settings());
    for object in 0..200 {
        world.serve(SAFE, object, CacheStatus::FilledByParent);
    }
    world.list(Endpoint { started_at: world.now, ..endpoint(id) });
    let before = world.sent.len();
    for object in 1000..1000 + (length / every) as u64 {
        world.pass(every);
        if let Some(sent) = world.ask(SAFE, object) {
            world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        }
    }
    let reached = |sent: &&Sent| sent.cache == id || sent.fill.is_some_and(|fill| fill.source == id);
    100.0 * world.sent[before..].iter().filter(reached).count() as f64
}

#[test]
fn rule_4_all_routers_together_do_not_overload_warming_caches_and_parents() {
    let settings = settings();
    for (id, cold, routers) in
        [(CACHES[0], settings.cache_slow_start, 2.0), (PARENTS[0], settings.parent_slow_start, 4.0)]
    {
        // A flood; each of the other routers is assumed to send as much.
        let sent = cold_work(id, 1.0, cold.overload_window) * routers;
        let mean_share =
            cold.initial_ratio + (1.0 - cold.initial_ratio) * cold.overload_window / cold.duration / 2.0;
        let bears = cold.overload_multiple * mean_share * 10.0 * cold.overload_window;
        assert!(sent > 0.0, "it is not left out either");
        assert!(sent < bears * 0.75, "{id:?}: sent {sent}, falls over at {bears}");
    }
}

/// Each of a hundred routers has a budget far below one fill; if each overdrew it as soon as the start is
/// listed, all together would overload the parent.
#[test]
fn rule_4_a_hundred_routers_do_not_overdraw_a_warming_parents_budget_at_once() {
    let routers = 100;
    let settings = Settings { routers, ..settings() };
    let cold = settings.parent_slow_start;
    let mut sent = 0.0;
    for seed in 0..u64::from(routers) {
        let mut world = World::seeded(settings.clone(), everyone(), seed);
        (0..100).for_each(|object| {
            world.serve(SAFE, object, CacheStatus::FilledByParent);
        });
        world.list(Endpoint { started_at: world.now, ..endpoint(PARENTS[0]) });
        let before = world.sent.len();
        for object in 0..30 {
            world.pass(cold.overload_window / 30.0);
            if let Some(sent) = world.ask(SAFE, 1000 + 100 * object + seed) {
                world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
            }
        }
        let from_it = |sent: &&Sent| sent.fill.is_some_and(|fill| fill.source == PARENTS[0]);
        sent += 100.0 * world.sent[before..].iter().filter(from_it).count() as f64;
    }
    let mean_share =
        cold.initial_ratio + (1.0 - cold.initial_ratio) * cold.overload_window / cold.duration / 2.0;
    let bears = cold.overload_multiple * mean_share * 10.0 * cold.overload_window;
    assert!(sent > 0.0 && sent < bears * 0.75, "sent {sent}, falls over at {bears}");
}

#[test]
fn rule_5_a_purge_limits_the_age_of_copies_until_it_is_complete() {
    let mut world = World::new(settings());
    for (object, group) in [(Some(ObjectId(4)), 0), (None, 5)] {
        world.pass(10_000.0);
        world.tell(Event::Purge { object, group, age: 300.0 });
        let mut purge_age = 300.0;
        for _ in 0..5 {
            world.pass(1000.0);
            purge_age += 1000.0;
            for class in [SAFE, FRESH] {
                let sent = world.ask(class, 4).expect("an attempt");
                let fill = sent.fill.expect("an order with an age");
                assert!(fill.max_age > 0.0 && fill.max_age < purge_age, "{} {purge_age}", fill.max_age);
                let again = world.end(sent, AttemptStatus::Rejected, None);
                let age = again.and_then(|sent| sent.fill).map_or(1.0, |fill| fill.max_age);
                assert!(age > 0.0 && age < purge_age, "a retry heeds it too");
            }
        }
    }
}

#[test]
fn rule_5_repeated_and_reordered_purges_keep_the_latest() {
    let mut world = World::new(settings());
    for ago in [200.0, 4000.0, 200.0] {
        world.tell(Event::Purge { object: Some(ObjectId(4)), group: 0, age: ago });
    }
    world.pass(100.0);
    let fill = world.ask(SAFE, 4).expect("an attempt").fill.expect("a fill");
    assert!(fill.max_age < 300.0);
}

#[test]
fn rule_5_known_copies_do_not_outlive_a_purge_or_a_restart() {
    let mut world = World::new(settings());
    let owned = world.owned(CACHES[0]);
    world.crowd(CACHES[0], &owned).expect("a cache that is less busy");
    for object in &owned[..20] {
        world.tell(Event::Purge { object: Some(ObjectId(*object)), group: 0, age: 10.0 });
    }
    assert_eq!(world.crowd(CACHES[0], &owned[..20]), None, "a miss goes to the owner");
    assert_ne!(world.crowd(CACHES[0], &owned[20..]), None);
    // It restarted long ago, so that no slow-start budget limits it.
    world.list(Endpoint { started_at: 1.0, ..endpoint(CACHES[0]) });
    assert_eq!(world.crowd(CACHES[0], &owned[20..]), None);
}
