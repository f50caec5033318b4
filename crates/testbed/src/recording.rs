//! The recording: what crossed the sockets, each with its time, in the order in which it was noted.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Unix milliseconds.
pub type Ms = f64;

/// The time now, by the clock that all parts share.
pub fn now() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// What a router was told of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It may be used.
    Ready,
    /// It is to get nothing new.
    Draining,
    /// It does not exist any more.
    #[serde(rename = "Gone")]
    Removed,
}

/// A request as it reached a node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// The server.
    pub at: String,
    /// Which request; nodes pass it on with their fills.
    pub id: String,
    /// The request's class.
    pub class: String,
    /// The object.
    pub object: String,
    /// The part of the object.
    pub part: u32,
    /// Where a miss is to be filled from, and where that goes on.
    pub source: Option<String>,
    /// Further sources behind it.
    pub via: Vec<String>,
    /// Only a cached copy is wanted from the source.
    #[serde(rename = "only_held")]
    pub cached_only: bool,
    /// The nodes that the fill has passed, and the version of the shape; from nodes and extended routers only.
    pub passed: Vec<String>,
    /// The version of the hierarchy that the fill is made on.
    pub version: Option<u64>,
    /// The router that it comes from by itself; `None` where a node asks.
    pub router: Option<String>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    /// A request came in whole at a node; the number is the attempt's own.
    Asked {
        /// The attempt's number.
        attempt: u64,
        /// The request.
        asked: Asked,
    },
    /// It ended there: with an answer, or given up. `ran` tells whether it took effect.
    Ended {
        /// The attempt's number.
        attempt: u64,
        /// The status of the reply; empty where there was none.
        #[serde(rename = "word")]
        status: String,
        /// Where the answer came from, or why there was none.
        res: String,
        /// Whether it took effect.
        ran: bool,
    },
    /// An event was put into the journal service of a router.
    Listed {
        /// The router that is notified.
        router: String,
        /// The server that the event is about.
        node: String,
        /// What the server is from now on.
        phase: Phase,
    },
    /// A purge was put into the journal service of a router.
    Purged {
        /// The router that is notified.
        router: String,
        /// The object that is purged.
        object: Option<String>,
        /// The group that is purged.
        group: Option<u32>,
        /// Copies from before this time are out of date.
        stamp: Ms,
    },
    /// The edges that may be used from this version on, by the batches that a router was given.
    Shape {
        /// The version of the hierarchy.
        version: u64,
        /// Node and source of each edge.
        edges: Vec<(String, String)>,
    },
    /// A client's request: by when it wants its answer, and whether a second run would be harm.
    Requested {
        /// The request's number.
        request: u64,
        /// The id that attempts bear.
        id: String,
        /// The object.
        object: String,
        /// The group of the object.
        group: u32,
        /// When the client stops waiting.
        deadline: Ms,
        /// Whether it is not idempotent.
        harmful: bool,
        /// The router that is asked.
        router: String,
    },
    /// A final answer to it; `dated` is when the origin gave out the copy.
    Final {
        /// The request's number.
        request: u64,
        /// 1 is served, 2 rejected, all others failed.
        code: u8,
        /// When the origin gave out the copy.
        dated: Option<Ms>,
    },
    /// The client does not wait any more, or its router was killed.
    Released {
        /// The request's number.
        request: u64,
    },
    /// A node started, able to do so much.
    Started {
        /// The server.
        node: String,
        /// What it can do from its start on.
        cold: WarmUpCapacity,
    },
    /// It fell over.
    Fell {
        /// The server.
        node: String,
    },
    /// A request passed a link between two sites whole, on its way to `to`; with its token where it has one.
    Crossed {
        /// The site that it goes to.
        to: String,
        /// The id that attempts bear.
        id: String,
        /// Epoch and number of its fencing token.
        token: Option<(u64, u64)>,
        /// Sites that it has passed.
        passed: Vec<String>,
    },
    /// A router's process stands still, or goes on.
    Paused {
        /// The router that stands still.
        router: String,
    },
    /// A router's process that stood still goes on.
    Woken {
        /// The router that goes on.
        router: String,
    },
    /// From now on a router must not have anything filled on an older version.
    Floored {
        /// The router.
        router: String,
        /// The oldest version that it may use.
        version: u64,
    },
    /// The proof that an attempt with that token never ran passed the link.
    Proven {
        /// Epoch and number of the fencing token.
        token: (u64, u64),
    },
    /// A router's process runs from now on, or does not any more.
    Ran {
        /// The router.
        router: String,
        /// Its location in the tree of the fleet.
        place: String,
    },
    /// A router's process does not run any more.
    Ceased {
        /// The router.
        router: String,
    },
    /// What one router says to the other over their link from now on.
    Linked {
        /// The router that sends.
        from: String,
        /// The router that receives.
        to: String,
        /// What becomes of what is sent.
        #[serde(rename = "way")]
        state: LinkState,
    },
    /// Nobody is to act on an older version from now on, wherever it was said first, nor stay below it for longer than
    /// that.
    Raised {
        /// The floor.
        version: u64,
        /// How long a router may stay below it.
        bound: Ms,
    },
    /// What a router showed of places, asked at `since`, and how many routers it counts in all.
    Shown {
        /// The router that was asked.
        router: String,
        /// When it was asked.
        since: Ms,
        /// Routers that it counts in all.
        #[serde(rename = "whole")]
        fleet_size: Option<u64>,
        /// The locations that it shows.
        places: Vec<LocationSummary>,
    },
}

/// What becomes of what is said over a link in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    /// All passes.
    Open,
    /// Nothing passes.
    Closed,
    /// Some of it passes, later or in part.
    Uneven,
}

/// A place as a whole, as a router shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationSummary {
    /// The location.
    pub place: String,
    /// Whether it is still heard of.
    pub fresh: bool,
    /// Routers that are shown as alive.
    pub alive: u64,
    /// All routers that are counted, however they stand.
    pub counted: u64,
    /// The oldest version of the hierarchy.
    pub oldest: Option<u64>,
    /// Names of stragglers, as far as there is room.
    pub stragglers: Vec<String>,
    /// Stragglers in all.
    pub behind: u64,
}

/// What a node bears after its start, in requests a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmUpCapacity {
    /// Requests a second once it is warm.
    pub capacity: f64,
    /// The part of it with which it starts, and when it has all of it.
    pub from: f64,
    /// How long it warms up.
    pub warm_in: Ms,
    /// More than so many times what it can do, over that long, and it falls over.
    pub fall_multiple: f64,
    /// The window that the multiple is counted over.
    pub window: Ms,
}

impl WarmUpCapacity {
    /// What it can do so long after its start, a second.
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

/// The record that all stand-ins of a fleet write.
#[derive(Debug, Clone, Default)]
pub struct Recording(Arc<Mutex<Vec<RecordEntry>>>);

impl Recording {
    fn lines_mut(&self) -> MutexGuard<'_, Vec<RecordEntry>> {
        // A thread that panicked has noted whole lines or none.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event now, and says at what time.
    pub fn note(&self, what: RecordedEvent) -> Ms {
        let mut lines = self.lines_mut();
        let at = now();
        lines.push(RecordEntry { at, what });
        at
    }

    /// Notes something at a time of a clock of its own.
    pub fn note_at(&self, at: Ms, what: RecordedEvent) {
        self.lines_mut().push(RecordEntry { at, what });
    }

    /// A copy of all lines, by time.
    pub fn lines(&self) -> Vec<RecordEntry> {
        let mut lines = self.lines_mut().clone();
        lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        lines
    }

    /// Entries by now.
    pub fn len(&self) -> usize {
        self.lines_mut().len()
    }

    /// Whether nothing was recorded yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests that reached a node, by second since `from`.
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
