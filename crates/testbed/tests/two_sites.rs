//! Two gateways in virtual time under seeded scripts of cuts, silences, restarts and store failures: the
//! checker judges what crossed the link and reached the stores.

use linnethook_testbed::checker::{judge, Breach, RuleBounds};
use linnethook_testbed::two_sites::{bad_day, Outcome, Scenario, Simulation, SiteFault};

fn breaches(out: &Outcome) -> Vec<Breach> {
    judge(&out.lines, &RuleBounds { slack: 5.0, ..RuleBounds::default() })
}

#[test]
fn each_booking_runs_at_most_once_and_has_one_answer_under_link_faults() {
    let mut sum = [0u64; 4];
    for seed in 1..=12 {
        let script = bad_day(seed, 20_000.0, 20);
        let out = Simulation::new(Scenario { seed, length: 20_000.0, script, ..Scenario::default() }).run();
        let found = breaches(&out);
        assert!(
            found.is_empty() && out.ran_twice.is_empty(),
            "seed {seed}: {:?} {:?}",
            &found[..found.len().min(3)],
            out.ran_twice
        );
        let b = out.bookings;
        assert_eq!(b.asked, b.served + b.refused + b.failed + b.released, "seed {seed}: {b:?}");
        for (sum, n) in sum.iter_mut().zip([b.served, b.refused, b.failed, b.released]) {
            *sum += n;
        }
    }
    println!("served, refused, failed, released: {sum:?}");
    assert!(sum[0] > sum[2] * 10, "{sum:?}");
}

/// Two runs of the same script give identical recordings.
#[test]
fn a_seed_determines_the_run() {
    let scenario = Scenario { length: 8_000.0, script: bad_day(3, 8_000.0, 8), ..Scenario::default() };
    let one = Simulation::new(scenario.clone()).run();
    let other = Simulation::new(scenario).run();
    assert_eq!(one.lines, other.lines);
    assert!(one.lines.len() > 500);
}

/// Without faults no request crosses the link, and each site serves all its own requests. Without the caches
/// and the store of one site, over 80% of the reads are still served.
#[test]
fn a_site_serves_its_own_requests_while_it_can() {
    let out = Simulation::new(Scenario { length: 5_000.0, ..Scenario::default() }).run();
    assert_eq!(out.opened.iter().map(Vec::len).sum::<usize>(), 0);
    assert_eq!((out.bookings.served, out.reads.served), (out.bookings.asked, out.reads.asked));
    let script = vec![(100.0, SiteFault::Caches(0, false)), (100.0, SiteFault::Store(0, false))];
    let out = Simulation::new(Scenario { length: 25_000.0, script, ..Scenario::default() }).run();
    println!("{:?} {:?}", out.bookings, out.reads);
    assert!(out.reads.served * 10 > out.reads.asked * 8, "{:?}", out.reads);
    assert!(breaches(&out).is_empty());
}

/// An answer that is longer than the other site accepts is aborted alone: the connection and its other
/// streams continue.
#[test]
fn an_answer_that_is_too_long_aborts_only_its_own_stream() {
    let script = vec![(1_000.0, SiteFault::Caches(0, false)), (1_000.0, SiteFault::Store(0, false))];
    let scenario = Scenario { length: 15_000.0, sizes: (100_000, 400_000), script, ..Scenario::default() };
    let outcome = Simulation::new(scenario).run();
    println!("{:?} {:?}, down at {:?}", outcome.reads, outcome.bookings, outcome.downs);
    assert!(outcome.downs.is_empty(), "the connection was closed at {:?}", outcome.downs);
    assert!(outcome.reads.served > 100 && outcome.reads.refused > 20, "{:?}", outcome.reads);
    assert_eq!(outcome.bookings.failed, 0);
    assert!(outcome.ran_twice.is_empty());
}

/// The simulation takes the state of connections from the gateways' log lines. If their text changes, `downs`
/// stays empty, and the test above passes even when a connection is closed.
#[test]
fn log_lines_of_a_cut_and_of_its_end_are_recognized() {
    let script = vec![(2_000.0, SiteFault::Cut), (4_000.0, SiteFault::Mend)];
    let outcome = Simulation::new(Scenario { length: 8_000.0, script, ..Scenario::default() }).run();
    let after = |from: f64, times: &[f64]| times.iter().filter(|at| **at >= from).count();
    assert!(outcome.ups.iter().any(|at| *at < 2_000.0), "ups: {:?}", outcome.ups);
    assert_eq!(after(2_000.0, &outcome.downs), 2, "one for each gateway: {:?}", outcome.downs);
    assert!(after(4_000.0, &outcome.ups) >= 2, "ups: {:?}", outcome.ups);
}
