//! Golden fixtures: lines of `name: value`, written by one build and compared with the output of all later
//! ones.

pub mod json;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// If this variable is set, the fixtures are written instead of compared.
const UPDATE_VARIABLE: &str = "LINNETHOOK_UPDATE_GOLDEN";

pub type Fixtures = BTreeMap<String, String>;

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub fn unhex(text: &str) -> Vec<u8> {
    assert!(text.len().is_multiple_of(2), "an odd number of hex digits");
    let digits = (0..text.len()).step_by(2);
    digits.map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hex digits")).collect()
}

/// Reads a fixture file.
pub fn read(path: &Path) -> Fixtures {
    let text = std::fs::read_to_string(path).expect("a fixture file");
    let lines = text.lines().map(|line| line.split_once(": ").expect("a line of the form name: value"));
    lines.map(|(name, value)| (name.to_string(), value.to_string())).collect()
}

/// Compares with a fixture file line by line: the same names, the same values.
pub fn compare(path: &Path, fixtures: &Fixtures) {
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        let lines = fixtures.iter().map(|(name, value)| format!("{name}: {value}\n"));
        std::fs::write(path, lines.collect::<String>()).expect("a writable fixture file");
        return;
    }
    let golden = read(path);
    for (name, value) in fixtures {
        assert_eq!(golden.get(name), Some(value), "{name} of {}", path.display());
    }
    assert_eq!(golden.len(), fixtures.len(), "number of fixtures in {}", path.display());
}
