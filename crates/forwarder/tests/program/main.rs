//! Tests of the program, which runs between scripted peers on the loopback interface.

#[path = "../common/mod.rs"]
mod common;

mod calls_out;
mod changed_settings;
mod configuration;
mod connections;
mod endpoint_list;
mod memory;
mod message_log;
mod outdated_list;
mod restarts;
mod submissions;
