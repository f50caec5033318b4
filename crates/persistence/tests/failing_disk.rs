//! A disk that fails for a while, at each step: nothing that was added is lost or stored twice.

mod common;

use std::io;

use common::{MemoryStore, UNSYNCED_OUTCOMES};
use linnethook_persistence::file_store::FileStore;
use linnethook_persistence::record_log::{RecordLog, RecordLogError, RecordLogLimits};

/// A store whose steps from one number to another fail. A failed append leaves a half of its bytes.
struct FailingStore {
    files: MemoryStore,
    steps: usize,
    failing: std::ops::Range<usize>,
}

impl FailingStore {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match self.failing.contains(&(self.steps - 1)) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => Ok(()),
        }
    }
}

impl FileStore for FailingStore {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.files.read(name, max_bytes)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        self.files.write(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.step() {
            self.files.append(name, &bytes[..bytes.len() / 2])?;
            return Err(error);
        }
        self.files.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.files.truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.files.sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        self.files.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        self.files.sync_directory()
    }
}

/// Repeats a step while the disk fails, as the writer of the audit log does.
fn repeat(mut step: impl FnMut() -> Result<(), RecordLogError>) {
    for _ in 0..50 {
        if step().is_ok() {
            return;
        }
    }
    panic!("the log did not recover");
}

/// Commits three records, compacts the log to the last two, and commits another one. Returns the steps taken.
fn write_records(store: &mut FailingStore) -> usize {
    let opened = RecordLog::open(store, RecordLogLimits::default()).expect("opened");
    let mut log = opened.log;
    for n in 1..=3 {
        log.add(&[n; 9]).expect("added");
        repeat(|| log.restore(store).and_then(|()| log.commit(store)));
    }
    let retained = [vec![2; 9], vec![3; 9]];
    repeat(|| log.compact(store, &retained));
    log.add(&[4; 9]).expect("added");
    repeat(|| log.restore(store).and_then(|()| log.commit(store)));
    store.steps
}

/// Guards against a log that ends with its first disk error, and against records that are lost or stored twice
/// when it goes on.
#[test]
fn records_survive_a_disk_that_fails_for_a_while_at_any_step() {
    let none = FailingStore { files: MemoryStore::default(), steps: 0, failing: 0..0 };
    let steps = write_records(&mut { none });
    for first in 0..steps {
        for count in 1..=4 {
            let failing = first..first + count;
            let mut store =
                FailingStore { files: MemoryStore::default(), steps: 0, failing: failing.clone() };
            write_records(&mut store);
            for outcome in UNSYNCED_OUTCOMES {
                let mut restarted = store.files.after_restart(outcome);
                let opened = RecordLog::open(&mut restarted, RecordLogLimits::default()).expect("opened");
                let found: Vec<u8> = opened.records.iter().map(|record| record[0]).collect();
                assert_eq!(
                    (&found[..], opened.truncated_bytes),
                    (&[2, 3, 4][..], 0),
                    "{failing:?} {outcome:?}"
                );
            }
        }
    }
}
