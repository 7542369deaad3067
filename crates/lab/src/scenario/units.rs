//! Values with units, as the file writes them.

use opalpulley::Micros;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// A span of time in µs; written with a unit: `"300us"`, `"20ms"`, `"2.5s"`, `"5m"`, `"1h"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

pub type Spans = Vec<Span>;

const UNITS: [(&str, f64); 5] = [
    ("us", 1.0),
    ("ms", 1e3),
    ("s", 1e6),
    ("m", 60e6),
    ("h", 3600e6),
];

impl Span {
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// From text with a unit; what is wrong is told.
    pub fn parse(text: &str) -> Result<Span, String> {
        let split = text
            .find(|c: char| c.is_ascii_alphabetic())
            .unwrap_or(text.len());
        let (figure, unit) = (text[..split].trim(), &text[split..]);
        let mend = "write a figure and a unit: 300us, 20ms, 2.5s, 5m or 1h";
        let (_, size) = UNITS
            .iter()
            .find(|(u, _)| *u == unit)
            .ok_or(format!("\"{text}\": {mend}"))?;
        let figure: f64 = figure.parse().map_err(|_| format!("\"{text}\": {mend}"))?;
        match figure * size {
            span if (0.0..9e15).contains(&span) => Ok(Span(span.round() as Micros)),
            _ => Err(format!("\"{text}\": is out of range, {mend}")),
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (unit, size) = UNITS
            .iter()
            .rev()
            .find(|(_, s)| self.0 as f64 >= *s)
            .unwrap_or(&UNITS[0]);
        write!(f, "{}{unit}", self.0 as f64 / size)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Span;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                write!(f, "a time with a unit, such as \"2.5s\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                Span::parse(text).map_err(E::custom)
            }
        }
        from.deserialize_str(Text)
    }
}
