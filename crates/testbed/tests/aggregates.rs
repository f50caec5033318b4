//! The rule of aggregates: a correct recording passes, and for each clause of the rule one that breaks it is
//! detected.

use linnethook_testbed::checker::{judge, Rule, RuleBounds};
use linnethook_testbed::recording::{Asked, LinkState, LocationSummary, Ms, RecordEntry, RecordedEvent};
use linnethook_testbed::rules::AggregateBounds;

/// Two sites with two routers each in one region, and a site with one router in another region.
const ROUTERS: [(&str, &str); 5] =
    [("r0", "s/a"), ("r1", "s/a"), ("r2", "s/b"), ("r3", "s/b"), ("r4", "n/c")];

/// All routers are linked with each other from the start; after `QUIET` that must be known everywhere.
const QUIET: Ms = 10_000.0;

fn rules() -> RuleBounds {
    let (suspect, summary_lifetime, level_delay) = (500.0, 1_500.0, 400.0);
    let aggregates = AggregateBounds { suspect, summary_lifetime, level_delay, moves: 500.0, links: 1_000.0 };
    RuleBounds { slack: 100.0, aggregates, ..RuleBounds::default() }
}

fn line(at: Ms, what: RecordedEvent) -> RecordEntry {
    RecordEntry { at, what }
}

fn ran(at: Ms, n: usize) -> RecordEntry {
    let (router, place) = ROUTERS[n];
    line(at, RecordedEvent::Ran { router: router.to_string(), place: place.to_string() })
}

fn ceased(at: Ms, n: usize) -> RecordEntry {
    line(at, RecordedEvent::Ceased { router: ROUTERS[n].0.to_string() })
}

fn linked(at: Ms, a: usize, b: usize, state: LinkState) -> RecordEntry {
    line(at, RecordedEvent::Linked { from: ROUTERS[a].0.to_string(), to: ROUTERS[b].0.to_string(), state })
}

/// Both directions of the links between the routers of the south and the one of the north.
fn across(at: Ms, state: LinkState) -> Vec<RecordEntry> {
    (0..4).flat_map(|n| [linked(at, n, 4, state), linked(at, 4, n, state)]).collect()
}

fn location(place: &str, alive: u64) -> LocationSummary {
    LocationSummary {
        place: place.to_string(),
        fresh: true,
        alive,
        counted: alive,
        oldest: Some(7),
        ..LocationSummary::default()
    }
}

fn stale(name: &str, counted: u64) -> LocationSummary {
    LocationSummary { fresh: false, counted, ..location(name, counted) }
}

fn shown(at: Ms, n: usize, fleet_size: u64, places: Vec<LocationSummary>) -> RecordEntry {
    let (router, fleet_size) = (ROUTERS[n].0.to_string(), Some(fleet_size));
    line(at, RecordedEvent::Shown { router, since: at - 10.0, fleet_size, places })
}

/// The locations that a router of the south shows, with the counts of its two sites.
fn in_south(a: u64, b: u64) -> Vec<LocationSummary> {
    vec![location("s", a + b), location("n", 1), location("s/a", a), location("s/b", b)]
}

fn in_north(south: u64) -> Vec<LocationSummary> {
    vec![location("s", south), location("n", 1), location("n/c", 1)]
}

fn acted(at: Ms, n: usize, version: u64) -> RecordEntry {
    let (router, source) = (Some(ROUTERS[n].0.to_string()), Some("p".to_string()));
    let asked = Asked { at: "a".to_string(), router, source, version: Some(version), ..Asked::default() };
    line(at, RecordedEvent::Asked { attempt: 0, asked })
}

/// All five routers run and are linked with each other.
fn healthy_fleet() -> Vec<RecordEntry> {
    let mut lines =
        vec![line(0.0, RecordedEvent::Shape { version: 7, edges: vec![("a".to_string(), "p".to_string())] })];
    lines.extend((0..5).map(|n| ran(0.0, n)));
    lines.extend(
        (0..5).flat_map(|a| (0..5).filter(move |b| *b != a).map(move |b| linked(1.0, a, b, LinkState::Open))),
    );
    lines
}

fn healthy_fleet_with(more: Vec<RecordEntry>) -> Vec<RecordEntry> {
    [healthy_fleet(), more].concat()
}

fn found(lines: &[RecordEntry]) -> Vec<(Rule, String)> {
    judge(lines, &rules()).into_iter().map(|breach| (breach.rule, breach.what)).collect()
}

fn passes(lines: &[RecordEntry]) {
    assert_eq!(found(lines), [], "breaches in a correct recording");
}

/// Expects exactly one breach of the rule, with this text.
fn is_detected(lines: &[RecordEntry], text: &str) {
    let found = found(lines);
    let [(Rule::Aggregates, what)] = found.as_slice() else { panic!("{text}: {found:?}") };
    assert!(what.contains(text), "{text}: {what}");
}

#[test]
fn counts_that_agree_with_what_runs_pass() {
    let quiet = healthy_fleet_with(vec![shown(QUIET, 0, 5, in_south(2, 2)), shown(QUIET, 4, 5, in_north(4))]);
    passes(&quiet);
    // During a start, a kill or a restart a count may be stale.
    passes(&healthy_fleet_with(vec![shown(50.0, 0, 2, vec![location("s/a", 2)])]));
    let killed = healthy_fleet_with(vec![
        ceased(QUIET, 1),
        shown(QUIET + 200.0, 4, 5, in_north(4)),
        shown(QUIET + 3_000.0, 4, 5, in_north(3)),
        ran(QUIET + 4_000.0, 1),
        shown(QUIET + 4_100.0, 4, 5, in_north(3)),
        shown(QUIET + 8_000.0, 4, 5, in_north(4)),
    ]);
    passes(&killed);
    // A recording without locations of routers is not checked by this rule.
    passes(&[shown(QUIET, 0, 900, vec![location("s", 900)])]);
}

#[test]
fn a_router_that_is_counted_twice_is_detected_at_once() {
    let twice = LocationSummary { counted: 5, ..location("s", 4) };
    let south = vec![twice, location("n", 1), location("s/a", 2), location("s/b", 2)];
    is_detected(
        &healthy_fleet_with(vec![shown(50.0, 0, 5, south)]),
        "counts 5 routers in s, but only 4 have ever run there",
    );
    is_detected(
        &healthy_fleet_with(vec![shown(50.0, 4, 6, Vec::new())]),
        "counts 6 routers in all, but only 5 have ever run",
    );
    // Also in a location that is shown as stale.
    is_detected(&healthy_fleet_with(vec![shown(50.0, 4, 5, vec![stale("s", 5)])]), "counts 5 routers in s");
}

/// Continuous restarts of another router never let the bound for changes pass; a router that ended long
/// before must still not be counted.
#[test]
fn a_router_that_ended_long_ago_is_detected_while_others_restart() {
    let mut lines = vec![ceased(QUIET, 1)];
    for n in 0..20 {
        let at = QUIET + 500.0 * f64::from(n);
        lines.extend([ceased(at + 1.0, 3), ran(at + 2.0, 3)]);
    }
    let record = |south| {
        healthy_fleet_with([lines.clone(), vec![shown(QUIET + 10_000.0, 4, 5, in_north(south))]].concat())
    };
    passes(&record(3));
    is_detected(&record(4), "r4 shows 4 alive in s, but only 3 ran there recently");
}

#[test]
fn an_incorrect_count_is_detected_after_its_bound() {
    is_detected(
        &healthy_fleet_with(vec![shown(QUIET, 4, 5, in_north(3))]),
        "shows 3 alive in s, where 4 run",
    );
    // A router ends and its site has another one left: the site notices, and reports it level by level.
    let dead = |at| healthy_fleet_with(vec![ceased(QUIET, 1), shown(QUIET + at, 4, 5, in_north(4))]);
    passes(&dead(2_000.0));
    is_detected(&dead(2_500.0), "shows 4 alive in s, where 3 run");
    // All routers of a site end: that is noticed only once its summary has not been renewed for the bound.
    let lost_site = |at| {
        healthy_fleet_with(vec![ceased(QUIET, 2), ceased(QUIET, 3), shown(QUIET + at, 4, 5, in_north(4))])
    };
    passes(&lost_site(3_500.0));
    is_detected(&lost_site(4_000.0), "shows 4 alive in s, where 2 run");
    // A suspended router does not count as alive, and counts again after it is resumed.
    let paused = line(QUIET, RecordedEvent::Paused { router: "r1".to_string() });
    let woken = line(QUIET + 5_000.0, RecordedEvent::Woken { router: "r1".to_string() });
    is_detected(
        &healthy_fleet_with(vec![paused.clone(), shown(QUIET + 4_000.0, 4, 5, in_north(4))]),
        "where 3 run",
    );
    let back = |alive| {
        healthy_fleet_with(vec![paused.clone(), woken.clone(), shown(2.0 * QUIET, 4, 5, in_north(alive))])
    };
    passes(&back(4));
    is_detected(&back(3), "where 4 run");
}

#[test]
fn a_location_with_incorrect_reachability_is_detected() {
    let cut = |places| {
        healthy_fleet_with(
            [across(QUIET, LinkState::Closed), vec![shown(2.0 * QUIET, 4, 5, places)]].concat(),
        )
    };
    passes(&cut(vec![stale("s", 4), location("n", 1), location("n/c", 1)]));
    is_detected(&cut(in_north(4)), "shows 4 alive in s, where 0 run");
    let back = [across(QUIET, LinkState::Closed), across(2.0 * QUIET, LinkState::Open)].concat();
    let mended = |places| healthy_fleet_with([back.clone(), vec![shown(3.0 * QUIET, 4, 5, places)]].concat());
    passes(&mended(in_north(4)));
    is_detected(
        &mended(vec![stale("s", 4), location("n", 1), location("n/c", 1)]),
        "shows s as stale, where routers run",
    );
    is_detected(
        &mended(vec![location("n", 1), location("n/c", 1)]),
        "does not show s after the bound for changes",
    );
    // A link that is open in one direction only, or uneven, leaves open who is within reach.
    for state in [LinkState::Closed, LinkState::Uneven] {
        passes(&healthy_fleet_with(vec![linked(QUIET, 0, 4, state), shown(2.0 * QUIET, 4, 5, in_north(3))]));
    }
    // So does a site that is connected only by links through other sites.
    let apart = [linked(QUIET, 2, 3, LinkState::Closed), linked(QUIET, 3, 2, LinkState::Closed)].to_vec();
    passes(&healthy_fleet_with([apart, vec![shown(2.0 * QUIET, 4, 5, in_north(3))]].concat()));
}

#[test]
fn a_version_in_use_that_no_summary_has_is_detected() {
    let oldest = |notified, until| {
        let south = LocationSummary { oldest: Some(notified), ..location("s", 4) };
        let places = vec![south, location("n", 1), location("n/c", 1)];
        healthy_fleet_with(vec![
            acted(1_000.0, 2, 6),
            shown(QUIET, 4, 5, places),
            acted(QUIET + 10.0, 2, until),
        ])
    };
    passes(&oldest(6, 6));
    passes(&oldest(5, 6));
    // It moved to the newer version meanwhile.
    passes(&oldest(7, 7));
    is_detected(&oldest(7, 6), "shows Some(7) as the oldest version in s, but r2 is at 6");
}

/// Routers below the floor: one within reach, one that is cut off, and all of them.
#[test]
fn a_straggler_that_is_not_listed_is_detected() {
    let raised = |at, version| line(at, RecordedEvent::Raised { version, bound: 1_000.0 });
    let notified = |behind, names: &[&str]| {
        let stragglers = names.iter().map(|name| name.to_string()).collect();
        let oldest = Some(6);
        let south = LocationSummary { behind, stragglers, oldest, ..location("s", 4) };
        vec![south, location("n", 1), location("n/c", 1)]
    };
    let start = [shown(QUIET, 0, 5, in_south(2, 2)), raised(QUIET + 100.0, 7)];
    let record = |at: Ms, places| {
        let after = [shown(at, 4, 5, places), acted(at + 10.0, 1, 6)];
        healthy_fleet_with([start.as_slice(), after.as_slice()].concat())
    };
    let late = QUIET + 3_000.0;
    passes(&record(late, notified(1, &["r1"])));
    passes(&record(QUIET + 2_000.0, notified(0, &[])));
    is_detected(
        &record(late, notified(0, &[])),
        "counts 0 stragglers in s, but [\"r1\"] are below version 7",
    );
    is_detected(&record(late, notified(1, &["r2"])), "does not list r1 in s");
    // Once there are more stragglers than a summary lists, it is enough that they are counted.
    passes(&record(late, notified(9, &["r2"])));
    // A straggler that is cut off is still listed by the routers of its site.
    let cut = (0..5).filter(|n| *n != 1).flat_map(|n| [(n, 1), (1, n)]);
    let cut: Vec<RecordEntry> = cut.map(|(a, b)| linked(QUIET + 50.0, a, b, LinkState::Closed)).collect();
    let cut_off = |places: Vec<LocationSummary>| {
        let places = places.into_iter().map(|line| match line.place.as_str() {
            "s" => LocationSummary { alive: 3, counted: 4, ..line },
            _ => line,
        });
        let after =
            [raised(QUIET + 100.0, 7), shown(2.0 * QUIET, 4, 5, places.collect()), acted(3.0 * QUIET, 1, 6)];
        healthy_fleet_with([&start[..1], &cut, &after].concat())
    };
    passes(&cut_off(notified(1, &["r1"])));
    is_detected(&cut_off(notified(0, &[])), "counts 0 stragglers in s, but [\"r1\"] are below version 7");
    // The floor is above all versions, so all routers are stragglers, also those that report for their sites.
    let nobody = |places| {
        let all = [shown(QUIET, 4, 5, in_north(4)), raised(QUIET + 100.0, 99), shown(late, 4, 5, places)];
        healthy_fleet_with([&start[..1], &all].concat())
    };
    let north = |behind, names: &[&str], there: u64| {
        let of_one =
            |name| LocationSummary { behind: there, stragglers: vec!["r4".to_string()], ..location(name, 1) };
        vec![notified(behind, names).remove(0), of_one("n"), of_one("n/c")]
    };
    passes(&nobody(north(4, &["r0", "r1", "r2", "r3"], 1)));
    is_detected(&nobody(north(3, &["r1", "r2", "r3"], 1)), "counts 3 stragglers in s, but");
}
