//! Counts of the destinations that the forwarders held in full and as summaries.

use super::report::MeanAndWorst;
use super::simulated_forwarder::SimulatedForwarder;
use opalpulley::StateCounts;
use serde::Serialize;

/// Mean and worst forwarder of each count that the cores report of their destinations, taken at the end of the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct DestinationStates {
    /// Destinations held in full at the end.
    pub full: MeanAndWorst,
    /// Highest number of destinations held in full at one time during the run.
    pub most_full: MeanAndWorst,
    /// Endpoints of idle destinations at the end, each held as a summary.
    pub summaries: MeanAndWorst,
    /// Of these endpoints, those whose summary holds binding state.
    pub bounds: MeanAndWorst,
    /// Number of times that a destination was restored from summaries to its full state, over the whole run.
    pub restored: MeanAndWorst,
    /// Number of times that an idle destination was reduced to summaries, over the whole run.
    pub summarised: MeanAndWorst,
}

impl DestinationStates {
    /// Collects the counts of these forwarders.
    pub fn of(forwarders: &[SimulatedForwarder]) -> DestinationStates {
        let counts: Vec<StateCounts> = forwarders
            .iter()
            .map(SimulatedForwarder::state_counts)
            .collect();
        let mean_and_worst =
            |count_of: fn(&StateCounts) -> f64| MeanAndWorst::of(counts.iter().map(count_of));
        DestinationStates {
            full: mean_and_worst(|c| c.full as f64),
            most_full: mean_and_worst(|c| c.most_full as f64),
            summaries: mean_and_worst(|c| c.summaries as f64),
            bounds: mean_and_worst(|c| c.bounds as f64),
            restored: mean_and_worst(|c| c.restored as f64),
            summarised: mean_and_worst(|c| c.summarised as f64),
        }
    }
}
