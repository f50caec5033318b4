//! Owns the record: what crossed the sockets, each with its time, in the order in which it was noted.

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
    Ready,
    Draining,
    #[serde(rename = "Gone")]
    Removed,
}

/// A request as it reached a node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    pub at: String,
    /// Which request; nodes pass it on with their fills.
    pub id: String,
    pub class: String,
    pub object: String,
    pub part: u32,
    /// Where a miss is to be filled from, and where that goes on.
    pub source: Option<String>,
    pub via: Vec<String>,
    #[serde(rename = "only_held")]
    pub cached_only: bool,
    /// The nodes that the fill has passed, and the version of the shape; from nodes and extended routers only.
    pub passed: Vec<String>,
    pub version: Option<u64>,
    /// The router that it comes from by itself; `None` where a node asks.
    pub router: Option<String>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    /// A request came in whole at a node; the number is the attempt's own.
    Asked {
        attempt: u64,
        asked: Asked,
    },
    /// It ended there: with an answer, or given up. `ran` tells whether it took effect.
    Ended {
        attempt: u64,
        #[serde(rename = "word")]
        status: String,
        res: String,
        ran: bool,
    },
    /// An event was put into the journal service of a router.
    Listed {
        router: String,
        node: String,
        phase: Phase,
    },
    Purged {
        router: String,
        object: Option<String>,
        group: Option<u32>,
        stamp: Ms,
    },
    /// The edges that may be used from this version on, by the batches that a router was given.
    Shape {
        version: u64,
        edges: Vec<(String, String)>,
    },
    /// A client's request: by when it wants its answer, and whether a second run would be harm.
    Requested {
        request: u64,
        id: String,
        object: String,
        group: u32,
        deadline: Ms,
        harmful: bool,
        router: String,
    },
    /// A final answer to it; `dated` is when the origin gave out the copy.
    Final {
        request: u64,
        code: u8,
        dated: Option<Ms>,
    },
    /// The client does not wait any more, or its router was killed.
    Released {
        request: u64,
    },
    /// A node started, able to do so much.
    Started {
        node: String,
        cold: WarmUpCapacity,
    },
    /// It fell over.
    Fell {
        node: String,
    },
    /// A request passed a link between two sites whole, on its way to `to`; with its token where it has one.
    Crossed {
        to: String,
        id: String,
        token: Option<(u64, u64)>,
        passed: Vec<String>,
    },
    /// A router's process stands still, or goes on.
    Paused {
        router: String,
    },
    Woken {
        router: String,
    },
    /// From now on a router must not have anything filled on an older version.
    Floored {
        router: String,
        version: u64,
    },
    /// The proof that an attempt with that token never ran passed the link.
    Proven {
        token: (u64, u64),
    },
    /// A router's process runs from now on, or does not any more.
    Ran {
        router: String,
        place: String,
    },
    Ceased {
        router: String,
    },
    /// What one router says to the other over their link from now on.
    Linked {
        from: String,
        to: String,
        #[serde(rename = "way")]
        state: LinkState,
    },
    /// Nobody is to act on an older version from now on, wherever it was said first, nor stay below it for longer than
    /// that.
    Raised {
        version: u64,
        bound: Ms,
    },
    /// What a router showed of places, asked at `since`, and how many routers it counts in all.
    Shown {
        router: String,
        since: Ms,
        #[serde(rename = "whole")]
        fleet_size: Option<u64>,
        places: Vec<LocationSummary>,
    },
}

/// What becomes of what is said over a link in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkState {
    Open,
    /// Nothing passes.
    Closed,
    /// Some of it passes, later or in part.
    Uneven,
}

/// A place as a whole, as a router shows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocationSummary {
    pub place: String,
    /// Whether it is still heard of.
    pub fresh: bool,
    pub alive: u64,
    /// All routers that are counted, however they stand.
    pub counted: u64,
    /// The oldest version of the hierarchy.
    pub oldest: Option<u64>,
    pub stragglers: Vec<String>,
    pub behind: u64,
}

/// What a node bears after its start, in requests a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmUpCapacity {
    pub capacity: f64,
    /// The part of it with which it starts, and when it has all of it.
    pub from: f64,
    pub warm_in: Ms,
    /// More than so many times what it can do, over that long, and it falls over.
    pub fall_multiple: f64,
    pub window: Ms,
}

impl WarmUpCapacity {
    /// What it can do so long after its start, a second.
    pub fn capacity_at(&self, age: Ms) -> f64 {
        let warmed = if self.warm_in > 0.0 { (age / self.warm_in).clamp(0.0, 1.0) } else { 1.0 };
        self.capacity * (self.from + (1.0 - self.from) * warmed)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordEntry {
    pub at: Ms,
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

    pub fn len(&self) -> usize {
        self.lines_mut().len()
    }

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
