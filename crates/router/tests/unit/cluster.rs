//! Unit tests of `src/cluster/mod.rs`, a part of its module.

use super::*;

#[test]
fn the_kinds_of_frames_between_routers_stay() {
    assert_eq!((SNAPSHOT_REQUEST, SNAPSHOT_CHUNK), (0xf4, 0xf5));
}
