//! What subcommands write: files, JSON and a progress bar.

use super::error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Writes a text file.
pub fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(CommandError::file(path))
}

/// Writes a value as an indented JSON file.
pub fn write_json<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)? + "\n";
    write_file(path, &text)
}

/// Creates a folder and those above it.
pub fn create_dir(path: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(path).map_err(CommandError::file(path))
}

/// A progress bar in seconds of the run; hidden where stderr is no terminal.
pub fn progress_bar(name: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg:24} {wide_bar} {pos}/{len} s {elapsed}");
    ProgressBar::new(0)
        .with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
        .with_message(name.to_owned())
}

/// A callback that moves the bar: time passed and length of the run, both in µs.
pub fn progress_callback(bar: &ProgressBar) -> impl FnMut(u64, u64) + '_ {
    |elapsed, run_duration| {
        bar.set_length(run_duration / MICROS_PER_SECOND);
        bar.set_position(elapsed / MICROS_PER_SECOND);
    }
}
