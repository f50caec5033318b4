//! A keyed booking that crosses to another site: is it sent again after the store has forgotten its key?
//!
//! Two sites with a router each and one central store. The bookings are at home at the south, so the router of the
//! north passes them on over the link. With the disruption, the store's answers to the south's router get lost: the
//! store runs the booking, and the south's router hears nothing.

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::error::Error;
use std::path::Path;
use std::sync::{Arc, Mutex};

use common::*;

/// How long the store remembers a key, as the settings tell.
const WINDOW_MS: f64 = 1_000.0;
/// Every time limit is longer by this on sockets.
const SLACK_MS: f64 = 50.0;
const DEADLINE_MS: u32 = 3_000;
const BOOKINGS: usize = 5;

#[derive(Default)]
struct Store {
    /// For each key, when requests with it arrived whole, and from which router.
    arrived: HashMap<String, Vec<(f64, &'static str)>>,
    /// For each key, when it ran.
    ran: HashMap<String, Vec<f64>>,
}

fn settings(zone: usize) -> String {
    format!(
        r#"{{"allowed":{{"conn-idle":15000,"connect-timeout":400,"max-attempts":6,"max-open":20000,
        "max-retry-after":2000,"may-cancel":true,"parallel-tries":false,"peers":true,"probes":true,"retry-after":true,
        "streams-per-conn":100}},"balancers":2,"dcs":["north","south","hub"],"discovery":"pushed",
        "family-info":{{"bypass-allowed":true,"class-parts":[true,false,false],"cleared-within":6000,
        "flow-kb-per-s":5000,"grace-for":[0,20000,0],"max-age":[0,12000,0],"merges-fills":false,"notice-time":1000,
        "old-copy-worth":[1,0.7,1],"parent-fall-multiple":2,"parent-floor":0.07,"parent-warms-in":22000,
        "pass-on":[false,false,true],"peers-fill":"any","seats-by-zone":[1,1,0],"second-tier-kind":1,"store-kind":2,
        "tells":"all"}},
        "grades":[{{"name":"fit-video","objective":400,"aim-stretch":2,"deadline":5000,"effect":"read_like",
        "late-worth":0.15,"worth":2}},{{"name":"catalog-item","objective":300,"aim-stretch":2,"deadline":2500,
        "effect":"read_like","late-worth":0.2,"worth":1}},{{"name":"job-booking","objective":800,
        "deadline":{DEADLINE_MS},"effect":"idempotency_key","dedup-scope":"all","window":{WINDOW_MS},"late-worth":0,
        "worth":3}}],"kinds":["std-box","parent","origin"],"locality":{zone},
        "report":{{"how":"on_probe","fields":["outstanding","utilization","x1","x0"]}},"resolution":2,
        "rules":{{"cold":16000,"drain-grace":250,"fall":3000,"fall-multiple":3,"start-capacity":0.23}}}}"#
    )
}

/// The store as one router reaches it.
fn store_for(router: &'static str, store: &Arc<Mutex<Store>>, record: &Record) -> std::io::Result<std::net::SocketAddr> {
    let (store, record) = (store.clone(), record.clone());
    serve_cache(move |seen| match seen {
        Seen::Asked(ask) => {
            let mut all = store.lock().expect("the store");
            all.arrived.entry(ask.id.clone()).or_default().push((ask.at, router));
            let ran = all.ran.entry(ask.id.clone()).or_default();
            // A repeat within the window is dropped: it gets the answer of the one that ran.
            let repeat = ran.last().is_some_and(|at| ask.at - at < WINDOW_MS);
            if !repeat {
                ran.push(ask.at);
            }
            let what = if repeat { "drops the repeat of" } else { "RUNS" };
            record.note_at(ask.at, &format!("store {what} {} asked by the router of the {router}", ask.id));
            drop(all);
            ask.answer("data", &format!("res=MISS_ORIGIN,first=1,digest=d{},dated={}", ask.id, ask.at as u64), b"booked");
        }
        Seen::GivenUp { at, id, how } => record.note_at(at, &format!("store: {id} given up by the router of the {router} ({how})")),
    })
}

fn cache(name: &'static str, record: &Record) -> std::io::Result<std::net::SocketAddr> {
    let record = record.clone();
    serve_cache(move |seen| {
        if let Seen::Asked(ask) = seen {
            record.note_at(ask.at, &format!("{name} is asked for {}", ask.id));
            ask.answer("data", &format!("res=HIT,first=0,digest=d1,dated={}", ask.at as u64), b"page");
        }
    })
}

fn run(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let record = Record::create(&folder.join("record.txt"))?;
    let files = Folder::create()?;
    record.note(if trouble() { "with the disruption" } else { "without the disruption" });
    let store = Arc::new(Mutex::new(Store::default()));
    let north_store = store_for("north", &store, &record)?;
    let south_store = store_for("south", &store, &record)?;
    let proxy = Proxy::start(south_store)?;
    let (north_cache, south_cache) = (cache("north-box", &record)?, cache("south-box", &record)?);
    let parent = cache("hub-cache", &record)?;
    let list = |store| {
        hosts(
            true,
            &[
                target("n-box", north_cache, "north", "std-box", 6, "Ready"),
                target("s-box", south_cache, "south", "std-box", 6, "Ready"),
                target("h-parent", parent, "hub", "parent", 20, "Ready"),
                target("h-store", store, "hub", "origin", 20, "Ready"),
            ],
        )
    };
    let (north_journal, south_journal) = (Journal::start(&[list(north_store)])?, Journal::start(&[list(proxy.address)])?);
    let link = free_address();
    let south_operator = format!("gateway(site = \"south\", listen = \"{link}\")\nsite(\"north\")\n");
    let north_operator = format!(
        "gateway(site = \"north\")\nsite(\"south\", classes = [\"job-booking\"])\nlink(\"south\", connect = \"{link}\")\n"
    );
    let start = |name, journal, zone, operator: &str| {
        let settings = settings(zone);
        let setup = RouterSetup { name, journal, settings: &settings, operator: Some(operator), folder: &files.0, sockets: 1024, memory_mb: 192 };
        Router::start(&setup)
    };
    let mut south = start("s0", &south_journal, 1, &south_operator)?;
    let mut north = start("n0", &north_journal, 0, &north_operator)?;
    // The share that may cross a new link rises to all within 2.5 s.
    sleep_ms(5_000);
    let ask = |n: usize| {
        let (id, object) = (format!("{:016x}", 0x00b0_0c00 + n), format!("{:016x}", 0x0b7e_c700 + 977 * n));
        ask_once(north.address, &record, "job-booking", &id, &object, DEADLINE_MS, &[("m", "20")], b"a slot")
    };
    // A first booking, undisturbed in both runs, shows that the south serves them.
    ask(0).ok_or("the first booking has no answer")?;
    let served_by = |id: &str| store.lock().expect("the store").arrived.get(id).and_then(|all| all.first()).map(|first| first.1);
    if served_by(&format!("{:016x}", 0x00b0_0c00)) != Some("south") {
        return Err("the first booking was not passed on to the south".into());
    }
    if trouble() {
        record.note("from here on the store's answers to the router of the south get lost");
        proxy.set(Flow::Pass, Flow::Silent);
    }
    std::thread::scope(|scope| {
        for n in 1..=BOOKINGS {
            scope.spawn(move || ask(n));
            sleep_ms(150);
        }
    });
    sleep_ms(1_500);
    for router in [&mut north, &mut south] {
        if let Some(status) = router.ended() {
            return Err(format!("router {} has ended: {status}", router.name).into());
        }
    }
    let store = store.lock().expect("the store");
    let mut broken = false;
    let mut ids: Vec<&String> = store.arrived.keys().collect();
    ids.sort();
    for id in ids {
        let arrived = &store.arrived[id];
        let first = arrived[0].0;
        let runs = store.ran[id].len();
        let late: Vec<f64> = arrived.iter().map(|(at, _)| at - first).filter(|after| *after > WINDOW_MS + SLACK_MS).collect();
        let held = late.is_empty() && runs == 1;
        broken |= !held;
        record.note(&format!(
            "{id}: sent {} times, run {runs} times; later than {WINDOW_MS} + {SLACK_MS} ms after the first: {late:.0?} ms{}",
            arrived.len(),
            if held { "" } else { " BROKEN" }
        ));
    }
    Ok(broken)
}

fn main() -> std::process::ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    finish(run(Path::new(&folder)))
}
