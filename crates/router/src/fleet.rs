//! Owns what the router tells its fellows and hears of them: the way between their terms and the router's.
//!
//! Drains, purges and batches that fellows know first count here too, by the journal's numbers. Must never take a
//! fellow's word over the own journal's where that is as new, nor make a cache usable that the own journal bars.

use std::collections::BTreeMap;
use std::fmt;

use linnethook_fellows::fact::{Acts, CacheLine, Key, Purge};
use linnethook_fellows::fellows::{Action, Fellows, Note, Rules};
use linnethook_fellows::members::Change;
use linnethook_hierarchy::named::BatchSpec;
use linnethook_operator::Operator;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::{Answer, FleetShown};
use crate::decider::Ms;
use crate::log::log_line;
use crate::told::{Entry, Expire, Hosts, Target};
use crate::Router;

/// How often it is looked at what this router acts on.
const LOOK: Ms = 200.0;

pub struct Fleet {
    core: Fellows,
    acts: Acts,
    looked: Ms,
    /// The caches of the own list, as the journal has them.
    targets: BTreeMap<String, Target>,
    /// Those that fellows call drained, by the journal's numbers.
    barred: BTreeMap<String, u64>,
    drains: u64,
    purges: u64,
    batches: u64,
}

/// Tells at a glance whether two routers were given the same operator file: all but where each of them listens and
/// connects.
pub fn digest(operator: &Operator) -> u64 {
    let hierarchy = operator.hierarchy.as_ref().map(|hierarchy| (&hierarchy.part, &hierarchy.nodes));
    let gateway = operator.gateway.as_ref();
    let gateway =
        gateway.map(|gateway| (&gateway.part.site, gateway.part.rules, &gateway.sites, gateway.fellows));
    xxh3_64(format!("{:?}", (hierarchy, gateway, &operator.watch, operator.log)).as_bytes())
}

impl Fleet {
    pub fn new(now: Ms, name: &str, rules: Rules, settings: u64, operator: u64) -> Self {
        let build = env!("CARGO_PKG_VERSION").to_string();
        let acts = Acts { build, settings, operator, ..Acts::default() };
        // The same start as the gateway's.
        let start = (now * 1_000.0) as u64;
        Self {
            core: Fellows::new(now, rules, name, start, acts.clone()),
            acts,
            looked: now - LOOK,
            targets: BTreeMap::new(),
            barred: BTreeMap::new(),
            drains: 0,
            purges: 0,
            batches: 0,
        }
    }

    /// The operator file was read again.
    pub fn set(&mut self, rules: Rules, operator: u64) {
        self.acts.operator = operator;
        self.core.set(rules);
        self.core.acts(&self.acts);
    }

    pub fn next(&self, now: Ms) -> Ms {
        self.core.next(now)
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
            let purge = Purge { stamp: expire.stamp, number: entry.pos };
            fleet.core.tell_purge(now, &purge_key(expire), purge);
        }
    }

    /// A link with a fellow came up, or went down.
    pub fn fellow(&mut self, name: &str, start: u64, up: bool) {
        if let Some(fleet) = &mut self.fleet {
            fleet.core.link(name, start, up);
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

    /// All of the fleet that is due by now.
    pub fn tick_fleet(&mut self) {
        let now = self.clock.now();
        let Some(fleet) = &mut self.fleet else { return };
        if let Some(upstream) = &mut self.upstream {
            for batch in upstream.news() {
                let body = postcard::to_stdvec(&batch).unwrap_or_default();
                fleet.core.tell_batch(now, batch.author, batch.number, batch.stamp, body);
            }
            if now - fleet.looked >= LOOK {
                fleet.looked = now;
                fleet.acts.shape = upstream.acts_on();
            }
        }
        let back = fleet.caught_up(self.journal.number());
        fleet.core.acts(&fleet.acts);
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
                Action::Say(said) => beyond.gateway.tell_fellows(now, said),
                Action::Drop(key) => beyond.gateway.drop_fellows(key),
                Action::Direct(name, said) => beyond.gateway.tell_fellow_alone(&name, said),
                Action::StandDown => beyond.gateway.leave_fellows(now),
                Action::Cache { name, line, number } => {
                    if let Some(target) = fleet.line(&name, line, number) {
                        let how = if line.ready { "back" } else { "drained" };
                        log_line!(number, "fellows: {name} is {how}, by the journal as fellows have it");
                        self.take_fellow_line(target);
                    }
                }
                Action::Purge { key, purge } => {
                    if purge.number > fleet.acts.journal {
                        fleet.purges += 1;
                        fleet.acts.purges += 1;
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
                Action::Batch(body) => self.fellow_batch(&body),
                Action::Word { .. } => {}
                Action::Note(note) => say(&note),
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
            log_line!(
                author = batch.author,
                number = batch.number,
                "fellows: a batch was heard from fellows first"
            );
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
        }))
    }
}

fn say(note: &Note) {
    match note {
        Note::Member { name, start, change } => {
            let how = match change {
                Change::Joined => "is there".to_string(),
                Change::Restarted(before) => format!("has started again, after start {before}"),
                Change::Now(standing) => format!("is {standing:?}").to_lowercase(),
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
