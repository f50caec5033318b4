//! The keys of messages that are not entries.
//!
//! The key of an entry is an [`EntryKey`](crate::gossip::entry::EntryKey). An empty key stands for the digests of the
//! sender's table, and a key of one of these single bytes for a message of that kind.

/// The first tag of a message. Tags from here up to [`HANDSHAKE_TAG`] belong to other parts of the router.
pub const FIRST_MESSAGE_TAG: u8 = 0xf0;
/// A [`LinkHandshake`](crate::aggregation::scope::LinkHandshake).
pub const HANDSHAKE_TAG: u8 = 0xf8;
/// A [`Query`](crate::aggregation::query::Query).
pub const QUERY_TAG: u8 = 0xf9;
/// The answer to a query.
pub const ANSWER_TAG: u8 = 0xfa;
/// Keys of which no more complete entries are wanted.
pub const PRUNE_TAG: u8 = 0xfb;
/// Digests of entries that the sender has.
pub const IHAVE_TAG: u8 = 0xfc;
/// Digests of entries that the sender requests.
pub const GRAFT_TAG: u8 = 0xfd;
/// The timestamp of the sender.
pub const TIMESTAMP_TAG: u8 = 0xff;

/// Whether a message of that tag is between routers that have locations.
pub fn is_topology_tag(tag: u8) -> bool {
    matches!(tag, HANDSHAKE_TAG..=GRAFT_TAG)
}
