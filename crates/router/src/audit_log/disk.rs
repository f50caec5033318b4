//! The audit log on disk. A separate thread appends the records, as a sync may block for long.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};

use linnethook_persistence::file_store::LockedDirectory;
use linnethook_persistence::record_log::{OpenedLog, RecordLog, RecordLogError, RecordLogLimits};

use crate::log::log_line;

/// The number of records that may be queued for the disk.
const MAX_QUEUED_RECORDS: usize = 256;

/// Why the audit log on disk can't be used.
#[derive(Debug)]
pub(super) enum DiskError {
    /// The directory can't be opened or is in use.
    Directory(io::Error),
    /// The log in the directory can't be opened.
    Log(io::Error),
    /// The writer thread can't be started.
    Thread(io::Error),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Directory(error) => write!(f, "the directory can't be opened or locked: {error}"),
            Self::Log(error) => write!(f, "the log in the directory can't be opened: {error}"),
            Self::Thread(error) => write!(f, "the writer thread can't be started: {error}"),
        }
    }
}

impl std::error::Error for DiskError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Directory(error) | Self::Log(error) | Self::Thread(error) => Some(error),
        }
    }
}

/// The log in its directory, with all its records.
pub(super) struct DiskLog {
    files: LockedDirectory,
    log: RecordLog,
    /// The encoded records, the oldest first.
    records: VecDeque<Vec<u8>>,
    /// The bytes of an incomplete record that were removed from the end when the log was opened.
    truncated_bytes: u64,
}

impl DiskLog {
    /// Opens the log in a directory, which is created if it does not exist.
    ///
    /// # Errors
    ///
    /// The directory can't be locked, or the log in it can't be read.
    pub fn open(directory: &Path) -> Result<Self, DiskError> {
        let mut files = LockedDirectory::open(directory).map_err(DiskError::Directory)?;
        let opened = RecordLog::open(&mut files, RecordLogLimits::default()).map_err(DiskError::Log)?;
        let OpenedLog { log, records, truncated_bytes } = opened;
        Ok(Self { files, log, records: records.into(), truncated_bytes })
    }

    /// The encoded records, including those of earlier incarnations, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.records.iter()
    }

    /// The bytes of an incomplete record that were removed from the end when the log was opened.
    pub fn truncated_bytes(&self) -> u64 {
        self.truncated_bytes
    }

    /// Stores the queued records until the queue is closed.
    fn append_queued(&mut self, queue: &Receiver<Vec<u8>>) -> Result<(), RecordLogError> {
        while let Ok(first) = queue.recv() {
            // One sync covers all records that were queued during the previous one.
            let group: Vec<Vec<u8>> = std::iter::once(first).chain(queue.try_iter()).collect();
            for record in group {
                self.append(record)?;
            }
            self.log.commit(&mut self.files)?;
        }
        Ok(())
    }

    /// Appends a record. If the log is full, the older half of its records is removed first.
    fn append(&mut self, record: Vec<u8>) -> Result<(), RecordLogError> {
        let added = self.log.add(&record);
        self.records.push_back(record);
        if matches!(added, Err(RecordLogError::Full { .. })) {
            self.records.drain(..self.records.len() / 2);
            self.log.compact(&mut self.files, self.records.make_contiguous())?;
        }
        Ok(())
    }
}

/// The queue to the disk is full, and the record was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueueFull;

/// The writer thread and its queue.
pub(super) struct DiskWriter {
    queue: SyncSender<Vec<u8>>,
    thread: JoinHandle<()>,
}

impl DiskWriter {
    /// Starts the thread. It logs the first disk error and ends.
    ///
    /// # Errors
    ///
    /// [`DiskError::Thread`] if the thread can't be started.
    pub fn start(mut log: DiskLog) -> Result<Self, DiskError> {
        let (queue, queued) = sync_channel(MAX_QUEUED_RECORDS);
        let run = move || {
            if let Err(error) = log.append_queued(&queued) {
                log_line!(always "audit: disk error, later records are not stored on disk: {error}");
            }
        };
        let thread = thread::Builder::new().name("audit".to_string()).spawn(run);
        Ok(Self { queue, thread: thread.map_err(DiskError::Thread)? })
    }

    /// Queues an encoded record. After a disk error the record is dropped without an error.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue is full; the record is dropped.
    pub fn enqueue(&self, record: Vec<u8>) -> Result<(), QueueFull> {
        match self.queue.try_send(record) {
            Err(TrySendError::Full(_)) => Err(QueueFull),
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }

    /// Closes the queue and waits until all queued records are stored.
    pub fn finish(self) {
        drop(self.queue);
        // If the thread panicked, the panic hook has printed the message already.
        let _ = self.thread.join();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/audit_disk.rs"]
mod tests;
