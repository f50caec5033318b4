//! System calls of a router that fail as a test wants it, through the preloaded library of `linnethook-fault-shim`.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use linnethook_fault_shim::plan::{
    first_field, Call, CallPlan, Mode, CALLS_OFFSET, CLOCK_FIELD, FAILURES_OFFSET, FILE_FIELDS, MAX_ERRORS,
    PLAN_VARIABLE, SEED_FIELD,
};

const FIELD_BYTES: usize = size_of::<u64>();

/// The plan of a process; dropping it removes its file.
#[derive(Debug)]
pub struct FaultPlan {
    path: PathBuf,
    file: File,
}

impl FaultPlan {
    /// A plan by which no call fails.
    pub fn new(seed: u64) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let n = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("linnethook-faults-{}-{n}", std::process::id()));
        let mut options = OpenOptions::new();
        let file =
            options.create(true).truncate(true).read(true).write(true).open(&path).expect("a plan file");
        file.set_len((FILE_FIELDS * FIELD_BYTES) as u64).expect("the plan file has its size");
        let plan = Self { path, file };
        plan.write_field(SEED_FIELD, seed);
        plan
    }

    /// The environment variables of a process that follows the plan.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        let test = std::env::current_exe().expect("the path of the test");
        let library = test.with_file_name("liblinnethook_fault_shim.so");
        assert!(library.exists(), "{} is missing", library.display());
        [("LD_PRELOAD", library), (PLAN_VARIABLE, self.path.clone())]
    }

    /// Lets a share of the calls fail with one of the errors, in a thousand.
    pub fn fail_randomly(&self, call: Call, per_thousand: u64, errors: &[i32]) {
        self.set(call, Mode::Random, per_thousand, errors);
    }

    /// Lets only the call with this number fail, counted from the last [`Self::reset_counts`].
    pub fn fail_once(&self, call: Call, number: u64, error: i32) {
        self.set(call, Mode::Once, number, &[error]);
    }

    /// Lets the call with this number and all after it fail.
    pub fn fail_from(&self, call: Call, number: u64, errors: &[i32]) {
        self.set(call, Mode::From, number, errors);
    }

    /// Lets a share of the transfers be short, in a thousand.
    pub fn shorten(&self, call: Call, per_thousand: u64) {
        self.write(
            call,
            CallPlan {
                mode: Mode::Random,
                argument: per_thousand,
                errors: [linnethook_fault_shim::plan::SHORT, 0, 0, 0],
            },
        );
    }

    /// Lets the calls succeed from here on.
    pub fn succeed(&self, call: Call) {
        self.write_field(first_field(call), Mode::Off as u64);
    }

    /// Lets all calls succeed from here on.
    pub fn succeed_all(&self) {
        Call::ALL.into_iter().for_each(|call| self.succeed(call));
    }

    /// Whether no call is planned to fail.
    pub fn has_ended(&self) -> bool {
        Call::ALL.into_iter().all(|call| self.read_field(first_field(call)) == Mode::Off as u64)
    }

    /// Steps the wall clock of the process by these seconds from its true time.
    pub fn step_clock(&self, seconds: i64) {
        self.write_field(CLOCK_FIELD, (seconds * 1_000_000_000) as u64);
    }

    /// Counts the calls from here on again.
    pub fn reset_counts(&self) {
        for call in Call::ALL {
            self.write_field(first_field(call) + CALLS_OFFSET, 0);
            self.write_field(first_field(call) + FAILURES_OFFSET, 0);
        }
    }

    /// The number of calls.
    pub fn calls(&self, call: Call) -> u64 {
        self.read_field(first_field(call) + CALLS_OFFSET)
    }

    /// The number of calls that failed as planned.
    pub fn failures(&self, call: Call) -> u64 {
        self.read_field(first_field(call) + FAILURES_OFFSET)
    }

    fn set(&self, call: Call, mode: Mode, argument: u64, errors: &[i32]) {
        let mut fields = [0; MAX_ERRORS];
        for (field, error) in fields.iter_mut().zip(errors) {
            *field = *error as u64;
        }
        self.write(call, CallPlan { mode, argument, errors: fields });
    }

    /// The mode is written last: the process may read the record meanwhile.
    fn write(&self, call: Call, plan: CallPlan) {
        let record = first_field(call);
        self.write_field(record, Mode::Off as u64);
        self.write_field(record + 1, plan.argument);
        for (n, error) in plan.errors.into_iter().enumerate() {
            self.write_field(record + 2 + n, error);
        }
        self.write_field(record, plan.mode as u64);
    }

    fn write_field(&self, index: usize, value: u64) {
        self.file
            .write_all_at(&value.to_ne_bytes(), (index * FIELD_BYTES) as u64)
            .expect("the plan is written");
    }

    fn read_field(&self, index: usize) -> u64 {
        let mut bytes = [0; FIELD_BYTES];
        self.file.read_exact_at(&mut bytes, (index * FIELD_BYTES) as u64).expect("the plan is read");
        u64::from_ne_bytes(bytes)
    }
}

impl Drop for FaultPlan {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
