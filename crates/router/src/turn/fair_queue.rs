//! A queue that gives the next turn to whoever was served least (start-time fair queueing).

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// The place of a waiting key: those with less service go first; among equals, those that have rested, and then in
/// order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place<K> {
    service: u64,
    /// Whether it has received as much as the key that was served when it began to wait.
    is_busy: bool,
    arrival: u64,
    key: K,
}

/// What is known of a key.
#[derive(Debug, Clone, Copy)]
struct Flow<K> {
    /// The service it has received, in units of work.
    service: u64,
    /// `None` unless it waits.
    place: Option<Place<K>>,
}

/// Keys that wait for service. A key that returns after a rest has no claim to what it did not use, but for a credit.
#[derive(Debug)]
pub struct FairQueue<K> {
    waiting: BTreeSet<Place<K>>,
    flows: HashMap<K, Flow<K>>,
    /// The most service that a key had received when it was taken: none that waits has received less, but for the
    /// credit.
    virtual_time: u64,
    /// How far a new key begins behind the others, so that newcomers without end do not keep them waiting.
    newcomer_delay: u64,
    /// How much service a key that has rested may receive before others, at the most.
    credit: u64,
    arrivals: u64,
}

impl<K: Copy + Ord + Hash> FairQueue<K> {
    /// Creates an empty queue. New keys begin as if they had received `newcomer_delay` units of work more than the
    /// key that is served; those that have rested, as if it were `credit` less, at the most.
    pub fn new(newcomer_delay: u64, credit: u64) -> Self {
        let (waiting, flows) = (BTreeSet::new(), HashMap::new());
        Self { waiting, flows, virtual_time: 0, newcomer_delay, credit, arrivals: 0 }
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a key waits.
    pub fn contains(&self, key: K) -> bool {
        self.flows.get(&key).is_some_and(|flow| flow.place.is_some())
    }

    /// Lets a key wait, unless it does already.
    pub fn insert(&mut self, key: K) {
        if self.contains(key) {
            return;
        }
        let first = self.virtual_time + self.newcomer_delay;
        let received = self.flows.get(&key).map_or(first, |flow| flow.service);
        let service = received.max(self.least_service());
        let is_busy = received >= self.virtual_time;
        self.arrivals += 1;
        let place = Place { service, is_busy, arrival: self.arrivals, key };
        self.waiting.insert(place);
        self.flows.insert(key, Flow { service: place.service, place: Some(place) });
    }

    /// Makes a key known that does not wait yet, as one that has rested.
    pub fn join(&mut self, key: K) {
        let flow = Flow { service: self.least_service(), place: None };
        self.flows.entry(key).or_insert(flow);
    }

    /// What a key that waits counts as having received at the least.
    fn least_service(&self) -> u64 {
        self.virtual_time.saturating_sub(self.credit)
    }

    /// Takes the key that was served least.
    pub fn pop(&mut self) -> Option<K> {
        let place = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(place.service);
        if let Some(flow) = self.flows.get_mut(&place.key) {
            flow.place = None;
        }
        Some(place.key)
    }

    /// Adds service that a key has received, also if it waits. A key that was removed stays unknown.
    pub fn charge(&mut self, key: K, work: u64) {
        let Some(flow) = self.flows.get_mut(&key) else { return };
        flow.service += work;
        if let Some(place) = &mut flow.place {
            self.waiting.remove(place);
            place.service = flow.service;
            self.waiting.insert(*place);
        }
    }

    /// Ends the wait of a key, whose service is remembered.
    pub fn withdraw(&mut self, key: K) {
        let place = self.flows.get_mut(&key).and_then(|flow| flow.place.take());
        if let Some(place) = place {
            self.waiting.remove(&place);
        }
    }

    /// Removes a key that is not used again.
    pub fn remove(&mut self, key: K) {
        self.withdraw(key);
        self.flows.remove(&key);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fair_queue.rs"]
mod tests;
