//! Positions in chains of blocks.

use std::collections::vec_deque;

use super::pool::Block;

/// A position in a chain. It moves on without a walk from the begin of the chain.
#[derive(Debug, Clone)]
pub struct Cursor<'a> {
    /// The rest of the current block.
    rest: &'a [u8],
    next: vec_deque::Iter<'a, Block>,
    /// What follows the chain.
    following: &'a [u8],
}

impl<'a> Cursor<'a> {
    /// The begin of a chain of blocks, which `following` follows.
    pub(super) fn new(blocks: vec_deque::Iter<'a, Block>, following: &'a [u8]) -> Self {
        Self { rest: &[], next: blocks, following }
    }

    /// Moves on by `n` bytes, at most to the end of the chain.
    pub fn advance(&mut self, mut n: usize) {
        while n >= self.rest.len() {
            n -= self.rest.len();
            self.rest = match self.next.next() {
                Some(block) => block.filled(),
                None if self.following.is_empty() => &[],
                None => std::mem::take(&mut self.following),
            };
            if self.rest.is_empty() {
                return;
            }
        }
        self.rest = &self.rest[n..];
    }

    /// Copies the bytes from here on, as many as fit, into `into` and returns their number.
    pub fn peek(&self, into: &mut [u8]) -> usize {
        let mut filled = 0;
        let blocks = self.next.clone().map(Block::filled);
        for part in std::iter::once(self.rest).chain(blocks).chain(std::iter::once(self.following)) {
            let n = part.len().min(into.len() - filled);
            into[filled..filled + n].copy_from_slice(&part[..n]);
            filled += n;
            if filled == into.len() {
                break;
            }
        }
        filled
    }
}
