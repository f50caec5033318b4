//! A booking whose class is at home at the other site is cancelled by its client while the store there is full. Two
//! routers with a gateway each, one store, which both list.

use std::sync::{Arc, Mutex};

use review_standins_2::deployment::{config, Settings};
use review_standins_2::*;

/// No attempt begins later than this after the client has gone: 0.1 s, and 50 ms on sockets.
const LATEST: f64 = 150.0;
/// How long the store turns a booking away, from its first arrival.
const FULL_FOR: f64 = 450.0;
const BOOKINGS: usize = 16;

fn main() {
    let record = Record::create(&case_folder().join("record.txt"));
    let trouble = has_trouble();
    let asked: Arc<Mutex<Vec<(f64, String, &'static str)>>> = Arc::default();
    let (noted, notes) = (asked.clone(), record.clone());
    // The store: a booking that comes while it is full is turned away, and never ran.
    let store = serve(move |ask, _| {
        let mut noted = noted.lock().unwrap();
        let first = noted.iter().find(|(_, id, _)| *id == ask.id).map_or(ask.at, |(at, _, _)| *at);
        let word = if ask.at - first < FULL_FOR { "full" } else { "data" };
        notes.note(format!("store asked id={} kind={}: {word}", ask.id, ask.field("kind")));
        noted.push((ask.at, ask.id.clone(), word));
        drop(noted);
        let fields = format!("digest=1,dated={:.0}", now());
        if word == "data" {
            Answer { word, fields, body: b"booked".to_vec() }
        } else {
            Answer::plain(word)
        }
    });
    let cache = serve(|_, _| Answer::plain("absent"));
    let zones = vec!["hub", "north", "south"];
    let settings =
        |own_zone| Settings { zones: zones.clone(), own_zone, routers: vec![0, 1, 1], ..Settings::shop() };
    let list = |site: &str| {
        let cache = target(&format!("{site}-box"), cache, site, "box", 8, "Ready", 0.0);
        vec![hosts(true, &[cache, target("store", store, "hub", "store", 20, "Ready", 0.0)])]
    };
    let (north_journal, south_journal) =
        (Journal::start(&record, list("north")), Journal::start(&record, list("south")));
    let link = free_address();
    let south_operator = format!("gateway(site = \"south\", listen = \"{link}\")\nsite(\"north\")\n");
    let north_operator = format!(
        "gateway(site = \"north\")\nsite(\"south\", classes = [\"booking\"])\n\
         link(\"south\", connect = \"{link}\", connections = 2)\n"
    );
    let south_config = config(south_journal.address, &south_journal.known(), &settings(2));
    let north_config = config(north_journal.address, &north_journal.known(), &settings(1));
    let south = Router::start(&record, "south", free_address(), &south_config, Some(&south_operator));
    let north = Router::start(&record, "north", free_address(), &north_config, Some(&north_operator));
    pause(3_000.0);

    let mut gone: Vec<(String, f64, &str)> = Vec::new();
    let mut served = 0;
    for n in 0..BOOKINGS {
        let id = format!("{:016x}", 0x6b00_0000 + n as u64);
        let object = format!("{:016x}", 0x77_0000 + n as u64);
        let mut client = Client::connect(north.address).unwrap_or_else(|e| broken(&format!("client: {e}")));
        let fields = [("c", "booking"), ("i", &*id), ("d", "3000"), ("o", &*object), ("tag", "1")];
        let (stream, _) = client.send(&fields, b"slot").unwrap_or_else(|e| broken(&format!("client: {e}")));
        record.note(format!("client sent booking id={id}"));
        let has_arrived = || asked.lock().unwrap().iter().any(|(_, asked, _)| *asked == id);
        if !until(2_000.0, has_arrived) {
            broken(&format!("booking {id} did not reach the store: {:?}", client.answers(stream)));
        }
        if !trouble {
            let answer = client.wait(stream, 3_500.0);
            record.note(format!("client got {:?} for id={id}", answer.as_ref().map(|answer| answer.code)));
            served += usize::from(answer.is_some_and(|answer| answer.code == 1));
            continue;
        }
        if n % 2 == 0 {
            let at = client.cancel(stream).unwrap_or_else(|e| broken(&format!("client: {e}")));
            record.note(format!("client cancelled id={id}"));
            gone.push((id, at, "cancelled"));
            pause(700.0);
        } else {
            let at = client.close();
            record.note(format!("client closed its connection, id={id}"));
            gone.push((id, at, "closed"));
            pause(700.0);
        }
    }
    pause(1_500.0);
    let asked = asked.lock().unwrap().clone();
    let mut breaches = 0;
    for (id, at, how) in &gone {
        let late: Vec<_> =
            asked.iter().filter(|(sent, asked, _)| asked == id && sent - at > LATEST).collect();
        if let Some((last, _, word)) = late.last() {
            breaches += 1;
            record.say(format!(
                "id={id}: {how}; {} attempts began later than {LATEST} ms after that, the last {:.0} ms after: {word}",
                late.len(),
                last - at
            ));
        }
    }
    if !trouble {
        record.say(format!("{served} of {BOOKINGS} bookings served"));
        for (_, id, _) in asked.iter().filter(|(_, _, word)| *word == "data") {
            let runs = asked.iter().filter(|(_, other, word)| other == id && *word == "data").count();
            breaches += usize::from(runs > 1);
        }
    }
    verdict(&record, vec![north, south], breaches)
}
