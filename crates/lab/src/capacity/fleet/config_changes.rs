//! Random changes of the endpoint list: when the next change occurs and what it changes.

use super::layout::Layout;
use super::plan::{Plan, SECOND};
use super::receivers::Receivers;
use crate::random::{exponential, seeded_rng};
use opalpulley::{EndpointEntry, EndpointStatus, Micros};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Share of the changes that move a destination to another address. The other changes list another rate for it.
const MOVE_SHARE: f64 = 0.3;
/// Range of the factor by which a change of rate multiplies the rate of a destination.
const RATE_FACTOR: std::ops::Range<f64> = 0.5..2.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Draws the random changes of a run.
pub struct ConfigChanges {
    /// Mean number of changes in a simulated day; 0 for none.
    changes_per_day: f64,
    /// Number of destinations, each equally likely to change.
    destinations: u32,
    rng: Pcg64Mcg,
}

impl ConfigChanges {
    /// Creates the generator with the plan's rate and seed.
    pub fn new(plan: &Plan) -> ConfigChanges {
        let rng = seeded_rng(plan.seed, "changes", 0);
        ConfigChanges {
            changes_per_day: plan.changes_a_day,
            destinations: plan.destinations,
            rng,
        }
    }

    /// Draws the delay until the next change, in µs; the delays are exponentially distributed. Returns `None` if the plan
    /// has no random changes.
    pub fn draw_delay(&mut self) -> Option<Micros> {
        let mean = SECONDS_PER_DAY / self.changes_per_day * SECOND as f64;
        (self.changes_per_day > 0.0).then(|| (exponential(&mut self.rng) * mean) as Micros + 1)
    }

    /// Draws a change and applies it to the receiver of the destination. Returns the changed entries of the endpoint list.
    pub fn draw_change(
        &mut self,
        layout: &Layout,
        receivers: &mut Receivers,
    ) -> Vec<EndpointEntry> {
        let destination = self.rng.random_range(0..self.destinations);
        let (incarnation, rate) = receivers.address_and_rate(destination);
        if self.rng.random_bool(MOVE_SHARE) {
            let new_incarnation = receivers.relocate(destination);
            let removed =
                layout.list_entry(destination, incarnation, rate, EndpointStatus::Removed);
            return vec![
                removed,
                layout.list_entry(destination, new_incarnation, rate, EndpointStatus::Ready),
            ];
        }
        let rate = rate * self.rng.random_range(RATE_FACTOR);
        receivers.set_rate(destination, rate);
        vec![layout.list_entry(destination, incarnation, rate, EndpointStatus::Ready)]
    }
}
