//! An append-only log of records that are durable once they are committed.
//!
//! Records that are added together are synced once (group commit). A tail that was torn by a crash of the
//! machine is truncated at the next start; a committed record is never lost. After a failed write or sync the
//! log rejects all records until it is restored or opened again, because the durable content is unknown.
//!
//! A record is encoded as its length, the checksum of length and payload, and the payload. Length and
//! checksum have four bytes each and are big-endian.

use std::io;

use crate::file_store::FileStore;

/// Name of the file; part of the stored format, as is that of the temporary file.
const LOG_FILE: &str = "promises";
const TEMPORARY_FILE: &str = "promises.part";

const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + 4;

/// Maximum sizes of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordLogLimits {
    /// Maximum length of the file, in bytes.
    pub file_bytes: u64,
    /// Maximum length of one record without its header, in bytes.
    pub record_bytes: u32,
}

impl Default for RecordLogLimits {
    fn default() -> Self {
        Self { file_bytes: 16 << 20, record_bytes: 1 << 20 }
    }
}

/// Why a record was not added or committed.
#[derive(Debug, thiserror::Error)]
pub enum RecordLogError {
    /// The file would exceed [`RecordLogLimits::file_bytes`].
    #[error("log is full and has to be compacted: expected at most {max_bytes} bytes, got {bytes}")]
    Full {
        /// The length that the file would have.
        bytes: u64,
        /// The maximum length.
        max_bytes: u64,
    },
    /// The record exceeds [`RecordLogLimits::record_bytes`].
    #[error("record is too long: expected at most {max_bytes} bytes, got {bytes}")]
    RecordTooLarge {
        /// The length of the record.
        bytes: usize,
        /// The maximum length.
        max_bytes: u32,
    },
    /// An earlier write or sync failed.
    #[error("log rejects records until it is opened again, because an earlier write failed")]
    Poisoned,
    /// This write or sync failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// An open log.
#[derive(Debug)]
pub struct RecordLog {
    limits: RecordLogLimits,
    /// Number of durable bytes.
    committed_bytes: u64,
    /// Encoded records of the next commit.
    pending: Vec<u8>,
    failed_step: Option<FailedStep>,
}

/// The step after which the durable content is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailedStep {
    /// Records were appended, perhaps in part, and may not be durable.
    Append,
    /// The file is either the old or the new one.
    Replace,
}

/// A log with the records that it contained when it was opened.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log, ready to append.
    pub log: RecordLog,
    /// All committed records in their order, possibly followed by records that were added but not committed.
    pub records: Vec<Vec<u8>>,
    /// Number of bytes of a torn tail that were truncated.
    pub truncated_bytes: u64,
}

impl RecordLog {
    /// Opens the log and truncates a torn tail.
    ///
    /// # Errors
    ///
    /// Any error of the file store. A file of more than twice the maximum length is an error.
    pub fn open(files: &mut impl FileStore, limits: RecordLogLimits) -> io::Result<OpenedLog> {
        files.remove(TEMPORARY_FILE)?;
        // Twice the limit, so that a log that was written with a higher limit can still be read.
        let bytes = files.read(LOG_FILE, limits.file_bytes * 2)?.unwrap_or_default();
        let (records, intact_bytes) = decode_records(&bytes, &limits);
        let truncated_bytes = bytes.len() as u64 - intact_bytes;
        if truncated_bytes > 0 {
            files.truncate(LOG_FILE, intact_bytes)?;
            files.sync(LOG_FILE)?;
        }
        let log = Self { limits, committed_bytes: intact_bytes, pending: Vec::new(), failed_step: None };
        Ok(OpenedLog { log, records, truncated_bytes })
    }

    /// Number of bytes of all records with their headers, including pending ones.
    pub fn len(&self) -> u64 {
        self.committed_bytes + self.pending.len() as u64
    }

    /// Whether the log has no committed and no pending record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a record to the next commit. It is durable only after [`RecordLog::commit`].
    ///
    /// # Errors
    ///
    /// [`RecordLogError::Poisoned`], [`RecordLogError::RecordTooLarge`] or [`RecordLogError::Full`]; the log
    /// is unchanged.
    pub fn add(&mut self, record: &[u8]) -> Result<(), RecordLogError> {
        if self.failed_step.is_some() {
            return Err(RecordLogError::Poisoned);
        }
        if record.len() > self.limits.record_bytes as usize {
            let (bytes, max_bytes) = (record.len(), self.limits.record_bytes);
            return Err(RecordLogError::RecordTooLarge { bytes, max_bytes });
        }
        self.check_length(self.len() + (HEADER_BYTES + record.len()) as u64)?;
        encode_record(&mut self.pending, record);
        Ok(())
    }

    /// Makes all pending records durable with one sync.
    ///
    /// # Errors
    ///
    /// [`RecordLogError::Io`] if a step fails, which poisons the log and leaves the records pending;
    /// [`RecordLogError::Poisoned`] if an earlier step failed.
    pub fn commit(&mut self, files: &mut impl FileStore) -> Result<(), RecordLogError> {
        if self.failed_step.is_some() {
            return Err(RecordLogError::Poisoned);
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let is_new_file = self.committed_bytes == 0;
        if let Err(error) = append_durably(files, &self.pending, is_new_file) {
            self.failed_step = Some(FailedStep::Append);
            return Err(error.into());
        }
        self.committed_bytes += self.pending.len() as u64;
        self.pending.clear();
        Ok(())
    }

    /// Makes a log usable again whose commit has failed: what may have been written of it is removed, and its
    /// records are still pending. After a failed sync they have to be written again, since the system may count
    /// them as written.
    ///
    /// # Errors
    ///
    /// Any error of the file store, after which this can be repeated. [`RecordLogError::Poisoned`] if
    /// [`RecordLog::compact`] has failed, which has to be repeated instead.
    pub fn restore(&mut self, files: &mut impl FileStore) -> Result<(), RecordLogError> {
        match self.failed_step {
            None => return Ok(()),
            Some(FailedStep::Replace) => return Err(RecordLogError::Poisoned),
            Some(FailedStep::Append) => {}
        }
        match files.truncate(LOG_FILE, self.committed_bytes) {
            Err(error) if error.kind() == io::ErrorKind::NotFound && self.committed_bytes == 0 => {}
            Err(error) => return Err(error.into()),
            Ok(()) => files.sync(LOG_FILE)?,
        }
        self.failed_step = None;
        Ok(())
    }

    /// Replaces the committed records by `retained` and commits the pending ones after them. The old log
    /// remains in place until the new one is durable.
    ///
    /// # Errors
    ///
    /// [`RecordLogError::Full`] if the result exceeds the limit: the log is unchanged. [`RecordLogError::Io`]
    /// if a step fails, which poisons the log until this succeeds when it is repeated;
    /// [`RecordLogError::Poisoned`] if an earlier commit failed.
    pub fn compact(
        &mut self,
        files: &mut impl FileStore,
        retained: &[Vec<u8>],
    ) -> Result<(), RecordLogError> {
        if self.failed_step == Some(FailedStep::Append) {
            return Err(RecordLogError::Poisoned);
        }
        let mut bytes = Vec::new();
        for record in retained {
            encode_record(&mut bytes, record);
        }
        bytes.extend(&self.pending);
        self.check_length(bytes.len() as u64)?;
        if let Err(error) = replace_durably(files, &bytes) {
            self.failed_step = Some(FailedStep::Replace);
            return Err(error.into());
        }
        self.failed_step = None;
        self.committed_bytes = bytes.len() as u64;
        self.pending.clear();
        Ok(())
    }

    fn check_length(&self, bytes: u64) -> Result<(), RecordLogError> {
        let max_bytes = self.limits.file_bytes;
        if bytes > max_bytes {
            return Err(RecordLogError::Full { bytes, max_bytes });
        }
        Ok(())
    }
}

fn append_durably(files: &mut impl FileStore, bytes: &[u8], is_new_file: bool) -> io::Result<()> {
    files.append(LOG_FILE, bytes)?;
    files.sync(LOG_FILE)?;
    if is_new_file {
        files.sync_directory()?;
    }
    Ok(())
}

fn replace_durably(files: &mut impl FileStore, bytes: &[u8]) -> io::Result<()> {
    files.write(TEMPORARY_FILE, bytes)?;
    files.sync(TEMPORARY_FILE)?;
    files.rename(TEMPORARY_FILE, LOG_FILE)?;
    files.sync_directory()
}

fn encode_record(out: &mut Vec<u8>, record: &[u8]) {
    let length = (record.len() as u32).to_be_bytes();
    out.extend(length);
    out.extend(checksum(&length, record).to_be_bytes());
    out.extend(record);
}

fn checksum(length: &[u8], record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(record);
    hasher.finalize()
}

/// Returns the records before the first torn or corrupt one, and their total length with headers, in bytes.
fn decode_records(bytes: &[u8], limits: &RecordLogLimits) -> (Vec<Vec<u8>>, u64) {
    let mut records = Vec::new();
    let mut intact_bytes = 0;
    while let Some(record) = decode_record(&bytes[intact_bytes..], limits) {
        records.push(record.to_vec());
        intact_bytes += HEADER_BYTES + record.len();
    }
    (records, intact_bytes as u64)
}

/// Returns the payload of the record at the start of `bytes`; `None` if it is torn, corrupt or too long.
fn decode_record<'a>(bytes: &'a [u8], limits: &RecordLogLimits) -> Option<&'a [u8]> {
    let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>()?;
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]);
    let expected_checksum = u32::from_be_bytes([c0, c1, c2, c3]);
    if length > limits.record_bytes {
        return None;
    }
    let record = rest.get(..length as usize)?;
    let is_intact = checksum(&header[..LENGTH_BYTES], record) == expected_checksum;
    is_intact.then_some(record)
}
