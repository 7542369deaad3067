//! When destinations are down: each by itself, so that a fixed part of all is down at any time.

use super::plan::{Plan, SECOND};
use crate::random::{exponential, seeded_rng};
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Draws the outages of destinations.
pub struct Outages {
    down_share: f64,
    mean_outage: f64, // µs
    rng: Pcg64Mcg,
}

impl Outages {
    /// The outages of a plan.
    pub fn new(plan: &Plan) -> Outages {
        Outages {
            down_share: plan.down_share,
            mean_outage: plan.outage_seconds * SECOND as f64,
            rng: seeded_rng(plan.seed, "outages", 0),
        }
    }

    /// When the first outage of a destination begins: at the first moment where one lasts from before the run.
    pub fn first_start(&mut self) -> Option<Micros> {
        if self.down_share <= 0.0 {
            return None;
        }
        let down = self.rng.random_bool(self.down_share);
        Some(if down { 0 } else { self.draw_duration(false) })
    }

    /// How long an outage lasts that begins now, or how long it is until the next where one has ended.
    pub fn draw_duration(&mut self, down: bool) -> Micros {
        let mean = if down {
            self.mean_outage
        } else {
            self.mean_outage * (1.0 - self.down_share) / self.down_share
        };
        (mean * exponential(&mut self.rng)).max(1.0) as Micros
    }
}
