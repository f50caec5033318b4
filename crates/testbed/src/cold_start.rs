//! What servers that started cold were asked for by all routers together, read from a recording.
//!
//! A node bears a budget of N requests within the rule's window: its multiple of what the node can do then. By chance
//! all routers together may come to N + 2 x root of N + 2. Where a fall is put down to routers, it is to those that had
//! been told of the start.

use std::collections::{BTreeMap, VecDeque};

use crate::recording::{Ms, Phase, RecordEntry, RecordedEvent, WarmUpCapacity};

/// What one start of a node was asked for, over all windows that end as a request comes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ColdStartLoad {
    /// The server that started.
    pub node: String,
    /// Windows that were looked at: one ends at each request.
    pub windows: u32,
    /// Windows with more than N, and with more than N + 2 x root of N + 2.
    pub over_budget: u32,
    /// Windows with more than [`bound`].
    pub over: u32,
    /// The first of the latter came for over two thirds from routers that had been told.
    pub broken: bool,
    /// The most that a window had, as a multiple of that bound and of N; N where it came nearest to the bound.
    pub worst: f64,
    /// The most that a window had, as a multiple of N.
    pub worst_budget: f64,
    /// N in the window that came nearest to the bound.
    pub budget: f64,
    /// When each request came, after the start.
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

/// The account of each start in the record. Routers that are not told of one within `deemed` count as told then.
pub fn sums(lines: &[RecordEntry], deemed: Ms) -> Vec<ColdStartLoad> {
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
                    start.count(line.at, notified || line.at - start.at > deemed);
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
