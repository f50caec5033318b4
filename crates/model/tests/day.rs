//! Runs of the simulated fleet: how requests end, what they cost, and that runs with the same seed are
//! identical.

use linnethook_model::demand::DemandRule;
use linnethook_model::plain::Way;
use linnethook_model::plan::{Blow, Sites, Tiers};
use linnethook_model::world::{Fault, Plan, Seen, World};
use linnethook_testbed::checker::Rule;
use linnethook_testbed::recording::RecordedEvent;

fn play(plan: &Plan) -> Seen {
    World::new(plan.clone()).expect("a plan").run()
}

#[test]
fn a_quiet_day_is_served_and_one_seed_is_one_run() {
    let plan = Plan { seconds: 20.0, ..Plan::default() };
    let (one, other) = (play(&plan), play(&plan));
    assert_eq!(one, other);
    let asked: u32 = one.asked.iter().sum();
    let ended: u32 = [&one.in_time, &one.late, &one.refused, &one.failed].into_iter().flatten().sum();
    println!("{asked} asked, {:.4} in time, {} events, {} hits", one.share(), one.events, one.hits);
    assert!(one.share() > 0.95, "{}", one.share());
    assert_eq!(asked, ended, "each has one end");
    assert!(play(&Plan { seed: 2, ..plan }) != one);
}

/// A cache crashes under load and restarts cold: its requests go to other caches, and most requests are still
/// served in time.
#[test]
fn a_lost_cache_costs_little() {
    let faults = vec![
        (8.0, Fault::Die(0)),
        (9.0, Fault::Silent(5, true)),
        (12.0, Fault::Silent(5, false)),
        (14.0, Fault::Start(0)),
    ];
    let seen = play(&Plan { seconds: 25.0, faults, ..Plan::default() });
    println!("{:.4} in time, origin {:?}", seen.share(), seen.origin);
    assert!(seen.share() > 0.85, "{}", seen.share());
}

/// The load exceeds the links to the hub, and half of the caches restart at once. The decision module rejects
/// requests that would be late and serves the rest; the simple policies congest, and crash the servers that
/// restart cold.
#[test]
fn under_too_much_the_module_goes_on_where_plain_ways_jam() {
    let restarts = (0..16).step_by(2).flat_map(|n| [(7.0, Fault::Die(n)), (7.05, Fault::Start(n))]);
    let (locations, caches, rate) = (2, 8, 320.0);
    let (cache_link, location_link) = (5e6, 5e6);
    let (cache_able, parent_able) = (rate / 8.0, rate);
    let faults: Vec<(f64, Fault)> = restarts.collect();
    let plan = Plan {
        locations,
        caches,
        rate,
        cache_link,
        location_link,
        cache_able,
        parent_able,
        faults,
        seconds: 12.0,
        ..Plan::default()
    };
    let mut shares = Vec::new();
    for way in Way::ALL {
        let seen = play(&Plan { way, ..plan.clone() });
        println!("{}: {:.4} in time, {} fell over", way.name(), seen.share(), seen.fell);
        shares.push((seen.share(), seen.fell));
    }
    let best = shares[1..].iter().map(|(share, _)| *share).fold(0.0, f64::max);
    assert!(shares[0].0 > best + 0.2 && shares[0].1 == 0, "{shares:?}");
}

/// A plan with many faults, bookings, sessions of two parts, cold starts and an origin that crashes under
/// overload.
fn bad_day(seed: u64, way: Way) -> Plan {
    let plan = Plan {
        seed,
        way,
        bookings: 0.05,
        parts: 2,
        report_every: 250.0,
        cache_able: 120.0,
        parent_able: 400.0,
        origin_bears: 400,
        seconds: 16.0,
        rate: 120.0,
        ..Plan::default()
    };
    let faults = plan.bad_day(seed, 6, 3.0..12.0);
    Plan { faults, ..plan }
}

/// The checker of the testbed also reads recordings of the simulation. The decision module keeps the rules
/// under random faults, and a seed gives the same recording each time, also when runs are concurrent.
#[test]
fn bad_days_are_judged_and_one_seed_is_one_record() {
    let days = std::thread::scope(|scope| {
        let play = |seed| scope.spawn(move || World::judged(bad_day(seed, Way::Shipped)).expect("a plan"));
        let days: Vec<_> = (1..=12).map(play).collect();
        days.into_iter().map(|day| day.join().expect("played")).collect::<Vec<_>>()
    });
    for (seed, (seen, breaches)) in (1..).zip(&days) {
        println!("{seed}: {:.3} in time, {} fell", seen.share(), seen.fell);
        assert!(breaches.is_empty(), "{seed}: {:?}", &breaches[..breaches.len().min(3)]);
    }
    let (seen, lines) = World::noted(bad_day(3, Way::Shipped)).expect("a plan");
    assert!(seen == days[2].0 && lines == World::noted(bad_day(3, Way::Shipped)).expect("a plan").1);
    // Recording does not change the run.
    assert_eq!(seen, play(&bad_day(3, Way::Shipped)));
}

/// Faults under which a simple policy violates a rule; the decision module keeps it under the same faults.
#[test]
fn the_judge_tells_plain_ways_from_the_module() {
    let origin = Plan::default().origin();
    let restarts = (0..8).step_by(2).flat_map(|n| [(5.0, Fault::Die(n)), (5.05, Fault::Start(n))]).collect();
    let days: [(Rule, Vec<(f64, Fault)>); 3] = [
        (Rule::NoSecondEffect, vec![(3.0, Fault::Slow(origin, 150.0)), (8.0, Fault::Slow(origin, 1.0))]),
        (Rule::NoPush, restarts),
        (Rule::Purges, vec![(4.0, Fault::Purge(40))]),
    ];
    for (rule, faults) in days {
        for way in [Way::Shipped, Way::Hash] {
            let plan = Plan { faults: faults.clone(), cache_able: 30.0, ..bad_day(1, way) };
            let (_, breaches) = World::judged(plan).expect("a plan");
            let broken = breaches.iter().any(|breach| breach.rule == rule);
            assert_eq!(broken, way == Way::Hash, "{rule:?} {way:?}: {:?}", breaches.first());
        }
    }
}

/// The origin completes requests that nobody waits for any more, so that clients that retry keep it busy with
/// wasted work. Caches that are added during a run take their share of the load.
#[test]
fn an_origin_over_its_edge_works_in_vain_and_spare_caches_come_in() {
    let crowd = vec![(4.0, Fault::Slow(10, 30.0)), (7.0, Fault::Slow(10, 1.0))];
    let jam = Plan {
        way: Way::Random,
        faults: crowd,
        cache_copies: 10,
        parent_copies: 10,
        origin_easy: 4,
        again: 10,
        again_failed: true,
        heed: false,
        wait: 800.0,
        seconds: 16.0,
        ..Plan::default()
    };
    let seen = play(&jam);
    let repeats: u32 = seen.repeats.iter().sum();
    println!("{:.3} in time, {repeats} repeats, {} in vain", seen.share(), seen.in_vain);
    assert!(seen.in_vain > 100 && repeats > 100);
    let plan = Plan { spare: 2, cache_copies: 60, seconds: 20.0, ..Plan::default() };
    let faults = [2, 3, 6, 7].map(|n| (5.0, Fault::Start(n))).to_vec();
    let (alone, helped) = (play(&plan), play(&Plan { faults, ..plan.clone() }));
    println!("{} hits with two caches a location, {} with two more", alone.hits, helped.hits);
    assert!(helped.hits > alone.hits && helped.share() > 0.9, "{}", helped.share());
}

/// One of two sites is cut off from the hub at peak load; then the link between the sites is cut, and later
/// loses data silently. Forwarded requests are served, nothing is executed twice, and the rules of links
/// hold.
#[test]
fn a_cut_between_sites_at_the_peak() {
    let faults = vec![
        (5.0, Fault::Rate(2.0)),
        (6.0, Fault::Cut(0, true)),
        (11.0, Fault::Link(Blow::Cut)),
        (13.0, Fault::Link(Blow::Mend)),
        (15.0, Fault::Link(Blow::Silent)),
        (16.5, Fault::Link(Blow::Mend)),
        (19.0, Fault::Cut(0, false)),
        (20.0, Fault::Rate(1.0)),
    ];
    let plan = Plan {
        rate: 80.0,
        seconds: 26.0,
        bookings: 0.15,
        cache_copies: 200,
        demand: DemandRule { objects: 10_000, ..DemandRule::default() },
        faults,
        ..Plan::default()
    };
    let (alone, breaches) = World::judged(plan.clone()).expect("a plan");
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    let plan = Plan { sites: Some(Sites::default()), ..plan };
    let (both, lines) = World::noted(plan.clone()).expect("a plan");
    let (again, breaches) = World::judged(plan.clone()).expect("a plan");
    println!("{:.3} alone, {:.3} with the other site, {} across", alone.share(), both.share(), both.across);
    assert!(breaches.is_empty(), "{:?}", breaches.first());
    assert!(again == both && lines == World::noted(plan).expect("a plan").1, "one seed is one run");
    let crossed = lines.iter().filter(|line| matches!(line.what, RecordedEvent::Crossed { .. })).count();
    assert!(crossed > 100 && both.across > 50 && both.share() > alone.share() + 0.03, "{crossed}");
}

/// Copies past their freshness lifetime are served within the stale grace and revalidated in the background;
/// without stale grace, a crash of the origin is visible.
#[test]
fn ageing_copies_carry_over_a_lost_origin() {
    let origin = Plan::default().origin();
    let faults = vec![(8.0, Fault::Die(origin)), (14.0, Fault::Start(origin))];
    let plan = Plan { fresh: 3_000.0, seconds: 18.0, rate: 150.0, faults, ..Plan::default() };
    let strict = play(&plan);
    let (lax, breaches) = World::judged(Plan { stale: 15_000.0, ..plan }).expect("a plan");
    println!("{:.3} and {:.3} in time, {} stale", strict.share(), lax.share(), lax.stale);
    assert!(breaches.is_empty() && strict.stale == 0 && lax.stale > 200);
    assert!(lax.share() > strict.share() + 0.1, "{} {}", lax.share(), strict.share());
    // A server that degrades gets slower with every second, until it restarts.
    let age = |by| Plan {
        faults: vec![(2.0, Fault::Age(0, by))],
        seconds: 16.0,
        way: Way::Hash,
        ..Plan::default()
    };
    let (young, old) = (play(&age(0.0)), play(&age(400.0)));
    let longest = |seen: &Seen| seen.took.iter().copied().fold(0.0, f32::max);
    assert!(longest(&old) > longest(&young) * 2.0, "{} {}", longest(&old), longest(&young));
}

/// Parents of parents reduce the requests to the origin; one of them crashes and restarts, and the rules are
/// kept. A cache that runs few fills at a time rejects the others.
#[test]
fn parents_in_tiers_and_fills_by_cores() {
    let plan = Plan { parents: 4, parent_copies: 600, seconds: 16.0, rate: 150.0, ..Plan::default() };
    let tiers = Some(Tiers { homes: 4, ..Tiers::default() });
    let two = Plan { tops: 2, tiers, ..plan.clone() };
    let faults = vec![(6.0, Fault::Die(12)), (9.0, Fault::Start(12))];
    let (one, tiered) = (play(&Plan { tiers, ..plan.clone() }), play(&two));
    println!("{} and {} fills by the origin", one.fills, tiered.fills);
    assert!(tiered.fills < one.fills && tiered.share() > 0.95, "{} {}", tiered.fills, tiered.share());
    let (seen, breaches) = World::judged(Plan { faults, ..two }).expect("a plan");
    assert!(breaches.is_empty() && seen.share() > 0.9, "{:?} {}", breaches.first(), seen.share());
    let (any, few) =
        (play(&Plan { way: Way::Hash, ..plan.clone() }), play(&Plan { way: Way::Hash, fills: 1, ..plan }));
    let turned = |seen: &Seen| seen.repeats.iter().sum::<u32>() + seen.refused.iter().sum::<u32>();
    assert!(turned(&few) > turned(&any) + 20, "{} {}", turned(&few), turned(&any));
}
