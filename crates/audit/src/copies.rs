//! Owns the accounts of fellows that are kept here, link by link.
//!
//! A link is taken where it hangs on the one before it; one further on says what is missing. Must never take two links
//! for one place, nor close a gap by anything but the links that belong there.

use std::collections::{BTreeMap, VecDeque};

use crate::record::{Hash, Link};

/// What came of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    New,
    Known,
    /// Those from that number on are to be asked for first.
    Missing(u64),
    /// Another link has this place, or what hangs before it is another one.
    Forked,
}

#[derive(Debug, Clone, Default)]
struct Copy {
    links: VecDeque<Link>,
    bytes: usize,
    head: (u64, Hash),
    /// The first link that there is to be had.
    begin: u64,
    /// Links that contradict what is kept: the first few.
    forks: Vec<Link>,
}

#[derive(Debug, Clone, Default)]
pub struct Copies {
    most: usize,
    bytes: usize,
    all: BTreeMap<(String, u64), Copy>,
}

/// Starts of which copies are kept, bytes of all of them, contradicting links of each.
const STARTS: usize = 4_096;
const BYTES: usize = 32 << 20;
const FORKS: usize = 4;

impl Copies {
    /// So many bytes of each account.
    pub fn new(bytes: usize) -> Self {
        Self { most: bytes, bytes: 0, all: BTreeMap::new() }
    }

    pub fn set(&mut self, bytes: usize) {
        self.most = bytes;
    }

    /// Takes in a link. The oldest of an account makes room.
    pub fn take(&mut self, link: Link) -> Taken {
        let key = (link.name.clone(), link.start);
        if !self.all.contains_key(&key) && self.all.len() >= STARTS || self.bytes > BYTES {
            // The oldest start of all makes room.
            let oldest = self.all.keys().min_by_key(|(_, start)| *start).cloned();
            let dropped = oldest.and_then(|oldest| self.all.remove(&oldest));
            self.bytes -= dropped.map_or(0, |copy| copy.bytes);
        }
        let copy = self.all.entry(key).or_default();
        let (number, hash) = copy.head;
        if link.number <= number {
            let known = copy.links.iter().find(|known| known.number == link.number);
            return match known {
                Some(known) if *known == link => Taken::Known,
                Some(_) => copy.fork(link),
                // It made room long ago: nothing can be said of it.
                None => Taken::Known,
            };
        }
        let begins = copy.links.is_empty();
        // Whoever begins to keep an account late begins where the owner's own memory begins: `begin` says where.
        if link.number > number + 1 && !(begins && link.number == copy.begin) {
            return Taken::Missing(number + 1);
        }
        if !begins && link.before != hash {
            return copy.fork(link);
        }
        copy.head = (link.number, link.hash());
        copy.bytes += link.bytes();
        self.bytes += link.bytes();
        copy.links.push_back(link);
        while copy.bytes > self.most && copy.links.len() > 1 {
            let oldest = copy.links.pop_front().map_or(0, |link| link.bytes());
            copy.bytes -= oldest;
            self.bytes -= oldest;
        }
        Taken::New
    }

    /// An account's owner has nothing before that link any more.
    pub fn begins(&mut self, name: &str, start: u64, number: u64) {
        self.all.entry((name.to_string(), start)).or_default().begin = number;
    }

    /// The next number that is wanted of an account.
    pub fn next(&self, name: &str, start: u64) -> u64 {
        self.all.get(&(name.to_string(), start)).map_or(1, |copy| copy.head.0 + 1)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Link> {
        self.all.values().flat_map(|copy| copy.links.iter().chain(&copy.forks))
    }

    /// Accounts, links and bytes that are kept.
    pub fn kept(&self) -> (usize, usize, usize) {
        let links = self.all.values().map(|copy| copy.links.len()).sum();
        (self.all.len(), links, self.all.values().map(|copy| copy.bytes).sum())
    }
}

impl Copy {
    fn fork(&mut self, link: Link) -> Taken {
        if self.forks.len() < FORKS && !self.forks.contains(&link) {
            self.forks.push(link);
        }
        Taken::Forked
    }
}
