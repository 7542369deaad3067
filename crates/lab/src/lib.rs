//! The laboratory: one world for two clocks, an oracle of the rules, experiments and reports. Programs and tests use it; the
//! product never does.

// Struct fields and variants without a doc comment: counted in docs/ROADMAP.md.
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
