//! A router starts on a machine whose clock is an hour ahead of the others'. Its configuration tells it that one of two
//! parents has just started: it must not be pushed over.

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

const HOUR: f64 = 3_600_000.0;
/// What the settings say of a parent: its share at the start, when it is warm, the multiple and the time of a fall.
const FLOOR: f64 = 0.07;
const WARM_AFTER: f64 = 22_000.0;
const MULTIPLE: f64 = 2.0;
const FALL: f64 = 3_000.0;
/// Transfers that it can send at once, and the time of one.
const CAPACITY: f64 = 8.0;
const WORK: f64 = 100.0;
const REQUESTS_PER_S: f64 = 100.0;
const LENGTH: f64 = 9_000.0;

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
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
    let others = [
        start("box-a", Some("parent")),
        start("box-b", Some("parent")),
        start("parent-warm", Some("origin")),
        start("origin", None),
    ];
    let at = |name: &str| directory.get(name).unwrap_or_else(|| broken("no address"));
    // One of the two parents starts now.
    let parent = start("parent-cold", Some("origin"));
    let began = now();
    let list = [
        target("box-a", at("box-a"), "shop", "box", 40, "Ready", 0.0),
        target("box-b", at("box-b"), "shop", "box", 40, "Ready", 0.0),
        target("parent-warm", at("parent-warm"), "hub", "parent", CAPACITY as u32, "Ready", 0.0),
        target("parent-cold", at("parent-cold"), "hub", "parent", CAPACITY as u32, "Ready", began + skew),
        target("origin", at("origin"), "hub", "store", 60, "Ready", 0.0),
    ];
    let journal = Journal::start(&record, vec![hosts(true, &list)]);
    let router_config = config(journal.address, &journal.known(), &Settings::shop());
    let router = Router::start(&record, "n0", free_address(), &router_config, None);

    let size = format!("{WORK}");
    let mut clients = Vec::new();
    let mut served = 0;
    let (first, mut sent) = (now(), 0_u64);
    while now() - first < LENGTH {
        let due = ((now() - first) / 1000.0 * REQUESTS_PER_S) as u64;
        while sent < due {
            sent += 1;
            let (id, object) =
                (format!("{:016x}", 0x9000_0000 + sent), format!("{:016x}", 0x61_0000 + sent * 104_729));
            if sent % 30 == 1 {
                clients.push((
                    Client::connect(router.address).unwrap_or_else(|e| broken(&format!("client: {e}"))),
                    vec![],
                ));
            }
            let Some((client, streams)) = clients.last_mut() else { continue };
            let fields =
                [("c", "video"), ("i", &*id), ("d", "3000"), ("o", &*object), ("tag", "9"), ("m", &*size)];
            streams.push(client.send(&fields, b"").unwrap_or_else(|e| broken(&format!("client: {e}"))).0);
        }
        pause(2.0);
    }
    for (client, streams) in &clients {
        served +=
            streams.iter().filter(|stream| client.wait(**stream, 500.0).is_some_and(|a| a.code == 1)).count();
    }
    record.say(format!("{served} of {sent} requests served"));
    // What the settings allow it in the time before each request, rising in a line.
    let asked: Vec<f64> = parent.asked().iter().map(|ask| ask.at - began).collect();
    let (mut breaches, mut worst) = (0, (0.0, 0, 0.0));
    for (n, at) in asked.iter().enumerate() {
        let from = (at - FALL).max(0.0);
        let share = FLOOR + (1.0 - FLOOR) * (from + at) / 2.0 / WARM_AFTER;
        let allowed = share * MULTIPLE * CAPACITY * (FALL / WORK);
        let bound = if allowed < 30.0 {
            allowed + 3.0 * allowed.sqrt() + 3.0
        } else {
            allowed + 2.0 * allowed.sqrt() + 2.0
        };
        let count = asked[..=n].iter().filter(|other| **other > at - FALL).count();
        breaches += usize::from(count as f64 > bound);
        if count as f64 / bound > worst.0 {
            worst = (count as f64 / bound, count, bound);
        }
    }
    record.note(format!("{} requests came to the warm parent", others[2].asked().len()));
    record.say(format!(
        "{} requests came to the cold parent; at the worst {} in {FALL} ms, {:.0} allowed",
        asked.len(),
        worst.1,
        worst.2
    ));
    verdict(&record, vec![router], breaches)
}
