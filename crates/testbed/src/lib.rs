//! Everything that a router talks to, for tests and measurements on loopback: servers, discovery, links and
//! clients with scripted faults, and the checker that judges the recorded traffic.
//!
//! - [`recording`]: timestamped events of the traffic, recorded by the testbed and not by the router;
//! - [`rules`]: the rules, their bounds, and breaches of them;
//! - [`checker`]: checks a recording against the rules, without relying on anything that the router reports;
//! - [`aggregates`]: the checker's rule on the location summaries that routers show;
//! - [`cold_start`]: the load that all routers together put on servers that warm up, from a recording;
//! - [`faults`]: faults of a server, by time or by count;
//! - [`server`], [`cache_server`]: caches, parents and the origin on sockets, with copies, fills and
//!   overload;
//! - [`process_cluster`]: servers with their journal services, and routers as processes;
//! - [`load`]: clients that send requests in an open loop;
//! - [`fault_proxy`]: a proxy on a link that delays, throttles, drops or cuts, and two sites around one;
//! - [`cold_restart`]: routers that start at once during an outage of discovery, and when each reports ready;
//! - [`harness`]: routers of one cluster as processes, with links, faults and scripts between them;
//! - [`scale`]: many routers, real processes next to hollow ones, with measurements for each router;
//! - [`two_sites`]: two gateways and the link between them, in virtual time.
//!
//! All sockets use ports that the system assigns. Times are wall-clock times of the machine: the testbed
//! itself makes no statement about speed.

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
