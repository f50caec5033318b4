//! A fleet of routers in virtual time: the cluster of each, and links that deliver what it sends in order, lose (and so
//! delay) some of it, are cut, and are detected as silent after a while.
//!
//! Simulated are the links, their heartbeats, and the complete state that is sent to whoever connects. One seed gives one
//! run.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::{BTreeMap, BTreeSet};

use linnethook_membership::actions::{ClusterAction, ClusterEvent, EncodedEntry};
use linnethook_membership::aggregation::location::Location;
use linnethook_membership::cluster::Cluster;
use linnethook_membership::config::MembershipConfig;
use linnethook_membership::versions::ActiveVersions;
use linnethook_membership::Ms;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub struct Node {
    pub core: Option<Cluster>,
    pub name: String,
    pub start: u64,
    pub frozen: bool,
    entries: BTreeMap<Vec<u8>, Vec<u8>>,
    pub notes: Vec<(Ms, ClusterEvent)>,
    pub done: Vec<(Ms, ClusterAction)>,
    /// Bytes that left it, by the wire, and that came.
    pub bytes: u64,
    pub bytes_received: u64,
    /// Where it stands in the tree; nowhere in a fleet without places.
    pub place: Option<Location>,
    /// Where it has other rules than all.
    rules: Option<MembershipConfig>,
    due: Ms,
    waiting: Vec<(usize, Vec<EncodedEntry>)>,
}

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        starts: (u64, u64),
        entries: Vec<EncodedEntry>,
    },
    Up(usize, usize),
    /// One end finds that nothing comes any more.
    Down {
        at: usize,
        other: usize,
        start: u64,
    },
}

#[derive(Debug, Clone, Copy)]
pub struct Wire {
    pub delay: Ms,
    /// The share of what is said that is lost once and sent again so much later.
    pub loss: f64,
    pub again: Ms,
    /// How long until a silent link is found to be one.
    pub silent: Ms,
}

impl Default for Wire {
    fn default() -> Self {
        Self { delay: 2.0, loss: 0.0, again: 200.0, silent: 500.0 }
    }
}

/// A delivered entry or message, as the tests compare it.
pub type KeyAndValue = (Vec<u8>, Vec<u8>);

pub struct Net {
    pub now: Ms,
    pub nodes: Vec<Node>,
    pub wire: Wire,
    rules: MembershipConfig,
    chance: Pcg64Mcg,
    links: BTreeSet<(usize, usize)>,
    /// The same by each of their ends.
    ends: Vec<Vec<usize>>,
    /// When something is due at each that is awake.
    dues: BTreeSet<(u64, usize)>,
    /// Links as they are up, with the starts at both ends.
    up: BTreeMap<(usize, usize), (u64, u64)>,
    cut: BTreeSet<(usize, usize)>,
    slow: BTreeMap<usize, Ms>,
    /// What is told to these is lost, and no link ends for it.
    deaf: BTreeSet<usize>,
    last: BTreeMap<(usize, usize), Ms>,
    /// What crossed links, where that is wanted: when, from, to, key and entry.
    pub record: Option<Vec<(Ms, usize, usize, KeyAndValue)>>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
}

fn pair(a: usize, b: usize) -> (usize, usize) {
    (a.min(b), a.max(b))
}

impl Net {
    /// So many routers, each with links to `dials` others: the next one, so that all hang together, and some by chance.
    pub fn new(seed: u64, routers: usize, dials: usize, rules: MembershipConfig, wire: Wire) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut links = BTreeSet::new();
        for n in 0..routers {
            links.insert(pair(n, (n + 1) % routers));
            for _ in 1..dials {
                let other = chance.random_range(0..routers);
                if other != n {
                    links.insert(pair(n, other));
                }
            }
        }
        links.retain(|(a, b)| a != b);
        Self::with(chance, vec![None; routers], links, rules, wire)
    }

    /// So many routers in a tree of places, all of whose parts hang together by links of their own.
    pub fn tree(seed: u64, shape: &Shape, rules: MembershipConfig, wire: Wire) -> Self {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let places = shape.places();
        let links = shape.links(&mut chance);
        Self::with(chance, places, links, rules, wire)
    }

    /// Routers at these places with these links.
    pub fn with(
        chance: Pcg64Mcg,
        places: Vec<Option<Location>>,
        links: BTreeSet<(usize, usize)>,
        rules: MembershipConfig,
        wire: Wire,
    ) -> Self {
        let routers = places.len();
        let mut ends = vec![Vec::new(); routers];
        for (a, b) in &links {
            ends[*a].push(*b);
            ends[*b].push(*a);
        }
        ends.iter_mut().for_each(|others| others.sort_unstable());
        let mut net = Self {
            now: 0.0,
            nodes: Vec::new(),
            wire,
            rules,
            chance,
            links,
            ends,
            dues: BTreeSet::new(),
            up: BTreeMap::new(),
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            deaf: BTreeSet::new(),
            last: BTreeMap::new(),
            record: None,
            events: BTreeMap::new(),
            count: 0,
        };
        for (n, place) in places.into_iter().enumerate() {
            net.nodes.push(Node {
                core: None,
                name: format!("r{n}"),
                start: 0,
                frozen: false,
                entries: BTreeMap::new(),
                notes: Vec::new(),
                done: Vec::new(),
                bytes: 0,
                bytes_received: 0,
                place,
                rules: None,
                due: 0.0,
                waiting: Vec::new(),
            });
        }
        (0..routers).for_each(|n| net.start(n));
        net
    }

    fn plan(&mut self, at: Ms, event: Event) {
        self.count += 1;
        self.events.insert(((at * 1_000.0) as u64, self.count), event);
    }

    pub fn linked(&self, n: usize) -> Vec<usize> {
        self.ends[n].clone()
    }

    fn due(&mut self, n: usize, due: Ms) {
        let before = std::mem::replace(&mut self.nodes[n].due, due);
        // Times are not below 0: their bits are ordered as they are.
        self.dues.remove(&(before.to_bits(), n));
        if self.runs(n) {
            self.dues.insert((due.to_bits(), n));
        }
    }

    /// A router starts, later than all before under its name.
    pub fn start(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let rules = node.rules.unwrap_or(self.rules);
        node.start += (now * 1_000.0) as u64 + 1;
        let core = Cluster::new(now, rules, &node.name, node.start, ActiveVersions::default());
        node.core = Some(core.with_location(now, node.place.clone()));
        node.entries.clear();
        node.frozen = false;
        self.due(n, now);
        for other in self.linked(n) {
            self.plan(now + 50.0, Event::Up(n, other));
        }
    }

    /// A router starts by other rules than all, and keeps to them.
    pub fn start_by(&mut self, n: usize, rules: MembershipConfig) {
        self.nodes[n].rules = Some(rules);
        self.start(n);
    }

    pub fn crash(&mut self, n: usize) {
        self.nodes[n].core = None;
        self.nodes[n].waiting.clear();
        self.due(n, f64::INFINITY);
        self.silence(n, 1.0);
    }

    pub fn freeze(&mut self, n: usize) {
        self.nodes[n].frozen = true;
        self.due(n, f64::INFINITY);
        self.silence(n, self.wire.silent);
    }

    pub fn wake(&mut self, n: usize) {
        self.nodes[n].frozen = false;
        self.due(n, self.now);
        for other in self.linked(n) {
            // Its connections were given up meanwhile.
            if !self.up.contains_key(&pair(n, other)) {
                let start = self.nodes[other].start;
                self.plan(self.now, Event::Down { at: n, other, start });
                self.plan(self.now + 50.0, Event::Up(n, other));
            }
        }
    }

    fn silence(&mut self, n: usize, after: Ms) {
        for other in self.linked(n) {
            self.lose(n, other, after);
        }
    }

    fn lose(&mut self, a: usize, b: usize, after: Ms) {
        if let Some((start_a, start_b)) = self.up.remove(&pair(a, b)) {
            let (low, high) = pair(a, b);
            self.plan(self.now + after, Event::Down { at: low, other: high, start: start_b });
            self.plan(self.now + after, Event::Down { at: high, other: low, start: start_a });
        }
    }

    /// The link between two is cut, in one direction or both: either way the session ends.
    pub fn cut(&mut self, a: usize, b: usize) {
        self.cut.insert(pair(a, b));
        self.lose(a, b, self.wire.silent);
    }

    pub fn mend(&mut self, a: usize, b: usize) {
        if self.cut.remove(&pair(a, b)) {
            self.plan(self.now + 50.0, Event::Up(a, b));
        }
    }

    pub fn mend_all(&mut self) {
        let cut: Vec<(usize, usize)> = self.cut.iter().copied().collect();
        cut.into_iter().for_each(|(a, b)| self.mend(a, b));
    }

    /// All links of one that takes part are slower by that.
    pub fn slow(&mut self, n: usize, by: Ms) {
        self.slow.insert(n, by);
    }

    /// All that is told to one is lost, or nothing any more.
    pub fn deaf(&mut self, n: usize, deaf: bool) {
        if deaf {
            self.deaf.insert(n);
        } else {
            self.deaf.remove(&n);
        }
    }

    pub fn links(&self) -> Vec<(usize, usize)> {
        self.links.iter().copied().collect()
    }

    pub fn core(&mut self, n: usize) -> &mut Cluster {
        self.due(n, self.now);
        self.nodes[n].core.as_mut().expect("it runs")
    }

    fn send(&mut self, from: usize, to: usize, entries: Vec<EncodedEntry>) {
        let Some((low, high)) = self.up.get(&pair(from, to)).copied() else { return };
        let starts = if from < to { (low, high) } else { (high, low) };
        let bytes: usize = entries.iter().map(|entry| entry.byte_count() + 4).sum();
        self.nodes[from].bytes += bytes as u64 + 20;
        let slow = self.slow.get(&from).copied().unwrap_or(0.0) + self.slow.get(&to).copied().unwrap_or(0.0);
        let mut at = self.now + self.wire.delay + slow;
        while self.chance.random::<f64>() < self.wire.loss {
            at += self.wire.again;
        }
        // In order, as on one connection.
        let last = self.last.entry((from, to)).or_default();
        at = at.max(*last);
        *last = at;
        self.plan(at, Event::Deliver { from, to, starts, entries });
    }

    fn carry_out(&mut self, n: usize) {
        let now = self.now;
        while let Some(action) = self.nodes[n].core.as_mut().and_then(Cluster::next_action) {
            match action {
                ClusterAction::Broadcast(entries) => {
                    self.nodes[n]
                        .entries
                        .extend(entries.iter().cloned().map(|entry| (entry.key, entry.value)));
                    for other in self.linked(n) {
                        self.send(n, other, entries.clone());
                    }
                }
                ClusterAction::Retract(key) => _ = self.nodes[n].entries.remove(&key),
                ClusterAction::SendTo(name, entries) => {
                    // Of two processes under one name the one that there is a link with.
                    let named = |to: &&usize| self.nodes[**to].name == name;
                    let up = |to: &&usize| self.up.contains_key(&pair(n, **to));
                    if let Some(to) = self.ends[n].iter().filter(named).find(up).copied() {
                        self.send(n, to, entries);
                    }
                }
                ClusterAction::CloseLinks => self.silence(n, 1.0),
                ClusterAction::Event(note) => self.nodes[n].notes.push((now, note)),
                other => self.nodes[n].done.push((now, other)),
            }
        }
        let next = self.nodes[n].core.as_ref().map_or(f64::INFINITY, |core| core.next_deadline(now));
        self.due(n, next.max(now + 0.001));
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Up(a, b) => {
                let runs = |n: usize| self.nodes[n].core.is_some() && !self.nodes[n].frozen;
                if !runs(a) || !runs(b) || self.cut.contains(&pair(a, b)) || self.up.contains_key(&pair(a, b))
                {
                    return;
                }
                let (low, high) = pair(a, b);
                self.up.insert((low, high), (self.nodes[low].start, self.nodes[high].start));
                for (at, other) in [(a, b), (b, a)] {
                    let (name, start) = (self.nodes[other].name.clone(), self.nodes[other].start);
                    self.core(at).set_link(&name, start, true);
                    let entries = self.nodes[at].entries.clone().into_iter();
                    let all = entries.map(|(key, value)| EncodedEntry::new(key, value)).collect();
                    self.send(at, other, all);
                }
            }
            Event::Down { at, other, start } => {
                let name = self.nodes[other].name.clone();
                if self.nodes[at].core.is_some() && !self.nodes[at].frozen {
                    self.core(at).set_link(&name, start, false);
                }
            }
            Event::Deliver { from, to, starts, entries } => {
                let same = (self.nodes[from].start, self.nodes[to].start) == starts;
                let up = self.up.contains_key(&pair(from, to)) && !self.deaf.contains(&to);
                if !same || !up || self.nodes[to].core.is_none() || self.nodes[to].frozen {
                    return;
                }
                let name = self.nodes[from].name.clone();
                let bytes: usize = entries.iter().map(|entry| entry.byte_count() + 4).sum();
                self.nodes[to].bytes_received += bytes as u64 + 20;
                if let Some(record) = &mut self.record {
                    let copies = entries.iter().cloned().map(|entry| (entry.key, entry.value));
                    record.extend(copies.map(|copy| (now, from, to, copy)));
                }
                for EncodedEntry { key, value } in entries {
                    self.core(to).receive(now, &name, &key, &value);
                }
            }
        }
    }

    /// Lets time pass up to then.
    pub fn run(&mut self, until: Ms) {
        loop {
            let event =
                self.events.first_key_value().map_or(f64::INFINITY, |((at, _), _)| *at as Ms / 1_000.0);
            let tick = self.dues.first().map(|(due, n)| (*n, f64::from_bits(*due)));
            let due = tick.map_or(f64::INFINITY, |(_, due)| due);
            if event.min(due) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(event.min(due));
            if event <= due {
                if let Some((_, event)) = self.events.pop_first() {
                    self.happen(event);
                }
            } else if let Some((n, _)) = tick {
                let now = self.now;
                self.core(n).tick(now);
                self.carry_out(n);
            }
        }
    }

    /// Lets time pass until that holds, looked at often; when it did.
    pub fn until(&mut self, most: Ms, holds: impl Fn(&Self) -> bool) -> Option<Ms> {
        let end = self.now + most;
        while self.now < end {
            if holds(self) {
                return Some(self.now);
            }
            self.run(self.now + 10.0);
        }
        None
    }

    /// Whether that one runs and takes part.
    pub fn runs(&self, n: usize) -> bool {
        self.nodes[n].core.is_some() && !self.nodes[n].frozen
    }
}

/// A tree of places: how many parts each has, the outermost first, and how many routers a site.
pub struct Shape {
    pub parts: Vec<usize>,
    pub routers: usize,
}

impl Shape {
    pub fn new(parts: &[usize], routers: usize) -> Self {
        Self { parts: parts.to_vec(), routers }
    }

    pub fn sites(&self) -> usize {
        self.parts.iter().product()
    }

    pub fn all(&self) -> usize {
        self.sites() * self.routers
    }

    /// The place of a site by its number.
    pub fn place(&self, mut site: usize) -> Location {
        let mut names = Vec::new();
        for parts in self.parts.iter().rev() {
            names.push(format!("p{:02}", site % parts));
            site /= parts;
        }
        names.reverse();
        Location::parse(&names.join("/")).expect("a place")
    }

    fn places(&self) -> Vec<Option<Location>> {
        (0..self.all()).map(|n| Some(self.place(n / self.routers))).collect()
    }

    /// In a site each dials the next one, and every second one the one opposite. Some of a site's routers dial other
    /// sites: for each level around it the next part of that level, round, and any site within it by chance.
    fn links(&self, chance: &mut Pcg64Mcg) -> BTreeSet<(usize, usize)> {
        let (size, sites) = (self.routers, self.sites());
        let mut links = BTreeSet::new();
        for site in 0..sites {
            for n in 0..size {
                links.insert(pair(site * size + n, site * size + (n + 1) % size));
                if n % 2 == 0 {
                    links.insert(pair(site * size + n, site * size + (n + size / 2) % size));
                }
            }
            // Those that dial others, and those that are dialled, are spread over the site.
            let mut doors = 0;
            let mut door = |site: usize, next: usize| {
                doors += 1;
                pair(site * size + doors % size, next * size + (doors + size / 2) % size)
            };
            // Sites of a part stand side by side: the next one within the part, round.
            let mut within = 1;
            for (level, parts) in self.parts.iter().enumerate().rev() {
                let total = within * parts;
                let first = site / total * total;
                let next = first + (site - first + within) % total;
                // Sites of the innermost level are joined twice: one router may be down.
                let dials = if level + 1 == self.parts.len() { 2 } else { 1 };
                for _ in 0..dials {
                    links.insert(door(site, next));
                }
                links.insert(door(site, first + chance.random_range(0..total)));
                within = total;
            }
        }
        links.retain(|(a, b)| a != b);
        links
    }
}
