//! Calls to a router over its control socket: one connection, one request and one response each.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

use super::error::{RouterCallError, RouterCallErrorKind};
use crate::control::{ControlRequest, ControlResponse};

/// The timeout of a router's response, and of a query to another site.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The size in bytes of the length that precedes a message, in network order.
const LENGTH_BYTES: usize = 4;

/// Sends a request to the router at a socket and waits for the response.
///
/// # Errors
///
/// The router can't be reached or does not respond in time, or the response is invalid.
pub fn call(socket: &Path, request: &ControlRequest) -> Result<ControlResponse, RouterCallError> {
    exchange(socket, request).map_err(|kind| RouterCallError::new(socket, kind))
}

fn exchange(socket: &Path, request: &ControlRequest) -> Result<ControlResponse, RouterCallErrorKind> {
    let mut stream = UnixStream::connect(socket).map_err(RouterCallErrorKind::Connect)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    stream.set_write_timeout(Some(RESPONSE_TIMEOUT))?;
    let request = postcard::to_stdvec(request)?;
    let length = (request.len() as u32).to_be_bytes();
    let sent = stream.write_all(&length).and_then(|()| stream.write_all(&request));
    // A router that rejects the request as too long responds before it has read all of it: a write error is
    // reported only if there is no response.
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).map_err(|error| sent.err().unwrap_or(error))?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_RESPONSE_BYTES {
        let max_bytes = MAX_RESPONSE_BYTES;
        return Err(RouterCallErrorKind::ResponseTooLong { bytes: length, max_bytes });
    }
    let mut response = vec![0; length];
    stream.read_exact(&mut response)?;
    Ok(postcard::from_bytes(&response)?)
}

/// The error for a response other than those expected for the request.
pub fn unexpected_response(socket: &Path, response: ControlResponse) -> RouterCallError {
    let kind = match response {
        ControlResponse::Refused(reason) => RouterCallErrorKind::Rejected(reason),
        _ => RouterCallErrorKind::UnexpectedResponse,
    };
    RouterCallError::new(socket, kind)
}
