//! Owns the decision module and its timers, behind three calls: `pick` takes a request, `report` takes
//! what came of it, `tick` takes the time. Each returns the orders to be carried out. Only this file
//! names the module's events and actions.
//!
//! Must never decide anything itself, touch a socket, or read a clock.

use std::collections::{BTreeMap, BTreeSet};

use linnethook::interface::{
    Action, AttemptId, AttemptOutcome, AttemptStatus, CacheStatus, Endpoint, EndpointId, EndpointPhase,
    EndpointUpdate, Event, FillSource, FillSources, Idempotence, LoadReport, ObjectId, Request, RequestClass,
    RequestId,
};
use linnethook::Policy;
use linnethook_settings::{load_report, DecodedSettings, LoadReportField, SettingNames};
pub use linnethook_watch::Counts as Watched;
use linnethook_watch::Watch;
use xxhash_rust::xxh3::xxh3_64;

/// Milliseconds, on the clock of the process.
pub type Ms = f64;

/// A request that the router has taken.
pub type Ticket = u64;

/// One attempt at a request; they count from 0 in the order sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    pub ticket: Ticket,
    pub number: u8,
}

/// A cache, a parent or the origin. The same uid makes the same place at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place(u64);

impl Place {
    pub fn of(uid: &str) -> Self {
        Self(xxh3_64(uid.as_bytes()))
    }

    pub fn number(self) -> u64 {
        self.0
    }

    pub fn from_number(number: u64) -> Self {
        Self(number)
    }
}

/// What a client asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    pub class: String,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    /// 0 = not told.
    pub size_kb: f64,
    pub repeat: bool,
    /// How long an answer may take from now on.
    pub budget: Ms,
}

/// One line of the list of caches.
#[derive(Debug, Clone, PartialEq)]
pub struct Host {
    pub uid: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    pub weight: f64,
    pub started: Ms,
    pub state: HostState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    Ready,
    Draining,
    Gone,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer is there.
    Answered,
    /// It broke off or failed; it may have run.
    Failed,
    /// Turned away.
    Full,
    /// Nothing suitable is held there.
    Absent,
    /// It was over before it began.
    Moot,
    TimedOut,
    /// It never left the router whole.
    Unreached,
    /// Its connection ended after it was sent.
    Broken,
    /// Called off by an order.
    Cancelled,
}

impl End {
    /// The name in the audit log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Full => "full",
            Self::Absent => "absent",
            Self::Moot => "moot",
            Self::TimedOut => "timedout",
            Self::Unreached => "unreached",
            Self::Broken => "broken",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How an answer came about, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
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
    /// The fill came back to a node that it had passed, and never ran.
    CameRound,
}

/// What came of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Ending {
    pub attempt: Attempt,
    pub place: Place,
    pub end: End,
    pub took: Ms,
    /// Time spent waiting for the source; 0 = not told.
    pub waited: Ms,
    pub how: Option<How>,
    /// The load report, by the names that the settings give its values.
    pub gauges: Vec<(String, f64)>,
}

/// What the router has learnt.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    Ended(Ending),
    /// Nobody waits for the request any more.
    Left(Ticket),
    Hosts {
        complete: bool,
        hosts: Vec<Host>,
    },
    /// Copies of the object, or of the whole group, from before `stamp` are out of date.
    Expired {
        object: Option<u64>,
        group: u32,
        stamp: Ms,
    },
    Probed {
        place: Place,
        well: bool,
        gauges: Vec<(String, f64)>,
    },
    /// What a cache may be filled from.
    Feeds {
        place: Place,
        lists: Lists,
    },
}

/// The sources of a cache's fills with their ranks, also in the course of a change.
#[derive(Debug, Clone, PartialEq)]
pub struct Lists {
    pub now: Vec<(Place, u16)>,
    pub before: Vec<(Place, u16)>,
    pub part: f64,
    pub salt: u64,
}

/// Where a miss is filled from, and how.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Filling {
    /// `None` for no fill.
    pub source: Option<Place>,
    pub rank: u8,
    /// The oldest copy that will do; 0 = the fresh time of the class.
    pub max_age: Ms,
    /// The oldest that will do where no fill is to be had.
    pub ageing: Ms,
    pub join: bool,
    pub only_held: bool,
    pub renew: bool,
}

/// The final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Final {
    /// What the attempt that was just reported brought.
    Served,
    /// Trying again does no harm, after a while where one is said.
    Refused {
        wait: Ms,
    },
    Failed,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    Send { attempt: Attempt, place: Place, timeout: Ms, filling: Filling },
    Cancel(Attempt),
    Answer { ticket: Ticket, answer: Final },
    WakeAt(Ms),
    Probe(Place),
    Note(String),
}

/// A request that is owed its final answer.
#[derive(Debug)]
struct Owed {
    deadline: Ms,
    sent: u8,
}

#[derive(Debug)]
pub struct Decider {
    policy: Policy,
    names: SettingNames,
    classes: Vec<RequestClass>,
    flow_kb_per_s: f64,
    zone: u16,
    longest_wait: Ms,
    report: Vec<LoadReportField>,
    report_names: Vec<String>,
    owed: BTreeMap<Ticket, Owed>,
    /// By time, in microseconds.
    timers: BTreeSet<(u64, u32)>,
    /// What other settings would decide; nothing where that is not asked.
    watch: Option<Watch>,
}

impl Decider {
    pub fn new(told: DecodedSettings, seed: u64) -> Self {
        Self {
            classes: told.settings.classes.clone(),
            flow_kb_per_s: told.settings.flow_kb_per_s,
            zone: told.settings.zone,
            longest_wait: told.settings.max_retry_after,
            policy: Policy::new(told.settings, seed),
            names: told.names,
            report: told.report_fields,
            report_names: told.report_names,
            owed: BTreeMap::new(),
            timers: BTreeSet::new(),
            watch: None,
        }
    }

    /// Counts from now on where these settings would have decided otherwise. It has no other effect.
    pub fn watch(&mut self, told: DecodedSettings, seed: u64) {
        self.watch = Some(Watch::new(told.settings, seed));
    }

    pub fn watched(&self) -> Option<Watched> {
        self.watch.as_ref().map(Watch::counts)
    }

    /// Whether the settings tell of the class that is asked for.
    pub fn knows(&self, wish: &Wish) -> bool {
        self.names.classes.contains(&wish.class)
    }

    /// Within what time a request is wanted, and whether it is a write.
    pub fn wanted(&self, wish: &Wish) -> (Ms, bool) {
        let class = self.names.classes.iter().position(|name| *name == wish.class);
        let class = class.and_then(|n| self.classes.get(n)).cloned().unwrap_or_default();
        let sending = if self.flow_kb_per_s > 0.0 { wish.size_kb / self.flow_kb_per_s * 1000.0 } else { 0.0 };
        (class.latency_objective + class.objective_stretch_ratio * sending, class.is_write)
    }

    /// Whether a second run of a request would be harm.
    pub fn does_harm(&self, wish: &Wish) -> bool {
        let class = self.names.classes.iter().position(|name| *name == wish.class);
        class
            .and_then(|n| self.classes.get(n))
            .is_none_or(|class| class.idempotence != Idempotence::Idempotent)
    }

    /// The longest that a refused client may be told to stay away.
    pub fn longest_wait(&self) -> Ms {
        self.longest_wait
    }

    /// Whether a cache stands in this router's own location.
    pub fn is_own(&self, host: &Host) -> bool {
        self.names.zones.iter().position(|zone| *zone == host.zone) == Some(usize::from(self.zone))
    }

    /// Takes a request in; the orders say where it goes.
    pub fn pick(&mut self, now: Ms, ticket: Ticket, wish: &Wish) -> Vec<Order> {
        let class = self.names.classes.iter().position(|name| *name == wish.class);
        // A class that was never told of promises nothing: the module knows it by no number.
        let class = class.and_then(|n| u16::try_from(n).ok()).unwrap_or(u16::MAX);
        self.owed.insert(ticket, Owed { deadline: now + wish.budget, sent: 0 });
        let request = Request {
            id: RequestId(ticket),
            object: ObjectId(wish.object),
            part: wish.part,
            group: wish.group,
            class,
            size_kb: wish.size_kb,
            client_retry: wish.repeat,
            is_write: false,
            time_limit: wish.budget,
        };
        self.tell(now, &Event::Request(request))
    }

    /// Takes in what came of things.
    pub fn report(&mut self, now: Ms, news: News) -> Vec<Order> {
        match news {
            News::Ended(ending) => self.ended(now, &ending),
            News::Left(ticket) => match self.owed.remove(&ticket) {
                Some(_) => self.tell(now, &Event::ClientDisconnected(RequestId(ticket))),
                None => Vec::new(),
            },
            News::Hosts { complete, hosts } => {
                let kind = if complete { EndpointUpdate::Snapshot } else { EndpointUpdate::Incremental };
                let members = hosts.iter().map(|host| self.member(host)).collect();
                self.tell(now, &Event::Endpoints { update: kind, endpoints: members })
            }
            News::Expired { object, group, stamp } => {
                let object = object.map(ObjectId);
                self.tell(now, &Event::Purge { object, group, age: now - stamp })
            }
            News::Probed { place, well, gauges } => {
                let load = self.load(&gauges);
                self.tell(
                    now,
                    &Event::HealthCheck { endpoint: EndpointId(place.0), healthy: well, load_report: load },
                )
            }
            News::Feeds { place, lists } => {
                let feed = |(place, rank): &(Place, u16)| FillSource {
                    endpoint: EndpointId(place.0),
                    priority: *rank,
                };
                let all = |list: &[(Place, u16)]| list.iter().map(feed).collect();
                let Lists { part, salt, .. } = lists;
                let feeds = FillSources {
                    current: all(&lists.now),
                    previous: all(&lists.before),
                    migrated_ratio: part,
                    salt,
                };
                self.tell(now, &Event::FillSources { cache: EndpointId(place.0), sources: Some(feeds) })
            }
        }
    }

    /// Lets the time pass.
    pub fn tick(&mut self, now: Ms) -> Vec<Order> {
        let mut orders = Vec::new();
        while let Some(&(at, token)) = self.timers.first().filter(|(at, _)| *at <= micros(now)) {
            self.timers.remove(&(at, token));
            orders.extend(self.tell_due(now, &Event::Timer(token), Some((at, token))));
        }
        orders.extend(self.timers.first().map(|(at, _)| Order::WakeAt(*at as Ms / 1000.0)));
        orders
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    fn ended(&mut self, now: Ms, ending: &Ending) -> Vec<Order> {
        let Attempt { ticket, number } = ending.attempt;
        let answered = ending.end == End::Answered && self.owed.remove(&ticket).is_some();
        let outcome = AttemptOutcome {
            attempt: AttemptId { request: RequestId(ticket), number },
            endpoint: EndpointId(ending.place.0),
            status: status(ending.end),
            request_finished: !self.owed.contains_key(&ticket),
            elapsed: ending.took,
            source_wait: ending.waited,
            cache_status: ending.how.map(note),
            load_report: self.load(&ending.gauges),
        };
        let mut orders = Vec::new();
        if answered {
            orders.push(Order::Answer { ticket, answer: Final::Served });
        }
        orders.extend(self.tell(now, &Event::AttemptFinished(outcome)));
        orders
    }

    fn load(&self, gauges: &[(String, f64)]) -> LoadReport {
        // Short names stand for the long ones of the settings.
        let same = |told: &str, name: &str| {
            told == name || matches!((told, name), ("inflight", "outstanding") | ("util", "utilization"))
        };
        let mut fields = Vec::new();
        let mut values = Vec::new();
        for (field, name) in self.report.iter().zip(&self.report_names) {
            if let Some((_, value)) = gauges.iter().find(|(told, _)| same(told, name)) {
                fields.push(*field);
                values.push(*value);
            }
        }
        load_report(&values, &fields)
    }

    fn member(&self, host: &Host) -> Endpoint {
        let number = |names: &[String], name: &str| {
            let found = names.iter().position(|known| known == name);
            found.and_then(|n| u16::try_from(n).ok()).unwrap_or(u16::MAX)
        };
        Endpoint {
            id: EndpointId(Place::of(&host.uid).0),
            cell: host.cell,
            zone: number(&self.names.zones, &host.zone),
            role: number(&self.names.roles, &host.kind),
            weight: host.weight,
            started_at: host.started,
            phase: match host.state {
                HostState::Ready => EndpointPhase::Ready,
                HostState::Draining => EndpointPhase::Draining,
                HostState::Gone => EndpointPhase::Removed,
            },
        }
    }

    fn tell(&mut self, now: Ms, event: &Event) -> Vec<Order> {
        self.tell_due(now, event, None)
    }

    /// A timer comes with when it was due.
    fn tell_due(&mut self, now: Ms, event: &Event, due: Option<(u64, u32)>) -> Vec<Order> {
        let actions = self.policy.handle(now, event);
        if let Some(watch) = &mut self.watch {
            watch.see(now, event, due, &actions);
        }
        let mut orders = Vec::with_capacity(actions.len());
        for action in actions {
            orders.extend(self.order(now, action));
        }
        orders
    }

    /// What an action asks for, in plain terms.
    fn order(&mut self, now: Ms, action: Action) -> Option<Order> {
        match action {
            Action::Forward { request, endpoint: cache, timeout } => {
                let filling = Filling {
                    source: None,
                    rank: 0,
                    max_age: 0.0,
                    ageing: 0.0,
                    join: false,
                    only_held: false,
                    renew: false,
                };
                self.send(now, request, cache, timeout, filling)
            }
            Action::ForwardWithFill { request, endpoint: cache, timeout, fill } => {
                let filling = Filling {
                    source: (fill.source != cache).then_some(Place(fill.source.0)),
                    rank: fill.retention,
                    max_age: fill.max_age,
                    ageing: fill.max_stale_age,
                    join: fill.coalesce,
                    only_held: fill.only_if_cached,
                    renew: fill.revalidate,
                };
                self.send(now, request, cache, timeout, filling)
            }
            Action::CancelAttempt(id) => {
                Some(Order::Cancel(Attempt { ticket: id.request.0, number: id.number }))
            }
            Action::Reject { request, retry_after, .. } => {
                self.finish(request, Final::Refused { wait: retry_after })
            }
            Action::Fail { request, .. } => self.finish(request, Final::Failed),
            Action::SetTimer { at, token } => {
                self.timers.insert((micros(at), token));
                Some(Order::WakeAt(at))
            }
            Action::HealthCheck(cache) => Some(Order::Probe(Place(cache.0))),
            // The journal tells of all changes by itself.
            Action::SubscribeEndpoints => None,
            Action::Log(line) => Some(Order::Note(line)),
        }
    }

    fn send(
        &mut self,
        now: Ms,
        request: RequestId,
        cache: EndpointId,
        timeout: Ms,
        filling: Filling,
    ) -> Option<Order> {
        let owed = self.owed.get_mut(&request.0)?;
        let left = owed.deadline - now;
        let timeout = if timeout == 0.0 { left } else { timeout.min(left) };
        let attempt = Attempt { ticket: request.0, number: owed.sent };
        owed.sent += 1;
        Some(Order::Send { attempt, place: Place(cache.0), timeout, filling })
    }

    /// The one final answer; where it has been given already there is no other.
    fn finish(&mut self, request: RequestId, answer: Final) -> Option<Order> {
        self.owed.remove(&request.0).map(|_| Order::Answer { ticket: request.0, answer })
    }
}

/// Whole microseconds, which have an order.
pub fn micros(at: Ms) -> u64 {
    (at * 1000.0) as u64
}

fn status(end: End) -> AttemptStatus {
    match end {
        End::Answered => AttemptStatus::Ok,
        End::Failed => AttemptStatus::Error,
        End::Full => AttemptStatus::Rejected,
        End::Absent => AttemptStatus::CacheMiss,
        End::Moot => AttemptStatus::NeverSent,
        End::TimedOut => AttemptStatus::TimedOut,
        End::Unreached => AttemptStatus::ConnectFailed,
        End::Broken => AttemptStatus::Reset,
        End::Cancelled => AttemptStatus::Cancelled,
    }
}

fn note(how: How) -> CacheStatus {
    match how {
        How::Hit => CacheStatus::Hit,
        How::Filled => CacheStatus::FilledByParent,
        How::FilledByOrigin => CacheStatus::FilledByOrigin,
        How::Joined => CacheStatus::Coalesced,
        How::Stale => CacheStatus::Stale,
        How::SourceRefused => CacheStatus::SourceRejected,
        How::SourceUnreached => CacheStatus::SourceUnreachable,
        How::SourceLacks => CacheStatus::SourceMiss,
        How::NoPlace => CacheStatus::NoCapacity,
        How::OriginFailed => CacheStatus::OriginFailed,
        // Nobody's doing, and it never ran.
        How::CameRound => CacheStatus::NoCapacity,
    }
}

#[cfg(test)]
#[path = "../tests/unit/decider.rs"]
mod tests;
