//! Long polls of the journal service over HTTP/1.1, one at a time.
//!
//! A failed poll is repeated from the position of the last event received, so that no event is lost.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use calloop::{LoopHandle, Readiness, RegistrationToken};

use crate::buffers::{BufferChain, BufferPool};
use crate::config::Limits;
use crate::descriptors::{DescriptorPurpose, DescriptorReserve};
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;
use crate::sockets::{connect, register_stream};

use super::event::WatchEvent;
use super::http::decode_response;

#[derive(Debug)]
enum PollState {
    Idle {
        next_poll: Ms,
    },
    /// A poll is in flight.
    Polling {
        deadline: Ms,
    },
}

#[derive(Debug)]
struct Connection {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    up: bool,
    input: BufferChain,
    output: BufferChain,
}

/// A client of the journal service.
pub struct DiscoveryClient<W: EventHandler> {
    limits: Limits,
    buffers: BufferPool,
    reserve: DescriptorReserve,
    handle: LoopHandle<'static, W>,
    address: SocketAddr,
    position: u64,
    state: PollState,
    connection: Option<Connection>,
    /// The number of failed polls.
    pub failed_polls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    last_response: Ms,
}

impl<W: EventHandler> DiscoveryClient<W> {
    pub fn new(
        limits: Limits,
        buffers: &BufferPool,
        reserve: &DescriptorReserve,
        handle: LoopHandle<'static, W>,
        address: SocketAddr,
        position: u64,
    ) -> Self {
        Self {
            limits,
            buffers: buffers.clone(),
            reserve: reserve.clone(),
            handle,
            address,
            position,
            state: PollState::Idle { next_poll: 0.0 },
            connection: None,
            failed_polls: 0,
            bytes_in: 0,
            bytes_out: 0,
            last_response: 0.0,
        }
    }

    /// Polls another address from now on. A partially received response is requested again.
    ///
    /// The poll in flight is dropped: the old service may delay its response long after the new one has
    /// events.
    pub fn set_address(&mut self, now: Ms, address: SocketAddr) {
        self.address = address;
        self.drop_connection();
        self.state = PollState::Idle { next_poll: now };
    }

    /// The time until which it is normal to receive nothing, in milliseconds: the service may delay the
    /// response to a poll for so long.
    pub fn silence_allowed_until(&self) -> Ms {
        self.last_response + self.limits.discovery.max_poll_wait_ms + self.limits.discovery.response_grace_ms
    }

    /// The position of the last event received.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The time, in milliseconds, at which [`Self::on_timer`] has work.
    pub fn next_deadline(&self) -> Ms {
        match self.state {
            PollState::Idle { next_poll } => next_poll,
            PollState::Polling { deadline } => deadline,
        }
    }

    pub fn on_timer(&mut self, now: Ms) {
        match self.state {
            PollState::Idle { next_poll } if now >= next_poll => self.poll(now),
            PollState::Polling { deadline } if now >= deadline => {
                let up = self.connection.as_ref().is_some_and(|connection| connection.up);
                self.fail_poll(now, if up { "response timed out" } else { "connect timed out" });
            }
            _ => {}
        }
    }

    fn poll(&mut self, now: Ms) {
        self.await_response(now);
        if self.connection.is_none() {
            // The service does not delay a connect as it does a response, so the deadline is shorter.
            self.state = PollState::Polling { deadline: now + self.limits.discovery.connect_timeout_ms };
            match self.connect() {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => return self.fail_poll(now, &error.to_string()),
            }
        }
        let wait = self.limits.discovery.max_poll_wait_ms;
        let request = format!(
            "GET /journal?tail={}&max_wait={wait} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.position, self.address
        );
        if let Some(connection) = &mut self.connection {
            connection.output.push(request.as_bytes());
        }
        self.flush(now);
    }

    fn await_response(&mut self, now: Ms) {
        let deadline = now + self.limits.discovery.max_poll_wait_ms + self.limits.discovery.response_grace_ms;
        self.state = PollState::Polling { deadline };
    }

    fn connect(&self) -> io::Result<Connection> {
        let stream = Rc::new(self.reserve.open(DescriptorPurpose::Discovery, || connect(self.address))?);
        let token = register_stream(&self.handle, &stream, W::on_discovery_ready)?;
        let (input, output) = (BufferChain::new(&self.buffers), BufferChain::new(&self.buffers));
        Ok(Connection { stream, token, up: false, input, output })
    }

    /// Ends the poll in flight as failed; the next one starts from the same position after a pause.
    fn fail_poll(&mut self, now: Ms, reason: &str) {
        self.failed_polls += 1;
        log_line!("journal: poll from position {} failed at {}: {reason}", self.position, self.address);
        self.drop_connection();
        self.state = PollState::Idle { next_poll: now + self.limits.discovery.retry_pause_ms };
    }

    fn drop_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.handle.remove(connection.token);
        }
    }

    fn flush(&mut self, now: Ms) {
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.up) else { return };
        while !connection.output.is_empty() {
            match connection.output.write_to(&*connection.stream) {
                Ok(n) => self.bytes_out += n as u64,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return self.fail_poll(now, &error.to_string()),
            }
        }
    }

    /// Reads and writes the connection after it became ready; returns the events received.
    pub fn on_ready(&mut self, now: Ms, readiness: Readiness) -> Vec<WatchEvent> {
        let writable = readiness.writable || readiness.error;
        if !self.finish_connect(now, writable) {
            return Vec::new();
        }
        self.flush(now);
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.up) else {
            return Vec::new();
        };
        let mut failure = None;
        while failure.is_none() {
            match connection.input.read_from(&*connection.stream) {
                Ok(0) => failure = Some("closed by the service".to_string()),
                Ok(n) => {
                    self.bytes_in += n as u64;
                    if connection.input.len() > self.limits.discovery.max_response_bytes {
                        failure = Some("response is longer than the limit".to_string());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => failure = Some(error.to_string()),
            }
        }
        let mut events = Vec::new();
        match decode_response(&mut connection.input) {
            Ok(None) => {}
            Ok(Some(page)) => {
                self.state = PollState::Idle { next_poll: now };
                self.last_response = now;
                // Events that were already received are dropped.
                events = page.events.into_iter().filter(|event| event.position > self.position).collect();
                self.position = self.position.max(page.position);
            }
            Err(error) => failure = Some(error.to_string()),
        }
        match failure {
            Some(reason) if matches!(self.state, PollState::Polling { .. }) => self.fail_poll(now, &reason),
            Some(_) => self.drop_connection(),
            None => {}
        }
        events
    }

    /// Completes a connect in progress; returns false if it has failed.
    fn finish_connect(&mut self, now: Ms, writable: bool) -> bool {
        let connecting = self.connection.as_mut().filter(|connection| !connection.up && writable);
        let Some(connection) = connecting else { return true };
        match connection.stream.take_error() {
            Ok(None) => {
                connection.up = true;
                self.await_response(now);
                true
            }
            Ok(Some(error)) | Err(error) => {
                self.fail_poll(now, &error.to_string());
                false
            }
        }
    }
}
