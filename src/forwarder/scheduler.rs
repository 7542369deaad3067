//! Scheduling rounds: hands free concurrency permits to the destinations that lose most by
//! waiting.

use super::mailbox::DestinationEvent;
use super::Forwarder;
use crate::model::{Action, Micros};
use crate::policy::concurrency;

/// Calls that are out.
#[derive(Default)]
pub(super) struct CallsInFlight {
    pub total: usize,
    /// Those to degraded destinations.
    pub degraded: usize,
}

/// Permits that are left.
#[derive(Clone, Copy, PartialEq)]
struct FreePermits {
    total: usize,
    /// Those that degraded destinations may have.
    degraded: usize,
}

impl Forwarder {
    pub(super) fn calls_in_flight(&self) -> CallsInFlight {
        let mut calls = CallsInFlight::default();
        for activity in self.activities.values() {
            calls.total += activity.calls_in_flight;
            if activity.is_degraded {
                calls.degraded += activity.calls_in_flight;
            }
        }
        calls
    }

    /// Runs rounds until no destination uses a permit.
    pub(super) fn run_scheduling_rounds(&mut self, now: Micros, actions: &mut Vec<Action>) {
        loop {
            let free = self.free_permits(now);
            if free.total > 0 {
                self.request_candidates();
            }
            self.drain_mailboxes(now, actions);
            if self.grant_permits(free) == 0 {
                return;
            }
            self.drain_mailboxes(now, actions);
        }
    }

    fn free_permits(&self, now: Micros) -> FreePermits {
        let permits = if now < self.sends_paused_until {
            0
        } else {
            self.config.concurrency_limit as usize
        };
        let calls = self.calls_in_flight();
        let total = permits.saturating_sub(calls.total);
        let degraded_limit = concurrency::all_degraded_limit(permits);
        FreePermits {
            total,
            degraded: degraded_limit.saturating_sub(calls.degraded).min(total),
        }
    }

    fn request_candidates(&mut self) {
        for (id, activity) in &self.activities {
            if activity.waiting_messages > 0 {
                self.mailboxes
                    .send_to_destination(*id, DestinationEvent::CandidateRequested);
            }
        }
    }

    /// Grants a permit to each candidate, the greatest loss first, while there are any; gives how
    /// many it granted.
    fn grant_permits(&mut self, mut free: FreePermits) -> usize {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.sort_by(|a, b| {
            let by_loss = b.loss_per_permit_time.total_cmp(&a.loss_per_permit_time);
            by_loss.then(a.destination.cmp(&b.destination))
        });
        let mut granted = 0;
        for candidate in candidates {
            let activity = self.activities.get(&candidate.destination);
            let is_degraded = activity.is_some_and(|activity| activity.is_degraded);
            if free.total == 0 || (is_degraded && free.degraded == 0) {
                continue;
            }
            free.total -= 1;
            free.degraded -= usize::from(is_degraded);
            granted += 1;
            self.mailboxes
                .send_to_destination(candidate.destination, DestinationEvent::PermitGranted);
        }
        granted
    }
}
