//! Golden tests: output of the program is compared with a fixture in `tests/golden`.

use std::path::Path;

/// The environment variable with which the fixtures are rewritten. A run that writes a fixture fails.
const WRITE: &str = "LINNETHOOK_WRITE_GOLDEN";

/// Compares a text with a fixture.
///
/// # Panics
///
/// If they differ, if the fixture does not exist, and after a fixture was written.
#[track_caller]
pub fn assert_golden(name: &str, found: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os(WRITE).is_some() {
        std::fs::write(&path, found).expect("the fixture is written");
        panic!("{name} was written; run the test again without {WRITE}");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture exists");
    for (n, (expected, found)) in expected.lines().zip(found.lines()).enumerate() {
        assert_eq!(found, expected, "{name}, line {}", n + 1);
    }
    assert_eq!(found, expected, "{name}");
}
