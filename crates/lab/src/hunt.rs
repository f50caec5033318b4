//! Owns the hunt: bad days by seed, the worst of them or one that breaks a rule, shrunk to the fewest troubles that do it.
//!
//! Must never call a day bad for anything but what was judged or measured; what it prints can be played again.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use linnethook_model::plan::{Fault, Plan};
use linnethook_model::simulation::Simulation;
use linnethook_testbed::checker::Rule;

/// What is looked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Prey {
    /// A day on which a rule is broken.
    Rule,
    /// The day on which the least is served in time.
    Worst,
}

/// A day that was played.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    pub plan: Plan,
    pub share: f64,
    /// Rules that were broken, each once.
    pub broken: Vec<Rule>,
}

/// Plays a day and has it judged.
pub fn played(plan: Plan) -> Result<Day, String> {
    let (seen, breaches) = Simulation::run_checked(plan.clone()).map_err(|wrong| wrong.0)?;
    let mut broken: Vec<Rule> = breaches.iter().map(|breach| breach.rule).collect();
    broken.sort_unstable();
    broken.dedup();
    Ok(Day { plan, share: seen.in_time_share(), broken })
}

/// What is hunted for, and how.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hunt {
    pub prey: Prey,
    pub first: u64,
    pub last: u64,
    pub troubles: usize,
    pub jobs: usize,
}

impl Hunt {
    /// Whether the first day is more of what is looked for than the second.
    fn better(&self, one: &Day, other: &Day) -> bool {
        match self.prey {
            Prey::Rule => {
                (one.broken.len(), -one.share, other.plan.seed)
                    > (other.broken.len(), -other.share, one.plan.seed)
            }
            Prey::Worst => (one.share, one.plan.seed) < (other.share, other.plan.seed),
        }
    }

    /// Plays all seeds; the best catch, and how many days broke a rule. A hunt for rules with no catch has none.
    pub fn run(&self, plan: &Plan, stop: &AtomicBool) -> Result<(Option<Day>, usize), String> {
        let (next, broke) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let best: Mutex<Option<Day>> = Mutex::new(None);
        let within = plan.seconds * 0.2..plan.seconds * 0.7;
        let work = || -> Result<(), String> {
            while !stop.load(Ordering::Acquire) {
                let seed = self.first + next.fetch_add(1, Ordering::Relaxed) as u64;
                if seed > self.last {
                    break;
                }
                let mut faults = plan.faults.clone();
                faults.extend(plan.random_faults(seed, self.troubles, within.clone()));
                // What is printed has so many digits: no day may hang on more.
                faults.iter_mut().for_each(|(at, fault)| (*at, *fault) = (rounded(*at), plain(*fault)));
                let day = played(Plan { seed, faults, ..plan.clone() })?;
                broke.fetch_add(usize::from(!day.broken.is_empty()), Ordering::Relaxed);
                let mut best = best.lock().unwrap_or_else(PoisonError::into_inner);
                if best.as_ref().is_none_or(|known| self.better(&day, known)) {
                    *best = Some(day);
                }
            }
            Ok(())
        };
        thread::scope(|scope| {
            let threads: Vec<_> = (0..self.jobs.max(1)).map(|_| scope.spawn(work)).collect();
            threads
                .into_iter()
                .try_for_each(|t| t.join().unwrap_or_else(|_| Err("a run has failed".to_string())))
        })?;
        let best = best.into_inner().unwrap_or_else(PoisonError::into_inner);
        let caught = best.filter(|day| self.prey == Prey::Worst || !day.broken.is_empty());
        Ok((caught, broke.into_inner()))
    }

    /// Leaves out troubles for as long as the day stays as bad; how many days that took.
    ///
    /// Halves first, then quarters, and so on to single ones (delta debugging, Zeller and Hildebrandt 2002).
    pub fn shrink(&self, caught: Day) -> Result<(Day, usize), String> {
        let quiet = played(Plan { faults: Vec::new(), ..caught.plan.clone() })?;
        // Of a worst day nine tenths of what it lost must stay lost.
        let most = quiet.share - (quiet.share - caught.share) * 0.9;
        let wanted = caught.broken.clone();
        let as_bad = |day: &Day| match self.prey {
            Prey::Rule => wanted.iter().any(|rule| day.broken.contains(rule)),
            Prey::Worst => day.share <= most,
        };
        let (mut best, mut days) = (caught, 1);
        let mut piece = best.plan.faults.len().div_ceil(2);
        while piece > 0 {
            let mut at = 0;
            while at < best.plan.faults.len() {
                let mut faults = best.plan.faults.clone();
                faults.drain(at..(at + piece).min(faults.len()));
                let day = played(Plan { faults, ..best.plan.clone() })?;
                days += 1;
                if as_bad(&day) {
                    best = day;
                } else {
                    at += piece;
                }
            }
            piece = if piece == 1 { 0 } else { piece.div_ceil(2) };
        }
        Ok((best, days))
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn plain(fault: Fault) -> Fault {
    match fault {
        Fault::Slow(n, times) => Fault::Slow(n, rounded(times)),
        Fault::Degrade(n, by) => Fault::Degrade(n, rounded(by)),
        Fault::EndpointUpdateDelay(late) => Fault::EndpointUpdateDelay(late.round()),
        Fault::Rate(times) => Fault::Rate(rounded(times)),
        other => other,
    }
}
