//! Owns the counters: what the router takes in, sends and answers.
//!
//! Must never be read by a decision; they are for people only.

use std::fmt;

macro_rules! counters {
    ($($(#[$about:meta])* $name:ident,)*) => {
        /// Counts since the start.
        #[derive(Debug, Clone, Copy, Default)]
        pub struct Counters {
            $($(#[$about])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            /// `name=count` for each, in their order.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Requests of clients.
    taken_in,
    /// Bytes of their bodies.
    taken_in_bytes,
    /// Requests that their clients gave up.
    given_up,
    /// Attempts sent to caches, parents and the origin.
    sent,
    /// How they ended.
    ended_data,
    ended_unchanged,
    ended_absent,
    ended_full,
    ended_failed,
    ended_moot,
    ended_timed_out,
    ended_unreached,
    ended_broken,
    ended_cancelled,
    /// Answers to clients.
    served,
    served_bytes,
    refused,
    failed,
    /// Requests that could not be used, and those taken back before they went anywhere.
    unusable,
    taken_back,
    /// Connections of clients, those broken off for what could not be read or did not end, those of them that
    /// asked nothing or half a message, and idle ones closed to make room.
    clients,
    malformed,
    silent,
    made_room,
    /// Connections to caches.
    connects,
    /// Times that the configuration was read again.
    reloads,
    /// Events of the journal, and polls of it that were lost.
    journal_events,
    journal_lost,
}
