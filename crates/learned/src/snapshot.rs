//! Owns how a snapshot gets to its place: written beside, synced, the one before it kept as the elder, renamed, the folder synced.
//!
//! Whenever the machine stops there is the new one, the one before it, or the elder. Must never have half a file under a name that
//! is read.

use std::io;

use crate::files::Files;
use crate::format::{decode, encode, Bounds, Content, Section, Unreadable};

const NAME: &str = "learned";
const ELDER: &str = "learned.elder";
const BESIDE: &str = "learned.part";

/// What came of looking for a snapshot.
#[derive(Debug)]
pub struct Found {
    pub content: Option<Content>,
    /// What was there and was not read, and why.
    pub ignored: Vec<(&'static str, Ignored)>,
}

/// Why a file was left alone.
#[derive(Debug, thiserror::Error)]
pub enum Ignored {
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    #[error(transparent)]
    File(#[from] io::Error),
    #[error("nothing in it is whole")]
    Nothing,
}

/// Writes a snapshot; where that fails the one before it is still there.
pub fn write(files: &mut impl Files, sections: &[Section]) -> io::Result<u64> {
    let bytes = encode(sections);
    files.write(BESIDE, &bytes)?;
    files.sync(BESIDE)?;
    // Without one before it there is nothing to keep.
    match files.rename(NAME, ELDER) {
        Err(why) if why.kind() != io::ErrorKind::NotFound => return Err(why),
        _ => {}
    }
    files.rename(BESIDE, NAME)?;
    files.sync_folder()?;
    Ok(bytes.len() as u64)
}

/// Reads the newest snapshot of which anything is whole.
pub fn read(files: &mut impl Files, bounds: &Bounds) -> Found {
    let mut ignored = Vec::new();
    for name in [NAME, ELDER] {
        let content = match files.read(name, bounds.bytes) {
            Ok(None) => continue,
            Ok(Some(bytes)) => decode(&bytes, bounds).map_err(Ignored::from),
            Err(why) => Err(why.into()),
        };
        match content {
            // A file that was written empty says so with its head alone.
            Ok(content) if content.sections.is_empty() && content.broken + content.lost as usize > 0 => {
                ignored.push((name, Ignored::Nothing));
            }
            Ok(content) => return Found { content: Some(content), ignored },
            Err(why) => ignored.push((name, why)),
        }
    }
    Found { content: None, ignored }
}

/// Forgets all of it.
pub fn forget(files: &mut impl Files) -> io::Result<()> {
    [NAME, ELDER, BESIDE].into_iter().try_for_each(|name| files.remove(name))?;
    files.sync_folder()
}
