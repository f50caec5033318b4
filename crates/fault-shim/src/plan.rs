//! The plan file: which calls fail, how, and how many were made. All numbers are in the byte order of the machine.
//!
//! The process maps the file into its memory, so that changes take effect at once.

/// The environment variable that names the plan file.
pub const PLAN_VARIABLE: &str = "LINNETHOOK_FAULT_PLAN";

/// The calls that may fail. The order is that of the records in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(usize)]
pub enum Call {
    /// `accept4`
    Accept,
    /// `socket`
    Socket,
    /// `connect`
    Connect,
    /// `recv`
    Receive,
    /// `send` and `writev`
    Send,
    /// `setsockopt`
    SetOption,
    /// `getsockopt`
    GetOption,
    /// `open64` and `open`
    Open,
    /// `read` of anything but a socket of a client
    Read,
    /// `write` to anything but the standard streams
    Write,
    /// `fsync` and `fdatasync`
    Sync,
    /// `ftruncate64`
    Truncate,
    /// `rename`
    Rename,
}

impl Call {
    /// All calls, in their order.
    pub const ALL: [Self; CALLS] = [
        Self::Accept,
        Self::Socket,
        Self::Connect,
        Self::Receive,
        Self::Send,
        Self::SetOption,
        Self::GetOption,
        Self::Open,
        Self::Read,
        Self::Write,
        Self::Sync,
        Self::Truncate,
        Self::Rename,
    ];
}

/// The number of kinds of calls.
pub const CALLS: usize = 13;

/// The number of errors that one record can name.
pub const MAX_ERRORS: usize = 4;

/// When calls fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u64)]
pub enum Mode {
    /// Never.
    Off = 0,
    /// Each with a probability of [`CallPlan::argument`] in a thousand.
    Random = 1,
    /// Only the call with the number [`CallPlan::argument`], from 1.
    Once = 2,
    /// The call with that number and all after it.
    From = 3,
}

/// The error that stands for a short read or write in place of a failure.
pub const SHORT: u64 = u64::MAX;

/// The record of one kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPlan {
    /// When the call fails.
    pub mode: Mode,
    /// The parameter of the mode.
    pub argument: u64,
    /// The error numbers, one of which is chosen at random; 0 ends the list.
    pub errors: [u64; MAX_ERRORS],
}

/// The 8-byte fields of the file's header: the seed, and the nanoseconds that are added to the wall clock.
pub const HEADER_FIELDS: usize = 2;
/// The field of the seed.
pub const SEED_FIELD: usize = 0;
/// The field of the wall clock's offset.
pub const CLOCK_FIELD: usize = 1;

/// The fields of a record: those of [`CallPlan`], the number of calls, and the number of those that failed.
pub const RECORD_FIELDS: usize = 2 + MAX_ERRORS + 2;
/// The offset of the number of calls within a record, in fields.
pub const CALLS_OFFSET: usize = 2 + MAX_ERRORS;
/// The offset of the number of failures within a record, in fields.
pub const FAILURES_OFFSET: usize = CALLS_OFFSET + 1;

/// The size of the file, in fields.
pub const FILE_FIELDS: usize = HEADER_FIELDS + CALLS * RECORD_FIELDS;

/// The first field of the record of a call.
pub const fn first_field(call: Call) -> usize {
    HEADER_FIELDS + call as usize * RECORD_FIELDS
}
