//! Owns what was seen of a day: how requests ended by second, and what they cost.

/// How requests ended, by the second in which they were asked, and what reached the origin, by second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Seen {
    pub asked: Vec<u32>,
    pub in_time: Vec<u32>,
    pub late: Vec<u32>,
    pub refused: Vec<u32>,
    pub failed: Vec<u32>,
    pub origin: Vec<u32>,
    /// Repeats by clients, by the second in which they came.
    pub repeats: Vec<u32>,
    /// Requests that the other site served.
    pub across: u64,
    pub hits: u64,
    /// Of these, answers that were past their fresh time.
    pub stale: u64,
    pub fills: u64,
    /// Requests that the origin worked for when nobody waited any more.
    pub in_vain: u64,
    pub events: u64,
    /// Servers that fell over.
    pub fell: u64,
    /// Milliseconds that served requests took.
    pub took: Vec<f32>,
}

impl Seen {
    /// One more in a second.
    pub fn count(list: &mut Vec<u32>, second: usize) {
        if list.len() <= second {
            list.resize(second + 1, 0);
        }
        list[second] += 1;
    }

    /// The part of the requests that was served in time.
    pub fn share(&self) -> f64 {
        self.share_between(0, self.asked.len())
    }

    /// The same for those that were first asked from one second on and before another.
    pub fn share_between(&self, from: usize, to: usize) -> f64 {
        let sum = |list: &[u32]| list.iter().take(to).skip(from).map(|n| f64::from(*n)).sum::<f64>();
        sum(&self.in_time) / sum(&self.asked).max(1.0)
    }
}
