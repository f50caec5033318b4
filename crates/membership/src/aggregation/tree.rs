//! Owns what this router says of places as a whole: for which it speaks, what their summaries are, and when one is told.
//!
//! The first by name of those alive in a site speaks for it; whoever speaks for the first part of a place that is heard
//! of speaks for the place. Must never speak for a place that another one speaks for better, nor sum up a part of which
//! nothing is heard any more as if it were there.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::aggregation::location::Location;
use crate::aggregation::summary::{Summary, SummaryReport};
use crate::gossip::entry::Revision;
use crate::hybrid_clock::Timestamp;
use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AggregationConfig {
    /// How far routers have come is said so often by itself; a change of the hierarchy is said at once.
    pub progress_interval: Ms,
    /// News of a place is gathered until none has come for so long, and for three times as long at the most, before its
    /// summary is told.
    pub gather_delay: Ms,
    /// A summary is told again after so long; one that was not for three times as long is not relied on any more.
    pub renew_interval: Ms,
    /// That a place has gone over to another hierarchy as a whole is told at once, and so often at the most.
    pub transition_interval: Ms,
}

impl Default for AggregationConfig {
    fn default() -> Self {
        Self {
            progress_interval: 10_000.0,
            gather_delay: 400.0,
            renew_interval: 10_000.0,
            transition_interval: 5_000.0,
        }
    }
}

/// A summary as it was heard last.
#[derive(Debug, Clone)]
pub struct ReceivedSummary {
    pub report: SummaryReport,
    pub revision: Revision,
    /// By the own clock.
    pub received_at: Ms,
}

/// What this router has told of a place that it speaks for.
#[derive(Debug, Clone)]
struct PublishedSummary {
    summary: Summary,
    revision: Revision,
    published_at: Ms,
    /// Since when there is news.
    pending_since: Option<Ms>,
    /// What would be told, and since when.
    latest: Summary,
    latest_since: Ms,
    /// When it was told last that all have gone over to another hierarchy, if it was.
    last_transition: Option<Ms>,
    /// Another one told it after this router did.
    superseded: bool,
}

/// Another one that speaks for the same place.
#[derive(Debug, Clone, Default)]
struct RivalAggregator {
    name: String,
    reports: u32,
    last_report: Ms,
    /// It speaks better: until then this router does not.
    yield_until: Ms,
}

#[derive(Debug, Clone)]
pub struct SummaryTree {
    config: AggregationConfig,
    router: String,
    location: Location,
    received: BTreeMap<Location, ReceivedSummary>,
    /// By depth.
    published: BTreeMap<usize, PublishedSummary>,
    rivals: BTreeMap<usize, RivalAggregator>,
    /// It knows too little to speak before.
    silent_until: Ms,
    deadline: Ms,
}

/// So many times as long news is gathered at the most.
const MAX_GATHER_FACTOR: f64 = 3.0;
/// Summaries that are kept.
const MAX_RECEIVED: usize = 4_096;

impl SummaryTree {
    /// Before `from` it says nothing.
    pub fn new(rule: AggregationConfig, me: &str, place: Location, from: Ms) -> Self {
        let (heard, mine, rivals) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            config: rule,
            router: me.to_string(),
            location: place,
            received: heard,
            published: mine,
            rivals,
            silent_until: from,
            deadline: from,
        }
    }

    pub fn set_config(&mut self, rule: AggregationConfig) {
        self.config = rule;
    }

    /// It knows too little again: it was frozen.
    pub fn stay_silent_until(&mut self, from: Ms) {
        self.silent_until = self.silent_until.max(from);
        self.published.clear();
        self.deadline = self.deadline.max(self.silent_until);
    }

    /// How long a summary is relied on.
    pub fn validity(&self) -> Ms {
        self.config.renew_interval * 3.0
    }

    pub fn is_fresh(&self, now: Ms, clock: Timestamp, heard: &ReceivedSummary) -> bool {
        let by_order = clock.ms.saturating_sub(heard.revision.0) as f64;
        now - heard.received_at < self.validity() && by_order < self.validity()
    }

    pub fn received(&self) -> &BTreeMap<Location, ReceivedSummary> {
        &self.received
    }

    /// Whether it says something of that place now.
    pub fn aggregates(&self, place: &Location) -> bool {
        place.contains(&self.location) && self.published.contains_key(&place.depth())
    }

    /// A summary came that is newer than the one that was known.
    pub fn receive(&mut self, now: Ms, place: Location, told: SummaryReport, order: Revision) {
        self.deadline = now;
        if place.contains(&self.location) {
            self.record_rival(now, place.depth(), &told, order);
        }
        if self.received.len() < MAX_RECEIVED || self.received.contains_key(&place) {
            self.received.insert(place, ReceivedSummary { report: told, revision: order, received_at: now });
        }
    }

    /// Another one spoke for a place of which this router has told something. It may be about to hear of this one, or
    /// not hear of it for long: then the one that counts more alive goes on, and of equal ones the first by name.
    fn record_rival(&mut self, now: Ms, depth: usize, told: &SummaryReport, order: Revision) {
        let Some(mine) = self.published.get_mut(&depth).filter(|mine| order > mine.revision) else { return };
        mine.superseded = true;
        // Its own word from an earlier start.
        if told.reported_by == self.router {
            return;
        }
        let rival = self.rivals.entry(depth).or_default();
        if rival.name != told.reported_by || now - rival.last_report > self.config.renew_interval {
            *rival = RivalAggregator { name: told.reported_by.clone(), ..RivalAggregator::default() };
        }
        rival.reports += 1;
        rival.last_report = now;
        let better =
            (told.summary.alive, Reverse(&told.reported_by)) > (mine.summary.alive, Reverse(&self.router));
        if better && rival.reports > 1 {
            rival.reports = 0;
            rival.yield_until = now + self.config.renew_interval;
        }
    }

    /// A place that is not known any more.
    pub fn forget(&mut self, place: &Location) {
        self.received.remove(place);
        self.deadline = 0.0;
    }

    /// Something in the site has changed.
    pub fn mark_changed(&mut self, now: Ms) {
        self.deadline = self.deadline.min(now);
    }

    /// The parts of a place put together, as far as they are heard of.
    pub fn summarize(&self, now: Ms, clock: Timestamp, of: &Location) -> Summary {
        let mut sum = Summary::default();
        for (_, heard) in self.received.iter().filter(|(place, _)| place.is_child_of(of)) {
            match self.is_fresh(now, clock, heard) {
                true => sum.merge(&heard.report.summary),
                false => sum.merge_unreachable(&heard.report.summary),
            }
        }
        sum
    }

    /// Whether the own part of a place is the first that is heard of.
    fn own_child_is_first(&self, now: Ms, clock: Timestamp, of: &Location) -> bool {
        let own = self.location.ancestor(of.depth() + 1);
        let fresh = |(place, heard): (&Location, &ReceivedSummary)| {
            (place.is_child_of(of) && self.is_fresh(now, clock, heard)).then(|| place.clone())
        };
        self.received.iter().find_map(fresh) == Some(own)
    }

    /// What is to be told by now, from the site outwards; `first` where no one before this router is alive in it.
    pub fn due_reports(
        &mut self,
        now: Ms,
        clock: Timestamp,
        site: &Summary,
        first: bool,
    ) -> Vec<(Location, SummaryReport, Revision)> {
        let mut out = Vec::new();
        self.deadline = now + self.config.renew_interval;
        if now < self.silent_until {
            self.deadline = self.silent_until;
            return out;
        }
        let mut speaks = first;
        for depth in (1..=self.location.depth()).rev() {
            let place = self.location.ancestor(depth);
            let whole = depth == self.location.depth();
            speaks = speaks && (whole || self.own_child_is_first(now, clock, &place));
            let until = self.rivals.get(&depth).map_or(0.0, |rival| rival.yield_until);
            if !speaks || now < until {
                speaks = false;
                self.published.remove(&depth);
                continue;
            }
            let sum = if whole { site.clone() } else { self.summarize(now, clock, &place) };
            if let Some(told) = self.due_report(now, clock, &place, sum.truncated()) {
                out.push(told);
            }
        }
        out
    }

    fn due_report(
        &mut self,
        now: Ms,
        clock: Timestamp,
        place: &Location,
        summary: Summary,
    ) -> Option<(Location, SummaryReport, Revision)> {
        let AggregationConfig {
            gather_delay: gather, renew_interval: renew, transition_interval: moves, ..
        } = self.config;
        let known = self.received.get(place);
        let depth = place.depth();
        let mut moved = None;
        if let Some(mine) = self.published.get_mut(&depth) {
            if mine.latest.differs_beyond_progress(&summary) {
                mine.latest.clone_from(&summary);
                mine.latest_since = now;
            }
            moved = mine.last_transition;
            // What comes one after another is told together, once no more has come for a while.
            let gathered = mine.latest_since + gather;
            let at = if !mine.superseded && mine.summary.is_hierarchy_transition(&summary) {
                mine.pending_since = None;
                gathered.max(moved.map_or(0.0, |moved| moved + moves))
            } else if mine.superseded || mine.summary.differs_beyond_progress(&summary) {
                let first = *mine.pending_since.get_or_insert(now);
                gathered.min(first + gather * MAX_GATHER_FACTOR)
            } else {
                mine.pending_since = None;
                f64::INFINITY
            };
            // Nor is a summary renewed in the middle of a change.
            let renewed = (mine.published_at + renew)
                .max(gathered.min(mine.published_at + renew + gather * MAX_GATHER_FACTOR));
            let at = at.max(mine.published_at + gather).min(renewed);
            if mine.summary.groups != summary.groups {
                moved = Some(now);
            }
            if now < at {
                self.deadline = self.deadline.min(at);
                return None;
            }
        }
        // Above whatever was told of it, by whomever.
        let known = known.map_or(0, |heard| heard.revision.0.saturating_add(1));
        let order = (clock.ms.max(known), 0);
        let told = SummaryReport { reported_by: self.router.clone(), summary: summary.clone() };
        let seen = summary.clone();
        self.published.insert(
            depth,
            PublishedSummary {
                summary,
                revision: order,
                published_at: now,
                pending_since: None,
                latest: seen,
                latest_since: now,
                last_transition: moved,
                superseded: false,
            },
        );
        self.received.insert(
            place.clone(),
            ReceivedSummary { report: told.clone(), revision: order, received_at: now },
        );
        Some((place.clone(), told, order))
    }

    /// When something may be to be told.
    pub fn next_deadline(&self) -> Ms {
        self.deadline
    }
}
