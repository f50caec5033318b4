//! Owns the router's side of the hierarchy: what the decider may choose from, and what becomes of the fills that it
//! has chosen on their way to the sockets.
//!
//! Must never choose a source, send an attempt twice, or keep one waiting that was taken back.

use std::collections::HashMap;

use linnethook_hierarchy::history::Snapshot;
use linnethook_hierarchy::named::{BatchSpec, ChangeSpec, Names, NodeSpec, PlanSpec};
use linnethook_hierarchy::passed::Passed;
use linnethook_hierarchy::shield::{Priority, Released, Verdict};
use linnethook_hierarchy::stages::Stage;
use linnethook_hierarchy::{
    Author, Brought, EndpointPhase, Feeds, Heard, Hierarchy, Hop, NodeId, Picked, Role, Serial, Source, View,
};
use linnethook_operator_config::config::HierarchyConfig;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::caches::{Ended, Ordered, Way};
use crate::decider::{Attempt, End, How, Lists, Ms, Place, Ticket};
use crate::log::log_line;
use crate::told::{Hosts, Target};

/// What is known of the request that it is for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Asked {
    pub object: u64,
    pub part: u32,
    pub write: bool,
    pub bytes: f64,
    /// Within what time it is wanted, and since when.
    pub aim: Ms,
    pub since: Ms,
}

/// What is to be done with an attempt now.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    Send(Ordered, Option<Way>),
    /// It is not sent: it waited for its fill since then, and may not go.
    TurnBack(Ordered, Ms),
}

/// A fill that went.
#[derive(Debug, Clone, Copy)]
struct Out {
    child: NodeId,
    source: NodeId,
    aim: Ms,
    /// It asks only for what is held, and passed no shield.
    held: bool,
}

#[derive(Debug)]
struct Waiting {
    ordered: Ordered,
    asked: Asked,
    since: Ms,
}

/// What came of a change that somebody wanted.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    Done(BatchSpec),
    No(String),
}

pub struct Upstream {
    hierarchy: Hierarchy,
    names: Names,
    /// The author of the operator file's batches, and that of the control socket's.
    file: Author,
    socket: Author,
    /// Whether nodes understand more than the platform's protocol.
    extended: bool,
    waiting: HashMap<Attempt, Waiting>,
    out: HashMap<Attempt, Out>,
    /// When the clients of requests that were held back had better come again.
    come_back: HashMap<Ticket, Ms>,
    /// When `tick` has something to do next.
    due: Ms,
    /// Batches that were taken here and that fellows are to hear of, if there are any.
    news: Option<Vec<BatchSpec>>,
    /// Stages that were entered, by the node that children go over to, for the account of it.
    entered: Vec<(u64, u8)>,
}

/// Batches that wait to be passed on.
const NEWS: usize = 1_024;

/// One name for both numbers: the shield knows attempts, not requests.
fn ticket(attempt: Attempt) -> u64 {
    attempt.ticket << 8 | u64::from(attempt.number)
}

fn attempt(ticket: u64) -> Attempt {
    Attempt { ticket: ticket >> 8, number: (ticket & 255) as u8 }
}

fn node(place: Place) -> NodeId {
    NodeId(place.number())
}

fn lists(feeds: &Feeds) -> Lists {
    let all = |list: &[Source]| list.iter().map(|s| (Place::from_number(s.node.0), s.rank)).collect();
    Lists { now: all(&feeds.now), before: all(&feeds.before), part: feeds.part, salt: feeds.salt }
}

/// The author of a router's control socket: half of the numbers are for these. Each start is another one, since none
/// remembers how far the one before it had counted.
fn socket_author(router: &str, start: Ms) -> Author {
    Author(0x8000 | (xxh3_64_with_seed(router.as_bytes(), (start * 1_000.0) as u64) as u16))
}

impl Upstream {
    /// Begins with the shape of the operator file, which is there since ever.
    pub fn new(now: Ms, router: &str, settings: &HierarchyConfig) -> Result<Self, String> {
        let mut upstream = Self {
            hierarchy: Hierarchy::new(settings.parameters),
            names: Names::default(),
            file: Author(settings.author),
            socket: socket_author(router, now),
            extended: settings.extended,
            waiting: HashMap::new(),
            out: HashMap::new(),
            come_back: HashMap::new(),
            due: now,
            news: None,
            entered: Vec::new(),
        };
        if !settings.nodes.is_empty() {
            let changes = upstream.names.difference(upstream.hierarchy.shape(), &settings.nodes);
            // The same at all routers that read the same file.
            let batch = upstream.hierarchy.draft(upstream.file, 0.0, changes);
            upstream.take(now, batch)?;
        }
        Ok(upstream)
    }

    // ---- Changes.

    fn take(&mut self, now: Ms, batch: linnethook_hierarchy::Batch) -> Result<(), String> {
        let serial = batch.serial;
        self.due = now;
        // What the operator file says each router reads by itself.
        if let Some(news) = self.news.as_mut().filter(|news| serial.author != self.file && news.len() < NEWS)
        {
            news.push(self.names.spec(&batch));
        }
        match self.hierarchy.hear(now, batch) {
            Heard::Taken(_) => match self.hierarchy.history().verdict(serial) {
                Some(Err(refusal)) => Err(refusal.to_string()),
                _ => Ok(()),
            },
            Heard::Repeated => Ok(()),
            Heard::Waiting(missing) => {
                Err(format!("it waits for batch {} of author {}", missing.number, missing.author.0))
            }
            Heard::Unusable(wrong) => Err(wrong.to_string()),
        }
    }

    /// The operator file was read again: what differs from the present shape is one batch.
    pub fn reload(&mut self, now: Ms, nodes: &[NodeSpec]) -> Result<usize, String> {
        let changes = self.names.difference(self.hierarchy.shape(), nodes);
        let count = changes.len();
        if count > 0 {
            let batch = self.hierarchy.draft(self.file, now, changes);
            self.take(now, batch)?;
            self.names.retain(self.hierarchy.shape());
        }
        Ok(count)
    }

    /// A batch that another has written.
    pub fn hear(&mut self, now: Ms, spec: &BatchSpec) -> Result<(), String> {
        let batch = self.names.batch(spec);
        let taken = self.take(now, batch);
        self.names.retain(self.hierarchy.shape());
        taken
    }

    /// A batch that a fellow has passed on; what is wrong with it, unless it only waits for others.
    pub fn hear_of(&mut self, now: Ms, spec: &BatchSpec) -> Result<(), String> {
        let batch = self.names.batch(spec);
        let serial = batch.serial;
        let heard = self.take(now, batch);
        self.names.retain(self.hierarchy.shape());
        let waits = |(waiting, _): (Serial, Serial)| waiting == serial;
        if heard.is_err() && self.hierarchy.history().waiting().any(waits) {
            return Ok(());
        }
        heard
    }

    /// The whole shape with its place in the history, for a fellow that is too far behind.
    pub fn snapshot(&self) -> Vec<u8> {
        let (nodes, sites) = self.names.all();
        postcard::to_stdvec(&(self.hierarchy.snapshot(), nodes, sites)).unwrap_or_default()
    }

    /// Takes a fellow's whole shape over, where it is newer than what is here. All of it or nothing.
    pub fn adopt(&mut self, now: Ms, bytes: &[u8]) -> Result<(), String> {
        let (snapshot, nodes, sites) = postcard::from_bytes::<(Snapshot, Vec<String>, Vec<String>)>(bytes)
            .map_err(|wrong| wrong.to_string())?;
        let before = self.acts_on();
        if snapshot.version() < before.0 {
            return Err(format!("it is at version {}, this router at {}", snapshot.version(), before.0));
        }
        self.hierarchy.adopt(now, snapshot).map_err(|wrong| wrong.to_string())?;
        self.names.learn(&nodes, &sites);
        self.names.retain(self.hierarchy.shape());
        self.due = now;
        Ok(())
    }

    /// Batches are to be passed on to fellows from now on.
    pub fn tells_fellows(&mut self) {
        self.news.get_or_insert_default();
    }

    /// Batches to be passed on.
    pub fn news(&mut self) -> Vec<BatchSpec> {
        self.news.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Stages that were entered.
    pub fn entered(&mut self) -> Vec<(u64, u8)> {
        std::mem::take(&mut self.entered)
    }

    /// The version and the digest of the shape.
    pub fn acts_on(&self) -> (u64, u64) {
        (self.hierarchy.version(), self.hierarchy.shape().digest())
    }

    /// What changes would do now.
    pub fn plan(&mut self, now: Ms, changes: &[ChangeSpec]) -> Result<PlanSpec, String> {
        let read = self.names.changes(changes);
        let batch = self.hierarchy.draft(self.socket, now, read);
        let plan = self.hierarchy.plan(now, &batch).map(|plan| self.names.plan(&plan));
        self.names.retain(self.hierarchy.shape());
        plan.map_err(|wrong| wrong.to_string())
    }

    /// Has changes take effect, as a batch of this router's control socket.
    pub fn apply(&mut self, now: Ms, changes: Vec<ChangeSpec>) -> Applied {
        let read = self.names.changes(&changes);
        let batch = self.hierarchy.draft(self.socket, now, read);
        let spec = self.names.spec(&batch);
        let applied = match self.take(now, batch) {
            Ok(()) => Applied::Done(spec),
            Err(why) => Applied::No(why),
        };
        self.names.retain(self.hierarchy.shape());
        applied
    }

    /// Takes a batch back: its stages at once, and what it wrote by a batch of its own.
    pub fn roll_back(&mut self, now: Ms, author: u16, number: u64) -> Result<usize, String> {
        let serial = Serial { author: Author(author), number };
        let changes = self.hierarchy.roll_back(now, serial);
        let changes = changes.ok_or("no such batch is kept, or it was not applied")?;
        let count = changes.len();
        let batch = self.hierarchy.draft(self.socket, now, changes);
        self.take(now, batch).map(|()| count)
    }

    pub fn view(&self, now: Ms) -> View {
        self.hierarchy.view(now)
    }

    pub fn nodes(&self) -> Vec<NodeSpec> {
        self.names.nodes(self.hierarchy.shape())
    }

    /// A node's name, by its number.
    pub fn name(&self, id: u64) -> String {
        self.names.of(NodeId(id))
    }

    // ---- What the decider is told.

    /// Lines of the list of caches. `own` says which stand in this router's location. What waits for one that may
    /// not be used any more comes back.
    pub fn hosts(&mut self, now: Ms, hosts: &Hosts, own: impl Fn(&Target) -> bool) -> Vec<Step> {
        let mut back = Vec::new();
        self.due = now;
        for target in &hosts.targets {
            let place = Place::of(&target.uid);
            let phase = match (target.ready(), target.gone()) {
                (true, _) => EndpointPhase::Ready,
                (_, true) => EndpointPhase::Removed,
                _ => EndpointPhase::Draining,
            };
            let (entered, withdrawn) = self.hierarchy.listed(now, node(place), phase, target.started());
            self.note(&entered);
            back.extend(withdrawn.into_iter().filter_map(|ticket| self.turn_back(attempt(ticket))));
            if phase != EndpointPhase::Ready {
                let to_it: Vec<Attempt> = (self.waiting.iter())
                    .filter(|(_, waiting)| waiting.ordered.place == place)
                    .map(|(attempt, _)| *attempt)
                    .collect();
                for attempt in to_it {
                    self.hierarchy.forget(ticket(attempt));
                    back.extend(self.turn_back(attempt));
                }
            }
            let is_cache = self.hierarchy.shape().node(node(place)).is_none_or(|n| n.role == Role::Cache);
            if phase != EndpointPhase::Removed && is_cache && own(target) {
                self.hierarchy.watch(now, node(place));
            }
        }
        back
    }

    /// The sources that caches may be filled from, where these are other ones than were told last.
    pub fn changed(&mut self, now: Ms) -> Vec<(Place, Lists)> {
        let changed = self.hierarchy.changed_feeds(now);
        changed.into_iter().map(|(id, feeds)| (Place::from_number(id.0), lists(&feeds))).collect()
    }

    fn note(&mut self, entered: &[linnethook_hierarchy::stages::Entered]) {
        for entered in entered {
            if self.news.is_some() && self.entered.len() < NEWS {
                let stage = match entered.stage {
                    Stage::Planned => 0,
                    Stage::Announced => 1,
                    Stage::Warming => 2,
                    Stage::Settled => 3,
                    Stage::RolledBack(_) => 4,
                };
                self.entered.push((entered.id.to.0, stage));
            }
            let (to, serial) = (self.names.of(entered.id.to), entered.id.by.serial());
            log_line!(
                to,
                author = serial.author.0,
                number = serial.number,
                stage = ?entered.stage,
                for_good = entered.for_good,
                "hierarchy: a change enters its next stage"
            );
        }
    }

    // ---- Fills.

    /// A fill by an edge that can't be vouched for: only what is held will do.
    pub fn held_alone(&mut self, now: Ms, ordered: Ordered, asked: Asked, come_back: Ms) -> Step {
        self.only_held(now, ordered, asked, come_back)
    }

    /// Whether an attempt may have a cache fill.
    pub fn fills(&self, ordered: &Ordered) -> bool {
        !ordered.filling.only_held && self.ends(ordered).is_some()
    }

    /// What is to be done with an attempt; `None` where it waits.
    pub fn admit(&mut self, now: Ms, mut ordered: Ordered, asked: Asked) -> Option<Step> {
        // Renewals come last: what can still be served as it is waits for better times.
        ordered.filling.renew &= !self.hierarchy.is_short(now);
        let Some((child, source)) = self.ends(&ordered) else { return Some(Step::Send(ordered, None)) };
        let priority = if asked.write { Priority::Booking } else { Priority::Demand };
        let left = asked.since + asked.aim - now;
        let picked = Picked {
            ticket: ticket(ordered.attempt),
            child,
            source,
            object: asked.object,
            key: xxh3_64_with_seed(&asked.object.to_le_bytes(), u64::from(asked.part)),
            priority,
            bytes: asked.bytes,
            joins: ordered.filling.join,
            // Half of what is left of the wanted time, so that there is some left to be served in.
            patience: (left / 2.0).max(0.0),
        };
        // What a source holds costs the tiers above nothing.
        if ordered.filling.only_held {
            return Some(self.send(now, ordered, asked, true));
        }
        match self.hierarchy.send(now, &picked) {
            Verdict::Go => Some(self.send(now, ordered, asked, false)),
            Verdict::Wait { .. } => {
                self.waiting.insert(ordered.attempt, Waiting { ordered, asked, since: now });
                self.due = self.due.min(self.hierarchy.next(now));
                None
            }
            Verdict::Over { come_back, .. } => Some(self.only_held(now, ordered, asked, come_back)),
        }
    }

    /// Who fills, and from where; nothing where no fill may take place.
    fn ends(&self, ordered: &Ordered) -> Option<(NodeId, NodeId)> {
        let (child, source) = (node(ordered.place), ordered.filling.source.map(node));
        let shape = self.hierarchy.shape();
        match source {
            // A sibling gives what it holds: no tier above is asked.
            Some(source) if shape.node(source).is_some_and(|n| n.role != Role::Cache) => {
                Some((child, source))
            }
            Some(_) => None,
            // Straight to a parent or the origin.
            None if shape.node(child).is_some_and(|n| n.role != Role::Cache) => Some((child, child)),
            None => None,
        }
    }

    fn send(&mut self, now: Ms, ordered: Ordered, asked: Asked, held: bool) -> Step {
        if let Some((child, source)) = self.ends(&ordered) {
            self.out.insert(ordered.attempt, Out { child, source, aim: asked.aim, held });
        }
        let way = self.way(now, &ordered, asked.object, held);
        Step::Send(ordered, way)
    }

    /// It may not fill: what is held will do, also an ageing copy, at the source and beside it.
    fn only_held(&mut self, now: Ms, mut ordered: Ordered, asked: Asked, come_back: Ms) -> Step {
        let filling = &mut ordered.filling;
        filling.only_held = true;
        filling.renew = false;
        if filling.ageing > 0.0 {
            filling.max_age = filling.ageing;
        }
        self.come_back.insert(ordered.attempt.ticket, come_back);
        self.send(now, ordered, asked, true)
    }

    /// What goes with a fill where nodes understand it.
    fn way(&self, now: Ms, ordered: &Ordered, object: u64, held: bool) -> Option<Way> {
        let source = ordered.filling.source.filter(|_| self.extended)?;
        let passed = Passed::new(self.hierarchy.version());
        let hops = self.hierarchy.way(now, node(ordered.place), node(source), object);
        let named = |hop: &Hop| {
            let name = self.names.of(hop.node);
            if hop.only_held {
                format!("{name}:h")
            } else {
                name
            }
        };
        let via = hops.iter().filter(|hop| !held || hop.only_held).map(named).collect();
        Some(Way { passed: passed.to_string(), via })
    }

    /// How an attempt ended that went.
    pub fn ended(&mut self, now: Ms, ended: &Ended) -> Vec<Step> {
        let ending = &ended.ending;
        let Some(out) = self.out.remove(&ending.attempt) else { return Vec::new() };
        if let Some((from, to, version)) = &ended.round {
            self.came_round(now, &out, from, to, *version);
        }
        if out.held {
            return Vec::new();
        }
        let late = ending.took > out.aim;
        let brought = match (ending.end, ending.how) {
            (End::Answered, Some(How::Filled)) => Brought::Held,
            (End::Answered, Some(How::FilledByOrigin)) => Brought::FromOrigin,
            (End::Answered, Some(How::Hit | How::Stale)) => Brought::NoFill,
            (End::Answered, _) => Brought::Somehow,
            (End::Cancelled | End::Moot, _) | (_, Some(How::NoPlace | How::CameRound)) => Brought::Unknown,
            // It never reached the cache, or the cache did not take it: the source was not asked.
            (End::Unreached, _) | (End::Full, None) => Brought::Unknown,
            _ => Brought::Nothing,
        };
        let released = self.hierarchy.ended(now, ticket(ending.attempt), brought, late);
        self.go_on(now, released)
    }

    /// Holds back the edge on which a fill came round. Where that is none of this shape, its nodes go by another one,
    /// and this router can only leave the source by which it got there.
    fn came_round(&mut self, now: Ms, out: &Out, from: &str, to: &str, version: u64) {
        let id = |name: &str| NodeId(Place::of(name).number());
        let known = self.hierarchy.shape().allows(id(from), id(to));
        let (a, b) = if known { (id(from), id(to)) } else { (out.child, out.source) };
        self.due = now;
        self.hierarchy.came_round(now, a, b, version);
        log_line!(from, to, version, "hierarchy: a fill came round; an edge is held back for a while");
    }

    fn go_on(&mut self, now: Ms, released: Vec<Released>) -> Vec<Step> {
        let mut steps = Vec::new();
        for word in released {
            let Some(waiting) = self.waiting.remove(&attempt(word.ticket)) else { continue };
            let Waiting { mut ordered, asked, since } = waiting;
            ordered.timeout -= now - since;
            steps.push(match word.verdict {
                Verdict::Over { come_back, .. } => self.only_held(now, ordered, asked, come_back),
                Verdict::Go | Verdict::Wait { .. } => self.send(now, ordered, asked, false),
            });
        }
        steps
    }

    fn turn_back(&mut self, attempt: Attempt) -> Option<Step> {
        let waiting = self.waiting.remove(&attempt)?;
        Some(Step::TurnBack(waiting.ordered, waiting.since))
    }

    /// An attempt is called off. Where it waits here it goes no further, and ends.
    pub fn cancel(&mut self, attempt: Attempt) -> Option<Step> {
        if self.waiting.contains_key(&attempt) {
            self.hierarchy.forget(ticket(attempt));
        }
        self.turn_back(attempt)
    }

    /// Nobody waits for a request any more: what of it waits here goes no further, also where settings forbid calling
    /// off. There is nothing at a cache yet.
    pub fn left(&mut self, left: Ticket) -> Vec<Ordered> {
        let mut of: Vec<Attempt> = self.waiting.keys().copied().filter(|a| a.ticket == left).collect();
        of.sort_unstable();
        let mut ordered = Vec::new();
        for attempt in of {
            self.hierarchy.forget(ticket(attempt));
            ordered.extend(self.waiting.remove(&attempt).map(|waiting| waiting.ordered));
        }
        ordered
    }

    /// When a client that is refused had better come back; said once.
    pub fn come_back(&mut self, ticket: Ticket) -> Option<Ms> {
        self.come_back.remove(&ticket)
    }

    /// Whether `tick` has something to do.
    pub fn is_due(&self, now: Ms) -> bool {
        now >= self.due
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Ms) -> Vec<Step> {
        let (released, entered) = self.hierarchy.tick(now);
        self.due = self.hierarchy.next(now);
        self.note(&entered);
        self.go_on(now, released)
    }

    /// When `tick` is due.
    pub fn next(&self) -> Ms {
        self.due
    }

    /// Attempts that wait, and fills that are out.
    pub fn kept(&self) -> (usize, usize) {
        (self.waiting.len(), self.out.len())
    }
}

#[cfg(test)]
#[path = "../tests/unit/upstream.rs"]
mod tests;
