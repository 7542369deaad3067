//! The streams of messages of a scenario and their rates over time.

use super::{defaults, Span};
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// A stream of messages in an open loop: the time at which a message is due doesn't depend on the outcome of earlier
/// messages.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Name of the stream, for readers of the file; nothing refers to it.
    #[serde(default)]
    pub name: String,
    /// Mean rate in messages per second; above 0.
    pub rate: f64,
    /// Rate over time, relative to the mean rate.
    #[serde(default)]
    pub shape: Shape,
    /// Names of the groups of destinations; empty for all.
    #[serde(default)]
    pub destinations: Vec<String>,
    /// Exponent of the Zipf distribution over the destinations; 0 distributes the messages by weight.
    #[serde(default)]
    pub skew: f64,
    /// Names of the delivery classes, drawn uniformly; empty for all.
    #[serde(default, rename = "profiles")]
    pub classes: Vec<String>,
    /// Name of the tenant of all messages, if any.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Number of order keys, drawn uniformly, for ordered classes.
    #[serde(default = "defaults::keys")]
    pub keys: u64,
    /// Messages with a shorter time to live than that of their class, if any.
    #[serde(default, rename = "short")]
    pub short_deadlines: Option<ShortDeadlines>,
    /// Size of a message body on sockets, in bytes; at most 65536.
    #[serde(default = "defaults::body_bytes", rename = "body")]
    pub body_bytes: usize,
    /// Upper bound on the number of times that a client resubmits a rejected message.
    #[serde(default = "defaults::resubmissions", rename = "returns")]
    pub resubmissions: u32,
}

/// Gives some messages of a stream a shorter time to live.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ShortDeadlines {
    /// Share of the messages with the shorter time to live, from 0 to 1.
    pub share: f64,
    /// Time to live of these messages, if shorter than that of their class.
    pub left: Span,
}

/// The rate of a stream over time, as a multiple of its mean rate.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Shape {
    /// A Poisson process: exponentially distributed intervals.
    #[default]
    Poisson,
    /// Equal intervals.
    Even,
    /// Steps, each with its start and the multiple of the mean rate from then on. Must be sorted by start.
    Steps { steps: Vec<(Span, f64)> },
    /// Alternates between `on` at `times` the mean rate and `off` at `rest` times the mean rate.
    Bursts {
        on: Span,
        off: Span,
        times: f64,
        #[serde(default)]
        rest: f64,
    },
    /// A sine wave with the period `day`, from `least` to `most` times the mean rate.
    Day { day: Span, least: f64, most: f64 },
    /// Times from a file beside the scenario file: one per line, in seconds; a second column may give the number of the
    /// destination.
    Replay { file: PathBuf },
}
