//! The endpoint list of this router's journal, and the endpoints in it that only other routers report as
//! drained.

use std::collections::BTreeMap;

use linnethook_membership::gossip::entry::CacheStatus;

use crate::discovery::event::EndpointEntry;

/// The endpoint list of this router's journal, overridden by later drains from other routers' journals.
#[derive(Debug, Default)]
pub(super) struct EndpointOverrides {
    /// The entries of the endpoint list, by name.
    listed: BTreeMap<String, EndpointEntry>,
    /// Endpoints that only other routers report as drained, with the journal position of the drain.
    drained: BTreeMap<String, u64>,
}

impl EndpointOverrides {
    /// Removes the entries that are not in a complete endpoint list.
    pub fn retain_listed(&mut self, complete_list: &[EndpointEntry]) {
        self.listed.retain(|name, _| complete_list.iter().any(|entry| entry.uid == *name));
    }

    /// Stores an entry of the endpoint list. Returns whether the endpoint was ready before; a new one counts
    /// as ready.
    pub fn replace(&mut self, entry: &EndpointEntry) -> bool {
        let before = match entry.is_removed() {
            true => self.listed.remove(&entry.uid),
            false => self.listed.insert(entry.uid.clone(), entry.clone()),
        };
        before.is_none_or(|before| before.is_ready())
    }

    /// Marks an entry at `journal_position` as draining if another router's journal has a later drain of the
    /// endpoint.
    pub fn apply_to(&mut self, entry: &mut EndpointEntry, journal_position: u64) {
        let Some(drained_at) = self.drained.get(&entry.uid) else { return };
        if *drained_at <= journal_position {
            self.drained.remove(&entry.uid);
        } else if entry.is_ready() {
            entry.mark_draining();
        }
    }

    /// Removes the overrides up to the position that this router's journal has reached. Returns the entries
    /// that are no longer overridden.
    pub fn remove_up_to(&mut self, journal_position: u64) -> Vec<EndpointEntry> {
        let removed = self.drained.extract_if(.., |_, drained_at| *drained_at <= journal_position);
        let names: Vec<String> = removed.map(|(name, _)| name).collect();
        names.iter().filter_map(|name| self.listed.get(name).cloned()).collect()
    }

    /// Applies the state of a cache from another router's journal, at a later position than this router's
    /// journal has reached. Returns the effective entry if it changes.
    pub fn apply_status(
        &mut self,
        name: &str,
        status: CacheStatus,
        journal_position: u64,
    ) -> Option<EndpointEntry> {
        let listed = self.listed.get(name)?;
        if status.ready {
            // A restarted cache is cold; its new start is accepted only from this router's journal.
            let same_process = status.started_at == listed.started_at();
            return (same_process && self.drained.remove(name).is_some()).then(|| listed.clone());
        }
        let is_new = self.drained.insert(name.to_string(), journal_position).is_none();
        if !is_new || !listed.is_ready() {
            return None;
        }
        let mut drained = listed.clone();
        drained.mark_draining();
        Some(drained)
    }

    /// The endpoints that only other routers report as drained, with the journal positions of the drains.
    pub fn drained(&self) -> impl Iterator<Item = (&String, u64)> {
        self.drained.iter().map(|(name, drained_at)| (name, *drained_at))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_overrides.rs"]
mod tests;
