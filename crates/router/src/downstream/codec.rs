//! Encoding and decoding of the frames between clients and the router. Malformed frames are errors.

use std::fmt;

use crate::buffers::{BufferChain, BufferPool, Cursor};

/// The frame types on the wire.
mod frame_type {
    pub const REQUEST: u8 = 65;
    pub const ANSWER: u8 = 66;
    pub const CANCEL: u8 = 67;
    pub const READINESS_CHECK: u8 = 80;
    pub const READINESS: u8 = 81;
    pub const GO_AWAY: u8 = 90;
}

/// The names of a request's fields on the wire.
pub mod field {
    pub const CLASS: &str = "c";
    pub const ID: &str = "i";
    pub const OBJECT: &str = "o";
    pub const WAIT_MS: &str = "d";
    pub const CLIENT_COPY: &str = "known";
    pub const IDEMPOTENCY_KEY: &str = "k";
    pub const SIZE_KB: &str = "m";
    pub const REPEAT: &str = "r";
    pub const PART: &str = "chunk";
    pub const GROUP: &str = "tag";

    /// All of them.
    pub const ALL: [&str; 10] =
        [CLASS, ID, OBJECT, WAIT_MS, CLIENT_COPY, IDEMPOTENCY_KEY, SIZE_KB, REPEAT, PART, GROUP];
}

/// The size in bytes of the length field, and of the type and stream fields that follow it.
const LENGTH_BYTES: usize = 4;
const HEAD_BYTES: usize = 5;

/// A message of a client.
#[derive(Debug)]
pub enum ClientMessage {
    Request {
        stream: u32,
        fields: Fields,
        body: BufferChain,
    },
    /// A request whose payload was discarded, so that it can't be forwarded.
    DiscardedRequest {
        stream: u32,
    },
    Cancel {
        stream: u32,
    },
    ReadinessCheck {
        stream: u32,
    },
}

/// The final result of a request, or of a readiness check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerCode {
    Served = 1,
    Rejected = 2,
    Failed = 3,
}

/// The fields of a request that are used, in the order of the frame.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl From<Vec<(String, String)>> for Fields {
    fn from(fields: Vec<(String, String)>) -> Self {
        Self(fields)
    }
}

impl Fields {
    /// Appends a field.
    pub fn put(&mut self, name: &str, value: &str) {
        self.0.push((name.to_string(), value.to_string()));
    }

    /// The value of the first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

/// How a frame violates the protocol. The text is part of the protocol: it is sent to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    Length,
    RequestOnStreamZero,
    FieldsTruncated,
    FieldNotText,
    UnknownType,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "a frame of such a length",
            Self::RequestOnStreamZero => "a request on stream 0",
            Self::FieldsTruncated => "fields that pass the frame's end",
            Self::FieldNotText => "a field that is not text",
            Self::UnknownType => "a frame of such a type",
        })
    }
}

impl std::error::Error for FrameError {}

/// The decoded head of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameHead {
    /// The size of the complete frame, in bytes.
    pub length: usize,
    kind: u8,
    stream: u32,
}

impl FrameHead {
    /// The stream that the frame cancels, if it is a cancellation.
    pub fn cancels(self) -> Option<u32> {
        (self.kind == frame_type::CANCEL).then_some(self.stream)
    }

    /// The message of a complete frame whose payload was discarded.
    ///
    /// # Errors
    ///
    /// A frame that violates the protocol.
    pub fn without_payload(self) -> Result<ClientMessage, FrameError> {
        let stream = self.stream;
        match self.kind {
            frame_type::REQUEST if stream == 0 => Err(FrameError::RequestOnStreamZero),
            frame_type::REQUEST => Ok(ClientMessage::DiscardedRequest { stream }),
            frame_type::CANCEL => Ok(ClientMessage::Cancel { stream }),
            frame_type::READINESS_CHECK => Ok(ClientMessage::ReadinessCheck { stream }),
            _ => Err(FrameError::UnknownType),
        }
    }
}

/// The head of the first frame of `input`; `None` if it is incomplete. `max_frame` is as for [`decode`].
///
/// # Errors
///
/// An invalid length.
pub fn decode_head(input: &BufferChain, max_frame: usize) -> Result<Option<FrameHead>, FrameError> {
    decode_head_at(&input.cursor(0), max_frame)
}

fn decode_head_at(cursor: &Cursor<'_>, max_frame: usize) -> Result<Option<FrameHead>, FrameError> {
    let mut head = [0; LENGTH_BYTES + HEAD_BYTES];
    let seen = cursor.peek(&mut head);
    if seen < LENGTH_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    if !(HEAD_BYTES..=max_frame).contains(&length) {
        return Err(FrameError::Length);
    }
    if seen < head.len() {
        return Ok(None);
    }
    let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
    Ok(Some(FrameHead { length: LENGTH_BYTES + length, kind: head[4], stream }))
}

/// The heads of frames one after another, up to one that is incomplete or invalid.
pub struct FrameHeads<'a> {
    cursor: Cursor<'a>,
    max_frame: usize,
}

impl<'a> FrameHeads<'a> {
    /// Begins at a frame. `max_frame` is as for [`decode`].
    pub fn new(cursor: Cursor<'a>, max_frame: usize) -> Self {
        Self { cursor, max_frame }
    }
}

impl Iterator for FrameHeads<'_> {
    type Item = FrameHead;

    fn next(&mut self) -> Option<FrameHead> {
        let head = decode_head_at(&self.cursor, self.max_frame).ok()??;
        self.cursor.advance(head.length);
        Some(head)
    }
}

/// Decodes one message and removes it from `input`; `None` while it is incomplete. `max_frame` is the longest
/// frame in bytes, without its length field.
///
/// # Errors
///
/// A frame that violates the protocol.
pub fn decode(input: &mut BufferChain, max_frame: usize) -> Result<Option<ClientMessage>, FrameError> {
    let Some(head) = decode_head(input, max_frame)?.filter(|head| input.len() >= head.length) else {
        return Ok(None);
    };
    let stream = head.stream;
    input.consume(LENGTH_BYTES + HEAD_BYTES);
    let mut payload = input.split_to(head.length - LENGTH_BYTES - HEAD_BYTES);
    match head.kind {
        frame_type::REQUEST if stream == 0 => Err(FrameError::RequestOnStreamZero),
        frame_type::REQUEST => {
            let fields = decode_fields(&mut payload)?;
            Ok(Some(ClientMessage::Request { stream, fields, body: payload }))
        }
        frame_type::CANCEL => Ok(Some(ClientMessage::Cancel { stream })),
        frame_type::READINESS_CHECK => {
            if !payload.is_empty() {
                decode_fields(&mut payload)?;
            }
            Ok(Some(ClientMessage::ReadinessCheck { stream }))
        }
        _ => Err(FrameError::UnknownType),
    }
}

/// Decodes the fields. Only those that a request may have are kept: a client may send many others, and names and
/// values of each would take memory.
fn decode_fields(payload: &mut BufferChain) -> Result<Fields, FrameError> {
    let [count] = bytes(payload)?;
    let mut fields = Fields::default();
    let (mut name, mut value) = (Vec::new(), Vec::new());
    for _ in 0..count {
        let [size] = bytes(payload)?;
        let name = text(payload, usize::from(size), &mut name)?;
        let size = u16::from_be_bytes(bytes(payload)?);
        let value = text(payload, usize::from(size), &mut value)?;
        if field::ALL.contains(&name) {
            fields.put(name, value);
        }
    }
    Ok(fields)
}

fn bytes<const N: usize>(payload: &mut BufferChain) -> Result<[u8; N], FrameError> {
    let mut value = [0; N];
    if payload.peek(&mut value) < N {
        return Err(FrameError::FieldsTruncated);
    }
    payload.consume(N);
    Ok(value)
}

/// Takes a text of `size` bytes off the payload, into a buffer.
fn text<'a>(payload: &mut BufferChain, size: usize, buffer: &'a mut Vec<u8>) -> Result<&'a str, FrameError> {
    if payload.len() < size {
        return Err(FrameError::FieldsTruncated);
    }
    buffer.resize(size, 0);
    payload.peek(buffer);
    payload.consume(size);
    std::str::from_utf8(buffer).map_err(|_| FrameError::FieldNotText)
}

/// Encodes the final answer of a stream, or on stream 0 an error of the connection.
pub fn encode_answer(
    pool: &BufferPool,
    stream: u32,
    code: AnswerCode,
    fields: &[(&str, &str)],
    body: BufferChain,
) -> BufferChain {
    frame(pool, frame_type::ANSWER, stream, Some(code), fields, body)
}

/// Encodes the answer to a readiness check.
pub fn encode_readiness(pool: &BufferPool, stream: u32, ready: bool) -> BufferChain {
    let code = if ready { AnswerCode::Served } else { AnswerCode::Rejected };
    frame(pool, frame_type::READINESS, stream, Some(code), &[], BufferChain::new(pool))
}

/// Encodes the announcement that no new request is accepted on this connection.
pub fn encode_go_away(pool: &BufferPool) -> BufferChain {
    frame(pool, frame_type::GO_AWAY, 0, None, &[], BufferChain::new(pool))
}

fn frame(
    pool: &BufferPool,
    kind: u8,
    stream: u32,
    code: Option<AnswerCode>,
    fields: &[(&str, &str)],
    body: BufferChain,
) -> BufferChain {
    let mut payload = Vec::new();
    if let Some(code) = code {
        payload.extend([code as u8, fields.len() as u8]);
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.as_bytes());
            payload.extend((value.len() as u16).to_be_bytes());
            payload.extend(value.as_bytes());
        }
    }
    let length = (HEAD_BYTES + payload.len() + body.len()) as u32;
    let mut out = BufferChain::new(pool);
    out.push(&length.to_be_bytes());
    out.push(&[kind]);
    out.push(&stream.to_be_bytes());
    out.push(&payload);
    out.append(body);
    out
}

#[cfg(test)]
#[path = "../../tests/unit/downstream_codec.rs"]
mod tests;
