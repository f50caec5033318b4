//! A recorded run: while the subsystems around the module are off, the same events give the same actions as when it
//! was recorded, to the byte, where sizes are told.
//!
//! The script is made from a seed; what is kept of the run is a digest of all actions, every 500 events. Actions are
//! hashed in an explicit encoding, field by field in the order of the simulator's wire, so that a renamed type or
//! field does not change a digest. Whoever changes the ordinary path on purpose records it anew and says so in the
//! commit.

mod common;

use common::*;
use linnethook::interface::*;
use linnethook::ring::mix;
use linnethook::Brain;
use xxhash_rust::xxh3::Xxh3;

/// Recorded with the program of 48f72c9, beside the digests of the debug text that this test compared until then.
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

/// Recorded anew when the parts of an object stayed with their caches over a purge, and when a location's several
/// routers took the mean of its caches for most of what others have in hand. Every request tells its size.
const RECORDED_DEBUG_TEXT: [u64; 8] = [
    3749298978192206257,
    16030522970895606965,
    12187565651495119143,
    9837162979901074560,
    3890123886914769759,
    13403123064806503254,
    16909580876473542968,
    1829355738692570552,
];

/// Numbers that are the same in every build.
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0 += 1;
        mix(self.0, 0x7265_636f) % most
    }
}

#[derive(Clone, Copy)]
struct Out {
    attempt: AttemptId,
    cache: CacheId,
    sent: Ms,
}

struct Run {
    brain: Brain,
    now: Ms,
    timers: Vec<(Ms, u32)>,
    out: Vec<Out>,
    sent: std::collections::BTreeMap<RequestId, u8>,
    hash: Xxh3,
    debug_hash: Xxh3,
}

impl Run {
    fn tell(&mut self, event: &Event) {
        for action in self.brain.handle(self.now, event) {
            self.hash.update(&encode(&action));
            self.debug_hash.update(format!("{}\n", as_then(&action)).as_bytes());
            match action {
                Action::Ask { request, cache, .. } | Action::Fetch { request, cache, .. } => {
                    let number = self.sent.entry(request).or_default();
                    let attempt = AttemptId { request, number: *number };
                    *number += 1;
                    self.out.push(Out { attempt, cache, sent: self.now });
                }
                Action::Timer { at, token } => self.timers.push((at, token)),
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
            Status::Ok,
            Status::Ok,
            Status::Ok,
            Status::Ok,
            Status::Ok,
            Status::Ok,
            Status::Full,
            Status::Error,
            Status::Timeout,
            Status::ConnectFailed,
            Status::Reset,
            Status::Miss,
        ];
        let status = statuses[chance.below(statuses.len() as u64) as usize];
        let notes = [
            Some(Note::Hit),
            Some(Note::Filled),
            Some(Note::FilledByOrigin),
            Some(Note::SourceRefused),
            None,
        ];
        let took = self.now - sent;
        let load = Load { link: Some(chance.below(100) as f64 / 100.0), ..Load::default() };
        self.tell(&Event::Outcome(Outcome {
            attempt,
            cache,
            status,
            settled: status == Status::Ok,
            took,
            waited: took * 0.4,
            note: notes[chance.below(5) as usize],
            load,
        }));
    }
}

/// A code for the kind of action, then its fields, numbers in little-endian order.
///
/// `ageing` is left out: it is younger than the recording, and for whoever holds fills back.
fn encode(action: &Action) -> Vec<u8> {
    let mut bytes = Vec::new();
    match action {
        Action::Ask { request, cache, timeout } => {
            bytes.push(1);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(cache.0.to_le_bytes());
            bytes.extend(timeout.to_le_bytes());
        }
        Action::Fetch { request, cache, timeout, fill } => {
            bytes.push(2);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(cache.0.to_le_bytes());
            bytes.extend(timeout.to_le_bytes());
            bytes.extend(fill.source.0.to_le_bytes());
            bytes.push(fill.rank);
            bytes.extend(fill.max_age.to_le_bytes());
            bytes.extend([u8::from(fill.join), u8::from(fill.only_held), u8::from(fill.renew)]);
        }
        Action::Cancel(attempt) => {
            bytes.push(3);
            bytes.extend(attempt.request.0.to_le_bytes());
            bytes.push(attempt.number);
        }
        Action::Refuse { request, retry_after } => {
            bytes.push(4);
            bytes.extend(request.0.to_le_bytes());
            bytes.extend(retry_after.to_le_bytes());
        }
        Action::Fail(request) => {
            bytes.push(5);
            bytes.extend(request.0.to_le_bytes());
        }
        Action::Timer { at, token } => {
            bytes.push(6);
            bytes.extend(at.to_le_bytes());
            bytes.extend(token.to_le_bytes());
        }
        Action::Probe(cache) => {
            bytes.push(7);
            bytes.extend(cache.0.to_le_bytes());
        }
        Action::Watch => bytes.push(8),
        Action::Log(line) => {
            bytes.push(9);
            bytes.extend(line.as_bytes());
        }
    }
    bytes
}

/// An action as it was written then: `ageing` is new, and is for whoever holds fills back.
fn as_then(action: &Action) -> String {
    let text = format!("{action:?}");
    match (text.find(", ageing: "), text.find(", join: ")) {
        (Some(from), Some(to)) => format!("{}{}", &text[..from], &text[to..]),
        _ => text,
    }
}

#[test]
fn the_same_events_give_the_same_actions_as_before() {
    let mut chance = Chance(1);
    let mut run = Run {
        brain: Brain::new(settings(), 7),
        now: 100_000.0,
        timers: Vec::new(),
        out: Vec::new(),
        sent: Default::default(),
        hash: Xxh3::new(),
        debug_hash: Xxh3::new(),
    };
    run.tell(&Event::List { kind: ListKind::Complete, members: everyone() });
    let (mut seen, mut debug_seen) = (Vec::new(), Vec::new());
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
                    repeat: chance.below(10) == 0,
                    write: class >= KEYED,
                    budget: 1_000.0 + chance.below(4_000) as f64,
                }));
            }
            50..=94 => run.end(&mut chance),
            95 => {
                let ids: Vec<CacheId> = CACHES.into_iter().chain(PARENTS).collect();
                let id = ids[chance.below(ids.len() as u64) as usize];
                let phase =
                    [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Gone][chance.below(4) as usize];
                let since = if chance.below(3) == 0 { run.now } else { 0.0 };
                let members = vec![Member { phase, since, ..member(id) }];
                run.tell(&Event::List { kind: ListKind::Changes, members });
            }
            96 => {
                let object = (chance.below(2) == 0).then(|| ObjectId(chance.below(300)));
                run.tell(&Event::Purged {
                    object,
                    group: chance.below(9) as u32,
                    ago: chance.below(400) as f64,
                });
            }
            97 => {
                let id = RequestId(chance.below(step));
                run.tell(&Event::Gone(id));
                run.out.retain(|out| out.attempt.request != id);
            }
            98 => {
                let cache = CACHES[chance.below(3) as usize];
                run.tell(&Event::Probed {
                    cache,
                    ok: true,
                    load: Load { link: Some(0.5), ..Load::default() },
                });
            }
            _ => {
                if let Some(out) = run.out.first() {
                    let attempt = out.attempt;
                    run.tell(&Event::Started(attempt));
                }
            }
        }
        if step % 500 == 0 {
            seen.push(run.hash.digest());
            debug_seen.push(run.debug_hash.digest());
        }
    }
    assert_eq!(debug_seen, RECORDED_DEBUG_TEXT);
    assert_eq!(seen, RECORDED, "the first that differs tells in which 500 events");
}
