//! A read that another site works on when the network resets one end of the link: it has one attempt at a time.
//! With the built program.

mod common;

use std::sync::mpsc::TryRecvError;
use std::thread;
use std::time::{Duration, Instant};

use common::pending_connections::*;
use common::*;
use linnethook_quickstart::{Answer, Cache, CacheEvent, Client, Journal};
use linnethook_testbed::fault_proxy::{FaultProxy, ProxyEnds};
use linnethook_testbed::recording::Recording;

const ID: &str = "00000000000000e1";
/// Longer than the test: nothing but the order of events is judged.
const DEADLINE_MS: &str = "15000";
/// The interval at which the caches are checked for events: shorter than a site takes to notice a silent link.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Two caches notice what a router sends in one turn at times that differ by less than this.
const MAX_OVERLAP: Duration = Duration::from_millis(50);

/// A site with a router, and the caches whose requests the test answers.
struct Site {
    caches: [Cache; 2],
    _others: [Cache; 2],
    _journal: Journal,
    router: Router,
}

impl Site {
    fn start(operator: &str) -> Self {
        let (a, b, parent, origin) = (manual(), manual(), echo("parent"), echo("origin"));
        let targets = ready_endpoints(a.address, b.address, parent.address, origin.address);
        let events = vec![serde_json::json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
        let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
        let router = Router::start_with(&journal, extend_timeouts, Some(operator), None);
        Self { caches: [a, b], _others: [parent, origin], _journal: journal, router }
    }

    /// What reached the caches since the last call, each with its cache.
    fn take_events(&self) -> Vec<(usize, CacheEvent)> {
        let mut events = Vec::new();
        for (cache, server) in self.caches.iter().enumerate() {
            loop {
                match server.events.try_recv() {
                    Ok(event) => events.push((cache, event)),
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => panic!("the cache has ended"),
                }
            }
        }
        events
    }

    /// The requests that reached the caches since the last call: the cache, and the connection there.
    fn take_requests(&self) -> Vec<(usize, usize)> {
        let events = self.take_events().into_iter();
        let request_of = |(cache, event)| match event {
            CacheEvent::Request { connection, .. } => Some((cache, connection)),
            _ => None,
        };
        events.filter_map(request_of).collect()
    }

    fn answer(&self, (cache, connection): (usize, usize), id: &str) {
        self.caches[cache].answer(connection, id, &Answer::data("the video")).expect("answered");
    }
}

/// Two sites: reads of clients of the north belong to the south.
struct Sites {
    north: Site,
    south: Site,
    proxy: FaultProxy,
}

impl Sites {
    fn start() -> Self {
        let gateway = free_address();
        let south =
            Site::start(&format!("gateway(site = \"south\", listen = \"{gateway}\")\nsite(\"north\")\n"));
        let sites = ["north".to_string(), "south".to_string()];
        let proxy = FaultProxy::start(ProxyEnds { sites, record: Recording::default() }).expect("a proxy");
        proxy.set_target(gateway);
        let north = Site::start(&format!(
            "gateway(site = \"north\", first = 1.0, retry_most = 0.1)\nsite(\"south\", classes = [\"video\"])\n\
             link(\"south\", connect = \"{}\")\n",
            proxy.address
        ));
        Self { north, south, proxy }
    }

    /// Asks the north for videos until one is requested at the south: its link is up. Returns the client.
    fn send_across(&self) -> Client {
        let end = Instant::now() + Duration::from_secs(10);
        let mut client = self.north.router.client();
        for stream in 1.. {
            let id = format!("{stream:016x}");
            client.ask(stream, &read(&id), b"").expect("sent");
            loop {
                assert!(Instant::now() < end, "no request is forwarded");
                let (at_north, at_south) = (self.north.take_requests(), self.south.take_requests());
                at_north.iter().for_each(|request| self.north.answer(*request, &id));
                at_south.iter().for_each(|request| self.south.answer(*request, &id));
                if !at_north.is_empty() || !at_south.is_empty() {
                    client.read().expect("an answer");
                }
                if !at_south.is_empty() {
                    return client;
                }
                if !at_north.is_empty() {
                    break;
                }
                thread::sleep(CHECK_INTERVAL);
            }
        }
        client
    }
}

fn read(id: &str) -> [(&str, &str); 5] {
    [("c", "video"), ("i", id), ("o", OBJECT_OF_B), ("d", DEADLINE_MS), ("m", "412.5")]
}

/// Where the video was requested again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextAttempt {
    AtSouth,
    AtNorth,
}

/// Has the network reset the north's end of the link while the south works on a video. Returns where the video was
/// requested next, after its first attempt was cancelled.
fn next_attempt_after_reset(reconnects: bool) -> NextAttempt {
    let sites = Sites::start();
    let mut client = sites.send_across();
    client.ask(1_000, &read(ID), b"").expect("sent");
    let end = Instant::now() + Duration::from_secs(10);
    let first = loop {
        if let Some(first) = sites.south.take_requests().pop() {
            break first;
        }
        assert!(Instant::now() < end, "the video is not forwarded");
        thread::sleep(CHECK_INTERVAL);
    };
    if !reconnects {
        sites.proxy.clear_target();
    }
    sites.proxy.reset_dialer_ends().expect("reset");
    let (mut cancelled, mut requested) = (None, None);
    let (cancelled_at, (next, requested_at)) = loop {
        if let (Some(cancelled), Some(requested)) = (cancelled, requested) {
            break (cancelled, requested);
        }
        assert!(Instant::now() < end, "cancelled: {cancelled:?}, requested again: {requested:?}");
        for (cache, event) in sites.south.take_events() {
            match event {
                // The router closes the connection if nothing else is open on it.
                CacheEvent::Cancel { connection, .. } | CacheEvent::Closed { connection }
                    if (cache, connection) == first =>
                {
                    cancelled.get_or_insert_with(Instant::now);
                }
                CacheEvent::Request { connection, .. } => {
                    requested.get_or_insert_with(|| (NextAttempt::AtSouth, Instant::now()));
                    sites.south.answer((cache, connection), ID);
                }
                _ => {}
            }
        }
        for request in sites.north.take_requests() {
            requested.get_or_insert_with(|| (NextAttempt::AtNorth, Instant::now()));
            sites.north.answer(request, ID);
        }
        thread::sleep(CHECK_INTERVAL);
    };
    assert_eq!(client.read().expect("an answer").code, SERVED);
    let overlap = cancelled_at.saturating_duration_since(requested_at);
    assert!(overlap <= MAX_OVERLAP, "two attempts for {overlap:?}");
    next
}

/// Guards against two attempts of a video at once: the network reset one end of the link, and the home site asked
/// its own cache while the other site, whose end was open and silent, still worked on the video.
#[test]
fn a_video_is_requested_here_only_after_the_other_site_has_cancelled_it() {
    assert_eq!(next_attempt_after_reset(false), NextAttempt::AtNorth);
}

/// Guards against the same at the other site, which is asked again over a new connection.
#[test]
fn a_video_is_requested_again_over_a_new_link_only_after_its_first_attempt_was_cancelled() {
    assert_eq!(next_attempt_after_reset(true), NextAttempt::AtSouth);
}
