//! Streams of messages and their rate over time.

use super::{defaults, Span};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// A stream of messages, each due at its time whatever became of those before.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The name of the stream; for the reader only.
    #[serde(default)]
    pub name: String,
    /// Messages a second in the mean.
    pub rate: f64,
    /// How the rate changes over time.
    #[serde(default)]
    pub shape: Shape,
    /// Names of destinations; none for all.
    #[serde(default)]
    pub destinations: Vec<String>,
    /// Zipf's exponent over them; 0 spreads by weight.
    #[serde(default)]
    pub skew: f64,
    /// Names of delivery classes, drawn evenly; none for all.
    #[serde(default, rename = "profiles")]
    pub classes: Vec<String>,
    /// The tenant of all its messages.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Order keys, drawn evenly, for ordered classes.
    #[serde(default = "defaults::keys")]
    pub keys: u64,
    /// Some messages have less time than their class gives them.
    #[serde(default, rename = "short")]
    pub short_deadlines: Option<ShortDeadlines>,
    /// Bytes of a body on sockets.
    #[serde(default = "defaults::body_bytes", rename = "body")]
    pub body_bytes: usize,
    /// How often a client submits a message again after a rejection, at most.
    #[serde(default = "defaults::resubmissions", rename = "returns")]
    pub resubmissions: u32,
}

/// The part of the messages that have only `left` until their deadline.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShortDeadlines {
    /// The part of the messages.
    pub share: f64,
    /// Their time to live.
    pub left: Span,
}

/// The rate of a stream over time, as a multiple of its mean rate.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Shape {
    /// Exponential times between messages.
    #[default]
    Poisson,
    /// Even times between messages.
    Even,
    /// From each time on, so many times the rate.
    Steps { steps: Vec<(Span, f64)> },
    /// On for so long at `times` the rate, then off for so long (at `rest` times the rate).
    Bursts {
        on: Span,
        off: Span,
        times: f64,
        #[serde(default)]
        rest: f64,
    },
    /// One wave a day, from `least` to `most` times the rate.
    Day { day: Span, least: f64, most: f64 },
    /// Times in seconds, one a line, a second column may name the destination by number. Beside the scenario file.
    Replay { file: PathBuf },
}
