//! The stages of migrations: the fraction in each stage, pauses, rollbacks and retries.

use linnethook::interface::{Ms, SlowStart};
use linnethook_hierarchy::rollout::{
    MigrationId, RollbackReason, Rollout, RolloutConfig, RolloutStage, StageTransition,
};
use linnethook_hierarchy::{BatchPosition, NodeId};

fn id() -> MigrationId {
    MigrationId { target: NodeId(2), position: BatchPosition::default() }
}

fn run(rollout: &mut Rollout, from: Ms, to: Ms, is_constrained: bool) -> Vec<(Ms, RolloutStage)> {
    let mut transitions = Vec::new();
    let mut now = from;
    while now <= to {
        transitions.extend(
            rollout.tick(now, is_constrained, |_| true).into_iter().map(|transition| (now, transition.stage)),
        );
        now += 100.0;
    }
    transitions
}

#[test]
fn a_migration_passes_its_stages_and_its_fraction_depends_only_on_time() {
    let config = RolloutConfig::default();
    let mut early = Rollout::new(config);
    early.start(0.0, id(), 1_000.0, 0.0);
    let transitions = run(&mut early, 0.0, 90_000.0, false);
    let stages = [
        (1_000.0, RolloutStage::Announced),
        (3_000.0, RolloutStage::Warming),
        (78_000.0, RolloutStage::Settled),
    ];
    assert_eq!(transitions, stages);
    // A router that receives the batch during the ramp has the same fraction as the others.
    let (mut early, mut late) = (Rollout::new(config), Rollout::new(config));
    early.start(0.0, id(), 1_000.0, 0.0);
    run(&mut early, 0.0, 17_900.0, false);
    late.start(17_000.0, id(), 1_000.0, 0.0);
    run(&mut late, 17_000.0, 17_900.0, false);
    for now in [18_000.0, 25_000.0, 33_000.0] {
        early.tick(now, false, |_| true);
        late.tick(now, false, |_| true);
        assert_eq!(early.fraction(now, id()), late.fraction(now, id()));
    }
    assert!((early.fraction(18_000.0, id()) - 0.51).abs() < 0.01);
}

#[test]
fn a_router_that_receives_a_batch_after_its_rollout_uses_the_new_source_at_once() {
    let config = RolloutConfig::default();
    let mut late = Rollout::new(config);
    late.start(500_000.0, id(), 1_000.0, 0.0);
    assert_eq!(late.fraction(500_000.0, id()), 1.0, "before any tick");
    assert_eq!(run(&mut late, 500_000.0, 500_200.0, false), [(500_000.0, RolloutStage::Settled)]);
}

#[test]
fn a_source_in_slow_start_fills_no_more_than_it_can_serve() {
    let slow_start = SlowStart {
        initial_ratio: 0.07,
        duration: 20_000.0,
        overload_multiple: 2.0,
        overload_window: 3_000.0,
    };
    let mut rollout =
        Rollout::new(RolloutConfig { slow_start, ramp_duration: 1.0, ..RolloutConfig::default() });
    rollout.start(0.0, id(), 0.0, 1_000.0);
    run(&mut rollout, 0.0, 3_000.0, false);
    for (now, capacity) in [(3_000.0, 0.07 + 0.93 * 0.1), (11_000.0, 0.07 + 0.93 * 0.5)] {
        assert!((rollout.fraction(now, id()) - capacity * 1.2).abs() < 1e-9);
    }
    assert_eq!(rollout.fraction(22_000.0, id()), 1.0);
}

#[test]
fn a_high_failure_rate_rolls_back_and_retries_with_backoff_up_to_a_bound() {
    let mut rollout = Rollout::new(RolloutConfig::default());
    rollout.start(0.0, id(), 0.0, 0.0);
    let mut transitions = Vec::new();
    let mut now = 0.0;
    while now < 200_000.0 {
        for _ in 0..5 {
            rollout.record_fill(None, NodeId(9), false);
            if rollout.fraction(now, id()) > 0.0 {
                rollout.record_fill(Some(id()), NodeId(2), true);
            }
        }
        let entered = rollout.tick(now, false, |_| true);
        transitions
            .extend(entered.into_iter().map(|transition| (now, transition.stage, transition.is_final)));
        now += 100.0;
    }
    let rollbacks: Vec<(Ms, bool)> = transitions
        .iter()
        .filter(|(_, stage, _)| *stage == RolloutStage::RolledBack(RollbackReason::HighFailureRate))
        .map(|(at, _, is_final)| (*at, *is_final))
        .collect();
    assert_eq!(rollbacks.iter().map(|(_, is_final)| *is_final).collect::<Vec<_>>(), [false, false, true]);
    let gaps: Vec<Ms> = rollbacks.windows(2).map(|pair| pair[1].0 - pair[0].0).collect();
    assert!(gaps[0] >= 10_000.0 && gaps[1] >= 20_000.0, "{gaps:?}");
    assert_eq!(rollout.fraction(now, id()), 0.0);
}

#[test]
fn late_fills_by_both_old_and_new_sources_cause_no_rollback() {
    let mut rollout = Rollout::new(RolloutConfig::default());
    rollout.start(0.0, id(), 0.0, 0.0);
    run(&mut rollout, 0.0, 3_000.0, false);
    for _ in 0..100 {
        rollout.record_fill(None, NodeId(9), true);
        rollout.record_fill(Some(id()), NodeId(2), true);
    }
    assert_eq!(run(&mut rollout, 3_100.0, 5_000.0, false), []);
}

#[test]
fn a_ramp_pauses_while_the_tiers_above_are_constrained_up_to_a_bound() {
    let mut rollout = Rollout::new(RolloutConfig { max_pause: 10_000.0, ..RolloutConfig::default() });
    rollout.start(0.0, id(), 0.0, 0.0);
    run(&mut rollout, 0.0, 5_000.0, false);
    let fraction = rollout.fraction(5_000.0, id());
    run(&mut rollout, 5_100.0, 14_000.0, true);
    assert!((rollout.fraction(14_000.0, id()) - fraction).abs() < 0.01);
    run(&mut rollout, 14_100.0, 30_000.0, true);
    assert!(rollout.fraction(30_000.0, id()) > 0.4);
}

#[test]
fn a_lost_source_is_rolled_back_at_once_and_retried_only_when_it_is_ready() {
    let mut rollout = Rollout::new(RolloutConfig::default());
    rollout.start(0.0, id(), 0.0, 0.0);
    run(&mut rollout, 0.0, 10_000.0, false);
    let entered = rollout.source_lost(10_000.0, NodeId(2));
    assert_eq!(
        entered,
        [StageTransition {
            migration: id(),
            stage: RolloutStage::RolledBack(RollbackReason::SourceLost),
            is_final: false
        }]
    );
    assert_eq!(rollout.fraction(10_000.0, id()), 0.0);
    assert!(rollout.tick(40_000.0, false, |_| false).is_empty());
    assert_eq!(rollout.tick(41_000.0, false, |_| true)[0].stage, RolloutStage::Warming);
    assert!(rollout.fraction(41_000.0, id()) < 0.03, "the ramp starts again");
    // Without a fallback there is no rollback.
    rollout.set_has_no_fallback(id(), true);
    rollout.source_lost(42_000.0, NodeId(2));
    assert!(rollout.fraction(43_000.0, id()) > 0.0);
}
