//! The audit log on disk: records are appended by a thread of their own, since a sync may take long.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::thread::{self, JoinHandle};

use linnethook_persistence::file_store::LockedDirectory;
use linnethook_persistence::record_log::{OpenedLog, RecordLog, RecordLogError, RecordLogLimits};

use crate::log::log_line;

/// Records that may wait for the disk.
const MAX_QUEUED_RECORDS: usize = 256;

/// Why there is no audit log on disk.
#[derive(Debug)]
pub(super) enum DiskError {
    /// The directory can't be opened or is in use.
    Directory(io::Error),
    /// The log in the directory can't be opened.
    Log(io::Error),
    /// The thread that writes can't be started.
    Thread(io::Error),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Directory(error) | Self::Log(error) | Self::Thread(error) => error.fmt(f),
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

/// The log in its directory, with all of its records.
pub(super) struct DiskLog {
    files: LockedDirectory,
    log: RecordLog,
    /// Encoded; the oldest first.
    records: VecDeque<Vec<u8>>,
    /// Bytes of an incomplete record at the end, which were removed.
    truncated_bytes: u64,
}

impl DiskLog {
    /// Opens the log in a directory, which is created where it does not exist.
    ///
    /// # Errors
    ///
    /// A directory that can't be locked, and a log that can't be read.
    pub fn open(directory: &Path) -> Result<Self, DiskError> {
        let mut files = LockedDirectory::open(directory).map_err(DiskError::Directory)?;
        let opened = RecordLog::open(&mut files, RecordLogLimits::default()).map_err(DiskError::Log)?;
        let OpenedLog { log, records, truncated_bytes } = opened;
        Ok(Self { files, log, records: records.into(), truncated_bytes })
    }

    /// The records of earlier starts, encoded.
    pub fn records(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.records.iter()
    }

    /// Bytes of an incomplete record at the end, which were removed.
    pub fn truncated_bytes(&self) -> u64 {
        self.truncated_bytes
    }

    /// Stores what is queued until the queue is closed.
    fn append_queued(&mut self, queue: &Receiver<Vec<u8>>) -> Result<(), RecordLogError> {
        while let Ok(first) = queue.recv() {
            // One sync covers all that was queued meanwhile.
            let group: Vec<Vec<u8>> = std::iter::once(first).chain(queue.try_iter()).collect();
            for record in group {
                self.append(record)?;
            }
            self.log.commit(&mut self.files)?;
        }
        Ok(())
    }

    /// Appends a record; where the log is full, the older half of its records makes room.
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

/// The queue was full, and the record is not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueueFull;

/// The thread that writes, and the queue to it.
pub(super) struct DiskWriter {
    queue: SyncSender<Vec<u8>>,
    thread: JoinHandle<()>,
}

impl DiskWriter {
    /// Starts the thread. An error of the disk ends it, with a line in the log.
    ///
    /// # Errors
    ///
    /// [`DiskError::Thread`].
    pub fn start(mut log: DiskLog) -> Result<Self, DiskError> {
        let (queue, queued) = sync_channel(MAX_QUEUED_RECORDS);
        let run = move || {
            if let Err(error) = log.append_queued(&queued) {
                log_line!(always "audit: the log on disk ends here: {error}");
            }
        };
        let thread = thread::Builder::new().name("audit".to_string()).spawn(run);
        Ok(Self { queue, thread: thread.map_err(DiskError::Thread)? })
    }

    /// Queues an encoded record. After an error of the disk it is dropped.
    ///
    /// # Errors
    ///
    /// [`QueueFull`].
    pub fn enqueue(&self, record: Vec<u8>) -> Result<(), QueueFull> {
        match self.queue.try_send(record) {
            Err(TrySendError::Full(_)) => Err(QueueFull),
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }

    /// Waits until all that is queued is stored.
    pub fn finish(self) {
        drop(self.queue);
        // A panic of the thread was printed when it happened.
        let _ = self.thread.join();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/audit_disk.rs"]
mod tests;
