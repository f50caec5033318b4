//! A fleet with a cache whose connections begin and do not come up, and ways in which its clients leave.

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use linnethook_quickstart::client::request;
use linnethook_quickstart::{Answer, Cache, CacheEvent, Client, Journal};
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use socket2::SockRef;

use super::*;

/// An object whose owner is `cache-a`, and one whose owner is `cache-b`: the ring goes by names alone.
pub const OF_A: &str = "0000000000000003";
pub const OF_B: &str = "0000000000000001";

pub fn video<'a>(id: &'a str, object: &'a str) -> [(&'a str, &'a str); 7] {
    [("c", "video"), ("i", id), ("o", object), ("d", "20000"), ("chunk", "0"), ("tag", "17"), ("m", "9000")]
}

pub fn booking<'a>(id: &'a str, wait: &'a str) -> [(&'a str, &'a str); 4] {
    [("c", "booking"), ("i", id), ("o", "00000000000000b0"), ("d", wait)]
}

/// A connect may last for longer than anything that happens in a test, and so may a request.
pub fn patient(config: &mut Value) {
    config["settings"]["allowed"]["connect-timeout"] = json!(15_000);
    config["settings"]["grades"][0]["deadline"] = json!(20_000);
}

/// A fleet whose `cache-a` has its door shut.
pub struct Shut {
    pub door: Option<Late>,
    pub at_the_door: SocketAddr,
    pub b: Cache,
    pub parent: Cache,
    pub origin: Cache,
    pub journal: Journal,
    pub router: Router,
}

pub fn all(a: SocketAddr, b: SocketAddr, parent: SocketAddr, origin: SocketAddr) -> Vec<Value> {
    let hosts = [("cache-a", a), ("cache-b", b), ("parent", parent), ("origin", origin)];
    hosts.iter().map(|(uid, address)| host(uid, *address, "Ready")).collect()
}

pub fn shut(change: impl Fn(&mut Value)) -> Shut {
    shut_with(echo("b"), change)
}

pub fn shut_with(b: Cache, change: impl Fn(&mut Value)) -> Shut {
    let (door, parent, origin) = (Late::new(), echo("parent"), echo("origin"));
    let targets = all(door.address, b.address, parent.address, origin.address);
    let known = vec![json!({"hosts": {"rev": 1, "all": true, "targets": targets}})];
    let journal = Journal::start("127.0.0.1:0", known).expect("the journal listens");
    let change = |config: &mut Value| {
        patient(config);
        change(config);
    };
    let router = Router::start_with(&journal, change, None, None);
    Shut { at_the_door: door.address, door: Some(door), b, parent, origin, journal, router }
}

impl Shut {
    pub fn hosts(&self) -> Vec<Value> {
        all(self.at_the_door, self.b.address, self.parent.address, self.origin.address)
    }

    /// Tells something, and waits until the router has taken it in: it asks for what comes after.
    pub fn tell(&self, event: Value) {
        let before = self.journal.known()["pos"].as_u64().expect("a number");
        self.journal.publish(event);
        wait(&self.journal.polls, |tail| *tail == before + 1);
    }

    /// A client one of whose requests waits for a connection to `cache-a`.
    pub fn waiting(&self) -> Client {
        let mut client = self.router.client();
        client.ask(1, &video("00000000000000e1", OF_A), b"").expect("sent");
        // Both are read in their order: with the answer to the second the first one is on its way.
        client.ask_ready(2).expect("sent");
        assert_eq!(client.read().expect("an answer").stream, 2);
        client
    }

    /// Opens the door; whoever waits is taken in.
    pub fn open(&mut self) -> Cache {
        let door = self.door.take().expect("its door is shut");
        door.open(|id, _, _| Some(Answer::data(format!("a {id}"))))
    }

    /// Opens the door, lets the router end, and tells what has come in there.
    pub fn remaining_requests(&mut self) -> Vec<Fields> {
        let a = self.open();
        // A connect that got no answer is tried again by the system a second later.
        std::thread::sleep(Duration::from_millis(1_500));
        self.router.signal(Signal::SIGTERM);
        self.router.ended();
        let fields = |event| match event {
            CacheEvent::Request { fields, .. } => Some(fields),
            _ => None,
        };
        a.events.try_iter().filter_map(fields).collect()
    }
}

/// The ways in which a client leaves.
pub const MANNERS: [&str; 4] = ["a frame", "an orderly end", "one direction", "a reset"];

/// Has a client leave. What stays of its connection has to be kept for as long as it is not to end otherwise.
pub fn leave(mut client: Client, manner: &str, streams: &[u32]) -> Option<Client> {
    match manner {
        "a frame" => streams.iter().for_each(|stream| client.give_up(*stream).expect("sent")),
        "an orderly end" => return None,
        "one direction" => client.stream.shutdown(Shutdown::Write).expect("closed"),
        _ => {
            let now = Some(Duration::ZERO);
            SockRef::from(&client.stream).set_linger(now).expect("a reset at its end");
            return None;
        }
    }
    Some(client)
}

/// A request for something small that `cache-b` holds.
pub fn small(id: &str) -> [(&str, &str); 5] {
    [("c", "video"), ("i", id), ("o", OF_B), ("d", "20000"), ("m", "412.5")]
}

/// Has a client ask for 31 answers of `cache-b`, from that stream on, and take none of them. All are there.
pub fn hoard(router: &Router, client: &mut Client, first: u32) {
    ask_much(client, first);
    counted(router, |counters| counters.contains("served=31 "));
}

/// Has a client ask for 31 answers, from that stream on, in one go: once it is behind, it is read no further.
pub fn ask_much(client: &mut Client, first: u32) {
    let mut bytes = Vec::new();
    for stream in first..first + 31 {
        bytes.extend(request(stream, &small(&format!("{stream:016x}")), b""));
    }
    client.stream.write_all(&bytes).expect("sent");
}

/// Has the router tell its counters until they are as is wanted.
pub fn counted(router: &Router, wanted: impl Fn(&str) -> bool) {
    router.signal(Signal::SIGUSR1);
    while !wanted(&router.logged("counters")) {
        router.signal(Signal::SIGUSR1);
    }
}

/// What a client is to be sent must not lie on its way.
pub fn small_buffer(client: &Client) {
    SockRef::from(&client.stream).set_recv_buffer_size(4_096).expect("a small buffer");
}
