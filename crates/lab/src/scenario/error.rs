//! What is wrong with a scenario file, and where.

use super::validation::InvalidValue;

/// What is wrong with a scenario: at which key and line, with which value, and what to write instead.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}{}:{} {problem}", line_suffix(*line), key_suffix(key))]
pub struct ScenarioError {
    /// The file's name, as it was given.
    pub file: String,
    /// The line, from 1, where it is known.
    pub line: Option<usize>,
    /// The key, such as `destinations[1].rate`; empty where it is not known.
    pub key: String,
    /// The value and what to write instead.
    pub problem: String,
}

impl ScenarioError {
    /// For a text that is no TOML, or whose keys or types are wrong.
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

    /// For a value that no world can have.
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

/// The line, from 1, of a byte of the text.
fn line_at(text: &str, byte_index: usize) -> usize {
    text[..byte_index.min(text.len())].matches('\n').count() + 1
}

/// The line of a key such as `destinations[1].rate`, or of the nearest part of it that the file holds.
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

/// The name and the index of a part of a key, such as `destinations[1]`.
fn split_index(part: &str) -> (&str, Option<usize>) {
    match part.split_once('[') {
        Some((name, index)) => (name, index.trim_end_matches(']').parse().ok()),
        None => (part, None),
    }
}
