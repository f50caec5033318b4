//! A video that crosses to another site while the link goes silent: does a second attempt begin while the first one is
//! still out?

#[path = "common.rs"]
mod common;

use std::collections::HashMap;
use std::error::Error;
use std::path::Path;
use std::sync::{Arc, Mutex};

use common::*;

const SLACK_MS: f64 = 50.0;
const DEADLINE_MS: u32 = 5_000;
/// How long a transfer of the south's box takes.
const TRANSFER_MS: u64 = 2_000;

/// One attempt: where, when it arrived whole, and when its end was written or it was given up.
#[derive(Clone)]
struct Attempt {
    at: &'static str,
    from: f64,
    until: Option<f64>,
}

type Attempts = Arc<Mutex<HashMap<String, Vec<Attempt>>>>;

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
        "deadline":3000,"effect":"non_idempotent","late-worth":0,
        "worth":3}}],"kinds":["std-box","parent","origin"],"locality":{zone},
        "report":{{"how":"on_probe","fields":["outstanding","utilization","x1","x0"]}},"resolution":2,
        "rules":{{"cold":16000,"drain-grace":250,"fall":3000,"fall-multiple":3,"start-capacity":0.23}}}}"#
    )
}

fn cache(name: &'static str, takes: u64, attempts: &Attempts, record: &Record) -> std::io::Result<std::net::SocketAddr> {
    let (attempts, record) = (attempts.clone(), record.clone());
    serve_cache(move |seen| match seen {
        Seen::Asked(ask) => {
            record.note_at(ask.at, &format!("{name} begins {}", ask.id));
            let attempt = Attempt { at: name, from: ask.at, until: None };
            attempts.lock().expect("attempts").entry(ask.id.clone()).or_default().push(attempt);
            let (attempts, record) = (attempts.clone(), record.clone());
            std::thread::spawn(move || {
                sleep_ms(takes);
                let fields = format!("res=HIT,first=0,digest=d1,dated={}", ask.at as u64);
                if ask.answer("data", &fields, &[7; 100_000]) {
                    record.note(&format!("{name} has sent {}", ask.id));
                    end(&attempts, &ask.id, name, now_ms());
                }
            });
        }
        Seen::GivenUp { at, id, how } => {
            record.note_at(at, &format!("{name}: {id} given up ({how})"));
            end(&attempts, &id, name, at);
        }
    })
}

fn end(attempts: &Attempts, id: &str, at: &'static str, now: f64) {
    let mut attempts = attempts.lock().expect("attempts");
    let open = attempts.get_mut(id).into_iter().flatten().find(|attempt| attempt.at == at && attempt.until.is_none());
    if let Some(open) = open {
        open.until = Some(now);
    }
}

fn run(folder: &Path) -> Result<bool, Box<dyn Error>> {
    let record = Record::create(&folder.join("record.txt"))?;
    let files = Folder::create()?;
    record.note(if trouble() { "with the disruption" } else { "without the disruption" });
    let attempts = Attempts::default();
    let north_cache = cache("north-box", 100, &attempts, &record)?;
    let south_cache = cache("south-box", TRANSFER_MS, &attempts, &record)?;
    let parent = cache("hub-cache", 100, &attempts, &record)?;
    let store = cache("store", 100, &attempts, &record)?;
    let list = hosts(
        true,
        &[
            target("n-box", north_cache, "north", "std-box", 6, "Ready"),
            target("s-box", south_cache, "south", "std-box", 6, "Ready"),
            target("h-parent", parent, "hub", "parent", 20, "Ready"),
            target("h-store", store, "hub", "origin", 20, "Ready"),
        ],
    );
    let journal = Journal::start(&[list])?;
    let listen = free_address();
    let link = Proxy::start(listen)?;
    let south_operator = format!("gateway(site = \"south\", listen = \"{listen}\")\nsite(\"north\")\n");
    let north_operator = format!(
        "gateway(site = \"north\")\nsite(\"south\", classes = [\"fit-video\"])\nlink(\"south\", connect = \"{}\")\n",
        link.address
    );
    let start = |name, zone, operator: &str| {
        let settings = settings(zone);
        let setup = RouterSetup { name, journal: &journal, settings: &settings, operator: Some(operator), folder: &files.0, sockets: 1024 };
        Router::start(&setup)
    };
    let _south = start("s0", 1, &south_operator)?;
    let north = start("n0", 0, &north_operator)?;
    sleep_ms(11_000);
    let ask = |n: usize| {
        let (id, object) = (format!("{:016x}", 0x00b0_0c00 + n), format!("{:016x}", 0x0b7e_c700 + 977 * n));
        ask_once(north.address, &record, "fit-video", &id, &object, DEADLINE_MS, &[("m", "5000")], b"")
    };
    std::thread::scope(|scope| {
        for n in 1..=6 {
            scope.spawn(move || ask(n));
            sleep_ms(30);
        }
        sleep_ms(300);
        if trouble() {
            record.note("the link goes silent");
            match std::env::var("KIND").as_deref() {
                Ok("half") => {
                    link.set(Flow::Silent, Flow::Silent);
                    link.drop_dialers();
                }
                _ => link.set(Flow::Silent, Flow::Silent),
            }
        }
    });
    sleep_ms(2_500);
    let attempts = attempts.lock().expect("attempts");
    let mut broken = false;
    for (id, all) in attempts.iter() {
        for (n, one) in all.iter().enumerate() {
            for other in &all[n + 1..] {
                let both = one.until.unwrap_or(f64::INFINITY).min(other.until.unwrap_or(f64::INFINITY)) - one.from.max(other.from);
                if both > SLACK_MS {
                    broken = true;
                }
                record.note(&format!("{id}: at {} and {} at once for {both:.0} ms", one.at, other.at));
            }
        }
    }
    Ok(broken)
}

fn main() -> std::process::ExitCode {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    finish(run(Path::new(&folder)))
}
