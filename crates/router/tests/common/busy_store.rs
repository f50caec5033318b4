//! An origin that rejects each request for a while, counted from its first arrival, and executes it after that.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use linnethook_quickstart::Answer;
use linnethook_testbed::recording::Ms;

use super::timestamped_server::serve;

/// How a store answers.
#[derive(Debug, Clone, Copy)]
pub struct StoreBehavior {
    /// How long it rejects a request, from its first arrival.
    pub rejects_for: Duration,
    /// How long an attempt takes, whether it is rejected or executed.
    pub answer_delay: Duration,
}

/// An attempt that has arrived at a store.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id of its request.
    pub id: String,
    /// When it arrived, in Unix milliseconds.
    pub at: Ms,
    /// Whether it was executed, and not rejected.
    pub is_executed: bool,
}

/// The store, with all attempts that have arrived.
#[derive(Debug)]
pub struct BusyStore {
    /// Where it listens.
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl BusyStore {
    /// Serves on an address of its own until the test process ends.
    pub fn start(behavior: StoreBehavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("it listens");
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let recorded = arrivals.clone();
        let first_arrivals: Mutex<HashMap<String, Ms>> = Mutex::default();
        let rejects_for = behavior.rejects_for.as_secs_f64() * 1e3;
        let handler = move |at: Ms, id: &str, _: &super::Fields| {
            let first = *first_arrivals
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .entry(id.to_string())
                .or_insert(at);
            let is_executed = at - first >= rejects_for;
            let arrival = Arrival { id: id.to_string(), at, is_executed };
            recorded.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
            thread::sleep(behavior.answer_delay);
            Some(if is_executed { Answer::data("booked") } else { Answer::with_status("full") })
        };
        Self { address: serve(listener, Arc::new(handler)), arrivals }
    }

    /// The attempts of a request, in the order in which they arrived.
    pub fn arrivals_of(&self, id: &str) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.iter().filter(|arrival| arrival.id == id).cloned().collect()
    }
}
