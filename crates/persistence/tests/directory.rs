//! Snapshots and the record log on a real directory, which only one process can lock at a time.

use std::io;

use linnethook_persistence::file_store::{FileStore, LockedDirectory};
use linnethook_persistence::record_log::{RecordLog, RecordLogLimits};
use linnethook_persistence::snapshot;
use linnethook_persistence::snapshot_codec::{Section, SnapshotLimits};

fn sections(generation: u64) -> Vec<Section> {
    let section = |kind| Section {
        kind,
        recorded_at: generation as f64,
        payload: vec![generation as u8; 40 * usize::from(kind)],
    };
    (0..3).map(section).collect()
}

#[test]
fn locked_directory_stores_snapshots_and_records() {
    let path = std::env::temp_dir().join(format!("linnethook-persistence-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let mut directory = LockedDirectory::open(&path).expect("opened");
    let second = LockedDirectory::open(&path).err().map(|error| error.kind());
    assert_eq!(second, Some(io::ErrorKind::ResourceBusy));
    for generation in 1..=3 {
        snapshot::write(&mut directory, &sections(generation)).expect("written");
    }
    std::fs::write(path.join("learned"), b"half a").expect("corrupted");
    let loaded = snapshot::load(&mut directory, &SnapshotLimits::default());
    assert_eq!(loaded.content.expect("the previous snapshot").sections, sections(2));
    assert_eq!(loaded.skipped.len(), 1);
    let mut log = RecordLog::open(&mut directory, RecordLogLimits::default()).expect("opened").log;
    log.add(b"a record").expect("added");
    log.commit(&mut directory).expect("committed");
    directory.append("promises", b"torn").expect("appended");
    let opened = RecordLog::open(&mut directory, RecordLogLimits::default()).expect("opened");
    assert_eq!((opened.records, opened.truncated_bytes), (vec![b"a record".to_vec()], 4));
    snapshot::delete(&mut directory).expect("deleted");
    assert!(snapshot::load(&mut directory, &SnapshotLimits::default()).content.is_none());
    drop(directory);
    LockedDirectory::open(&path).expect("unlocked again");
    let _ = std::fs::remove_dir_all(&path);
}
