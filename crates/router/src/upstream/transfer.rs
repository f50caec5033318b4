//! Reading from and writing to connections.

use std::io;

use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::policy_adapter::Ms;

use super::connection::{Connection, ConnectionId, WriteProgress};
use super::Upstreams;

impl<W: EventHandler> Upstreams<W> {
    /// Reads and handles all replies that have arrived.
    pub(super) fn read(&mut self, now: Ms, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            match connection.read() {
                Ok(0) => return self.close(now, id, "closed"),
                Ok(_) => self.note_activity(now, id),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return self.close_if_out_of_step(now, id);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return self.close(now, id, &error.to_string()),
            }
            loop {
                let Some(connection) = self.connections.get_mut(&id) else { return };
                match connection.next_reply(self.limits.upstreams.max_string_bytes) {
                    Ok(Some(reply)) => self.on_reply(now, id, reply),
                    Ok(None) => break,
                    Err(error) => return self.close(now, id, &error.to_string()),
                }
            }
        }
    }

    /// Writes what is queued, but for attempts whose clients have to be checked first.
    pub(super) fn flush(&mut self, now: Ms, id: ConnectionId) {
        self.write(now, id, now - self.limits.clients.check_interval_ms);
    }

    /// Writes what is queued, however long it has been queued.
    pub fn write_queued(&mut self, now: Ms, id: ConnectionId) {
        self.write(now, id, f64::NEG_INFINITY);
    }

    /// Writes what the system takes, but no attempt that was queued before `oldest`.
    fn write(&mut self, now: Ms, id: ConnectionId, oldest: Ms) {
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| connection.is_up()) else {
            return;
        };
        match connection.write(oldest) {
            Ok(WriteProgress::Done) => {}
            Ok(WriteProgress::Stalled) => _ = self.stalled.insert(id),
            Err(error) => self.close(now, id, &error.to_string()),
        }
    }

    /// Closes a connection on which a reply has begun though nothing is open: the reply to the next message would come
    /// behind it, if at all.
    fn close_if_out_of_step(&mut self, now: Ms, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(Connection::has_unexpected_input) {
            let upstream =
                self.connections.get(&id).map(|connection| self.endpoint_label(connection.endpoint));
            log_line!(upstream = %upstream.unwrap_or_default(), "an answer that nobody asked for ends its connection");
            self.close(now, id, "an answer that nobody asked for");
        }
    }
}
