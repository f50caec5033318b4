//! Unit tests of `src/buffers`, included there as the module `tests`.

use std::io::{self, Read};

use super::*;

#[test]
fn long_messages_use_chains_of_blocks_and_release_them() {
    let pool = BufferPool::new(4, 2, 100);
    let mut chain = BufferChain::from_bytes(&pool, b"hello, world");
    assert_eq!((chain.len(), pool.in_use()), (12, 3));
    let mut start = [0; 5];
    assert_eq!(chain.peek(&mut start), 5);
    assert_eq!(&start, b"hello");
    let head = chain.split_to(6);
    assert_eq!((head.to_vec(), chain.to_vec()), (b"hello,".to_vec(), b" world".to_vec()));
    let mut both = head.duplicate();
    both.append(chain);
    assert_eq!(both.to_vec(), b"hello, world");
    drop(head);
    let mut written = Vec::new();
    while !both.is_empty() {
        both.write_to(&mut written).expect("a vector takes all");
    }
    assert_eq!(written, b"hello, world");
    assert_eq!(pool.in_use(), 0);
}

/// Guards against answers of a few bytes that take a block each while their client reads none of them.
#[test]
fn short_messages_share_the_blocks_of_a_chain() {
    let pool = BufferPool::new(8, 2, 100);
    let mut chain = BufferChain::from_bytes(&pool, b"ab");
    for message in [&b"cd"[..], b"", b"efgh", b"ij", b"klmnopqr", b"s"] {
        chain.append(BufferChain::from_bytes(&pool, message));
    }
    assert_eq!((chain.to_vec(), chain.len()), (b"abcdefghijklmnopqrs".to_vec(), 19));
    assert_eq!(pool.in_use(), 4);
}

#[test]
fn a_read_that_would_block_leaves_no_empty_block() {
    struct Blocked;
    impl Read for Blocked {
        fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
            Err(io::ErrorKind::WouldBlock.into())
        }
    }
    let pool = BufferPool::new(4, 2, 1);
    let mut chain = BufferChain::new(&pool);
    assert!(chain.read_from(Blocked).is_err());
    assert_eq!(pool.in_use(), 0);
    assert_eq!(chain.read_from(&b"abc"[..]).expect("bytes"), 3);
    assert!(pool.is_exhausted());
}

/// Guards against small remainders that hold a whole block each.
#[test]
fn a_compact_chain_counts_by_its_size_and_can_be_extended() {
    let pool = BufferPool::new(1_000, 4, 10);
    let mut chains: Vec<BufferChain> = (0..20).map(|_| BufferChain::from_bytes(&pool, &[7; 100])).collect();
    assert_eq!(pool.in_use(), 20);
    chains.iter_mut().for_each(BufferChain::compact);
    chains.iter_mut().for_each(BufferChain::compact);
    assert_eq!(pool.in_use(), 2);
    chains[0].push(&[8; 30]);
    assert_eq!(chains[0].to_vec(), [vec![7; 100], vec![8; 30]].concat());
    assert_eq!(pool.in_use(), 3);
    let mut large = BufferChain::from_bytes(&pool, &[9; 600]);
    large.compact();
    assert_eq!(pool.in_use(), 4);
    drop((chains, large));
    assert_eq!(pool.in_use(), 0);
}

#[test]
fn a_cursor_passes_from_block_to_block_and_to_what_follows() {
    let pool = BufferPool::new(4, 4, 10);
    let chain = BufferChain::from_bytes(&pool, &[0, 1, 2, 3, 4, 5]);
    let mut cursor = chain.cursor_with(&[6, 7], 3);
    let mut seen = [0; 4];
    assert_eq!(cursor.peek(&mut seen), 4);
    assert_eq!(seen, [3, 4, 5, 6]);
    cursor.advance(4);
    assert_eq!((cursor.peek(&mut seen), seen[0]), (1, 7));
    cursor.advance(100);
    assert_eq!(cursor.peek(&mut seen), 0);
}
