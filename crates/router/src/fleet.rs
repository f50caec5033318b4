//! Owns what the router tells its fellows and hears of them: the way between their terms and the router's.
//!
//! Drains, purges and batches that fellows know first count here too, by the journal's numbers. Must never take a
//! fellow's word over the own journal's where that is as new, nor make a cache usable that the own journal bars.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::path::Path;

use linnethook_audit::record::{Act, Booking, BookingEnd};
use linnethook_fellows::fact::{Acts, CacheLine, Key, Purge};
use linnethook_fellows::fellows::{Action as Errand, Fellows as Core, Note};
use linnethook_fellows::fetch::{pieces, Fetch};
use linnethook_fellows::members::Change;
use linnethook_fellows::query::Asked;
use linnethook_fellows::straggler::{Seen, State, Straggler, Why};
use linnethook_hierarchy::named::BatchSpec;
use linnethook_operator_config::config::ClusterConfig;
use xxhash_rust::xxh3::xxh3_64;

use crate::account::{Auditor, Words};
use crate::caches::Ordered;
use crate::control::{Answer, Detail, FleetShown};
use crate::decider::{End, Final, Ms, Place};
use crate::log::log_line;
use crate::told::{Entry, Expire, Hosts, Target};
use crate::Router;

/// How often it is looked at what this router acts on, and who is behind.
const LOOK: Ms = 200.0;

pub struct Fleet {
    core: Core,
    acts: Acts,
    looked: Ms,
    /// The caches of the own list, as the journal has them.
    targets: BTreeMap<String, Target>,
    /// Those that fellows call drained, by the journal's numbers.
    barred: BTreeMap<String, u64>,
    drains: u64,
    purges: u64,
    batches: u64,
    audit: Option<Auditor>,
    straggler: Option<Behind>,
    /// Fellows that there is a link with.
    linked: BTreeSet<String>,
    fetch: Fetch,
    /// Snapshots that were taken over.
    adopted: u64,
    /// What sites elsewhere answered to questions that were asked here, the newest last; nothing where none has yet.
    asked: VecDeque<(u64, Option<Detail>)>,
}

/// Questions whose answers are kept.
const ASKED: usize = 16;

/// Words between fellows beside those of accounts: a snapshot is wanted, and a piece of one.
const WANT_SHAPE: u8 = 0xf4;
const SHAPE: u8 = 0xf5;

/// Whether this router is behind.
struct Behind {
    voters: Vec<String>,
    core: Straggler,
    /// Since when no fellow is within reach.
    alone: Option<Ms>,
    /// Requests and fills that were not done for it.
    shut_out: u64,
}

fn voters(fellows: &ClusterConfig) -> &[String] {
    fellows.straggler.as_ref().map_or(&[], |part| &part.voters)
}

impl Fleet {
    pub fn new(now: Ms, name: &str, fellows: &ClusterConfig, settings: u64, operator: u64) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        let acts = Acts { build, settings, operator, ..Acts::default() };
        // The same start as the gateway's.
        let start = (now * 1_000.0) as u64;
        let core = Core::new(now, fellows.parameters, name, start, acts.clone());
        let mut core = core.at(now, fellows.place.clone());
        core.roll(voters(fellows));
        let audit = fellows.audit.as_ref().map(|part| {
            let folder = part.directory.as_deref().map(Path::new);
            Auditor::new(now, core.clock.stamp(now), part.parameters, folder, (name, start), acts.clone())
        });
        let straggler = fellows.straggler.as_ref().map(|part| Behind {
            voters: part.voters.clone(),
            core: Straggler::new(part.parameters),
            alone: Some(now),
            shut_out: 0,
        });
        Self {
            core,
            acts,
            looked: now - LOOK,
            targets: BTreeMap::new(),
            barred: BTreeMap::new(),
            drains: 0,
            purges: 0,
            batches: 0,
            audit,
            straggler,
            linked: BTreeSet::new(),
            fetch: Fetch::new(fellows.parameters.fetch),
            adopted: 0,
            asked: VecDeque::new(),
        }
    }

    /// The operator file was read again. What was not there at the start begins with the next one.
    pub fn set(&mut self, fellows: &ClusterConfig, operator: u64) {
        self.acts.operator = operator;
        self.core.set(fellows.parameters);
        self.core.roll(voters(fellows));
        if self.core.place() != fellows.place.as_ref() {
            log_line!(always "fellows: a place counts from the next start on");
        }
        self.fetch.set(fellows.parameters.fetch);
        self.core.acts(&self.acts);
        if let (Some(audit), Some(part)) = (&mut self.audit, &fellows.audit) {
            audit.set(part.parameters);
        }
        if let (Some(behind), Some(part)) = (&mut self.straggler, &fellows.straggler) {
            behind.voters.clone_from(&part.voters);
            behind.core.set(part.parameters);
        }
    }

    pub fn next(&self, now: Ms) -> Ms {
        let audit = self.audit.as_ref().map(Auditor::next);
        let due = audit.unwrap_or(f64::INFINITY).min(self.core.next(now)).min(self.looked + LOOK);
        due.max(now)
    }

    // ---- The account.

    fn act(&mut self, now: Ms, act: Act) {
        if let Some(audit) = &mut self.audit {
            audit.act(self.core.clock.stamp(now), act);
        }
    }

    /// An attempt was sent, with the request's id.
    pub fn sent(&mut self, now: Ms, ordered: &Ordered, id: &str, write: bool) {
        let Some(audit) = &mut self.audit else { return };
        let at = self.core.clock.stamp(now);
        let to = ordered.place.number();
        match write {
            true => audit.booking(Booking { id: id.to_string(), number: ordered.attempt.number, to, at }),
            false => audit.act(at, Act::Attempt { to }),
        }
        if let Some(source) = ordered.filling.source.filter(|_| !ordered.filling.only_held) {
            audit.act(at, Act::Fill { child: to, source: source.number() });
        }
    }

    /// How an attempt of what must not run twice ended.
    pub fn write_ended(&mut self, now: Ms, id: &str, number: u8, end: End) {
        let Some(audit) = &mut self.audit else { return };
        let how = end.name().to_string();
        audit.booking_ended(BookingEnd { id: id.to_string(), number, how, at: self.core.clock.stamp(now) });
    }

    /// A client was answered so.
    pub fn answered(&mut self, now: Ms, answer: Final) {
        match answer {
            Final::Refused { .. } => self.act(now, Act::Refused),
            Final::Failed => self.act(now, Act::Failed),
            Final::Served => {}
        }
    }

    fn account(&mut self, now: Ms, ends: bool) {
        let Some(audit) = &mut self.audit else { return };
        if !ends && !audit.is_due(now, &self.acts, &self.linked) {
            return;
        }
        let at = self.core.clock.stamp(now);
        let words = match ends {
            true => audit.end(now, at, &self.linked),
            false => audit.tick(now, at, &self.acts, &self.linked),
        };
        self.send(words);
    }

    fn send(&mut self, words: Words) {
        for (to, kind, bytes) in words {
            self.core.send(&to, kind, bytes);
        }
    }

    // ---- Stragglers.

    /// Looks whether this router, or another one, is behind.
    fn look(&mut self, now: Ms, journal: Ms) {
        let Some(behind) = &mut self.straggler else { return };
        let floor = self.core.floor(&behind.voters);
        self.core.hold(now, floor, behind.core.rule().bound);
        behind.alone = if self.core.hears_somebody() { None } else { Some(behind.alone.unwrap_or(now)) };
        let seen = Seen { version: self.acts.shape.0, floor, alone: behind.alone, journal };
        if let Some(state) = behind.core.look(now, &seen) {
            let (version, floor) = (seen.version, seen.floor);
            match state {
                State::Well => log_line!(version, floor, "straggler: this router is level with the fleet"),
                State::Late(_) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: this router is at version {version}, below {floor}"
                    );
                }
                State::Out(Why::Behind) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: THIS ROUTER IS SHUT OUT: it is at version {version}, below {floor}"
                    );
                }
                State::Out(Why::Blind) => {
                    log_line!(
                        version,
                        floor,
                        "straggler: THIS ROUTER IS SHUT OUT: it hears no fellow, and its journal is silent"
                    );
                }
                State::Returning(_) => log_line!(version, floor, "straggler: this router comes back"),
            }
        }
    }

    /// When a client may come again whose request this router must not act on now; `None` where it may.
    pub fn shuts_out(&mut self, now: Ms, object: u64) -> Option<Ms> {
        let behind = self.straggler.as_mut()?;
        let part = behind.core.part(now);
        // The same objects all the while that it comes back.
        if part >= 1.0 || (xxh3_64(&object.to_le_bytes()) >> 11) as f64 / ((1u64 << 53) as f64) < part {
            return None;
        }
        behind.shut_out += 1;
        let wait = behind.core.rule().come_back;
        self.act(now, Act::ShutOut);
        Some(wait)
    }

    /// Lines of the own journal at a number: what fellows know of a later one still holds, and what of them is news
    /// is passed on.
    pub fn hosts(&mut self, now: Ms, hosts: &mut Hosts, number: u64) {
        if hosts.all {
            let listed = |name: &String| hosts.targets.iter().any(|target| target.uid == *name);
            self.targets.retain(|name, _| listed(name));
        }
        for target in &mut hosts.targets {
            let name = target.uid.clone();
            let line = CacheLine { ready: target.ready(), gone: target.gone(), started: target.started() };
            let before = self.targets.insert(name.clone(), target.clone());
            if target.gone() {
                self.targets.remove(&name);
            }
            let was_ready = before.is_none_or(|before| before.ready());
            self.acts.drains += u64::from(was_ready && !line.ready);
            let cache = Place::of(&name).number();
            if let Some(audit) = &mut self.audit {
                audit.name(cache, &name);
            }
            if was_ready && !line.ready {
                self.act(now, Act::Drain { cache, number, fellows: false });
            } else if !was_ready && line.ready {
                self.act(now, Act::Back { cache, number, fellows: false });
            }
            // A cache is worth a word once it takes no new work, and once it does again.
            if !line.ready || !was_ready {
                self.core.tell_cache(now, &name, line, number);
            }
            if self.barred.get(&name).is_some_and(|by| *by <= number) {
                self.barred.remove(&name);
            }
            if target.ready() && self.barred.contains_key(&name) {
                target.bar();
            }
        }
    }

    /// The own journal has come that far: up to there it alone counts. The lines of caches that were barred by what
    /// lies before come back.
    fn caught_up(&mut self, number: u64) -> Vec<Target> {
        self.acts.journal = number;
        let past = self.barred.extract_if(.., |_, by| *by <= number);
        let names: Vec<String> = past.map(|(name, _)| name).collect();
        names.iter().filter_map(|name| self.targets.get(name).cloned()).collect()
    }

    /// What a fellow says of a cache by a number of the journal: its line from now on, where that is news here.
    fn line(&mut self, name: &str, line: CacheLine, number: u64) -> Option<Target> {
        if number <= self.acts.journal {
            return None;
        }
        let target = self.targets.get(name)?;
        if !line.ready {
            let new = self.barred.insert(name.to_string(), number).is_none();
            let mut target = target.clone();
            let counts = new && target.ready();
            self.drains += u64::from(counts);
            self.acts.drains += u64::from(counts);
            target.bar();
            return counts.then_some(target);
        }
        // It is back. One that has started anew is cold, and that is for the own journal to tell.
        if line.started != target.started() {
            return None;
        }
        self.barred.remove(name).map(|_| target.clone())
    }
}

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.core.counts;
        write!(
            f,
            "fellows={} fellow_said={} fellow_bytes={} fellow_heard={} fellow_repaired={} fellow_drains={} fellow_purges={} fellow_batches={}",
            self.core.members().iter().count(),
            counts.said,
            counts.said_bytes,
            counts.heard,
            counts.repaired,
            self.drains,
            self.purges,
            self.batches
        )
    }
}

fn purge_key(expire: &Expire) -> Key {
    match &expire.name {
        Some(name) => Key::Object(name.clone()),
        None => Key::Group(expire.set),
    }
}

fn one(target: Target) -> Hosts {
    Hosts { all: false, targets: vec![target] }
}

impl Router {
    /// An event of the own journal: fellows whose own is silent are to hear of it.
    pub fn fleet_hears(&mut self, entry: &Entry) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        if let Some(expire) = &entry.expire {
            fleet.acts.purges += 1;
            fleet.act(now, Act::Purge { number: entry.pos, fellows: false });
            let purge = Purge { stamp: expire.stamp, number: entry.pos };
            fleet.core.tell_purge(now, &purge_key(expire), purge);
        }
    }

    /// A link with a fellow came up, or went down.
    pub fn fellow(&mut self, name: &str, start: u64, up: bool) {
        if let Some(fleet) = &mut self.fleet {
            fleet.core.link(name, start, up);
            fleet.linked = fleet.core.members().links().map(|(name, _)| name.clone()).collect();
        }
    }

    pub fn fellow_said(&mut self, name: &str, key: &[u8], entry: &[u8]) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.core.heard(now, name, key, entry);
        }
    }

    /// This router ends: fellows are told before the links go.
    pub fn leave_fleet(&mut self) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.core.leave(now);
        }
        self.carry_fleet();
    }

    /// All is answered: the account ends here, and those that keep copies are told.
    pub fn end_account(&mut self) {
        let now = self.clock.now();
        if let Some(fleet) = &mut self.fleet {
            fleet.account(now, true);
            fleet.core.leave(now);
        }
        self.carry_fleet();
    }

    /// All of the fleet that is due by now.
    pub fn tick_fleet(&mut self) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        let looks = now - fleet.looked >= LOOK;
        if let Some(upstream) = &mut self.upstream {
            for batch in upstream.news() {
                let body = postcard::to_stdvec(&batch).unwrap_or_default();
                if fleet.core.tell_batch(now, batch.author, batch.number, batch.stamp, body) {
                    let (author, number) = (batch.author, batch.number);
                    fleet.act(now, Act::Batch { author, number, fellows: false });
                }
            }
            for (to, stage) in upstream.entered() {
                fleet.act(now, Act::Stage { to, stage });
            }
            if looks {
                fleet.acts.shape = upstream.acts_on();
                fleet.core.acts(&fleet.acts);
                // Who is ahead though all facts are here has something that is passed on no more.
                if let Some((of, asking)) = fleet.fetch.look(now, &fleet.core.ahead()) {
                    fleet.core.send(&of, WANT_SHAPE, postcard::to_stdvec(&asking).unwrap_or_default());
                }
            }
        }
        let back = fleet.caught_up(self.journal.number());
        fleet.core.acts(&fleet.acts);
        if looks {
            fleet.looked = now;
            fleet.look(now, self.journal.sound_until());
        }
        fleet.account(now, false);
        fleet.core.tick(now);
        for target in back {
            self.take_fellow_line(target);
        }
        self.carry_fleet();
    }

    /// A line of the list as it holds with what fellows know.
    fn take_fellow_line(&mut self, target: Target) {
        let now = self.clock.now();
        let mut hosts = one(target);
        if let Some(beyond) = &mut self.beyond {
            let decider = &self.decider;
            beyond.hosts(now, &mut hosts, |target| decider.is_own(&target.host()));
        }
        self.take_hosts(&hosts);
    }

    /// Does what the core wants done, until it wants nothing more.
    fn carry_fleet(&mut self) {
        loop {
            let now = self.clock.now();
            let (Some(fleet), Some(beyond)) = (&mut self.fleet, &mut self.beyond) else { return };
            let Some(action) = fleet.core.next_action() else { break };
            match action {
                Errand::Say(said) => beyond.gateway.tell_fellows(now, said),
                Errand::Drop(key) => beyond.gateway.drop_fellows(key),
                Errand::Direct(name, said) => beyond.gateway.tell_fellow_alone(&name, said),
                Errand::StandDown => beyond.gateway.leave_fellows(now),
                Errand::Cache { name, line, number } => {
                    if let Some(target) = fleet.line(&name, line, number) {
                        let cache = Place::of(&name).number();
                        fleet.act(
                            now,
                            match line.ready {
                                true => Act::Back { cache, number, fellows: true },
                                false => Act::Drain { cache, number, fellows: true },
                            },
                        );
                        let how = if line.ready { "back" } else { "drained" };
                        log_line!(number, "fellows: {name} is {how}, by the journal as fellows have it");
                        self.take_fellow_line(target);
                    }
                }
                Errand::Purge { key, purge } => {
                    if purge.number > fleet.acts.journal {
                        fleet.purges += 1;
                        fleet.acts.purges += 1;
                        fleet.act(now, Act::Purge { number: purge.number, fellows: true });
                        let (name, set) = match key {
                            Key::Object(name) => (Some(name), 0),
                            Key::Group(set) => (None, set),
                            _ => continue,
                        };
                        let expire = Expire { name, set, stamp: purge.stamp };
                        log_line!(
                            number = purge.number,
                            "fellows: a purge, by the journal as fellows have it"
                        );
                        beyond.expired(now, &expire);
                        self.purged(expire);
                    }
                }
                Errand::Batch(body) => self.fellow_batch(&body),
                Errand::Word { from, kind: WANT_SHAPE, bytes } => {
                    let asking = postcard::from_bytes::<u64>(&bytes);
                    if let (Ok(asking), Some(upstream)) = (asking, &self.upstream) {
                        for piece in pieces(asking, &upstream.snapshot(), fleet.fetch.rule()) {
                            fleet.core.send(&from, SHAPE, postcard::to_stdvec(&piece).unwrap_or_default());
                        }
                    }
                }
                Errand::Word { from, kind: SHAPE, bytes } => {
                    let piece = postcard::from_bytes(&bytes).ok();
                    let whole = piece.and_then(|piece| fleet.fetch.piece(now, &from, &piece));
                    if let Some(whole) = whole {
                        self.adopt(&from, &whole);
                    }
                }
                Errand::Word { from, kind, bytes } => {
                    let words = fleet.audit.as_mut().map(|audit| audit.heard(&from, kind, &bytes));
                    fleet.send(words.unwrap_or_default());
                }
                Errand::Answer { id, place, lines } => {
                    if let Some((_, asked)) = fleet.asked.iter_mut().find(|(asked, _)| *asked == id) {
                        *asked = Some(Detail { place: place.to_string(), routers: lines });
                    }
                }
                Errand::Note(note) => say(&note),
            }
        }
        self.carry_beyond();
    }

    fn fellow_batch(&mut self, body: &[u8]) {
        let now = self.clock.now();
        let (Some(upstream), Some(fleet)) = (&mut self.upstream, &mut self.fleet) else { return };
        let Ok(batch) = postcard::from_bytes::<BatchSpec>(body) else { return };
        let before = upstream.acts_on();
        if let Err(why) = upstream.hear_of(now, &batch) {
            log_line!("fellows: batch {}/{}: {why}", batch.author, batch.number);
        }
        if upstream.acts_on() != before {
            fleet.batches += 1;
            let (author, number) = (batch.author, batch.number);
            fleet.act(now, Act::Batch { author, number, fellows: true });
            log_line!(
                author = batch.author,
                number = batch.number,
                "fellows: a batch was heard from fellows first"
            );
        }
        self.tell_feeds();
    }

    /// A fellow's whole shape is there: this router was too far behind for batches.
    fn adopt(&mut self, from: &str, whole: &[u8]) {
        let now = self.clock.now();
        let (Some(upstream), Some(fleet)) = (&mut self.upstream, &mut self.fleet) else { return };
        match upstream.adopt(now, whole) {
            Ok(()) => {
                fleet.adopted += 1;
                fleet.acts.shape = upstream.acts_on();
                let (version, digest) = fleet.acts.shape;
                log_line!(version, "fellows: the hierarchy was taken over whole from {from}: version {version}, {digest:016x}");
            }
            Err(why) => log_line!("fellows: the hierarchy of {from} was not taken over: {why}"),
        }
        self.tell_feeds();
    }

    pub fn reply_fleet(&mut self) -> Answer {
        let now = self.clock.now();
        let Some(fleet) = &self.fleet else {
            return Answer::No("there are no fellows: the operator file has no fellows()".to_string());
        };
        Answer::Fleet(Box::new(FleetShown {
            fellows: fleet.core.shown(now),
            barred: fleet.barred.iter().map(|(name, number)| (name.clone(), *number)).collect(),
            drains: fleet.drains,
            purges: fleet.purges,
            batches: fleet.batches,
            adopted: fleet.adopted,
            whole: fleet.core.whole(now).map(|whole| whole.routers()),
            set_by: fleet.core.set_by_people().map(|floor| (floor.version, floor.by)),
            state: fleet.straggler.as_ref().map(|behind| behind.core.state()),
            shut_out: fleet.straggler.as_ref().map_or(0, |behind| behind.shut_out),
            account: fleet.audit.as_ref().map(|audit| {
                let (links, (accounts, copies, bytes)) = audit.kept();
                (links, accounts as u64, copies as u64, bytes as u64, audit.unsaved)
            }),
        }))
    }

    /// People want the detail of a site elsewhere.
    pub fn ask_fleet(&mut self, asked: Asked) -> Answer {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else {
            return Answer::No("there are no fellows: the operator file has no fellows()".to_string());
        };
        let answer = match fleet.core.ask(now, asked) {
            Some(id) => {
                if fleet.asked.len() >= ASKED {
                    fleet.asked.pop_front();
                }
                fleet.asked.push_back((id, None));
                Answer::Asking(id)
            }
            None if fleet.core.place().is_none() => {
                Answer::No("no router has a place here: fleet show names all there are".to_string())
            }
            None => Answer::No("too much was asked within half a minute".to_string()),
        };
        self.tick_fleet();
        answer
    }

    /// What has come of a question.
    pub fn answered_by_fleet(&mut self, id: u64) -> Answer {
        let mut asked = self.fleet.iter().flat_map(|fleet| &fleet.asked);
        match asked.find(|(asked, _)| *asked == id) {
            Some((_, detail)) => Answer::Detail(detail.clone()),
            None => Answer::No("that was not asked here".to_string()),
        }
    }

    /// People set the floor of the fleet, or take it back with 0.
    pub fn set_floor(&mut self, version: u64) -> Answer {
        let now = self.clock.now();
        let Some(fleet) = self.fleet.as_mut().filter(|fleet| fleet.straggler.is_some()) else {
            return Answer::No("nobody is shut out: the operator file has no straggler()".to_string());
        };
        fleet.core.set_floor(now, version);
        fleet.looked = now - LOOK;
        log_line!(version, "straggler: the floor was set to {version} by people");
        self.tick_fleet();
        match version {
            0 => Answer::Done("the floor is taken back".to_string()),
            _ => Answer::Done(format!("nobody is to act on a version below {version}")),
        }
    }

    /// All accounts that are kept here.
    pub fn accounts(&mut self) -> Answer {
        let now = self.clock.now();
        let kept = self.fleet.as_mut().and_then(|Fleet { core, audit, .. }| {
            let at = core.clock.stamp(now);
            audit.as_mut().map(|audit| audit.all(now, at))
        });
        match kept {
            Some(links) => Answer::Accounts(links),
            None => Answer::No("there is no account: the operator file has no audit()".to_string()),
        }
    }
}

fn say(note: &Note) {
    match note {
        Note::Member { name, start, change } => {
            let how = match change {
                Change::Joined => "is there".to_string(),
                Change::Restarted(before) => format!("has started again, after start {before}"),
                Change::Now(standing) => format!("is {}", standing.name()),
                Change::Forgotten => "is forgotten".to_string(),
            };
            log_line!(fellow = name.as_str(), start = *start, "fellows: {name} {how}");
        }
        Note::Twin { start } => {
            log_line!(
                start = *start,
                "fellows: ANOTHER PROCESS HAS THIS ROUTER'S NAME; it started later, and is refused"
            );
        }
        Note::Refused { holder } => {
            log_line!(
                holder = *holder,
                "fellows: THIS ROUTER'S NAME IS TAKEN by an earlier start; it takes no part"
            );
        }
        Note::Yielded { holder } => {
            log_line!(
                holder = *holder,
                "fellows: this process was frozen, and a later start holds its name; it takes no part"
            );
        }
        Note::Frozen(ms) => log_line!(ms = *ms, "fellows: this process did nothing for {ms} ms"),
    }
}

#[cfg(test)]
#[path = "../tests/unit/fleet.rs"]
mod tests;
