//! Unit tests of `src/fleet.rs`, a part of its module.

use super::*;

#[test]
fn the_kinds_of_frames_between_routers_stay() {
    assert_eq!((WANT_SHAPE, SHAPE), (0xf4, 0xf5));
}
