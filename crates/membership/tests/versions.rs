//! The form of statuses, and what builds of other versions read of them.

use linnethook_membership::aggregation::location::Location;
use linnethook_membership::decode_error::DecodeError;
use linnethook_membership::gossip::entry::Revision;
use linnethook_membership::gossip::entry::{EntryKey, GossipEntry};
use linnethook_membership::versions::{ActiveVersions, HierarchyVersion, RouterStatus};
use serde::Deserialize;

/// The status as a build of version 1 reads it.
#[derive(Debug, Deserialize)]
struct First {
    _build: String,
    _settings: u64,
    _operator: u64,
    _shape: (u64, u64),
    journal: u64,
    _links: Vec<(String, u64)>,
    leaving: bool,
}

fn statement() -> RouterStatus {
    let active = ActiveVersions {
        build: "0.1.0".to_string(),
        settings_digest: 1,
        operator_digest: 2,
        hierarchy: HierarchyVersion { version: 3, digest: 4 },
        journal_position: 5,
        drains_applied: 6,
        purges_applied: 7,
    };
    RouterStatus { versions: active, links: vec![("n1".to_string(), 9)], leaving: true, location: None }
}

#[test]
fn status_versions_are_read_forward_and_backward() {
    let all = statement();
    let second = all.encode(Revision::new(1, 2), 2);
    assert_eq!(RouterStatus::decode(&second), Ok(all.clone()));
    let first = RouterStatus::decode(&all.encode(Revision::new(1, 2), 1)).expect("version 1");
    assert_eq!(
        (first.versions.drains_applied, first.versions.purges_applied, first.versions.journal_position),
        (0, 0, 5)
    );
    // An older build reads versions 2 and 3, and this build reads version 4.
    assert!(second.decode_body::<First>().is_ok_and(|first| first.journal == 5 && first.leaving));
    let placed =
        RouterStatus { location: Some(Location::parse("north/z1/s2").expect("a place")), ..all.clone() };
    let third = placed.encode(Revision::new(1, 2), 2);
    assert_eq!(third.body_version, 3);
    assert!(third.decode_body::<First>().is_ok_and(|first| first.journal == 5 && first.leaving));
    assert!(third.body.starts_with(&second.body));
    let mut fourth = GossipEntry { body_version: 4, ..third };
    fourth.body.extend([1, 2, 3]);
    assert_eq!(RouterStatus::decode(&fourth), Ok(placed.clone()));
    // A status without a location keeps its version, and version 1 has no location.
    assert_eq!(
        RouterStatus::decode(&placed.encode(Revision::new(1, 2), 1)).map(|first| first.location),
        Ok(None)
    );
    assert_eq!(all.encode(Revision::new(1, 2), 2).body_version, 2);
}

#[test]
fn truncated_or_unknown_input_is_rejected() {
    let placed = RouterStatus { location: Some(Location::parse("north").expect("a place")), ..statement() };
    for entry in [statement().encode(Revision::new(1, 2), 2), placed.encode(Revision::new(1, 2), 2)] {
        for length in 0..entry.body.len() {
            let cut = GossipEntry { body: entry.body[..length].to_vec(), ..entry.clone() };
            assert!(matches!(RouterStatus::decode(&cut), Err(DecodeError::Malformed(_))), "{length}");
        }
    }
    assert_eq!(EntryKey::decode(&[99]), None);
    assert_eq!(EntryKey::decode(&EntryKey::Group(3).encode()), Some(EntryKey::Group(3)));
    assert_eq!(EntryKey::decode(&[]), None);
}
