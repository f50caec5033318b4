//! Measures the load that the decision modules of many routers together put on a server that has just
//! started.
//!
//! A small fleet in virtual time around the decision module alone: some routers, the caches of their
//! locations, parents, and an origin that never fails. Servers don't crash under overload here, so that the
//! full overload is visible. Simulated are the servers (a response takes its transfer time, longer when more
//! transfers are in progress than the server has capacity for), the network delays, clients that retry
//! rejected requests, and the endpoint list, whose updates each router receives with a delay of its own. Runs
//! with the same seed are identical.

mod clients;
mod deployments;
mod fleet;
mod restart;
mod result;
mod routers;
mod servers;
mod trial;

pub use deployments::{deployments, Deployment, ReadClass};
pub use result::TrialResult;
pub use trial::{ColdServers, Demand, Trial, UpdateDelay};
