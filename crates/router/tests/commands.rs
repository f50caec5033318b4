//! The command line and the operator file, with the built program.

use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::process::Output;

use linnethook_testbed::cache_server::CacheServerConfig;
use linnethook_testbed::process_cluster::{operator_file, ProcessCluster};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");

fn fleet(settings: &str) -> ProcessCluster {
    let mut fleet = ProcessCluster::two_hubs(PROGRAM, 2, CacheServerConfig::new).expect("a fleet");
    let operator = operator_file(2, "south", settings);
    fleet.start_router("n0", Some(&operator), |_| {}).expect("a router");
    fleet
}

fn result(output: &Output) -> (i32, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

fn run_hierarchy(fleet: &ProcessCluster, arguments: &[&str]) -> (i32, String, String) {
    let socket = fleet.socket("n0").display().to_string();
    let arguments = [&["hierarchy"], arguments, &["--socket", &socket]].concat();
    result(&fleet.command(&arguments).expect("the program runs"))
}

/// An evaluation that allocates gigabytes in one step is killed by the system, and the command reports it.
#[test]
fn an_operator_file_is_checked_within_resource_limits() {
    let fleet = ProcessCluster::new(PROGRAM).expect("a directory");
    let good = operator_file(2, "south", "warm = 3");
    let doubled = "x = \"a\"\nfor n in range(60):\n    x = x + x";
    let table = [
        (good.replace("SOCKET", "/tmp/x.sock"), 0, "valid (control socket: /tmp/x.sock; hierarchy: 5 nodes)"),
        ("watch(tells = \"hit\")".to_string(), 0, "hierarchy: off; shadow policy: on)"),
        ("hierarchy(warm = \"\")".to_string(), 2, ":1:1: hierarchy(): warm: expected a number"),
        (doubled.to_string(), 2, "evaluation exceeded 2 s of CPU time or 768 MB of memory"),
        ("x = [0] * 2000000000".to_string(), 2, "evaluation"),
        ("x = [a for a in range(1000000000)]".to_string(), 2, ":"),
    ];
    for (content, code, expected) in table {
        let path = fleet.write_file("operator.star", &content).expect("written").display().to_string();
        let (exit_code, out, err) = result(&fleet.command(&["check", &path]).expect("the program runs"));
        assert_eq!(exit_code, code, "{content}: {out}{err}");
        assert!(format!("{out}{err}").contains(expected), "{out}{err}");
        assert_eq!(format!("{out}{err}").lines().count(), 1, "{err}");
    }
    for (arguments, code, expected) in [
        (&["check", "/nowhere.star"][..], 2, "/nowhere.star: the operator file can't be read: No such file"),
        (&["fly"], 2, "unrecognized subcommand"),
        (&["settings"], 0, "| `warm` | 30 seconds | 0.1 to 86400 |"),
        (&["completions", "bash"], 0, "_linnethook()"),
        (&["man"], 0, ".TH linnethook"),
        (&["hierarchy", "show"], 2, "--socket"),
        (
            &["hierarchy", "show", "--socket", "/nowhere.sock"],
            1,
            "/nowhere.sock: no router listens on this control socket: No such file",
        ),
    ] {
        let (exit_code, out, err) = result(&fleet.command(arguments).expect("the program runs"));
        assert_eq!(exit_code, code, "{arguments:?}: {out}{err}");
        assert!(format!("{out}{err}").contains(expected), "{arguments:?}: {out}{err}");
    }
}

#[test]
fn the_hierarchy_is_shown_planned_applied_and_rolled_back() {
    let fleet = fleet("");
    let (code, out, err) = run_hierarchy(&fleet, &["show"]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert!(out.starts_with("version 1, digest ") && out.contains(": 5 nodes, 0 edges suspended"), "{out}");
    let (_, before, _) = run_hierarchy(&fleet, &["nodes", "--format", "json"]);
    let changes = r#"
[rerank("cache-%d" % n, sources = [("centre", 0), ("origin", 9)]) for n in range(2)]
rerank("south", sources = ["centre", "origin"])
rerank("centre", sources = ["south", "origin"])
"#;
    let file = fleet.write_file("changes.star", changes).expect("written").display().to_string();
    let (code, out, _) = run_hierarchy(&fleet, &["plan", &file]);
    assert_eq!(code, 0);
    assert!(out.contains("reroute cache-0: south(0) origin(9) -> centre(0) origin(9)"), "{out}");
    assert!(out.contains("CYCLE, the edge would be suspended:") && out.contains("load centre: "), "{out}");
    assert_eq!(run_hierarchy(&fleet, &["nodes", "--format", "json"]).1, before, "a plan changes nothing");
    let (code, out, _) = run_hierarchy(&fleet, &["apply", &file]);
    assert_eq!(code, 0);
    let batch: Vec<&str> = out.trim().rsplit(' ').take(2).collect();
    let (_, out, _) = run_hierarchy(&fleet, &["show", "--format", "json"]);
    let shown: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((shown["version"].as_u64(), shown["suspended"].as_u64()), (Some(2), Some(1)));
    assert_eq!(shown["moves"][0]["to"], "centre");
    let (code, out, err) = run_hierarchy(&fleet, &["rollback", batch[1], batch[0]]);
    assert_eq!(code, 0, "{out}{err}");
    assert_eq!(run_hierarchy(&fleet, &["nodes", "--format", "json"]).1, before);
    let bad = fleet.write_file("bad.star", "remove(\"nobody\")").expect("written").display().to_string();
    for verb in ["plan", "apply"] {
        let (code, _, err) = run_hierarchy(&fleet, &[verb, &bad]);
        assert!(code == 1 && err.contains("is not in the topology"), "{code} {err}");
    }
    let (code, _, err) = run_hierarchy(&fleet, &["rollback", "7", "7"]);
    assert!(code == 1 && err.contains("no such batch"), "{err}");
}

/// A control message that is truncated, invalid, or announces four gigabytes has no effect, and the next one
/// is answered.
#[test]
fn only_complete_control_messages_take_effect() {
    let fleet = fleet("");
    let path = fleet.socket("n0");
    let mode = std::fs::metadata(&path).expect("the socket").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let (_, before, _) = run_hierarchy(&fleet, &["nodes"]);
    for bytes in
        [&[0, 0, 0, 9, 3, 1][..], &[0, 0], &[0, 0, 0, 3, 250, 250, 250], &[255, 255, 255, 255, 1], &[]]
    {
        let mut stream = UnixStream::connect(&path).expect("a connection");
        stream.write_all(bytes).expect("sent");
        stream.shutdown(std::net::Shutdown::Write).expect("the rest is never sent");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    }
    // Connections that stay open without a message must not block other clients.
    let _open_connections: Vec<UnixStream> =
        (0..3).map(|_| UnixStream::connect(&path).expect("a connection")).collect();
    assert_eq!(run_hierarchy(&fleet, &["nodes"]).1, before);
}

/// SIGHUP applies the operator file's hierarchy as one batch; an invalid file changes nothing.
#[test]
fn the_operator_file_is_reloaded_at_sighup() {
    let fleet = fleet("");
    let process = Pid::from_raw(fleet.process_id("n0").expect("it runs") as i32);
    let file = fleet.operator_file("n0");
    let good = std::fs::read_to_string(&file).expect("the file");
    let (_, before, _) = run_hierarchy(&fleet, &["nodes"]);
    for (content, expected) in [
        (good.replace("hierarchy(", "hierarchy(wram = 3"), "not reloaded: "),
        (good.replace("(\"south\", 0)", "(\"cache-0\", 0)"), "fills would loop"),
        (String::new(), "none of its settings can change at runtime"),
        (good.replace("(\"south\", 0)", "(\"centre\", 0)"), "reloaded; 2 changes of the hierarchy applied"),
    ] {
        assert_eq!(run_hierarchy(&fleet, &["nodes"]).1, before, "before {expected}");
        std::fs::write(&file, content).expect("written");
        kill(process, Signal::SIGHUP).expect("signalled");
        fleet.logged("n0", expected).expect("logged");
    }
    let (_, out, _) = run_hierarchy(&fleet, &["nodes"]);
    assert!(out.contains("cache-0 cache tier 0 at shop: centre(0) origin(9)"), "{out}");
}

/// With the JSON log format each log line is one object with the message and its fields.
#[test]
fn the_log_is_written_as_json_if_configured() {
    let mut fleet = ProcessCluster::two_hubs(PROGRAM, 2, CacheServerConfig::new).expect("a fleet");
    let operator = operator_file(2, "south", "announce = 0") + "log(format = \"json\")\n";
    fleet.start_router("n0", Some(&operator), |_| {}).expect("a router");
    let file = fleet
        .write_file("one.star", "rerank(\"cache-0\", sources = [\"centre\", \"origin\"])")
        .expect("written");
    let (code, _, err) = run_hierarchy(&fleet, &["apply", &file.display().to_string()]);
    assert_eq!(code, 0, "{err}");
    let line = fleet.logged("n0", "a batch was applied").expect("logged");
    let line: serde_json::Value = serde_json::from_str(&line).expect("a JSON object");
    assert_eq!((line["number"].as_u64(), line["level"].as_str()), (Some(1), Some("INFO")));
    assert!(line["author"].as_u64().is_some_and(|author| author >= 0x8000), "{line}");
}
