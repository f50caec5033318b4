//! Fellow routers in a tree of places, as processes: who speaks for a place is killed, frozen and cut off, a region is
//! apart, builds without places stand among them, and detail is asked for from elsewhere.

use std::thread;
use std::time::{Duration, Instant};

use linnethook_testbed::harness::{alive, line, name, Harness, Plan};
use linnethook_testbed::recording::{Phase, RecordEntry, RecordedEvent};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");

/// Two sites of a zone in one region, three and two routers, and one of two in another region.
const PLACES: [&str; 7] =
    ["south/z1/a", "south/z1/a", "south/z1/a", "south/z1/b", "south/z1/b", "north/z2/c", "north/z2/c"];

/// How long what one router's journal tells may take to the others, over six links at the most: bundles leave each
/// tenth of a second.
const WITHIN: Duration = Duration::from_millis(1_000);

fn plan() -> Plan {
    let plan = Plan::default();
    let cluster_settings = format!("{}, progress = 0.5, gather = 0.1, renew = 0.5", plan.cluster_settings);
    let places: Vec<String> = PLACES.map(str::to_string).to_vec();
    Plan { routers: PLACES.len(), places, cluster_settings, rate: 10.0, ..plan }
}

fn rig() -> Harness {
    Harness::start(PROGRAM, plan()).expect("a fleet")
}

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn place<'a>(shown: &'a Value, place: &str) -> Option<&'a Value> {
    shown["fellows"]["places"].as_array()?.iter().find(|line| line["place"] == place)
}

/// A place stands so, as a router has it: by whom it is told, and how many are alive.
fn is_summarized(shown: &Value, of: &str, by: usize, alive: u64) -> bool {
    place(shown, of).is_some_and(|line| {
        line["by"] == name(by).as_str() && line["alive"] == alive && line["fresh"] == true
    })
}

/// The sums of all sites and regions that a router in the north knows, by the routers that run.
fn north(shown: &Value, by: usize, south: u64) -> bool {
    is_summarized(shown, "south", by, south)
        && is_summarized(shown, "north", 5, 2)
        && is_summarized(shown, "north/z2/c", 5, 2)
}

#[test]
fn each_names_its_site_and_sums_up_the_others_and_the_next_one_speaks_where_one_is_killed() {
    let mut rig = rig();
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5) && shown["whole"] == 7).expect("seen");
    rig.until(0, "the sites of the zone", |shown| {
        is_summarized(shown, "south/z1/a", 0, 3)
            && is_summarized(shown, "south/z1/b", 3, 2)
            && is_summarized(shown, "north", 5, 2)
    })
    .expect("seen");
    let shown = rig.shown(0).expect("shown");
    assert!(
        place(&shown, "north/z2").is_none() && line(&shown, "r5").is_none() && alive(&shown) == 2,
        "{shown}"
    );
    // One, its successor with it, then both again.
    rig.kill(0);
    rig.until(5, "r1 speaks", |shown| north(shown, 1, 4)).expect("seen");
    rig.kill(1);
    rig.until(5, "r2 speaks for what is left", |shown| north(shown, 2, 3)).expect("seen");
    rig.until(3, "and so it is in the zone", |shown| is_summarized(shown, "south/z1/a", 2, 1)).expect("seen");
    for n in [0, 1] {
        rig.restart_router(n).expect("it starts");
        rig.load(n).expect("load");
    }
    rig.until(5, "r0 speaks again", |shown| north(shown, 0, 5)).expect("seen");
    // All together.
    let suspected = |shown: &Value| place(shown, "south").is_some_and(|line| line["suspected"] == 0);
    rig.until(6, "nobody is missing", suspected).expect("seen");
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

#[test]
fn a_speaker_that_is_frozen_or_cut_off_in_one_direction_is_succeeded_and_comes_back() {
    let mut rig = rig();
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    rig.suspend(0).expect("frozen");
    rig.until(5, "r1 speaks", |shown| north(shown, 1, 4)).expect("seen");
    rig.resume(0).expect("awake");
    rig.until(5, "r0 speaks again", |shown| north(shown, 0, 5)).expect("seen");
    // What it says to its site is lost: for the others of its site it is not there, whoever else hears it.
    rig.block_direction(0, 1);
    rig.block_direction(0, 2);
    rig.until(1, "r0 is out of reach", |shown| alive(shown) == 1).expect("seen");
    // Both speak, each for its part; the one that counts more goes on.
    rig.until(3, "r1 speaks for the site", |shown| is_summarized(shown, "south/z1/a", 1, 2)).expect("seen");
    rig.clear_all_faults();
    rig.until(5, "r0 speaks again", |shown| north(shown, 0, 5)).expect("seen");
    rig.settle().expect("all of one mind");
    rig.show_after_changes().expect("shown");
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// A drain and a batch that one router's journal tells of reach the routers of all places, and a region that was apart
/// catches up.
#[test]
fn drains_and_batches_reach_all_places_and_a_region_that_was_apart_catches_up() {
    let mut rig = rig();
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    rig.split(5);
    let apart = |shown: &Value| {
        place(shown, "south").is_some_and(|line| line["fresh"] == false)
            && is_summarized(shown, "north", 5, 2)
    };
    rig.until(6, "the south is not heard of", apart).expect("seen");
    rig.publish_phase("cache-1", Phase::Draining, &[0]).expect("told");
    rig.move_cache(2, 0).expect("applied");
    for n in [1, 2, 3, 4] {
        rig.until(n, "the drain", |shown| shown["barred"][0][0] == "cache-1").expect("heard");
        let (router, node) = (name(n), "cache-1".to_string());
        rig.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    let shown = rig.shown(5).expect("shown");
    assert!(shown["drains"] == 0 && shown["batches"] == 0, "{shown}");
    rig.clear_all_faults();
    for n in [5, 6] {
        let caught_up = |shown: &Value| shown["drains"] == 1 && shown["batches"] == 1;
        rig.until(n, "it has caught up", caught_up).expect("heard");
        let (router, node) = (name(n), "cache-1".to_string());
        rig.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    rig.settle().expect("one shape");
    // One shape at all, as the sums have it.
    let alike = |shown: &Value| {
        let groups =
            |of: &str| place(shown, of).map_or(0, |line| line["groups"].as_array().map_or(0, Vec::len));
        north(shown, 0, 5) && groups("south") == 1 && groups("north") == 1
    };
    rig.until(6, "all act on the same", alike).expect("seen");
    pause(400);
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// In each site that has more than two one has no place, as a build without them: it counts where its links are. One
/// with a place states itself in the oldest version.
#[test]
fn a_build_without_places_counts_in_its_site() {
    let old = |n: usize, text: String| match n {
        1 => text.replace(", place = \"south/z1/a\"", ""),
        4 => text.replace("fellows(", "fellows(speaks = 1, "),
        _ => text,
    };
    // Links of the one without a place are in its site.
    let all = (0..PLACES.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    let links = all.filter(|(a, b)| PLACES[*a] == PLACES[*b] || *a != 1 && *b != 1).collect();
    let plan = Plan { links: Some(links), ..plan() };
    let mut rig = Harness::start_with(PROGRAM, plan, old).expect("a fleet");
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    rig.until(1, "it sees its site", |shown| alive(shown) == 2 && shown["whole"].is_null()).expect("seen");
    // It hears what is for all, and passes it on.
    rig.publish_phase("cache-1", Phase::Draining, &[1]).expect("told");
    for n in [0, 2, 3, 4, 5, 6] {
        rig.until(n, "the drain", |shown| shown["barred"][0][0] == "cache-1").expect("heard");
        let (router, node) = (name(n), "cache-1".to_string());
        rig.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
    pause(400);
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

#[test]
fn detail_from_elsewhere_comes_from_the_site_that_has_it() {
    let rig = rig();
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    let one = rig.fleet.query("r6", &["fleet", "show", "r1"]).expect("answered");
    assert!(one[0] == "south/z1/a" && one[1].as_array().is_some_and(|lines| lines.len() == 1), "{one}");
    assert!(one[1][0]["name"] == "r1" && one[1][0]["standing"] == "Alive", "{one}");
    let site = rig.fleet.query("r0", &["fleet", "show", "--site", "north/z2/c"]).expect("answered");
    let names: Vec<&str> =
        site[1].as_array().into_iter().flatten().filter_map(|line| line["name"].as_str()).collect();
    assert_eq!(names, ["r5", "r6"]);
    let socket = rig.fleet.socket("r0").display().to_string();
    let run = |arguments: &[&str]| {
        let arguments: Vec<&str> =
            ["fleet", "show"].iter().chain(arguments).chain(&["--socket", &socket]).copied().collect();
        rig.fleet.command(&arguments).expect("run")
    };
    let text = String::from_utf8_lossy(&run(&[]).stdout).into_owned();
    assert!(text.lines().any(|l| l.starts_with("north: 2 alive, 2 on the same versions")), "{text}");
    assert!(text.lines().any(|l| l == "7 routers in the fleet; this one is at south/z1/a"), "{text}");
    let bad = run(&["--site", "a//b"]);
    assert_eq!(bad.status.code(), Some(2), "{}", String::from_utf8_lossy(&bad.stderr));
}

/// The routers that speak for two sites of a zone, one of them for the zone and its region as well, and for the other
/// region, all at once; then they start at once.
#[test]
fn all_that_speak_are_killed_at_once_and_start_at_once() {
    let mut rig = rig();
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    rig.until(0, "the other site", |shown| is_summarized(shown, "south/z1/b", 3, 2)).expect("seen");
    [0, 3, 5].into_iter().for_each(|n| rig.kill(n));
    rig.until(6, "the next ones speak", |shown| {
        is_summarized(shown, "south", 1, 3) && is_summarized(shown, "north", 6, 1)
    })
    .expect("seen");
    rig.until(2, "in the zone too", |shown| is_summarized(shown, "south/z1/b", 4, 1)).expect("seen");
    // The one that is gone is known by name in its site, and whoever asks for it elsewhere hears so.
    let is_missing = |shown: &Value| line(shown, "r0").is_some_and(|line| line["standing"] != "Alive");
    rig.until(1, "r0 is missing", is_missing).expect("seen");
    let detail = rig.fleet.query("r6", &["fleet", "show", "r0"]).expect("answered");
    assert!(detail[0] == "south/z1/a" && detail[1][0]["name"] == "r0", "{detail}");
    assert!(detail[1][0]["standing"] != "Alive", "{detail}");
    rig.show_after_changes().expect("shown");
    for n in [0, 3, 5] {
        rig.restart_router(n).expect("it starts");
        rig.load(n).expect("load");
    }
    rig.until(6, "they speak again", |shown| north(shown, 0, 5)).expect("seen");
    rig.until(2, "in the zone too", |shown| is_summarized(shown, "south/z1/b", 3, 2)).expect("seen");
    rig.show_after_changes().expect("shown");
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// A whole region is killed, is not heard of any more, and its routers start at once.
#[test]
fn a_region_that_starts_at_once_is_counted_again_and_never_twice() {
    let mut rig = rig();
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    (0..5).for_each(|n| rig.kill(n));
    let lost = |shown: &Value| place(shown, "south").is_some_and(|line| line["fresh"] == false);
    rig.until(5, "the south is not heard of", lost).expect("seen");
    rig.show_after_changes().expect("shown");
    for n in 0..5 {
        rig.restart_router(n).expect("it starts");
        rig.load(n).expect("load");
    }
    for n in [5, 6] {
        rig.until(n, "all are counted", |shown| north(shown, 0, 5) && shown["whole"] == 7).expect("seen");
    }
    for n in [0, 4] {
        let zone = |shown: &Value| {
            is_summarized(shown, "south/z1/a", 0, 3) && is_summarized(shown, "south/z1/b", 3, 2)
        };
        rig.until(n, "the zone", zone).expect("seen");
    }
    rig.show_after_changes().expect("shown");
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// Two regions are apart, and in each things change. Back together they know all within few bytes.
#[test]
fn regions_that_were_apart_catch_up_in_few_bytes() {
    let mut rig = rig();
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    rig.split(5);
    let unheard =
        |of: &'static str| move |shown: &Value| place(shown, of).is_some_and(|line| line["fresh"] == false);
    rig.until(5, "the south is not heard of", unheard("south")).expect("seen");
    rig.until(0, "the north is not heard of", unheard("north")).expect("seen");
    rig.publish_drain_to_one("cache-1", 0, &[1, 2, 3, 4], WITHIN).expect("told");
    rig.publish_drain_to_one("cache-2", 6, &[5], WITHIN).expect("told");
    rig.move_cache(0, 0).expect("applied");
    rig.kill(4);
    rig.show_after_changes().expect("shown");
    let before = (rig.bytes_across(5), Instant::now());
    rig.clear_all_faults();
    for n in [5, 6] {
        rig.until(n, "it has caught up", |shown| shown["batches"] == 1 && north(shown, 0, 4)).expect("heard");
    }
    let barred = |shown: &Value| {
        let all = shown["barred"].as_array();
        all.is_some_and(|all| all.iter().any(|line| line[0] == "cache-2"))
    };
    for n in [0, 1, 2, 3] {
        rig.until(n, "it has caught up", |shown| barred(shown) && is_summarized(shown, "north", 5, 2))
            .expect("heard");
    }
    rig.settle().expect("one hierarchy");
    let after = (rig.bytes_across(5), Instant::now());
    rig.show_after_changes().expect("shown");
    // What crosses by itself, the pulse above all, does so on.
    let by_itself = (rig.bytes_across(5) - after.0) as f64 / after.1.elapsed().as_secs_f64();
    let (bytes, took) = (after.0 - before.0, (after.1 - before.1).as_secs_f64());
    let more = bytes as f64 - by_itself * took;
    println!(
        "caught up in {took:.1} s: {bytes} bytes, {more:.0} beside {by_itself:.0} a second, over 8 links"
    );
    assert!(more < 8.0 * 16_384.0, "{more} bytes over 8 links");
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// Routers in a row, each linked with the next one: the one in the middle of a site is of a build without places, and
/// all that the others hear of each other and of other places passes it.
#[test]
fn a_build_without_places_in_the_middle_of_a_site_passes_all_on() {
    let places = ["south/a", "south/a", "south/a", "north/b"].map(str::to_string).to_vec();
    let old = |n: usize, text: String| match n {
        1 => text.replace(", place = \"south/a\"", ""),
        _ => text,
    };
    let plan = Plan { routers: 4, places, links: Some(vec![(1, 0), (2, 1), (3, 2)]), ..plan() };
    let mut rig = Harness::start_with(PROGRAM, plan, old).expect("a fleet");
    rig.load_all().expect("load");
    let all = |shown: &Value| {
        is_summarized(shown, "south", 0, 3) && is_summarized(shown, "north", 3, 1) && shown["whole"] == 4
    };
    for n in [0, 2, 3] {
        rig.until(n, "all are counted", all).expect("seen");
    }
    rig.publish_drain_to_one("cache-1", 3, &[0, 1, 2], WITHIN).expect("told");
    rig.publish_purge_to_one("an-object", 3, &[0, 1, 2], WITHIN).expect("told");
    for n in [0, 1, 2] {
        rig.until(n, "both", |shown| shown["drains"] == 1 && shown["purges"] == 1).expect("heard");
    }
    rig.move_cache(0, 0).expect("applied");
    rig.settle().expect("one hierarchy");
    // Killed, the two at its sides do not hear of each other; started again, it passes all on as before.
    rig.kill(1);
    let apart = |shown: &Value| is_summarized(shown, "south/a", 0, 1) && alive(shown) == 0;
    rig.until(0, "it is alone", apart).expect("seen");
    rig.restart_router(1).expect("it starts");
    rig.load(1).expect("load");
    for n in [0, 2, 3] {
        rig.until(n, "all are counted again", all).expect("seen");
    }
    rig.show_after_changes().expect("shown");
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// Stragglers are named in other regions as in their sites: one that is cut off and stays behind, and all where nobody
/// reaches the floor, those that speak for their sites among them.
#[test]
fn stragglers_are_named_in_all_places() {
    let straggler = Some("bound = 1, back = 0.5, come_back = 0.2".to_string());
    let mut rig = Harness::start(PROGRAM, Plan { straggler, ..plan() }).expect("a fleet");
    rig.load_all().expect("load");
    rig.until(5, "all are counted", |shown| north(shown, 0, 5)).expect("seen");
    rig.until(0, "the zone", |shown| is_summarized(shown, "south/z1/a", 0, 3)).expect("seen");
    let bound = Duration::from_secs(1);
    let named = |of: &'static str, names: &'static [&'static str]| {
        move |shown: &Value| {
            place(shown, of).is_some_and(|line| {
                line["stragglers"] == serde_json::json!(names)
                    && line["behind"] == names.len() as u64
                    && line["fresh"] == true
            })
        }
    };
    rig.isolate(1).expect("cut off");
    rig.move_cache(0, 0).expect("applied");
    rig.until(6, "the batch", |shown| shown["batches"] == 1).expect("heard");
    rig.set_floor(5, 2, bound).expect("set");
    for n in [3, 5, 6] {
        rig.until(n, "r1 is named", named("south", &["r1"])).expect("seen");
    }
    pause(1_000);
    rig.shown(5).expect("shown");
    pause(500);
    rig.clear_all_faults();
    for n in [3, 5, 6] {
        rig.until(n, "nobody is behind", named("south", &[])).expect("seen");
    }
    rig.set_floor(5, 99, bound).expect("set");
    for n in [0, 3, 5, 6] {
        rig.until(n, "all are named", named("south", &["r0", "r1", "r2", "r3", "r4"])).expect("seen");
    }
    rig.until(0, "the north too", named("north", &["r5", "r6"])).expect("seen");
    rig.set_floor(6, 0, bound).expect("taken back");
    for n in [0, 5] {
        rig.until(n, "nobody is behind", named("south", &[])).expect("seen");
    }
    rig.end_loads();
    rig.check(&[]).expect("no rule is broken");
}

/// Routers in a row through all places, six links long: a drain that the journal tells one end the other end heeds by
/// the same bound as without places, and it hears of a purge.
#[test]
fn drains_and_purges_are_heeded_in_all_places_as_without_places() {
    for places in [Vec::new(), plan().places] {
        let links = Some((1..PLACES.len()).map(|n| (n, n - 1)).collect());
        let mut rig =
            Harness::start(PROGRAM, Plan { places, links, objects: 10, ..plan() }).expect("a fleet");
        rig.load_all().expect("load");
        let others = [1, 2, 3, 4, 5, 6];
        let videos = |rig: &Harness| {
            let lines = rig.fleet.record.lines();
            let object = |line: &RecordEntry| match &line.what {
                RecordedEvent::Asked { asked, .. } if asked.class == "video" => Some(asked.object.clone()),
                _ => None,
            };
            lines.iter().filter_map(object).collect::<Vec<_>>()
        };
        let end = Instant::now() + Duration::from_secs(20);
        while videos(&rig).len() < 60 && Instant::now() < end {
            pause(50);
        }
        let all = videos(&rig);
        let object = all.iter().max_by_key(|object| all.iter().filter(|o| o == object).count());
        let object = object.expect("one is asked for").clone();
        rig.publish_drain_to_one("cache-1", 0, &others, WITHIN).expect("told");
        rig.publish_purge_to_one(&object, 0, &others, WITHIN).expect("told");
        for n in others {
            rig.until(n, "both", |shown| shown["drains"] == 1 && shown["purges"] == 1).expect("heard");
        }
        pause(3_000);
        rig.end_loads();
        rig.check(&[]).expect("no rule is broken");
    }
}
