//! A pool of reusable blocks of one size.

use std::cell::RefCell;
use std::rc::Rc;

/// The share of the blocks that may be in use before the pool counts as short.
const SHORT_RATIO: f64 = 0.875;

/// The share of the blocks that are in use at the most while the pool counts as mostly free.
const MOSTLY_FREE_RATIO: f64 = 1.0 / 16.0;

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

    /// Takes an empty block.
    pub(super) fn acquire(&self) -> Block {
        let mut blocks = self.0.borrow_mut();
        blocks.in_use += 1;
        let size = blocks.size;
        let bytes = blocks.free.pop().unwrap_or_else(|| vec![0; size].into_boxed_slice());
        Block { bytes, start: 0, end: 0 }
    }

    /// A copy of a block that is as large as its data.
    pub(super) fn acquire_compact(&self, block: &Block) -> Block {
        let bytes: Box<[u8]> = block.filled().into();
        self.0.borrow_mut().compact_bytes += bytes.len();
        let end = bytes.len();
        Block { bytes, start: 0, end }
    }

    /// Takes back a block that is not used any more.
    pub(super) fn release(&self, block: Block) {
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
pub(super) struct Block {
    pub(super) bytes: Box<[u8]>,
    pub(super) start: usize,
    pub(super) end: usize,
}

impl Block {
    /// Its data.
    pub(super) fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }
}
