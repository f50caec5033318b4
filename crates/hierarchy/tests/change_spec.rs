//! The changes between two topologies, and the validation of a complete one, with the names of nodes.

use linnethook_hierarchy::change_spec::{validate, NameTable, NodeSpec, SourceSpec};
use linnethook_hierarchy::{AuthorId, History, ReceiveOutcome, Role};

fn node(name: &str, role: Role, sources: &[&str]) -> NodeSpec {
    let rank = |(n, name): (usize, &&str)| SourceSpec { name: name.to_string(), rank: n as u16 };
    NodeSpec {
        name: name.to_string(),
        role,
        site: "hub".to_string(),
        tier: u8::from(role == Role::Parent),
        capacity: 4.0,
        retiring: false,
        sources: sources.iter().enumerate().map(rank).collect(),
    }
}

fn valid_topology() -> Vec<NodeSpec> {
    vec![
        node("origin", Role::Origin, &[]),
        node("south", Role::Parent, &["origin"]),
        node("centre", Role::Parent, &["origin"]),
        node("a", Role::Cache, &["south", "origin"]),
    ]
}

#[test]
fn changes_to_reach_a_topology_produce_it_and_are_then_empty() {
    let (mut names, mut history) = (NameTable::default(), History::default());
    let mut changed = valid_topology();
    changed[1].site = "elsewhere".to_string();
    changed[2].capacity = 9.0;
    changed[3] = node("a", Role::Cache, &["centre", "origin"]);
    changed.push(node("b", Role::Cache, &["south"]));
    let mut retired = valid_topology();
    retired[1].retiring = true;
    let without_cache = valid_topology()[..3].to_vec();
    for desired in [valid_topology(), changed, retired, without_cache, valid_topology()] {
        let changes = names.changes_to_reach(history.topology(), &desired);
        let batch = history.draft_batch(AuthorId(1), 0.0, changes);
        let batch_id = batch.id;
        assert!(matches!(history.receive_batch(batch), ReceiveOutcome::Accepted(_)));
        assert_eq!(history.outcome(batch_id), Some(Ok(())));
        let mut sorted = desired.clone();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        assert_eq!(names.node_specs(history.topology()), sorted);
        assert_eq!(names.changes_to_reach(history.topology(), &desired), []);
    }
    names.retain(history.topology());
    assert_eq!(names.len(), 4 + 1);
}

#[test]
fn validation_rejects_invalid_topologies() {
    assert_eq!(validate(&valid_topology()), Ok(()));
    let error_after = |change: fn(&mut Vec<NodeSpec>)| {
        let mut nodes = valid_topology();
        change(&mut nodes);
        validate(&nodes).expect_err("invalid topology").to_string()
    };
    let table = [
        (error_after(|n| n.push(n[3].clone())), "two nodes are named \"a\""),
        (error_after(|n| n[3].sources[0].name = "north".to_string()), "\"a\" lists \"north\" as a source"),
        (error_after(|n| n[1] = node("south", Role::Parent, &["a"])), "a -> south -> a"),
        (error_after(|n| n[3].sources.clear()), "node \"a\" has no path to the origin"),
        (error_after(|n| drop(n.remove(0))), "as a source, which is not a node"),
        (error_after(|n| n[0].role = Role::Parent), "no node is an origin, expected at least one"),
    ];
    for (found, expected) in table {
        assert!(found.contains(expected), "{found}");
    }
}
