//! Owns one router's own account: what it does is counted, and written down span by span.
//!
//! A span ends where what is acted on changes, after a time, or once it is full. Must never change a record that was
//! written, nor keep more than its bounds.

use std::collections::{HashMap, VecDeque};

use linnethook_fellows::fact::Acts;
use linnethook_fellows::hlc::Stamp;
use linnethook_fellows::Ms;
use rustc_hash::FxBuildHasher;

use crate::record::{Act, Booking, BookingEnd, Hash, Link, Record, Span, Tally};

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// The longest span.
    pub span: Ms,
    /// Kinds of acts, and bookings, that one span tells apart.
    pub kinds: usize,
    pub bookings: usize,
    /// Bytes of the own account that are kept in memory, and of each fellow's.
    pub bytes: usize,
    pub copy_bytes: usize,
    /// How many fellows keep a copy.
    pub copies: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Self { span: 5_000.0, kinds: 4_096, bookings: 2_048, bytes: 4 << 20, copy_bytes: 2 << 20, copies: 2 }
    }
}

/// The span that is open.
#[derive(Debug, Default)]
struct Open {
    from: Stamp,
    since: Ms,
    counts: HashMap<Act, Tally, FxBuildHasher>,
    bookings: Vec<Booking>,
    ends: Vec<BookingEnd>,
    unnamed: u64,
    untold: u64,
}

pub struct Account {
    rules: Rules,
    name: String,
    start: u64,
    acts_on: Acts,
    open: Open,
    last: Stamp,
    number: u64,
    head: Hash,
    links: VecDeque<Link>,
    bytes: usize,
    ended: bool,
}

impl Account {
    pub fn new(now: Ms, at: Stamp, rules: Rules, name: &str, start: u64, acts_on: Acts) -> Self {
        let mut account = Self {
            rules,
            name: name.to_string(),
            start,
            acts_on,
            open: Open { from: at, since: now, ..Open::default() },
            last: at,
            number: 0,
            head: [0; 32],
            links: VecDeque::new(),
            bytes: 0,
            ended: false,
        };
        account.write(&Record::Began { at, clock: now });
        account
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn start(&self) -> u64 {
        self.start
    }

    /// The number of the newest link, and its hash.
    pub fn head(&self) -> (u64, Hash) {
        (self.number, self.head)
    }

    pub fn set(&mut self, rules: Rules) {
        self.rules = rules;
    }

    /// Something was done.
    pub fn act(&mut self, at: Stamp, act: Act) {
        self.last = at;
        let full = self.open.counts.len() >= self.rules.kinds;
        match self.open.counts.get_mut(&act) {
            Some(tally) => {
                tally.count += 1;
                tally.last = at;
            }
            None if full => self.open.untold += 1,
            None => _ = self.open.counts.insert(act, Tally { count: 1, first: at, last: at }),
        }
    }

    /// An attempt of what must not run twice.
    pub fn booking(&mut self, booking: Booking) {
        self.act(booking.at, Act::Booking { to: booking.to });
        match self.open.bookings.len() < self.rules.bookings {
            true => self.open.bookings.push(booking),
            false => self.open.unnamed += 1,
        }
    }

    pub fn booking_ended(&mut self, end: BookingEnd) {
        self.last = end.at;
        match self.open.ends.len() < self.rules.bookings {
            true => self.open.ends.push(end),
            false => self.open.unnamed += 1,
        }
    }

    fn is_empty(&self) -> bool {
        let open = &self.open;
        open.counts.is_empty() && open.bookings.is_empty() && open.ends.is_empty()
    }

    /// Whether what is acted on differs from what the open span tells. Counts of drains and purges are acts themselves.
    fn differs(&self, acts_on: &Acts) -> bool {
        let told = |a: &Acts| (a.settings, a.operator, a.shape, a.journal);
        told(&self.acts_on) != told(acts_on) || self.acts_on.build != acts_on.build
    }

    /// Whether a span is to be written down now.
    pub fn is_due(&self, now: Ms, acts_on: &Acts) -> bool {
        let full =
            self.open.bookings.len() >= self.rules.bookings || self.open.counts.len() >= self.rules.kinds;
        full || now >= self.next() || self.differs(acts_on)
    }

    /// What is acted on from now on; what was done before is written down as done on what held then.
    pub fn acts_on(&mut self, now: Ms, at: Stamp, acts_on: &Acts, names: impl Fn(u64) -> Option<String>) {
        if !self.differs(acts_on) {
            return;
        }
        self.close(now, at, names);
        self.acts_on.clone_from(acts_on);
    }

    /// Writes the open span down, where it is due.
    pub fn tick(&mut self, now: Ms, at: Stamp, names: impl Fn(u64) -> Option<String>) {
        if self.is_due(now, &self.acts_on) {
            self.close(now, at, names);
        }
    }

    /// When `tick` is due.
    pub fn next(&self) -> Ms {
        self.open.since + self.rules.span
    }

    /// Ends the open span.
    pub fn close(&mut self, now: Ms, at: Stamp, names: impl Fn(u64) -> Option<String>) {
        if self.ended {
            return;
        }
        let empty = self.is_empty();
        let open = std::mem::replace(&mut self.open, Open { from: at, since: now, ..Open::default() });
        // Nothing done for a whole span is worth a line, too: it tells that nothing is missing.
        if empty && now - open.since < self.rules.span {
            self.open.from = open.from;
            self.open.since = open.since;
            return;
        }
        let mut counts: Vec<(Act, Tally)> = open.counts.into_iter().collect();
        counts.sort_by_key(|(act, _)| *act);
        let mut ids: Vec<u64> = counts.iter().flat_map(|(act, _)| ids(act)).collect();
        ids.sort_unstable();
        ids.dedup();
        let names = ids.into_iter().filter_map(|id| Some((id, names(id)?))).collect();
        self.write(&Record::Span(Box::new(Span {
            from: open.from,
            to: at,
            clock: (open.since, now),
            acts_on: self.acts_on.clone(),
            counts,
            bookings: open.bookings,
            ends: open.ends,
            unnamed: open.unnamed,
            untold: open.untold,
            names,
        })));
    }

    /// It ends as it should.
    pub fn end(&mut self, now: Ms, at: Stamp, names: impl Fn(u64) -> Option<String>) {
        if !self.ended {
            self.close(now, at, names);
            self.write(&Record::Ended { at });
            self.ended = true;
        }
    }

    fn write(&mut self, record: &Record) {
        self.number += 1;
        let link = Link::new(&self.name, self.start, self.number, self.head, record);
        self.head = link.hash();
        self.bytes += link.bytes();
        self.links.push_back(link);
        while self.bytes > self.rules.bytes && self.links.len() > 1 {
            let oldest = self.links.pop_front();
            self.bytes -= oldest.map_or(0, |link| link.bytes());
        }
    }

    /// The links from a number on, as far as they are kept.
    pub fn from(&self, number: u64) -> impl Iterator<Item = &Link> {
        self.links.iter().filter(move |link| link.number >= number)
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

/// The nodes that an act names.
fn ids(act: &Act) -> Vec<u64> {
    match act {
        Act::Attempt { to } | Act::Booking { to } | Act::Stage { to, .. } => vec![*to],
        Act::Fill { child, source } => vec![*child, *source],
        Act::Drain { cache, .. } | Act::Back { cache, .. } => vec![*cache],
        Act::Refused | Act::Failed | Act::Purge { .. } | Act::Batch { .. } | Act::ShutOut => Vec::new(),
    }
}
