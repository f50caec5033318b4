//! File operations in one directory: read, write, append, truncate, sync, rename, remove.
//!
//! Each method is a single step, because a machine may crash between any two steps. Callers build atomic
//! updates from these steps, and tests replace the store by one that fails at a given step.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The files of one directory, addressed by file name.
pub trait FileStore {
    /// Reads a complete file; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::FileTooLarge`] if the file has more than `max_bytes`, or any other error of the file
    /// system.
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>>;

    /// Creates or replaces a file. Its content is durable only after [`FileStore::sync`].
    ///
    /// # Errors
    ///
    /// Any error of the file system; the file may then contain only part of the bytes.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Appends to a file, which is created if it is missing. Durable only after [`FileStore::sync`].
    ///
    /// # Errors
    ///
    /// Any error of the file system; part of the bytes may then have been appended.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Shortens a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Any error of the file system, including [`io::ErrorKind::NotFound`].
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Any error of the file system. The durable content is then unknown, even if a later call succeeds.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file atomically, replacing the target. Durable only after [`FileStore::sync_directory`].
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::NotFound`] if the file `from` does not exist, or any other error of the file system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file; succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// Any error of the file system.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// A directory that this process locks until the value is dropped.
pub struct LockedDirectory {
    path: PathBuf,
    /// The open lock file; closing it releases the lock.
    _lock: File,
}

/// Name of the lock file in the directory.
const LOCK_FILE: &str = "lock";

impl LockedDirectory {
    /// Creates the directory if needed and locks it.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::ResourceBusy`] if another process holds the lock, or any other error of the file
    /// system.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        std::fs::create_dir_all(&path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path, _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                let message = format!("directory {} is locked by another process", path.display());
                Err(io::Error::new(io::ErrorKind::ResourceBusy, message))
            }
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn path_of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl FileStore for LockedDirectory {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.path_of(name)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        // One byte more than allowed, so that a file that grows while it is read is detected as well.
        file.take(max_bytes + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > max_bytes {
            let message = format!("file {name} is longer than {max_bytes} bytes");
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
        }
        Ok(Some(bytes))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.path_of(name))?.write_all(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.path_of(name))?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path_of(name))?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        OpenOptions::new().append(true).open(self.path_of(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.path_of(from), self.path_of(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.path_of(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
