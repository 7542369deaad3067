//! The laboratory of opalpulley. It runs scenarios on a simulated clock and on sockets, lets an oracle check every run against
//! the platform's rules, runs experiments that consist of many runs, and measures the capacity of forwarders. Its programs and
//! the tests use it; the forwarder doesn't depend on it.

// docs/ROADMAP.md counts the struct fields and variants that still lack a doc comment.
#![allow(missing_docs)]

pub mod capacity;
pub mod experiments;
pub mod load;
pub mod oracle;
pub mod random;
pub mod receivers;
pub mod report;
pub mod scenario;
pub mod scripted;
pub mod sim;
pub mod sockets;
pub mod subject;
pub mod tally;
pub mod world;
