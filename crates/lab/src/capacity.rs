//! Capacity: what the core and the program hold and use, measured at several sizes, and the slope of each figure against the
//! size. `docs/CAPACITY.md` rests on these figures. Each size is measured in a process of its own, so that none
//! inherits the memory of the one before.

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
