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
use linnethook_settings::{load, LoadField, Names, Told as Settings};
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
    names: Names,
    classes: Vec<RequestClass>,
    flow_kb_per_s: f64,
    zone: u16,
    longest_wait: Ms,
    report: Vec<LoadField>,
    report_names: Vec<String>,
    owed: BTreeMap<Ticket, Owed>,
    /// By time, in microseconds.
    timers: BTreeSet<(u64, u32)>,
    /// What other settings would decide; nothing where that is not asked.
    watch: Option<Watch>,
}

impl Decider {
    pub fn new(told: Settings, seed: u64) -> Self {
        Self {
            classes: told.settings.classes.clone(),
            flow_kb_per_s: told.settings.flow_kb_per_s,
            zone: told.settings.zone,
            longest_wait: told.settings.max_retry_after,
            policy: Policy::new(told.settings, seed),
            names: told.names,
            report: told.report,
            report_names: told.report_names,
            owed: BTreeMap::new(),
            timers: BTreeSet::new(),
            watch: None,
        }
    }

    /// Counts from now on where these settings would have decided otherwise. It has no other effect.
    pub fn watch(&mut self, told: Settings, seed: u64) {
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
        load(&values, &fields)
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
            role: number(&self.names.kinds, &host.kind),
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
mod tests {
    use super::*;

    fn decider() -> Decider {
        let text = include_str!("../../../examples/config.json");
        let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
        let settings = config["settings"].to_string();
        let told = linnethook_settings::decode(settings.as_bytes()).expect("its settings");
        let mut decider = Decider::new(told, 7);
        let host = |uid: &str, zone: &str, kind: &str| Host {
            uid: uid.to_string(),
            zone: zone.to_string(),
            kind: kind.to_string(),
            cell: 0,
            weight: 8.0,
            started: 0.0,
            state: HostState::Ready,
        };
        let hosts = vec![host("a", "shop", "box"), host("p", "hub", "hub-box"), host("o", "hub", "store")];
        decider.report(1000.0, News::Hosts { complete: true, hosts });
        decider
    }

    fn wish(class: &str, budget: Ms) -> Wish {
        Wish { class: class.to_string(), object: 7, part: 0, group: 0, size_kb: 100.0, repeat: false, budget }
    }

    fn ended(attempt: Attempt, place: Place, end: End) -> News {
        News::Ended(Ending { attempt, place, end, took: 50.0, waited: 0.0, how: None, gauges: Vec::new() })
    }

    fn sent(orders: &[Order]) -> Option<(Attempt, Place, Ms, Filling)> {
        orders.iter().find_map(|order| match order {
            Order::Send { attempt, place, timeout, filling } => Some((*attempt, *place, *timeout, *filling)),
            _ => None,
        })
    }

    fn answers(orders: &[Order]) -> Vec<Final> {
        let answer = |order: &Order| match order {
            Order::Answer { answer, .. } => Some(*answer),
            _ => None,
        };
        orders.iter().filter_map(answer).collect()
    }

    #[test]
    fn a_read_goes_to_its_owner_with_its_parent_as_source_and_is_served_once() {
        let mut decider = decider();
        let (attempt, place, timeout, filling) =
            sent(&decider.pick(1000.0, 1, &wish("video", 900.0))).expect("an attempt");
        assert_eq!((place, filling.source), (Place::of("a"), Some(Place::of("p"))));
        assert!(timeout > 0.0 && timeout <= 900.0);
        let orders = decider.report(1050.0, ended(attempt, place, End::Answered));
        assert_eq!(answers(&orders), [Final::Served]);
        assert_eq!(decider.owed(), 0);
        let again = decider.report(1060.0, ended(attempt, place, End::Answered));
        assert!(answers(&again).is_empty());
    }

    /// A time-out that passes the client's wait would leave it without its answer.
    #[test]
    fn no_attempt_outlasts_the_clients_wait() {
        let mut decider = decider();
        let (attempt, place, timeout, _) =
            sent(&decider.pick(1000.0, 1, &wish("booking", 700.0))).expect("an attempt");
        assert_eq!(place, Place::of("o"));
        assert!(timeout <= 700.0);
        let orders = decider.report(1700.0, ended(attempt, place, End::TimedOut));
        assert_eq!(answers(&orders), [Final::Failed], "it may have run");
    }

    #[test]
    fn a_write_that_never_ran_is_refused_and_one_that_left_is_not_answered() {
        let mut decider = decider();
        let (attempt, place, ..) =
            sent(&decider.pick(1000.0, 1, &wish("booking", 10.0))).expect("an attempt");
        let orders = decider.report(1009.0, ended(attempt, place, End::Unreached));
        assert!(matches!(answers(&orders)[..], [Final::Refused { .. }]));
        let (attempt, place, ..) = sent(&decider.pick(1010.0, 2, &wish("video", 900.0))).expect("an attempt");
        let orders = decider.report(1020.0, News::Left(2));
        assert!(orders.contains(&Order::Cancel(attempt)) && answers(&orders).is_empty());
        assert!(answers(&decider.report(1020.0, ended(attempt, place, End::Cancelled))).is_empty());
    }

    /// A long day replaces its caches, objects and ids many times over: what is kept must not grow with them.
    #[test]
    fn what_is_kept_does_not_grow_with_what_has_gone() {
        let mut decider = decider();
        let mut now = 1000.0;
        let mut ticket = 0;
        let mut sizes = Vec::new();
        for day in 0..3 {
            for n in 0..=400u32 {
                let host = |n: u32, state: HostState| Host {
                    uid: format!("spare-{day}-{n}"),
                    zone: "shop".to_string(),
                    kind: "box".to_string(),
                    cell: 0,
                    weight: 8.0,
                    started: now,
                    state,
                };
                let state = if n < 400 { HostState::Ready } else { HostState::Gone };
                let hosts = vec![host(n, state), host(n.wrapping_sub(1), HostState::Gone)];
                decider.report(now, News::Hosts { complete: false, hosts });
                let expired = News::Expired { object: Some(u64::from(n)), group: 0, stamp: now };
                decider.report(now, expired);
                for end in [End::Answered, End::Cancelled, End::Broken] {
                    ticket += 1;
                    let wish = Wish { object: ticket * 77, ..wish("video", 900.0) };
                    let mut orders = decider.pick(now, ticket, &wish);
                    while let Some((attempt, place, ..)) = sent(&orders) {
                        now += 20.0;
                        if end == End::Cancelled {
                            decider.report(now, News::Left(ticket));
                        }
                        orders = decider.report(now, ended(attempt, place, end));
                    }
                }
                decider.tick(now);
            }
            assert_eq!(decider.owed(), 0);
            // What has gone is forgotten some rotations later.
            for _ in 0..60 {
                now += 1000.0;
                decider.tick(now);
            }
            // All that it holds, spelt out.
            sizes.push(format!("{decider:?}").len());
        }
        assert!(sizes[2] < sizes[0] * 11 / 10, "{sizes:?}");
    }

    /// The example's settings with the order of classes, zones and kinds turned round, and other names for them.
    fn renamed(settings: &serde_json::Value) -> serde_json::Value {
        let mut other = settings.clone();
        let turned = |list: &serde_json::Value| {
            let list = list.as_array().expect("a list");
            serde_json::Value::Array(list.iter().rev().cloned().collect())
        };
        let named =
            |name: &serde_json::Value| serde_json::json!(format!("x-{}", name.as_str().expect("a name")));
        for list in ["dcs", "kinds"] {
            other[list] = turned(&settings[list]);
            other[list].as_array_mut().expect("a list").iter_mut().for_each(|name| *name = named(name));
        }
        other["grades"] = turned(&settings["grades"]);
        for class in other["grades"].as_array_mut().expect("classes") {
            class["name"] = named(&class["name"]);
        }
        for list in ["class-parts", "grace-for", "max-age", "old-copy-worth", "pass-on", "seats-by-zone"] {
            other["family-info"][list] = turned(&settings["family-info"][list]);
        }
        let last = |list: &str| settings[list].as_array().expect("a list").len() as u64 - 1;
        let index = |value: &serde_json::Value, list: &str| last(list) - value.as_u64().expect("a number");
        other["locality"] = index(&settings["locality"], "dcs").into();
        for kind in ["second-tier-kind", "store-kind"] {
            other["family-info"][kind] = index(&settings["family-info"][kind], "kinds").into();
        }
        other
    }

    /// All orders of a rough stretch; names begin with `name`. What `beside` does in between must not matter.
    fn stretch(decider: &mut Decider, name: &str, mut beside: impl FnMut(Ms)) -> Vec<String> {
        let host = |uid: String, zone: &str, kind: &str| Host {
            uid,
            zone: format!("{name}{zone}"),
            kind: format!("{name}{kind}"),
            cell: 0,
            weight: 8.0,
            started: 0.0,
            state: HostState::Ready,
        };
        let mut hosts: Vec<Host> = (0..5).map(|n| host(format!("c{n}"), "shop", "box")).collect();
        hosts.extend((0..2).map(|n| host(format!("p{n}"), "hub", "hub-box")));
        hosts.push(host("o".to_string(), "hub", "store"));
        decider.report(1000.0, News::Hosts { complete: true, hosts });
        let mut chance: u64 = 7;
        let mut draw = |most: u64| {
            chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (chance >> 33) % most
        };
        let (mut all, mut out, mut now) = (Vec::new(), Vec::new(), 1000.0);
        for ticket in 1..=600 {
            now += 3.0;
            beside(now);
            let class = ["video", "page", "booking"][draw(3) as usize];
            let object = draw(60);
            let size_kb = 20.0 + draw(900) as f64;
            let wish = Wish { object, size_kb, ..wish(&format!("{name}{class}"), 2_000.0) };
            let mut orders = decider.pick(now, ticket, &wish);
            if draw(9) == 0 {
                let stamp = now;
                orders.extend(decider.report(now, News::Expired { object: Some(object), group: 0, stamp }));
            }
            orders.extend(decider.tick(now));
            while let Some((attempt, place, ..)) = sent(&orders) {
                out.push((attempt, place));
                all.extend(orders.iter().map(|order| format!("{order:?}")));
                orders.clear();
                if draw(3) > 0 {
                    let (attempt, place) = out.swap_remove(draw(out.len() as u64) as usize);
                    let ends =
                        [End::Answered, End::Answered, End::Broken, End::Full, End::TimedOut, End::Failed];
                    orders = decider.report(now, ended(attempt, place, ends[draw(6) as usize]));
                }
            }
            all.extend(orders.iter().map(|order| format!("{order:?}")));
        }
        all
    }

    /// Nothing hangs on what one deployment calls its classes, zones and kinds, or on their order.
    #[test]
    fn other_names_and_another_order_decide_the_same_and_routers_beside_each_other_share_nothing() {
        let text = include_str!("../../../examples/config.json");
        let config: serde_json::Value = serde_json::from_str(text).expect("the example configuration");
        let decider = |settings: &serde_json::Value| {
            let told = linnethook_settings::decode(settings.to_string().as_bytes()).expect("its settings");
            Decider::new(told, 7)
        };
        let other = renamed(&config["settings"]);
        let alone = stretch(&mut decider(&config["settings"]), "", |_| ());
        assert!(alone.len() > 1_000, "{}", alone.len());
        assert_eq!(alone, stretch(&mut decider(&other), "x-", |_| ()));
        // Another one with other settings in the same process, in turn with it.
        let mut strict = other.clone();
        strict["allowed"]["max-attempts"] = 1.into();
        strict["family-info"]["bypass-allowed"] = false.into();
        let (mut beside, mut ticket) = (decider(&strict), 0);
        let in_turn = stretch(&mut decider(&config["settings"]), "", |now| {
            ticket += 1;
            beside.pick(now, ticket, &wish("x-video", 900.0));
            beside.tick(now);
        });
        assert_eq!(alone, in_turn);
    }

    /// The caller keeps only the soonest time that it was told.
    #[test]
    fn every_tick_tells_when_the_next_one_is_due() {
        let mut decider = decider();
        let mut now = 1000.0;
        for _ in 0..20 {
            let wake = decider.tick(now).into_iter().find_map(|order| match order {
                Order::WakeAt(at) => Some(at),
                _ => None,
            });
            let wake = wake.expect("a time");
            assert!(wake > now);
            now = wake;
        }
    }
}
