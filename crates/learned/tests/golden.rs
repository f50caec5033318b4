//! The files as earlier builds write them (`tests/golden/`): read, and written again to the byte.

use std::fs;
use std::path::{Path, PathBuf};

use linnethook_learned::files::{Files, Folder};
use linnethook_learned::format::{decode, encode, Bounds, Section, VERSION};
use linnethook_learned::log::{self, Log};
use linnethook_learned::snapshot;

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn golden(name: &str) -> Vec<u8> {
    fs::read(golden_path(name)).expect("a fixture")
}

/// A folder of the system that is removed at the end.
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
        let entries = fs::read_dir(&self.0).expect("a folder");
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

/// An empty record, a short one, every byte, and one whose length takes two bytes.
fn records() -> Vec<Vec<u8>> {
    vec![Vec::new(), b"a record".to_vec(), (0..=255).collect(), vec![0x5a; 1_000], b"the last one".to_vec()]
}

fn older_sections() -> Vec<Section> {
    vec![Section { kind: 1, at: 0.0, bytes: b"older".to_vec() }]
}

/// No bytes, the highest kind, a time with a fraction, one before 1970, and the latest that is exact.
fn newer_sections() -> Vec<Section> {
    vec![
        Section { kind: 0, at: 1_764_748_800_000.0, bytes: Vec::new() },
        Section { kind: u16::MAX, at: 1_764_748_800_123.75, bytes: (0..=255).collect() },
        Section { kind: 258, at: -1.0, bytes: vec![0xa5; 1_000] },
        Section { kind: 7, at: 9_007_199_254_740_991.0, bytes: b"newer".to_vec() },
    ]
}

/// The times as they are read back: whole milliseconds from 1970 on.
fn newer_sections_as_read() -> Vec<Section> {
    let mut sections = newer_sections();
    sections[1].at = 1_764_748_800_123.0;
    sections[2].at = 0.0;
    sections
}

#[test]
fn the_log_is_written_as_by_earlier_builds() {
    let scratch = Scratch::new("log-written");
    let mut folder = Folder::take(&scratch.0).expect("taken");
    let (mut log, ..) = Log::open(&mut folder, log::Bounds::default()).expect("opened");
    for group in records().chunks(2) {
        group.iter().for_each(|record| log.add(record).expect("taken"));
        log.commit(&mut folder).expect("committed");
    }
    assert_eq!(scratch.bytes("promises"), golden("promises"));
    log.add(b"not synced yet").expect("taken");
    log.compact(&mut folder, &records()[3..]).expect("compacted");
    assert_eq!(scratch.bytes("promises"), golden("promises.compacted"));
    assert_eq!(scratch.names(), ["lock", "promises"]);
}

#[test]
fn the_log_of_earlier_builds_is_read() {
    let scratch = Scratch::new("log-read");
    let mut folder = Folder::take(&scratch.0).expect("taken");
    let mut compacted = records()[3..].to_vec();
    compacted.push(b"not synced yet".to_vec());
    for (name, expected) in [("promises", records()), ("promises.compacted", compacted)] {
        folder.write("promises", &golden(name)).expect("written");
        let (log, known, torn) = Log::open(&mut folder, log::Bounds::default()).expect("opened");
        assert_eq!((known, torn), (expected, 0), "{name}");
        assert_eq!(log.len(), golden(name).len() as u64, "{name}");
        // A torn end is cut away, and nothing else.
        folder.write("promises", &[golden(name), b"torn".to_vec()].concat()).expect("written");
        let (.., torn) = Log::open(&mut folder, log::Bounds::default()).expect("opened");
        assert_eq!((torn, scratch.bytes("promises")), (4, golden(name)), "{name}");
    }
}

#[test]
fn the_snapshots_are_written_as_by_earlier_builds() {
    let scratch = Scratch::new("snapshot-written");
    let mut folder = Folder::take(&scratch.0).expect("taken");
    let older = snapshot::write(&mut folder, &older_sections()).expect("written");
    assert_eq!((scratch.bytes("learned"), older), (golden("learned.elder"), 35));
    let newer = snapshot::write(&mut folder, &newer_sections()).expect("written");
    assert_eq!(scratch.bytes("learned"), golden("learned"));
    assert_eq!(newer, golden("learned").len() as u64);
    assert_eq!(scratch.bytes("learned.elder"), golden("learned.elder"));
    assert_eq!(scratch.names(), ["learned", "learned.elder", "lock"]);
    assert_eq!(encode(&[]), b"lhlrn\n\0\x01");
}

#[test]
fn the_snapshots_of_earlier_builds_are_read() {
    let scratch = Scratch::new("snapshot-read");
    let mut folder = Folder::take(&scratch.0).expect("taken");
    folder.write("learned", &golden("learned")).expect("written");
    folder.write("learned.elder", &golden("learned.elder")).expect("written");
    let found = snapshot::read(&mut folder, &Bounds::default());
    let content = found.content.expect("the newer one");
    assert_eq!(content.sections, newer_sections_as_read());
    assert_eq!((content.version, content.broken, content.lost), (VERSION, 0, 0));
    assert!(found.ignored.is_empty());
    let content = decode(&golden("learned"), &Bounds::default()).expect("readable");
    assert_eq!(encode(&content.sections), golden("learned"));
    // Without the newer one, the older one counts.
    folder.remove("learned").expect("removed");
    let content = snapshot::read(&mut folder, &Bounds::default()).content.expect("the older one");
    assert_eq!(content.sections, older_sections());
}

/// What the log says of a file that it does not read or a record that it does not take.
#[test]
fn the_errors_are_worded_as_by_earlier_builds() {
    use linnethook_learned::format::Unreadable;
    use linnethook_learned::log::Refused;
    use linnethook_learned::snapshot::Ignored;

    let strange = Unreadable::Strange;
    let lines = [
        strange.to_string(),
        Unreadable::Later(9).to_string(),
        Unreadable::TooLong.to_string(),
        Ignored::from(strange).to_string(),
        Ignored::Nothing.to_string(),
        Ignored::from(std::io::Error::other("a file")).to_string(),
        Refused::Full.to_string(),
        Refused::TooLong(41).to_string(),
        Refused::Broken.to_string(),
        Refused::File(std::io::Error::other("a file")).to_string(),
    ];
    assert_eq!(
        lines,
        [
            "not a file of this program",
            "of version 9, this program reads up to 1",
            "longer than is allowed",
            "not a file of this program",
            "nothing in it is whole",
            "a file",
            "the log is full: it has to be compacted first",
            "a record of 41 bytes is longer than is allowed",
            "an earlier write failed, and nothing is promised until the log is opened anew",
            "a file",
        ]
    );
}
