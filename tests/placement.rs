//! Placement and choice of fill sources, without faults.

mod common;

use std::collections::BTreeMap;

use common::*;
use linnethook::interface::*;

#[test]
fn an_object_has_one_owner_which_caches_it_and_fills_from_a_parent() {
    let mut harness = PolicyHarness::new(settings());
    for object in 0..50 {
        let first = harness.serve(IDEMPOTENT, object, CacheStatus::FilledByParent);
        let second = harness.serve(IDEMPOTENT, object, CacheStatus::Hit);
        assert_eq!(first.endpoint, second.endpoint);
        let fill = first.fill.expect("a fill");
        assert!(CACHES.contains(&first.endpoint) && PARENTS.contains(&fill.source));
        assert!(fill.retention > 0 && !fill.only_if_cached);
    }
}

#[test]
fn owners_and_parents_are_spread_and_all_routers_agree_on_them() {
    let mut one = PolicyHarness::new(settings());
    let mut two = PolicyHarness::with_endpoints(
        Settings { routers: 3, ..settings() },
        all_endpoints().into_iter().rev().collect(),
    );
    let mut owners = BTreeMap::new();
    let mut parents = BTreeMap::new();
    for object in 0..300 {
        let a = one.serve(IDEMPOTENT, object, CacheStatus::FilledByParent);
        let b = two.serve(IDEMPOTENT, object, CacheStatus::FilledByParent);
        assert_eq!((a.endpoint, a.fill.map(|f| f.source)), (b.endpoint, b.fill.map(|f| f.source)));
        *owners.entry(a.endpoint).or_insert(0) += 1;
        *parents.entry(a.fill.expect("a fill").source).or_insert(0) += 1;
    }
    assert!(owners.len() == 3 && owners.values().all(|&n| n > 60), "{owners:?}");
    assert!(parents.len() == 2 && parents.values().all(|&n| n > 100), "{parents:?}");
}

#[test]
fn the_least_busy_sibling_serves_cached_copies_of_a_far_busier_owner() {
    let mut harness = PolicyHarness::new(settings());
    let owned = harness.objects_owned_by(CACHES[0]);
    let overflowed = harness.submit_until_overflow(CACHES[0], &owned).expect("a cache that is less busy");
    let fill = overflowed.fill.expect("a fill");
    assert_eq!((fill.source, fill.retention, fill.only_if_cached), (CACHES[0], 0, true));
    // A copy that is not known at the owner is still requested from the owner.
    let unknown = (1000..).find(|&n| {
        PolicyHarness::new(settings()).serve(IDEMPOTENT, n, CacheStatus::Hit).endpoint == CACHES[0]
    });
    assert_eq!(
        harness.request(IDEMPOTENT, unknown.expect("an object")).expect("an attempt").endpoint,
        CACHES[0]
    );
    // If the owner turns out to have no copy, the request is retried at the owner, which fills and caches it.
    let retried = harness
        .finish(overflowed, AttemptStatus::CacheMiss, Some(CacheStatus::SourceMiss))
        .expect("a further attempt");
    assert_eq!(retried.endpoint, CACHES[0]);
    assert!(retried.fill.is_some_and(|fill| PARENTS.contains(&fill.source) && fill.retention > 0));
}

#[test]
fn fills_fall_back_to_the_next_parent_and_then_to_the_origin() {
    let mut harness = PolicyHarness::new(settings());
    let first = harness.request(IDEMPOTENT, 9).expect("an attempt");
    let home = first.fill.expect("a fill").source;
    let second = harness
        .finish(first, AttemptStatus::Rejected, Some(CacheStatus::SourceUnreachable))
        .expect("a further attempt");
    let other = second.fill.expect("a fill").source;
    assert!(second.endpoint == first.endpoint && other != home && PARENTS.contains(&other));
    for parent in PARENTS {
        harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..endpoint(parent) });
    }
    let last = harness.request(IDEMPOTENT, 9).expect("an attempt");
    assert_eq!(last.fill.expect("a fill").source, ORIGIN);
}

/// Parts are spread over several holders, as a client that reads part after part uses a large share of one
/// cache's link for as long as it reads.
#[test]
fn routers_with_different_observations_agree_on_the_holders_of_parts() {
    let (mut one, mut two) = (PolicyHarness::new(settings()), PolicyHarness::new(settings()));
    (0..50).for_each(|object| {
        one.serve(IDEMPOTENT, object, CacheStatus::FilledByParent);
    });
    let holder_of = |harness: &mut PolicyHarness, part: u32| {
        let request = Request { part, ..harness.build_request(IDEMPOTENT, 7) };
        let sent = harness.submit(request).expect("an attempt");
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        sent.endpoint
    };
    let first: Vec<EndpointId> = (1..40).map(|part| holder_of(&mut one, part)).collect();
    let second: Vec<EndpointId> = (1..40).map(|part| holder_of(&mut two, part)).collect();
    assert_eq!(first, second);
    for cache in CACHES {
        let parts = first.iter().filter(|&&holder| holder == cache).count();
        assert!((6..22).contains(&parts), "{parts} of 39 parts at {cache:?}");
    }
    let repeated: Vec<EndpointId> = (1..40).map(|part| holder_of(&mut one, part)).collect();
    assert_eq!(first, repeated, "each part is requested from the cache that holds it");
    // Each router rounds the time of a purge with its own clock.
    for (harness, age) in [(&mut one, 300.0), (&mut two, 301.0)] {
        harness.notify(Event::Purge { object: Some(ObjectId(7)), group: 0, age });
    }
    for harness in [&mut one, &mut two] {
        let purged: Vec<EndpointId> = (1..40).map(|part| holder_of(harness, part)).collect();
        assert_eq!(first, purged, "holders do not depend on the time stamp of a purge");
    }
}

/// One of many routers has few requests in flight at a cache. If it assumed the same number for each of the
/// others, random variation would move parts to other caches, and to different ones for each router.
#[test]
fn a_part_keeps_its_holder_when_one_of_many_routers_has_more_requests_there() {
    let settings_for_eight_routers =
        Settings { routers_by_zone: vec![0, 0, 0, 8], sibling_fill: SiblingFill::Disabled, ..settings() };
    let mut harness = PolicyHarness::new(settings_for_eight_routers);
    let parts = |part: u32| Request { part, size_kb: 1000.0, ..harness.build_request(IDEMPOTENT, 7) };
    let requests: Vec<Request> = (1..40).map(parts).collect();
    let mut placed = Vec::new();
    for request in requests {
        let sent = harness
            .submit(Request { id: harness.build_request(IDEMPOTENT, 7).id, ..request })
            .expect("an attempt");
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        placed.extend((sent.endpoint == CACHES[0]).then_some(request));
    }
    let (last, some) = placed[..6].split_last().expect("six parts");
    for request in some {
        let sent = harness
            .submit(Request { id: harness.build_request(IDEMPOTENT, 7).id, ..*request })
            .expect("an attempt");
        assert_eq!(sent.endpoint, CACHES[0]);
    }
    harness.advance(2_000.0);
    let sent =
        harness.submit(Request { id: harness.build_request(IDEMPOTENT, 7).id, ..*last }).expect("an attempt");
    assert_eq!(sent.endpoint, CACHES[0]);
}

/// Each of many routers has few requests in flight, so that overflow must not require a fixed number of them.
#[test]
fn sibling_overflow_is_relative_to_a_routers_share_of_the_owner() {
    let requests_until_overflow = |local_routers: u32| {
        let mut harness =
            PolicyHarness::new(Settings { routers_by_zone: vec![0, 0, 0, local_routers], ..settings() });
        let owned = harness.objects_owned_by(CACHES[0]);
        let before = harness.sent.len();
        harness.submit_until_overflow(CACHES[0], &owned).expect("a cache that is less busy");
        harness.sent.len() - before
    };
    let (few, many) = (requests_until_overflow(1), requests_until_overflow(8));
    assert!(
        many <= 4 && few >= 3 * many,
        "overflow after {few} requests with one router, after {many} with eight"
    );
}

#[test]
fn cached_copies_are_learned_from_fills_where_hits_are_not_reported() {
    let mut harness = PolicyHarness::new(Settings { outcome_detail: OutcomeDetail::None, ..settings() });
    let owned = harness.objects_owned_by(CACHES[1]);
    let overflowed = harness.submit_until_overflow(CACHES[1], &owned).expect("a cache that is less busy");
    assert_eq!(overflowed.fill.expect("a fill").source, CACHES[1]);
}

/// During a migration of fill sources, an object's hash selects the list that applies. Endpoints that are not
/// in the list are not used, and priorities take precedence over hashes.
#[test]
fn fills_follow_the_fill_sources_of_their_cache() {
    let mut harness = PolicyHarness::new(settings());
    let source = |endpoint, priority| FillSource { endpoint, priority };
    let (current, previous) = (vec![source(PARENTS[1], 0), source(ORIGIN, 9)], vec![source(PARENTS[0], 0)]);
    for migrated_ratio in [0.0, 0.4, 1.0] {
        let sources = Some(FillSources {
            current: current.clone(),
            previous: previous.clone(),
            migrated_ratio,
            salt: 3,
        });
        CACHES
            .into_iter()
            .for_each(|cache| harness.notify(Event::FillSources { cache, sources: sources.clone() }));
        let sources: Vec<EndpointId> = (0..400u64)
            .filter_map(|object| {
                let sent = harness.request(IDEMPOTENT, object)?;
                harness.finish(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent));
                sent.fill.map(|fill| fill.source)
            })
            .collect();
        let migrated = sources.iter().filter(|source| **source == PARENTS[1]).count() as f64;
        assert!((migrated / 400.0 - migrated_ratio).abs() < 0.08, "{migrated} of 400 for {migrated_ratio}");
        assert!(sources.iter().all(|source| PARENTS.contains(source)));
    }
    // While the first source drains, the next one by priority is used, and not a parent that is no longer a
    // source.
    harness.update_endpoint(Endpoint { phase: EndpointPhase::Draining, ..endpoint(PARENTS[1]) });
    let sent = harness.request(IDEMPOTENT, 7).expect("an attempt");
    assert_eq!(sent.fill.map(|fill| fill.source), Some(ORIGIN));
    harness.finish(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByOrigin));
    CACHES.into_iter().for_each(|cache| harness.notify(Event::FillSources { cache, sources: None }));
    let sent = harness.request(IDEMPOTENT, 500).expect("an attempt");
    assert_eq!(sent.fill.map(|fill| fill.source), Some(PARENTS[0]));
}
