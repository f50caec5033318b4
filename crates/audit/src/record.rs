//! Owns what is written down, and how one record hangs on the one before it.
//!
//! Must never take a record for whole whose hash does not fit, nor one of an unknown version for another.

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use serde::{Deserialize, Serialize};

/// A kind of act; nodes by their ids, whose names stand in the span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AuditedAction {
    /// A request was sent to a cache, parent or the origin.
    Attempt {
        #[serde(rename = "to")]
        target: u64,
    },
    /// With a source from which it is to be filled.
    Fill {
        child: u64,
        source: u64,
    },
    /// An attempt of what must not run twice; each stands singly, too.
    #[serde(rename = "Booking")]
    WriteAttempt {
        #[serde(rename = "to")]
        target: u64,
    },
    Refused,
    Failed,
    /// A going over to a node enters a stage, by its number in the hierarchy.
    #[serde(rename = "Stage")]
    RolloutStage {
        #[serde(rename = "to")]
        target: u64,
        stage: u8,
    },
    /// A drain or its end by the journal's number, from the own journal or from fellows.
    Drain {
        cache: u64,
        #[serde(rename = "number")]
        journal_position: u64,
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    #[serde(rename = "Back")]
    CacheRestored {
        cache: u64,
        #[serde(rename = "number")]
        journal_position: u64,
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    Purge {
        #[serde(rename = "number")]
        journal_position: u64,
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    Batch {
        author: u16,
        number: u64,
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// It was not done, since this router was behind what the fleet has settled.
    #[serde(rename = "ShutOut")]
    RejectedAsStraggler,
}

/// How often, and when first and last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    pub count: u64,
    pub first: Timestamp,
    pub last: Timestamp,
}

/// One attempt of what must not run twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteAttempt {
    #[serde(rename = "id")]
    pub request_id: String,
    /// Which attempt of its request.
    #[serde(rename = "number")]
    pub attempt: u8,
    #[serde(rename = "to")]
    pub target: u64,
    pub at: Timestamp,
}

/// How one ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOutcome {
    #[serde(rename = "id")]
    pub request_id: String,
    #[serde(rename = "number")]
    pub attempt: u8,
    #[serde(rename = "how")]
    pub outcome: String,
    pub at: Timestamp,
}

/// What a router acted on from here to there, and what it did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Span {
    pub from: Timestamp,
    pub to: Timestamp,
    /// By its own clock, in Unix milliseconds.
    #[serde(rename = "clock")]
    pub wall_clock: (Ms, Ms),
    #[serde(rename = "acts_on")]
    pub versions: ActiveVersions,
    pub counts: Vec<(AuditedAction, Tally)>,
    #[serde(rename = "bookings")]
    pub write_attempts: Vec<WriteAttempt>,
    #[serde(rename = "ends")]
    pub write_outcomes: Vec<WriteOutcome>,
    /// Bookings and ends beyond those that a span may name.
    #[serde(rename = "unnamed")]
    pub omitted_writes: u64,
    /// Kinds of acts beyond those that a span may tell apart: how many acts.
    #[serde(rename = "untold")]
    pub omitted_actions: u64,
    #[serde(rename = "names")]
    pub node_names: Vec<(u64, String)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The start.
    Started {
        at: Timestamp,
        wall_clock: Ms,
    },
    Span(Box<Span>),
    /// It ended as it should: nothing follows.
    Closed {
        at: Timestamp,
    },
}

impl Record {
    /// Until when it tells.
    pub fn covered_until(&self) -> Timestamp {
        match self {
            Self::Started { at, .. } | Self::Closed { at } => *at,
            Self::Span(span) => span.to,
        }
    }
}

pub type RecordHash = [u8; 32];

/// A record with its place in the account of one start of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainLink {
    pub name: String,
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// From 1 on.
    pub number: u64,
    #[serde(rename = "before")]
    pub previous_hash: RecordHash,
    pub version: u16,
    pub body: Vec<u8>,
}

pub const RECORD_VERSION: u16 = 1;

impl ChainLink {
    pub fn new(name: &str, start: u64, number: u64, before: RecordHash, record: &Record) -> Self {
        // Records hold nothing that postcard can't write.
        let body = postcard::to_stdvec(record).unwrap_or_default();
        Self {
            name: name.to_string(),
            incarnation: start,
            number,
            previous_hash: before,
            version: RECORD_VERSION,
            body,
        }
    }

    pub fn hash(&self) -> RecordHash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.previous_hash);
        hasher.update(&(self.name.len() as u64).to_le_bytes());
        hasher.update(self.name.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.number.to_le_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&self.body);
        *hasher.finalize().as_bytes()
    }

    /// `None` for what can't be read here.
    pub fn decode_record(&self) -> Option<Record> {
        if self.version != RECORD_VERSION {
            return None;
        }
        match postcard::take_from_bytes(&self.body) {
            Ok((record, [])) => Some(record),
            _ => None,
        }
    }

    pub fn size_estimate(&self) -> usize {
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
const FILE_MAGIC: &[u8] = b"lhaudit1";

/// Links as they stand in a file.
pub fn write_file(links: &[ChainLink]) -> Vec<u8> {
    let mut bytes = FILE_MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(links).unwrap_or_default());
    bytes
}

/// The links of a file; `None` for one that can't be read.
pub fn read_file(bytes: &[u8]) -> Option<Vec<ChainLink>> {
    postcard::from_bytes(bytes.strip_prefix(FILE_MAGIC)?).ok()
}
