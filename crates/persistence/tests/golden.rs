//! Golden files in `tests/golden/`, written by an earlier build: they are read, and written again byte for
//! byte.

use std::fs;
use std::path::{Path, PathBuf};

use linnethook_persistence::file_store::{FileStore, LockedDirectory};
use linnethook_persistence::record_log::{RecordLog, RecordLogError, RecordLogLimits};
use linnethook_persistence::snapshot::{self, SkipReason};
use linnethook_persistence::snapshot_codec::{decode, encode, DecodeError, Section, SnapshotLimits, VERSION};

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn golden(name: &str) -> Vec<u8> {
    fs::read(golden_path(name)).expect("a fixture")
}

/// A temporary directory that is removed when the value is dropped.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("linnethook-golden-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn bytes(&self, name: &str) -> Vec<u8> {
        fs::read(self.0.join(name)).expect("a file")
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).expect("a directory");
        let name = |entry: fs::DirEntry| entry.file_name().to_string_lossy().into_owned();
        let mut names: Vec<String> = entries.map(|entry| name(entry.expect("an entry"))).collect();
        names.sort();
        names
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An empty record, a short one, one with every byte, one whose length needs two bytes, and a last one.
fn records() -> Vec<Vec<u8>> {
    vec![Vec::new(), b"a record".to_vec(), (0..=255).collect(), vec![0x5a; 1_000], b"the last one".to_vec()]
}

fn previous_sections() -> Vec<Section> {
    vec![Section { kind: 1, recorded_at: 0.0, payload: b"older".to_vec() }]
}

/// An empty payload, the highest kind, a time with a fraction, a time before 1970, and the latest exact time.
fn current_sections() -> Vec<Section> {
    vec![
        Section { kind: 0, recorded_at: 1_764_748_800_000.0, payload: Vec::new() },
        Section { kind: u16::MAX, recorded_at: 1_764_748_800_123.75, payload: (0..=255).collect() },
        Section { kind: 258, recorded_at: -1.0, payload: vec![0xa5; 1_000] },
        Section { kind: 7, recorded_at: 9_007_199_254_740_991.0, payload: b"newer".to_vec() },
    ]
}

/// The sections as they are read: times are integers of at least 0.
fn current_sections_as_read() -> Vec<Section> {
    let mut sections = current_sections();
    sections[1].recorded_at = 1_764_748_800_123.0;
    sections[2].recorded_at = 0.0;
    sections
}

#[test]
fn record_log_is_written_as_in_the_golden_files() {
    let scratch = Scratch::new("log-written");
    let mut directory = LockedDirectory::open(&scratch.0).expect("opened");
    let mut log = RecordLog::open(&mut directory, RecordLogLimits::default()).expect("opened").log;
    for group in records().chunks(2) {
        group.iter().for_each(|record| log.add(record).expect("added"));
        log.commit(&mut directory).expect("committed");
    }
    assert_eq!(scratch.bytes("promises"), golden("promises"));
    log.add(b"not synced yet").expect("added");
    log.compact(&mut directory, &records()[3..]).expect("compacted");
    assert_eq!(scratch.bytes("promises"), golden("promises.compacted"));
    assert_eq!(scratch.names(), ["lock", "promises"]);
}

#[test]
fn record_log_of_the_golden_files_is_read() {
    let scratch = Scratch::new("log-read");
    let mut directory = LockedDirectory::open(&scratch.0).expect("opened");
    let mut compacted = records()[3..].to_vec();
    compacted.push(b"not synced yet".to_vec());
    for (name, expected) in [("promises", records()), ("promises.compacted", compacted)] {
        directory.write("promises", &golden(name)).expect("written");
        let opened = RecordLog::open(&mut directory, RecordLogLimits::default()).expect("opened");
        assert_eq!((opened.records, opened.truncated_bytes), (expected, 0), "{name}");
        assert_eq!(opened.log.len(), golden(name).len() as u64, "{name}");
        // Only a torn tail is truncated.
        directory.write("promises", &[golden(name), b"torn".to_vec()].concat()).expect("written");
        let opened = RecordLog::open(&mut directory, RecordLogLimits::default()).expect("opened");
        assert_eq!((opened.truncated_bytes, scratch.bytes("promises")), (4, golden(name)), "{name}");
    }
}

#[test]
fn snapshots_are_written_as_in_the_golden_files() {
    let scratch = Scratch::new("snapshot-written");
    let mut directory = LockedDirectory::open(&scratch.0).expect("opened");
    let previous = snapshot::write(&mut directory, &previous_sections()).expect("written");
    assert_eq!((scratch.bytes("learned"), previous), (golden("learned.elder"), 35));
    let current = snapshot::write(&mut directory, &current_sections()).expect("written");
    assert_eq!(scratch.bytes("learned"), golden("learned"));
    assert_eq!(current, golden("learned").len() as u64);
    assert_eq!(scratch.bytes("learned.elder"), golden("learned.elder"));
    assert_eq!(scratch.names(), ["learned", "learned.elder", "lock"]);
    assert_eq!(encode(&[]), b"lhlrn\n\0\x01");
}

#[test]
fn snapshots_of_the_golden_files_are_read() {
    let scratch = Scratch::new("snapshot-read");
    let mut directory = LockedDirectory::open(&scratch.0).expect("opened");
    directory.write("learned", &golden("learned")).expect("written");
    directory.write("learned.elder", &golden("learned.elder")).expect("written");
    let loaded = snapshot::load(&mut directory, &SnapshotLimits::default());
    let content = loaded.content.expect("the current snapshot");
    assert_eq!(content.sections, current_sections_as_read());
    assert_eq!((content.version, content.corrupt_sections, content.unparsed_bytes), (VERSION, 0, 0));
    assert!(loaded.skipped.is_empty());
    let content = decode(&golden("learned"), &SnapshotLimits::default()).expect("readable");
    assert_eq!(encode(&content.sections), golden("learned"));
    // Without the current file, the previous one is loaded.
    directory.remove("learned").expect("removed");
    let content =
        snapshot::load(&mut directory, &SnapshotLimits::default()).content.expect("the previous snapshot");
    assert_eq!(content.sections, previous_sections());
}

/// The texts of errors for files that cannot be read and for records that are not added.
#[test]
fn error_texts() {
    let io_error = || std::io::Error::other("a file");
    let lines = [
        DecodeError::UnknownFormat.to_string(),
        DecodeError::NewerVersion(9).to_string(),
        DecodeError::TooLarge { bytes: 21, max_bytes: 20 }.to_string(),
        SkipReason::from(DecodeError::UnknownFormat).to_string(),
        SkipReason::Corrupt.to_string(),
        SkipReason::from(io_error()).to_string(),
        RecordLogError::Full { bytes: 96, max_bytes: 64 }.to_string(),
        RecordLogError::RecordTooLarge { bytes: 41, max_bytes: 40 }.to_string(),
        RecordLogError::Poisoned.to_string(),
        RecordLogError::from(io_error()).to_string(),
    ];
    assert_eq!(
        lines,
        [
            "file is not a snapshot: invalid magic number or version",
            "snapshot version is not supported: expected at most 1, got 9",
            "snapshot is too long: expected at most 20 bytes, got 21",
            "file is not a snapshot: invalid magic number or version",
            "snapshot has no intact section",
            "a file",
            "log is full and has to be compacted: expected at most 64 bytes, got 96",
            "record is too long: expected at most 40 bytes, got 41",
            "log rejects records until it is opened again, because an earlier write failed",
            "a file",
        ]
    );
}
