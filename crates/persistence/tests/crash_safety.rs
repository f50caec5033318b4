//! Crashes at every step, with each possible outcome for unsynced changes: a loaded snapshot is intact, and
//! committed records are not lost.

mod common;

use common::{MemoryStore, UNSYNCED_OUTCOMES};
use linnethook_persistence::file_store::FileStore;
use linnethook_persistence::record_log::{RecordLog, RecordLogError, RecordLogLimits};
use linnethook_persistence::snapshot;
use linnethook_persistence::snapshot_codec::{decode, Section, SnapshotLimits};
use proptest::prelude::{any, prop_assert_eq, proptest, ProptestConfig};

fn sections(generation: u64) -> Vec<Section> {
    let section = |kind| Section {
        kind,
        recorded_at: generation as f64,
        payload: vec![generation as u8; 40 * usize::from(kind)],
    };
    (0..3).map(section).collect()
}

/// Writes four snapshots and crashes at every step: the loaded snapshot is intact and not older than the last
/// one whose write finished, and the next snapshot can be written.
#[test]
fn loaded_snapshot_is_intact_after_a_crash_at_any_step() {
    let mut complete = MemoryStore::default();
    (1..=4).for_each(|n| _ = snapshot::write(&mut complete, &sections(n)).expect("written"));
    let mut cases = 0;
    for stops_after in 0..=complete.steps {
        let mut files = MemoryStore::stopping_after(stops_after);
        let finished =
            (1..=4).take_while(|n| snapshot::write(&mut files, &sections(*n)).is_ok()).count() as u64;
        for outcome in UNSYNCED_OUTCOMES {
            let mut restarted = files.after_restart(outcome);
            let loaded = snapshot::load(&mut restarted, &SnapshotLimits::default());
            let loaded = loaded.content.map(|content| {
                let corrupt = (content.corrupt_sections, content.unparsed_bytes);
                assert_eq!(corrupt, (0, 0), "{stops_after} {outcome:?}");
                content.sections
            });
            let generation = (1..=4).find(|n| loaded.as_ref() == Some(&sections(*n)));
            match generation {
                Some(n) => {
                    assert!(n >= finished, "{stops_after} {outcome:?}: loaded {n}, finished {finished}")
                }
                None => assert!(loaded.is_none() && finished == 0, "{stops_after} {outcome:?}: {loaded:?}"),
            }
            snapshot::write(&mut restarted, &sections(9)).expect("written after a crash");
            let again =
                snapshot::load(&mut restarted, &SnapshotLimits::default()).content.expect("a snapshot");
            assert_eq!(again.sections, sections(9));
            cases += 1;
        }
    }
    println!("{cases} cases");
    assert!(cases > 80);
    // If the disk is full, the previous snapshot is loaded.
    let mut full = complete.clone();
    full.capacity = Some(10);
    assert!(snapshot::write(&mut full, &sections(5)).is_err());
    let loaded = snapshot::load(&mut full, &SnapshotLimits::default());
    assert_eq!(loaded.content.expect("a snapshot").sections, sections(4));
}

fn record(n: u8) -> Vec<u8> {
    vec![n; usize::from(n) * 7]
}

/// The first bytes of records that must exist after a crash, and of those that may exist.
#[derive(Debug, PartialEq)]
struct Expected {
    committed: Vec<u8>,
    added: Vec<u8>,
}

/// Commits three groups of records, compacts the log without the first three records, and commits another
/// group.
fn write_groups(files: &mut MemoryStore) -> Expected {
    let mut expected = Expected { committed: Vec::new(), added: Vec::new() };
    let Ok(opened) = RecordLog::open(files, RecordLogLimits::default()) else { return expected };
    assert!(opened.records.is_empty());
    let mut log = opened.log;
    for group in [vec![1, 2], vec![3], vec![4, 5, 6]] {
        group.iter().for_each(|n| log.add(&record(*n)).expect("added"));
        expected.added.extend(&group);
        if log.commit(files).is_err() {
            assert!(matches!(log.add(&[1]), Err(RecordLogError::Poisoned)));
            return expected;
        }
        expected.committed.extend(&group);
    }
    let retained: Vec<Vec<u8>> = [4, 5, 6].map(record).to_vec();
    expected.committed.retain(|n| *n > 3);
    if log.compact(files, &retained).is_err() {
        return expected;
    }
    expected.added.retain(|n| *n > 3);
    log.add(&record(7)).expect("added");
    expected.added.push(7);
    if log.commit(files).is_ok() {
        expected.committed.push(7);
    }
    expected
}

/// Crashes at every step: committed records exist in their order, and no record exists that was never added.
#[test]
fn committed_records_survive_a_crash_at_any_step() {
    let mut complete = MemoryStore::default();
    let all = Expected { committed: vec![4, 5, 6, 7], added: vec![4, 5, 6, 7] };
    assert_eq!(write_groups(&mut complete), all);
    for stops_after in 0..=complete.steps {
        let mut files = MemoryStore::stopping_after(stops_after);
        let Expected { committed, added } = write_groups(&mut files);
        for outcome in UNSYNCED_OUTCOMES {
            let mut restarted = files.after_restart(outcome);
            let opened = RecordLog::open(&mut restarted, RecordLogLimits::default()).expect("opened");
            let found: Vec<u8> = opened.records.iter().map(|record| record[0]).collect();
            let case =
                format!("{stops_after} {outcome:?}: {found:?}, committed {committed:?}, added {added:?}");
            assert!(committed.iter().all(|n| found.contains(n)), "{case}");
            assert!(found.iter().all(|n| *n < 4 || added.contains(n)) && found.is_sorted(), "{case}");
            // Records are appended in place of the torn tail.
            let mut log = opened.log;
            log.add(&record(8)).expect("added");
            log.commit(&mut restarted).expect("committed");
            let again = RecordLog::open(&mut restarted, RecordLogLimits::default()).expect("opened");
            assert_eq!((again.records.last(), again.truncated_bytes), (Some(&record(8)), 0), "{case}");
        }
    }
    // Limits: a full log returns an error, and accepts records after compaction.
    let limits = RecordLogLimits { file_bytes: 64, record_bytes: 40 };
    let mut files = MemoryStore::default();
    let mut log = RecordLog::open(&mut files, limits).expect("opened").log;
    assert!(matches!(log.add(&[0; 41]), Err(RecordLogError::RecordTooLarge { bytes: 41, max_bytes: 40 })));
    log.add(&[1; 40]).expect("added");
    assert!(matches!(log.add(&[2; 40]), Err(RecordLogError::Full { bytes: 96, max_bytes: 64 })));
    log.commit(&mut files).expect("committed");
    log.compact(&mut files, &[]).expect("compacted");
    assert!(log.is_empty());
    log.add(&[2; 40]).expect("added");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes never cause a panic, and the log accounts for each byte as intact or truncated.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&bytes, &SnapshotLimits::default());
        let mut files = MemoryStore::default();
        files.append("promises", &bytes).expect("written");
        let opened = RecordLog::open(&mut files, RecordLogLimits::default()).expect("opened");
        let intact: usize = opened.records.iter().map(|record| record.len() + 8).sum();
        prop_assert_eq!(intact as u64 + opened.truncated_bytes, bytes.len() as u64);
    }
}
