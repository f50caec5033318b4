//! Decoding of settings: defaults, conversion, errors, merging, and the order of load reports.

use linnethook::interface::{
    DeduplicationScope, Idempotence, LoadReport, OutcomeDetail, RequestClass, SiblingFill, SlowStart,
};
use linnethook_settings::{decode, load_report, merge, LoadReportField};

#[test]
fn missing_keys_have_defaults_and_unknown_keys_are_ignored() {
    let decoded = decode(br#"{"colour": "red", "allowed": {"magic": 1}}"#).expect("settings");
    let (settings, fields) = (decoded.settings, decoded.report_fields);
    assert!(fields.is_empty() && settings.classes.is_empty());
    assert_eq!((settings.parent_role, settings.origin_role), (None, None));
    assert!(
        !settings.weights_unknown
            && !settings.subscribe_to_endpoints
            && settings.outcome_detail == OutcomeDetail::None
    );
    assert_eq!(settings.class(3).idempotence, Idempotence::NotIdempotent);
}

#[test]
fn every_setting_is_converted() {
    let text = br#"{
        "allowed": {"max-attempts": 6, "may-cancel": true, "parallel-tries": true, "probes": true,
                    "retry-after": true, "max-retry-after": 900.0, "conn-idle": 9000, "streams-per-conn": 50},
        "balancers": 5, "dcs": ["north", "south"], "kinds": ["box", "hub", "store"], "discovery": "on_request", "locality": 1, "resolution": 2.0,
        "family-info": {"bypass-allowed": true, "cleared-within": 6000, "flow-kb-per-s": 7000,
            "grace-for": [0, 20000], "inlet-kb-per-s": [0, 800], "max-age": [0, 12000],
            "merges-fills": true, "notice-time": 1000, "old-copy-worth": [1, 0.7],
            "parent-fall-multiple": 2, "parent-floor": 0.1, "parent-warms-in": 20000,
            "pass-on": [true, false], "peers-fill": "any", "seats-by-zone": [0, 3],
            "second-tier-kind": 1, "store-kind": 2, "tells": "hit"},
        "grades": [
            {"name": "video", "objective": 400, "deadline": 5000, "effect": "idempotency_key", "dedup-scope": "zone",
             "window": 3000, "worth": 3, "late-worth": 0.2, "aim-stretch": 1.5, "streamed": true},
            {"objective": 300, "deadline": 2500, "effect": "read_like", "worth": 1}],
        "report": {"fields": ["outstanding", "utilization", "x1", "x0", "backlog"]},
        "weight-source": "off",
        "rules": {"cold": 15000, "drain-grace": 250, "fall": 3000, "fall-multiple": 3,
                  "start-capacity": 0.25}}"#;
    let decoded = decode(text).expect("settings");
    assert_eq!(decoded.names.zones, ["north", "south"]);
    assert_eq!(decoded.names.roles, ["box", "hub", "store"]);
    assert_eq!(decoded.names.classes, ["video", ""]);
    assert_eq!((decoded.connections.idle_timeout, decoded.connections.streams_per_connection), (9000.0, 50));
    let (settings, fields) = (decoded.settings, decoded.report_fields);
    use LoadReportField::*;
    assert_eq!(fields, [InFlight, Utilization, LinkUtilization, HitRatio, Unused]);
    let keyed = RequestClass {
        idempotence: Idempotence::WithKey { scope: DeduplicationScope::Zone, window: 3000.0 },
        is_write: true,
        is_streamed: true,
        latency_objective: 400.0,
        objective_stretch_ratio: 1.5,
        deadline: 5000.0,
        priority_weight: 3.0,
        late_weight_ratio: 0.2,
        ..RequestClass::default()
    };
    assert_eq!(settings.class(0), keyed);
    let class = settings.class(1);
    assert_eq!((class.idempotence, class.is_write), (Idempotence::Idempotent, false));
    assert_eq!(
        (class.freshness_lifetime, class.stale_grace, class.stale_weight_ratio),
        (12_000.0, 20_000.0, 0.7)
    );
    assert!(
        settings.subscribe_to_endpoints
            && settings.may_cancel
            && settings.may_health_check
            && settings.supports_retry_after
    );
    assert!(settings.weights_unknown);
    assert!(settings.parallel_attempts && settings.may_bypass_caches && settings.coalesces_fills);
    assert_eq!((settings.routers, settings.zone, settings.max_attempts), (5, 1, 6));
    assert_eq!(
        (settings.clock_resolution, settings.max_retry_after, settings.drain_grace),
        (2.0, 900.0, 250.0)
    );
    assert_eq!((settings.parent_role, settings.origin_role), (Some(1), Some(2)));
    assert_eq!(
        (settings.sibling_fill, settings.outcome_detail),
        (SiblingFill::AnyLocation, OutcomeDetail::HitsOnly)
    );
    assert_eq!((settings.flow_kb_per_s, settings.fill_link_kb_per_s), (7000.0, 800.0));
    assert_eq!((settings.purge_grace, settings.purge_completion), (1000.0, 6000.0));
    assert_eq!(settings.routers_by_zone, [0, 3]);
    let slow_start = SlowStart {
        initial_ratio: 0.25,
        duration: 15_000.0,
        overload_multiple: 3.0,
        overload_window: 3000.0,
    };
    assert_eq!(settings.cache_slow_start, slow_start);
    let slow_start =
        SlowStart { initial_ratio: 0.1, duration: 20_000.0, overload_multiple: 2.0, overload_window: 3000.0 };
    assert_eq!(settings.parent_slow_start, slow_start);
}

#[test]
fn an_error_names_the_path_and_what_is_expected() {
    let error = |text: &str| decode(text.as_bytes()).expect_err(text).to_string();
    let cases = [
        (r#"{"weight-source": "heavy"}"#, "weight-source: unknown variant `heavy`, expected one of"),
        (r#"{"weight-source": 3}"#, "weight-source: expected value"),
        (r#"{"family-info": {"tells": "maybe"}}"#, "family-info.tells: unknown variant `maybe`"),
        (r#"{"family-info": {"merges-fills": "yes"}}"#, "family-info.merges-fills: invalid type"),
        (r#"{"family-info": {"parent-floor": 1.5}}"#, "family-info.parent-floor: 1.5, expected from 0 to 1"),
        (r#"{"family-info": {"max-age": [0, -1]}}"#, "family-info.max-age[1]: -1, expected 0 or more"),
        (r#"{"grades": [{"objective": -4}]}"#, "grades[0].objective: -4, expected 0 or more"),
        (r#"{"grades": [{"effect": "none"}]}"#, "grades[0].effect: unknown variant `none`"),
        (r#"{"rules": {"start-capacity": -0.1}}"#, "rules.start-capacity: -0.1, expected from 0 to 1"),
        (r#"{"kinds": ["box"], "family-info": {"store-kind": 1}}"#, "family-info.store-kind: 1, expected -1"),
    ];
    for (text, start) in cases {
        assert!(error(text).starts_with(start), "{}", error(text));
    }
}

#[test]
fn changes_are_merged_into_settings() {
    let all =
        serde_json::json!({"weight-source": "nominal", "family-info": {"tells": "all", "max-age": [0, 5]}});
    let changes = serde_json::json!({"weight-source": "off", "family-info": {"tells": "hit"}});
    let expected =
        serde_json::json!({"weight-source": "off", "family-info": {"tells": "hit", "max-age": [0, 5]}});
    assert_eq!(merge(&all, &changes), expected);
    let decoded = decode(expected.to_string().as_bytes()).expect("settings").settings;
    assert!(decoded.weights_unknown && decoded.outcome_detail == OutcomeDetail::HitsOnly);
}

#[test]
fn malformed_text_is_an_error() {
    for text in ["", "[", "{\"grades\": 3}", "{\"discovery\": \"by pigeon\"}"] {
        assert!(decode(text.as_bytes()).is_err(), "{text}");
    }
}

#[test]
fn the_values_of_a_load_report_are_positional() {
    let names = [
        LoadReportField::Utilization,
        LoadReportField::Unused,
        LoadReportField::LinkUtilization,
        LoadReportField::HitRatio,
        LoadReportField::InFlight,
    ];
    let report = load_report(&[0.25, 9.0, 1.5, 0.75], &names);
    let expected = LoadReport {
        utilization: Some(0.25),
        link_utilization: Some(1.5),
        hit_ratio: Some(0.75),
        in_flight: None,
    };
    assert_eq!(report, expected);
}
