//! Owns the tables of settings: name, what it is, unit, default and range of each, and where its value goes.
//!
//! One table for each function of the operator file; the checks, the errors and the printed reference come from
//! it. Must never hold a default that the package it is for does not have.

use linnethook_hierarchy::HierarchyConfig as Rules;

/// A number that can be set.
pub struct Knob<T> {
    pub name: &'static str,
    pub about: &'static str,
    pub unit: &'static str,
    pub least: f64,
    pub most: f64,
    pub whole: bool,
    /// How many of the package's units are one of the file's.
    pub scale: f64,
    pub get: fn(&T) -> f64,
    pub set: fn(&mut T, f64),
}

impl<T> Knob<T> {
    /// The package's default, in the file's unit.
    pub fn default(&self, of: &T) -> f64 {
        (self.get)(of) / self.scale
    }

    /// What is expected.
    pub fn expected(&self) -> String {
        let kind = if self.whole { "a whole number" } else { "a number" };
        let unit = if self.unit.is_empty() { String::new() } else { format!(" of {}", self.unit) };
        format!("{kind}{unit} from {} to {}", self.least, self.most)
    }
}

macro_rules! knob {
    ($name:literal, $unit:literal, $range:expr, $scale:expr, $($place:ident).+, $about:literal) => {
        Knob {
            name: $name,
            about: $about,
            unit: $unit,
            least: $range.0,
            most: $range.1,
            whole: false,
            scale: $scale,
            get: |rules: &Rules| rules.$($place).+,
            set: |rules: &mut Rules, value| rules.$($place).+ = value,
        }
    };
    (whole $name:literal, $unit:literal, $range:expr, $kind:ty, $($place:ident).+, $about:literal) => {
        Knob {
            name: $name,
            about: $about,
            unit: $unit,
            least: $range.0,
            most: $range.1,
            whole: true,
            scale: 1.0,
            get: |rules: &Rules| rules.$($place).+ as f64,
            set: |rules: &mut Rules, value| rules.$($place).+ = value as $kind,
        }
    };
}

const SECONDS: f64 = 1_000.0;

pub mod audit;
pub mod fellows;
pub mod gateway;

/// What `hierarchy(...)` sets beside its switches.
pub const HIERARCHY: &[Knob<Rules>] = &[
    knob!(
        "announce",
        "seconds",
        (0.0, 600.0),
        SECONDS,
        rollout.announcement,
        "how long a change is told before it begins"
    ),
    knob!(
        "warm",
        "seconds",
        (0.1, 86_400.0),
        SECONDS,
        rollout.ramp_duration,
        "how long children take to go over to a new source"
    ),
    knob!(
        "first",
        "",
        (0.0, 1.0),
        1.0,
        rollout.initial_fraction,
        "the part of the objects with which that begins"
    ),
    knob!(
        "settle",
        "seconds",
        (0.0, 86_400.0),
        SECONDS,
        rollout.settling_time,
        "how long the old source is still asked for what it holds"
    ),
    knob!(
        "retire",
        "seconds",
        (1.0, 86_400.0),
        SECONDS,
        retirement_grace,
        "how long a node that retires is still named for what it holds"
    ),
    knob!(
        "harm",
        "",
        (0.01, 1.0),
        1.0,
        rollout.max_failure_ratio,
        "share of late or failed fills by a new source that rolls a change back"
    ),
    knob!(
        "worse",
        "",
        (1.0, 100.0),
        1.0,
        rollout.max_failure_multiple,
        "and so many times the share by the old source"
    ),
    knob!(
        "rest",
        "seconds",
        (0.1, 86_400.0),
        SECONDS,
        rollout.retry_delay,
        "pause before a change that was rolled back is tried again, doubled each time"
    ),
    knob!(whole "tries", "", (1.0, 100.0), u32, rollout.max_attempts, "how often a change is tried"),
    knob!(
        "held",
        "seconds",
        (0.0, 86_400.0),
        SECONDS,
        rollout.max_pause,
        "how long in all a change stands still while the tiers above are short"
    ),
    knob!(
        "headroom",
        "",
        (1.0, 10.0),
        1.0,
        shield.budget.headroom,
        "so many times what went to a tier before a change may go while it is on"
    ),
    knob!(
        "bear",
        "",
        (0.01, 1.0),
        1.0,
        shield.budget.max_late_ratio,
        "share of late fills above which a tier gets less"
    ),
    knob!(
        "grow",
        "",
        (0.001, 1.0),
        1.0,
        shield.budget.growth_per_second,
        "part of itself by which a limit grows in a second without trouble"
    ),
    knob!(
        "least",
        "fills a second",
        (0.1, 1e6),
        1.0,
        shield.budget.min_rate,
        "what may go to a tier in any case"
    ),
    knob!(
        "learn",
        "seconds",
        (0.1, 600.0),
        SECONDS,
        shield.budget.learning_time,
        "how long something has to go to a tier before that is known as what goes there"
    ),
    knob!(
        "lease",
        "seconds",
        (0.01, 60.0),
        SECONDS,
        shield.lease_duration,
        "how long one fill keeps others of the same object waiting at the most"
    ),
    knob!("wait", "seconds", (0.0, 10.0), SECONDS, shield.max_wait, "how long a fill may wait for its turn"),
    knob!(whole "waiting", "fills", (0.0, 100_000.0), usize, shield.max_queued, "how many may wait"),
    knob!(
        "waiting_bytes",
        "bytes",
        (0.0, 1e9),
        1.0,
        shield.max_queued_bytes,
        "and what they may want together"
    ),
    knob!(whole "leases", "", (1.0, 1e6), usize, shield.max_leases, "leases kept"),
    knob!(whole "keys", "", (64.0, 1e8), usize, recent_keys, "cold keys remembered, four bytes each"),
    knob!("horizon", "seconds", (1.0, 86_400.0), SECONDS, recent_keys_horizon, "for how long"),
    knob!(whole "nodes", "", (1.0, 1e6), usize, batch_limits.max_nodes, "nodes of a shape"),
    knob!(whole "changes", "", (1.0, 1e6), usize, batch_limits.max_changes, "changes of a batch"),
    knob!(whole "sources", "", (1.0, 255.0), usize, batch_limits.max_sources, "sources of a node"),
    knob!(whole "batches", "", (1.0, 1e6), usize, history_limits.retained_batches, "batches that can be taken back"),
];

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_default_is_in_its_range_and_every_setting_goes_where_it_is_read() {
        check(HIERARCHY);
        check(gateway::GATEWAY);
        check(fellows::FELLOWS);
        check(audit::AUDIT);
        check(audit::straggler::STRAGGLER);
    }

    fn check<T: Default>(table: &[Knob<T>]) {
        for knob in table {
            let mut rules = T::default();
            let default = knob.default(&rules);
            assert!((knob.least..=knob.most).contains(&default), "{}: {default}", knob.name);
            (knob.set)(&mut rules, knob.most * knob.scale);
            assert!((knob.default(&rules) - knob.most).abs() < 1e-6 * knob.most, "{}", knob.name);
        }
    }
}
