//! Atomic replacement of the snapshot file, with the previous generation kept as a fallback.
//!
//! A new snapshot is written under a temporary name and synced before it is renamed into place. Wherever the machine
//! stops, the new, the current or the previous snapshot is complete under a name that is read.

use std::io;

use crate::file_store::FileStore;
use crate::snapshot_codec::{decode, encode, DecodeError, Section, SnapshotContent, SnapshotLimits};

/// File names; they are part of the stored format.
const CURRENT_FILE: &str = "learned";
const PREVIOUS_FILE: &str = "learned.elder";
const TEMPORARY_FILE: &str = "learned.part";

/// The result of looking for a snapshot.
#[derive(Debug)]
pub struct LoadedSnapshot {
    /// The newest snapshot with any intact content.
    pub content: Option<SnapshotContent>,
    /// Files that exist and were not used.
    pub skipped: Vec<SkippedFile>,
}

/// A snapshot file that was not used.
#[derive(Debug)]
pub struct SkippedFile {
    /// Name of the file within the directory.
    pub name: &'static str,
    /// Why it was not used.
    pub reason: SkipReason,
}

/// Why a snapshot file was not used.
#[derive(Debug, thiserror::Error)]
pub enum SkipReason {
    /// It is not a snapshot that this program reads.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The file system failed to read it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It has content, and all of it is corrupt.
    #[error("nothing in it is whole")]
    Corrupt,
}

/// Replaces the snapshot and returns the number of bytes written. If it fails, the one before is still there.
///
/// # Errors
///
/// Any error of the file store.
pub fn write(files: &mut impl FileStore, sections: &[Section]) -> io::Result<u64> {
    let bytes = encode(sections);
    files.write(TEMPORARY_FILE, &bytes)?;
    files.sync(TEMPORARY_FILE)?;
    match files.rename(CURRENT_FILE, PREVIOUS_FILE) {
        // The first snapshot has none before it.
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    files.rename(TEMPORARY_FILE, CURRENT_FILE)?;
    files.sync_directory()?;
    Ok(bytes.len() as u64)
}

/// Loads the newest snapshot with any intact content.
pub fn load(files: &mut impl FileStore, limits: &SnapshotLimits) -> LoadedSnapshot {
    let mut skipped = Vec::new();
    for name in [CURRENT_FILE, PREVIOUS_FILE] {
        match load_file(files, name, limits) {
            Ok(None) => {}
            Ok(Some(content)) => return LoadedSnapshot { content: Some(content), skipped },
            Err(reason) => skipped.push(SkippedFile { name, reason }),
        }
    }
    LoadedSnapshot { content: None, skipped }
}

fn load_file(
    files: &mut impl FileStore,
    name: &str,
    limits: &SnapshotLimits,
) -> Result<Option<SnapshotContent>, SkipReason> {
    let Some(bytes) = files.read(name, limits.file_bytes)? else { return Ok(None) };
    let content = decode(&bytes, limits)?;
    // A snapshot without sections is valid; one whose sections are all corrupt is not.
    let has_corruption = content.corrupt_sections > 0 || content.unparsed_bytes > 0;
    if content.sections.is_empty() && has_corruption {
        return Err(SkipReason::Corrupt);
    }
    Ok(Some(content))
}

/// Deletes every generation.
///
/// # Errors
///
/// Any error of the file store; some of the files may then be left.
pub fn delete(files: &mut impl FileStore) -> io::Result<()> {
    for name in [CURRENT_FILE, PREVIOUS_FILE, TEMPORARY_FILE] {
        files.remove(name)?;
    }
    files.sync_directory()
}
