//! The recording: timestamped events of the traffic, in the order in which they were recorded.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Unix milliseconds.
pub type Ms = f64;

/// The current time of the system clock, which all components of the testbed use.
pub fn now() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// The state of a server, as a router was notified of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It may be used.
    Ready,
    /// It must get no new requests.
    Draining,
    /// It no longer exists.
    #[serde(rename = "Gone")]
    Removed,
}

/// A request as it reached a server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// The server.
    pub at: String,
    /// The request's id; servers pass it on with their fills.
    pub id: String,
    /// The request's class.
    pub class: String,
    /// The object.
    pub object: String,
    /// The part of the object.
    pub part: u32,
    /// The source that a miss is filled from.
    pub source: Option<String>,
    /// The sources upstream of `source`.
    pub via: Vec<String>,
    /// The source may only serve a cached copy, and must not fill.
    #[serde(rename = "only_held")]
    pub cached_only: bool,
    /// The nodes that the fill has passed; only nodes and extended routers send them, with `version`.
    pub passed: Vec<String>,
    /// The version of the hierarchy that the fill is based on.
    pub version: Option<u64>,
    /// The router that sent it directly; `None` where a node sent it.
    pub router: Option<String>,
}

/// An event of a recording.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    /// A request arrived completely at a node. The attempt number is unique in the recording.
    Asked {
        /// The attempt's number.
        attempt: u64,
        /// The request.
        asked: Asked,
    },
    /// The attempt ended there, with or without a response.
    Ended {
        /// The attempt's number.
        attempt: u64,
        /// The status of the response; empty where there was none.
        #[serde(rename = "word")]
        status: String,
        /// Where the response came from, or why there was none.
        res: String,
        /// Whether the request took effect.
        ran: bool,
    },
    /// A server's phase was published to a router by its journal service.
    Listed {
        /// The router that is notified.
        router: String,
        /// The server.
        node: String,
        /// The server's phase from now on.
        phase: Phase,
    },
    /// A purge was published to a router by its journal service.
    Purged {
        /// The router that is notified.
        router: String,
        /// The object that is purged.
        object: Option<String>,
        /// The group that is purged.
        group: Option<u32>,
        /// Copies that the origin issued before this time are out of date.
        stamp: Ms,
    },
    /// The edges that may be used from this version on, from the batches that were published.
    Shape {
        /// The version of the hierarchy.
        version: u64,
        /// Node and source of each edge.
        edges: Vec<(String, String)>,
    },
    /// A client sent a request.
    Requested {
        /// The request's number.
        request: u64,
        /// The id that its attempts have.
        id: String,
        /// The object.
        object: String,
        /// The group of the object.
        group: u32,
        /// Time at which the client stops waiting.
        deadline: Ms,
        /// Whether it is not idempotent.
        harmful: bool,
        /// The router that the request was sent to.
        router: String,
    },
    /// A client received the answer to a request.
    Final {
        /// The request's number.
        request: u64,
        /// 1 is served, 2 rejected, all others failed.
        code: u8,
        /// When the origin issued the copy.
        dated: Option<Ms>,
    },
    /// The client no longer waits for the answer, or its router was killed.
    Released {
        /// The request's number.
        request: u64,
    },
    /// A node started, with this capacity.
    Started {
        /// The server.
        node: String,
        /// Its capacity from its start on.
        cold: WarmUpCapacity,
    },
    /// A server failed by overload.
    Fell {
        /// The server.
        node: String,
    },
    /// A request crossed a link between two sites completely.
    Crossed {
        /// The site that it was sent to.
        to: String,
        /// The id that its attempts have.
        id: String,
        /// Epoch and number of its fencing token, if it has one.
        token: Option<(u64, u64)>,
        /// Sites that it has passed.
        passed: Vec<String>,
    },
    /// A router's process was suspended.
    Paused {
        /// The suspended router.
        router: String,
    },
    /// A router's suspended process was resumed.
    Woken {
        /// The resumed router.
        router: String,
    },
    /// From now on a router must not request fills on an older version.
    Floored {
        /// The router.
        router: String,
        /// The oldest version that it may use.
        version: u64,
    },
    /// The proof that the attempt with this token never ran crossed the link.
    Proven {
        /// Epoch and number of the fencing token.
        token: (u64, u64),
    },
    /// A router's process started.
    Ran {
        /// The router.
        router: String,
        /// Its location in the tree of the fleet.
        place: String,
    },
    /// A router's process ended.
    Ceased {
        /// The router.
        router: String,
    },
    /// The state of a link changed in one direction.
    Linked {
        /// The router that sends.
        from: String,
        /// The router that receives.
        to: String,
        /// The state from now on.
        #[serde(rename = "way")]
        state: LinkState,
    },
    /// The floor was raised at some router: no router may act on an older version after `bound`.
    Raised {
        /// The floor.
        version: u64,
        /// How long a router may stay below it.
        bound: Ms,
    },
    /// A router showed its location summaries.
    Shown {
        /// The router that was queried.
        router: String,
        /// When it was queried.
        since: Ms,
        /// The total number of routers that it counts.
        #[serde(rename = "whole")]
        fleet_size: Option<u64>,
        /// The locations that it shows.
        places: Vec<LocationSummary>,
    },
}

/// State of a link in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    /// All messages pass.
    Open,
    /// No message passes.
    Closed,
    /// Messages pass late or in part.
    Uneven,
}

/// The summary of a location, as a router shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationSummary {
    /// The location.
    pub place: String,
    /// Whether the summary is still renewed.
    pub fresh: bool,
    /// Routers that are shown as alive.
    pub alive: u64,
    /// All routers that are counted, in any state.
    pub counted: u64,
    /// The oldest version of the hierarchy that a router there acts on.
    pub oldest: Option<u64>,
    /// Names of stragglers, up to the maximum length of the list.
    pub stragglers: Vec<String>,
    /// Total number of stragglers.
    pub behind: u64,
}

/// Capacity of a node while it warms up after its start, and the load at which it fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmUpCapacity {
    /// Requests per second once it is warm.
    pub capacity: f64,
    /// Share of `capacity` that it has at its start.
    pub from: f64,
    /// How long it takes to reach the full capacity, in milliseconds.
    pub warm_in: Ms,
    /// Multiple of the current capacity, over `window`, above which it fails; 0 means that it never fails.
    pub fall_multiple: f64,
    /// The window in which requests are counted, in milliseconds.
    pub window: Ms,
}

impl WarmUpCapacity {
    /// Capacity in requests per second, `age` milliseconds after its start.
    pub fn capacity_at(&self, age: Ms) -> f64 {
        let warmed = if self.warm_in > 0.0 { (age / self.warm_in).clamp(0.0, 1.0) } else { 1.0 };
        self.capacity * (self.from + (1.0 - self.from) * warmed)
    }
}

/// One event of a recording.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    /// When it happened.
    pub at: Ms,
    /// What happened.
    pub what: RecordedEvent,
}

/// The shared recording that all simulated components of a fleet write to.
#[derive(Debug, Clone, Default)]
pub struct Recording(Arc<Mutex<Vec<RecordEntry>>>);

impl Recording {
    fn lines_mut(&self) -> MutexGuard<'_, Vec<RecordEntry>> {
        // An entry is pushed in one step, so a thread that panicked left no partial entry.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the current time, and returns that time.
    pub fn note(&self, what: RecordedEvent) -> Ms {
        let mut lines = self.lines_mut();
        let at = now();
        lines.push(RecordEntry { at, what });
        at
    }

    /// Records an event with a given time, such as one in virtual time.
    pub fn note_at(&self, at: Ms, what: RecordedEvent) {
        self.lines_mut().push(RecordEntry { at, what });
    }

    /// A copy of all entries, sorted by time.
    pub fn lines(&self) -> Vec<RecordEntry> {
        let mut lines = self.lines_mut().clone();
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        lines
    }

    /// Number of entries so far.
    pub fn len(&self) -> usize {
        self.lines_mut().len()
    }

    /// Whether there is no entry yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of requests that reached a node, for each second since `from`.
    pub fn by_second(&self, node: &str, from: Ms, seconds: usize) -> Vec<u32> {
        let mut counts = vec![0; seconds];
        for line in self.lines_mut().iter() {
            if let RecordedEvent::Asked { asked, .. } = &line.what {
                let second = ((line.at - from) / 1000.0).floor();
                if asked.at == node && second >= 0.0 && (second as usize) < seconds {
                    counts[second as usize] += 1;
                }
            }
        }
        counts
    }
}
