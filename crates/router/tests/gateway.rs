//! Two sites on sockets, a link in the middle that fails, and the checker over what crossed it and reached the stores.

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
/// Sites that have come back get all at once and links are tried again soon, so that a test need not wait.
const QUICK: &str = ", first = 1.0, window = 64, flapping = 1.0, retry_most = 0.1";

fn sites(settings: &str, server_config: impl Fn(ServerRole) -> CacheServerConfig) -> TwoSites {
    let sites = TwoSites::start(Path::new(PROGRAM), settings, server_config).expect("two sites");
    sites.until_up().expect("the link is up");
    sites
}

fn clean(sites: &TwoSites) {
    let rules = RuleBounds { slack: 150.0, ..RuleBounds::default() };
    let breaches: Vec<Breach> = judge(&sites.north.record.lines(), &rules);
    assert!(breaches.is_empty(), "{}", breaches.iter().take(8).map(|b| format!("{b}\n")).collect::<String>());
    for (fleet, origin) in [(&sites.north, "north-origin"), (&sites.south, "south-origin")] {
        assert!(fleet.node(origin).ran_twice().is_empty(), "{origin} ran something twice");
    }
}

/// How often a booking was run at a site.
fn runs(sites: &TwoSites, origin: &str, id: &str) -> usize {
    let lines = sites.north.record.lines();
    lines
        .iter()
        .filter(
            |l| matches!(&l.what, RecordedEvent::Asked { asked, .. } if asked.at == origin && asked.id == id),
        )
        .count()
}

/// Waits for something that is sure to come; the time is only a bound.
fn until(what: &str, fits: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !fits() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// One request of a client, noted in the record.
struct One {
    client: Client,
    request: u64,
    id: String,
    wait: f64,
    since: f64,
    record: Recording,
}

impl One {
    fn ask(sites: &TwoSites, router: &str, class: &str, object: u64, wait: f64) -> Self {
        let fleet = if router == NORTH { &sites.north } else { &sites.south };
        let mut client = Client::connect(fleet.address(router).expect("an address")).expect("a client");
        let request = fleet.numbers.next();
        let (id, object) = (format!("{request:016x}"), format!("{object:016x}"));
        let harmful = class == "booking";
        let since = now();
        let (record, router) = (&fleet.record, router.to_string());
        let deadline = since + wait;
        record.note(RecordedEvent::Requested {
            request,
            id: id.clone(),
            object: object.clone(),
            group: 3,
            deadline,
            harmful,
            router,
        });
        let waits = wait.to_string();
        let fields = [("c", class), ("i", &id), ("d", &waits), ("o", &object), ("tag", "3"), ("m", "20")];
        client.ask(1, &fields, b"").expect("asked");
        Self { client, request, id, wait, since, record: record.clone() }
    }

    /// The one answer: its code, its body, and after how long it came. Nothing where the router has gone.
    fn answer(&mut self) -> Option<(u8, Vec<u8>, f64)> {
        loop {
            match self.client.read() {
                Ok(frame) if frame.kind == 66 && frame.stream == 1 => {
                    let text = String::from_utf8_lossy(&frame.body[..frame.body.len().min(120)]).into_owned();
                    let dated = text.split(' ').nth(2).and_then(|at| at.parse().ok());
                    self.record.note(RecordedEvent::Final { request: self.request, code: frame.code, dated });
                    let took = now() - self.since;
                    assert!(took <= self.wait + 100.0, "answered after {took:.0} ms");
                    return Some((frame.code, frame.body, took));
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

/// The north's caches are gone, by its own list.
fn without_caches(sites: &TwoSites) {
    for cache in ["north-cache-0", "north-cache-1"] {
        sites.north.publish_phase(cache, Phase::Removed).expect("told");
    }
    sites.until(NORTH, "no caches", |status| status["caches"] == 0).expect("told");
}

/// The north's store is gone, and its gateway has seen that.
fn without_store(sites: &TwoSites) {
    sites.north.node("north-origin").kill();
    for n in 0.. {
        if sites.status(NORTH).expect("status")["origin"] == false {
            return;
        }
        assert!(n < 100, "it never sees that its store is gone");
        One::ask(sites, NORTH, "booking", 1, 1_000.0).answer();
    }
}

#[test]
fn home_serves_all_while_it_can_and_the_other_site_once_it_can_not() {
    let sites = sites(", rise = 0.2, rise_writes = 0.2", CacheServerConfig::new);
    let load = Load { rate: 60.0, bookings: 0.3, ..Load::default() };
    let running = sites.north.load(NORTH, &load).expect("clients");
    thread::sleep(Duration::from_millis(1_000));
    assert_eq!(sites.proxy.passed().opened, [0, 0], "nothing crosses while home can");
    sites.north.node("north-origin").kill();
    thread::sleep(Duration::from_millis(3_000));
    let ends = running.finish();
    let (_, text) = sites.gateway(NORTH, &["status"]).expect("status");
    clean(&sites);
    assert!(sites.proxy.passed().opened[0] > 20, "{text}");
    assert!(ends.served_share(2..4) > 0.8, "{ends:?}");
    assert!(sites.status(SOUTH).expect("status")["counts"]["served"].as_u64() > Some(20));
    // What people see of it, and a site that is to be left alone.
    assert!(text.contains("ORIGIN UNREACHABLE") && text.contains("south: reachable"), "{text}");
    let (_, routes) = sites.gateway(NORTH, &["routes"]).expect("routes");
    assert!(routes.contains("writes: this site UNAVAILABLE, else south (100%)"), "{routes}");
    assert!(sites.gateway(SOUTH, &["drain", "south"]).expect("drained").0);
    sites.until(NORTH, "told of the drain", |status| status["sites"][0]["drained"] == true).expect("told");
    let before = sites.proxy.passed().opened[0];
    let (code, _, took) = One::ask(&sites, NORTH, "booking", 1, 2_000.0).answer().expect("an answer");
    assert!(code == 2 && took < 500.0, "refused at once: {code} after {took:.0} ms");
    assert_eq!(sites.proxy.passed().opened[0], before);
    assert!(sites.gateway(SOUTH, &["undrain", "south"]).expect("undrained").0);
    sites
        .until(NORTH, "told that it is back", |status| status["sites"][0]["drained"] == false)
        .expect("told");
    assert_eq!(One::ask(&sites, NORTH, "booking", 1, 2_000.0).answer().expect("an answer").0, 1);
    let (done, text) = sites.gateway(NORTH, &["drain", "east"]).expect("answered");
    assert!(!done && text.contains("there is no site \"east\""), "{text}");
    clean(&sites);
}

/// A fitting video stops in the middle: the link is cut, or goes silent in either direction or both; it comes back soon,
/// just in time, or too late. The client gets one whole body, or is refused in time.
#[test]
fn a_video_that_stops_in_the_middle_is_completed_or_refused() {
    const SIZE: usize = 200_000;
    // How it stops, after how long it is back, and whether the client is to have its video.
    let table: [(&str, &[usize], u64, bool); 7] = [
        ("cut", &[], 300, true),
        ("silent", &[TO_ACCEPTOR, TO_DIALER], 250, true),
        ("silent", &[TO_ACCEPTOR, TO_DIALER], 900, true),
        ("silent", &[TO_DIALER], 900, true),
        ("silent", &[TO_ACCEPTOR], 900, true),
        ("cut", &[], 6_000, false),
        ("silent", &[TO_ACCEPTOR, TO_DIALER], 6_000, false),
    ];
    // On so thin a link an answer to a ping waits behind the video.
    let settings = format!("{QUICK}, fresh = 0");
    let sites = sites(&settings, |kind| CacheServerConfig { size: SIZE, ..CacheServerConfig::new(kind) });
    without_caches(&sites);
    for (n, (how, directions, back, is_complete)) in table.into_iter().enumerate() {
        sites.until_up().expect("the link is up");
        sites.proxy.conditions(TO_DIALER, LinkConditions { rate: 400_000.0, ..LinkConditions::default() });
        let before = sites.proxy.passed().bodies[TO_DIALER];
        let mut one = One::ask(&sites, NORTH, "video", 100 + n as u64, 3_000.0);
        until("half of the video", || sites.proxy.passed().bodies[TO_DIALER] > before + 60_000);
        let old = sites.proxy.passed().by_connection.keys().max().copied();
        if how == "cut" {
            sites.proxy.cut();
        } else {
            sites.proxy.silence(directions);
        }
        let answer = thread::spawn(move || one.answer().expect("an answer"));
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(back) && (is_complete || !answer.is_finished()) {
            thread::sleep(Duration::from_millis(5));
        }
        sites.proxy.clear_faults();
        let (code, body, took) = answer.join().expect("an answer");
        // On the connections after that one; what it had under way may still have passed to nobody.
        let passed = sites.proxy.passed().by_connection;
        let anew: u64 = passed.iter().filter(|(n, _)| Some(**n) > old).map(|(_, bytes)| bytes).sum();
        let case = format!(
            "{how} {directions:?} for {back} ms: {code} after {took:.0} ms, {anew} bytes on new connections"
        );
        assert_eq!((code, body.len()), if is_complete { (1, SIZE) } else { (2, 0) }, "{case}");
        // What was there already did not cross again.
        assert!((anew as usize) <= SIZE - 60_000, "{case}");
        println!("{case}");
    }
    let (resumed, bytes_again) = {
        let status = sites.status(NORTH).expect("status");
        (status["counts"]["resumed"].as_u64(), status["counts"]["bytes_again"].as_u64())
    };
    assert!(resumed >= Some(3) && bytes_again == Some(0), "{resumed:?} {bytes_again:?}");
    clean(&sites);
}

/// Where a booking is when the link goes silent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum When {
    Before,
    During,
    After,
}

#[test]
fn a_booking_that_was_sent_in_full_and_has_not_run_runs_once_at_the_most() {
    silent_with_a_booking(When::Before);
}

#[test]
fn a_booking_that_runs_while_the_link_is_silent_runs_once_at_the_most() {
    silent_with_a_booking(When::During);
}

#[test]
fn a_booking_whose_answer_is_in_flight_runs_once_at_the_most() {
    silent_with_a_booking(When::After);
}

/// A booking was written whole, and the link goes silent: it is back in time or not; the sender, the receiver or both
/// start again meanwhile. It never runs twice, and who still waits for it has one answer in time.
fn silent_with_a_booking(when: When) {
    // After how long the link is back: soon, just before the client's time is up, or after it.
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
    for (back, sender, receiver) in table {
        // The home is not tried meanwhile: the booking crosses at once.
        let mut sites = sites(&format!("{QUICK}, home_try = 60"), CacheServerConfig::new);
        without_store(&sites);
        match when {
            When::Before => sites.proxy.silence(&[TO_ACCEPTOR]),
            When::During => sites
                .south
                .node("south-origin")
                .script()
                .add(Fault::Slow(600.0), faults::When::Count { after: 0, most: 1 }),
            When::After => sites.proxy.silence(&[TO_DIALER]),
        }
        let mut one = One::ask(&sites, NORTH, "booking", 7, 2_500.0);
        if when == When::Before {
            sites.until(NORTH, "it crosses", |s| s["out"] == 1 || s["uncertain"] == 1).expect("it crosses");
        } else {
            until("it runs", || runs(&sites, "south-origin", &one.id) == 1);
        }
        sites.proxy.silence(&[TO_ACCEPTOR, TO_DIALER]);
        if receiver {
            sites.restart_south().expect("started again");
        }
        if sender {
            sites.north.kill_router(NORTH);
            sites.north.restart_router(NORTH).expect("started again");
        }
        let answer = if back < u64::MAX {
            thread::sleep(Duration::from_millis(back));
            sites.proxy.clear_faults();
            one.answer()
        } else {
            let answer = one.answer();
            sites.proxy.clear_faults();
            answer
        };
        sites.until_up().expect("the link is up again");
        // What comes late comes now.
        thread::sleep(Duration::from_millis(300));
        let ran = runs(&sites, "south-origin", &one.id);
        let code = answer.as_ref().map(|(code, ..)| *code);
        let case = format!(
            "{when:?}, back in time: {back}, sender {sender}, receiver {receiver}: {code:?}, ran {ran}"
        );
        assert!(ran <= 1, "{case}");
        match (sender, receiver, back) {
            (true, ..) => assert_eq!(code, None, "{case}"),
            (_, true, _) => assert!(code == Some(3) || ran == 0 || code == Some(1), "{case}"),
            (_, _, SOON) => assert_eq!((code, ran), (Some(1), 1), "{case}"),
            // One that is proven never to have run is refused.
            (_, _, LATE) => {
                assert!(
                    code == Some(1) && ran == 1 || code == Some(2) && ran == 0 || code == Some(3),
                    "{case}"
                );
            }
            _ => assert_eq!(code, Some(3), "{case}"),
        }
        clean(&sites);
        println!("{case}");
    }
}

/// A drain or a purge is known at the north alone: while requests cross, during a cut, and with one under way.
#[test]
fn what_one_side_is_notified_of_holds_at_the_other() {
    let sites = sites(QUICK, CacheServerConfig::new);
    without_caches(&sites);
    let load = Load { rate: 80.0, objects: 40, ..Load::default() };
    let running = sites.north.load(NORTH, &load).expect("clients");
    let asked_since = |node: &str, since: f64| {
        let lines = sites.north.record.lines();
        lines
            .iter()
            .filter(|l| {
                l.at > since && matches!(&l.what, RecordedEvent::Asked { asked, .. } if asked.at == node)
            })
            .count()
    };
    let begun = now();
    until("both caches of the south are used", || {
        ["south-cache-0", "south-cache-1"].iter().all(|cache| asked_since(cache, begun) > 3)
    });
    sites.north.publish_foreign_phase(NORTH, "south-cache-0", Phase::Draining, SOUTH);
    thread::sleep(Duration::from_millis(900));
    let drained = now() - 500.0;
    assert_eq!(asked_since("south-cache-0", drained), 0);
    assert!(asked_since("south-cache-1", drained) > 5, "the other one goes on");
    sites.north.publish_foreign_phase(NORTH, "south-cache-0", Phase::Ready, SOUTH);
    let back = now();
    until("it is used again", || asked_since("south-cache-0", back) > 3);
    // During a cut: nothing crosses before it is known.
    sites.proxy.cut();
    sites.north.publish_foreign_phase(NORTH, "south-cache-1", Phase::Draining, SOUTH);
    thread::sleep(Duration::from_millis(400));
    let mended = now();
    sites.proxy.clear_faults();
    sites.until_up().expect("the link is up");
    thread::sleep(Duration::from_millis(500));
    assert_eq!(asked_since("south-cache-1", mended), 0);
    assert!(asked_since("south-cache-0", mended) > 5);
    // Purges that only the north hears of, half of them during a cut; the south's caches keep their old copies.
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
    clean(&sites);
}

/// Both sites lose their stores, one after the other and then together, while both have bookings: none goes back and
/// forth, and no more crosses than was asked for.
#[test]
fn stores_that_are_lost_in_turn_cause_no_ping_pong() {
    let mut sites = sites(QUICK, CacheServerConfig::new);
    let load = Load { rate: 40.0, bookings: 1.0, ..Load::default() };
    let north = sites.north.load(NORTH, &load).expect("clients");
    let south = sites.south.load(SOUTH, &Load { seed: 2, ..load }).expect("clients");
    let pause = || thread::sleep(Duration::from_millis(900));
    pause();
    sites.north.node("north-origin").kill();
    pause();
    sites.south.node("south-origin").kill();
    pause();
    sites.north.restart_server("north-origin").expect("started again");
    pause();
    sites.south.restart_server("south-origin").expect("started again");
    pause();
    let (north, south) = (north.finish(), south.finish());
    let asked: u32 = north.asked.iter().chain(&south.asked).sum();
    let opened: u64 = sites.proxy.passed().opened.iter().sum();
    assert!(opened > 0 && opened <= u64::from(asked), "{opened} crossings of {asked}");
    clean(&sites);
}

/// Whoever breaks the frames' rules is broken off, and nobody else notices.
#[test]
fn a_bad_peer_is_broken_off() {
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
    let good = frame(0, Message::Hello(hello("north", "bad", 5)));
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
    let begins = ResponseHead { served: true, fields: Vec::new(), body_length: 5, offset: 0, version: None };
    let after = |bytes: Vec<u8>| [good.clone(), bytes].concat();
    let table: Vec<(&str, Vec<u8>)> = vec![
        ("garbage", (0..2_000u32).map(|n| (n * 7 % 251) as u8).collect()),
        ("a frame of 4 GB", vec![255, 255, 255, 255, 1, 0, 0, 0, 0]),
        ("a word before its hello", frame(0, Message::Ping(1))),
        ("a second hello", after(good.clone())),
        (
            "another version",
            frame(
                0,
                Message::Hello(Hello {
                    versions: VersionRange { min: 7, max: 9 },
                    ..hello("north", "bad", 5)
                }),
            ),
        ),
        ("this very site", frame(0, Message::Hello(hello("south", "bad", 5)))),
        ("a strange site", frame(0, Message::Hello(hello("east", "bad", 5)))),
        ("a start that is yet to come", frame(0, Message::Hello(hello("north", NORTH, u64::MAX)))),
        ("an earlier start", frame(0, Message::Hello(hello("north", NORTH, 1)))),
        ("a stream again", after([open(3), open(3)].concat())),
        ("an answer to nothing", after(frame(1, Message::Response(Box::new(begins))))),
        ("bytes for nothing", after(frame(9, Message::Data(vec![0; 100].into())))),
        (
            "credit without end",
            after([frame(0, Message::Credit(u32::MAX)), frame(0, Message::Credit(u32::MAX))].concat()),
        ),
        (
            "pings without end, and it reads nothing",
            after((0..300_000u64).flat_map(|n| frame(0, Message::Ping(n))).collect()),
        ),
        ("half a frame, then silence", good[..7].to_vec()),
    ];
    for (what, bytes) in table {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a bound");
        stream.set_write_timeout(Some(Duration::from_secs(10))).expect("a bound");
        // It may be broken off while it still writes.
        let _ = stream.write_all(&bytes);
        let mut rest = Vec::new();
        let ended = stream.read_to_end(&mut rest);
        let in_time = ended.as_ref().err().is_none_or(|error| error.kind() != ErrorKind::WouldBlock);
        assert!(in_time, "{what}: {ended:?}");
        assert!(rest.len() < 8 << 20, "{what}");
    }
    // Streams without end are turned away, and have never run.
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(&after((1..=600).flat_map(open).collect())).expect("written");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a bound");
    let (mut decoder, mut turned_away, mut block) = (FrameDecoder::default(), 0, [0; 4_096]);
    while turned_away < 600 {
        let n = stream.read(&mut block).expect("an answer to each");
        assert!(n > 0, "the connection goes on");
        decoder.push_bytes(&block[..n]);
        while let Ok(Some(frame)) = decoder.next_frame(1 << 20) {
            turned_away += u32::from(matches!(frame.message, Message::Reject { .. }));
        }
    }
    let status = sites.status(SOUTH).expect("status");
    assert_eq!(status["sites"][0]["reachable"], true, "{status}");
    assert_eq!(One::ask(&sites, SOUTH, "video", 5, 2_000.0).answer().expect("an answer").0, 1);
    clean(&sites);
}

/// A link that flaps: what is kept stays bounded, the log is quiet, and home serves as if there were none.
#[test]
fn a_flapping_link_leaves_home_alone() {
    let sites = sites("", CacheServerConfig::new);
    let load = Load { rate: 80.0, bookings: 0.2, ..Load::default() };
    let running = sites.north.load(NORTH, &load).expect("clients");
    let process = sites.north.process_id(NORTH).expect("a process");
    let descriptors = || std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
    let mut most = 0;
    for n in 0..20 {
        if n % 2 == 0 {
            sites.proxy.cut();
        } else {
            sites.proxy.clear_faults();
        }
        thread::sleep(Duration::from_millis(300));
        most = most.max(descriptors());
    }
    sites.proxy.clear_faults();
    sites.until_up().expect("the link is up");
    let ends = running.finish();
    assert!(ends.served_share(0..100) > 0.99, "{ends:?}");
    assert!(most < 120, "{most} descriptors");
    let status = sites.status(NORTH).expect("status");
    assert!(
        status["sites"][0]["flapping"] == true && status["counts"]["downs"].as_u64() < Some(12),
        "{status}"
    );
    clean(&sites);
}
