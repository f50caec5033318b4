//! Unit tests of `src/audit_log/disk.rs`, a part of its module.

use std::path::PathBuf;

use super::*;

/// A directory of its own for a test; removed at the end.
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
fn what_was_queued_before_the_end_is_read_at_the_next_start() {
    let directory = TestDirectory::new("audit-queued");
    let log = DiskLog::open(&directory.0).expect("opened");
    assert_eq!(log.records().count(), 0);
    let writer = DiskWriter::start(log).expect("started");
    let records = [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()];
    for record in &records {
        assert_eq!(writer.enqueue(record.clone()), Ok(()));
    }
    writer.finish();
    let log = DiskLog::open(&directory.0).expect("opened again");
    assert!(log.records().eq(&records));
    assert_eq!(log.truncated_bytes(), 0);
}

#[test]
fn an_error_has_the_text_of_its_cause() {
    let directory = TestDirectory::new("audit-locked");
    let _log = DiskLog::open(&directory.0).expect("opened");
    let cause = LockedDirectory::open(&directory.0).map(|_| ()).expect_err("it is locked");
    let error = DiskLog::open(&directory.0).map(|_| ()).expect_err("it is locked");
    assert!(matches!(error, DiskError::Directory(_)), "{error:?}");
    assert_eq!(error.to_string(), cause.to_string());
}
