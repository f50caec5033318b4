//! What an audit log records, and how each record is chained to the one before it.
//!
//! A record counts only where its hash fits, and a record of an unknown version is never read as another one.

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use serde::{Deserialize, Serialize};

use crate::error::{LogFileError, MalformedLink, RecordError};

/// An action that is counted. Nodes are ids; their names are in the span.
///
/// The order of the variants is part of the stored format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum AuditedAction {
    /// A request was sent to a cache, a parent or the origin.
    Attempt {
        /// The node.
        #[serde(rename = "to")]
        target: u64,
    },
    /// A request was sent together with the source to fill from.
    Fill {
        /// The node that fills.
        child: u64,
        /// The node that it fills from.
        source: u64,
    },
    /// A write was sent; it is recorded one by one, too.
    #[serde(rename = "Booking")]
    WriteAttempt {
        /// The node.
        #[serde(rename = "to")]
        target: u64,
    },
    /// A request was rejected.
    Refused,
    /// A request failed.
    Failed,
    /// The rollout of a fill source entered a stage.
    #[serde(rename = "Stage")]
    RolloutStage {
        /// The source.
        #[serde(rename = "to")]
        target: u64,
        /// The stage's number in the hierarchy.
        stage: u8,
    },
    /// A cache began to drain.
    Drain {
        /// The cache.
        cache: u64,
        /// The position in the journal.
        #[serde(rename = "number")]
        journal_position: u64,
        /// Whether the news came from gossip and not from the own journal.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A cache takes new work again.
    #[serde(rename = "Back")]
    CacheRestored {
        /// The cache.
        cache: u64,
        /// The position in the journal.
        #[serde(rename = "number")]
        journal_position: u64,
        /// Whether the news came from gossip and not from the own journal.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A purge was applied.
    Purge {
        /// The position in the journal.
        #[serde(rename = "number")]
        journal_position: u64,
        /// Whether the news came from gossip and not from the own journal.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A change batch of the hierarchy was applied.
    Batch {
        /// The batch's author.
        author: u16,
        /// The batch's number.
        number: u64,
        /// Whether it came from gossip.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A request was rejected because this router is excluded as a straggler.
    #[serde(rename = "ShutOut")]
    RejectedAsStraggler,
}

/// How often an action was done in a span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// How often.
    pub count: u64,
    /// When first.
    pub first: Timestamp,
    /// When last.
    pub last: Timestamp,
}

/// An attempt of a write: a request that the class or the client marks as one, whatever its idempotence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteAttempt {
    /// The request.
    #[serde(rename = "id")]
    pub request_id: String,
    /// Which attempt of the request, from 0.
    #[serde(rename = "number")]
    pub attempt: u8,
    /// The node it was sent to.
    #[serde(rename = "to")]
    pub target: u64,
    /// When it was sent.
    pub at: Timestamp,
}

/// How an attempt of a write ended. Without one the outcome is unknown, such as after the client has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteOutcome {
    /// The request.
    #[serde(rename = "id")]
    pub request_id: String,
    /// Which attempt of the request, from 0.
    #[serde(rename = "number")]
    pub attempt: u8,
    /// The name of the outcome.
    #[serde(rename = "how")]
    pub outcome: String,
    /// When it ended.
    pub at: Timestamp,
}

/// A time span in which a router acted on the same versions, and what it did.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// Its begin.
    pub from: Timestamp,
    /// Its end.
    pub to: Timestamp,
    /// Begin and end by the router's own clock, in Unix milliseconds.
    #[serde(rename = "clock")]
    pub wall_clock: (Ms, Ms),
    /// What the router acted on.
    #[serde(rename = "acts_on")]
    pub versions: ActiveVersions,
    /// The actions, in their order, and how often each was done.
    pub counts: Vec<(AuditedAction, Tally)>,
    /// Attempts of non-idempotent requests.
    #[serde(rename = "bookings")]
    pub write_attempts: Vec<WriteAttempt>,
    /// Outcomes of such attempts.
    #[serde(rename = "ends")]
    pub write_outcomes: Vec<WriteOutcome>,
    /// Attempts and outcomes beyond the limit of the lists.
    #[serde(rename = "unnamed")]
    pub omitted_writes: u64,
    /// Actions of kinds beyond the limit of the counts.
    #[serde(rename = "untold")]
    pub omitted_actions: u64,
    /// The names of the nodes, by id.
    #[serde(rename = "names")]
    pub node_names: Vec<(u64, String)>,
}

/// A record of an audit log.
///
/// The order of the variants is part of the stored format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The router started.
    Started {
        /// When.
        at: Timestamp,
        /// The same by its own clock, in Unix milliseconds.
        wall_clock: Ms,
    },
    /// What it did in a span.
    Span(Box<Span>),
    /// The router shut down gracefully: nothing follows.
    Closed {
        /// When.
        at: Timestamp,
    },
}

impl Record {
    /// Up to when the record covers what the router did.
    pub fn covered_until(&self) -> Timestamp {
        match self {
            Self::Started { at, .. } | Self::Closed { at } => *at,
            Self::Span(span) => span.to,
        }
    }
}

/// The BLAKE3 hash of a record and its place.
pub type RecordHash = [u8; 32];

/// An encoded record with its place in the log of one incarnation of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainLink {
    /// The router.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The record's number, from 1.
    pub number: u64,
    /// The hash of the record before it; all zeros for the first one.
    #[serde(rename = "before")]
    pub previous_hash: RecordHash,
    /// The version of the body's format.
    pub version: u16,
    /// The record, encoded.
    pub body: Vec<u8>,
}

/// The version of the record format that this build reads and writes.
pub const RECORD_VERSION: u16 = 1;
/// Bytes of a link beside the body and the router's name, roughly.
const LINK_OVERHEAD_BYTES: usize = 64;

impl ChainLink {
    /// A record at its place in a log.
    pub fn new(
        name: &str,
        incarnation: u64,
        number: u64,
        previous_hash: RecordHash,
        record: &Record,
    ) -> Self {
        // Postcard can encode every record.
        let body = postcard::to_stdvec(record).unwrap_or_default();
        Self { name: name.to_string(), incarnation, number, previous_hash, version: RECORD_VERSION, body }
    }

    /// The hash over everything that the link has.
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

    /// The record.
    ///
    /// # Errors
    ///
    /// A record that this build cannot read.
    pub fn decode_record(&self) -> Result<Record, RecordError> {
        if self.version != RECORD_VERSION {
            return Err(RecordError::UnknownVersion(self.version));
        }
        match postcard::take_from_bytes(&self.body) {
            Ok((record, [])) => Ok(record),
            Ok((_, trailing)) => Err(RecordError::TrailingBytes(trailing.len())),
            Err(error) => Err(RecordError::Malformed(error)),
        }
    }

    /// Roughly the bytes that the link takes in memory.
    pub fn size_estimate(&self) -> usize {
        self.body.len() + self.name.len() + LINK_OVERHEAD_BYTES
    }

    /// The link as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a link.
    ///
    /// # Errors
    ///
    /// Bytes that are not one.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedLink> {
        postcard::from_bytes(bytes).map_err(MalformedLink)
    }
}

/// The first bytes of a file of audit logs.
const FILE_MAGIC: &[u8] = b"lhaudit1";

/// Links as the content of a file.
pub fn write_file(links: &[ChainLink]) -> Vec<u8> {
    let mut bytes = FILE_MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(links).unwrap_or_default());
    bytes
}

/// The links of a file.
///
/// # Errors
///
/// Content that is not what [`write_file`] writes.
pub fn read_file(bytes: &[u8]) -> Result<Vec<ChainLink>, LogFileError> {
    let links = bytes.strip_prefix(FILE_MAGIC).ok_or(LogFileError::NoLogFile)?;
    postcard::from_bytes(links).map_err(LogFileError::Malformed)
}
