//! Runs cases on several threads; each row is passed on as soon as its run has finished.
//!
//! A row depends on its case alone, so the rows are the same with any number of threads.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use linnethook_model::simulation::Simulation;

use crate::experiment::Case;
use crate::rows::Row;

/// Runs one case; with `judged`, its record is checked against the rules.
pub fn row(case: &Case, judged: bool) -> Result<Row, String> {
    if !judged {
        let statistics = Simulation::new(case.plan.clone()).map_err(|error| error.0)?.run();
        return Ok(Row::new(case, &statistics, None));
    }
    let (statistics, breaches) = Simulation::run_checked(case.plan.clone()).map_err(|error| error.0)?;
    Ok(Row::new(case, &statistics, Some(breaches.len() as u64)))
}

/// Runs cases until all have finished or `stop` is set; `each` gets the rows one by one, in any order.
///
/// # Errors
/// The first error of a run or of `each`, which stops the other runs.
pub fn play(
    cases: &[Case],
    judged: bool,
    jobs: usize,
    stop: &AtomicBool,
    each: impl FnMut(Row) -> Result<(), String> + Send,
) -> Result<(), String> {
    let next = AtomicUsize::new(0);
    let each = Mutex::new(each);
    let work = || -> Result<(), String> {
        while !stop.load(Ordering::Acquire) {
            let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) else { break };
            let row = row(case, judged)?;
            let accepted = (each.lock().unwrap_or_else(PoisonError::into_inner))(row);
            accepted.inspect_err(|_| stop.store(true, Ordering::Release))?;
        }
        Ok(())
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().try_for_each(|t| t.join().unwrap_or_else(|_| Err("a run panicked".to_string())))
    })
}
