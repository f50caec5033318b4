//! One connection to the journal service.

use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;

use crate::buffers::{BufferChain, BufferPool};

use super::event::EventPage;
use super::http::decode_response;

/// The id of a connection; ids are never reused.
pub type ConnectionId = u64;

/// A connection, with at most one poll in flight.
#[derive(Debug)]
pub(super) struct Connection {
    pub id: ConnectionId,
    pub token: RegistrationToken,
    pub is_up: bool,
    pub stream: Rc<TcpStream>,
    pub output: BufferChain,
    input: BufferChain,
}

/// What was read from a connection.
pub(super) struct Received {
    pub bytes: u64,
    /// The response, if it is complete.
    pub page: Option<EventPage>,
    /// Why the connection can't be used any more.
    pub failure: Option<String>,
}

impl Connection {
    /// The state of a connect in progress.
    pub fn new(
        id: ConnectionId,
        stream: Rc<TcpStream>,
        token: RegistrationToken,
        buffers: &BufferPool,
    ) -> Self {
        let (input, output) = (BufferChain::new(buffers), BufferChain::new(buffers));
        Self { id, token, is_up: false, stream, output, input }
    }

    /// Writes the output until the socket would block; returns the number of bytes.
    ///
    /// # Errors
    ///
    /// Errors of the system.
    pub fn write(&mut self) -> io::Result<u64> {
        let mut written = 0;
        while !self.output.is_empty() {
            match self.output.write_to(&*self.stream) {
                Ok(n) => written += n as u64,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(written)
    }

    /// Reads until the socket would block, and decodes the response once it is complete.
    pub fn receive(&mut self, max_response_bytes: usize) -> Received {
        let (mut bytes, mut failure) = (0, None);
        while failure.is_none() {
            match self.input.read_from(&*self.stream) {
                Ok(0) => failure = Some("closed by the service".to_string()),
                Ok(n) => {
                    bytes += n as u64;
                    if self.input.len() > max_response_bytes {
                        failure = Some("response is longer than the limit".to_string());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => failure = Some(error.to_string()),
            }
        }
        match decode_response(&mut self.input) {
            Ok(page) => Received { bytes, page, failure },
            Err(error) => Received { bytes, page: None, failure: Some(error.to_string()) },
        }
    }
}
