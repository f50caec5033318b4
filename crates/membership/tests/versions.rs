//! The format of statuses, and what builds of other versions decode of them.

use linnethook_membership::aggregation::location::Location;
use linnethook_membership::decode_error::DecodeError;
use linnethook_membership::gossip::entry::Revision;
use linnethook_membership::gossip::entry::{EntryKey, GossipEntry};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion, RouterStatus};
use serde::Deserialize;

/// The status as a build that knows only version 1 decodes it.
#[derive(Debug, Deserialize)]
struct StatusV1 {
    _build: String,
    _settings: u64,
    _operator: u64,
    _shape: (u64, u64),
    journal: u64,
    _links: Vec<(String, u64)>,
    leaving: bool,
}

fn status() -> RouterStatus {
    let versions = ActiveVersions {
        build: "0.1.0".to_string(),
        settings_digest: 1,
        operator_digest: 2,
        hierarchy: HierarchyVersion { version: 3, digest: 4 },
        journal_position: 5,
        drains_applied: 6,
        purges_applied: 7,
    };
    RouterStatus { versions, links: vec![("n1".to_string(), 9)], leaving: true, location: None }
}

#[test]
fn status_versions_are_read_forward_and_backward() {
    let original = status();
    let second = original.encode(Revision::new(1, 2), 2);
    assert_eq!(RouterStatus::decode(&second), Ok(original.clone()));
    let first = RouterStatus::decode(&original.encode(Revision::new(1, 2), 1)).expect("version 1");
    assert_eq!(
        (first.versions.drains_applied, first.versions.purges_applied, first.versions.journal_position),
        (0, 0, 5)
    );
    // An older build decodes versions 2 and 3, and this build decodes version 4.
    assert!(second.decode_body::<StatusV1>().is_ok_and(|first| first.journal == 5 && first.leaving));
    let located = RouterStatus {
        location: Some(Location::parse("north/z1/s2").expect("a location")),
        ..original.clone()
    };
    let third = located.encode(Revision::new(1, 2), 2);
    assert_eq!(third.body_version, 3);
    assert!(third.decode_body::<StatusV1>().is_ok_and(|first| first.journal == 5 && first.leaving));
    assert!(third.body.starts_with(&second.body));
    let mut fourth = GossipEntry { body_version: 4, ..third };
    fourth.body.extend([1, 2, 3]);
    assert_eq!(RouterStatus::decode(&fourth), Ok(located.clone()));
    // A status without a location is written as version 2, and version 1 has no location.
    assert_eq!(
        RouterStatus::decode(&located.encode(Revision::new(1, 2), 1)).map(|first| first.location),
        Ok(None)
    );
    assert_eq!(original.encode(Revision::new(1, 2), 2).body_version, 2);
}

#[test]
fn truncated_or_unknown_input_is_rejected() {
    let located = RouterStatus { location: Some(Location::parse("north").expect("a location")), ..status() };
    for entry in [status().encode(Revision::new(1, 2), 2), located.encode(Revision::new(1, 2), 2)] {
        for length in 0..entry.body.len() {
            let truncated = GossipEntry { body: entry.body[..length].to_vec(), ..entry.clone() };
            assert!(matches!(RouterStatus::decode(&truncated), Err(DecodeError::Malformed(_))), "{length}");
        }
    }
    assert_eq!(EntryKey::decode(&[99]), None);
    assert_eq!(EntryKey::decode(&EntryKey::Group(3).encode()), Some(EntryKey::Group(3)));
    assert_eq!(EntryKey::decode(&[]), None);
}
