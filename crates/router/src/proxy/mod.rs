//! Requests from their arrival to their answer: between clients, the policy, caches, other sites and other routers.
//!
//! - [`clients`]: requests and cancellations of clients, and their final answers;
//! - [`attempts`]: attempts on their way to caches, and their outcomes;
//! - [`remote_sites`]: requests that other sites decide about, and those that come from there;
//! - [`endpoints`]: changes of the endpoint list, of fill sources and purges, from whichever source.
//!
//! Nothing is decided here. Commands come from the policy, by way of [`PolicyAdapter`]; bytes are read and written by
//! [`Downstreams`] and [`Upstreams`].

mod attempts;
mod clients;
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
use crate::upstream::{AttemptOrder, ResponsePayload, Upstreams};

/// What a proxy works with.
pub struct ProxySetup<'a, W: EventHandler> {
    /// The clock of the process.
    pub clock: Clock,
    /// The limits of the transport.
    pub limits: Limits,
    /// Where buffers come from.
    pub buffers: &'a BufferPool,
    /// Descriptors for what has to go on.
    pub reserve: &'a DescriptorReserve,
    /// The event loop.
    pub handle: &'a LoopHandle<'static, W>,
}

/// The open requests of a router, with the parts that they pass through.
pub struct Proxy<W: EventHandler> {
    /// What the operator file enables.
    pub parts: OperatorParts<W>,
    clock: Clock,
    limits: Limits,
    buffers: BufferPool,
    policy: PolicyAdapter,
    downstreams: Downstreams<W>,
    upstreams: Upstreams<W>,
    requests: OpenRequests,
    /// When the policy's next timer is due.
    policy_timer: Option<Ms>,
    /// New requests are rejected: the router ends.
    is_closing: bool,
    counters: Counters,
}

impl<W: EventHandler> Proxy<W> {
    /// A proxy without clients and endpoints.
    pub fn new(setup: &ProxySetup<'_, W>, policy: PolicyAdapter, parts: OperatorParts<W>) -> Self {
        let ProxySetup { clock, limits, buffers, reserve, handle } = *setup;
        let mut upstreams = Upstreams::new(limits, buffers, reserve, handle.clone());
        upstreams.reports_versions = parts.forwards_requests();
        Self {
            parts,
            clock,
            limits,
            buffers: buffers.clone(),
            policy,
            downstreams: Downstreams::new(limits, buffers, reserve, handle.clone()),
            upstreams,
            requests: OpenRequests::new(limits.requests.max_open),
            policy_timer: None,
            is_closing: false,
            counters: Counters::default(),
        }
    }

    // ---- The policy.

    /// Reports something without a payload to the policy, and executes its commands.
    pub fn report_to_policy(&mut self, now: Ms, input: PolicyInput) {
        let commands = self.policy.handle(now, input);
        self.execute(commands, ResponsePayload::Empty);
    }

    /// Executes commands. `payload` is what the attempt that was just reported carried.
    pub(super) fn execute(&mut self, commands: Vec<PolicyCommand>, payload: ResponsePayload) {
        let now = self.clock.now();
        let mut payload = Some(payload);
        for command in commands {
            match command {
                PolicyCommand::Send { attempt, endpoint, timeout, fill } => {
                    self.send(now, AttemptOrder { attempt, endpoint, timeout, fill });
                }
                PolicyCommand::Cancel(attempt) => self.cancel(now, attempt),
                PolicyCommand::Answer { ticket, answer } => {
                    self.on_decided(ticket, answer, payload.take().unwrap_or(ResponsePayload::Empty));
                }
                PolicyCommand::SetTimer(at) => self.set_policy_timer(at),
                PolicyCommand::HealthCheck(endpoint) => self.upstreams.send_health_check(now, endpoint),
                PolicyCommand::Log(line) => log_line!("{line}"),
            }
        }
    }

    /// Timers that are due are run together, so that the earliest one is enough.
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

    /// When something is due next, the parts of the operator file apart.
    pub fn next_deadline(&self) -> Ms {
        let deadlines = [self.policy_timer, self.upstreams.next_deadline()];
        deadlines.into_iter().flatten().fold(self.downstreams.next_deadline(), Ms::min)
    }

    /// Whether a client can be read without waiting for an event.
    pub fn has_readable_clients(&self) -> bool {
        self.downstreams.has_readable_paused()
    }

    /// Does what is due at connections to endpoints.
    pub fn on_upstream_timer(&mut self, now: Ms) {
        self.upstreams.on_timer(now);
        self.process_outcomes();
    }

    /// Continues after a connection to an endpoint became ready.
    pub fn on_upstream_ready(&mut self, id: u64, readiness: Readiness) {
        self.upstreams.on_ready(self.clock.now(), id, readiness);
        self.process_outcomes();
    }

    // ---- Counts.

    /// Counts since the start.
    pub fn counters(&self) -> Counters {
        let counters = self.counters.with_connections(self.downstreams.counts);
        Counters { upstream_connects: self.upstreams.connects, ..counters }
    }

    /// What is open now.
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

    /// Where the shadow policy would have decided otherwise; `None` without one.
    pub fn shadow_counts(&self) -> Option<ShadowCounts> {
        self.policy.shadow_counts()
    }

    // ---- Shutdown.

    /// What a drain waits for.
    pub fn open_work(&self) -> OpenWork {
        // The gateway owes the answers to requests at other sites, and the policy does not count these.
        let is_owed_by_gateway = self.parts.forwards_requests() && self.requests.len() > 0;
        if self.policy.open_requests() > 0 || is_owed_by_gateway {
            OpenWork::Requests
        } else if self.downstreams.is_settled() {
            OpenWork::Nothing
        } else {
            OpenWork::Clients
        }
    }
}
