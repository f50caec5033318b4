//! Owns the requests that have come from other sites and are served here.
//!
//! Each is handed on once and owed one reply, which goes back on its stream, or, where that is gone, is kept with its
//! token for whoever asks. Must never let a token run twice, nor say of one that ran that it did not.

use std::collections::BTreeMap;

use bytes::Bytes;
use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::attempt_ledger::{Admission, AttemptOutcome, Ticket, Token};
use crate::codec::{Fields, ForwardedRequest, Message, RejectReason, ResponseHead};
use crate::flow_control::Priority;
use crate::gateway::{is_stale, Action, ConnectionId, Gateway, RemoteRequest, Reply, FIRST_REMOTE_TICKET};
use crate::transfer::ObjectVersion;

/// A request from another site.
#[derive(Debug, Clone)]
struct ServedRequest {
    /// Where its answer goes; nothing once that is gone.
    reply_to: Option<(ConnectionId, u32)>,
    peer: String,
    token: Option<Token>,
    resume_from: Option<(u64, ObjectVersion)>,
    priority: Priority,
}

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct ServedRequests {
    last_number: Ticket,
    requests: BTreeMap<Ticket, ServedRequest>,
    by_stream: BTreeMap<(ConnectionId, u32), Ticket>,
    /// Streams whose answers are being written, and until when that may take.
    write_deadlines: BTreeMap<(u64, ConnectionId, u32), ()>,
}

impl ServedRequests {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn next_deadline(&self) -> Option<Ms> {
        self.write_deadlines.first_key_value().map(|((at, ..), ())| *at as Ms)
    }
}

/// An answer as it is kept with its token.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct CachedReply {
    pub served: bool,
    pub fields: Fields,
    pub body: Bytes,
}

pub(crate) fn priority_from_wire(number: u8) -> Priority {
    match number {
        0 => Priority::Booking,
        1 => Priority::FirstPart,
        _ => Priority::LaterPart,
    }
}

impl Gateway {
    fn reject_stream(&mut self, conn: ConnectionId, stream: u32, why: RejectReason) {
        self.counts.turned_away += 1;
        self.counts.stale += u64::from(is_stale(why));
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.reject_stream(stream, why, 0.0);
        }
    }

    /// A request has come in whole.
    pub(crate) fn handle_request(
        &mut self,
        now: Ms,
        conn: ConnectionId,
        stream: u32,
        open: ForwardedRequest,
    ) {
        let me = self.site_name(self.own_site).to_string();
        let fresh = self.config.peers.max_state_delay;
        let Some(line) = self.connections.get(&conn) else { return };
        let Some(peer) = line.peer.clone() else { return };
        // All that the other side was told up to then has come here.
        let proven = line.session.heartbeat.all_received_until();
        let stale = fresh > 0.0 && proven.is_none_or(|at| now - at > fresh);
        // Fellows serve their own requests: none crosses between them.
        let fellow = self.peers.get(&peer).is_some_and(|peer| peer.site == self.own_site);
        let why = if fellow {
            Some(RejectReason::Unusable)
        } else if self.is_stopping || self.local_capacity.is_drained() {
            Some(RejectReason::Draining)
        } else if stale {
            Some(RejectReason::StateTooOld)
        } else if open.passed_sites.contains(&me) || open.passed_sites.len() >= self.config.routing.max_hops {
            Some(RejectReason::HopLimit)
        } else if self.served.requests.len() >= self.config.forwarding.max_remote_requests {
            Some(RejectReason::AtCapacity)
        } else {
            None
        };
        if let Some(why) = why {
            return self.reject_stream(conn, stream, why);
        }
        if let Some(token) = open.token {
            let Some(known) = self.peers.get_mut(&peer) else { return };
            match known.received_attempts.admit(token) {
                Admission::Run => {}
                Admission::AtCapacity => return self.reject_stream(conn, stream, RejectReason::AtCapacity),
                Admission::Known(fate) => return self.report_outcome(conn, stream, token, fate),
                Admission::Fenced => {
                    let fate = known.received_attempts.query_outcome(now, token);
                    return self.report_outcome(conn, stream, token, fate);
                }
            }
        }
        self.served.last_number += 1;
        let ticket = FIRST_REMOTE_TICKET + self.served.last_number;
        let guest = ServedRequest {
            reply_to: Some((conn, stream)),
            peer,
            token: open.token,
            resume_from: open.resume_from,
            priority: priority_from_wire(open.priority),
        };
        self.served.requests.insert(ticket, guest);
        self.served.by_stream.insert((conn, stream), ticket);
        let left = Ms::from(open.remaining_ms);
        let ForwardedRequest { fields: head, body, passed_sites: passed, .. } = open;
        self.actions.push_back(Action::ServeRemote(RemoteRequest {
            ticket,
            fields: head,
            body,
            remaining: left,
            passed_sites: passed,
        }));
    }

    fn report_outcome(&mut self, conn: ConnectionId, stream: u32, token: Token, fate: AttemptOutcome) {
        self.counts.turned_away += 1;
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.drop_stream(stream);
            line.session.send(&Message::OutcomeReport(token, fate));
        }
    }

    /// The one reply to a request from another site. What was refused has never run.
    pub fn complete_remote_request(&mut self, now: Ms, ticket: Ticket, reply: Reply) {
        let Some(guest) = self.served.requests.remove(&ticket) else { return };
        if let Some(back) = guest.reply_to {
            self.served.by_stream.remove(&back);
        }
        if let Some(token) = guest.token {
            self.record_reply(now, &guest.peer, token, &reply);
        }
        let sent =
            guest.reply_to.is_some_and(|(conn, stream)| self.send_reply(now, conn, stream, &guest, reply));
        if sent {
            return;
        }
        // Its stream is gone: whoever waits for it hears of it on another, or asks.
        let Some(token) = guest.token else { return };
        let Some(peer) = self.peers.get_mut(&guest.peer) else { return };
        let Some(conn) = peer.sessions.last().copied() else { return };
        let fate = peer.received_attempts.query_outcome(now, token);
        if let Some(line) = self.connections.get_mut(&conn) {
            line.session.send(&Message::OutcomeReport(token, fate));
        }
        self.request_write(conn);
    }

    fn record_reply(&mut self, now: Ms, peer: &str, token: Token, reply: &Reply) {
        let Some(peer) = self.peers.get_mut(peer) else { return };
        let kept = match reply {
            Reply::Rejected { .. } => return peer.received_attempts.record_rejection(now, token),
            Reply::Served { fields: head, body, .. } => {
                CachedReply { served: true, fields: head.clone(), body: body.clone() }
            }
            Reply::Failed => CachedReply { served: false, fields: Vec::new(), body: Bytes::new() },
        };
        // It holds nothing that postcard can't write.
        peer.received_attempts.record_answer(now, token, postcard::to_stdvec(&kept).unwrap_or_default());
    }

    fn send_reply(
        &mut self,
        now: Ms,
        conn: ConnectionId,
        stream: u32,
        guest: &ServedRequest,
        reply: Reply,
    ) -> bool {
        let Some(line) = self.connections.get_mut(&conn) else { return false };
        let nothing =
            ResponseHead { served: false, fields: Vec::new(), body_length: 0, offset: 0, version: None };
        match reply {
            Reply::Rejected { retry_after: wait } => {
                self.counts.turned_away += 1;
                line.session.reject_stream(stream, RejectReason::Refused, wait);
            }
            Reply::Failed => {
                if !line.session.send_response(stream, guest.priority, nothing, Bytes::new()) {
                    return false;
                }
            }
            Reply::Served { fields: head, body, version: copy } => {
                self.counts.served += 1;
                // The rest alone, where it is the rest of the same copy.
                let length = body.len() as u64;
                let same = guest.resume_from.as_ref().filter(|(from, wanted)| {
                    copy.as_ref() == Some(wanted) && *from <= length && wanted.length == length
                });
                let from = same.map_or(0, |(from, _)| *from);
                let begins = ResponseHead {
                    served: true,
                    fields: head,
                    body_length: length,
                    offset: from,
                    version: copy,
                };
                if !line.session.send_response(stream, guest.priority, begins, body.slice(from as usize..)) {
                    return false;
                }
            }
        }
        let until = (now + self.config.forwarding.answer_write_timeout) as u64;
        self.served.write_deadlines.insert((until, conn, stream), ());
        self.request_write(conn);
        true
    }

    /// The other side does not wait any more. What may do harm goes on to its end all the same, which is remembered.
    pub(crate) fn handle_cancellation(&mut self, conn: ConnectionId, stream: u32) {
        let Some(ticket) = self.served.by_stream.remove(&(conn, stream)) else { return };
        self.abandon_served_request(ticket);
    }

    fn abandon_served_request(&mut self, ticket: Ticket) {
        match self.served.requests.get_mut(&ticket) {
            Some(guest) if guest.token.is_some() => guest.reply_to = None,
            Some(_) => {
                self.served.requests.remove(&ticket);
                self.actions.push_back(Action::CancelServe(ticket));
            }
            None => {}
        }
    }

    /// A connection is gone with all its streams.
    pub(crate) fn drop_served_streams(&mut self, conn: ConnectionId) {
        let streams: Vec<(ConnectionId, u32)> =
            self.served.by_stream.range((conn, 0)..=(conn, u32::MAX)).map(|(key, _)| *key).collect();
        for (conn, stream) in streams {
            self.handle_cancellation(conn, stream);
        }
        self.served.write_deadlines.retain(|(_, other, _), ()| *other != conn);
    }

    /// Answers that are not taken in time are dropped.
    pub(crate) fn expire_writes(&mut self, now: Ms) {
        while let Some(((at, conn, stream), ())) = self.served.write_deadlines.pop_first() {
            if at as Ms > now {
                self.served.write_deadlines.insert((at, conn, stream), ());
                break;
            }
            if let Some(line) = self.connections.get_mut(&conn) {
                line.session.drop_stream(stream);
            }
        }
    }
}
