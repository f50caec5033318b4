//! Searches runs with random faults for the worst one, or for one that breaks a rule, and shrinks it to few
//! faults.
//!
//! A run is rated by its breaches and measurements alone; the script that is printed reproduces the run.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use linnethook_model::plan::{Fault, Plan};
use linnethook_model::simulation::Simulation;
use linnethook_testbed::checker::Rule;

/// What a hunt searches for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HuntTarget {
    /// A run in which a rule is broken.
    Rule,
    /// The run with the lowest share served in time.
    Worst,
}

/// The result of a run whose record was checked.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedRun {
    pub plan: Plan,
    /// The share of requests served in time.
    pub in_time_share: f64,
    /// The broken rules, sorted, each once.
    pub broken_rules: Vec<Rule>,
}

/// Runs a plan and checks its record against the rules.
pub fn run_checked(plan: Plan) -> Result<CheckedRun, String> {
    let (statistics, breaches) = Simulation::run_checked(plan.clone()).map_err(|error| error.0)?;
    let mut broken_rules: Vec<Rule> = breaches.iter().map(|breach| breach.rule).collect();
    broken_rules.sort_unstable();
    broken_rules.dedup();
    Ok(CheckedRun { plan, in_time_share: statistics.in_time_share(), broken_rules })
}

/// The target of a search, the seeds to try, and the number of faults of each run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hunt {
    pub target: HuntTarget,
    pub first: u64,
    pub last: u64,
    pub faults_per_run: usize,
    pub jobs: usize,
}

impl Hunt {
    /// Whether the first run matches the target better than the second; equal ones are ordered by seed.
    fn better(&self, one: &CheckedRun, other: &CheckedRun) -> bool {
        match self.target {
            HuntTarget::Rule => {
                (one.broken_rules.len(), -one.in_time_share, other.plan.seed)
                    > (other.broken_rules.len(), -other.in_time_share, one.plan.seed)
            }
            HuntTarget::Worst => (one.in_time_share, one.plan.seed) < (other.in_time_share, other.plan.seed),
        }
    }

    /// Runs all seeds; returns the best match, and the number of runs that broke a rule. A search for a
    /// broken rule returns no run where none breaks one.
    pub fn run(&self, plan: &Plan, stop: &AtomicBool) -> Result<(Option<CheckedRun>, usize), String> {
        let (next, breaching_runs) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let best: Mutex<Option<CheckedRun>> = Mutex::new(None);
        let within = plan.seconds * 0.2..plan.seconds * 0.7;
        let work = || -> Result<(), String> {
            while !stop.load(Ordering::Acquire) {
                let seed = self.first + next.fetch_add(1, Ordering::Relaxed) as u64;
                if seed > self.last {
                    break;
                }
                let mut faults = plan.faults.clone();
                faults.extend(plan.random_faults(seed, self.faults_per_run, within.clone()));
                // Rounded to the digits of the printed script, so that the script reproduces the run.
                faults
                    .iter_mut()
                    .for_each(|(at, fault)| (*at, *fault) = (rounded(*at), round_arguments(*fault)));
                let run = run_checked(Plan { seed, faults, ..plan.clone() })?;
                breaching_runs.fetch_add(usize::from(!run.broken_rules.is_empty()), Ordering::Relaxed);
                let mut best = best.lock().unwrap_or_else(PoisonError::into_inner);
                if best.as_ref().is_none_or(|known| self.better(&run, known)) {
                    *best = Some(run);
                }
            }
            Ok(())
        };
        thread::scope(|scope| {
            let threads: Vec<_> = (0..self.jobs.max(1)).map(|_| scope.spawn(work)).collect();
            threads
                .into_iter()
                .try_for_each(|t| t.join().unwrap_or_else(|_| Err("a run panicked".to_string())))
        })?;
        let best = best.into_inner().unwrap_or_else(PoisonError::into_inner);
        let found = best.filter(|run| self.target == HuntTarget::Worst || !run.broken_rules.is_empty());
        Ok((found, breaching_runs.into_inner()))
    }

    /// Removes faults while the run stays as bad; returns the shrunk run and the number of runs that it took.
    ///
    /// Removes halves first, then quarters, down to single faults (delta debugging, Zeller and Hildebrandt
    /// 2002).
    pub fn shrink(&self, found: CheckedRun) -> Result<(CheckedRun, usize), String> {
        let without_faults = run_checked(Plan { faults: Vec::new(), ..found.plan.clone() })?;
        // A shrunk worst run must keep nine tenths of the loss against a run without faults.
        let share_limit =
            without_faults.in_time_share - (without_faults.in_time_share - found.in_time_share) * 0.9;
        let wanted_rules = found.broken_rules.clone();
        let as_bad = |run: &CheckedRun| match self.target {
            HuntTarget::Rule => wanted_rules.iter().any(|rule| run.broken_rules.contains(rule)),
            HuntTarget::Worst => run.in_time_share <= share_limit,
        };
        let (mut best, mut runs) = (found, 1);
        let mut chunk = best.plan.faults.len().div_ceil(2);
        while chunk > 0 {
            let mut at = 0;
            while at < best.plan.faults.len() {
                let mut faults = best.plan.faults.clone();
                faults.drain(at..(at + chunk).min(faults.len()));
                let run = run_checked(Plan { faults, ..best.plan.clone() })?;
                runs += 1;
                if as_bad(&run) {
                    best = run;
                } else {
                    at += chunk;
                }
            }
            chunk = if chunk == 1 { 0 } else { chunk.div_ceil(2) };
        }
        Ok((best, runs))
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn round_arguments(fault: Fault) -> Fault {
    match fault {
        Fault::Slow(n, times) => Fault::Slow(n, rounded(times)),
        Fault::Degrade(n, by) => Fault::Degrade(n, rounded(by)),
        Fault::EndpointUpdateDelay(late) => Fault::EndpointUpdateDelay(late.round()),
        Fault::Rate(times) => Fault::Rate(rounded(times)),
        other => other,
    }
}
