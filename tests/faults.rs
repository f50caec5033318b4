//! Answers when things fail: each guard, and odd but legal rounds.

mod common;

use common::*;
use linnethook::interface::*;

/// Serves so many objects, that sizes, filters and gaps are known.
fn warmed() -> World {
    let mut world = World::new(settings());
    for object in 0..200 {
        world.pass(20.0);
        world.serve(SAFE, object, CacheStatus::Hit);
    }
    world
}

fn owned_by(world: &mut World, cache: EndpointId) -> Vec<u64> {
    (0..200).filter(|&n| world.serve(SAFE, n, CacheStatus::Hit).cache == cache).collect()
}

/// A fast-failing cache has the fewest requests in flight and would draw all of them.
#[test]
fn a_failing_cache_is_ejected_and_recovers_by_trial_requests() {
    let mut world = warmed();
    let owned = owned_by(&mut world, CACHES[0]);
    for &object in &owned[..8] {
        let mut sent = world.ask(SAFE, object).expect("an attempt");
        if sent.cache == CACHES[0] {
            sent = world.end(sent, AttemptStatus::Error, None).expect("a further attempt");
            assert_ne!(sent.cache, CACHES[0]);
        }
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
    }
    assert_ne!(world.serve(SAFE, owned[9], CacheStatus::FilledByParent).cache, CACHES[0], "it is left alone");
    world.pass(600.0);
    let trial = world.ask(SAFE, owned[9]).expect("an attempt");
    assert_eq!(trial.cache, CACHES[0], "one trial at a time");
    assert_ne!(world.ask(SAFE, owned[10]).expect("an attempt").cache, CACHES[0]);
    world.end_after(trial, AttemptStatus::Ok, Some(CacheStatus::Hit), 100.0);
    for &object in &owned[11..14] {
        assert_eq!(world.serve(SAFE, object, CacheStatus::Hit).cache, CACHES[0]);
    }
    let both = [owned[14], owned[15]].map(|object| world.ask(SAFE, object).map(|sent| sent.cache));
    assert_eq!(both, [Some(CACHES[0]); 2], "it is trusted again");
}

/// Where nothing is told of an error's origin, a failing parent must not take all caches out.
#[test]
fn fill_errors_are_attributed_to_the_parent_where_caches_serve_their_copies() {
    let mut world = World::new(Settings { outcome_detail: OutcomeDetail::None, ..settings() });
    for object in 0..200 {
        world.pass(20.0);
        world.serve(SAFE, object, CacheStatus::Hit);
    }
    for object in 1000..1100 {
        world.pass(20.0);
        let mut last = world.ask(SAFE, object);
        while let Some(sent) = last {
            let failing = sent.fill.is_some_and(|fill| fill.source == PARENTS[0]);
            last = world.end_after(
                sent,
                if failing { AttemptStatus::Error } else { AttemptStatus::Ok },
                None,
                100.0,
            );
        }
        world.serve(SAFE, object % 200, CacheStatus::Hit);
    }
    assert!(world.finals.len() < 10, "{} requests given up", world.finals.len());
    let parents =
        (2000..2030).map(|n| world.serve(SAFE, n, CacheStatus::FilledByParent).fill.expect("a fill").source);
    assert!(parents.filter(|&source| source == PARENTS[0]).count() < 5);
}

/// A location whose caches are all out, by the list or by what the router sees, still has its parents.
#[test]
fn requests_bypass_the_caches_when_all_are_ejected() {
    let bad = |direct| {
        let mut world = World::new(Settings { may_bypass_caches: direct, ..settings() });
        for object in 0..60 {
            world.pass(5.0);
            let mut last = world.ask(SAFE, object);
            while let Some(sent) = last {
                let status =
                    if CACHES.contains(&sent.cache) { AttemptStatus::Reset } else { AttemptStatus::Ok };
                last = world.end_after(sent, status, None, 100.0);
            }
        }
        (60..70).filter_map(|object| world.ask(SAFE, object)).map(|sent| sent.cache).collect::<Vec<_>>()
    };
    assert!(bad(true).iter().filter(|cache| PARENTS.contains(cache)).count() > 5);
    assert_eq!(bad(false).len(), 10, "where that is not allowed they are asked all the same");
}

/// A dead cache is back, cold, before the list tells of it; the whole flood would push it over.
#[test]
fn a_cache_that_refused_connections_is_treated_as_warming_up() {
    let mut world = warmed();
    let owned = owned_by(&mut world, CACHES[0]);
    for &object in owned.iter().cycle().take(100) {
        world.pass(40.0);
        let sent = world.ask(SAFE, object).expect("an attempt");
        match sent.cache == CACHES[0] {
            true => world
                .end(sent, AttemptStatus::ConnectFailed, None)
                .map(|sent| world.end(sent, AttemptStatus::CacheMiss, None)),
            false => Some(world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0)),
        };
    }
    let to_it = |world: &mut World, length: usize| {
        let mut count = 0;
        for &object in owned.iter().cycle().take(length) {
            world.pass(20.0);
            count += usize::from(world.serve(SAFE, object, CacheStatus::Hit).cache == CACHES[0]);
        }
        count
    };
    let (soon, later) = (to_it(&mut world, 150), to_it(&mut world, 1000));
    assert!(soon > 0 && soon < 75 && later > 500, "{soon} of 150, then {later} of 1000");
}

/// A hung or vanished cache answers nothing, and stays on the list for seconds.
#[test]
fn attempts_at_a_silent_cache_are_cancelled_and_retried_elsewhere() {
    let mut world = warmed();
    let owned = owned_by(&mut world, CACHES[0]);
    let stuck: Vec<Sent> = owned[..4].iter().filter_map(|&object| world.ask(SAFE, object)).collect();
    world.pass(1500.0);
    assert!(stuck.iter().all(|sent| world.cancelled.contains(&sent.attempt)), "{:?}", world.cancelled);
    let again = world.end(stuck[0], AttemptStatus::Cancelled, None).expect("a further attempt");
    assert_ne!(again.cache, CACHES[0]);
}

/// A vanished cache takes no connections either, and is out for that before its silence shows: what waits there
/// would wait for as long as its clients do.
#[test]
fn attempts_at_a_cache_that_refuses_connections_are_cancelled_too() {
    let mut world = warmed();
    let owned = owned_by(&mut world, CACHES[0]);
    let mut stuck: Vec<Sent> = owned[..12].iter().filter_map(|&object| world.ask(SAFE, object)).collect();
    stuck.retain(|sent| sent.cache == CACHES[0]);
    world.pass(400.0);
    for sent in stuck.split_off(4) {
        world.end(sent, AttemptStatus::ConnectFailed, None);
    }
    world.pass(250.0);
    assert!(stuck.iter().all(|sent| world.cancelled.contains(&sent.attempt)), "{:?}", world.cancelled);
}

/// Fills that waited long for the origin, behind parents.
fn slow_origin(world: &mut World) {
    for object in 1000..1060 {
        world.pass(30.0);
        let Some(sent) = world.ask(SAFE, object) else { continue };
        if sent.fill.is_some_and(|fill| fill.only_if_cached || fill.source == sent.cache) {
            world.end(sent, AttemptStatus::CacheMiss, None);
            continue;
        }
        assert!(sent.fill.is_some_and(|fill| PARENTS.contains(&fill.source)));
        let id = sent.attempt.request;
        world.tell(Event::AttemptFinished(AttemptOutcome {
            attempt: AttemptId { request: id, number: 0 },
            endpoint: sent.cache,
            status: AttemptStatus::Ok,
            request_finished: true,
            elapsed: 1500.0,
            source_wait: 1400.0,
            cache_status: Some(CacheStatus::FilledByOrigin),
            load_report: LoadReport::default(),
        }));
    }
}

/// A lost location must not take the parents for silent too: then all of it would go straight to the origin.
#[test]
fn attempts_at_silent_caches_do_not_count_against_the_parents() {
    let mut world = warmed();
    for object in 1000..1030 {
        let _ = world.ask(SAFE, object);
        world.pass(20.0);
    }
    let before = world.sent.len();
    for _ in 0..15 {
        world.pass(100.0);
        for attempt in std::mem::take(&mut world.cancelled) {
            let sent = world.sent.iter().find(|sent| sent.attempt == attempt).copied().expect("an attempt");
            world.end(sent, AttemptStatus::Cancelled, None);
        }
    }
    let straight: Vec<EndpointId> = world.sent[before..].iter().map(|sent| sent.cache).collect();
    assert!(straight.iter().any(|cache| PARENTS.contains(cache)), "{straight:?}");
    assert!(!straight.contains(&THE_ORIGIN), "{straight:?}");
}

/// Parents whose places are taken by what waits for the origin refuse more; they are not to be taken out.
#[test]
fn parents_that_reject_because_of_a_slow_origin_are_not_ejected() {
    for note in [CacheStatus::SourceRejected, CacheStatus::SourceUnreachable] {
        let mut world = warmed();
        slow_origin(&mut world);
        for object in 3000..3040 {
            let Some(sent) = world.ask(SAFE, object) else { continue };
            world.tell(Event::AttemptFinished(AttemptOutcome {
                attempt: sent.attempt,
                endpoint: sent.cache,
                status: AttemptStatus::Rejected,
                request_finished: false,
                elapsed: 1900.0,
                source_wait: 1800.0,
                cache_status: Some(note),
                load_report: LoadReport::default(),
            }));
        }
        let sources = (4000..4040).filter_map(|object| world.ask(SAFE, object)).filter_map(|sent| sent.fill);
        assert!(sources.filter(|fill| PARENTS.contains(&fill.source)).count() > 10, "{note:?}");
    }
}

/// Where the caches and the parents are gone, the origin must not be pushed until it stops.
#[test]
fn direct_reads_of_the_origin_are_limited_to_what_it_answers() {
    let gone = CACHES
        .into_iter()
        .chain(PARENTS)
        .map(|id| Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) });
    let mut world = World::with(settings(), gone.chain([endpoint(THE_ORIGIN)]).collect());
    for object in 0..150 {
        world.pass(150.0);
        if let Some(sent) = world.ask(SAFE, object) {
            assert_eq!(sent.cache, THE_ORIGIN);
            world.end(sent, AttemptStatus::TimedOut, None);
        }
    }
    let sent = (200..300).filter_map(|object| world.ask(SAFE, object)).count();
    assert!(sent < 60, "{sent} of 100 go on to an origin that answers none");
}

/// Without this a slow origin takes the parents out, and everybody goes straight to it until it stops.
#[test]
fn parents_that_wait_for_a_slow_origin_are_not_ejected() {
    let mut world = warmed();
    slow_origin(&mut world);
    let held = (2000..2100)
        .filter_map(|object| world.ask(SAFE, object))
        .filter(|sent| sent.fill.is_some_and(|fill| fill.only_if_cached && PARENTS.contains(&fill.source)));
    assert!(held.count() > 20, "most misses ask the parents only for what they hold");
}

/// An origin that has failed is not let recover if its share is back faster than the failures of a thin stream cut it.
#[test]
fn a_small_share_of_admitted_misses_recovers_slowly() {
    let mut world = warmed();
    (0..4).for_each(|_| slow_origin(&mut world));
    world.pass(4000.0);
    let asked: Vec<Sent> = (5000..5200).filter_map(|object| world.ask(SAFE, object)).collect();
    let held = asked.iter().filter(|sent| sent.fill.is_some_and(|fill| fill.only_if_cached)).count();
    assert!(held * 100 > asked.len() * 78, "{held} of {} ask only for what is held", asked.len());
}

/// What a filter shows may be past its fresh time; its renewals must not escape the origin's share.
#[test]
fn revalidations_count_against_a_slow_origin_too() {
    let mut world = warmed();
    for object in 1000..1060 {
        world.pass(30.0);
        world.serve(FRESH, object, CacheStatus::FilledByParent);
    }
    for object in 2000..2030 {
        world.pass(30.0);
        let Some(sent) = world.ask(SAFE, object) else { continue };
        world.tell(Event::AttemptFinished(AttemptOutcome {
            attempt: sent.attempt,
            endpoint: sent.cache,
            status: AttemptStatus::Ok,
            request_finished: true,
            elapsed: 1500.0,
            source_wait: 1400.0,
            cache_status: Some(CacheStatus::FilledByOrigin),
            load_report: LoadReport::default(),
        }));
    }
    let asked: Vec<Sent> = (1000..1060).filter_map(|object| world.ask(FRESH, object)).collect();
    let held = asked.iter().filter(|sent| sent.fill.is_some_and(|fill| fill.only_if_cached)).count();
    assert!(held > asked.len() / 2, "{held} of {} ask only for what is held", asked.len());
}

/// What clients take back ends as called off, long before it is late: it must not count as a late fill.
#[test]
fn disconnected_clients_do_not_reduce_the_fill_links_limit() {
    let mut world = warmed();
    for wave in 0..40 {
        let taken_back: Vec<Sent> = (0..3).filter_map(|n| world.ask(SAFE, 1000 + wave * 10 + n)).collect();
        world.pass(60.0);
        for sent in taken_back {
            world.tell(Event::ClientDisconnected(sent.attempt.request));
            world.end_after(sent, AttemptStatus::Cancelled, None, 60.0);
        }
    }
    let fills = |sent: &Sent| sent.fill.is_some_and(|fill| fill.source != sent.cache);
    let tried: Vec<Sent> = (2000..2005).filter_map(|object| world.ask(SAFE, object)).collect();
    assert!(tried.len() == 5 && tried.iter().all(fills), "{tried:?}");
}

/// Late fills hold the slots of their caches until even hits come late.
#[test]
fn late_fills_are_shed_and_hits_are_not() {
    let mut world = warmed();
    for wave in 0..10 {
        let late: Vec<Sent> = (0..6).filter_map(|n| world.ask(SAFE, 1000 + wave * 10 + n)).collect();
        world.pass(800.0);
        for sent in late {
            match sent.fill {
                Some(fill) if fill.source != sent.cache => {
                    world.end_after(sent, AttemptStatus::Ok, None, 800.0)
                }
                _ => world.end(sent, AttemptStatus::CacheMiss, None),
            };
        }
    }
    let fills = |sent: &&Sent| sent.fill.is_some_and(|fill| fill.source != sent.cache);
    let tried: Vec<Sent> = (2000..2030).filter_map(|object| world.ask(SAFE, object)).collect();
    assert!(tried.iter().filter(fills).count() < 10, "few new fills");
    assert!(!tried.iter().all(|sent| fills(&sent)), "the others ask for what is held");
    let miss = tried.iter().find(|sent| !fills(sent)).copied().expect("one that only asks");
    assert_eq!(world.end(miss, AttemptStatus::CacheMiss, None), None);
    assert!(matches!(world.finals.last(), Some(Action::Reject { .. })), "refused at once");
}

/// Its late fills would close the link for those of the other parents.
#[test]
fn a_slow_parent_is_avoided_except_for_trial_requests() {
    let mut world = warmed();
    for object in 1000..1200 {
        world.pass(40.0);
        let Some(sent) = world.ask(SAFE, object) else { continue };
        let slow = sent.fill.is_some_and(|fill| fill.source == PARENTS[0]);
        world.end_after(
            sent,
            AttemptStatus::Ok,
            Some(CacheStatus::FilledByParent),
            if slow { 1500.0 } else { 100.0 },
        );
    }
    let mut from = Vec::new();
    for object in 2000..2060 {
        let sent = world.ask(SAFE, object).expect("an attempt");
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        from.push(sent.fill.expect("a fill").source);
    }
    let slow = from.iter().filter(|&&source| source == PARENTS[0]).count();
    assert!(slow < 10, "{slow} of {} fills from the slow parent", from.len());
    let fills = from.iter().filter(|source| PARENTS.contains(source)).count();
    assert!(fills > 50, "the link stays open for the other: {fills}");
}

/// A parent that is out shows no late fills: beside it the other one would be slow for a few that a lost cache
/// has made late, and all misses would go to the origin until that stops.
#[test]
fn a_parent_is_slow_only_relative_to_a_healthy_one() {
    let mut world = warmed();
    for object in 1000..1200 {
        world.pass(40.0);
        let Some(sent) = world.ask(SAFE, object) else { continue };
        let Some(fill) = sent.fill else { continue };
        if fill.source == PARENTS[0] {
            if let Some(again) = world.end(sent, AttemptStatus::Error, Some(CacheStatus::SourceUnreachable)) {
                world.end_after(again, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
            }
        } else {
            let took = if object % 5 < 2 { 1500.0 } else { 100.0 };
            world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), took);
        }
    }
    let mut past = 0;
    for object in 2000..2060 {
        let Some(sent) = world.ask(SAFE, object) else { continue };
        past += usize::from(sent.fill.is_some_and(|fill| fill.source == THE_ORIGIN));
        let status = if sent.fill.is_some_and(|fill| fill.source == PARENTS[0]) {
            AttemptStatus::Error
        } else {
            AttemptStatus::Ok
        };
        world.end_after(sent, status, None, 100.0);
    }
    assert_eq!(past, 0, "fills straight from the origin");
}

/// Seven routers that each took twice what they see for what the others have would all find it crowded.
#[test]
fn two_requests_in_flight_do_not_make_a_cache_crowded_for_eight_routers() {
    let mut world = World::new(Settings { routers_by_zone: vec![0, 0, 0, 8], ..settings() });
    let part = |world: &mut World| {
        let request = Request { part: 3, ..world.request(SAFE, 7) };
        world.submit(request).expect("an attempt").cache
    };
    let first = part(&mut world);
    assert!((0..3).all(|_| part(&mut world) == first));
}

/// A limit that each router held its own fills against would let through as many times more as there are routers.
#[test]
fn the_fill_links_limit_counts_the_fills_of_other_routers() {
    let fills = |here: u32| {
        let mut world = World::new(Settings { routers_by_zone: vec![0, 0, 0, here], ..settings() });
        (0..30).for_each(|object| {
            world.serve(SAFE, object, CacheStatus::FilledByParent);
        });
        let asked = (1000..1055).filter_map(|object| {
            world.pass(10.0);
            world.ask(SAFE, object).and_then(|sent| sent.fill.filter(|fill| fill.source != sent.cache))
        });
        asked.count()
    };
    let (alone, eight) = (fills(1), fills(8));
    assert!(alone > 50 && eight < 48, "{alone} fills under way alone, {eight} with seven others");
}

/// Caches that age show no errors; what they hold comes later and later.
#[test]
fn a_slow_cache_serves_a_smaller_share_of_its_arc() {
    let mut world = warmed();
    let owned = owned_by(&mut world, CACHES[0]);
    for object in (0..200).cycle().take(600) {
        world.pass(20.0);
        let sent = world.ask(SAFE, object).expect("an attempt");
        let took = if sent.cache == CACHES[0] { 550.0 } else { 200.0 };
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), took);
    }
    world.pass(100.0);
    let mut to_it = 0;
    for &object in &owned {
        let sent = world.ask(SAFE, object).expect("an attempt");
        to_it += usize::from(sent.cache == CACHES[0]);
        world.end_after(
            sent,
            AttemptStatus::Ok,
            Some(CacheStatus::Hit),
            if sent.cache == CACHES[0] { 550.0 } else { 200.0 },
        );
    }
    assert!(to_it > 0 && to_it < owned.len() * 8 / 10, "{to_it} of {} stay with it", owned.len());
}

/// Where half of the caches age, a mean of all paces would follow them, and they would keep most of their arcs.
#[test]
fn when_half_of_the_caches_are_slow_they_lose_more_than_half_of_their_arcs() {
    let fourth = EndpointId(14);
    let mut members = everyone();
    members.push(Endpoint { id: fourth, ..endpoint(CACHES[0]) });
    let mut world = World::with(settings(), members);
    let slow = |sent: &Sent| sent.cache == CACHES[0] || sent.cache == fourth;
    let serve = |world: &mut World, object: u64, ageing: bool| {
        world.pass(20.0);
        let sent = world.ask(SAFE, object).expect("an attempt");
        let took = if ageing && slow(&sent) { 550.0 } else { 150.0 };
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), took);
        slow(&sent)
    };
    let owned: Vec<u64> = (0..200).filter(|&object| serve(&mut world, object, false)).collect();
    (0..200).cycle().take(800).for_each(|object| {
        serve(&mut world, object, true);
    });
    let kept = owned.iter().filter(|&&object| serve(&mut world, object, true)).count();
    assert!(kept > 0 && kept * 10 < owned.len() * 6, "{kept} of {} stay with them", owned.len());
}

/// Ageing caches fill late what others fill in time: the link is not what is short.
#[test]
fn late_fills_of_a_slow_cache_do_not_reduce_the_fill_links_limit() {
    let mut world = warmed();
    for object in (0..200).cycle().take(400) {
        world.pass(20.0);
        let sent = world.ask(SAFE, object).expect("an attempt");
        let took = if sent.cache == CACHES[0] { 550.0 } else { 200.0 };
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), took);
    }
    let fills = |sent: &Sent| sent.fill.is_some_and(|fill| fill.source != sent.cache);
    for object in 1000..1200 {
        world.pass(40.0);
        let Some(sent) = world.ask(SAFE, object) else { continue };
        let took = if sent.cache == CACHES[0] { 1500.0 } else { 200.0 };
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), took);
    }
    let asked: Vec<Sent> = (2000..2030).filter_map(|object| world.ask(SAFE, object)).collect();
    let filled = asked.iter().filter(|sent| fills(sent)).count();
    assert!(filled > 20, "{filled} of {} are filled", asked.len());
}

/// A trouble that fails all requests must not be multiplied by further attempts.
#[test]
fn retries_are_bounded_by_the_budget() {
    let mut world = warmed();
    let before = world.sent.len();
    for object in 0..300 {
        let mut last = world.ask(SAFE, object % 100);
        while let Some(sent) = last {
            last = world.end(sent, AttemptStatus::Rejected, None);
        }
    }
    let sent = world.sent.len() - before;
    assert!(sent < 300 + 20 + 60, "{sent} attempts for 300 requests");
    assert_eq!(world.finals.len(), 300);
}

#[test]
fn a_write_that_was_never_executed_is_retried_after_a_backoff() {
    let mut world = warmed();
    let sent = world.ask(UNSAFE, 4).expect("an attempt");
    assert_eq!(world.end(sent, AttemptStatus::ConnectFailed, None), None, "it waits for a moment");
    world.pass(200.0);
    let again = world.sent.last().copied().expect("an attempt");
    assert_eq!((again.cache, again.attempt.number), (THE_ORIGIN, 1));
    world.end(again, AttemptStatus::TimedOut, None);
    assert_eq!(world.finals, [failed(sent, RejectReason::RepeatNotAllowed)]);
}

#[test]
fn a_cache_that_restarted_between_two_snapshots_is_warming_up() {
    let mut world = warmed();
    let owned = owned_by(&mut world, CACHES[0]);
    let back = Endpoint { started_at: world.now - 100.0, ..endpoint(CACHES[0]) };
    let members = everyone().into_iter().map(|m| if m.id == back.id { back } else { m }).collect();
    world.tell(Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: members });
    let to_it = owned
        .iter()
        .filter(|&&object| world.serve(SAFE, object, CacheStatus::FilledByParent).cache == back.id)
        .count();
    assert!(to_it < owned.len() / 2, "it is cold: {to_it} of {}", owned.len());
}

#[test]
fn every_request_is_answered_without_caches_parents_or_both() {
    let gone = |ids: &[EndpointId]| {
        let mut world = World::new(settings());
        for &id in ids {
            world.list(Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) });
        }
        world
    };
    let straight = gone(&CACHES).ask(SAFE, 4).expect("an attempt");
    assert!(PARENTS.contains(&straight.cache) && straight.fill.is_some_and(|f| f.source == THE_ORIGIN));
    let all_but_origin = [&CACHES[..], &PARENTS].concat();
    let origin = gone(&all_but_origin).ask(SAFE, 4).expect("an attempt");
    assert_eq!(origin.cache, THE_ORIGIN);
    let everything = [&all_but_origin[..], &[THE_ORIGIN]].concat();
    for class in [SAFE, FRESH, KEYED, UNSAFE, 77] {
        let mut world = gone(&everything);
        assert_eq!(world.ask(class, 4), None);
        assert_eq!(world.finals.len(), 1, "class {class}");
    }
    let mut empty = World::with(settings(), Vec::new());
    assert_eq!((empty.ask(SAFE, 4), empty.finals.len()), (None, 1));
}

/// Caches taken away in waves: their replacements have new numbers, start cold, and what was kept is lost.
#[test]
fn a_large_change_of_the_endpoint_list_keeps_every_rule_and_answer() {
    let new = |id: u64, since: Ms| Endpoint {
        id: EndpointId(id),
        zone: ZONE,
        role: 0,
        started_at: since,
        ..endpoint(CACHES[0])
    };
    let mut world = warmed();
    for wave in 0..3 {
        let (leaving, id) = (CACHES[wave], 110 + wave as u64);
        let start = world.now;
        world.tell(Event::Endpoints {
            update: EndpointUpdate::Incremental,
            endpoints: vec![Endpoint { phase: EndpointPhase::Draining, ..endpoint(leaving) }, new(id, start)],
        });
        world.list(Endpoint { phase: EndpointPhase::Removed, ..endpoint(PARENTS[wave % 2]) });
        let before = world.sent.len();
        for object in 0..60 {
            world.pass(30.0);
            if let Some(sent) = world.ask(SAFE, object) {
                world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
            }
        }
        let named = |sent: &Sent| [Some(sent.cache), sent.fill.map(|fill| fill.source)];
        let named: Vec<EndpointId> = world.sent[before..].iter().flat_map(named).flatten().collect();
        assert!(!named.is_empty() && !named.contains(&leaving), "wave {wave}");
        world.list(Endpoint { phase: EndpointPhase::Removed, ..endpoint(leaving) });
        world.list(Endpoint { started_at: world.now, ..endpoint(PARENTS[wave % 2]) });
    }
    // One is left, then none, then one is back under its old number.
    for id in [111, 112] {
        world.list(Endpoint { phase: EndpointPhase::Removed, ..new(id, 0.0) });
    }
    world.pass(20_000.0);
    assert_eq!(world.ask(SAFE, 7).expect("an attempt").cache, EndpointId(110));
    world.list(Endpoint { phase: EndpointPhase::Removed, ..new(110, 0.0) });
    assert!(PARENTS.contains(&world.ask(SAFE, 8).expect("an attempt").cache));
    let back = new(110, world.now);
    world.list(back);
    world.pass(20_000.0);
    assert_eq!(world.ask(SAFE, 9).expect("an attempt").cache, EndpointId(110));
}

/// A location that lost its caches, or has them back one by one, must not hold its fills against what is left of
/// them: the link is made for all.
#[test]
fn the_fill_links_limit_does_not_shrink_with_lost_caches() {
    let mut world = warmed();
    CACHES.into_iter().for_each(|id| world.list(Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) }));
    for object in 1000..1010 {
        world.pass(20.0);
        world.serve(SAFE, object, CacheStatus::FilledByParent);
    }
    let sent = (2000..2020).filter_map(|object| world.ask(SAFE, object)).count();
    assert!(sent > 15, "{sent} of 20 sent");
}

#[test]
fn zero_and_missing_sizes_and_weights_are_accepted() {
    for weight in [0.0, 1.0] {
        let members = everyone().into_iter().map(|m| Endpoint { weight, ..m }).collect();
        let mut world = World::with(settings(), members);
        for object in 0..50 {
            let request = Request { size_kb: 0.0, ..world.request(SAFE, object) };
            let sent = world.submit(request).expect("an attempt");
            assert!(sent.timeout.is_finite() && sent.timeout > 0.0);
            world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 80.0);
        }
    }
    let mut none = World::new(Settings { flow_kb_per_s: 0.0, clock_resolution: 0.0, ..settings() });
    assert!(none.ask(SAFE, 4).is_some());
}

#[test]
fn a_restarted_router_needs_only_its_first_snapshot() {
    let mut old = warmed();
    let mut new = World::new(settings());
    for object in 0..100 {
        assert_eq!(
            old.serve(SAFE, object, CacheStatus::Hit).cache,
            new.serve(SAFE, object, CacheStatus::Hit).cache
        );
    }
}

#[test]
fn identical_events_give_identical_actions() {
    let play = || {
        let mut world = World::new(settings());
        for object in 0..300 {
            world.pass(7.0);
            if let Some(sent) = world.ask(SAFE, object % 90) {
                let status = if object % 5 == 0 { AttemptStatus::Error } else { AttemptStatus::Ok };
                world.end_after(sent, status, Some(CacheStatus::FilledByParent), 60.0);
            }
        }
        (world.sent, world.finals, world.cancelled)
    };
    assert_eq!(play(), play());
}
