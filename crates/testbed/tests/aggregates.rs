//! The rule of aggregates: a sound record passes, and one that is broken is caught, for each of its clauses.

use linnethook_testbed::checker::{judge, Rule, RuleBounds};
use linnethook_testbed::recording::{Asked, LinkState, LocationSummary, Ms, RecordEntry, RecordedEvent};
use linnethook_testbed::rules::AggregateBounds;

/// Two sites of a zone of two routers, and one of another region.
const ROUTERS: [(&str, &str); 5] =
    [("r0", "s/a"), ("r1", "s/a"), ("r2", "s/b"), ("r3", "s/b"), ("r4", "n/c")];

/// All are linked with all from the start, and nothing of that is news after `QUIET`.
const QUIET: Ms = 10_000.0;

fn rules() -> RuleBounds {
    let (suspect, relied_on, by_level) = (500.0, 1_500.0, 400.0);
    let aggregates = AggregateBounds { suspect, relied_on, by_level, moves: 500.0, links: 1_000.0 };
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

/// Both directions between those of the south and the one of the north.
fn across(at: Ms, state: LinkState) -> Vec<RecordEntry> {
    (0..4).flat_map(|n| [linked(at, n, 4, state), linked(at, 4, n, state)]).collect()
}

fn place(place: &str, alive: u64) -> LocationSummary {
    LocationSummary {
        place: place.to_string(),
        fresh: true,
        alive,
        counted: alive,
        oldest: Some(7),
        ..LocationSummary::default()
    }
}

fn lost(name: &str, counted: u64) -> LocationSummary {
    LocationSummary { fresh: false, counted, ..place(name, counted) }
}

fn shown(at: Ms, n: usize, fleet_size: u64, places: Vec<LocationSummary>) -> RecordEntry {
    let (router, fleet_size) = (ROUTERS[n].0.to_string(), Some(fleet_size));
    line(at, RecordedEvent::Shown { router, since: at - 10.0, fleet_size, places })
}

/// What a router of the south shows, and the one of the north.
fn in_south(a: u64, b: u64) -> Vec<LocationSummary> {
    vec![place("s", a + b), place("n", 1), place("s/a", a), place("s/b", b)]
}

fn in_north(south: u64) -> Vec<LocationSummary> {
    vec![place("s", south), place("n", 1), place("n/c", 1)]
}

fn acted(at: Ms, n: usize, version: u64) -> RecordEntry {
    let (router, source) = (Some(ROUTERS[n].0.to_string()), Some("p".to_string()));
    let asked = Asked { at: "a".to_string(), router, source, version: Some(version), ..Asked::default() };
    line(at, RecordedEvent::Asked { attempt: 0, asked })
}

/// All five run and are linked, and so it stays for long.
fn all() -> Vec<RecordEntry> {
    let mut lines =
        vec![line(0.0, RecordedEvent::Shape { version: 7, edges: vec![("a".to_string(), "p".to_string())] })];
    lines.extend((0..5).map(|n| ran(0.0, n)));
    lines.extend(
        (0..5).flat_map(|a| (0..5).filter(move |b| *b != a).map(move |b| linked(1.0, a, b, LinkState::Open))),
    );
    lines
}

fn with(more: Vec<RecordEntry>) -> Vec<RecordEntry> {
    [all(), more].concat()
}

fn found(lines: &[RecordEntry]) -> Vec<(Rule, String)> {
    judge(lines, &rules()).into_iter().map(|breach| (breach.rule, breach.what)).collect()
}

fn sound(lines: &[RecordEntry]) {
    assert_eq!(found(lines), [], "a sound record");
}

/// One breach of the rule, that says this.
fn caught(lines: &[RecordEntry], says: &str) {
    let found = found(lines);
    let [(Rule::Aggregates, what)] = found.as_slice() else { panic!("{says}: {found:?}") };
    assert!(what.contains(says), "{says}: {what}");
}

#[test]
fn counts_that_agree_with_what_runs_pass() {
    let quiet = with(vec![shown(QUIET, 0, 5, in_south(2, 2)), shown(QUIET, 4, 5, in_north(4))]);
    sound(&quiet);
    // In the middle of a start, a kill or a restart a count may be late.
    sound(&with(vec![shown(50.0, 0, 2, vec![place("s/a", 2)])]));
    let killed = with(vec![
        ceased(QUIET, 1),
        shown(QUIET + 200.0, 4, 5, in_north(4)),
        shown(QUIET + 3_000.0, 4, 5, in_north(3)),
        ran(QUIET + 4_000.0, 1),
        shown(QUIET + 4_100.0, 4, 5, in_north(3)),
        shown(QUIET + 8_000.0, 4, 5, in_north(4)),
    ]);
    sound(&killed);
    // A record without places is judged as before.
    sound(&[shown(QUIET, 0, 900, vec![place("s", 900)])]);
}

#[test]
fn a_router_that_is_counted_twice_is_caught_at_once() {
    let twice = LocationSummary { counted: 5, ..place("s", 4) };
    let south = vec![twice, place("n", 1), place("s/a", 2), place("s/b", 2)];
    caught(&with(vec![shown(50.0, 0, 5, south)]), "counts 5 routers in s, and 4 have ever run there");
    caught(&with(vec![shown(50.0, 4, 6, Vec::new())]), "counts 6 routers in all, and 5 have ever run");
    // Also of a place that is not heard of any more.
    caught(&with(vec![shown(50.0, 4, 5, vec![lost("s", 5)])]), "counts 5 routers in s");
}

/// Changes go on and on, so that it is never quiet: one that has long ended counts no more.
#[test]
fn one_that_has_long_ended_is_caught_while_others_come_and_go() {
    let mut lines = vec![ceased(QUIET, 1)];
    for n in 0..20 {
        let at = QUIET + 500.0 * f64::from(n);
        lines.extend([ceased(at + 1.0, 3), ran(at + 2.0, 3)]);
    }
    let record = |south| with([lines.clone(), vec![shown(QUIET + 10_000.0, 4, 5, in_north(south))]].concat());
    sound(&record(3));
    caught(&record(4), "r4 has 4 alive in s, and 3 ran there lately");
}

#[test]
fn a_count_that_stays_false_is_caught_after_its_bound() {
    caught(&with(vec![shown(QUIET, 4, 5, in_north(3))]), "has 3 alive in s, where 4 run");
    // One of a site in which others are left: that is known by its site, and from there level by level.
    let dead = |at| with(vec![ceased(QUIET, 1), shown(QUIET + at, 4, 5, in_north(4))]);
    sound(&dead(2_000.0));
    caught(&dead(2_500.0), "has 4 alive in s, where 3 run");
    // A whole site: only after it was not renewed for long.
    let lost_site = |at| with(vec![ceased(QUIET, 2), ceased(QUIET, 3), shown(QUIET + at, 4, 5, in_north(4))]);
    sound(&lost_site(3_500.0));
    caught(&lost_site(4_000.0), "has 4 alive in s, where 2 run");
    // One that stands still is not alive, and is again when it goes on.
    let paused = line(QUIET, RecordedEvent::Paused { router: "r1".to_string() });
    let woken = line(QUIET + 5_000.0, RecordedEvent::Woken { router: "r1".to_string() });
    caught(&with(vec![paused.clone(), shown(QUIET + 4_000.0, 4, 5, in_north(4))]), "where 3 run");
    let back = |alive| with(vec![paused.clone(), woken.clone(), shown(2.0 * QUIET, 4, 5, in_north(alive))]);
    sound(&back(4));
    caught(&back(3), "where 4 run");
}

#[test]
fn a_place_out_of_reach_that_counts_as_there_is_caught_and_so_is_one_within_reach_that_does_not() {
    let cut =
        |places| with([across(QUIET, LinkState::Closed), vec![shown(2.0 * QUIET, 4, 5, places)]].concat());
    sound(&cut(vec![lost("s", 4), place("n", 1), place("n/c", 1)]));
    caught(&cut(in_north(4)), "has 4 alive in s, where 0 run");
    let back = [across(QUIET, LinkState::Closed), across(2.0 * QUIET, LinkState::Open)].concat();
    let mended = |places| with([back.clone(), vec![shown(3.0 * QUIET, 4, 5, places)]].concat());
    sound(&mended(in_north(4)));
    caught(&mended(vec![lost("s", 4), place("n", 1), place("n/c", 1)]), "hears nothing of s");
    caught(&mended(vec![place("n", 1), place("n/c", 1)]), "shows nothing of s");
    // Over a link that is open in one direction, or not even, nothing can be said for sure.
    for state in [LinkState::Closed, LinkState::Uneven] {
        sound(&with(vec![linked(QUIET, 0, 4, state), shown(2.0 * QUIET, 4, 5, in_north(3))]));
    }
    // Nor of a site that hangs together through others only.
    let apart = [linked(QUIET, 2, 3, LinkState::Closed), linked(QUIET, 3, 2, LinkState::Closed)].to_vec();
    sound(&with([apart, vec![shown(2.0 * QUIET, 4, 5, in_north(3))]].concat()));
}

#[test]
fn an_active_version_that_no_summary_has_is_caught() {
    let oldest = |notified, until| {
        let south = LocationSummary { oldest: Some(notified), ..place("s", 4) };
        let places = vec![south, place("n", 1), place("n/c", 1)];
        with(vec![acted(1_000.0, 2, 6), shown(QUIET, 4, 5, places), acted(QUIET + 10.0, 2, until)])
    };
    sound(&oldest(6, 6));
    sound(&oldest(5, 6));
    // It went over meanwhile.
    sound(&oldest(7, 7));
    caught(&oldest(7, 6), "shows Some(7) as the oldest version in s; r2 is at 6");
}

/// Behind the floor and within reach, behind it and cut off, and behind it as all are.
#[test]
fn a_straggler_that_is_not_named_is_caught() {
    let raised = |at, version| line(at, RecordedEvent::Raised { version, bound: 1_000.0 });
    let notified = |behind, names: &[&str]| {
        let stragglers = names.iter().map(|name| name.to_string()).collect();
        let oldest = Some(6);
        let south = LocationSummary { behind, stragglers, oldest, ..place("s", 4) };
        vec![south, place("n", 1), place("n/c", 1)]
    };
    let start = [shown(QUIET, 0, 5, in_south(2, 2)), raised(QUIET + 100.0, 7)];
    let record = |at: Ms, places| {
        let after = [shown(at, 4, 5, places), acted(at + 10.0, 1, 6)];
        with([start.as_slice(), after.as_slice()].concat())
    };
    let late = QUIET + 3_000.0;
    sound(&record(late, notified(1, &["r1"])));
    sound(&record(QUIET + 2_000.0, notified(0, &[])));
    caught(&record(late, notified(0, &[])), "counts 0 stragglers in s; [\"r1\"] are below 7");
    caught(&record(late, notified(1, &["r2"])), "does not name r1 in s");
    // Beyond those that can be named it is enough that it counts.
    sound(&record(late, notified(9, &["r2"])));
    // Cut off it is still named by those of its site.
    let cut = (0..5).filter(|n| *n != 1).flat_map(|n| [(n, 1), (1, n)]);
    let cut: Vec<RecordEntry> = cut.map(|(a, b)| linked(QUIET + 50.0, a, b, LinkState::Closed)).collect();
    let cut_off = |places: Vec<LocationSummary>| {
        let places = places.into_iter().map(|line| match line.place.as_str() {
            "s" => LocationSummary { alive: 3, counted: 4, ..line },
            _ => line,
        });
        let after =
            [raised(QUIET + 100.0, 7), shown(2.0 * QUIET, 4, 5, places.collect()), acted(3.0 * QUIET, 1, 6)];
        with([&start[..1], &cut, &after].concat())
    };
    sound(&cut_off(notified(1, &["r1"])));
    caught(&cut_off(notified(0, &[])), "counts 0 stragglers in s; [\"r1\"] are below 7");
    // No router acts on such a version: all are behind, also those that speak for their sites.
    let nobody = |places| {
        let all = [shown(QUIET, 4, 5, in_north(4)), raised(QUIET + 100.0, 99), shown(late, 4, 5, places)];
        with([&start[..1], &all].concat())
    };
    let north = |behind, names: &[&str], there: u64| {
        let of_one =
            |name| LocationSummary { behind: there, stragglers: vec!["r4".to_string()], ..place(name, 1) };
        vec![notified(behind, names).remove(0), of_one("n"), of_one("n/c")]
    };
    sound(&nobody(north(4, &["r0", "r1", "r2", "r3"], 1)));
    caught(&nobody(north(3, &["r1", "r2", "r3"], 1)), "counts 3 stragglers in s");
}
