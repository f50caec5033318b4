//! The encoding of a snapshot file.
//!
//! A file is a magic number and a version, then sections. A section is a header (kind, time, payload length,
//! checksum of the payload, checksum of the preceding header fields) and its payload; all numbers are
//! big-endian. The header has its own checksum so that the length of a section with a corrupt payload is
//! still valid and only that section is lost.

use linnethook::interface::Ms;

/// The magic number at the start of a file.
const MAGIC: [u8; 6] = *b"lhlrn\n";
/// The version that [`encode`] writes and the newest one that [`decode`] reads.
pub const VERSION: u16 = 1;

const KIND_OFFSET: usize = 0;
const TIME_OFFSET: usize = KIND_OFFSET + 2;
const LENGTH_OFFSET: usize = TIME_OFFSET + 8;
const PAYLOAD_CHECKSUM_OFFSET: usize = LENGTH_OFFSET + 4;
const HEADER_CHECKSUM_OFFSET: usize = PAYLOAD_CHECKSUM_OFFSET + 4;
const HEADER_BYTES: usize = HEADER_CHECKSUM_OFFSET + 4;

/// Maximum sizes that [`decode`] accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotLimits {
    /// Maximum length of the file, in bytes.
    pub file_bytes: u64,
    /// Maximum number of sections.
    pub sections: usize,
    /// Maximum length of one payload, in bytes.
    pub payload_bytes: u32,
}

impl Default for SnapshotLimits {
    fn default() -> Self {
        Self { file_bytes: 64 << 20, sections: 65_536, payload_bytes: 4 << 20 }
    }
}

/// One independently checksummed unit of a snapshot.
#[derive(Debug, Clone, PartialEq)]
pub struct Section {
    /// The type of the content; readers skip unknown kinds.
    pub kind: u16,
    /// When the payload was recorded, in Unix milliseconds. Stored as an unsigned integer: fractions are
    /// truncated and negative times become 0.
    pub recorded_at: Ms,
    /// The encoded content.
    pub payload: Vec<u8>,
}

/// The intact sections of a file, and the amount of corrupt data.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SnapshotContent {
    /// The version of the file.
    pub version: u16,
    /// The sections whose checksums match, in the order of the file.
    pub sections: Vec<Section>,
    /// The number of sections whose payload did not match its checksum.
    pub corrupt_sections: usize,
    /// Number of bytes at the end that could not be split into sections.
    pub unparsed_bytes: u64,
}

/// Why no section of a file was decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The magic number or the version is invalid.
    #[error("file is not a snapshot: invalid magic number or version")]
    UnknownFormat,
    /// The file was written by a newer version of the program.
    #[error("snapshot version is not supported: expected at most {VERSION}, got {0}")]
    NewerVersion(u16),
    /// The file exceeds [`SnapshotLimits::file_bytes`].
    #[error("snapshot is too long: expected at most {max_bytes} bytes, got {bytes}")]
    TooLarge {
        /// The length of the file.
        bytes: u64,
        /// The maximum length.
        max_bytes: u64,
    },
}

/// Encodes sections as the bytes of one file.
pub fn encode(sections: &[Section]) -> Vec<u8> {
    let mut file = MAGIC.to_vec();
    file.extend(VERSION.to_be_bytes());
    for section in sections {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        header.extend(section.kind.to_be_bytes());
        header.extend((section.recorded_at.max(0.0) as u64).to_be_bytes());
        header.extend((section.payload.len() as u32).to_be_bytes());
        header.extend(crc32fast::hash(&section.payload).to_be_bytes());
        header.extend(crc32fast::hash(&header).to_be_bytes());
        file.extend(header);
        file.extend(&section.payload);
    }
    file
}

/// Decodes a file. Corrupt sections are counted and skipped; they are not an error.
///
/// # Errors
///
/// A [`DecodeError`] if the file is too long, or not a snapshot of a supported version.
pub fn decode(file: &[u8], limits: &SnapshotLimits) -> Result<SnapshotContent, DecodeError> {
    let (bytes, max_bytes) = (file.len() as u64, limits.file_bytes);
    if bytes > max_bytes {
        return Err(DecodeError::TooLarge { bytes, max_bytes });
    }
    let after_magic = file.strip_prefix(&MAGIC).ok_or(DecodeError::UnknownFormat)?;
    let version = read_array(after_magic, 0).map(u16::from_be_bytes).ok_or(DecodeError::UnknownFormat)?;
    if version > VERSION {
        return Err(DecodeError::NewerVersion(version));
    }
    if version == 0 {
        return Err(DecodeError::UnknownFormat);
    }
    let mut content = SnapshotContent { version, ..SnapshotContent::default() };
    let mut rest = &after_magic[size_of::<u16>()..];
    while !rest.is_empty() {
        if content.sections.len() >= limits.sections {
            content.unparsed_bytes = rest.len() as u64;
            break;
        }
        let Some(decoded) = decode_section(rest, limits) else {
            content.unparsed_bytes = rest.len() as u64;
            break;
        };
        match decoded.section {
            Some(section) => content.sections.push(section),
            None => content.corrupt_sections += 1,
        }
        rest = &rest[decoded.total_bytes..];
    }
    Ok(content)
}

struct DecodedSection {
    /// `None` if the payload does not match its checksum.
    section: Option<Section>,
    /// Length of the section with its header.
    total_bytes: usize,
}

/// Decodes the section at the start of `bytes`; `None` if its header is corrupt, or its length is too large
/// or exceeds `bytes`.
fn decode_section(bytes: &[u8], limits: &SnapshotLimits) -> Option<DecodedSection> {
    let header_checksum = u32::from_be_bytes(read_array(bytes, HEADER_CHECKSUM_OFFSET)?);
    if crc32fast::hash(&bytes[..HEADER_CHECKSUM_OFFSET]) != header_checksum {
        return None;
    }
    let kind = u16::from_be_bytes(read_array(bytes, KIND_OFFSET)?);
    let recorded_at = u64::from_be_bytes(read_array(bytes, TIME_OFFSET)?) as Ms;
    let length = u32::from_be_bytes(read_array(bytes, LENGTH_OFFSET)?);
    let payload_checksum = u32::from_be_bytes(read_array(bytes, PAYLOAD_CHECKSUM_OFFSET)?);
    if length > limits.payload_bytes {
        return None;
    }
    let total_bytes = HEADER_BYTES + length as usize;
    let payload = bytes.get(HEADER_BYTES..total_bytes)?;
    let is_intact = crc32fast::hash(payload) == payload_checksum;
    let section = is_intact.then(|| Section { kind, recorded_at, payload: payload.to_vec() });
    Some(DecodedSection { section, total_bytes })
}

fn read_array<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset + N)?.try_into().ok()
}
