//! Files that the pages name exist, so that a renamed file is followed by its pages.

use std::fs;
use std::path::{Path, PathBuf};

/// Pages that describe the code as it is. Pages of results, incidents and experiments name files of their time.
const PAGES: &[&str] =
    &["DEVELOPERS.md", "README.md", "docs/ARCHITECTURE.md", "docs/GLOSSARY.md", "docs/oncall.md"];

/// Directories of the root that a path in a page may begin with.
const ROOTS: &[&str] =
    &["crates/", "docs/", "examples/", "experiments/", "scripts/", "src/", "tests/", ".ci/"];

/// The texts between backticks that are paths from the root of the workspace.
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
        let text = fs::read_to_string(root.join(page)).expect("a page");
        let absent = paths(&text).into_iter().filter(|path| !root.join(PathBuf::from(path)).exists());
        missing.extend(absent.map(|path| format!("{page}: {path}")));
    }
    assert!(missing.is_empty(), "no such files:\n{}", missing.join("\n"));
}

#[test]
fn paths_are_found_between_backticks() {
    let page = "See `src/lib.rs`, `a word`, src/bare.rs, `docs/x/`, `cargo test -p x`.";
    assert_eq!(paths(page), ["src/lib.rs", "docs/x/"]);
}
