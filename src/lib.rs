//! The decision core of opalpulley, a dispatcher of notifications to outside receivers.
//!
//! [`Forwarder::handle`] takes an [`Event`] and returns the [`Action`]s to carry out. The core
//! performs no I/O and reads no clock: its caller translates wire protocols into events and carries
//! out the actions. The same configuration, seed and sequence of events always produce the same
//! actions.
//!
//! `policy` holds the rules, one per file, with their constants. `forwarder`, `destination` and
//! `endpoint` hold the state and call the rules. `idle` holds the summaries of destinations that
//! are not in use. [`model`] defines the shared types. `queue`, `token_bucket` and `latency` are
//! data structures that make no decisions.

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
pub use policy::list_confirmation;
pub use policy::list_polling::MAX_POLL_SILENCE;
pub use policy::recovery;
