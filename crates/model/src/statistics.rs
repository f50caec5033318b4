//! Results of a run: how requests ended in each second, and the cost.

/// Counts by second are indexed by the second of the run in which the client first sent the request, unless
/// stated otherwise.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Statistics {
    /// First requests of clients.
    pub requests: Vec<u32>,
    /// Requests that were served within the latency objective.
    pub in_time: Vec<u32>,
    /// Requests that were served later.
    pub late: Vec<u32>,
    /// Requests that were rejected, after all retries.
    pub rejected: Vec<u32>,
    /// Requests that failed, after all retries.
    pub failed: Vec<u32>,
    /// Requests that reached the origin, by the second of their arrival.
    pub origin_requests: Vec<u32>,
    /// Retries by clients, by the second in which they are sent.
    pub client_retries: Vec<u32>,
    /// Requests that the other site served.
    pub remotely_served: u64,
    /// Attempts that were served from the copy of a cache.
    pub hits: u64,
    /// Hits that were past their freshness lifetime.
    pub stale_hits: u64,
    /// Requests of attempts that reached the origin, without background revalidations.
    pub origin_fills: u64,
    /// Requests that the origin completed after all who waited for them had given up.
    pub wasted_origin_work: u64,
    /// Events of the simulation.
    pub events: u64,
    /// Servers that crashed under overload.
    pub crashes: u64,
    /// Latencies of the served requests, in milliseconds.
    pub latencies_ms: Vec<f32>,
}

impl Statistics {
    /// Adds one to the count of a second.
    pub fn count(list: &mut Vec<u32>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }

    /// The share of requests that were served within the latency objective.
    pub fn in_time_share(&self) -> f64 {
        self.in_time_share_between(0, self.requests.len())
    }

    /// The same for requests that were first sent in the seconds `from..to`.
    pub fn in_time_share_between(&self, from: usize, to: usize) -> f64 {
        let sum = |list: &[u32]| list.iter().take(to).skip(from).map(|n| f64::from(*n)).sum::<f64>();
        sum(&self.in_time) / sum(&self.requests).max(1.0)
    }
}
