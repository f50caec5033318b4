//! Snapshots that are truncated, corrupt, of another format or too long: intact sections are decoded, and a
//! file that is not a supported snapshot is an error.

use linnethook_persistence::snapshot_codec::{decode, encode, DecodeError, Section, SnapshotLimits, VERSION};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest, Just, ProptestConfig, Strategy};

fn sections() -> impl Strategy<Value = Vec<Section>> {
    let section = (any::<u16>(), 0u64..1 << 50, proptest::collection::vec(any::<u8>(), 0..60));
    let section = section.prop_map(|(kind, at, payload)| Section { kind, recorded_at: at as f64, payload });
    proptest::collection::vec(section, 0..8)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// A truncated file yields a prefix of its sections. A file with one changed byte yields only sections
    /// that were written, and lacks at most one of them, or all after a corrupt header.
    #[test]
    fn a_corrupt_section_is_the_only_one_lost(sections in sections(), cut in any::<proptest::sample::Index>(), flip in 1u8..=255, _x in Just(())) {
        let bytes = encode(&sections);
        let limits = SnapshotLimits::default();
        let content = decode(&bytes, &limits).expect("a valid file");
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
fn files_of_another_format_a_newer_version_or_excessive_length_are_errors() {
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
        (good.clone(), small, DecodeError::TooLarge { bytes: good.len() as u64, max_bytes: 20 }),
    ] {
        assert_eq!(decode(&bytes, &limits), Err(expected));
    }
    // Too many sections, or one that is too long: the sections before the limit are decoded.
    let few = SnapshotLimits { sections: 2, ..SnapshotLimits::default() };
    assert_eq!(decode(&good, &few).expect("readable").sections.len(), 2);
    let short = SnapshotLimits { payload_bytes: 50, ..SnapshotLimits::default() };
    assert_eq!(decode(&good, &short).expect("readable").sections.len(), 2);
}
