//! The hierarchy on sockets: the topology changes under load, servers of the test fill from each other, and
//! the checker reads the recording.

#[path = "common/stages.rs"]
mod stages;

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use linnethook_hierarchy::change_spec::{ChangeSpec, NodeSpec};
use linnethook_hierarchy::Role;
use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, Breach, Rule, RuleBounds};
use linnethook_testbed::faults::{Fault, When};
use linnethook_testbed::load::Load;
use linnethook_testbed::process_cluster::{
    operator_file, reroute, sources, use_long_deadlines, use_long_deadlines_and_flow, ProcessCluster,
    LONG_DEADLINE_MS,
};
use linnethook_testbed::recording::{now, Asked, Phase, RecordedEvent, WarmUpCapacity};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use stages::{SHORT_STAGES, SHOW};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");

fn fleet(
    routers: &[&str],
    settings: &str,
    server_config: impl Fn(ServerRole) -> CacheServerConfig,
) -> ProcessCluster {
    fleet_with(routers, settings, server_config, use_long_deadlines_and_flow(10))
}

/// The same with nodes that start cold.
fn cold_fleet(
    routers: &[&str],
    settings: &str,
    server_config: impl Fn(ServerRole) -> CacheServerConfig,
) -> ProcessCluster {
    fleet_with(routers, settings, server_config, use_long_deadlines)
}

fn fleet_with(
    routers: &[&str],
    settings: &str,
    server_config: impl Fn(ServerRole) -> CacheServerConfig,
    change: impl Fn(&mut serde_json::Value),
) -> ProcessCluster {
    let mut fleet = ProcessCluster::two_hubs(PROGRAM, 3, server_config).expect("a fleet");
    let operator = operator_file(3, "south", settings);
    fleet.record_hierarchy(1, &[("south", &["origin"]), ("centre", &["origin"])]);
    let caches: Vec<String> = (0..3).map(|n| format!("cache-{n}")).collect();
    let lists: Vec<(&str, &[&str])> = caches.iter().map(|c| (c.as_str(), &["south", "origin"][..])).collect();
    fleet.record_hierarchy(1, &lists);
    for router in routers {
        fleet.start_router(router, Some(&operator), &change).expect("a router");
    }
    fleet
}

/// Clients that wait as long as the router's extended deadline: these tests do not check latency.
fn patient_load() -> Load {
    Load { wait: LONG_DEADLINE_MS, ..Load::default() }
}

/// Runs a `hierarchy` command with JSON output; returns its exit code and output.
fn run_hierarchy(fleet: &ProcessCluster, router: &str, arguments: &[&str]) -> (i32, String) {
    let socket = fleet.socket(router).display().to_string();
    let arguments = [&["hierarchy"], arguments, &["--socket", &socket, "--format", "json"]].concat();
    let output = fleet.command(&arguments).expect("the program runs");
    let text = if output.status.success() { output.stdout } else { output.stderr };
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

fn show(fleet: &ProcessCluster, router: &str) -> serde_json::Value {
    fleet.query(router, &SHOW).expect("shown")
}

/// Waits until the router's `hierarchy show` meets a condition.
fn until(
    fleet: &ProcessCluster,
    router: &str,
    what: &str,
    condition: impl Fn(&serde_json::Value) -> bool,
) -> serde_json::Value {
    fleet.until(router, &SHOW, what, condition).expect("shown")
}

fn assert_no_breaches(fleet: &ProcessCluster) {
    assert_no_breaches_except(fleet, &[]);
}

/// No rule is broken, except for those that the test breaks by the behaviour of its servers.
fn assert_no_breaches_except(fleet: &ProcessCluster, expected: &[Rule]) {
    // The duration of all stages of `SHORT_STAGES`, including the time for which they may pause.
    let rules = RuleBounds { slack: 150.0, migration_grace: 7_000.0, ..RuleBounds::default() };
    let mut breaches: Vec<Breach> = judge(&fleet.record.lines(), &rules);
    breaches.retain(|breach| !expected.contains(&breach.rule));
    assert!(breaches.is_empty(), "{}", breaches.iter().take(8).map(|b| format!("{b}\n")).collect::<String>());
}

/// The recorded requests at all nodes, with their times.
fn recorded_requests(fleet: &ProcessCluster) -> Vec<(f64, Asked)> {
    let lines = fleet.record.lines().into_iter();
    lines
        .filter_map(
            |l| if let RecordedEvent::Asked { asked, .. } = l.what { Some((l.at, asked)) } else { None },
        )
        .collect()
}

/// Source lists by which all caches fill from a parent.
fn caches_from(parent: &str) -> BTreeMap<String, Vec<String>> {
    (0..3).map(|n| (format!("cache-{n}"), vec![parent.to_string(), "origin".to_string()])).collect()
}

fn source_lists(all: &BTreeMap<String, Vec<String>>) -> Vec<(String, Vec<&str>)> {
    all.iter().map(|(node, list)| (node.clone(), list.iter().map(String::as_str).collect())).collect()
}

/// Publishes a batch that gives nodes other sources to some routers.
fn change(
    fleet: &mut ProcessCluster,
    author: u16,
    number: u64,
    stamp: u64,
    basis: &[(u16, u64)],
    to: &BTreeMap<String, Vec<String>>,
    routers: &[&str],
) {
    let lists = source_lists(to);
    let lists: Vec<(&str, &[&str])> =
        lists.iter().map(|(node, list)| (node.as_str(), list.as_slice())).collect();
    let batch = reroute(author, number, stamp, basis, &lists);
    fleet.record_hierarchy(stamp, &lists);
    for router in routers {
        fleet.publish_batch(router, &batch).expect("published");
    }
}

/// All caches move to another parent under load: the fills move by stages, the new parent fills from the old
/// one what that has cached, and no rule is broken.
#[test]
fn a_move_under_load_passes_its_stages_and_breaks_no_rule() {
    let mut fleet = fleet(&["n0"], SHORT_STAGES, CacheServerConfig::new);
    let load = Load { rate: 150.0, objects: 400, bookings: 0.05, ..patient_load() };
    let running = fleet.load("n0", &load).expect("clients");
    thread::sleep(Duration::from_millis(1_500));
    change(&mut fleet, 9, 1, 2, &[(1, 1)], &caches_from("centre"), &["n0"]);
    let started = now();
    until(&fleet, "n0", "warming", |shown| shown["moves"][0]["stage"] == "warming");
    until(&fleet, "n0", "settled and removed", |shown| shown["moves"].as_array().is_some_and(Vec::is_empty));
    thread::sleep(Duration::from_millis(800));
    let ends = running.finish();
    assert_no_breaches(&fleet);
    assert!(ends.served_share(0..100) > 0.95, "{ends:?}");
    let requests = recorded_requests(&fleet);
    let from_old_parent = requests.iter().filter(|(_, a)| a.at == "south" && a.cached_only).count();
    assert!(from_old_parent > 0, "the new parent must request cached objects from the old one");
    let last = requests.iter().rev().find(|(_, a)| a.source.is_some()).expect("fills");
    assert_eq!(last.1.source.as_deref(), Some("centre"));
    assert!(
        requests.iter().any(|(at, a)| *at > started && a.source.as_deref() == Some("south")),
        "fills must not move all at once"
    );
    assert!(fleet.node("origin").ran_twice().is_empty());
}

/// Two concurrent changes that together form a loop reach two routers in opposite order. Both routers
/// converge to the same topology with one edge suspended, and no fill loops.
#[test]
fn concurrent_changes_that_form_a_loop_suspend_the_same_edge_at_every_router() {
    let routers = ["n0", "n1"];
    let mut fleet = fleet(&routers, SHORT_STAGES, CacheServerConfig::new);
    let loads: Vec<_> = routers
        .iter()
        .zip(1..)
        .map(|(router, seed)| {
            fleet.load(router, &Load { seed, rate: 60.0, ..patient_load() }).expect("clients")
        })
        .collect();
    let to = |node: &str, source: &str| {
        BTreeMap::from([(node.to_string(), vec![source.to_string(), "origin".to_string()])])
    };
    let basis = [(1, 1)];
    let (first, second) = (to("south", "centre"), to("centre", "south"));
    change(&mut fleet, 9, 1, 2, &basis, &first, &["n0"]);
    change(&mut fleet, 10, 1, 2, &basis, &second, &["n1"]);
    thread::sleep(Duration::from_millis(300));
    change(&mut fleet, 10, 1, 2, &basis, &second, &["n0"]);
    change(&mut fleet, 9, 1, 2, &basis, &first, &["n1"]);
    // The second publication of a batch has another `effective_at` and the same id: it must not count as a
    // further batch.
    let shown: Vec<_> = routers
        .iter()
        .map(|router| until(&fleet, router, "one suspended", |shown| shown["suspended"] == 1))
        .collect();
    assert_eq!(shown[0]["digest"], shown[1]["digest"]);
    // Once the loop is gone the suspended edge is restored.
    change(&mut fleet, 9, 2, 3, &[(1, 1), (10, 1)], &to("south", "origin"), &routers);
    for router in routers {
        until(&fleet, router, "none suspended", |shown| shown["suspended"] == 0);
    }
    loads.into_iter().for_each(|load| drop(load.finish()));
    assert_no_breaches(&fleet);
}

/// Nodes with a topology of their own make a fill loop: the node that finds itself in the fill's path rejects
/// it as not run, and the router excludes the edge by which the fill got there.
#[test]
fn a_fill_loop_between_nodes_is_rejected_and_its_edge_excluded() {
    let disobedient = |kind| CacheServerConfig { follows_path: false, ..CacheServerConfig::new(kind) };
    let fleet = fleet(&["n0"], SHORT_STAGES, disobedient);
    fleet.node("south").set_upstream(&["centre"], 5);
    fleet.node("centre").set_upstream(&["south"], 4);
    let running = fleet.load("n0", &Load { rate: 80.0, ..patient_load() }).expect("clients");
    fleet.logged("n0", "a fill loop was detected").expect("logged");
    until(&fleet, "n0", "an excluded edge", |shown| shown["held_back"].as_u64() > Some(0));
    thread::sleep(Duration::from_millis(700));
    let ends = running.finish();
    let lines = fleet.record.lines();
    let loops =
        lines.iter().filter(|l| matches!(&l.what, RecordedEvent::Ended { res, .. } if res == "LOOP")).count();
    assert!(loops > 0);
    let from_origin =
        recorded_requests(&fleet).iter().filter(|(_, a)| a.source.as_deref() == Some("origin")).count();
    assert!(from_origin > 0 && ends.served_share(0..100) > 0.5, "{from_origin} {ends:?}");
    // The nodes use edges that the router does not know.
    assert_no_breaches_except(&fleet, &[Rule::NoStrangeEdge]);
}

/// The new parent drains, and then fails, while it is warming up; later the old one fails. The remaining
/// sources are used, the drain is observed, and a change that was rolled back starts again when its source
/// has recovered.
#[test]
fn sources_that_are_lost_in_the_middle_of_a_change() {
    let mut fleet = cold_fleet(&["n0"], SHORT_STAGES, CacheServerConfig::new);
    let running = fleet.load("n0", &Load { rate: 120.0, objects: 600, ..patient_load() }).expect("clients");
    thread::sleep(Duration::from_millis(500));
    change(&mut fleet, 9, 1, 2, &[(1, 1)], &caches_from("centre"), &["n0"]);
    until(&fleet, "n0", "warming", |shown| shown["moves"][0]["stage"] == "warming");
    fleet.publish_phase("centre", Phase::Draining).expect("published");
    until(&fleet, "n0", "rolled back", |shown| shown["moves"][0]["stage"] == "rolledback(lost)");
    thread::sleep(Duration::from_millis(400));
    fleet.node("centre").kill();
    fleet.publish_phase("centre", Phase::Removed).expect("published");
    thread::sleep(Duration::from_millis(600));
    fleet.restart_server("centre").expect("it restarts at its address");
    until(&fleet, "n0", "warming again", |shown| shown["moves"][0]["stage"] == "warming");
    // The old parent fails too: a rollback is no longer possible.
    fleet.node("south").kill();
    fleet.publish_phase("south", Phase::Removed).expect("published");
    until(&fleet, "n0", "all fills from the new parent", |shown| {
        shown["moves"].as_array().is_some_and(|moves| moves.iter().all(|m| m["part"] == 1.0))
    });
    thread::sleep(Duration::from_millis(500));
    running.finish();
    assert_no_breaches(&fleet);
    // While it is cold the new parent gets a part of the fills, by the slow start rule; the others go to the
    // origin.
    let requests = recorded_requests(&fleet);
    let late: Vec<&Asked> =
        requests.iter().rev().take(40).map(|(_, a)| a).filter(|a| a.source.is_some()).collect();
    assert!(late.iter().any(|a| a.source.as_deref() == Some("centre")));
    assert!(late.iter().all(|a| a.source.as_deref() != Some("south")));
}

/// A cold hub cache gets fills right after a change, while the origin is slow: neither of them is overloaded.
#[test]
fn a_cold_hub_cache_gets_fills_while_the_origin_is_slow() {
    let cold =
        WarmUpCapacity { capacity: 60.0, from: 0.1, warm_in: 4_000.0, fall_multiple: 2.0, window: 1_000.0 };
    let server_config = move |kind| {
        let cold = if kind == ServerRole::Parent { cold } else { WarmUpCapacity::default() };
        CacheServerConfig { cold, ..CacheServerConfig::new(kind) }
    };
    let mut fleet = cold_fleet(&["n0"], SHORT_STAGES, server_config);
    thread::sleep(Duration::from_millis(4_200));
    fleet.node("centre").kill();
    fleet.restart_server("centre").expect("it starts cold");
    let running = fleet.load("n0", &Load { rate: 50.0, objects: 300, ..patient_load() }).expect("clients");
    thread::sleep(Duration::from_millis(600));
    let slow = When::Between(now(), now() + 2_500.0);
    fleet.node("origin").script().add(Fault::Slow(150.0), slow);
    change(&mut fleet, 9, 1, 2, &[(1, 1)], &caches_from("centre"), &["n0"]);
    until(&fleet, "n0", "warming", |shown| shown["moves"][0]["stage"] == "warming");
    thread::sleep(Duration::from_millis(2_500));
    running.finish();
    assert!(!fleet.node("centre").has_fallen());
    assert_no_breaches(&fleet);
}

/// A change is rolled back halfway under load: from then on nothing is filled from the new source.
#[test]
fn a_change_rolled_back_in_the_middle() {
    let mut fleet = fleet(&["n0"], SHORT_STAGES, CacheServerConfig::new);
    let running = fleet.load("n0", &Load { rate: 100.0, objects: 2_000, ..patient_load() }).expect("clients");
    thread::sleep(Duration::from_millis(500));
    change(&mut fleet, 9, 1, 2, &[(1, 1)], &caches_from("centre"), &["n0"]);
    until(&fleet, "n0", "a part of the fills from the new parent", |shown| {
        shown["moves"][0]["part"].as_f64() > Some(0.3)
    });
    let (code, text) = run_hierarchy(&fleet, "n0", &["rollback", "9", "1"]);
    assert_eq!(code, 0, "{text}");
    let rolled_back = now();
    let shown = until(&fleet, "n0", "no move in progress", |shown| {
        shown["moves"].as_array().is_some_and(Vec::is_empty)
    });
    assert_eq!((shown["version"].as_u64(), shown["suspended"].as_u64()), (Some(3), Some(0)));
    thread::sleep(Duration::from_millis(500));
    running.finish();
    // Queued fills may still be sent.
    let is_from_new = |at: f64, a: &Asked| at > rolled_back + 250.0 && a.source.as_deref() == Some("centre");
    assert!(!recorded_requests(&fleet).iter().any(|(at, a)| is_from_new(*at, a)));
    assert_no_breaches(&fleet);
}

/// The parent of the caches is removed, and a new one gets its address. The new one is used under its own
/// name, from a cold start, and only once a change has made it a source.
#[test]
fn a_new_parent_at_the_address_of_one_that_was_removed() {
    let mut fleet = fleet_with(&["n0"], SHORT_STAGES, CacheServerConfig::new, |_| {});
    let running = fleet.load("n0", &Load { rate: 100.0, objects: 600, ..Load::default() }).expect("clients");
    thread::sleep(Duration::from_millis(600));
    fleet.replace_server("south", "north", CacheServerConfig::new(ServerRole::Parent)).expect("a successor");
    thread::sleep(Duration::from_millis(500));
    let at_new_parent =
        |fleet: &ProcessCluster| recorded_requests(fleet).iter().filter(|(_, a)| a.at == "north").count();
    assert_eq!(at_new_parent(&fleet), 0, "the topology does not have the new parent yet");
    let spec = NodeSpec {
        name: "north".to_string(),
        role: Role::Parent,
        site: "north".to_string(),
        tier: 1,
        capacity: 30.0,
        retiring: false,
        sources: sources(&["origin"]),
    };
    let to = caches_from("north");
    let lists = source_lists(&to);
    let lists: Vec<(&str, &[&str])> =
        lists.iter().map(|(node, list)| (node.as_str(), list.as_slice())).collect();
    let mut batch = reroute(9, 1, 2, &[(1, 1)], &lists);
    batch.changes.insert(0, ChangeSpec::Add(spec));
    fleet.record_hierarchy(2, &[&lists[..], &[("north", &["origin"])]].concat());
    fleet.publish_batch("n0", &batch).expect("published");
    until(&fleet, "n0", "all fills from the new parent", |shown| {
        shown["version"] == 2
            && shown["moves"].as_array().is_some_and(|moves| moves.iter().all(|m| m["part"] == 1.0))
    });
    thread::sleep(Duration::from_millis(500));
    running.finish();
    assert_no_breaches(&fleet);
    assert!(at_new_parent(&fleet) > 0);
    assert!(recorded_requests(&fleet)
        .iter()
        .filter(|(_, a)| a.at == "north")
        .all(|(_, a)| a.source.is_none()));
}

/// A purge during a change: no older copy arrives from the old parent after the grace period. Also a batch
/// that is planned on an earlier version and published twice, and a router that restarts between the stages.
#[test]
fn purges_repeated_batches_and_restarts_during_a_change() {
    let mut fleet = fleet(&["n0", "n1"], SHORT_STAGES, CacheServerConfig::new);
    let few_objects = Load { rate: 80.0, objects: 5, ..patient_load() };
    let running = fleet.load("n0", &few_objects).expect("clients");
    thread::sleep(Duration::from_millis(500));
    let object = recorded_requests(&fleet).first().map(|(_, a)| a.object.clone()).expect("an object");
    change(&mut fleet, 9, 1, 2, &[(1, 1)], &caches_from("centre"), &["n0", "n1"]);
    until(&fleet, "n0", "warming", |shown| shown["moves"][0]["stage"] == "warming");
    fleet.purge(&object, Duration::from_millis(1_500));
    // A batch that was planned on the topology before the change is outdated, and all of it is rejected.
    let outdated = reroute(10, 1, 3, &[(1, 1)], &[("cache-0", &["origin"])]);
    for router in ["n0", "n1"] {
        fleet.publish_batch(router, &outdated).expect("published");
        fleet.publish_batch(router, &outdated).expect("published again");
        fleet.logged(router, "was changed by batch").expect("logged");
    }
    let digest = show(&fleet, "n0")["digest"].clone();
    fleet.kill_router("n1");
    fleet.restart_router("n1").expect("restarted");
    let shown = until(&fleet, "n1", "the same topology", |shown| shown["digest"] == digest);
    assert_eq!(shown["version"], 3);
    thread::sleep(Duration::from_millis(500));
    running.finish();
    assert_no_breaches(&fleet);
}

/// Many changes of the topology from a seed, under load: each request is answered once, and no rule is
/// broken.
#[test]
fn many_changes_under_load_break_no_rule() {
    for seed in [1, 2] {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = SHORT_STAGES
            .replace("announce = 0.3, warm = 2, settle = 1", "announce = 0.05, warm = 0.2, settle = 0.1");
        let routers = ["n0", "n1"];
        let mut fleet = fleet(&routers, &settings, CacheServerConfig::new);
        let load = Load { rate: 60.0, bookings: 0.05, seed, ..patient_load() };
        let loads: Vec<_> =
            routers.iter().map(|router| fleet.load(router, &load).expect("clients")).collect();
        for n in 0..200u64 {
            let node = ["cache-0", "cache-1", "cache-2", "south", "centre"][random.random_range(0..5)];
            let other = if node == "south" { "centre" } else { "south" };
            let source = [other, "centre", "origin"][random.random_range(0..3)];
            let mut list = vec![source.to_string(), "origin".to_string()];
            list.dedup();
            list.retain(|name| name != node);
            let to = BTreeMap::from([(node.to_string(), list)]);
            let number = n + 1;
            change(&mut fleet, 9, number, number + 1, &[(1, 1), (9, n)], &to, &routers);
            thread::sleep(Duration::from_millis(random.random_range(5..30)));
        }
        let shown = until(&fleet, "n0", "all batches", |shown| shown["version"] == 201);
        let other = until(&fleet, "n1", "all batches", |shown| shown["version"] == 201);
        assert_eq!(shown["digest"], other["digest"]);
        loads.into_iter().for_each(|load| drop(load.finish()));
        assert_no_breaches(&fleet);
        assert!(fleet.node("origin").ran_twice().is_empty());
    }
}
