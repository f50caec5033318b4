//! Stand-ins for what a router talks to, the faults that befall them, and the checker of the rules.
//!
//! - [`recording`]: what crossed the sockets, with times, written by the stand-ins and not by the router;
//! - [`checker`]: judges a record by the rules, without trusting the program;
//! - [`rules`]: the rules, their bounds, and breaches of them;
//! - [`aggregates`]: its rule of what routers show of places as a whole;
//! - [`cold_start`]: what nodes that started cold were asked for by all routers together, from a record;
//! - [`faults`]: what befalls a node, by time or by count;
//! - [`server`], [`cache_server`]: caches, parents and the origin on sockets: they keep, age, fill, join and fall over;
//! - [`process_cluster`]: a whole small fleet with its journal services and routers as processes;
//! - [`load`]: clients that ask in an open loop;
//! - [`fault_proxy`]: a link between two gateways on sockets, with its weather, and both sites around it;
//! - [`cold_restart`]: routers that start at once while discovery is out of order, and when each says that it is ready;
//! - [`harness`]: routers that are fellows as processes, with links, faults and scripts between them;
//! - [`scale`]: many routers, real processes beside hollow ones, measured by router;
//! - [`two_sites`]: two gateways and the link between them, in virtual time.
//!
//! They stand on loopback, on ports that the system gives, and are no yardstick for speed.

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
