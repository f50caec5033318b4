//! linnethook decides which cache answers a request, and where a missing copy is filled from.
//!
//! [`brain`] holds every decision; [`interface`] is all that it says to and hears from the world.
//! [`ring`], [`filter`], [`measure`] and [`purges`] are mechanical: they hold no decision and no tuned value.

pub mod brain;
pub mod filter;
pub mod interface;
pub mod measure;
pub mod purges;
pub mod ring;

pub use brain::Brain;
