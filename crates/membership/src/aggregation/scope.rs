//! The scope of entries: which linked peers an entry is for, and which entries are pending for each of them.
//!
//! An entry has a depth: it is for all routers whose locations share that many of the outermost names with
//! this router's. No scoped entry is sent over a link before the location at its other end is known.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::decode_error::DecodeError;
use crate::gossip::entry::EntryKey;
use crate::versions::HierarchyVersion;
use crate::Ms;

/// The first message over a link, sent again when the sender changes to another version of the hierarchy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHandshake {
    /// The location of the sender.
    pub location: Location,
    /// The hierarchy that the sender acts on.
    pub hierarchy: HierarchyVersion,
    /// Whether the sender supports lazy links. Encoded after the other fields, where older builds ignore it.
    #[serde(skip)]
    pub supports_lazy_links: bool,
}

/// The byte that encodes `supports_lazy_links`; nothing is encoded if it is false.
const LAZY_LINKS_FLAG: u8 = 1;

impl LinkHandshake {
    /// The handshake as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        if self.supports_lazy_links {
            bytes.push(LAZY_LINKS_FLAG);
        }
        bytes
    }

    /// Decodes a handshake.
    ///
    /// # Errors
    ///
    /// The bytes are not a handshake.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (handshake, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let supports_lazy_links = rest.first() == Some(&LAZY_LINKS_FLAG);
        Ok(Self { supports_lazy_links, ..handshake })
    }
}

/// What is known of the location at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PeerLocation {
    Unknown,
    /// An older build or a router without a location: it is treated as a router of this site.
    SameSite,
    Known(LinkHandshake),
}

#[derive(Debug, Clone)]
struct ScopedLink {
    location: PeerLocation,
    /// Entries to send, by urgency and then by key.
    pending: BTreeSet<(u8, Vec<u8>)>,
    last_sent: Ms,
}

/// The links of a router that has a location.
#[derive(Debug, Clone)]
pub struct ScopedLinks {
    location: Location,
    links: BTreeMap<String, ScopedLink>,
    /// The link that was first in the last round: the next round begins with the link after it.
    last_round_start: String,
}

/// Whether entries of this kind are sent link by link according to their depth. All others are broadcast.
pub fn is_scoped(key: &EntryKey) -> bool {
    matches!(key, EntryKey::Router(_) | EntryKey::VersionUpdate(_) | EntryKey::Summary(_))
}

impl ScopedLinks {
    /// A router at this location, without links.
    pub fn new(location: Location) -> Self {
        Self { location, links: BTreeMap::new(), last_round_start: String::new() }
    }

    /// The location of this router.
    pub fn location(&self) -> &Location {
        &self.location
    }

    /// Adds a link. The location at its other end is unknown until a handshake or a status arrives.
    pub fn add_link(&mut self, name: &str) {
        let link = ScopedLink {
            location: PeerLocation::Unknown,
            pending: BTreeSet::new(),
            last_sent: f64::NEG_INFINITY,
        };
        self.links.insert(name.to_string(), link);
    }

    /// Removes a link and its pending entries.
    pub fn remove_link(&mut self, name: &str) {
        self.links.remove(name);
    }

    /// Whether there is no link.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Records a handshake. Returns true if the location at the other end was unknown before.
    pub fn record_handshake(&mut self, name: &str, handshake: LinkHandshake) -> bool {
        let Some(link) = self.links.get_mut(name) else { return false };
        let before = std::mem::replace(&mut link.location, PeerLocation::Known(handshake));
        before == PeerLocation::Unknown
    }

    /// Treats a peer that sent a status without a handshake as a router of this site. Returns true if its
    /// location was unknown before.
    pub fn mark_without_location(&mut self, name: &str) -> bool {
        let Some(link) = self.links.get_mut(name) else { return false };
        let was_unknown = link.location == PeerLocation::Unknown;
        if was_unknown {
            link.location = PeerLocation::SameSite;
        }
        was_unknown
    }

    /// How many names the location at the other end shares with this router's; `None` while it is unknown.
    pub fn common_depth(&self, name: &str) -> Option<usize> {
        match &self.links.get(name)?.location {
            PeerLocation::Unknown => None,
            PeerLocation::SameSite => Some(self.location.depth()),
            PeerLocation::Known(handshake) => Some(self.location.common_depth(&handshake.location)),
        }
    }

    /// Whether a linked peer belongs to this site or is treated as such.
    pub fn is_same_site(&self, name: &str) -> bool {
        match self.links.get(name).map(|link| &link.location) {
            Some(PeerLocation::SameSite) => true,
            Some(PeerLocation::Known(handshake)) => handshake.location == self.location,
            Some(PeerLocation::Unknown) | None => false,
        }
    }

    /// Linked peers of other sites, with their handshakes.
    pub fn remote_peers(&self) -> impl Iterator<Item = (&String, &LinkHandshake)> {
        self.links.iter().filter_map(|(name, link)| match &link.location {
            PeerLocation::Known(handshake) if handshake.location != self.location => Some((name, handshake)),
            _ => None,
        })
    }

    /// Linked peers that have reported their location.
    pub fn peers_with_location(&self) -> impl Iterator<Item = &String> {
        let has_location = |link: &ScopedLink| matches!(link.location, PeerLocation::Known(_));
        self.links.iter().filter(move |(_, link)| has_location(link)).map(|(name, _)| name)
    }

    /// Linked peers that an entry of this depth is for, except the one that sent it.
    pub fn recipients(&self, depth: usize, except: Option<&str>) -> Vec<String> {
        let is_recipient = |name: &&String| {
            let is_in_scope = self.common_depth(name).is_some_and(|common| common >= depth);
            except != Some(name.as_str()) && is_in_scope
        };
        self.links.keys().filter(is_recipient).cloned().collect()
    }

    /// Queues an entry for a peer, if it is for that peer.
    pub fn enqueue(&mut self, name: &str, urgency: u8, key: &[u8], depth: usize) {
        let is_in_scope = self.common_depth(name).is_some_and(|common| common >= depth);
        if let Some(link) = self.links.get_mut(name).filter(|_| is_in_scope) {
            link.pending.insert((urgency, key.to_vec()));
        }
    }

    /// Removes an entry from a peer's queue, because the peer has it already.
    pub fn dequeue(&mut self, name: &str, urgency: u8, key: &[u8]) {
        if let Some(link) = self.links.get_mut(name).filter(|link| !link.pending.is_empty()) {
            link.pending.remove(&(urgency, key.to_vec()));
        }
    }

    /// The key of the first pending entry for a peer.
    pub fn first_pending_key(&self, name: &str) -> Option<&[u8]> {
        self.links.get(name)?.pending.first().map(|(_, key)| key.as_slice())
    }

    /// Removes the first pending entry for a peer.
    pub fn pop_pending(&mut self, name: &str) {
        if let Some(link) = self.links.get_mut(name) {
            link.pending.pop_first();
        }
    }

    /// Peers with pending entries whose links have been idle for at least `min_idle`, in round-robin order.
    pub fn links_ready_to_send(&mut self, now: Ms, min_idle: Ms) -> Vec<String> {
        let is_ready = |link: &ScopedLink| !link.pending.is_empty() && now >= link.last_sent + min_idle;
        let ready = self.links.iter().filter(|(_, link)| is_ready(link));
        let mut names: Vec<String> = ready.map(|(name, _)| name.clone()).collect();
        let first = names.iter().position(|name| *name > self.last_round_start).unwrap_or(0);
        names.rotate_left(first);
        if let Some(name) = names.first() {
            self.last_round_start.clone_from(name);
        }
        names
    }

    /// Records that something was sent over a link.
    pub fn mark_sent(&mut self, now: Ms, name: &str) {
        if let Some(link) = self.links.get_mut(name) {
            link.last_sent = now;
        }
    }

    /// The earliest of the last send times of the links with pending entries.
    pub fn oldest_send(&self) -> Option<Ms> {
        let with_pending = self.links.values().filter(|link| !link.pending.is_empty());
        with_pending.map(|link| link.last_sent).reduce(f64::min)
    }

    /// The number of pending entries of all links together.
    pub fn pending_count(&self) -> usize {
        self.links.values().map(|link| link.pending.len()).sum()
    }
}
