//! Golden text: what the program writes is compared with a fixture under `tests/golden`.

use std::path::Path;

/// Names the environment variable that has the fixtures written anew; a run that writes one fails.
const WRITE: &str = "LINNETHOOK_WRITE_GOLDEN";

/// Compares text with the fixture of that name.
///
/// # Panics
///
/// Where they differ, where there is no such fixture, and after a fixture was written.
#[track_caller]
pub fn assert_golden(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os(WRITE).is_some() {
        std::fs::write(&path, found).expect("the fixture is written");
        panic!("{name} was written; run the test again without {WRITE}");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture is there");
    for (n, (expected, found)) in expected.lines().zip(found.lines()).enumerate() {
        assert_eq!(found, expected, "{name}, line {}", n + 1);
    }
    assert_eq!(found, expected, "{name}");
}
