//! The reserve of descriptors: some are taken at the start, and released one by one for what has to go on when the
//! process has no others.
//!
//! What can wait never gets one of them: new clients, and links with other sites.

use std::cell::RefCell;
use std::fs::File;
use std::io;
use std::rc::Rc;

use nix::sys::resource::{getrlimit, Resource};

/// How many descriptors this process may have; `usize::MAX` where the system does not tell.
pub fn soft_limit() -> usize {
    getrlimit(Resource::RLIMIT_NOFILE)
        .map_or(usize::MAX, |(soft, _)| usize::try_from(soft).unwrap_or(usize::MAX))
}

/// Whether something failed for lack of a descriptor.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

/// What a descriptor is needed for. What needs many of them leaves the last ones to what needs one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DescriptorPurpose {
    /// The connection to the journal service, on which all discovery depends.
    Discovery,
    /// A command on the control socket.
    Control,
    /// A connection to a cache, a parent or the origin.
    Cache,
}

/// Descriptors in reserve. Clones share them.
#[derive(Debug, Clone)]
pub struct DescriptorReserve(Rc<RefCell<Reserved>>);

#[derive(Debug)]
struct Reserved {
    files: Vec<File>,
    /// How many there are when the reserve is complete.
    capacity: usize,
}

impl Reserved {
    /// Releases one if there are any for that purpose; whether it did.
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
    /// Reserves that many.
    ///
    /// # Errors
    ///
    /// The system does not give them: it would not give them later either.
    pub fn new(capacity: usize) -> io::Result<Self> {
        let files = (0..capacity).map(|_| open_placeholder()).collect::<io::Result<_>>();
        let files = files.map_err(|error| {
            io::Error::new(error.kind(), format!("a reserve of {capacity} descriptors: {error}"))
        })?;
        Ok(Self(Rc::new(RefCell::new(Reserved { files, capacity }))))
    }

    /// Opens something. Where descriptors have run out, one of the reserve after another is released, as far as they
    /// are for that purpose.
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

    /// Runs something that opens and closes descriptors by itself, with the whole reserve released.
    pub fn run_with_all<T>(&self, run: impl FnOnce() -> T) -> T {
        self.0.borrow_mut().files.clear();
        let result = run();
        self.refill();
        result
    }

    /// Takes released descriptors back; whether the reserve is complete again.
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
