//! Peer routers in a tree of locations, as processes: aggregators are killed, stopped and cut off, a region
//! is partitioned, some routers have no location, and details are queried from other sites.

#[path = "common/pause.rs"]
mod pause;

use std::time::{Duration, Instant};

use linnethook_testbed::harness::{alive, line, name, Harness, Plan};
use linnethook_testbed::recording::{Phase, RecordEntry, RecordedEvent};
use pause::pause;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");

/// Two sites of a zone in one region with three and two routers, and one site with two routers in another
/// region.
const LOCATIONS: [&str; 7] =
    ["south/z1/a", "south/z1/a", "south/z1/a", "south/z1/b", "south/z1/b", "north/z2/c", "north/z2/c"];

/// The bound for an event of one router's journal to reach all others, over six links at the most: bundles of
/// facts are sent each tenth of a second.
const PROPAGATION_BOUND: Duration = Duration::from_millis(1_000);

fn plan() -> Plan {
    let plan = Plan::default();
    let cluster_settings = format!("{}, progress = 0.5, gather = 0.1, renew = 0.5", plan.cluster_settings);
    let places: Vec<String> = LOCATIONS.map(str::to_string).to_vec();
    Plan { routers: LOCATIONS.len(), places, cluster_settings, rate: 10.0, ..plan }
}

fn start_harness() -> Harness {
    Harness::start(PROGRAM, plan()).expect("a fleet")
}

/// The summary of a location in `fleet show`.
fn summary<'a>(shown: &'a Value, location: &str) -> Option<&'a Value> {
    shown["fellows"]["places"].as_array()?.iter().find(|line| line["place"] == location)
}

/// Whether a router has a fresh summary of a location from this aggregator, with this number of routers
/// alive.
fn is_summarized(shown: &Value, location: &str, aggregator: usize, alive: u64) -> bool {
    summary(shown, location).is_some_and(|line| {
        line["by"] == name(aggregator).as_str() && line["alive"] == alive && line["fresh"] == true
    })
}

/// Whether a router in the north has the summaries of both regions and its own site, with the north complete
/// and this aggregator and number of routers for the south.
fn knows_both_regions(shown: &Value, south_aggregator: usize, south_alive: u64) -> bool {
    is_summarized(shown, "south", south_aggregator, south_alive)
        && is_summarized(shown, "north", 5, 2)
        && is_summarized(shown, "north/z2/c", 5, 2)
}

#[test]
fn routers_list_their_site_and_summarize_others_and_a_killed_aggregator_is_succeeded() {
    let mut harness = start_harness();
    harness.load_all().expect("the load starts");
    harness
        .until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5) && shown["whole"] == 7)
        .expect("shown");
    harness
        .until(0, "the summaries of the zone's sites", |shown| {
            is_summarized(shown, "south/z1/a", 0, 3)
                && is_summarized(shown, "south/z1/b", 3, 2)
                && is_summarized(shown, "north", 5, 2)
        })
        .expect("shown");
    let shown = harness.shown(0).expect("shown");
    assert!(
        summary(&shown, "north/z2").is_none() && line(&shown, "r5").is_none() && alive(&shown) == 2,
        "{shown}"
    );
    // The aggregator fails, then its successor; then both restart.
    harness.kill(0);
    harness.until(5, "r1 is the aggregator", |shown| knows_both_regions(shown, 1, 4)).expect("shown");
    harness.kill(1);
    harness
        .until(5, "r2 is the aggregator of the remaining routers", |shown| knows_both_regions(shown, 2, 3))
        .expect("shown");
    harness
        .until(3, "r2 is the aggregator for the zone", |shown| is_summarized(shown, "south/z1/a", 2, 1))
        .expect("shown");
    for n in [0, 1] {
        harness.restart_router(n).expect("restarted");
        harness.load(n).expect("the load starts");
    }
    harness.until(5, "r0 is the aggregator again", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    let none_suspected = |shown: &Value| summary(shown, "south").is_some_and(|line| line["suspected"] == 0);
    harness.until(6, "no router is suspected", none_suspected).expect("shown");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

#[test]
fn an_aggregator_that_is_stopped_or_cut_off_in_one_direction_is_succeeded_and_returns() {
    let mut harness = start_harness();
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness.suspend(0).expect("stopped");
    harness.until(5, "r1 is the aggregator", |shown| knows_both_regions(shown, 1, 4)).expect("shown");
    harness.resume(0).expect("resumed");
    harness.until(5, "r0 is the aggregator again", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    // Its messages to its site are lost: it is not alive for that site, even if other sites receive it.
    harness.block_direction(0, 1);
    harness.block_direction(0, 2);
    harness.until(1, "r0 is unreachable", |shown| alive(shown) == 1).expect("shown");
    // Both are aggregators of their partitions; the summary with more routers is used.
    harness
        .until(3, "r1 is the aggregator of the site", |shown| is_summarized(shown, "south/z1/a", 1, 2))
        .expect("shown");
    harness.clear_all_faults();
    harness.until(5, "r0 is the aggregator again", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness.settle().expect("all act on the same hierarchy");
    harness.show_after_changes().expect("shown");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// A drain and a batch from one router's journal reach the routers of all locations, and a region that was
/// partitioned catches up.
#[test]
fn drains_and_batches_reach_all_locations_and_a_partitioned_region_catches_up() {
    let mut harness = start_harness();
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness.split(5);
    let is_partitioned = |shown: &Value| {
        summary(shown, "south").is_some_and(|line| line["fresh"] == false)
            && is_summarized(shown, "north", 5, 2)
    };
    harness.until(6, "the summary of the south is stale", is_partitioned).expect("shown");
    harness.publish_phase("cache-1", Phase::Draining, &[0]).expect("published");
    harness.move_cache(2, 0).expect("applied");
    for n in [1, 2, 3, 4] {
        harness.until(n, "the drain", |shown| shown["barred"][0][0] == "cache-1").expect("received");
        let (router, node) = (name(n), "cache-1".to_string());
        harness.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    let shown = harness.shown(5).expect("shown");
    assert!(shown["drains"] == 0 && shown["batches"] == 0, "{shown}");
    harness.clear_all_faults();
    for n in [5, 6] {
        let caught_up = |shown: &Value| shown["drains"] == 1 && shown["batches"] == 1;
        harness.until(n, "it has caught up", caught_up).expect("received");
        let (router, node) = (name(n), "cache-1".to_string());
        harness.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    harness.settle().expect("one topology");
    // All routers act on one topology, according to the summaries.
    let act_alike = |shown: &Value| {
        let groups = |location: &str| {
            summary(shown, location).map_or(0, |line| line["groups"].as_array().map_or(0, Vec::len))
        };
        knows_both_regions(shown, 0, 5) && groups("south") == 1 && groups("north") == 1
    };
    harness.until(6, "all act on the same topology", act_alike).expect("shown");
    pause(400);
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// One router has no location, like a build without them: it counts in the site that it has links with. A
/// router with a location sends the oldest protocol version.
#[test]
fn a_router_without_a_location_counts_in_its_site() {
    let without_location = |n: usize, text: String| match n {
        1 => text.replace(", place = \"south/z1/a\"", ""),
        4 => text.replace("fellows(", "fellows(speaks = 1, "),
        _ => text,
    };
    // The router without a location has links in its site only.
    let all = (0..LOCATIONS.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    let links = all.filter(|(a, b)| LOCATIONS[*a] == LOCATIONS[*b] || *a != 1 && *b != 1).collect();
    let plan = Plan { links: Some(links), ..plan() };
    let mut harness = Harness::start_with(PROGRAM, plan, without_location).expect("a fleet");
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness
        .until(1, "its site is alive", |shown| alive(shown) == 2 && shown["whole"].is_null())
        .expect("shown");
    // Events for all locations reach it, and it forwards them.
    harness.publish_phase("cache-1", Phase::Draining, &[1]).expect("published");
    for n in [0, 2, 3, 4, 5, 6] {
        harness.until(n, "the drain", |shown| shown["barred"][0][0] == "cache-1").expect("received");
        let (router, node) = (name(n), "cache-1".to_string());
        harness.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    pause(400);
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

#[test]
fn a_query_for_details_is_answered_by_the_site_that_has_them() {
    let harness = start_harness();
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    let router = harness.fleet.query("r6", &["fleet", "show", "r1"]).expect("answered");
    assert!(
        router[0] == "south/z1/a" && router[1].as_array().is_some_and(|lines| lines.len() == 1),
        "{router}"
    );
    assert!(router[1][0]["name"] == "r1" && router[1][0]["standing"] == "Alive", "{router}");
    let site = harness.fleet.query("r0", &["fleet", "show", "--site", "north/z2/c"]).expect("answered");
    let names: Vec<&str> =
        site[1].as_array().into_iter().flatten().filter_map(|line| line["name"].as_str()).collect();
    assert_eq!(names, ["r5", "r6"]);
    let socket = harness.fleet.socket("r0").display().to_string();
    let run = |arguments: &[&str]| {
        let arguments: Vec<&str> =
            ["fleet", "show"].iter().chain(arguments).chain(&["--socket", &socket]).copied().collect();
        harness.fleet.command(&arguments).expect("the program runs")
    };
    let text = String::from_utf8_lossy(&run(&[]).stdout).into_owned();
    assert!(text.lines().any(|l| l.starts_with("north: 2 alive, 2 on the same versions")), "{text}");
    assert!(text.lines().any(|l| l == "7 routers in the fleet; this one is at south/z1/a"), "{text}");
    let bad = run(&["--site", "a//b"]);
    assert_eq!(bad.status.code(), Some(2), "{}", String::from_utf8_lossy(&bad.stderr));
}

/// All aggregators are killed at once and restart at once: those of two sites of a zone, of which one is the
/// aggregator of the zone and its region as well, and that of the other region.
#[test]
fn all_aggregators_are_killed_at_once_and_restart_at_once() {
    let mut harness = start_harness();
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness
        .until(0, "the summary of the other site", |shown| is_summarized(shown, "south/z1/b", 3, 2))
        .expect("shown");
    [0, 3, 5].into_iter().for_each(|n| harness.kill(n));
    harness
        .until(6, "their successors are aggregators", |shown| {
            is_summarized(shown, "south", 1, 3) && is_summarized(shown, "north", 6, 1)
        })
        .expect("shown");
    harness.until(2, "the zone has it too", |shown| is_summarized(shown, "south/z1/b", 4, 1)).expect("shown");
    // Its site still lists the killed router by name, and a query from another site returns that.
    let is_not_alive = |shown: &Value| line(shown, "r0").is_some_and(|line| line["standing"] != "Alive");
    harness.until(1, "r0 is not alive", is_not_alive).expect("shown");
    let detail = harness.fleet.query("r6", &["fleet", "show", "r0"]).expect("answered");
    assert!(detail[0] == "south/z1/a" && detail[1][0]["name"] == "r0", "{detail}");
    assert!(detail[1][0]["standing"] != "Alive", "{detail}");
    harness.show_after_changes().expect("shown");
    for n in [0, 3, 5] {
        harness.restart_router(n).expect("restarted");
        harness.load(n).expect("the load starts");
    }
    harness.until(6, "they are aggregators again", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness.until(2, "the zone has it too", |shown| is_summarized(shown, "south/z1/b", 3, 2)).expect("shown");
    harness.show_after_changes().expect("shown");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// All routers of a region are killed, their summary becomes stale, and they restart at once.
#[test]
fn a_region_that_restarts_at_once_is_counted_again_and_never_twice() {
    let mut harness = start_harness();
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    (0..5).for_each(|n| harness.kill(n));
    let is_stale = |shown: &Value| summary(shown, "south").is_some_and(|line| line["fresh"] == false);
    harness.until(5, "the summary of the south is stale", is_stale).expect("shown");
    harness.show_after_changes().expect("shown");
    for n in 0..5 {
        harness.restart_router(n).expect("restarted");
        harness.load(n).expect("the load starts");
    }
    for n in [5, 6] {
        harness
            .until(n, "all are counted", |shown| knows_both_regions(shown, 0, 5) && shown["whole"] == 7)
            .expect("shown");
    }
    for n in [0, 4] {
        let knows_zone = |shown: &Value| {
            is_summarized(shown, "south/z1/a", 0, 3) && is_summarized(shown, "south/z1/b", 3, 2)
        };
        harness.until(n, "the summaries of the zone", knows_zone).expect("shown");
    }
    harness.show_after_changes().expect("shown");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// Two regions are partitioned, and each has changes. Once they are connected again, both catch up with few
/// bytes.
#[test]
fn regions_that_were_partitioned_catch_up_with_few_bytes() {
    let mut harness = start_harness();
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness.split(5);
    let is_stale = |location: &'static str| {
        move |shown: &Value| summary(shown, location).is_some_and(|line| line["fresh"] == false)
    };
    harness.until(5, "the summary of the south is stale", is_stale("south")).expect("shown");
    harness.until(0, "the summary of the north is stale", is_stale("north")).expect("shown");
    harness.publish_drain_to_one("cache-1", 0, &[1, 2, 3, 4], PROPAGATION_BOUND).expect("published");
    harness.publish_drain_to_one("cache-2", 6, &[5], PROPAGATION_BOUND).expect("published");
    harness.move_cache(0, 0).expect("applied");
    harness.kill(4);
    harness.show_after_changes().expect("shown");
    let before = (harness.bytes_across(5), Instant::now());
    harness.clear_all_faults();
    for n in [5, 6] {
        harness
            .until(n, "it has caught up", |shown| shown["batches"] == 1 && knows_both_regions(shown, 0, 4))
            .expect("received");
    }
    let is_barred = |shown: &Value| {
        let all = shown["barred"].as_array();
        all.is_some_and(|all| all.iter().any(|line| line[0] == "cache-2"))
    };
    for n in [0, 1, 2, 3] {
        harness
            .until(n, "it has caught up", |shown| is_barred(shown) && is_summarized(shown, "north", 5, 2))
            .expect("received");
    }
    harness.settle().expect("one hierarchy");
    let after = (harness.bytes_across(5), Instant::now());
    harness.show_after_changes().expect("shown");
    // The background traffic, mostly heartbeats, continues; it is measured after the catch-up and subtracted.
    let background = (harness.bytes_across(5) - after.0) as f64 / after.1.elapsed().as_secs_f64();
    let (bytes, took) = (after.0 - before.0, (after.1 - before.1).as_secs_f64());
    let extra = bytes as f64 - background * took;
    println!(
        "caught up in {took:.1} s: {bytes} bytes, {extra:.0} beyond {background:.0} a second in the \
         background, over 8 links"
    );
    assert!(extra < 8.0 * 16_384.0, "{extra} bytes over 8 links");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// Routers in a row, each linked with the next one. The router in the middle of a site has no location, like
/// a build without them, and all messages between the others pass through it.
#[test]
fn a_router_without_a_location_in_the_middle_of_a_site_forwards_all_messages() {
    let places = ["south/a", "south/a", "south/a", "north/b"].map(str::to_string).to_vec();
    let without_location = |n: usize, text: String| match n {
        1 => text.replace(", place = \"south/a\"", ""),
        _ => text,
    };
    let plan = Plan { routers: 4, places, links: Some(vec![(1, 0), (2, 1), (3, 2)]), ..plan() };
    let mut harness = Harness::start_with(PROGRAM, plan, without_location).expect("a fleet");
    harness.load_all().expect("the load starts");
    let all_counted = |shown: &Value| {
        is_summarized(shown, "south", 0, 3) && is_summarized(shown, "north", 3, 1) && shown["whole"] == 4
    };
    for n in [0, 2, 3] {
        harness.until(n, "all are counted", all_counted).expect("shown");
    }
    harness.publish_drain_to_one("cache-1", 3, &[0, 1, 2], PROPAGATION_BOUND).expect("published");
    harness.publish_purge_to_one("an-object", 3, &[0, 1, 2], PROPAGATION_BOUND).expect("published");
    for n in [0, 1, 2] {
        harness
            .until(n, "the drain and the purge", |shown| shown["drains"] == 1 && shown["purges"] == 1)
            .expect("received");
    }
    harness.move_cache(0, 0).expect("applied");
    harness.settle().expect("one hierarchy");
    // While it is down its two neighbours receive nothing of each other; after its restart it forwards
    // messages again.
    harness.kill(1);
    let is_alone = |shown: &Value| is_summarized(shown, "south/a", 0, 1) && alive(shown) == 0;
    harness.until(0, "it is alone", is_alone).expect("shown");
    harness.restart_router(1).expect("restarted");
    harness.load(1).expect("the load starts");
    for n in [0, 2, 3] {
        harness.until(n, "all are counted again", all_counted).expect("shown");
    }
    harness.show_after_changes().expect("shown");
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// Stragglers are listed by name in other regions as in their sites: a router that is cut off and falls
/// behind, and all routers when none reaches the floor, among them the aggregators of the sites.
#[test]
fn stragglers_are_listed_in_all_locations() {
    let straggler = Some("bound = 1, back = 0.5, come_back = 0.2".to_string());
    let mut harness = Harness::start(PROGRAM, Plan { straggler, ..plan() }).expect("a fleet");
    harness.load_all().expect("the load starts");
    harness.until(5, "all are counted", |shown| knows_both_regions(shown, 0, 5)).expect("shown");
    harness
        .until(0, "the summary of the zone", |shown| is_summarized(shown, "south/z1/a", 0, 3))
        .expect("shown");
    let bound = Duration::from_secs(1);
    let has_stragglers = |location: &'static str, names: &'static [&'static str]| {
        move |shown: &Value| {
            summary(shown, location).is_some_and(|line| {
                line["stragglers"] == serde_json::json!(names)
                    && line["behind"] == names.len() as u64
                    && line["fresh"] == true
            })
        }
    };
    harness.isolate(1).expect("cut off");
    harness.move_cache(0, 0).expect("applied");
    harness.until(6, "the batch", |shown| shown["batches"] == 1).expect("received");
    harness.set_floor(5, 2, bound).expect("set");
    for n in [3, 5, 6] {
        harness.until(n, "r1 is listed", has_stragglers("south", &["r1"])).expect("shown");
    }
    pause(1_000);
    harness.shown(5).expect("shown");
    pause(500);
    harness.clear_all_faults();
    for n in [3, 5, 6] {
        harness.until(n, "no router is behind", has_stragglers("south", &[])).expect("shown");
    }
    harness.set_floor(5, 99, bound).expect("set");
    for n in [0, 3, 5, 6] {
        harness
            .until(
                n,
                "all routers of the south are listed",
                has_stragglers("south", &["r0", "r1", "r2", "r3", "r4"]),
            )
            .expect("shown");
    }
    harness
        .until(0, "all routers of the north are listed", has_stragglers("north", &["r5", "r6"]))
        .expect("shown");
    harness.set_floor(6, 0, bound).expect("cleared");
    for n in [0, 5] {
        harness.until(n, "no router is behind", has_stragglers("south", &[])).expect("shown");
    }
    harness.end_loads();
    harness.check(&[]).expect("no rule is broken");
}

/// Routers in a row through all locations, six links long: a drain from the journal at one end takes effect
/// at the other end within the same bound as without locations, and a purge arrives there too.
#[test]
fn drains_and_purges_take_effect_with_locations_as_without() {
    for places in [Vec::new(), plan().places] {
        let links = Some((1..LOCATIONS.len()).map(|n| (n, n - 1)).collect());
        let mut harness =
            Harness::start(PROGRAM, Plan { places, links, objects: 10, ..plan() }).expect("a fleet");
        harness.load_all().expect("the load starts");
        let others = [1, 2, 3, 4, 5, 6];
        let requested_videos = |harness: &Harness| {
            let lines = harness.fleet.record.lines();
            let object = |line: &RecordEntry| match &line.what {
                RecordedEvent::Asked { asked, .. } if asked.class == "video" => Some(asked.object.clone()),
                _ => None,
            };
            lines.iter().filter_map(object).collect::<Vec<_>>()
        };
        let end = Instant::now() + Duration::from_secs(20);
        while requested_videos(&harness).len() < 60 && Instant::now() < end {
            pause(50);
        }
        let objects = requested_videos(&harness);
        let object = objects.iter().max_by_key(|object| objects.iter().filter(|o| o == object).count());
        let object = object.expect("an object is requested").clone();
        harness.publish_drain_to_one("cache-1", 0, &others, PROPAGATION_BOUND).expect("published");
        harness.publish_purge_to_one(&object, 0, &others, PROPAGATION_BOUND).expect("published");
        for n in others {
            harness
                .until(n, "the drain and the purge", |shown| shown["drains"] == 1 && shown["purges"] == 1)
                .expect("received");
        }
        pause(3_000);
        harness.end_loads();
        harness.check(&[]).expect("no rule is broken");
    }
}
