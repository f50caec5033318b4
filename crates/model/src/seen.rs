//! Results of a run: how requests ended in each second, and the cost.

/// Counts by second are indexed by the second of the run in which the client first sent the request, unless
/// stated otherwise.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    pub asked: Vec<u32>,
    pub in_time: Vec<u32>,
    pub late: Vec<u32>,
    pub refused: Vec<u32>,
    pub failed: Vec<u32>,
    pub origin: Vec<u32>,
    /// Retries by clients, by the second in which they are sent.
    pub repeats: Vec<u32>,
    /// Requests that the other site served.
    pub across: u64,
    pub hits: u64,
    /// Hits that were past their freshness lifetime.
    pub stale: u64,
    pub fills: u64,
    /// Requests that the origin completed after all who waited for them had given up.
    pub in_vain: u64,
    pub events: u64,
    /// Servers that crashed under overload.
    pub fell: u64,
    /// Latencies of the served requests, in milliseconds.
    pub took: Vec<f32>,
}

impl Seen {
    /// Adds one to the count of a second.
    pub fn count(list: &mut Vec<u32>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }

    /// The share of requests that were served within the latency objective.
    pub fn share(&self) -> f64 {
        self.share_between(0, self.asked.len())
    }

    /// The same for requests that were first sent in the seconds `from..to`.
    pub fn share_between(&self, from: usize, to: usize) -> f64 {
        let sum = |list: &[u32]| list.iter().take(to).skip(from).map(|n| f64::from(*n)).sum::<f64>();
        sum(&self.in_time) / sum(&self.asked).max(1.0)
    }
}
