//! The rate of a stream over time.

use crate::scenario::Shape;
use opalpulley::Micros;

impl Shape {
    /// Returns the rate at the time `at`, in µs from the start of the run, as a multiple of the mean rate.
    pub fn rate_multiple(&self, at: Micros) -> f64 {
        match self {
            Shape::Poisson | Shape::Even | Shape::Replay { .. } => 1.0,
            Shape::Steps { steps } => steps
                .iter()
                .rev()
                .find(|(starts_at, _)| starts_at.0 <= at)
                .map_or(1.0, |(_, times)| *times),
            Shape::Bursts {
                on,
                off,
                times,
                rest,
            } => {
                if at % (on.0 + off.0) < on.0 {
                    *times
                } else {
                    *rest
                }
            }
            Shape::Day { day, least, most } => {
                let wave = (std::f64::consts::TAU * at as f64 / day.0 as f64).cos();
                least + (most - least) * (1.0 - wave) / 2.0
            }
        }
    }

    /// Returns an upper bound on `rate_multiple` over all times.
    pub(super) fn max_rate_multiple(&self) -> f64 {
        match self {
            Shape::Poisson | Shape::Even | Shape::Replay { .. } => 1.0,
            Shape::Steps { steps } => steps.iter().map(|(_, times)| *times).fold(1.0, f64::max),
            Shape::Bursts { times, rest, .. } => times.max(*rest),
            Shape::Day { least, most, .. } => least.max(*most),
        }
    }
}
