//! Owns the bytes of a snapshot: a head with its version, then sections, each with its kind, the time at which it was learned, its
//! length and a checksum over all of these.
//!
//! A section that is broken or of a kind that is not known costs only itself, as far as its length can be believed: that is what
//! a checksum of the section's head is for. Must never take more than is allowed, nor read a file of a later version.

use linnethook::interface::Ms;

/// The first bytes of a file.
const MAGIC: [u8; 6] = *b"lhlrn\n";
/// What this program writes. 1 = the first one.
pub const VERSION: u16 = 1;
/// Kind, time, length, checksum of these, checksum of the bytes.
const HEAD: usize = 2 + 8 + 4 + 4 + 4;

/// What may be in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    pub bytes: u64,
    pub sections: usize,
    pub section: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 64 << 20, sections: 65_536, section: 4 << 20 }
    }
}

/// A part of what was learned.
#[derive(Debug, Clone, PartialEq)]
pub struct Section {
    pub kind: u16,
    /// When it was learned, in Unix milliseconds.
    pub at: Ms,
    pub bytes: Vec<u8>,
}

/// What was read, and what was not.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Content {
    pub version: u16,
    pub sections: Vec<Section>,
    /// Sections whose bytes did not fit their checksum.
    pub broken: usize,
    /// Bytes at the end that could not be told apart into sections.
    pub lost: u64,
}

/// Why nothing was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    #[error("not a file of this program")]
    Strange,
    #[error("of version {0}, this program reads up to {VERSION}")]
    Later(u16),
    #[error("longer than is allowed")]
    TooLong,
}

/// Writes sections as one file.
pub fn encode(sections: &[Section]) -> Vec<u8> {
    let mut out = MAGIC.to_vec();
    out.extend(VERSION.to_be_bytes());
    for section in sections {
        let mut head = Vec::with_capacity(HEAD);
        head.extend(section.kind.to_be_bytes());
        head.extend((section.at.max(0.0) as u64).to_be_bytes());
        head.extend((section.bytes.len() as u32).to_be_bytes());
        head.extend(crc32fast::hash(&section.bytes).to_be_bytes());
        head.extend(crc32fast::hash(&head).to_be_bytes());
        out.extend(head);
        out.extend(&section.bytes);
    }
    out
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Reads a file: what is whole of it.
pub fn decode(bytes: &[u8], bounds: &Bounds) -> Result<Content, Unreadable> {
    if bytes.len() as u64 > bounds.bytes {
        return Err(Unreadable::TooLong);
    }
    let version = bytes.strip_prefix(&MAGIC).and_then(|rest| number(rest, 0)).map(u16::from_be_bytes);
    let version = version.ok_or(Unreadable::Strange)?;
    if version > VERSION {
        return Err(Unreadable::Later(version));
    }
    if version == 0 {
        return Err(Unreadable::Strange);
    }
    let mut content = Content { version, ..Content::default() };
    let mut rest = &bytes[MAGIC.len() + 2..];
    while !rest.is_empty() {
        let Some((section, length)) = section(rest, bounds, content.sections.len()) else {
            content.lost = rest.len() as u64;
            break;
        };
        match section {
            Some(section) => content.sections.push(section),
            None => content.broken += 1,
        }
        rest = &rest[length..];
    }
    Ok(content)
}

/// The first section with its whole length; no section where its bytes are broken, nothing where its head is.
fn section(rest: &[u8], bounds: &Bounds, before: usize) -> Option<(Option<Section>, usize)> {
    let checked = u32::from_be_bytes(number(rest, HEAD - 4)?);
    if crc32fast::hash(&rest[..HEAD - 4]) != checked || before >= bounds.sections {
        return None;
    }
    let kind = u16::from_be_bytes(number(rest, 0)?);
    let at = u64::from_be_bytes(number(rest, 2)?) as Ms;
    let length = u32::from_be_bytes(number(rest, 10)?);
    let sum = u32::from_be_bytes(number(rest, 14)?);
    if length > bounds.section {
        return None;
    }
    let end = HEAD + length as usize;
    let bytes = rest.get(HEAD..end)?;
    let whole = crc32fast::hash(bytes) == sum;
    Some((whole.then(|| Section { kind, at, bytes: bytes.to_vec() }), end))
}
