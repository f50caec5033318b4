//! The load that all routers together put on servers that started cold, from a recording.
//!
//! A node can take a budget of N requests within the rule's window: the given multiple of its capacity at
//! that time. As routers don't coordinate, all of them together may by chance reach N + 2 x root of N + 2. An
//! overload is attributed only to routers that had been notified of the start.

use std::collections::{BTreeMap, VecDeque};

use crate::recording::{Ms, Phase, RecordEntry, RecordedEvent, WarmUpCapacity};

/// The load on a node after one start, over all windows that end with a request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ColdStartLoad {
    /// The server that started.
    pub node: String,
    /// Number of windows: one ends with each request.
    pub windows: u32,
    /// Windows with more than N requests.
    pub over_budget: u32,
    /// Windows with more than [`bound`] requests, which is N + 2 x root of N + 2.
    pub over: u32,
    /// Whether over two thirds of the requests in the first window above the bound came from notified
    /// routers.
    pub broken: bool,
    /// Highest count of a window, as a multiple of the bound.
    pub worst: f64,
    /// Highest count of a window, as a multiple of N.
    pub worst_budget: f64,
    /// N in the window with the highest multiple of the bound.
    pub budget: f64,
    /// Arrival of each request, in milliseconds after the start.
    pub arrivals: Vec<Ms>,
}

/// N + 2 x root of N + 2.
pub fn bound(budget: f64) -> f64 {
    budget + 2.0 * budget.sqrt() + 2.0
}

struct Start {
    at: Ms,
    cold: WarmUpCapacity,
    notified: BTreeMap<String, Ms>,
    window: VecDeque<(Ms, bool)>,
    sum: ColdStartLoad,
}

/// The load after each start in the recording. Routers that are not notified within `notification_bound`
/// milliseconds count as notified from then on.
pub fn loads_after_starts(lines: &[RecordEntry], notification_bound: Ms) -> Vec<ColdStartLoad> {
    let mut running_starts = BTreeMap::<&str, Start>::new();
    let mut out = Vec::new();
    for line in lines {
        match &line.what {
            RecordedEvent::Started { node, cold } => {
                let sum = ColdStartLoad { node: node.clone(), ..ColdStartLoad::default() };
                let (notified, window) = (BTreeMap::new(), VecDeque::new());
                let start = Start { at: line.at, cold: *cold, notified, window, sum };
                out.extend(running_starts.insert(node, start).map(|start| start.sum));
            }
            RecordedEvent::Listed { router, node, phase: Phase::Ready } => {
                if let Some(start) = running_starts.get_mut(node.as_str()) {
                    start.notified.entry(router.clone()).or_insert(line.at);
                }
            }
            RecordedEvent::Asked { asked, .. } => {
                if let Some(start) = running_starts.get_mut(asked.at.as_str()) {
                    let notified =
                        asked.router.as_ref().is_none_or(|router| start.notified.contains_key(router));
                    start.count(line.at, notified || line.at - start.at > notification_bound);
                }
            }
            _ => {}
        }
    }
    out.extend(running_starts.into_values().map(|start| start.sum));
    out
}

impl Start {
    fn count(&mut self, at: Ms, notified: bool) {
        let age = at - self.at;
        if age > self.cold.warm_in || self.cold.fall_multiple <= 0.0 {
            return;
        }
        self.window.push_back((at, notified));
        while self.window.front().is_some_and(|(first, _)| at - first > self.cold.window) {
            self.window.pop_front();
        }
        let budget = self.cold.capacity_at(age) * self.cold.fall_multiple * self.cold.window / 1_000.0;
        let count = self.window.len() as f64;
        let part = count / bound(budget);
        let sum = &mut self.sum;
        sum.arrivals.push(age);
        sum.windows += 1;
        sum.over_budget += u32::from(count > budget);
        if part > 1.0 {
            sum.over += 1;
            let notified = self.window.iter().filter(|(_, notified)| *notified).count() as f64;
            sum.broken |= sum.over == 1 && notified > count * 2.0 / 3.0;
        }
        if part > sum.worst {
            (sum.worst, sum.budget) = (part, budget);
        }
        sum.worst_budget = sum.worst_budget.max(count / budget);
    }
}
