//! A rolling change of the program: routers of an earlier build and of this one side by side in one fleet, then the
//! earlier ones are started again, one after another, with this build.
//!
//! `LINNETHOOK_EARLIER_BUILD` names the program of the earlier build. Without it this build stands on both sides, so
//! that the restarts themselves are tested.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use linnethook_testbed::harness::{line, name, Harness, Plan};
use linnethook_testbed::recording::{Phase, RecordedEvent};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
/// Routers that begin with the earlier build, and those that begin with this one.
const EARLIER: [usize; 2] = [0, 1];
const CURRENT: [usize; 2] = [2, 3];
const ROUTERS: usize = 4;

fn earlier_build() -> PathBuf {
    std::env::var_os("LINNETHOOK_EARLIER_BUILD").map_or_else(|| PathBuf::from(PROGRAM), PathBuf::from)
}

/// Each router keeps its audit log in a folder of its own.
fn start_mixed_fleet(folder: &Path) -> Harness {
    let programs = EARLIER.into_iter().map(|n| (n, earlier_build())).collect::<BTreeMap<_, _>>();
    let plan = Plan { routers: ROUTERS, programs, ..Plan::default() };
    let with_folder = |n: usize, text: String| {
        let own = folder.join(name(n));
        text.replace("audit(", &format!("audit(folder = \"{}\", ", own.display()))
    };
    Harness::start_with(PROGRAM, plan, with_folder).expect("a fleet")
}

/// A drain that the endpoint list of one router alone tells of reaches all others.
fn drain_reaches_all(rig: &mut Harness, node: &str, notified: usize) {
    rig.publish_phase(node, Phase::Draining, &[notified]).expect("told");
    for n in (0..ROUTERS).filter(|n| *n != notified) {
        let barred = |shown: &Value| {
            let barred = shown["barred"].as_array();
            barred.is_some_and(|list| list.iter().any(|entry| entry[0] == node)) && shown["drains"] == 1
        };
        rig.until(n, "the drain", barred).expect("passed on");
        let (router, node) = (name(n), node.to_string());
        rig.fleet.record.note(RecordedEvent::Listed { router, node, phase: Phase::Draining });
    }
}

/// The same for a purge. A router counts what it learns from its peers before its own endpoint list tells of it.
fn purge_reaches_all(rig: &mut Harness, object: &str, notified: usize) {
    let purges = |rig: &Harness, n: usize| rig.shown(n).expect("shown")["purges"].as_u64().expect("a count");
    let before: Vec<u64> = (0..ROUTERS).map(|n| purges(rig, n)).collect();
    rig.purge(object, &[notified]).expect("told");
    for n in (0..ROUTERS).filter(|n| *n != notified) {
        rig.until(n, "the purge", |shown| shown["purges"] == before[n] + 1).expect("passed on");
    }
}

/// Two objects that clients have asked for.
fn requested_objects(rig: &Harness) -> Vec<String> {
    let mut objects = Vec::new();
    for line in rig.fleet.record.lines() {
        if let RecordedEvent::Asked { asked, .. } = &line.what {
            if asked.class == "video" && !objects.contains(&asked.object) {
                objects.push(asked.object.clone());
            }
        }
    }
    objects.truncate(2);
    objects
}

/// All routers were given the same settings and operator file, and say so by equal digests, whichever build they run.
fn digests_are_equal(rig: &Harness) {
    for asked in [EARLIER[0], CURRENT[0]] {
        let shown = rig.shown(asked).expect("shown");
        let own = &shown["fellows"]["me"]["acts"];
        for n in (0..ROUTERS).filter(|n| *n != asked) {
            let other = &line(&shown, &name(n)).expect("known")["acts"];
            for digest in ["settings", "operator"] {
                assert_eq!(own[digest], other[digest], "{digest} of {} as {} has it", name(n), name(asked));
            }
        }
    }
}

#[test]
fn an_earlier_build_and_this_one_share_a_fleet_and_are_exchanged_one_by_one() {
    let folder = std::env::temp_dir().join(format!("lh-rolling-{}", std::process::id()));
    let mut rig = start_mixed_fleet(&folder);
    rig.load_all().expect("load");
    thread::sleep(Duration::from_millis(800));
    digests_are_equal(&rig);

    drain_reaches_all(&mut rig, "cache-1", EARLIER[0]);
    rig.move_cache(CURRENT[1], 0).expect("applied");
    rig.settle().expect("all act on the same hierarchy");
    rig.move_cache(EARLIER[1], 2).expect("applied");
    rig.settle().expect("all act on the same hierarchy");
    let objects = requested_objects(&rig);
    purge_reaches_all(&mut rig, &objects[0], EARLIER[1]);
    purge_reaches_all(&mut rig, &objects[1], CURRENT[0]);

    for n in EARLIER {
        rig.stop(n).expect("it ends");
        rig.fleet.set_program(&name(n), None);
        rig.restart_router(n).expect("it starts with the folder of the earlier build");
        rig.load(n).expect("load");
        rig.settle().expect("all are alive and act on the same hierarchy");
    }
    thread::sleep(Duration::from_millis(900));
    rig.end_loads();

    // What the earlier processes wrote is read by those that came after them.
    let accounts = rig.audit_logs().expect("accounts");
    rig.check_audit_logs(&accounts).expect("the same as the record");
    for n in EARLIER {
        let starts = accounts.incarnations().filter(|log| log.name == name(n)).count();
        assert_eq!(starts, 2, "both incarnations of {} are in the audit log", name(n));
    }
    rig.check(&[]).expect("no rule is broken");
    std::fs::remove_dir_all(&folder).expect("removed");
}
