//! Differences between topologies and the check of a whole one, with the names of nodes.

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

fn wanted() -> Vec<NodeSpec> {
    vec![
        node("origin", Role::Origin, &[]),
        node("south", Role::Parent, &["origin"]),
        node("centre", Role::Parent, &["origin"]),
        node("a", Role::Cache, &["south", "origin"]),
    ]
}

#[test]
fn changes_to_reach_a_topology_make_it_the_wanted_one_and_are_then_none() {
    let (mut names, mut history) = (NameTable::default(), History::default());
    let mut other = wanted();
    other[1].site = "elsewhere".to_string();
    other[2].capacity = 9.0;
    other[3] = node("a", Role::Cache, &["centre", "origin"]);
    other.push(node("b", Role::Cache, &["south"]));
    let mut retired = wanted();
    retired[1].retiring = true;
    for shape in [wanted(), other, retired, wanted()[..3].to_vec(), wanted()] {
        let changes = names.changes_to_reach(history.topology(), &shape);
        let batch = history.draft_batch(AuthorId(1), 0.0, changes);
        let batch_id = batch.id;
        assert!(matches!(history.receive_batch(batch), ReceiveOutcome::Accepted(_)));
        assert_eq!(history.outcome(batch_id), Some(Ok(())));
        let mut sorted = shape.clone();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        assert_eq!(names.node_specs(history.topology()), sorted);
        assert_eq!(names.changes_to_reach(history.topology(), &shape), []);
    }
    names.retain(history.topology());
    assert_eq!(names.len(), 4 + 1);
}

#[test]
fn validation_rejects_topologies_that_can_not_work() {
    assert_eq!(validate(&wanted()), Ok(()));
    let with = |change: fn(&mut Vec<NodeSpec>)| {
        let mut nodes = wanted();
        change(&mut nodes);
        validate(&nodes).expect_err("a bad shape").to_string()
    };
    let table = [
        (with(|n| n.push(n[3].clone())), "two nodes are named \"a\""),
        (with(|n| n[3].sources[0].name = "north".to_string()), "\"a\" names \"north\" as a source"),
        (with(|n| n[1] = node("south", Role::Parent, &["a"])), "a -> south -> a"),
        (with(|n| n[3].sources.clear()), "\"a\" has no way to the origin"),
        (with(|n| drop(n.remove(0))), "as a source, which is no node"),
        (with(|n| n[0].role = Role::Parent), "there is no origin"),
    ];
    for (found, expected) in table {
        assert!(found.contains(expected), "{found}");
    }
}
