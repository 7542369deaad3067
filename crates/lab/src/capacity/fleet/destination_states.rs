//! How many destinations the forwarders held in full and how many as summaries.

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
    /// Of these endpoints, those whose summary carries a bound in force.
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
