//! The path of a fill, and the exclusion of edges after a detected loop.

use linnethook_hierarchy::edge_backoff::{EdgeBackoff, EdgeBackoffConfig};
use linnethook_hierarchy::loop_detection::{FillPath, FillPathError, PathRejection, MAX_HOPS};
use linnethook_hierarchy::NodeId;

#[test]
fn a_path_is_parsed_and_a_node_on_it_rejects_the_fill() {
    let path =
        FillPath::new(7).append_node("a").and_then(|path| path.append_node("b")).expect("distinct nodes");
    assert_eq!(path.to_string(), "7:a+b");
    let parsed = FillPath::parse("7:a+b").expect("valid path");
    assert_eq!(parsed, path);
    let rejection = parsed.clone().append_node("a").expect_err("a loop");
    assert_eq!(rejection, PathRejection::Loop { from: "b".to_string(), to: "a".to_string() });
    assert_eq!(FillPath::parse("3:").map(|path| path.names().count()), Ok(0));
    let longest = (0..MAX_HOPS)
        .try_fold(FillPath::new(1), |path, n| path.append_node(&format!("n{n}")))
        .expect("the maximum number of nodes");
    assert_eq!(longest.append_node("one-more"), Err(PathRejection::HopLimit));
}

#[test]
fn a_malformed_or_long_path_is_an_error() {
    for text in ["", "7", "x:a", "7:a++b", "7:a=b", "-1:a", "7:a b", "18446744073709551616:a"] {
        assert_eq!(FillPath::parse(text), Err(FillPathError::Malformed(text.to_string())), "{text}");
    }
    let many = format!("1:{}", vec!["n"; MAX_HOPS + 1].join("+"));
    let megabyte = format!("1:{}", "n".repeat(1 << 20));
    assert_eq!(FillPath::parse(&many), Err(FillPathError::TooManyNodes(MAX_HOPS + 1)));
    assert_eq!(FillPath::parse(&megabyte), Err(FillPathError::TooManyBytes(megabyte.len())));
}

#[test]
fn an_edge_is_excluded_longer_each_time_and_used_again_at_a_newer_version() {
    let (mut backoff, a, b) = (
        EdgeBackoff::new(EdgeBackoffConfig { max_edges: 3, ..EdgeBackoffConfig::default() }),
        NodeId(1),
        NodeId(2),
    );
    backoff.back_off(0.0, a, b, 5);
    backoff.back_off(10.0, a, b, 5);
    assert!(
        backoff.is_backed_off(1_005.0, a, b, 5)
            && !backoff.is_backed_off(1_005.0, a, b, 6)
            && !backoff.is_backed_off(1_005.0, b, a, 5)
    );
    assert!(!backoff.is_backed_off(1_011.0, a, b, 5));
    backoff.back_off(1_500.0, a, b, 5);
    assert!(
        backoff.is_backed_off(3_499.0, a, b, 5),
        "twice as long if the loop is detected again soon after"
    );
    (10..20).for_each(|n| backoff.back_off(1_600.0, NodeId(n), b, 5));
    assert_eq!(backoff.len(), 3);
    backoff.expire(100_000.0);
    assert!(backoff.is_empty());
}
