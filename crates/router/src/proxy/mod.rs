//! The request path: passes requests, attempts and answers between clients, the policy, caches, other sites
//! and other routers.
//!
//! - [`clients`]: requests and cancellations of clients, and their final answers;
//! - [`attempts`]: sending of attempts to caches, and their outcomes;
//! - [`departed`]: requests of other sites whose senders have gone;
//! - [`deferred_attempts`]: attempts for other sites that are not heard at the moment;
//! - [`remote_sites`]: requests forwarded to other sites, and requests received from them;
//! - [`buffer_usage`]: logging what holds the buffers while they are short;
//! - [`endpoints`]: updates of the endpoint list, fill sources and purges, from every source.
//!
//! This module makes no routing decisions. The policy issues commands through [`PolicyAdapter`];
//! [`Downstreams`] and [`Upstreams`] read and write the bytes.

mod attempts;
mod buffer_usage;
mod clients;
mod deferred_attempts;
mod departed;
mod endpoints;
mod remote_sites;

use calloop::{LoopHandle, Readiness};

use crate::buffers::BufferPool;
use crate::clock::Clock;
use crate::config::Limits;
use crate::counters::{Counters, Gauges};
use crate::descriptors::DescriptorReserve;
use crate::downstream::Downstreams;
use crate::event_handler::EventHandler;
use crate::log::log_line;
use crate::operator_parts::OperatorParts;
use crate::policy_adapter::{Ms, PolicyAdapter, PolicyCommand, PolicyInput, ShadowCounts};
use crate::requests::OpenRequests;
use crate::run_phase::OpenWork;
use crate::turn::ReadyQueue;
use crate::upstream::{AttemptOrder, ResponsePayload, Upstreams};

use deferred_attempts::DeferredAttempts;
use departed::DepartedRequests;

/// The resources that a proxy shares with the rest of the router.
pub struct ProxySetup<'a, W: EventHandler> {
    /// The clock of the process.
    pub clock: Clock,
    /// The limits of the transport.
    pub limits: Limits,
    /// The pool that all connections take their buffers from.
    pub buffers: &'a BufferPool,
    /// Reserved descriptors for connections that must succeed when the process has run out of them.
    pub reserve: &'a DescriptorReserve,
    /// The connections that are ready.
    pub ready: &'a ReadyQueue,
    /// The event loop.
    pub handle: &'a LoopHandle<'static, W>,
}

/// The open requests of a router, with the components that handle them.
pub struct Proxy<W: EventHandler> {
    /// The optional components that the operator file enables.
    pub parts: OperatorParts<W>,
    clock: Clock,
    limits: Limits,
    buffers: BufferPool,
    policy: PolicyAdapter,
    downstreams: Downstreams<W>,
    upstreams: Upstreams<W>,
    requests: OpenRequests,
    departed: DepartedRequests,
    deferred_attempts: DeferredAttempts,
    /// The time of the policy's next timer, in milliseconds.
    policy_timer: Option<Ms>,
    /// Set during shutdown: new requests are rejected.
    is_closing: bool,
    counters: Counters,
    /// The earliest time of the next log line about a shortage of buffers.
    next_buffer_log: Ms,
    /// Requests rejected since that line because buffers were short.
    rejections_without_buffers: u64,
}

impl<W: EventHandler> Proxy<W> {
    /// Creates a proxy without clients and endpoints.
    pub fn new(setup: &ProxySetup<'_, W>, policy: PolicyAdapter, parts: OperatorParts<W>) -> Self {
        let ProxySetup { clock, limits, buffers, reserve, ready, handle } = *setup;
        let mut upstreams = Upstreams::new(limits, buffers, reserve, ready, handle.clone());
        upstreams.reports_versions = parts.forwards_requests();
        Self {
            parts,
            clock,
            limits,
            buffers: buffers.clone(),
            policy,
            downstreams: Downstreams::new(limits, buffers, reserve, ready, handle.clone()),
            upstreams,
            requests: OpenRequests::new(limits.requests.max_open),
            departed: DepartedRequests::default(),
            deferred_attempts: DeferredAttempts::default(),
            policy_timer: None,
            is_closing: false,
            counters: Counters::default(),
            next_buffer_log: 0.0,
            rejections_without_buffers: 0,
        }
    }

    // ---- The policy.

    /// Reports an input without a payload to the policy, and executes the commands that it returns.
    pub fn report_to_policy(&mut self, now: Ms, input: PolicyInput) {
        let commands = self.policy.handle(now, input);
        self.execute(commands, ResponsePayload::Empty);
    }

    /// Executes commands. `payload` is the payload of the attempt that was just reported to the policy.
    pub(super) fn execute(&mut self, commands: Vec<PolicyCommand>, payload: ResponsePayload) {
        let now = self.clock.now();
        let mut payload = Some(payload);
        for command in commands {
            match command {
                PolicyCommand::Send { attempt, endpoint, timeout, send_by, fill } => {
                    self.send(now, AttemptOrder { attempt, endpoint, timeout, send_by, fill });
                }
                PolicyCommand::Cancel(attempt) => self.cancel(now, attempt),
                PolicyCommand::Answer { ticket, answer } => {
                    self.on_policy_answer(ticket, answer, payload.take().unwrap_or(ResponsePayload::Empty));
                }
                PolicyCommand::SetTimer(at) => self.set_policy_timer(at),
                PolicyCommand::HealthCheck(endpoint) => self.upstreams.send_health_check(now, endpoint),
                PolicyCommand::Log(line) => log_line!("{line}"),
            }
        }
    }

    /// Stores the earliest timer only: all timers that are due run together.
    fn set_policy_timer(&mut self, at: Ms) {
        self.policy_timer = Some(self.policy_timer.map_or(at, |due| due.min(at)));
    }

    /// Runs the policy's timers that are due.
    pub fn on_policy_timer(&mut self, now: Ms) {
        if self.policy_timer.is_some_and(|due| due <= now) {
            self.policy_timer = None;
            let commands = self.policy.on_timer(now);
            self.execute(commands, ResponsePayload::Empty);
            self.process_outcomes();
        }
    }

    // ---- Timers and readiness.

    /// The next deadline in milliseconds, without those of the operator file's components.
    pub fn next_deadline(&self) -> Ms {
        let deadlines = [self.policy_timer, self.upstreams.next_deadline()];
        deadlines.into_iter().flatten().fold(self.downstreams.next_deadline(), Ms::min)
    }

    /// Handles the deadlines of connections to endpoints.
    pub fn on_upstream_timer(&mut self, now: Ms) {
        self.upstreams.on_timer(now);
        self.process_outcomes();
    }

    /// Marks a connection to an endpoint as ready.
    pub fn mark_upstream_ready(&mut self, id: u64, readiness: Readiness) {
        self.upstreams.mark_ready(id, readiness);
    }

    /// Reads and writes a connection to an endpoint that is ready.
    pub fn serve_upstream(&mut self, id: u64, readiness: Readiness) {
        self.upstreams.serve(self.clock.now(), id, readiness);
        self.process_outcomes();
    }

    /// Marks all connections as ready, whether or not they were reported.
    pub fn mark_all_ready(&mut self) {
        self.downstreams.mark_all_ready(self.clock.now());
        self.upstreams.mark_all_ready();
        if let Some(remote_sites) = &mut self.parts.remote_sites {
            remote_sites.mark_all_links_ready();
        }
    }

    // ---- Counters.

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        let counters = self.counters.with_connections(self.downstreams.counts());
        let repeated_calls = counters.repeated_calls + self.upstreams.repeated_calls();
        let violations = counters.violations + self.upstreams.violations;
        Counters { upstream_connects: self.upstreams.connects, repeated_calls, violations, ..counters }
    }

    /// The current numbers of connections, requests, attempts and buffers.
    pub fn gauges(&self) -> Gauges {
        Gauges {
            clients: self.downstreams.len(),
            endpoints: self.upstreams.endpoint_count(),
            upstream_connections: self.upstreams.connection_count(),
            open_requests: self.policy.open_requests(),
            in_flight: self.upstreams.in_flight(),
            buffers: self.buffers.in_use(),
        }
    }

    /// How often the shadow policy's decisions differed; `None` without one.
    pub fn shadow_counts(&self) -> Option<ShadowCounts> {
        self.policy.shadow_counts()
    }

    // ---- Shutdown.

    /// The open work that a drain waits for.
    pub fn open_work(&self) -> OpenWork {
        // Requests forwarded to other sites are answered by the gateway, and the policy does not count them.
        let has_forwarded_requests = self.parts.forwards_requests() && self.requests.len() > 0;
        if self.policy.open_requests() > 0 || has_forwarded_requests {
            OpenWork::Requests
        } else if self.downstreams.has_no_pending_work() {
            OpenWork::Nothing
        } else {
            OpenWork::Clients
        }
    }
}
