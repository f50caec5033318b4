//! The protocol of caches: RESP arrays of bulk strings, to messages and back.
//!
//! Commands and statuses are named here, fields in `request.rs` and `response.rs`, and nowhere else.

use std::fmt;

use crate::buffers::{BufferChain, BufferPool};

/// Bytes of the longest line that announces an array or a string.
const MAX_LENGTH_LINE: usize = 24;

/// An answer of a cache, a parent or the origin.
#[derive(Debug)]
pub struct Reply {
    pub id: String,
    pub status: ReplyStatus,
    pub fields: FieldList,
    pub body: BufferChain,
}

/// The result that a reply states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyStatus {
    Data,
    /// The client's copy is valid.
    Unchanged,
    /// The object is not cached there, and was not filled.
    Absent,
    /// Rejected for lack of capacity.
    Full,
    Failed,
    /// The request was cancelled before it began.
    Moot,
    Healthy,
    Unhealthy,
}

impl ReplyStatus {
    fn parse(text: &str) -> Option<Self> {
        Some(match text {
            "data" => Self::Data,
            "unchanged" => Self::Unchanged,
            "absent" => Self::Absent,
            "full" => Self::Full,
            "failed" => Self::Failed,
            "moot" => Self::Moot,
            "well" => Self::Healthy,
            "ill" => Self::Unhealthy,
            _ => return None,
        })
    }
}

/// How a reply breaks the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyError {
    /// An array of neither 2 nor 3 nor 4 strings.
    ArrayLength,
    StringLength,
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
            Self::ArrayLength => "an array of such a length",
            Self::StringLength => "a string of such a length",
            Self::StringEnd => "a string without its end",
            Self::NotText => "a word that is not text",
            Self::NoId => "no id",
            Self::NoStatus => "no word",
            Self::UnknownStatus => "an unknown word",
            Self::NoBody => "no body",
            Self::NotAnArray => "an answer that is no array of strings",
            Self::LineEnd => "a line without its end",
            Self::LengthNotANumber => "a length that is no number",
        })
    }
}

impl std::error::Error for ReplyError {}

/// `name=value` pairs behind commas, or `-` for none.
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

/// Decodes the replies of one connection, however their bytes are split.
#[derive(Debug, Default)]
pub struct ReplyDecoder {
    /// Strings of the current array that are still to be read.
    missing: usize,
    /// The size of the current string.
    size: Option<usize>,
    parts: Vec<BufferChain>,
}

impl ReplyDecoder {
    /// Whether no reply has begun.
    pub fn is_idle(&self) -> bool {
        self.missing == 0
    }

    /// Removes one reply from `input` once it is complete; no string may be longer than `max_string` bytes.
    ///
    /// # Errors
    ///
    /// Bytes that break the protocol.
    pub fn decode(
        &mut self,
        input: &mut BufferChain,
        max_string: usize,
    ) -> Result<Option<Reply>, ReplyError> {
        loop {
            if self.missing == 0 {
                let Some(count) = take_length_line(input, b'*')? else { return Ok(None) };
                if !(2..=4).contains(&count) {
                    return Err(ReplyError::ArrayLength);
                }
                self.missing = count;
            }
            let size = match self.size {
                Some(size) => size,
                None => {
                    let Some(size) = take_length_line(input, b'$')? else { return Ok(None) };
                    if size > max_string {
                        return Err(ReplyError::StringLength);
                    }
                    self.size = Some(size);
                    size
                }
            };
            if input.len() < size + 2 {
                return Ok(None);
            }
            let part = input.split_to(size);
            let mut end = [0; 2];
            input.peek(&mut end);
            if &end != b"\r\n" {
                return Err(ReplyError::StringEnd);
            }
            input.consume(2);
            self.parts.push(part);
            self.size = None;
            self.missing -= 1;
            if self.missing == 0 {
                return parse_reply(std::mem::take(&mut self.parts)).map(Some);
            }
        }
    }
}

fn parse_reply(parts: Vec<BufferChain>) -> Result<Reply, ReplyError> {
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
    Ok(Reply { id, status, fields, body })
}

/// Removes the line that announces a length, once it is complete.
fn take_length_line(input: &mut BufferChain, sign: u8) -> Result<Option<usize>, ReplyError> {
    let mut start = [0; MAX_LENGTH_LINE];
    let seen = input.peek(&mut start);
    let start = &start[..seen];
    if start.first().is_some_and(|&first| first != sign) {
        return Err(ReplyError::NotAnArray);
    }
    let Some(end) = start.windows(2).position(|pair| pair == b"\r\n") else {
        return if seen < MAX_LENGTH_LINE { Ok(None) } else { Err(ReplyError::LineEnd) };
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

/// Encodes a health check, which is answered with a load report.
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
