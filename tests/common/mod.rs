//! A forwarder in simulated surroundings, and an oracle that checks the service rules on everything
//! it does.
//!
//! The oracle knows the service rules and what happened, but nothing of the decision core's state.
//! A test drives a [`World`]; every step of it fails with the rule that the forwarder broke.
//!
//! Each test program uses a part of this module, hence the allowance for unused code.
#![allow(dead_code, unused_imports)]

mod fixtures;
mod history;
mod message_table;
mod oracle;
mod world;

pub use fixtures::*;
pub use history::{check_history, run_history, HistoryOptions};
pub use message_table::{Attempt, MessageTable, TrackedMessage};
pub use world::World;

/// The result of a step. The error says which rule was broken, when and by what.
pub type CheckResult<T = ()> = Result<T, String>;
