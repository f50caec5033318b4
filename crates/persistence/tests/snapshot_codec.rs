//! Snapshots that are truncated, corrupt, foreign or too large: what is intact is read, and the rest is an error.

use linnethook_persistence::snapshot_codec::{decode, encode, DecodeError, Section, SnapshotLimits, VERSION};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, Just, ProptestConfig, Strategy};

fn sections() -> impl Strategy<Value = Vec<Section>> {
    let section = (any::<u16>(), 0u64..1 << 50, proptest::collection::vec(any::<u8>(), 0..60));
    let section = section.prop_map(|(kind, at, payload)| Section { kind, recorded_at: at as f64, payload });
    proptest::collection::vec(section, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// What was written is read. Cut anywhere, or with any byte changed, the sections that are left are some of those
    /// written, and a changed byte costs one section, or those behind a corrupt header.
    #[test]
    fn a_corrupt_section_costs_only_itself(sections in sections(), cut in any::<proptest::sample::Index>(), flip in 1u8..=255, _x in Just(())) {
        let bytes = encode(&sections);
        let limits = SnapshotLimits::default();
        let content = decode(&bytes, &limits).expect("written just now");
        prop_assert_eq!(&content.sections, &sections);
        prop_assert_eq!((content.version, content.corrupt_sections, content.unparsed_bytes), (VERSION, 0, 0));
        let at = cut.index(bytes.len());
        if let Ok(content) = decode(&bytes[..at], &limits) {
            prop_assert!(sections.starts_with(&content.sections));
        }
        let mut changed = bytes.clone();
        changed[at] ^= flip;
        if let Ok(content) = decode(&changed, &limits) {
            prop_assert!(content.sections.iter().all(|section| sections.contains(section)));
            prop_assert!(content.sections.len() + 1 >= sections.len() || content.unparsed_bytes > 0);
        }
    }
}

#[test]
fn foreign_newer_and_oversized_files_are_errors() {
    let sections: Vec<Section> = (0..3)
        .map(|kind| Section { kind, recorded_at: 1.0, payload: vec![1; 40 * usize::from(kind)] })
        .collect();
    let good = encode(&sections);
    let mut newer = good.clone();
    newer[7] = 9;
    let small = SnapshotLimits { file_bytes: 20, ..SnapshotLimits::default() };
    for (bytes, limits, expected) in [
        (b"".to_vec(), SnapshotLimits::default(), DecodeError::UnknownFormat),
        (b"something else".to_vec(), SnapshotLimits::default(), DecodeError::UnknownFormat),
        (newer, SnapshotLimits::default(), DecodeError::NewerVersion(9)),
        (good.clone(), small, DecodeError::TooLarge),
    ] {
        assert_eq!(decode(&bytes, &limits), Err(expected));
    }
    // More sections, or a longer one, than is allowed: those before them are read.
    let few = SnapshotLimits { sections: 2, ..SnapshotLimits::default() };
    assert_eq!(decode(&good, &few).expect("readable").sections.len(), 2);
    let short = SnapshotLimits { payload_bytes: 50, ..SnapshotLimits::default() };
    assert_eq!(decode(&good, &short).expect("readable").sections.len(), 2);
}
