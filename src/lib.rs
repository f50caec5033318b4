//! linnethook decides which cache answers a request, and where a missing copy is filled from.
//!
//! [`brain`] holds every decision; [`interface`] is all that it says to and hears from the world.
//! The other modules are mechanical and hold no decision and no tuned value: [`ring`], [`filter`],
//! [`measure`], [`health`] and [`purges`] are given every figure by the brain, [`state`] is what it remembers.

pub mod brain;
pub mod filter;
pub mod health;
pub mod interface;
pub mod measure;
pub mod purges;
pub mod ring;
pub mod state;

pub use brain::Brain;
