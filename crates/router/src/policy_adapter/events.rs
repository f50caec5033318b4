//! From the router to the policy: what the router reports, and how it reads in the policy's terms.

use linnethook::interface::{
    AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointPhase, EndpointUpdate, Event, FillSource,
    FillSources, LoadReport, ObjectId,
};
use linnethook_settings::{load_report, LoadReportField, SettingNames};

use super::{AttemptKey, EndpointKey, Ms, Ticket};

/// A line of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointInfo {
    /// Its name, unique in the list.
    pub uid: String,
    /// The name of its zone.
    pub zone: String,
    /// The name of its role.
    pub kind: String,
    /// The number of its cell within the zone.
    pub cell: u16,
    /// Its capacity, where the list carries it.
    pub weight: f64,
    /// When it last started, in Unix milliseconds.
    pub started: Ms,
    /// Whether it takes new requests.
    pub state: ListedState,
}

/// The state of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It takes new requests.
    Ready,
    /// It takes no new requests.
    Draining,
    /// It is no longer listed.
    Removed,
}

impl ListedState {
    fn phase(self) -> EndpointPhase {
        match self {
            Self::Ready => EndpointPhase::Ready,
            Self::Draining => EndpointPhase::Draining,
            Self::Removed => EndpointPhase::Removed,
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer was received.
    Answered,
    /// The endpoint answered with an error; it may have been executed.
    Failed,
    /// The endpoint has rejected it for lack of capacity.
    Rejected,
    /// The object is not cached there, and was not filled.
    CacheMiss,
    /// It was cancelled at the endpoint before its execution began.
    NotExecuted,
    /// Its time-out passed.
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
    /// From its cached copy.
    Hit,
    /// Filled from a copy that its source had.
    FilledByParent,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// By a fill that was in progress.
    Coalesced,
    /// From a copy past its freshness lifetime.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was not reached, or did not answer in full.
    SourceUnreachable,
    /// The source has no copy.
    SourceMiss,
    /// It has no capacity for another fill.
    NoCapacity,
    /// The origin behind the source failed.
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
    /// The attempt.
    pub attempt: AttemptKey,
    /// Where it was sent.
    pub endpoint: EndpointKey,
    /// How it ended.
    pub end: AttemptEnd,
    /// Time since it was sent.
    pub elapsed: Ms,
    /// Time spent waiting for the source of a fill; 0 = not reported.
    pub source_wait: Ms,
    /// How the cache came to its reply, where it says so.
    pub cache_result: Option<CacheResult>,
    /// The load report, by the names that the settings give its values.
    pub gauges: Vec<(String, f64)>,
}

/// What the router reports to the policy, requests apart.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyInput {
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// Nobody waits for the request any more.
    RequestCancelled(Ticket),
    /// The endpoint list, or changes of it.
    Endpoints {
        /// Whether endpoints that are not listed are gone.
        complete: bool,
        /// The lines.
        endpoints: Vec<EndpointInfo>,
    },
    /// Copies of the object, or of the whole group, from before `stamp` are out of date.
    Purged {
        /// The object; `None` for the whole group.
        object: Option<u64>,
        /// The purge group.
        group: u32,
        /// In Unix milliseconds.
        stamp: Ms,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether it answered that it is healthy.
        healthy: bool,
        /// The load report that came with it, by the names that the settings give its values.
        gauges: Vec<(String, f64)>,
    },
    /// The sources that a cache may be filled from have changed.
    FillSources {
        /// The cache.
        endpoint: EndpointKey,
        /// Its sources.
        sources: FillSourceLists,
    },
}

/// The sources that a cache may be filled from, with their ranks, also in the course of a migration.
#[derive(Debug, Clone, PartialEq)]
pub struct FillSourceLists {
    /// The sources of objects that have migrated.
    pub current: Vec<(EndpointKey, u16)>,
    /// The sources of the other objects.
    pub previous: Vec<(EndpointKey, u16)>,
    /// The share of the objects that are filled from the current sources.
    pub migrated_ratio: f64,
    /// Tells this migration's hash of objects from those of others.
    pub salt: u64,
}

/// The names of the settings, by which reports are read.
#[derive(Debug)]
pub(super) struct ReportNames {
    /// The names of classes, zones and roles, by their numbers.
    pub names: SettingNames,
    /// The values of load reports.
    pub load_fields: Vec<LoadReportField>,
    /// What the settings call each of them.
    pub load_names: Vec<String>,
}

/// The number that stands for a name which the settings don't have.
pub(super) const UNKNOWN_NUMBER: u16 = u16::MAX;

/// The number of a name in a list of the settings.
fn number_of(names: &[String], name: &str) -> Option<u16> {
    let position = names.iter().position(|known| known == name)?;
    u16::try_from(position).ok()
}

impl ReportNames {
    /// The number of a class; `None` where the settings don't have it.
    pub fn class_number(&self, class: &str) -> Option<u16> {
        number_of(&self.names.classes, class)
    }

    /// The number of a zone; `None` where the settings don't have it.
    pub fn zone_number(&self, zone: &str) -> Option<u16> {
        number_of(&self.names.zones, zone)
    }

    /// The endpoint list, or changes of it.
    pub fn endpoint_event(&self, complete: bool, endpoints: &[EndpointInfo]) -> Event {
        let update = if complete { EndpointUpdate::Snapshot } else { EndpointUpdate::Incremental };
        Event::Endpoints { update, endpoints: endpoints.iter().map(|info| self.endpoint(info)).collect() }
    }

    fn endpoint(&self, info: &EndpointInfo) -> Endpoint {
        Endpoint {
            id: EndpointKey::of(&info.uid).id(),
            cell: info.cell,
            zone: self.zone_number(&info.zone).unwrap_or(UNKNOWN_NUMBER),
            role: number_of(&self.names.roles, &info.kind).unwrap_or(UNKNOWN_NUMBER),
            weight: info.weight,
            started_at: info.started,
            phase: info.state.phase(),
        }
    }

    /// The end of an attempt; `request_finished` is whether its request has its final answer.
    pub fn attempt_event(&self, report: &AttemptReport, request_finished: bool) -> Event {
        Event::AttemptFinished(AttemptOutcome {
            attempt: report.attempt.id(),
            endpoint: report.endpoint.id(),
            status: report.end.status(),
            request_finished,
            elapsed: report.elapsed,
            source_wait: report.source_wait,
            cache_status: report.cache_result.map(CacheResult::cache_status),
            load_report: self.load_report(&report.gauges),
        })
    }

    /// The end of a health check.
    pub fn health_check_event(
        &self,
        endpoint: EndpointKey,
        healthy: bool,
        gauges: &[(String, f64)],
    ) -> Event {
        let load_report = self.load_report(gauges);
        Event::HealthCheck { endpoint: endpoint.id(), healthy, load_report }
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

/// A purge that was issued at `stamp`.
pub(super) fn purge_event(now: Ms, object: Option<u64>, group: u32, stamp: Ms) -> Event {
    Event::Purge { object: object.map(ObjectId), group, age: now - stamp }
}

/// The sources that a cache may be filled from.
pub(super) fn fill_sources_event(endpoint: EndpointKey, lists: &FillSourceLists) -> Event {
    let source =
        |(endpoint, rank): &(EndpointKey, u16)| FillSource { endpoint: endpoint.id(), priority: *rank };
    let sources = FillSources {
        current: lists.current.iter().map(source).collect(),
        previous: lists.previous.iter().map(source).collect(),
        migrated_ratio: lists.migrated_ratio,
        salt: lists.salt,
    };
    Event::FillSources { cache: endpoint.id(), sources: Some(sources) }
}
