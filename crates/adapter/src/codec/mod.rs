//! The simulator's frames: batches of records in, replies of records out.
//!
//! The names of the wire are translated to those of the decision module here, and nowhere else.

mod decode;
mod encode;
mod fields;

use std::fmt;

use linnethook::interface::{Endpoint, EndpointUpdate, Event};

pub use decode::{decode_batch, BatchHeader, BATCH_HEADER_BYTES};
pub use encode::Reply;

/// Number of the endpoint lists that the simulator may define.
pub const ENDPOINT_LISTS: usize = 16;

/// The number of one router on the wire.
pub type Instance = u16;

/// What is wrong with a frame, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedFrame {
    pub message: String,
    /// Bytes from the start of the frame.
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
    /// Defines a list for the updates that follow.
    DefineList {
        list: usize,
        endpoints: Vec<Endpoint>,
    },
    UpdateEndpoints {
        instance: Instance,
        update: EndpointUpdate,
        list: usize,
    },
    /// The load report of an event, if any, is `report`: the instance's settings say what its values are.
    Event {
        instance: Instance,
        event: Event,
        report: Vec<f64>,
    },
    /// A message from another instance, which no decision uses.
    PeerMessage {
        instance: Instance,
    },
}
