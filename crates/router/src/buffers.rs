//! Buffers: a pool of reusable blocks of one size, and chains of blocks for longer messages.
//!
//! Bytes are copied into and out of the blocks of a chain. Complete blocks move between chains without being
//! copied.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::rc::Rc;

/// A pool of blocks of one size. Clones share the same pool.
#[derive(Debug, Clone)]
pub struct BufferPool(Rc<RefCell<Blocks>>);

#[derive(Debug)]
struct Blocks {
    free: Vec<Box<[u8]>>,
    size: usize,
    /// The maximum number of free blocks that are retained for reuse.
    max_free: usize,
    /// The number of blocks in use at which the pool counts as exhausted.
    max_in_use: usize,
    /// The number of blocks in use at which the pool counts as short.
    short_at: usize,
    in_use: usize,
    /// The size of all compact blocks together, in bytes.
    compact_bytes: usize,
}

impl Blocks {
    /// The number of blocks in use; compact ones count by their size.
    fn in_use(&self) -> usize {
        self.in_use + self.compact_bytes.div_ceil(self.size)
    }
}

/// The share of the blocks that may be in use before the pool counts as short.
const SHORT_RATIO: f64 = 0.875;

/// The share of the blocks that are in use at the most while the pool counts as mostly free.
const MOSTLY_FREE_RATIO: f64 = 1.0 / 16.0;

impl BufferPool {
    /// Creates a pool of blocks of `block_size` bytes that retains at most `max_free` unused ones. It counts
    /// as exhausted at `max_in_use` blocks in use.
    pub fn new(block_size: usize, max_free: usize, max_in_use: usize) -> Self {
        let size = block_size.max(1);
        let short_at = (max_in_use as f64 * SHORT_RATIO).ceil() as usize;
        let (free, in_use, compact_bytes) = (Vec::new(), 0, 0);
        let blocks = Blocks { free, size, max_free, max_in_use, short_at, in_use, compact_bytes };
        Self(Rc::new(RefCell::new(blocks)))
    }

    /// Whether no blocks should be taken for new messages. This is advisory: blocks can still be acquired.
    pub fn is_exhausted(&self) -> bool {
        let blocks = self.0.borrow();
        blocks.in_use() >= blocks.max_in_use
    }

    /// Whether the remaining blocks are reserved for messages that use few of them. Always true for an
    /// exhausted pool.
    pub fn is_short(&self) -> bool {
        let blocks = self.0.borrow();
        blocks.in_use() >= blocks.short_at
    }

    /// Whether there are blocks for what could as well be left to the system.
    pub fn is_mostly_free(&self) -> bool {
        let blocks = self.0.borrow();
        (blocks.in_use() as f64) < blocks.max_in_use as f64 * MOSTLY_FREE_RATIO
    }

    /// The number of blocks in use.
    pub fn in_use(&self) -> usize {
        self.0.borrow().in_use()
    }

    fn acquire(&self) -> Block {
        let mut blocks = self.0.borrow_mut();
        blocks.in_use += 1;
        let size = blocks.size;
        let bytes = blocks.free.pop().unwrap_or_else(|| vec![0; size].into_boxed_slice());
        Block { bytes, start: 0, end: 0 }
    }

    /// A copy of a block that is as large as its data.
    fn acquire_compact(&self, block: &Block) -> Block {
        let bytes: Box<[u8]> = block.filled().into();
        self.0.borrow_mut().compact_bytes += bytes.len();
        let end = bytes.len();
        Block { bytes, start: 0, end }
    }

    fn release(&self, block: Block) {
        let mut blocks = self.0.borrow_mut();
        if block.bytes.len() < blocks.size {
            blocks.compact_bytes = blocks.compact_bytes.saturating_sub(block.bytes.len());
            return;
        }
        blocks.in_use = blocks.in_use.saturating_sub(1);
        if blocks.free.len() < blocks.max_free {
            blocks.free.push(block.bytes);
        }
    }
}

/// A block with data from `start` to `end`.
#[derive(Debug)]
struct Block {
    bytes: Box<[u8]>,
    start: usize,
    end: usize,
}

impl Block {
    fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }
}

/// A byte sequence stored in a chain of blocks.
#[derive(Debug)]
pub struct BufferChain {
    pool: BufferPool,
    blocks: VecDeque<Block>,
    len: usize,
}

/// A position in a chain. It moves on without a walk from the begin of the chain.
#[derive(Debug, Clone)]
pub struct Cursor<'a> {
    /// The rest of the current block.
    rest: &'a [u8],
    next: std::collections::vec_deque::Iter<'a, Block>,
    /// What follows the chain.
    following: &'a [u8],
}

impl Cursor<'_> {
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

/// The maximum number of blocks in one vectored write.
const SLICES_PER_WRITE: usize = 16;

impl BufferChain {
    /// Creates an empty chain.
    pub fn new(pool: &BufferPool) -> Self {
        Self { pool: pool.clone(), blocks: VecDeque::new(), len: 0 }
    }

    /// Creates a chain with a copy of `bytes`.
    pub fn from_bytes(pool: &BufferPool, bytes: &[u8]) -> Self {
        let mut chain = Self::new(pool);
        chain.push(bytes);
        chain
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let last = self.writable_block();
            let n = bytes.len().min(last.bytes.len() - last.end);
            last.bytes[last.end..last.end + n].copy_from_slice(&bytes[..n]);
            last.end += n;
            self.len += n;
            bytes = &bytes[n..];
        }
    }

    /// The free space of the last block.
    fn free_bytes(&self) -> usize {
        self.blocks.back().map_or(0, |block| block.bytes.len() - block.end)
    }

    /// The last block if it has free space, otherwise a new one.
    fn writable_block(&mut self) -> &mut Block {
        if self.blocks.back().is_none_or(|block| block.end == block.bytes.len()) {
            self.blocks.push_back(self.pool.acquire());
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    /// Gives up the free space of a chain that needs little of its only block, and is kept for a while.
    pub fn compact(&mut self) {
        let [block] = self.blocks.make_contiguous() else { return };
        if block.filled().len() > block.bytes.len() / 2 {
            return;
        }
        let compact = self.pool.acquire_compact(block);
        let block = std::mem::replace(block, compact);
        self.pool.release(block);
    }

    /// Appends another chain: without copying its bytes, unless they fit into the free space of the last block.
    pub fn append(&mut self, mut other: Self) {
        if other.len <= self.free_bytes() {
            return other.blocks.iter().for_each(|block| self.push(block.filled()));
        }
        self.len += std::mem::take(&mut other.len);
        self.blocks.append(&mut other.blocks);
    }

    /// Creates another chain with a copy of the bytes.
    pub fn duplicate(&self) -> Self {
        let mut duplicate = Self::new(&self.pool);
        self.blocks.iter().for_each(|block| duplicate.push(block.filled()));
        duplicate
    }

    /// A copy of the bytes.
    pub fn to_vec(&self) -> Vec<u8> {
        self.blocks.iter().flat_map(|block| block.filled()).copied().collect()
    }

    /// Copies the first bytes, as many as fit, into `into` and returns their number. The chain is unchanged.
    pub fn peek(&self, into: &mut [u8]) -> usize {
        self.cursor(0).peek(into)
    }

    /// A position behind the first `offset` bytes.
    pub fn cursor(&self, offset: usize) -> Cursor<'_> {
        self.cursor_with(&[], offset)
    }

    /// The same in the chain followed by other bytes.
    pub fn cursor_with<'a>(&'a self, following: &'a [u8], offset: usize) -> Cursor<'a> {
        let mut cursor = Cursor { rest: &[], next: self.blocks.iter(), following };
        cursor.advance(offset);
        cursor
    }

    /// Removes the first `n` bytes.
    pub fn consume(&mut self, mut n: usize) {
        n = n.min(self.len);
        self.len -= n;
        while let Some(first) = self.blocks.front_mut() {
            let dropped = first.filled().len().min(n);
            first.start += dropped;
            n -= dropped;
            if first.start < first.end {
                break;
            }
            if let Some(block) = self.blocks.pop_front() {
                self.pool.release(block);
            }
        }
    }

    /// Removes the first `n` bytes and returns them as a chain. Complete blocks are moved, not copied.
    pub fn split_to(&mut self, n: usize) -> Self {
        let mut remaining = n.min(self.len);
        let mut split = Self::new(&self.pool);
        while remaining > 0 {
            let Some(first) = self.blocks.front() else { break };
            let block_len = first.filled().len();
            if block_len <= remaining {
                if let Some(block) = self.blocks.pop_front() {
                    split.len += block_len;
                    split.blocks.push_back(block);
                }
                self.len -= block_len;
                remaining -= block_len;
            } else {
                split.push(&first.filled()[..remaining]);
                self.consume(remaining);
                remaining = 0;
            }
        }
        split
    }

    /// Reads once and appends the bytes; returns their number, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Errors of the reader.
    pub fn read_from(&mut self, mut from: impl Read) -> io::Result<usize> {
        let last = self.writable_block();
        let end = last.end;
        let outcome = from.read(&mut last.bytes[end..]);
        if let Ok(n) = outcome {
            last.end += n;
            self.len += n;
        }
        if self.blocks.back().is_some_and(|block| block.filled().is_empty()) {
            if let Some(block) = self.blocks.pop_back() {
                self.pool.release(block);
            }
        }
        outcome
    }

    /// Writes once and removes the written bytes; returns their number.
    ///
    /// # Errors
    ///
    /// Errors of the writer.
    pub fn write_to(&mut self, mut to: impl Write) -> io::Result<usize> {
        let slices: Vec<IoSlice> =
            self.blocks.iter().take(SLICES_PER_WRITE).map(|block| IoSlice::new(block.filled())).collect();
        let n = to.write_vectored(&slices)?;
        drop(slices);
        self.consume(n);
        Ok(n)
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        while let Some(block) = self.blocks.pop_front() {
            self.pool.release(block);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/buffers.rs"]
mod tests;
