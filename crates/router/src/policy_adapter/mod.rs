//! The policy and its timers, behind three methods: for a new request, for any other input, and for timers.
//! Each returns the commands that the router has to execute.
//!
//! - [`events`]: inputs, from the router to the policy;
//! - [`actions`]: commands, from the policy to the router.
//!
//! Only this module uses the policy's event and action types. It makes no decisions itself.

mod actions;
mod events;

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::{
    Action, AttemptId, EndpointId, Event, Idempotence, ObjectId, Request, RequestClass, RequestId, RetryScope,
};
use linnethook::Policy;
use linnethook_settings::DecodedSettings;
pub use linnethook_shadow_policy::DifferenceCounts as ShadowCounts;
use linnethook_shadow_policy::{DueTimer, ShadowPolicy};
use xxhash_rust::xxh3::xxh3_64;

use events::{fill_sources_event, purge_event, ReportNames, UNKNOWN_NUMBER};

pub use actions::{FillSpec, FinalAnswer, PolicyCommand};
pub use events::{
    AttemptEnd, AttemptReport, CacheResult, EndpointInfo, FillSourceLists, ListedState, PolicyInput,
};

/// Milliseconds, on the clock of the process.
pub type Ms = f64;

/// The router's id of an open request, unique in this router, unlike the id that the client gave it, which is
/// [`RequestMessage::id`](crate::upstream::RequestMessage::id).
pub type Ticket = u64;

/// Identifies an attempt of a request. Attempts are numbered in the order in which they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The request.
    pub ticket: Ticket,
    /// The number of the attempt, starting at 0.
    pub number: u8,
}

impl AttemptKey {
    fn id(self) -> AttemptId {
        AttemptId { request: RequestId(self.ticket), number: self.number }
    }
}

impl From<AttemptId> for AttemptKey {
    fn from(id: AttemptId) -> Self {
        Self { ticket: id.request.0, number: id.number }
    }
}

/// Identifies a cache, a parent or the origin. A uid has the same key at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey(u64);

impl EndpointKey {
    /// The key of the endpoint with this name.
    pub fn of(uid: &str) -> Self {
        Self(xxh3_64(uid.as_bytes()))
    }

    /// The key as a number, as exchanged with other routers and stored in the audit log.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The inverse of [`Self::number`].
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    fn id(self) -> EndpointId {
        EndpointId(self.0)
    }
}

impl From<EndpointId> for EndpointKey {
    fn from(id: EndpointId) -> Self {
        Self(id.0)
    }
}

/// A client's request, in the terms of the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestSpec {
    /// The name of its class.
    pub class: String,
    /// The id of the object.
    pub object: u64,
    /// The number of the part of the object, starting at 0.
    pub part: u32,
    /// The purge group of the object.
    pub group: u32,
    /// The size of the object in units of 1,000 bytes; 0 if not stated.
    pub size_kb: f64,
    /// Whether the client has marked the request as a repetition.
    pub repeat: bool,
    /// The remaining time for an answer, in milliseconds.
    pub budget: Ms,
}

/// The properties of a request that depend on its class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestProperties {
    /// The latency objective, in milliseconds.
    pub latency_objective: Ms,
    /// Whether it is a write, which is executed at the origin.
    pub is_write: bool,
}

/// A request without a final answer so far.
#[derive(Debug)]
struct PendingRequest {
    deadline: Ms,
    /// The number of attempts sent.
    attempts: u8,
}

/// The policy with its timers.
#[derive(Debug)]
pub struct PolicyAdapter {
    policy: Policy,
    names: ReportNames,
    classes: Vec<RequestClass>,
    flow_kb_per_s: f64,
    zone: u16,
    max_retry_after: Ms,
    parallel_attempts: bool,
    pending: BTreeMap<Ticket, PendingRequest>,
    /// Timers as pairs of their time in microseconds and their token.
    timers: BTreeSet<(u64, u32)>,
    /// The shadow policy, which counts the decisions that differ with other settings.
    shadow: Option<ShadowPolicy>,
}

impl PolicyAdapter {
    /// Creates a policy without endpoints.
    pub fn new(settings: DecodedSettings, seed: u64) -> Self {
        let names = ReportNames {
            names: settings.names,
            load_fields: settings.report_fields,
            load_names: settings.report_names,
        };
        Self {
            classes: settings.settings.classes.clone(),
            flow_kb_per_s: settings.settings.flow_kb_per_s,
            zone: settings.settings.zone,
            max_retry_after: settings.settings.max_retry_after,
            parallel_attempts: settings.settings.parallel_attempts,
            policy: Policy::new(settings.settings, seed),
            names,
            pending: BTreeMap::new(),
            timers: BTreeSet::new(),
            shadow: None,
        }
    }

    /// Starts a shadow policy with these settings. It only counts differing decisions and has no other
    /// effect.
    pub fn start_shadow(&mut self, settings: DecodedSettings, seed: u64) {
        self.shadow = Some(ShadowPolicy::new(settings.settings, seed));
    }

    /// How often the shadow policy's decisions differed; `None` without one.
    pub fn shadow_counts(&self) -> Option<ShadowCounts> {
        self.shadow.as_ref().map(ShadowPolicy::counts)
    }

    /// Whether the settings define the class of a request.
    pub fn knows_class(&self, spec: &RequestSpec) -> bool {
        self.names.class_number(&spec.class).is_some()
    }

    /// The class of a request; `None` if the settings don't define it.
    fn class(&self, spec: &RequestSpec) -> Option<&RequestClass> {
        let number = self.names.class_number(&spec.class)?;
        self.classes.get(usize::from(number))
    }

    /// The properties of a request, by its class and the size of the object.
    pub fn request_properties(&self, spec: &RequestSpec) -> RequestProperties {
        let class = self.class(spec).cloned().unwrap_or_default();
        let transfer =
            if self.flow_kb_per_s > 0.0 { spec.size_kb / self.flow_kb_per_s * 1000.0 } else { 0.0 };
        let latency_objective = class.latency_objective + class.objective_stretch_ratio * transfer;
        RequestProperties { latency_objective, is_write: class.is_write }
    }

    /// Whether a request must not be executed twice. This is assumed for unknown classes.
    pub fn needs_repeat_protection(&self, spec: &RequestSpec) -> bool {
        self.class(spec).is_none_or(|class| class.idempotence != Idempotence::Idempotent)
    }

    /// Whether a request may have two attempts at the same time.
    pub fn allows_parallel_attempts(&self) -> bool {
        self.parallel_attempts
    }

    /// The maximum Retry-After of a client's answer, in milliseconds.
    pub fn max_retry_after(&self) -> Ms {
        self.max_retry_after
    }

    /// The Retry-After of a rejection for lack of resources, in milliseconds; 0 where it is not supported.
    pub fn retry_after(&self) -> Ms {
        self.policy.retry_after()
    }

    /// Whether an endpoint is in this router's own zone.
    pub fn is_local(&self, endpoint: &EndpointInfo) -> bool {
        self.names.zone_number(&endpoint.zone) == Some(self.zone)
    }

    /// The number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Reports a new request to the policy.
    pub fn on_request(&mut self, now: Ms, ticket: Ticket, spec: &RequestSpec) -> Vec<PolicyCommand> {
        // An unknown class has a reserved number, for which the policy makes no assumptions.
        let class = self.names.class_number(&spec.class).unwrap_or(UNKNOWN_NUMBER);
        self.pending.insert(ticket, PendingRequest { deadline: now + spec.budget, attempts: 0 });
        let request = Request {
            id: RequestId(ticket),
            object: ObjectId(spec.object),
            part: spec.part,
            group: spec.group,
            class,
            size_kb: spec.size_kb,
            client_retry: spec.repeat,
            is_write: false,
            time_limit: spec.budget,
        };
        self.dispatch(now, &Event::Request(request), None)
    }

    /// Reports an input other than a new request to the policy.
    pub fn handle(&mut self, now: Ms, input: PolicyInput) -> Vec<PolicyCommand> {
        let event = match input {
            PolicyInput::AttemptEnded(report) => return self.on_attempt_ended(now, &report),
            PolicyInput::RequestCancelled(ticket) => match self.pending.remove(&ticket) {
                Some(_) => Event::ClientDisconnected(RequestId(ticket)),
                None => return Vec::new(),
            },
            PolicyInput::Endpoints { complete, endpoints } => self.names.endpoint_event(complete, &endpoints),
            PolicyInput::Purged { object, group, stamp } => purge_event(now, object, group, stamp),
            PolicyInput::HealthChecked { endpoint, healthy, gauges } => {
                self.names.health_check_event(endpoint, healthy, &gauges)
            }
            PolicyInput::FillSources { endpoint, sources } => fill_sources_event(endpoint, &sources),
        };
        self.dispatch(now, &event, None)
    }

    fn on_attempt_ended(&mut self, now: Ms, report: &AttemptReport) -> Vec<PolicyCommand> {
        let ticket = report.attempt.ticket;
        let served = report.end == AttemptEnd::Answered && self.pending.remove(&ticket).is_some();
        let event = self.names.attempt_event(report, !self.pending.contains_key(&ticket));
        let mut commands = Vec::new();
        if served {
            commands.push(PolicyCommand::Answer { ticket, answer: FinalAnswer::Served });
        }
        commands.extend(self.dispatch(now, &event, None));
        commands
    }

    /// Runs the timers that are due; the commands end with the time of the next timer, if there is one.
    pub fn on_timer(&mut self, now: Ms) -> Vec<PolicyCommand> {
        let mut commands = Vec::new();
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= micros(now)) {
            self.timers.remove(&(at, token));
            commands.extend(self.dispatch(now, &Event::Timer(token), Some(DueTimer { at_us: at, token })));
        }
        commands.extend(self.timers.first().map(|(at, _)| PolicyCommand::SetTimer(*at as Ms / 1000.0)));
        commands
    }

    /// Passes an event to the policy and, if there is one, to the shadow policy. `due` is the timer of a
    /// timer event.
    fn dispatch(&mut self, now: Ms, event: &Event, due: Option<DueTimer>) -> Vec<PolicyCommand> {
        let actions = self.policy.handle(now, event);
        if let Some(shadow) = &mut self.shadow {
            shadow.observe(now, event, due, &actions);
        }
        let mut commands = Vec::with_capacity(actions.len());
        for action in actions {
            commands.extend(self.command(now, action));
        }
        commands
    }

    /// The command for an action of the policy; `None` if the router has nothing to do.
    fn command(&mut self, now: Ms, action: Action) -> Option<PolicyCommand> {
        match action {
            Action::Forward { request, endpoint, timeout, send_by } => {
                let timeout = self.attempt_timeout(now, request, timeout)?;
                self.send(request, endpoint, timeout, send_by, FillSpec::NO_FILL)
            }
            Action::ForwardWithFill { request, endpoint, timeout, send_by, fill } => {
                let timeout = self.attempt_timeout(now, request, timeout)?;
                self.send(request, endpoint, timeout, send_by, FillSpec::new(endpoint, &fill))
            }
            Action::CancelAttempt(id) => Some(PolicyCommand::Cancel(id.into())),
            Action::Reject { request, retry_after, retry_scope, .. } => {
                let may_run_elsewhere = retry_scope == RetryScope::Anywhere;
                self.finish(request, FinalAnswer::Rejected { retry_after, may_run_elsewhere })
            }
            Action::Fail { request, .. } => self.finish(request, FinalAnswer::Failed),
            Action::SetTimer { at, token } => {
                self.timers.insert((micros(at), token));
                Some(PolicyCommand::SetTimer(at))
            }
            Action::HealthCheck(endpoint) => Some(PolicyCommand::HealthCheck(endpoint.into())),
            // Discovery always reports all changes.
            Action::SubscribeEndpoints => None,
            Action::Log(line) => Some(PolicyCommand::Log(line)),
        }
    }

    /// The timeout of an attempt, limited to the remaining time of its request; `timeout` 0 stands for all of
    /// that. `None` if the request has its final answer.
    fn attempt_timeout(&self, now: Ms, request: RequestId, timeout: Ms) -> Option<Ms> {
        let left = self.pending.get(&request.0)?.deadline - now;
        Some(if timeout == 0.0 { left } else { timeout.min(left) })
    }

    /// The command to send an attempt; `None` if its request has its final answer.
    fn send(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Ms,
        send_by: Option<Ms>,
        fill: FillSpec,
    ) -> Option<PolicyCommand> {
        let pending = self.pending.get_mut(&request.0)?;
        let attempt = AttemptKey { ticket: request.0, number: pending.attempts };
        pending.attempts += 1;
        Some(PolicyCommand::Send { attempt, endpoint: endpoint.into(), timeout, send_by, fill })
    }

    /// The command for the final answer of a request; `None` if it was already answered.
    fn finish(&mut self, request: RequestId, answer: FinalAnswer) -> Option<PolicyCommand> {
        self.pending.remove(&request.0).map(|_| PolicyCommand::Answer { ticket: request.0, answer })
    }
}

/// A time in integer microseconds, which unlike floats are totally ordered.
pub fn micros(at: Ms) -> u64 {
    (at * 1000.0) as u64
}

#[cfg(test)]
#[path = "../../tests/unit/policy_adapter.rs"]
mod tests;
