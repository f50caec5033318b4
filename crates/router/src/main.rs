//! Owns the start, the event loop and the wiring: what one part brings is handed to the next.
//!
//! Must never look into a message or weigh anything: orders come from the decider, bytes from the others.

mod account;
mod audit;
mod buffers;
mod cli;
mod config;
mod control;
mod counters;
mod decider;
mod descriptors;
mod discovery;
mod downstream;
mod event_handler;
mod fleet;
#[cfg(test)]
#[path = "../tests/unit/golden.rs"]
mod golden;
#[cfg(test)]
#[path = "../tests/unit/hex.rs"]
mod hex;
mod hierarchy_adapter;
mod hollow;
mod links;
mod log;
mod operator_digest;
mod steer;
mod upstream;

use std::collections::HashMap;
use std::net::TcpListener;
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, LoopHandle, Readiness};
use clap::Parser;
use linnethook_operator::script::Kind;
use linnethook_operator::{apart, Operator};

use buffers::{BufferChain, BufferPool};
use cli::{Cli, Command};
use config::{Config, Failure, Limits};
use control::Control;
use counters::Counters;
use decider::{Decider, End, Final, Ms, News, Order, Ticket, Wish};
use descriptors::Reserve;
use discovery::event::{EndpointUpdate, WatchEvent};
use discovery::DiscoveryClient;
use downstream::codec::AnswerCode;
use downstream::{ClientEvent, ClientId, ClientRequest, ClientStream, Downstreams};
use event_handler::EventHandler;
use fleet::Fleet;
use hierarchy_adapter::{Asked, HierarchyAdapter, Step};
use links::beyond::{Beyond, Traveller};
use links::is_foreign;
use links::sockets::Links;
use log::log_line;
use steer::Evaluation;
use upstream::{AttemptOrder, RequestMessage, ResponsePayload, Upstreams};

/// Unix milliseconds at the start and a clock that never goes back: stamps compare, and time never jumps.
#[derive(Debug, Clone, Copy)]
struct Clock {
    start: Instant,
    unix: Ms,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), unix: unix.as_secs_f64() * 1000.0 }
    }

    fn now(&self) -> Ms {
        self.unix + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// A request that is open: who asked, and what is passed on.
struct Held {
    asker: ClientStream,
    message: RequestMessage,
    asked: Asked,
    /// What its gateway needs of it; nothing without one.
    traveller: Option<Box<Traveller>>,
}

/// The requests that are open, and what each id among them is for.
#[derive(Default)]
struct Requests {
    held: HashMap<Ticket, Held>,
    /// By id: the object, and how many ask for it.
    ids: HashMap<String, (String, usize)>,
}

impl Requests {
    fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether the id is open for another object: caches tell requests by their ids alone.
    fn clashes(&self, parcel: &RequestMessage) -> bool {
        self.ids.get(&parcel.id).is_some_and(|(object, _)| *object != parcel.object)
    }

    fn insert(&mut self, ticket: Ticket, held: Held) {
        let id = self.ids.entry(held.message.id.clone()).or_insert_with(|| (held.message.object.clone(), 0));
        id.1 += 1;
        self.held.insert(ticket, held);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Held> {
        let held = self.held.remove(&ticket)?;
        if let Some((_, count)) = self.ids.get_mut(&held.message.id) {
            *count -= 1;
            if *count == 0 {
                self.ids.remove(&held.message.id);
            }
        }
        Some(held)
    }
}

/// How far the router is.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Run {
    Serving,
    /// Since when it finishes what it has.
    Stopping(Ms),
    /// Until when the last answers may leave; what still comes is turned away at once.
    Leaving(Ms),
}

/// One router.
pub struct Router {
    clock: Clock,
    /// The file that `LB_CONFIG` names, read again at each SIGHUP.
    path: PathBuf,
    limits: Limits,
    buffers: BufferPool,
    reserve: Reserve,
    decider: Decider,
    downstreams: Downstreams<Self>,
    upstreams: Upstreams<Self>,
    discovery: DiscoveryClient<Self>,
    requests: Requests,
    /// The operator file and what it switches on; nothing on the platform.
    operator: Option<PathBuf>,
    hierarchy: Option<HierarchyAdapter>,
    control: Option<Control<Self>>,
    beyond: Option<Beyond<Self>>,
    fleet: Option<Fleet>,
    /// The evaluation of the operator file that is under way.
    evaluation: Option<Evaluation>,
    handle: LoopHandle<'static, Self>,
    wake: Option<Ms>,
    run: Run,
    counters: Counters,
    /// Time between two lines of what is watched, and when the next one is due; nothing where nothing is watched.
    watch: Option<(Ms, Ms)>,
}

impl Router {
    fn new(
        path: &Path,
        config: Config,
        operator: Option<(PathBuf, Operator)>,
        handle: &LoopHandle<'static, Self>,
    ) -> Result<Self, Failure> {
        let links = operator.as_ref().is_some_and(|(_, operator)| operator.gateway.is_some());
        let limits = if links { config.limits.beside_links() } else { config.limits };
        let reserve = Reserve::take(limits.reserve)?;
        let buffers = BufferPool::new(limits.block, limits.blocks_kept, limits.blocks_most);
        // What is watched has to be right before anything begins.
        let watch = operator.as_ref().and_then(|(_, operator)| operator.watch.as_ref());
        let told = |watch| Ok::<_, Failure>((config.with(&steer::changes(watch))?, watch.every * 1000.0));
        let watched = watch.map(told).transpose()?;
        let settings = operator.as_ref().map_or(0, |_| config.settings_digest());
        let known = config.file.known;
        let mut router = Self {
            clock: Clock::new(),
            path: path.to_path_buf(),
            limits,
            decider: Decider::new(config.told, config.seed),
            downstreams: Downstreams::new(limits, &buffers, &reserve, handle.clone()),
            upstreams: Upstreams::new(limits, &buffers, &reserve, handle.clone()),
            discovery: DiscoveryClient::new(
                limits,
                &buffers,
                &reserve,
                handle.clone(),
                config.file.journal,
                known.pos,
            ),
            buffers,
            reserve,
            requests: Requests::default(),
            operator: None,
            hierarchy: None,
            control: None,
            beyond: None,
            fleet: None,
            evaluation: None,
            handle: handle.clone(),
            wake: None,
            run: Run::Serving,
            counters: Counters::default(),
            watch: None,
        };
        if let Some((told, every)) = watched {
            router.decider.watch(told, config.seed);
            router.watch = Some((every, router.clock.now() + every));
        }
        if let Some((file, operator)) = operator {
            router.switch_on(&config.file.name, config.seed, settings, &operator)?;
            router.operator = Some(file);
        }
        router.learn(known.entries);
        router.tick_fleet();
        // Clients are accepted only once the list is known.
        let address = router.downstreams.listen(config.file.listen)?;
        log_line!("{} listens on {address}", config.file.name);
        Ok(router)
    }

    /// Takes in events of the journal, in their order.
    fn learn(&mut self, entries: Vec<WatchEvent>) {
        let now = self.clock.now();
        for entry in entries {
            self.counters.journal_events += 1;
            if let (Some(batch), Some(upstream)) = (&entry.shape, &mut self.hierarchy) {
                if let Err(why) = upstream.hear(now, batch) {
                    log_line!("hierarchy: batch {}/{}: {why}", batch.author, batch.number);
                }
                self.tell_feeds();
            }
            self.fleet_hears(&entry);
            if let Some(mut hosts) = entry.hosts {
                if let Some(fleet) = &mut self.fleet {
                    fleet.hosts(now, &mut hosts, entry.pos);
                }
                if let Some(beyond) = &mut self.beyond {
                    let decider = &self.decider;
                    beyond.hosts(now, &mut hosts, |target| decider.is_own(&target.host()));
                }
                self.take_hosts(&hosts);
            }
            if let Some(expire) = &entry.expire {
                match expire.news() {
                    Some(news) => {
                        if let News::Expired { object, group, .. } = news {
                            self.upstreams.withdraw_purged(now, object, group);
                        }
                        if let Some(beyond) = &mut self.beyond {
                            beyond.expired(now, expire);
                        }
                        let orders = self.decider.report(now, news);
                        self.carry_out(orders, ResponsePayload::Empty);
                    }
                    None => log_line!("journal: a purge that can't be read, event {}", entry.pos),
                }
            }
        }
    }

    /// Takes in lines of the list of caches.
    fn take_hosts(&mut self, hosts: &EndpointUpdate) {
        let now = self.clock.now();
        self.upstreams.update_endpoints(now, &hosts.targets, hosts.all);
        self.list_upstream(hosts);
        let orders = self.decider.report(now, hosts.news());
        self.carry_out(orders, ResponsePayload::Empty);
    }

    /// Does what was ordered. `brought` is what the attempt that was just reported has brought.
    fn carry_out(&mut self, orders: Vec<Order>, brought: ResponsePayload) {
        let now = self.clock.now();
        let mut brought = Some(brought);
        for order in orders {
            match order {
                Order::Send { attempt, place, timeout, filling } => {
                    let Some(held) = self.requests.held.get(&attempt.ticket) else {
                        // Its client left while these orders were carried out. Without an end the attempt would
                        // count as in flight at its cache for good.
                        self.upstreams.cancel_unsent(now, attempt, place);
                        continue;
                    };
                    let asked = held.asked;
                    let ordered = AttemptOrder { attempt, place, timeout, filling };
                    // What can't be vouched for is not done; what is held will do.
                    let out = self.fleet.as_mut().filter(|_| !asked.write && filling.source.is_some());
                    let out = out.and_then(|fleet| fleet.shuts_out(now, asked.object));
                    let step = match (&mut self.hierarchy, out) {
                        (Some(upstream), Some(wait)) if upstream.fills(&ordered) => {
                            Some(upstream.held_alone(now, ordered, asked, wait))
                        }
                        (Some(upstream), _) => upstream.admit(now, ordered, asked),
                        (None, _) => Some(Step::Send(ordered, None)),
                    };
                    self.take(step);
                }
                Order::Cancel(attempt) => {
                    match self.hierarchy.as_mut().and_then(|upstream| upstream.cancel(attempt)) {
                        Some(Step::TurnBack(ordered, _)) => {
                            self.upstreams.cancel_unsent(now, attempt, ordered.place);
                        }
                        _ => self.upstreams.cancel(now, attempt),
                    }
                }
                Order::Answer { ticket, answer } => {
                    self.answer(ticket, answer, brought.take().unwrap_or(ResponsePayload::Empty));
                }
                Order::WakeAt(at) => self.wake = Some(self.wake.map_or(at, |wake| wake.min(at))),
                Order::Probe(place) => self.upstreams.send_health_check(now, place),
                Order::Note(line) => log_line!("{line}"),
            }
        }
    }

    /// The answer of this site's decisions to a request.
    fn answer(&mut self, ticket: Ticket, answer: Final, brought: ResponsePayload) {
        if self.crosses() {
            self.ended_here(ticket, answer);
            if matches!(answer, Final::Refused { .. }) && self.goes_beyond(ticket) {
                return self.carry_beyond();
            }
        }
        self.finish(ticket, answer, brought);
    }

    /// The one final answer to whoever asked.
    fn finish(&mut self, ticket: Ticket, answer: Final, brought: ResponsePayload) {
        let come_back = self.hierarchy.as_mut().and_then(|upstream| upstream.come_back(ticket));
        if is_foreign(ticket) {
            if self.requests.remove(ticket).is_some() {
                self.answer_beyond(ticket, answer, brought);
                self.carry_beyond();
            }
            return;
        }
        let Some(held) = self.requests.remove(ticket) else { return };
        if let Some(fleet) = &mut self.fleet {
            fleet.answered(self.clock.now(), answer);
        }
        let nothing = BufferChain::new(&self.buffers);
        let client = held.asker.client;
        match (answer, brought) {
            (Final::Served, ResponsePayload::Body(body, _)) => {
                self.counters.served += 1;
                self.counters.served_bytes += body.len() as u64;
                self.downstreams.answer(held.asker, AnswerCode::Served, &[], body);
            }
            (Final::Served, ResponsePayload::NotModified) => {
                self.counters.served += 1;
                self.downstreams.answer(held.asker, AnswerCode::Served, &[("valid", "1")], nothing);
            }
            (Final::Refused { wait }, _) => {
                self.counters.refused += 1;
                // Where advice is given at all, the shield may know of a better time.
                let longest = self.decider.longest_wait();
                let told = come_back.filter(|_| wait > 0.0).map_or(wait, |at| wait.max(at.min(longest)));
                let wait = told;
                let wait = format!("{}", wait.ceil());
                let fields: &[(&str, &str)] = if wait == "0" { &[] } else { &[("w", &wait)] };
                self.downstreams.answer(held.asker, AnswerCode::Rejected, fields, nothing);
            }
            (Final::Failed, _) | (Final::Served, ResponsePayload::Empty) => {
                self.counters.failed += 1;
                self.downstreams.answer(held.asker, AnswerCode::Failed, &[], nothing);
            }
        }
        let mut said = Vec::new();
        self.downstreams.flush(self.clock.now(), client, &mut said);
        self.hear(said);
    }

    /// Takes in what clients have said.
    fn hear(&mut self, said: Vec<ClientEvent>) {
        for said in said {
            let now = self.clock.now();
            match said {
                ClientEvent::Request(ticket, taken) => {
                    self.counters.taken_in += 1;
                    self.counters.taken_in_bytes += taken.message.body.len() as u64;
                    let asker = taken.stream;
                    // Its connection may have been broken off over one before it.
                    if !self.downstreams.is_open(asker, ticket) {
                        continue;
                    }
                    if !self.decider.knows(&taken.wish) || self.requests.clashes(&taken.message) {
                        self.turn_away(asker);
                        continue;
                    }
                    let leaving = matches!(self.run, Run::Leaving(_));
                    let crowded = leaving || self.requests.len() >= self.limits.open;
                    if let Some(wait) = self.barred_for_now(now, &taken.wish) {
                        let ClientRequest { wish, message, .. } = *taken;
                        let held = self.held(now, asker, wish, message, Vec::new());
                        self.requests.insert(ticket, held);
                        self.finish(ticket, Final::Refused { wait }, ResponsePayload::Empty);
                        continue;
                    }
                    let ClientRequest { wish, message, .. } = *taken;
                    if self.crosses() {
                        let held = self.held(now, asker, wish, message, Vec::new());
                        self.requests.insert(ticket, held);
                        if crowded {
                            self.finish(ticket, Final::Refused { wait: 0.0 }, ResponsePayload::Empty);
                        } else {
                            self.ask_gateway(ticket);
                        }
                        continue;
                    }
                    let (aim, write) = self.decider.wanted(&wish);
                    let Wish { object, part, size_kb, .. } = wish;
                    let asked = Asked { object, part, write, bytes: size_kb * 1000.0, aim, since: now };
                    self.requests.insert(ticket, Held { asker, message, asked, traveller: None });
                    if crowded {
                        self.answer(ticket, Final::Refused { wait: 0.0 }, ResponsePayload::Empty);
                        continue;
                    }
                    let orders = self.decider.pick(now, ticket, &wish);
                    self.carry_out(orders, ResponsePayload::Empty);
                }
                ClientEvent::Cancelled(ticket) => {
                    self.counters.given_up += 1;
                    self.requests.remove(ticket);
                    self.upstreams.withdraw_request(now, ticket);
                    let unsent = self.hierarchy.as_mut().map(|upstream| upstream.left(ticket));
                    for ordered in unsent.unwrap_or_default() {
                        self.upstreams.cancel_unsent(now, ordered.attempt, ordered.place);
                    }
                    self.hierarchy.as_mut().and_then(|upstream| upstream.come_back(ticket));
                    if let Some(beyond) = self.beyond.as_mut().filter(|beyond| beyond.crosses()) {
                        beyond.gateway.gone(now, ticket);
                        self.carry_beyond();
                    }
                    let orders = self.decider.report(now, News::Left(ticket));
                    self.carry_out(orders, ResponsePayload::Empty);
                }
                ClientEvent::Invalid(asker) => {
                    self.counters.taken_in += 1;
                    self.turn_away(asker);
                }
            }
        }
    }

    /// Hears whether a client has left or gives something up, before anything is sent for it: its word may have arrived
    /// in the course of this turn, or behind what made that due.
    pub(crate) fn look_at(&mut self, ticket: Ticket) {
        let Some(client) = self.requests.held.get(&ticket).map(|held| held.asker.client) else { return };
        let mut said = Vec::new();
        self.downstreams.check(self.clock.now(), client, &mut said);
        self.hear(said);
    }

    /// What must not run twice is not begun by a router that is behind: when its client may come again.
    pub(crate) fn barred_for_now(&mut self, now: Ms, wish: &Wish) -> Option<Ms> {
        let fleet = self.fleet.as_mut().filter(|_| self.decider.does_harm(wish))?;
        let wait = fleet.shuts_out(now, wish.object)?;
        Some(wait.min(self.decider.longest_wait()))
    }

    /// Answers a request that can't be used, and so never reached the decider.
    fn turn_away(&mut self, asker: ClientStream) {
        self.counters.unusable += 1;
        let mut said = Vec::new();
        self.downstreams.reject_invalid(self.clock.now(), asker, &mut said);
        self.downstreams.flush(self.clock.now(), asker.client, &mut said);
        self.hear(said);
    }

    /// Reports what came of attempts until nothing more has.
    fn settle(&mut self) {
        loop {
            let now = self.clock.now();
            if let Some(ended) = self.upstreams.next_completed() {
                self.count(ended.ending.end, &ended.payload);
                let attempt = ended.ending.attempt;
                let held = self.requests.held.get(&attempt.ticket).filter(|held| held.asked.write);
                if let (Some(fleet), Some(held)) = (&mut self.fleet, held) {
                    fleet.write_ended(now, &held.message.id, attempt.number, ended.ending.end);
                }
                if let Some(upstream) = &mut self.hierarchy {
                    let steps = upstream.ended(now, &ended);
                    self.take(steps);
                }
                let orders = self.decider.report(now, News::Ended(ended.ending));
                self.carry_out(orders, ended.payload);
            } else if let Some(probed) = self.upstreams.next_health_check() {
                let news = News::Probed { place: probed.place, well: probed.healthy, gauges: probed.gauges };
                let orders = self.decider.report(now, news);
                self.carry_out(orders, ResponsePayload::Empty);
            } else if let Some((connection, tickets)) = self.upstreams.next_stalled() {
                tickets.into_iter().for_each(|ticket| self.look_at(ticket));
                self.upstreams.write_queued(self.clock.now(), connection);
            } else {
                return;
            }
        }
    }

    fn count(&mut self, end: End, brought: &ResponsePayload) {
        let counter = match end {
            End::Answered if matches!(brought, ResponsePayload::NotModified) => {
                &mut self.counters.ended_unchanged
            }
            End::Answered => &mut self.counters.ended_data,
            End::Failed => &mut self.counters.ended_failed,
            End::Full => &mut self.counters.ended_full,
            End::Absent => &mut self.counters.ended_absent,
            End::Moot => &mut self.counters.ended_moot,
            End::TimedOut => &mut self.counters.ended_timed_out,
            End::Unreached => &mut self.counters.ended_unreached,
            End::Broken => &mut self.counters.ended_broken,
            End::Cancelled => &mut self.counters.ended_cancelled,
        };
        *counter += 1;
    }

    /// All that is due by now.
    fn tick(&mut self) {
        let now = self.clock.now();
        self.upstreams.on_timer(now);
        self.settle();
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
            let orders = self.decider.tick(now);
            self.carry_out(orders, ResponsePayload::Empty);
            self.settle();
        }
        if let Some(upstream) = self.hierarchy.as_mut().filter(|upstream| upstream.is_due(now)) {
            let steps = upstream.tick(now);
            self.take(steps);
            self.tell_feeds();
            self.settle();
        }
        if let Some(control) = &mut self.control {
            control.tick(now);
        }
        if self.beyond.is_some() {
            self.tick_beyond();
            self.settle();
        }
        if let Some((every, _)) = self.watch.filter(|(_, next)| *next <= now) {
            self.watch = Some((every, now + every));
            if let Some(watched) = self.decider.watched() {
                log_line!("{watched}");
            }
        }
        self.discovery.on_timer(now);
        let mut said = Vec::new();
        self.downstreams.on_timer(now, &mut said);
        self.downstreams.read_paused(now, &mut said);
        self.hear(said);
        self.settle();
    }

    /// How long nothing is due.
    fn rest(&self) -> Duration {
        if self.downstreams.has_readable_paused()
            || self.beyond.as_ref().is_some_and(|beyond| beyond.links.waits())
        {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let stop = match self.run {
            Run::Serving => None,
            Run::Stopping(since) if now < since + self.limits.stop_least => {
                Some(since + self.limits.stop_least)
            }
            Run::Stopping(since) => Some(since + self.limits.stop_most),
            Run::Leaving(until) => Some(until),
        };
        let upstream = self.hierarchy.as_ref().map(HierarchyAdapter::next);
        let control = self.control.as_ref().and_then(Control::next);
        let (journal, clients) =
            (Some(self.discovery.next_deadline()), Some(self.downstreams.next_deadline()));
        let beyond = self.beyond.as_ref().map(|beyond| {
            let connects = beyond.links.next().unwrap_or(f64::INFINITY);
            beyond.gateway.next(now).min(connects)
        });
        let fleet = self.fleet.as_ref().map(|fleet| fleet.next(now));
        let next = [
            self.wake,
            self.upstreams.next_deadline(),
            journal,
            clients,
            stop,
            upstream,
            control,
            beyond,
            fleet,
        ];
        let next = next.into_iter().flatten().reduce(Ms::min).unwrap_or(now + 1000.0);
        Duration::from_secs_f64((next - now).clamp(0.0, 1000.0) / 1000.0)
    }

    fn signalled(&mut self, signal: Signal) {
        match signal {
            Signal::SIGUSR1 => return self.print_counters(),
            Signal::SIGHUP => return self.reload(),
            _ => {}
        }
        if self.run == Run::Serving {
            log_line!("stopping, {} requests open", self.decider.owed());
            self.run = Run::Stopping(self.clock.now());
            let mut said = Vec::new();
            self.downstreams.begin_drain(self.clock.now(), &mut said);
            self.leave_fleet();
            if let Some(beyond) = &mut self.beyond {
                beyond.gateway.stop();
                self.carry_beyond();
            }
            self.hear(said);
            self.settle();
        }
    }

    /// Reads the configuration again. Only the journal's address is taken over while it runs; a file that can't
    /// be read changes nothing.
    fn reload(&mut self) {
        self.counters.reloads += 1;
        match self.reserve.lend(|| Config::read(&self.path)) {
            Ok(config) => {
                log_line!(always "reloaded: the journal is at {}", config.file.journal);
                self.discovery.set_address(self.clock.now(), config.file.journal);
            }
            Err(failure) => log_line!(always "not reloaded: {failure}"),
        }
        self.read_operator();
    }

    /// Answers all that is still open as failed: what it came to is not known in time.
    ///
    /// Guards against requests that would be left without an answer when the platform kills.
    fn fail_open(&mut self) {
        let open: Vec<Ticket> = self.requests.held.keys().copied().collect();
        for ticket in open {
            let now = self.clock.now();
            self.finish(ticket, Final::Failed, ResponsePayload::Empty);
            if let Some(beyond) = &mut self.beyond {
                beyond.gateway.gone(now, ticket);
            }
            let orders = self.decider.report(now, News::Left(ticket));
            self.carry_out(orders, ResponsePayload::Empty);
        }
    }

    /// The last turns: all that is open is answered, and the answers may leave.
    fn leave(&mut self) {
        self.fail_open();
        let now = self.clock.now();
        self.run = Run::Leaving(now + self.limits.stop_last);
        let mut said = Vec::new();
        // What has arrived by now is owed an answer.
        self.downstreams.read_all(now, &mut said);
        self.hear(said);
        self.settle();
        let mut said = Vec::new();
        self.downstreams.close_finished(now, &mut said);
        self.hear(said);
    }

    /// Whether everybody has taken the last words, or had the time to.
    fn left(&mut self) -> bool {
        let Run::Leaving(until) = self.run else { return false };
        let now = self.clock.now();
        let mut said = Vec::new();
        self.downstreams.close_finished(now, &mut said);
        self.hear(said);
        self.downstreams.len() == 0 || now >= until
    }

    fn print_counters(&self) {
        let counts = self.downstreams.counts;
        let counters = Counters {
            clients: counts.accepted,
            malformed: counts.malformed,
            silent: counts.silent,
            made_room: counts.displaced,
            taken_back: counts.withdrawn,
            connects: self.upstreams.connects,
            journal_lost: self.discovery.lost,
            ..self.counters
        };
        let (open, out, buffers) = (self.decider.owed(), self.upstreams.in_flight(), self.buffers.in_use());
        let (clients, peers) = (self.downstreams.len(), self.upstreams.endpoint_count());
        let connections = self.upstreams.connection_count();
        let links = self.beyond.as_ref().map_or(String::new(), |beyond| {
            let Links { accepted, bytes: [came, went], .. } = &beyond.links;
            format!(
                " links={} links_accepted={accepted} link_bytes_in={came} link_bytes_out={went}",
                beyond.links.len()
            )
        });
        let fleet = self.fleet.as_ref().map_or(String::new(), |fleet| format!(" {fleet}"));
        let watched = self.decider.watched().map_or(String::new(), |watched| format!(" {watched}"));
        let (number, came, went) =
            (self.discovery.position(), self.discovery.bytes_in, self.discovery.bytes_out);
        log_line!(always "{counters} journal_number={number} journal_bytes_in={came} journal_bytes_out={went} \
            held_clients={clients} held_caches={peers} held_connections={connections} \
            open={open} out={out} buffers={buffers}{links}{fleet}{watched}");
    }

    /// Whether all that was taken is answered, and nothing more is expected.
    fn done(&self) -> bool {
        let Run::Stopping(since) = self.run else { return false };
        let passed = self.clock.now() - since;
        // What is at another site is owed by the gateway and not by the decider.
        let across = self.crosses() && self.requests.len() > 0;
        let answered = self.decider.owed() == 0 && !across && self.downstreams.is_settled();
        passed >= self.limits.stop_most || (passed >= self.limits.stop_least && answered)
    }
}

impl EventHandler for Router {
    fn accept_clients(&mut self, listener: &TcpListener) -> bool {
        let mut said = Vec::new();
        let room = self.downstreams.accept(self.clock.now(), listener, &mut said);
        self.hear(said);
        self.settle();
        room
    }

    fn on_client_ready(&mut self, id: ClientId, readiness: Readiness) {
        let now = self.clock.now();
        let mut said = Vec::new();
        if readiness.writable {
            self.downstreams.flush(now, id, &mut said);
        }
        if readiness.readable || readiness.error {
            self.downstreams.read(now, id, &mut said);
        }
        self.hear(said);
        let mut said = Vec::new();
        self.downstreams.flush(now, id, &mut said);
        self.hear(said);
        self.settle();
    }

    fn on_upstream_ready(&mut self, id: u64, readiness: Readiness) {
        self.upstreams.on_ready(self.clock.now(), id, readiness);
        self.settle();
    }

    fn on_discovery_ready(&mut self, readiness: Readiness) {
        let entries = self.discovery.on_ready(self.clock.now(), readiness);
        self.learn(entries);
        self.settle();
    }

    fn accept_commands(&mut self, listener: &UnixListener) -> bool {
        let now = self.clock.now();
        self.control.as_mut().is_none_or(|control| control.accept(now, listener))
    }

    fn accept_links(&mut self, listener: &TcpListener) -> bool {
        let now = self.clock.now();
        let beyond = self.beyond.as_mut();
        let room = beyond.is_none_or(|beyond| beyond.links.accept(now, listener, &mut beyond.gateway));
        self.carry_beyond();
        room
    }

    fn on_link_ready(&mut self, id: u64, readiness: Readiness) {
        self.link_is_ready(id, readiness);
        self.settle();
    }

    fn on_command_ready(&mut self, id: u64) {
        let question = self.control.as_mut().and_then(|control| {
            control.flush(id);
            control.read(id)
        });
        let Some(question) = question else { return };
        let answer = self.reply(question);
        if let Some(control) = &mut self.control {
            control.answer(id, &answer);
        }
        self.tell_feeds();
    }
}

/// Reads the operator file at the start, in a process beside this one.
fn operator(file: &Path) -> Result<Operator, Failure> {
    let program = cli::program().map_err(|failed| failed.text().to_string())?;
    let operator = apart::run(&program, Kind::Operator, file).and_then(|bytes| apart::operator(file, &bytes));
    Ok(operator?)
}

/// The signals that a process of routers takes.
const SIGNALS: [Signal; 4] = [Signal::SIGTERM, Signal::SIGINT, Signal::SIGUSR1, Signal::SIGHUP];

fn run(arguments: &cli::Run) -> Result<(), Failure> {
    let file = arguments.operator.clone();
    let operator = file.map(|file| operator(&file).map(|operator| (file, operator))).transpose()?;
    log::begin(operator.as_ref().and_then(|(_, operator)| operator.log).is_some_and(|log| log.json));
    let path = std::env::var_os("LB_CONFIG").ok_or("LB_CONFIG names no configuration")?;
    let path = PathBuf::from(path);
    let config = Config::read(&path)?;
    if config.limits.descriptors < config.file.sockets() {
        log_line!(
            always "the configuration promises {} descriptors, the system gives {}",
            config.file.sockets(), config.limits.descriptors
        );
    }
    let events: EventLoop<'static, Router> = EventLoop::try_new()?;
    let signals = Signals::new(&SIGNALS)?;
    let signalled = |event: calloop::signals::Event, _: &mut (), router: &mut Router| {
        router.signalled(event.signal());
    };
    events.handle().insert_source(signals, signalled).map_err(|wrong| wrong.error)?;
    serve(events, &path, config, operator)
}

/// Has a router work on this thread, by a loop that its signals come in by already, until it has ended as it should.
fn serve(
    mut events: EventLoop<'static, Router>,
    path: &Path,
    config: Config,
    operator: Option<(PathBuf, Operator)>,
) -> Result<(), Failure> {
    let written = operator.as_ref().and_then(|(_, operator)| operator.log);
    log::hold_to(written.map_or(config.limits.log_lines, |log| log.lines_per_second));
    let mut router = Router::new(path, config, operator, &events.handle())?;
    while !router.done() {
        events.dispatch(router.rest(), &mut router)?;
        router.tick();
    }
    router.leave();
    while !router.left() {
        events.dispatch(router.rest(), &mut router)?;
        router.tick();
    }
    // Nothing new comes in any more: what the account says last is the last.
    let (now, mut said) = (router.clock.now(), Vec::new());
    router.downstreams.close_all(now, &mut said);
    router.hear(said);
    router.fail_open();
    if router.fleet.is_some() {
        // Fellows hear how it ended; a few turns for the bytes to leave.
        router.end_account();
        for _ in 0..4 {
            events.dispatch(Duration::from_millis(5), &mut router)?;
            router.tick();
        }
    }
    router.print_counters();
    Ok(())
}

fn main() -> ExitCode {
    let said = Cli::parse();
    let ended = match said.command {
        None => run(&said.run),
        Some(Command::Run(arguments)) => run(&arguments),
        Some(Command::Hollow { configs }) => hollow::run(&configs),
        Some(command) => {
            return match cli::carry_out(&command) {
                Ok(text) => {
                    // Whoever reads it may have seen enough.
                    let _ = std::io::Write::write_all(&mut std::io::stdout(), text.as_bytes());
                    ExitCode::SUCCESS
                }
                Err(failed) => {
                    let _ = std::io::Write::write_all(
                        &mut std::io::stderr(),
                        format!("{}\n", failed.text()).as_bytes(),
                    );
                    failed.code()
                }
            };
        }
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            log::begin(false);
            log_line!(always "{failure}");
            ExitCode::FAILURE
        }
    }
}
