//! The records of an audit log, and the hash chain that links each record to the previous one.
//!
//! A record is valid only if it follows the hash of the previous one, and a record of an unknown version is
//! never decoded as another version.

use linnethook_membership::hybrid_clock::Timestamp;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use serde::{Deserialize, Serialize};

use crate::error::{LogFileError, MalformedLink, RecordError};

/// An action that is counted. Nodes are identified by ids; the span contains their names.
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
    /// A request was sent together with the source from which to fill.
    Fill {
        /// The node that fills.
        child: u64,
        /// The node from which it fills.
        source: u64,
    },
    /// A write was sent. The attempt is also listed in the span.
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
        /// The number of the stage in the hierarchy.
        stage: u8,
    },
    /// A cache began to drain.
    Drain {
        /// The cache.
        cache: u64,
        /// The position in the journal.
        #[serde(rename = "number")]
        journal_position: u64,
        /// Whether the event was received by gossip and not from the router's own journal.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A cache accepts new work again.
    #[serde(rename = "Back")]
    CacheRestored {
        /// The cache.
        cache: u64,
        /// The position in the journal.
        #[serde(rename = "number")]
        journal_position: u64,
        /// Whether the event was received by gossip and not from the router's own journal.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A purge was applied.
    Purge {
        /// The position in the journal.
        #[serde(rename = "number")]
        journal_position: u64,
        /// Whether the event was received by gossip and not from the router's own journal.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A change batch of the hierarchy was applied.
    Batch {
        /// The batch's author.
        author: u16,
        /// The batch's number.
        number: u64,
        /// Whether the batch was received by gossip.
        #[serde(rename = "fellows")]
        from_gossip: bool,
    },
    /// A request was rejected because this router is excluded as a straggler.
    #[serde(rename = "ShutOut")]
    RejectedAsStraggler,
}

/// How many times an action was performed in a span, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// How many times the action was performed.
    pub count: u64,
    /// When it was performed first.
    pub first: Timestamp,
    /// When it was performed last.
    pub last: Timestamp,
}

/// An attempt of a write: a request that its class or the client marks as a write, whether it is idempotent
/// or not.
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

/// How an attempt of a write ended. An attempt without a recorded outcome has an unknown one, such as after
/// the client has disconnected.
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

/// A time span in which a router acted on the same versions, and the router's actions in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Span {
    /// The begin of the span.
    pub from: Timestamp,
    /// The end of the span.
    pub to: Timestamp,
    /// The begin and the end by the router's own clock, in Unix milliseconds.
    #[serde(rename = "clock")]
    pub wall_clock: (Ms, Ms),
    /// The versions that the router acted on.
    #[serde(rename = "acts_on")]
    pub versions: ActiveVersions,
    /// The actions, sorted, with how many times each was performed.
    pub counts: Vec<(AuditedAction, Tally)>,
    /// Attempts of writes.
    #[serde(rename = "bookings")]
    pub write_attempts: Vec<WriteAttempt>,
    /// Outcomes of attempts of writes.
    #[serde(rename = "ends")]
    pub write_outcomes: Vec<WriteOutcome>,
    /// The number of attempts and outcomes beyond the limits of the lists.
    #[serde(rename = "unnamed")]
    pub omitted_writes: u64,
    /// The number of actions of kinds beyond the limit of the counts.
    #[serde(rename = "untold")]
    pub omitted_actions: u64,
    /// The names of the nodes of the actions, by id.
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
        /// When it started.
        at: Timestamp,
        /// The same by the router's own clock, in Unix milliseconds.
        wall_clock: Ms,
    },
    /// The router's actions in a span.
    Span(Box<Span>),
    /// The router shut down gracefully. No record follows.
    Closed {
        /// When the log was closed.
        at: Timestamp,
    },
}

impl Record {
    /// Up to when the record covers the router's actions.
    pub fn covered_until(&self) -> Timestamp {
        match self {
            Self::Started { at, .. } | Self::Closed { at } => *at,
            Self::Span(span) => span.to,
        }
    }
}

/// The BLAKE3 hash of a record and its position in a log.
pub type RecordHash = [u8; 32];

/// An encoded record with its position in the log of one incarnation of one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainLink {
    /// The router.
    pub name: String,
    /// Its incarnation.
    #[serde(rename = "start")]
    pub incarnation: u64,
    /// The record's number, from 1.
    pub number: u64,
    /// The hash of the previous record; all zeros for the first one.
    #[serde(rename = "before")]
    pub previous_hash: RecordHash,
    /// The version of the body's format.
    pub version: u16,
    /// The encoded record.
    pub body: Vec<u8>,
}

/// The version of the record format that this build reads and writes.
pub const RECORD_VERSION: u16 = 1;
/// The approximate number of bytes of a link beside the body and the router's name.
const LINK_OVERHEAD_BYTES: usize = 64;

impl ChainLink {
    /// A record at a position in a log.
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

    /// The hash over all fields of the link.
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

    /// Decodes the record.
    ///
    /// # Errors
    ///
    /// The record has an unknown version, is malformed, or is followed by other bytes.
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

    /// The approximate number of bytes that the link takes in memory.
    pub fn size_estimate(&self) -> usize {
        self.body.len() + self.name.len() + LINK_OVERHEAD_BYTES
    }

    /// The link as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a link.
    ///
    /// # Errors
    ///
    /// The bytes are not a link.
    pub fn decode(bytes: &[u8]) -> Result<Self, MalformedLink> {
        postcard::from_bytes(bytes).map_err(MalformedLink)
    }
}

/// The first bytes of a file of audit logs.
const FILE_MAGIC: &[u8] = b"lhaudit1";

/// Encodes links as the content of a file.
pub fn write_file(links: &[ChainLink]) -> Vec<u8> {
    let mut bytes = FILE_MAGIC.to_vec();
    bytes.extend(postcard::to_stdvec(links).unwrap_or_default());
    bytes
}

/// Decodes the links of a file.
///
/// # Errors
///
/// The content is not one that [`write_file`] writes.
pub fn read_file(bytes: &[u8]) -> Result<Vec<ChainLink>, LogFileError> {
    let links = bytes.strip_prefix(FILE_MAGIC).ok_or(LogFileError::NotALogFile)?;
    postcard::from_bytes(links).map_err(LogFileError::Malformed)
}
