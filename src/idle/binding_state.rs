//! What binds an idle endpoint, kept exactly.

use crate::endpoint::{Endpoint, Health};
use crate::model::{EndpointStatus, Micros};
use crate::policy::pacing::Pacer;
use crate::policy::slow_start::SlowStartBudget;

/// What binds an idle endpoint, exactly as it was; absent where nothing does.
#[derive(Default)]
pub(crate) struct BindingState {
    /// Until when a retry-after binds.
    pub paused_until: Micros,
    /// When the next call may go.
    pub next_call_at: Micros,
    /// From when on `next_call_at` changes nothing.
    pub pace_settled_at: Micros,
    /// When the failures in a row began.
    pub failure_run_started_at: Micros,
    /// Of an endpoint that left the list: until when it is not forgotten.
    pub retained_until: Micros,
    pub health: Health,
    pub budget: SlowStartBudget,
    pub consecutive_failures: u32,
    pub refused_connections: u32,
}

impl BindingState {
    /// What binds this endpoint now, if anything does.
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
            failure_run_started_at: endpoint.failures.run_started_at,
            retained_until: match endpoint.status {
                EndpointStatus::Removed => endpoint.next_check_or_discard_at,
                _ => 0,
            },
            health: endpoint.health,
            budget: endpoint.budget,
            consecutive_failures: endpoint.failures.consecutive_failures,
            refused_connections: endpoint.failures.refused_connections,
        };
        state.is_binding(now, warm_up_time).then_some(state)
    }

    /// Whether anything of it still matters.
    pub fn is_binding(&self, now: Micros, warm_up_time: Micros) -> bool {
        let is_not_healthy = match self.health {
            Health::Healthy => false,
            Health::Ejected | Health::HalfOpen => true,
            Health::WarmingUp { since } => now < since.saturating_add(warm_up_time),
        };
        let has_failures = self.consecutive_failures + self.refused_connections > 0;
        let last_timer_at = self
            .paused_until
            .max(self.pace_settled_at)
            .max(self.retained_until);
        is_not_healthy || has_failures || now < last_timer_at
    }

    /// Gives an endpoint back what binds it.
    pub fn restore_to(self, endpoint: &mut Endpoint) {
        endpoint.next_check_or_discard_at = self.retained_until;
        endpoint.health = self.health;
        endpoint.budget = self.budget;
        endpoint.failures.run_started_at = self.failure_run_started_at;
        endpoint.failures.consecutive_failures = self.consecutive_failures;
        endpoint.failures.refused_connections = self.refused_connections;
    }
}
