//! The own endpoint list, and the caches in it that only other routers report as drained.

use std::collections::BTreeMap;

use linnethook_membership::gossip::entry::CacheStatus;

use crate::discovery::event::EndpointEntry;

/// The own endpoint list, with what other routers' journals say of it.
#[derive(Debug, Default)]
pub(super) struct EndpointOverrides {
    listed: BTreeMap<String, EndpointEntry>,
    /// Endpoints that only other routers report as drained, with the position of the drain in the journal.
    drained: BTreeMap<String, u64>,
}

impl EndpointOverrides {
    /// Removes what a complete list does not have.
    pub fn retain_listed(&mut self, complete_list: &[EndpointEntry]) {
        self.listed.retain(|name, _| complete_list.iter().any(|entry| entry.uid == *name));
    }

    /// Stores a line of the own list. Whether the endpoint was ready before; a new one counts as ready.
    pub fn replace(&mut self, entry: &EndpointEntry) -> bool {
        let before = match entry.is_removed() {
            true => self.listed.remove(&entry.uid),
            false => self.listed.insert(entry.uid.clone(), entry.clone()),
        };
        before.is_none_or(|before| before.is_ready())
    }

    /// Overrides a line of the own list at that position where another router's journal has a later drain of it.
    pub fn apply_to(&mut self, entry: &mut EndpointEntry, journal_position: u64) {
        let Some(drained_at) = self.drained.get(&entry.uid) else { return };
        if *drained_at <= journal_position {
            self.drained.remove(&entry.uid);
        } else if entry.is_ready() {
            entry.mark_draining();
        }
    }

    /// Removes the overrides up to a position, which the own journal has reached. The lines that are no longer overridden
    /// are returned.
    pub fn remove_up_to(&mut self, journal_position: u64) -> Vec<EndpointEntry> {
        let removed = self.drained.extract_if(.., |_, drained_at| *drained_at <= journal_position);
        let names: Vec<String> = removed.map(|(name, _)| name).collect();
        names.iter().filter_map(|name| self.listed.get(name).cloned()).collect()
    }

    /// Applies what another router's journal says of a cache at a later position than the own one has reached. The line
    /// that counts from now on is returned where that changes it.
    pub fn apply_status(
        &mut self,
        name: &str,
        status: CacheStatus,
        journal_position: u64,
    ) -> Option<EndpointEntry> {
        let listed = self.listed.get(name)?;
        if status.ready {
            // One that was restarted is cold, which only the own journal can tell.
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

    /// The endpoints that only other routers report as drained, with the positions of the drains in the journal.
    pub fn drained(&self) -> impl Iterator<Item = (&String, u64)> {
        self.drained.iter().map(|(name, drained_at)| (name, *drained_at))
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_overrides.rs"]
mod tests;
