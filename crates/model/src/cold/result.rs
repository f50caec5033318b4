//! The evaluation of a trial at a server that started cold.

use linnethook::interface::Ms;

use super::fleet::{Arrival, Fleet, ALL_NOTIFIED_AFTER, CRASH_TIME, RESTART_TIME, TRIAL_START};
use super::servers::capacity_ratio;

/// Results of a trial at the servers that started cold.
///
/// A window ends with each request at such a server and is as long as its overload window. Its budget N is
/// the number of requests of mean size that the server accepts in a window without a crash.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TrialResult {
    /// Number of windows.
    pub windows: u32,
    /// Windows with more than N requests.
    pub over_budget: u32,
    /// Windows above the bound N + 2 x root of N + 2.
    pub over_bound: u32,
    /// Whether more than two thirds of the work of the first window above the bound came from routers that
    /// knew of the start when they sent it.
    pub caused_by_notified: bool,
    /// The same for routers that knew of the start by the end of the window.
    pub caused_by_notified_by_end: bool,
    /// The largest window, as a multiple of the bound.
    pub max_of_bound: f64,
    /// The largest window, as a multiple of N.
    pub max_of_budget: f64,
    /// N of the window that is the largest multiple of the bound.
    pub budget: f64,
    /// Time from the start until a window has half of the load that the server had before its crash; `None` =
    /// not within the trial.
    pub time_to_half: Option<Ms>,
    /// The same for nine tenths of that load.
    pub time_to_nine_tenths: Option<Ms>,
    /// The time to half of the load with an ideal router, which knows the complete state and sends as much as
    /// N allows.
    pub ideal_time_to_half: Ms,
    /// The same for nine tenths of the load.
    pub ideal_time_to_nine_tenths: Ms,
}

impl Fleet<'_> {
    pub(super) fn result(&self, n: usize) -> TrialResult {
        let server = &self.servers[n];
        let all = &self.arrivals[&n];
        let (slow_start, mean) = (server.slow_start, self.trial.deployment.work());
        let before: f64 = all
            .iter()
            .filter(|arrival| (TRIAL_START + 1_000.0..CRASH_TIME).contains(&arrival.at))
            .map(|arrival| arrival.work)
            .sum::<f64>()
            / (CRASH_TIME - TRIAL_START - 1_000.0);
        let mut result = TrialResult::default();
        let after: Vec<&Arrival> = all
            .iter()
            .filter(|arrival| arrival.at >= RESTART_TIME && arrival.at < RESTART_TIME + slow_start.duration)
            .collect();
        let (mut first, mut work, mut notified) = (0, 0.0, 0.0);
        let mut over_bound_before = false;
        for (last, arrival) in after.iter().enumerate() {
            work += arrival.work;
            notified += if arrival.notified { arrival.work } else { 0.0 };
            while arrival.at - after[first].at > slow_start.overload_window {
                work -= after[first].work;
                notified -= if after[first].notified { after[first].work } else { 0.0 };
                first += 1;
            }
            let age = arrival.at - RESTART_TIME;
            let budget = server.capacity
                * capacity_ratio(&slow_start, RESTART_TIME, age)
                * slow_start.overload_multiple
                * slow_start.overload_window
                / mean;
            let bound = budget + 2.0 * budget.sqrt() + 2.0;
            result.windows += 1;
            result.over_budget += u32::from(work / mean > budget);
            if work / mean > bound {
                result.over_bound += 1;
                if !over_bound_before {
                    over_bound_before = true;
                    let by_then = |arrival: &&&Arrival| {
                        let notified_at = self.notified_at[arrival.router].get(&n);
                        notified_at.is_some_and(|at| *at <= RESTART_TIME + age) || age > ALL_NOTIFIED_AFTER
                    };
                    let window = &after[first..=last];
                    let known: f64 = window.iter().filter(by_then).map(|arrival| arrival.work).sum();
                    (result.caused_by_notified, result.caused_by_notified_by_end) =
                        (notified > work * 2.0 / 3.0, known > work * 2.0 / 3.0);
                }
            }
            if work / mean / bound > result.max_of_bound {
                (result.max_of_bound, result.budget) = (work / mean / bound, budget);
            }
            result.max_of_budget = result.max_of_budget.max(work / mean / budget);
            if age > slow_start.overload_window {
                let window_middle = age - slow_start.overload_window / 2.0;
                let reached = |share: f64| {
                    (work / slow_start.overload_window > before * share).then_some(window_middle)
                };
                (result.time_to_half, result.time_to_nine_tenths) =
                    (result.time_to_half.or(reached(0.5)), result.time_to_nine_tenths.or(reached(0.9)));
            }
        }
        let ideal = |share: f64| {
            let fits = |age: &f64| {
                server.capacity
                    * capacity_ratio(&slow_start, RESTART_TIME, *age)
                    * slow_start.overload_multiple
                    >= before * share
            };
            (0..400).map(|n| f64::from(n) * 50.0).find(fits).unwrap_or(slow_start.duration)
        };
        (result.ideal_time_to_half, result.ideal_time_to_nine_tenths) = (ideal(0.5), ideal(0.9));
        result
    }
}
