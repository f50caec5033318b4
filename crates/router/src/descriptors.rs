//! The descriptor reserve: some descriptors are opened at startup, and released one by one for essential
//! connections when the process has run out of others.
//!
//! New clients and links with other sites can wait, and never use the reserve.

use std::cell::RefCell;
use std::fs::File;
use std::io;
use std::rc::Rc;

use nix::sys::resource::{getrlimit, Resource};

use crate::start_retry;
use crate::system_error::is_out_of_descriptors;

/// The soft limit of descriptors of this process; `usize::MAX` if the system does not report one.
pub fn soft_limit() -> usize {
    getrlimit(Resource::RLIMIT_NOFILE)
        .map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX))
}

/// Whether all descriptors that the limit allows are in use. Their numbers are given out from the lowest on, so
/// that the highest is in use only then.
pub fn are_all_in_use() -> bool {
    let highest = soft_limit().saturating_sub(1);
    std::fs::symlink_metadata(format!("/proc/self/fd/{highest}")).is_ok()
}

/// The purpose of a descriptor. Purposes that need many descriptors leave the last reserved ones to purposes
/// that need only one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DescriptorPurpose {
    /// The connection to the journal service, on which all discovery depends.
    Discovery,
    /// A command on the control socket.
    Control,
    /// A connection to a cache, a parent or the origin.
    Cache,
}

/// A reserve of descriptors. Clones share the same reserve.
#[derive(Debug, Clone)]
pub struct DescriptorReserve(Rc<RefCell<Reserved>>);

#[derive(Debug)]
struct Reserved {
    files: Vec<File>,
    /// The number of descriptors in the complete reserve.
    capacity: usize,
}

impl Reserved {
    /// Releases one descriptor if the reserve has any for the purpose; returns whether it did.
    fn release(&mut self, purpose: DescriptorPurpose) -> bool {
        let left_for_others = match purpose {
            DescriptorPurpose::Discovery => 0,
            DescriptorPurpose::Control => 1,
            DescriptorPurpose::Cache => self.capacity.div_ceil(2),
        };
        self.files.len() > left_for_others && self.files.pop().is_some()
    }
}

impl DescriptorReserve {
    /// Reserves `capacity` descriptors.
    ///
    /// # Errors
    ///
    /// The system does not provide that many, also when it is asked again.
    pub fn new(capacity: usize) -> io::Result<Self> {
        let open = || start_retry::retry(open_placeholder, start_retry::is_momentary);
        let files = (0..capacity).map(|_| open()).collect::<io::Result<_>>();
        let files = files.map_err(|error| {
            io::Error::new(error.kind(), format!("reserving {capacity} descriptors failed: {error}"))
        })?;
        Ok(Self(Rc::new(RefCell::new(Reserved { files, capacity }))))
    }

    /// Calls `open`. While it fails for lack of descriptors, releases reserved ones and retries, as long as
    /// the reserve has any for the purpose.
    ///
    /// # Errors
    ///
    /// The error of `open`.
    pub fn open<T>(
        &self,
        purpose: DescriptorPurpose,
        mut open: impl FnMut() -> io::Result<T>,
    ) -> io::Result<T> {
        loop {
            match open() {
                Err(error) if is_out_of_descriptors(&error) && self.0.borrow_mut().release(purpose) => {}
                opened => return opened,
            }
        }
    }

    /// Runs a function that opens and closes descriptors itself, with the complete reserve released.
    pub fn run_with_all<T>(&self, run: impl FnOnce() -> T) -> T {
        self.0.borrow_mut().files.clear();
        let result = run();
        self.refill();
        result
    }

    /// Reserves released descriptors again; returns whether the reserve is complete.
    pub fn refill(&self) -> bool {
        let mut reserved = self.0.borrow_mut();
        while reserved.files.len() < reserved.capacity {
            match open_placeholder() {
                Ok(file) => reserved.files.push(file),
                Err(_) => return false,
            }
        }
        true
    }
}

fn open_placeholder() -> io::Result<File> {
    File::open("/dev/null")
}
