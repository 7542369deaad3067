//! Simulates the surroundings of a forwarder and checks the service rules on everything that it
//! does.
//!
//! A test drives a [`World`]. After every step, an oracle checks the actions of the forwarder and
//! fails the step with the rule that was broken. The oracle knows the service rules and the past
//! events, but no state of the decision core.
//!
//! Each test program uses only a part of this module, so unused code is allowed.
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

/// Result of a step of the simulation. The error names the rule that was broken, the time and the
/// action that broke it.
pub type CheckResult<T = ()> = Result<T, String>;
