//! Two sites on sockets with a faulty link between them, and the checker over what crossed the link and
//! reached the origins.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use linnethook_gateway::attempt_ledger::Token;
use linnethook_gateway::codec::{
    encode_frame, ForwardedRequest, Frame, FrameDecoder, Hello, Message, ResponseHead, VersionRange,
    SUPPORTED_VERSIONS,
};
use linnethook_gateway::site_state::StatePosition;
use linnethook_quickstart::Client;
use linnethook_testbed::cache_server::{CacheServerConfig, ServerRole};
use linnethook_testbed::checker::{judge, Breach, RuleBounds};
use linnethook_testbed::fault_proxy::{LinkConditions, TwoSites, NORTH, SOUTH, TO_ACCEPTOR, TO_DIALER};
use linnethook_testbed::faults::{self, Fault};
use linnethook_testbed::load::Load;
use linnethook_testbed::recording::{now, Phase, RecordedEvent, Recording};

const PROGRAM: &str = env!("CARGO_BIN_EXE_linnethook");
/// Sites that recover get their full share at once and links reconnect soon, which keeps the tests short.
const FAST_RECOVERY: &str = ", first = 1.0, window = 64, flapping = 1.0, retry_most = 0.1";

fn sites(settings: &str, server_config: impl Fn(ServerRole) -> CacheServerConfig) -> TwoSites {
    let sites = TwoSites::start(Path::new(PROGRAM), settings, server_config).expect("two sites");
    sites.until_up().expect("the link is up");
    sites
}

/// No rule is broken, and no origin has run a request twice.
fn assert_no_breaches(sites: &TwoSites) {
    let rules = RuleBounds { slack: 150.0, ..RuleBounds::default() };
    let breaches: Vec<Breach> = judge(&sites.north.record.lines(), &rules);
    assert!(breaches.is_empty(), "{}", breaches.iter().take(8).map(|b| format!("{b}\n")).collect::<String>());
    for (fleet, origin) in [(&sites.north, "north-origin"), (&sites.south, "south-origin")] {
        assert!(fleet.node(origin).ran_twice().is_empty(), "{origin} ran something twice");
    }
}

/// How often a booking has run at an origin.
fn run_count(sites: &TwoSites, origin: &str, id: &str) -> usize {
    let lines = sites.north.record.lines();
    lines
        .iter()
        .filter(
            |l| matches!(&l.what, RecordedEvent::Asked { asked, .. } if asked.at == origin && asked.id == id),
        )
        .count()
}

/// Waits for a condition that must occur; fails after 20 s.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < end, "not within 20 s: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// One request of a client, with its entries in the recording.
struct RecordedRequest {
    client: Client,
    request: u64,
    id: String,
    deadline_ms: f64,
    sent_at: f64,
    record: Recording,
}

impl RecordedRequest {
    fn send(sites: &TwoSites, router: &str, class: &str, object: u64, deadline_ms: f64) -> Self {
        let fleet = if router == NORTH { &sites.north } else { &sites.south };
        let mut client = Client::connect(fleet.address(router).expect("an address")).expect("a client");
        let request = fleet.numbers.next();
        let (id, object) = (format!("{request:016x}"), format!("{object:016x}"));
        let harmful = class == "booking";
        let sent_at = now();
        let (record, router) = (&fleet.record, router.to_string());
        let deadline = sent_at + deadline_ms;
        record.note(RecordedEvent::Requested {
            request,
            id: id.clone(),
            object: object.clone(),
            group: 3,
            deadline,
            harmful,
            router,
        });
        let deadline_text = deadline_ms.to_string();
        let fields =
            [("c", class), ("i", &id), ("d", &deadline_text), ("o", &object), ("tag", "3"), ("m", "20")];
        client.ask(1, &fields, b"").expect("sent");
        Self { client, request, id, deadline_ms, sent_at, record: record.clone() }
    }

    /// Waits for the answer: its code, its body and its latency in milliseconds. `None` if the connection has
    /// closed.
    fn answer(&mut self) -> Option<(u8, Vec<u8>, f64)> {
        loop {
            match self.client.read() {
                Ok(frame) if frame.kind == 66 && frame.stream == 1 => {
                    let text = String::from_utf8_lossy(&frame.body[..frame.body.len().min(120)]).into_owned();
                    let dated = text.split(' ').nth(2).and_then(|at| at.parse().ok());
                    self.record.note(RecordedEvent::Final { request: self.request, code: frame.code, dated });
                    let latency = now() - self.sent_at;
                    assert!(latency <= self.deadline_ms + 100.0, "answered after {latency:.0} ms");
                    return Some((frame.code, frame.body, latency));
                }
                Ok(_) => {}
                Err(_) => {
                    self.record.note(RecordedEvent::Released { request: self.request });
                    return None;
                }
            }
        }
    }
}

/// Removes the north's caches from its endpoint list.
fn remove_caches(sites: &TwoSites) {
    for cache in ["north-cache-0", "north-cache-1"] {
        sites.north.publish_phase(cache, Phase::Removed).expect("published");
    }
    sites.until(NORTH, "no caches", |status| status["caches"] == 0).expect("no caches");
}

/// Kills the north's origin, and waits until its gateway has noticed it.
fn kill_north_origin(sites: &TwoSites) {
    sites.north.node("north-origin").kill();
    for n in 0.. {
        if sites.status(NORTH).expect("status")["origin"] == false {
            return;
        }
        assert!(n < 100, "the gateway does not notice that its origin is unreachable");
        RecordedRequest::send(sites, NORTH, "booking", 1, 1_000.0).answer();
    }
}

#[test]
fn the_home_site_serves_all_until_it_fails_and_then_the_other_site_does() {
    let sites = sites(", rise = 0.2, rise_writes = 0.2", CacheServerConfig::new);
    let load = Load { rate: 60.0, bookings: 0.3, ..Load::default() };
    let running = sites.north.load(NORTH, &load).expect("clients");
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(sites.proxy.passed().opened, [0, 0], "nothing crosses while the home site can serve");
    sites.north.node("north-origin").kill();
    thread::sleep(Duration::from_millis(3_000));
    let ends = running.finish();
    let (_, text) = sites.gateway(NORTH, &["status"]).expect("status");
    assert_no_breaches(&sites);
    assert!(sites.proxy.passed().opened[0] > 20, "{text}");
    assert!(ends.served_share(2..4) > 0.8, "{ends:?}");
    assert!(sites.status(SOUTH).expect("status")["counts"]["served"].as_u64() > Some(20));
    // The output of the commands, and a drained site.
    assert!(text.contains("ORIGIN UNREACHABLE") && text.contains("south: reachable"), "{text}");
    let (_, routes) = sites.gateway(NORTH, &["routes"]).expect("routes");
    assert!(routes.contains("writes: this site UNAVAILABLE, else south (100%)"), "{routes}");
    assert!(sites.gateway(SOUTH, &["drain", "south"]).expect("drained").0);
    sites.until(NORTH, "the drain", |status| status["sites"][0]["drained"] == true).expect("notified");
    let before = sites.proxy.passed().opened[0];
    let (code, _, took) =
        RecordedRequest::send(&sites, NORTH, "booking", 1, 2_000.0).answer().expect("an answer");
    assert!(code == 2 && took < 500.0, "expected a rejection at once: {code} after {took:.0} ms");
    assert_eq!(sites.proxy.passed().opened[0], before);
    assert!(sites.gateway(SOUTH, &["undrain", "south"]).expect("undrained").0);
    sites
        .until(NORTH, "the end of the drain", |status| status["sites"][0]["drained"] == false)
        .expect("notified");
    assert_eq!(RecordedRequest::send(&sites, NORTH, "booking", 1, 2_000.0).answer().expect("an answer").0, 1);
    let (done, text) = sites.gateway(NORTH, &["drain", "east"]).expect("answered");
    assert!(!done && text.contains("there is no site \"east\""), "{text}");
    assert_no_breaches(&sites);
}

/// A transfer stops halfway because the link is cut, or silent in either direction or both; the link recovers
/// soon, just in time, or too late. The client gets one complete body, or a rejection before its deadline.
#[test]
fn a_transfer_that_stops_halfway_is_completed_or_rejected() {
    const SIZE: usize = 200_000;
    // The fault, the milliseconds until the link recovers, and whether the client gets the complete body.
    let table: [(&str, &[usize], u64, bool); 7] = [
        ("cut", &[], 300, true),
        ("silent", &[TO_ACCEPTOR, TO_DIALER], 250, true),
        ("silent", &[TO_ACCEPTOR, TO_DIALER], 900, true),
        ("silent", &[TO_DIALER], 900, true),
        ("silent", &[TO_ACCEPTOR], 900, true),
        ("cut", &[], 6_000, false),
        ("silent", &[TO_ACCEPTOR, TO_DIALER], 6_000, false),
    ];
    // On such a slow link the answer to a ping is queued behind the transfer.
    let settings = format!("{FAST_RECOVERY}, fresh = 0");
    let sites = sites(&settings, |kind| CacheServerConfig { size: SIZE, ..CacheServerConfig::new(kind) });
    remove_caches(&sites);
    for (n, (fault, directions, recovery_ms, is_complete)) in table.into_iter().enumerate() {
        sites.until_up().expect("the link is up");
        sites.proxy.conditions(TO_DIALER, LinkConditions { rate: 400_000.0, ..LinkConditions::default() });
        let before = sites.proxy.passed().bodies[TO_DIALER];
        let mut request = RecordedRequest::send(&sites, NORTH, "video", 100 + n as u64, 3_000.0);
        wait_until("half of the transfer", || sites.proxy.passed().bodies[TO_DIALER] > before + 60_000);
        let last_before = sites.proxy.passed().by_connection.keys().max().copied();
        if fault == "cut" {
            sites.proxy.cut();
        } else {
            sites.proxy.silence(directions);
        }
        let answer = thread::spawn(move || request.answer().expect("an answer"));
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(recovery_ms) && (is_complete || !answer.is_finished())
        {
            thread::sleep(Duration::from_millis(5));
        }
        sites.proxy.clear_faults();
        let (code, body, took) = answer.join().expect("an answer");
        // Bytes on later connections only: those in flight on the earlier one may have passed the proxy
        // unread.
        let passed = sites.proxy.passed().by_connection;
        let new_bytes: u64 =
            passed.iter().filter(|(n, _)| Some(**n) > last_before).map(|(_, bytes)| bytes).sum();
        let case = format!(
            "{fault} {directions:?} for {recovery_ms} ms: {code} after {took:.0} ms, \
             {new_bytes} bytes on new connections"
        );
        assert_eq!((code, body.len()), if is_complete { (1, SIZE) } else { (2, 0) }, "{case}");
        // The part that had arrived did not cross again.
        assert!((new_bytes as usize) <= SIZE - 60_000, "{case}");
        println!("{case}");
    }
    let (resumed, bytes_again) = {
        let status = sites.status(NORTH).expect("status");
        (status["counts"]["resumed"].as_u64(), status["counts"]["bytes_again"].as_u64())
    };
    assert!(resumed >= Some(3) && bytes_again == Some(0), "{resumed:?} {bytes_again:?}");
    assert_no_breaches(&sites);
}

/// The state of a booking when the link goes silent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BookingState {
    /// It is sent and has not run.
    Sent,
    /// It runs.
    Running,
    /// It has run, and its response is in flight.
    Responding,
}

#[test]
fn a_booking_that_was_sent_and_has_not_run_runs_at_most_once() {
    check_booking_over_silent_link(BookingState::Sent);
}

#[test]
fn a_booking_that_runs_while_the_link_is_silent_runs_at_most_once() {
    check_booking_over_silent_link(BookingState::Running);
}

#[test]
fn a_booking_whose_response_is_in_flight_runs_at_most_once() {
    check_booking_over_silent_link(BookingState::Responding);
}

/// A booking is sent completely, and the link goes silent. The link recovers in time or not, and the sender,
/// the receiver or both restart meanwhile. The booking never runs twice, and a client that still waits gets
/// one answer in time.
fn check_booking_over_silent_link(state: BookingState) {
    // Milliseconds until the link recovers: soon, or just before the client's deadline; `u64::MAX` is after
    // it.
    const SOON: u64 = 700;
    const LATE: u64 = 2_250;
    let table = [
        (SOON, false, false),
        (LATE, false, false),
        (u64::MAX, false, false),
        (SOON, true, false),
        (SOON, false, true),
        (SOON, true, true),
    ];
    for (recovery_ms, restart_sender, restart_receiver) in table {
        // The home site is not tried meanwhile, so that the booking crosses at once.
        let mut sites = sites(&format!("{FAST_RECOVERY}, home_try = 60"), CacheServerConfig::new);
        kill_north_origin(&sites);
        match state {
            BookingState::Sent => sites.proxy.silence(&[TO_ACCEPTOR]),
            BookingState::Running => sites
                .south
                .node("south-origin")
                .script()
                .add(Fault::Slow(600.0), faults::When::Count { after: 0, most: 1 }),
            BookingState::Responding => sites.proxy.silence(&[TO_DIALER]),
        }
        let mut request = RecordedRequest::send(&sites, NORTH, "booking", 7, 2_500.0);
        if state == BookingState::Sent {
            sites.until(NORTH, "it crosses", |s| s["out"] == 1 || s["uncertain"] == 1).expect("it crosses");
        } else {
            wait_until("it runs", || run_count(&sites, "south-origin", &request.id) == 1);
        }
        sites.proxy.silence(&[TO_ACCEPTOR, TO_DIALER]);
        if restart_receiver {
            sites.restart_south().expect("restarted");
        }
        if restart_sender {
            sites.north.kill_router(NORTH);
            sites.north.restart_router(NORTH).expect("restarted");
        }
        let answer = if recovery_ms < u64::MAX {
            thread::sleep(Duration::from_millis(recovery_ms));
            sites.proxy.clear_faults();
            request.answer()
        } else {
            let answer = request.answer();
            sites.proxy.clear_faults();
            answer
        };
        sites.until_up().expect("the link is up again");
        // Time for a late run.
        thread::sleep(Duration::from_millis(300));
        let ran = run_count(&sites, "south-origin", &request.id);
        let code = answer.as_ref().map(|(code, ..)| *code);
        let case = format!(
            "{state:?}, recovery after {recovery_ms} ms, restart sender {restart_sender}, \
             receiver {restart_receiver}: {code:?}, ran {ran}"
        );
        assert!(ran <= 1, "{case}");
        match (restart_sender, restart_receiver, recovery_ms) {
            (true, ..) => assert_eq!(code, None, "{case}"),
            (_, true, _) => assert!(code == Some(3) || ran == 0 || code == Some(1), "{case}"),
            (_, _, SOON) => assert_eq!((code, ran), (Some(1), 1), "{case}"),
            // A booking that provably has not run is rejected.
            (_, _, LATE) => {
                assert!(
                    code == Some(1) && ran == 1 || code == Some(2) && ran == 0 || code == Some(3),
                    "{case}"
                );
            }
            _ => assert_eq!(code, Some(3), "{case}"),
        }
        assert_no_breaches(&sites);
        println!("{case}");
    }
}

/// Only the north is notified of a drain or a purge: while requests cross, during a cut, and with a request
/// in flight.
#[test]
fn drains_and_purges_at_one_site_apply_at_the_other() {
    let sites = sites(FAST_RECOVERY, CacheServerConfig::new);
    remove_caches(&sites);
    let load = Load { rate: 80.0, objects: 40, ..Load::default() };
    let running = sites.north.load(NORTH, &load).expect("clients");
    let requests_since = |node: &str, since: f64| {
        let lines = sites.north.record.lines();
        lines
            .iter()
            .filter(|l| {
                l.at > since && matches!(&l.what, RecordedEvent::Asked { asked, .. } if asked.at == node)
            })
            .count()
    };
    let started = now();
    wait_until("both caches of the south are used", || {
        ["south-cache-0", "south-cache-1"].iter().all(|cache| requests_since(cache, started) > 3)
    });
    sites.north.publish_foreign_phase(NORTH, "south-cache-0", Phase::Draining, SOUTH);
    thread::sleep(Duration::from_millis(900));
    let drained = now() - 500.0;
    assert_eq!(requests_since("south-cache-0", drained), 0);
    assert!(requests_since("south-cache-1", drained) > 5, "the other cache is still used");
    sites.north.publish_foreign_phase(NORTH, "south-cache-0", Phase::Ready, SOUTH);
    let undrained = now();
    wait_until("it is used again", || requests_since("south-cache-0", undrained) > 3);
    // During a cut: no request crosses before the drain has.
    sites.proxy.cut();
    sites.north.publish_foreign_phase(NORTH, "south-cache-1", Phase::Draining, SOUTH);
    thread::sleep(Duration::from_millis(400));
    let mended = now();
    sites.proxy.clear_faults();
    sites.until_up().expect("the link is up");
    thread::sleep(Duration::from_millis(500));
    assert_eq!(requests_since("south-cache-1", mended), 0);
    assert!(requests_since("south-cache-0", mended) > 5);
    // Purges that only the north receives, half of them during a cut; the south's caches keep their old
    // copies.
    let purge = |objects: std::ops::Range<u64>| {
        for object in objects {
            let name = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(&object.to_le_bytes()));
            sites.north.purge(&name, Duration::ZERO);
        }
    };
    purge(1..20);
    thread::sleep(Duration::from_millis(500));
    sites.proxy.cut();
    purge(20..41);
    thread::sleep(Duration::from_millis(300));
    sites.proxy.clear_faults();
    sites.until_up().expect("the link is up");
    thread::sleep(Duration::from_millis(2_000));
    let ends = running.finish();
    assert!(ends.served.iter().sum::<u32>() > 100, "{ends:?}");
    assert_no_breaches(&sites);
}

/// Both sites lose their origins, one after the other and then together, while both have bookings: no request
/// crosses back and forth, and there are no more crossings than requests.
#[test]
fn origins_that_fail_in_turn_cause_no_ping_pong() {
    let mut sites = sites(FAST_RECOVERY, CacheServerConfig::new);
    let load = Load { rate: 40.0, bookings: 1.0, ..Load::default() };
    let north = sites.north.load(NORTH, &load).expect("clients");
    let south = sites.south.load(SOUTH, &Load { seed: 2, ..load }).expect("clients");
    let pause = || thread::sleep(Duration::from_millis(900));
    pause();
    sites.north.node("north-origin").kill();
    pause();
    sites.south.node("south-origin").kill();
    pause();
    sites.north.restart_server("north-origin").expect("restarted");
    pause();
    sites.south.restart_server("south-origin").expect("restarted");
    pause();
    let (north, south) = (north.finish(), south.finish());
    let asked: u32 = north.asked.iter().chain(&south.asked).sum();
    let opened: u64 = sites.proxy.passed().opened.iter().sum();
    assert!(opened > 0 && opened <= u64::from(asked), "{opened} crossings of {asked}");
    assert_no_breaches(&sites);
}

/// A peer that violates the protocol is disconnected, and other peers are not affected.
#[test]
fn a_peer_that_violates_the_protocol_is_disconnected() {
    let sites = sites("", CacheServerConfig::new);
    let address = sites.south.gateway_address(SOUTH).expect("an address");
    let hello = |site: &str, node: &str, epoch: u64| Hello {
        versions: SUPPORTED_VERSIONS,
        site: site.to_string(),
        node: node.to_string(),
        epoch,
        known_state: StatePosition::default(),
        proof: Vec::new(),
    };
    let frame = |stream: u32, frame: Message| encode_frame(&Frame { stream, message: frame });
    let valid_hello = frame(0, Message::Hello(hello("north", "bad", 5)));
    let open = |stream: u32| {
        frame(
            stream,
            Message::Request(Box::new(ForwardedRequest {
                token: Some(Token { epoch: 5, number: u64::from(stream) }),
                remaining_ms: 1_000,
                priority: 0,
                passed_sites: vec!["north".to_string()],
                resume_from: None,
                fields: Vec::new(),
                body: Default::default(),
            })),
        )
    };
    let head = ResponseHead { served: true, fields: Vec::new(), body_length: 5, offset: 0, version: None };
    let after = |bytes: Vec<u8>| [valid_hello.clone(), bytes].concat();
    let table: Vec<(&str, Vec<u8>)> = vec![
        ("garbage", (0..2_000u32).map(|n| (n * 7 % 251) as u8).collect()),
        ("a frame of 4 GB", vec![255, 255, 255, 255, 1, 0, 0, 0, 0]),
        ("a frame before the hello", frame(0, Message::Ping(1))),
        ("a second hello", after(valid_hello.clone())),
        (
            "unsupported versions",
            frame(
                0,
                Message::Hello(Hello {
                    versions: VersionRange { min: 7, max: 9 },
                    ..hello("north", "bad", 5)
                }),
            ),
        ),
        ("the receiver's own site", frame(0, Message::Hello(hello("south", "bad", 5)))),
        ("an unknown site", frame(0, Message::Hello(hello("east", "bad", 5)))),
        ("an epoch in the future", frame(0, Message::Hello(hello("north", NORTH, u64::MAX)))),
        ("an earlier epoch", frame(0, Message::Hello(hello("north", NORTH, 1)))),
        ("a stream number used twice", after([open(3), open(3)].concat())),
        ("a response without a request", after(frame(1, Message::Response(Box::new(head))))),
        ("data without a response", after(frame(9, Message::Data(vec![0; 100].into())))),
        (
            "unlimited credit",
            after([frame(0, Message::Credit(u32::MAX)), frame(0, Message::Credit(u32::MAX))].concat()),
        ),
        (
            "unlimited pings from a peer that reads nothing",
            after((0..300_000u64).flat_map(|n| frame(0, Message::Ping(n))).collect()),
        ),
        ("a partial frame, then silence", valid_hello[..7].to_vec()),
    ];
    for (what, bytes) in table {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out is set");
        stream.set_write_timeout(Some(Duration::from_secs(10))).expect("a time-out is set");
        // The connection may be closed during the write.
        let _ = stream.write_all(&bytes);
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        let in_time = ended.as_ref().err().is_none_or(|error| error.kind() != ErrorKind::WouldBlock);
        assert!(in_time, "{what}: {ended:?}");
        assert!(rest.len() < 8 << 20, "{what}");
    }
    // Streams over the limit are rejected, which states that they have not run.
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(&after((1..=600).flat_map(open).collect())).expect("written");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time-out is set");
    let (mut decoder, mut rejected, mut block) = (FrameDecoder::default(), 0, [0; 4_096]);
    while rejected < 600 {
        let n = stream.read(&mut block).expect("a rejection of each stream");
        assert!(n > 0, "the connection stays open");
        decoder.push_bytes(&block[..n]);
        while let Ok(Some(frame)) = decoder.next_frame(1 << 20) {
            rejected += u32::from(matches!(frame.message, Message::Reject { .. }));
        }
    }
    let status = sites.status(SOUTH).expect("status");
    assert_eq!(status["sites"][0]["reachable"], true, "{status}");
    assert_eq!(RecordedRequest::send(&sites, SOUTH, "video", 5, 2_000.0).answer().expect("an answer").0, 1);
    assert_no_breaches(&sites);
}

/// A flapping link: descriptors and state changes stay bounded, and the home site serves as if there were no
/// link.
#[test]
fn a_flapping_link_does_not_affect_the_home_site() {
    let sites = sites("", CacheServerConfig::new);
    let load = Load { rate: 80.0, bookings: 0.2, ..Load::default() };
    let running = sites.north.load(NORTH, &load).expect("clients");
    let process = sites.north.process_id(NORTH).expect("a process");
    let descriptors = || std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
    let mut most_descriptors = 0;
    for n in 0..20 {
        if n % 2 == 0 {
            sites.proxy.cut();
        } else {
            sites.proxy.clear_faults();
        }
        thread::sleep(Duration::from_millis(300));
        most_descriptors = most_descriptors.max(descriptors());
    }
    sites.proxy.clear_faults();
    sites.until_up().expect("the link is up");
    let ends = running.finish();
    assert!(ends.served_share(0..100) > 0.99, "{ends:?}");
    assert!(most_descriptors < 120, "{most_descriptors} descriptors");
    let status = sites.status(NORTH).expect("status");
    assert!(
        status["sites"][0]["flapping"] == true && status["counts"]["downs"].as_u64() < Some(12),
        "{status}"
    );
    assert_no_breaches(&sites);
}
