//! Counters: what the router receives, sends and answers. They are for people only; no decision reads them.

use std::fmt;

use crate::cluster::ClusterAdapter;
use crate::downstream::codec::AnswerCode;
use crate::downstream::ConnectionCounts;
use crate::policy_adapter::{AttemptEnd, ShadowCounts};
use crate::upstream::ResponsePayload;

/// Declares a struct of numbers, each with the name that it is printed by.
macro_rules! printed_counts {
    ($(#[$struct_about:meta])* $struct:ident { $($(#[$about:meta])* $name:ident: $type:ty = $printed:literal,)* }) => {
        $(#[$struct_about])*
        #[derive(Debug, Clone, Copy, Default)]
        pub struct $struct {
            $($(#[$about])* pub $name: $type,)*
        }

        impl fmt::Display for $struct {
            /// ` name=count` for each, in their order.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(" ", $printed, "={}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

printed_counts! {
    /// Counts since the start.
    Counters {
        /// Requests of clients.
        requests: u64 = "taken_in",
        /// Bytes of their bodies.
        request_bytes: u64 = "taken_in_bytes",
        /// Requests that their clients cancelled.
        cancelled_requests: u64 = "given_up",
        /// Attempts sent to caches, parents and the origin.
        attempts: u64 = "sent",
        /// Attempts that ended with the object.
        ended_data: u64 = "ended_data",
        /// Attempts that confirmed the client's copy.
        ended_not_modified: u64 = "ended_unchanged",
        /// Attempts at caches that had no copy.
        ended_cache_miss: u64 = "ended_absent",
        /// Attempts rejected for lack of capacity.
        ended_rejected: u64 = "ended_full",
        /// Attempts that failed at the endpoint.
        ended_failed: u64 = "ended_failed",
        /// Attempts cancelled at the endpoint before their execution began.
        ended_not_executed: u64 = "ended_moot",
        /// Attempts that timed out.
        ended_timed_out: u64 = "ended_timed_out",
        /// Attempts that were not sent in full.
        ended_not_sent: u64 = "ended_unreached",
        /// Attempts whose connection was closed.
        ended_connection_lost: u64 = "ended_broken",
        /// Attempts that were cancelled.
        ended_cancelled: u64 = "ended_cancelled",
        /// Requests that were served.
        served: u64 = "served",
        /// Bytes of their answers.
        served_bytes: u64 = "served_bytes",
        /// Requests that were rejected.
        rejected: u64 = "refused",
        /// Requests that failed.
        failed: u64 = "failed",
        /// Requests that could not be used.
        unusable: u64 = "unusable",
        /// Requests that were cancelled in the batch of events that brought them.
        withdrawn: u64 = "taken_back",
        /// Connections of clients.
        accepted_clients: u64 = "clients",
        /// Of them, those broken off for a protocol error.
        malformed_clients: u64 = "malformed",
        /// Of them, those broken off since nothing, or half a message, was received.
        silent_clients: u64 = "silent",
        /// Of them, idle ones closed in favour of others.
        displaced_clients: u64 = "made_room",
        /// Connections to caches.
        upstream_connects: u64 = "connects",
        /// Times that the configuration was read again.
        reloads: u64 = "reloads",
        /// Events of the journal.
        watch_events: u64 = "journal_events",
        /// Polls of the journal that were lost.
        lost_polls: u64 = "journal_lost",
    }
}

impl Counters {
    /// Counts a request with the bytes of its body.
    pub fn record_request(&mut self, body_bytes: usize) {
        self.requests += 1;
        self.request_bytes += body_bytes as u64;
    }

    /// Counts how an attempt ended.
    pub fn record_outcome(&mut self, end: AttemptEnd, payload: &ResponsePayload) {
        let is_not_modified = matches!(payload, ResponsePayload::NotModified);
        let counter = match end {
            AttemptEnd::Answered if is_not_modified => &mut self.ended_not_modified,
            AttemptEnd::Answered => &mut self.ended_data,
            AttemptEnd::Failed => &mut self.ended_failed,
            AttemptEnd::Rejected => &mut self.ended_rejected,
            AttemptEnd::CacheMiss => &mut self.ended_cache_miss,
            AttemptEnd::NotExecuted => &mut self.ended_not_executed,
            AttemptEnd::TimedOut => &mut self.ended_timed_out,
            AttemptEnd::NotSent => &mut self.ended_not_sent,
            AttemptEnd::ConnectionLost => &mut self.ended_connection_lost,
            AttemptEnd::Cancelled => &mut self.ended_cancelled,
        };
        *counter += 1;
    }

    /// Counts an answer to a client with the bytes of its body.
    pub fn record_answer(&mut self, code: AnswerCode, body_bytes: usize) {
        match code {
            AnswerCode::Served => {
                self.served += 1;
                self.served_bytes += body_bytes as u64;
            }
            AnswerCode::Rejected => self.rejected += 1,
            AnswerCode::Failed => self.failed += 1,
        }
    }

    /// The same with what is counted where clients are connected.
    pub fn with_connections(self, connections: ConnectionCounts) -> Self {
        Self {
            accepted_clients: connections.accepted,
            malformed_clients: connections.malformed,
            silent_clients: connections.silent,
            displaced_clients: connections.displaced,
            withdrawn: connections.withdrawn,
            ..self
        }
    }
}

printed_counts! {
    /// What the router has read of the journal.
    DiscoveryCounts {
        /// The position in the journal.
        position: u64 = "journal_number",
        /// Bytes that were received.
        bytes_in: u64 = "journal_bytes_in",
        /// Bytes that were sent.
        bytes_out: u64 = "journal_bytes_out",
    }
}

printed_counts! {
    /// What the router holds at the time of the report.
    Gauges {
        /// Connections of clients.
        clients: usize = "held_clients",
        /// Endpoints.
        endpoints: usize = "held_caches",
        /// Connections to endpoints.
        upstream_connections: usize = "held_connections",
        /// Requests without their final answer.
        open_requests: usize = "open",
        /// Attempts in flight.
        in_flight: usize = "out",
        /// Blocks of buffers in use.
        buffers: usize = "buffers",
    }
}

/// All counts of a router. It is printed as one line; what the operator file does not enable is left out.
pub struct CounterReport<'a> {
    /// Counts since the start.
    pub counters: Counters,
    /// What was read of the journal.
    pub discovery: DiscoveryCounts,
    /// The state at the time of the report.
    pub gauges: Gauges,
    /// Counts of links with other sites.
    pub links: Option<String>,
    /// Counts of the membership.
    pub cluster: Option<&'a ClusterAdapter>,
    /// Where the shadow policy would have decided otherwise.
    pub shadow: Option<ShadowCounts>,
}

impl fmt::Display for CounterReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters{}{}{}", self.counters, self.discovery, self.gauges)?;
        if let Some(links) = &self.links {
            write!(f, " {links}")?;
        }
        if let Some(cluster) = self.cluster {
            write!(f, " {cluster}")?;
        }
        if let Some(shadow) = &self.shadow {
            write!(f, " {shadow}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/counters.rs"]
mod tests;
