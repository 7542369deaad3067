//! The decision core of opalpulley: a dispatcher of notifications to outside receivers.
//!
//! [`Forwarder::handle`] takes an [`Event`] and gives the [`Action`]s to carry out. It knows no
//! wire, clock or socket: a front translates its protocol into events and carries out the actions.
//! The same configuration, seed and events give the same actions.
//!
//! `policy` has one rule a file, with its constants. `forwarder`, `destination` and `endpoint` hold
//! the state and call the rules; `idle` holds destinations out of use as summaries. [`model`] is
//! the vocabulary. `queue`, `token_bucket` and `latency` are data structures that decide nothing.

mod destination;
mod endpoint;
mod forwarder;
mod idle;
mod latency;
pub mod model;
mod policy;
mod queue;
mod token_bucket;

pub use forwarder::Forwarder;
pub use idle::StateCounts;
pub use model::*;
pub use policy::list_polling::MAX_POLL_SILENCE;
