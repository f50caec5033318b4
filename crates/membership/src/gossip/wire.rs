//! The keys of messages that are not entries.
//!
//! The key of an entry is an [`EntryKey`](crate::gossip::entry::EntryKey). An empty key marks the digests of
//! the sender's table, and a key that is one of these single bytes marks a message of that kind.

/// The first tag of a message. Tags from here up to [`HANDSHAKE_TAG`] belong to other components of the
/// router.
pub const FIRST_MESSAGE_TAG: u8 = 0xf0;
/// A [`LinkHandshake`](crate::aggregation::scope::LinkHandshake).
pub const HANDSHAKE_TAG: u8 = 0xf8;
/// A [`Query`](crate::aggregation::query::Query).
pub const QUERY_TAG: u8 = 0xf9;
/// The answer to a query.
pub const ANSWER_TAG: u8 = 0xfa;
/// Digests of keys for which the sender wants digests of entries only.
pub const PRUNE_TAG: u8 = 0xfb;
/// Digests of entries that the sender has.
pub const IHAVE_TAG: u8 = 0xfc;
/// Digests of entries that the sender requests in full.
pub const GRAFT_TAG: u8 = 0xfd;
/// The timestamp of the sender.
pub const TIMESTAMP_TAG: u8 = 0xff;

/// Whether messages with this tag are exchanged only between routers that have locations.
pub fn is_topology_tag(tag: u8) -> bool {
    matches!(tag, HANDSHAKE_TAG..=GRAFT_TAG)
}
