//! The times of the latest purges of objects and groups.

use std::collections::BTreeMap;

use crate::interface::{Ms, ObjectId};

/// The latest purge of each object and of each group.
#[derive(Debug, Clone, Default)]
pub struct PurgeLog {
    objects: BTreeMap<ObjectId, Ms>,
    groups: BTreeMap<u32, Ms>,
}

impl PurgeLog {
    /// Records a purge of one object, or of all objects of the group; purges may arrive in any order.
    pub fn record(&mut self, object: Option<ObjectId>, group: u32, at: Ms) {
        let last = match object {
            Some(object) => self.objects.entry(object).or_insert(at),
            None => self.groups.entry(group).or_insert(at),
        };
        *last = last.max(at);
    }

    /// The time of the latest purge of the object or its group.
    pub fn last_purge(&self, object: ObjectId, group: u32) -> Option<Ms> {
        let found = [self.objects.get(&object), self.groups.get(&group)];
        found.into_iter().flatten().copied().reduce(Ms::max)
    }

    /// Removes all purges before `oldest`.
    pub fn remove_before(&mut self, oldest: Ms) {
        self.objects.retain(|_, at| *at >= oldest);
        self.groups.retain(|_, at| *at >= oldest);
    }
}
