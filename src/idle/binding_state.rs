//! The state of an idle endpoint that restricts calls, kept exactly.

use crate::endpoint::{Endpoint, Health};
use crate::model::{EndpointStatus, Micros};
use crate::policy::pacing::Pacer;
use crate::policy::slow_start::SlowStartBudget;

/// State of an idle endpoint that restricts calls. The idle table owns it, and holds none for an
/// endpoint without restrictions.
#[derive(Default)]
pub(crate) struct BindingState {
    /// The instant in µs until which a retry-after pauses calls.
    pub paused_until: Micros,
    /// The earliest instant in µs of the next call.
    pub next_call_at: Micros,
    /// The instant in µs from which `next_call_at` has no effect.
    pub pace_settled_at: Micros,
    /// The instant in µs of the first of the consecutive failures.
    pub failure_run_started_at: Micros,
    /// The instant in µs until which an endpoint that left the list is retained, otherwise 0.
    pub retained_until: Micros,
    pub health: Health,
    pub budget: SlowStartBudget,
    pub consecutive_failures: u32,
    pub excused_connection_failures: u32,
}

impl BindingState {
    /// Returns the state that restricts calls to the endpoint at `now`. Returns `None` if nothing
    /// does.
    pub fn of(
        endpoint: &Endpoint,
        pacer: &Pacer,
        now: Micros,
        warm_up_time: Micros,
    ) -> Option<BindingState> {
        let state = BindingState {
            paused_until: pacer.paused_until,
            next_call_at: pacer.next_call_at,
            pace_settled_at: pacer.settled_at(),
            failure_run_started_at: endpoint.failures.failure_run_started_at,
            retained_until: match endpoint.status {
                EndpointStatus::Removed => endpoint.next_check_or_discard_at,
                _ => 0,
            },
            health: endpoint.health,
            budget: endpoint.budget,
            consecutive_failures: endpoint.failures.consecutive_failures,
            excused_connection_failures: endpoint.failures.excused_connection_failures,
        };
        state.is_binding(now, warm_up_time).then_some(state)
    }

    /// Returns whether the state still has an effect at `now`.
    pub fn is_binding(&self, now: Micros, warm_up_time: Micros) -> bool {
        let is_not_healthy = match self.health {
            Health::Healthy => false,
            Health::Ejected | Health::HalfOpen => true,
            Health::WarmingUp { since } => now < since.saturating_add(warm_up_time),
        };
        let has_failures = self.consecutive_failures + self.excused_connection_failures > 0;
        let last_timer_at = self
            .paused_until
            .max(self.pace_settled_at)
            .max(self.retained_until);
        is_not_healthy || has_failures || now < last_timer_at
    }

    /// Copies the state to a restored endpoint. The pause and the next call belong to the pacer,
    /// which [`super::EndpointSummary::to_pacer`] restores.
    pub fn restore_to(self, endpoint: &mut Endpoint) {
        endpoint.next_check_or_discard_at = self.retained_until;
        endpoint.health = self.health;
        endpoint.budget = self.budget;
        endpoint.failures.failure_run_started_at = self.failure_run_started_at;
        endpoint.failures.consecutive_failures = self.consecutive_failures;
        endpoint.failures.excused_connection_failures = self.excused_connection_failures;
    }
}
