//! A discrete-event model, in virtual time, of what the router balances. Its routers are the shipped decision module.
//!
//! - [`world`]: a fleet with its routers, caches, parents, origin, links, clients and faults;
//! - [`plain`]: plain ways to decide, to compare with;
//! - [`queue`]: the events that are to come, in their order;
//! - [`fair`]: a link that its transfers share evenly;
//! - [`copies`]: what a cache keeps, and what goes first;
//! - [`demand`]: which objects are asked for, and how large they are.
//!
//! Nothing here reads a clock or draws chance of its own: one seed, one run. `docs/model.md` says what is compared with
//! what.

pub mod copies;
pub mod demand;
pub mod fair;
pub mod plain;
pub mod queue;
pub mod world;

/// Virtual time, in whole microseconds: times compare alike on every machine.
pub type Micros = u64;
