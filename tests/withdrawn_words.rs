//! Names in finished packages contain no words of the withdrawn naming style.
//!
//! Every identifier and file name of a finished package is split into words at `_` and at changes of case.
//! Strings and comments are ignored, so that names on the wire and prose are not restricted.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Packages, and directories of packages, that are checked; relative to the workspace root.
const FINISHED_PACKAGES: &[&str] = &[
    "src",
    "crates/adapter",
    "crates/audit",
    "crates/gateway",
    "crates/hierarchy",
    "crates/lab",
    "crates/membership",
    "crates/model",
    "crates/operator-config",
    "crates/persistence",
    "crates/router",
    "crates/settings",
    "crates/shadow-policy",
    "crates/testbed",
    "examples/quickstart",
];

const WITHDRAWN_WORDS: &[&str] = &[
    "acts",
    "beyond",
    "blow",
    "brought",
    "came",
    "errand",
    "feel",
    "fellow",
    "fellows",
    "gone",
    "guest",
    "guests",
    "harm",
    "heard",
    "held",
    "kept",
    "kin",
    "knob",
    "knobs",
    "made",
    "parcel",
    "piece",
    "prey",
    "said",
    "stands",
    "taken",
    "told",
    "traveller",
    "twin",
    "way",
    "weather",
    "whole",
    "wish",
    "word",
    "words",
    "wrong",
];

/// An identifier with a withdrawn word that is allowed in a file or below a directory.
struct Exception {
    path: &'static str,
    identifier: &'static str,
    reason: &'static str,
}

const EXCEPTIONS: &[Exception] = &[Exception {
    path: "crates/operator-config/src/functions/cluster.rs",
    identifier: "fellows",
    reason: "the Starlark function is called by this name in operator files",
}];

/// Splits an identifier or file name into words, in lower case.
fn words(name: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut previous_is_lower = false;
    for character in name.chars() {
        let begins_word = character.is_uppercase() && previous_is_lower;
        if begins_word || !character.is_alphanumeric() {
            words.push(String::new());
        }
        if character.is_alphanumeric() {
            words.iter_mut().last().expect("never empty").extend(character.to_lowercase());
        }
        previous_is_lower = character.is_lowercase() || character.is_ascii_digit();
    }
    words.retain(|word| !word.is_empty());
    words
}

/// The first withdrawn word in a name.
fn withdrawn_word(name: &str) -> Option<String> {
    words(name).into_iter().find(|word| WITHDRAWN_WORDS.contains(&word.as_str()))
}

/// The identifiers in Rust source, except those in comments, strings and character literals.
fn identifiers(source: &str) -> Vec<String> {
    let characters: Vec<char> = source.chars().collect();
    let mut identifiers = Vec::new();
    let mut at = 0;
    while at < characters.len() {
        let rest = &characters[at..];
        at += match rest {
            ['/', '/', ..] => length_until_newline(rest),
            ['/', '*', ..] => block_comment_length(rest),
            ['"', ..] => string_length(rest),
            ['\'', ..] => quote_length(rest),
            [first, ..] if first.is_alphabetic() || *first == '_' => {
                let length = rest.iter().take_while(|c| c.is_alphanumeric() || **c == '_').count();
                let identifier: String = rest[..length].iter().collect();
                match raw_string_length(&identifier, &rest[length..]) {
                    Some(raw) => length + raw,
                    None => {
                        identifiers.push(identifier);
                        length
                    }
                }
            }
            // A number with its suffix, so that the suffix is not taken for an identifier.
            [first, ..] if first.is_ascii_digit() => {
                rest.iter().take_while(|c| c.is_alphanumeric() || **c == '_').count()
            }
            _ => 1,
        };
    }
    identifiers
}

fn length_until_newline(rest: &[char]) -> usize {
    rest.iter().take_while(|c| **c != '\n').count()
}

fn block_comment_length(rest: &[char]) -> usize {
    let mut depth = 0;
    let mut at = 0;
    while at < rest.len() {
        match rest[at..] {
            ['/', '*', ..] => (depth, at) = (depth + 1, at + 2),
            ['*', '/', ..] => (depth, at) = (depth - 1, at + 2),
            _ => at += 1,
        }
        if depth == 0 {
            break;
        }
    }
    at
}

fn string_length(rest: &[char]) -> usize {
    let mut at = 1;
    while at < rest.len() && rest[at] != '"' {
        at += if rest[at] == '\\' { 2 } else { 1 };
    }
    at + 1
}

/// The length of a character literal with its quotes, or of the quote of a lifetime.
fn quote_length(rest: &[char]) -> usize {
    match rest {
        ['\'', '\\', _, following @ ..] => 3 + following.iter().take_while(|c| **c != '\'').count() + 1,
        ['\'', _, '\'', ..] => 3,
        _ => 1,
    }
}

/// The length of a raw string after its prefix; `None` if this is not a raw string.
fn raw_string_length(prefix: &str, rest: &[char]) -> Option<usize> {
    if !["r", "br", "cr"].contains(&prefix) {
        return None;
    }
    let hashes = rest.iter().take_while(|c| **c == '#').count();
    if rest.get(hashes) != Some(&'"') {
        return None;
    }
    let end: Vec<char> = std::iter::once('"').chain(std::iter::repeat_n('#', hashes)).collect();
    let content = &rest[hashes + 1..];
    let length = content.windows(end.len()).position(|window| window == end)?;
    Some(hashes + 1 + length + end.len())
}

/// All files below a directory, sorted, as paths relative to the workspace root.
fn files(root: &Path, directory: &Path) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in fs::read_dir(root.join(directory)).expect("a readable directory") {
        let entry = entry.expect("a readable directory entry");
        let path = directory.join(entry.file_name());
        if entry.path().is_dir() {
            found.extend(files(root, &path));
        } else {
            found.push(path);
        }
    }
    found.sort();
    found
}

#[test]
fn finished_packages_have_no_withdrawn_words_in_their_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut findings = BTreeSet::new();
    let mut used_exceptions = BTreeSet::new();
    for package in FINISHED_PACKAGES {
        for file in files(root, Path::new(package)) {
            let path = file.to_str().expect("a path in UTF-8");
            if let Some(word) = withdrawn_word(path) {
                findings.insert(format!("{path}: the path contains {word:?}"));
            }
            if file.extension().is_none_or(|extension| extension != "rs") {
                continue;
            }
            let source = fs::read_to_string(root.join(&file)).expect("a readable source file");
            for identifier in identifiers(&source) {
                let Some(word) = withdrawn_word(&identifier) else { continue };
                let exception = EXCEPTIONS.iter().position(|exception| {
                    path.starts_with(exception.path) && identifier == exception.identifier
                });
                match exception {
                    Some(index) => _ = used_exceptions.insert(index),
                    None => _ = findings.insert(format!("{path}: {identifier} contains {word:?}")),
                }
            }
        }
    }
    let findings: Vec<String> = findings.into_iter().collect();
    assert!(findings.is_empty(), "withdrawn words:\n{}", findings.join("\n"));
    for (index, Exception { path, identifier, reason }) in EXCEPTIONS.iter().enumerate() {
        assert!(used_exceptions.contains(&index), "unused exception: {identifier} in {path} ({reason})");
    }
}

#[test]
fn names_are_split_into_words() {
    assert_eq!(
        words("crates/operator-config/src/mod.rs"),
        ["crates", "operator", "config", "src", "mod", "rs"]
    );
    assert_eq!(words("HeldRequests"), ["held", "requests"]);
    assert_eq!(words("MAX_HELD_BYTES"), ["max", "held", "bytes"]);
    assert_eq!(withdrawn_word("was_told"), Some("told".to_string()));
    assert_eq!(withdrawn_word("withheld"), None);
}

#[test]
fn identifiers_are_found_outside_of_strings_and_comments() {
    let source = r##"
        // told in a comment
        /* held /* in a nested */ one */
        fn r#move<'a>(name: &'a str) -> char {
            let text = "told \" still told";
            let raw = r#"kept "here" too"#;
            let byte = b'"';
            let quote = '\'';
            let unicode = '\u{1F600}';
            after(1_000u64, b"wish", br"gone", 'x')
        }
    "##;
    let expected = [
        "fn", "r", "move", "a", "name", "a", "str", "char", "let", "text", "let", "raw", "let", "byte", "b",
        "let", "quote", "let", "unicode", "after", "b",
    ];
    assert_eq!(identifiers(source), expected);
}
