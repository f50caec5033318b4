//! For each rule the checker detects recordings that break it, and accepts one that follows it.

use linnethook_testbed::checker::{disconnected_clients, judge, Breach, Rule, RuleBounds};
use linnethook_testbed::recording::{Asked, Ms, Phase, RecordEntry, RecordedEvent, WarmUpCapacity};

const ROUTER: &str = "n0";

fn line(at: Ms, what: RecordedEvent) -> RecordEntry {
    RecordEntry { at, what }
}

fn requested(at: Ms, request: u64, harmful: bool) -> RecordEntry {
    let (id, object) = (format!("id{request}"), "o".to_string());
    let router = ROUTER.to_string();
    line(
        at,
        RecordedEvent::Requested { request, id, object, group: 3, deadline: at + 1_000.0, harmful, router },
    )
}

fn answered(at: Ms, request: u64, code: u8, dated: Option<Ms>) -> RecordEntry {
    line(at, RecordedEvent::Final { request, code, dated })
}

fn received(at: Ms, attempt: u64, node: &str, id: &str) -> RecordEntry {
    let router = Some(ROUTER.to_string());
    let (id, object) = (id.to_string(), "o".to_string());
    line(
        at,
        RecordedEvent::Asked {
            attempt,
            asked: Asked { at: node.to_string(), id, object, router, ..Asked::default() },
        },
    )
}

/// A fill that a node requests from `node`, after it has passed some nodes.
fn fill(at: Ms, attempt: u64, node: &str, passed: &[&str], version: u64) -> RecordEntry {
    let passed = passed.iter().map(|name| name.to_string()).collect();
    let object = "o".to_string();
    let asked = Asked { at: node.to_string(), object, passed, version: Some(version), ..Asked::default() };
    line(at, RecordedEvent::Asked { attempt, asked })
}

fn ended(at: Ms, attempt: u64, res: &str, ran: bool) -> RecordEntry {
    line(at, RecordedEvent::Ended { attempt, status: String::new(), res: res.to_string(), ran })
}

fn listed(at: Ms, node: &str, phase: Phase) -> RecordEntry {
    line(at, RecordedEvent::Listed { router: ROUTER.to_string(), node: node.to_string(), phase })
}

fn shape(at: Ms, version: u64, edges: &[(&str, &str)]) -> RecordEntry {
    let edges = edges.iter().map(|(from, to)| (from.to_string(), to.to_string())).collect();
    line(at, RecordedEvent::Shape { version, edges })
}

fn crossed(to: &str, token: Option<(u64, u64)>, passed: &[&str]) -> RecordEntry {
    let passed = passed.iter().map(|site| site.to_string()).collect();
    line(0.0, RecordedEvent::Crossed { to: to.to_string(), id: "id1".to_string(), token, passed })
}

fn proven(epoch: u64, number: u64) -> RecordEntry {
    line(0.0, RecordedEvent::Proven { token: (epoch, number) })
}

fn purged(at: Ms) -> RecordEntry {
    let (object, router) = (Some("o".to_string()), ROUTER.to_string());
    line(at, RecordedEvent::Purged { router, object, group: None, stamp: at })
}

/// The start of a node with a capacity of ten requests per second. At first it can take 10 x 0.3 x 2 x 0.5 s
/// = 3 in the window.
fn cold(at: Ms) -> RecordEntry {
    let cold =
        WarmUpCapacity { capacity: 10.0, from: 0.3, warm_in: 10_000.0, fall_multiple: 2.0, window: 500.0 };
    line(at, RecordedEvent::Started { node: "p".to_string(), cold })
}

#[test]
fn each_rule_accepts_and_detects() {
    let late = line(9_000.0, RecordedEvent::Released { request: 99 });
    let source = |at: Ms, named: Asked| line(at, RecordedEvent::Asked { attempt: 1, asked: named });
    let router = Some(ROUTER.to_string());
    let by_source =
        Asked { at: "a".into(), source: Some("p".into()), router: router.clone(), ..Asked::default() };
    let by_path = Asked { at: "a".into(), via: vec!["p:h".into()], router, ..Asked::default() };
    let booking = |more: Vec<RecordEntry>| {
        [vec![requested(0.0, 1, true), received(10.0, 1, "o", "id1")], more].concat()
    };
    let edges = [("a", "p"), ("p", "o")];
    // Each rule with a recording that follows it, and recordings with exactly one breach each.
    let table: Vec<(Rule, Vec<RecordEntry>, Vec<Vec<RecordEntry>>)> = vec![
        (
            Rule::OneAnswer,
            vec![requested(0.0, 1, false), answered(1_040.0, 1, 2, None), late.clone()],
            vec![
                vec![requested(0.0, 1, false), answered(1_100.0, 1, 1, None)],
                vec![requested(0.0, 1, false), late.clone()],
                vec![requested(0.0, 1, false), answered(10.0, 1, 1, None), answered(20.0, 1, 1, None)],
                vec![answered(20.0, 1, 1, None)],
                vec![
                    requested(0.0, 1, false),
                    line(10.0, RecordedEvent::Released { request: 1 }),
                    answered(20.0, 1, 1, None),
                ],
            ],
        ),
        (
            Rule::NoSecondEffect,
            booking(vec![
                ended(20.0, 1, "", false),
                received(30.0, 2, "o", "id1"),
                ended(40.0, 2, "", true),
                answered(50.0, 1, 3, None),
            ]),
            vec![
                booking(vec![
                    ended(20.0, 1, "", true),
                    received(30.0, 2, "o", "id1"),
                    answered(50.0, 1, 1, None),
                ]),
                booking(vec![received(30.0, 2, "o", "id1"), answered(50.0, 1, 1, None)]),
                booking(vec![ended(20.0, 1, "", true), answered(50.0, 1, 2, None)]),
                booking(vec![answered(50.0, 1, 2, None)]),
                booking(vec![
                    ended(20.0, 1, "", false),
                    answered(30.0, 1, 2, None),
                    received(50.0, 2, "o", "id1"),
                ]),
            ],
        ),
        (
            Rule::Drains,
            vec![
                listed(0.0, "p", Phase::Draining),
                source(290.0, by_source.clone()),
                listed(300.0, "p", Phase::Ready),
                source(900.0, by_source.clone()),
            ],
            vec![
                vec![listed(0.0, "p", Phase::Draining), source(310.0, by_source.clone())],
                vec![listed(0.0, "p", Phase::Removed), source(310.0, by_path)],
                vec![listed(0.0, "a", Phase::Removed), source(310.0, by_source.clone())],
                vec![
                    listed(0.0, "p", Phase::Draining),
                    listed(200.0, "p", Phase::Removed),
                    source(310.0, by_source),
                ],
            ],
        ),
        (
            Rule::NoPush,
            [vec![cold(0.0)], (0..3).map(|n| received(f64::from(n), n as u64, "p", "x")).collect()].concat(),
            vec![
                [vec![cold(0.0)], (0..4).map(|n| received(f64::from(n), n as u64, "p", "x")).collect()]
                    .concat(),
                vec![line(0.0, RecordedEvent::Fell { node: "p".to_string() })],
            ],
        ),
        (
            Rule::Purges,
            vec![purged(100.0), requested(1_000.0, 1, false), answered(1_200.0, 1, 1, Some(50.0))],
            vec![vec![purged(100.0), requested(1_160.0, 1, false), answered(1_200.0, 1, 1, Some(50.0))]],
        ),
        (
            Rule::NoLoop,
            vec![fill(0.0, 1, "p", &["a", "p", "q"], 1), ended(1.0, 1, "LOOP", false)],
            vec![
                vec![fill(0.0, 1, "p", &["a", "p", "q"], 1), ended(1.0, 1, "MISS", true)],
                vec![fill(0.0, 1, "o", &["a", "p", "a"], 1)],
            ],
        ),
        (
            Rule::NoStrangeEdge,
            vec![
                shape(0.0, 1, &edges),
                fill(1.0, 1, "o", &["a", "p"], 1),
                shape(2.0, 2, &[("a", "o")]),
                fill(500.0, 2, "p", &["a"], 2),
            ],
            vec![
                vec![shape(0.0, 1, &edges), fill(1.0, 1, "q", &["a"], 1)],
                vec![shape(0.0, 1, &edges), shape(2.0, 2, &[("a", "o")]), fill(3_000.0, 1, "p", &["a"], 2)],
                vec![shape(0.0, 1, &[("a", "o")]), fill(1.0, 1, "p", &["a"], 1)],
            ],
        ),
        (
            Rule::NoOverlap,
            vec![
                crossed("b", Some((1, 1)), &["a"]),
                proven(1, 1),
                crossed("b", Some((1, 2)), &["a"]),
                crossed("b", Some((1, 2)), &["a"]),
                crossed("b", None, &["a"]),
                // Proven by a report on another connection, before its bytes arrive.
                proven(1, 3),
                crossed("b", Some((1, 3)), &["a"]),
            ],
            vec![
                vec![crossed("b", Some((1, 1)), &["a"]), crossed("c", Some((1, 2)), &["a"])],
                // A late one does not hide the one that may run.
                vec![
                    proven(1, 1),
                    crossed("b", Some((1, 2)), &["a"]),
                    crossed("b", Some((1, 1)), &["a"]),
                    crossed("b", Some((1, 3)), &["a"]),
                ],
                // It has crossed before, and is sent again.
                vec![
                    crossed("b", Some((1, 1)), &["a"]),
                    proven(1, 1),
                    crossed("b", Some((1, 2)), &["a"]),
                    crossed("b", Some((1, 1)), &["a"]),
                ],
            ],
        ),
        (
            Rule::NoReturn,
            vec![crossed("c", None, &["a", "b"])],
            vec![vec![crossed("a", None, &["a", "b"])], vec![crossed("c", None, &["a", "a"])]],
        ),
    ];
    let rules = RuleBounds { migration_grace: 1_000.0, ..RuleBounds::default() };
    for (rule, fulfilled, broken) in table {
        assert_eq!(judge(&fulfilled, &rules), [], "a recording that follows {rule:?}");
        for (n, record) in broken.iter().enumerate() {
            let found: Vec<Rule> = judge(record, &rules).iter().map(|breach: &Breach| breach.rule).collect();
            assert_eq!(found, [rule], "recording {n} that breaks {rule:?}");
        }
    }
}

/// Only attempts of the router whose client disconnected count, and only after the time that it may take to
/// notice that.
#[test]
fn an_attempt_after_the_client_disconnected_is_detected() {
    let released = |at, request| line(at, RecordedEvent::Released { request });
    let fulfilled = [
        requested(0.0, 1, false),
        received(10.0, 1, "a", "id1"),
        released(100.0, 1),
        // Within the time that the router may take to notice.
        received(249.0, 2, "b", "id1"),
        requested(0.0, 2, false),
        answered(50.0, 2, 1, None),
        // The client had its answer, so it did not disconnect while waiting.
        released(60.0, 2),
        received(900.0, 3, "b", "id2"),
    ];
    let seen = disconnected_clients(&fulfilled, &RuleBounds::default());
    assert_eq!((seen.cases, seen.late_attempts.len(), seen.late_by_earlier_bound.len()), (1, 0, 0));
    // Later than the bound, and later than the earlier bound; each with a first and with a further attempt.
    for (at, late) in [(251.0, 0), (449.0, 0), (460.0, 1)] {
        let first = [requested(0.0, 1, false), released(100.0, 1), received(at, 1, "a", "id1")];
        let further =
            [first[0].clone(), received(10.0, 1, "a", "id1"), first[1].clone(), received(at, 2, "b", "id1")];
        for broken in [&first[..], &further[..]] {
            let seen = disconnected_clients(broken, &RuleBounds::default());
            assert_eq!(
                (seen.cases, seen.late_attempts.len(), seen.late_by_earlier_bound.len()),
                (1, 1, late),
                "{at}"
            );
            assert_eq!(seen.late_attempts[0].rule, Rule::NoneLeft);
        }
    }
}
