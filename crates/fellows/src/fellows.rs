//! Owns one router's view of its fellows, wired together: what it says, what it hears and passes on, what of that
//! counts here, and who holds its name.
//!
//! Links, bytes and times come in by calls; what is to be done comes out as [`Action`]s in their order. Must never say
//! more than its pace, pass on what is older than what is known, or dispute a name that it has left alone for a while.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::fact::{micros, Acts, CacheLine, Entry, Floor, Holder, Key, Purge, Statement, NEWEST};
use crate::fetch::FetchRule;
use crate::hlc::{Hlc, Stamp};
use crate::members::{Change, MemberRule, Members, Standing};
use crate::pace::{Pace, PaceRule};
use crate::straggler::settled;
use crate::table::{Digests, Kept, Table, Taken, PARTS};
use crate::Ms;

/// All that can be set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    pub members: MemberRule,
    pub fetch: FetchRule,
    pub pace: PaceRule,
    pub kept: Kept,
    /// What has changed is said so often at the most, and so many bytes of it in one go.
    pub every: Ms,
    pub bundle: usize,
    /// How often tables are compared by digests.
    pub compare: Ms,
    /// How long purges, and lines of caches that are back or gone, are passed on.
    pub purges: Ms,
    /// Batches of the hierarchy that are passed on: the newest.
    pub batches: usize,
    /// A process that did nothing for so long was frozen; so long afterwards it leaves its name to a later start. No
    /// longer than it takes to suspect one, or a frozen one could be replaced and not know why.
    pub frozen: Ms,
    pub yields: Ms,
    /// The version of what this router says of itself.
    pub speaks: u16,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            members: MemberRule::default(),
            fetch: FetchRule::default(),
            pace: PaceRule::default(),
            kept: Kept::default(),
            every: 100.0,
            bundle: 16 << 10,
            compare: 5_000.0,
            purges: 600_000.0,
            batches: 1_024,
            frozen: 1_000.0,
            yields: 10_000.0,
            speaks: NEWEST,
        }
    }
}

/// A key and an entry, as bytes.
pub type Said = (Vec<u8>, Vec<u8>);

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// To all fellows that there is a link with; whoever comes later gets it too.
    Say(Vec<Said>),
    /// Need not be said to those that come later any more.
    Drop(Vec<u8>),
    /// To that fellow alone.
    Direct(String, Vec<Said>),
    /// No links with fellows any more.
    StandDown,
    /// News of the journal from elsewhere, with its number.
    Cache {
        name: String,
        line: CacheLine,
        number: u64,
    },
    Purge {
        key: Key,
        purge: Purge,
    },
    /// A batch of the hierarchy, as whoever told it has written it.
    Batch(Vec<u8>),
    /// A word of another part, from one fellow alone.
    Word {
        from: String,
        kind: u8,
        bytes: Vec<u8>,
    },
    Note(Note),
}

/// Something that people are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    Member {
        name: String,
        start: u64,
        change: Change,
    },
    /// A process under this router's name that started later, at that time: it is refused.
    Twin {
        start: u64,
    },
    /// This process is the later one: the name is held by that start.
    Refused {
        holder: u64,
    },
    /// This process was frozen, and a later one holds its name.
    Yielded {
        holder: u64,
    },
    /// It did nothing for so long, in milliseconds.
    Frozen(u64),
}

/// Whether this router takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    Takes,
    /// Another start of the name holds it.
    Refused(u64),
    Yielded(u64),
}

/// Counts for people.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub said: u64,
    pub said_bytes: u64,
    pub heard: u64,
    pub new: u64,
    pub old: u64,
    /// No room, or too long.
    pub full: u64,
    pub unreadable: u64,
    /// Facts that were missing elsewhere, by digests.
    pub repaired: u64,
    pub twins: u64,
    pub frozen: u64,
    /// Facts of stragglers, which did not count.
    pub shut_out: u64,
}

/// Two digests of a fellow's table and of the own one, as they were compared last.
type Compared = (Digests, Digests);

pub struct Fellows {
    rules: Rules,
    name: String,
    start: u64,
    table: Table,
    members: Members,
    pace: Pace,
    /// What is to be said: by urgency, then by key.
    pending: BTreeSet<(u8, Vec<u8>)>,
    /// And to whom alone.
    direct: VecDeque<(String, Said)>,
    acts: Acts,
    leaving: bool,
    /// The number of the own statement, and whether it is out of date.
    number: u64,
    dirty: bool,
    compared: BTreeMap<String, Compared>,
    /// Starts that do not count, by name.
    void: BTreeSet<(String, u64)>,
    /// The floor that holds, and since when fellows have been below it.
    held: u64,
    bound: Ms,
    late: BTreeMap<String, Ms>,
    part: Part,
    woke: Option<Ms>,
    ticked: Ms,
    bundled: Ms,
    compare_at: Ms,
    /// The time of all that is said and done here.
    pub clock: Hlc,
    actions: VecDeque<Action>,
    pub counts: Counts,
}

/// Starts that are remembered as void.
const VOID: usize = 256;
/// Facts that wait for one fellow.
const DIRECT: usize = 16_384;
/// Keys that are none of a fact: the time of whoever speaks, and from the second on words of other parts.
const STAMP: u8 = 0xff;
const WORDS: u8 = 0xf0;

fn urgency(key: &[u8]) -> u8 {
    match Key::decode(key) {
        Some(Key::Twins(_) | Key::Floor) => 0,
        Some(Key::Cache(_) | Key::Object(_) | Key::Group(_)) => 1,
        Some(Key::Router(_)) => 2,
        Some(Key::Batch(..)) => 3,
        None => 4,
    }
}

impl Fellows {
    pub fn new(now: Ms, rules: Rules, name: &str, start: u64, acts: Acts) -> Self {
        Self {
            name: name.to_string(),
            start,
            table: Table::new(rules.kept),
            members: Members::new(rules.members, name, start),
            pace: Pace::new(now, rules.pace),
            pending: BTreeSet::new(),
            direct: VecDeque::new(),
            acts,
            leaving: false,
            number: 0,
            dirty: true,
            compared: BTreeMap::new(),
            void: BTreeSet::new(),
            held: 0,
            bound: f64::INFINITY,
            late: BTreeMap::new(),
            part: Part::Takes,
            woke: None,
            ticked: now,
            bundled: now - rules.every,
            compare_at: now + rules.compare,
            clock: Hlc::default(),
            actions: VecDeque::new(),
            counts: Counts::default(),
            rules,
        }
    }

    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    pub fn part(&self) -> Part {
        self.part
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn table(&self) -> &Table {
        &self.table
    }

    fn note(&mut self, note: Note) {
        self.actions.push_back(Action::Note(note));
    }

    // ---- The own side.

    /// What this router acts on from now on.
    pub fn acts(&mut self, acts: &Acts) {
        if self.acts != *acts {
            self.acts.clone_from(acts);
            self.dirty = true;
        }
    }

    /// It ends what it has, and nothing new.
    pub fn leave(&mut self, now: Ms) {
        self.leaving = true;
        self.dirty = true;
        self.bundled = now - self.rules.every;
        self.tick(now);
    }

    /// A link with a fellow came up, or its last connection went down.
    pub fn link(&mut self, name: &str, start: u64, up: bool) {
        self.members.link(name, start, up);
        if !up {
            self.compared.remove(name);
            self.direct.retain(|(to, _)| to != name);
        }
        self.dirty = true;
    }

    /// Something that is known here by itself: by the own journal or by people. Whether it is new.
    pub fn tell(&mut self, now: Ms, key: &Key, entry: Entry) -> bool {
        let key = key.encode();
        let taken = self.table.take(now, &key, entry);
        match taken {
            Taken::New => _ = self.pending.insert((urgency(&key), key)),
            Taken::Old => {}
            Taken::Full => self.counts.full += 1,
        }
        taken == Taken::New
    }

    /// A line of the list of caches, by the own journal.
    pub fn tell_cache(&mut self, now: Ms, name: &str, line: CacheLine, number: u64) {
        self.tell(now, &Key::Cache(name.to_string()), Entry::new((number, 0), 1, &line));
    }

    /// A purge, by the own journal.
    pub fn tell_purge(&mut self, now: Ms, key: &Key, purge: Purge) {
        self.tell(now, key, Entry::new((micros(purge.stamp), purge.number), 1, &purge));
    }

    pub fn tell_batch(&mut self, now: Ms, author: u16, number: u64, stamp: u64, body: Vec<u8>) -> bool {
        let entry = Entry { order: (stamp, 0), version: 1, body };
        self.tell(now, &Key::Batch(author, number), entry)
    }

    // ---- What is settled.

    /// People set the floor, or take it back with 0.
    pub fn set_floor(&mut self, now: Ms, version: u64) {
        let at = self.clock.stamp(now);
        let floor = Floor { version, by: self.name.clone() };
        self.tell(now, &Key::Floor, Entry::new((at.ms, u64::from(at.count)), 1, &floor));
    }

    /// The floor that people have set.
    pub fn set_by_people(&self) -> Option<Floor> {
        self.table.get(&Key::Floor.encode())?.read()
    }

    /// The version below which nobody is to act: by people, or by a majority of the roll of voters, if there is one.
    pub fn floor(&self, voters: &[String]) -> u64 {
        let version = |name: &String| match *name == self.name {
            true => Some(self.acts.shape.0),
            false => Some(self.members.get(name)?.statement.acts.shape.0),
        };
        let versions: Vec<Option<u64>> = voters.iter().map(version).collect();
        settled(&versions).max(self.set_by_people().map_or(0, |floor| floor.version))
    }

    /// The floor that holds is so high; those that stay below it for longer than that are stragglers.
    pub fn hold(&mut self, now: Ms, floor: u64, bound: Ms) {
        self.bound = bound;
        if self.held != floor {
            self.held = floor;
            self.late.clear();
        }
        let behind = self.members.iter().filter(|(_, member)| member.statement.acts.shape.0 < floor);
        let behind: BTreeSet<String> = behind.map(|(name, _)| name.clone()).collect();
        self.late.retain(|name, _| behind.contains(name));
        behind.into_iter().for_each(|name| _ = self.late.entry(name).or_insert(now));
    }

    pub fn is_straggler(&self, now: Ms, name: &str) -> bool {
        self.late.get(name).is_some_and(|since| now - since >= self.bound)
    }

    /// Fellows with a link that act on a newer hierarchy than this router.
    pub fn ahead(&self) -> Vec<&str> {
        let (version, _) = self.acts.shape;
        let linked =
            self.members.links().filter_map(|(name, start)| Some((name, start, self.members.get(name)?)));
        let ahead = linked.filter(|(_, start, member)| {
            let theirs = member.statement.acts.shape;
            **start == member.start && theirs.0 > version
        });
        ahead.map(|(name, ..)| name.as_str()).collect()
    }

    /// Whether any fellow is within reach.
    pub fn hears_somebody(&self) -> bool {
        self.members.iter().any(|(_, member)| member.standing == Standing::Alive)
    }

    /// What there is to be known of something, whoever told it.
    pub fn cache(&self, name: &str) -> Option<(CacheLine, u64)> {
        let entry = self.table.get(&Key::Cache(name.to_string()).encode())?;
        Some((entry.read()?, entry.order.0))
    }

    /// A word of another part to one fellow, as far as the pace goes; false where too much waits.
    pub fn send(&mut self, to: &str, kind: u8, bytes: Vec<u8>) -> bool {
        let room = self.part == Part::Takes && self.direct.len() < DIRECT;
        if room {
            self.direct.push_back((to.to_string(), (vec![kind.max(WORDS)], bytes)));
        }
        room
    }

    fn stamped(&mut self, now: Ms, mut said: Vec<Said>) -> Vec<Said> {
        let stamp = postcard::to_stdvec(&self.clock.stamp(now)).unwrap_or_default();
        said.insert(0, (vec![STAMP], stamp));
        said
    }

    // ---- What fellows say.

    /// A fellow says something: a fact, or, without a key, the digests of its table.
    pub fn heard(&mut self, now: Ms, from: &str, key: &[u8], bytes: &[u8]) {
        if self.part != Part::Takes {
            return;
        }
        self.counts.heard += 1;
        if key.is_empty() {
            return match postcard::from_bytes::<Digests>(bytes) {
                Ok(digests) => self.compare(now, from, digests),
                Err(_) => self.counts.unreadable += 1,
            };
        }
        match key {
            [STAMP] => {
                return match postcard::from_bytes::<Stamp>(bytes) {
                    Ok(stamp) => self.clock.heard(now, stamp),
                    Err(_) => self.counts.unreadable += 1,
                };
            }
            [kind] if *kind >= WORDS => {
                let (from, kind, bytes) = (from.to_string(), *kind, bytes.to_vec());
                return self.actions.push_back(Action::Word { from, kind, bytes });
            }
            _ => {}
        }
        let Some(entry) = Entry::decode(bytes) else {
            self.counts.unreadable += 1;
            return;
        };
        match Key::decode(key) {
            Some(Key::Router(name)) => self.router(now, key, &name, entry),
            Some(Key::Twins(name)) => self.twins(now, key, &name, entry),
            // What a straggler says of the world does not count, until it has caught up; then it is told again.
            Some(kind) if kind != Key::Floor && self.is_straggler(now, from) => self.counts.shut_out += 1,
            Some(kind) => {
                if self.take(now, key, entry.clone()) {
                    self.counts_here(kind, &entry);
                }
            }
            None => _ = self.take(now, key, entry),
        }
    }

    /// Takes a fact in and passes it on, where it is new.
    fn take(&mut self, now: Ms, key: &[u8], entry: Entry) -> bool {
        match self.table.take(now, key, entry) {
            Taken::New => {
                self.counts.new += 1;
                self.pending.insert((urgency(key), key.to_vec()));
                return true;
            }
            Taken::Old => self.counts.old += 1,
            Taken::Full => self.counts.full += 1,
        }
        false
    }

    /// News of the journal or of the hierarchy: whoever knows the own journal says whether it is news here.
    fn counts_here(&mut self, key: Key, entry: &Entry) {
        let action = match key {
            Key::Cache(name) => entry.read().map(|line| Action::Cache { name, line, number: entry.order.0 }),
            Key::Object(_) | Key::Group(_) => entry.read().map(|purge| Action::Purge { key, purge }),
            Key::Batch(..) => Some(Action::Batch(entry.body.clone())),
            Key::Floor => return,
            Key::Router(_) | Key::Twins(_) => None,
        };
        match action {
            Some(action) => self.actions.push_back(action),
            None => self.counts.unreadable += 1,
        }
    }

    fn router(&mut self, now: Ms, key: &[u8], name: &str, entry: Entry) {
        let start = entry.order.0;
        if name == self.name {
            // An earlier start, and what comes back of what was said here, count for nothing.
            if start > self.start && !self.void.contains(&(name.to_string(), start)) {
                self.later_start(now, start);
            }
            return;
        }
        if self.void.contains(&(name.to_string(), start)) {
            self.counts.old += 1;
            return;
        }
        let statement = Statement::read(&entry);
        if self.take(now, key, entry) {
            let Some(statement) = statement else {
                self.counts.unreadable += 1;
                return;
            };
            if let Some(change) = self.members.state(now, name, start, statement) {
                self.note(Note::Member { name: name.to_string(), start, change });
            }
        }
    }

    /// A process under this name that started after this one. Who was frozen, or ends, leaves the name to it; else the
    /// later one is refused.
    fn later_start(&mut self, now: Ms, start: u64) {
        if self.leaving {
            return;
        }
        if self.woke.is_some_and(|woke| now - woke < self.rules.yields) {
            return self.stand_down(Part::Yielded(start), Note::Yielded { holder: start });
        }
        self.counts.twins += 1;
        self.note(Note::Twin { start });
        self.forbid(self.name.clone(), start);
        let entry = Entry::new((start, 0), 1, &Holder { start: self.start });
        self.tell(now, &Key::Twins(self.name.clone()), entry);
        // Whoever dropped what the other one said has to hear of this one again.
        self.dirty = true;
    }

    fn forbid(&mut self, name: String, start: u64) {
        if self.void.len() >= VOID {
            self.void.pop_first();
        }
        self.void.insert((name, start));
    }

    fn twins(&mut self, now: Ms, key: &[u8], name: &str, entry: Entry) {
        let start = entry.order.0;
        let Some(Holder { start: holder }) = entry.read() else {
            self.counts.unreadable += 1;
            return;
        };
        if !self.take(now, key, entry) {
            return;
        }
        if name == self.name {
            if start == self.start {
                self.stand_down(Part::Refused(holder), Note::Refused { holder });
            }
            return;
        }
        self.forbid(name.to_string(), start);
        let said = Key::Router(name.to_string()).encode();
        if self.table.get(&said).is_some_and(|known| known.order.0 == start) {
            self.table.remove(&said);
            self.members.drop_start(name, start);
        }
    }

    fn stand_down(&mut self, part: Part, note: Note) {
        self.part = part;
        self.pending.clear();
        self.direct.clear();
        self.note(note);
        self.actions.push_back(Action::StandDown);
    }

    /// What lacks elsewhere is said to whom it lacks, once neither table has changed between two comparisons: what is
    /// on its way is no gap.
    fn compare(&mut self, now: Ms, from: &str, theirs: Digests) {
        let mine = self.table.digests();
        let before = self.compared.insert(from.to_string(), (theirs, mine));
        let Some((their_last, my_last)) = before else { return };
        // A part that stood still on both sides, and differs.
        let mut asked = mine;
        for n in 0..PARTS {
            if their_last[n] == theirs[n] && my_last[n] == mine[n] {
                asked[n] = theirs[n];
            }
        }
        let gap = self.table.differing(&asked);
        if self.direct.len() + gap.len() > DIRECT {
            self.counts.full += 1;
            return;
        }
        self.counts.repaired += gap.len() as u64;
        self.direct.extend(gap.into_iter().map(|(key, entry)| (from.to_string(), (key, entry.encode()))));
        self.flush(now);
    }

    // ---- Time.

    /// All that is due by now.
    pub fn tick(&mut self, now: Ms) {
        let gap = now - self.ticked;
        self.ticked = now;
        if gap >= self.rules.frozen {
            self.woke = Some(now);
            self.counts.frozen += 1;
            self.note(Note::Frozen(gap as u64));
        }
        if self.part != Part::Takes {
            return;
        }
        for (name, start, change) in self.members.tick(now) {
            if change == Change::Forgotten {
                let key = Key::Router(name.clone()).encode();
                self.drop_fact(&key);
            }
            self.note(Note::Member { name, start, change });
        }
        if now - self.bundled >= self.rules.every {
            self.bundled = now;
            self.state_myself(now);
            self.flush(now);
        }
        if now >= self.compare_at {
            self.compare_at = now + self.rules.compare;
            self.expire(now);
            let digests = postcard::to_stdvec(&self.table.digests()).unwrap_or_default();
            let fellows: BTreeSet<String> = self.members.links().map(|(name, _)| name.clone()).collect();
            for name in fellows {
                self.count_said(digests.len());
                self.actions.push_back(Action::Direct(name, vec![(Vec::new(), digests.clone())]));
            }
        }
    }

    fn state_myself(&mut self, now: Ms) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        self.number += 1;
        let links = self.members.links().cloned().collect();
        let statement = Statement { acts: self.acts.clone(), links, leaving: self.leaving };
        let entry = statement.entry((self.start, self.number), self.rules.speaks);
        self.tell(now, &Key::Router(self.name.clone()), entry);
    }

    fn count_said(&mut self, bytes: usize) {
        self.counts.said += 1;
        self.counts.said_bytes += bytes as u64;
    }

    /// Says what waits, as far as its pace goes: what is urgent first, what lacks elsewhere last.
    fn flush(&mut self, now: Ms) {
        let lines = self.members.links().count().max(1);
        let mut bundle = Vec::new();
        let mut bytes = 0;
        while let Some((_, key)) = self.pending.first() {
            let Some(entry) = self.table.get(key) else {
                self.pending.pop_first();
                continue;
            };
            let encoded = entry.encode();
            let length = key.len() + encoded.len();
            if bytes + length > self.rules.bundle && bytes > 0 || !self.pace.spend(now, length * lines) {
                break;
            }
            bytes += length;
            if let Some((_, key)) = self.pending.pop_first() {
                bundle.push((key, encoded));
            }
        }
        if !bundle.is_empty() {
            self.count_said(bytes * lines);
            let bundle = self.stamped(now, bundle);
            self.actions.push_back(Action::Say(bundle));
        }
        let mut alone = BTreeMap::<String, Vec<Said>>::new();
        let mut bytes = 0;
        while let Some((_, (key, entry))) = self.direct.front() {
            let length = key.len() + entry.len();
            if bytes + length > self.rules.bundle && bytes > 0 || !self.pace.spend(now, length) {
                break;
            }
            bytes += length;
            if let Some((to, said)) = self.direct.pop_front() {
                alone.entry(to).or_default().push(said);
            }
        }
        for (to, said) in alone {
            self.count_said(said.iter().map(|(key, entry)| key.len() + entry.len()).sum());
            let said = self.stamped(now, said);
            self.actions.push_back(Action::Direct(to, said));
        }
    }

    /// Purges, and caches that are back or gone, need not be passed on for ever.
    fn expire(&mut self, now: Ms) {
        let ends = |key: &Key| matches!(key, Key::Object(_) | Key::Group(_));
        let mut old = self.table.older(now - self.rules.purges, ends);
        let lines = self.table.older(now - self.rules.purges, |key| matches!(key, Key::Cache(_)));
        let drained = |key: &Vec<u8>| {
            let line = self.table.get(key).and_then(Entry::read::<CacheLine>);
            line.is_some_and(|line| !line.ready && !line.gone)
        };
        old.extend(lines.into_iter().filter(|key| !drained(key)));
        let batch = |(key, entry): (&Vec<u8>, &Entry)| match Key::decode(key) {
            Some(Key::Batch(..)) => Some((entry.order, key.clone())),
            _ => None,
        };
        let mut batches: Vec<_> = self.table.iter().filter_map(batch).collect();
        let over = batches.len().saturating_sub(self.rules.batches);
        batches.sort_unstable();
        old.extend(batches.into_iter().take(over).map(|(_, key)| key));
        old.into_iter().for_each(|key| self.drop_fact(&key));
    }

    fn drop_fact(&mut self, key: &[u8]) {
        if self.table.remove(key) {
            self.actions.push_back(Action::Drop(key.to_vec()));
        }
    }

    /// When `tick` is due.
    pub fn next(&self, now: Ms) -> Ms {
        if self.part != Part::Takes {
            return now + 1_000.0;
        }
        let waits = self.dirty || !self.pending.is_empty() || !self.direct.is_empty();
        let bundle = waits.then_some(self.bundled + self.rules.every);
        let due = bundle.unwrap_or(f64::INFINITY).min(self.members.next(now)).min(self.compare_at);
        // So often at the least, to know whether it was frozen.
        due.clamp(now, now + self.rules.frozen / 4.0)
    }

    /// Settings that were read again.
    pub fn set(&mut self, rules: Rules) {
        self.members.set(rules.members);
        self.pace.set(rules.pace);
        self.table.set(rules.kept);
        self.dirty |= rules.speaks != self.rules.speaks;
        self.rules = rules;
    }

    // ---- For people.

    pub fn shown(&self, now: Ms) -> Shown {
        let line = |name: &String, start: u64, standing: Standing, since: Ms, acts: &Acts, links: usize| {
            let (name, acts, straggler) = (name.clone(), acts.clone(), false);
            Line { name, start, standing, since, acts, links, straggler }
        };
        let others = self.members.iter().map(|(name, member)| {
            let Statement { acts, links, .. } = &member.statement;
            let shown = line(name, member.start, member.standing, now - member.since, acts, links.len());
            Line { straggler: self.is_straggler(now, name), ..shown }
        });
        let links = self.members.links().count();
        Shown {
            me: line(&self.name, self.start, Standing::Alive, 0.0, &self.acts, links),
            part: self.part,
            others: others.collect(),
            facts: self.table.len(),
            bytes: self.table.bytes(),
            pending: self.pending.len() + self.direct.len(),
            floor: self.held,
            counts: self.counts,
        }
    }
}

/// One router, as it is shown.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub name: String,
    pub start: u64,
    pub standing: Standing,
    /// How long it has stood like that, in milliseconds.
    pub since: Ms,
    pub acts: Acts,
    pub links: usize,
    /// It has been below the floor for too long: what it says does not count.
    pub straggler: bool,
}

/// The fleet as one router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    pub me: Line,
    pub part: Part,
    pub others: Vec<Line>,
    pub facts: usize,
    pub bytes: usize,
    pub pending: usize,
    /// The version below which nobody is to act.
    pub floor: u64,
    pub counts: Counts,
}
