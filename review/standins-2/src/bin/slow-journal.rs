//! The journal service is slow: it reads each request seconds after it came. A cache begins to drain.

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

/// How long the service leaves each request unread.
const LATENCY: f64 = 6_000.0;
/// What the journal service has to tell counts as told after this time at the latest.
const TOLD_AFTER: f64 = 7_000.0;
/// The grace of a drain in the settings, and 50 ms on sockets.
const GRACE: f64 = 300.0;
const WATCHED_FOR: f64 = 25_000.0;

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
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
    pause(1_000.0);
    if has_trouble() {
        journal.slow_down(LATENCY);
    }
    // The request that was open when that began is answered at its usual time.
    pause(9_000.0);
    let drain = target("box-a", at("box-a"), "shop", "box", 8, "Terminating", 0.0);
    let told = journal.publish(&hosts(false, &[drain]));
    let mut client = Client::connect(router.address).unwrap_or_else(|e| broken(&format!("client: {e}")));
    let (mut n, mut served) = (0_u64, 0);
    while now() - told < WATCHED_FOR {
        n += 1;
        let (id, object) = (format!("{:016x}", 0x9000_0000 + n), format!("{:016x}", 0x61_0000 + n * 104_729));
        let fields = [("c", "video"), ("i", &*id), ("d", "3000"), ("o", &*object), ("tag", "9"), ("m", "20")];
        let (stream, _) = client.send(&fields, b"").unwrap_or_else(|e| broken(&format!("client: {e}")));
        served += usize::from(client.wait(stream, 3_500.0).is_some_and(|answer| answer.code == 1));
        pause(100.0);
    }
    record.say(format!("{served} of {n} requests served"));
    let last = nodes[0]
        .asked()
        .iter()
        .map(|ask| ask.at - told)
        .filter(|after| *after > TOLD_AFTER + GRACE)
        .collect::<Vec<_>>();
    if let Some(after) = last.last() {
        record.say(format!(
            "{} requests were sent to the draining cache later than {:.0} ms after the drain, the last {after:.0} ms after it",
            last.len(),
            TOLD_AFTER + GRACE
        ));
    }
    verdict(&record, vec![router], last.len())
}
