//! Simulates many cuts of the link between two sites in virtual time: with the default gateway, with one that
//! fails all requests with an uncertain outcome, and with one that never resumes a body. Prints how requests
//! ended and what the link carried.
//!
//! Usage: `cuts [SEEDS]`. The default of 104 seeds gives about 1,040 cuts and silences and 125,000 bookings,
//! and takes half a minute.

use std::collections::BTreeMap;
use std::time::Instant;

use linnethook_gateway::gateway::GatewayConfig;
use linnethook_testbed::checker::{judge, RuleBounds as Checked};
use linnethook_testbed::recording::Ms;
use linnethook_testbed::two_sites::{bad_day, Outcome, Scenario, Simulation, SiteFault, Tally};

const CUTS: usize = 12;
const LENGTH: Ms = 60_000.0;

fn add(sum: &mut Tally, one: Tally) {
    sum.asked += one.asked;
    sum.served += one.served;
    sum.refused += one.refused;
    sum.failed += one.failed;
    sum.released += one.released;
}

fn shares(tally: Tally) -> String {
    let part = |n: u64| n as f64 / tally.asked.max(1) as f64;
    format!(
        "{} requests: served {:.4}, rejected {:.4}, failed {:.4}, gateway restarted {:.4}",
        tally.asked,
        part(tally.served),
        part(tally.refused),
        part(tally.failed),
        part(tally.released)
    )
}

/// Runs many seeds of one variant, and prints the sums.
fn days(name: &str, seeds: u64, rules: GatewayConfig) {
    let begun = Instant::now();
    let (mut bookings, mut reads, mut breaches, mut twice) = (Tally::default(), Tally::default(), 0, 0);
    let (mut bodies, mut again, mut most, mut cuts) = (0, 0, [0; 4], 0);
    for seed in 1..=seeds {
        let script = bad_day(seed, LENGTH, CUTS);
        cuts += script
            .iter()
            .filter(|(_, fault)| matches!(fault, SiteFault::Cut | SiteFault::Silent { .. }))
            .count();
        let scenario =
            Scenario { seed, length: LENGTH, script, rules, carries: 5_000.0, ..Scenario::default() };
        let out: Outcome = Simulation::new(scenario).run();
        let found = judge(&out.lines, &Checked { slack: 5.0, ..Checked::default() });
        found.iter().take(3).for_each(|breach| println!("{name}, seed {seed}: {breach}"));
        breaches += found.len();
        twice += out.ran_twice.len();
        add(&mut bookings, out.bookings);
        add(&mut reads, out.reads);
        (bodies, again) = (bodies + out.bodies, again + out.bodies_again);
        most.iter_mut().zip(out.most).for_each(|(most, one)| *most = one.max(*most));
    }
    println!("{name}: {cuts} cuts and silences in {seeds} seeds, {:.1} s", begun.elapsed().as_secs_f64());
    println!("  bookings: {}", shares(bookings));
    println!("  parts of videos: {}", shares(reads));
    println!("  ran twice: {twice}; breaches of any rule: {breaches}");
    println!(
        "  bytes of bodies that crossed: {:.1} MB, of which again or without a client {:.4}",
        bodies as f64 / 1e6,
        again as f64 / bodies.max(1) as f64
    );
    println!(
        "  highest concurrent numbers: {} connections, {} forwarded requests, \
             {} remote requests, {} remembered tokens",
        most[0], most[1], most[2], most[3]
    );
}

/// Median and maximum of some times, as text.
fn spread(mut all: Vec<Ms>) -> String {
    all.sort_by(f64::total_cmp);
    match all.last() {
        Some(most) => {
            format!("{:.0} ms (median), {most:.0} ms (maximum of {})", all[all.len() / 2], all.len())
        }
        None => "never".to_string(),
    }
}

/// Measures how soon each kind of link failure is detected, and the recovery after it.
fn failures(seeds: u64) {
    let kinds: [(&str, SiteFault); 4] = [
        ("cut", SiteFault::Cut),
        ("silent in both directions", SiteFault::Silent { to: [true; 2] }),
        ("silent towards the requesting site", SiteFault::Silent { to: [true, false] }),
        ("silent towards the serving site", SiteFault::Silent { to: [false, true] }),
    ];
    let (lost, back, ended) = (20_000.0, 23_000.0, 60_000.0);
    for (name, fault) in kinds {
        let (mut known, mut again, mut peaks) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 1..=seeds {
            let script = vec![
                (100.0, SiteFault::Caches(0, false)),
                (100.0, SiteFault::Store(0, false)),
                (lost, fault),
                (back, SiteFault::Mend),
            ];
            let (bookings, reads) = (20.0, 80.0);
            let scenario = Scenario {
                seed,
                length: ended,
                script,
                bookings,
                reads,
                sizes: (20_000, 60_000),
                ..Scenario::default()
            };
            let out = Simulation::new(scenario).run();
            known.extend(out.downs.iter().find(|at| **at >= lost).map(|at| at - lost));
            let second = |list: &[u32], from: Ms| -> f64 {
                let from = (from / 100.0) as usize;
                list.iter().skip(from).take(10).map(|n| f64::from(*n)).sum()
            };
            let steady =
                (0..5).map(|n| second(&out.opened[0], lost - 5_000.0 + f64::from(n) * 1_000.0)).sum::<f64>()
                    / 5.0;
            peaks.push(second(&out.opened[0], back) / steady.max(1.0));
            let share = |from: Ms| second(&out.served, from) / second(&out.asked, from).max(1.0);
            let before = (0..5).map(|n| share(lost - 5_000.0 + f64::from(n) * 1_000.0)).sum::<f64>() / 5.0;
            let well = (0..300).map(|n| back + f64::from(n) * 100.0).find(|at| share(*at) >= before * 0.95);
            again.extend(well.map(|at| at - back));
        }
        peaks.sort_by(f64::total_cmp);
        println!("{name}: detected after {}", spread(known));
        println!(
            "  time from the repair until the served share is at 0.95 of that before: {}",
            spread(again)
        );
        println!(
            "  highest rate of forwarded requests in the first second after the repair: \
             {:.2} of the steady rate",
            peaks[peaks.len() - 1]
        );
    }
}

/// Simulates parts of videos over a slow link that is cut every second.
fn videos(name: &str, rules: GatewayConfig, seeds: u64) {
    let mut rules = rules;
    // With the default share a flapping link would carry hardly any request.
    rules.routing.flapping_share = 1.0;
    let (mut reads, mut bodies, mut again) = (Tally::default(), 0, 0);
    for seed in 1..=seeds {
        let mut script = vec![(100.0, SiteFault::Caches(0, false))];
        for n in 0..40 {
            let at = 15_000.0 + f64::from(n) * 1_000.0;
            script.extend([(at, SiteFault::Cut), (at + 150.0, SiteFault::Mend)]);
        }
        let sizes = (150_000, 240_000);
        let scenario = Scenario {
            seed,
            script,
            rules,
            bookings: 0.0,
            reads: 5.0,
            carries: 1_500.0,
            sizes,
            ..Scenario::default()
        };
        let out = Simulation::new(Scenario { aim: 1_500.0, wait: 3_000.0, ..scenario }).run();
        add(&mut reads, out.reads);
        (bodies, again) = (bodies + out.bodies, again + out.bodies_again);
    }
    println!("videos, {name}: {}", shares(reads));
    println!(
        "  {:.1} MB crossed, of which {:.4} again or without a client",
        bodies as f64 / 1e6,
        again as f64 / bodies.max(1) as f64
    );
}

/// Simulates a link that flaps for a minute: state must stay bounded, and sites must serve as well as without
/// the link.
fn flapping() {
    let mut script = vec![(10.0, SiteFault::Store(1, false))];
    script.extend(
        (0..200).map(|n| (f64::from(n) * 300.0, if n % 2 == 0 { SiteFault::Cut } else { SiteFault::Mend })),
    );
    let out = Simulation::new(Scenario { script, bookings: 20.0, ..Scenario::default() }).run();
    println!(
        "flapping every 300 ms for a minute: {} log lines, highest concurrent numbers {:?}",
        out.notes, out.most
    );
    println!("  bookings: {}", shares(out.bookings));
    println!("  parts of videos: {}", shares(out.reads));
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(104);
    let rules = GatewayConfig::default();
    let mut variants = BTreeMap::from([("1 default", rules)]);
    let mut plain = rules;
    plain.forwarding.queries_outcomes = false;
    plain.forwarding.resumes_bodies = false;
    variants.insert("2 uncertain outcomes fail, no resumption", plain);
    let mut without_resumption = rules;
    without_resumption.forwarding.resumes_bodies = false;
    variants.insert("3 without resumption", without_resumption);
    for (name, rules) in variants {
        days(name, seeds, rules);
    }
    videos("with resumption", rules, 10);
    videos("without", without_resumption, 10);
    failures(10);
    flapping();
}
