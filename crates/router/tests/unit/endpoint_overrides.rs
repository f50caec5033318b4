//! Unit tests of `src/cluster/endpoint_overrides.rs`, a part of its module.

use serde_json::json;

use super::*;

const STARTED_AT: f64 = 1_700_000_000_000.0;

fn entry(name: &str, state: &str) -> EndpointEntry {
    let text = json!({ "uid": name, "state": state, "boot_ms": STARTED_AT });
    serde_json::from_value(text).expect("an entry")
}

fn status(ready: bool) -> CacheStatus {
    CacheStatus { ready, removed: false, started_at: STARTED_AT }
}

/// The own list with one cache that is ready.
fn overrides() -> EndpointOverrides {
    let mut overrides = EndpointOverrides::default();
    overrides.replace(&entry("cache-1", "Ready"));
    overrides
}

fn drained(overrides: &EndpointOverrides) -> Vec<(&str, u64)> {
    overrides.drained().map(|(name, position)| (name.as_str(), position)).collect()
}

#[test]
fn a_drain_of_another_journal_overrides_the_own_list_until_that_has_come_as_far() {
    let mut overrides = overrides();
    let line = overrides.apply_status("cache-1", status(false), 7).expect("a change");
    assert!(!line.is_ready());
    assert_eq!(drained(&overrides), [("cache-1", 7)]);

    let mut earlier = entry("cache-1", "Ready");
    overrides.apply_to(&mut earlier, 6);
    assert!(!earlier.is_ready(), "the drain is later");
    let mut later = entry("cache-1", "Ready");
    overrides.apply_to(&mut later, 7);
    assert!(later.is_ready(), "the own journal is as new");
    assert_eq!(drained(&overrides), []);
}

#[test]
fn what_the_own_journal_has_passed_is_no_longer_overridden() {
    let mut overrides = overrides();
    overrides.replace(&entry("cache-2", "Ready"));
    overrides.apply_status("cache-1", status(false), 7).expect("a change");
    overrides.apply_status("cache-2", status(false), 9).expect("a change");
    let restored = overrides.remove_up_to(8);
    let names: Vec<(&str, bool)> =
        restored.iter().map(|entry| (entry.uid.as_str(), entry.is_ready())).collect();
    assert_eq!(names, [("cache-1", true)]);
    assert_eq!(drained(&overrides), [("cache-2", 9)]);
}

#[test]
fn a_cache_is_back_by_another_journal_only_as_the_same_process() {
    let mut overrides = overrides();
    overrides.apply_status("cache-1", status(false), 7).expect("a change");
    let restarted = CacheStatus { started_at: STARTED_AT + 1.0, ..status(true) };
    assert!(overrides.apply_status("cache-1", restarted, 8).is_none());
    assert!(overrides.apply_status("cache-1", status(true), 8).expect("a change").is_ready());
    assert!(overrides.apply_status("cache-1", status(true), 9).is_none(), "it is back already");
}

#[test]
fn a_drain_changes_nothing_where_it_is_known_or_the_cache_is_not() {
    let mut overrides = overrides();
    assert!(overrides.apply_status("cache-9", status(false), 7).is_none(), "not listed");
    overrides.apply_status("cache-1", status(false), 7).expect("a change");
    assert!(overrides.apply_status("cache-1", status(false), 8).is_none(), "known");
    assert_eq!(drained(&overrides), [("cache-1", 8)]);
    overrides.replace(&entry("cache-2", "Terminating"));
    assert!(overrides.apply_status("cache-2", status(false), 9).is_none(), "the own list has it");
}

#[test]
fn a_new_endpoint_counts_as_ready_before() {
    let mut overrides = overrides();
    assert!(overrides.replace(&entry("cache-2", "Terminating")));
    assert!(!overrides.replace(&entry("cache-2", "Gone")));
    assert!(overrides.replace(&entry("cache-2", "Ready")), "it is new again");
    overrides.retain_listed(&[entry("cache-2", "Ready")]);
    overrides.replace(&entry("cache-2", "Terminating"));
    assert!(overrides.apply_status("cache-1", status(false), 7).is_none(), "no longer listed");
}
