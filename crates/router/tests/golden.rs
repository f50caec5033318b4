//! The output of the program as golden texts: the names of its counters, its help, and its errors on invalid
//! input with the exit codes.

mod common;
#[path = "unit/golden.rs"]
mod golden;

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use common::{fleet, fleet_with_operator_file, Fleet};
use golden::assert_golden;
use serde_json::{json, Value};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
const EXAMPLE: &str = include_str!("../../../examples/config.json");
const EVERY_SETTING: &str = include_str!("golden/config_every_setting.json");

/// A temporary directory of one test.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("linnethook-golden-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }

    /// The exit code and the output of the program, with the directory's path replaced by `FOLDER`.
    fn run(&self, arguments: &[&str], config: Option<&Path>) -> String {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).stdin(Stdio::null()).current_dir(&self.0);
        for name in ["LB_CONFIG", "LB_OPERATOR", "LB_CONTROL"] {
            command.env_remove(name);
        }
        config.iter().for_each(|path| _ = command.env("LB_CONFIG", path));
        let output = command.output().expect("the program runs");
        let text =
            |bytes: &[u8]| String::from_utf8_lossy(bytes).replace(&self.0.display().to_string(), "FOLDER");
        format!("{:?}\n{}{}", output.status.code(), text(&output.stdout), text(&output.stderr))
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn example(change: impl FnOnce(&mut Value)) -> String {
    let mut config: Value = serde_json::from_str(EXAMPLE).expect("the example configuration");
    config["listen"] = json!("127.0.0.1:0");
    change(&mut config);
    config.to_string()
}

#[test]
fn invalid_configurations_are_rejected_with_the_same_text() {
    let directory = Directory::new("config");
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = occupied.local_addr().expect("its address").port();
    let cases = [
        ("not JSON", "name = n0".to_string()),
        ("empty", String::new()),
        ("no name", example(|config| _ = config.as_object_mut().expect("fields").remove("name"))),
        ("no settings", example(|config| _ = config.as_object_mut().expect("fields").remove("settings"))),
        ("a number as listen", example(|config| config["listen"] = json!(8080))),
        ("no address as listen", example(|config| config["listen"] = json!("nowhere"))),
        ("a port in use", example(|config| config["listen"] = json!(format!("127.0.0.1:{port}")))),
        ("a bad seed", example(|config| config["seed"] = json!("not hexadecimal"))),
        ("a bad journal", example(|config| config["journal"] = json!("localhost"))),
        ("a bad class", example(|config| config["settings"]["grades"][0]["deadline"] = json!("soon"))),
        ("out of range", example(|config| config["settings"]["rules"]["start-capacity"] = json!(1.5))),
        ("no such kind", example(|config| config["settings"]["family-info"]["store-kind"] = json!(9))),
        ("no list", example(|config| config["known"] = json!({"pos": 1}))),
    ];
    let mut out = format!("LB_CONFIG is not set: {}", directory.run(&[], None));
    out += &format!("no such file: {}", directory.run(&[], Some(Path::new("nowhere.json"))));
    for (case, text) in &cases {
        let path = directory.write("config.json", text);
        out += &format!("{case}: {}", directory.run(&[], Some(&path)));
    }
    assert_golden("bad_configurations.txt", &out.replace(&port.to_string(), "PORT"));
}

#[test]
fn invalid_commands_and_operator_files_are_rejected_with_the_same_text() {
    let directory = Directory::new("commands");
    let good = directory.write("config.json", &example(|_| ()));
    directory.write("bad.star", "hierarchy(warm = \"soon\")");
    directory.write("unknown.star", "hierarchy(wram = 3)");
    directory.write("syntax.star", "hierarchy(");
    directory.write("links.star", "gateway(site = \"a\", listen = \"nowhere\")");
    directory.write("socket.star", "control(path = \"/nowhere/x.sock\")");
    directory.write("changes.star", "remove(\"nobody\")");
    directory.write("not.audit", "no account");
    let cases: &[&[&str]] = &[
        &["fly"],
        &["--fly"],
        &["hierarchy"],
        &["hierarchy", "show", "--format", "xml"],
        &["hierarchy", "show"],
        &["hierarchy", "show", "--socket", "a.sock,b.sock"],
        &["hierarchy", "show", "--socket", "nowhere.sock"],
        &["hierarchy", "plan", "nowhere.star", "--socket", "nowhere.sock"],
        &["hierarchy", "plan", "changes.star", "--socket", "nowhere.sock"],
        &["gateway", "status"],
        &["gateway", "drain", "--socket", "nowhere.sock"],
        &["fleet", "show"],
        &["fleet", "floor", "set", "0", "--socket", "nowhere.sock"],
        &["audit", "verify", "--from", "nowhere.audit"],
        &["audit", "verify", "--from", "not.audit"],
        &["audit", "export", "out.audit"],
        &["check", "nowhere.star"],
        &["check", "bad.star"],
        &["check", "unknown.star"],
        &["check", "syntax.star"],
        &["check", "links.star"],
        &["run", "--operator", "nowhere.star"],
        &["run", "--operator", "bad.star"],
        &["run", "--operator", "socket.star"],
        &["hollow", "nowhere.json"],
    ];
    let run =
        |arguments: &&[&str]| format!("{}: {}", arguments.join(" "), directory.run(arguments, Some(&good)));
    assert_golden("bad_commands.txt", &cases.iter().map(run).collect::<String>());
}

#[test]
fn the_help_texts_are_the_same() {
    let directory = Directory::new("help");
    let cases: &[&[&str]] = &[
        &["--help"],
        &["run", "--help"],
        &["check", "--help"],
        &["hierarchy", "--help"],
        &["gateway", "--help"],
        &["fleet", "--help"],
        &["fleet", "show", "--help"],
        &["fleet", "watch", "--help"],
        &["fleet", "floor", "--help"],
        &["audit", "--help"],
        &["settings"],
    ];
    let run = |arguments: &&[&str]| format!("{}: {}", arguments.join(" "), directory.run(arguments, None));
    assert_golden("help.txt", &cases.iter().map(run).collect::<String>());
}

/// The names of the counters in order, one a line.
fn counter_names(fleet: &Fleet) -> String {
    let line = fleet.router.counters_line();
    let names = line.split_whitespace().map(|field| field.split_once('=').map_or(field, |(name, _)| name));
    names.collect::<Vec<_>>().join("\n") + "\n"
}

#[test]
fn the_counters_have_the_same_names_in_the_same_order() {
    let default_names = counter_names(&fleet());
    let operator = "gateway(site = \"north\", listen = \"127.0.0.1:0\")\nfellows()\nwatch(tells = \"hit\")\n";
    let all_names = counter_names(&fleet_with_operator_file(operator));
    assert_golden("counters.txt", &format!("{default_names}\n{all_names}"));
}

#[test]
fn a_configuration_with_every_setting_is_accepted_at_a_start_and_at_a_reload() {
    let mut fleet = fleet();
    fleet.router.reload_text(EVERY_SETTING);
    fleet.router.wait_for_log("reloaded: the journal is at 127.0.0.1:9");
    let every: Value = serde_json::from_str(EVERY_SETTING).expect("JSON");
    let router = common::Router::start_with(&fleet.journal, |config| *config = every, None, None);
    fleet.router = router;
    assert!(fleet.router.counters().0.contains_key("taken_in"));
}
