//! Owns the frames of a link: a length, a kind, a stream, and what belongs to it.
//!
//! Bytes of bodies are raw; all else is postcard. Must never keep anything of a frame whose length was not checked,
//! and never go on after one that can't be read: the session ends.

use serde::{Deserialize, Serialize};

use crate::ledger::{Fate, Token};

/// The length counts the kind, the stream and the payload.
const HEAD: usize = 4;
const KIND_AND_STREAM: usize = 5;

/// One word of a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// The first frame of each side: which versions it speaks, its site, and when it started.
    Hello {
        versions: (u16, u16),
        site: String,
        epoch: u64,
    },
    /// A request, with the time that is left for it; a token where a second run would be harm.
    Open {
        token: Option<Token>,
        left_ms: u32,
        priority: u8,
        passed: Vec<String>,
        head: Vec<(String, String)>,
    },
    /// An answer begins: its code, and how many bytes will come.
    Answer {
        code: u8,
        length: u64,
        head: Vec<(String, String)>,
    },
    /// Bytes of the body of a request or an answer.
    Data(Vec<u8>),
    /// The body is whole.
    End,
    /// Nobody waits for the stream any more.
    Cancel,
    /// It was turned away, and never ran.
    Never {
        why: String,
    },
    /// So many more bytes may be sent on the stream; on stream 0, on the link.
    Credit(u32),
    /// Answered by the other side with the same number.
    Ping(u64),
    Pong(u64),
    /// What became of an attempt, and the answer to that.
    Ask(Token),
    Told(Token, Fate),
    /// No new streams on this connection.
    Leave,
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

/// The bytes of a frame.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let (kind, payload) = match &frame.word {
        Word::Data(bytes) => (KIND_DATA, bytes.clone()),
        // Words hold nothing that postcard can't write.
        word => (KIND_WORD, postcard::to_stdvec(word).unwrap_or_default()),
    };
    let length = (KIND_AND_STREAM + payload.len()) as u32;
    let mut out = Vec::with_capacity(HEAD + length as usize);
    out.extend(length.to_be_bytes());
    out.push(kind);
    out.extend(frame.stream.to_be_bytes());
    out.extend(payload);
    out
}

/// Takes frames out of bytes as they come.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    /// How much of them was taken already.
    taken: usize,
}

impl Decoder {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.taken > 0 && self.taken == self.bytes.len() {
            self.bytes.clear();
            self.taken = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that are there and belong to no whole frame yet.
    pub fn rest(&self) -> usize {
        self.bytes.len() - self.taken
    }

    /// The next frame, once it is there whole; `longest` counts its kind, stream and payload.
    pub fn next(&mut self, longest: usize) -> Result<Option<Frame>, Malformed> {
        let at = &self.bytes[self.taken..];
        let Some((head, rest)) = at.split_first_chunk::<HEAD>() else { return Ok(None) };
        let length = u32::from_be_bytes(*head) as usize;
        if !(KIND_AND_STREAM..=longest).contains(&length) {
            return Err(Malformed::Length(length, longest));
        }
        let Some(frame) = rest.get(..length) else { return Ok(None) };
        let Some(([kind, a, b, c, d], payload)) = frame.split_first_chunk::<KIND_AND_STREAM>() else {
            return Err(Malformed::Payload);
        };
        let stream = u32::from_be_bytes([*a, *b, *c, *d]);
        let word = match *kind {
            KIND_DATA => Word::Data(payload.to_vec()),
            KIND_WORD => match postcard::take_from_bytes::<Word>(payload) {
                Ok((word, [])) if !matches!(word, Word::Data(_)) => word,
                _ => return Err(Malformed::Payload),
            },
            _ => return Err(Malformed::Kind),
        };
        self.taken += HEAD + length;
        // Keeps no more than twice what is still to be taken.
        if self.taken > self.bytes.len() / 2 {
            self.bytes.drain(..self.taken);
            self.taken = 0;
        }
        Ok(Some(Frame { stream, word }))
    }
}
