//! Owns what follows from accounts alone: whether they hold together, what is missing, and who acted on what.
//!
//! Must never fill a gap by guess: what no link tells is a gap, with its bounds.

use std::collections::{BTreeMap, BTreeSet};

use linnethook_fellows::hlc::Stamp;
use linnethook_fellows::Ms;
use serde::Serialize;

use crate::record::{Act, Booking, BookingEnd, Hash, Link, Record, Span};

/// Something that is wrong or missing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// Nothing is known of what it did from there on, up to there: to its next start, or not known up to when.
    Gap { name: String, start: u64, after: u64, from: Option<Stamp>, to: Option<Stamp> },
    /// Two links for one place: two accounts for one start, or one that was rewritten.
    Fork { name: String, start: u64, number: u64 },
    /// It does not hang on the one before it.
    Broken { name: String, start: u64, number: u64 },
    /// It is of a version that can't be read here.
    Unreadable { name: String, start: u64, number: u64 },
}

/// One start of one router, as far as it is known.
#[derive(Debug, Clone, Default)]
pub struct Known {
    /// By number; of two for one place the one on which more hangs.
    links: BTreeMap<u64, (Hash, Record)>,
    pub ended: bool,
    /// Up to when something is known.
    pub until: Stamp,
    pub began: Option<(Stamp, Ms)>,
}

/// All accounts that some routers had.
#[derive(Debug, Clone, Default)]
pub struct Accounts {
    all: BTreeMap<(String, u64), Known>,
    pub findings: Vec<Finding>,
}

/// A span with whose it is.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    pub name: String,
    pub start: u64,
    pub number: u64,
    #[serde(flatten)]
    pub span: Span,
}

/// What a booking's attempts came to, by one router.
#[derive(Debug, Clone, Serialize)]
pub struct Trace {
    pub name: String,
    pub start: u64,
    pub to: Option<String>,
    pub attempt: Option<Booking>,
    pub end: Option<BookingEnd>,
    /// The hierarchy's version that it was sent on.
    pub shape: u64,
    pub journal: u64,
}

impl Accounts {
    /// Puts links together, from wherever they come and in any order.
    pub fn new(links: impl IntoIterator<Item = Link>) -> Self {
        let mut places = BTreeMap::<(String, u64), BTreeMap<u64, Vec<Link>>>::new();
        for link in links {
            let account = places.entry((link.name.clone(), link.start)).or_default();
            let place = account.entry(link.number).or_default();
            if !place.contains(&link) {
                place.push(link);
            }
        }
        let mut accounts = Self::default();
        for ((name, start), account) in places {
            let known = accounts.chain(&name, start, &account);
            accounts.all.insert((name, start), known);
        }
        accounts.name_gaps();
        accounts.findings.sort();
        accounts.findings.dedup();
        accounts
    }

    fn chain(&mut self, name: &str, start: u64, account: &BTreeMap<u64, Vec<Link>>) -> Known {
        let mut known = Known::default();
        let named = || (name.to_string(), start);
        for (number, place) in account {
            if place.len() > 1 {
                let (name, start) = named();
                self.findings.push(Finding::Fork { name, start, number: *number });
            }
            let before = known.links.get(&(number - 1)).map(|(hash, _)| *hash);
            let next: BTreeSet<Hash> =
                account.get(&(number + 1)).into_iter().flatten().map(|l| l.before).collect();
            // What hangs on the one before, and has something hanging on it.
            let fits = |link: &&Link| before.is_none_or(|before| link.before == before);
            let mut fitting: Vec<&Link> = place.iter().filter(fits).collect();
            fitting.sort_by_key(|link| (!next.contains(&link.hash()), link.hash()));
            let Some(link) = fitting.first() else {
                let (name, start) = named();
                self.findings.push(Finding::Broken { name, start, number: *number });
                continue;
            };
            let Some(record) = link.record() else {
                let (name, start) = named();
                self.findings.push(Finding::Unreadable { name, start, number: *number });
                continue;
            };
            match &record {
                Record::Began { at, clock } => known.began = Some((*at, *clock)),
                Record::Ended { .. } => known.ended = true,
                Record::Span(_) => {}
            }
            known.until = known.until.max(record.until());
            known.links.insert(*number, (link.hash(), record));
        }
        known
    }

    /// What is missing: within each account, before it, and behind it where it did not end.
    fn name_gaps(&mut self) {
        let mut gaps = Vec::new();
        let mut starts = self.all.iter().peekable();
        while let Some(((name, start), known)) = starts.next() {
            let mut gap = |after, from, to| {
                gaps.push(Finding::Gap { name: name.clone(), start: *start, after, from, to });
            };
            let mut last = 0;
            let mut until = None;
            for (number, (_, record)) in &known.links {
                if *number != last + 1 {
                    let from = if let Record::Span(span) = record { Some(span.from) } else { None };
                    gap(last, until, from);
                }
                (last, until) = (*number, Some(record.until()));
            }
            if !known.ended {
                let next = starts.peek().filter(|((next, _), _)| next == name);
                let to = next.and_then(|(_, known)| known.began).map(|(at, _)| at);
                gap(last, until, to);
            }
        }
        self.findings.extend(gaps);
    }

    /// From when on anything is known of each router: of what it did before nothing is said, and nothing is denied.
    pub fn known_from(&self) -> BTreeMap<&str, Stamp> {
        let mut from = BTreeMap::new();
        for ((name, _), known) in &self.all {
            let first = known.links.values().next().map(|(_, record)| match record {
                Record::Began { at, .. } | Record::Ended { at } => *at,
                Record::Span(span) => span.from,
            });
            if let Some(first) = first {
                let earliest = from.entry(name.as_str()).or_insert(first);
                *earliest = first.min(*earliest);
            }
        }
        from
    }

    pub fn starts(&self) -> impl Iterator<Item = (&(String, u64), &Known)> {
        self.all.iter()
    }

    /// All spans, by router, start and number.
    pub fn spans(&self) -> impl Iterator<Item = (&str, u64, u64, &Span)> {
        self.all.iter().flat_map(|((name, start), known)| {
            known.links.iter().filter_map(move |(number, (_, record))| match record {
                Record::Span(span) => Some((name.as_str(), *start, *number, &**span)),
                _ => None,
            })
        })
    }

    fn lines<'a>(&'a self, fits: impl Fn(&Span) -> bool + 'a) -> impl Iterator<Item = Line> + 'a {
        let fitting = self.spans().filter(move |(.., span)| fits(span));
        fitting.map(|(name, start, number, span)| Line {
            name: name.to_string(),
            start,
            number,
            span: span.clone(),
        })
    }

    /// Who acted on a version, and when: a number or a digest of the hierarchy, a build, or `journal:` with a number.
    pub fn who<'a>(&'a self, version: &'a str) -> impl Iterator<Item = Line> + 'a {
        self.lines(move |span| is_on(span, version))
    }

    /// What each acted on at a time, in Unix milliseconds by its own clock.
    pub fn at(&self, time: Ms) -> impl Iterator<Item = Line> + '_ {
        self.lines(move |span| (span.clock.0..span.clock.1.max(span.clock.0 + 1e-3)).contains(&time))
    }

    /// All that is known of a request's attempts.
    pub fn request(&self, id: &str) -> Vec<Trace> {
        let mut traces = Vec::<Trace>::new();
        for (name, start, _, span) in self.spans() {
            let named = |to: u64| span.names.iter().find(|(id, _)| *id == to).map(|(_, name)| name.clone());
            let trace = |to, attempt, end| Trace {
                name: name.to_string(),
                start,
                to,
                attempt,
                end,
                shape: span.acts_on.shape.0,
                journal: span.acts_on.journal,
            };
            for booking in span.bookings.iter().filter(|booking| booking.id == id) {
                traces.push(trace(named(booking.to), Some(booking.clone()), None));
            }
            for end in span.ends.iter().filter(|end| end.id == id) {
                let mine = |t: &&mut Trace| {
                    t.name == name
                        && t.start == start
                        && t.attempt.as_ref().is_some_and(|a| a.number == end.number)
                };
                match traces.iter_mut().find(mine) {
                    Some(trace) => trace.end = Some(end.clone()),
                    None => traces.push(trace(None, None, Some(end.clone()))),
                }
            }
        }
        traces.sort_by_key(|trace| trace.attempt.as_ref().map(|a| a.at).or(trace.end.as_ref().map(|e| e.at)));
        traces
    }

    /// When each router first acted on a version: by the time that orders them, and by its own clock.
    pub fn settled(&self, version: &str) -> Vec<(String, u64, Stamp, Ms)> {
        let mut first = BTreeMap::<(String, u64), (Stamp, Ms)>::new();
        for line in self.who(version) {
            let at = (line.span.from, line.span.clock.0);
            let known = first.entry((line.name, line.start)).or_insert(at);
            if at.0 < known.0 {
                *known = at;
            }
        }
        let mut all: Vec<_> =
            first.into_iter().map(|((name, start), (at, clock))| (name, start, at, clock)).collect();
        all.sort_by_key(|(.., at, _)| *at);
        all
    }

    /// Who acted on another hierarchy than that after it was settled at that time.
    pub fn behind(&self, digest: u64, since: Stamp) -> Vec<Line> {
        self.lines(move |span| span.acts_on.shape.1 != digest && span.from > since && !span.counts.is_empty())
            .collect()
    }

    /// Who heeded the drain or purge of a number of the journal, and when first.
    pub fn heeded(&self, wanted: u64) -> Vec<(String, u64, Stamp, bool)> {
        let mut all = Vec::new();
        for (name, start, _, span) in self.spans() {
            for (act, tally) in &span.counts {
                let by = match act {
                    Act::Drain { number, fellows, .. } | Act::Purge { number, fellows }
                        if *number == wanted =>
                    {
                        *fellows
                    }
                    _ => continue,
                };
                all.push((name.to_string(), start, tally.first, by));
            }
        }
        all.sort_by_key(|(.., at, _)| *at);
        all
    }

    /// Pairs of routers that filled by two shapes at once, by the time that orders them: the names and from when to when.
    pub fn two_shapes(&self) -> Vec<(String, String, Stamp, Stamp)> {
        let fills = |span: &Span| span.counts.iter().any(|(act, _)| matches!(act, Act::Fill { .. }));
        let spans: Vec<_> = self.spans().filter(|(.., span)| fills(span)).collect();
        let mut found = BTreeMap::<(String, String), (Stamp, Stamp)>::new();
        for (n, (a, _, _, one)) in spans.iter().enumerate() {
            for (b, _, _, other) in &spans[n + 1..] {
                let (from, to) = (one.from.max(other.from), one.to.min(other.to));
                if a != b && one.acts_on.shape.1 != other.acts_on.shape.1 && from < to {
                    let key =
                        if a < b { (a.to_string(), b.to_string()) } else { (b.to_string(), a.to_string()) };
                    let known = found.entry(key).or_insert((from, to));
                    *known = (known.0.min(from), known.1.max(to));
                }
            }
        }
        found.into_iter().map(|((a, b), (from, to))| (a, b, from, to)).collect()
    }
}

fn is_on(span: &Span, version: &str) -> bool {
    let acts = &span.acts_on;
    match version.split_once(':') {
        Some(("journal", number)) => number.parse() == Ok(acts.journal),
        Some(("build", build)) => acts.build == build,
        Some(("operator", digest)) => format!("{:016x}", acts.operator).starts_with(digest),
        Some(("settings", digest)) => format!("{:016x}", acts.settings).starts_with(digest),
        Some(_) => false,
        None => version.parse() == Ok(acts.shape.0) || format!("{:016x}", acts.shape.1) == version,
    }
}
