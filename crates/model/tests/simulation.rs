//! Runs of the simulated fleet: how requests end, what they cost, and that runs with the same seed are
//! identical.

use linnethook_model::baselines::RoutingPolicy;
use linnethook_model::demand::DemandConfig;
use linnethook_model::plan::{HierarchyPlan, LinkFault, SitesPlan};
use linnethook_model::simulation::{Fault, Plan, Simulation, Statistics};
use linnethook_testbed::checker::Rule;
use linnethook_testbed::recording::RecordedEvent;

fn run(plan: &Plan) -> Statistics {
    Simulation::new(plan.clone()).expect("valid demand").run()
}

#[test]
fn normal_load_is_served_and_runs_are_reproducible() {
    let plan = Plan { seconds: 20.0, ..Plan::default() };
    let (one, other) = (run(&plan), run(&plan));
    assert_eq!(one, other);
    let requests: u32 = one.requests.iter().sum();
    let answered: u32 = [&one.in_time, &one.late, &one.rejected, &one.failed].into_iter().flatten().sum();
    println!(
        "{requests} requests, {:.4} in time, {} events, {} hits",
        one.in_time_share(),
        one.events,
        one.hits
    );
    assert!(one.in_time_share() > 0.95, "{}", one.in_time_share());
    assert_eq!(requests, answered, "every request ends once");
    assert!(run(&Plan { seed: 2, ..plan }) != one);
}

/// A cache crashes under load and restarts cold: its requests go to other caches, and most requests are still
/// served in time.
#[test]
fn cache_crash_has_little_effect() {
    let faults = vec![
        (8.0, Fault::Crash(0)),
        (9.0, Fault::Silent(5, true)),
        (12.0, Fault::Silent(5, false)),
        (14.0, Fault::Start(0)),
    ];
    let statistics = run(&Plan { seconds: 25.0, faults, ..Plan::default() });
    println!("{:.4} in time, origin {:?}", statistics.in_time_share(), statistics.origin_requests);
    assert!(statistics.in_time_share() > 0.85, "{}", statistics.in_time_share());
}

/// The load exceeds the links to the hub, and half of the caches restart at once. The decision module rejects
/// requests that would be late and serves the rest; the simple policies congest, and crash the servers that
/// restart cold.
#[test]
fn decision_module_outperforms_simple_policies_under_overload() {
    let restarts = (0..16).step_by(2).flat_map(|n| [(7.0, Fault::Crash(n)), (7.05, Fault::Start(n))]);
    let (locations, caches, rate) = (2, 8, 320.0);
    let (cache_link, location_link) = (5e6, 5e6);
    let (cache_throughput, parent_throughput) = (rate / 8.0, rate);
    let faults: Vec<(f64, Fault)> = restarts.collect();
    let plan = Plan {
        locations,
        caches,
        rate,
        cache_link,
        location_link,
        cache_throughput,
        parent_throughput,
        faults,
        seconds: 12.0,
        ..Plan::default()
    };
    let mut shares = Vec::new();
    for policy in RoutingPolicy::ALL {
        let statistics = run(&Plan { routing_policy: policy, ..plan.clone() });
        println!(
            "{}: {:.4} in time, {} crashes",
            policy.name(),
            statistics.in_time_share(),
            statistics.crashes
        );
        shares.push((statistics.in_time_share(), statistics.crashes));
    }
    let best = shares[1..].iter().map(|(share, _)| *share).fold(0.0, f64::max);
    assert!(shares[0].0 > best + 0.2 && shares[0].1 == 0, "{shares:?}");
}

/// A plan with many faults, bookings, sessions of two parts, cold starts and an origin that crashes under
/// overload.
fn plan_with_faults(seed: u64, routing_policy: RoutingPolicy) -> Plan {
    let plan = Plan {
        seed,
        routing_policy,
        booking_share: 0.05,
        parts: 2,
        load_report_interval: 250.0,
        cache_throughput: 120.0,
        parent_throughput: 400.0,
        origin_crash_limit: 400,
        seconds: 16.0,
        rate: 120.0,
        ..Plan::default()
    };
    let faults = plan.random_faults(seed, 6, 3.0..12.0);
    Plan { faults, ..plan }
}

/// The checker of the testbed also reads recordings of the simulation. The decision module keeps the rules
/// under random faults, and a seed gives the same recording each time, also when runs are concurrent.
#[test]
fn random_faults_break_no_rule_and_recordings_are_reproducible() {
    let runs = std::thread::scope(|scope| {
        let run = |seed| {
            scope.spawn(move || {
                Simulation::run_checked(plan_with_faults(seed, RoutingPolicy::Shipped)).expect("valid demand")
            })
        };
        let runs: Vec<_> = (1..=12).map(run).collect();
        runs.into_iter().map(|run| run.join().expect("the run does not panic")).collect::<Vec<_>>()
    });
    for (seed, (statistics, breaches)) in (1..).zip(&runs) {
        println!("{seed}: {:.3} in time, {} crashes", statistics.in_time_share(), statistics.crashes);
        assert!(breaches.is_empty(), "{seed}: {:?}", &breaches[..breaches.len().min(3)]);
    }
    let (statistics, recording) =
        Simulation::run_recorded(plan_with_faults(3, RoutingPolicy::Shipped)).expect("valid demand");
    assert!(
        statistics == runs[2].0
            && recording
                == Simulation::run_recorded(plan_with_faults(3, RoutingPolicy::Shipped))
                    .expect("valid demand")
                    .1
    );
    // Recording does not change the run.
    assert_eq!(statistics, run(&plan_with_faults(3, RoutingPolicy::Shipped)));
}

/// Faults under which a simple policy violates a rule; the decision module keeps it under the same faults.
#[test]
fn checker_finds_violations_of_simple_policies() {
    let origin = Plan::default().origin();
    let restarts =
        (0..8).step_by(2).flat_map(|n| [(5.0, Fault::Crash(n)), (5.05, Fault::Start(n))]).collect();
    let runs: [(Rule, Vec<(f64, Fault)>); 3] = [
        (Rule::NoSecondEffect, vec![(3.0, Fault::Slow(origin, 150.0)), (8.0, Fault::Slow(origin, 1.0))]),
        (Rule::NoPush, restarts),
        (Rule::Purges, vec![(4.0, Fault::Purge(40))]),
    ];
    for (rule, faults) in runs {
        for policy in [RoutingPolicy::Shipped, RoutingPolicy::Hash] {
            let plan = Plan { faults: faults.clone(), cache_throughput: 30.0, ..plan_with_faults(1, policy) };
            let (_, breaches) = Simulation::run_checked(plan).expect("valid demand");
            let broken = breaches.iter().any(|breach| breach.rule == rule);
            assert_eq!(broken, policy == RoutingPolicy::Hash, "{rule:?} {policy:?}: {:?}", breaches.first());
        }
    }
}

/// The origin completes requests that nobody waits for any more, so that clients that retry keep it busy with
/// wasted work. Caches that are added during a run take their share of the load.
#[test]
fn retries_waste_origin_work_and_added_caches_take_load() {
    let slow_origin = vec![(4.0, Fault::Slow(10, 30.0)), (7.0, Fault::Slow(10, 1.0))];
    let overloaded = Plan {
        routing_policy: RoutingPolicy::Random,
        faults: slow_origin,
        cache_copies: 10,
        parent_copies: 10,
        origin_concurrency: 4,
        max_client_retries: 10,
        retry_failed_requests: true,
        respect_retry_after: false,
        client_timeout: 800.0,
        seconds: 16.0,
        ..Plan::default()
    };
    let statistics = run(&overloaded);
    let retries: u32 = statistics.client_retries.iter().sum();
    println!(
        "{:.3} in time, {retries} retries, {} wasted",
        statistics.in_time_share(),
        statistics.wasted_origin_work
    );
    assert!(statistics.wasted_origin_work > 100 && retries > 100);
    let plan = Plan { spare_caches: 2, cache_copies: 60, seconds: 20.0, ..Plan::default() };
    let faults = [2, 3, 6, 7].map(|n| (5.0, Fault::Start(n))).to_vec();
    let (alone, helped) = (run(&plan), run(&Plan { faults, ..plan.clone() }));
    println!("{} hits with two caches a location, {} with two more", alone.hits, helped.hits);
    assert!(helped.hits > alone.hits && helped.in_time_share() > 0.9, "{}", helped.in_time_share());
}

/// One of two sites is cut off from the hub at peak load; then the link between the sites is cut, and later
/// stops delivering without closing connections. Forwarded requests are served, nothing is executed twice, and
/// the rules of links hold.
#[test]
fn sites_keep_the_rules_under_link_faults_at_peak_load() {
    let faults = vec![
        (5.0, Fault::Rate(2.0)),
        (6.0, Fault::Partition(0, true)),
        (11.0, Fault::Link(LinkFault::Cut)),
        (13.0, Fault::Link(LinkFault::Restore)),
        (15.0, Fault::Link(LinkFault::Silent)),
        (16.5, Fault::Link(LinkFault::Restore)),
        (19.0, Fault::Partition(0, false)),
        (20.0, Fault::Rate(1.0)),
    ];
    let plan = Plan {
        rate: 80.0,
        seconds: 26.0,
        booking_share: 0.15,
        cache_copies: 200,
        demand: DemandConfig { objects: 10_000, ..DemandConfig::default() },
        faults,
        ..Plan::default()
    };
    let (alone, breaches) = Simulation::run_checked(plan.clone()).expect("valid demand");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let plan = Plan { sites: Some(SitesPlan::default()), ..plan };
    let (both, recording) = Simulation::run_recorded(plan.clone()).expect("valid demand");
    let (again, breaches) = Simulation::run_checked(plan.clone()).expect("valid demand");
    println!(
        "{:.3} alone, {:.3} with the other site, {} served remotely",
        alone.in_time_share(),
        both.in_time_share(),
        both.remotely_served
    );
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    assert!(
        again == both && recording == Simulation::run_recorded(plan).expect("valid demand").1,
        "runs with the same seed are identical"
    );
    let crossed = recording.iter().filter(|line| matches!(line.what, RecordedEvent::Crossed { .. })).count();
    assert!(
        crossed > 100 && both.remotely_served > 50 && both.in_time_share() > alone.in_time_share() + 0.03,
        "{crossed}"
    );
}

/// Copies past their freshness lifetime are served within the stale grace and revalidated in the background;
/// without stale grace, a crash of the origin is visible.
#[test]
fn stale_copies_bridge_an_origin_crash() {
    let origin = Plan::default().origin();
    let faults = vec![(8.0, Fault::Crash(origin)), (14.0, Fault::Start(origin))];
    let plan = Plan { freshness_lifetime: 3_000.0, seconds: 18.0, rate: 150.0, faults, ..Plan::default() };
    let strict = run(&plan);
    let (lax, breaches) =
        Simulation::run_checked(Plan { stale_grace: 15_000.0, ..plan }).expect("valid demand");
    println!(
        "{:.3} and {:.3} in time, {} stale",
        strict.in_time_share(),
        lax.in_time_share(),
        lax.stale_hits
    );
    assert!(breaches.is_empty() && strict.stale_hits == 0 && lax.stale_hits > 200);
    assert!(
        lax.in_time_share() > strict.in_time_share() + 0.1,
        "{} {}",
        lax.in_time_share(),
        strict.in_time_share()
    );
    // A server that degrades gets slower with every second, until it restarts.
    let degraded = |growth| Plan {
        faults: vec![(2.0, Fault::Degrade(0, growth))],
        seconds: 16.0,
        routing_policy: RoutingPolicy::Hash,
        ..Plan::default()
    };
    let (constant, degrading) = (run(&degraded(0.0)), run(&degraded(400.0)));
    let longest = |statistics: &Statistics| statistics.latencies_ms.iter().copied().fold(0.0, f32::max);
    assert!(longest(&degrading) > longest(&constant) * 2.0, "{} {}", longest(&degrading), longest(&constant));
}

/// Parents of parents reduce the requests to the origin; one of them crashes and restarts, and the rules are
/// kept. A cache that runs few fills at a time rejects the others.
#[test]
fn parent_tiers_reduce_origin_load_and_fills_are_limited() {
    let plan = Plan { parents: 4, parent_copies: 600, seconds: 16.0, rate: 150.0, ..Plan::default() };
    let hierarchy = Some(HierarchyPlan { home_parents: 4, ..HierarchyPlan::default() });
    let two = Plan { top_parents: 2, hierarchy, ..plan.clone() };
    let faults = vec![(6.0, Fault::Crash(12)), (9.0, Fault::Start(12))];
    let (one, tiered) = (run(&Plan { hierarchy, ..plan.clone() }), run(&two));
    println!("{} and {} fills by the origin", one.origin_fills, tiered.origin_fills);
    assert!(
        tiered.origin_fills < one.origin_fills && tiered.in_time_share() > 0.95,
        "{} {}",
        tiered.origin_fills,
        tiered.in_time_share()
    );
    let (statistics, breaches) = Simulation::run_checked(Plan { faults, ..two }).expect("valid demand");
    assert!(
        breaches.is_empty() && statistics.in_time_share() > 0.9,
        "{:?} {}",
        breaches.first(),
        statistics.in_time_share()
    );
    let (unlimited, limited) = (
        run(&Plan { routing_policy: RoutingPolicy::Hash, ..plan.clone() }),
        run(&Plan { routing_policy: RoutingPolicy::Hash, max_fills_per_cache: 1, ..plan }),
    );
    let rejections = |statistics: &Statistics| {
        statistics.client_retries.iter().sum::<u32>() + statistics.rejected.iter().sum::<u32>()
    };
    assert!(
        rejections(&limited) > rejections(&unlimited) + 20,
        "{} {}",
        rejections(&limited),
        rejections(&unlimited)
    );
}
