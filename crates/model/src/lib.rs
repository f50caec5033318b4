//! A discrete-event simulation, in virtual time, of a fleet behind linnethook. Its routers run the decision
//! module that is shipped.
//!
//! - [`plan`]: a fleet, its load and its faults, and random fault schedules;
//! - [`simulation`]: one run: routers, caches, parents, origin, links and clients;
//! - [`statistics`]: the results of a run;
//! - [`recorder`]: the recording of a run, for the checker that also reads recordings of the testbed;
//! - [`cold`]: the load that all routers together put on servers that start cold; independent of the
//!   simulation;
//! - [`baselines`]: simple routing policies, for comparison;
//! - [`queue`]: the queue of events;
//! - [`fair_link`]: a link that its transfers share evenly;
//! - [`copies`]: the copies that a cache stores, and their eviction;
//! - [`demand`]: which objects are requested, and their sizes.
//!
//! Nothing here reads a clock, and all random numbers come from the seed: runs with the same seed are
//! identical. `docs/model.md` lists what the results are compared with.

pub mod baselines;
pub mod cold;
pub mod copies;
pub mod demand;
pub mod fair_link;
pub mod plan;
pub mod queue;
pub mod recorder;
pub mod simulation;
pub mod statistics;

/// Virtual time in microseconds. An integer, so that times compare alike on every machine.
pub type Micros = u64;
