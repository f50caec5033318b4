//! Tests of the ejection and recovery of one endpoint.

use linnethook::endpoint_health::*;

const CONFIG: EjectionConfig = EjectionConfig {
    outcome_weight: 0.5,
    max_failure_ratio: 0.6,
    base_duration: 100.0,
    duration_growth: 2.0,
    max_duration: 300.0,
    recovery_successes: 2,
};

#[test]
fn failures_eject_and_consecutive_trial_successes_recover() {
    let mut health = EndpointHealth::default();
    health.record_outcome(0.0, Some(false), &CONFIG);
    assert!(health.is_healthy(), "a single failure does not eject");
    health.record_outcome(0.0, Some(false), &CONFIG);
    assert!(health.is_ejected() && !health.accepts_request());
    health.start_due_recovery(99.0);
    assert!(health.is_ejected());
    health.start_due_recovery(100.0);
    assert!(health.is_recovering() && health.accepts_request());
    health.record_request();
    assert!(!health.accepts_request(), "one trial at a time");
    health.record_outcome(110.0, Some(true), &CONFIG);
    health.record_request();
    health.record_outcome(120.0, None, &CONFIG);
    assert!(health.accepts_request() && health.is_recovering());
    health.record_outcome(130.0, Some(true), &CONFIG);
    assert!(health.is_healthy());
}

#[test]
fn each_failed_recovery_lengthens_the_ejection_up_to_a_limit() {
    let mut health = EndpointHealth::default();
    health.eject(0.0, &CONFIG);
    let mut now = 0.0;
    for duration in [100.0, 200.0, 300.0, 300.0] {
        health.start_due_recovery(now + duration - 1.0);
        assert!(health.is_ejected());
        now += duration;
        health.start_due_recovery(now);
        health.record_outcome(now, Some(false), &CONFIG);
    }
}
