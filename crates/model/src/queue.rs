//! The queue of future events: a radix heap.
//!
//! A discrete-event simulation takes events in order of time and adds none before the current time, which is
//! what a radix heap requires (Ahuja, Mehlhorn, Orlin and Tarjan 1990). An event is in the bucket of the
//! highest bit in which its time differs from the current time, and moves to lower buckets as time advances,
//! at most 64 times and together with its entire bucket. Events at the same time are taken in the order in
//! which they were added. Time never goes back.

use crate::Micros;

const BUCKETS: usize = 65;

/// Events by time; events at the same time in the order in which they were added.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    now: Micros,
    len: usize,
    /// Bucket 0 has the events at the current time, bucket n those whose time differs from it in bit n - 1 at
    /// the highest.
    buckets: Vec<Vec<(Micros, T)>>,
    /// Remaining events at the current time, in reverse order.
    ready: Vec<T>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let buckets = std::iter::repeat_with(Vec::new).take(BUCKETS).collect();
        Self { now: 0, len: 0, buckets, ready: Vec::new() }
    }
}

fn bucket(now: Micros, at: Micros) -> usize {
    (Micros::BITS - (now ^ at).leading_zeros()) as usize
}

impl<T> Queue<T> {
    /// The time of the event that was taken last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of events.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an event; a time in the past is replaced by the current time.
    pub fn add(&mut self, at: Micros, event: T) {
        let at = at.max(self.now);
        self.len += 1;
        self.buckets[bucket(self.now, at)].push((at, event));
    }

    /// Takes the next event, with its time.
    pub fn take(&mut self) -> Option<(Micros, T)> {
        if self.ready.is_empty() {
            self.refill();
        }
        let event = self.ready.pop()?;
        self.len -= 1;
        Some((self.now, event))
    }

    /// Advances to the time of the next event.
    fn refill(&mut self) {
        if self.buckets[0].is_empty() {
            let Some(n) = self.buckets.iter().position(|bucket| !bucket.is_empty()) else { return };
            let moved = std::mem::take(&mut self.buckets[n]);
            let Some(least) = moved.iter().map(|(at, _)| *at).min() else { return };
            self.now = least;
            // Every event moves to a lower bucket, and events at the same time stay in order.
            for (at, event) in moved {
                self.buckets[bucket(least, at)].push((at, event));
            }
        }
        let due = std::mem::take(&mut self.buckets[0]);
        self.ready.extend(due.into_iter().rev().map(|(_, event)| event));
    }
}
