//! The errors of the experiments.

use crate::load::ReplayError;
use crate::scenario::ScenarioError;

/// Why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// An assignment has no `=` between its key and its value.
    #[error("{assignment}: write the assignment as KEY=VALUE")]
    NotKeyAndValue { assignment: String },
    /// The key names an entry of a value that is not a table.
    #[error("{key}: {name} must be an entry of a table")]
    NotInTable { key: String, name: String },
    /// The index in the key is not a number.
    #[error("{key}: the index [{index}] must be a whole number from 0 on")]
    InvalidIndex { key: String, index: String },
    /// The key gives an index of a value that is not a list, or the list is too short for it.
    #[error("{key}: there is no list element [{index}]")]
    IndexOutOfRange { key: String, index: usize },
    /// The scenario can't be serialized as TOML, the form in which values are changed.
    #[error(transparent)]
    Toml(#[from] toml::ser::Error),
    /// The scenario is invalid with the changed values.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The submission times of a load can't be read from their file.
    #[error(transparent)]
    Replay(#[from] ReplayError),
    /// The search for the worst case generated no scenario.
    #[error("no scenario was generated")]
    NoScenarioGenerated,
}
