//! Owns how far a fact goes: which fellows with a link are told it, and what waits for each of them.
//!
//! A fact is for all whose places have so many of the outermost names in common with this router's. Must never let
//! one go over a link to a place that it is not for, nor before it is known where the other end stands.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::aggregation::location::Location;
use crate::gossip::entry::EntryKey;
use crate::Ms;

/// The first word over a link, and again where its shape has changed: where its sender stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHandshake {
    pub location: Location,
    /// The version and the digest of the hierarchy that it acts on.
    pub hierarchy: (u64, u64),
    /// Whether it knows of lazy links: told behind the rest, where an older build does not look.
    #[serde(skip)]
    pub supports_lazy_links: bool,
}

impl LinkHandshake {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        bytes.extend(self.supports_lazy_links.then_some(1));
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (greeting, rest) = postcard::take_from_bytes::<Self>(bytes).ok()?;
        Some(Self { supports_lazy_links: rest.first() == Some(&1), ..greeting })
    }
}

/// Where the other end of a link stands.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PeerLocation {
    Unknown,
    /// A build without places, or a router without one: it is taken as of this site.
    SameSite,
    Known(LinkHandshake),
}

#[derive(Debug, Clone)]
struct ScopedLink {
    location: PeerLocation,
    /// What it is to be told: by urgency, then by key.
    pending: BTreeSet<(u8, Vec<u8>)>,
    /// When something was told over it last.
    last_sent: Ms,
}

#[derive(Debug, Clone)]
pub struct ScopedLinks {
    location: Location,
    links: BTreeMap<String, ScopedLink>,
    /// Whose turn it is.
    next_turn: String,
}

/// Whether a fact of that kind goes link by link, as far as it is for. All others are told to everybody.
pub fn is_scoped(key: &EntryKey) -> bool {
    matches!(key, EntryKey::Router(_) | EntryKey::VersionUpdate(_) | EntryKey::Summary(_))
}

impl ScopedLinks {
    pub fn new(place: Location) -> Self {
        Self { location: place, links: BTreeMap::new(), next_turn: String::new() }
    }

    pub fn location(&self) -> &Location {
        &self.location
    }

    pub fn add_link(&mut self, name: &str) {
        let link = ScopedLink {
            location: PeerLocation::Unknown,
            pending: BTreeSet::new(),
            last_sent: f64::NEG_INFINITY,
        };
        self.links.insert(name.to_string(), link);
    }

    pub fn remove_link(&mut self, name: &str) {
        self.links.remove(name);
    }

    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// A greeting came; whether it was not known before where that one stands.
    pub fn record_handshake(&mut self, name: &str, greeting: LinkHandshake) -> bool {
        let Some(link) = self.links.get_mut(name) else { return false };
        let before = std::mem::replace(&mut link.location, PeerLocation::Known(greeting));
        before == PeerLocation::Unknown
    }

    /// A fellow that says statements and has not greeted has no place; whether that is news.
    pub fn mark_without_location(&mut self, name: &str) -> bool {
        let Some(link) = self.links.get_mut(name).filter(|link| link.location == PeerLocation::Unknown)
        else {
            return false;
        };
        link.location = PeerLocation::SameSite;
        true
    }

    /// How many names the other end of a link has in common; nothing while that is not known.
    pub fn common_depth(&self, name: &str) -> Option<usize> {
        match &self.links.get(name)?.location {
            PeerLocation::Unknown => None,
            PeerLocation::SameSite => Some(self.location.depth()),
            PeerLocation::Known(greeting) => Some(self.location.common_depth(&greeting.location)),
        }
    }

    /// Whether a fellow with a link is of this site, or is taken as such.
    pub fn is_same_site(&self, name: &str) -> bool {
        match self.links.get(name).map(|link| &link.location) {
            Some(PeerLocation::SameSite) => true,
            Some(PeerLocation::Known(greeting)) => greeting.location == self.location,
            Some(PeerLocation::Unknown) | None => false,
        }
    }

    /// Fellows of other sites with a link, and how they greeted.
    pub fn remote_peers(&self) -> impl Iterator<Item = (&String, &LinkHandshake)> {
        self.links.iter().filter_map(|(name, link)| match &link.location {
            PeerLocation::Known(greeting) if greeting.location != self.location => Some((name, greeting)),
            _ => None,
        })
    }

    /// All with a link that know of places.
    pub fn peers_with_location(&self) -> impl Iterator<Item = &String> {
        let placed = |link: &ScopedLink| matches!(link.location, PeerLocation::Known(_));
        self.links.iter().filter(move |(_, link)| placed(link)).map(|(name, _)| name)
    }

    /// All that a fact is for, but the one that told it.
    pub fn recipients(&self, depth: usize, but: Option<&str>) -> Vec<String> {
        let fits = |name: &&String| {
            but != Some(name.as_str()) && self.common_depth(name).is_some_and(|common| common >= depth)
        };
        self.links.keys().filter(fits).cloned().collect()
    }

    /// A fact waits for one fellow, if it is for it.
    pub fn enqueue(&mut self, name: &str, urgency: u8, key: &[u8], depth: usize) {
        let fits = self.common_depth(name).is_some_and(|common| common >= depth);
        if let Some(link) = self.links.get_mut(name).filter(|_| fits) {
            link.pending.insert((urgency, key.to_vec()));
        }
    }

    /// That one has the fact already.
    pub fn dequeue(&mut self, name: &str, urgency: u8, key: &[u8]) {
        if let Some(link) = self.links.get_mut(name).filter(|link| !link.pending.is_empty()) {
            link.pending.remove(&(urgency, key.to_vec()));
        }
    }

    /// What waits for a fellow first of all.
    pub fn first_pending(&self, name: &str) -> Option<&(u8, Vec<u8>)> {
        self.links.get(name)?.pending.first()
    }

    pub fn pop_pending(&mut self, name: &str) {
        if let Some(link) = self.links.get_mut(name) {
            link.pending.pop_first();
        }
    }

    /// Fellows for whom something waits and that were told nothing for so long, each the first in its turn.
    pub fn links_ready_to_send(&mut self, now: Ms, quiet: Ms) -> Vec<String> {
        let waits = |(name, link): (&String, &ScopedLink)| {
            (!link.pending.is_empty() && now >= link.last_sent + quiet).then(|| name.clone())
        };
        let mut names: Vec<String> = self.links.iter().filter_map(waits).collect();
        let after = names.iter().position(|name| *name > self.next_turn).unwrap_or(0);
        names.rotate_left(after);
        if let Some(first) = names.first() {
            self.next_turn.clone_from(first);
        }
        names
    }

    /// Something is told over a link.
    pub fn mark_sent(&mut self, now: Ms, name: &str) {
        if let Some(link) = self.links.get_mut(name) {
            link.last_sent = now;
        }
    }

    /// Since when nothing was told over the link over which something waits, and of several the longest.
    pub fn oldest_send(&self) -> Option<Ms> {
        let waits = self.links.values().filter(|link| !link.pending.is_empty());
        waits.map(|link| link.last_sent).reduce(f64::min)
    }

    pub fn pending_count(&self) -> usize {
        self.links.values().map(|link| link.pending.len()).sum()
    }
}
