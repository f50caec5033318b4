//! Owns the requests that have come from other sites and are served here.
//!
//! Each is handed on once and owed one reply, which goes back on its stream, or, where that is gone, is kept with its
//! token for whoever asks. Must never let a token run twice, nor say of one that ran that it did not.

use std::collections::BTreeMap;

use bytes::Bytes;
use linnethook::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::codec::{Begins, Fields, Open, Turned, Word};
use crate::gateway::{is_stale, Action, Came, Conn, Gateway, Reply, FOREIGN};
use crate::ledger::{Admission, Fate, Ticket, Token};
use crate::streams::Priority;
use crate::transfer::Copy;

/// A request from another site.
#[derive(Debug, Clone)]
struct Guest {
    /// Where its answer goes; nothing once that is gone.
    back: Option<(Conn, u32)>,
    peer: String,
    token: Option<Token>,
    rest: Option<(u64, Copy)>,
    priority: Priority,
}

/// All of them.
#[derive(Debug, Default)]
pub(crate) struct Serving {
    last: Ticket,
    guests: BTreeMap<Ticket, Guest>,
    by_stream: BTreeMap<(Conn, u32), Ticket>,
    /// Streams whose answers are being written, and until when that may take.
    until: BTreeMap<(u64, Conn, u32), ()>,
}

impl Serving {
    pub fn len(&self) -> usize {
        self.guests.len()
    }

    pub fn next(&self) -> Option<Ms> {
        self.until.first_key_value().map(|((at, ..), ())| *at as Ms)
    }
}

/// An answer as it is kept with its token.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Kept {
    pub served: bool,
    pub head: Fields,
    pub body: Bytes,
}

pub(crate) fn priority(number: u8) -> Priority {
    match number {
        0 => Priority::Booking,
        1 => Priority::First,
        _ => Priority::Rest,
    }
}

impl Gateway {
    fn turn_away(&mut self, conn: Conn, stream: u32, why: Turned) {
        self.counts.turned_away += 1;
        self.counts.stale += u64::from(is_stale(why));
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.never(stream, why, 0.0);
        }
    }

    /// A request has come in whole.
    pub(crate) fn open_came(&mut self, now: Ms, conn: Conn, stream: u32, open: Open) {
        let me = self.site_name(self.me).to_string();
        let fresh = self.rules.peers.fresh;
        let Some(line) = self.lines.get(&conn) else { return };
        let Some(peer) = line.peer.clone() else { return };
        // All that the other side was told up to then has come here.
        let proven = line.session.pulse.proven();
        let stale = fresh > 0.0 && proven.is_none_or(|at| now - at > fresh);
        // Fellows serve their own requests: none crosses between them.
        let fellow = self.peers.get(&peer).is_some_and(|peer| peer.site == self.me);
        let why = if fellow {
            Some(Turned::Unusable)
        } else if self.stopping || self.home.is_drained() {
            Some(Turned::Drained)
        } else if stale {
            Some(Turned::Stale)
        } else if open.passed.contains(&me) || open.passed.len() >= self.rules.routes.hops {
            Some(Turned::Passed)
        } else if self.serving.guests.len() >= self.rules.across.guests {
            Some(Turned::Full)
        } else {
            None
        };
        if let Some(why) = why {
            return self.turn_away(conn, stream, why);
        }
        if let Some(token) = open.token {
            let Some(known) = self.peers.get_mut(&peer) else { return };
            match known.taken.offer(token) {
                Admission::Run => {}
                Admission::Full => return self.turn_away(conn, stream, Turned::Full),
                Admission::Known(fate) => return self.tell_fate(conn, stream, token, fate),
                Admission::Barred => {
                    let fate = known.taken.ask(now, token);
                    return self.tell_fate(conn, stream, token, fate);
                }
            }
        }
        self.serving.last += 1;
        let ticket = FOREIGN + self.serving.last;
        let guest = Guest {
            back: Some((conn, stream)),
            peer,
            token: open.token,
            rest: open.rest,
            priority: priority(open.priority),
        };
        self.serving.guests.insert(ticket, guest);
        self.serving.by_stream.insert((conn, stream), ticket);
        let left = Ms::from(open.left_ms);
        let Open { head, body, passed, .. } = open;
        self.actions.push_back(Action::Serve(Came { ticket, head, body, left, passed }));
    }

    fn tell_fate(&mut self, conn: Conn, stream: u32, token: Token, fate: Fate) {
        self.counts.turned_away += 1;
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.drop_stream(stream);
            line.session.say(&Word::Told(token, fate));
        }
    }

    /// The one reply to a request from another site. What was refused has never run.
    pub fn reply(&mut self, now: Ms, ticket: Ticket, reply: Reply) {
        let Some(guest) = self.serving.guests.remove(&ticket) else { return };
        if let Some(back) = guest.back {
            self.serving.by_stream.remove(&back);
        }
        if let Some(token) = guest.token {
            self.keep(now, &guest.peer, token, &reply);
        }
        let sent = guest.back.is_some_and(|(conn, stream)| self.send_back(now, conn, stream, &guest, reply));
        if sent {
            return;
        }
        // Its stream is gone: whoever waits for it hears of it on another, or asks.
        let Some(token) = guest.token else { return };
        let Some(peer) = self.peers.get_mut(&guest.peer) else { return };
        let Some(conn) = peer.sessions.last().copied() else { return };
        let fate = peer.taken.ask(now, token);
        if let Some(line) = self.lines.get_mut(&conn) {
            line.session.say(&Word::Told(token, fate));
        }
        self.wants_write(conn);
    }

    fn keep(&mut self, now: Ms, peer: &str, token: Token, reply: &Reply) {
        let Some(peer) = self.peers.get_mut(peer) else { return };
        let kept = match reply {
            Reply::Refused { .. } => return peer.taken.never_ran(now, token),
            Reply::Served { head, body, .. } => Kept { served: true, head: head.clone(), body: body.clone() },
            Reply::Failed => Kept { served: false, head: Vec::new(), body: Bytes::new() },
        };
        // It holds nothing that postcard can't write.
        peer.taken.ran(now, token, postcard::to_stdvec(&kept).unwrap_or_default());
    }

    fn send_back(&mut self, now: Ms, conn: Conn, stream: u32, guest: &Guest, reply: Reply) -> bool {
        let Some(line) = self.lines.get_mut(&conn) else { return false };
        let nothing = Begins { served: false, head: Vec::new(), length: 0, from: 0, copy: None };
        match reply {
            Reply::Refused { wait } => {
                self.counts.turned_away += 1;
                line.session.never(stream, Turned::Refused, wait);
            }
            Reply::Failed => {
                if !line.session.answer(stream, guest.priority, nothing, Bytes::new()) {
                    return false;
                }
            }
            Reply::Served { head, body, copy } => {
                self.counts.served += 1;
                // The rest alone, where it is the rest of the same copy.
                let length = body.len() as u64;
                let same = guest.rest.as_ref().filter(|(from, wanted)| {
                    copy.as_ref() == Some(wanted) && *from <= length && wanted.length == length
                });
                let from = same.map_or(0, |(from, _)| *from);
                let begins = Begins { served: true, head, length, from, copy };
                if !line.session.answer(stream, guest.priority, begins, body.slice(from as usize..)) {
                    return false;
                }
            }
        }
        let until = (now + self.rules.across.writing) as u64;
        self.serving.until.insert((until, conn, stream), ());
        self.wants_write(conn);
        true
    }

    /// The other side does not wait any more. What may do harm goes on to its end all the same, which is remembered.
    pub(crate) fn cancelled(&mut self, conn: Conn, stream: u32) {
        let Some(ticket) = self.serving.by_stream.remove(&(conn, stream)) else { return };
        self.leave(ticket);
    }

    fn leave(&mut self, ticket: Ticket) {
        match self.serving.guests.get_mut(&ticket) {
            Some(guest) if guest.token.is_some() => guest.back = None,
            Some(_) => {
                self.serving.guests.remove(&ticket);
                self.actions.push_back(Action::CallOff(ticket));
            }
            None => {}
        }
    }

    /// A connection is gone with all its streams.
    pub(crate) fn lost_serving(&mut self, conn: Conn) {
        let streams: Vec<(Conn, u32)> =
            self.serving.by_stream.range((conn, 0)..=(conn, u32::MAX)).map(|(key, _)| *key).collect();
        for (conn, stream) in streams {
            self.cancelled(conn, stream);
        }
        self.serving.until.retain(|(_, other, _), ()| *other != conn);
    }

    /// Answers that are not taken in time are dropped.
    pub(crate) fn tick_serving(&mut self, now: Ms) {
        while let Some(((at, conn, stream), ())) = self.serving.until.pop_first() {
            if at as Ms > now {
                self.serving.until.insert((at, conn, stream), ());
                break;
            }
            if let Some(line) = self.lines.get_mut(&conn) {
                line.session.drop_stream(stream);
            }
        }
    }
}
