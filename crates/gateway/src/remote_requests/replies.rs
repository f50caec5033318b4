//! The one reply of each request: on its stream or, once that has ended, as the outcome of its token.

use bytes::Bytes;
use linnethook::interface::Ms;

use super::{RemoteRequests, ServedRequest, StreamId};
use crate::actions::Reply;
use crate::attempt_ledger::{Ticket, Token};
use crate::codec::{CachedReply, Message, RejectReason, ResponseHead};
use crate::links::Links;

impl RemoteRequests {
    /// Completes a request with its only reply. A rejected request must not have run.
    pub fn complete(&mut self, links: &mut Links, now: Ms, ticket: Ticket, reply: Reply) {
        let Some(request) = self.remove(ticket) else { return };
        if let Some(stream) = request.reply_to {
            self.by_stream.remove(&stream);
        }
        if let Some(token) = request.token {
            record_reply(links, now, &request.peer, token, &reply);
        }
        let is_sent =
            request.reply_to.is_some_and(|stream| self.send_reply(links, now, stream, &request, reply));
        if is_sent {
            return;
        }
        // The stream has ended: the outcome is reported on another connection, or else the sender queries it.
        let Some(token) = request.token else { return };
        let Some(peer) = links.peers.get_mut(&request.peer) else { return };
        let Some(connection) = peer.connections.last().copied() else { return };
        let outcome = peer.received_attempts.query_outcome(now, token);
        links.send(connection, &Message::OutcomeReport(token, outcome));
        links.request_write(connection);
    }

    /// Sends a reply on its stream. Returns false if the stream has ended.
    fn send_reply(
        &mut self,
        links: &mut Links,
        now: Ms,
        to: StreamId,
        request: &ServedRequest,
        reply: Reply,
    ) -> bool {
        let Some(connection) = links.connections.get_mut(&to.connection) else { return false };
        let session = &mut connection.session;
        match reply {
            Reply::Rejected { retry_after } => {
                links.counts.remote_rejected += 1;
                session.reject_stream(to.stream, RejectReason::Refused, retry_after);
            }
            Reply::Failed => {
                let head = ResponseHead::failed();
                if !session.send_response(to.stream, request.priority, head, Bytes::new()) {
                    return false;
                }
            }
            Reply::Served { fields, body, version } => {
                links.counts.remote_served += 1;
                let body_length = body.len() as u64;
                // Only the rest of the body is sent if it belongs to the version that the sender has.
                let resume_from = request.resume_from.as_ref().filter(|from| {
                    version.as_ref() == Some(&from.version)
                        && from.offset <= body_length
                        && from.version.length == body_length
                });
                let offset = resume_from.map_or(0, |from| from.offset);
                let head = ResponseHead { served: true, fields, body_length, offset, version };
                if !session.send_response(to.stream, request.priority, head, body.slice(offset as usize..)) {
                    return false;
                }
            }
        }
        self.write_deadlines.insert(((now + self.answer_write_timeout) as u64, to));
        links.request_write(to.connection);
        true
    }

    /// Drops answers that the sender of the request has not read in time.
    pub fn expire_writes(&mut self, links: &mut Links, now: Ms) {
        while let Some((at, stream)) = self.write_deadlines.first().copied() {
            if at as Ms > now {
                break;
            }
            self.write_deadlines.pop_first();
            if let Some(session) = links.session_mut(stream.connection) {
                session.drop_stream(stream.stream);
            }
        }
    }
}

fn record_reply(links: &mut Links, now: Ms, peer: &str, token: Token, reply: &Reply) {
    let Some(peer) = links.peers.get_mut(peer) else { return };
    let cached = match reply {
        Reply::Rejected { .. } => return peer.received_attempts.record_rejection(now, token),
        Reply::Served { fields, body, .. } => {
            CachedReply { served: true, fields: fields.clone(), body: body.clone() }
        }
        Reply::Failed => CachedReply { served: false, fields: Vec::new(), body: Bytes::new() },
    };
    // Postcard can encode every reply.
    peer.received_attempts.record_answer(now, token, postcard::to_stdvec(&cached).unwrap_or_default());
}
