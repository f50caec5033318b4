//! The wire protocol of caches: messages are RESP arrays of bulk strings.
//!
//! The wire names of commands and statuses are defined here only, those of fields in `request.rs` and
//! `response.rs`.

use std::fmt;

use crate::buffers::{BufferChain, BufferPool};

/// The maximum size of a line with the length of an array or a string.
const MAX_LENGTH_LINE_BYTES: usize = 24;

/// A reply of a cache, a parent or the origin.
#[derive(Debug)]
pub struct Reply {
    pub id: String,
    pub status: ReplyStatus,
    pub fields: FieldList,
    pub body: ReplyBody,
}

/// The body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    Received(BufferChain),
    /// It was not kept as it arrived.
    Discarded,
}

/// The sizes of strings that a decoder accepts, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct StringLimits {
    /// Longer strings are errors.
    pub max_bytes: usize,
    /// Longer bodies are discarded as they arrive.
    pub max_body_bytes: usize,
}

/// The status of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyStatus {
    Data,
    /// The client's copy is valid.
    NotModified,
    /// The object is not cached there, and was not filled.
    CacheMiss,
    /// Rejected for lack of capacity.
    Rejected,
    Failed,
    /// The request was cancelled before its execution began.
    NotExecuted,
    Healthy,
    Unhealthy,
}

impl ReplyStatus {
    fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "data" => Self::Data,
            "unchanged" => Self::NotModified,
            "absent" => Self::CacheMiss,
            "full" => Self::Rejected,
            "failed" => Self::Failed,
            "moot" => Self::NotExecuted,
            "well" => Self::Healthy,
            "ill" => Self::Unhealthy,
            _ => return None,
        })
    }
}

/// How a reply violates the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyError {
    /// An array of neither 2 nor 3 nor 4 strings.
    ArrayLength(usize),
    /// A string longer than the limit.
    StringLength {
        /// Its size.
        bytes: usize,
        /// The limit.
        max_bytes: usize,
    },
    StringEnd,
    NotText,
    NoId,
    NoStatus,
    UnknownStatus,
    NoBody,
    NotAnArray,
    LineEnd,
    LengthNotANumber,
}

impl fmt::Display for ReplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ArrayLength(length) => {
                return write!(f, "reply is an array of {length} strings, expected 2, 3 or 4");
            }
            Self::StringLength { bytes, max_bytes } => {
                return write!(f, "string of a reply has {bytes} bytes, expected at most {max_bytes}");
            }
            Self::StringEnd => "string of a reply is not terminated by CRLF",
            Self::NotText => "id, status or fields of a reply are not UTF-8",
            Self::NoId => "reply has no id",
            Self::NoStatus => "reply has no status",
            Self::UnknownStatus => "reply has an unknown status",
            Self::NoBody => "reply has no body",
            Self::NotAnArray => "reply is not an array of bulk strings",
            Self::LineEnd => "length line of a reply is too long",
            Self::LengthNotANumber => "length in a reply is not a number",
        })
    }
}

impl std::error::Error for ReplyError {}

/// Fields of a message, written as `name=value` pairs separated by commas, or as `-` without any.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FieldList(Vec<(String, String)>);

impl FieldList {
    fn parse(text: &str) -> Self {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(name, value)| (name.to_string(), value.to_string())).collect())
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl fmt::Display) {
        self.0.push((name.to_string(), value.to_string()));
    }

    /// Appends all fields of another list.
    pub fn append(&mut self, mut other: Self) {
        self.0.append(&mut other.0);
    }

    /// The value of the first field of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }
}

impl fmt::Display for FieldList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        for (n, (name, value)) in self.0.iter().enumerate() {
            write!(f, "{}{name}={value}", if n > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}

/// Incremental decoder for the replies of one connection.
#[derive(Debug, Default)]
pub struct ReplyDecoder {
    /// The number of strings of the current array that are still missing.
    missing_strings: usize,
    /// The size of the current string, once its length line was read.
    size: Option<usize>,
    parts: Vec<BufferChain>,
    /// The number of bytes of the current body that have not arrived, if the body is discarded.
    discarding: Option<usize>,
}

/// The number of strings before the body of a reply.
const STRINGS_BEFORE_BODY: usize = 3;

impl ReplyDecoder {
    /// Whether no reply is partially read.
    pub fn is_idle(&self) -> bool {
        self.missing_strings == 0
    }

    /// Decodes one reply and removes it from `input`; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Bytes that violate the protocol.
    pub fn decode(
        &mut self,
        input: &mut BufferChain,
        limits: StringLimits,
    ) -> Result<Option<Reply>, ReplyError> {
        loop {
            if self.missing_strings == 0 {
                let Some(count) = take_length_line(input, b'*')? else { return Ok(None) };
                if !(2..=4).contains(&count) {
                    return Err(ReplyError::ArrayLength(count));
                }
                self.missing_strings = count;
            }
            let size = match self.size {
                Some(size) => size,
                None => {
                    let Some(size) = take_length_line(input, b'$')? else { return Ok(None) };
                    if size > limits.max_bytes {
                        return Err(ReplyError::StringLength { bytes: size, max_bytes: limits.max_bytes });
                    }
                    self.size = Some(size);
                    size
                }
            };
            let is_body = self.parts.len() == STRINGS_BEFORE_BODY;
            if is_body && size > limits.max_body_bytes {
                self.discarding.get_or_insert(size);
            }
            self.discard_body(input);
            let missing = self.discarding.unwrap_or(size);
            if input.len() < missing + 2 {
                return Ok(None);
            }
            let part = input.split_to(missing);
            let mut end = [0; 2];
            input.peek(&mut end);
            if &end != b"\r\n" {
                return Err(ReplyError::StringEnd);
            }
            input.consume(2);
            self.parts.push(part);
            self.size = None;
            self.missing_strings -= 1;
            if self.missing_strings == 0 {
                let is_discarded = self.discarding.take().is_some();
                return parse_reply(std::mem::take(&mut self.parts), is_discarded).map(Some);
            }
        }
    }

    /// Removes the part of a discarded body that has arrived.
    fn discard_body(&mut self, input: &mut BufferChain) {
        if let Some(missing) = &mut self.discarding {
            let arrived = input.len().min(*missing);
            input.consume(arrived);
            *missing -= arrived;
        }
    }
}

fn parse_reply(parts: Vec<BufferChain>, is_body_discarded: bool) -> Result<Reply, ReplyError> {
    let mut parts = parts.into_iter();
    let mut text = || -> Result<Option<String>, ReplyError> {
        let part = parts.next().map(|part| String::from_utf8(part.to_vec()));
        part.transpose().map_err(|_| ReplyError::NotText)
    };
    let id = text()?.ok_or(ReplyError::NoId)?;
    let status = text()?.ok_or(ReplyError::NoStatus)?;
    let status = ReplyStatus::parse(&status).ok_or(ReplyError::UnknownStatus)?;
    let fields = FieldList::parse(&text()?.unwrap_or_default());
    let body = parts.next().ok_or(ReplyError::NoBody)?;
    let body = if is_body_discarded { ReplyBody::Discarded } else { ReplyBody::Received(body) };
    Ok(Reply { id, status, fields, body })
}

/// Removes a length line that begins with `sign`; `None` while it is incomplete.
fn take_length_line(input: &mut BufferChain, sign: u8) -> Result<Option<usize>, ReplyError> {
    let mut start = [0; MAX_LENGTH_LINE_BYTES];
    let seen = input.peek(&mut start);
    let start = &start[..seen];
    if start.first().is_some_and(|&first| first != sign) {
        return Err(ReplyError::NotAnArray);
    }
    let Some(end) = start.windows(2).position(|pair| pair == b"\r\n") else {
        return if seen < MAX_LENGTH_LINE_BYTES { Ok(None) } else { Err(ReplyError::LineEnd) };
    };
    let number = std::str::from_utf8(&start[1..end]).ok().and_then(|digits| digits.parse().ok());
    let number = number.ok_or(ReplyError::LengthNotANumber)?;
    input.consume(end + 2);
    Ok(Some(number))
}

/// Encodes a request.
pub fn encode_request(pool: &BufferPool, id: &str, fields: &FieldList, body: BufferChain) -> BufferChain {
    let mut out = BufferChain::new(pool);
    out.push(b"*4\r\n");
    push_string(&mut out, b"ASK");
    push_string(&mut out, id.as_bytes());
    push_string(&mut out, fields.to_string().as_bytes());
    out.push(format!("${}\r\n", body.len()).as_bytes());
    out.append(body);
    out.push(b"\r\n");
    out
}

/// Encodes the cancellation of a request.
pub fn encode_cancellation(pool: &BufferPool, id: &str) -> BufferChain {
    command(pool, &["QUIT", id])
}

/// Encodes a health check; its reply carries a load report.
pub fn encode_health_check(pool: &BufferPool, id: &str) -> BufferChain {
    command(pool, &["INFO", id])
}

fn command(pool: &BufferPool, strings: &[&str]) -> BufferChain {
    let mut out = BufferChain::new(pool);
    out.push(format!("*{}\r\n", strings.len()).as_bytes());
    for text in strings {
        push_string(&mut out, text.as_bytes());
    }
    out
}

fn push_string(out: &mut BufferChain, bytes: &[u8]) {
    out.push(format!("${}\r\n", bytes.len()).as_bytes());
    out.push(bytes);
    out.push(b"\r\n");
}

#[cfg(test)]
#[path = "../../tests/unit/upstream_codec.rs"]
mod tests;
