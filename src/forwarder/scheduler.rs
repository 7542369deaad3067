//! Scheduling rounds: they grant free concurrency permits to the destinations with the highest
//! expected loss from waiting.

use super::mailbox::DestinationEvent;
use super::Forwarder;
use crate::model::{Action, Micros};
use crate::policy::concurrency;

/// Numbers of calls in flight.
#[derive(Default)]
pub(super) struct CallsInFlight {
    pub total: usize,
    /// Calls to degraded destinations, included in `total`.
    pub degraded: usize,
}

/// Numbers of permits that are not in use.
#[derive(Clone, Copy, PartialEq)]
struct FreePermits {
    total: usize,
    /// Permits that degraded destinations may use, at most `total`.
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

    /// Runs scheduling rounds until no permit is granted.
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

    /// Grants permits to the candidates in descending order of their loss, as far as permits are
    /// free. Returns the number of permits granted.
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
