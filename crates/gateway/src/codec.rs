//! Owns the frames of a link: a length, a kind, a stream, and what belongs to it.
//!
//! Bytes of bodies are raw; all else is postcard. Must never keep anything of a frame whose length was not checked,
//! and never go on after one that can't be read: the session ends.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::attempt_ledger::{AttemptOutcome, Token};
use crate::site_state::{FactKey, FactValue, StateUpdate};
use crate::transfer::ObjectVersion;

/// The length counts the kind, the stream and the payload.
const LENGTH_BYTES: usize = 4;
const KIND_AND_STREAM_BYTES: usize = 5;
/// What a frame of bytes has beside them.
pub const DATA_OVERHEAD_BYTES: usize = LENGTH_BYTES + KIND_AND_STREAM_BYTES;

/// Names and values, as a client's request has them.
pub type Fields = Vec<(String, String)>;

/// The versions of these frames that this build speaks, from and to. Since 2 there are facts of fellows.
pub const SUPPORTED_VERSIONS: (u16, u16) = (1, 2);

/// One word of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first frame of each side.
    Hello(Hello),
    /// A request; streams are numbered upwards by the side that opens them.
    Request(Box<ForwardedRequest>),
    /// An answer begins.
    Response(Box<ResponseHead>),
    /// Bytes of the body of an answer.
    Data(Bytes),
    /// The body is whole.
    End,
    /// Nobody waits for the stream any more.
    Cancel,
    /// It was turned away, and never ran; when it may come again, in milliseconds, 0 = not told.
    Reject {
        reason: RejectReason,
        retry_after_ms: u32,
    },
    /// So many more bytes may be sent on the stream; on stream 0, on the link.
    Credit(u32),
    /// Answered by the other side with the same number, behind all that it had to say before.
    Ping(u64),
    Pong(u64),
    /// What became of an attempt, and the answer to that.
    OutcomeQuery(Token),
    OutcomeReport(Token, AttemptOutcome),
    /// What a site says of itself.
    StateUpdate(StateUpdate),
    /// Something before the last state is missing: the start and the version up to which all is known.
    StateRequest(u64, u64),
    /// No new streams on this connection.
    GoAway,
    /// Facts beside the order of states: for one fellow, that lacks them.
    DirectFacts(Vec<(FactKey, FactValue)>),
}

/// Who speaks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The versions that it speaks, from and to.
    pub versions: (u16, u16),
    pub site: String,
    /// Its name among the gateways of its site, and when it started.
    pub node: String,
    pub epoch: u64,
    /// The start and version up to which it knows the other's state.
    pub known_state: (u64, u64),
    /// Where the proof of who it is will stand; empty so far.
    pub proof: Vec<u8>,
}

/// A request that crosses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Where a second run would be harm.
    pub token: Option<Token>,
    pub remaining_ms: u32,
    pub priority: u8,
    /// The sites that it has passed, the sender's last.
    pub passed_sites: Vec<String>,
    /// Only the rest of that copy is wanted, from that byte on.
    pub resume_from: Option<(u64, ObjectVersion)>,
    pub fields: Fields,
    pub body: Bytes,
}

/// The beginning of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResponseHead {
    pub served: bool,
    pub fields: Fields,
    /// Of the whole body, and the first byte of it that will come.
    pub body_length: u64,
    pub offset: u64,
    /// Which copy it is, where that is known.
    pub version: Option<ObjectVersion>,
}

/// Why something was turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// As many streams or attempts are open as may be.
    AtCapacity,
    /// Its token is fenced off, or not remembered.
    TokenFenced,
    /// What this side knows of the other's drains and purges is too old.
    StateTooOld,
    /// The site is left alone by its operators, or the gateway ends.
    Draining,
    /// The decisions there refused it.
    Refused,
    /// It has passed this site, or as many as it may.
    HopLimit,
    /// It can't be read there.
    Unusable,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    pub stream: u32,
    pub message: Message,
}

/// Why a session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedFrame {
    #[error("a frame of {0} bytes, {1} at the most")]
    InvalidLength(usize, usize),
    #[error("a frame of an unknown kind")]
    UnknownKind,
    #[error("a frame that can't be read")]
    InvalidPayload,
}

const KIND_MESSAGE: u8 = 1;
const KIND_DATA: u8 = 2;

fn head(out: &mut BytesMut, kind: u8, stream: u32, payload: usize) {
    out.put_u32((KIND_AND_STREAM_BYTES + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}

/// Adds a frame with bytes of a body.
pub fn write_data(out: &mut BytesMut, stream: u32, bytes: &[u8]) {
    out.reserve(DATA_OVERHEAD_BYTES + bytes.len());
    head(out, KIND_DATA, stream, bytes.len());
    out.extend_from_slice(bytes);
}

/// Adds a frame.
pub fn write_message(out: &mut BytesMut, stream: u32, word: &Message) {
    match word {
        Message::Data(bytes) => write_data(out, stream, bytes),
        word => {
            // Words hold nothing that postcard can't write.
            let payload = postcard::to_stdvec(word).unwrap_or_default();
            head(out, KIND_MESSAGE, stream, payload.len());
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

/// Takes frames out of bytes as they come.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
}

impl FrameDecoder {
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes that are there and belong to no whole frame yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next frame, once it is there whole; `longest` counts its kind, stream and payload.
    pub fn next_frame(&mut self, longest: usize) -> Result<Option<Frame>, MalformedFrame> {
        let Some((head, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if !(KIND_AND_STREAM_BYTES..=longest).contains(&length) {
            return Err(MalformedFrame::InvalidLength(length, longest));
        }
        if rest.len() < length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let kind = self.buffer.get_u8();
        let stream = self.buffer.get_u32();
        // Bytes of bodies are handed on as they lie.
        let payload = self.buffer.split_to(length - KIND_AND_STREAM_BYTES).freeze();
        let word = match kind {
            KIND_DATA => Message::Data(payload),
            KIND_MESSAGE => match postcard::take_from_bytes::<Message>(&payload) {
                Ok((word, [])) if !matches!(word, Message::Data(_)) => word,
                _ => return Err(MalformedFrame::InvalidPayload),
            },
            _ => return Err(MalformedFrame::UnknownKind),
        };
        Ok(Some(Frame { stream, message: word }))
    }
}
