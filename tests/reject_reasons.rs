//! The reason that a final answer carries, for each rule that can end a request.

mod common;

use common::*;
use linnethook::interface::*;

/// The reasons of all final answers so far.
fn reasons(world: &World) -> Vec<RejectReason> {
    let reason = |action: &Action| match action {
        Action::Reject { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    };
    world.finals.iter().filter_map(reason).collect()
}

fn is_miss_without_fill(sent: &Sent) -> bool {
    sent.fill.is_some_and(|fill| fill.source == sent.cache || fill.only_if_cached)
}

#[test]
fn deadline_exceeded() {
    let mut world = World::new(settings());
    let request = Request { time_limit: 0.5, ..world.request(SAFE, 9) };
    assert_eq!(world.submit(request), None);
    assert_eq!(reasons(&world), [RejectReason::DeadlineExceeded]);
}

#[test]
fn attempts_exhausted() {
    let mut world = World::new(Settings { max_attempts: 1, ..settings() });
    let sent = world.ask(SAFE, 9).expect("an attempt");
    world.end(sent, AttemptStatus::Reset, None);
    assert_eq!(reasons(&world), [RejectReason::AttemptsExhausted]);
}

#[test]
fn deadline_too_close_for_a_retry() {
    let mut world = World::new(settings());
    // 1 s of transfer time, of which 0.8 s are left after the first attempt.
    let request = Request { size_kb: 1_000.0, time_limit: 1_200.0, ..world.request(SAFE, 9) };
    let sent = world.submit(request).expect("an attempt");
    world.pass(400.0);
    world.end(sent, AttemptStatus::ConnectFailed, None);
    assert_eq!(reasons(&world), [RejectReason::DeadlineTooClose]);
}

#[test]
fn nothing_cached_although_a_fill_was_admitted() {
    let mut world = World::new(settings());
    let sent = world.ask(SAFE, 9).expect("an attempt");
    world.end(sent, AttemptStatus::CacheMiss, None);
    assert_eq!(reasons(&world), [RejectReason::NothingCached]);
}

#[test]
fn repeat_not_allowed() {
    let mut world = World::new(settings());
    let sent = world.ask(UNSAFE, 9).expect("an attempt");
    world.end(sent, AttemptStatus::Reset, None);
    assert_eq!(world.finals, [failed(sent, RejectReason::RepeatNotAllowed)]);
}

#[test]
fn retry_budget_exhausted() {
    let mut world = World::new(settings());
    for object in 0..100 {
        let mut last = world.ask(SAFE, object);
        while let Some(sent) = last {
            last = world.end(sent, AttemptStatus::Rejected, None);
        }
    }
    assert_eq!(reasons(&world).last(), Some(&RejectReason::RetryBudgetExhausted));
}

#[test]
fn no_usable_endpoint() {
    let mut world = World::with(settings(), Vec::new());
    for class in [SAFE, UNSAFE] {
        assert_eq!(world.ask(class, 9), None);
    }
    assert_eq!(reasons(&world), [RejectReason::NoUsableEndpoint; 2]);
}

#[test]
fn origin_overloaded() {
    let origin_only = vec![endpoint(THE_ORIGIN)];
    let mut world = World::with(settings(), origin_only);
    for object in 0..150 {
        world.pass(150.0);
        if let Some(sent) = world.ask(SAFE, object) {
            world.end(sent, AttemptStatus::TimedOut, None);
        }
    }
    assert_eq!(world.ask(SAFE, 500), None);
    assert_eq!(reasons(&world).last(), Some(&RejectReason::OriginOverloaded));
}

/// Fills that are late behind an idle origin shut the fill link.
#[test]
fn fill_link_overloaded() {
    let mut world = World::new(settings());
    for wave in 0..10 {
        let late: Vec<Sent> = (0..6).filter_map(|n| world.ask(SAFE, 1_000 + wave * 10 + n)).collect();
        world.pass(800.0);
        for sent in late {
            let is_miss = is_miss_without_fill(&sent);
            let status = if is_miss { AttemptStatus::CacheMiss } else { AttemptStatus::Ok };
            world.end_after(sent, status, None, 800.0);
        }
    }
    let tried: Vec<Sent> = (2_000..2_030).filter_map(|object| world.ask(SAFE, object)).collect();
    let miss = tried.into_iter().find(is_miss_without_fill).expect("an attempt without a fill");
    assert_eq!(world.end(miss, AttemptStatus::CacheMiss, None), None);
    assert_eq!(reasons(&world).last(), Some(&RejectReason::FillLinkOverloaded));
}

#[test]
fn endpoint_too_crowded() {
    let mut world = World::new(Settings { sibling_fill: SiblingFill::Disabled, ..settings() });
    let owned = world.owned(CACHES[0]);
    let admitted = owned.iter().filter(|&&object| world.ask(SAFE, object).is_some()).count();
    assert!(admitted > 0 && admitted < owned.len());
    assert_eq!(reasons(&world).last(), Some(&RejectReason::EndpointOverloaded));
}

#[test]
fn no_time_for_a_backoff() {
    let mut world = World::new(settings());
    let request = Request { size_kb: 10.0, time_limit: 60.0, ..world.request(UNSAFE, 9) };
    let sent = world.submit(request).expect("an attempt");
    world.pass(20.0);
    world.end(sent, AttemptStatus::ConnectFailed, None);
    assert_eq!(reasons(&world), [RejectReason::NoTimeForBackoff]);
    assert!(matches!(world.finals[..], [Action::Reject { .. }]), "it was never executed");
}

#[test]
fn attempt_never_sent() {
    let mut world = World::new(settings());
    let sent = world.ask(SAFE, 9).expect("an attempt");
    world.end(sent, AttemptStatus::NotExecuted, None);
    assert_eq!(reasons(&world), [RejectReason::AttemptNotExecuted]);
}
