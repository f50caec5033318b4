//! The audit log on disk. A separate thread appends the records, as a sync may block for long.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use linnethook_persistence::file_store::LockedDirectory;
use linnethook_persistence::record_log::{OpenedLog, RecordLog, RecordLogError, RecordLogLimits};

use crate::log::log_line;
use crate::start_retry;

/// The number of records that may be queued for the disk.
const MAX_QUEUED_RECORDS: usize = 256;
/// The time after which a failed write is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The number of tries after which a router that shuts down no longer waits for its disk.
const MAX_TRIES_WHILE_CLOSING: u32 = 10;

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

impl DiskError {
    /// Whether the directory may be usable soon.
    pub fn may_be_momentary(&self) -> bool {
        match self {
            Self::Directory(error) | Self::Log(error) | Self::Thread(error) => {
                start_retry::is_momentary(error)
            }
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

    /// Stores the queued records until the queue is closed. While the disk fails, the records wait; returns early
    /// only if it still does some time after `is_closing` was set.
    fn append_queued(&mut self, queue: &Receiver<Vec<u8>>, is_closing: &AtomicBool) {
        while let Ok(first) = queue.recv() {
            // One sync covers all records that were queued during the previous one.
            let group: Vec<Vec<u8>> = std::iter::once(first).chain(queue.try_iter()).collect();
            let stored = group.into_iter().try_for_each(|record| self.append(record, is_closing));
            if stored.and_then(|()| self.retry(is_closing, Self::commit)).is_err() {
                return;
            }
        }
    }

    /// Appends a record. If the log is full, the older half of its records is removed first.
    fn append(&mut self, record: Vec<u8>, is_closing: &AtomicBool) -> Result<(), RecordLogError> {
        let added = self.log.add(&record);
        self.records.push_back(record);
        if matches!(added, Err(RecordLogError::Full { .. })) {
            self.records.drain(..self.records.len() / 2);
            self.retry(is_closing, |disk| disk.log.compact(&mut disk.files, disk.records.make_contiguous()))?;
        }
        Ok(())
    }

    fn commit(&mut self) -> Result<(), RecordLogError> {
        self.log.restore(&mut self.files)?;
        self.log.commit(&mut self.files)
    }

    /// Repeats a step until it succeeds: what was taken on is still owed. Logs the first error of a disk that
    /// fails, and that it has recovered.
    ///
    /// # Errors
    ///
    /// The last error, some time after `is_closing` was set.
    fn retry(
        &mut self,
        is_closing: &AtomicBool,
        step: impl Fn(&mut Self) -> Result<(), RecordLogError>,
    ) -> Result<(), RecordLogError> {
        let (mut has_failed, mut tries_while_closing) = (false, 0);
        while let Err(error) = step(self) {
            if !has_failed {
                log_line!(always "audit: disk error, the records wait until it is over: {error}");
            }
            has_failed = true;
            tries_while_closing += u32::from(is_closing.load(Ordering::Relaxed));
            if tries_while_closing > MAX_TRIES_WHILE_CLOSING {
                log_line!(always "audit: disk error, the last records are not stored: {error}");
                return Err(error);
            }
            thread::sleep(RETRY_PAUSE);
        }
        if has_failed {
            log_line!(always "audit: the disk stores records again");
        }
        Ok(())
    }
}

/// The queue to the disk is full: the record has to be queued again later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct QueueFull;

/// The writer thread and its queue.
pub(super) struct DiskWriter {
    queue: SyncSender<Vec<u8>>,
    is_closing: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl DiskWriter {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// [`DiskError::Thread`] if the thread can't be started.
    pub fn start(mut log: DiskLog) -> Result<Self, DiskError> {
        let (queue, queued) = sync_channel(MAX_QUEUED_RECORDS);
        let is_closing = Arc::new(AtomicBool::new(false));
        let closing = is_closing.clone();
        let run = move || log.append_queued(&queued, &closing);
        let thread = thread::Builder::new().name("audit".to_string()).spawn(run);
        Ok(Self { queue, is_closing, thread: thread.map_err(DiskError::Thread)? })
    }

    /// Queues an encoded record.
    ///
    /// # Errors
    ///
    /// [`QueueFull`] if the queue is full.
    pub fn enqueue(&self, record: Vec<u8>) -> Result<(), QueueFull> {
        match self.queue.try_send(record) {
            Err(TrySendError::Full(_)) => Err(QueueFull),
            // Without its reader, nothing can be stored; the panic hook has printed why.
            Ok(()) | Err(TrySendError::Disconnected(_)) => Ok(()),
        }
    }

    /// Queues the records that did not fit before, closes the queue and waits until all are stored, or the disk
    /// has failed for too long.
    pub fn finish(self, remaining: impl Iterator<Item = Vec<u8>>) {
        self.is_closing.store(true, Ordering::Relaxed);
        for record in remaining {
            // Blocks while the queue is full; an error means that the thread has ended.
            if self.queue.send(record).is_err() {
                break;
            }
        }
        drop(self.queue);
        // If the thread panicked, the panic hook has printed the message already.
        let _ = self.thread.join();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/audit_disk.rs"]
mod tests;
