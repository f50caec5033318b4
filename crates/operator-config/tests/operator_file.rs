//! The operator file: valid files, the error for each kind of invalid file, and the limits of an evaluation.

use linnethook_operator_config::changes::parse_changes;
use linnethook_operator_config::{EvaluationLimits, OperatorConfig};
use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};
use proptest::test_runner::RngSeed;
use std::time::Duration;

const GOOD: &str = r#"
control(path = "/run/linnethook/control.sock")
log(format = "json", lines_per_second = 50)
hierarchy(author = 7, warm = 12.5, tries = 2, shielded = False)

node("origin", role = "origin", site = "hub", capacity = 20)
for hub in ["south", "centre"]:
    node("parent-" + hub, role = "parent", site = hub, capacity = 30, sources = ["origin"])
[node("cache-%d" % n, site = "shop", capacity = 8, sources = ["parent-south", ("origin", 9)]) for n in range(3)]

gateway(site = "north", listen = "10.0.0.4:9300", fresh = 0.15, hops = 3)
site("south", classes = ["booking"])
site("west")
link("south", connect = "10.1.0.4:9300", connections = 2)
"#;

fn read(text: &str) -> Result<OperatorConfig, String> {
    OperatorConfig::parse("operator.star", text, &EvaluationLimits::default())
        .map_err(|error| error.to_string())
}

#[test]
fn every_function_of_a_file_is_read() {
    let config = read(GOOD).expect("a good file");
    let hierarchy = config.hierarchy.expect("a hierarchy");
    assert_eq!(config.control_socket.as_deref(), Some("/run/linnethook/control.sock"));
    assert!(config.log.is_some_and(|log| log.json && log.lines_per_second == 50));
    let parameters = hierarchy.parameters;
    assert_eq!(
        (hierarchy.author, parameters.rollout.ramp_duration, parameters.rollout.max_attempts),
        (7, 12_500.0, 2)
    );
    assert!(parameters.rollout_enabled && !parameters.shield_enabled && !hierarchy.extended);
    assert_eq!(hierarchy.nodes.len(), 6);
    let ranks: Vec<u16> = hierarchy.nodes[5].sources.iter().map(|source| source.rank).collect();
    assert_eq!(ranks, [0, 9]);
    let gateway = config.gateway.expect("a gateway");
    assert_eq!((gateway.site.as_str(), gateway.sites.len(), gateway.links[0].connections), ("north", 2, 2));
    assert_eq!((gateway.parameters.peers.max_state_delay, gateway.parameters.routing.max_hops), (150.0, 3));
    assert_eq!(gateway.sites[0].classes, ["booking"]);
    assert!(read("").expect("an empty file").gateway.is_none());
    assert!(read("").expect("an empty file").shadow_policy.is_none());
    let watch = read("watch(weight_source = \"off\", max_attempts = 3)")
        .expect("a watch")
        .shadow_policy
        .expect("a watch");
    assert_eq!(
        (watch.weight_source.as_deref(), watch.tells, watch.max_attempts),
        (Some("off"), None, Some(3))
    );
    assert_eq!((watch.merges_fills, watch.log_interval_seconds), (None, 60.0));
    assert!(read("").expect("an empty file").hierarchy.is_none());
    assert!(read("hierarchy()").expect("no nodes").hierarchy.is_some_and(|h| h.nodes.is_empty()));
}

/// An error is one line with file, line and column, and the expected value.
#[test]
fn an_error_names_position_and_expected_value() {
    let node = r#"node("o", role = "origin")"#;
    let table = [
        ("hierarchy(wram = 3)", "operator.star:1:1: hierarchy(): there is no setting \"wram\"; expected one of announce"),
        ("\n  \nhierarchy(warm = \"soon\")", "operator.star:3:1: hierarchy(): warm: expected a number of seconds from 0.1 to 86400, got \"soon\""),
        ("x = 1\nif x:\n    hierarchy(warm = 0)", "operator.star:3:5: hierarchy(): warm: expected a number of seconds"),
        ("hierarchy(tries = 1.5)", "tries: expected a whole number from 1 to 100, got 1.5"),
        ("hierarchy(tries = True)", "tries: expected a whole number"),
        ("watch(weight_source = \"heavy\")", "operator.star:1:1: watch(): weight_source: expected \"off\" or \"nominal\""),
        ("watch(tells = 3)", "watch(): tells: expected \"all\" or \"hit\" or \"off\", got 3"),
        ("watch(merges_fills = 1)", "watch(): merges_fills: expected True or False, got 1"),
        ("watch(max_attempts = 0)", "watch(): max_attempts: expected a whole number from 1 to 255, got 0"),
        ("watch(every = 0)", "watch(): every: expected a number from 1 to 86400, got 0"),
        ("watch(sizes = 3)", "watch(): there is no setting \"sizes\"; expected one of bypass_allowed"),
        ("watch()\nwatch()", "operator.star:2:1: watch(): expected one call, already called in line 1"),
        ("hierarchy(staged = 1)", "staged: expected True or False, got 1"),
        ("hierarchy()\nhierarchy()", "operator.star:2:1: hierarchy(): expected one call, already called in line 1"),
        ("hierachy()", "operator.star:1:1: Variable `hierachy` not found, did you mean `hierarchy`?"),
        ("control(path = \"here\")", "control(): path: expected an absolute path"),
        ("control()", "control(): path is missing"),
        ("log(format = \"xml\")", "log(): format: expected \"text\" or \"json\", got \"xml\""),
        ("node(\"a\")", "operator.star:1:1: node(): expected a hierarchy() in the same file"),
        ("hierarchy()\nnode(\"a b\")", "operator.star:2:1: node(): name: expected a name"),
        ("hierarchy()\nnode(\"a\", sources = \"b\")", "sources: expected a list of names"),
        ("hierarchy()\nnode(\"a\", sources = [(\"b\", -1)])", "sources: expected a list of names"),
        ("hierarchy()\nnode(\"a\", capacity = 0)", "capacity: expected a number from 0.001"),
        (&format!("hierarchy()\n{node}\n{node}"), "operator.star:3:1: two nodes are named \"o\""),
        (&format!("hierarchy()\n{node}\nnode(\"a\", sources = [\"b\"])"), "operator.star:3:1: node \"a\" lists \"b\" as a source"),
        (
            &format!("hierarchy()\n{node}\nnode(\"a\", sources = [\"b\"])\nnode(\"b\", sources = [\"a\"])"),
            "operator.star:4:1: fills would loop between the nodes b -> a -> b",
        ),
        (&format!("hierarchy()\n{node}\nnode(\"a\")"), "operator.star:3:1: node \"a\" has no path to the origin"),
        ("hierarchy()\nnode(\"a\")", "operator.star:1:1: no node is an origin, expected at least one"),
        ("hierarchy(nodes = 1)\nnode(\"a\")\nnode(\"b\")", "hierarchy(): expected at most 1 nodes, got 2"),
        ("site(\"b\")", "operator.star:1:1: site(): expected a gateway() in the same file"),
        ("gateway(listen = \"10.0.0.4:9300\")", "gateway(): site is missing"),
        ("gateway(site = \"a\", listen = \"here\")", "listen: expected an address with its port"),
        ("gateway(site = \"a\", listen = \"10.0.0.4:1\")", "gateway(): expected at least one other site()"),
        ("gateway(site = \"a\")\nsite(\"a\")", "operator.star:2:1: site(): name: expected a new name, \"a\" is already a site"),
        ("gateway(site = \"a\")\nsite(\"b\")", "operator.star:1:1: gateway(): expected listen, or at least one link()"),
        ("gateway(site = \"a\", phi = 0)\nsite(\"b\")", "gateway(): phi: expected a number from 1 to 16, got 0"),
        (
            "gateway(site = \"a\")\nsite(\"b\")\nlink(\"c\", connect = \"10.0.0.4:1\")",
            "operator.star:3:1: link(): to: expected a known site, got \"c\"",
        ),
        (
            "gateway(site = \"a\")\nsite(\"b\", classes = [\"x\"])\nsite(\"c\", classes = [\"x\"])",
            "operator.star:3:1: site(): classes: \"x\" already has another home site",
        ),
        ("hierarchy(", "operator.star:1:"),
        ("load(\"other.star\", \"x\")", "operator.star:1:1:"),
        ("def f(): f()\nf()", "operator.star:"),
        ("fail(\"not on this machine\")", "not on this machine"),
    ];
    for (text, expected) in table {
        let error = read(text).expect_err(text);
        assert!(error.contains(expected), "{error}\nexpected {expected}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

/// Every evaluation ends at its limit on steps or call depth. A single step that allocates too much memory is
/// ended by the limits of the operating system, which `crates/router/tests/commands.rs` tests with the
/// program.
#[test]
fn evaluation_ends_at_its_limits() {
    for text in [
        "def f():\n    for a in range(1000000000):\n        pass\nf()",
        "x = [a for a in range(1000000000)]",
        "def f(n):\n    return f(n + 1)\nf(0)",
    ] {
        let limits = EvaluationLimits { steps: 100_000, ..EvaluationLimits::default() };
        let error = OperatorConfig::parse("operator.star", text, &limits).expect_err(text).to_string();
        assert!(error.starts_with("operator.star:"), "{error}");
    }
    let long = "#".repeat(EvaluationLimits::default().file_bytes + 1);
    assert!(read(&long).expect_err("too long").contains("bytes, expected"));
}

#[test]
fn a_hundred_thousand_nodes_are_read() {
    let text = format!(
        "hierarchy()\n{}\n{}\n{}",
        "node(\"origin\", role = \"origin\")",
        "[node(\"p%d\" % n, role = \"parent\", sources = [\"origin\"]) for n in range(1000)]",
        "[node(\"c%d\" % n, sources = [(\"p%d\" % (n % 1000), 0), (\"origin\", 9)]) for n in range(99000)]"
    );
    let limits = EvaluationLimits { duration: Duration::from_secs(60), ..EvaluationLimits::default() };
    let config = OperatorConfig::parse("operator.star", &text, &limits).expect("a large file");
    assert_eq!(config.hierarchy.map(|hierarchy| hierarchy.nodes.len()), Some(100_001));
}

#[test]
fn a_file_of_changes_has_functions_of_its_own() {
    let text = r#"
add("north", role = "parent", site = "n", sources = ["origin"])
move("hub", site = "centre", sources = ["origin"])
replace("old", "new", role = "parent", capacity = 3)
rerank("cache-1", sources = ["new", "origin"])
retire("old")
retire("south", retiring = False)
remove("gone")
"#;
    let read = |text: &str| {
        parse_changes("changes.star", text, &EvaluationLimits::default()).map_err(|error| error.to_string())
    };
    assert_eq!(read(text).expect("changes").len(), 7);
    for (text, expected) in [
        ("", "changes.star: expected at least one change"),
        ("move(\"hub\")", "changes.star:1:1: move(): site is missing"),
        ("hierarchy()", "not found"),
        ("remove(\"a\", soon = True)", "remove(): there is no setting \"soon\""),
    ] {
        let error = read(text).expect_err(text);
        assert!(error.contains(expected), "{error}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Arbitrary insertions into a valid file and deletions from it give a configuration, or an error of one
    /// line with its position.
    #[test]
    fn no_file_causes_a_panic(at in any::<prop::sample::Index>(), cut in 0usize..40, put in "\\PC{0,12}") {
        let from = GOOD.floor_char_boundary(at.index(GOOD.len()));
        let to = GOOD.floor_char_boundary((from + cut).min(GOOD.len()));
        let text = format!("{}{put}{}", &GOOD[..from], &GOOD[to..]);
        let limits = EvaluationLimits { steps: 100_000, ..EvaluationLimits::default() };
        if let Err(error) = OperatorConfig::parse("operator.star", &text, &limits) {
            let line = error.to_string();
            prop_assert!(line.starts_with("operator.star:") && line.lines().count() == 1, "{}", line);
        }
    }
}
