//! Owns the form of what fellows pass on: its key, how new it is, and a body in one of several versions.
//!
//! A fleet is always of two builds. So the order of two facts stands outside of the body, a body of a newer version
//! begins with all that an older one has, and what can't be read here is passed on as it came. Must never take a body
//! for more than its version says.

use serde::{Deserialize, Serialize};

use crate::Ms;

/// What a fact is about. A later fact of the same key takes the place of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
    /// What a router says of itself.
    Router(String),
    /// Two processes under one name.
    Twins(String),
    /// A line of the list of caches, as the journal had it at a number.
    Cache(String),
    /// A purge.
    Object(String),
    Group(u32),
    /// A batch of the hierarchy, by author and number.
    Batch(u16, u64),
    /// The version below which nobody is to act, by people.
    Floor,
}

impl Key {
    pub fn encode(&self) -> Vec<u8> {
        // Keys hold nothing that postcard can't write.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// `None` for a kind that a newer build has.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        match postcard::take_from_bytes(bytes) {
            Ok((key, [])) => Some(key),
            _ => None,
        }
    }
}

/// How new a fact is: a start or a number of the journal first.
pub type Order = (u64, u64);

/// A fact as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub order: Order,
    pub version: u16,
    pub body: Vec<u8>,
}

impl Entry {
    pub fn new<T: Serialize>(order: Order, version: u16, body: &T) -> Self {
        Self { order, version, body: postcard::to_stdvec(body).unwrap_or_default() }
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The body, whatever a newer version has behind it.
    pub fn read<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        postcard::take_from_bytes(&self.body).ok().map(|(body, _)| body)
    }
}

/// The versions of [`Statement`] that this build writes and reads.
pub const NEWEST: u16 = 2;

/// What a router acts on. Digests are told where the whole is too long.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Acts {
    pub build: String,
    pub settings: u64,
    pub operator: u64,
    /// The version and the digest of the hierarchy; 0 where it is off.
    pub shape: (u64, u64),
    /// The last number taken of the journal.
    pub journal: u64,
    /// Since version 2: drains and purges heeded in this start, from the journal and from fellows.
    pub drains: u64,
    pub purges: u64,
}

/// What a router says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Statement {
    pub acts: Acts,
    /// Fellows that it has a link with, and their starts.
    pub links: Vec<(String, u64)>,
    /// It ends, and has said so.
    pub leaving: bool,
}

/// Version 1, and what version 2 has behind it.
#[derive(Debug, Serialize, Deserialize)]
struct First {
    build: String,
    settings: u64,
    operator: u64,
    shape: (u64, u64),
    journal: u64,
    links: Vec<(String, u64)>,
    leaving: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct Second {
    first: First,
    drains: u64,
    purges: u64,
}

impl Statement {
    /// As an entry of that version, which is at most [`NEWEST`].
    pub fn entry(&self, order: Order, version: u16) -> Entry {
        let Acts { build, settings, operator, shape, journal, drains, purges } = self.acts.clone();
        let links = self.links.clone();
        let first = First { build, settings, operator, shape, journal, links, leaving: self.leaving };
        match version {
            0 | 1 => Entry::new(order, 1, &first),
            _ => Entry::new(order, NEWEST, &Second { first, drains, purges }),
        }
    }

    pub fn read(entry: &Entry) -> Option<Self> {
        let (first, drains, purges) = match entry.version {
            0 => return None,
            1 => (entry.read::<First>()?, 0, 0),
            _ => {
                let Second { first, drains, purges } = entry.read()?;
                (first, drains, purges)
            }
        };
        let First { build, settings, operator, shape, journal, links, leaving } = first;
        let acts = Acts { build, settings, operator, shape, journal, drains, purges };
        Some(Self { acts, links, leaving })
    }
}

/// How a cache stands by the journal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CacheLine {
    pub ready: bool,
    pub gone: bool,
    pub started: Ms,
}

/// A purge by the journal.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Purge {
    pub stamp: Ms,
    /// The journal's number.
    pub number: u64,
}

/// Two processes under one name: the start that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    pub start: u64,
}

/// The floor that people have set; 0 where they have taken it back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Floor {
    pub version: u64,
    /// The router at which it was set.
    pub by: String,
}

/// Stamps are ordered by their microseconds.
pub fn micros(stamp: Ms) -> u64 {
    (stamp.max(0.0) * 1_000.0) as u64
}

#[cfg(test)]
mod tests {
    use super::*;

    fn statement() -> Statement {
        let acts = Acts {
            build: "0.1.0".to_string(),
            settings: 1,
            operator: 2,
            shape: (3, 4),
            journal: 5,
            drains: 6,
            purges: 7,
        };
        Statement { acts, links: vec![("n1".to_string(), 9)], leaving: true }
    }

    #[test]
    fn an_older_version_is_read_with_what_it_lacks_left_out_and_a_newer_one_as_far_as_it_is_known() {
        let all = statement();
        let second = all.entry((1, 2), 2);
        assert_eq!(Statement::read(&second), Some(all.clone()));
        let first = Statement::read(&all.entry((1, 2), 1)).expect("version 1");
        assert_eq!((first.acts.drains, first.acts.purges, first.acts.journal), (0, 0, 5));
        // What an older build reads of version 2, and this one of version 3.
        assert!(second.read::<First>().is_some_and(|first| first.journal == 5 && first.leaving));
        let mut third = Entry { version: 3, ..second };
        third.body.extend([1, 2, 3]);
        assert_eq!(Statement::read(&third), Some(all));
    }

    #[test]
    fn what_is_cut_short_or_of_an_unknown_kind_is_nothing() {
        let entry = statement().entry((1, 2), 2);
        for length in 0..entry.body.len() {
            let cut = Entry { body: entry.body[..length].to_vec(), ..entry.clone() };
            assert_eq!(Statement::read(&cut), None, "{length}");
        }
        assert_eq!(Key::decode(&[99]), None);
        assert_eq!(Key::decode(&Key::Group(3).encode()), Some(Key::Group(3)));
        assert_eq!(Key::decode(&[]), None);
    }
}
