//! Long polls of the journal service over HTTP/1.1, one at a time.
//!
//! A failed poll is repeated from the position of the last event received, so that no event is lost. Where
//! the response is late, the poll is repeated on another connection, and the late response is still taken: a
//! service that takes longer than the timeout for each response would never be heard otherwise.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use calloop::{LoopHandle, Readiness};

use crate::buffers::BufferPool;
use crate::config::Limits;
use crate::descriptors::{DescriptorPurpose, DescriptorReserve};
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;
use crate::sockets::{connect, register_stream};

use super::connection::{Connection, ConnectionId, Received};
use super::event::{EventPage, WatchEvent};
use super::stamp_offset::StampOffset;

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
    /// The connection of the last poll that got no response in time.
    late_connection: Option<Connection>,
    last_id: ConnectionId,
    /// The number of failed polls.
    pub failed_polls: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    last_response: Ms,
    stamp_offset: StampOffset,
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
            late_connection: None,
            last_id: 0,
            failed_polls: 0,
            bytes_in: 0,
            bytes_out: 0,
            last_response: 0.0,
            stamp_offset: StampOffset::default(),
        }
    }

    /// Polls another address from now on. A partially received response is requested again.
    ///
    /// The poll in flight is dropped: the old service may delay its response long after the new one has
    /// events.
    pub fn set_address(&mut self, now: Ms, address: SocketAddr) {
        self.address = address;
        self.drop_connection();
        self.drop_late_connection();
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
            PollState::Polling { deadline } if now >= deadline => self.time_out_poll(now),
            _ => {}
        }
    }

    /// Ends the poll in flight as failed, but keeps its connection for a late response if it was established.
    fn time_out_poll(&mut self, now: Ms) {
        let is_up = self.connection.as_ref().is_some_and(|connection| connection.is_up);
        if is_up {
            self.drop_late_connection();
            self.late_connection = self.connection.take();
        }
        self.fail_poll(now, if is_up { "response timed out" } else { "connect timed out" });
    }

    fn poll(&mut self, now: Ms) {
        self.await_response(now);
        if self.connection.is_none() {
            // The service does not delay a connect as it does a response, so the deadline is shorter.
            self.state = PollState::Polling { deadline: now + self.limits.discovery.connect_timeout_ms };
            match self.connect() {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => {
                    // The next connect may need its descriptor.
                    self.drop_late_connection();
                    return self.fail_poll(now, &error.to_string());
                }
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

    fn connect(&mut self) -> io::Result<Connection> {
        let stream = Rc::new(self.reserve.open(DescriptorPurpose::Discovery, || connect(self.address))?);
        self.last_id += 1;
        let id = self.last_id;
        let on_ready = move |handler: &mut W, readiness| handler.on_discovery_ready(id, readiness);
        let token = register_stream(&self.handle, &stream, on_ready)?;
        Ok(Connection::new(id, stream, token, &self.buffers))
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

    fn drop_late_connection(&mut self) {
        if let Some(connection) = self.late_connection.take() {
            self.handle.remove(connection.token);
        }
    }

    fn flush(&mut self, now: Ms) {
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.is_up) else { return };
        match connection.write() {
            Ok(written) => self.bytes_out += written,
            Err(error) => self.fail_poll(now, &error.to_string()),
        }
    }

    /// Reads and writes a connection that is ready; returns the events received.
    pub fn serve(&mut self, now: Ms, id: ConnectionId, readiness: Readiness) -> Vec<WatchEvent> {
        if self.late_connection.as_ref().is_some_and(|connection| connection.id == id) {
            return self.receive_late(now);
        }
        if self.connection.as_ref().is_none_or(|connection| connection.id != id) {
            return Vec::new();
        }
        let writable = readiness.writable || readiness.error;
        if !self.finish_connect(now, writable) {
            return Vec::new();
        }
        self.flush(now);
        self.receive(now)
    }

    /// The ids of all connections.
    pub fn connection_ids(&self) -> Vec<ConnectionId> {
        let connections = self.late_connection.iter().chain(&self.connection);
        connections.map(|connection| connection.id).collect()
    }

    /// Reads the connection of the poll in flight.
    fn receive(&mut self, now: Ms) -> Vec<WatchEvent> {
        let Some(connection) = self.connection.as_mut().filter(|connection| connection.is_up) else {
            return Vec::new();
        };
        let Received { bytes, page, failure } = connection.receive(self.limits.discovery.max_response_bytes);
        self.bytes_in += bytes;
        let mut events = Vec::new();
        if let Some(page) = page {
            self.state = PollState::Idle { next_poll: now };
            // A response to an earlier poll has nothing that this one lacks.
            self.drop_late_connection();
            events = self.accept(now, page);
        }
        match failure {
            Some(reason) if matches!(self.state, PollState::Polling { .. }) => self.fail_poll(now, &reason),
            Some(_) => self.drop_connection(),
            None => {}
        }
        events
    }

    /// Reads the connection of a poll that has timed out. The poll in flight goes on: its response may repeat
    /// these events.
    fn receive_late(&mut self, now: Ms) -> Vec<WatchEvent> {
        let Some(connection) = &mut self.late_connection else { return Vec::new() };
        let Received { bytes, page, failure } = connection.receive(self.limits.discovery.max_response_bytes);
        self.bytes_in += bytes;
        if page.is_some() || failure.is_some() {
            self.drop_late_connection();
        }
        let Some(page) = page else { return Vec::new() };
        log_line!("journal: response at position {} came after the timeout of its poll", page.position);
        self.accept(now, page)
    }

    /// The events of a response that were not received before.
    fn accept(&mut self, now: Ms, page: EventPage) -> Vec<WatchEvent> {
        self.last_response = now;
        let new = page.events.into_iter().filter(|event| event.position > self.position);
        let mut events: Vec<WatchEvent> = new.collect();
        self.stamp_offset.correct(now, &mut events);
        self.position = self.position.max(page.position);
        events
    }

    /// Completes a connect in progress; returns false if it has failed.
    fn finish_connect(&mut self, now: Ms, writable: bool) -> bool {
        let connecting = self.connection.as_mut().filter(|connection| !connection.is_up && writable);
        let Some(connection) = connecting else { return true };
        match connection.stream.take_error() {
            Ok(None) => {
                connection.is_up = true;
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
