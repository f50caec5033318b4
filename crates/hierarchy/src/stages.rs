//! Owns the stages by which a child goes over to a new source: planned, announced, warming, settled, or rolled
//! back.
//!
//! The part of the objects that a new source is asked for follows from the time of the batch alone, so that all
//! routers come to the same; what one router sees can only hold it back. Objects are told apart by a hash, the
//! same at all routers, and a smaller part lies within a larger one. Must never ask a new source for more than a
//! cold one bears, nor go on with a change that does harm.

use std::collections::BTreeMap;
use std::fmt;

use linnethook::estimators::Ewma;
use linnethook::interface::{Ms, SlowStart};
use serde::Serialize;

use crate::batch::{Key, Serial};
use crate::shape::NodeId;

/// How stages pass.
#[derive(Debug, Clone, Copy)]
pub struct StageRule {
    /// How long a change is told before it begins: all routers hear of it within that.
    pub announce: Ms,
    /// From the first objects to all of them.
    pub warm: Ms,
    /// The part with which it begins.
    pub first: f64,
    /// How long after all went over it counts as settled: until then the old source is asked for what it holds.
    pub settle: Ms,
    /// A source that has itself just started: how it may be loaded, and what part of that is asked of it.
    pub cold: SlowStart,
    pub cold_part: f64,
    /// Harm: the weight of a fill in the share of late or failed ones, how many are needed to judge, the share
    /// that is too much, and how many times that of the old source.
    pub weight: f64,
    pub seen: f64,
    pub harm: f64,
    pub worse: f64,
    /// For how long a change that was rolled back rests, longer each time, and how often it is tried.
    pub rest: Ms,
    pub longer: f64,
    pub tries: u32,
    /// How long in all the warming may stand still while the tiers above are short.
    pub held: Ms,
}

impl Default for StageRule {
    fn default() -> Self {
        Self {
            announce: 2_000.0,
            warm: 30_000.0,
            first: 0.02,
            settle: 45_000.0,
            cold: SlowStart::default(),
            cold_part: 0.6,
            weight: 0.05,
            seen: 20.0,
            harm: 0.3,
            worse: 2.0,
            rest: 10_000.0,
            longer: 2.0,
            tries: 3,
            held: 600_000.0,
        }
    }
}

/// Why a change was rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Harm {
    /// Fills by the new source were late or failed far more often than by the old one.
    Late,
    /// The new source drains, is gone, or has fallen over.
    Lost,
    /// Somebody asked for it.
    Asked,
}

impl fmt::Display for Harm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Late => "fills by the new source were late or failed",
            Self::Lost => "the new source drains, is gone or has fallen over",
            Self::Asked => "somebody asked for it",
        })
    }
}

/// How far a change has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Its time has not come.
    Planned,
    /// All routers hear of it; fills run as before.
    Announced,
    Warming,
    /// All fills run by the new source, and the old list is forgotten.
    Settled,
    /// Fills run as before; it is tried again after a rest, so many times.
    RolledBack(Harm),
}

impl Stage {
    /// The name that commands print.
    pub fn name(self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Announced => "announced",
            Self::Warming => "warming",
            Self::Settled => "settled",
            Self::RolledBack(Harm::Late) => "rolledback(late)",
            Self::RolledBack(Harm::Lost) => "rolledback(lost)",
            Self::RolledBack(Harm::Asked) => "rolledback(asked)",
        }
    }
}

/// The going over of children to a new source, as one batch had it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MoveId {
    pub to: NodeId,
    pub by: Key,
}

/// How far it has come, and what was seen of it.
#[derive(Debug, Clone)]
pub struct Move {
    pub stage: Stage,
    /// When the warming began or begins.
    begins: Ms,
    /// When the stage was entered.
    since: Ms,
    /// For how long the warming has stood still in all.
    held: Ms,
    tries: u32,
    new: Ewma,
    old: Ewma,
    /// When the new source itself last started; 0 = long ago.
    started: Ms,
    /// Nothing else is left to fill from: a rollback would leave nothing.
    pub no_way_back: bool,
    ticked: Ms,
}

/// A stage that was entered, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entered {
    pub id: MoveId,
    pub stage: Stage,
    /// It is not tried again.
    pub for_good: bool,
}

impl Move {
    /// The part of the objects that the new source is asked for now, from 0 to 1.
    pub fn part(&self, now: Ms, rule: &StageRule) -> f64 {
        let ramp = match self.stage {
            // What is left of the old list is the way past all parents: the shield holds that back, and the new
            // source keeps what comes by it.
            _ if self.no_way_back => 1.0,
            Stage::Settled => 1.0,
            Stage::Planned | Stage::Announced | Stage::RolledBack(_) => 0.0,
            Stage::Warming => {
                let passed = (now - self.begins).max(0.0) / rule.warm.max(1.0);
                (rule.first + (1.0 - rule.first) * passed).min(1.0)
            }
        };
        ramp.min(self.cold(now, rule))
    }

    /// What a source that has just started bears of its work, by the rule on cold starts.
    fn cold(&self, now: Ms, rule: &StageRule) -> f64 {
        let age = now - self.started;
        if self.started <= 0.0 || rule.cold.duration <= 0.0 || age >= rule.cold.duration {
            return 1.0;
        }
        let least =
            rule.cold.initial_ratio + (1.0 - rule.cold.initial_ratio) * (age / rule.cold.duration).max(0.0);
        (least * rule.cold.overload_multiple * rule.cold_part).min(1.0)
    }

    /// The shares of late fills by the new source and by the old ones.
    pub fn late(&self) -> (f64, f64) {
        (self.new.value, self.old.value)
    }

    pub fn tries(&self) -> u32 {
        self.tries
    }

    fn enter(&mut self, now: Ms, stage: Stage) {
        self.stage = stage;
        self.since = now;
    }

    fn is_harmful(&self, rule: &StageRule) -> bool {
        let known = self.new.samples >= rule.seen;
        known && self.new.value > rule.harm && self.new.value > self.old.value * rule.worse
    }

    /// Gives it up for a while; for good once it was tried often enough.
    fn roll_back(&mut self, now: Ms, harm: Harm, rule: &StageRule) {
        self.enter(now, Stage::RolledBack(harm));
        let rest = rule.rest * rule.longer.powi(self.tries.min(30) as i32);
        self.tries = if harm == Harm::Asked { rule.tries } else { self.tries + 1 };
        self.begins = now + rest;
        self.new = Ewma::new(0.0);
    }

    fn given_up(&self, rule: &StageRule) -> bool {
        matches!(self.stage, Stage::RolledBack(_)) && self.tries >= rule.tries
    }
}

/// All goings over that are not settled and forgotten yet.
#[derive(Debug, Clone, Default)]
pub struct Stages {
    rule: StageRule,
    moves: BTreeMap<MoveId, Move>,
}

impl Stages {
    pub fn new(rule: StageRule) -> Self {
        Self { rule, moves: BTreeMap::new() }
    }

    pub fn rule(&self) -> &StageRule {
        &self.rule
    }

    pub fn get(&self, id: MoveId) -> Option<&Move> {
        self.moves.get(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MoveId, &Move)> {
        self.moves.iter().map(|(id, moved)| (*id, moved))
    }

    /// Whether any is on its way.
    pub fn are_under_way(&self) -> bool {
        let on = |m: &Move| matches!(m.stage, Stage::Announced | Stage::Warming);
        self.moves.values().any(on)
    }

    /// The part of the objects that a source is asked for; all of them if it is not new.
    pub fn part(&self, now: Ms, id: MoveId) -> f64 {
        self.moves.get(&id).map_or(1.0, |moved| moved.part(now, &self.rule))
    }

    /// A batch that takes effect at `at` gives children a new source. Hearing of it again changes nothing.
    pub fn begin(&mut self, now: Ms, id: MoveId, at: Ms, started: Ms) {
        let begins = at + self.rule.announce;
        // Who hears of it long after, as after a restart, is where the others are: not a turn on the old list.
        let stage = if now >= begins { Stage::Warming } else { Stage::Planned };
        self.moves.entry(id).or_insert_with(|| Move {
            stage,
            begins,
            since: now,
            held: 0.0,
            tries: 0,
            new: Ewma::new(0.0),
            old: Ewma::new(0.0),
            started,
            no_way_back: false,
            ticked: now,
        });
    }

    /// No child goes over there any more.
    pub fn retain(&mut self, keep: impl Fn(MoveId) -> bool) {
        self.moves.retain(|id, _| keep(*id));
    }

    pub fn no_way_back(&mut self, id: MoveId, none: bool) {
        if let Some(moved) = self.moves.get_mut(&id) {
            moved.no_way_back = none;
        }
    }

    /// How a fill by a source ended: for those on their way there, and those on their way from there.
    pub fn report(&mut self, id: Option<MoveId>, from: NodeId, bad: bool) {
        let (bad, weight) = (f64::from(u8::from(bad)), self.rule.weight);
        match id.and_then(|id| self.moves.get_mut(&id)) {
            Some(moved) => moved.new.update_from_mean(bad, weight),
            None => {
                let others = self.moves.iter_mut().filter(|(id, _)| id.to != from);
                others.for_each(|(_, moved)| moved.old.update_from_mean(bad, weight));
            }
        }
    }

    /// The node has started anew: it is cold.
    pub fn started(&mut self, node: NodeId, at: Ms) {
        for (_, moved) in self.moves.iter_mut().filter(|(id, _)| id.to == node) {
            moved.started = moved.started.max(at);
        }
    }

    /// The node drains, is gone or has fallen over.
    pub fn lost(&mut self, now: Ms, node: NodeId) -> Vec<Entered> {
        self.roll_back_if(now, Harm::Lost, |id, _| id.to == node)
    }

    /// Somebody wants a batch's changes stopped.
    pub fn stop(&mut self, now: Ms, by: Serial) -> Vec<Entered> {
        self.roll_back_if(now, Harm::Asked, |id, _| id.by.serial() == by)
    }

    fn roll_back_if(&mut self, now: Ms, harm: Harm, which: impl Fn(MoveId, &Move) -> bool) -> Vec<Entered> {
        let rule = self.rule;
        let mut entered = Vec::new();
        for (id, moved) in &mut self.moves {
            let on = matches!(moved.stage, Stage::Announced | Stage::Warming | Stage::Planned);
            if on && which(*id, moved) {
                moved.roll_back(now, harm, &rule);
                entered.push(Entered { id: *id, stage: moved.stage, for_good: moved.given_up(&rule) });
            }
        }
        entered
    }

    /// Lets time pass. `short` says that the tiers above turn fills away: what warms stands still meanwhile.
    pub fn tick(&mut self, now: Ms, short: bool, is_ready: impl Fn(NodeId) -> bool) -> Vec<Entered> {
        let rule = self.rule;
        let mut entered = Vec::new();
        for (id, moved) in &mut self.moves {
            let passed = (now - moved.ticked).max(0.0);
            moved.ticked = now;
            let stage = moved.stage;
            match stage {
                Stage::Planned if now >= moved.begins - rule.announce => moved.enter(now, Stage::Announced),
                Stage::Announced if now >= moved.begins => moved.enter(now, Stage::Warming),
                Stage::Warming if moved.is_harmful(&rule) && !moved.no_way_back => {
                    moved.roll_back(now, Harm::Late, &rule);
                }
                Stage::Warming if short && moved.held < rule.held => {
                    moved.held += passed;
                    moved.begins += passed;
                    moved.since += passed;
                }
                Stage::Warming => {
                    let all = moved.part(now, &rule) >= 1.0;
                    if all && now >= moved.begins + rule.warm + rule.settle {
                        moved.enter(now, Stage::Settled);
                    }
                }
                // Hysteresis: only after its rest, and not while it is still out.
                Stage::RolledBack(_) if !moved.given_up(&rule) && now >= moved.begins && is_ready(id.to) => {
                    moved.begins = now;
                    moved.enter(now, Stage::Warming);
                }
                _ => {}
            }
            if moved.stage != stage {
                entered.push(Entered { id: *id, stage: moved.stage, for_good: moved.given_up(&rule) });
            }
        }
        entered
    }

    /// When the next stage is due, as far as that follows from the time.
    pub fn next(&self) -> Option<Ms> {
        let due = |moved: &Move| match moved.stage {
            Stage::Planned => Some(moved.begins - self.rule.announce),
            Stage::Announced => Some(moved.begins),
            Stage::RolledBack(_) if !moved.given_up(&self.rule) => Some(moved.begins),
            _ => None,
        };
        self.moves.values().filter_map(due).reduce(f64::min)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id() -> MoveId {
        MoveId { to: NodeId(2), by: Key::default() }
    }

    fn run(stages: &mut Stages, from: Ms, to: Ms, short: bool) -> Vec<(Ms, Stage)> {
        let mut seen = Vec::new();
        let mut now = from;
        while now <= to {
            seen.extend(stages.tick(now, short, |_| true).into_iter().map(|e| (now, e.stage)));
            now += 100.0;
        }
        seen
    }

    #[test]
    fn a_change_passes_its_stages_and_its_part_follows_from_the_time_alone() {
        let rule = StageRule::default();
        let mut early = Stages::new(rule);
        early.begin(0.0, id(), 1_000.0, 0.0);
        let seen = run(&mut early, 0.0, 90_000.0, false);
        let stages = [(1_000.0, Stage::Announced), (3_000.0, Stage::Warming), (78_000.0, Stage::Settled)];
        assert_eq!(seen, stages);
        // One that hears of it in the middle is as far as the others.
        let (mut early, mut late) = (Stages::new(rule), Stages::new(rule));
        early.begin(0.0, id(), 1_000.0, 0.0);
        run(&mut early, 0.0, 17_900.0, false);
        late.begin(17_000.0, id(), 1_000.0, 0.0);
        run(&mut late, 17_000.0, 17_900.0, false);
        for now in [18_000.0, 25_000.0, 33_000.0] {
            early.tick(now, false, |_| true);
            late.tick(now, false, |_| true);
            assert_eq!(early.part(now, id()), late.part(now, id()));
        }
        assert!((early.part(18_000.0, id()) - 0.51).abs() < 0.01);
    }

    #[test]
    fn who_hears_of_a_change_after_it_is_over_uses_the_new_source_at_once() {
        let rule = StageRule::default();
        let mut late = Stages::new(rule);
        late.begin(500_000.0, id(), 1_000.0, 0.0);
        assert_eq!(late.part(500_000.0, id()), 1.0, "before any tick");
        assert_eq!(run(&mut late, 500_000.0, 500_200.0, false), [(500_000.0, Stage::Settled)]);
    }

    #[test]
    fn a_cold_source_is_asked_for_no_more_than_it_bears() {
        let cold = SlowStart {
            initial_ratio: 0.07,
            duration: 20_000.0,
            overload_multiple: 2.0,
            overload_window: 3_000.0,
        };
        let mut stages = Stages::new(StageRule { cold, warm: 1.0, ..StageRule::default() });
        stages.begin(0.0, id(), 0.0, 1_000.0);
        run(&mut stages, 0.0, 3_000.0, false);
        for (now, bears) in [(3_000.0, 0.07 + 0.93 * 0.1), (11_000.0, 0.07 + 0.93 * 0.5)] {
            assert!((stages.part(now, id()) - bears * 1.2).abs() < 1e-9);
        }
        assert_eq!(stages.part(22_000.0, id()), 1.0);
    }

    #[test]
    fn harm_rolls_it_back_and_it_is_tried_again_later_each_time_and_not_for_ever() {
        let mut stages = Stages::new(StageRule::default());
        stages.begin(0.0, id(), 0.0, 0.0);
        let mut times = Vec::new();
        let mut now = 0.0;
        while now < 200_000.0 {
            for _ in 0..5 {
                stages.report(None, NodeId(9), false);
                if stages.part(now, id()) > 0.0 {
                    stages.report(Some(id()), NodeId(2), true);
                }
            }
            times.extend(stages.tick(now, false, |_| true).into_iter().map(|e| (now, e.stage, e.for_good)));
            now += 100.0;
        }
        let back: Vec<(Ms, bool)> = times
            .iter()
            .filter(|(_, stage, _)| *stage == Stage::RolledBack(Harm::Late))
            .map(|(at, _, for_good)| (*at, *for_good))
            .collect();
        assert_eq!(back.iter().map(|(_, for_good)| *for_good).collect::<Vec<_>>(), [false, false, true]);
        let gaps: Vec<Ms> = back.windows(2).map(|pair| pair[1].0 - pair[0].0).collect();
        assert!(gaps[0] >= 10_000.0 && gaps[1] >= 20_000.0, "{gaps:?}");
        assert_eq!(stages.part(now, id()), 0.0);
    }

    #[test]
    fn late_fills_on_both_sides_are_not_the_changes_doing() {
        let mut stages = Stages::new(StageRule::default());
        stages.begin(0.0, id(), 0.0, 0.0);
        run(&mut stages, 0.0, 3_000.0, false);
        for _ in 0..100 {
            stages.report(None, NodeId(9), true);
            stages.report(Some(id()), NodeId(2), true);
        }
        assert_eq!(run(&mut stages, 3_100.0, 5_000.0, false), []);
    }

    #[test]
    fn what_warms_stands_still_while_the_tiers_above_are_short_but_not_for_ever() {
        let mut stages = Stages::new(StageRule { held: 10_000.0, ..StageRule::default() });
        stages.begin(0.0, id(), 0.0, 0.0);
        run(&mut stages, 0.0, 5_000.0, false);
        let part = stages.part(5_000.0, id());
        run(&mut stages, 5_100.0, 14_000.0, true);
        assert!((stages.part(14_000.0, id()) - part).abs() < 0.01);
        run(&mut stages, 14_100.0, 30_000.0, true);
        assert!(stages.part(30_000.0, id()) > 0.4);
    }

    #[test]
    fn a_lost_source_is_left_at_once_and_tried_again_only_when_it_is_back() {
        let mut stages = Stages::new(StageRule::default());
        stages.begin(0.0, id(), 0.0, 0.0);
        run(&mut stages, 0.0, 10_000.0, false);
        let entered = stages.lost(10_000.0, NodeId(2));
        assert_eq!(entered, [Entered { id: id(), stage: Stage::RolledBack(Harm::Lost), for_good: false }]);
        assert_eq!(stages.part(10_000.0, id()), 0.0);
        assert!(stages.tick(40_000.0, false, |_| false).is_empty());
        assert_eq!(stages.tick(41_000.0, false, |_| true)[0].stage, Stage::Warming);
        assert!(stages.part(41_000.0, id()) < 0.03, "from the beginning");
        // With nothing else left there is no rolling back.
        stages.no_way_back(id(), true);
        stages.lost(42_000.0, NodeId(2));
        assert!(stages.part(43_000.0, id()) > 0.0);
    }
}
