//! A fleet with a cache whose connections stay pending, and the ways in which a client disconnects.

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, Cache, CacheEvent, Client, Journal};
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use socket2::SockRef;

use super::*;

/// An object whose owner is `cache-a`. Owners depend on the names of the caches alone.
pub const OBJECT_OF_A: &str = "0000000000000003";
/// An object whose owner is `cache-b`.
pub const OBJECT_OF_B: &str = "0000000000000001";

/// The number of requests of one call of `send_small_requests`.
pub const SMALL_REQUESTS: u32 = 31;

/// The fields of a read.
pub fn video<'a>(id: &'a str, object: &'a str) -> [(&'a str, &'a str); 7] {
    [("c", "video"), ("i", id), ("o", object), ("d", "20000"), ("chunk", "0"), ("tag", "17"), ("m", "9000")]
}

/// The fields of a write with a deadline in milliseconds.
pub fn booking<'a>(id: &'a str, deadline: &'a str) -> [(&'a str, &'a str); 4] {
    [("c", "booking"), ("i", id), ("o", "00000000000000b0"), ("d", deadline)]
}

/// Sets a connect timeout and a request deadline that are longer than any test.
pub fn extend_timeouts(config: &mut Value) {
    config["settings"]["allowed"]["connect-timeout"] = json!(15_000);
    config["settings"]["grades"][0]["deadline"] = json!(20_000);
}

/// A fleet in which connections to `cache-a` stay pending until the test accepts them.
pub struct PendingFleet {
    /// The listener of `cache-a`, until its connections are accepted.
    pub listener: Option<PendingListener>,
    /// The address of `cache-a`.
    pub a_address: SocketAddr,
    pub b: Cache,
    pub parent: Cache,
    pub origin: Cache,
    pub journal: Journal,
    pub router: Router,
}

/// Starts such a fleet with changes to the router's configuration.
pub fn pending_fleet(change: impl Fn(&mut Value)) -> PendingFleet {
    pending_fleet_with(echo("b"), change)
}

/// The same with another `cache-b`.
pub fn pending_fleet_with(b: Cache, change: impl Fn(&mut Value)) -> PendingFleet {
    pending_fleet_with_operator(b, change, None)
}

/// The same with an operator file.
pub fn pending_fleet_with_operator(
    b: Cache,
    change: impl Fn(&mut Value),
    operator: Option<&str>,
) -> PendingFleet {
    let (listener, parent, origin) = (PendingListener::new(), echo("parent"), echo("origin"));
    let targets = ready_endpoints(listener.address, b.address, parent.address, origin.address);
    let events = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", events).expect("the journal listens");
    let change = |config: &mut Value| {
        extend_timeouts(config);
        change(config);
    };
    let router = Router::start_with(&journal, change, operator, None);
    PendingFleet { a_address: listener.address, listener: Some(listener), b, parent, origin, journal, router }
}

impl PendingFleet {
    /// The endpoint list of the fleet.
    pub fn endpoints(&self) -> Vec<Value> {
        ready_endpoints(self.a_address, self.b.address, self.parent.address, self.origin.address)
    }

    /// Publishes an event, and waits until the router has processed it: it polls for the next one then.
    pub fn publish(&self, event: Value) {
        let before = self.journal.known()["pos"].as_u64().expect("a number");
        self.journal.publish(event);
        wait(&self.journal.polls, |position| *position == before + 1);
    }

    /// A client with one request that waits for a connection to `cache-a`.
    pub fn client_with_pending_request(&self) -> Client {
        let mut client = self.router.client();
        client.ask(1, &video("00000000000000e1", OBJECT_OF_A), b"").expect("sent");
        // Both are read in order: once the second is answered, the attempt of the first has begun.
        client.ask_ready(2).expect("sent");
        assert_eq!(client.read().expect("an answer").stream, 2);
        client
    }

    /// Accepts the pending connections to `cache-a`, and all later ones.
    pub fn accept_connections(&mut self) -> Cache {
        let listener = self.listener.take().expect("connections are still pending");
        listener.accept_connections(|id, _, _| Some(Answer::data(format!("a {id}"))))
    }

    /// Accepts the connections to `cache-a`, stops the router, and returns the requests that arrived on them.
    pub fn remaining_requests(&mut self) -> Vec<Fields> {
        let a = self.accept_connections();
        // The system retransmits an unanswered SYN after a second.
        std::thread::sleep(Duration::from_millis(1_500));
        self.router.signal(Signal::SIGTERM);
        self.router.wait_for_exit();
        let fields = |event| match event {
            CacheEvent::Request { fields, .. } => Some(fields),
            _ => None,
        };
        a.events.try_iter().filter_map(fields).collect()
    }
}

/// How a client abandons its open requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Disconnect {
    /// It cancels each of them by a frame and stays connected.
    CancelFrames,
    /// It closes its connection.
    Close,
    /// It closes only the direction to the router.
    HalfClose,
    /// It resets its connection.
    Reset,
}

/// Every kind of disconnect.
pub const DISCONNECTS: [Disconnect; 4] =
    [Disconnect::CancelFrames, Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset];

/// Disconnects a client. The caller keeps the client that is returned, if any: dropping it closes the
/// connection.
pub fn disconnect(mut client: Client, how: Disconnect, streams: &[u32]) -> Option<Client> {
    match how {
        Disconnect::CancelFrames => {
            streams.iter().for_each(|stream| client.give_up(*stream).expect("sent"));
        }
        Disconnect::Close => return None,
        Disconnect::HalfClose => client.stream.shutdown(Shutdown::Write).expect("closed"),
        Disconnect::Reset => {
            let linger = Some(Duration::ZERO);
            SockRef::from(&client.stream).set_linger(linger).expect("closing resets the connection");
            return None;
        }
    }
    Some(client)
}

/// The fields of a request for a small object that `cache-b` holds.
pub fn small_object(id: &str) -> [(&str, &str); 5] {
    [("c", "video"), ("i", id), ("o", OBJECT_OF_B), ("d", "20000"), ("m", "412.5")]
}

/// Sends `SMALL_REQUESTS` requests, whose streams begin at `first`, reads no answer, and waits until all are
/// answered.
pub fn leave_answers_unread(router: &Router, client: &mut Client, first: u32) {
    send_small_requests(client, first);
    wait_for_counters(router, |counters| counters.contains(&format!("served={SMALL_REQUESTS} ")));
}

/// Sends `SMALL_REQUESTS` requests in one write: the router stops reading a client with too many unread
/// answers.
pub fn send_small_requests(client: &mut Client, first: u32) {
    let mut bytes = Vec::new();
    for stream in first..first + SMALL_REQUESTS {
        bytes.extend(request(stream, &small_object(&format!("{stream:016x}")), b""));
    }
    client.stream.write_all(&bytes).expect("sent");
}

/// Has the router print its counters until they meet a condition, which must occur.
pub fn wait_for_counters(router: &Router, condition: impl Fn(&str) -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    router.signal(Signal::SIGUSR1);
    loop {
        let counters = router.wait_for_log("counters");
        if condition(&counters) {
            return;
        }
        assert!(Instant::now() < end, "the condition does not occur: {counters}");
        router.signal(Signal::SIGUSR1);
    }
}

/// Keeps unread answers in the router's buffers rather than in the client's receive buffer.
pub fn shrink_receive_buffer(client: &Client) {
    SockRef::from(&client.stream).set_recv_buffer_size(4_096).expect("a small buffer");
}
