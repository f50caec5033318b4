//! Atomic replacement of the snapshot file, with the previous generation as a fallback.
//!
//! A new snapshot is written to a temporary file and synced before it is renamed. Whenever the machine
//! crashes, at least one of the two names that are read, current and previous, has a complete snapshot.

use std::io;

use crate::file_store::FileStore;
use crate::snapshot_codec::{decode, encode, DecodeError, Section, SnapshotContent, SnapshotLimits};

/// Names of the files; part of the stored format.
const CURRENT_FILE: &str = "learned";
const PREVIOUS_FILE: &str = "learned.elder";
const TEMPORARY_FILE: &str = "learned.part";

/// The result of [`load`].
#[derive(Debug)]
pub struct LoadedSnapshot {
    /// The newest usable snapshot, if any.
    pub content: Option<SnapshotContent>,
    /// Files that exist but were not used.
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
    /// The file is not a snapshot of a supported version.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The file cannot be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file has content, all of which is corrupt.
    #[error("snapshot has no intact section")]
    Corrupt,
}

/// Replaces the snapshot and returns the number of bytes written. If it fails, the previous snapshot can
/// still be loaded.
///
/// # Errors
///
/// Any error of the file store.
pub fn write(files: &mut impl FileStore, sections: &[Section]) -> io::Result<u64> {
    let bytes = encode(sections);
    files.write(TEMPORARY_FILE, &bytes)?;
    files.sync(TEMPORARY_FILE)?;
    match files.rename(CURRENT_FILE, PREVIOUS_FILE) {
        // There is no current file before the first snapshot.
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    files.rename(TEMPORARY_FILE, CURRENT_FILE)?;
    files.sync_directory()?;
    Ok(bytes.len() as u64)
}

/// Loads the newest snapshot that has an intact section, or no sections at all.
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
/// Any error of the file store; some of the files may then still exist.
pub fn delete(files: &mut impl FileStore) -> io::Result<()> {
    for name in [CURRENT_FILE, PREVIOUS_FILE, TEMPORARY_FILE] {
        files.remove(name)?;
    }
    files.sync_directory()
}
