//! Parsing of the journal service's HTTP responses.

use std::fmt;

use crate::buffers::BufferChain;

use super::event::EventPage;

/// Why a response is invalid.
#[derive(Debug)]
pub enum ResponseError {
    Http(httparse::Error),
    /// A status other than 200; 0 if there is none.
    Status(u16),
    /// Neither chunked nor with a content length.
    UnknownLength,
    ChunkSize,
    ChunkTooLarge,
    ChunkEnd,
    Json(serde_json::Error),
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Http(error) => write!(f, "head of the journal service's response is malformed: {error}"),
            Self::Status(status) => {
                write!(f, "response of the journal service has status {status}, expected 200")
            }
            Self::UnknownLength => {
                f.write_str("response of the journal service has neither a content length nor chunks")
            }
            Self::ChunkSize => f.write_str("chunk of the journal service's response has an invalid size"),
            Self::ChunkTooLarge => f.write_str("chunk of the journal service's response is too large"),
            Self::ChunkEnd => {
                f.write_str("chunk of the journal service's response is not terminated by CRLF")
            }
            Self::Json(error) => write!(f, "body of the journal service's response is malformed: {error}"),
        }
    }
}

impl std::error::Error for ResponseError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Http(error) => Some(error),
            Self::Json(error) => Some(error),
            _ => None,
        }
    }
}

/// Decodes a response and removes it from `input`; `None` while it is incomplete.
///
/// # Errors
///
/// A malformed response, or one with a status other than 200.
pub fn decode_response(input: &mut BufferChain) -> Result<Option<EventPage>, ResponseError> {
    if input.is_empty() {
        return Ok(None);
    }
    let bytes = input.to_vec();
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(&bytes).map_err(ResponseError::Http)? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(head) => head,
    };
    let header = |name: &str| {
        let found = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let chunked = header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let (body, end) = if chunked {
        match decode_chunks(&bytes[head..])? {
            Some((body, length)) => (body, head + length),
            None => return Ok(None),
        }
    } else {
        let length = header("content-length").and_then(|length| length.parse::<usize>().ok());
        let end = head + length.ok_or(ResponseError::UnknownLength)?;
        match bytes.get(head..end) {
            Some(body) => (body.to_vec(), end),
            None => return Ok(None),
        }
    };
    if response.code != Some(200) {
        return Err(ResponseError::Status(response.code.unwrap_or(0)));
    }
    let page = serde_json::from_slice(&body).map_err(ResponseError::Json)?;
    input.consume(end);
    Ok(Some(page))
}

/// The body of a chunked response and its encoded size in bytes; `None` while it is incomplete.
fn decode_chunks(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, ResponseError> {
    let (mut body, mut offset) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&bytes[offset..]).map_err(|_| ResponseError::ChunkSize)?;
        let httparse::Status::Complete((start, size)) = size else { return Ok(None) };
        let start = offset + start;
        let end = start + usize::try_from(size).map_err(|_| ResponseError::ChunkTooLarge)?;
        let Some(chunk) = bytes.get(start..end) else { return Ok(None) };
        body.extend(chunk);
        match bytes.get(end..end + 2) {
            Some(b"\r\n") => offset = end + 2,
            Some(_) => return Err(ResponseError::ChunkEnd),
            None => return Ok(None),
        }
        if size == 0 {
            return Ok(Some((body, offset)));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/discovery.rs"]
mod tests;
