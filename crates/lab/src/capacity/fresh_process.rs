//! Runs a measurement in a fresh process of this program, so that memory retained from an earlier measurement is not
//! counted.

use super::error::CapacityError;
use serde::de::DeserializeOwned;
use std::process::Command;

/// Runs a hidden subcommand of `capacity` in a fresh process and returns the figures that it prints as JSON. Each
/// option is a pair of its name, with the leading dashes, and its value. Fails if the process can't be started, exits
/// with an error or prints anything else.
pub fn measure_in_fresh_process<T: DeserializeOwned>(
    subcommand: &str,
    options: &[(&str, String)],
) -> Result<T, CapacityError> {
    let program = std::env::current_exe().map_err(CapacityError::OwnPath)?;
    let mut command = Command::new(program);
    command.args(["capacity", subcommand]);
    for (name, value) in options {
        command.args([name, value.as_str()]);
    }
    let output = command.output()?;
    if !output.status.success() {
        return Err(CapacityError::FreshProcess {
            stderr: String::from_utf8_lossy(&output.stderr).trim().to_owned(),
        });
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}
