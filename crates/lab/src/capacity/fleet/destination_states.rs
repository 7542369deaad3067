//! How much of its destinations a forwarder held in full and how much as summaries, as the run ended.

use super::report::MeanAndWorst;
use super::simulated_forwarder::SimulatedForwarder;
use opalpulley::StateCounts;
use serde::Serialize;

/// One value a forwarder each, over the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct DestinationStates {
    /// Destinations held in full at the end.
    pub full: MeanAndWorst,
    /// Most destinations held in full at once.
    pub most_full: MeanAndWorst,
    /// Idle targets at the end, each a summary.
    pub summaries: MeanAndWorst,
    /// Idle targets with something that binds.
    pub bounds: MeanAndWorst,
    /// Destinations restored, and summarised, in the whole run.
    pub restored: MeanAndWorst,
    pub summarised: MeanAndWorst,
}

impl DestinationStates {
    /// What these forwarders hold.
    pub fn of(forwarders: &[SimulatedForwarder]) -> DestinationStates {
        let counts: Vec<StateCounts> = forwarders
            .iter()
            .map(SimulatedForwarder::state_counts)
            .collect();
        let over = |of: fn(&StateCounts) -> f64| MeanAndWorst::of(counts.iter().map(of));
        DestinationStates {
            full: over(|c| c.full as f64),
            most_full: over(|c| c.most_full as f64),
            summaries: over(|c| c.summaries as f64),
            bounds: over(|c| c.bounds as f64),
            restored: over(|c| c.restored as f64),
            summarised: over(|c| c.summarised as f64),
        }
    }
}
