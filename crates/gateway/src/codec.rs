//! Owns the frames of a link: a length, a kind, a stream, and what belongs to it.
//!
//! Bytes of bodies are raw; all else is postcard. Must never keep anything of a frame whose length was not checked,
//! and never go on after one that can't be read: the session ends.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};

use crate::ledger::{Fate, Token};
use crate::site::{About, Fact, State};
use crate::transfer::Copy;

/// The length counts the kind, the stream and the payload.
const HEAD: usize = 4;
const KIND_AND_STREAM: usize = 5;
/// What a frame of bytes has beside them.
pub const OVERHEAD: usize = HEAD + KIND_AND_STREAM;

/// Names and values, as a client's request has them.
pub type Fields = Vec<(String, String)>;

/// The versions of these frames that this build speaks, from and to. Since 2 there are facts of fellows.
pub const VERSIONS: (u16, u16) = (1, 2);

/// One word of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// The first frame of each side.
    Hello(Hello),
    /// A request; streams are numbered upwards by the side that opens them.
    Open(Box<Open>),
    /// An answer begins.
    Answer(Box<Begins>),
    /// Bytes of the body of an answer.
    Data(Bytes),
    /// The body is whole.
    End,
    /// Nobody waits for the stream any more.
    Cancel,
    /// It was turned away, and never ran; when it may come again, in milliseconds, 0 = not told.
    Never {
        why: Turned,
        come_back: u32,
    },
    /// So many more bytes may be sent on the stream; on stream 0, on the link.
    Credit(u32),
    /// Answered by the other side with the same number, behind all that it had to say before.
    Ping(u64),
    Pong(u64),
    /// What became of an attempt, and the answer to that.
    Ask(Token),
    Told(Token, Fate),
    /// What a site says of itself.
    State(State),
    /// Something before the last state is missing: the start and the version up to which all is known.
    Behind(u64, u64),
    /// No new streams on this connection.
    Leave,
    /// Facts beside the order of states: for one fellow, that lacks them.
    Direct(Vec<(About, Fact)>),
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
    pub known: (u64, u64),
    /// Where the proof of who it is will stand; empty so far.
    pub proof: Vec<u8>,
}

/// A request that crosses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// Where a second run would be harm.
    pub token: Option<Token>,
    pub left_ms: u32,
    pub priority: u8,
    /// The sites that it has passed, the sender's last.
    pub passed: Vec<String>,
    /// Only the rest of that copy is wanted, from that byte on.
    pub rest: Option<(u64, Copy)>,
    pub head: Fields,
    pub body: Bytes,
}

/// The beginning of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Begins {
    pub served: bool,
    pub head: Fields,
    /// Of the whole body, and the first byte of it that will come.
    pub length: u64,
    pub from: u64,
    /// Which copy it is, where that is known.
    pub copy: Option<Copy>,
}

/// Why something was turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turned {
    /// As many streams or attempts are open as may be.
    Full,
    /// Its token is fenced off, or not remembered.
    Barred,
    /// What this side knows of the other's drains and purges is too old.
    Stale,
    /// The site is left alone by its operators, or the gateway ends.
    Drained,
    /// The decisions there refused it.
    Refused,
    /// It has passed this site, or as many as it may.
    Passed,
    /// It can't be read there.
    Unusable,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Frame {
    pub stream: u32,
    pub word: Word,
}

/// Why a session ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("a frame of {0} bytes, {1} at the most")]
    Length(usize, usize),
    #[error("a frame of an unknown kind")]
    Kind,
    #[error("a frame that can't be read")]
    Payload,
}

const KIND_WORD: u8 = 1;
const KIND_DATA: u8 = 2;

fn head(out: &mut BytesMut, kind: u8, stream: u32, payload: usize) {
    out.put_u32((KIND_AND_STREAM + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}

/// Adds a frame with bytes of a body.
pub fn put_data(out: &mut BytesMut, stream: u32, bytes: &[u8]) {
    out.reserve(OVERHEAD + bytes.len());
    head(out, KIND_DATA, stream, bytes.len());
    out.extend_from_slice(bytes);
}

/// Adds a frame.
pub fn put(out: &mut BytesMut, stream: u32, word: &Word) {
    match word {
        Word::Data(bytes) => put_data(out, stream, bytes),
        word => {
            // Words hold nothing that postcard can't write.
            let payload = postcard::to_stdvec(word).unwrap_or_default();
            head(out, KIND_WORD, stream, payload.len());
            out.extend_from_slice(&payload);
        }
    }
}

/// The bytes of a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut out = BytesMut::new();
    put(&mut out, frame.stream, &frame.word);
    out.to_vec()
}

/// Takes frames out of bytes as they come.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: BytesMut,
}

impl Decoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that are there and belong to no whole frame yet.
    pub fn rest(&self) -> usize {
        self.bytes.len()
    }

    /// The next frame, once it is there whole; `longest` counts its kind, stream and payload.
    pub fn next(&mut self, longest: usize) -> Result<Option<Frame>, Malformed> {
        let Some((head, rest)) = self.bytes.split_first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if !(KIND_AND_STREAM..=longest).contains(&length) {
            return Err(Malformed::Length(length, longest));
        }
        if rest.len() < length {
            return Ok(None);
        }
        self.bytes.advance(HEAD);
        let kind = self.bytes.get_u8();
        let stream = self.bytes.get_u32();
        // Bytes of bodies are handed on as they lie.
        let payload = self.bytes.split_to(length - KIND_AND_STREAM).freeze();
        let word = match kind {
            KIND_DATA => Word::Data(payload),
            KIND_WORD => match postcard::take_from_bytes::<Word>(&payload) {
                Ok((word, [])) if !matches!(word, Word::Data(_)) => word,
                _ => return Err(Malformed::Payload),
            },
            _ => return Err(Malformed::Kind),
        };
        Ok(Some(Frame { stream, word }))
    }
}
