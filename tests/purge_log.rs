//! Tests of the purge log.

use linnethook::interface::ObjectId;
use linnethook::purge_log::*;

#[test]
fn the_latest_purge_of_the_object_or_its_group_applies() {
    let mut purges = PurgeLog::default();
    purges.record(Some(ObjectId(7)), 0, 50.0);
    purges.record(Some(ObjectId(7)), 0, 40.0);
    assert_eq!(purges.last_purge(ObjectId(7), 3), Some(50.0));
    purges.record(None, 3, 60.0);
    assert_eq!(purges.last_purge(ObjectId(7), 3), Some(60.0));
    assert_eq!(purges.last_purge(ObjectId(7), 4), Some(50.0));
    purges.remove_before(55.0);
    assert_eq!(purges.last_purge(ObjectId(7), 4), None);
}
