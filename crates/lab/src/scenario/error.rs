//! The error for an invalid scenario file.

use super::validation::InvalidValue;

/// A scenario file that can't be read or is invalid, with the position of the problem and what to write instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}{}:{} {problem}", line_suffix(*line), key_suffix(key))]
pub struct ScenarioError {
    /// Name of the file, as the caller gave it.
    pub file: String,
    /// Line of the problem, counted from 1, if known.
    pub line: Option<usize>,
    /// Key of the invalid value, such as `destinations[1].rate`; empty if not known.
    pub key: String,
    /// The invalid value and what to write instead.
    pub problem: String,
}

impl ScenarioError {
    /// Builds the error for text that is not TOML, or that has an unknown or missing key or a value of the wrong type.
    pub(super) fn from_toml_error(
        error: &toml::de::Error,
        text: &str,
        file: &str,
    ) -> ScenarioError {
        ScenarioError {
            file: file.into(),
            line: error.span().map(|span| line_at(text, span.start)),
            key: String::new(),
            problem: error.message().trim().replace('\n', "; "),
        }
    }

    /// Builds the error for a value out of range, and looks up the line of its key in `text`.
    pub(super) fn from_invalid_value(
        invalid: InvalidValue,
        text: &str,
        file: &str,
    ) -> ScenarioError {
        ScenarioError {
            file: file.into(),
            line: line_of_key(text, &invalid.key),
            key: invalid.key,
            problem: invalid.problem,
        }
    }
}

fn line_suffix(line: Option<usize>) -> String {
    line.map_or(String::new(), |line| format!(":{line}"))
}

fn key_suffix(key: &str) -> String {
    if key.is_empty() {
        return String::new();
    }
    format!(" {key}:")
}

/// Returns the line, counted from 1, of the byte at `byte_index`.
fn line_at(text: &str, byte_index: usize) -> usize {
    text[..byte_index.min(text.len())].matches('\n').count() + 1
}

/// Returns the line of a key such as `destinations[1].rate`; none if the text doesn't hold each part of the key.
fn line_of_key(text: &str, key: &str) -> Option<usize> {
    let table = toml::de::DeTable::parse(text).ok()?;
    let mut value = toml::de::DeValue::Table(table.get_ref().clone());
    let mut line = None;
    for part in key.split('.') {
        let (name, index) = split_index(part);
        let entry = value.get(name)?;
        line = Some(line_at(text, entry.span().start));
        let mut nested = entry.get_ref().clone();
        if let Some(index) = index {
            let element = nested.get(index)?;
            line = Some(line_at(text, element.span().start));
            let element = element.get_ref().clone();
            nested = element;
        }
        value = nested;
    }
    line
}

/// Splits a part of a key, such as `destinations[1]`, into its name and its index.
fn split_index(part: &str) -> (&str, Option<usize>) {
    match part.split_once('[') {
        Some((name, index)) => (name, index.trim_end_matches(']').parse().ok()),
        None => (part, None),
    }
}
