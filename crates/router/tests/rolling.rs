//! A rolling upgrade: routers of an earlier build and of this one run side by side in one fleet, then the
//! earlier ones are restarted one after another with this build.
//!
//! `LINNETHOOK_EARLIER_BUILD` is the path of the earlier build's program. Without it all routers run this
//! build, which still tests the restarts.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use linnethook_testbed::harness::{line, name, Harness, Plan};
use linnethook_testbed::recording::{Phase, RecordedEvent};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
/// Routers that start with the earlier build.
const EARLIER: [usize; 2] = [0, 1];
/// Routers that start with this build.
const CURRENT: [usize; 2] = [2, 3];
const ROUTERS: usize = 4;

fn earlier_build() -> PathBuf {
    std::env::var_os("LINNETHOOK_EARLIER_BUILD").map_or_else(|| PathBuf::from(PROGRAM), PathBuf::from)
}

/// Starts a fleet of both builds; each router stores its audit log in a directory of its own.
fn start_mixed_fleet(directory: &Path) -> Harness {
    let programs = EARLIER.into_iter().map(|n| (n, earlier_build())).collect::<BTreeMap<_, _>>();
    let plan = Plan { routers: ROUTERS, programs, ..Plan::default() };
    let with_directory = |n: usize, text: String| {
        let own = directory.join(name(n));
        text.replace("audit(", &format!("audit(folder = \"{}\", ", own.display()))
    };
    Harness::start_with(PROGRAM, plan, with_directory).expect("a fleet")
}

/// Drains a node in the endpoint list of one router, and waits until all others know of it.
fn assert_drain_reaches_all(harness: &mut Harness, node: &str, notified: usize) {
    harness.publish_phase(node, Phase::Draining, &[notified]).expect("published");
    for n in (0..ROUTERS).filter(|n| *n != notified) {
        let is_barred = |shown: &Value| {
            let barred = shown["barred"].as_array();
            barred.is_some_and(|list| list.iter().any(|entry| entry[0] == node)) && shown["drains"] == 1
        };
        harness.until(n, "the drain", is_barred).expect("received");
        let (router, node) = (name(n), node.to_string());
        harness.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
}

/// The same for a purge. A router counts the purges that it learns from its peers before they are in its own
/// event log.
fn assert_purge_reaches_all(harness: &mut Harness, object: &str, notified: usize) {
    let purges =
        |harness: &Harness, n: usize| harness.shown(n).expect("shown")["purges"].as_u64().expect("a count");
    let before: Vec<u64> = (0..ROUTERS).map(|n| purges(harness, n)).collect();
    harness.purge(object, &[notified]).expect("published");
    for n in (0..ROUTERS).filter(|n| *n != notified) {
        harness.until(n, "the purge", |shown| shown["purges"] == before[n] + 1).expect("received");
    }
}

/// Two objects that clients have requested.
fn requested_objects(harness: &Harness) -> Vec<String> {
    let mut objects = Vec::new();
    for line in harness.fleet.record.lines() {
        if let RecordedEvent::Asked { asked, .. } = &line.what {
            if asked.class == "video" && !objects.contains(&asked.object) {
                objects.push(asked.object.clone());
            }
        }
    }
    objects.truncate(2);
    objects
}

/// All routers have the same settings and operator file, and report equal digests of them, whichever build
/// they run.
fn assert_digests_are_equal(harness: &Harness) {
    for queried in [EARLIER[0], CURRENT[0]] {
        let shown = harness.shown(queried).expect("shown");
        let own = &shown["fellows"]["me"]["acts"];
        for n in (0..ROUTERS).filter(|n| *n != queried) {
            let other = &line(&shown, &name(n)).expect("known")["acts"];
            for digest in ["settings", "operator"] {
                assert_eq!(
                    own[digest],
                    other[digest],
                    "{digest} of {} according to {}",
                    name(n),
                    name(queried)
                );
            }
        }
    }
}

#[test]
fn an_earlier_build_and_this_one_share_a_fleet_during_a_rolling_upgrade() {
    let directory = std::env::temp_dir().join(format!("lh-rolling-{}", std::process::id()));
    let mut harness = start_mixed_fleet(&directory);
    harness.load_all().expect("the load starts");
    thread::sleep(Duration::from_millis(800));
    assert_digests_are_equal(&harness);

    assert_drain_reaches_all(&mut harness, "cache-1", EARLIER[0]);
    harness.move_cache(CURRENT[1], 0).expect("applied");
    harness.settle().expect("all act on the same hierarchy");
    harness.move_cache(EARLIER[1], 2).expect("applied");
    harness.settle().expect("all act on the same hierarchy");
    let objects = requested_objects(&harness);
    assert_purge_reaches_all(&mut harness, &objects[0], EARLIER[1]);
    assert_purge_reaches_all(&mut harness, &objects[1], CURRENT[0]);

    for n in EARLIER {
        harness.stop(n).expect("stopped");
        harness.fleet.set_program(&name(n), None);
        harness.restart_router(n).expect("it starts with the directory of the earlier build");
        harness.load(n).expect("the load starts");
        harness.settle().expect("all are alive and act on the same hierarchy");
    }
    thread::sleep(Duration::from_millis(900));
    harness.end_loads();

    // The audit logs of the earlier processes are read by their successors.
    let logs = harness.audit_logs().expect("audit logs");
    harness.check_audit_logs(&logs).expect("the same as the recording");
    for n in EARLIER {
        let starts = logs.incarnations().filter(|log| log.name == name(n)).count();
        assert_eq!(starts, 2, "both incarnations of {} are in the audit log", name(n));
    }
    harness.check(&[]).expect("no rule is broken");
    std::fs::remove_dir_all(&directory).expect("removed");
}
