//! Not one of the three cases: a journal service each of whose answers comes 3 s late. Does the router learn of a drain?
//!
//! Usage: `RUN_COMMAND="..." slow_journal FOLDER`; DELAY_MS sets how late the answers are.

#[path = "common.rs"]
mod common;

use std::error::Error;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::*;

/// What the journal service has to tell counts as told by then, and a drain is kept so long after; and the slack.
const TOLD_MS: f64 = 7_000.0 + 250.0 + 50.0;

fn settings() -> String {
    r#"{"allowed":{"conn-idle":15000,"connect-timeout":400,"max-attempts":6,"max-open":20000,"max-retry-after":2000,
        "may-cancel":true,"parallel-tries":false,"peers":false,"probes":true,"retry-after":true,"streams-per-conn":100},
        "balancers":1,"dcs":["centre","hub"],"discovery":"pushed",
        "family-info":{"bypass-allowed":true,"class-parts":[true,false,false],"cleared-within":6000,
        "flow-kb-per-s":5000,"grace-for":[0,20000,0],"max-age":[0,12000,0],"merges-fills":false,"notice-time":1000,
        "old-copy-worth":[1,0.7,1],"parent-fall-multiple":2,"parent-floor":0.07,"parent-warms-in":22000,
        "pass-on":[false,false,true],"peers-fill":"any","seats-by-zone":[1,0],"second-tier-kind":1,"store-kind":2,
        "tells":"all"},
        "grades":[{"name":"fit-video","objective":400,"aim-stretch":2,"deadline":5000,"effect":"read_like",
        "late-worth":0.15,"worth":2},{"name":"catalog-item","objective":300,"aim-stretch":2,"deadline":2500,
        "effect":"read_like","late-worth":0.2,"worth":1},{"name":"job-booking","objective":800,"deadline":3000,
        "effect":"non_idempotent","late-worth":0,"worth":3}],
        "kinds":["std-box","parent","origin"],"locality":0,
        "report":{"how":"on_probe","fields":["outstanding","utilization","x1","x0"]},"resolution":2,
        "rules":{"cold":16000,"drain-grace":250,"fall":3000,"fall-multiple":3,"start-capacity":0.23}}"#
        .to_string()
}

fn run(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let record = Record::create(&folder.join("record.txt"))?;
    let files = Folder::create()?;
    let asked: Arc<Mutex<Vec<f64>>> = Arc::default();
    let at_box_a = asked.clone();
    let box_a = serve_cache(move |seen| {
        if let Seen::Asked(ask) = seen {
            at_box_a.lock().expect("times").push(ask.at);
            ask.answer("data", &format!("res=HIT,first=0,digest=d1,dated={}", ask.at as u64), b"page");
        }
    })?;
    let page = |seen| {
        if let Seen::Asked(ask) = seen {
            ask.answer("data", &format!("res=HIT,first=0,digest=d1,dated={}", ask.at as u64), b"page");
        }
    };
    let list = hosts(
        true,
        &[
            target("box-a", box_a, "centre", "std-box", 6, "Ready"),
            target("box-b", serve_cache(page)?, "centre", "std-box", 6, "Ready"),
            target("hub-cache", serve_cache(page)?, "hub", "parent", 20, "Ready"),
            target("store", serve_cache(page)?, "hub", "origin", 20, "Ready"),
        ],
    );
    let journal = Journal::start(&[list])?;
    let settings = settings();
    let setup =
        RouterSetup { name: "n0", journal: &journal, settings: &settings, operator: None, folder: &files.0, sockets: 1024, memory_mb: 192 };
    let router = Router::start(&setup)?;
    sleep_ms(500);
    let delay = std::env::var("DELAY_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(3_000);
    journal.delay_ms.store(if trouble() { delay } else { 0 }, Ordering::SeqCst);
    sleep_ms(2_500);
    record.note("box-a drains");
    let drained = now_ms();
    journal.publish(&hosts(false, &[target("box-a", box_a, "centre", "std-box", 6, "Terminating")]));
    for n in 0..300 {
        let (id, object) = (format!("{:016x}", 0x00b0_0000 + n), format!("{:016x}", 0x0b7e_c700 + 977 * n));
        let mut client = Client::connect(router.address)?;
        let fields = [("c", "catalog-item"), ("i", id.as_str()), ("d", "2500"), ("o", object.as_str()), ("m", "200")];
        client.ask(1, &fields, b"")?;
        client.read(Duration::from_secs(3));
        sleep_ms(45);
    }
    let asked = asked.lock().expect("times");
    let late: Vec<f64> = asked.iter().map(|at| at - drained).filter(|after| *after > TOLD_MS).collect();
    let last = asked.last().map_or(f64::NAN, |at| at - drained);
    record.note(&format!("{} requests to box-a later than {TOLD_MS} ms after the drain; the last one {last:.0} ms after it", late.len()));
    Ok(!late.is_empty())
}

fn main() -> std::process::ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    finish(run(Path::new(&folder)))
}
