//! Owns what is written down, and how one record hangs on the one before it.
//!
//! Must never take a record for whole whose hash does not fit, nor one of an unknown version for another.

use linnethook_fellows::fact::Acts;
use linnethook_fellows::hlc::Stamp;
use linnethook_fellows::Ms;
use serde::{Deserialize, Serialize};

/// A kind of act; nodes by their ids, whose names stand in the span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Act {
    /// A request was sent to a cache, parent or the origin.
    Attempt {
        to: u64,
    },
    /// With a source from which it is to be filled.
    Fill {
        child: u64,
        source: u64,
    },
    /// An attempt of what must not run twice; each stands singly, too.
    Booking {
        to: u64,
    },
    Refused,
    Failed,
    /// A going over to a node enters a stage, by its number in the hierarchy.
    Stage {
        to: u64,
        stage: u8,
    },
    /// A drain or its end by the journal's number, from the own journal or from fellows.
    Drain {
        cache: u64,
        number: u64,
        fellows: bool,
    },
    Back {
        cache: u64,
        number: u64,
        fellows: bool,
    },
    Purge {
        number: u64,
        fellows: bool,
    },
    Batch {
        author: u16,
        number: u64,
        fellows: bool,
    },
    /// It was not done, since this router was behind what the fleet has settled.
    ShutOut,
}

/// How often, and when first and last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub count: u64,
    pub first: Stamp,
    pub last: Stamp,
}

/// One attempt of what must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    pub id: String,
    /// Which attempt of its request.
    pub number: u8,
    pub to: u64,
    pub at: Stamp,
}

/// How one ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BookingEnd {
    pub id: String,
    pub number: u8,
    pub how: String,
    pub at: Stamp,
}

/// What a router acted on from here to there, and what it did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Span {
    pub from: Stamp,
    pub to: Stamp,
    /// By its own clock, in Unix milliseconds.
    pub clock: (Ms, Ms),
    pub acts_on: Acts,
    pub counts: Vec<(Act, Tally)>,
    pub bookings: Vec<Booking>,
    pub ends: Vec<BookingEnd>,
    /// Bookings and ends beyond those that a span may name.
    pub unnamed: u64,
    /// Kinds of acts beyond those that a span may tell apart: how many acts.
    pub untold: u64,
    pub names: Vec<(u64, String)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The start.
    Began {
        at: Stamp,
        clock: Ms,
    },
    Span(Box<Span>),
    /// It ended as it should: nothing follows.
    Ended {
        at: Stamp,
    },
}

impl Record {
    /// Until when it tells.
    pub fn until(&self) -> Stamp {
        match self {
            Self::Began { at, .. } | Self::Ended { at } => *at,
            Self::Span(span) => span.to,
        }
    }
}

pub type Hash = [u8; 32];

/// A record with its place in the account of one start of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    pub name: String,
    pub start: u64,
    /// From 1 on.
    pub number: u64,
    pub before: Hash,
    pub version: u16,
    pub body: Vec<u8>,
}

pub const VERSION: u16 = 1;

impl Link {
    pub fn new(name: &str, start: u64, number: u64, before: Hash, record: &Record) -> Self {
        // Records hold nothing that postcard can't write.
        let body = postcard::to_stdvec(record).unwrap_or_default();
        Self { name: name.to_string(), start, number, before, version: VERSION, body }
    }

    pub fn hash(&self) -> Hash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.before);
        hasher.update(&(self.name.len() as u64).to_le_bytes());
        hasher.update(self.name.as_bytes());
        hasher.update(&self.start.to_le_bytes());
        hasher.update(&self.number.to_le_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&self.body);
        *hasher.finalize().as_bytes()
    }

    /// `None` for what can't be read here.
    pub fn record(&self) -> Option<Record> {
        if self.version != VERSION {
            return None;
        }
        match postcard::take_from_bytes(&self.body) {
            Ok((record, [])) => Some(record),
            _ => None,
        }
    }

    pub fn bytes(&self) -> usize {
        self.body.len() + self.name.len() + 64
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What a file of accounts begins with.
const MAGIC: &[u8] = b"lhaudit1";

/// Links as they stand in a file.
pub fn to_file(links: &[Link]) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(links).unwrap_or_default());
    bytes
}

/// The links of a file; `None` for one that can't be read.
pub fn of_file(bytes: &[u8]) -> Option<Vec<Link>> {
    postcard::from_bytes(bytes.strip_prefix(MAGIC)?).ok()
}
