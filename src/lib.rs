//! The decision core of opalpulley: a dispatcher of notifications to outside receivers.
//!
//! [`rules`] holds every decision on messages and endpoints (`queue` keeps the order of those that wait, `bucket` and `times`
//! the arithmetic of rates and answer times: none decides), `membership` when the list is asked for,
//! `gossip` what forwarders tell their peers, [`interface`] the plain data that goes in and out. None knows of any
//! wire: a front end translates its protocol into [`model::Event`]s and carries out the [`model::Action`]s.

mod bucket;
mod gossip;
mod membership;
pub mod model;
mod queue;
pub mod rules;
mod times;

pub use membership::LONGEST_SILENCE;
pub use model::*;
pub use rules::{Forwarder, StateCounts};
