//! The frames of a link: a length, a kind, a stream number and a payload.
//!
//! Bytes of bodies are sent raw; everything else is encoded with postcard, so the order of variants and
//! fields in this module is part of the wire format. The length of a frame is checked before the frame is
//! buffered. A connection is closed after a malformed frame.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::attempt_ledger::{AttemptOutcome, Token};
use crate::site_state::{Fact, StatePosition, StateUpdate};
use crate::transfer::ObjectVersion;

/// Size of the length field, which counts the kind, the stream and the payload.
const LENGTH_BYTES: usize = 4;
const KIND_AND_STREAM_BYTES: usize = 5;
/// Size of a frame without its payload.
pub const DATA_OVERHEAD_BYTES: usize = LENGTH_BYTES + KIND_AND_STREAM_BYTES;

/// Names and values, in the form in which clients send them.
pub type Fields = Vec<(String, String)>;

/// The protocol versions that this build supports. Version 2 added gossip entries between routers of one
/// site, version 3 the cancellation of a token.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange { min: 1, max: 3 };

/// The first protocol version with [`Message::CancelToken`].
pub const CANCEL_TOKEN_VERSION: u16 = 3;

/// A range of protocol versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The oldest supported version.
    pub min: u16,
    /// The newest supported version.
    pub max: u16,
}

impl VersionRange {
    /// Whether the two ranges have a version in common.
    pub fn overlaps(self, other: Self) -> bool {
        self.min <= self.max && self.max >= other.min && self.min <= other.max
    }
}

/// One message of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first frame of each side.
    Hello(Hello),
    /// A request, which opens a stream. The side that opens streams numbers them in ascending order.
    Request(Box<ForwardedRequest>),
    /// The beginning of a response.
    Response(Box<ResponseHead>),
    /// Bytes of a response body.
    Data(Bytes),
    /// The response body is complete.
    End,
    /// The sender no longer needs the response.
    Cancel,
    /// The request was rejected without having run.
    Reject {
        /// Why it was rejected.
        reason: RejectReason,
        /// The time until it may be sent again, in milliseconds; 0 if unknown.
        retry_after_ms: u32,
    },
    /// Grants that many more bytes on the stream or, on stream 0, on the connection.
    Credit(u32),
    /// A ping. The receiver answers with the same number, after everything that it had queued before.
    Ping(u64),
    /// The answer to a ping.
    Pong(u64),
    /// Queries the outcome of an attempt.
    OutcomeQuery(Token),
    /// Reports the outcome of an attempt.
    OutcomeReport(Token, AttemptOutcome),
    /// A change of the state of a site.
    StateUpdate(StateUpdate),
    /// Requests the updates that follow the position up to which the sender has received all of them.
    StateRequest(StatePosition),
    /// No new streams may be opened on this connection.
    GoAway,
    /// Facts outside the versioned updates, for one router of the same site that lacks them.
    DirectFacts(Vec<Fact>),
    /// Nobody waits for the attempt with this token any more, which was sent on a connection that has ended.
    CancelToken(Token),
}

/// The handshake message: the identity of a gateway and what it supports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The protocol versions that it supports.
    pub versions: VersionRange,
    /// The name of its site.
    pub site: String,
    /// Its name within its site.
    pub node: String,
    /// The start time of its process, in Unix microseconds.
    pub epoch: u64,
    /// The position up to which it has received the state of the receiver.
    pub known_state: StatePosition,
    /// Reserved for a proof of identity; empty.
    pub proof: Vec<u8>,
}

/// A request that was forwarded to another site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The fencing token of a request that is not idempotent.
    pub token: Option<Token>,
    /// The time left for the answer, in milliseconds.
    pub remaining_ms: u32,
    /// The number of its [`Priority`](crate::flow_control::Priority).
    pub priority: u8,
    /// The names of the sites that it has passed, ending with the sender's.
    pub passed_sites: Vec<String>,
    /// Where the response body is to resume; set if the sender already has its beginning.
    pub resume_from: Option<ResumePoint>,
    /// Names and values, as sent by the client.
    pub fields: Fields,
    /// The body of the request.
    pub body: Bytes,
}

/// Where an interrupted body is to resume.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The offset of the first requested byte.
    pub offset: u64,
    /// The required version of the object.
    pub version: ObjectVersion,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// Whether the request was served; otherwise it failed.
    pub served: bool,
    /// Names and values of the answer.
    pub fields: Fields,
    /// The length of the complete body, in bytes.
    pub body_length: u64,
    /// The offset of the first byte that will be sent.
    pub offset: u64,
    /// The version of the object, if known.
    pub version: Option<ObjectVersion>,
}

impl ResponseHead {
    /// Creates the response to a request that failed.
    pub fn failed() -> Self {
        Self { served: false, fields: Vec::new(), body_length: 0, offset: 0, version: None }
    }
}

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// A limit of streams, requests or attempts is reached.
    AtCapacity,
    /// Its token is fenced, or older than the retained tokens. Only decoded: this version reports the token's
    /// outcome instead.
    TokenFenced,
    /// The receiver may not know all drains and purges that the sender knew.
    StateTooOld,
    /// The receiver's site is drained by its operators, or its gateway is shutting down.
    Draining,
    /// The policy of the receiver's site rejected it.
    Refused,
    /// It has already passed the receiver's site, or the largest allowed number of sites.
    HopLimit,
    /// It can't be processed by the receiver.
    Unusable,
}

/// An answer as it is retained with its token. The sender of an outcome query receives these bytes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CachedReply {
    pub served: bool,
    pub fields: Fields,
    pub body: Bytes,
}

/// One frame.
#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    /// The stream that it belongs to; 0 means the connection.
    pub stream: u32,
    /// The message.
    pub message: Message,
}

/// Why a frame can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedFrame {
    /// The length field is out of range: the length found, and the longest that is accepted.
    #[error("frame has {0} bytes, expected {min} to {1}", min = KIND_AND_STREAM_BYTES)]
    InvalidLength(usize, usize),
    /// The kind of the frame is unknown.
    #[error("frame has the unknown kind {0}")]
    UnknownKind(u8),
    /// The payload is not exactly one message.
    #[error("frame payload is not exactly one message, it can't be decoded")]
    InvalidPayload,
}

const KIND_MESSAGE: u8 = 1;
const KIND_DATA: u8 = 2;

fn write_header(out: &mut BytesMut, kind: u8, stream: u32, payload: usize) {
    out.put_u32((KIND_AND_STREAM_BYTES + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}

/// Appends a frame with bytes of a body to `out`.
pub fn write_data(out: &mut BytesMut, stream: u32, bytes: &[u8]) {
    out.reserve(DATA_OVERHEAD_BYTES + bytes.len());
    write_header(out, KIND_DATA, stream, bytes.len());
    out.extend_from_slice(bytes);
}

/// Appends a frame with a message to `out`.
pub fn write_message(out: &mut BytesMut, stream: u32, message: &Message) {
    match message {
        Message::Data(bytes) => write_data(out, stream, bytes),
        message => {
            // Postcard can encode every message.
            let payload = postcard::to_stdvec(message).unwrap_or_default();
            write_header(out, KIND_MESSAGE, stream, payload.len());
            out.extend_from_slice(&payload);
        }
    }
}

/// Encodes a frame.
pub fn encode_frame(frame: &Frame) -> Vec<u8> {
    let mut out = BytesMut::new();
    write_message(&mut out, frame.stream, &frame.message);
    out.to_vec()
}

/// Decodes frames from a stream of bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next frame once it is complete. `max_bytes` limits its kind, stream and payload together.
    ///
    /// # Errors
    ///
    /// The frame is too long or malformed; the bytes that follow can't be decoded either.
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
        // Bytes of bodies are passed on without a copy.
        let payload = self.buffer.split_to(length - KIND_AND_STREAM_BYTES).freeze();
        let message = match kind {
            KIND_DATA => Message::Data(payload),
            KIND_MESSAGE => match postcard::take_from_bytes::<Message>(&payload) {
                Ok((message, [])) if !matches!(message, Message::Data(_)) => message,
                _ => return Err(MalformedFrame::InvalidPayload),
            },
            _ => return Err(MalformedFrame::UnknownKind(kind)),
        };
        Ok(Some(Frame { stream, message }))
    }
}
