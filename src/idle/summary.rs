//! What is believed of an idle endpoint, rounded.

use super::BindingState;
use crate::destination::Destination;
use crate::endpoint::Endpoint;
use crate::latency::LatencyEstimator;
use crate::model::{DestinationId, EndpointId, EndpointStatus, Micros};
use crate::policy::outlier::{OutcomeWindow, OUTCOME_WINDOW_SIZE};
use crate::policy::pacing::Pacer;

/// What is believed of an idle endpoint. The pace of a destination stands in the summary of each
/// of its endpoints.
pub(crate) struct Summary {
    /// Of the limit; calls per second for the whole fleet.
    pub capacity: f32,
    /// Between two calls; µs.
    pub interval: f32,
    pub tie_breaker: f32,
    mean_latency: f32,
    latency_deviation: f32,
    pub zone: u16,
    pub batch_size: u16,
    sample_sizes: SampleSizes,
    /// Of [`OutcomeWindow::to_bits`].
    outcomes: u8,
    pub status: EndpointStatus,
    pub has_independent_limits: bool,
}

// What 91,000 destinations may take rests on this: a field more is a decision.
const _: () = assert!(std::mem::size_of::<Summary>() <= 28);

/// On how many answers and outcomes a summary stands, of each [`OUTCOME_WINDOW_SIZE`] at most: four bits each.
#[derive(Clone, Copy)]
struct SampleSizes(u8);

impl SampleSizes {
    fn new(answers: f64, outcomes: usize) -> SampleSizes {
        let answers = (answers as u8).min(OUTCOME_WINDOW_SIZE as u8);
        let outcomes = outcomes.min(OUTCOME_WINDOW_SIZE) as u8;
        SampleSizes(answers << 4 | outcomes)
    }

    fn answers(self) -> f64 {
        f64::from(self.0 >> 4)
    }

    fn outcomes(self) -> u8 {
        self.0 & 0xf
    }
}

impl Summary {
    /// The summary of an endpoint; none where its batch size does not fit.
    pub fn of(endpoint: &Endpoint, pacer: &Pacer, destination: &Destination) -> Option<Summary> {
        let window = &endpoint.failures.window;
        Some(Summary {
            capacity: pacer.capacity as f32,
            interval: pacer.interval as f32,
            tie_breaker: endpoint.snapshot.tie_breaker as f32,
            mean_latency: endpoint.latency.mean as f32,
            latency_deviation: endpoint.latency.deviation as f32,
            zone: endpoint.snapshot.zone,
            batch_size: u16::try_from(endpoint.batch_size).ok()?,
            sample_sizes: SampleSizes::new(endpoint.latency.count(), window.len()),
            outcomes: window.to_bits(),
            status: endpoint.status,
            has_independent_limits: destination.has_independent_limits,
        })
    }

    /// The pacer that the endpoint's calls go by.
    pub fn pacer(&self, binding: Option<&BindingState>, now: Micros) -> Pacer {
        Pacer {
            capacity: self.capacity.into(),
            interval: self.interval.into(),
            next_call_at: binding.map_or(0, |state| state.next_call_at),
            paused_until: binding.map_or(0, |state| state.paused_until),
            recovered_at: now.max(1),
            ..Pacer::default()
        }
    }

    /// The endpoint in full.
    pub fn endpoint(
        &self,
        id: EndpointId,
        destination: DestinationId,
        binding: Option<BindingState>,
    ) -> Endpoint {
        let mut endpoint = Endpoint::new(id, destination, self.batch_size.into());
        endpoint.status = self.status;
        endpoint.latency = LatencyEstimator::from_parts(
            self.mean_latency.into(),
            self.latency_deviation.into(),
            self.sample_sizes.answers(),
        );
        endpoint.snapshot.zone = self.zone;
        endpoint.snapshot.tie_breaker = self.tie_breaker.into();
        endpoint.failures.window =
            OutcomeWindow::from_bits(self.outcomes, self.sample_sizes.outcomes());
        if let Some(binding) = binding {
            binding.restore(&mut endpoint);
        }
        endpoint
    }
}
