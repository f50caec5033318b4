//! A client that has left: nothing begins for it more than 0.1 s later, whatever the router is at then.
//!
//! `docs/endings.md` is the page to these tests. Where a loop that is busy is meant, the process stands still for a
//! while, so that what comes in meanwhile is found in one turn and in the order in which it came.

mod common;

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::shut::*;
use common::timed::{serve, Heeds};
use common::{asked, asked_either, asks, cache, echo, fleet_of, holding, left_over, Fields, Late, Router};
use linnethook_quickstart::{Answer, Cache, Client, Journal};
use linnethook_testbed::cache_server::CacheServerConfig;
use linnethook_testbed::checker::{disconnected_clients, DisconnectedClients, RuleBounds};
use linnethook_testbed::faults::{Fault, When};
use linnethook_testbed::process_cluster::{operator_file, ProcessCluster};
use linnethook_testbed::recording::{now, Asked, RecordedEvent, Recording};
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};

fn no_cancel(config: &mut Value) {
    config["settings"]["allowed"]["may-cancel"] = json!(false);
}

/// The process stands still until it is told to go on; what it has sent by now has arrived.
fn stand_still(router: &Router) {
    router.signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(200));
}

fn go_on(router: &Router) {
    router.signal(Signal::SIGCONT);
    thread::sleep(Duration::from_millis(600));
}

/// Requests that reached any of them and nobody has looked at.
fn left_over_at(caches: &[&Cache]) -> usize {
    caches.iter().map(|cache| left_over(cache)).sum()
}

// ---- Who is held back.

/// A fleet whose `cache-a` has its door shut, and whose `cache-b` gives long answers.
fn long_answers(change: impl Fn(&mut Value)) -> Shut {
    shut_with(cache(|_, _, _| Some(Answer::data(vec![7; 240_000]))), change)
}

/// What a client gives up in words is heard, though it takes none of its answers and is held back for that: also where
/// these words lie behind further requests.
#[test]
fn what_is_given_up_behind_unread_answers_is_not_sent() {
    for behind in [0, 20] {
        let mut fleet = long_answers(|_| ());
        let mut client = fleet.waiting();
        small_buffer(&client);
        hoard(&fleet.router, &mut client, 3);
        for stream in 0..behind {
            client.ask(40 + stream, &small(&format!("{stream:016x}")), &[7; 2_000]).expect("sent");
        }
        client.give_up(1).expect("sent");
        assert!(fleet.remaining_requests().is_empty(), "behind {behind} requests");
    }
}

/// The end of a client that is held back is heard, though it has asked for more before it.
#[test]
fn what_a_client_waited_for_is_not_sent_once_it_has_ended_behind_unread_requests() {
    for manner in ["an orderly end", "one direction", "a reset"] {
        let mut fleet = long_answers(|_| ());
        let mut client = fleet.waiting();
        small_buffer(&client);
        hoard(&fleet.router, &mut client, 3);
        for stream in 0..20 {
            client.ask(40 + stream, &small(&format!("{stream:016x}")), &[7; 2_000]).expect("sent");
        }
        let _client = leave(client, manner, &[]);
        assert!(fleet.remaining_requests().is_empty(), "{manner}");
    }
}

/// Where buffers are crowded nobody is read on, whoever is to blame; what is given up is heard all the same.
#[test]
fn what_is_given_up_while_buffers_are_crowded_is_not_sent() {
    for manner in MANNERS {
        let mut fleet = long_answers(|config| config["limits"]["memory_mb"] = json!(8));
        let client = fleet.waiting();
        let mut others = [fleet.router.client(), fleet.router.client(), fleet.router.client()];
        for (other, first) in others.iter_mut().zip([100, 200, 300]) {
            small_buffer(other);
            ask_much(other, first);
        }
        let buffers =
            |counters: &str| counters.split("buffers=").nth(1)?.split(' ').next()?.parse::<u32>().ok();
        counted(&fleet.router, |counters| buffers(counters.trim_end()).is_some_and(|buffers| buffers >= 256));
        let _client = leave(client, manner, &[1]);
        assert!(fleet.remaining_requests().is_empty(), "{manner}");
    }
}

/// What a client that is held back has asked for meanwhile is answered once it takes its answers, each once, but for
/// what it has given up.
#[test]
fn what_is_read_ahead_is_answered_once_its_client_takes_its_answers() {
    let mut fleet = long_answers(|_| ());
    let mut client = fleet.waiting();
    hoard(&fleet.router, &mut client, 3);
    for stream in 40..46 {
        client.ask(stream, &small(&format!("{stream:016x}")), &[7; 2_000]).expect("sent");
    }
    client.give_up(42).expect("sent");
    client.give_up(1).expect("sent");
    client.ask_ready(50).expect("sent");
    let mut answered = Vec::new();
    while answered.len() < 31 + 5 + 1 {
        let frame = client.read().expect("an answer");
        answered.push((frame.kind, frame.stream));
    }
    answered.sort_unstable();
    let wanted = (3..34).chain([40, 41, 43, 44, 45]).map(|stream| (66, stream)).chain([(81, 50)]);
    assert_eq!(answered, wanted.collect::<Vec<(u8, u32)>>());
    assert!(fleet.remaining_requests().is_empty());
}

// ---- A loop that is busy.

/// The answer that makes a further attempt due and the client's leaving come in the same turn, in this order.
#[test]
fn no_further_attempt_begins_where_the_answer_and_the_leaving_come_in_one_turn() {
    for manner in MANNERS {
        let fleet = fleet_of(holding(), holding(), echo("origin"));
        let mut client = fleet.router.client();
        client.ask(1, &video("00000000000000e1", OF_A), b"").expect("sent");
        let (connection, id, ..) = asked(&fleet.a);
        stand_still(&fleet.router);
        fleet.a.answer(connection, &id, &Answer::with_status("full")).expect("answered");
        thread::sleep(Duration::from_millis(20));
        let _client = leave(client, manner, &[1]);
        thread::sleep(Duration::from_millis(200));
        go_on(&fleet.router);
        let others = [&fleet.a, &fleet.b, &fleet.parent, &fleet.origin];
        assert_eq!(left_over_at(&others), 0, "{manner}");
    }
}

/// The same for many clients that leave in one burst, by all ways.
#[test]
fn no_further_attempt_begins_for_any_of_many_that_leave_in_one_burst() {
    let fleet = fleet_of(holding(), holding(), echo("origin"));
    let mut clients: Vec<Client> = (0..200).map(|_| fleet.router.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        let (id, object) = (format!("{n:016x}"), format!("{:016x}", n * 7 + 1));
        client.ask(1, &video(&id, &object), b"").expect("sent");
        client.ask_ready(2).expect("sent");
    }
    // Some are refused at once: too many for caches of that size.
    for client in &mut clients {
        while client.read().expect("an answer").kind != 81 {}
    }
    // All that was sent has come: a router that is stopped while it writes one has that arrive when it goes on.
    let sent = || fleet.router.counters().0["sent"] as usize;
    let mut out = Vec::new();
    while out.len() < sent() {
        let (cache, _, connection, id) = asked_either(&fleet.a, &fleet.b);
        out.push((cache, connection, id));
    }
    assert!(out.len() >= 20, "{} are out", out.len());
    stand_still(&fleet.router);
    for cache in [&fleet.a, &fleet.b] {
        out.extend(asks(cache).into_iter().map(|(connection, id)| (cache, connection, id)));
    }
    for (cache, connection, id) in &out {
        cache.answer(*connection, id, &Answer::with_status("full")).expect("answered");
    }
    thread::sleep(Duration::from_millis(20));
    let clients_left: Vec<_> =
        clients.into_iter().zip(MANNERS.iter().cycle()).map(|(c, manner)| leave(c, manner, &[1])).collect();
    thread::sleep(Duration::from_millis(200));
    go_on(&fleet.router);
    let sent = left_over_at(&[&fleet.a, &fleet.b, &fleet.parent, &fleet.origin]);
    assert_eq!(sent, 0, "of {}", out.len());
    drop(clients_left);
}

/// A connection that comes up, and the leaving of the client whose request waits for it, come in one turn.
#[test]
fn nothing_is_sent_where_the_connection_and_the_leaving_come_in_one_turn() {
    for manner in MANNERS {
        let mut fleet = shut(no_cancel);
        let client = fleet.waiting();
        fleet.router.signal(Signal::SIGSTOP);
        let a = fleet.open();
        // A connect that got no answer is tried again by the system a second later.
        thread::sleep(Duration::from_millis(1_500));
        let _client = leave(client, manner, &[1]);
        thread::sleep(Duration::from_millis(200));
        go_on(&fleet.router);
        assert_eq!(left_over_at(&[&a, &fleet.b, &fleet.parent, &fleet.origin]), 0, "{manner}");
    }
}

/// The time for a further attempt, or for giving the present one up, is over in the turn in which the leaving comes.
#[test]
fn no_retry_is_fired_in_the_turn_in_which_the_leaving_comes() {
    for manner in MANNERS {
        for full in [true, false] {
            let origin = if full { cache(|_, _, _| Some(Answer::with_status("full"))) } else { holding() };
            let fleet = fleet_of(holding(), echo("b"), origin);
            let mut client = fleet.router.client();
            // A booking is tried again after a pause; a read that nobody answers, when its time is over.
            if full {
                client.ask(1, &booking("00000000000000b1", "3000"), b"pay").expect("sent");
                asked(&fleet.origin);
            } else {
                let fields =
                    [("c", "video"), ("i", "00000000000000e1"), ("o", OF_A), ("d", "400"), ("m", "20")];
                client.ask(1, &fields, b"").expect("sent");
                asked(&fleet.a);
            }
            stand_still(&fleet.router);
            let all = [&fleet.a, &fleet.b, &fleet.parent, &fleet.origin];
            left_over_at(&all);
            let _client = leave(client, manner, &[1]);
            thread::sleep(Duration::from_millis(200));
            go_on(&fleet.router);
            assert_eq!(left_over_at(&all), 0, "{manner}, full: {full}");
        }
    }
}

// ---- The shield.

/// A fill that waits at the shield ends with its client, also where nothing may be called off: it does not wait out its
/// time there, in the place of others.
#[test]
fn a_fill_that_waits_at_the_shield_ends_with_its_client() {
    let mut fleet = ProcessCluster::two_hubs(env!("CARGO_BIN_EXE_linnethook"), 1, CacheServerConfig::new)
        .expect("a fleet");
    fleet.node("cache-0").script().add(Fault::Silent, When::Count { after: 0, most: 1_000 });
    let operator = operator_file(1, "south", "extended = True");
    let address = fleet.start_router("n0", Some(&operator), no_cancel).expect("a router");
    let mut clients = [0, 1].map(|_| Client::connect(address).expect("a connection"));
    for (n, client) in clients.iter_mut().enumerate() {
        for stream in 1..=4 {
            let (id, object) = (format!("{n:08x}{stream:08x}"), format!("{:016x}", 77 * stream));
            let fields =
                [("c", "video"), ("i", id.as_str()), ("o", object.as_str()), ("d", "3000"), ("m", "20")];
            client.ask(stream, &fields, b"").expect("sent");
        }
        client.ask_ready(5).expect("sent");
        assert_eq!(client.read().expect("an answer").stream, 5, "nothing is answered before");
    }
    (1..=4).for_each(|stream| clients[1].give_up(stream).expect("sent"));
    let shown = ["hierarchy", "show"];
    fleet.until("n0", &shown, "none waits", |shown| shown["waiting_fills"] == 0).expect("shown");
    let counts = fleet.query("n0", &shown).expect("shown")["counts"].clone();
    let count = |name: &str| counts[name].as_u64().expect("a number");
    assert_eq!(count("waited"), 4, "{counts}");
    // A machine that stands still may let one of them wait out its time.
    assert!(count("over_time") < 4, "{counts}");
}

// ---- As a share, under load.

/// The longest time for which this machine let a thread sleep beyond what it asked for.
struct Pulse {
    over: Arc<AtomicBool>,
    worst: Arc<AtomicU64>,
}

impl Pulse {
    fn start() -> Self {
        let pulse = Self { over: Arc::default(), worst: Arc::default() };
        let (over, worst) = (pulse.over.clone(), pulse.worst.clone());
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(Duration::from_millis(5));
                let late = begun.elapsed().saturating_sub(Duration::from_millis(5));
                worst.fetch_max(late.as_millis() as u64, Ordering::Relaxed);
            }
        });
        pulse
    }

    fn end(&self) -> f64 {
        self.over.store(true, Ordering::Relaxed);
        self.worst.load(Ordering::Relaxed) as f64
    }
}

/// What a stand-in does about each request in turn, and the record of when all that reached it came to this machine.
fn noting(
    record: &Recording,
    at: &'static str,
    answer: impl Fn(u64) -> Option<Answer> + Send + Sync + 'static,
) -> Heeds {
    let (record, count) = (record.clone(), AtomicU64::new(0));
    Arc::new(move |arrived_at, id: &str, fields: &Fields| {
        let attempt = count.fetch_add(1, Ordering::Relaxed);
        let (id, object, router) = (id.to_string(), fields["obj"].clone(), Some("n0".to_string()));
        let asked = Asked { at: at.to_string(), id, object, router, ..Asked::default() };
        record.note_at(arrived_at, RecordedEvent::Asked { attempt, asked });
        answer(attempt)
    })
}

/// What one client does next.
#[derive(Debug, Clone, Copy)]
enum Does {
    Asks,
    Leaves,
}

/// One client, and which of its requests are open.
struct Visitor {
    client: Option<Client>,
    open: Vec<(u32, u64)>,
    last: u32,
}

impl Visitor {
    fn ask(&mut self, record: &Recording, request: u64, chance: &mut Pcg64Mcg) {
        let Some(client) = &mut self.client else { return };
        self.last += 1;
        let (id, object) = (format!("{request:016x}"), format!("{:016x}", chance.random_range(1..500u64)));
        let deadline = now() + 3_000.0;
        let harmful = request.is_multiple_of(3);
        let (router, asked) = ("n0".to_string(), object.clone());
        record.note(RecordedEvent::Requested {
            request,
            id: id.clone(),
            object: asked,
            group: 0,
            deadline,
            harmful,
            router,
        });
        let class = if harmful { "booking" } else { "video" };
        let fields = [("c", class), ("i", id.as_str()), ("o", object.as_str()), ("d", "3000"), ("m", "20")];
        client.ask(self.last, &fields, b"").expect("sent");
        self.open.push((self.last, request));
    }

    /// Leaves, and what stays of its connection.
    fn leave(&mut self, record: &Recording, manner: &str) -> Option<Client> {
        let mut client = self.client.take()?;
        client.stream.set_nonblocking(true).expect("no waiting");
        // What has been answered by now is not waited for.
        while let Ok(frame) = client.read() {
            if let Some(n) = self.open.iter().position(|(stream, _)| *stream == frame.stream) {
                let (_, request) = self.open.swap_remove(n);
                record.note(RecordedEvent::Final { request, code: frame.code, dated: None });
            }
        }
        client.stream.set_nonblocking(false).expect("waiting again");
        for (_, request) in &self.open {
            record.note(RecordedEvent::Released { request: *request });
        }
        let streams: Vec<u32> = self.open.iter().map(|(stream, _)| *stream).collect();
        leave(client, manner, &streams)
    }
}

/// 200 clients with hung and full caches, a connect that comes up late, and bookings that are tried again all the
/// time; half of them leave one by one, the others in one burst. Where it is `busy`, a page of purges comes just then.
fn evening(seed: u64, busy: bool, may_cancel: bool) -> (DisconnectedClients, RuleBounds) {
    let (record, door) = (Recording::default(), Late::new());
    let hung = |n: u64| match n % 3 {
        0 => None,
        1 => Some(Answer::with_status("full")),
        _ => Some(Answer::data(vec![7; 60_000])),
    };
    let listener = || TcpListener::bind("127.0.0.1:0").expect("an address");
    let b = serve(listener(), noting(&record, "cache-b", hung));
    let parent = serve(listener(), noting(&record, "parent", |_| Some(Answer::with_status("absent"))));
    let origin = serve(listener(), noting(&record, "origin", |_| Some(Answer::with_status("full"))));
    let targets = all(door.address, b, parent, origin);
    let known = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", known).expect("the journal listens");
    let change = |config: &mut Value| config["settings"]["allowed"]["may-cancel"] = json!(may_cancel);
    let router = Router::start_with(&journal, change, None, None);
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let mut visitors: Vec<Visitor> =
        (0..200).map(|_| Visitor { client: Some(router.client()), open: Vec::new(), last: 0 }).collect();
    let mut script: Vec<(u64, usize, Does)> = Vec::new();
    for n in 0..visitors.len() {
        script.extend((0..4).map(|_| (chance.random_range(0..800u64), n, Does::Asks)));
        let at = if n % 2 == 0 { 850 } else { chance.random_range(50..1_200u64) };
        script.push((at, n, Does::Leaves));
    }
    script.sort_by_key(|(at, ..)| *at);
    let (pulse, begun) = (Pulse::start(), Instant::now());
    let (mut door, mut busy) = (Some(door), busy);
    let (mut request, mut clients_left) = (0, Vec::new());
    for (at, n, does) in script {
        while begun.elapsed() < Duration::from_millis(at) {
            thread::sleep(Duration::from_millis(1));
        }
        if at >= 500 {
            door.take().map(|door| serve(door.opened(), noting(&record, "cache-a", hung)));
        }
        if busy && at >= 840 {
            busy = false;
            (0..20_000u32).for_each(|n| {
                journal.publish(json!({"expire": {"name": format!("{n:016x}"), "stamp": 1}}));
            });
        }
        match does {
            Does::Asks => {
                request += 1;
                visitors[n].ask(&record, request, &mut chance);
            }
            Does::Leaves => clients_left.push(visitors[n].leave(&record, MANNERS[(n / 2) % 4])),
        }
    }
    thread::sleep(Duration::from_millis(2_500));
    let rules = RuleBounds { slack: 50.0 + pulse.end(), ..RuleBounds::default() };
    drop(clients_left);
    (disconnected_clients(&record.lines(), &rules), rules)
}

/// Of the requests whose clients left while they waited, none is sent on: not even later than the 0.1 s.
#[test]
fn of_many_that_leave_under_load_nothing_is_sent_on() {
    let mut worst = Vec::new();
    for (seed, busy, may_cancel) in [(1, false, true), (2, false, false), (3, true, true), (4, true, false)] {
        let (seen, rules) = evening(seed, busy, may_cancel);
        println!(
            "seed {seed} busy {busy} may cancel {may_cancel}: {} left waiting, {} sent on after 0.1 s, \
             {} after 0.3 s; slack {:.0} ms",
            seen.cases,
            seen.late_attempts.len(),
            seen.late_by_earlier_bound.len(),
            rules.slack
        );
        seen.late_attempts.iter().take(5).for_each(|breach| println!("    {breach}"));
        // Whether a request has its answer when its client leaves goes by how fast this machine is.
        assert!(seen.cases >= 20, "{}", seen.cases);
        worst.extend(seen.late_attempts);
    }
    assert!(worst.is_empty(), "{} sent on", worst.len());
}
