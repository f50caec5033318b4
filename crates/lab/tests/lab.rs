//! Experiments: what is read, what is wrong is said with its place, and the rows do not depend on the threads.

use linnethook_lab::compare::{difference, table};
use linnethook_lab::experiment::read;
use linnethook_lab::play::play;

const SMALL: &str = r#"
fleet(locations = 1, caches = 3, routers = 2)
demand(rate = 60, seconds = 3)
fault(at = 1, kind = "die", server = 0)
variant("shipped")
variant("plain", way = "hash")
seeds(3)
"#;

#[test]
fn rows_do_not_depend_on_the_threads() {
    let experiment = read("small.star", SMALL).expect("a good file");
    let one = play(&experiment, 1, |_, _| {}).expect("played");
    let many = play(&experiment, 4, |_, _| {}).expect("played");
    assert_eq!(one, many);
    let rows: Vec<_> = one.into_iter().map(|one| one.row).collect();
    assert_eq!(rows.len(), 6);
    let text = table(&rows);
    assert!(text.lines().count() == 3 && text.contains("plain"), "{text}");
    let svg = linnethook_lab::plot::service(&experiment, &many).expect("a picture");
    assert!(svg.starts_with("<svg") && svg.contains("shipped"), "{}", &svg[..200]);
}

#[test]
fn what_is_wrong_is_said_with_its_place() {
    for (text, expected) in [
        ("fleet(cashes = 3)", "x.star:1:1: fleet(): there is no setting \"cashes\"; expected one of "),
        (
            "\ndemand(rate = 0)",
            "x.star:2:1: demand(): rate: expected a number of requests a second from 0.001",
        ),
        ("fault(at = 1, kind = \"sneeze\", server = 1)", "fault(): kind: expected \"die\" or \"start\""),
        ("fault(at = 1, kind = \"die\")", "fault(): server is missing"),
        ("fault(at = 1, kind = \"die\", server = 11)", "fault(): server: expected 0 to 10, got 11"),
        ("variant(\"a\")\nvariant(\"a\")", "x.star:2:1: variant(): \"a\" is a variant already"),
        ("seeds(0)", "seeds(): expected a whole number from 1 to 100000, got 0"),
        ("def f(): f()\nf()", "x.star:"),
    ] {
        let wrong = read("x.star", text).expect_err(text).to_string();
        assert!(wrong.contains(expected), "{wrong}\nexpected {expected}");
    }
}

/// The interval holds the true mean, and is as wide as it has to be.
#[test]
fn intervals_are_by_pairs() {
    let pairs: Vec<(f64, f64)> =
        (0..40).map(|n| (f64::from(n) + 1.0 + f64::from(n % 5) * 0.1, f64::from(n))).collect();
    let found = difference(&pairs, 1).expect("pairs");
    assert!(
        (found.mean - 1.2).abs() < 1e-9 && found.low > 1.1 && found.high < 1.3 && found.low < found.high,
        "{found:?}"
    );
    assert_eq!(difference(&[], 1), None);
}
