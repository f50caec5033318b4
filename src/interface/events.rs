//! The events that the policy handles.

use super::Ms;

/// A cache, a parent cache or the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// An object that clients request, by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One attempt of a request; attempts are numbered from 0 in the order in which they are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub number: u8,
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Accepts new requests.
    Ready,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// No longer in the endpoint list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint {
    /// Identifier of the endpoint.
    pub id: EndpointId,
    /// Number of its cell within the zone.
    pub cell: u16,
    /// Number of its zone.
    pub zone: u16,
    /// Number of the endpoint's role; see [`Settings::parent_role`](super::Settings::parent_role).
    pub role: u16,
    /// Capacity, in simultaneous transfers, if the list contains capacities.
    pub weight: f64,
    /// Time of its last start; 0 means long ago.
    pub started_at: Ms,
    /// Whether it accepts new requests.
    pub phase: EndpointPhase,
}

/// How a received endpoint list relates to the last known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Contains only the endpoints that changed.
    Incremental,
    /// Contains all endpoints; one that is missing has been removed.
    Snapshot,
    /// The list could not be fetched; the last known one remains in use.
    Unavailable,
}

/// A client's request as the router received it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// The requested object.
    pub object: ObjectId,
    /// Number of the requested part, from 0; the only part of an object in one part is 0.
    pub part: u32,
    /// The purge group that the object belongs to.
    pub group: u32,
    /// Number of the request class.
    pub class: u16,
    /// Size of the answer, in KB; 0 means unknown.
    pub size_kb: f64,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// Whether the request has to be executed at the origin.
    pub is_write: bool,
    /// Time until the client gives up.
    pub time_limit: Ms,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The response was received completely.
    Ok,
    /// The endpoint responded with an error; it may have executed the request.
    Error,
    /// Rejected without being executed, or the fill source rejected it or was unreachable.
    Rejected,
    /// The time-out passed.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// This router could not send it, for lack of its own resources. This says nothing about the endpoint.
    NotSent,
    /// The connection was closed or reset after the request had been sent.
    Reset,
    /// Cancelled by this router or by the client.
    Cancelled,
    /// The time limit had passed before the endpoint executed the request.
    NotExecuted,
    /// Only a cached copy was requested, and the endpoint has no usable one.
    CacheMiss,
}

impl AttemptStatus {
    /// Whether the endpoint itself responded.
    pub fn endpoint_responded(self) -> bool {
        !matches!(
            self,
            Self::TimedOut | Self::Cancelled | Self::NotExecuted | Self::ConnectFailed | Self::NotSent
        )
    }

    /// Whether it is certain that the attempt was not executed.
    pub fn never_executed(self) -> bool {
        matches!(
            self,
            Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::NotExecuted | Self::CacheMiss
        )
    }
}

/// How a cache produced a response, or why its fill failed, as far as the endpoint reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheStatus {
    /// Served from the cache.
    Hit,
    /// Filled from a copy that was cached at the source.
    FilledByParent,
    /// Filled with a copy fetched from the origin.
    FilledByOrigin,
    /// Served by a fill that was already in progress.
    Coalesced,
    /// Served from a copy past its freshness lifetime.
    Stale,
    /// The fill source rejected the fill.
    SourceRejected,
    /// The fill source was unreachable, aborted the transfer or timed out.
    SourceUnreachable,
    /// The fill source has no usable copy.
    SourceMiss,
    /// The cache has no free capacity for another fill.
    NoCapacity,
    /// The origin behind the parent failed.
    OriginFailed,
}

/// The load reported by an endpoint; values that are not reported are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Utilization of the endpoint.
    pub utilization: Option<f64>,
    /// Ratio of hits among the recent requests.
    pub hit_ratio: Option<f64>,
    /// Utilization of the location's fill link. A parent reports its number of fills in flight instead.
    pub link_utilization: Option<f64>,
}

/// The outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptOutcome {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Time since the attempt was sent.
    pub elapsed: Ms,
    /// Time until the first byte from the fill source, or until the fill failed; 0 means unknown.
    pub source_wait: Ms,
    /// How the response was produced, if reported.
    pub cache_status: Option<CacheStatus>,
    /// The load report in the response.
    pub load_report: LoadReport,
}

/// An endpoint that a cache may be filled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillSource {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The source with the lowest priority number is tried first; the order among equal ones is given by the
    /// object's hash.
    pub priority: u16,
}

/// The sources that a cache may be filled from, also during a migration from one list to another.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FillSources {
    /// Sources of the migrated objects, whose hash with `salt` is below `migrated_ratio`.
    pub current: Vec<FillSource>,
    /// Sources of the other objects.
    pub previous: Vec<FillSource>,
    /// Share of the objects that have been migrated, from 0 to 1.
    pub migrated_ratio: f64,
    /// Makes the hash of this migration independent of others.
    pub salt: u64,
}

/// An event that the policy is notified of.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A list of endpoints was received.
    Endpoints {
        /// How the list relates to the last known one.
        update: EndpointUpdate,
        /// The entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A request was received.
    Request(Request),
    /// The answer of a streamed request has started, so that the attempt can no longer be replaced.
    ResponseStarted(AttemptId),
    /// The client no longer waits for the answer.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
    /// A health check has ended.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the check succeeded.
        healthy: bool,
        /// The load report in the response.
        load_report: LoadReport,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) with this token is due.
    Timer(u32),
    /// A purge: older copies of the object, or of all objects of the group, are invalid.
    Purge {
        /// The object; `None` for all objects of the group.
        object: Option<ObjectId>,
        /// The purge group.
        group: u32,
        /// Time since the purge.
        age: Ms,
    },
    /// The fill sources of a cache have changed.
    FillSources {
        /// The cache.
        cache: EndpointId,
        /// Its sources; `None` for all parents in the endpoint list and the origin.
        sources: Option<FillSources>,
    },
}
