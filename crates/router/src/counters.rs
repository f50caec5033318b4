//! Counters of requests, attempts, answers and connections. They are only printed: no decision depends on
//! them.

use std::fmt;

use linnethook_gateway::gateway::Departure;

use crate::cluster::ClusterAdapter;
use crate::downstream::codec::AnswerCode;
use crate::downstream::ConnectionCounts;
use crate::policy_adapter::{AttemptEnd, ShadowCounts};
use crate::turn::TurnReport;
use crate::upstream::ResponsePayload;

/// Declares a struct of numbers, each with its printed name.
macro_rules! printed_counts {
    ($(#[$struct_about:meta])* $struct:ident { $($(#[$about:meta])* $name:ident: $type:ty = $printed:literal,)* }) => {
        $(#[$struct_about])*
        #[derive(Debug, Clone, Copy, Default)]
        pub struct $struct {
            $($(#[$about])* pub $name: $type,)*
        }

        impl fmt::Display for $struct {
            /// Writes ` name=count` for each field, in the order of the declaration.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(write!(f, concat!(" ", $printed, "={}"), self.$name)?;)*
                Ok(())
            }
        }
    };
}

printed_counts! {
    /// Counters since the start.
    Counters {
        /// Requests received from clients and other sites.
        requests: u64 = "taken_in",
        /// Bytes of the bodies of these requests.
        request_bytes: u64 = "taken_in_bytes",
        /// Requests cancelled by their clients, or by the sites that forwarded them.
        cancelled_requests: u64 = "given_up",
        /// Attempts sent to caches, parents and the origin.
        attempts: u64 = "sent",
        /// Attempts answered with the object.
        ended_data: u64 = "ended_data",
        /// Attempts answered with a confirmation of the client's copy.
        ended_not_modified: u64 = "ended_unchanged",
        /// Attempts at caches without a copy.
        ended_cache_miss: u64 = "ended_absent",
        /// Attempts rejected for lack of capacity.
        ended_rejected: u64 = "ended_full",
        /// Attempts that the endpoint answered with an error.
        ended_failed: u64 = "ended_failed",
        /// Attempts cancelled at the endpoint before their execution began.
        ended_not_executed: u64 = "ended_moot",
        /// Attempts that timed out.
        ended_timed_out: u64 = "ended_timed_out",
        /// Attempts that were not sent completely.
        ended_not_sent: u64 = "ended_unreached",
        /// Attempts whose connection was closed after they were sent.
        ended_connection_lost: u64 = "ended_broken",
        /// Attempts cancelled by the policy or for a client.
        ended_cancelled: u64 = "ended_cancelled",
        /// Requests that were served.
        served: u64 = "served",
        /// Bytes of the bodies of served answers.
        served_bytes: u64 = "served_bytes",
        /// Requests that were rejected.
        rejected: u64 = "refused",
        /// Requests that failed.
        failed: u64 = "failed",
        /// Invalid requests.
        invalid_requests: u64 = "unusable",
        /// Requests that were cancelled before they were handled, in the same batch of events.
        withdrawn: u64 = "taken_back",
        /// Accepted connections of clients.
        accepted_clients: u64 = "clients",
        /// Connections of clients closed with a protocol error, timeouts and evictions included.
        malformed_clients: u64 = "malformed",
        /// Connections of clients closed because no request, or only a part of a message, was received within
        /// the timeout.
        timed_out_clients: u64 = "silent",
        /// Idle connections of clients closed in favour of others.
        evicted_clients: u64 = "made_room",
        /// Connects to caches, parents and the origin.
        upstream_connects: u64 = "connects",
        /// Reloads of the configuration.
        reloads: u64 = "reloads",
        /// Events of the journal.
        watch_events: u64 = "journal_events",
        /// Failed polls of the journal service.
        failed_polls: u64 = "journal_lost",
        /// Attempts that could not be sent for lack of this router's own resources.
        ended_not_sent_locally: u64 = "ended_unsent",
        /// Calls that failed by an error of this machine, and were to be repeated.
        repeated_calls: u64 = "repeated_calls",
        /// Connections of clients that ended with open requests.
        closed_open: u64 = "closed_open",
        /// Connections that were closed while answers were owed on them, and attempts that were still queued
        /// though their requests had ended.
        violations: u64 = "violations",
        /// Attempts begun for requests from other sites that their senders had cancelled.
        attempts_after_cancel: u64 = "sent_after_cancel",
        /// Attempts begun for requests from other sites whose connection had ended.
        attempts_after_link_loss: u64 = "sent_after_link_loss",
        /// Attempts that waited until the site that had sent their request was heard again.
        attempts_deferred: u64 = "deferred_for_sender",
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
            AttemptEnd::NotSentLocally => &mut self.ended_not_sent_locally,
            AttemptEnd::ConnectionLost => &mut self.ended_connection_lost,
            AttemptEnd::Cancelled => &mut self.ended_cancelled,
        };
        *counter += 1;
    }

    /// Counts an attempt that is begun. `departure` is set if its request came from another site that may not wait
    /// for it any more.
    pub fn record_attempt(&mut self, departure: Option<Departure>) {
        self.attempts += 1;
        match departure {
            Some(Departure::Cancelled) => self.attempts_after_cancel += 1,
            Some(Departure::ConnectionLost) => self.attempts_after_link_loss += 1,
            None => {}
        }
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

    /// Sets the counters that clients' connections maintain.
    pub fn with_connections(self, connections: ConnectionCounts) -> Self {
        Self {
            accepted_clients: connections.accepted,
            malformed_clients: connections.malformed,
            timed_out_clients: connections.timed_out,
            evicted_clients: connections.evicted,
            withdrawn: connections.withdrawn,
            repeated_calls: connections.repeated_calls,
            closed_open: connections.closed_open,
            violations: connections.violations,
            ..self
        }
    }
}

printed_counts! {
    /// The router's progress in the journal.
    DiscoveryCounts {
        /// The position in the journal.
        position: u64 = "journal_number",
        /// Bytes received from the journal service.
        bytes_in: u64 = "journal_bytes_in",
        /// Bytes sent to the journal service.
        bytes_out: u64 = "journal_bytes_out",
    }
}

printed_counts! {
    /// The current numbers at the time of the report.
    Gauges {
        /// Connections of clients.
        clients: usize = "held_clients",
        /// Endpoints in the endpoint list.
        endpoints: usize = "held_caches",
        /// Connections to endpoints.
        upstream_connections: usize = "held_connections",
        /// Requests without a final answer.
        open_requests: usize = "open",
        /// Attempts in flight.
        in_flight: usize = "out",
        /// Buffer blocks in use.
        buffers: usize = "buffers",
    }
}

/// All counters of a router, printed as one line. Components that the operator file does not enable are left
/// out.
pub struct CounterReport<'a> {
    /// Counters since the start.
    pub counters: Counters,
    /// The progress in the journal.
    pub discovery: DiscoveryCounts,
    /// The current numbers at the time of the report.
    pub gauges: Gauges,
    /// How long turns of the event loop have taken.
    pub turns: TurnReport,
    /// The formatted counters of links to other sites.
    pub links: Option<String>,
    /// The cluster, which prints the counters of the membership.
    pub cluster: Option<&'a ClusterAdapter>,
    /// How often the shadow policy's decisions differed.
    pub shadow: Option<ShadowCounts>,
}

impl fmt::Display for CounterReport<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "counters{}{}{}{}", self.counters, self.discovery, self.gauges, self.turns)?;
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
