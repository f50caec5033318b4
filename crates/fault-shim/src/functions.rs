//! The functions of the C library that are replaced. Each asks whether its call fails, and otherwise calls the
//! next function of its name.
#![allow(unsafe_code, reason = "functions of the C library are replaced, and called by their addresses")]

use std::ffi::{c_char, c_int, c_long, c_void};
use std::sync::OnceLock;

use libc::{
    clockid_t, iovec, mode_t, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec, CLOCK_REALTIME,
};

use crate::injection::{clock_offset, next_failure, Failure};
use crate::plan::Call;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;

/// The next function of a name after this library's.
struct Next {
    /// The name, with the zero byte that ends it in C.
    name: &'static str,
    address: OnceLock<usize>,
}

impl Next {
    const fn new(name: &'static str) -> Self {
        Self { name, address: OnceLock::new() }
    }

    /// Its address.
    fn get(&self) -> usize {
        // SAFETY: the name ends with a zero byte.
        *self
            .address
            .get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr().cast()) } as usize)
    }
}

/// Calls the next function of the same name.
macro_rules! call_next {
    ($name:expr, fn($($type:ty),*) -> $result:ty, $($argument:expr),*) => {{
        static NEXT: Next = Next::new(concat!($name, "\0"));
        // SAFETY: the C library's function of this name has this signature.
        let next: extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(NEXT.get()) };
        next($($argument),*)
    }};
}

fn fail(error: c_int) -> c_int {
    // SAFETY: the location of `errno` is valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the error of a call that fails. A short transfer is an interrupted call where it has no meaning.
macro_rules! fail_if_planned {
    ($call:expr) => {
        match next_failure($call) {
            Some(Failure::Error(error)) => return fail(error) as _,
            Some(Failure::Short) => return fail(libc::EINTR) as _,
            None => {}
        }
    };
}

/// The length of a transfer: a part of it if the plan wants a short one.
macro_rules! planned_length {
    ($call:expr, $length:expr) => {
        match next_failure($call) {
            Some(Failure::Error(error)) => return fail(error) as _,
            Some(Failure::Short) => $length.div_ceil(3),
            None => $length,
        }
    };
}

/// The standard streams, whose writes never fail by plan.
const LAST_STANDARD_STREAM: c_int = 2;

/// Defines functions that fail as planned, and otherwise call the next function of their name.
macro_rules! replace {
    ($($call:expr, $name:ident($($argument:ident: $type:ty),*) -> $result:ty;)*) => {
        $(
            #[no_mangle]
            extern "C" fn $name($($argument: $type),*) -> $result {
                fail_if_planned!($call);
                call_next!(stringify!($name), fn($($type),*) -> $result, $($argument),*)
            }
        )*
    };
}

replace! {
    Call::Accept, accept4(socket: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int;
    Call::Socket, socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    Call::Connect, connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int;
    Call::SetOption, setsockopt(
        socket: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t
    ) -> c_int;
    Call::GetOption, getsockopt(
        socket: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut socklen_t
    ) -> c_int;
    Call::Sync, fsync(file: c_int) -> c_int;
    Call::Sync, fdatasync(file: c_int) -> c_int;
    Call::Truncate, ftruncate64(file: c_int, length: off64_t) -> c_int;
    Call::Rename, rename(from: *const c_char, to: *const c_char) -> c_int;
}

#[no_mangle]
extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = planned_length!(Call::Receive, length);
    call_next!("recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t, socket, buffer, length, flags)
}

#[no_mangle]
extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = planned_length!(Call::Send, length);
    call_next!("send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t, socket, buffer, length, flags)
}

#[no_mangle]
extern "C" fn writev(file: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    match next_failure(Call::Send) {
        Some(Failure::Error(error)) => fail(error) as ssize_t,
        Some(Failure::Short) if count > 0 => {
            // SAFETY: the caller passes `count` valid buffers.
            let first = unsafe { &*buffers };
            let part = iovec { iov_base: first.iov_base, iov_len: first.iov_len.div_ceil(3) };
            call_next!("writev", fn(c_int, *const iovec, c_int) -> ssize_t, file, &part, 1)
        }
        _ => call_next!("writev", fn(c_int, *const iovec, c_int) -> ssize_t, file, buffers, count),
    }
}

// The mode is passed whether or not the flags require one: the C library's function ignores it otherwise.
#[no_mangle]
extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    fail_if_planned!(Call::Open);
    open_file(path, flags, mode)
}

#[no_mangle]
extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    fail_if_planned!(Call::Open);
    open_file(path, flags, mode)
}

fn open_file(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller passes the arguments of `open`.
    let file: c_long = unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) };
    file as c_int
}

#[no_mangle]
extern "C" fn read(file: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    let length = planned_length!(Call::Read, length);
    call_next!("read", fn(c_int, *mut c_void, size_t) -> ssize_t, file, buffer, length)
}

#[no_mangle]
extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let length = if file <= LAST_STANDARD_STREAM { length } else { planned_length!(Call::Write, length) };
    call_next!("write", fn(c_int, *const c_void, size_t) -> ssize_t, file, buffer, length)
}

#[no_mangle]
extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = call_next!("clock_gettime", fn(clockid_t, *mut timespec) -> c_int, clock, time);
    let offset = clock_offset();
    if result != 0 || clock != CLOCK_REALTIME || offset == 0 {
        return result;
    }
    // SAFETY: the call has succeeded, so that the caller's pointer is valid.
    let time = unsafe { &mut *time };
    let total = time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec + offset;
    time.tv_sec = total.div_euclid(NANOSECONDS_PER_SECOND);
    time.tv_nsec = total.rem_euclid(NANOSECONDS_PER_SECOND);
    result
}
