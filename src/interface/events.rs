//! What the decision module is notified of.

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
    /// Number of the attempt, from 0 on.
    pub number: u8,
}

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Takes new requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint {
    /// Identifies it.
    pub id: EndpointId,
    /// Number of its cell within the zone.
    pub cell: u16,
    /// Number of its zone.
    pub zone: u16,
    /// Number of the endpoint's role; see [`Settings::parent_role`](super::Settings::parent_role).
    pub role: u16,
    /// Capacity, in simultaneous transfers, where the list carries it.
    pub weight: f64,
    /// When it last started; 0 means long ago.
    pub started_at: Ms,
    /// Whether it takes new requests.
    pub phase: EndpointPhase,
}

/// How a received endpoint list relates to the one known so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the endpoints that changed.
    Incremental,
    /// All endpoints; one that is missing has been removed.
    Snapshot,
    /// The list could not be fetched; the known one stays in force.
    Unavailable,
}

/// A client's request as the router received it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Identifies it.
    pub id: RequestId,
    /// The object.
    pub object: ObjectId,
    /// The part that is requested, from 0 on; an object in one part has only that one.
    pub part: u32,
    /// The purge group that the object belongs to.
    pub group: u32,
    /// Number of the request class.
    pub class: u16,
    /// Size of the answer; 0 means unknown.
    pub size_kb: f64,
    /// The client marked the request as a retry of its own.
    pub client_retry: bool,
    /// To be executed at the origin.
    pub is_write: bool,
    /// Time until the client gives up.
    pub time_limit: Ms,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    /// An answer was received completely.
    Ok,
    /// The endpoint answered with an error; it may have executed the request.
    Error,
    /// Rejected without being executed, or the fill source rejected it or was unreachable.
    Rejected,
    /// The time-out passed.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke after the request was sent.
    Reset,
    /// Cancelled by this router or its client.
    Cancelled,
    /// It was over before it began: the endpoint did not execute it.
    NotExecuted,
    /// The endpoint was asked for a cached copy only, and has none that qualifies.
    CacheMiss,
}

impl AttemptStatus {
    /// Whether the endpoint itself responded.
    pub fn endpoint_responded(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Cancelled | Self::NotExecuted | Self::ConnectFailed)
    }

    /// Whether the attempt is certain not to have been executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotExecuted | Self::CacheMiss)
    }
}

/// How a cache produced an answer, or why its fill failed, where the endpoint reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheStatus {
    /// Served from the cache.
    Hit,
    /// Filled from a copy that the source had.
    FilledByParent,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Served by a fill that was already under way.
    Coalesced,
    /// Served from a copy past its freshness lifetime.
    Stale,
    /// The fill source rejected the fill.
    SourceRejected,
    /// The fill source was not reached, broke off or timed out.
    SourceUnreachable,
    /// The fill source has no copy that qualifies.
    SourceMiss,
    /// The cache has no capacity for another fill.
    NoCapacity,
    /// The origin behind the parent failed.
    OriginFailed,
}

/// The load that an endpoint reports of itself; values that are not reported are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// Utilization of the endpoint.
    pub utilization: Option<f64>,
    /// Ratio of hits among its recent requests.
    pub hit_ratio: Option<f64>,
    /// Utilization of the location's fill link; from a parent, its number of fills in flight.
    pub link_utilization: Option<f64>,
}

/// The end of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptOutcome {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How it ended.
    pub status: AttemptStatus,
    /// The request has its final answer.
    pub request_finished: bool,
    /// Time since the attempt was sent.
    pub elapsed: Ms,
    /// Time until the fill source's first byte or the fill's failure; 0 means unknown.
    pub source_wait: Ms,
    /// How the answer was produced, where it is reported.
    pub cache_status: Option<CacheStatus>,
    /// The load report that came with it.
    pub load_report: LoadReport,
}

/// An endpoint that a cache may be filled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillSource {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The lowest is tried first; among equals the order follows the object's hash.
    pub priority: u16,
}

/// The sources that a cache may be filled from, also while they are being migrated.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FillSources {
    /// For the objects that have migrated: those whose hash with `salt` is below `migrated_ratio`.
    pub current: Vec<FillSource>,
    /// For the other objects.
    pub previous: Vec<FillSource>,
    /// From 0 to 1.
    pub migrated_ratio: f64,
    /// Separates the hash of this migration from others.
    pub salt: u64,
}

/// One notification.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A list of endpoints was received.
    Endpoints {
        /// How the list relates to the known one.
        update: EndpointUpdate,
        /// The list.
        endpoints: Vec<Endpoint>,
    },
    /// A request was received.
    Request(Request),
    /// The answer of a streamed request has begun: the attempt can no longer be replaced.
    ResponseStarted(AttemptId),
    /// The client no longer waits for an answer.
    ClientDisconnected(RequestId),
    /// An attempt has ended.
    AttemptFinished(AttemptOutcome),
    /// A health check has ended.
    HealthCheck {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it answered well.
        healthy: bool,
        /// The load report that came with it.
        load_report: LoadReport,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due; carries its token.
    Timer(u32),
    /// Copies of the object, or of the whole group, from before `age` ago are out of date.
    Purge {
        /// The object; `None` for the whole group.
        object: Option<ObjectId>,
        /// The purge group.
        group: u32,
        /// How long ago the purge was made.
        age: Ms,
    },
    /// The sources that the cache may be filled from; `None` for any listed parent and the origin.
    FillSources {
        /// The cache.
        cache: EndpointId,
        /// Its sources.
        sources: Option<FillSources>,
    },
}
