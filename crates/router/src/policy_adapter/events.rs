//! Inputs from the router to the policy, and their conversion to the policy's events.

use linnethook::interface::{
    AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointPhase, EndpointUpdate, Event, FillSource,
    FillSources, LoadReport, ObjectId,
};
use linnethook_settings::{load_report, LoadReportField, SettingNames};

use super::{AttemptKey, EndpointKey, Ms, Ticket};

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointInfo {
    /// The name of the endpoint, unique in the list.
    pub uid: String,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The name of the endpoint's role.
    pub kind: String,
    /// The number of the endpoint's cell within the zone.
    pub cell: u16,
    /// The capacity, if the list has it.
    pub weight: f64,
    /// When the endpoint last started, in Unix milliseconds.
    pub started: Ms,
    /// The state in the list.
    pub state: ListedState,
}

/// The state of an endpoint in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests.
    Draining,
    /// Removed from the list.
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
    /// A reply with the object, or one that confirms the client's copy, was received.
    Answered,
    /// The endpoint replied with an error; the attempt may have been executed.
    Failed,
    /// Rejected for lack of capacity, by the endpoint or because its queued fill was not admitted.
    Rejected,
    /// The object is not cached there, and was not filled.
    CacheMiss,
    /// The endpoint cancelled the attempt before its execution began.
    NotExecuted,
    /// The timeout passed.
    TimedOut,
    /// The attempt was not sent completely.
    NotSent,
    /// The same, for lack of this router's own resources.
    NotSentLocally,
    /// The connection was closed after the attempt was sent.
    ConnectionLost,
    /// Cancelled by the policy, or because its client cancelled the request.
    Cancelled,
}

impl AttemptEnd {
    /// The name of this outcome in the audit log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Rejected => "full",
            Self::CacheMiss => "absent",
            Self::NotExecuted => "moot",
            Self::TimedOut => "timedout",
            Self::NotSent => "unreached",
            Self::NotSentLocally => "unsent",
            Self::ConnectionLost => "broken",
            Self::Cancelled => "cancelled",
        }
    }

    /// Whether an attempt with this outcome may have been executed.
    pub fn may_have_run(self) -> bool {
        !self.status().never_executed()
    }

    fn status(self) -> AttemptStatus {
        match self {
            Self::Answered => AttemptStatus::Ok,
            Self::Failed => AttemptStatus::Error,
            Self::Rejected => AttemptStatus::Rejected,
            Self::CacheMiss => AttemptStatus::CacheMiss,
            Self::NotExecuted => AttemptStatus::NotExecuted,
            Self::TimedOut => AttemptStatus::TimedOut,
            // The policy does not distinguish a failed connect from an attempt that was not written.
            Self::NotSent => AttemptStatus::ConnectFailed,
            Self::NotSentLocally => AttemptStatus::NotSent,
            Self::ConnectionLost => AttemptStatus::Reset,
            Self::Cancelled => AttemptStatus::Cancelled,
        }
    }
}

/// How a cache produced its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheResult {
    /// Served from the cached copy.
    Hit,
    /// Filled from a copy that the source had.
    FilledByParent,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Served by a fill that was already in progress.
    Coalesced,
    /// Served from a copy past its freshness lifetime.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was unreachable, or did not reply completely.
    SourceUnreachable,
    /// The source has no copy.
    SourceMiss,
    /// No capacity for another fill.
    NoCapacity,
    /// The origin behind the source failed.
    OriginFailed,
    /// The fill returned to a node that it had already passed, and was not executed.
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
            // A fill loop is not a fault of the endpoint, and was not executed.
            Self::NoCapacity | Self::FillLoop => CacheStatus::NoCapacity,
        }
    }
}

/// The outcome of an attempt. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointKey,
    /// How it ended.
    pub end: AttemptEnd,
    /// The time since the attempt was sent.
    pub elapsed: Ms,
    /// The time that the cache waited for the source of a fill; 0 if not reported.
    pub source_wait: Ms,
    /// How the cache produced its reply, if reported.
    pub cache_result: Option<CacheResult>,
    /// The values of the load report, with the names that the endpoint reports.
    pub gauges: Vec<(String, f64)>,
}

/// The inputs that the router reports to the policy, except new requests.
#[derive(Debug, Clone, PartialEq)]
pub enum PolicyInput {
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The client has cancelled the request or disconnected.
    RequestCancelled(Ticket),
    /// A snapshot of the endpoint list, or changes to it.
    Endpoints {
        /// Whether this is a snapshot: endpoints without an entry are removed.
        complete: bool,
        /// The entries.
        endpoints: Vec<EndpointInfo>,
    },
    /// A purge: copies of the object, or of all objects of the group, from before `stamp` are out of date.
    Purged {
        /// The object; `None` for all objects of the group.
        object: Option<u64>,
        /// The purge group.
        group: u32,
        /// When the purge was issued, in Unix milliseconds.
        stamp: Ms,
    },
    /// A health check has ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether the endpoint replied that it is healthy.
        healthy: bool,
        /// The values of the load report in the reply, with the names that the endpoint reports.
        gauges: Vec<(String, f64)>,
    },
    /// The sources from which a cache may be filled have changed.
    FillSources {
        /// The cache.
        endpoint: EndpointKey,
        /// Its sources.
        sources: FillSourceLists,
    },
}

/// The sources from which a cache may be filled, with their ranks. During a migration there are two lists.
#[derive(Debug, Clone, PartialEq)]
pub struct FillSourceLists {
    /// The sources of objects that have migrated.
    pub current: Vec<(EndpointKey, u16)>,
    /// The sources of objects that have not migrated yet.
    pub previous: Vec<(EndpointKey, u16)>,
    /// The share of the objects that are filled from the current sources, 0 to 1.
    pub migrated_ratio: f64,
    /// The salt of the hash that selects the migrated objects, different for each migration.
    pub salt: u64,
}

/// The names defined by the settings, used to convert inputs.
#[derive(Debug)]
pub(super) struct ReportNames {
    /// The names of classes, zones and roles, in the order of their numbers.
    pub names: SettingNames,
    /// The fields of load reports.
    pub load_fields: Vec<LoadReportField>,
    /// The names of these fields in the settings.
    pub load_names: Vec<String>,
}

/// The number for a name that the settings don't define.
pub(super) const UNKNOWN_NUMBER: u16 = u16::MAX;

/// The number of a name: its position in a list of the settings.
fn number_of(names: &[String], name: &str) -> Option<u16> {
    let position = names.iter().position(|known| known == name)?;
    u16::try_from(position).ok()
}

impl ReportNames {
    /// The number of a class; `None` if the settings don't define it.
    pub fn class_number(&self, class: &str) -> Option<u16> {
        number_of(&self.names.classes, class)
    }

    /// The number of a zone; `None` if the settings don't define it.
    pub fn zone_number(&self, zone: &str) -> Option<u16> {
        number_of(&self.names.zones, zone)
    }

    /// A snapshot of the endpoint list, or changes to it.
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

    /// The event for the end of an attempt. `request_finished` tells whether its request has its final
    /// answer.
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

    /// The event for the end of a health check.
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

/// Whether a reported name matches a name of the settings. Some values are reported with a short name.
fn is_gauge(reported: &str, name: &str) -> bool {
    reported == name || matches!((reported, name), ("inflight", "outstanding") | ("util", "utilization"))
}

/// The event for a purge that was issued at `stamp`.
pub(super) fn purge_event(now: Ms, object: Option<u64>, group: u32, stamp: Ms) -> Event {
    Event::Purge { object: object.map(ObjectId), group, age: now - stamp }
}

/// The event for the sources from which a cache may be filled.
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
