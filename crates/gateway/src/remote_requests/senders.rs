//! Senders that leave while their requests are served here: they cancel a request, or the connection on which they
//! wait is lost.

use linnethook::interface::Ms;

use super::{RemoteRequests, StreamId};
use crate::actions::{Action, ConnectionId, Departure, Reply};
use crate::attempt_ledger::{Ticket, Token};
use crate::codec::Message;
use crate::links::Links;

/// How long the connection on which a sender waits may be silent for an attempt to begin, in milliseconds. A
/// cancellation may wait on the silent link.
const MAX_SENDER_SILENCE: Ms = 100.0;

impl RemoteRequests {
    /// See [`Gateway::departure_of`](crate::gateway::Gateway::departure_of).
    pub fn departure_of(&self, ticket: Ticket) -> Option<Departure> {
        self.requests.get(&ticket)?.departure
    }

    /// See [`Gateway::may_begin_attempt`](crate::gateway::Gateway::may_begin_attempt).
    pub fn may_begin_attempt(&self, links: &Links, now: Ms, ticket: Ticket) -> bool {
        // A request without an entry was served for no other site, or has ended.
        let Some(request) = self.requests.get(&ticket) else { return true };
        let awaited_on = request.reply_to.map(|stream| stream.connection).or(request.awaited_on);
        request.departure.is_none() && awaited_on.is_some_and(|id| is_receiving(links, now, id))
    }

    /// Handles a cancellation by the sender: nobody waits for the request any more. The outcome of one with a token
    /// is still retained.
    pub fn handle_cancellation(&mut self, links: &mut Links, now: Ms, stream: StreamId) {
        if let Some(ticket) = self.by_stream.remove(&stream) {
            self.cancel(links, now, ticket);
        }
    }

    fn cancel(&mut self, links: &mut Links, now: Ms, ticket: Ticket) {
        self.detach(ticket, Some(Departure::Cancelled), None);
        if links.take_back_serve(ticket) {
            return self.complete(links, now, ticket, Reply::Rejected { retry_after: 0.0 });
        }
        if self.requests.get(&ticket).is_some_and(|request| request.token.is_none()) {
            self.remove(ticket);
        }
        links.push(Action::CancelServe(ticket));
    }

    /// Handles a cancellation by the sender on another connection than that of the request. The token does not run
    /// if its request arrives later.
    pub fn handle_cancelled_token(
        &mut self,
        links: &mut Links,
        now: Ms,
        connection: ConnectionId,
        token: Token,
    ) {
        match self.ticket_of(links, connection, token) {
            Some(ticket) => self.cancel(links, now, ticket),
            None => {
                let peer = links.peer_of_mut(connection);
                peer.map(|peer| peer.received_attempts.query_outcome(now, token));
            }
        }
    }

    /// Reports the outcome of a token to its sender, which has lost the connection of the request, and waits for the
    /// outcome on this one.
    pub fn handle_query(&mut self, links: &mut Links, now: Ms, connection: ConnectionId, token: Token) {
        let open = self.ticket_of(links, connection, token);
        // A cancellation is final.
        if let Some(ticket) = open.filter(|ticket| self.departure_of(*ticket) != Some(Departure::Cancelled)) {
            self.detach(ticket, None, Some(connection));
        }
        let Some(peer) = links.peer_of_mut(connection) else { return };
        let outcome = peer.received_attempts.query_outcome(now, token);
        links.send(connection, &Message::OutcomeReport(token, outcome));
    }

    /// The open request with a token of the peer of a connection.
    fn ticket_of(&self, links: &Links, connection: ConnectionId, token: Token) -> Option<Ticket> {
        let peer = links.connections.get(&connection)?.peer.clone()?;
        self.by_token.get(&(peer, token)).copied()
    }

    /// Detaches a request from the stream that it came on. `awaited_on` is the connection on which its sender waits
    /// for the outcome now.
    fn detach(&mut self, ticket: Ticket, departure: Option<Departure>, awaited_on: Option<ConnectionId>) {
        let Some(request) = self.requests.get_mut(&ticket) else { return };
        if let Some(stream) = request.reply_to.take() {
            self.by_stream.remove(&stream);
        }
        request.departure = departure;
        request.awaited_on = awaited_on;
        request.lost_until = None;
    }

    /// Handles the loss of the connection on which the sender of a request waits. For one with a token, no attempt is
    /// begun until the sender queries its outcome, since it may not wait any more.
    fn handle_lost_sender(&mut self, links: &mut Links, now: Ms, ticket: Ticket) {
        let Some(request) = self.requests.get(&ticket) else { return };
        if request.token.is_none() {
            return self.cancel(links, now, ticket);
        }
        self.detach(ticket, Some(Departure::ConnectionLost), None);
        let until = (now + self.max_sender_loss) as u64;
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.lost_until = Some(until);
        }
        self.lost_senders.insert((until, ticket));
        links.push(Action::SuspendServe(ticket));
    }

    /// Stops trying for requests whose senders were lost for too long.
    pub fn expire_lost_senders(&mut self, links: &mut Links, now: Ms) {
        while let Some((at, ticket)) = self.lost_senders.first().copied() {
            if at as Ms > now {
                break;
            }
            self.lost_senders.pop_first();
            // The sender may have returned, and been lost again.
            if self.requests.get(&ticket).is_some_and(|request| request.lost_until == Some(at)) {
                links.push(Action::StopRetries(ticket));
            }
        }
    }

    /// Handles the loss of a connection with all its streams.
    pub fn handle_lost_connection(&mut self, links: &mut Links, now: Ms, connection: ConnectionId) {
        let all = StreamId { connection, stream: 0 }..=StreamId { connection, stream: u32::MAX };
        let on_stream = self.by_stream.range(all).map(|(_, ticket)| *ticket);
        let queried = self.requests.iter().filter(|(_, request)| request.awaited_on == Some(connection));
        let lost: Vec<Ticket> = on_stream.chain(queried.map(|(ticket, _)| *ticket)).collect();
        for ticket in lost {
            self.handle_lost_sender(links, now, ticket);
        }
        self.by_stream.retain(|stream, _| stream.connection != connection);
        self.write_deadlines.retain(|(_, stream)| stream.connection != connection);
    }
}

/// Whether a connection was not silent for too long.
fn is_receiving(links: &Links, now: Ms, connection: ConnectionId) -> bool {
    let connection = links.connections.get(&connection);
    connection.is_some_and(|connection| connection.session.heartbeat.silence(now) <= MAX_SENDER_SILENCE)
}
