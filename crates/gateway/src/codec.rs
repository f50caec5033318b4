//! The frames of a link: a length, a kind, a stream, and a payload.
//!
//! Bytes of bodies are raw; all else is postcard, so the order of variants and fields here is the format. Nothing of a
//! frame is buffered beyond its bound, and a connection is closed after one that can't be read.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::attempt_ledger::{AttemptOutcome, Token};
use crate::site_state::{Fact, StatePosition, StateUpdate};
use crate::transfer::ObjectVersion;

/// Size of the length, which counts the kind, the stream and the payload.
const LENGTH_BYTES: usize = 4;
const KIND_AND_STREAM_BYTES: usize = 5;
/// What a frame has beside its payload, in bytes.
pub const DATA_OVERHEAD_BYTES: usize = LENGTH_BYTES + KIND_AND_STREAM_BYTES;

/// Names and values, as clients write them.
pub type Fields = Vec<(String, String)>;

/// The versions of these frames that this build speaks. Since 2 there are entries of routers of one site.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange { min: 1, max: 2 };

/// Versions of the frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The oldest one.
    pub min: u16,
    /// The newest one.
    pub max: u16,
}

impl VersionRange {
    /// Whether there is a version that both sides speak.
    pub fn overlaps(self, other: Self) -> bool {
        self.min <= self.max && self.max >= other.min && self.min <= other.max
    }
}

/// One message of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first frame of each side.
    Hello(Hello),
    /// A request opens a stream; streams are numbered upwards by the side that opens them.
    Request(Box<ForwardedRequest>),
    /// A response begins.
    Response(Box<ResponseHead>),
    /// Bytes of the body of a response.
    Data(Bytes),
    /// The body is complete.
    End,
    /// Nobody waits for the response any more.
    Cancel,
    /// The request was rejected, and never ran.
    Reject {
        /// Why.
        reason: RejectReason,
        /// When it may be sent again, in milliseconds; 0 if that is not known.
        retry_after_ms: u32,
    },
    /// So many more bytes may be sent on the stream or, on stream 0, on the connection.
    Credit(u32),
    /// The other side answers with the same number, behind all that it had queued before.
    Ping(u64),
    /// The answer to a ping.
    Pong(u64),
    /// What became of an attempt?
    OutcomeQuery(Token),
    /// What became of an attempt.
    OutcomeReport(Token, AttemptOutcome),
    /// What has changed of the state of a site.
    StateUpdate(StateUpdate),
    /// An update is missing: the position up to which all is known.
    StateRequest(StatePosition),
    /// No new streams on this connection.
    GoAway,
    /// Facts outside of the order of updates, for one router of the own site that lacks them.
    DirectFacts(Vec<Fact>),
}

/// How a gateway introduces itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The versions of the frames that it speaks.
    pub versions: VersionRange,
    /// The name of its site.
    pub site: String,
    /// Its name within its site.
    pub node: String,
    /// When its process started, in Unix microseconds.
    pub epoch: u64,
    /// The position up to which it knows the state of the other side.
    pub known_state: StatePosition,
    /// Reserved for a proof of its identity; empty.
    pub proof: Vec<u8>,
}

/// A request that is forwarded to another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The fencing token, if a second execution would do harm.
    pub token: Option<Token>,
    /// How long the answer may take, in milliseconds.
    pub remaining_ms: u32,
    /// The number of its [`Priority`](crate::flow_control::Priority).
    pub priority: u8,
    /// The names of the sites that it has passed, the sender's last.
    pub passed_sites: Vec<String>,
    /// Set if the first part of the body is there already.
    pub resume_from: Option<ResumePoint>,
    /// Names and values, as the client has sent them.
    pub fields: Fields,
    /// The body of the request.
    pub body: Bytes,
}

/// Where a body that stopped is to go on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The first byte that is wanted.
    pub offset: u64,
    /// The version of the object that it has to be.
    pub version: ObjectVersion,
}

/// The beginning of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// Whether the request was served; else it failed.
    pub served: bool,
    /// Names and values of the answer.
    pub fields: Fields,
    /// The length of the complete body, in bytes.
    pub body_length: u64,
    /// The first byte of it that will be sent.
    pub offset: u64,
    /// The version of the object, where that is known.
    pub version: Option<ObjectVersion>,
}

impl ResponseHead {
    /// The response to a request that failed.
    pub fn failed() -> Self {
        Self { served: false, fields: Vec::new(), body_length: 0, offset: 0, version: None }
    }
}

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// As many streams, requests or attempts are open as may be.
    AtCapacity,
    /// Its token is fenced, or older than what is remembered. Only decoded: this version reports the token's outcome
    /// instead.
    TokenFenced,
    /// The receiver may not know of all drains and purges that the sender knew of.
    StateTooOld,
    /// The receiver's site is drained by its operators, or the gateway shuts down.
    Draining,
    /// The decisions of the receiver's site rejected it.
    Refused,
    /// It has passed the receiver's site, or as many sites as it may.
    HopLimit,
    /// It can't be read there.
    Unusable,
}

/// An answer as it is retained with its token. The sender of a query gets it in these bytes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CachedReply {
    pub served: bool,
    pub fields: Fields,
    pub body: Bytes,
}

/// One frame.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// The stream that it belongs to; 0 for the connection.
    pub stream: u32,
    /// What it says.
    pub message: Message,
}

/// A frame that can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedFrame {
    /// Its length, and the longest that is accepted.
    #[error("a frame of {0} bytes, {1} at the most")]
    InvalidLength(usize, usize),
    /// Its kind is not known.
    #[error("a frame of an unknown kind")]
    UnknownKind,
    /// Its payload is not one message.
    #[error("a frame that can't be read")]
    InvalidPayload,
}

const KIND_MESSAGE: u8 = 1;
const KIND_DATA: u8 = 2;

fn write_header(out: &mut BytesMut, kind: u8, stream: u32, payload: usize) {
    out.put_u32((KIND_AND_STREAM_BYTES + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}

/// Appends a frame with bytes of a body.
pub fn write_data(out: &mut BytesMut, stream: u32, bytes: &[u8]) {
    out.reserve(DATA_OVERHEAD_BYTES + bytes.len());
    write_header(out, KIND_DATA, stream, bytes.len());
    out.extend_from_slice(bytes);
}

/// Appends a frame.
pub fn write_message(out: &mut BytesMut, stream: u32, message: &Message) {
    match message {
        Message::Data(bytes) => write_data(out, stream, bytes),
        message => {
            // Messages hold nothing that postcard can't write.
            let payload = postcard::to_stdvec(message).unwrap_or_default();
            write_header(out, KIND_MESSAGE, stream, payload.len());
            out.extend_from_slice(&payload);
        }
    }
}

/// The bytes of a frame.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_message(&mut out, frame.stream, &frame.message);
    out.to_vec()
}

/// Reads frames from bytes as they arrive.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Adds bytes that have arrived.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes of a frame that is not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next frame, once it is complete. `max_bytes` bounds its kind, stream and payload, in bytes.
    ///
    /// # Errors
    ///
    /// The frame is too long, or can't be read; what follows can't be read, either.
    pub fn next_frame(&mut self, max_bytes: usize) -> Result<Option<Frame>, MalformedFrame> {
        let Some((head, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if !(KIND_AND_STREAM_BYTES..=max_bytes).contains(&length) {
            return Err(MalformedFrame::InvalidLength(length, max_bytes));
        }
        if rest.len() < length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let kind = self.buffer.get_u8();
        let stream = self.buffer.get_u32();
        // Bytes of bodies are handed on as they lie.
        let payload = self.buffer.split_to(length - KIND_AND_STREAM_BYTES).freeze();
        let message = match kind {
            KIND_DATA => Message::Data(payload),
            KIND_MESSAGE => match postcard::take_from_bytes::<Message>(&payload) {
                Ok((message, [])) if !matches!(message, Message::Data(_)) => message,
                _ => return Err(MalformedFrame::InvalidPayload),
            },
            _ => return Err(MalformedFrame::UnknownKind),
        };
        Ok(Some(Frame { stream, message }))
    }
}
