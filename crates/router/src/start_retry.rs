//! Repeats steps of the start that fail by an error of this machine: a router that ends for it serves nobody.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// The time until a step is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// A step that fails for this time fails the start.
const GIVE_UP_AFTER: Duration = Duration::from_secs(2);

/// Calls a step until it succeeds, fails by another error, or has failed for too long.
///
/// # Errors
///
/// The last error of the step.
pub fn retry<T, E>(
    mut step: impl FnMut() -> Result<T, E>,
    is_momentary: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let until = Instant::now() + GIVE_UP_AFTER;
    loop {
        match step() {
            Err(error) if is_momentary(&error) && Instant::now() < until => thread::sleep(RETRY_PAUSE),
            result => return result,
        }
    }
}

/// Whether an error of the system may be over soon.
pub fn is_momentary(error: &io::Error) -> bool {
    let momentary = [
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::EAGAIN,
        libc::EINTR,
        libc::EIO,
        libc::ENOSPC,
    ];
    error.raw_os_error().is_some_and(|number| momentary.contains(&number))
}

#[cfg(test)]
#[path = "../tests/unit/start_retry.rs"]
mod tests;
