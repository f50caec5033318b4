//! Experiments: files are read, or rejected with a position; rows do not depend on threads; files of rows
//! are continued; hunts shrink the run that they find; the page contains all charts.

use std::sync::atomic::{AtomicBool, Ordering};

use linnethook_lab::compare::{difference, table};
use linnethook_lab::experiment::{read, Experiment};
use linnethook_lab::hunt::{run_checked, Hunt, HuntTarget};
use linnethook_lab::play::play;
use linnethook_lab::rows::{self, Header, Row, Rows};
use linnethook_lab::{report, settings};
use linnethook_model::baselines::RoutingPolicy;
use linnethook_model::plan::{Fault, Plan};
use linnethook_testbed::checker::Rule;
use proptest::prelude::{prop_assert_eq, proptest, ProptestConfig};

const SMALL: &str = r#"
title("a small <one>")
fleet(locations = 1, caches = 3, routers = 2)
demand(rate = 60, seconds = 3)
fault(at = 1, kind = "die", server = 0)
variant("shipped")
variant("plain", way = "hash", again = 0)
sweep("rate", [30, 60])
seeds(2)
judge()
"#;

fn rows_of(experiment: &Experiment, jobs: usize) -> Vec<Row> {
    let cases = experiment.cases();
    let mut rows = Vec::new();
    let stop = AtomicBool::new(false);
    play(&cases, experiment.judged, jobs, &stop, |row| {
        rows.push(row);
        Ok(())
    })
    .expect("played");
    rows::sorted(&cases, rows)
}

#[test]
fn rows_do_not_depend_on_the_threads_and_make_a_page() {
    let experiment = read("small.star", SMALL).expect("a good file");
    let (one, many) = (rows_of(&experiment, 1), rows_of(&experiment, 4));
    assert_eq!(one, many);
    assert_eq!(one.len(), 8);
    assert!(one.iter().all(|row| row.breaches.is_some() && row.took.len() == rows::QUANTILES.len()));
    let text = table(&one, Some("rate"));
    assert!(text.lines().count() == 7 && text.contains("rate = 30") && text.contains("breaches"), "{text}");
    let header = Header::new(&experiment).expect("a header");
    let page = report::html(&header, &one).expect("a page");
    // Five charts over the sweep, three for each of its two points.
    assert_eq!(page.matches("<svg").count(), 11);
    for part in ["a small &lt;one&gt;", "die 0", "shipped", "nines", "rate = 60"] {
        assert!(page.contains(part), "{part}");
    }
}

/// A stopped experiment is continued from its file: a truncated last line is skipped, and rows of another
/// build or experiment are rejected.
#[test]
fn a_file_of_rows_is_continued_or_rejected() {
    let path = std::env::temp_dir().join(format!("linnethook-rows-{}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    let experiment = read("small.star", SMALL).expect("a good file");
    let (cases, header) = (experiment.cases(), Header::new(&experiment).expect("a header"));
    let (mut file, known) = Rows::open(&path, &header).expect("a file");
    assert!(known.is_empty());
    let stop = AtomicBool::new(false);
    let mut count = 0;
    play(&cases, true, 1, &stop, |row| {
        count += 1;
        stop.store(count == 3, Ordering::Release);
        file.add(&row)
    })
    .expect("stopped");
    let text = std::fs::read_to_string(&path).expect("rows");
    std::fs::write(&path, &text[..text.len() - 20]).expect("truncated");
    let (mut file, known) = Rows::open(&path, &header).expect("an existing file");
    let remaining = rows::remaining(&cases, &known);
    assert_eq!((known.len(), remaining.len()), (2, 6));
    play(&remaining, true, 2, &AtomicBool::new(false), |row| file.add(&row)).expect("played");
    let (reread, all) = rows::read(&path).expect("a complete file");
    assert_eq!((&reread, rows::sorted(&cases, all)), (&header, rows_of(&experiment, 4)));
    let changed = read("small.star", &SMALL.replace("again = 0", "again = 1")).expect("another");
    let other_build = Header { build: "0".to_string(), ..header.clone() };
    for (header, what) in
        [(Header::new(&changed).expect("a header"), "another experiment"), (other_build, "another build")]
    {
        let rejection = Rows::open(&path, &header).err().expect(what);
        assert!(rejection.contains(what), "{rejection}");
    }
    std::fs::write(&path, "{}\nnonsense\n").expect("written");
    assert!(rows::read(&path).is_err_and(|why| why.contains(":1: ")), "a bad first line");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn errors_name_their_position() {
    for (text, expected) in [
        ("fleet(cashes = 3)", "x.star:1:1: fleet(): there is no setting \"cashes\"; expected one of "),
        (
            "\ndemand(rate = 0)",
            "x.star:2:1: demand(): rate: expected a number of requests a second from 0.001",
        ),
        ("fault(at = 1, kind = \"sneeze\", server = 1)", "fault(): kind: expected \"die\" or \"start\""),
        ("fault(at = 1, kind = \"die\")", "fault(): server is missing"),
        ("fault(at = 1, kind = \"slow\", server = 1)", "fault(): times is missing"),
        ("fault(at = 1, kind = \"cut\", server = 1)", "fault(): location is missing"),
        ("fault(at = 1, kind = \"cut\", location = 2)", "fault(): location: expected 0 to 1, got 2"),
        ("fault(at = 1, kind = \"die\", server = 11)", "fault(): server: expected 0 to 10, got 11"),
        ("variant(\"a\")\nvariant(\"a\")", "x.star:2:1: variant(): \"a\" is a variant already"),
        ("variant(\"a\")\nfleet()", "x.star:2:1: fleet(): expected before the first variant()"),
        ("variant(\"a\", bound = 2)", "variant(): bound is for \"bounded hash\" alone"),
        ("sweep(\"rat\", [1])", "x.star:1:1: sweep(): there is no setting \"rat\"; expected one of again, "),
        ("sweep(\"rate\", [1, \"x\"])", "sweep(): rate: expected a number of requests a second"),
        ("sweep(\"rate\", [])", "sweep(): rate: expected a list of 1 to 100 numbers"),
        ("fleet(spare = 4)", "fleet(): spare: expected less than caches, 4"),
        ("bad_day(from_second = 9, to_second = 8)", "bad_day(): to_second: expected more than from_second"),
        ("seeds(0)", "seeds(): expected a whole number from 1 to 100000, got 0"),
        ("def f(): f()\nf()", "x.star:"),
        ("fleet(", "x.star:1:"),
    ] {
        let error = read("x.star", text).expect_err(text).to_string();
        assert!(error.contains(expected), "{error}\nexpected {expected}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// A plan written as a file is read back as the same plan.
    #[test]
    fn a_plan_is_read_back_from_its_file(seed in 0u64..10_000, troubles in 1usize..12, rate in 1u32..5_000) {
        let plan = Plan { seed, rate: f64::from(rate), retry_failed_requests: true, spare_caches: 1, ..Plan::default() };
        let mut faults = plan.random_faults(seed, troubles, 2.0..20.0);
        for (at, fault) in &mut faults {
            *at = (*at * 1e3).round() / 1e3;
            match fault {
                Fault::Slow(_, by) | Fault::Degrade(_, by) | Fault::Rate(by) | Fault::EndpointUpdateDelay(by) => *by = (*by * 1e3).round() / 1e3,
                _ => {}
            }
        }
        let plan = Plan { faults, routing_policy: RoutingPolicy::ALL[seed as usize % 5], ..plan };
        let experiment = read("w.star", &settings::write_plan(&plan, "a plan\nwith a comment of two lines")).expect("a good file");
        prop_assert_eq!(&experiment.cases()[0].plan, &plan);
    }
}

/// The hash baseline ignores purges: the hunt finds a run that breaks the rule, and shrinks its faults to
/// one purge.
#[test]
fn a_hunt_finds_a_broken_rule_and_shrinks_it() {
    let plan = Plan { routing_policy: RoutingPolicy::Hash, seconds: 10.0, rate: 80.0, ..Plan::default() };
    let hunt = Hunt { target: HuntTarget::Rule, first: 1, last: 16, faults_per_run: 8, jobs: 4 };
    let (found, breaching_runs) = hunt.run(&plan, &AtomicBool::new(false)).expect("hunted");
    let found = found.expect("the hash baseline ignores purges");
    let before = found.plan.faults.len();
    let (run, runs) = hunt.shrink(found).expect("shrunk");
    println!("{breaching_runs} of 16; {before} faults to {:?} in {runs} runs", run.plan.faults);
    assert!(matches!(run.plan.faults.as_slice(), [(_, Fault::Purge(_))]), "{:?}", run.plan.faults);
    assert_eq!(run.broken_rules, [Rule::Purges]);
    let reread = read("w.star", &settings::write_plan(&run.plan, "")).expect("a good file");
    assert_eq!(run_checked(reread.cases()[0].plan.clone()).expect("played"), run);
    // The worst run of the shipped policy breaks no rule, and shrinking adds no faults.
    let hunt = Hunt { target: HuntTarget::Worst, last: 8, ..hunt };
    let (worst, _) = hunt
        .run(&Plan { routing_policy: RoutingPolicy::Shipped, ..plan }, &AtomicBool::new(false))
        .expect("hunted");
    let worst = worst.expect("there is always a worst run");
    let (shrunk, _) = hunt.shrink(worst.clone()).expect("shrunk");
    println!(
        "worst {:.3} with {} faults, {:.3} with {}",
        worst.in_time_share,
        worst.plan.faults.len(),
        shrunk.in_time_share,
        shrunk.plan.faults.len()
    );
    assert!(worst.broken_rules.is_empty() && shrunk.plan.faults.len() <= worst.plan.faults.len());
}

/// The interval contains the true mean of the paired differences, and is narrow but not empty.
#[test]
fn intervals_are_of_paired_differences() {
    let pairs: Vec<(f64, f64)> =
        (0..40).map(|n| (f64::from(n) + 1.0 + f64::from(n % 5) * 0.1, f64::from(n))).collect();
    let found = difference(&pairs, 1).expect("pairs");
    assert!(
        (found.mean - 1.2).abs() < 1e-9 && found.low > 1.1 && found.high < 1.3 && found.low < found.high,
        "{found:?}"
    );
    assert_eq!(difference(&[], 1), None);
}
