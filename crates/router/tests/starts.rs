//! Routers that start within a change of the hierarchy, or shortly before it: processes that are killed and started
//! again under load. None of them has a past, and nothing else is wrong. Then routers that all start at once while
//! discovery or caches are out of order: when they are ready.

use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, RuleBounds};
use linnethook_testbed::cold_restart::{peak_memory, restart_all, spread, Outage, StartScenario};
use linnethook_testbed::load::{Load, LoadResults, RunningLoad};
use linnethook_testbed::process_cluster::{operator_file, reroute, ProcessCluster};
use linnethook_testbed::recording::{now, RecordedEvent};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
const QUICK: &str =
    "extended = True, announce = 0.3, warm = 2, settle = 1, rest = 0.5, retire = 3, least = 20, held = 3";
const SHOW: [&str; 2] = ["hierarchy", "show"];

/// One at a time: what an overloaded machine makes late is refused for good reason.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn fleet(settings: &str, server_config: impl Fn(ServerRole) -> CacheServerConfig) -> ProcessCluster {
    let mut fleet = ProcessCluster::two_hubs(PROGRAM, 3, server_config).expect("a fleet");
    let caches = ["cache-0", "cache-1", "cache-2"];
    let lists = caches.map(|cache| (cache, &["south", "origin"][..]));
    fleet.record_hierarchy(1, &[&lists[..], &[("south", &["origin"]), ("centre", &["origin"])]].concat());
    let operator = operator_file(3, "south", settings);
    fleet.start_router("n0", Some(&operator), |_| {}).expect("a router");
    fleet
}

/// All caches are to fill by the other parent from now on.
fn change(fleet: &mut ProcessCluster, routers: &[&str]) {
    let lists = ["cache-0", "cache-1", "cache-2"].map(|cache| (cache, &["centre", "origin"][..]));
    let batch = reroute(9, 1, 2, &[(1, 1)], &lists);
    fleet.record_hierarchy(2, &lists);
    routers.iter().for_each(|router| fleet.publish_batch(router, &batch).expect("told"));
}

fn load(fleet: &ProcessCluster, router: &str, seed: u64, objects: u64) -> RunningLoad {
    let load = Load { seed, rate: 100.0, objects, bookings: 0.1, ..Load::default() };
    fleet.load(router, &load).expect("clients")
}

/// Waits for the end of the change, and of what came of it.
fn over(fleet: &ProcessCluster, router: &str) {
    let none = |shown: &serde_json::Value| {
        shown["version"] == 2 && shown["moves"].as_array().is_some_and(Vec::is_empty)
    };
    fleet.until(router, &SHOW, "nothing on its way", none).expect("the change ends");
}

fn clean(fleet: &ProcessCluster) {
    let rules = RuleBounds { slack: 500.0, migration_grace: 7_000.0, ..RuleBounds::default() };
    let breaches = judge(&fleet.record.lines(), &rules);
    assert!(breaches.is_empty(), "{}", breaches.iter().take(8).map(|b| format!("{b}\n")).collect::<String>());
    assert!(fleet.node("origin").ran_twice().is_empty());
}

fn sum(list: &[u32]) -> u32 {
    list.iter().sum()
}

/// Nothing that the origin bears is refused.
fn all_served(ends: &LoadResults, shown: &serde_json::Value) {
    let (asked, served, refused) = (sum(&ends.asked), sum(&ends.served), sum(&ends.refused));
    assert!(
        f64::from(served) >= 0.97 * f64::from(asked),
        "{served} of {asked} served, {refused} refused: {shown}"
    );
}

/// Cold caches, and a change half a second after the router's start.
#[test]
fn a_router_that_starts_just_before_a_change_refuses_nothing_that_the_origin_bears() {
    let _turn = turn();
    let mut fleet = fleet(QUICK, CacheServerConfig::new);
    let running = load(&fleet, "n0", 1, 2_000);
    thread::sleep(Duration::from_millis(500));
    change(&mut fleet, &["n0"]);
    over(&fleet, "n0");
    let shown = fleet.query("n0", &SHOW).expect("shown");
    all_served(&running.finish(), &shown);
    clean(&fleet);
}

/// Killed in the middle of the change, and started again: what is owed after its start is served, cold caches or warm.
#[test]
fn a_router_killed_within_a_change_serves_all_once_it_is_back() {
    let _turn = turn();
    for objects in [2_000, 400] {
        let mut fleet = fleet(QUICK, CacheServerConfig::new);
        let before = load(&fleet, "n0", 1, objects);
        thread::sleep(Duration::from_millis(3_000));
        change(&mut fleet, &["n0"]);
        thread::sleep(Duration::from_millis(1_200));
        fleet.kill_router("n0");
        drop(before.finish());
        fleet.restart_router("n0").expect("it starts again");
        let after = load(&fleet, "n0", 2, objects);
        over(&fleet, "n0");
        let shown = fleet.query("n0", &SHOW).expect("shown");
        all_served(&after.finish(), &shown);
        clean(&fleet);
    }
}

/// What reached the origin in the worst second after the routers were killed within the change: only the first of
/// them, or all at once.
fn worst_second(all: bool) -> (u32, LoadResults) {
    let routers = ["n0", "n1", "n2"];
    // The origin bears next to what goes there: a flood would be late.
    let mut fleet = fleet(QUICK, CacheServerConfig::new);
    let operator = operator_file(3, "south", QUICK);
    for router in &routers[1..] {
        fleet.start_router(router, Some(&operator), |_| {}).expect("a router");
    }
    let mut loads: Vec<RunningLoad> =
        routers.iter().zip(1..).map(|(router, seed)| load(&fleet, router, seed, 1_000)).collect();
    thread::sleep(Duration::from_millis(4_000));
    change(&mut fleet, &routers);
    thread::sleep(Duration::from_millis(1_000));
    let killed = if all { &routers[..] } else { &routers[..1] };
    killed.iter().for_each(|router| fleet.kill_router(router));
    let rest = loads.split_off(killed.len());
    loads.into_iter().for_each(|load| drop(load.finish()));
    let since = now();
    killed.iter().for_each(|router| _ = fleet.restart_router(router).expect("it starts again"));
    let back: Vec<RunningLoad> =
        killed.iter().zip(11..).map(|(router, seed)| load(&fleet, router, seed, 1_000)).collect();
    killed.iter().for_each(|router| over(&fleet, router));
    let mut ends = LoadResults::default();
    for running in back {
        let one = running.finish();
        ends.asked.extend(one.asked);
        ends.served.extend(one.served);
        ends.refused.extend(one.refused);
    }
    rest.into_iter().for_each(|load| drop(load.finish()));
    clean(&fleet);
    let fills = fleet.record.lines().into_iter().filter(|line| line.at >= since).filter(|line| {
        matches!(&line.what, RecordedEvent::Asked { asked, .. } if asked.at == "origin" && asked.class != "booking")
    });
    let at: Vec<f64> = fills.map(|line| line.at).collect();
    let worst = at.iter().map(|from| at.iter().filter(|at| (0.0..1_000.0).contains(&(**at - from))).count());
    (worst.max().unwrap_or(0) as u32, ends)
}

/// All routers are killed within the change and started at once: none refuses what the origin bears, and the origin
/// gets no more in its worst second than with one of them, and the like of what chance adds.
#[test]
fn routers_that_all_start_at_once_within_a_change_do_not_flood_the_origin() {
    let _turn = turn();
    let (one, ends) = worst_second(false);
    all_served(&ends, &serde_json::Value::Null);
    let (all, ends) = worst_second(true);
    all_served(&ends, &serde_json::Value::Null);
    println!("the origin's worst second: {one} with one router started again, {all} with all three");
    assert!(f64::from(all) <= 1.5 * f64::from(one.max(40)), "{all} against {one}");
}

/// All of the routers say that they are ready while discovery has said nothing that is whole, and no cache has where
/// all hang: neither is waited for. The times are printed and not judged.
fn all_ready(case: &StartScenario) {
    let _turn = turn();
    let started = restart_all(Path::new(PROGRAM), case).expect("stand-ins");
    let times: Vec<Duration> = started.iter().flatten().copied().collect();
    println!("{case:?}: median, 95%, worst {:?}", spread(times.clone()));
    assert_eq!(times.len(), case.processes, "{case:?}: {started:?}");
}

#[test]
fn thirty_routers_that_start_at_once_are_ready_without_discovery() {
    for outage in [Outage::Refusing, Outage::Silent, Outage::Trickling] {
        all_ready(&StartScenario::new(outage, 30));
    }
}

#[test]
fn thirty_routers_that_start_at_once_are_ready_with_all_caches_hung() {
    all_ready(&StartScenario { hung: true, ..StartScenario::new(Outage::Silent, 30) });
}

#[test]
fn thirty_routers_that_start_at_once_are_ready_with_a_large_list() {
    all_ready(&StartScenario { listed: 200, purges: 1_000, ..StartScenario::new(Outage::Silent, 30) });
}

#[test]
fn thirty_routers_that_start_at_once_are_ready_on_busy_cores() {
    let cores = thread::available_parallelism().map_or(4, usize::from);
    all_ready(&StartScenario { busy: 2 * cores, ..StartScenario::new(Outage::Silent, 30) });
}

/// A purge is some 80 bytes of the configuration. Where all of them were first held as trees of values, each took 1,750
/// bytes of every router that starts, and three times the steps.
#[test]
fn a_long_list_takes_a_few_times_its_text_while_a_router_starts() {
    let _turn = turn();
    let peak = |purges| {
        let case = StartScenario { purges, ..StartScenario::new(Outage::Silent, 1) };
        peak_memory(Path::new(PROGRAM), &case).expect("a router")
    };
    let (some, many) = (peak(10_000), peak(60_000));
    let each = many.saturating_sub(some) / 50_000;
    println!("{some} bytes with 10,000 purges, {many} with 60,000: {each} by purge");
    assert!(each < 600, "{each} bytes by purge");
}
