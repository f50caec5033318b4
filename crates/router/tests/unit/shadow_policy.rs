//! Unit tests of `src/shadow_policy.rs`, included there as the module `tests`.

use super::*;

#[test]
fn a_report_is_due_one_interval_after_the_last_one() {
    let mut report = ShadowReport::new(1_000.0, 200.0);
    assert!(!report.take_due(1_199.0));
    assert!(report.take_due(1_250.0));
    assert!(!report.take_due(1_449.0));
    assert!(report.take_due(1_450.0));
}

#[test]
fn only_the_settings_in_the_section_are_changed() {
    let section = ShadowPolicySection {
        weight_source: Some("probe".to_string()),
        tells: None,
        peers_fill: None,
        merges_fills: Some(false),
        bypass_allowed: None,
        max_attempts: Some(2),
        log_interval_seconds: 60.0,
    };
    let expected = json!({
        "weight-source": "probe",
        "allowed": { "max-attempts": 2 },
        "family-info": { "merges-fills": false },
    });
    assert_eq!(changed_settings(&section), expected);
}
