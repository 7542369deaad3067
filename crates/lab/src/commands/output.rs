//! The output of the subcommands: files, JSON and a progress bar.

use super::error::CommandError;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::Path;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Writes a text file, replacing an existing one.
pub fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(CommandError::file(path))
}

/// Writes a value as indented JSON, replacing an existing file.
pub fn write_json<T: serde::Serialize>(path: &Path, value: &T) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value)? + "\n";
    write_file(path, &text)
}

/// Creates a directory and its missing parents.
pub fn create_dir(path: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(path).map_err(CommandError::file(path))
}

/// Creates a progress bar that counts the seconds of a run. It is hidden if stderr is not a terminal.
pub fn progress_bar(name: &str) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{msg:24} {wide_bar} {pos}/{len} s {elapsed}");
    ProgressBar::new(0)
        .with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
        .with_message(name.to_owned())
}

/// Returns a callback that updates the bar from the elapsed time and the duration of the run, both in µs.
pub fn progress_callback(bar: &ProgressBar) -> impl FnMut(u64, u64) + '_ {
    |elapsed, run_duration| {
        bar.set_length(run_duration / MICROS_PER_SECOND);
        bar.set_position(elapsed / MICROS_PER_SECOND);
    }
}
