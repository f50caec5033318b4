//! A hundred bad clients send requests at full speed and take each back at once. The requests of the usual clients are
//! still owed their final answers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

const BAD_CLIENTS: usize = 100;
const REQUESTS: u64 = 30;
/// How long a usual client waits, in milliseconds.
const WAIT: f64 = 500.0;
/// A final answer that comes later than this after the client's time is lost: half a second, and 50 ms on sockets.
const LOST_AFTER: f64 = 550.0;

/// A client that never has more than one request open, and reads what is sent to it.
struct BadClient {
    stream: TcpStream,
    output: Vec<u8>,
    written: usize,
    last_stream: u32,
}

impl BadClient {
    fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self { stream, output: Vec::new(), written: 0, last_stream: 0 })
    }

    fn refill(&mut self, seed: u64) {
        self.output.clear();
        self.written = 0;
        while self.output.len() < 60_000 {
            self.last_stream += 1;
            let number = seed << 32 | u64::from(self.last_stream);
            let text = format!("{number:016x}");
            let fields = [("c", "video"), ("i", &*text), ("d", "1000"), ("o", &*text)];
            self.output.extend(request_frame(self.last_stream, &fields, b""));
            self.output.extend(cancel_frame(self.last_stream));
        }
    }

    /// Reads all and writes what the socket takes; returns whether the connection is still up.
    fn go_on(&mut self, seed: u64) -> bool {
        let mut block = [0; 65_536];
        loop {
            match self.stream.read(&mut block) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        for _ in 0..4 {
            if self.written == self.output.len() {
                self.refill(seed);
            }
            match self.stream.write(&self.output[self.written..]) {
                Ok(written) => self.written += written,
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }
}

fn keep_up_bad_clients(address: SocketAddr, seeds: Vec<u64>, is_over: &AtomicBool) {
    let mut clients: Vec<(u64, Option<BadClient>)> = seeds.into_iter().map(|seed| (seed, None)).collect();
    while !is_over.load(Ordering::Relaxed) {
        for (seed, client) in &mut clients {
            if !client.as_mut().is_some_and(|client| client.go_on(*seed)) {
                *client = BadClient::connect(address);
            }
        }
        pause(0.2);
    }
}

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let trouble = has_trouble();
    let asked: Arc<Mutex<Vec<Ask>>> = Arc::default();
    let (noted, notes) = (asked.clone(), record.clone());
    let cache = serve(move |ask, _| {
        notes.note(format!("cache asked id={} obj={} ms={}", ask.id, ask.field("obj"), ask.field("ms")));
        noted.lock().unwrap().push(ask);
        pause(5.0);
        Answer {
            word: "data",
            fields: format!("digest=1,dated={:.0},res=HIT", now()),
            body: vec![b'x'; 2_000],
        }
    });
    let list = [
        target("box-a", cache, "shop", "box", 40, "Ready", 0.0),
        target("box-b", cache, "shop", "box", 40, "Ready", 0.0),
        target("parent", cache, "hub", "parent", 30, "Ready", 0.0),
        target("origin", cache, "hub", "store", 20, "Ready", 0.0),
    ];
    let journal = Journal::start(&record, vec![hosts(true, &list)]);
    let text = config(journal.address, &journal.known(), &Settings::shop());
    let router = Router::start(&record, "n0", free_address(), &text, None);
    let is_over = Arc::new(AtomicBool::new(false));
    if trouble {
        for part in 0..6 {
            let (is_over, address) = (is_over.clone(), router.address);
            let seeds = (1..=BAD_CLIENTS as u64).filter(|seed| seed % 6 == part).collect();
            thread::spawn(move || keep_up_bad_clients(address, seeds, &is_over));
        }
        record.note(format!("{BAD_CLIENTS} bad clients begin"));
        pause(2_000.0);
    }
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        let (id, object) = (format!("{:016x}", 0x9000_0000 + n), format!("{:016x}", 0x61_0000 + n * 104_729));
        let (address, record) = (router.address, record.clone());
        clients.push(thread::spawn(move || {
            let mut client = Client::connect(address).ok()?;
            let wait = WAIT.to_string();
            let fields =
                [("c", "video"), ("i", &*id), ("d", &*wait), ("o", &*object), ("tag", "9"), ("m", "20")];
            let (stream, sent) = client.send(&fields, b"").ok()?;
            record
                .note(format!("client sent id={id} obj={object} d={wait}, whole at {:.1}", record.at(sent)));
            let answer = client.wait(stream, 15_000.0);
            let code = answer.as_ref().map(|answer| answer.code);
            record.note(format!(
                "client got code {code:?} for id={id}, connection ended: {}",
                client.has_ended()
            ));
            Some((id, sent, answer))
        }));
        pause(200.0);
    }
    let (mut breaches, mut served) = (0, 0);
    for client in clients {
        // Where no connection came up, nothing was taken.
        let Ok(Some((id, sent, answer))) = client.join() else { continue };
        served += usize::from(answer.as_ref().is_some_and(|answer| answer.code == 1));
        let after = answer.map(|answer| answer.at - sent);
        if after.is_none_or(|after| after > WAIT + LOST_AFTER) {
            breaches += 1;
            let when = after.map_or("none".to_string(), |after| format!("{after:.0} ms after the request"));
            record.say(format!("id={id}: final answer {when}, which waits {WAIT} ms"));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    record.say(format!("{served} of {REQUESTS} requests served"));
    verdict(&record, vec![router], breaches)
}
