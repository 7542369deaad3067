//! The endpoint list: [`watch`] gets it from the platform's agent, and [`table`] holds the known list.

mod table;
mod watch;

pub use table::EndpointTable;
pub use watch::EndpointListWatch;

#[cfg(test)]
mod golden_tests;
