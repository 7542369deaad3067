//! The program between the scripted peers of the laboratory on loopback.

#[path = "../common/mod.rs"]
mod common;

mod configuration;
mod connections;
mod endpoint_list;
mod restarts;
mod submissions;
