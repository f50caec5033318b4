//! Answers of one cache are spoilt: one is good, and copies of it follow that never end. Where the router closes that
//! connection, the next is spoilt, too. All requests of the usual clients are still owed their final answers.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

/// Bytes of an object.
const SIZE: usize = 100;
/// The copies are sent for this time, as a test has to end.
const COPIES_FOR: f64 = 12_000.0;
const REQUESTS: u64 = 50;
/// The request that is answered with copies.
const SPOILT: u64 = 10;
/// How long a usual client waits, in milliseconds.
const WAIT: f64 = 1_500.0;
/// A final answer that comes later than this after the client's time is lost: half a second, and 50 ms on sockets.
const LOST_AFTER: f64 = 550.0;

/// A cache that has all objects; the next answer after `is_spoilt` is set is followed by copies of it.
fn cache(name: &'static str, record: &Record, is_spoilt: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| broken(&format!("bind: {e}")));
    let address = listener.local_addr().unwrap_or_else(|e| broken(&format!("address: {e}")));
    let (record, is_spoilt) = (record.clone(), is_spoilt.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, is_spoilt) = (record.clone(), is_spoilt.clone());
            thread::spawn(move || {
                let _ = serve_connection(name, stream, &record, &is_spoilt);
            });
        }
    });
    address
}

fn serve_connection(
    name: &str,
    stream: TcpStream,
    record: &Record,
    is_spoilt: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let words = read_array(&mut reader)?;
        if words.first().map(Vec::as_slice) != Some(b"ASK") {
            continue;
        }
        let id = words.get(1).cloned().unwrap_or_default();
        let text = String::from_utf8_lossy(&id).into_owned();
        record.note(format!("{name} asked id={text}"));
        let fields = format!("digest=1,dated={:.0},res=HIT", now());
        let answer = write_array(&[&id, b"data", fields.as_bytes(), &[b'x'; SIZE]]);
        if !is_spoilt.swap(false, Ordering::Relaxed) {
            writer.write_all(&answer)?;
            continue;
        }
        record.note(format!("{name} sends the answer to id={text} and copies of it from now on"));
        // The first of them is the answer.
        let copies = answer.repeat(20_000);
        let (end, mut sent) = (now() + COPIES_FOR, 0);
        let mut written = Ok(());
        while now() < end && written.is_ok() {
            written = writer.write_all(&copies);
            sent += copies.len();
        }
        record.say(format!("{name} sent {} MB of copies: {written:?}", sent >> 20));
        // Where the router has closed the connection, the next answer is spoilt, too.
        is_spoilt.store(written.is_err() && now() < end, Ordering::Relaxed);
        return Ok(());
    }
}

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let trouble = has_trouble();
    let (never, is_spoilt) = (Arc::default(), Arc::default());
    let list = [
        target("box-a", cache("box-a", &record, &is_spoilt), "shop", "box", 40, "Ready", 0.0),
        target("box-b", cache("box-b", &record, &never), "shop", "box", 40, "Ready", 0.0),
        target("parent", cache("parent", &record, &never), "hub", "parent", 30, "Ready", 0.0),
        target("origin", cache("origin", &record, &never), "hub", "store", 20, "Ready", 0.0),
    ];
    let journal = Journal::start(&record, vec![hosts(true, &list)]);
    let text = config(journal.address, &journal.known(), &Settings::shop());
    let router = Router::start(&record, "n0", free_address(), &text, None);
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        if n == SPOILT && trouble {
            is_spoilt.store(true, Ordering::Relaxed);
        }
        let (id, object) = (format!("{:016x}", 0x9000_0000 + n), format!("{:016x}", 0x61_0000 + n * 104_729));
        let (address, record) = (router.address, record.clone());
        clients.push(thread::spawn(move || {
            let mut client = Client::connect(address).ok()?;
            let wait = WAIT.to_string();
            let fields =
                [("c", "video"), ("i", &*id), ("d", &*wait), ("o", &*object), ("tag", "9"), ("m", "0.1")];
            let (stream, sent) = client.send(&fields, b"").ok()?;
            record
                .note(format!("client sent id={id} obj={object} d={wait}, whole at {:.1}", record.at(sent)));
            let answer = client.wait(stream, WAIT + 10_000.0);
            let code = answer.as_ref().map(|answer| answer.code);
            record.note(format!(
                "client got code {code:?} for id={id}, connection ended: {}",
                client.has_ended()
            ));
            Some((id, sent, answer))
        }));
        pause(100.0);
    }
    let (mut breaches, mut served) = (0, 0);
    for client in clients {
        // Where no connection came up, nothing was taken.
        let Ok(Some((id, sent, answer))) = client.join() else { continue };
        served += usize::from(answer.as_ref().is_some_and(|answer| answer.code == 1));
        let after = answer.map(|answer| answer.at - sent);
        if after.is_none_or(|after| after > WAIT + LOST_AFTER) {
            breaches += 1;
            let when =
                after.map_or("none within 11.5 s".to_string(), |after| format!("{after:.0} ms after it"));
            record.say(format!("id={id}, which waits {WAIT} ms: final answer {when}"));
        }
    }
    record.say(format!("{served} of {REQUESTS} requests served in all"));
    verdict(&record, vec![router], breaches)
}
