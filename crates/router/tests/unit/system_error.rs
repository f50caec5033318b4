//! Unit tests of `src/system_error.rs`, as a submodule of it.

use super::*;

fn error(number: i32) -> io::Error {
    io::Error::from_raw_os_error(number)
}

#[test]
fn a_shortage_of_this_machine_is_no_end_of_a_connection() {
    for number in [libc::ENOBUFS, libc::ENOMEM, libc::EINTR] {
        assert_eq!(source_of_transfer_error(&error(number)), ErrorSource::Local, "{number}");
    }
    for number in [libc::ECONNRESET, libc::EPIPE, libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ENETUNREACH] {
        assert_eq!(source_of_transfer_error(&error(number)), ErrorSource::Peer, "{number}");
    }
}

#[test]
fn only_an_answer_of_the_peer_is_its_refusal() {
    for number in
        [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::EAGAIN]
    {
        assert_eq!(source_of_connect_error(&error(number)), ErrorSource::Local, "{number}");
    }
    for number in [libc::ECONNREFUSED, libc::EHOSTUNREACH] {
        assert_eq!(source_of_connect_error(&error(number)), ErrorSource::Peer, "{number}");
    }
}
