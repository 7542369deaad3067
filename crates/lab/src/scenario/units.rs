//! Values with units, as the file writes them.

use opalpulley::Micros;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Why a text is no span of time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseSpanError {
    /// It is not a figure followed by a known unit.
    #[error("\"{text}\": {SPAN_FORMAT_HELP}")]
    Malformed { text: String },
    /// It is negative, or too long to be counted in µs.
    #[error("\"{text}\": is out of range, {SPAN_FORMAT_HELP}")]
    OutOfRange { text: String },
}

const SPAN_FORMAT_HELP: &str = "write a figure and a unit: 300us, 20ms, 2.5s, 5m or 1h";
/// A span must be shorter, µs: up to here `f64` still counts each one.
const SPAN_LIMIT_MICROS: f64 = 9e15;

/// A span of time in µs; written with a unit: `"300us"`, `"20ms"`, `"2.5s"`, `"5m"`, `"1h"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

/// Spans of time, as a list of the file.
pub type Spans = Vec<Span>;

const UNITS: [(&str, f64); 5] = [
    ("us", 1.0),
    ("ms", 1e3),
    ("s", 1e6),
    ("m", 60e6),
    ("h", 3600e6),
];

impl Span {
    /// The span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Reads a figure with a unit.
    pub fn parse(text: &str) -> Result<Span, ParseSpanError> {
        let malformed = || ParseSpanError::Malformed { text: text.into() };
        let unit_start = text
            .find(|c: char| c.is_ascii_alphabetic())
            .unwrap_or(text.len());
        let (number, unit) = (text[..unit_start].trim(), &text[unit_start..]);
        let (_, micros_per_unit) = UNITS
            .iter()
            .find(|(symbol, _)| *symbol == unit)
            .ok_or_else(malformed)?;
        let number: f64 = number.parse().map_err(|_| malformed())?;
        let micros = number * micros_per_unit;
        if !(0.0..SPAN_LIMIT_MICROS).contains(&micros) {
            return Err(ParseSpanError::OutOfRange { text: text.into() });
        }
        Ok(Span(micros.round() as Micros))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, micros_per_unit) = UNITS
            .iter()
            .rev()
            .find(|(_, micros)| self.0 as f64 >= *micros)
            .unwrap_or(&UNITS[0]);
        write!(f, "{}{unit}", self.0 as f64 / micros_per_unit)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Span, D::Error> {
        struct SpanVisitor;
        impl Visitor<'_> for SpanVisitor {
            type Value = Span;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                write!(f, "a time with a unit, such as \"2.5s\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                Span::parse(text).map_err(E::custom)
            }
        }
        deserializer.deserialize_str(SpanVisitor)
    }
}
