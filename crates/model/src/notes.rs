//! Records a run in the format of the testbed's recordings, so that one checker reads both.
//!
//! Only messages that reached routers, servers and clients are recorded, never what a router reports about
//! itself.

use linnethook::interface::{Endpoint, EndpointPhase, FillInstruction, SlowStart};
use linnethook_testbed::recording::{Asked, Phase as Told, RecordEntry, RecordedEvent, WarmUpCapacity};

use crate::plan::Plan;
use crate::Micros;

/// The entries recorded so far; a disabled recorder builds no entries.
#[derive(Debug, Default)]
pub struct Notes {
    lines: Option<Vec<RecordEntry>>,
}

/// The recorded properties of a client request.
#[derive(Debug, Clone, Copy)]
pub struct Wish {
    pub request: u64,
    pub object: u64,
    pub router: usize,
    pub deadline: f64,
    pub harmful: bool,
}

/// The sender of a request to a server.
#[derive(Debug, Clone, Copy)]
pub enum Asker {
    /// A router, with the server that a miss is to be filled from.
    Router(Option<(usize, FillInstruction)>),
    /// A server that fills a miss: its index, the version of the topology, and whether it wants only a cached
    /// copy.
    Server(usize, Option<u64>, bool),
}

/// The name of a server in recordings.
pub fn name(plan: &Plan, server: usize) -> String {
    let caches = plan.locations * plan.caches;
    match server {
        n if n < caches => format!("cache-{n}"),
        n if n < caches + plan.parents => format!("parent-{}", n - caches),
        n if n < plan.origin() => format!("top-{}", n - caches - plan.parents),
        _ => "origin".to_string(),
    }
}

fn router(n: usize) -> String {
    format!("router-{n}")
}

fn object_name(object: u64) -> String {
    format!("{object:016x}")
}

impl Notes {
    pub fn are_wanted(&self) -> bool {
        self.lines.is_some()
    }

    pub fn wanted() -> Self {
        Self { lines: Some(Vec::new()) }
    }

    pub fn into_lines(self) -> Vec<RecordEntry> {
        self.lines.unwrap_or_default()
    }

    fn put(&mut self, now: Micros, what: impl FnOnce() -> RecordedEvent) {
        if let Some(lines) = &mut self.lines {
            lines.push(RecordEntry { at: now as f64 / 1_000.0, what: what() });
        }
    }

    pub fn requested(&mut self, now: Micros, wish: &Wish) {
        self.put(now, || RecordedEvent::Requested {
            request: wish.request,
            id: wish.request.to_string(),
            object: object_name(wish.object),
            group: 0,
            deadline: wish.deadline,
            harmful: wish.harmful,
            router: router(wish.router),
        });
    }

    pub fn answered(&mut self, now: Micros, request: u64, code: u8, dated: Option<Micros>) {
        let dated = dated.map(|at| at as f64 / 1_000.0);
        self.put(now, || RecordedEvent::Final { request, code, dated });
    }

    /// A request reached a server, either an attempt of a router or a fill of another server.
    pub fn asked(&mut self, now: Micros, plan: &Plan, at: usize, attempt: u64, wish: &Wish, from: Asker) {
        self.put(now, || {
            let (by, version, cached_only) = match from {
                Asker::Router(fill) => (None, None, fill.is_some_and(|(_, fill)| fill.only_if_cached)),
                Asker::Server(by, version, cached_only) => (Some(by), version, cached_only),
            };
            let source = match from {
                Asker::Router(fill) => fill.map(|(source, _)| name(plan, source)),
                Asker::Server(..) => None,
            };
            RecordedEvent::Asked {
                attempt,
                asked: Asked {
                    at: name(plan, at),
                    id: wish.request.to_string(),
                    object: object_name(wish.object),
                    source,
                    cached_only,
                    passed: by.map(|by| name(plan, by)).into_iter().collect(),
                    version,
                    router: by.is_none().then(|| router(wish.router)),
                    ..Asked::default()
                },
            }
        });
    }

    pub fn ended(&mut self, now: Micros, attempt: u64, ran: bool) {
        self.put(now, || RecordedEvent::Ended { attempt, status: String::new(), res: String::new(), ran });
    }

    pub fn listed(&mut self, now: Micros, plan: &Plan, by: usize, server: usize, member: &Endpoint) {
        let phase = match member.phase {
            EndpointPhase::Ready => Told::Ready,
            EndpointPhase::Draining => Told::Draining,
            EndpointPhase::Removed => Told::Removed,
        };
        self.put(now, || RecordedEvent::Listed { router: router(by), node: name(plan, server), phase });
    }

    pub fn purged(&mut self, now: Micros, by: usize, object: u64, stamp: Micros) {
        let (object, stamp) = (Some(object_name(object)), stamp as f64 / 1_000.0);
        self.put(now, || RecordedEvent::Purged { router: router(by), object, group: None, stamp });
    }

    /// The edges of the topology that routers have received.
    pub fn shape(&mut self, now: Micros, plan: &Plan, version: u64, edges: &[(usize, usize)]) {
        self.put(now, || {
            let edges = edges.iter().map(|(from, to)| (name(plan, *from), name(plan, *to))).collect();
            RecordedEvent::Shape { version, edges }
        });
    }

    /// A complete request was forwarded over the link between two sites.
    pub fn crossed(
        &mut self,
        now: Micros,
        to: String,
        id: String,
        token: Option<(u64, u64)>,
        passed: Vec<String>,
    ) {
        self.put(now, || RecordedEvent::Crossed { to, id, token, passed });
    }

    pub fn proven(&mut self, now: Micros, token: (u64, u64)) {
        self.put(now, || RecordedEvent::Proven { token });
    }

    pub fn started(&mut self, now: Micros, plan: &Plan, server: usize, able: f64, cold: SlowStart) {
        let cold = WarmUpCapacity {
            capacity: able,
            from: cold.initial_ratio,
            warm_in: cold.duration,
            fall_multiple: cold.overload_multiple,
            window: cold.overload_window,
        };
        self.put(now, || RecordedEvent::Started { node: name(plan, server), cold });
    }

    pub fn fell(&mut self, now: Micros, plan: &Plan, server: usize) {
        self.put(now, || RecordedEvent::Fell { node: name(plan, server) });
    }
}
