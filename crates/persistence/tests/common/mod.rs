//! A file store in memory that crashes after a given step, and the state of its disk after a restart.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::io;

use linnethook_persistence::file_store::FileStore;

/// The outcome of unsynced changes in a crash of the machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum UnsyncedOutcome {
    Lost,
    Retained,
    /// Half of the bytes and all names are on the disk.
    Torn,
    /// Only names are on the disk: it reordered its writes.
    NamesOnly,
}

pub const UNSYNCED_OUTCOMES: [UnsyncedOutcome; 4] =
    [UnsyncedOutcome::Lost, UnsyncedOutcome::Retained, UnsyncedOutcome::Torn, UnsyncedOutcome::NamesOnly];

#[derive(Debug, Clone, Default)]
struct MemoryFile {
    synced: Vec<u8>,
    bytes: Vec<u8>,
}

/// Files by index, with the durable names and the names that the running system sees.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    files: Vec<MemoryFile>,
    synced_names: BTreeMap<String, usize>,
    names: BTreeMap<String, usize>,
    /// Number of operations so far.
    pub steps: usize,
    /// The number of operations after which all others fail.
    pub stops_after: Option<usize>,
    /// Maximum length of a file, in bytes.
    pub capacity: Option<usize>,
}

impl MemoryStore {
    pub fn stopping_after(steps: usize) -> Self {
        Self { stops_after: Some(steps), ..Self::default() }
    }

    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        match self.stops_after {
            Some(limit) if self.steps > limit => Err(io::Error::other("stopped")),
            _ => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        let index = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files.get_mut(index).ok_or(io::ErrorKind::NotFound.into())
    }

    fn create(&mut self, name: &str, file: MemoryFile) {
        self.files.push(file);
        self.names.insert(name.to_string(), self.files.len() - 1);
    }

    /// The store after a restart of the machine.
    pub fn after_restart(&self, outcome: UnsyncedOutcome) -> Self {
        let names = if outcome == UnsyncedOutcome::Lost { &self.synced_names } else { &self.names };
        let restart = |file: &MemoryFile| {
            let bytes = match outcome {
                UnsyncedOutcome::Lost | UnsyncedOutcome::NamesOnly => file.synced.clone(),
                UnsyncedOutcome::Retained => file.bytes.clone(),
                UnsyncedOutcome::Torn if file.bytes.starts_with(&file.synced) => {
                    file.bytes[..(file.synced.len() + file.bytes.len()).div_ceil(2)].to_vec()
                }
                UnsyncedOutcome::Torn => file.bytes[..file.bytes.len() / 2].to_vec(),
            };
            MemoryFile { synced: bytes.clone(), bytes }
        };
        let files = self.files.iter().map(restart).collect();
        Self { files, synced_names: names.clone(), names: names.clone(), ..Self::default() }
    }
}

impl FileStore for MemoryStore {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        self.step()?;
        match self.file(name) {
            Err(_) => Ok(None),
            Ok(file) if file.bytes.len() as u64 > max_bytes => Err(io::ErrorKind::FileTooLarge.into()),
            Ok(file) => Ok(Some(file.bytes.clone())),
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        let capacity = self.capacity.unwrap_or(usize::MAX);
        // The name refers to a new file; the previous file is no longer visible to the running system.
        let stored = bytes[..bytes.len().min(capacity)].to_vec();
        self.create(name, MemoryFile { synced: Vec::new(), bytes: stored });
        if bytes.len() > capacity {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.step()?;
        if self.file(name).is_err() {
            self.create(name, MemoryFile::default());
        }
        let capacity = self.capacity.unwrap_or(usize::MAX);
        let file = self.file(name)?;
        let fitting = capacity.saturating_sub(file.bytes.len()).min(bytes.len());
        file.bytes.extend(&bytes[..fitting]);
        if fitting < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.step()?;
        self.file(name)?.bytes.truncate(length as usize);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        let file = self.file(name)?;
        file.synced = file.bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let index = self.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.names.insert(to.to_string(), index);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.step()?;
        self.names.remove(name);
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        self.step()?;
        self.synced_names = self.names.clone();
        Ok(())
    }
}
