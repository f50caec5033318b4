//! From the router to the policy: what the router reports, and how it reads in the policy's terms.

use linnethook::interface::{
    AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase,
    EndpointUpdate, Event, FillSource, FillSources, LoadReport, ObjectId, RequestId,
};
use linnethook_settings::{load_report, LoadReportField, SettingNames};

use super::{AttemptKey, EndpointKey, Ms, Ticket};

/// A line of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointInfo {
    pub uid: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub weight: f64,
    /// In Unix milliseconds.
    pub started: Ms,
    pub state: ListedState,
}

/// The state of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    Answered,
    /// It may have been executed.
    Failed,
    /// The endpoint has rejected it for lack of capacity.
    Rejected,
    /// The object is not cached there, and was not filled.
    CacheMiss,
    /// It was cancelled at the endpoint before its execution began.
    NotExecuted,
    TimedOut,
    /// It was not sent in full.
    NotSent,
    /// Its connection was closed after it was sent.
    ConnectionLost,
    /// Cancelled on the policy's order, or for its client.
    Cancelled,
}

impl AttemptEnd {
    /// The name in the audit log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Rejected => "full",
            Self::CacheMiss => "absent",
            Self::NotExecuted => "moot",
            Self::TimedOut => "timedout",
            Self::NotSent => "unreached",
            Self::ConnectionLost => "broken",
            Self::Cancelled => "cancelled",
        }
    }

    fn status(self) -> AttemptStatus {
        match self {
            Self::Answered => AttemptStatus::Ok,
            Self::Failed => AttemptStatus::Error,
            Self::Rejected => AttemptStatus::Rejected,
            Self::CacheMiss => AttemptStatus::CacheMiss,
            Self::NotExecuted => AttemptStatus::NotExecuted,
            Self::TimedOut => AttemptStatus::TimedOut,
            // To the policy it is the same whether no connection came up or nothing was written to one.
            Self::NotSent => AttemptStatus::ConnectFailed,
            Self::ConnectionLost => AttemptStatus::Reset,
            Self::Cancelled => AttemptStatus::Cancelled,
        }
    }
}

/// How a cache came to its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheResult {
    Hit,
    FilledByParent,
    FilledByOrigin,
    Coalesced,
    Stale,
    SourceRejected,
    SourceUnreachable,
    SourceMiss,
    NoCapacity,
    OriginFailed,
    /// The fill came back to a node that it had passed, and was not executed.
    FillLoop,
}

impl CacheResult {
    fn cache_status(self) -> CacheStatus {
        match self {
            Self::Hit => CacheStatus::Hit,
            Self::FilledByParent => CacheStatus::FilledByParent,
            Self::FilledByOrigin => CacheStatus::FilledByOrigin,
            Self::Coalesced => CacheStatus::Coalesced,
            Self::Stale => CacheStatus::Stale,
            Self::SourceRejected => CacheStatus::SourceRejected,
            Self::SourceUnreachable => CacheStatus::SourceUnreachable,
            Self::SourceMiss => CacheStatus::SourceMiss,
            Self::OriginFailed => CacheStatus::OriginFailed,
            // A loop is no fault of the endpoint, and was not executed.
            Self::NoCapacity | Self::FillLoop => CacheStatus::NoCapacity,
        }
    }
}

/// The outcome of an attempt. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptReport {
    pub attempt: AttemptKey,
    pub endpoint: EndpointKey,
    pub end: AttemptEnd,
    pub elapsed: Ms,
    /// Time spent waiting for the source of a fill; 0 = not reported.
    pub source_wait: Ms,
    pub cache_result: Option<CacheResult>,
    /// The load report, by the names that the settings give its values.
    pub gauges: Vec<(String, f64)>,
}

/// What the router reports to the policy, requests apart.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyInput {
    AttemptEnded(AttemptReport),
    /// Nobody waits for the request any more.
    RequestCancelled(Ticket),
    Endpoints {
        /// Whether endpoints that are not listed are gone.
        complete: bool,
        endpoints: Vec<EndpointInfo>,
    },
    /// Copies of the object, or of the whole group, from before `stamp` are out of date.
    Purged {
        object: Option<u64>,
        group: u32,
        /// In Unix milliseconds.
        stamp: Ms,
    },
    HealthChecked {
        endpoint: EndpointKey,
        healthy: bool,
        gauges: Vec<(String, f64)>,
    },
    FillSources {
        endpoint: EndpointKey,
        sources: FillSourceLists,
    },
}

/// The sources that a cache may be filled from, with their ranks, also in the course of a migration.
#[derive(Debug, Clone, PartialEq)]
pub struct FillSourceLists {
    pub current: Vec<(EndpointKey, u16)>,
    pub previous: Vec<(EndpointKey, u16)>,
    /// The share of the objects that are filled from the current sources.
    pub migrated_ratio: f64,
    pub salt: u64,
}

/// The names of the settings, by which reports are read.
#[derive(Debug)]
pub(super) struct ReportNames {
    pub names: SettingNames,
    /// The values of load reports, and what the settings call each.
    pub load_fields: Vec<LoadReportField>,
    pub load_names: Vec<String>,
}

impl ReportNames {
    pub fn endpoint_event(&self, complete: bool, endpoints: &[EndpointInfo]) -> Event {
        let update = if complete { EndpointUpdate::Snapshot } else { EndpointUpdate::Incremental };
        Event::Endpoints { update, endpoints: endpoints.iter().map(|info| self.endpoint(info)).collect() }
    }

    fn endpoint(&self, info: &EndpointInfo) -> Endpoint {
        let number = |names: &[String], name: &str| {
            let found = names.iter().position(|known| known == name);
            found.and_then(|n| u16::try_from(n).ok()).unwrap_or(u16::MAX)
        };
        Endpoint {
            id: EndpointId(EndpointKey::of(&info.uid).number()),
            cell: info.cell,
            zone: number(&self.names.zones, &info.zone),
            role: number(&self.names.roles, &info.kind),
            weight: info.weight,
            started_at: info.started,
            phase: match info.state {
                ListedState::Ready => EndpointPhase::Ready,
                ListedState::Draining => EndpointPhase::Draining,
                ListedState::Gone => EndpointPhase::Removed,
            },
        }
    }

    pub fn attempt_event(&self, report: &AttemptReport, request_finished: bool) -> Event {
        let AttemptKey { ticket, number } = report.attempt;
        Event::AttemptFinished(AttemptOutcome {
            attempt: AttemptId { request: RequestId(ticket), number },
            endpoint: EndpointId(report.endpoint.number()),
            status: report.end.status(),
            request_finished,
            elapsed: report.elapsed,
            source_wait: report.source_wait,
            cache_status: report.cache_result.map(CacheResult::cache_status),
            load_report: self.load_report(&report.gauges),
        })
    }

    pub fn health_check_event(
        &self,
        endpoint: EndpointKey,
        healthy: bool,
        gauges: &[(String, f64)],
    ) -> Event {
        let load_report = self.load_report(gauges);
        Event::HealthCheck { endpoint: EndpointId(endpoint.number()), healthy, load_report }
    }

    fn load_report(&self, gauges: &[(String, f64)]) -> LoadReport {
        let (mut fields, mut values) = (Vec::new(), Vec::new());
        for (field, name) in self.load_fields.iter().zip(&self.load_names) {
            if let Some((_, value)) = gauges.iter().find(|(reported, _)| is_gauge(reported, name)) {
                fields.push(*field);
                values.push(*value);
            }
        }
        load_report(&values, &fields)
    }
}

/// Whether a reported name stands for a name of the settings: some are reported by a short name.
fn is_gauge(reported: &str, name: &str) -> bool {
    reported == name || matches!((reported, name), ("inflight", "outstanding") | ("util", "utilization"))
}

pub(super) fn purge_event(now: Ms, object: Option<u64>, group: u32, stamp: Ms) -> Event {
    Event::Purge { object: object.map(ObjectId), group, age: now - stamp }
}

pub(super) fn fill_sources_event(endpoint: EndpointKey, lists: &FillSourceLists) -> Event {
    let source = |(endpoint, rank): &(EndpointKey, u16)| FillSource {
        endpoint: EndpointId(endpoint.number()),
        priority: *rank,
    };
    let sources = FillSources {
        current: lists.current.iter().map(source).collect(),
        previous: lists.previous.iter().map(source).collect(),
        migrated_ratio: lists.migrated_ratio,
        salt: lists.salt,
    };
    Event::FillSources { cache: EndpointId(endpoint.number()), sources: Some(sources) }
}
