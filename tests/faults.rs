//! Behaviour under faults, and with unusual but valid input.

mod common;

use common::*;
use linnethook::interface::*;

/// A harness that has served enough objects for all estimates and known copies to be established.
fn harness_with_known_copies() -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings());
    for object in 0..200 {
        harness.advance(20.0);
        harness.serve(IDEMPOTENT, object, CacheStatus::Hit);
    }
    harness
}

fn objects_owned_by(harness: &mut PolicyHarness, cache: EndpointId) -> Vec<u64> {
    (0..200).filter(|&n| harness.serve(IDEMPOTENT, n, CacheStatus::Hit).endpoint == cache).collect()
}

/// A cache that fails quickly has the fewest requests in flight, and would otherwise be chosen for all.
#[test]
fn a_failing_cache_is_ejected_and_recovers_by_trial_requests() {
    let mut harness = harness_with_known_copies();
    let owned = objects_owned_by(&mut harness, CACHES[0]);
    for &object in &owned[..8] {
        let mut sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        if sent.endpoint == CACHES[0] {
            sent = harness.finish(sent, AttemptStatus::Error, None).expect("a further attempt");
            assert_ne!(sent.endpoint, CACHES[0]);
        }
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
    }
    assert_ne!(
        harness.serve(IDEMPOTENT, owned[9], CacheStatus::FilledByParent).endpoint,
        CACHES[0],
        "an ejected cache receives no requests"
    );
    harness.advance(600.0);
    let trial = harness.request(IDEMPOTENT, owned[9]).expect("an attempt");
    assert_eq!(trial.endpoint, CACHES[0], "one trial at a time");
    assert_ne!(harness.request(IDEMPOTENT, owned[10]).expect("an attempt").endpoint, CACHES[0]);
    harness.finish_after(trial, AttemptStatus::Ok, Some(CacheStatus::Hit), 100.0);
    for &object in &owned[11..14] {
        assert_eq!(harness.serve(IDEMPOTENT, object, CacheStatus::Hit).endpoint, CACHES[0]);
    }
    let endpoints =
        [owned[14], owned[15]].map(|object| harness.request(IDEMPOTENT, object).map(|sent| sent.endpoint));
    assert_eq!(endpoints, [Some(CACHES[0]); 2], "the cache has recovered");
}

/// Where outcomes do not report the cause of an error, a failing parent must not lead to the ejection of all
/// caches.
#[test]
fn fill_errors_are_attributed_to_the_parent_where_caches_serve_their_copies() {
    let mut harness = PolicyHarness::new(Settings { outcome_detail: OutcomeDetail::None, ..settings() });
    for object in 0..200 {
        harness.advance(20.0);
        harness.serve(IDEMPOTENT, object, CacheStatus::Hit);
    }
    for object in 1000..1100 {
        harness.advance(20.0);
        let mut last = harness.request(IDEMPOTENT, object);
        while let Some(sent) = last {
            let failing = sent.fill.is_some_and(|fill| fill.source == PARENTS[0]);
            last = harness.finish_after(
                sent,
                if failing { AttemptStatus::Error } else { AttemptStatus::Ok },
                None,
                100.0,
            );
        }
        harness.serve(IDEMPOTENT, object % 200, CacheStatus::Hit);
    }
    assert!(harness.final_answers.len() < 10, "{} requests rejected or failed", harness.final_answers.len());
    let parents = (2000..2030)
        .map(|n| harness.serve(IDEMPOTENT, n, CacheStatus::FilledByParent).fill.expect("a fill").source);
    assert!(parents.filter(|&source| source == PARENTS[0]).count() < 5);
}

/// If all caches of a location are ejected, its requests are sent to the parents.
#[test]
fn requests_bypass_the_caches_when_all_are_ejected() {
    let endpoints_used = |may_bypass_caches| {
        let mut harness = PolicyHarness::new(Settings { may_bypass_caches, ..settings() });
        for object in 0..60 {
            harness.advance(5.0);
            let mut last = harness.request(IDEMPOTENT, object);
            while let Some(sent) = last {
                let status =
                    if CACHES.contains(&sent.endpoint) { AttemptStatus::Reset } else { AttemptStatus::Ok };
                last = harness.finish_after(sent, status, None, 100.0);
            }
        }
        (60..70)
            .filter_map(|object| harness.request(IDEMPOTENT, object))
            .map(|sent| sent.endpoint)
            .collect::<Vec<_>>()
    };
    assert!(endpoints_used(true).iter().filter(|cache| PARENTS.contains(cache)).count() > 5);
    assert_eq!(endpoints_used(false).len(), 10, "the ejected caches are used if they may not be bypassed");
}

/// A restarted cache is reachable before its restart is in the endpoint list, and would be overloaded by its
/// full load.
#[test]
fn a_cache_that_refused_connections_is_treated_as_warming_up() {
    let mut harness = harness_with_known_copies();
    let owned = objects_owned_by(&mut harness, CACHES[0]);
    for &object in owned.iter().cycle().take(100) {
        harness.advance(40.0);
        let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        match sent.endpoint == CACHES[0] {
            true => harness
                .finish(sent, AttemptStatus::ConnectFailed, None)
                .map(|sent| harness.finish(sent, AttemptStatus::CacheMiss, None)),
            false => {
                Some(harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0))
            }
        };
    }
    let to_cache = |harness: &mut PolicyHarness, length: usize| {
        let mut count = 0;
        for &object in owned.iter().cycle().take(length) {
            harness.advance(20.0);
            count += usize::from(harness.serve(IDEMPOTENT, object, CacheStatus::Hit).endpoint == CACHES[0]);
        }
        count
    };
    let (soon, later) = (to_cache(&mut harness, 150), to_cache(&mut harness, 1000));
    assert!(soon > 0 && soon < 75 && later > 500, "{soon} of 150, then {later} of 1000");
}

/// A hung or lost cache does not respond, but stays in the endpoint list for seconds.
#[test]
fn attempts_at_a_silent_cache_are_cancelled_and_retried_elsewhere() {
    let mut harness = harness_with_known_copies();
    let owned = objects_owned_by(&mut harness, CACHES[0]);
    let unanswered: Vec<SentAttempt> =
        owned[..4].iter().filter_map(|&object| harness.request(IDEMPOTENT, object)).collect();
    harness.advance(1500.0);
    assert!(
        unanswered.iter().all(|sent| harness.cancelled.contains(&sent.attempt)),
        "{:?}",
        harness.cancelled
    );
    let retried = harness.finish(unanswered[0], AttemptStatus::Cancelled, None).expect("a further attempt");
    assert_ne!(retried.endpoint, CACHES[0]);
}

/// A lost cache may also refuse connections, and is then ejected before it is considered silent. Its attempts
/// in flight must be cancelled all the same, or they would wait until their clients give up.
#[test]
fn attempts_at_a_cache_that_refuses_connections_are_cancelled_too() {
    let mut harness = harness_with_known_copies();
    let owned = objects_owned_by(&mut harness, CACHES[0]);
    let mut unanswered: Vec<SentAttempt> =
        owned[..12].iter().filter_map(|&object| harness.request(IDEMPOTENT, object)).collect();
    unanswered.retain(|sent| sent.endpoint == CACHES[0]);
    harness.advance(400.0);
    for sent in unanswered.split_off(4) {
        harness.finish(sent, AttemptStatus::ConnectFailed, None);
    }
    harness.advance(250.0);
    assert!(
        unanswered.iter().all(|sent| harness.cancelled.contains(&sent.attempt)),
        "{:?}",
        harness.cancelled
    );
}

/// Finishes fills through the parents that have waited long for the origin.
fn slow_origin(harness: &mut PolicyHarness) {
    for object in 1000..1060 {
        harness.advance(30.0);
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        if sent.fill.is_some_and(|fill| fill.only_if_cached || fill.source == sent.endpoint) {
            harness.finish(sent, AttemptStatus::CacheMiss, None);
            continue;
        }
        assert!(sent.fill.is_some_and(|fill| PARENTS.contains(&fill.source)));
        let id = sent.attempt.request;
        harness.notify(Event::AttemptFinished(AttemptOutcome {
            attempt: AttemptId { request: id, number: 0 },
            endpoint: sent.endpoint,
            status: AttemptStatus::Ok,
            request_finished: true,
            elapsed: 1500.0,
            source_wait: 1400.0,
            cache_status: Some(CacheStatus::FilledByOrigin),
            load_report: LoadReport::default(),
        }));
    }
}

/// If all caches of a location are lost, the parents must not be considered silent, or all load of the
/// location would be sent to the origin.
#[test]
fn attempts_at_silent_caches_do_not_count_against_the_parents() {
    let mut harness = harness_with_known_copies();
    for object in 1000..1030 {
        let _ = harness.request(IDEMPOTENT, object);
        harness.advance(20.0);
    }
    let before = harness.sent.len();
    for _ in 0..15 {
        harness.advance(100.0);
        for attempt in std::mem::take(&mut harness.cancelled) {
            let sent = harness.sent.iter().find(|sent| sent.attempt == attempt).copied().expect("an attempt");
            harness.finish(sent, AttemptStatus::Cancelled, None);
        }
    }
    let direct: Vec<EndpointId> = harness.sent[before..].iter().map(|sent| sent.endpoint).collect();
    assert!(direct.iter().any(|cache| PARENTS.contains(cache)), "{direct:?}");
    assert!(!direct.contains(&ORIGIN), "{direct:?}");
}

/// Parents whose slots are occupied by fills that wait for the origin reject more fills, and must not be
/// ejected for it.
#[test]
fn parents_that_reject_because_of_a_slow_origin_are_not_ejected() {
    for cache_status in [CacheStatus::SourceRejected, CacheStatus::SourceUnreachable] {
        let mut harness = harness_with_known_copies();
        slow_origin(&mut harness);
        for object in 3000..3040 {
            let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
            harness.notify(Event::AttemptFinished(AttemptOutcome {
                attempt: sent.attempt,
                endpoint: sent.endpoint,
                status: AttemptStatus::Rejected,
                request_finished: false,
                elapsed: 1900.0,
                source_wait: 1800.0,
                cache_status: Some(cache_status),
                load_report: LoadReport::default(),
            }));
        }
        let sources = (4000..4040)
            .filter_map(|object| harness.request(IDEMPOTENT, object))
            .filter_map(|sent| sent.fill);
        assert!(sources.filter(|fill| PARENTS.contains(&fill.source)).count() > 10, "{cache_status:?}");
    }
}

/// Without caches and parents, direct reads must not overload the origin until it fails.
#[test]
fn direct_reads_of_the_origin_are_limited_to_what_it_answers() {
    let removed = CACHES
        .into_iter()
        .chain(PARENTS)
        .map(|id| Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) });
    let mut harness = PolicyHarness::with_endpoints(settings(), removed.chain([endpoint(ORIGIN)]).collect());
    for object in 0..150 {
        harness.advance(150.0);
        if let Some(sent) = harness.request(IDEMPOTENT, object) {
            assert_eq!(sent.endpoint, ORIGIN);
            harness.finish(sent, AttemptStatus::TimedOut, None);
        }
    }
    let sent = (200..300).filter_map(|object| harness.request(IDEMPOTENT, object)).count();
    assert!(sent < 60, "{sent} of 100 requests are sent to an origin that does not respond");
}

/// A slow origin must not lead to the ejection of the parents, or all routers would send requests directly to
/// the origin until it fails.
#[test]
fn parents_that_wait_for_a_slow_origin_are_not_ejected() {
    let mut harness = harness_with_known_copies();
    slow_origin(&mut harness);
    let cached_only = (2000..2100)
        .filter_map(|object| harness.request(IDEMPOTENT, object))
        .filter(|sent| sent.fill.is_some_and(|fill| fill.only_if_cached && PARENTS.contains(&fill.source)));
    assert!(cached_only.count() > 20, "most misses request only a cached copy of the parents");
}

/// A failed origin cannot recover if the admitted share of misses grows faster than failures at a low request
/// rate reduce it.
#[test]
fn a_small_share_of_admitted_misses_recovers_slowly() {
    let mut harness = harness_with_known_copies();
    (0..4).for_each(|_| slow_origin(&mut harness));
    harness.advance(4000.0);
    let attempts: Vec<SentAttempt> =
        (5000..5200).filter_map(|object| harness.request(IDEMPOTENT, object)).collect();
    let cached_only =
        attempts.iter().filter(|sent| sent.fill.is_some_and(|fill| fill.only_if_cached)).count();
    assert!(
        cached_only * 100 > attempts.len() * 78,
        "{cached_only} of {} request only a cached copy",
        attempts.len()
    );
}

/// A known copy may be past its freshness lifetime, and its revalidation is load for the origin too.
#[test]
fn revalidations_count_against_a_slow_origin_too() {
    let mut harness = harness_with_known_copies();
    for object in 1000..1060 {
        harness.advance(30.0);
        harness.serve(EXPIRING, object, CacheStatus::FilledByParent);
    }
    for object in 2000..2030 {
        harness.advance(30.0);
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        harness.notify(Event::AttemptFinished(AttemptOutcome {
            attempt: sent.attempt,
            endpoint: sent.endpoint,
            status: AttemptStatus::Ok,
            request_finished: true,
            elapsed: 1500.0,
            source_wait: 1400.0,
            cache_status: Some(CacheStatus::FilledByOrigin),
            load_report: LoadReport::default(),
        }));
    }
    let attempts: Vec<SentAttempt> =
        (1000..1060).filter_map(|object| harness.request(EXPIRING, object)).collect();
    let cached_only =
        attempts.iter().filter(|sent| sent.fill.is_some_and(|fill| fill.only_if_cached)).count();
    assert!(
        cached_only > attempts.len() / 2,
        "{cached_only} of {} request only a cached copy",
        attempts.len()
    );
}

/// An attempt of a client that disconnects ends as cancelled, long before the latency objective, and must not
/// count as a late fill.
#[test]
fn disconnected_clients_do_not_reduce_the_fill_links_limit() {
    let mut harness = harness_with_known_copies();
    for wave in 0..40 {
        let abandoned: Vec<SentAttempt> =
            (0..3).filter_map(|n| harness.request(IDEMPOTENT, 1000 + wave * 10 + n)).collect();
        harness.advance(60.0);
        for sent in abandoned {
            harness.notify(Event::ClientDisconnected(sent.attempt.request));
            harness.finish_after(sent, AttemptStatus::Cancelled, None, 60.0);
        }
    }
    let fills = |sent: &SentAttempt| sent.fill.is_some_and(|fill| fill.source != sent.endpoint);
    let attempts: Vec<SentAttempt> =
        (2000..2005).filter_map(|object| harness.request(IDEMPOTENT, object)).collect();
    assert!(attempts.len() == 5 && attempts.iter().all(fills), "{attempts:?}");
}

/// Unless they are shed, late fills occupy the slots of their caches until even hits are late.
#[test]
fn late_fills_are_shed_and_hits_are_not() {
    let mut harness = harness_with_known_copies();
    for wave in 0..10 {
        let late: Vec<SentAttempt> =
            (0..6).filter_map(|n| harness.request(IDEMPOTENT, 1000 + wave * 10 + n)).collect();
        harness.advance(800.0);
        for sent in late {
            match sent.fill {
                Some(fill) if fill.source != sent.endpoint => {
                    harness.finish_after(sent, AttemptStatus::Ok, None, 800.0)
                }
                _ => harness.finish(sent, AttemptStatus::CacheMiss, None),
            };
        }
    }
    let fills = |sent: &&SentAttempt| sent.fill.is_some_and(|fill| fill.source != sent.endpoint);
    let attempts: Vec<SentAttempt> =
        (2000..2030).filter_map(|object| harness.request(IDEMPOTENT, object)).collect();
    assert!(attempts.iter().filter(fills).count() < 10, "most further fills are denied");
    assert!(!attempts.iter().all(|sent| fills(&sent)), "the other attempts request a cached copy");
    let miss = attempts.iter().find(|sent| !fills(sent)).copied().expect("an attempt without a fill");
    assert_eq!(harness.finish(miss, AttemptStatus::CacheMiss, None), None);
    assert!(
        matches!(harness.final_answers.last(), Some(Action::Reject { .. })),
        "a miss is rejected at once"
    );
}

/// Late fills of a slow parent would reduce the fill link's limit for the fills of the other parents.
#[test]
fn a_slow_parent_is_avoided_except_for_trial_requests() {
    let mut harness = harness_with_known_copies();
    for object in 1000..1200 {
        harness.advance(40.0);
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        let slow = sent.fill.is_some_and(|fill| fill.source == PARENTS[0]);
        harness.finish_after(
            sent,
            AttemptStatus::Ok,
            Some(CacheStatus::FilledByParent),
            if slow { 1500.0 } else { 100.0 },
        );
    }
    let mut sources = Vec::new();
    for object in 2000..2060 {
        let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
        sources.push(sent.fill.expect("a fill").source);
    }
    let slow = sources.iter().filter(|&&source| source == PARENTS[0]).count();
    assert!(slow < 10, "{slow} of {} fills from the slow parent", sources.len());
    let fills = sources.iter().filter(|source| PARENTS.contains(source)).count();
    assert!(fills > 50, "the fill link still admits fills from the other parent: {fills}");
}

/// An ejected parent has no late fills. Compared with it, the other parent would be considered slow because
/// of a few fills delayed by a lost cache, and all misses would be sent to the origin until it fails.
#[test]
fn a_parent_is_slow_only_relative_to_a_healthy_one() {
    let mut harness = harness_with_known_copies();
    for object in 1000..1200 {
        harness.advance(40.0);
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        let Some(fill) = sent.fill else { continue };
        if fill.source == PARENTS[0] {
            if let Some(retried) =
                harness.finish(sent, AttemptStatus::Error, Some(CacheStatus::SourceUnreachable))
            {
                harness.finish_after(retried, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
            }
        } else {
            let elapsed = if object % 5 < 2 { 1500.0 } else { 100.0 };
            harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), elapsed);
        }
    }
    let mut direct_fills = 0;
    for object in 2000..2060 {
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        direct_fills += usize::from(sent.fill.is_some_and(|fill| fill.source == ORIGIN));
        let status = if sent.fill.is_some_and(|fill| fill.source == PARENTS[0]) {
            AttemptStatus::Error
        } else {
            AttemptStatus::Ok
        };
        harness.finish_after(sent, status, None, 100.0);
    }
    assert_eq!(direct_fills, 0, "fills directly from the origin");
}

/// If each of eight routers assumed its own two requests for the other seven too, all would consider the
/// cache overloaded.
#[test]
fn two_requests_in_flight_do_not_overload_a_cache_for_eight_routers() {
    let mut harness = PolicyHarness::new(Settings { routers_by_zone: vec![0, 0, 0, 8], ..settings() });
    let part = |harness: &mut PolicyHarness| {
        let request = Request { part: 3, ..harness.build_request(IDEMPOTENT, 7) };
        harness.submit(request).expect("an attempt").endpoint
    };
    let first = part(&mut harness);
    assert!((0..3).all(|_| part(&mut harness) == first));
}

/// If each router limited only its own fills, the total would grow with the number of routers.
#[test]
fn the_fill_links_limit_counts_the_fills_of_other_routers() {
    let fills = |local_routers: u32| {
        let mut harness =
            PolicyHarness::new(Settings { routers_by_zone: vec![0, 0, 0, local_routers], ..settings() });
        (0..30).for_each(|object| {
            harness.serve(IDEMPOTENT, object, CacheStatus::FilledByParent);
        });
        let attempts = (1000..1055).filter_map(|object| {
            harness.advance(10.0);
            harness
                .request(IDEMPOTENT, object)
                .and_then(|sent| sent.fill.filter(|fill| fill.source != sent.endpoint))
        });
        attempts.count()
    };
    let (alone, eight) = (fills(1), fills(8));
    assert!(alone > 50 && eight < 48, "{alone} fills in flight with one router, {eight} with eight");
}

/// A degraded cache does not return errors, but serves its cached copies more and more slowly.
#[test]
fn a_slow_cache_serves_a_smaller_share_of_its_arc() {
    let mut harness = harness_with_known_copies();
    let owned = objects_owned_by(&mut harness, CACHES[0]);
    for object in (0..200).cycle().take(600) {
        harness.advance(20.0);
        let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        let elapsed = if sent.endpoint == CACHES[0] { 550.0 } else { 200.0 };
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), elapsed);
    }
    harness.advance(100.0);
    let mut to_cache = 0;
    for &object in &owned {
        let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        to_cache += usize::from(sent.endpoint == CACHES[0]);
        harness.finish_after(
            sent,
            AttemptStatus::Ok,
            Some(CacheStatus::Hit),
            if sent.endpoint == CACHES[0] { 550.0 } else { 200.0 },
        );
    }
    assert!(
        to_cache > 0 && to_cache < owned.len() * 8 / 10,
        "{to_cache} of {} are still served by the slow cache",
        owned.len()
    );
}

/// If half of the caches degrade, they raise the mean slowness; compared with the mean, they would keep most
/// of their arcs.
#[test]
fn when_half_of_the_caches_are_slow_they_lose_more_than_half_of_their_arcs() {
    let fourth = EndpointId(14);
    let mut endpoints = all_endpoints();
    endpoints.push(Endpoint { id: fourth, ..endpoint(CACHES[0]) });
    let mut harness = PolicyHarness::with_endpoints(settings(), endpoints);
    let slow = |sent: &SentAttempt| sent.endpoint == CACHES[0] || sent.endpoint == fourth;
    let serve = |harness: &mut PolicyHarness, object: u64, degraded: bool| {
        harness.advance(20.0);
        let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        let elapsed = if degraded && slow(&sent) { 550.0 } else { 150.0 };
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), elapsed);
        slow(&sent)
    };
    let owned: Vec<u64> = (0..200).filter(|&object| serve(&mut harness, object, false)).collect();
    (0..200).cycle().take(800).for_each(|object| {
        serve(&mut harness, object, true);
    });
    let served = owned.iter().filter(|&&object| serve(&mut harness, object, true)).count();
    assert!(
        served > 0 && served * 10 < owned.len() * 6,
        "{served} of {} are still served by the slow caches",
        owned.len()
    );
}

/// If only the fills of a degraded cache are late, the fill link is not the bottleneck.
#[test]
fn late_fills_of_a_slow_cache_do_not_reduce_the_fill_links_limit() {
    let mut harness = harness_with_known_copies();
    for object in (0..200).cycle().take(400) {
        harness.advance(20.0);
        let sent = harness.request(IDEMPOTENT, object).expect("an attempt");
        let elapsed = if sent.endpoint == CACHES[0] { 550.0 } else { 200.0 };
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::Hit), elapsed);
    }
    let fills = |sent: &SentAttempt| sent.fill.is_some_and(|fill| fill.source != sent.endpoint);
    for object in 1000..1200 {
        harness.advance(40.0);
        let Some(sent) = harness.request(IDEMPOTENT, object) else { continue };
        let elapsed = if sent.endpoint == CACHES[0] { 1500.0 } else { 200.0 };
        harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), elapsed);
    }
    let attempts: Vec<SentAttempt> =
        (2000..2030).filter_map(|object| harness.request(IDEMPOTENT, object)).collect();
    let filled = attempts.iter().filter(|sent| fills(sent)).count();
    assert!(filled > 20, "{filled} of {} are filled", attempts.len());
}

/// Retries must not multiply the load of a fault that affects all requests.
#[test]
fn retries_are_bounded_by_the_budget() {
    let mut harness = harness_with_known_copies();
    let before = harness.sent.len();
    for object in 0..300 {
        let mut last = harness.request(IDEMPOTENT, object % 100);
        while let Some(sent) = last {
            last = harness.finish(sent, AttemptStatus::Rejected, None);
        }
    }
    let sent = harness.sent.len() - before;
    assert!(sent < 300 + 20 + 60, "{sent} attempts for 300 requests");
    assert_eq!(harness.final_answers.len(), 300);
}

#[test]
fn a_write_that_was_never_executed_is_retried_after_a_backoff() {
    let mut harness = harness_with_known_copies();
    let sent = harness.request(NOT_IDEMPOTENT, 4).expect("an attempt");
    assert_eq!(
        harness.finish(sent, AttemptStatus::ConnectFailed, None),
        None,
        "the retry waits for a backoff"
    );
    harness.advance(200.0);
    let retried = harness.sent.last().copied().expect("an attempt");
    assert_eq!((retried.endpoint, retried.attempt.number), (ORIGIN, 1));
    harness.finish(retried, AttemptStatus::TimedOut, None);
    assert_eq!(harness.final_answers, [failed(sent, RejectReason::RepeatNotAllowed)]);
}

#[test]
fn a_cache_that_restarted_between_two_snapshots_is_warming_up() {
    let mut harness = harness_with_known_copies();
    let owned = objects_owned_by(&mut harness, CACHES[0]);
    let restarted = Endpoint { started_at: harness.now - 100.0, ..endpoint(CACHES[0]) };
    let endpoints =
        all_endpoints().into_iter().map(|m| if m.id == restarted.id { restarted } else { m }).collect();
    harness.notify(Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints });
    let to_cache = owned
        .iter()
        .filter(|&&object| {
            harness.serve(IDEMPOTENT, object, CacheStatus::FilledByParent).endpoint == restarted.id
        })
        .count();
    assert!(to_cache < owned.len() / 2, "it is warming up: {to_cache} of {}", owned.len());
}

#[test]
fn every_request_is_answered_without_caches_parents_or_both() {
    let without = |ids: &[EndpointId]| {
        let mut harness = PolicyHarness::new(settings());
        for &id in ids {
            harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) });
        }
        harness
    };
    let direct = without(&CACHES).request(IDEMPOTENT, 4).expect("an attempt");
    assert!(PARENTS.contains(&direct.endpoint) && direct.fill.is_some_and(|f| f.source == ORIGIN));
    let all_but_origin = [&CACHES[..], &PARENTS].concat();
    let origin = without(&all_but_origin).request(IDEMPOTENT, 4).expect("an attempt");
    assert_eq!(origin.endpoint, ORIGIN);
    let everything = [&all_but_origin[..], &[ORIGIN]].concat();
    for class in [IDEMPOTENT, EXPIRING, WITH_KEY, NOT_IDEMPOTENT, 77] {
        let mut harness = without(&everything);
        assert_eq!(harness.request(class, 4), None);
        assert_eq!(harness.final_answers.len(), 1, "class {class}");
    }
    let mut empty = PolicyHarness::with_endpoints(settings(), Vec::new());
    assert_eq!((empty.request(IDEMPOTENT, 4), empty.final_answers.len()), (None, 1));
}

/// Caches are replaced in waves: the new ones have new identifiers, are warming up and have no copies.
#[test]
fn a_large_change_of_the_endpoint_list_keeps_every_rule_and_answer() {
    let new = |id: u64, started_at: Ms| Endpoint {
        id: EndpointId(id),
        zone: LOCAL_ZONE,
        role: 0,
        started_at,
        ..endpoint(CACHES[0])
    };
    let mut harness = harness_with_known_copies();
    for wave in 0..3 {
        let (draining, id) = (CACHES[wave], 110 + wave as u64);
        let start = harness.now;
        harness.notify(Event::Endpoints {
            update: EndpointUpdate::Incremental,
            endpoints: vec![
                Endpoint { phase: EndpointPhase::Draining, ..endpoint(draining) },
                new(id, start),
            ],
        });
        harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..endpoint(PARENTS[wave % 2]) });
        let before = harness.sent.len();
        for object in 0..60 {
            harness.advance(30.0);
            if let Some(sent) = harness.request(IDEMPOTENT, object) {
                harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 100.0);
            }
        }
        let named = |sent: &SentAttempt| [Some(sent.endpoint), sent.fill.map(|fill| fill.source)];
        let named: Vec<EndpointId> = harness.sent[before..].iter().flat_map(named).flatten().collect();
        assert!(!named.is_empty() && !named.contains(&draining), "wave {wave}");
        harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..endpoint(draining) });
        harness.update_endpoint(Endpoint { started_at: harness.now, ..endpoint(PARENTS[wave % 2]) });
    }
    // One cache remains, then none, then one returns with its old identifier.
    for id in [111, 112] {
        harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..new(id, 0.0) });
    }
    harness.advance(20_000.0);
    assert_eq!(harness.request(IDEMPOTENT, 7).expect("an attempt").endpoint, EndpointId(110));
    harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..new(110, 0.0) });
    assert!(PARENTS.contains(&harness.request(IDEMPOTENT, 8).expect("an attempt").endpoint));
    let returned = new(110, harness.now);
    harness.update_endpoint(returned);
    harness.advance(20_000.0);
    assert_eq!(harness.request(IDEMPOTENT, 9).expect("an attempt").endpoint, EndpointId(110));
}

/// If a location loses its caches, or they return one by one, the limit of its fill link must not follow the
/// capacity of the remaining caches, as the link still has capacity for all of them.
#[test]
fn the_fill_links_limit_does_not_shrink_with_lost_caches() {
    let mut harness = harness_with_known_copies();
    CACHES
        .into_iter()
        .for_each(|id| harness.update_endpoint(Endpoint { phase: EndpointPhase::Removed, ..endpoint(id) }));
    for object in 1000..1010 {
        harness.advance(20.0);
        harness.serve(IDEMPOTENT, object, CacheStatus::FilledByParent);
    }
    let sent = (2000..2020).filter_map(|object| harness.request(IDEMPOTENT, object)).count();
    assert!(sent > 15, "{sent} of 20 sent");
}

#[test]
fn zero_and_missing_sizes_and_weights_are_accepted() {
    for weight in [0.0, 1.0] {
        let endpoints = all_endpoints().into_iter().map(|m| Endpoint { weight, ..m }).collect();
        let mut harness = PolicyHarness::with_endpoints(settings(), endpoints);
        for object in 0..50 {
            let request = Request { size_kb: 0.0, ..harness.build_request(IDEMPOTENT, object) };
            let sent = harness.submit(request).expect("an attempt");
            assert!(sent.timeout.is_finite() && sent.timeout > 0.0);
            harness.finish_after(sent, AttemptStatus::Ok, Some(CacheStatus::FilledByParent), 80.0);
        }
    }
    let mut harness =
        PolicyHarness::new(Settings { flow_kb_per_s: 0.0, clock_resolution: 0.0, ..settings() });
    assert!(harness.request(IDEMPOTENT, 4).is_some());
}

#[test]
fn a_restarted_router_needs_only_its_first_snapshot() {
    let mut old = harness_with_known_copies();
    let mut new = PolicyHarness::new(settings());
    for object in 0..100 {
        assert_eq!(
            old.serve(IDEMPOTENT, object, CacheStatus::Hit).endpoint,
            new.serve(IDEMPOTENT, object, CacheStatus::Hit).endpoint
        );
    }
}

#[test]
fn identical_events_give_identical_actions() {
    let run = || {
        let mut harness = PolicyHarness::new(settings());
        for object in 0..300 {
            harness.advance(7.0);
            if let Some(sent) = harness.request(IDEMPOTENT, object % 90) {
                let status = if object % 5 == 0 { AttemptStatus::Error } else { AttemptStatus::Ok };
                harness.finish_after(sent, status, Some(CacheStatus::FilledByParent), 60.0);
            }
        }
        (harness.sent, harness.final_answers, harness.cancelled)
    };
    assert_eq!(run(), run());
}
