//! The table of entries: it stores the newest entry of each key in any order of insertion, finds missing
//! entries by digests, and enforces its limits.

use linnethook_membership::gossip::entry::Revision;
use linnethook_membership::gossip::entry::{EntryKey, GossipEntry};
use linnethook_membership::gossip::entry_table::{EntryTable, InsertOutcome, TableLimits, PARTITIONS};
use proptest::prelude::*;

fn entry(epoch: u64, body: u8) -> GossipEntry {
    GossipEntry { revision: Revision::new(epoch, 0), body_version: 1, body: vec![body] }
}

proptest! {
    /// Entries received in any order and any number of times give the same table and the same digests.
    #[test]
    fn tables_with_same_entries_are_equal_in_any_order(
        entries in proptest::collection::vec((0u32..20, 0u64..6, 0u8..4), 0..120),
        moves in proptest::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let mut one = EntryTable::new(TableLimits::default());
        let mut other = EntryTable::new(TableLimits::default());
        let mut shuffled = entries.clone();
        for index in moves {
            if !shuffled.is_empty() {
                let at = index.index(shuffled.len());
                let moved = shuffled.remove(at);
                shuffled.insert(0, moved);
                shuffled.push(moved);
            }
        }
        for (table, entries) in [(&mut one, &entries), (&mut other, &shuffled)] {
            for (key, epoch, body) in entries {
                table.insert(0.0, &EntryKey::Group(*key).encode(), entry(*epoch, *body));
            }
        }
        prop_assert_eq!(one.digests(), other.digests());
        prop_assert!(one.iter().eq(other.iter()));
        prop_assert!(one.differing(&other.digests()).is_empty());
        for (key, _) in other.iter() {
            prop_assert!(one.remove(key));
        }
        prop_assert_eq!((one.digests(), one.bytes()), ([0; PARTITIONS], 0));
    }
}

#[test]
fn stale_entry_is_ignored_and_missing_entry_is_found_by_partition() {
    let mut table = EntryTable::new(TableLimits::default());
    let key = EntryKey::Router("n1".to_string()).encode();
    assert_eq!(table.insert(0.0, &key, entry(5, 1)), InsertOutcome::Inserted);
    assert_eq!(table.insert(0.0, &key, entry(4, 9)), InsertOutcome::Stale);
    assert_eq!(table.insert(0.0, &key, entry(5, 1)), InsertOutcome::Stale);
    assert_eq!(table.get(&key), Some(&entry(5, 1)));
    let other = table.clone();
    let new = EntryKey::Router("n2".to_string()).encode();
    table.insert(0.0, &new, entry(1, 1));
    let differing = table.differing(&other.digests());
    assert!(differing.iter().any(|(key, _)| *key == new) && differing.len() <= 2);
}

#[test]
fn table_limits_are_enforced() {
    let limits = TableLimits { entries: 3, entry_bytes: 10, total_bytes: 20, unknown_entries: 1 };
    let mut table = EntryTable::new(limits);
    let large = GossipEntry { body: vec![0; 11], ..entry(1, 0) };
    assert_eq!(table.insert(0.0, &EntryKey::Group(1).encode(), large), InsertOutcome::Rejected);
    assert_eq!(table.insert(0.0, &[99, 1], entry(1, 0)), InsertOutcome::Inserted);
    assert_eq!(
        table.insert(0.0, &[99, 2], entry(1, 0)),
        InsertOutcome::Rejected,
        "the limit of unknown kinds"
    );
    for group in 1..=2 {
        assert_eq!(table.insert(0.0, &EntryKey::Group(group).encode(), entry(1, 0)), InsertOutcome::Inserted);
    }
    assert_eq!(table.insert(0.0, &EntryKey::Group(3).encode(), entry(1, 0)), InsertOutcome::Rejected);
    assert_eq!(
        table.insert(0.0, &EntryKey::Group(2).encode(), entry(2, 0)),
        InsertOutcome::Inserted,
        "a newer entry of a stored key"
    );
}
