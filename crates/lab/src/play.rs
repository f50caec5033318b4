//! Owns the runs of an experiment: every variant with every seed, on several threads, and the rows that they give.
//!
//! A row depends on its variant and seed alone: however many threads there are, the rows are the same.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use linnethook_model::world::{Plan, Seen, World};
use serde::{Deserialize, Serialize};

use crate::experiment::Experiment;

/// What one run came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub variant: String,
    pub seed: u64,
    pub asked: u64,
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    pub failed: f64,
    /// Milliseconds that served requests took.
    pub took_50: f64,
    pub took_99: f64,
    /// Requests a second that reached the origin, in the mean and in the worst second.
    pub origin: f64,
    pub origin_most: u32,
    pub fell: u64,
}

/// A row, and the part served in time by second.
#[derive(Debug, Clone, PartialEq)]
pub struct Played {
    pub row: Row,
    pub by_second: Vec<f64>,
}

fn played(variant: &str, seed: u64, plan: &Plan, seen: &Seen) -> Played {
    let sum = |list: &[u32]| list.iter().map(|n| u64::from(*n)).sum::<u64>();
    let asked = sum(&seen.asked);
    let part = |list: &[u32]| sum(list) as f64 / asked.max(1) as f64;
    let mut took = seen.took.clone();
    took.sort_by(f32::total_cmp);
    let quantile = |q: f64| {
        let at = (took.len() as f64 * q) as usize;
        took.get(at.min(took.len().saturating_sub(1))).map_or(0.0, |ms| f64::from(*ms))
    };
    let row = Row {
        variant: variant.to_string(),
        seed,
        asked,
        in_time: part(&seen.in_time),
        late: part(&seen.late),
        refused: part(&seen.refused),
        failed: part(&seen.failed),
        took_50: quantile(0.5),
        took_99: quantile(0.99),
        origin: sum(&seen.origin) as f64 / plan.seconds,
        origin_most: seen.origin.iter().copied().max().unwrap_or(0),
        fell: seen.fell,
    };
    let second = |(n, asked): (usize, &u32)| {
        f64::from(seen.in_time.get(n).copied().unwrap_or(0)) / f64::from((*asked).max(1))
    };
    Played { row, by_second: seen.asked.iter().enumerate().map(second).collect() }
}

/// Plays all of it; rows come by variant, and within one by seed.
pub fn play(
    experiment: &Experiment,
    jobs: usize,
    each: impl Fn(usize, usize) + Sync,
) -> Result<Vec<Played>, String> {
    let tasks: Vec<(usize, u64)> = (0..experiment.variants.len())
        .flat_map(|variant| (1..=experiment.seeds).map(move |seed| (variant, seed)))
        .collect();
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let results = Mutex::new(vec![None; tasks.len()]);
    let work = || -> Result<(), String> {
        loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            let Some(&(variant, seed)) = tasks.get(n) else { return Ok(()) };
            let (name, way) = &experiment.variants[variant];
            let plan = Plan { seed, way: *way, ..experiment.plan.clone() };
            let seen = World::new(plan.clone()).map_err(|wrong| wrong.0)?.run();
            let one = played(name, seed, &plan, &seen);
            results.lock().unwrap_or_else(PoisonError::into_inner)[n] = Some(one);
            each(done.fetch_add(1, Ordering::Relaxed) + 1, tasks.len());
        }
    };
    let outcome: Result<(), String> = thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().try_for_each(|t| t.join().unwrap_or_else(|_| Err("a run has failed".to_string())))
    });
    outcome?;
    Ok(results.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter().flatten().collect())
}
