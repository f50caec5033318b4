//! Unit tests of `src/audit_log/disk.rs`, as a submodule of it.

use std::path::PathBuf;

use super::*;

/// A separate directory for a test, removed on drop.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("linnethook-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn records_queued_before_finish_are_read_at_the_next_start() {
    let directory = TestDirectory::new("audit-queued");
    let log = DiskLog::open(&directory.0).expect("opened");
    assert_eq!(log.records().count(), 0);
    let writer = DiskWriter::start(log).expect("started");
    let records = [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()];
    for record in &records {
        assert_eq!(writer.enqueue(record.clone()), Ok(()));
    }
    writer.finish(std::iter::empty());
    let log = DiskLog::open(&directory.0).expect("opened again");
    assert!(log.records().eq(&records));
    assert_eq!(log.truncated_bytes(), 0);
}

#[test]
fn the_error_of_a_locked_directory_names_its_cause() {
    let directory = TestDirectory::new("audit-locked");
    let _log = DiskLog::open(&directory.0).expect("opened");
    let cause = LockedDirectory::open(&directory.0).map(|_| ()).expect_err("locked");
    let error = DiskLog::open(&directory.0).map(|_| ()).expect_err("locked");
    assert!(matches!(error, DiskError::Directory(_)), "{error:?}");
    assert_eq!(error.to_string(), format!("the directory can't be opened or locked: {cause}"));
}
