//! A router starts on a machine whose clock is an hour ahead of the others'. Its configuration tells it of purges that
//! are a moment old: they have to be heeded.

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
    // How far the clocks of all other machines are from that of the router's.
    let skew = if has_trouble() { -HOUR } else { 0.0 };
    record.note(format!("the router's clock is {:.0} ms ahead of all others", -skew));
    let directory = Directory::default();
    let start = |name, upstream| {
        let fresh = Default::default();
        Store::start(
            &directory,
            &record,
            StoreSetup { name, upstream, skew: Box::new(move || skew), fresh, latency: 3.0 },
        )
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
    let settings = Settings { routers: vec![0, 2], ..Settings::shop() };
    let first_config = config(journal.address, &journal.known(), &settings);
    let first = Router::start(&record, "n1", free_address(), &first_config, None);

    let object = |n: u64| format!("{:016x}", 0x51_0000_0000 + n * 7919);
    let mut id = 0x9000_0000_u64;
    let mut ask = |router: &Router, object: &str| {
        id += 1;
        let id = format!("{id:016x}");
        let mut client = Client::connect(router.address).unwrap_or_else(|e| broken(&format!("client: {e}")));
        let fields = [("c", "video"), ("i", &*id), ("d", "3000"), ("o", object), ("tag", "9"), ("m", "20")];
        let (stream, sent) = client.send(&fields, b"").unwrap_or_else(|e| broken(&format!("client: {e}")));
        let answer = client.wait(stream, 3_500.0);
        let dated = answer.as_ref().and_then(|answer| dated_of(&answer.body));
        record.note(format!(
            "client of {} sent id={id} obj={object} at {:.1}, got code {:?}, a copy dated {:?}",
            router.name,
            record.at(sent),
            answer.as_ref().map(|answer| answer.code),
            dated.map(|dated| record.at(dated - skew))
        ));
        (sent, answer.map(|answer| answer.code), dated)
    };
    // The other router of the shop has them kept.
    for n in 0..OBJECTS {
        if ask(&first, &object(n)).1 != Some(1) {
            broken("a request without any trouble was not served");
        }
    }
    pause(1_500.0);
    let mut purged = Vec::new();
    for n in 0..OBJECTS {
        let stamp = (now() + skew).floor();
        journal.publish(&purge_object(&object(n), stamp));
        purged.push((object(n), stamp));
    }
    let (dropped, objects) = (nodes.clone(), purged.clone());
    std::thread::spawn(move || {
        pause(CLEARED_AFTER);
        objects.iter().for_each(|(object, _)| dropped.iter().for_each(|node| node.drop_object(object)));
    });
    pause(100.0);
    let second_config = config(journal.address, &journal.known(), &settings);
    let second = Router::start(&record, "n0", free_address(), &second_config, None);
    let told = now();
    pause(GRACE + 300.0);
    let mut breaches = 0;
    for (object, stamp) in &purged {
        let (sent, code, dated) = ask(&second, object);
        if code == Some(1) && sent - told > GRACE && dated.is_some_and(|dated| dated < *stamp) {
            breaches += 1;
            record.say(format!(
                "obj={object}: sent {:.0} ms after the router was ready, answered from a copy {:.0} ms older than the purge",
                sent - told,
                stamp - dated.unwrap_or(0.0)
            ));
        }
    }
    verdict(&record, vec![first, second], breaches)
}
