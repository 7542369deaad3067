//! Spans of time with units, as scenario files write them.

use opalpulley::Micros;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Why a text can't be parsed as a span of time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseSpanError {
    /// The text is not a number followed by a known unit.
    #[error("\"{text}\": {SPAN_FORMAT_HELP}")]
    Malformed { text: String },
    /// The span is negative, or too long to be counted in µs.
    #[error("\"{text}\" is out of range; {SPAN_FORMAT_HELP}")]
    OutOfRange { text: String },
}

const SPAN_FORMAT_HELP: &str = "write a number and a unit: 300us, 20ms, 2.5s, 5m or 1h";
/// Exclusive upper bound on a span, µs. Up to this value an `f64` still represents every integer.
const SPAN_LIMIT_MICROS: f64 = 9e15;

/// A span of time in µs. Scenario files write it with a unit: `"300us"`, `"20ms"`, `"2.5s"`, `"5m"`, `"1h"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

/// A list of spans of time in a scenario file.
pub type Spans = Vec<Span>;

/// The units with their lengths in µs, in ascending order.
const UNITS: [(&str, f64); 5] = [
    ("us", 1.0),
    ("ms", 1e3),
    ("s", 1e6),
    ("m", 60e6),
    ("h", 3600e6),
];

impl Span {
    /// Returns the span in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Parses a number with a unit. Fails if the unit is missing or unknown, or if the span is out of range.
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
                write!(f, "a span of time with a unit, such as \"2.5s\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                Span::parse(text).map_err(E::custom)
            }
        }
        deserializer.deserialize_str(SpanVisitor)
    }
}
