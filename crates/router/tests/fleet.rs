//! Peer routers as processes of the built program, under load and with faults between them.

#[path = "common/pause.rs"]
mod pause;

use std::thread;

use linnethook_testbed::fault_proxy::Corruption;
use linnethook_testbed::harness::{alive, line, name, script, Harness, Plan};
use linnethook_testbed::recording::{Phase, RecordedEvent};
use pause::pause;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");

fn start_harness(routers: usize) -> Harness {
    Harness::start(PROGRAM, Plan { routers, ..Plan::default() }).expect("a fleet")
}

/// Ends the load; no rule may be broken.
fn finish(harness: &mut Harness) {
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

fn served_share(harness: &Harness) -> f64 {
    let sum = |list: fn(&linnethook_testbed::load::LoadResults) -> &Vec<u32>| -> f64 {
        harness.ends.iter().map(|ends| f64::from(list(ends).iter().sum::<u32>())).sum()
    };
    sum(|ends| &ends.served) / sum(|ends| &ends.asked).max(1.0)
}

/// Whether a router shows another one in this state.
fn has_state(shown: &serde_json::Value, n: usize, state: &str) -> bool {
    line(shown, &name(n)).is_some_and(|line| line["standing"] == state)
}

#[test]
fn only_a_killed_router_is_suspected_and_it_rejoins_with_a_later_incarnation() {
    let mut harness = start_harness(4);
    harness.load_all().expect("the load starts");
    let incarnation = line(&harness.shown(0).expect("shown"), "r2").expect("known")["start"].as_u64();
    harness.kill(2);
    for n in [0, 1, 3] {
        harness
            .until(n, "r2 is suspected", |shown| has_state(shown, 2, "Suspected") && alive(shown) == 2)
            .expect("shown");
    }
    harness.restart_router(2).expect("restarted");
    harness.load(2).expect("the load starts");
    for n in [0, 1, 3] {
        let has_rejoined = |shown: &serde_json::Value| {
            alive(shown) == 3 && line(shown, "r2").unwrap()["start"].as_u64() > incarnation
        };
        harness.until(n, "r2 has rejoined", has_rejoined).expect("shown");
    }
    harness.fleet.logged("r0", "r2 has restarted").expect("logged");
    finish(&mut harness);
}

/// The journal is silent for two routers: they learn of a drain, a purge and a batch from the router that it
/// notifies.
#[test]
fn drains_purges_and_batches_reach_routers_whose_journal_is_silent() {
    let mut harness = start_harness(3);
    harness.load_all().expect("the load starts");
    pause(500);
    harness.publish_phase("cache-1", Phase::Draining, &[0]).expect("published");
    for n in [1, 2] {
        let is_barred =
            |shown: &serde_json::Value| shown["barred"][0][0] == "cache-1" && shown["drains"] == 1;
        harness.until(n, "the drain", is_barred).expect("received");
        let (router, node) = (name(n), "cache-1".to_string());
        harness.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    // An operator's batch, applied at one router.
    harness.move_cache(2, 0).expect("applied");
    harness.settle().expect("all act on the same hierarchy");
    assert_eq!(harness.shown(0).expect("shown")["batches"], 1);
    let object = harness.fleet.record.lines().iter().find_map(|line| match &line.what {
        RecordedEvent::Asked { asked, .. } if asked.class == "video" => Some(asked.object.clone()),
        _ => None,
    });
    harness.purge(&object.expect("an object"), &[0]).expect("published");
    for n in [1, 2] {
        harness.until(n, "the purge", |shown| shown["purges"] == 1).expect("received");
    }
    // The journals recover: events that are already known from peers are not counted again.
    harness.catch_up(&[1, 2]).expect("published");
    for n in [1, 2] {
        let has_own_journal = |shown: &serde_json::Value| {
            shown["fellows"]["me"]["acts"]["journal"] == 3
                && shown["barred"].as_array().is_some_and(Vec::is_empty)
        };
        let shown = harness.until(n, "its own journal", has_own_journal).expect("received");
        assert_eq!((&shown["drains"], &shown["purges"]), (&1.into(), &1.into()));
    }
    pause(400);
    finish(&mut harness);
}

/// An older event of a router's own journal does not override a newer one from its peers: a cache is drained,
/// ready and drained again, and the router's own journal has delivered only the first two events.
#[test]
fn an_older_entry_never_replaces_a_newer_one() {
    let mut harness = start_harness(3);
    harness.load_all().expect("the load starts");
    for phase in [Phase::Draining, Phase::Ready, Phase::Draining] {
        harness.publish_phase("cache-1", phase, &[0]).expect("published");
    }
    let is_barred = |shown: &serde_json::Value| shown["barred"][0] == serde_json::json!(["cache-1", 4]);
    harness.until(1, "the newest event", is_barred).expect("received");
    let (router, node) = (name(1), "cache-1".to_string());
    harness.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    pause(300);
    let from = harness.fleet.record.len();
    harness.deliver_events(1, 2).expect("published");
    let has_own_journal = |shown: &serde_json::Value| shown["fellows"]["me"]["acts"]["journal"] == 3;
    let shown = harness.until(1, "the older events", has_own_journal).expect("received");
    assert!(is_barred(&shown), "{shown}");
    pause(700);
    harness.end_loads();
    let lines = harness.fleet.record.lines();
    let requests = lines[from..].iter().filter(|line| {
        matches!(
            &line.what,
            RecordedEvent::Asked { asked, .. }
                if asked.at == "cache-1" && asked.router.as_deref() == Some("r1")
        )
    });
    assert_eq!(requests.count(), 0, "no request goes to a cache that is drained according to the peers");
}

/// A drain that a router's own journal has ended since, long enough ago that the end is no longer gossiped,
/// is not new when a peer still reports it.
#[test]
fn a_drain_that_the_own_journal_has_ended_is_not_new_from_a_peer() {
    let plan = Plan { routers: 2, ..Plan::default() };
    let cluster_settings = format!("{}, purges = 10", plan.cluster_settings);
    let mut harness = Harness::start(PROGRAM, Plan { cluster_settings, ..plan }).expect("a fleet");
    harness.load_all().expect("the load starts");
    harness.publish_phase("cache-1", Phase::Draining, &[0]).expect("published");
    harness.until(1, "the drain", |shown| shown["barred"][0][0] == "cache-1").expect("received");
    harness.isolate(1).expect("cut off");
    harness.publish_phase("cache-1", Phase::Ready, &[1]).expect("published");
    harness
        .until(1, "its journal", |shown| shown["fellows"]["me"]["acts"]["journal"] == 3)
        .expect("received");
    harness
        .until(1, "the end of the drain expires", |shown| shown["fellows"]["facts"] == 2)
        .expect("expired");
    harness.clear_all_faults();
    harness
        .until(1, "its peer is alive", |shown| alive(shown) == 1 && shown["fellows"]["facts"] == 3)
        .expect("received");
    pause(500);
    let shown = harness.shown(1).expect("shown");
    assert!(shown["barred"].as_array().is_some_and(Vec::is_empty) && shown["drains"] == 1, "{shown}");
    finish(&mut harness);
}

/// A router that is cut off during a drain and a batch learns of both after it reconnects, and not before.
#[test]
fn a_router_that_was_cut_off_learns_what_it_missed() {
    let mut harness = start_harness(4);
    harness.load_all().expect("the load starts");
    harness.isolate(3).expect("cut off");
    harness.publish_phase("cache-0", Phase::Draining, &[0, 1, 2]).expect("published");
    harness.move_cache(1, 1).expect("applied");
    harness.until(0, "r3 is suspected", |shown| has_state(shown, 3, "Suspected")).expect("shown");
    let shown = harness.shown(3).expect("shown");
    assert!(shown["drains"] == 0 && shown["batches"] == 0, "{shown}");
    harness.clear_all_faults();
    harness.settle().expect("all act on the same hierarchy");
    let caught_up = |shown: &serde_json::Value| shown["drains"] == 1 && shown["batches"] == 1;
    harness.until(3, "it has caught up", caught_up).expect("received");
    finish(&mut harness);
    assert!(
        served_share(&harness) > 0.97,
        "a cut between peers must not lose requests: {}",
        served_share(&harness)
    );
}

/// A router receives over a link and its own messages are lost: both ends close the link, as neither can rely
/// on it. Both routers stay alive for each other over a third one.
#[test]
fn a_cut_in_one_direction_ends_the_link_and_another_route_keeps_both_alive() {
    let mut harness = start_harness(3);
    harness.load_all().expect("the load starts");
    harness.block_direction(1, 2);
    let has_links =
        |n: u64| move |shown: &serde_json::Value| shown["fellows"]["me"]["links"].as_u64() == Some(n);
    for n in [1, 2] {
        harness.until(n, "one link left", has_links(1)).expect("shown");
    }
    pause(900);
    for n in 0..3 {
        assert_eq!(alive(&harness.shown(n).expect("shown")), 2, "both peers of r{n} are alive");
    }
    harness.block_direction(0, 2);
    harness.until(0, "r2 is unreachable", |shown| has_state(shown, 2, "Suspected")).expect("shown");
    harness.until(2, "all others are unreachable for r2", |shown| alive(shown) == 0).expect("shown");
    harness.clear_all_faults();
    harness.settle().expect("all act on the same hierarchy");
    finish(&mut harness);
}

#[test]
fn a_stopped_process_is_suspected_and_notices_the_pause_when_it_resumes() {
    let mut harness = start_harness(3);
    harness.load_all().expect("the load starts");
    pause(500);
    harness.suspend(1).expect("stopped");
    harness.until(0, "r1 is suspected", |shown| has_state(shown, 1, "Suspected")).expect("shown");
    harness.publish_phase("cache-0", Phase::Draining, &[0, 2]).expect("published");
    pause(2_500);
    harness.resume(1).expect("resumed");
    harness.until(1, "the drain from peers", |shown| shown["drains"] == 1).expect("received");
    harness.fleet.logged("r1", "this process was frozen for").expect("it has noticed the pause");
    harness.settle().expect("all act on the same hierarchy");
    finish(&mut harness);
}

/// The later of two processes with one name is rejected, both log it, and the fleet continues with the first.
#[test]
fn a_second_process_of_the_same_name_is_rejected_and_reported_by_both() {
    let mut harness = start_harness(3);
    let incarnation = line(&harness.shown(0).expect("shown"), "r1").expect("known")["start"].clone();
    let duplicate = harness.start_duplicate(1).expect("a second r1");
    harness.fleet.logged(&duplicate, "THIS ROUTER'S NAME IS IN USE").expect("logged by the second");
    harness.fleet.logged("r1", "ANOTHER PROCESS USES THIS ROUTER'S NAME").expect("logged by the first");
    for n in [0, 2] {
        let known =
            |shown: &serde_json::Value| line(shown, "r1").is_some_and(|line| line["start"] == incarnation);
        harness.until(n, "the first process", |shown| known(shown) && alive(shown) == 2).expect("shown");
    }
    let part = harness.fleet.query(&duplicate, &["fleet", "show"]).expect("shown")["fellows"]["part"].clone();
    assert_eq!(part["Refused"], incarnation);
}

/// A process that was stopped while its successor started yields the name to it when it resumes.
#[test]
fn a_stopped_process_that_resumes_yields_its_name_to_its_successor() {
    let mut harness = start_harness(3);
    harness.suspend(1).expect("stopped");
    harness.until(0, "r1 is suspected", |shown| has_state(shown, 1, "Suspected")).expect("shown");
    let duplicate = harness.start_duplicate(1).expect("a successor");
    harness.until(0, "the successor is alive", |shown| has_state(shown, 1, "Alive")).expect("shown");
    harness.resume(1).expect("resumed");
    harness.fleet.logged("r1", "this one leaves the cluster").expect("it has yielded");
    assert_eq!(
        harness.fleet.query(&duplicate, &["fleet", "show"]).expect("shown")["fellows"]["part"],
        "Takes"
    );
    harness.until(2, "the successor is still alive", |shown| has_state(shown, 1, "Alive")).expect("shown");
}

/// A peer that reads slowly, and connections whose bytes are lost or duplicated: a link may be closed, but no
/// message is misread, and other peers are not delayed.
#[test]
fn slow_lossy_and_repeating_links_delay_no_other_peer() {
    let mut harness = start_harness(3);
    harness.load_all().expect("the load starts");
    harness.limit_rate(2, 0, 600.0);
    harness.limit_rate(2, 1, 600.0);
    for n in 0..40 {
        let cache = format!("cache-{}", n % 3);
        let phase = if (n / 3) % 2 == 0 { Phase::Draining } else { Phase::Ready };
        harness.publish_phase(&cache, phase, &[0, 1]).expect("published");
    }
    let has_position =
        |shown: &serde_json::Value| line(shown, "r1").is_some_and(|l| l["acts"]["journal"] == 41);
    harness.until(0, "r1's journal position", has_position).expect("fast peers are not delayed");
    harness.clear_all_faults();
    for corruption in [Corruption::Lost, Corruption::Repeated] {
        harness.corrupt(1, 0, corruption);
        harness.corrupt(0, 2, corruption);
        pause(300);
    }
    harness.clear_all_faults();
    harness.settle().expect("all act on the same hierarchy");
    harness.until(2, "r1's journal position", has_position).expect("the slow peer receives it too");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

#[test]
fn a_majority_restarts_within_a_second_and_then_all_in_turn_under_load() {
    let mut harness = start_harness(5);
    harness.load_all().expect("the load starts");
    harness.move_cache(0, 1).expect("applied");
    harness.settle().expect("all act on the change");
    // Batches of a control socket are in no journal: restarted routers get them from peers alone.
    for n in [1, 2, 3] {
        harness.kill(n);
    }
    for n in [1, 2, 3] {
        harness.restart_router(n).expect("restarted");
        harness.load(n).expect("the load starts");
    }
    harness.settle().expect("all act on the change again");
    for n in 0..5 {
        harness.stop(n).expect("stopped");
        let other = (n + 1) % 5;
        harness.until(other, "it has departed", |shown| has_state(shown, n, "Left")).expect("shown");
        harness.restart_router(n).expect("restarted");
        harness.load(n).expect("the load starts");
        harness.until(other, "it has rejoined", |shown| has_state(shown, n, "Alive")).expect("shown");
    }
    harness.settle().expect("all still act on the change");
    finish(&mut harness);
}

/// Two partitions that each change the hierarchy have the same topology once they are connected again.
#[test]
fn two_partitions_with_a_batch_each_converge_to_one_topology() {
    let mut harness = start_harness(4);
    harness.split(2);
    harness.until(0, "the partition", |shown| alive(shown) == 1).expect("shown");
    harness.until(3, "the partition", |shown| alive(shown) == 1).expect("shown");
    harness.move_cache(0, 0).expect("applied");
    harness.move_cache(3, 1).expect("applied");
    let hierarchy = |n: usize| harness.fleet.query(&name(n), &["hierarchy", "show"]).expect("shown");
    assert_ne!(hierarchy(0)["digest"], hierarchy(3)["digest"]);
    harness.clear_all_faults();
    harness.settle().expect("one topology");
    for n in 0..4 {
        let nodes = harness.fleet.query(&name(n), &["hierarchy", "nodes"]).expect("nodes");
        let to_centre = nodes
            .as_array()
            .map_or(0, |nodes| nodes.iter().filter(|node| node["sources"][0]["name"] == "centre").count());
        assert_eq!(to_centre, 2, "both changes are applied at r{n}");
    }
}

/// A batch that is too long for gossip reaches the peers as a snapshot, which they adopt completely or not at
/// all. One of them is killed repeatedly while it receives the snapshot over a slow link.
#[test]
fn a_snapshot_is_adopted_completely_however_often_its_receiver_is_killed() {
    let mut harness = start_harness(3);
    harness.load_all().expect("the load starts");
    harness.limit_rate(2, 0, 30_000.0);
    harness.limit_rate(2, 1, 30_000.0);
    let long_changes = "for n in range(1000):\n    \
                add(\"spare-with-a-name-that-is-as-long-as-names-may-be-here-%d\" % n, \
                role = \"parent\", site = \"hub\", capacity = 1, sources = [\"origin\"])\n";
    harness.apply(0, long_changes).expect("applied");
    harness.until(1, "the snapshot", |shown| shown["adopted"] == 1).expect("adopted");
    for wait in [100, 600, 1_100, 1_700] {
        pause(wait);
        harness.kill(2);
        harness.restart_router(2).expect("restarted");
        harness.load(2).expect("the load starts");
        let nodes = harness.fleet.query("r2", &["hierarchy", "show"]).expect("shown")["nodes"].as_u64();
        assert!(
            nodes == Some(6) || nodes == Some(1_006),
            "expected all nodes of the snapshot or none: {nodes:?}"
        );
    }
    harness.clear_all_faults();
    harness.settle().expect("all act on the change");
    // Later batches are gossiped as usual.
    harness.move_cache(2, 0).expect("applied");
    harness.settle().expect("all act on the change");
    assert_eq!(harness.fleet.query("r0", &["hierarchy", "show"]).expect("shown")["version"], 3);
    finish(&mut harness);
}

/// A router is killed right after it has accepted an operator's batch, before or just after it has gossiped
/// it, and gets another batch at once after its restart: all converge to one topology, with either or both
/// batches.
#[test]
fn a_router_killed_between_a_batch_and_its_gossip_leaves_one_hierarchy() {
    for wait in [0, 60, 150, 400] {
        let mut harness = start_harness(3);
        harness.move_cache(0, 0).expect("applied");
        pause(wait);
        harness.kill(0);
        harness.restart_router(0).expect("restarted");
        harness.move_cache(0, 1).expect("applied");
        harness.settle().expect("one topology");
        let nodes = harness.fleet.query("r2", &["hierarchy", "nodes"]).expect("nodes");
        let moved =
            nodes.as_array().into_iter().flatten().filter(|node| node["sources"][0]["name"] == "centre");
        let moved: Vec<&str> = moved.filter_map(|node| node["name"].as_str()).collect();
        assert!(moved.contains(&"cache-1"), "after {wait} ms: {moved:?}");
    }
}

/// A fleet with two protocol versions: a router that sends the older version is understood, and understands
/// the newer one.
#[test]
fn versions_1_and_2_side_by_side() {
    let with_older_version = |n: usize, text: String| match n {
        1 => text.replace("fellows(", "fellows(speaks = 1, "),
        _ => text,
    };
    let mut harness = Harness::start_with(PROGRAM, Plan::default(), with_older_version).expect("a fleet");
    harness.publish_phase("cache-1", Phase::Draining, &[0, 1, 2]).expect("published");
    let has_drains = |router: &'static str, drains: u64| {
        move |shown: &serde_json::Value| {
            line(shown, router).is_some_and(|l| l["acts"]["drains"] == drains && l["acts"]["journal"] == 2)
        }
    };
    harness.until(0, "r1 reports no drains", has_drains("r1", 0)).expect("understood");
    harness.until(1, "r2 reports them", has_drains("r2", 1)).expect("understood");
    // The setting can be reloaded while the router runs.
    let text = std::fs::read_to_string(harness.fleet.operator_file("r1")).expect("a file");
    std::fs::write(harness.fleet.operator_file("r1"), text.replace("speaks = 1", "speaks = 2"))
        .expect("written");
    harness.fleet.signal("r1", nix::sys::signal::Signal::SIGHUP).expect("signalled");
    harness.until(0, "r1 reports its drains", has_drains("r1", 1)).expect("understood");
}

/// The text output of `fleet show` and `fleet watch`, with a router whose operator file differs.
#[test]
fn the_commands_show_the_routers_and_their_differences() {
    let with_difference = |n: usize, text: String| match n {
        2 => text.replace("warm = 2", "warm = 3"),
        _ => text,
    };
    let harness = Harness::start_with(PROGRAM, Plan::default(), with_difference).expect("a fleet");
    let socket = harness.fleet.socket("r0").display().to_string();
    let output = harness.fleet.command(&["fleet", "show", "--socket", &socket]).expect("the program runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.lines().any(|l| l.starts_with("r2 alive") && l.contains("differs: OPERATOR FILE")),
        "{text}"
    );
    assert!(text.lines().any(|l| l.starts_with("r1 alive") && !l.contains("differs")), "{text}");
    let arguments = ["fleet", "watch", "--looks", "2", "--every", "0.1", "--socket", &socket];
    let output = harness.fleet.command(&arguments).expect("the program runs");
    assert!(output.status.success() && String::from_utf8_lossy(&output.stdout).contains("r1 alive"));
}

/// Seeded scripts of overlapping faults: no rule is broken, all routers act on the same hierarchy afterwards,
/// and a drain that half of the journals report applies at all routers.
#[test]
fn scripts_of_overlapping_faults_break_no_rule() {
    let play = |seeds: std::ops::Range<u64>| {
        for seed in seeds {
            let routers = 3 + seed as usize % 3;
            let mut harness = start_harness(routers);
            let script = script(seed, routers, 3, 14);
            if let Err(error) = harness.run_script(&script) {
                panic!("seed {seed}, {routers} routers: {error}\n{script:?}");
            }
        }
    };
    thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || play(part * 5..part * 5 + 5));
        }
    });
}
