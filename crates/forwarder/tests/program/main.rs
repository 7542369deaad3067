//! The whole program between the laboratory's scripted peers on loopback.

#[path = "../common/mod.rs"]
mod common;

mod configuration;
mod connections;
mod endpoint_list;
mod restarts;
mod submissions;
