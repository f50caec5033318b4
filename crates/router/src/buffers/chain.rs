//! Byte sequences in chains of blocks.

use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};

use super::cursor::Cursor;
use super::pool::{Block, BufferPool};

/// The maximum number of blocks in one vectored write.
const SLICES_PER_WRITE: usize = 16;

/// A byte sequence stored in a chain of blocks.
#[derive(Debug)]
pub struct BufferChain {
    pool: BufferPool,
    blocks: VecDeque<Block>,
    len: usize,
}

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
        let mut cursor = Cursor::new(self.blocks.iter(), following);
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
