//! The frames of the simulator's protocol: batches of records are decoded, replies of records are encoded.
//!
//! Only this module translates between the names of the protocol and those of the decision module.

mod decode;
mod encode;
mod fields;

use std::fmt;

use linnethook::interface::{Endpoint, EndpointUpdate, Event};

pub use decode::{decode_batch, BatchHeader, BATCH_HEADER_BYTES};
pub use encode::Reply;

/// Maximum number of endpoint lists; they are numbered from 0.
pub const ENDPOINT_LISTS: usize = 16;

/// The number of one router in the protocol.
pub type Instance = u16;

/// Why a frame cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedFrame {
    /// What was got, and what was expected.
    pub message: String,
    /// Offset in the frame, in bytes.
    pub offset: usize,
}

impl fmt::Display for MalformedFrame {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} at byte {} of the batch", self.message, self.offset)
    }
}

impl std::error::Error for MalformedFrame {}

/// The result of decoding.
pub type Result<T> = std::result::Result<T, MalformedFrame>;

/// One record of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    StartInstance {
        instance: Instance,
        seed: u64,
        settings: Vec<u8>,
    },
    StopInstance {
        instance: Instance,
    },
    /// Defines an endpoint list that later updates refer to.
    DefineList {
        list: usize,
        endpoints: Vec<Endpoint>,
    },
    UpdateEndpoints {
        instance: Instance,
        update: EndpointUpdate,
        list: usize,
    },
    /// An event, with the values of its load report. The settings of the instance define their fields;
    /// `report` is empty if the event has none.
    Event {
        instance: Instance,
        event: Event,
        report: Vec<f64>,
    },
    /// A message from another instance; no decision uses it.
    PeerMessage {
        instance: Instance,
    },
}
