//! The state of one endpoint: its calls, its health and its latency.
//!
//! [`Endpoint`] calls the rules in [`crate::policy`] and defines no thresholds itself. It sends an
//! [`EndpointSnapshot`] to its destination whenever its state changes.

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
use crate::policy::outlier::{self, FailureAccrual, OutcomeContext, Verdict};
use crate::policy::selection;
use crate::policy::slow_start::{self, ForwarderShare, SlowStartBudget};
use rand::Rng;

/// The health of an endpoint, which decides what may be sent to it.
#[derive(Clone, Copy, PartialEq, Default)]
pub(crate) enum Health {
    /// Calls are bound by the limits alone.
    #[default]
    Healthy,
    /// The endpoint is ejected: only health checks are sent.
    Ejected,
    /// The endpoint is ejected, and single calls may be sent as a trial.
    HalfOpen,
    /// The endpoint was readmitted at `since` (µs) and gets a growing share of its capacity.
    WarmingUp { since: Micros },
}

/// A call in flight: one or more attempts that started at the same instant.
struct Call {
    sent_at: Micros,
    /// Number of messages in the call that have no outcome yet.
    pending_messages: usize,
    /// Whether an outcome of the call was recorded. Only the first one is, because the messages of
    /// a call share its outcome.
    is_outcome_recorded: bool,
}

/// The state of one endpoint, owned by the forwarder.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub id: EndpointId,
    pub destination: DestinationId,
    /// Upper bound on the number of messages in a call.
    pub batch_size: usize,
    pub status: EndpointStatus,
    pub snapshot: EndpointSnapshot,
    /// Calls in flight. A call is removed with the outcome of its last message.
    calls: Vec<Call>,
    pub failures: FailureAccrual,
    pub health: Health,
    /// Calls per second that the endpoint accepts from the whole fleet.
    pub capacity: f64,
    /// Number of calls that may be sent while the endpoint is not healthy.
    pub budget: SlowStartBudget,
    pub latency: LatencyEstimator,
    /// The instant in µs from which the next health check may start, or [`HEALTH_CHECK_IN_FLIGHT`]
    /// while one is running. Once the endpoint has left the list: the instant from which it may be
    /// discarded.
    pub next_check_or_discard_at: Micros,
}

/// Value of [`Endpoint::next_check_or_discard_at`] while a health check is in flight.
pub(crate) const HEALTH_CHECK_IN_FLIGHT: Micros = Micros::MAX;

impl Endpoint {
    /// Creates a healthy endpoint without calls and latency samples.
    pub fn new(id: EndpointId, destination: DestinationId, batch_size: usize) -> Endpoint {
        Endpoint {
            id,
            destination,
            batch_size,
            ..Endpoint::default()
        }
    }

    /// Handles one event from the mailbox of the endpoint.
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

    /// Returns whether no call awaits an outcome. Health checks are not counted.
    pub fn has_no_calls_in_flight(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether the next health check waits for the outcome of one in flight.
    pub fn has_health_check_in_flight(&self) -> bool {
        self.next_check_or_discard_at == HEALTH_CHECK_IN_FLIGHT
    }

    /// Returns whether the endpoint has left the list, has no calls in flight and was retained for
    /// long enough.
    pub fn is_discardable(&self, now: Micros) -> bool {
        self.status == EndpointStatus::Removed
            && self.has_no_calls_in_flight()
            && now >= self.next_check_or_discard_at
    }

    /// Applies an entry of the endpoint list. An endpoint that has left the list is retained for
    /// the warm-up time, because it may still be cold if it returns earlier.
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
        self.snapshot.tie_breaker = selection::draw_tie_breaker(context.rng);
    }

    /// Adds a message to the call that starts now, or starts a new call if there is none or its
    /// batch is full.
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

    /// Records the outcome of an attempt. Returns whether the attempt was part of a call in flight.
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

    /// Withdraws calls and health checks that are not yet sent completely, because a new pause or
    /// status applies to them as well.
    fn withdraw_unsent(&self, context: &mut DecisionContext) {
        if !self.calls.is_empty() || self.has_health_check_in_flight() {
            context
                .mailboxes
                .emit_action(Action::WithdrawUnsent { endpoint: self.id });
        }
    }

    /// Updates latency, failures and health with the outcome of a call.
    fn record_call_outcome(
        &mut self,
        outcome: Outcome,
        elapsed: Micros,
        context: &mut DecisionContext,
    ) {
        let outcome_context = OutcomeContext {
            now: context.now,
            overload_window: context.config.rules.overload_window,
            is_share_negligible: self
                .forwarder_share(context.now, context.config)
                .is_negligible,
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
        if self.failures.record(outcome, outcome_context) == Verdict::Eject {
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

    /// Returns whether the endpoint is ejected, including while a trial call is allowed.
    fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected | Health::HalfOpen)
    }

    /// Returns the load that the whole fleet may send while the endpoint is not healthy, as a
    /// multiple of its capacity.
    fn allowed_load(&self, now: Micros, config: &Config) -> f64 {
        let warming_since = match self.health {
            Health::WarmingUp { since } => Some(since),
            _ => None,
        };
        slow_start::allowed_load(now, warming_since, &config.rules)
    }

    /// Returns this forwarder's share of the allowed load.
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
        // The budget is drawn at random during a pause. Otherwise all forwarders that the pause
        // holds back would call as soon as it ends.
        if tick.is_paused && self.budget.has_call() {
            self.budget.randomise(context.rng.random());
        }
        self.finish_warm_up(context.now, context.config);
        let latency_bound = self.snapshot.latency_bound;
        let unanswered = self.unanswered_calls(context.now, latency_bound);
        if self.health == Health::Healthy && outlier::is_unresponsive(unanswered) {
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

    /// Starts a trial of an ejected endpoint once the budget allows a call.
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

    /// Counts the calls that were sent since the last response and have been in flight for longer
    /// than `min_elapsed` µs.
    fn unanswered_calls(&self, now: Micros, min_elapsed: f64) -> usize {
        let is_unanswered = |call: &&Call| {
            call.sent_at >= self.failures.last_response_at
                && (now - call.sent_at) as f64 > min_elapsed
        };
        self.calls.iter().filter(is_unanswered).count()
    }
}
