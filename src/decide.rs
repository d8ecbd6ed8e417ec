//! Decision logic of the system: plain values in, decisions out.
//!
//! Nothing in this module does I/O, waits, locks or reads a clock; the time is an argument. Tests
//! can therefore drive it through any order of failures.

pub mod access;
pub mod admission;
pub mod append_limit;
pub mod estimate;
pub mod executor;
pub mod fleet;
pub mod health;
pub mod intake;
pub mod intent;
pub mod key;
pub mod lateness;
pub mod leadership;
pub mod lease;
pub mod progress_rate;
pub mod replica;
pub mod retry;
pub mod roster;
pub mod round_trip;
pub mod slot;
pub mod start_rate;
pub mod table;
pub mod wave;
pub mod window;
