//! What the evaluating process writes, to the byte. Alone in its file: it sets limits on the process that it runs in.

use std::path::Path;

use linnethook_operator::apart::serve;

#[test]
fn the_evaluating_process_writes_what_earlier_builds_wrote() {
    for (kind, file, expected) in [
        ("operator", "tests/golden/everything.star", "everything.postcard"),
        ("changes", "tests/golden/changes.star", "changes.postcard"),
        ("operator", "tests/golden/changes.star", "error.postcard"),
    ] {
        let mut written = Vec::new();
        serve(kind, Path::new(file), &mut written).expect("written");
        // The process's hook ends it without a word.
        let _ = std::panic::take_hook();
        let expected = Path::new("tests/golden").join(expected);
        assert_eq!(written, std::fs::read(&expected).expect("a fixture"), "{kind} {file}");
    }
}
