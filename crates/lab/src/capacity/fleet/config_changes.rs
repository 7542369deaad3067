//! Changes of configuration: when the next one comes, and what it changes.

use super::layout::Layout;
use super::plan::{Plan, SECOND};
use super::receivers::Receivers;
use crate::random::{exponential, seeded_rng};
use opalpulley::{EndpointEntry, EndpointStatus, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The part of the changes that move a destination to another address; the others tell another rate.
const MOVE_SHARE: f64 = 0.3;
/// A told rate becomes so many times what it was.
const RATE_FACTOR: std::ops::Range<f64> = 0.5..2.0;
/// Seconds.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Draws the changes of configuration.
pub struct ConfigChanges {
    changes_per_day: f64,
    destinations: u32,
    rng: Pcg64Mcg,
}

impl ConfigChanges {
    /// The changes of a plan.
    pub fn new(plan: &Plan) -> ConfigChanges {
        let rng = seeded_rng(plan.seed, "changes", 0);
        ConfigChanges {
            changes_per_day: plan.changes_a_day,
            destinations: plan.destinations,
            rng,
        }
    }

    /// How long it is until the next one; none where none comes by itself.
    pub fn draw_delay(&mut self) -> Option<Micros> {
        let mean = SECONDS_PER_DAY / self.changes_per_day * SECOND as f64;
        (self.changes_per_day > 0.0).then(|| (exponential(&mut self.rng) * mean) as Micros + 1)
    }

    /// Draws one and has the destination follow it: another rate, or another address. Gives the lines of the list.
    pub fn draw_change(
        &mut self,
        layout: &Layout,
        receivers: &mut Receivers,
    ) -> Vec<EndpointEntry> {
        let destination = self.rng.random_range(0..self.destinations);
        let (incarnation, rate) = receivers.address_and_rate(destination);
        if self.rng.random_bool(MOVE_SHARE) {
            let new = receivers.relocate(destination);
            let removed =
                layout.list_entry(destination, incarnation, rate, EndpointStatus::Removed);
            return vec![
                removed,
                layout.list_entry(destination, new, rate, EndpointStatus::Ready),
            ];
        }
        let rate = rate * self.rng.random_range(RATE_FACTOR);
        receivers.set_rate(destination, rate);
        vec![layout.list_entry(destination, incarnation, rate, EndpointStatus::Ready)]
    }
}
