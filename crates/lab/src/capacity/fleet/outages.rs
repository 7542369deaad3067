//! Random outages of the destinations. Outages of different destinations are independent, and on average a fixed share of
//! all destinations is down at any time.

use super::plan::{Plan, SECOND};
use crate::random::{exponential, seeded_rng};
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Draws the times of outages.
pub struct Outages {
    /// Mean share of the destinations that is down, 0 to 1.
    down_share: f64,
    /// Mean duration of an outage, in µs.
    mean_outage: f64,
    rng: Pcg64Mcg,
}

impl Outages {
    /// Creates the generator with the plan's shares and seed.
    pub fn new(plan: &Plan) -> Outages {
        Outages {
            down_share: plan.down_share,
            mean_outage: plan.outage_seconds * SECOND as f64,
            rng: seeded_rng(plan.seed, "outages", 0),
        }
    }

    /// Draws the time at which the first outage of a destination begins, in µs; it is 0 for an outage that began before the
    /// run. Returns `None` if the plan has no outages.
    pub fn first_start(&mut self) -> Option<Micros> {
        if self.down_share <= 0.0 {
            return None;
        }
        let down = self.rng.random_bool(self.down_share);
        Some(if down { 0 } else { self.draw_duration(false) })
    }

    /// Draws an exponentially distributed duration, in µs: that of an outage if `down`, or else of the time between two
    /// outages of a destination.
    pub fn draw_duration(&mut self, down: bool) -> Micros {
        let mean = if down {
            self.mean_outage
        } else {
            self.mean_outage * (1.0 - self.down_share) / self.down_share
        };
        (mean * exponential(&mut self.rng)).max(1.0) as Micros
    }
}
