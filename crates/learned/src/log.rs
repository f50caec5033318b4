//! Owns the log of promises: records with length and checksum, on the disk before anybody acts on them.
//!
//! Several records that come together are synced once. What a stop has torn off at the end is cut away at the next start; a record
//! that was confirmed is never lost. Must never confirm a record whose sync failed, nor write behind a place that is torn.

use std::io;

use crate::files::Files;

const NAME: &str = "promises";
const BESIDE: &str = "promises.part";
const HEAD: usize = 8;

/// What the log may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    pub bytes: u64,
    pub record: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 16 << 20, record: 1 << 20 }
    }
}

/// Why a record was not taken.
#[derive(Debug, thiserror::Error)]
pub enum Refused {
    #[error("the log is full: it has to be compacted first")]
    Full,
    #[error("a record of {0} bytes is longer than is allowed")]
    TooLong(usize),
    #[error("an earlier write failed, and nothing is promised until the log is opened anew")]
    Broken,
    #[error(transparent)]
    File(#[from] io::Error),
}

/// A log that is open.
#[derive(Debug)]
pub struct Log {
    bounds: Bounds,
    length: u64,
    /// Records that wait for the next sync.
    waiting: Vec<u8>,
    broken: bool,
}

fn put(out: &mut Vec<u8>, record: &[u8]) {
    let length = (record.len() as u32).to_be_bytes();
    let mut sum = crc32fast::Hasher::new();
    sum.update(&length);
    sum.update(record);
    out.extend(length);
    out.extend(sum.finalize().to_be_bytes());
    out.extend(record);
}

/// The records that are whole, and how many bytes they are with their heads.
fn records(bytes: &[u8], bounds: &Bounds) -> (Vec<Vec<u8>>, u64) {
    let (mut all, mut at) = (Vec::new(), 0);
    while let Some(head) = bytes.get(at..at + HEAD) {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]);
        let sum = u32::from_be_bytes([head[4], head[5], head[6], head[7]]);
        let record = bytes.get(at + HEAD..at + HEAD + length as usize).filter(|_| length <= bounds.record);
        let Some(record) = record else { break };
        let mut whole = crc32fast::Hasher::new();
        whole.update(&head[..4]);
        whole.update(record);
        if whole.finalize() != sum {
            break;
        }
        all.push(record.to_vec());
        at += HEAD + length as usize;
    }
    (all, at as u64)
}

impl Log {
    /// Opens it: the records that were confirmed, and perhaps some that were not; how many bytes were torn.
    pub fn open(files: &mut impl Files, bounds: Bounds) -> io::Result<(Self, Vec<Vec<u8>>, u64)> {
        files.remove(BESIDE)?;
        // Twice the bound: what a log holds that was written with a higher one is read all the same.
        let bytes = files.read(NAME, bounds.bytes * 2)?.unwrap_or_default();
        let (all, length) = records(&bytes, &bounds);
        let torn = bytes.len() as u64 - length;
        if torn > 0 {
            files.cut(NAME, length)?;
            files.sync(NAME)?;
        }
        let log = Self { bounds, length, waiting: Vec::new(), broken: false };
        Ok((log, all, torn))
    }

    /// Bytes that it has, with those that wait.
    pub fn len(&self) -> u64 {
        self.length + self.waiting.len() as u64
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a record for the next sync; it is promised only after that.
    pub fn add(&mut self, record: &[u8]) -> Result<(), Refused> {
        if self.broken {
            return Err(Refused::Broken);
        }
        if record.len() > self.bounds.record as usize {
            return Err(Refused::TooLong(record.len()));
        }
        if self.len() + (HEAD + record.len()) as u64 > self.bounds.bytes {
            return Err(Refused::Full);
        }
        put(&mut self.waiting, record);
        Ok(())
    }

    /// Puts all that waits on the disk, by one sync; what was added before is promised from here on.
    pub fn commit(&mut self, files: &mut impl Files) -> Result<(), Refused> {
        if self.broken {
            return Err(Refused::Broken);
        }
        if self.waiting.is_empty() {
            return Ok(());
        }
        let first = self.length == 0;
        let waiting = std::mem::take(&mut self.waiting);
        let done = files.append(NAME, &waiting).and_then(|()| files.sync(NAME));
        // A file that is new has to be found again, too.
        let done = done.and_then(|()| if first { files.sync_folder() } else { Ok(()) });
        if let Err(why) = done {
            // Nobody knows what of it is there: a system may even forget that a sync failed.
            self.broken = true;
            return Err(why.into());
        }
        self.length += waiting.len() as u64;
        Ok(())
    }

    /// Keeps these records alone. The log of before stays until the new one is in its place.
    pub fn compact(&mut self, files: &mut impl Files, kept: &[Vec<u8>]) -> Result<(), Refused> {
        if self.broken {
            return Err(Refused::Broken);
        }
        let mut bytes = Vec::new();
        kept.iter().for_each(|record| put(&mut bytes, record));
        bytes.extend(&self.waiting);
        if bytes.len() as u64 > self.bounds.bytes {
            return Err(Refused::Full);
        }
        let done = files
            .write(BESIDE, &bytes)
            .and_then(|()| files.sync(BESIDE))
            .and_then(|()| files.rename(BESIDE, NAME))
            .and_then(|()| files.sync_folder());
        if let Err(why) = done {
            self.broken = true;
            return Err(why.into());
        }
        self.length = bytes.len() as u64;
        self.waiting.clear();
        Ok(())
    }
}
