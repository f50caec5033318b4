//! Records a run in the format of the testbed's recordings, so that one checker reads both.
//!
//! Only messages that reached routers, servers and clients are recorded, never what a router reports about
//! itself.

use linnethook::interface::{Endpoint, EndpointPhase, FillInstruction, SlowStart};
use linnethook_testbed::recording::{
    Asked, Phase as RecordedPhase, RecordEntry, RecordedEvent, WarmUpCapacity,
};

use crate::plan::Plan;
use crate::Micros;

/// The entries recorded so far; a disabled recorder builds no entries.
#[derive(Debug, Default)]
pub struct Recorder {
    entries: Option<Vec<RecordEntry>>,
}

/// The recorded properties of a client request.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// Number of the request; the number at its own site if it was forwarded.
    pub request: u64,
    /// The requested object.
    pub object: u64,
    /// The router that received it.
    pub router: usize,
    /// When the client stops waiting, in milliseconds.
    pub deadline: f64,
    /// Whether a second execution would be harmful.
    pub harmful: bool,
}

/// The sender of a request to a server.
#[derive(Debug, Clone, Copy)]
pub enum Requester {
    /// A router, with the server that a miss is to be filled from.
    Router(Option<(usize, FillInstruction)>),
    /// A server that fills a miss: its index, the version of the topology, and whether it wants only a cached
    /// copy.
    Server(usize, Option<u64>, bool),
}

/// The name of a server in recordings.
pub fn server_name(plan: &Plan, server: usize) -> String {
    let caches = plan.locations * plan.caches;
    match server {
        n if n < caches => format!("cache-{n}"),
        n if n < caches + plan.parents => format!("parent-{}", n - caches),
        n if n < plan.origin() => format!("top-{}", n - caches - plan.parents),
        _ => "origin".to_string(),
    }
}

fn router_name(n: usize) -> String {
    format!("router-{n}")
}

fn object_name(object: u64) -> String {
    format!("{object:016x}")
}

impl Recorder {
    /// Whether entries are recorded.
    pub fn is_enabled(&self) -> bool {
        self.entries.is_some()
    }

    /// Creates a recorder that records entries; the default one is disabled.
    pub fn enabled() -> Self {
        Self { entries: Some(Vec::new()) }
    }

    /// The recorded entries, in order of time.
    pub fn into_entries(self) -> Vec<RecordEntry> {
        self.entries.unwrap_or_default()
    }

    fn record(&mut self, now: Micros, event: impl FnOnce() -> RecordedEvent) {
        if let Some(entries) = &mut self.entries {
            entries.push(RecordEntry { at: now as f64 / 1_000.0, what: event() });
        }
    }

    /// A client sent a request to its router.
    pub fn record_request(&mut self, now: Micros, request_info: &RequestInfo) {
        self.record(now, || RecordedEvent::Requested {
            request: request_info.request,
            id: request_info.request.to_string(),
            object: object_name(request_info.object),
            group: 0,
            deadline: request_info.deadline,
            harmful: request_info.harmful,
            router: router_name(request_info.router),
        });
    }

    /// A client received the final answer; `issued_at` is when the copy was made.
    pub fn record_answer(&mut self, now: Micros, request: u64, code: u8, issued_at: Option<Micros>) {
        let dated = issued_at.map(|at| at as f64 / 1_000.0);
        self.record(now, || RecordedEvent::Final { request, code, dated });
    }

    /// A request reached a server, either an attempt of a router or a fill of another server.
    pub fn record_server_request(
        &mut self,
        now: Micros,
        plan: &Plan,
        at: usize,
        attempt: u64,
        request_info: &RequestInfo,
        from: Requester,
    ) {
        self.record(now, || {
            let (by, version, cached_only) = match from {
                Requester::Router(fill) => (None, None, fill.is_some_and(|(_, fill)| fill.only_if_cached)),
                Requester::Server(by, version, cached_only) => (Some(by), version, cached_only),
            };
            let source = match from {
                Requester::Router(fill) => fill.map(|(source, _)| server_name(plan, source)),
                Requester::Server(..) => None,
            };
            RecordedEvent::Asked {
                attempt,
                asked: Asked {
                    at: server_name(plan, at),
                    id: request_info.request.to_string(),
                    object: object_name(request_info.object),
                    source,
                    cached_only,
                    passed: by.map(|by| server_name(plan, by)).into_iter().collect(),
                    version,
                    router: by.is_none().then(|| router_name(request_info.router)),
                    ..Asked::default()
                },
            }
        });
    }

    /// An attempt ended; `executed` is whether it took effect at the origin.
    pub fn record_attempt_end(&mut self, now: Micros, attempt: u64, executed: bool) {
        self.record(now, || RecordedEvent::Ended {
            attempt,
            status: String::new(),
            res: String::new(),
            ran: executed,
        });
    }

    /// A router received an update of the endpoint list.
    pub fn record_endpoint_update(
        &mut self,
        now: Micros,
        plan: &Plan,
        by: usize,
        server: usize,
        endpoint: &Endpoint,
    ) {
        let phase = match endpoint.phase {
            EndpointPhase::Ready => RecordedPhase::Ready,
            EndpointPhase::Draining => RecordedPhase::Draining,
            EndpointPhase::Removed => RecordedPhase::Removed,
        };
        self.record(now, || RecordedEvent::Listed {
            router: router_name(by),
            node: server_name(plan, server),
            phase,
        });
    }

    /// A router received a purge of the copies from before `stamp`.
    pub fn record_purge(&mut self, now: Micros, by: usize, object: u64, stamp: Micros) {
        let (object, stamp) = (Some(object_name(object)), stamp as f64 / 1_000.0);
        self.record(now, || RecordedEvent::Purged { router: router_name(by), object, group: None, stamp });
    }

    /// The edges of the topology that routers have received.
    pub fn record_topology(&mut self, now: Micros, plan: &Plan, version: u64, edges: &[(usize, usize)]) {
        self.record(now, || {
            let edges =
                edges.iter().map(|(from, to)| (server_name(plan, *from), server_name(plan, *to))).collect();
            RecordedEvent::Shape { version, edges }
        });
    }

    /// A complete request was forwarded over the link between two sites.
    pub fn record_forwarded_request(
        &mut self,
        now: Micros,
        to: String,
        id: String,
        token: Option<(u64, u64)>,
        passed: Vec<String>,
    ) {
        self.record(now, || RecordedEvent::Crossed { to, id, token, passed });
    }

    /// A proof that the request of a fencing token was never executed passed the link between two sites.
    pub fn record_proof_of_no_execution(&mut self, now: Micros, token: (u64, u64)) {
        self.record(now, || RecordedEvent::Proven { token });
    }

    /// A server started cold.
    pub fn record_server_start(
        &mut self,
        now: Micros,
        plan: &Plan,
        server: usize,
        capacity: f64,
        slow_start: SlowStart,
    ) {
        let cold = WarmUpCapacity {
            capacity,
            from: slow_start.initial_ratio,
            warm_in: slow_start.duration,
            fall_multiple: slow_start.overload_multiple,
            window: slow_start.overload_window,
        };
        self.record(now, || RecordedEvent::Started { node: server_name(plan, server), cold });
    }

    /// A server crashed under overload.
    pub fn record_server_crash(&mut self, now: Micros, plan: &Plan, server: usize) {
        self.record(now, || RecordedEvent::Fell { node: server_name(plan, server) });
    }
}
