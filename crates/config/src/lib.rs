//! Parses the operators' settings from JSON into the configuration of the decision core. Every program that runs a core
//! uses this crate.
//!
//! `start_object` mirrors the JSON. `settings` validates it, applies the defaults and converts it to the types that the
//! programs use. Unknown keys are ignored.

use opalpulley::Micros;

mod settings;
mod start_object;

pub use settings::{parse_settings, ConnectionConfig, ForwarderSettings, Names, SettingsError};
pub use start_object::StartObject;

/// Number of microseconds in a millisecond. The core counts in microseconds; several fields on the wire are in
/// milliseconds.
pub const MICROS_PER_MILLI: Micros = 1000;
