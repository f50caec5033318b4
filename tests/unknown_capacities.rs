//! Another layout: a list without weights, outcomes that tell only hits.

mod common;
use common::*;
use linnethook::interface::*;

/// The list says 1 of every server.
fn unweighted() -> Vec<Endpoint> {
    everyone().into_iter().map(|member| Endpoint { weight: 1.0, ..member }).collect()
}

fn layout(unweighted: bool) -> Settings {
    Settings { weights_unknown: unweighted, outcome_detail: OutcomeDetail::HitsOnly, ..settings() }
}

/// How many objects of one owner are taken while none of them ends.
fn taken(world: &mut World, owner: EndpointId, objects: &[u64]) -> usize {
    let sent = objects.iter().filter_map(|&object| world.ask(SAFE, object));
    sent.filter(|sent| sent.cache == owner).count()
}

/// A hit ends with so many requests in hand there.
fn hit(world: &mut World, object: u64, took: Ms, in_hand: f64) {
    let sent = world.ask(SAFE, object).expect("an attempt");
    end_hit(world, sent, took, in_hand);
}

fn end_hit(world: &mut World, sent: Sent, took: Ms, in_hand: f64) {
    world.tell(Event::AttemptFinished(AttemptOutcome {
        attempt: sent.attempt,
        endpoint: sent.cache,
        status: AttemptStatus::Ok,
        request_finished: true,
        elapsed: took,
        source_wait: 0.0,
        cache_status: Some(CacheStatus::Hit),
        load_report: LoadReport { in_flight: Some(in_hand), ..LoadReport::default() },
    }));
}

/// Weights that tell nothing would make every cache one transfer wide.
#[test]
fn a_cache_without_a_weight_has_the_default_capacity() {
    let crowd = |unweighted_list: bool| {
        let mut world = World::with(layout(unweighted_list), unweighted());
        let objects = world.owned(CACHES[0]);
        taken(&mut world, CACHES[0], &objects)
    };
    let (told, untold) = (crowd(false), crowd(true));
    assert!(untold > 2 * told, "{untold} taken by a cache of unknown size, {told} by one of size 1");
}

#[test]
fn capacity_is_learnt_from_how_transfers_slow_each_other() {
    let crowd = |took: Ms| {
        let mut world = World::with(layout(true), unweighted());
        let objects = world.owned(CACHES[0]);
        (0..60).for_each(|n| {
            world.pass(50.0);
            hit(&mut world, objects[n % objects.len()], took, 12.0);
        });
        world.pass(10_000.0);
        let objects = world.owned(CACHES[0]);
        taken(&mut world, CACHES[0], &objects)
    };
    // 100 ms of sending: twelve at full pace are twelve wide, twelve at a quarter of it three.
    let (wide, narrow) = (crowd(100.0), crowd(400.0));
    assert!(wide > narrow + 5, "{wide} taken by a wide cache, {narrow} by a narrow one");
}

/// Sizes that are told count as before, whatever the answers show.
#[test]
fn listed_capacities_are_not_replaced_by_learnt_ones() {
    let crowd = |took: Ms| {
        let mut world = World::new(layout(false));
        let objects = world.owned(CACHES[0]);
        (0..60).for_each(|n| hit(&mut world, objects[n % objects.len()], took, 12.0));
        world.pass(10_000.0);
        let objects = world.owned(CACHES[0]);
        taken(&mut world, CACHES[0], &objects)
    };
    assert_eq!(crowd(100.0), crowd(290.0));
}

/// Where notes say nothing of failures, the origin's refusals show that more than its rate is asked of it.
#[test]
fn origin_rejections_are_attributed_to_the_origin_where_only_hits_are_reported() {
    let fills = |refused: bool| {
        let no_parents = everyone().into_iter().filter(|member| member.role != PARENT).collect();
        let mut world = World::with(layout(false), no_parents);
        for object in 1000..1100 {
            world.pass(50.0);
            let Some(sent) = world.ask(SAFE, object) else { continue };
            let status = if refused { AttemptStatus::Rejected } else { AttemptStatus::Ok };
            world.end_after(sent, status, (!refused).then_some(CacheStatus::FilledByParent), 110.0);
        }
        let tried = (2000..2100).filter(|&object| {
            world.pass(50.0);
            let Some(sent) = world.ask(SAFE, object) else { return false };
            world.end_after(sent, AttemptStatus::CacheMiss, None, 10.0);
            sent.fill.is_some_and(|fill| fill.source == THE_ORIGIN)
        });
        tried.count()
    };
    let (sound, refusing) = (fills(false), fills(true));
    assert!(sound > 90 && refusing < sound / 2, "{refusing} of {sound} still filled from the origin");
}

#[test]
fn parts_are_spread_by_capacity() {
    let mut world = World::with(layout(true), unweighted());
    // Part after part, the first cache sends ten at full pace, the others two.
    let mut count = [0; 2];
    for part in 1..3000 {
        world.pass(20.0);
        let request = Request { part, ..world.request(SAFE, 7) };
        let Some(sent) = world.submit(request) else { continue };
        let wide = sent.cache == CACHES[0];
        if part > 1000 {
            count[usize::from(wide)] += 1;
        }
        end_hit(&mut world, sent, if wide { 100.0 } else { 200.0 }, if wide { 10.0 } else { 4.0 });
    }
    let share = f64::from(count[1]) / f64::from(count[0] + count[1]);
    assert!(
        (0.6..0.8).contains(&share),
        "{share:.2} of the parts go to a cache five times as wide as each other"
    );
}

/// What its owner would send too late another cache may still send in time.
#[test]
fn the_next_cache_serves_when_the_owner_is_too_crowded() {
    let mut world = World::with(layout(true), unweighted());
    let objects = world.owned(CACHES[0]);
    (0..60).for_each(|n| {
        world.pass(50.0);
        hit(&mut world, objects[n % objects.len()], 400.0, 4.0);
    });
    // Its filter forgets: none of these can be filled from it.
    world.pass(25_000.0);
    let before = world.sent.len();
    for &object in objects.iter().take(12) {
        world.ask(SAFE, object);
    }
    let sent = &world.sent[before..];
    let stood_in = sent.iter().filter(|sent| sent.cache != CACHES[0]).count();
    assert!(sent.len() == 12 && stood_in > 0 && world.finals.is_empty(), "{stood_in} of {}", sent.len());
}

/// A ring with as many points for each would give a narrow cache as much as a wide one.
#[test]
fn objects_in_one_part_are_spread_by_capacity_too() {
    let mut world = World::with(layout(true), unweighted());
    let owned = |world: &mut World| {
        (0..400).filter(|&n| world.serve(SAFE, n, CacheStatus::Hit).cache == CACHES[0]).count()
    };
    let before = owned(&mut world);
    for n in 0..2000 {
        world.pass(20.0);
        let Some(sent) = world.ask(SAFE, n % 400) else { continue };
        let narrow = sent.cache == CACHES[0];
        end_hit(&mut world, sent, if narrow { 200.0 } else { 100.0 }, if narrow { 4.0 } else { 10.0 });
    }
    // What a filter shows stays where it is held; here all has been forgotten.
    world.pass(25_000.0);
    let after = owned(&mut world);
    assert!(after * 2 < before && after > 0, "{after} of {before} stay with a cache a fifth as wide");
}

/// The last parent that is up answers every second fill late; the origin itself is quick.
#[test]
fn the_only_parent_is_avoided_when_slow_where_no_waits_are_reported() {
    let to_origin = |tells: OutcomeDetail| {
        let one_parent = everyone().into_iter().filter(|member| member.id != PARENTS[1]).collect();
        let mut world = World::with(Settings { outcome_detail: tells, ..settings() }, one_parent);
        let mut past = 0;
        for object in 1000..1400 {
            world.pass(40.0);
            let Some(sent) = world.ask(SAFE, object) else { continue };
            let Some(fill) = sent.fill.filter(|fill| fill.source != sent.cache) else {
                world.end_after(sent, AttemptStatus::CacheMiss, None, 10.0);
                continue;
            };
            let slow = fill.source == PARENTS[0] && object % 2 == 0;
            past += usize::from(fill.source == THE_ORIGIN);
            world.end_after(
                sent,
                AttemptStatus::Ok,
                Some(CacheStatus::FilledByParent),
                if slow { 1500.0 } else { 100.0 },
            );
        }
        past
    };
    let (told, untold) = (to_origin(OutcomeDetail::Full), to_origin(OutcomeDetail::HitsOnly));
    assert!(told == 0 && untold > 100, "{told} and {untold} of 400 filled straight from the origin");
}

/// What a cache that has just come can send is not known; it is asked for no more than the least known one could bear.
#[test]
fn a_warming_cache_of_unknown_capacity_counts_as_the_smallest_known_one() {
    let asked = |took: Ms| {
        let mut world = World::with(layout(true), unweighted());
        let objects = world.owned(CACHES[0]);
        (0..60).for_each(|n| {
            world.pass(50.0);
            hit(&mut world, objects[n % objects.len()], took, 10.0);
        });
        let new = EndpointId(15);
        world.list(Endpoint { id: new, weight: 1.0, started_at: world.now, ..endpoint(CACHES[0]) });
        let mut count = 0;
        for object in 10_000..10_600 {
            world.pass(10.0);
            let Some(sent) = world.ask(SAFE, object) else { continue };
            count += usize::from(sent.cache == new);
            world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), 100.0);
        }
        count
    };
    let (wide, narrow) = (asked(100.0), asked(500.0));
    assert!(
        narrow > 0 && narrow * 3 < wide * 2,
        "{narrow} asked beside a narrow cache, {wide} beside a wide one"
    );
}

/// Fills that all parents refuse are refused behind them; what one refuses alone is its own doing.
#[test]
fn a_parent_that_rejects_alone_is_ejected_and_parents_that_all_reject_are_not() {
    let asked_of_first = |refuses: &dyn Fn(EndpointId) -> bool| {
        let mut world = World::with(layout(true), unweighted());
        let (mut last, mut again) = (0, 0);
        for object in 1000..1400 {
            world.pass(40.0);
            let Some(sent) = world.ask(SAFE, object) else { continue };
            let source = sent.fill.map_or(sent.cache, |fill| fill.source);
            last += usize::from(source == PARENTS[0] && object >= 1200);
            let bad = PARENTS.contains(&source) && refuses(source);
            let status = if bad { AttemptStatus::Rejected } else { AttemptStatus::Ok };
            if world.end_after(sent, status, (!bad).then_some(CacheStatus::FilledByParent), 110.0).is_some() {
                again += 1;
                let sent = *world.sent.last().expect("it was sent again");
                world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 110.0);
            }
        }
        (last, again)
    };
    let (all, again) = asked_of_first(&|_| true);
    let (alone, _) = asked_of_first(&|parent| parent == PARENTS[0]);
    let (none, _) = asked_of_first(&|_| false);
    assert!(alone * 4 < none, "{alone} of {none} still asked of a parent that refuses alone");
    assert!(all > alone * 2, "{all} asked of one of two that refuse, {alone} of one alone");
    assert!(again < 20, "{again} tried again where all refuse");
}

/// hf9fdc8: the last cache of a location, still cold, got the work of all, saved up, by a size of 5 that it did not have.
#[test]
fn a_lone_warming_cache_is_not_overloaded_because_of_a_guessed_capacity() {
    let mut world = World::with(layout(true), unweighted());
    let new = EndpointId(15);
    world.list(Endpoint { id: new, weight: 1.0, started_at: world.now, ..endpoint(CACHES[0]) });
    world.pass(11_000.0);
    CACHES.into_iter().for_each(|id| world.list(Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) }));
    let mut work = 0.0;
    for object in 10_000..10_600 {
        world.pass(5.0);
        let Some(sent) = world.ask(SAFE, object) else { continue };
        work += if sent.cache == new { 100.0 } else { 0.0 };
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), 100.0);
    }
    // Three transfers wide, 11 s of 15 after its start: half of what makes it fall over is this router's part.
    let cold = settings().cache_slow_start;
    let capacity = 3.0 * (cold.initial_ratio + (1.0 - cold.initial_ratio) * 11.0 / 15.0);
    let most = cold.overload_multiple * capacity * cold.overload_window / 2.0;
    assert!(work > most / 4.0 && work < most, "{work} asked of a cold cache that falls over at {most}");
}
