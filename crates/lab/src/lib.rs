//! The laboratory of opalpulley. It plays scenarios on a simulated clock and on sockets, checks every run against the oracle
//! of the rules, and runs experiments on top of that. Its programs and the tests use it; the forwarder doesn't depend on it.

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
