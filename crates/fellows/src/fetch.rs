//! Owns how a router that can't catch up by facts alone gets the whole from a fellow: when it asks, whom, and how the
//! pieces come together.
//!
//! Must never hand on anything but a whole of one answer, keep more than its bound, or wait for a fellow that says
//! nothing more.

use serde::{Deserialize, Serialize};

use crate::Ms;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchRule {
    /// Behind a fellow for so long, it asks: facts would have come by then.
    pub behind: Ms,
    /// Nothing came for so long: another one is asked.
    pub quiet: Ms,
    /// Bytes of a whole, and of a piece.
    pub most: usize,
    pub piece: usize,
}

impl Default for FetchRule {
    fn default() -> Self {
        Self { behind: 3_000.0, quiet: 3_000.0, most: 4 << 20, piece: 8 << 10 }
    }
}

/// A piece of a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Which asking it answers.
    pub asking: u64,
    pub number: u32,
    pub of: u32,
    pub bytes: Vec<u8>,
}

/// Cuts a whole into pieces; nothing where it is too long.
pub fn pieces(asking: u64, whole: &[u8], rule: &FetchRule) -> Vec<Piece> {
    if whole.len() > rule.most || whole.is_empty() {
        return Vec::new();
    }
    let of = whole.len().div_ceil(rule.piece) as u32;
    let cut = whole.chunks(rule.piece).zip(0..);
    cut.map(|(bytes, number)| Piece { asking, number, of, bytes: bytes.to_vec() }).collect()
}

#[derive(Debug, Clone)]
struct Under {
    asking: u64,
    of: String,
    heard: Ms,
    next: u32,
    bytes: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
pub struct Fetch {
    rule: FetchRule,
    under: Option<Under>,
    /// Since when some fellow has been ahead.
    since: Option<Ms>,
    /// Whom it asked last, so that another one is next.
    last: Option<String>,
    count: u64,
}

impl Fetch {
    pub fn new(rule: FetchRule) -> Self {
        Self { rule, ..Self::default() }
    }

    /// Looks at who is ahead of this router; whom to ask now, and with which number.
    pub fn look(&mut self, now: Ms, ahead: &[&str]) -> Option<(String, u64)> {
        if ahead.is_empty() {
            (self.since, self.under) = (None, None);
            return None;
        }
        let since = *self.since.get_or_insert(now);
        if let Some(under) = &self.under {
            let there = ahead.contains(&under.of.as_str());
            if there && now - under.heard < self.rule.quiet {
                return None;
            }
            self.under = None;
        } else if now - since < self.rule.behind {
            return None;
        }
        // The one after whom it asked last, in the order of their names, and so round.
        let after = ahead.iter().filter(|name| self.last.as_deref().is_none_or(|last| **name > last)).min();
        let of = after.or(ahead.iter().min())?.to_string();
        self.count += 1;
        self.last = Some(of.clone());
        self.under =
            Some(Under { asking: self.count, of: of.clone(), heard: now, next: 0, bytes: Vec::new() });
        Some((of, self.count))
    }

    /// A piece came; the whole, once all have in their order.
    pub fn piece(&mut self, now: Ms, from: &str, piece: &Piece) -> Option<Vec<u8>> {
        let under = self.under.as_mut()?;
        let fits = under.asking == piece.asking && under.of == from && under.next == piece.number;
        if !fits || under.bytes.len() + piece.bytes.len() > self.rule.most {
            return None;
        }
        under.heard = now;
        under.next += 1;
        under.bytes.extend(&piece.bytes);
        if under.next < piece.of {
            return None;
        }
        self.since = None;
        self.under.take().map(|under| under.bytes)
    }

    pub fn set(&mut self, rule: FetchRule) {
        self.rule = rule;
    }

    pub fn rule(&self) -> &FetchRule {
        &self.rule
    }

    pub fn is_under_way(&self) -> bool {
        self.under.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_asks_one_after_another_and_takes_a_whole_of_one_answer_only() {
        let rule = FetchRule { piece: 4, ..FetchRule::default() };
        let mut fetch = Fetch::new(rule);
        let ahead = ["a", "b"];
        assert_eq!(fetch.look(0.0, &ahead), None, "facts may still come");
        assert_eq!(fetch.look(3_000.0, &ahead), Some(("a".to_string(), 1)));
        let whole: Vec<u8> = (0..10).collect();
        let one = pieces(1, &whole, &rule);
        assert_eq!(one.len(), 3);
        assert_eq!(fetch.piece(3_100.0, "a", &one[0]), None);
        assert_eq!(fetch.piece(3_100.0, "a", &one[2]), None, "one is missing");
        assert_eq!(fetch.look(4_000.0, &ahead), None);
        // It says nothing more: another one is asked, and what the first says late is none of it.
        assert_eq!(fetch.look(6_100.0, &ahead), Some(("b".to_string(), 2)));
        assert_eq!(fetch.piece(6_200.0, "a", &one[1]), None);
        let other = pieces(2, &whole, &rule);
        let all: Vec<_> = other.iter().map(|piece| fetch.piece(6_300.0, "b", piece)).collect();
        assert_eq!(all, [None, None, Some(whole)]);
        assert!(!fetch.is_under_way());
    }

    #[test]
    fn it_stops_where_nobody_is_ahead_and_keeps_no_more_than_its_bound() {
        let rule = FetchRule { behind: 0.0, most: 8, piece: 4, ..FetchRule::default() };
        assert!(pieces(1, &[0; 9], &rule).is_empty());
        let mut fetch = Fetch::new(rule);
        assert!(fetch.look(0.0, &["a"]).is_some());
        for number in 0..3 {
            let piece = Piece { asking: 1, number, of: 9, bytes: vec![0; 4] };
            assert_eq!(fetch.piece(1.0, "a", &piece), None);
        }
        assert_eq!(fetch.under.as_ref().map(|under| under.bytes.len()), Some(8));
        assert_eq!(fetch.look(2.0, &[]), None);
        assert!(!fetch.is_under_way());
    }
}
