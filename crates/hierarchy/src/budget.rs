//! Owns the budgets of fills: how many a second may go to a parent or the origin.
//!
//! A budget follows what its target bears: it is cut while what went there comes back late, and comes back in
//! proportion to itself. While the shape changes it is also held near what went there before (slow start), so that
//! a change alone can't send a flood. Who does not know yet what went there before learns that first, and meanwhile
//! only what comes back late is a limit. Must never hold a figure of one deployment.

use linnethook::estimators::{ConcurrencyLimit, ConcurrencyLimitConfig, TokenBucket};
use linnethook::interface::Ms;

/// How a budget moves.
#[derive(Debug, Clone, Copy)]
pub struct BudgetRule {
    /// How far back the mean of what went there reaches.
    pub span: Ms,
    /// The weight of a fill in the share of late ones, the share that is borne, the factor of a cut and the time
    /// between two.
    pub weight: f64,
    pub bear: f64,
    pub cut: f64,
    pub gap: Ms,
    /// By what part of itself the limit grows in a second without trouble.
    pub grow: f64,
    /// So many times what goes there it is no limit any more.
    pub open: f64,
    /// While the shape changes, so many times what went there before may go.
    pub headroom: f64,
    /// How many seconds' fills may go at once: what comes by chance comes in heaps, the more so the less one router sees.
    pub burst: f64,
    /// Fills a second that may go in any case.
    pub least: f64,
    /// For how long something has to go there before that is known as what goes there.
    pub learn: Ms,
}

impl Default for BudgetRule {
    fn default() -> Self {
        Self {
            span: 10_000.0,
            weight: 0.05,
            bear: 0.25,
            cut: 0.8,
            gap: 500.0,
            grow: 0.1,
            open: 4.0,
            headroom: 1.15,
            burst: 1.0,
            least: 2.0,
            learn: 5_000.0,
        }
    }
}

/// Events a second, in which the past fades.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    sum: f64,
    at: Ms,
    since: Option<Ms>,
}

impl Rate {
    pub fn add(&mut self, now: Ms, amount: f64, span: Ms) {
        self.since.get_or_insert(now);
        self.sum = (self.faded(now, span) + amount).max(0.0);
        self.at = now;
    }

    fn faded(&self, now: Ms, span: Ms) -> f64 {
        self.sum * (-(now - self.at).max(0.0) / span).exp()
    }

    /// How long ago the first event was.
    pub fn age(&self, now: Ms) -> Ms {
        self.since.map_or(0.0, |since| now - since)
    }

    /// Per second; right from the start on, before a whole span has passed.
    pub fn per_second(&self, now: Ms, span: Ms) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        // The weight that the time since the first event has of all time, at least that of a fifth of a span.
        let seen = 1.0 - (-(now - since).max(span / 5.0) / span).exp();
        self.faded(now, span) / (span * seen) * 1000.0
    }
}

/// What went there before the shape began to change.
#[derive(Debug, Clone, Copy)]
struct Ceiling {
    limit: f64,
    /// When the change was over: from then on it grows.
    over: Option<Ms>,
}

#[derive(Debug, Clone, Copy)]
pub struct Budget {
    rule: BudgetRule,
    rate: Rate,
    gate: ConcurrencyLimit,
    gate_at: Ms,
    ceiling: Option<Ceiling>,
    /// The shape changes, and what went there before is not known yet.
    learning: bool,
    allowance: TokenBucket,
}

impl Budget {
    pub fn new(now: Ms, rule: BudgetRule) -> Self {
        let mut allowance = TokenBucket::empty(now);
        allowance.spend(now, 0.0, 0.0, 0.0);
        let gate = ConcurrencyLimit::new(f64::INFINITY);
        Self { rule, rate: Rate::default(), gate, gate_at: now, ceiling: None, learning: false, allowance }
    }

    /// Fills a second that go there.
    pub fn rate(&self, now: Ms) -> f64 {
        self.rate.per_second(now, self.rule.span)
    }

    /// Fills a second that may go there; infinite without a limit.
    pub fn limit(&self, now: Ms) -> f64 {
        let ceiling = self.ceiling.map_or(f64::INFINITY, |ceiling| self.grown(now, &ceiling));
        self.gate.limit.min(ceiling).max(self.rule.least)
    }

    fn grown(&self, now: Ms, ceiling: &Ceiling) -> f64 {
        let seconds = ceiling.over.map_or(0.0, |over| (now - over).max(0.0) / 1000.0);
        ceiling.limit * (1.0 + self.rule.grow).powf(seconds)
    }

    /// What may go in one go and the rate at which it fills, in fills and milliseconds.
    fn flow(&self, now: Ms) -> Option<(f64, f64)> {
        let limit = self.limit(now);
        limit.is_finite().then(|| (limit / 1000.0, (limit * self.rule.burst).max(1.0)))
    }

    /// Whether so much more may go there now.
    pub fn admits(&self, now: Ms, cost: f64) -> bool {
        self.flow(now).is_none_or(|(rate, most)| self.allowance.available(now, rate, most) >= cost.min(most))
    }

    /// How long until so much more may go, if nothing else does.
    pub fn wait(&self, now: Ms, cost: f64) -> Ms {
        self.flow(now).map_or(0.0, |(rate, most)| {
            ((cost.min(most) - self.allowance.available(now, rate, most)) / rate).max(0.0)
        })
    }

    /// Whether it is so near to its ceiling that a change had better stand still.
    pub fn is_tight(&self, now: Ms) -> bool {
        let near = |ceiling: &Ceiling| {
            let middle = (1.0 + 1.0 / self.rule.headroom) / 2.0;
            ceiling.over.is_none() && self.rate(now) > ceiling.limit * middle
        };
        self.ceiling.as_ref().is_some_and(near)
    }

    /// It goes, whether it may or not; a negative cost is given back.
    pub fn spend(&mut self, now: Ms, cost: f64) {
        self.rate.add(now, cost, self.rule.span);
        if let Some((rate, most)) = self.flow(now) {
            self.allowance.spend(now, rate, most, cost);
        }
    }

    /// How one ended that went there.
    pub fn report(&mut self, now: Ms, late: bool) {
        let rule = ConcurrencyLimitConfig {
            observation_weight: self.rule.weight,
            memory: self.rule.span,
            max_late_ratio: self.rule.bear,
            decrease_factor: self.rule.cut,
            decrease_interval: self.rule.gap,
            increase: 0.0,
            min_limit: self.rule.least,
            max_limit: f64::INFINITY,
        };
        self.gate.record(now, late, self.rate(now), &rule);
    }

    /// Lets time pass: limits grow, and go where they limit nothing any more.
    pub fn tick(&mut self, now: Ms) {
        let used = self.rate(now).max(self.rule.least);
        let seconds = ((now - self.gate_at) / 1000.0).max(0.0);
        self.gate_at = now;
        let before = self.limit(now);
        if self.gate.limit.is_finite() {
            self.gate.limit *= (1.0 + self.rule.grow).powf(seconds);
            if self.gate.limit > used * self.rule.open {
                self.gate.limit = f64::INFINITY;
            }
        }
        let open =
            |ceiling: &Ceiling| ceiling.over.is_some() && self.grown(now, ceiling) > used * self.rule.open;
        if self.ceiling.as_ref().is_some_and(open) {
            self.ceiling = None;
        }
        if self.learning && self.is_known(now) {
            self.hold(now);
        }
        if before.is_infinite() && self.limit(now).is_finite() {
            self.allowance = TokenBucket::empty(now);
        }
    }

    /// The shape begins to change: no more than before, and some headroom, until it is over.
    pub fn begin_change(&mut self, now: Ms) {
        let known = self.is_known(now);
        match &mut self.ceiling {
            // A further change in the course of one must not raise the ceiling by what this one let through.
            Some(ceiling) => ceiling.over = None,
            None if known => self.hold(now),
            // A ceiling by what went there in a moment would refuse what it bears.
            None => self.learning = true,
        }
    }

    /// Whether something went there for long enough to tell what goes there.
    fn is_known(&self, now: Ms) -> bool {
        self.rate.age(now) >= self.rule.learn
    }

    fn hold(&mut self, now: Ms) {
        let limit = (self.rate(now) * self.rule.headroom).max(self.rule.least);
        self.ceiling = Some(Ceiling { limit, over: None });
        self.learning = false;
        self.allowance = TokenBucket::empty(now);
    }

    /// Whether the shape changes and it is not known yet what went there before.
    pub fn is_learning(&self) -> bool {
        self.learning
    }

    pub fn end_change(&mut self, now: Ms) {
        self.learning = false;
        if let Some(ceiling) = self.ceiling.as_mut().filter(|ceiling| ceiling.over.is_none()) {
            ceiling.over = Some(now);
        }
    }

    pub fn is_changing(&self) -> bool {
        self.ceiling.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Offers so many fills a second for some seconds; how many went in the last one.
    fn offer(budget: &mut Budget, from: Ms, seconds: u32, per_second: u32, late: bool) -> u32 {
        let mut gone = 0;
        for second in 0..seconds {
            gone = 0;
            for n in 0..per_second {
                let now = from + f64::from(second) * 1000.0 + f64::from(n) * 1000.0 / f64::from(per_second);
                budget.tick(now);
                if budget.admits(now, 1.0) {
                    budget.spend(now, 1.0);
                    budget.report(now, late);
                    gone += 1;
                }
            }
        }
        gone
    }

    #[test]
    fn without_trouble_or_change_all_goes() {
        let mut budget = Budget::new(0.0, BudgetRule::default());
        assert_eq!(offer(&mut budget, 0.0, 10, 200, false), 200);
        assert!((budget.rate(10_000.0) - 200.0).abs() < 20.0, "{}", budget.rate(10_000.0));
    }

    #[test]
    fn a_change_lets_no_flood_through_and_the_ceiling_goes_after_it() {
        let mut budget = Budget::new(0.0, BudgetRule::default());
        offer(&mut budget, 0.0, 10, 50, false);
        budget.begin_change(10_000.0);
        let during = offer(&mut budget, 10_000.0, 5, 500, false);
        assert!((50..=65).contains(&during), "{during}");
        budget.begin_change(15_000.0);
        let again = offer(&mut budget, 15_000.0, 5, 500, false);
        assert!(again <= 65, "a second change in the course of the first: {again}");
        budget.end_change(20_000.0);
        let after = offer(&mut budget, 20_000.0, 40, 100, false);
        assert!(after == 100 && !budget.is_changing(), "{after}");
    }

    /// Without a past: nothing that the target bears is refused, and once it is known what goes there that is the limit.
    #[test]
    fn a_change_right_after_the_start_is_held_by_what_is_learned_within_it() {
        let mut budget = Budget::new(0.0, BudgetRule::default());
        assert_eq!(offer(&mut budget, 0.0, 1, 50, false), 50);
        budget.begin_change(1_000.0);
        assert!(budget.is_learning() && !budget.is_tight(1_000.0));
        assert_eq!(offer(&mut budget, 1_000.0, 3, 50, false), 50, "none of it is too much");
        offer(&mut budget, 4_000.0, 2, 50, false);
        assert!(!budget.is_learning() && budget.is_changing());
        let flood = offer(&mut budget, 6_000.0, 5, 500, false);
        assert!((50..=70).contains(&flood), "{flood}");
        let mut over = Budget::new(0.0, BudgetRule::default());
        over.begin_change(0.0);
        over.end_change(100.0);
        offer(&mut over, 200.0, 10, 50, false);
        assert!(
            !over.is_learning() && over.limit(11_000.0).is_infinite(),
            "it was over before that was known"
        );
    }

    #[test]
    fn a_target_that_is_late_gets_less_and_more_again_when_it_is_well() {
        let mut budget = Budget::new(0.0, BudgetRule::default());
        offer(&mut budget, 0.0, 5, 100, false);
        let slow = offer(&mut budget, 5_000.0, 10, 100, true);
        assert!(slow < 40, "{slow}");
        let well = offer(&mut budget, 15_000.0, 60, 100, false);
        assert!(well >= 99, "{well}");
        let never = Budget::new(0.0, BudgetRule::default()).wait(0.0, 1.0);
        assert_eq!(never, 0.0);
    }
}
