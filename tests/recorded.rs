//! A recorded run: while the subsystems around the module are off, the same events give the same actions as when it
//! was recorded, to the byte, where sizes are told.
//!
//! The script is made from a seed; what is kept of the run is a digest of all actions, every 500 events. Actions are
//! hashed in an explicit encoding, field by field in the order of the simulator's wire, so that a renamed type or
//! field does not change a digest. Whoever changes the ordinary path on purpose records it anew and says so in the
//! commit.

mod common;

use common::*;
use linnethook::hash_ring::hash_pair;
use linnethook::interface::*;
use linnethook::Policy;
use xxhash_rust::xxh3::Xxh3;

/// Recorded with the program of 48f72c9.
/// Every request tells its size.
const RECORDED: [u64; 8] = [
    692538209553435401,
    1445170719152271159,
    4424595772532846766,
    18314621951760508364,
    11448671655490918573,
    18299926530754011548,
    10116547586492177337,
    6384437432843743290,
];

/// Numbers that are the same in every build.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0 += 1;
        hash_pair(self.0, 0x7265_636f) % most
    }
}

#[derive(Clone, Copy)]
struct Out {
    attempt: AttemptId,
    cache: EndpointId,
    sent: Ms,
}

struct Run {
    policy: Policy,
    now: Ms,
    timers: Vec<(Ms, u32)>,
    out: Vec<Out>,
    sent: std::collections::BTreeMap<RequestId, u8>,
    hash: Xxh3,
}

impl Run {
    fn tell(&mut self, event: &Event) {
        for action in self.policy.handle(self.now, event) {
            self.hash.update(&encode(&action));
            match action {
                Action::Forward { request, endpoint: cache, .. }
                | Action::ForwardWithFill { request, endpoint: cache, .. } => {
                    let number = self.sent.entry(request).or_default();
                    let attempt = AttemptId { request, number: *number };
                    *number += 1;
                    self.out.push(Out { attempt, cache, sent: self.now });
                }
                Action::SetTimer { at, token } => self.timers.push((at, token)),
                _ => {}
            }
        }
    }

    fn pass(&mut self, length: Ms) {
        let end = self.now + length;
        loop {
            let due = self.timers.iter().enumerate().filter(|(_, timer)| timer.0 <= end);
            let Some((first, _)) = due.min_by(|a, b| a.1 .0.total_cmp(&b.1 .0)) else { break };
            let (at, token) = self.timers.swap_remove(first);
            self.now = self.now.max(at);
            self.tell(&Event::Timer(token));
        }
        self.now = end;
    }

    fn end(&mut self, chance: &mut Chance) {
        if self.out.is_empty() {
            return;
        }
        let n = chance.below(self.out.len() as u64) as usize;
        let Out { attempt, cache, sent } = self.out.swap_remove(n);
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
        let status = statuses[chance.below(statuses.len() as u64) as usize];
        let notes = [
            Some(CacheStatus::Hit),
            Some(CacheStatus::FilledByParent),
            Some(CacheStatus::FilledByOrigin),
            Some(CacheStatus::SourceRejected),
            None,
        ];
        let took = self.now - sent;
        let load =
            LoadReport { link_utilization: Some(chance.below(100) as f64 / 100.0), ..LoadReport::default() };
        self.tell(&Event::AttemptFinished(AttemptOutcome {
            attempt,
            endpoint: cache,
            status,
            request_finished: status == AttemptStatus::Ok,
            elapsed: took,
            source_wait: took * 0.4,
            cache_status: notes[chance.below(5) as usize],
            load_report: load,
        }));
    }
}

/// A code for the kind of action, then its fields, numbers in little-endian order.
///
/// `ageing` is left out: it is younger than the recording, and for whoever holds fills back.
fn encode(action: &Action) -> Vec<u8> {
    let mut bytes = Vec::new();
    match action {
        Action::Forward { request, endpoint: cache, timeout } => {
            bytes.push(1);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(cache.0.to_le_bytes());
            bytes.extend(timeout.to_le_bytes());
        }
        Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
            bytes.push(2);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(cache.0.to_le_bytes());
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
        Action::HealthCheck(cache) => {
            bytes.push(7);
            bytes.extend(cache.0.to_le_bytes());
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
    let mut chance = Chance(1);
    let mut run = Run {
        policy: Policy::new(settings(), 7),
        now: 100_000.0,
        timers: Vec::new(),
        out: Vec::new(),
        sent: Default::default(),
        hash: Xxh3::new(),
    };
    run.tell(&Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: everyone() });
    let mut seen = Vec::new();
    for step in 1..=4_000u64 {
        run.pass(chance.below(12) as f64);
        match chance.below(100) {
            0..=49 => {
                let class = [SAFE, SAFE, SAFE, FRESH, FRESH, KEYED, UNSAFE][chance.below(7) as usize];
                run.tell(&Event::Request(Request {
                    id: RequestId(step),
                    object: ObjectId(chance.below(300) * chance.below(3)),
                    part: chance.below(4) as u32,
                    group: chance.below(9) as u32,
                    class,
                    size_kb: 1.0 + chance.below(500) as f64,
                    client_retry: chance.below(10) == 0,
                    is_write: class >= KEYED,
                    time_limit: 1_000.0 + chance.below(4_000) as f64,
                }));
            }
            50..=94 => run.end(&mut chance),
            95 => {
                let ids: Vec<EndpointId> = CACHES.into_iter().chain(PARENTS).collect();
                let id = ids[chance.below(ids.len() as u64) as usize];
                let phase = [
                    EndpointPhase::Ready,
                    EndpointPhase::Ready,
                    EndpointPhase::Draining,
                    EndpointPhase::Removed,
                ][chance.below(4) as usize];
                let since = if chance.below(3) == 0 { run.now } else { 0.0 };
                let members = vec![Endpoint { phase, started_at: since, ..endpoint(id) }];
                run.tell(&Event::Endpoints { update: EndpointUpdate::Incremental, endpoints: members });
            }
            96 => {
                let object = (chance.below(2) == 0).then(|| ObjectId(chance.below(300)));
                run.tell(&Event::Purge {
                    object,
                    group: chance.below(9) as u32,
                    age: chance.below(400) as f64,
                });
            }
            97 => {
                let id = RequestId(chance.below(step));
                run.tell(&Event::ClientDisconnected(id));
                run.out.retain(|out| out.attempt.request != id);
            }
            98 => {
                let cache = CACHES[chance.below(3) as usize];
                run.tell(&Event::HealthCheck {
                    endpoint: cache,
                    healthy: true,
                    load_report: LoadReport { link_utilization: Some(0.5), ..LoadReport::default() },
                });
            }
            _ => {
                if let Some(out) = run.out.first() {
                    let attempt = out.attempt;
                    run.tell(&Event::ResponseStarted(attempt));
                }
            }
        }
        if step % 500 == 0 {
            seen.push(run.hash.digest());
        }
    }
    assert_eq!(seen, RECORDED, "the first that differs tells in which 500 events");
}
