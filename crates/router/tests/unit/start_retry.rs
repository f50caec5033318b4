//! Unit tests of `src/start_retry.rs`, as a submodule of it.

use super::*;

#[test]
fn a_momentary_error_is_repeated_and_another_is_not() {
    let mut errors = vec![libc::ENFILE, libc::EIO];
    let step = || errors.pop().map_or(Ok(7), |number| Err(io::Error::from_raw_os_error(number)));
    assert_eq!(retry(step, is_momentary).ok(), Some(7));
    let mut calls = 0;
    let step = || -> io::Result<()> {
        calls += 1;
        Err(io::Error::from_raw_os_error(libc::EADDRINUSE))
    };
    assert!(retry(step, is_momentary).is_err());
    assert_eq!(calls, 1);
}
