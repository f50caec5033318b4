//! Owns the events that are to come: a radix heap, which never goes back in time.
//!
//! A discrete-event run takes its events in the order of their times and adds none before the one that it is at. That is
//! all that a radix heap asks for (Ahuja, Mehlhorn, Orlin and Tarjan 1990): an event lies in the bucket of the highest bit in
//! which its time differs from the present one, and moves down as time comes near, at most 64 times and in whole
//! blocks of memory. Events of one time come in the order in which they were added. Must never let time go back.

use crate::Micros;

const BUCKETS: usize = 65;

/// Events by time, and those of one time by when they were added.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    now: Micros,
    len: usize,
    /// Bucket 0 has the present time, bucket n times that differ from it in bit n - 1 at the highest.
    buckets: Vec<Vec<(Micros, T)>>,
    /// What is left of the present time, the next one last.
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

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an event; one that would lie in the past comes now.
    pub fn add(&mut self, at: Micros, event: T) {
        let at = at.max(self.now);
        self.len += 1;
        self.buckets[bucket(self.now, at)].push((at, event));
    }

    /// The next event with its time.
    pub fn take(&mut self) -> Option<(Micros, T)> {
        if self.ready.is_empty() {
            self.refill();
        }
        let event = self.ready.pop()?;
        self.len -= 1;
        Some((self.now, event))
    }

    /// Moves to the next time that has an event.
    fn refill(&mut self) {
        if self.buckets[0].is_empty() {
            let Some(n) = self.buckets.iter().position(|bucket| !bucket.is_empty()) else { return };
            let moved = std::mem::take(&mut self.buckets[n]);
            let Some(least) = moved.iter().map(|(at, _)| *at).min() else { return };
            self.now = least;
            // Each goes lower than where it was, and those of one time stay in their order.
            for (at, event) in moved {
                self.buckets[bucket(least, at)].push((at, event));
            }
        }
        let due = std::mem::take(&mut self.buckets[0]);
        self.ready.extend(due.into_iter().rev().map(|(_, event)| event));
    }
}
