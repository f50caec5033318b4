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
    pub request: RequestId,
    pub number: u8,
}

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    Ready,
    Draining,
    Removed,
}

/// One entry of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint {
    pub id: EndpointId,
    pub cell: u16,
    pub zone: u16,
    /// Number of the endpoint's role; see [`Settings::parent_role`](super::Settings::parent_role).
    pub role: u16,
    /// Capacity, in simultaneous transfers, where the list carries it.
    pub weight: f64,
    /// When it last started; 0 means long ago.
    pub started_at: Ms,
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
    pub id: RequestId,
    pub object: ObjectId,
    /// The part that is requested, from 0 on; an object in one part has only that one.
    pub part: u32,
    /// The purge group that the object belongs to.
    pub group: u32,
    pub class: u16,
    /// Size of the answer; 0 means unknown.
    pub size_kb: f64,
    /// The client marked the request as a retry of its own.
    pub client_retry: bool,
    pub is_write: bool,
    /// Time until the client gives up.
    pub time_limit: Ms,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStatus {
    Ok,
    Error,
    /// Rejected without being executed, or the fill source rejected it or was unreachable.
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    /// The endpoint was asked for a cached copy only, and has none that qualifies.
    CacheMiss,
}

impl AttemptStatus {
    /// Whether the endpoint itself responded.
    pub fn endpoint_responded(self) -> bool {
        !matches!(self, Self::TimedOut | Self::Cancelled | Self::NeverSent | Self::ConnectFailed)
    }

    /// Whether the attempt is certain not to have been executed.
    pub fn never_executed(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NeverSent | Self::CacheMiss)
    }
}

/// How a cache produced an answer, or why its fill failed, where the endpoint reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheStatus {
    Hit,
    FilledByParent,
    FilledByOrigin,
    /// Served by a fill that was already under way.
    Coalesced,
    Stale,
    SourceRejected,
    SourceUnreachable,
    SourceMiss,
    NoCapacity,
    OriginFailed,
}

/// The load that an endpoint reports of itself; values that are not reported are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    pub utilization: Option<f64>,
    pub hit_ratio: Option<f64>,
    /// Utilization of the location's fill link; from a parent, its number of fills in flight.
    pub link_utilization: Option<f64>,
}

/// The end of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptOutcome {
    pub attempt: AttemptId,
    pub endpoint: EndpointId,
    pub status: AttemptStatus,
    /// The request has its final answer.
    pub request_finished: bool,
    /// Time since the attempt was sent.
    pub elapsed: Ms,
    /// Time until the fill source's first byte or the fill's failure; 0 means unknown.
    pub source_wait: Ms,
    pub cache_status: Option<CacheStatus>,
    pub load_report: LoadReport,
}

/// An endpoint that a cache may be filled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillSource {
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
    pub salt: u64,
}

/// One notification.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Endpoints {
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    },
    Request(Request),
    /// The answer of a streamed request has begun: the attempt can no longer be replaced.
    ResponseStarted(AttemptId),
    /// The client no longer waits for an answer.
    ClientDisconnected(RequestId),
    AttemptFinished(AttemptOutcome),
    HealthCheck {
        endpoint: EndpointId,
        healthy: bool,
        load_report: LoadReport,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due; carries its token.
    Timer(u32),
    /// Copies of the object, or of the whole group, from before `age` ago are out of date.
    Purge {
        object: Option<ObjectId>,
        group: u32,
        age: Ms,
    },
    /// The sources that the cache may be filled from; `None` for any listed parent and the origin.
    FillSources {
        cache: EndpointId,
        sources: Option<FillSources>,
    },
}
