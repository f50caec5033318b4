//! Routers that start during a change of the hierarchy or shortly before it: processes that are killed and
//! restarted under load, without stored state and without any other fault. Also routers that all start at
//! once while discovery or the caches do not respond: they must become ready.

#[path = "common/stages.rs"]
mod stages;

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
use stages::{SHORT_STAGES, SHOW};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");

/// Held by one test at a time: on an overloaded machine late requests would rightly be rejected.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Publishes the change after which all caches fill from the other parent.
fn change(fleet: &mut ProcessCluster, routers: &[&str]) {
    let lists = ["cache-0", "cache-1", "cache-2"].map(|cache| (cache, &["centre", "origin"][..]));
    let batch = reroute(9, 1, 2, &[(1, 1)], &lists);
    fleet.record_hierarchy(2, &lists);
    routers.iter().for_each(|router| fleet.publish_batch(router, &batch).expect("published"));
}

fn load(fleet: &ProcessCluster, router: &str, seed: u64, objects: u64) -> RunningLoad {
    let load = Load { seed, rate: 100.0, objects, bookings: 0.1, ..Load::default() };
    fleet.load(router, &load).expect("clients")
}

/// Waits until the change and all its moves are complete.
fn wait_for_change(fleet: &ProcessCluster, router: &str) {
    let is_complete = |shown: &serde_json::Value| {
        shown["version"] == 2 && shown["moves"].as_array().is_some_and(Vec::is_empty)
    };
    fleet.until(router, &SHOW, "no move in progress", is_complete).expect("the change ends");
}

fn assert_no_breaches(fleet: &ProcessCluster) {
    let rules = RuleBounds { slack: 500.0, migration_grace: 7_000.0, ..RuleBounds::default() };
    let breaches = judge(&fleet.record.lines(), &rules);
    assert!(breaches.is_empty(), "{}", breaches.iter().take(8).map(|b| format!("{b}\n")).collect::<String>());
    assert!(fleet.node("origin").ran_twice().is_empty());
}

fn sum(list: &[u32]) -> u32 {
    list.iter().sum()
}

/// Nothing for which the origin has capacity is rejected.
fn assert_all_served(ends: &LoadResults, shown: &serde_json::Value) {
    let (requested, served, rejected) = (sum(&ends.asked), sum(&ends.served), sum(&ends.refused));
    assert!(
        f64::from(served) >= 0.97 * f64::from(requested),
        "{served} of {requested} served, {rejected} rejected: {shown}"
    );
}

/// Cold caches, and a change half a second after the router's start.
#[test]
fn a_router_that_starts_just_before_a_change_rejects_nothing_within_the_origins_capacity() {
    let _alone = run_alone();
    let mut fleet = fleet(SHORT_STAGES, CacheServerConfig::new);
    let running = load(&fleet, "n0", 1, 2_000);
    thread::sleep(Duration::from_millis(500));
    change(&mut fleet, &["n0"]);
    wait_for_change(&fleet, "n0");
    let shown = fleet.query("n0", &SHOW).expect("shown");
    assert_all_served(&running.finish(), &shown);
    assert_no_breaches(&fleet);
}

/// A router is killed in the middle of a change and restarted: all requests after the restart are served,
/// with cold and with warm caches.
#[test]
fn a_router_killed_during_a_change_serves_all_once_it_has_restarted() {
    let _alone = run_alone();
    for objects in [2_000, 400] {
        let mut fleet = fleet(SHORT_STAGES, CacheServerConfig::new);
        let before = load(&fleet, "n0", 1, objects);
        thread::sleep(Duration::from_millis(3_000));
        change(&mut fleet, &["n0"]);
        thread::sleep(Duration::from_millis(1_200));
        fleet.kill_router("n0");
        drop(before.finish());
        fleet.restart_router("n0").expect("restarted");
        let after = load(&fleet, "n0", 2, objects);
        wait_for_change(&fleet, "n0");
        let shown = fleet.query("n0", &SHOW).expect("shown");
        assert_all_served(&after.finish(), &shown);
        assert_no_breaches(&fleet);
    }
}

/// The most requests at the origin in any second after routers were killed during the change: the first
/// router alone, or all at once.
fn worst_second(all: bool) -> (u32, LoadResults) {
    let routers = ["n0", "n1", "n2"];
    // The load is close to the origin's capacity: a surge would make requests late.
    let mut fleet = fleet(SHORT_STAGES, CacheServerConfig::new);
    let operator = operator_file(3, "south", SHORT_STAGES);
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
    let restarted_at = now();
    killed.iter().for_each(|router| _ = fleet.restart_router(router).expect("restarted"));
    let restarted: Vec<RunningLoad> =
        killed.iter().zip(11..).map(|(router, seed)| load(&fleet, router, seed, 1_000)).collect();
    killed.iter().for_each(|router| wait_for_change(&fleet, router));
    let mut ends = LoadResults::default();
    for running in restarted {
        let one = running.finish();
        ends.asked.extend(one.asked);
        ends.served.extend(one.served);
        ends.refused.extend(one.refused);
    }
    rest.into_iter().for_each(|load| drop(load.finish()));
    assert_no_breaches(&fleet);
    let fills = fleet.record.lines().into_iter().filter(|line| line.at >= restarted_at).filter(|line| {
        matches!(
            &line.what,
            RecordedEvent::Asked { asked, .. } if asked.at == "origin" && asked.class != "booking"
        )
    });
    let at: Vec<f64> = fills.map(|line| line.at).collect();
    let worst = at.iter().map(|from| at.iter().filter(|at| (0.0..1_000.0).contains(&(**at - from))).count());
    (worst.max().unwrap_or(0) as u32, ends)
}

/// All routers are killed during the change and restarted at once: none rejects requests within the origin's
/// capacity, and the origin gets no more in its worst second than when one router restarts, apart from random
/// variation.
#[test]
fn routers_that_all_restart_at_once_during_a_change_do_not_overload_the_origin() {
    let _alone = run_alone();
    let (one, ends) = worst_second(false);
    assert_all_served(&ends, &serde_json::Value::Null);
    let (all, ends) = worst_second(true);
    assert_all_served(&ends, &serde_json::Value::Null);
    println!("the origin's worst second: {one} with one restarted router, {all} with all three");
    assert!(f64::from(all) <= 1.5 * f64::from(one.max(40)), "{all} against {one}");
}

/// All routers report that they are ready before discovery has sent a complete response, and before any cache
/// has responded if all caches hang: they wait for neither. The times are printed and not checked.
fn assert_all_ready(case: &StartScenario) {
    let _alone = run_alone();
    let started = restart_all(Path::new(PROGRAM), case).expect("the servers listen");
    let times: Vec<Duration> = started.iter().flatten().copied().collect();
    println!("{case:?}: median, 95%, worst {:?}", spread(times.clone()));
    assert_eq!(times.len(), case.processes, "{case:?}: {started:?}");
}

#[test]
fn thirty_routers_that_start_at_once_become_ready_without_discovery() {
    for outage in [Outage::Refusing, Outage::Silent, Outage::Trickling] {
        assert_all_ready(&StartScenario::new(outage, 30));
    }
}

#[test]
fn thirty_routers_that_start_at_once_become_ready_with_all_caches_hung() {
    assert_all_ready(&StartScenario { hung: true, ..StartScenario::new(Outage::Silent, 30) });
}

#[test]
fn thirty_routers_that_start_at_once_become_ready_with_a_large_endpoint_list() {
    assert_all_ready(&StartScenario { listed: 200, purges: 1_000, ..StartScenario::new(Outage::Silent, 30) });
}

#[test]
fn thirty_routers_that_start_at_once_become_ready_on_busy_cores() {
    let cores = thread::available_parallelism().map_or(4, usize::from);
    assert_all_ready(&StartScenario { busy: 2 * cores, ..StartScenario::new(Outage::Silent, 30) });
}

/// A purge is about 80 bytes of the configuration. Parsing all purges into JSON value trees first took 1,750
/// bytes each at every start of a router, and three times the steps.
#[test]
fn the_memory_for_a_long_list_at_a_start_is_a_small_multiple_of_its_text() {
    let _alone = run_alone();
    let peak = |purges| {
        let case = StartScenario { purges, ..StartScenario::new(Outage::Silent, 1) };
        peak_memory(Path::new(PROGRAM), &case).expect("a router")
    };
    let (some, many) = (peak(10_000), peak(60_000));
    let each = many.saturating_sub(some) / 50_000;
    println!("{some} bytes with 10,000 purges, {many} with 60,000: {each} a purge");
    assert!(each < 600, "{each} bytes a purge");
}
