//! Unit tests of `src/cluster/endpoint_overrides.rs`, as a submodule of it.

use serde_json::json;

use super::*;

const STARTED_AT: f64 = 1_700_000_000_000.0;

fn entry(name: &str, state: &str) -> EndpointEntry {
    let text = json!({ "uid": name, "state": state, "boot_ms": STARTED_AT });
    serde_json::from_value(text).expect("valid entry")
}

fn status(ready: bool) -> CacheStatus {
    CacheStatus { ready, removed: false, started_at: STARTED_AT }
}

/// An endpoint list with one cache, which is ready.
fn overrides() -> EndpointOverrides {
    let mut overrides = EndpointOverrides::default();
    overrides.replace(&entry("cache-1", "Ready"));
    overrides
}

fn drained(overrides: &EndpointOverrides) -> Vec<(&str, u64)> {
    overrides.drained().map(|(name, position)| (name.as_str(), position)).collect()
}

#[test]
fn a_drain_in_another_journal_overrides_the_list_until_this_journal_reaches_its_position() {
    let mut overrides = overrides();
    let effective = overrides.apply_status("cache-1", status(false), 7).expect("changed");
    assert!(!effective.is_ready());
    assert_eq!(drained(&overrides), [("cache-1", 7)]);

    let mut earlier = entry("cache-1", "Ready");
    overrides.apply_to(&mut earlier, 6);
    assert!(!earlier.is_ready(), "the drain is later");
    let mut later = entry("cache-1", "Ready");
    overrides.apply_to(&mut later, 7);
    assert!(later.is_ready(), "this router's journal has reached the drain");
    assert_eq!(drained(&overrides), []);
}

#[test]
fn overrides_up_to_the_position_of_this_journal_are_removed() {
    let mut overrides = overrides();
    overrides.replace(&entry("cache-2", "Ready"));
    overrides.apply_status("cache-1", status(false), 7).expect("changed");
    overrides.apply_status("cache-2", status(false), 9).expect("changed");
    let restored = overrides.remove_up_to(8);
    let names: Vec<(&str, bool)> =
        restored.iter().map(|entry| (entry.uid.as_str(), entry.is_ready())).collect();
    assert_eq!(names, [("cache-1", true)]);
    assert_eq!(drained(&overrides), [("cache-2", 9)]);
}

#[test]
fn another_journal_restores_a_cache_only_as_the_same_process() {
    let mut overrides = overrides();
    overrides.apply_status("cache-1", status(false), 7).expect("changed");
    let restarted = CacheStatus { started_at: STARTED_AT + 1.0, ..status(true) };
    assert!(overrides.apply_status("cache-1", restarted, 8).is_none());
    assert!(overrides.apply_status("cache-1", status(true), 8).expect("changed").is_ready());
    assert!(overrides.apply_status("cache-1", status(true), 9).is_none(), "restored already");
}

#[test]
fn a_drain_changes_nothing_if_it_is_known_or_the_cache_is_not_ready() {
    let mut overrides = overrides();
    assert!(overrides.apply_status("cache-9", status(false), 7).is_none(), "not in the endpoint list");
    overrides.apply_status("cache-1", status(false), 7).expect("changed");
    assert!(overrides.apply_status("cache-1", status(false), 8).is_none(), "known");
    assert_eq!(drained(&overrides), [("cache-1", 8)]);
    overrides.replace(&entry("cache-2", "Terminating"));
    assert!(
        overrides.apply_status("cache-2", status(false), 9).is_none(),
        "the endpoint list has it as draining"
    );
}

#[test]
fn a_new_endpoint_counts_as_ready_before_its_first_entry() {
    let mut overrides = overrides();
    assert!(overrides.replace(&entry("cache-2", "Terminating")));
    assert!(!overrides.replace(&entry("cache-2", "Gone")));
    assert!(overrides.replace(&entry("cache-2", "Ready")), "removed and added again");
    overrides.retain_listed(&[entry("cache-2", "Ready")]);
    overrides.replace(&entry("cache-2", "Terminating"));
    assert!(overrides.apply_status("cache-1", status(false), 7).is_none(), "no longer in the endpoint list");
}
