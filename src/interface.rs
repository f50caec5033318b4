//! All that the decision module hears and says: settings and events in, actions out.
//!
//! It does no input or output and reads no clock. Times are milliseconds on one clock that never
//! goes back. Every protocol that is to share the decisions and their rules speaks in these terms.

/// A time on the clock, or a length of time, in milliseconds.
pub type Ms = f64;

/// A cache, a parent cache or the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CacheId(pub u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// One try of a request; they are numbered from 0 on in the order sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u8,
}

/// What a repeat of a request does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// Nothing that a first run has not done.
    Safe,
    /// Nothing within the group of caches that know its key, for the window after the first run.
    Keyed { group: Group, window: Ms },
    /// It happens again.
    Unsafe,
}

/// The caches that drop repeats of a keyed request together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    pub effect: Effect,
    /// Runs at the origin and is never kept.
    pub write: bool,
    /// The answer is handed on while it comes in.
    pub stream: bool,
    pub aim: Ms,
    /// The aim grows by this multiple of the request's own sending time.
    pub aim_stretch: f64,
    pub deadline: Ms,
    pub worth: f64,
    /// Share of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// How long a copy is fresh; 0 = until it is purged.
    pub fresh: Ms,
    /// How long past that it may still be served.
    pub grace: Ms,
    /// Share of the worth that such an answer earns.
    pub stale_worth: f64,
}

impl Default for Class {
    /// A class of which nothing is known: nothing is promised for its repeats.
    fn default() -> Self {
        Self {
            effect: Effect::Unsafe,
            write: false,
            stream: false,
            aim: 0.0,
            aim_stretch: 0.0,
            deadline: 0.0,
            worth: 1.0,
            late_worth: 0.0,
            fresh: 0.0,
            grace: 0.0,
            stale_worth: 1.0,
        }
    }
}

/// How much an outcome tells about the way an answer came about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Tells {
    All,
    Hit,
    #[default]
    Nothing,
}

/// Which caches may be the source of another's fill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Siblings {
    #[default]
    Off,
    Location,
    Any,
}

/// How a server that has just started may be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ColdStart {
    /// Share of its capacity with which it starts, at least.
    pub from: f64,
    /// By then, rising evenly, it has all of it.
    pub warm_in: Ms,
    /// Sent more than this multiple of its present capacity it falls over.
    pub fall_multiple: f64,
    /// The stretch of time over which that is counted.
    pub window: Ms,
}

/// What one router is told when it starts.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// Routers in all locations, and in each zone.
    pub routers: u32,
    pub routers_by_zone: Vec<u32>,
    /// The zone of this router.
    pub zone: u16,
    pub classes: Vec<Class>,
    pub tick: Ms,
    /// The list tells nothing of sizes: its weights are all the same.
    pub unweighted: bool,
    /// The list of caches must be asked for.
    pub ask_for_list: bool,
    pub max_attempts: u32,
    pub parallel_attempts: bool,
    pub may_cancel: bool,
    pub may_probe: bool,
    pub retry_after: bool,
    pub max_retry_after: Ms,
    pub drain_grace: Ms,
    pub cache_cold: ColdStart,
    pub parent_cold: ColdStart,
    /// Place of the parents among the kinds of machine; `None` where there are none.
    pub parent_kind: Option<u16>,
    pub origin_kind: Option<u16>,
    /// What one transfer to a client carries at most, KB a second; 0 = not told.
    pub flow_kb_per_s: f64,
    /// What the location's link for fills carries, KB a second; 0 = not told.
    pub link_kb_per_s: f64,
    pub siblings: Siblings,
    /// A request may join a fill that is under way.
    pub joins: bool,
    /// A request may go straight to a parent or the origin.
    pub direct: bool,
    pub tells: Tells,
    pub purge_grace: Ms,
    /// All older copies are gone this long after a purge.
    pub purge_done: Ms,
}

impl Settings {
    /// A class by its number; one that was never told of promises nothing.
    pub fn class(&self, class: u16) -> Class {
        self.classes.get(usize::from(class)).cloned().unwrap_or_default()
    }

    pub fn is_parent(&self, member: &Member) -> bool {
        Some(member.kind) == self.parent_kind
    }

    pub fn is_origin(&self, member: &Member) -> bool {
        Some(member.kind) == self.origin_kind
    }

    /// A cache of this router's own location.
    pub fn is_own(&self, member: &Member) -> bool {
        member.zone == self.zone && !self.is_parent(member) && !self.is_origin(member)
    }

    /// How a server of this kind may be loaded after its start; the origin has no such limit.
    pub fn cold_start(&self, member: &Member) -> ColdStart {
        match (self.is_parent(member), self.is_origin(member)) {
            (true, _) => self.parent_cold,
            (_, true) => ColdStart::default(),
            _ => self.cache_cold,
        }
    }

    /// Routers that may send to a server: its location's, or all for one that all locations share.
    pub fn routers_for(&self, member: &Member) -> u32 {
        let here = self.routers_by_zone.get(usize::from(member.zone)).copied().unwrap_or(0);
        let shared = self.is_parent(member) || self.is_origin(member) || here == 0;
        (if shared { self.routers } else { here }).max(1)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// One line of the list of caches.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    pub id: CacheId,
    pub cell: u16,
    pub zone: u16,
    pub kind: u16,
    pub weight: f64,
    /// When it last started; 0 = long ago.
    pub since: Ms,
    pub phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Complete,
    /// The list could not be had; the old one holds.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub object: ObjectId,
    pub part: u32,
    pub group: u32,
    pub class: u16,
    /// 0 = not told.
    pub size_kb: f64,
    /// A client's repeat, where clients mark it.
    pub repeat: bool,
    pub write: bool,
    /// How long until the client gives up.
    pub budget: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    Ok,
    Error,
    /// Turned away unseen, or its source refused or could not be reached.
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
    /// Nothing suitable held.
    Miss,
}

impl Status {
    /// Whether anything was heard of the server.
    pub fn heard(self) -> bool {
        !matches!(self, Self::Timeout | Self::Cancelled | Self::Moot | Self::ConnectFailed)
    }

    /// Whether the attempt is known not to have run.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Full | Self::ConnectFailed | Self::Moot | Self::Miss)
    }
}

/// How an answer came about, or why a fill failed, where that is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceUnreached,
    SourceLacks,
    NoPlace,
    OriginFailed,
}

/// A load report; fields that are not told are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    pub in_flight: Option<f64>,
    pub busy: Option<f64>,
    pub hit_share: Option<f64>,
    /// How full the location's link is; of a parent, the fetches that it has out.
    pub link: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outcome {
    pub attempt: AttemptId,
    pub cache: CacheId,
    pub status: Status,
    /// The request has its final answer.
    pub settled: bool,
    pub took: Ms,
    /// Time to the source's first byte or to the fill's failure; 0 = not told.
    pub waited: Ms,
    pub note: Option<Note>,
    pub load: Load,
}

/// A server that a cache may be filled from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Feed {
    pub source: CacheId,
    /// Lower ones first; among equals an object has its own by hash.
    pub rank: u16,
}

/// All that a cache may be filled from, also in the course of a change.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Feeds {
    /// For the objects whose hash with `salt` is below `part`.
    pub now: Vec<Feed>,
    /// For the others.
    pub before: Vec<Feed>,
    /// From 0 to 1.
    pub part: f64,
    pub salt: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    List {
        kind: ListKind,
        members: Vec<Member>,
    },
    Request(Request),
    /// The answer to a streamed request has begun: the attempt is the client's from here on.
    Started(AttemptId),
    /// The client has left; nothing is owed any more.
    Gone(RequestId),
    Outcome(Outcome),
    Probed {
        cache: CacheId,
        ok: bool,
        load: Load,
    },
    Timer(u32),
    /// Copies of the object, or of all the group's, from before that long ago are out of date.
    Purged {
        object: Option<ObjectId>,
        group: u32,
        ago: Ms,
    },
    /// What a cache may be filled from, from now on; `None`: any parent that is listed, and the origin.
    Feeds {
        cache: CacheId,
        feeds: Option<Feeds>,
    },
}

/// What a cache is to do when it lacks a copy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fill {
    /// Where it fills from; the cache itself for no fill.
    pub source: CacheId,
    /// 0 = pass it through; 1 to 3 = keep it at that rank.
    pub rank: u8,
    /// The oldest copy that will do; 0 = as old as the class allows.
    pub max_age: Ms,
    /// The oldest copy that will do where whoever carries this out lets no fill through.
    pub ageing: Ms,
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// Serve an ageing copy and renew it behind.
    pub renew: bool,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask for a fresh copy that the cache holds; it fills nothing.
    Ask {
        request: RequestId,
        cache: CacheId,
        timeout: Ms,
    },
    /// Ask for a copy, filled as said where the cache lacks it.
    Fetch {
        request: RequestId,
        cache: CacheId,
        timeout: Ms,
        fill: Fill,
    },
    Cancel(AttemptId),
    /// Final: the client may safely try again, after a while where one is said (0 = none).
    Refuse {
        request: RequestId,
        retry_after: Ms,
    },
    /// Final: nothing is promised.
    Fail(RequestId),
    Timer {
        at: Ms,
        token: u32,
    },
    Probe(CacheId),
    /// Have the changes of the list of caches sent from now on.
    Watch,
    Log(String),
}
