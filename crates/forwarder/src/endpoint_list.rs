//! The endpoint list: [`watch`] gets it from the platform's agent, [`table`] has it as it is known.

mod table;
mod watch;

pub use table::EndpointTable;
pub use watch::EndpointListWatch;

#[cfg(test)]
mod golden_tests;
