//! Why an experiment could not be carried out.

use crate::load::ReplayError;
use crate::scenario::ScenarioError;

/// Why an experiment could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A value to set is not written as a key and a value.
    #[error("{set}: write KEY=VALUE")]
    NotKeyAndValue { set: String },
    /// The key names something in a value that is no table.
    #[error("{key}: {name} is not in a table")]
    NotInTable { key: String, name: String },
    /// The index in the key is no number.
    #[error("{key}: [{index}] is no place")]
    BadIndex { key: String, index: String },
    /// The list is shorter than the index in the key.
    #[error("{key}: there is no [{index}]")]
    NoSuchIndex { key: String, index: usize },
    /// The scenario can't be written as TOML, which is needed to change its values.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The scenario with the changed values is wrong.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The load can't be replayed from its file.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// A hunt drew no world.
    #[error("no world was drawn")]
    NoWorld,
}
