//! Whether and how the current call fails.
#![allow(
    unsafe_code,
    reason = "the plan file is mapped into memory by calls that the library does not replace"
)]

use std::ffi::{c_int, CString};
use std::os::unix::ffi::OsStrExt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use crate::plan::{
    first_field, Call, Mode, CALLS_OFFSET, CLOCK_FIELD, FAILURES_OFFSET, FILE_FIELDS, MAX_ERRORS,
    PLAN_VARIABLE, SEED_FIELD, SHORT,
};

/// How a call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// With an error number.
    Error(c_int),
    /// It succeeds with a part of the bytes.
    Short,
}

/// The mapped plan file.
struct Plan(&'static [AtomicU64]);

/// The mapping of the plan file; `None` without one, or if it can't be mapped.
fn plan() -> Option<&'static Plan> {
    static PLAN: OnceLock<Option<Plan>> = OnceLock::new();
    PLAN.get_or_init(map_plan).as_ref()
}

fn map_plan() -> Option<Plan> {
    let path = std::env::var_os(PLAN_VARIABLE)?;
    let path = CString::new(path.as_bytes()).ok()?;
    let bytes = FILE_FIELDS * size_of::<u64>();
    // SAFETY: a raw call opens the file, since `open` is replaced by this library; the mapping is never
    // removed, has the size of the file, and is accessed by atomic operations only.
    let fields = unsafe {
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR) as c_int;
        if file < 0 {
            return None;
        }
        let access = libc::PROT_READ | libc::PROT_WRITE;
        let start = libc::mmap(std::ptr::null_mut(), bytes, access, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if start == libc::MAP_FAILED {
            return None;
        }
        std::slice::from_raw_parts(start.cast::<AtomicU64>(), FILE_FIELDS)
    };
    Some(Plan(fields))
}

/// The number of nanoseconds that are added to the wall clock.
pub fn clock_offset() -> i64 {
    plan().map_or(0, |plan| plan.field(CLOCK_FIELD) as i64)
}

/// Counts a call, and returns how it fails; `None` if it is to succeed.
pub fn next_failure(call: Call) -> Option<Failure> {
    plan()?.next_failure(call)
}

impl Plan {
    fn field(&self, index: usize) -> u64 {
        self.0[index].load(Ordering::Relaxed)
    }

    fn next_failure(&self, call: Call) -> Option<Failure> {
        let record = first_field(call);
        let number = self.0[record + CALLS_OFFSET].fetch_add(1, Ordering::Relaxed) + 1;
        let mode = self.field(record);
        if mode == Mode::Off as u64 {
            return None;
        }
        let argument = self.field(record + 1);
        let draw = self.draw();
        let fails = match mode {
            mode if mode == Mode::Random as u64 => draw % 1_000 < argument,
            mode if mode == Mode::Once as u64 => number == argument,
            _ => number >= argument,
        };
        if !fails {
            return None;
        }
        let errors: Vec<u64> =
            (0..MAX_ERRORS).map(|n| self.field(record + 2 + n)).take_while(|e| *e != 0).collect();
        let error = *errors.get((draw >> 32) as usize % errors.len().max(1))?;
        self.0[record + FAILURES_OFFSET].fetch_add(1, Ordering::Relaxed);
        Some(if error == SHORT { Failure::Short } else { Failure::Error(error as c_int) })
    }

    /// A pseudo-random number (splitmix64), from a sequence that the seed determines.
    fn draw(&self) -> u64 {
        static STATE: AtomicU64 = AtomicU64::new(0);
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let state = STATE.fetch_add(STEP, Ordering::Relaxed).wrapping_add(self.field(SEED_FIELD));
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
