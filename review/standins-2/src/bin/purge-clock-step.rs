//! The clock of the journal service's machine is an hour ahead, and is set right. A purge that is told afterwards,
//! with the right stamp, has to be heeded.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

const HOUR: f64 = 3_600_000.0;
/// The grace of a purge in the settings, and 50 ms on sockets.
const GRACE: f64 = 1_050.0;
/// Caches drop older copies by themselves within 6 s; these do so late in that time.
const CLEARED_AFTER: f64 = 5_000.0;
const OBJECTS: u64 = 12;

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let trouble = has_trouble();
    let is_ahead = Arc::new(AtomicBool::new(trouble));
    let directory = Directory::default();
    let start = |name, upstream| {
        let (skew, fresh) = (Box::new(|| 0.0), Default::default());
        Store::start(&directory, &record, StoreSetup { name, upstream, skew, fresh, latency: 3.0 })
    };
    let nodes = [
        start("box-a", Some("parent")),
        start("box-b", Some("parent")),
        start("parent", Some("origin")),
        start("origin", None),
    ];
    let at = |name: &str| directory.get(name).unwrap_or_else(|| broken("no address"));
    let list = [
        target("box-a", at("box-a"), "shop", "box", 8, "Ready", 0.0),
        target("box-b", at("box-b"), "shop", "box", 8, "Ready", 0.0),
        target("parent", at("parent"), "hub", "parent", 30, "Ready", 0.0),
        target("origin", at("origin"), "hub", "store", 20, "Ready", 0.0),
    ];
    let journal = Journal::start(&record, vec![hosts(true, &list)]);
    let router_config = config(journal.address, &journal.known(), &Settings::shop());
    let router = Router::start(&record, "n0", free_address(), &router_config, None);
    let journal_clock = || now() + if is_ahead.load(Ordering::Relaxed) { HOUR } else { 0.0 };
    pause(500.0);

    let object = |n: u64| format!("{:016x}", 0x51_0000_0000 + n * 7919);
    let mut client = Client::connect(router.address).unwrap_or_else(|e| broken(&format!("client: {e}")));
    let mut id = 0x9000_0000_u64;
    let mut ask = |client: &mut Client, object: &str| {
        id += 1;
        let id = format!("{id:016x}");
        let fields = [("c", "video"), ("i", &*id), ("d", "3000"), ("o", object), ("tag", "9"), ("m", "20")];
        let (stream, sent) = client.send(&fields, b"").unwrap_or_else(|e| broken(&format!("client: {e}")));
        let answer = client.wait(stream, 3_500.0);
        let dated = answer.as_ref().and_then(|answer| dated_of(&answer.body));
        record.note(format!(
            "client sent id={id} obj={object} at {:.1}, got code {:?}, a copy dated {:?}",
            record.at(sent),
            answer.as_ref().map(|answer| answer.code),
            dated.map(|dated| record.at(dated))
        ));
        (sent, answer.map(|answer| answer.code), dated)
    };
    // All are kept by the caches, with copies that are seconds old when they are purged.
    for n in 0..OBJECTS {
        if ask(&mut client, &object(n)).1 != Some(1) {
            broken("a request without any trouble was not served");
        }
    }
    // A purge of another object, with the stamp of a clock that is ahead.
    journal.publish(&purge_object("00000000000000aa", journal_clock()));
    pause(1_000.0);
    // The clock is set right.
    is_ahead.store(false, Ordering::Relaxed);
    record.note(format!(
        "the journal's clock is right{}",
        if trouble { ": it was stepped back by an hour" } else { "" }
    ));
    pause(1_000.0);

    let mut told = Vec::new();
    for n in 0..OBJECTS {
        let stamp = journal_clock().floor();
        told.push((object(n), stamp, journal.publish(&purge_object(&object(n), stamp))));
    }
    let (dropped, objects) = (nodes.clone(), told.clone());
    std::thread::spawn(move || {
        pause(CLEARED_AFTER);
        objects.iter().for_each(|(object, _, _)| dropped.iter().for_each(|node| node.drop_object(object)));
    });
    pause(GRACE + 300.0);
    let mut breaches = 0;
    for (object, stamp, told) in &told {
        client = Client::connect(router.address).unwrap_or_else(|e| broken(&format!("client: {e}")));
        let (sent, code, dated) = ask(&mut client, object);
        if code == Some(1) && sent - told > GRACE && dated.is_some_and(|dated| dated < *stamp) {
            breaches += 1;
            record.say(format!(
                "obj={object}: sent {:.0} ms after the purge was told, answered from a copy {:.0} ms older than the purge",
                sent - told,
                stamp - dated.unwrap_or(0.0)
            ));
        }
    }
    verdict(&record, vec![router], breaches)
}
