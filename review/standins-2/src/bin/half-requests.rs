//! Some hundreds of bad clients announce a longer request than they send, and come again as soon as they are turned
//! away. The requests of the usual clients, on new connections, are still owed their final answers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

const BAD_CLIENTS: usize = 300;
const REQUESTS: u64 = 30;
/// How long a usual client waits, in milliseconds.
const WAIT: f64 = 1_500.0;
/// A final answer that comes later than this after the client's time is lost: half a second, and 50 ms on sockets.
const LOST_AFTER: f64 = 550.0;

/// Connects, and sends a head that announces 32 KB, and one byte of them.
fn bad_client(address: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(&[0, 0, 0x80, 0, 65, 0, 0, 0, 1, 5]).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

/// Keeps up so many bad clients until `is_over`.
fn keep_up_bad_clients(address: SocketAddr, count: usize, is_over: &AtomicBool) {
    let mut streams: Vec<Option<TcpStream>> = (0..count).map(|_| bad_client(address)).collect();
    while !is_over.load(Ordering::Relaxed) {
        for stream in &mut streams {
            let has_ended = stream.as_mut().map_or(true, |stream| match stream.read(&mut [0; 512]) {
                Ok(read) => read == 0,
                Err(error) => error.kind() != ErrorKind::WouldBlock,
            });
            if has_ended {
                *stream = bad_client(address);
            }
        }
        pause(3.0);
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
    // The pages give a router 256 to 1,024 descriptors.
    let text = config(journal.address, &journal.known(), &Settings::shop());
    let text = text.replace("\"sockets\":1024", "\"sockets\":256");
    let router = Router::start(&record, "n0", free_address(), &text, None);
    let is_over = Arc::new(AtomicBool::new(false));
    if trouble {
        for part in 0..10 {
            let (is_over, address) = (is_over.clone(), router.address);
            let count = BAD_CLIENTS / 10 + usize::from(part < BAD_CLIENTS % 10);
            thread::spawn(move || keep_up_bad_clients(address, count, &is_over));
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
            let answer = client.wait(stream, 10_000.0);
            let code = answer.as_ref().map(|answer| answer.code);
            let is_shut = code.is_none() && client.has_ended();
            record.note(format!(
                "client got code {code:?} for id={id}{}",
                if is_shut { ", shut unread" } else { "" }
            ));
            Some((id, sent, answer, is_shut))
        }));
        pause(200.0);
    }
    let (mut breaches, mut in_vain) = (0, 0);
    for client in clients {
        // Where no connection came up, nothing was taken.
        let Ok(Some((id, sent, answer, is_shut))) = client.join() else { continue };
        let asked = asked.lock().unwrap();
        in_vain += asked.iter().filter(|ask| ask.id == id && ask.at > sent + WAIT).count();
        let after = answer.map(|answer| answer.at - sent);
        // A new connection may be shut unread while clients fill the descriptors.
        let is_lost = !is_shut && after.is_none_or(|after| after > WAIT + LOST_AFTER);
        breaches += usize::from(is_lost);
        if is_lost {
            record.say(match after {
                Some(after) => {
                    format!("id={id}: final answer {after:.0} ms after the request, which waits {WAIT} ms")
                }
                None => format!("id={id}: no final answer within 10 s, the connection stays open"),
            });
        }
    }
    is_over.store(true, Ordering::Relaxed);
    record.say(format!("{in_vain} attempts began after their client's time"));
    verdict(&record, vec![router], breaches)
}
