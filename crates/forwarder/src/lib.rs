//! opalpulley's forwarder on sockets: one process with one decision core and one actor for each endpoint. The crate is
//! a library with a thin program on top, so that other programs can start a forwarder in process.

mod body;
mod clients;
mod clock;
mod commands;
mod completion_reports;
mod dispatcher;
mod endpoint_list;
mod endpoints;
#[cfg(test)]
mod golden_cases;
mod gossip_socket;
mod http_connection;
mod journal;
mod platform;
mod protocol;
mod reload;
mod shutdown;
mod startup;
mod startup_config;

pub use reload::ReadConfig;
pub use startup::{run, ProcessControl};
pub use startup_config::{ConfigError, StartupConfig};
