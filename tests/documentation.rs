//! Files, functions and tests that the documentation names exist in the source, so that a rename without an
//! update of the documentation is detected.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Pages that describe the current code. Pages about results, incidents and experiments are not checked, as
/// they may name files that no longer exist.
const PAGES: &[&str] = &[
    "DEVELOPERS.md",
    "README.md",
    "docs/ARCHITECTURE.md",
    "docs/GLOSSARY.md",
    "docs/endings.md",
    "docs/oncall.md",
];

/// Directories of the workspace root that the paths in a page begin with.
const ROOTS: &[&str] =
    &["crates/", "docs/", "examples/", "experiments/", "scripts/", "src/", "tests/", ".ci/"];

/// The texts in backticks that are paths relative to the workspace root.
fn paths(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    let is_path = |text: &&str| {
        let is_plain = !text.contains([' ', '*', '<', '{', ':']);
        is_plain && ROOTS.iter().any(|root| text.starts_with(root))
    };
    quoted.filter(is_path).collect()
}

#[test]
fn files_that_the_pages_name_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut missing = Vec::new();
    for page in PAGES {
        let text = fs::read_to_string(root.join(page)).expect("a readable page");
        let absent = paths(&text).into_iter().filter(|path| !root.join(PathBuf::from(path)).exists());
        missing.extend(absent.map(|path| format!("{page}: {path}")));
    }
    assert!(missing.is_empty(), "files that do not exist:\n{}", missing.join("\n"));
}

/// Pages in which all names in backticks are checked: file names, and identifiers with an underscore.
const PAGES_BY_MODULE: &[&str] =
    &["docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/endings.md", "docs/oncall.md"];

/// Adds the paths and contents of the Rust sources below a directory to `found`.
fn sources(directory: &Path, found: &mut Vec<(String, String)>) {
    for entry in fs::read_dir(directory).expect("a readable directory") {
        let path = entry.expect("a readable directory entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = fs::read_to_string(&path).expect("a readable source file");
            found.push((path.display().to_string(), text));
        }
    }
}

#[test]
fn functions_and_files_that_the_pages_name_are_in_the_source() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut all = Vec::new();
    for directory in ["src", "tests", "crates"] {
        sources(&root.join(directory), &mut all);
    }
    let is_word = |c: char| c.is_alphanumeric() || c == '_';
    let identifiers: BTreeSet<&str> = all.iter().flat_map(|(_, text)| text.split(|c| !is_word(c))).collect();
    let mut missing = Vec::new();
    for page in PAGES_BY_MODULE {
        let text = fs::read_to_string(root.join(page)).expect("a readable page");
        for name in text.split('`').skip(1).step_by(2) {
            let is_file = name.ends_with(".rs") && !name.contains(' ');
            let is_identifier = name.contains('_') && name.chars().all(is_word);
            let exists = match (is_file, is_identifier) {
                (true, _) => all.iter().any(|(path, _)| path.ends_with(&format!("/{name}"))),
                (_, true) => identifiers.contains(name),
                _ => true,
            };
            if !exists {
                missing.push(format!("{page}: {name}"));
            }
        }
    }
    assert!(missing.is_empty(), "names that are not in the source:\n{}", missing.join("\n"));
}

#[test]
fn paths_are_found_between_backticks() {
    let page = "See `src/lib.rs`, `a word`, src/bare.rs, `docs/x/`, `cargo test -p x`.";
    assert_eq!(paths(page), ["src/lib.rs", "docs/x/"]);
}
