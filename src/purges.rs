//! A book of purges: when an object, or the group that it is in, was last purged.

use std::collections::BTreeMap;

use crate::interface::{Ms, ObjectId};

#[derive(Debug, Clone, Default)]
pub struct Purges {
    objects: BTreeMap<ObjectId, Ms>,
    groups: BTreeMap<u32, Ms>,
}

impl Purges {
    /// Notes a purge of one object, or of a whole group; the latest counts, in whatever order they come.
    pub fn note(&mut self, object: Option<ObjectId>, group: u32, at: Ms) {
        let last = match object {
            Some(object) => self.objects.entry(object).or_insert(at),
            None => self.groups.entry(group).or_insert(at),
        };
        *last = last.max(at);
    }

    pub fn last(&self, object: ObjectId, group: u32) -> Option<Ms> {
        let found = [self.objects.get(&object), self.groups.get(&group)];
        found.into_iter().flatten().copied().reduce(Ms::max)
    }

    pub fn forget_before(&mut self, oldest: Ms) {
        self.objects.retain(|_, at| *at >= oldest);
        self.groups.retain(|_, at| *at >= oldest);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_purge_of_object_or_group_counts() {
        let mut purges = Purges::default();
        purges.note(Some(ObjectId(7)), 0, 50.0);
        purges.note(Some(ObjectId(7)), 0, 40.0);
        assert_eq!(purges.last(ObjectId(7), 3), Some(50.0));
        purges.note(None, 3, 60.0);
        assert_eq!(purges.last(ObjectId(7), 3), Some(60.0));
        assert_eq!(purges.last(ObjectId(7), 4), Some(50.0));
        purges.forget_before(55.0);
        assert_eq!(purges.last(ObjectId(7), 4), None);
    }
}
