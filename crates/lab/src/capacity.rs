//! Capacity planning: memory, processor time and other resource usage of the core and of the forwarder program,
//! measured at several sizes, with the slope of each figure against the size. `docs/CAPACITY.md` is based on these
//! figures. Each size is measured in a process of its own, so that memory retained from an earlier size does not
//! distort the figures.
//!
//! The options and figures call an endpoint a target, a health check a probe, and an entry of the endpoint list a line.

pub mod backlog;
pub mod command;
pub mod core;
pub mod error;
pub mod fleet;
pub mod fresh_process;
pub mod outputs;
pub mod process;
pub mod table;
pub mod usage;
