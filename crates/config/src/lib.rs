//! The operators' settings: JSON to the configuration of the core, for every program that runs one.
//!
//! `start_object` is the JSON as it is written, `settings` what the programs use. Unknown keys are skipped.

use opalpulley::Micros;

mod settings;
mod start_object;

pub use settings::{parse_settings, ConnectionConfig, ForwarderSettings, Names, SettingsError};
pub use start_object::StartObject;

/// Microseconds in a millisecond. The core counts in microseconds; several wire fields are in milliseconds.
pub const MICROS_PER_MILLI: Micros = 1000;
