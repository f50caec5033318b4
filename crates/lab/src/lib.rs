//! Experiments on the model of the fleet.
//!
//! - [`experiment`]: the file, in Starlark, checked;
//! - [`play`]: every variant with every seed, on several threads;
//! - [`compare`]: differences by seed with intervals;
//! - [`plot`]: pictures as SVG.

pub mod compare;
pub mod experiment;
pub mod play;
pub mod plot;
