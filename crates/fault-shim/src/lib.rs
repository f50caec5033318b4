//! Lets system calls of a process fail. A test sets `LD_PRELOAD` to this library, and
//! [`PLAN_VARIABLE`](plan::PLAN_VARIABLE) to a plan file that it may rewrite while the process runs.
//!
//! - [`plan`]: the layout of the plan file;
//! - [`injection`]: whether and how the current call fails;
//! - [`functions`]: the functions of the C library that are replaced.
//!
//! Calls that bypass the C library, as those of `epoll` by the crate `polling`, are not seen.

pub mod plan;

mod functions;
mod injection;
