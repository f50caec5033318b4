//! The rule of aggregates: what routers show of locations, compared with what ran by the recording.
//!
//! Reads which processes ran, which links were open and which versions were acted on, as the stand-ins saw it; what is
//! shown is judged and never believed. Must call nothing a breach that a fleet within its documented bounds may show.

use std::collections::{BTreeMap, BTreeSet};

use crate::recording::{LinkState, LocationSummary, Ms, RecordEntry, RecordedEvent};
use crate::rules::{AggregateBounds, Breach, Rule, RuleBounds};

/// Stragglers that a summary names.
const NAMED: u64 = 8;

/// Whether a place is that one, or around it.
fn holds(place: &str, other: &str) -> bool {
    other.strip_prefix(place).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The place and all around it.
fn around(place: &str) -> impl Iterator<Item = &str> {
    let ends = place.match_indices('/').map(|(at, _)| at).chain([place.len()]);
    ends.map(|end| &place[..end])
}

/// A process: from when to when it ran, and the versions that it had fills made on.
#[derive(Debug, Clone)]
struct Life {
    from: Ms,
    to: Ms,
    versions: Vec<(Ms, u64)>,
}

/// Processes by router.
type Lives<'a> = BTreeMap<&'a str, Vec<Life>>;

fn lives(lines: &[RecordEntry]) -> Lives<'_> {
    let mut lives = Lives::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Ran { router, .. } => {
                let all = lives.entry(router.as_str()).or_default();
                if all.last().is_none_or(|last| last.to.is_finite()) {
                    all.push(Life { from: line.at, to: f64::INFINITY, versions: Vec::new() });
                }
            }
            RecordedEvent::Ceased { router } => {
                let last = lives.get_mut(router.as_str()).and_then(|all| all.last_mut());
                last.into_iter().for_each(|last| last.to = last.to.min(line.at));
            }
            RecordedEvent::Asked { asked, .. } if asked.source.is_some() && !asked.cached_only => {
                let router = asked.router.as_deref().unwrap_or_default();
                let last = lives.get_mut(router).and_then(|all| all.last_mut());
                if let (Some(last), Some(version)) = (last, asked.version) {
                    last.versions.push((line.at, version));
                }
            }
            _ => {}
        }
    }
    lives
}

/// What there is at a time, by the record up to then.
#[derive(Default)]
struct FleetHistory<'a> {
    /// Where each router stands that has ever run.
    places: BTreeMap<&'a str, &'a str>,
    up: BTreeSet<&'a str>,
    paused: BTreeSet<&'a str>,
    ways: BTreeMap<(&'a str, &'a str), LinkState>,
    /// When all that has changed is known everywhere, and the same of changes of the hierarchy by restarts.
    due: Ms,
    /// The floor, since when, and how long a router may stay below it.
    floor: Option<(u64, Ms, Ms)>,
    /// The newest version that there is.
    newest: u64,
    /// Routers that were counted in their sites, and when that was shown.
    counted: BTreeMap<&'a str, Ms>,
    /// Those within reach of each other; nothing where a link is open in one direction only or uneven, or where a place
    /// does not hang together by itself.
    parts: Option<Vec<BTreeSet<&'a str>>>,
}

impl<'a> FleetHistory<'a> {
    fn levels(&self) -> f64 {
        self.places.values().map(|place| around(place).count()).max().unwrap_or(0) as f64
    }

    fn runs(&self, router: &str) -> bool {
        self.up.contains(router) && !self.paused.contains(router)
    }

    /// Those that run in a place.
    fn within(&self, place: &str) -> BTreeSet<&'a str> {
        let here = self.places.iter().filter(|(name, at)| holds(place, at) && self.runs(name));
        here.map(|(name, _)| *name).collect()
    }

    fn link_state(&self, from: &str, to: &str) -> Option<LinkState> {
        self.ways.get(&(from, to)).copied()
    }

    /// Something changed that is known everywhere so much later.
    fn changed(&mut self, at: Ms, within: Ms, rules: &RuleBounds) {
        let by_level = rules.aggregates.by_level * self.levels();
        self.due = self.due.max(at + within + by_level + rules.slack);
        self.parts = self.reach();
    }

    /// One that stopped: where its site has nobody left, that is noticed only by summaries that are not renewed.
    fn stopped(&mut self, at: Ms, router: &str, rules: &RuleBounds) {
        let bounds = rules.aggregates;
        let left = self.places.get(router).is_some_and(|site| !self.within(site).is_empty());
        let site = if left { 0.0 } else { bounds.relied_on };
        self.changed(at, bounds.links + bounds.suspect + site, rules);
    }

    /// Those that can be reached from one over open links between some.
    fn reached(&self, from: &'a str, among: &BTreeSet<&'a str>) -> BTreeSet<&'a str> {
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

    fn reach(&self) -> Option<Vec<BTreeSet<&'a str>>> {
        let run: BTreeSet<&str> = self.up.iter().copied().filter(|name| self.runs(name)).collect();
        let both = |(from, to): &(&str, &str)| run.contains(from) && run.contains(to);
        let even = self.ways.iter().filter(|(ends, _)| both(ends)).all(|((from, to), state)| {
            *state != LinkState::Uneven && self.link_state(to, from) == Some(*state)
        });
        if !even {
            return None;
        }
        let mut left = run.clone();
        let mut parts = Vec::new();
        while let Some(first) = left.first().copied() {
            let part = self.reached(first, &run);
            left.retain(|name| !part.contains(name));
            for place in part.iter().flat_map(|name| around(self.places[name])) {
                let here: BTreeSet<&str> =
                    part.iter().copied().filter(|name| holds(place, self.places[name])).collect();
                let first = here.first().copied()?;
                if self.reached(first, &here) != here {
                    return None;
                }
            }
            parts.push(part);
        }
        Some(parts)
    }

    fn part_of(&self, router: &str) -> Option<&BTreeSet<&'a str>> {
        self.parts.as_ref()?.iter().find(|part| part.contains(router))
    }

    fn take(&mut self, line: &'a RecordEntry, rules: &RuleBounds) {
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
                self.changed(line.at, bounds.links + bounds.suspect + bounds.relied_on, rules);
            }
            RecordedEvent::Linked { from, to, state }
                if self.ways.insert((from, to), *state) != Some(*state) =>
            {
                self.changed(line.at, bounds.links + bounds.suspect + bounds.relied_on, rules);
            }
            RecordedEvent::Shape { version, .. } => self.newest = self.newest.max(*version),
            RecordedEvent::Raised { version, bound } => self.floor = Some((*version, line.at, *bound)),
            _ => {}
        }
    }
}

/// When all that has changed by the end of a record is known everywhere.
pub fn quiet_from(lines: &[RecordEntry], rules: &RuleBounds) -> Ms {
    let mut world = FleetHistory::default();
    lines.iter().for_each(|line| world.take(line, rules));
    world.due
}

/// What a router shows of places: never more than there were, the plain count once nothing has changed for the bound,
/// no newer a version than one that a router acts on, and every straggler.
pub(crate) fn aggregates(lines: &[RecordEntry], rules: &RuleBounds) -> Vec<Breach> {
    if !lines.iter().any(|line| matches!(line.what, RecordedEvent::Shown { .. })) {
        return Vec::new();
    }
    let lives = lives(lines);
    let mut world = FleetHistory::default();
    let mut out = Vec::new();
    for line in lines {
        world.take(line, rules);
        let RecordedEvent::Shown { router, since, fleet_size, places } = &line.what else { continue };
        let Some(own) = world.places.get(router.as_str()).copied() else { continue };
        let judge = Judge { rules, lives: &lives, world: &world, router, own, since: *since, at: line.at };
        let mut problems = judge.fleet_size(*fleet_size);
        problems.extend(places.iter().filter_map(|place| judge.place(place)));
        problems.extend(judge.missing(places));
        let breach = |what| Breach { at: line.at, rule: Rule::Aggregates, what: format!("{router} {what}") };
        out.extend(problems.into_iter().map(breach));
        // A site whose count is the plain one has counted each that runs in it.
        for shown in places.iter().filter(|shown| shown.fresh) {
            let here = world.within(&shown.place);
            let site = world.places.values().any(|place| *place == shown.place);
            let stood = here.iter().all(|name| world.lived(&lives, name, *since, line.at));
            if site && stood && shown.alive == here.len() as u64 {
                here.into_iter().for_each(|name| _ = world.counted.insert(name, line.at));
            }
        }
    }
    out
}

impl FleetHistory<'_> {
    /// Whether one process of a router ran all that time.
    fn lived(&self, lives: &Lives, router: &str, from: Ms, to: Ms) -> bool {
        let life = |life: &Life| life.from <= from && life.to >= to;
        lives.get(router).is_some_and(|all| all.iter().any(life))
    }
}

/// One answer of a router, asked at `since` and there at `at`.
struct Judge<'w, 'a> {
    rules: &'w RuleBounds,
    lives: &'w Lives<'a>,
    world: &'w FleetHistory<'a>,
    router: &'w str,
    /// Where that router stands.
    own: &'a str,
    since: Ms,
    at: Ms,
}

impl Judge<'_, '_> {
    /// Whether nothing has changed for the bound, and who is within this router's reach.
    fn quiet(&self) -> Option<&BTreeSet<&str>> {
        if self.since < self.world.due {
            return None;
        }
        self.world.part_of(self.router)
    }

    fn ever(&self, place: &str) -> u64 {
        self.world.places.values().filter(|at| holds(place, at)).count() as u64
    }

    /// Routers of a place that ran at some time within what a count of it may be late by: each level may rely on the
    /// last word of the one below it.
    fn lately(&self, place: &str) -> u64 {
        let AggregateBounds { suspect, relied_on, by_level, links, .. } = self.rules.aggregates;
        let levels = self.world.levels();
        let late = links + suspect + levels * (relied_on + by_level) + self.rules.slack;
        let ran = |name: &str| {
            let ran = |life: &Life| life.from <= self.at && life.to >= self.since - late;
            self.lives.get(name).is_some_and(|all| all.iter().any(ran))
        };
        let here = self.world.places.iter().filter(|(name, at)| holds(place, at) && ran(name));
        here.count() as u64
    }

    fn fleet_size(&self, fleet_size: Option<u64>) -> Vec<String> {
        let all = self.world.places.len() as u64;
        let over = fleet_size.filter(|fleet_size| *fleet_size > all);
        over.into_iter()
            .map(|fleet_size| format!("counts {fleet_size} routers in all, and {all} have ever run"))
            .collect()
    }

    fn place(&self, shown: &LocationSummary) -> Option<String> {
        let LocationSummary { place, fresh, alive, counted, oldest, .. } = shown;
        let ever = self.ever(place);
        if *counted > ever {
            return Some(format!("counts {counted} routers in {place}, and {ever} have ever run there"));
        }
        if !fresh {
            return self.unheard(place);
        }
        let lately = self.lately(place);
        if *alive > lately {
            return Some(format!("has {alive} alive in {place}, and {lately} ran there lately"));
        }
        let part = self.quiet()?;
        let truth = self.world.within(place).iter().filter(|name| part.contains(*name)).count() as u64;
        if *alive != truth {
            return Some(format!("has {alive} alive in {place}, where {truth} run, long after all changes"));
        }
        self.behind(shown).or_else(|| {
            let (name, version) = self.oldest(place, part)?;
            let newer = oldest.is_none_or(|oldest| oldest > version);
            newer
                .then(|| format!("shows {oldest:?} as the oldest version in {place}; {name} is at {version}"))
        })
    }

    /// A place of which nothing is heard any more, though routers of it are within reach.
    fn unheard(&self, place: &str) -> Option<String> {
        let part = self.quiet()?;
        let runs = self.world.within(place).iter().any(|name| part.contains(name));
        runs.then(|| format!("hears nothing of {place}, long after all changes"))
    }

    /// Places of which it ought to know and shows nothing.
    fn missing(&self, shown: &[LocationSummary]) -> Vec<String> {
        let Some(part) = self.quiet() else { return Vec::new() };
        let known: BTreeSet<&str> = shown.iter().map(|shown| shown.place.as_str()).collect();
        let for_here = |place: &str| match place.rsplit_once('/') {
            Some((outer, _)) => holds(outer, self.own),
            None => true,
        };
        let all = part.iter().flat_map(|name| around(self.world.places[name]));
        let missing: BTreeSet<&str> = all.filter(|place| for_here(place) && !known.contains(place)).collect();
        missing.into_iter().map(|place| format!("shows nothing of {place}, long after all changes")).collect()
    }

    /// The version that a router acted on from long before this answer until after it: versions only grow.
    fn acted_on(&self, name: &str, long: Ms) -> Option<u64> {
        let life = self.lives.get(name)?.iter().find(|life| life.from <= self.since && life.to >= self.at)?;
        let before = life.versions.iter().rfind(|(at, _)| *at <= self.since - long)?;
        let after = life.versions.iter().find(|(at, _)| *at >= self.at)?;
        (before.1 == after.1).then_some(after.1)
    }

    /// Who acts on the oldest version among those of a place within reach.
    fn oldest(&self, place: &str, part: &BTreeSet<&str>) -> Option<(String, u64)> {
        let AggregateBounds { suspect, by_level, moves, .. } = self.rules.aggregates;
        let long = suspect + self.world.levels() * (by_level + moves) + self.rules.slack;
        let here = self.world.within(place).into_iter().filter(|name| part.contains(name));
        let acted = here.filter_map(|name| Some((self.acted_on(name, long)?, name.to_string())));
        acted.min().map(|(version, name)| (name, version))
    }

    /// Whether a router acts on a version below the floor: by a fill after this answer, as versions only grow, or since
    /// nobody acts on a newer one.
    fn is_below(&self, name: &str, floor: u64) -> bool {
        let life = |life: &&Life| life.from <= self.since && life.to >= self.at;
        let Some(life) = self.lives.get(name).and_then(|all| all.iter().find(life)) else { return false };
        let after = life.versions.iter().find(|(at, _)| *at >= self.at);
        self.world.newest < floor || after.is_some_and(|(_, version)| *version < floor)
    }

    /// Whether somebody within reach has to know of a router: itself, or one of its site, which once counted it.
    fn is_known(&self, name: &str, part: &BTreeSet<&str>) -> bool {
        let site = self.world.places[name];
        let Some(counted) = self.world.counted.get(name) else { return false };
        let mate = |mate: &&str| {
            self.world.places[mate] == site && self.world.lived(self.lives, mate, *counted, self.at)
        };
        part.contains(name) || part.iter().any(mate)
    }

    /// A straggler that is not counted, or not named where there is room.
    fn behind(&self, shown: &LocationSummary) -> Option<String> {
        let AggregateBounds { suspect, by_level, .. } = self.rules.aggregates;
        let (floor, raised, bound) = self.world.floor?;
        if self.since < raised + bound + suspect + self.world.levels() * by_level + self.rules.slack {
            return None;
        }
        let part = self.world.part_of(self.router)?;
        let here = self.world.within(&shown.place);
        let is_behind = |name: &&str| self.is_below(name, floor) && self.is_known(name, part);
        let behind: Vec<&str> = here.into_iter().filter(is_behind).collect();
        if (behind.len() as u64) > shown.behind {
            let what = format!(
                "counts {} stragglers in {}; {behind:?} are below {floor}",
                shown.behind, shown.place
            );
            return Some(what);
        }
        let unnamed = behind.iter().find(|name| !shown.stragglers.iter().any(|named| named == *name));
        let unnamed = unnamed.filter(|_| shown.behind <= NAMED)?;
        Some(format!("does not name {unnamed} in {}, which is below {floor}", shown.place))
    }
}
