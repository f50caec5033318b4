//! Behaviour where the endpoint list contains no capacities and outcomes report only hits.

mod common;
use common::*;
use linnethook::interface::*;

/// All endpoints, with a weight of 1 each.
fn unweighted() -> Vec<Endpoint> {
    all_endpoints().into_iter().map(|endpoint| Endpoint { weight: 1.0, ..endpoint }).collect()
}

fn settings_with(weights_unknown: bool) -> Settings {
    Settings { weights_unknown, outcome_detail: OutcomeDetail::HitsOnly, ..settings() }
}

/// The number of requests for the objects that are sent to their owner while no attempt finishes.
fn admitted(harness: &mut PolicyHarness, owner: EndpointId, objects: &[u64]) -> usize {
    let sent = objects.iter().filter_map(|&object| harness.request(IDEMPOTENT, object));
    sent.filter(|sent| sent.endpoint == owner).count()
}

/// Requests an object and finishes the attempt as a hit, with the given number of requests in flight at the
/// cache.
fn request_hit(harness: &mut PolicyHarness, object: u64, elapsed: Ms, in_flight: f64) {
    let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
    finish_as_hit(harness, sent, elapsed, in_flight);
}

fn finish_as_hit(harness: &mut PolicyHarness, sent: SentAttempt, elapsed: Ms, in_flight: f64) {
    harness.notify(Event::AttemptFinished(AttemptOutcome {
        attempt: sent.attempt,
        endpoint: sent.endpoint,
        status: AttemptStatus::Ok,
        request_finished: true,
        elapsed,
        source_wait: 0.0,
        cache_status: Some(CacheStatus::Hit),
        load_report: LoadReport { in_flight: Some(in_flight), ..LoadReport::default() },
    }));
}

/// If the meaningless weights were used, every cache would have a capacity of one transfer.
#[test]
fn a_cache_without_a_weight_has_the_default_capacity() {
    let admitted_requests = |weights_unknown: bool| {
        let mut harness = PolicyHarness::with_endpoints(settings_with(weights_unknown), unweighted());
        let objects = harness.objects_owned_by(CACHES[0]);
        admitted(&mut harness, CACHES[0], &objects)
    };
    let (known, unknown) = (admitted_requests(false), admitted_requests(true));
    assert!(unknown > 2 * known, "{unknown} admitted at unknown capacity, {known} at a capacity of 1");
}

#[test]
fn capacity_is_learned_from_how_transfers_slow_each_other_down() {
    let admitted_requests = |elapsed: Ms| {
        let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
        let objects = harness.objects_owned_by(CACHES[0]);
        (0..60).for_each(|n| {
            harness.advance(50.0);
            request_hit(&mut harness, objects[n % objects.len()], elapsed, 12.0);
        });
        harness.advance(10_000.0);
        let objects = harness.objects_owned_by(CACHES[0]);
        admitted(&mut harness, CACHES[0], &objects)
    };
    // The transfer time is 100 ms: twelve transfers at the full rate show a capacity of twelve, twelve at a
    // quarter of the rate a capacity of three.
    let (large, small) = (admitted_requests(100.0), admitted_requests(400.0));
    assert!(large > small + 5, "{large} admitted at a large cache, {small} at a small one");
}

/// Capacities in the endpoint list are used even if answers indicate other ones.
#[test]
fn listed_capacities_are_not_replaced_by_learned_ones() {
    let admitted_requests = |elapsed: Ms| {
        let mut harness = PolicyHarness::new(settings_with(false));
        let objects = harness.objects_owned_by(CACHES[0]);
        (0..60).for_each(|n| request_hit(&mut harness, objects[n % objects.len()], elapsed, 12.0));
        harness.advance(10_000.0);
        let objects = harness.objects_owned_by(CACHES[0]);
        admitted(&mut harness, CACHES[0], &objects)
    };
    assert_eq!(admitted_requests(100.0), admitted_requests(290.0));
}

/// Where outcomes do not report the cause of a failure, rejected fills from the origin show that it is sent
/// more than its maximum rate.
#[test]
fn origin_rejections_are_attributed_to_the_origin_where_only_hits_are_reported() {
    let fills = |rejecting: bool| {
        let without_parents =
            all_endpoints().into_iter().filter(|endpoint| endpoint.role != PARENT_ROLE).collect();
        let mut harness = PolicyHarness::with_endpoints(settings_with(false), without_parents);
        for object in 1000..1100 {
            harness.advance(50.0);
            let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
            let status = if rejecting { AttemptStatus::Rejected } else { AttemptStatus::Ok };
            harness.finish_after(sent, status, (!rejecting).then_some(CacheStatus::FilledByParent), 110.0);
        }
        let tried = (2000..2100).filter(|&object| {
            harness.advance(50.0);
            let Some(sent) = harness.request(IDEMPOTENT, object) else { return false };
            harness.finish_after(sent, AttemptStatus::CacheMiss, None, 10.0);
            sent.fill.is_some_and(|fill| fill.source == ORIGIN)
        });
        tried.count()
    };
    let (healthy, rejected) = (fills(false), fills(true));
    assert!(healthy > 90 && rejected < healthy / 2, "{rejected} of {healthy} still filled from the origin");
}

#[test]
fn parts_are_spread_by_capacity() {
    let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
    // The first cache sends ten parts at a time at the full rate, the others two.
    let mut count = [0; 2];
    for part in 1..3000 {
        harness.advance(20.0);
        let request = Request { part, ..harness.build_request(IDEMPOTENT, 7) };
        let Some(sent) = harness.submit(request) else { continue };
        let large = sent.endpoint == CACHES[0];
        if part > 1000 {
            count[usize::from(large)] += 1;
        }
        finish_as_hit(&mut harness, sent, if large { 100.0 } else { 200.0 }, if large { 10.0 } else { 4.0 });
    }
    let share = f64::from(count[1]) / f64::from(count[0] + count[1]);
    assert!(
        (0.6..0.8).contains(&share),
        "{share:.2} of the parts are sent to a cache with five times the capacity of the others"
    );
}

/// Another cache may still serve in time what an overloaded owner would serve too late.
#[test]
fn the_next_cache_serves_when_the_owner_is_overloaded() {
    let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
    let objects = harness.objects_owned_by(CACHES[0]);
    (0..60).for_each(|n| {
        harness.advance(50.0);
        request_hit(&mut harness, objects[n % objects.len()], 400.0, 4.0);
    });
    // The filter of known copies expires, so that siblings cannot be filled from the owner.
    harness.advance(25_000.0);
    let before = harness.sent.len();
    for &object in objects.iter().take(12) {
        harness.request(IDEMPOTENT, object);
    }
    let sent = &harness.sent[before..];
    let elsewhere = sent.iter().filter(|sent| sent.endpoint != CACHES[0]).count();
    assert!(
        sent.len() == 12 && elsewhere > 0 && harness.final_answers.is_empty(),
        "{elsewhere} of {}",
        sent.len()
    );
}

/// With equal arcs on the ring, a small cache would serve as many objects as a large one.
#[test]
fn objects_in_one_part_are_spread_by_capacity_too() {
    let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
    let owned = |harness: &mut PolicyHarness| {
        (0..400).filter(|&n| harness.serve(IDEMPOTENT, n, CacheStatus::Hit).endpoint == CACHES[0]).count()
    };
    let before = owned(&mut harness);
    for n in 0..2000 {
        harness.advance(20.0);
        let Some(sent) = harness.request(IDEMPOTENT, n % 400) else { continue };
        let small = sent.endpoint == CACHES[0];
        finish_as_hit(&mut harness, sent, if small { 200.0 } else { 100.0 }, if small { 4.0 } else { 10.0 });
    }
    // Known copies would still be requested from their caches; the filters expire here.
    harness.advance(25_000.0);
    let after = owned(&mut harness);
    assert!(
        after * 2 < before && after > 0,
        "{after} of {before} still served by a cache with a fifth of the capacity"
    );
}

/// Every second fill from the only parent is late, while the origin itself is fast.
#[test]
fn the_only_parent_is_avoided_when_slow_where_no_waits_are_reported() {
    let direct_fills = |outcome_detail: OutcomeDetail| {
        let one_parent = all_endpoints().into_iter().filter(|endpoint| endpoint.id != PARENTS[1]).collect();
        let mut harness =
            PolicyHarness::with_endpoints(Settings { outcome_detail, ..settings() }, one_parent);
        let mut direct = 0;
        for object in 1000..1400 {
            harness.advance(40.0);
            let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
            let Some(fill) = sent.fill.filter(|fill| fill.source != sent.endpoint) else {
                harness.finish_after(sent, AttemptStatus::CacheMiss, None, 10.0);
                continue;
            };
            let slow = fill.source == PARENTS[0] && object % 2 == 0;
            direct += usize::from(fill.source == ORIGIN);
            harness.finish_after(
                sent,
                AttemptStatus::Ok,
                Some(CacheStatus::FilledByParent),
                if slow { 1500.0 } else { 100.0 },
            );
        }
        direct
    };
    let (reported, unreported) = (direct_fills(OutcomeDetail::Full), direct_fills(OutcomeDetail::HitsOnly));
    assert!(
        reported == 0 && unreported > 100,
        "{reported} and {unreported} of 400 filled directly from the origin"
    );
}

/// The capacity of a new cache is unknown, and is assumed to be no larger than the smallest known one.
#[test]
fn a_warming_cache_of_unknown_capacity_counts_as_the_smallest_known_one() {
    let requests_to_new_cache = |elapsed: Ms| {
        let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
        let objects = harness.objects_owned_by(CACHES[0]);
        (0..60).for_each(|n| {
            harness.advance(50.0);
            request_hit(&mut harness, objects[n % objects.len()], elapsed, 10.0);
        });
        let new = EndpointId(15);
        harness.update_endpoint(Endpoint {
            id: new,
            weight: 1.0,
            started_at: harness.now,
            ..endpoint(CACHES[0])
        });
        let mut count = 0;
        for object in 10_000..10_600 {
            harness.advance(10.0);
            let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
            count += usize::from(sent.endpoint == new);
            harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), 100.0);
        }
        count
    };
    let (large, small) = (requests_to_new_cache(100.0), requests_to_new_cache(500.0));
    assert!(
        small > 0 && small * 3 < large * 2,
        "{small} requests sent next to a small cache, {large} next to a large one"
    );
}

/// If all parents reject fills, the cause is the origin; if only one parent does, the cause is that parent.
#[test]
fn a_parent_that_rejects_alone_is_ejected_and_parents_that_all_reject_are_not() {
    let fills_from_first_parent = |rejects: &dyn Fn(EndpointId) -> bool| {
        let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
        let (mut last, mut retries) = (0, 0);
        for object in 1000..1400 {
            harness.advance(40.0);
            let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
            let source = sent.fill.map_or(sent.endpoint, |fill| fill.source);
            last += usize::from(source == PARENTS[0] && object >= 1200);
            let rejecting = PARENTS.contains(&source) && rejects(source);
            let status = if rejecting { AttemptStatus::Rejected } else { AttemptStatus::Ok };
            if harness
                .finish_after(sent, status, (!rejecting).then_some(CacheStatus::FilledByParent), 110.0)
                .is_some()
            {
                retries += 1;
                let sent = *harness.sent.last().expect("a further attempt");
                harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 110.0);
            }
        }
        (last, retries)
    };
    let (all, retries) = fills_from_first_parent(&|_| true);
    let (alone, _) = fills_from_first_parent(&|parent| parent == PARENTS[0]);
    let (none, _) = fills_from_first_parent(&|_| false);
    assert!(alone * 4 < none, "{alone} of {none} fills still sent to the only parent that rejects");
    assert!(all > alone * 2, "{all} fills sent to one of two rejecting parents, {alone} to the only one");
    assert!(retries < 20, "{retries} retries where all parents reject");
}

/// Regression test for case hf9fdc8: the last cache of a location received all requests while it was still
/// warming up, as its unknown capacity was estimated too high.
#[test]
fn a_lone_warming_cache_is_not_overloaded_because_of_a_guessed_capacity() {
    let mut harness = PolicyHarness::with_endpoints(settings_with(true), unweighted());
    let new = EndpointId(15);
    harness.update_endpoint(Endpoint {
        id: new,
        weight: 1.0,
        started_at: harness.now,
        ..endpoint(CACHES[0])
    });
    harness.advance(11_000.0);
    CACHES
        .into_iter()
        .for_each(|id| harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) }));
    let mut work = 0.0;
    for object in 10_000..10_600 {
        harness.advance(5.0);
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        work += if sent.endpoint == new { 100.0 } else { 0.0 };
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), 100.0);
    }
    // The cache has a capacity of three and started 11 s ago, with a slow start of 15 s. This router's share
    // is half of the overload threshold.
    let slow_start = settings().cache_slow_start;
    let capacity = 3.0 * (slow_start.initial_ratio + (1.0 - slow_start.initial_ratio) * 11.0 / 15.0);
    let overload_threshold = slow_start.overload_multiple * capacity * slow_start.overload_window / 2.0;
    assert!(
        work > overload_threshold / 4.0 && work < overload_threshold,
        "{work} sent to a warming cache that is overloaded at {overload_threshold}"
    );
}
