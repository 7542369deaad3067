//! The state of one endpoint: its calls, its health, and what is known of its latency.
//!
//! [`Endpoint`] calls the rules in [`crate::policy`] and holds no threshold of its own. Whenever
//! something changes it sends its destination an [`EndpointSnapshot`].

mod snapshot;

pub(crate) use snapshot::EndpointSnapshot;

use crate::forwarder::context::DecisionContext;
use crate::forwarder::mailbox::{DestinationEvent, EndpointEvent, EndpointTick};
use crate::latency::LatencyEstimator;
use crate::model::{
    Action, Config, DestinationId, EjectionReason, EndpointId, EndpointStatus, LogEvent, Micros,
    Outcome, ZoneId,
};
use crate::policy::attempt_timeout;
use crate::policy::health_check::{self, Trial};
use crate::policy::outlier::{self, Circumstances, FailureAccrual, Verdict};
use crate::policy::selection;
use crate::policy::slow_start::{self, ForwarderShare, SlowStartBudget};
use rand::Rng;

/// What an endpoint may get.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum Health {
    /// All that its limits allow.
    #[default]
    Healthy,
    /// Nothing but health checks.
    Ejected,
    /// Single calls: it is ejected, and a message may try it.
    HalfOpen,
    /// A growing part of its capacity: it was readmitted then.
    WarmingUp { since: Micros },
}

/// A call that is out.
struct Call {
    sent_at: Micros,
    /// Messages in it without an outcome.
    pending_messages: usize,
    /// Whether one of its outcomes has been judged: the others say the same.
    is_outcome_recorded: bool,
}

/// One endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub destination: DestinationId,
    /// Messages in one call at most.
    pub batch_size: usize,
    pub status: EndpointStatus,
    pub snapshot: EndpointSnapshot,
    /// Each leaves with its last outcome.
    calls: Vec<Call>,
    pub failures: FailureAccrual,
    pub health: Health,
    /// Calls per second that it takes from the whole fleet.
    pub capacity: f64,
    /// What it may get while it is not healthy.
    pub budget: SlowStartBudget,
    pub latency: LatencyEstimator,
    /// When the next health check may go. While one is out: [`HEALTH_CHECK_IN_FLIGHT`]. Once the
    /// endpoint has left the list: when it may be forgotten.
    pub next_check_or_discard_at: Micros,
}

/// Stands for [`Endpoint::next_check_at`] while a health check is out.
pub(crate) const HEALTH_CHECK_IN_FLIGHT: Micros = Micros::MAX;

impl Endpoint {
    /// A healthy endpoint of which nothing is known.
    pub fn new(id: EndpointId, destination: DestinationId, batch_size: usize) -> Endpoint {
        Endpoint {
            id,
            destination,
            batch_size,
            ..Endpoint::default()
        }
    }

    /// Handles one message of its mailbox.
    pub fn handle(&mut self, event: EndpointEvent, context: &mut DecisionContext) {
        let previous_snapshot = self.snapshot;
        match event {
            EndpointEvent::Listed { zone, status, cost } => {
                self.apply_list_entry(zone, status, cost, context);
            }
            EndpointEvent::AttemptStarted => self.record_attempt_start(context),
            EndpointEvent::AttemptEnded {
                sent_at,
                outcome,
                elapsed,
            } => {
                if !self.record_attempt_end(sent_at, outcome, elapsed, context) {
                    return;
                }
            }
            EndpointEvent::HealthCheckEnded { outcome } => {
                self.record_health_check_end(outcome, context.now);
            }
            EndpointEvent::Paused { is_long_pause } => {
                self.withdraw_unsent(context);
                if is_long_pause {
                    self.eject(EjectionReason::LongRetryAfter, context);
                }
            }
            EndpointEvent::TimerTick(tick) => self.tick(tick, context),
        }
        self.update_snapshot(context);
        if self.snapshot != previous_snapshot {
            let event = DestinationEvent::SnapshotUpdated {
                endpoint: self.id,
                snapshot: self.snapshot,
            };
            context
                .mailboxes
                .send_to_destination(self.destination, event);
        }
    }

    /// Whether it has no calls out.
    pub fn has_no_calls_in_flight(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a health check is out.
    pub fn has_health_check_in_flight(&self) -> bool {
        self.next_check_or_discard_at == HEALTH_CHECK_IN_FLIGHT
    }

    /// Whether it left the list, and long enough ago to be forgotten.
    pub fn is_discardable(&self, now: Micros) -> bool {
        self.status == EndpointStatus::Removed
            && self.has_no_calls_in_flight()
            && now >= self.next_check_or_discard_at
    }

    /// Applies its entry of the endpoint list. One that has left is remembered for the warm-up
    /// time: if it comes back before, it may still be cold.
    fn apply_list_entry(
        &mut self,
        zone: ZoneId,
        status: EndpointStatus,
        cost: f64,
        context: &mut DecisionContext,
    ) {
        if status != EndpointStatus::Ready {
            self.withdraw_unsent(context);
        }
        let retention_time = if status == EndpointStatus::Removed {
            context.config.rules.warm_up_time
        } else {
            0
        };
        self.next_check_or_discard_at = context.now.saturating_add(retention_time);
        self.status = status;
        self.snapshot.zone = zone.0;
        self.snapshot.cost = cost;
        self.snapshot.tie_breaker = selection::tie_breaker(context.rng);
    }

    /// A message goes there: in the call that begins now, or in one of its own.
    fn record_attempt_start(&mut self, context: &DecisionContext) {
        if let Some(call) = self.calls.last_mut() {
            if call.sent_at == context.now && call.pending_messages < self.batch_size {
                call.pending_messages += 1;
                self.budget.spend_batched_message();
                return;
            }
        }
        self.calls.push(Call {
            sent_at: context.now,
            pending_messages: 1,
            is_outcome_recorded: false,
        });
        self.budget.spend_call();
        if self.health == Health::HalfOpen && context.config.may_health_check {
            self.health = Health::Ejected;
        }
    }

    /// Whether the attempt belonged to a call that is out.
    fn record_attempt_end(
        &mut self,
        sent_at: Micros,
        outcome: Outcome,
        elapsed: Micros,
        context: &mut DecisionContext,
    ) -> bool {
        let Some(index) = self.calls.iter().position(|call| call.sent_at == sent_at) else {
            return false;
        };
        let call = &mut self.calls[index];
        call.pending_messages -= 1;
        let is_first_outcome = !std::mem::replace(&mut call.is_outcome_recorded, true);
        if call.pending_messages == 0 {
            self.calls.remove(index);
        }
        if self.calls.is_empty() && context.are_connections_scarce {
            context
                .mailboxes
                .emit_action(Action::CloseIdleConnections { endpoint: self.id });
        }
        if is_first_outcome {
            self.record_call_outcome(outcome, elapsed, context);
        }
        true
    }

    fn record_health_check_end(&mut self, outcome: Outcome, now: Micros) {
        if self.status != EndpointStatus::Removed {
            self.next_check_or_discard_at = now;
        }
        if self.health == Health::Ejected && outcome == Outcome::Delivered {
            self.health = Health::HalfOpen;
        }
    }

    /// Withdraws calls and health checks that have not gone whole: what binds from now on binds
    /// them too.
    fn withdraw_unsent(&self, context: &mut DecisionContext) {
        if !self.calls.is_empty() || self.has_health_check_in_flight() {
            context
                .mailboxes
                .emit_action(Action::WithdrawUnsent { endpoint: self.id });
        }
    }

    /// Draws from the outcome of a call what it says of the endpoint.
    fn record_call_outcome(
        &mut self,
        outcome: Outcome,
        elapsed: Micros,
        context: &mut DecisionContext,
    ) {
        let circumstances = Circumstances {
            now: context.now,
            overload_window: context.config.rules.overload_window,
            is_budget_scant: self.forwarder_share(context.now, context.config).is_scant,
        };
        if outcome == Outcome::WithdrawnBeforeSend {
            self.budget.refund_call();
        }
        if outcome == Outcome::Delivered {
            attempt_timeout::observe(&mut self.latency, elapsed);
            if self.is_ejected() {
                self.readmit(context);
            }
        }
        if self.failures.record(outcome, circumstances) == Verdict::Eject {
            self.eject(EjectionReason::Failures, context);
        }
    }

    fn readmit(&mut self, context: &mut DecisionContext) {
        self.health = Health::WarmingUp { since: context.now };
        self.failures.window.clear();
        context
            .mailboxes
            .emit_action(Action::Log(LogEvent::EndpointReadmitted {
                destination: self.destination,
                endpoint: self.id,
            }));
    }

    fn eject(&mut self, reason: EjectionReason, context: &mut DecisionContext) {
        if !self.is_ejected() {
            context
                .mailboxes
                .emit_action(Action::Log(LogEvent::EndpointEjected {
                    destination: self.destination,
                    endpoint: self.id,
                    reason,
                }));
            self.budget = SlowStartBudget::new(context.rng.random(), context.now);
        }
        self.health = if context.config.may_health_check {
            Health::Ejected
        } else {
            Health::HalfOpen
        };
        self.failures.window.clear();
    }

    /// Whether it is ejected, also while a message may try it.
    fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected | Health::HalfOpen)
    }

    /// The part of its capacity that it may get from the whole fleet while it is not healthy.
    fn allowed_load(&self, now: Micros, config: &Config) -> f64 {
        let warming_since = match self.health {
            Health::WarmingUp { since } => Some(since),
            _ => None,
        };
        slow_start::allowed_load(now, warming_since, &config.rules)
    }

    /// What it may get from this forwarder while it is not healthy.
    fn forwarder_share(&self, now: Micros, config: &Config) -> ForwarderShare {
        slow_start::forwarder_share(self.allowed_load(now, config), self.capacity, config)
    }

    fn tick(&mut self, tick: EndpointTick, context: &mut DecisionContext) {
        self.capacity = tick.capacity;
        let share = self.forwarder_share(context.now, context.config);
        if self.health != Health::Healthy {
            let allowed_load = self.allowed_load(context.now, context.config);
            self.budget
                .refill(context.now, share, tick.arrivals, allowed_load);
        }
        // Without this, the forwarders that a pause holds back would all call as it ends.
        if tick.is_paused && self.budget.has_call() {
            self.budget.randomise(context.rng.random());
        }
        self.finish_warm_up(context.now, context.config);
        let latency_bound = self.snapshot.latency_bound;
        let unanswered = self.unanswered_calls(context.now, latency_bound);
        if self.health == Health::Healthy && outlier::is_silent(unanswered) {
            self.eject(EjectionReason::Unresponsive, context);
        }
        if !tick.is_paused {
            self.start_trial_if_due(share, context);
        }
    }

    fn finish_warm_up(&mut self, now: Micros, config: &Config) {
        if let Health::WarmingUp { since } = self.health {
            if now >= since + config.rules.warm_up_time {
                self.health = Health::Healthy;
            }
        }
    }

    /// Starts a trial of an ejected endpoint once its budget holds a call.
    fn start_trial_if_due(&mut self, share: ForwarderShare, context: &mut DecisionContext) {
        let is_trial_due = context.config.may_health_check
            && self.status == EndpointStatus::Ready
            && self.health == Health::Ejected
            && context.now >= self.next_check_or_discard_at
            && self.budget.has_call();
        if !is_trial_due {
            return;
        }
        match health_check::choose_trial(share, context.config, context.rng) {
            Trial::Message => self.health = Health::HalfOpen,
            Trial::HealthCheck => {
                self.budget.spend_call();
                self.next_check_or_discard_at = HEALTH_CHECK_IN_FLIGHT;
                context
                    .mailboxes
                    .emit_action(Action::StartHealthCheck { endpoint: self.id });
            }
        }
    }

    /// Calls sent since the last answer that have been out for longer than `time` (µs).
    fn unanswered_calls(&self, now: Micros, min_elapsed: f64) -> usize {
        let is_unanswered = |call: &&Call| {
            call.sent_at >= self.failures.answered_at && (now - call.sent_at) as f64 > min_elapsed
        };
        self.calls.iter().filter(is_unanswered).count()
    }
}
