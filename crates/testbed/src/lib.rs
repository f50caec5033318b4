//! Everything that a router talks to, for tests and measurements on loopback: servers, discovery, links and clients with
//! faults by script, and the checker that judges what crossed the sockets.
//!
//! - [`recording`]: what crossed the sockets, with times, written by the testbed and not by the router;
//! - [`rules`]: the rules, their bounds, and breaches of them;
//! - [`checker`]: judges a recording by the rules, without trusting the program;
//! - [`aggregates`]: its rule of what routers show of locations;
//! - [`cold_start`]: what servers that warm up were asked for by all routers together, from a recording;
//! - [`faults`]: what befalls a server, by time or by count;
//! - [`server`], [`cache_server`]: caches, parents and the origin on sockets, with copies, fills and overload;
//! - [`process_cluster`]: servers with their journal services, and routers as processes;
//! - [`load`]: clients that ask in an open loop;
//! - [`fault_proxy`]: a proxy on a link that delays, throttles, drops or cuts, and two sites around one;
//! - [`cold_restart`]: routers that start at once while discovery is out of order, and when each says that it is ready;
//! - [`harness`]: routers of one cluster as processes, with links, faults and scripts between them;
//! - [`scale`]: many routers, real processes beside hollow ones, measured by router;
//! - [`two_sites`]: two gateways and the link between them, in virtual time.
//!
//! All sockets are on ports that the system gives. Times are those of the machine: nothing here measures speed by itself.

#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_arguments,
    clippy::too_many_lines,
    clippy::unwrap_used,
    clippy::wildcard_imports
)]

pub mod aggregates;
pub mod cache_server;
pub mod checker;
pub mod cold_restart;
pub mod cold_start;
pub mod fault_proxy;
pub mod faults;
pub mod harness;
pub mod load;
pub mod process_cluster;
pub mod recording;
pub mod rules;
pub mod scale;
pub mod server;
pub mod two_sites;
