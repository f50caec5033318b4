//! Owns what is done with files of one folder: read, write, append, sync, rename, remove.
//!
//! Must never do two of these in one step: what is between them is where machines stop.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The files of one folder, by name.
pub trait Files {
    /// All bytes, or none if there is no such file; an error where there are more than `most`.
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>>;
    /// Makes it anew with these bytes; they need not be on the disk yet.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Puts bytes behind those that are there; makes it where it is missing.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Keeps so many bytes of it.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Its bytes are on the disk from here on.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// The names are on the disk from here on.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder of the system, which belongs to one process at a time.
pub struct Folder {
    path: PathBuf,
    /// Held as long as the folder is.
    _lock: File,
}

/// The file that says whose folder it is.
const LOCK: &str = "lock";

impl Folder {
    /// Takes the folder; an error where another process has it, or it can't be written to.
    pub fn take(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        std::fs::create_dir_all(&path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK))?;
        lock.try_lock().map_err(|why| match why {
            std::fs::TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::ResourceBusy, "another process has this folder")
            }
            std::fs::TryLockError::Error(why) => why,
        })?;
        Ok(Self { path, _lock: lock })
    }

    pub fn path(&self) -> &Path {
        &self.path
    }

    fn of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Files for Folder {
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<Vec<u8>>> {
        let file = match File::open(self.of(name)) {
            Ok(file) => file,
            Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(why),
        };
        let mut bytes = Vec::new();
        // One byte more, so that a file that grows meanwhile is seen too.
        file.take(most + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > most {
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, format!("longer than {most} bytes")));
        }
        Ok(Some(bytes))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        File::create(self.of(name))?.write_all(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        OpenOptions::new().create(true).append(true).open(self.of(name))?.write_all(bytes)
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.of(name))?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        OpenOptions::new().append(true).open(self.of(name))?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        std::fs::rename(self.of(from), self.of(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        match std::fs::remove_file(self.of(name)) {
            Err(why) if why.kind() != io::ErrorKind::NotFound => Err(why),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
