//! Experiments on the model of the fleet.
//!
//! - [`experiment`]: reads and validates an experiment file in Starlark; [`settings`] and [`faults`]: the
//!   parameters and fault kinds that it may use;
//! - [`play`]: runs every variant with every seed on several threads; [`rows`]: the file of results;
//! - [`compare`]: paired differences by seed, with confidence intervals;
//! - [`hunt`]: searches for the worst run, or one that breaks a rule, and shrinks it to a short script;
//! - [`load`]: an open-loop load on real routers; [`sockets`]: a plan run on cache servers of the testbed
//!   and routers;
//! - [`scale`]: the cost of a router as the fleet grows, in virtual time and on sockets, with slopes;
//! - [`plot`], [`report`]: charts as SVG, and an HTML page that contains them.

pub mod compare;
pub mod experiment;
pub mod faults;
pub mod hunt;
pub mod load;
pub mod play;
pub mod plot;
pub mod report;
pub mod rows;
pub mod scale;
pub mod settings;
pub mod sockets;
