//! Writing answers to clients.

use std::io;

use crate::buffers::BufferChain;
use crate::event_handler::EventHandler;
use crate::policy_adapter::Ms;
use crate::system_error::is_interrupted;
use crate::turn::READABLE;

use super::codec::{self, AnswerCode};
use super::protocol_error::ProtocolError;
use super::{ClientEvent, ClientId, ClientStream, Downstreams};

impl<W: EventHandler> Downstreams<W> {
    /// Queues the one final answer to a request, unless its client has cancelled it.
    pub fn answer(
        &mut self,
        stream: ClientStream,
        code: AnswerCode,
        fields: &[(&str, &str)],
        body: BufferChain,
    ) {
        let Some(client) = self.clients.get_mut(&stream.client) else { return };
        if client.open.remove(&stream.stream).is_some() {
            client.has_been_answered = true;
            let answer = codec::encode_answer(&self.buffers, stream.stream, code, fields, body);
            client.output.append(answer);
        }
    }

    /// Whether answers to a client are queued that its connection has not taken.
    pub fn has_unwritten_output(&self, id: ClientId) -> bool {
        self.clients.get(&id).is_some_and(|client| !client.output.is_empty())
    }

    /// Answers an invalid request as failed. A client that sends too many of them is closed, since it may do
    /// so at full speed.
    pub fn reject_invalid(&mut self, now: Ms, stream: ClientStream, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.get_mut(&stream.client) else { return };
        if client.open.remove(&stream.stream).is_none() {
            return;
        }
        client.invalid_requests += 1;
        let body = BufferChain::new(&self.buffers);
        let answer = codec::encode_answer(&self.buffers, stream.stream, AnswerCode::Failed, &[], body);
        client.output.append(answer);
        if client.invalid_requests >= self.limits.clients.max_invalid_requests {
            self.close_with_error(now, stream.client, ProtocolError::TooManyInvalidRequests, events);
        }
    }

    /// Writes queued output until the socket would block. A closing connection starts to linger once all is
    /// written.
    pub fn flush(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        while self.write_output(now, id, events) {
            if !self.continue_closing(now, id, events) {
                break;
            }
        }
        self.resume_reading(now, id);
    }

    /// Lets a client be read again once it has taken enough of its answers.
    fn resume_reading(&mut self, now: Ms, id: ClientId) {
        let max_unwritten = self.limits.clients.max_unwritten_bytes;
        let takes_answers = self.clients.get(&id).is_some_and(|client| client.output.len() <= max_unwritten);
        if takes_answers && self.paused.remove(&id) {
            self.mark_ready(now, id, READABLE);
        }
    }

    /// Writes queued output; returns whether all of it was written.
    fn write_output(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        while !client.output.is_empty() {
            match client.output.write_to(&*client.stream) {
                Ok(_) => client.last_used = now,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => {
                    self.on_transfer_error(now, id, &error, events);
                    return false;
                }
            }
        }
        true
    }
}
