//! Two caches, their parent, the origin and the journal service, at the addresses of `examples/config.json`.
//!
//! A server has a copy of each object that was requested from it before. It simulates a fill of others at
//! once.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use linnethook_quickstart::cache::RequestHandler;
use linnethook_quickstart::{Answer, Cache, CacheEvent, Journal};
use serde_json::Value;

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    let path = std::env::args().nth(1).unwrap_or("examples/config.json".to_string());
    let config: Value = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let address = config["journal"].as_str().ok_or("the configuration has no text `journal`")?;
    let known = config["known"]["entries"].as_array().cloned().unwrap_or_default();
    let mut caches = Vec::new();
    for host in known.iter().flat_map(|event| event["hosts"]["targets"].as_array()).flatten() {
        let (uid, endpoint) = (host["uid"].as_str(), host["endpoint"].as_str());
        let (Some(uid), Some(endpoint)) = (uid, endpoint) else { continue };
        caches.push((uid.to_string(), Cache::start(endpoint, request_handler(uid))?));
        println!("{uid} listens on {endpoint}");
    }
    let _journal = Journal::start(address, known)?;
    println!("the journal service listens on {address}");
    let printers = caches.into_iter().map(|(uid, cache)| {
        std::thread::spawn(move || {
            for event in &cache.events {
                if let CacheEvent::Request { id, fields, .. } = event {
                    println!("{uid}: ASK {id} {fields:?}");
                }
            }
        })
    });
    printers.collect::<Vec<_>>().into_iter().for_each(|printer| printer.join().unwrap_or(()));
    Ok(())
}

fn request_handler(uid: &str) -> RequestHandler {
    let cached = Mutex::new(HashSet::new());
    let uid = uid.to_string();
    Arc::new(move |_, fields, _| {
        let part = (fields.get("obj").cloned(), fields.get("seg").cloned());
        let first = cached.lock().is_ok_and(|mut cached| cached.insert(part.clone()));
        let res = if first { "MISS" } else { "HIT" };
        if first && !fields.contains_key("parent") && uid.starts_with("cache") {
            return Some(Answer::with_status("absent"));
        }
        let object = part.0.unwrap_or_default();
        Some(Answer {
            status: "data",
            fields: format!("res={res},first=0"),
            body: format!("object {object}, from {uid}, {res}\n").into_bytes(),
        })
    })
}
