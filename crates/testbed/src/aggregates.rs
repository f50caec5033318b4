//! The rule of aggregates: the location summaries that routers show, compared with what ran according to the
//! recording.
//!
//! Which processes ran, which links were open and which versions were used is taken from the events that the
//! testbed recorded, never from what routers show. A summary that a fleet within its documented bounds may
//! show must not be reported as a breach.

use std::collections::{BTreeMap, BTreeSet};

use crate::recording::{LinkState, LocationSummary, Ms, RecordEntry, RecordedEvent};
use crate::rules::{AggregateBounds, Breach, Rule, RuleBounds};

/// Number of stragglers that a summary lists by name.
const LISTED_STRAGGLERS: u64 = 8;

/// Whether a location is the other one, or an ancestor of it.
fn encloses(place: &str, other: &str) -> bool {
    other.strip_prefix(place).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// All ancestors of a location, outermost first, and the location itself.
fn self_and_ancestors(place: &str) -> impl Iterator<Item = &str> {
    let ends = place.match_indices('/').map(|(at, _)| at).chain([place.len()]);
    ends.map(|end| &place[..end])
}

/// The run of one process: its start, its end, and the hierarchy versions of the fills that it requested,
/// with times.
#[derive(Debug, Clone)]
struct ProcessRun {
    from: Ms,
    to: Ms,
    versions: Vec<(Ms, u64)>,
}

/// Process runs by router, in the order of their starts.
type ProcessRuns<'a> = BTreeMap<&'a str, Vec<ProcessRun>>;

fn process_runs(lines: &[RecordEntry]) -> ProcessRuns<'_> {
    let mut process_runs = ProcessRuns::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Ran { router, .. } => {
                let all = process_runs.entry(router.as_str()).or_default();
                if all.last().is_none_or(|last| last.to.is_finite()) {
                    all.push(ProcessRun { from: line.at, to: f64::INFINITY, versions: Vec::new() });
                }
            }
            RecordedEvent::Ceased { router } => {
                let last = process_runs.get_mut(router.as_str()).and_then(|all| all.last_mut());
                last.into_iter().for_each(|last| last.to = last.to.min(line.at));
            }
            RecordedEvent::Asked { asked, .. } if asked.source.is_some() && !asked.cached_only => {
                let router = asked.router.as_deref().unwrap_or_default();
                let last = process_runs.get_mut(router).and_then(|all| all.last_mut());
                if let (Some(last), Some(version)) = (last, asked.version) {
                    last.versions.push((line.at, version));
                }
            }
            _ => {}
        }
    }
    process_runs
}

/// State of the fleet at a time, from the recording up to then.
#[derive(Default)]
struct FleetHistory<'a> {
    /// Location of each router that has ever run.
    places: BTreeMap<&'a str, &'a str>,
    up: BTreeSet<&'a str>,
    paused: BTreeSet<&'a str>,
    link_states: BTreeMap<(&'a str, &'a str), LinkState>,
    /// Time by which all changes of processes and links so far must be known everywhere.
    due: Ms,
    /// The floor, when it was raised, and how long a router may stay below it.
    floor: Option<(u64, Ms, Ms)>,
    /// The newest hierarchy version so far.
    newest: u64,
    /// Routers that their sites have counted, and when a summary showed that.
    counted: BTreeMap<&'a str, Ms>,
    /// Groups of routers that reach each other; `None` where a link is open in one direction only or uneven,
    /// or where a location is not connected by links within it.
    groups: Option<Vec<BTreeSet<&'a str>>>,
}

impl<'a> FleetHistory<'a> {
    fn levels(&self) -> f64 {
        self.places.values().map(|place| self_and_ancestors(place).count()).max().unwrap_or(0) as f64
    }

    fn runs(&self, router: &str) -> bool {
        self.up.contains(router) && !self.paused.contains(router)
    }

    /// Routers that run in a location.
    fn running_in(&self, place: &str) -> BTreeSet<&'a str> {
        let here = self.places.iter().filter(|(name, at)| encloses(place, at) && self.runs(name));
        here.map(|(name, _)| *name).collect()
    }

    fn link_state(&self, from: &str, to: &str) -> Option<LinkState> {
        self.link_states.get(&(from, to)).copied()
    }

    /// Records a change at `at` that must be known everywhere after `within` and the delay of all levels.
    fn changed(&mut self, at: Ms, within: Ms, rules: &RuleBounds) {
        let level_delay = rules.aggregates.level_delay * self.levels();
        self.due = self.due.max(at + within + level_delay + rules.slack);
        self.groups = self.reachable_groups();
    }

    /// Records that a router stopped. If its site has no running router left, the others notice only when the
    /// site's summary is not renewed.
    fn stopped(&mut self, at: Ms, router: &str, rules: &RuleBounds) {
        let bounds = rules.aggregates;
        let left = self.places.get(router).is_some_and(|site| !self.running_in(site).is_empty());
        let site = if left { 0.0 } else { bounds.summary_lifetime };
        self.changed(at, bounds.links + bounds.suspect + site, rules);
    }

    /// Routers that can be reached from one over open links between the routers of `among`.
    fn reachable_from(&self, from: &'a str, among: &BTreeSet<&'a str>) -> BTreeSet<&'a str> {
        let mut reached = BTreeSet::from([from]);
        let mut open = vec![from];
        while let Some(at) = open.pop() {
            let next = among.iter().filter(|to| self.link_state(at, to) == Some(LinkState::Open));
            for to in next {
                if reached.insert(to) {
                    open.push(to);
                }
            }
        }
        reached
    }

    fn reachable_groups(&self) -> Option<Vec<BTreeSet<&'a str>>> {
        let run: BTreeSet<&str> = self.up.iter().copied().filter(|name| self.runs(name)).collect();
        let both = |(from, to): &(&str, &str)| run.contains(from) && run.contains(to);
        let even = self.link_states.iter().filter(|(ends, _)| both(ends)).all(|((from, to), state)| {
            *state != LinkState::Uneven && self.link_state(to, from) == Some(*state)
        });
        if !even {
            return None;
        }
        let mut left = run.clone();
        let mut groups = Vec::new();
        while let Some(first) = left.first().copied() {
            let group = self.reachable_from(first, &run);
            left.retain(|name| !group.contains(name));
            for place in group.iter().flat_map(|name| self_and_ancestors(self.places[name])) {
                let here: BTreeSet<&str> =
                    group.iter().copied().filter(|name| encloses(place, self.places[name])).collect();
                let first = here.first().copied()?;
                if self.reachable_from(first, &here) != here {
                    return None;
                }
            }
            groups.push(group);
        }
        Some(groups)
    }

    fn group_of(&self, router: &str) -> Option<&BTreeSet<&'a str>> {
        self.groups.as_ref()?.iter().find(|group| group.contains(router))
    }

    fn apply(&mut self, line: &'a RecordEntry, rules: &RuleBounds) {
        let bounds = rules.aggregates;
        match &line.what {
            RecordedEvent::Ran { router, place } => {
                self.places.insert(router, place);
                self.up.insert(router);
                self.paused.remove(router.as_str());
                self.changed(line.at, bounds.links + bounds.suspect, rules);
            }
            RecordedEvent::Ceased { router } => {
                self.up.remove(router.as_str());
                self.stopped(line.at, router, rules);
            }
            RecordedEvent::Paused { router } => {
                self.paused.insert(router);
                self.stopped(line.at, router, rules);
            }
            RecordedEvent::Woken { router } if self.paused.remove(router.as_str()) => {
                self.changed(line.at, bounds.links + bounds.suspect + bounds.summary_lifetime, rules);
            }
            RecordedEvent::Linked { from, to, state }
                if self.link_states.insert((from, to), *state) != Some(*state) =>
            {
                self.changed(line.at, bounds.links + bounds.suspect + bounds.summary_lifetime, rules);
            }
            RecordedEvent::Shape { version, .. } => self.newest = self.newest.max(*version),
            RecordedEvent::Raised { version, bound } => self.floor = Some((*version, line.at, *bound)),
            _ => {}
        }
    }
}

/// Time by which all changes in a recording must be known everywhere.
pub fn changes_known_at(lines: &[RecordEntry], rules: &RuleBounds) -> Ms {
    let mut history = FleetHistory::default();
    lines.iter().for_each(|line| history.apply(line, rules));
    history.due
}

/// Checks the location summaries that routers show: never more routers than have run there, the exact count
/// once nothing has changed for the bound, no oldest version newer than one that a router acts on, and all
/// stragglers.
pub(crate) fn aggregates(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    if !lines.iter().any(|line| matches!(line.what, RecordedEvent::Shown { .. })) {
        return Vec::new();
    }
    let process_runs = process_runs(lines);
    let mut history = FleetHistory::default();
    let mut out = Vec::new();
    for line in lines {
        history.apply(line, rules);
        let RecordedEvent::Shown { router, since, fleet_size, places } = &line.what else { continue };
        let Some(own_location) = history.places.get(router.as_str()).copied() else { continue };
        let check = ResponseCheck {
            rules,
            process_runs: &process_runs,
            history: &history,
            router,
            own_location,
            since: *since,
            at: line.at,
        };
        let mut findings = check.fleet_size(*fleet_size);
        findings.extend(places.iter().filter_map(|place| check.location(place)));
        findings.extend(check.missing(places));
        let breach = |what| Breach { at: line.at, rule: Rule::Aggregates, what: format!("{router} {what}") };
        out.extend(findings.into_iter().map(breach));
        // A site with the exact count has counted every router that runs in it.
        for shown in places.iter().filter(|shown| shown.fresh) {
            let here = history.running_in(&shown.place);
            let site = history.places.values().any(|place| *place == shown.place);
            let all_ran =
                here.iter().all(|name| history.ran_throughout(&process_runs, name, *since, line.at));
            if site && all_ran && shown.alive == here.len() as u64 {
                here.into_iter().for_each(|name| _ = history.counted.insert(name, line.at));
            }
        }
    }
    out
}

impl FleetHistory<'_> {
    /// Whether one process of a router ran during that entire interval.
    fn ran_throughout(&self, process_runs: &ProcessRuns, router: &str, from: Ms, to: Ms) -> bool {
        let process_run = |process_run: &ProcessRun| process_run.from <= from && process_run.to >= to;
        process_runs.get(router).is_some_and(|all| all.iter().any(process_run))
    }
}

/// Checks one response of a router, requested at `since` and received at `at`.
struct ResponseCheck<'w, 'a> {
    rules: &'w RuleBounds,
    process_runs: &'w ProcessRuns<'a>,
    history: &'w FleetHistory<'a>,
    router: &'w str,
    /// Location of that router.
    own_location: &'a str,
    since: Ms,
    at: Ms,
}

impl ResponseCheck<'_, '_> {
    /// Routers that this router reaches, if nothing has changed for the bound; `None` otherwise.
    fn settled_group(&self) -> Option<&BTreeSet<&str>> {
        if self.since < self.history.due {
            return None;
        }
        self.history.group_of(self.router)
    }

    fn ever_ran(&self, place: &str) -> u64 {
        self.history.places.values().filter(|at| encloses(place, at)).count() as u64
    }

    /// Routers of a location that ran at some time within the allowed staleness of its count: each level may
    /// rely on the last summary of the level below it.
    fn ran_recently(&self, place: &str) -> u64 {
        let AggregateBounds { suspect, summary_lifetime, level_delay, links, .. } = self.rules.aggregates;
        let levels = self.history.levels();
        let late = links + suspect + levels * (summary_lifetime + level_delay) + self.rules.slack;
        let ran = |name: &str| {
            let ran =
                |process_run: &ProcessRun| process_run.from <= self.at && process_run.to >= self.since - late;
            self.process_runs.get(name).is_some_and(|all| all.iter().any(ran))
        };
        let here = self.history.places.iter().filter(|(name, at)| encloses(place, at) && ran(name));
        here.count() as u64
    }

    fn fleet_size(&self, fleet_size: Option<u64>) -> Vec<String> {
        let all = self.history.places.len() as u64;
        let over = fleet_size.filter(|fleet_size| *fleet_size > all);
        over.into_iter()
            .map(|fleet_size| format!("counts {fleet_size} routers in all, but only {all} have ever run"))
            .collect()
    }

    fn location(&self, shown: &LocationSummary) -> Option<String> {
        let LocationSummary { place, fresh, alive, counted, oldest, .. } = shown;
        let ever_ran = self.ever_ran(place);
        if *counted > ever_ran {
            return Some(format!(
                "counts {counted} routers in {place}, but only {ever_ran} have ever run there"
            ));
        }
        if !fresh {
            return self.stale_location(place);
        }
        let ran_recently = self.ran_recently(place);
        if *alive > ran_recently {
            return Some(format!(
                "shows {alive} alive in {place}, but only {ran_recently} ran there recently"
            ));
        }
        let group = self.settled_group()?;
        let running =
            self.history.running_in(place).iter().filter(|name| group.contains(*name)).count() as u64;
        if *alive != running {
            return Some(format!(
                "shows {alive} alive in {place}, where {running} run, after the bound for changes"
            ));
        }
        self.unlisted_straggler(shown).or_else(|| {
            let (name, version) = self.oldest(place, group)?;
            let newer = oldest.is_none_or(|oldest| oldest > version);
            newer.then(|| {
                format!("shows {oldest:?} as the oldest version in {place}, but {name} is at {version}")
            })
        })
    }

    /// A location shown as stale although routers of it are within reach.
    fn stale_location(&self, place: &str) -> Option<String> {
        let group = self.settled_group()?;
        let runs = self.history.running_in(place).iter().any(|name| group.contains(name));
        runs.then(|| format!("shows {place} as stale, where routers run, after the bound for changes"))
    }

    /// Locations that the router must know and does not show.
    fn missing(&self, shown: &[LocationSummary]) -> Vec<String> {
        let Some(group) = self.settled_group() else { return Vec::new() };
        let known: BTreeSet<&str> = shown.iter().map(|shown| shown.place.as_str()).collect();
        let is_shown_here = |place: &str| match place.rsplit_once('/') {
            Some((outer, _)) => encloses(outer, self.own_location),
            None => true,
        };
        let all = group.iter().flat_map(|name| self_and_ancestors(self.history.places[name]));
        let missing: BTreeSet<&str> =
            all.filter(|place| is_shown_here(place) && !known.contains(place)).collect();
        missing
            .into_iter()
            .map(|place| format!("does not show {place} after the bound for changes"))
            .collect()
    }

    /// The version that a router used from at least `long` before this response until after it. Versions only
    /// grow, so equal versions before and after mean that it did not change.
    fn acted_on(&self, name: &str, long: Ms) -> Option<u64> {
        let process_run = self
            .process_runs
            .get(name)?
            .iter()
            .find(|process_run| process_run.from <= self.since && process_run.to >= self.at)?;
        let before = process_run.versions.iter().rfind(|(at, _)| *at <= self.since - long)?;
        let after = process_run.versions.iter().find(|(at, _)| *at >= self.at)?;
        (before.1 == after.1).then_some(after.1)
    }

    /// The router that acts on the oldest version among those of a location within reach.
    fn oldest(&self, place: &str, group: &BTreeSet<&str>) -> Option<(String, u64)> {
        let AggregateBounds { suspect, level_delay, moves, .. } = self.rules.aggregates;
        let long = suspect + self.history.levels() * (level_delay + moves) + self.rules.slack;
        let here = self.history.running_in(place).into_iter().filter(|name| group.contains(name));
        let acted = here.filter_map(|name| Some((self.acted_on(name, long)?, name.to_string())));
        acted.min().map(|(version, name)| (name, version))
    }

    /// Whether a router acts on a version below the floor: proven by a fill after this response, as versions
    /// only grow, or because no version at or above the floor exists.
    fn is_below(&self, name: &str, floor: u64) -> bool {
        let process_run =
            |process_run: &&ProcessRun| process_run.from <= self.since && process_run.to >= self.at;
        let Some(process_run) = self.process_runs.get(name).and_then(|all| all.iter().find(process_run))
        else {
            return false;
        };
        let after = process_run.versions.iter().find(|(at, _)| *at >= self.at);
        self.history.newest < floor || after.is_some_and(|(_, version)| *version < floor)
    }

    /// Whether the router itself, or a router of its site that once counted it, is within reach.
    fn is_known(&self, name: &str, group: &BTreeSet<&str>) -> bool {
        let site = self.history.places[name];
        let Some(counted) = self.history.counted.get(name) else { return false };
        let site_peer = |site_peer: &&str| {
            self.history.places[site_peer] == site
                && self.history.ran_throughout(self.process_runs, site_peer, *counted, self.at)
        };
        group.contains(name) || group.iter().any(site_peer)
    }

    /// A straggler that is not counted, or not listed by name although the list has free entries.
    fn unlisted_straggler(&self, shown: &LocationSummary) -> Option<String> {
        let AggregateBounds { suspect, level_delay, .. } = self.rules.aggregates;
        let (floor, raised, bound) = self.history.floor?;
        if self.since < raised + bound + suspect + self.history.levels() * level_delay + self.rules.slack {
            return None;
        }
        let group = self.history.group_of(self.router)?;
        let here = self.history.running_in(&shown.place);
        let is_behind = |name: &&str| self.is_below(name, floor) && self.is_known(name, group);
        let behind: Vec<&str> = here.into_iter().filter(is_behind).collect();
        if (behind.len() as u64) > shown.behind {
            let what = format!(
                "counts {} stragglers in {}, but {behind:?} are below version {floor}",
                shown.behind, shown.place
            );
            return Some(what);
        }
        let unnamed = behind.iter().find(|name| !shown.stragglers.iter().any(|named| named == *name));
        let unnamed = unnamed.filter(|_| shown.behind <= LISTED_STRAGGLERS)?;
        Some(format!("does not list {unnamed} in {}, which is below version {floor}", shown.place))
    }
}
