//! The ordinary path, as the design has it.

mod common;

use std::collections::BTreeMap;

use common::*;
use linnethook::interface::*;

#[test]
fn an_object_has_one_owner_which_caches_it_and_fills_from_a_parent() {
    let mut world = World::new(settings());
    for object in 0..50 {
        let first = world.serve(SAFE, object, CacheStatus::FilledByParent);
        let again = world.serve(SAFE, object, CacheStatus::Hit);
        assert_eq!(first.cache, again.cache);
        let fill = first.fill.expect("a fill");
        assert!(CACHES.contains(&first.cache) && PARENTS.contains(&fill.source));
        assert!(fill.retention > 0 && !fill.only_if_cached);
    }
}

#[test]
fn owners_and_parents_are_spread_and_all_routers_agree_on_them() {
    let mut one = World::new(settings());
    let mut two = World::with(Settings { routers: 3, ..settings() }, everyone().into_iter().rev().collect());
    let mut owners = BTreeMap::new();
    let mut parents = BTreeMap::new();
    for object in 0..300 {
        let a = one.serve(SAFE, object, CacheStatus::FilledByParent);
        let b = two.serve(SAFE, object, CacheStatus::FilledByParent);
        assert_eq!((a.cache, a.fill.map(|f| f.source)), (b.cache, b.fill.map(|f| f.source)));
        *owners.entry(a.cache).or_insert(0) += 1;
        *parents.entry(a.fill.expect("a fill").source).or_insert(0) += 1;
    }
    assert!(owners.len() == 3 && owners.values().all(|&n| n > 60), "{owners:?}");
    assert!(parents.len() == 2 && parents.values().all(|&n| n > 100), "{parents:?}");
}

#[test]
fn the_least_busy_sibling_serves_cached_copies_of_a_far_busier_owner() {
    let mut world = World::new(settings());
    let owned = world.owned(CACHES[0]);
    let handed = world.crowd(CACHES[0], &owned).expect("a cache that is less busy");
    let fill = handed.fill.expect("a fill");
    assert_eq!((fill.source, fill.retention, fill.only_if_cached), (CACHES[0], 0, true));
    // What the filter lacks goes to the owner all the same.
    let unknown =
        (1000..).find(|&n| World::new(settings()).serve(SAFE, n, CacheStatus::Hit).cache == CACHES[0]);
    assert_eq!(world.ask(SAFE, unknown.expect("an object")).expect("an attempt").cache, CACHES[0]);
    // If the owner turns out not to hold it, the request is tried again at the owner, which keeps it.
    let retried = world
        .end(handed, AttemptStatus::CacheMiss, Some(CacheStatus::SourceMiss))
        .expect("a further attempt");
    assert_eq!(retried.cache, CACHES[0]);
    assert!(retried.fill.is_some_and(|fill| PARENTS.contains(&fill.source) && fill.retention > 0));
}

#[test]
fn fills_fall_back_to_the_next_parent_and_then_to_the_origin() {
    let mut world = World::new(settings());
    let first = world.ask(SAFE, 9).expect("an attempt");
    let home = first.fill.expect("a fill").source;
    let second = world
        .end(first, AttemptStatus::Rejected, Some(CacheStatus::SourceUnreachable))
        .expect("a further attempt");
    let other = second.fill.expect("a fill").source;
    assert!(second.cache == first.cache && other != home && PARENTS.contains(&other));
    for parent in PARENTS {
        world.list(Endpoint { phase: EndpointPhase::Removed, ..endpoint(parent) });
    }
    let last = world.ask(SAFE, 9).expect("an attempt");
    assert_eq!(last.fill.expect("a fill").source, THE_ORIGIN);
}

/// One viewer of an object in parts takes a good part of its owner's link for as long as it lasts.
#[test]
fn routers_with_different_observations_agree_on_the_holders_of_parts() {
    let (mut one, mut two) = (World::new(settings()), World::new(settings()));
    (0..50).for_each(|object| {
        one.serve(SAFE, object, CacheStatus::FilledByParent);
    });
    let place = |world: &mut World, part: u32| {
        let request = Request { part, ..world.request(SAFE, 7) };
        let sent = world.submit(request).expect("an attempt");
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        sent.cache
    };
    let first: Vec<EndpointId> = (1..40).map(|part| place(&mut one, part)).collect();
    let second: Vec<EndpointId> = (1..40).map(|part| place(&mut two, part)).collect();
    assert_eq!(first, second);
    for cache in CACHES {
        let parts = first.iter().filter(|&&holder| holder == cache).count();
        assert!((6..22).contains(&parts), "{parts} of 39 parts at {cache:?}");
    }
    let again: Vec<EndpointId> = (1..40).map(|part| place(&mut one, part)).collect();
    assert_eq!(first, again, "each part stays where it was kept");
    // Each router rounds the time of a purge by its own clock.
    for (world, ago) in [(&mut one, 300.0), (&mut two, 301.0)] {
        world.tell(Event::Purge { object: Some(ObjectId(7)), group: 0, age: ago });
    }
    for world in [&mut one, &mut two] {
        let purged: Vec<EndpointId> = (1..40).map(|part| place(world, part)).collect();
        assert_eq!(first, purged, "also after a purge of which they were told with another stamp");
    }
}

/// One router of many sees little of a cache. If it took that for what each of the others sees, chance would send
/// parts to other caches, and each router's to another one.
#[test]
fn a_part_keeps_its_holder_when_one_of_many_routers_has_more_requests_there() {
    let many =
        Settings { routers_by_zone: vec![0, 0, 0, 8], sibling_fill: SiblingFill::Disabled, ..settings() };
    let mut world = World::new(many);
    let parts = |part: u32| Request { part, size_kb: 1000.0, ..world.request(SAFE, 7) };
    let requests: Vec<Request> = (1..40).map(parts).collect();
    let mut dealt = Vec::new();
    for request in requests {
        let sent = world.submit(Request { id: world.request(SAFE, 7).id, ..request }).expect("an attempt");
        world.end_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        dealt.extend((sent.cache == CACHES[0]).then_some(request));
    }
    let (last, some) = dealt[..6].split_last().expect("six parts");
    for request in some {
        let sent = world.submit(Request { id: world.request(SAFE, 7).id, ..*request }).expect("an attempt");
        assert_eq!(sent.cache, CACHES[0]);
    }
    world.pass(2_000.0);
    let sent = world.submit(Request { id: world.request(SAFE, 7).id, ..*last }).expect("an attempt");
    assert_eq!(sent.cache, CACHES[0]);
}

/// With many routers each has few requests in flight: the overflow must not wait for a number of them.
#[test]
fn sibling_overflow_is_relative_to_a_routers_share_of_the_owner() {
    let handed_after = |here: u32| {
        let mut world = World::new(Settings { routers_by_zone: vec![0, 0, 0, here], ..settings() });
        let owned = world.owned(CACHES[0]);
        let before = world.sent.len();
        world.crowd(CACHES[0], &owned).expect("a cache that is less busy");
        world.sent.len() - before
    };
    let (few, many) = (handed_after(1), handed_after(8));
    assert!(many <= 4 && few >= 3 * many, "handed on at {few} with one router, at {many} with eight");
}

#[test]
fn cached_copies_are_learnt_from_fills_where_hits_are_not_reported() {
    let mut world = World::new(Settings { outcome_detail: OutcomeDetail::None, ..settings() });
    let owned = world.owned(CACHES[1]);
    let handed = world.crowd(CACHES[1], &owned).expect("a cache that is less busy");
    assert_eq!(handed.fill.expect("a fill").source, CACHES[1]);
}

/// In the course of a change an object's hash says by which list its fills run; what is not listed is no source,
/// and ranks come before hashes.
#[test]
fn fills_follow_the_fill_sources_of_their_cache() {
    let mut world = World::new(settings());
    let feed = |source, rank| FillSource { endpoint: source, priority: rank };
    let (now, before) = (vec![feed(PARENTS[1], 0), feed(THE_ORIGIN, 9)], vec![feed(PARENTS[0], 0)]);
    for part in [0.0, 0.4, 1.0] {
        let feeds = Some(FillSources {
            current: now.clone(),
            previous: before.clone(),
            migrated_ratio: part,
            salt: 3,
        });
        CACHES.into_iter().for_each(|cache| world.tell(Event::FillSources { cache, sources: feeds.clone() }));
        let sources: Vec<EndpointId> = (0..400u64)
            .filter_map(|object| {
                let sent = world.ask(SAFE, object)?;
                world.end(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent));
                sent.fill.map(|fill| fill.source)
            })
            .collect();
        let gone_over = sources.iter().filter(|source| **source == PARENTS[1]).count() as f64;
        assert!((gone_over / 400.0 - part).abs() < 0.08, "{gone_over} for {part}");
        assert!(sources.iter().all(|source| PARENTS.contains(source)));
    }
    // The first of the list drains: the next by rank, and not the parent that is no source any more.
    world.list(Endpoint { phase: EndpointPhase::Draining, ..endpoint(PARENTS[1]) });
    let sent = world.ask(SAFE, 7).expect("an attempt");
    assert_eq!(sent.fill.map(|fill| fill.source), Some(THE_ORIGIN));
    world.end(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByOrigin));
    CACHES.into_iter().for_each(|cache| world.tell(Event::FillSources { cache, sources: None }));
    let sent = world.ask(SAFE, 500).expect("an attempt");
    assert_eq!(sent.fill.map(|fill| fill.source), Some(PARENTS[0]));
}
