//! Reading what clients send, a bounded part of each at a time.

use std::io;

use calloop::Readiness;

use crate::event_handler::EventHandler;
use crate::permission::CloseReason;
use crate::policy_adapter::Ms;

use super::closing::withdraw_request;
use super::codec::FrameHeads;
use super::connection::{ClientConnection, ConnectionPhase, ReadAheadEnd};
use super::{ClientEvent, ClientId, Downstreams};
use crate::system_error::is_interrupted;
use crate::turn::{WorkBudget, READABLE, READABLE_AND_WRITABLE};

impl<W: EventHandler> Downstreams<W> {
    /// Marks a client as ready: it is read, or written, when it is its turn.
    pub fn mark_ready(&mut self, now: Ms, id: ClientId, readiness: Readiness) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if readiness.readable || readiness.error {
            client.ready_since.get_or_insert(self.earliest_arrival.min(now));
        }
        self.ready.insert(client.kind(), id, readiness);
    }

    /// Marks all clients as ready, whether or not they were reported.
    pub fn mark_all_ready(&mut self, now: Ms) {
        for id in self.sorted_ids() {
            self.mark_ready(now, id, READABLE_AND_WRITABLE);
        }
    }

    /// Reads what a client has sent, as far as its budget goes, and writes pending output.
    pub fn read(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        self.read_input(now, id, events);
        // The socket may be writable without another readiness event.
        self.flush(now, id, events);
    }

    /// Reads what a client has sent, as far as its budget goes. Open requests of a client that has disconnected are
    /// reported as cancelled. The caller has the output written, best after it has handled the events: a message is
    /// not answered before those that the client has sent earlier are handled.
    pub fn read_input(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let Some(served_as) = self.clients.get(&id).map(ClientConnection::kind) else { return };
        self.ready.withdraw(served_as, id);
        let mut budget = self.ready.connection_budget(served_as);
        self.read_within(now, id, &mut budget, events);
        self.ready.charge_kind(served_as, &budget);
        if let Some(client) = self.clients.get_mut(&id) {
            client.ready_since = None;
            client.input.compact();
            self.ready.charge_connection(client.kind(), id, &budget);
        }
    }

    fn read_within(&mut self, now: Ms, id: ClientId, budget: &mut WorkBudget, events: &mut Vec<ClientEvent>) {
        self.paused.remove(&id);
        let max_new_client_bytes = self.limits.turn.max_new_client_bytes;
        while let Some(client) = self.clients.get_mut(&id) {
            if matches!(client.phase, ConnectionPhase::Closing { .. }) {
                return;
            }
            if client.is_open() && client.output.len() > self.limits.clients.max_unwritten_bytes {
                // Cancellations must still be found, so that cancelled requests are not forwarded.
                self.paused.insert(id);
                return self.scan_ahead(now, id, !self.buffers.is_short(), budget, events);
            }
            if client.is_new && client.has_unread(&mut self.unread_input[..max_new_client_bytes]) {
                client.is_new = false;
                self.ready.promote_busy_client(id);
                return self.defer_reading(now, id, budget, events);
            }
            if budget.is_spent() {
                return self.defer_reading(now, id, budget, events);
            }
            if client.is_open() && client.has_undecoded_input {
                self.handle_input(now, id, budget, events);
                continue;
            }
            let read = match client.input.read_from(&*client.stream) {
                Ok(0) => return self.remove(id, CloseReason::ClosedByClient, events),
                Ok(n) => n,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    client.last_read = now;
                    client.unread_since = None;
                    return;
                }
                Err(error) if is_interrupted(&error) => continue,
                Err(error) => return self.on_transfer_error(now, id, &error, events),
            };
            budget.spend_bytes(read);
            if client.note_read(read) {
                return self.remove(id, CloseReason::Finished, events);
            }
        }
    }

    /// Leaves the rest of a client's input to its next turn. Its open requests may have been cancelled in the rest:
    /// they must not be forwarded.
    fn defer_reading(
        &mut self,
        now: Ms,
        id: ClientId,
        budget: &mut WorkBudget,
        events: &mut Vec<ClientEvent>,
    ) {
        self.note_unread_input(now, id);
        self.mark_ready(now, id, READABLE);
        if self.clients.get(&id).is_some_and(|client| !client.open.is_empty()) {
            self.scan_ahead(now, id, self.buffers.is_mostly_free(), budget, events);
        }
    }

    /// Records that input of a client is left unread.
    pub(super) fn note_unread_input(&mut self, now: Ms, id: ClientId) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.unread_since = Some(client.earliest_arrival(self.earliest_arrival.min(now)));
        }
    }

    /// Looks ahead in the input of a client that is not read now, to detect a disconnect or cancellations. The input
    /// is buffered up to a limit if it may be read, and otherwise left to the system: only a payload that is
    /// discarded is read then.
    fn scan_ahead(
        &mut self,
        now: Ms,
        id: ClientId,
        may_read: bool,
        budget: &mut WorkBudget,
        events: &mut Vec<ClientEvent>,
    ) {
        let max_input =
            if may_read { self.limits.clients.max_read_ahead_bytes } else { self.limits.buffers.block_bytes };
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.is_open()) else { return };
        client.last_read = now;
        let known_bytes = client.input.len();
        let (unread_bytes, end) = if may_read || client.is_discarding() {
            (0, client.read_ahead(max_input))
        } else {
            client.peek_unread(&mut self.unread_input)
        };
        match end {
            ReadAheadEnd::Connected => {}
            ReadAheadEnd::Disconnected => return self.remove(id, CloseReason::ClosedByClient, events),
            ReadAheadEnd::Repeat => self.retries.insert(now, id),
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        budget.spend_bytes(client.input.len().saturating_sub(known_bytes) + unread_bytes);
        let first = client.scanned;
        let max_frame = self.limits.clients.max_frame_bytes;
        let cursor = client.input.cursor_with(&self.unread_input[..unread_bytes], first);
        for head in FrameHeads::new(cursor, max_frame) {
            client.scanned += head.length;
            if let Some(ticket) = head.cancels().and_then(|stream| client.open.remove(&stream)) {
                self.counts.withdrawn += u64::from(withdraw_request(ticket, events));
            }
        }
        let known_bytes = client.input.len() + unread_bytes;
        budget.spend_bytes(client.scanned.min(known_bytes).saturating_sub(first));
    }

    /// Checks a client for a disconnect or cancellations, unless it was read within the check interval.
    /// Called before something is sent for it, as a turn of the event loop may be long.
    pub fn check(&mut self, now: Ms, id: ClientId, events: &mut Vec<ClientEvent>) {
        let Some(client) = self.clients.get(&id) else { return };
        if now - client.last_read < self.limits.clients.check_interval_ms {
            return;
        }
        let (kind, before) = (client.kind(), client.input.len());
        let mut budget = self.ready.connection_budget(kind);
        self.scan_ahead(now, id, !self.buffers.is_short(), &mut budget, events);
        self.ready.charge(kind, id, &budget);
        // Other messages are handled in the next turn of this client.
        if self.clients.get(&id).is_some_and(|client| client.input.len() > before) {
            self.mark_ready(now, id, READABLE);
        }
    }

    /// Repeats the reads and writes that failed by errors of this machine.
    pub(super) fn retry_transfers(&mut self, now: Ms) {
        for id in self.retries.take_due(now) {
            self.register(now, id);
            self.mark_ready(now, id, READABLE_AND_WRITABLE);
        }
    }
}
