//! Recording test: a fixed sequence of events gives the same actions, byte for byte, as when it was recorded.
//! The size of each answer is known.
//!
//! The events are generated from a seed, and a digest of all actions so far is recorded every 500 events.
//! Actions are hashed in an explicit encoding, field by field in the order of the simulator's wire format, so
//! that renaming a type or field does not change a digest. A commit that changes decisions on purpose records
//! new digests and says so.

mod common;

use std::collections::BTreeMap;

use common::*;
use linnethook::hash_ring::hash_pair;
use linnethook::interface::*;
use linnethook::Policy;
use xxhash_rust::xxh3::Xxh3;

/// Recorded at commit 48f72c9. Every request carries its size.
const RECORDED_DIGESTS: [u64; 8] = [
    692538209553435401,
    1445170719152271159,
    4424595772532846766,
    18314621951760508364,
    11448671655490918573,
    18299926530754011548,
    10116547586492177337,
    6384437432843743290,
];

/// A reproducible random number generator.
struct RandomNumbers(u64);

impl RandomNumbers {
    /// A random number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 += 1;
        hash_pair(self.0, 0x7265_636f) % bound
    }
}

#[derive(Clone, Copy)]
struct AttemptInFlight {
    attempt: AttemptId,
    endpoint: EndpointId,
    sent_at: Ms,
}

/// A run of the policy with its timers and attempts in flight; hashes all actions.
struct Run {
    policy: Policy,
    now: Ms,
    timers: Vec<(Ms, u32)>,
    in_flight: Vec<AttemptInFlight>,
    attempts_sent: BTreeMap<RequestId, u8>,
    hash: Xxh3,
}

impl Run {
    /// Passes an event to the policy, hashes its actions and carries them out.
    fn notify(&mut self, event: &Event) {
        for action in self.policy.handle(self.now, event) {
            self.hash.update(&encode(&action));
            match action {
                Action::Forward { request, endpoint, .. }
                | Action::ForwardWithFill { request, endpoint, .. } => {
                    let number = self.attempts_sent.entry(request).or_default();
                    let attempt = AttemptId { request, number: *number };
                    *number += 1;
                    self.in_flight.push(AttemptInFlight { attempt, endpoint, sent_at: self.now });
                }
                Action::SetTimer { at, token } => self.timers.push((at, token)),
                _ => {}
            }
        }
    }

    /// Advances the clock by `length` and fires the timers that become due.
    fn advance(&mut self, length: Ms) {
        let end = self.now + length;
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= end);
            let Some((first, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, token) = self.timers.swap_remove(first);
            self.now = self.now.max(at);
            self.notify(&Event::Timer(token));
        }
        self.now = end;
    }

    /// Finishes a random attempt in flight with a random outcome.
    fn finish(&mut self, random: &mut RandomNumbers) {
        if self.in_flight.is_empty() {
            return;
        }
        let n = random.below(self.in_flight.len() as u64) as usize;
        let AttemptInFlight { attempt, endpoint, sent_at } = self.in_flight.swap_remove(n);
        let statuses = [
            AttemptStatus::Ok,
            AttemptStatus::Ok,
            AttemptStatus::Ok,
            AttemptStatus::Ok,
            AttemptStatus::Ok,
            AttemptStatus::Ok,
            AttemptStatus::Rejected,
            AttemptStatus::Error,
            AttemptStatus::TimedOut,
            AttemptStatus::ConnectFailed,
            AttemptStatus::Reset,
            AttemptStatus::CacheMiss,
        ];
        let status = statuses[random.below(statuses.len() as u64) as usize];
        let cache_statuses = [
            Some(CacheStatus::Hit),
            Some(CacheStatus::FilledByParent),
            Some(CacheStatus::FilledByOrigin),
            Some(CacheStatus::SourceRejected),
            None,
        ];
        let elapsed = self.now - sent_at;
        let load_report =
            LoadReport { link_utilization: Some(random.below(100) as f64 / 100.0), ..LoadReport::default() };
        self.notify(&Event::AttemptFinished(AttemptOutcome {
            attempt,
            endpoint,
            status,
            request_finished: status == AttemptStatus::Ok,
            elapsed,
            source_wait: elapsed * 0.4,
            cache_status: cache_statuses[random.below(5) as usize],
            load_report,
        }));
    }
}

/// Encodes an action: a code for its kind, then its fields, with numbers in little-endian order.
///
/// `max_stale_age` and `send_by` are omitted: they were added after the recording, and the simulator's wire
/// format has no such fields.
fn encode(action: &Action) -> Vec<u8> {
    let mut bytes = Vec::new();
    match action {
        Action::Forward { request, endpoint, timeout, .. } => {
            bytes.push(1);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(endpoint.0.to_le_bytes());
            bytes.extend(timeout.to_le_bytes());
        }
        Action::ForwardWithFill { request, endpoint, timeout, fill, .. } => {
            bytes.push(2);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(endpoint.0.to_le_bytes());
            bytes.extend(timeout.to_le_bytes());
            bytes.extend(fill.source.0.to_le_bytes());
            bytes.push(fill.retention);
            bytes.extend(fill.max_age.to_le_bytes());
            bytes.extend([u8::from(fill.coalesce), u8::from(fill.only_if_cached), u8::from(fill.revalidate)]);
        }
        Action::CancelAttempt(attempt) => {
            bytes.push(3);
            bytes.extend(attempt.request.0.to_le_bytes());
            bytes.push(attempt.number);
        }
        Action::Reject { request, retry_after, .. } => {
            bytes.push(4);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(retry_after.to_le_bytes());
        }
        Action::Fail { request, .. } => {
            bytes.push(5);
            bytes.extend(request.0.to_le_bytes());
        }
        Action::SetTimer { at, token } => {
            bytes.push(6);
            bytes.extend(at.to_le_bytes());
            bytes.extend(token.to_le_bytes());
        }
        Action::HealthCheck(endpoint) => {
            bytes.push(7);
            bytes.extend(endpoint.0.to_le_bytes());
        }
        Action::SubscribeEndpoints => bytes.push(8),
        Action::Log(line) => {
            bytes.push(9);
            bytes.extend(line.as_bytes());
        }
    }
    bytes
}

#[test]
fn the_same_events_give_the_same_actions_as_before() {
    let mut random = RandomNumbers(1);
    let mut run = Run {
        policy: Policy::new(settings(), 7),
        now: 100_000.0,
        timers: Vec::new(),
        in_flight: Vec::new(),
        attempts_sent: Default::default(),
        hash: Xxh3::new(),
    };
    run.notify(&Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: all_endpoints() });
    let mut digests = Vec::new();
    for step in 1..=4_000u64 {
        run.advance(random.below(12) as f64);
        match random.below(100) {
            0..=49 => {
                let class =
                    [IDEMPOTENT, IDEMPOTENT, IDEMPOTENT, EXPIRING, EXPIRING, WITH_KEY, NOT_IDEMPOTENT]
                        [random.below(7) as usize];
                run.notify(&Event::Request(Request {
                    id: RequestId(step),
                    object: ObjectId(random.below(300) * random.below(3)),
                    part: random.below(4) as u32,
                    group: random.below(9) as u32,
                    class,
                    size_kb: 1.0 + random.below(500) as f64,
                    client_retry: random.below(10) == 0,
                    is_write: class >= WITH_KEY,
                    time_limit: 1_000.0 + random.below(4_000) as f64,
                }));
            }
            50..=94 => run.finish(&mut random),
            95 => {
                let ids: Vec<EndpointId> = CACHES.into_iter().chain(PARENTS).collect();
                let id = ids[random.below(ids.len() as u64) as usize];
                let phase = [
                    EndpointPhase::Ready,
                    EndpointPhase::Ready,
                    EndpointPhase::Draining,
                    EndpointPhase::Removed,
                ][random.below(4) as usize];
                let started_at = if random.below(3) == 0 { run.now } else { 0.0 };
                let endpoints = vec![Endpoint { phase, started_at, ..endpoint(id) }];
                run.notify(&Event::Endpoints { update: EndpointUpdate::Incremental, endpoints });
            }
            96 => {
                let object = (random.below(2) == 0).then(|| ObjectId(random.below(300)));
                run.notify(&Event::Purge {
                    object,
                    group: random.below(9) as u32,
                    age: random.below(400) as f64,
                });
            }
            97 => {
                let id = RequestId(random.below(step));
                run.notify(&Event::ClientDisconnected(id));
                run.in_flight.retain(|attempt| attempt.attempt.request != id);
            }
            98 => {
                let endpoint = CACHES[random.below(3) as usize];
                run.notify(&Event::HealthCheck {
                    endpoint,
                    healthy: true,
                    load_report: LoadReport { link_utilization: Some(0.5), ..LoadReport::default() },
                });
            }
            _ => {
                if let Some(in_flight) = run.in_flight.first() {
                    let attempt = in_flight.attempt;
                    run.notify(&Event::ResponseStarted(attempt));
                }
            }
        }
        if step % 500 == 0 {
            digests.push(run.hash.digest());
        }
    }
    assert_eq!(digests, RECORDED_DIGESTS, "the first digest that differs shows which 500 events changed");
}
