//! The decision core of opalpulley: a dispatcher of notifications to outside receivers.
//!
//! [`rules`] holds every decision on messages and endpoints, `policy` the rules that stand by themselves. `queue` keeps
//! the order of waiting messages, `token_bucket` and `latency` the arithmetic of rates and answer times; none of them
//! decides. [`model`] is the plain data that goes in and out. None knows of any wire: a front end translates its protocol
//! into [`model::Event`]s and carries out the [`model::Action`]s.

mod latency;
pub mod model;
mod policy;
mod queue;
pub mod rules;
mod token_bucket;

pub use model::*;
pub use policy::list_polling::LONGEST_SILENCE;
pub use rules::{Forwarder, StateCounts};
