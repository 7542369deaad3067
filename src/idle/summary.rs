//! The rounded estimates of an idle endpoint.

use super::BindingState;
use crate::destination::Destination;
use crate::endpoint::Endpoint;
use crate::latency::LatencyEstimator;
use crate::model::{DestinationId, EndpointId, EndpointStatus, Micros};
use crate::policy::outlier::{OutcomeWindow, OUTCOME_WINDOW_SIZE};
use crate::policy::pacing::Pacer;

/// The rounded estimates and the status of an idle endpoint, owned by the idle table. The pacing of
/// a destination is repeated in the summary of each of its endpoints.
pub(crate) struct EndpointSummary {
    /// Capacity of the limit, in calls per second for the whole fleet.
    pub capacity: f32,
    /// Interval between two calls, in µs.
    pub pacing_interval: f32,
    pub tie_breaker: f32,
    mean_latency: f32,
    latency_deviation: f32,
    pub zone: u16,
    pub batch_size: u16,
    sample_sizes: SampleSizes,
    /// The latest outcomes, as bits of [`OutcomeWindow::to_bits`].
    outcome_bits: u8,
    pub status: EndpointStatus,
    pub has_independent_limits: bool,
}

// The memory for 91,000 destinations depends on this size. Adding a field needs a decision about
// that memory.
const _: () = assert!(std::mem::size_of::<EndpointSummary>() <= 28);

/// Numbers of latency samples and of outcomes in a summary, in four bits each. Each is at most
/// [`OUTCOME_WINDOW_SIZE`].
#[derive(Clone, Copy)]
struct SampleSizes(u8);

impl SampleSizes {
    fn new(latency_samples: f64, outcomes: usize) -> SampleSizes {
        let latency_samples = (latency_samples as u8).min(OUTCOME_WINDOW_SIZE as u8);
        let outcomes = outcomes.min(OUTCOME_WINDOW_SIZE) as u8;
        SampleSizes(latency_samples << 4 | outcomes)
    }

    fn latency_samples(self) -> f64 {
        f64::from(self.0 >> 4)
    }

    fn outcomes(self) -> u8 {
        self.0 & 0xf
    }
}

impl EndpointSummary {
    /// Creates the summary of an endpoint. Returns `None` if the batch size does not fit into 16
    /// bits.
    pub fn of(
        endpoint: &Endpoint,
        pacer: &Pacer,
        destination: &Destination,
    ) -> Option<EndpointSummary> {
        let window = &endpoint.failures.window;
        Some(EndpointSummary {
            capacity: pacer.capacity as f32,
            pacing_interval: pacer.interval as f32,
            tie_breaker: endpoint.snapshot.tie_breaker as f32,
            mean_latency: endpoint.latency.mean as f32,
            latency_deviation: endpoint.latency.deviation as f32,
            zone: endpoint.snapshot.zone,
            batch_size: u16::try_from(endpoint.batch_size).ok()?,
            sample_sizes: SampleSizes::new(endpoint.latency.sample_count(), window.len()),
            outcome_bits: window.to_bits(),
            status: endpoint.status,
            has_independent_limits: destination.has_independent_limits,
        })
    }

    /// Returns the pacer that limits calls to the endpoint.
    pub fn to_pacer(&self, binding_state: Option<&BindingState>, now: Micros) -> Pacer {
        Pacer {
            capacity: self.capacity.into(),
            interval: self.pacing_interval.into(),
            next_call_at: binding_state.map_or(0, |state| state.next_call_at),
            paused_until: binding_state.map_or(0, |state| state.paused_until),
            recovered_at: now.max(1),
            ..Pacer::default()
        }
    }

    /// Returns the endpoint in full.
    pub fn to_endpoint(
        &self,
        id: EndpointId,
        destination: DestinationId,
        binding_state: Option<BindingState>,
    ) -> Endpoint {
        let mut endpoint = Endpoint::new(id, destination, self.batch_size.into());
        endpoint.status = self.status;
        endpoint.latency = LatencyEstimator::from_parts(
            self.mean_latency.into(),
            self.latency_deviation.into(),
            self.sample_sizes.latency_samples(),
        );
        endpoint.snapshot.zone = self.zone;
        endpoint.snapshot.tie_breaker = self.tie_breaker.into();
        endpoint.failures.window =
            OutcomeWindow::from_bits(self.outcome_bits, self.sample_sizes.outcomes());
        if let Some(binding_state) = binding_state {
            binding_state.restore_to(&mut endpoint);
        }
        endpoint
    }
}
