//! Which locations this router aggregates, and when it publishes their summaries.
//!
//! The first router by name that is alive in a site aggregates the site. Whichever router aggregates the
//! first child location with a fresh summary also aggregates the parent. A router yields a location for a
//! while to a rival whose summary counts more alive routers. A summary that is no longer fresh counts only as
//! unreachable routers.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::aggregation::location::Location;
use crate::aggregation::summary::{Summary, SummaryReport};
use crate::gossip::entry::Revision;
use crate::hybrid_clock::Timestamp;
use crate::Ms;

/// When summaries and progress are published.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AggregationConfig {
    /// How often a router reports its progress. A change of the hierarchy is reported at once.
    pub progress_interval: Ms,
    /// A changed summary is published once nothing has changed for this long, and after
    /// [`MAX_GATHER_FACTOR`] times this long at the latest.
    pub gather_delay: Ms,
    /// How often an unchanged summary is published again. It stays fresh for [`VALIDITY_FACTOR`] times this
    /// long.
    pub renew_interval: Ms,
    /// A location's complete transition to another hierarchy is published at once, but no more often than
    /// this.
    pub transition_interval: Ms,
}

/// Changes are gathered for at most this many times the gather delay.
pub const MAX_GATHER_FACTOR: f64 = 3.0;
/// A summary is fresh for this many times the renew interval.
pub const VALIDITY_FACTOR: f64 = 3.0;
/// The largest number of stored summaries.
const MAX_RECEIVED: usize = 4_096;

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

/// The newest known summary of a location.
#[derive(Debug, Clone)]
pub struct ReceivedSummary {
    /// The summary and its aggregator.
    pub report: SummaryReport,
    /// Orders the reports of the location.
    pub revision: Revision,
    /// When it was received, by the clock of this router.
    pub received_at: Ms,
}

/// The last summary that this router published of a location that it aggregates.
#[derive(Debug, Clone)]
struct PublishedSummary {
    summary: Summary,
    revision: Revision,
    published_at: Ms,
    /// Since when there is a change to publish.
    pending_since: Option<Ms>,
    /// The current summary, and since when it is the current one.
    latest: Summary,
    latest_since: Ms,
    /// When a transition to another hierarchy was last published.
    last_transition: Option<Ms>,
    /// Another router has published a newer one.
    superseded: bool,
}

/// Another router that aggregates the same location.
#[derive(Debug, Clone, Default)]
struct RivalAggregator {
    name: String,
    reports: u32,
    last_report: Ms,
    /// Until then this router does not aggregate the location.
    yield_until: Ms,
}

/// A summary to publish.
#[derive(Debug, Clone, PartialEq)]
pub struct DueReport {
    /// The summarized location.
    pub location: Location,
    /// The summary, with this router as its aggregator.
    pub report: SummaryReport,
    /// Newer than all known reports of the location.
    pub revision: Revision,
}

/// Summaries of locations: those received, and those that this router publishes.
#[derive(Debug, Clone)]
pub struct SummaryTree {
    config: AggregationConfig,
    router: String,
    location: Location,
    received: BTreeMap<Location, ReceivedSummary>,
    /// By depth of the location.
    published: BTreeMap<usize, PublishedSummary>,
    rivals: BTreeMap<usize, RivalAggregator>,
    /// Until then nothing is published, because too little is known.
    silent_until: Ms,
    deadline: Ms,
}

impl SummaryTree {
    /// The tree of a router at a location, which publishes nothing before `silent_until`.
    pub fn new(config: AggregationConfig, router: &str, location: Location, silent_until: Ms) -> Self {
        Self {
            config,
            router: router.to_string(),
            location,
            received: BTreeMap::new(),
            published: BTreeMap::new(),
            rivals: BTreeMap::new(),
            silent_until,
            deadline: silent_until,
        }
    }

    /// Applies other settings.
    pub fn set_config(&mut self, config: AggregationConfig) {
        self.config = config;
    }

    /// Suspends publishing until then: the process was frozen, and its state may be outdated.
    pub fn stay_silent_until(&mut self, until: Ms) {
        self.silent_until = self.silent_until.max(until);
        self.published.clear();
        self.deadline = self.deadline.max(self.silent_until);
    }

    /// How long a summary is fresh.
    pub fn validity(&self) -> Ms {
        self.config.renew_interval * VALIDITY_FACTOR
    }

    /// Whether a summary is fresh, by this router's clock and by the clock that orders events of several
    /// routers.
    pub fn is_fresh(&self, now: Ms, clock: Timestamp, received: &ReceivedSummary) -> bool {
        let age_by_revision = clock.ms.saturating_sub(received.revision.epoch) as f64;
        now - received.received_at < self.validity() && age_by_revision < self.validity()
    }

    /// The newest known summary of each location.
    pub fn received(&self) -> &BTreeMap<Location, ReceivedSummary> {
        &self.received
    }

    /// Whether this router aggregates that location now.
    pub fn aggregates(&self, location: &Location) -> bool {
        location.contains(&self.location) && self.published.contains_key(&location.depth())
    }

    /// Stores a summary that is newer than the known one.
    pub fn receive(&mut self, now: Ms, location: Location, report: SummaryReport, revision: Revision) {
        self.deadline = now;
        if location.contains(&self.location) {
            self.record_rival(now, location.depth(), &report, revision);
        }
        if self.received.len() < MAX_RECEIVED || self.received.contains_key(&location) {
            self.received.insert(location, ReceivedSummary { report, revision, received_at: now });
        }
    }

    /// Records that another router published a summary of a location that this router aggregates, too. The
    /// two may not know of each other yet, or may have learned of each other only recently. If the rival
    /// continues to publish, the router whose summary counts more alive routers remains the aggregator; of
    /// equal ones the first by name.
    fn record_rival(&mut self, now: Ms, depth: usize, report: &SummaryReport, revision: Revision) {
        let published = self.published.get_mut(&depth);
        let Some(published) = published.filter(|published| revision > published.revision) else { return };
        published.superseded = true;
        let is_own_earlier_incarnation = report.reported_by == self.router;
        if is_own_earlier_incarnation {
            return;
        }
        let rival = self.rivals.entry(depth).or_default();
        if rival.name != report.reported_by || now - rival.last_report > self.config.renew_interval {
            *rival = RivalAggregator { name: report.reported_by.clone(), ..RivalAggregator::default() };
        }
        rival.reports += 1;
        rival.last_report = now;
        let theirs = (report.summary.alive, Reverse(&report.reported_by));
        let is_better = theirs > (published.summary.alive, Reverse(&self.router));
        if is_better && rival.reports > 1 {
            rival.reports = 0;
            rival.yield_until = now + self.config.renew_interval;
        }
    }

    /// Forgets the summary of a location.
    pub fn forget(&mut self, location: &Location) {
        self.received.remove(location);
        self.deadline = 0.0;
    }

    /// Records that something in the site has changed.
    pub fn mark_changed(&mut self, now: Ms) {
        self.deadline = self.deadline.min(now);
    }

    /// The merged summaries of all child locations.
    pub fn summarize(&self, now: Ms, clock: Timestamp, parent: &Location) -> Summary {
        let mut total = Summary::default();
        let children = self.received.iter().filter(|(location, _)| location.is_child_of(parent));
        for (_, child) in children {
            match self.is_fresh(now, clock, child) {
                true => total.merge(&child.report.summary),
                false => total.merge_unreachable(&child.report.summary),
            }
        }
        total
    }

    /// Whether this router's own child location is the first one with a fresh summary.
    fn own_child_is_first(&self, now: Ms, clock: Timestamp, parent: &Location) -> bool {
        let own_child = self.location.ancestor(parent.depth() + 1);
        let is_fresh_child = |(location, received): &(&Location, &ReceivedSummary)| {
            location.is_child_of(parent) && self.is_fresh(now, clock, received)
        };
        let first = self.received.iter().find(is_fresh_child);
        first.is_some_and(|(location, _)| *location == own_child)
    }

    /// The summaries to publish now, from the site outwards. `is_first_in_site` is true if no router with an
    /// earlier name is alive in the site.
    pub fn due_reports(
        &mut self,
        now: Ms,
        clock: Timestamp,
        site: &Summary,
        is_first_in_site: bool,
    ) -> Vec<DueReport> {
        let mut reports = Vec::new();
        self.deadline = now + self.config.renew_interval;
        if now < self.silent_until {
            self.deadline = self.silent_until;
            return reports;
        }
        let mut is_aggregator = is_first_in_site;
        for depth in (1..=self.location.depth()).rev() {
            let location = self.location.ancestor(depth);
            let is_site = depth == self.location.depth();
            is_aggregator = is_aggregator && (is_site || self.own_child_is_first(now, clock, &location));
            let yield_until = self.rivals.get(&depth).map_or(0.0, |rival| rival.yield_until);
            if !is_aggregator || now < yield_until {
                is_aggregator = false;
                self.published.remove(&depth);
                continue;
            }
            let summary = if is_site { site.clone() } else { self.summarize(now, clock, &location) };
            reports.extend(self.due_report(now, clock, location, summary.truncated()));
        }
        reports
    }

    /// The report of one location, if it is due; else lowers the deadline to the time at which it will be
    /// due.
    fn due_report(
        &mut self,
        now: Ms,
        clock: Timestamp,
        location: Location,
        summary: Summary,
    ) -> Option<DueReport> {
        let depth = location.depth();
        let mut last_transition = None;
        if let Some(published) = self.published.get_mut(&depth) {
            let due_at = published.due_at(now, &summary, &self.config);
            last_transition = published.last_transition;
            if published.summary.groups != summary.groups {
                last_transition = Some(now);
            }
            if now < due_at {
                self.deadline = self.deadline.min(due_at);
                return None;
            }
        }
        Some(self.publish(now, clock, location, summary, last_transition))
    }

    fn publish(
        &mut self,
        now: Ms,
        clock: Timestamp,
        location: Location,
        summary: Summary,
        last_transition: Option<Ms>,
    ) -> DueReport {
        // Newer than all known reports of the location, whichever router published them.
        let known = self.received.get(&location);
        let after_known = known.map_or(0, |received| received.revision.epoch.saturating_add(1));
        let revision = Revision::new(clock.ms.max(after_known), 0);
        let report = SummaryReport { reported_by: self.router.clone(), summary: summary.clone() };
        let published = PublishedSummary {
            latest: summary.clone(),
            summary,
            revision,
            published_at: now,
            pending_since: None,
            latest_since: now,
            last_transition,
            superseded: false,
        };
        self.published.insert(location.depth(), published);
        let received = ReceivedSummary { report: report.clone(), revision, received_at: now };
        self.received.insert(location.clone(), received);
        DueReport { location, report, revision }
    }

    /// When a report may be due.
    pub fn next_deadline(&self) -> Ms {
        self.deadline
    }
}

impl PublishedSummary {
    /// When the next report is due, given the summary as it is now.
    fn due_at(&mut self, now: Ms, summary: &Summary, config: &AggregationConfig) -> Ms {
        if self.latest.differs_apart_from_progress(summary) {
            self.latest.clone_from(summary);
            self.latest_since = now;
        }
        let max_gather = config.gather_delay * MAX_GATHER_FACTOR;
        // Changes in quick succession are published together, once the gather delay has passed without
        // another one.
        let gathered_at = self.latest_since + config.gather_delay;
        let change_at = if !self.superseded && self.summary.is_hierarchy_transition(summary) {
            self.pending_since = None;
            let transition_at = self.last_transition.map_or(0.0, |last| last + config.transition_interval);
            gathered_at.max(transition_at)
        } else if self.superseded || self.summary.differs_apart_from_progress(summary) {
            let pending_since = *self.pending_since.get_or_insert(now);
            gathered_at.min(pending_since + max_gather)
        } else {
            self.pending_since = None;
            f64::INFINITY
        };
        // A renewal is delayed while changes are being gathered, too.
        let renew_at = self.published_at + config.renew_interval;
        let renew_at = renew_at.max(gathered_at.min(renew_at + max_gather));
        change_at.max(self.published_at + config.gather_delay).min(renew_at)
    }
}
