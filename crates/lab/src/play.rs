//! Owns the runs: cases on several threads, each row handed on as soon as it is there.
//!
//! A row depends on its case alone: however many threads there are, the rows are the same.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use linnethook_model::simulation::Simulation;

use crate::experiment::Case;
use crate::rows::Row;

/// Plays one case.
pub fn row(case: &Case, judged: bool) -> Result<Row, String> {
    if !judged {
        let seen = Simulation::new(case.plan.clone()).map_err(|wrong| wrong.0)?.run();
        return Ok(Row::new(case, &seen, None));
    }
    let (seen, breaches) = Simulation::run_checked(case.plan.clone()).map_err(|wrong| wrong.0)?;
    Ok(Row::new(case, &seen, Some(breaches.len() as u64)))
}

/// Plays cases until all are played or it is to stop; `each` gets the rows one by one, in any order, and may end it.
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
            let told = (each.lock().unwrap_or_else(PoisonError::into_inner))(row);
            told.inspect_err(|_| stop.store(true, Ordering::Release))?;
        }
        Ok(())
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        threads.into_iter().try_for_each(|t| t.join().unwrap_or_else(|_| Err("a run has failed".to_string())))
    })
}
