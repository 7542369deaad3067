//! Simulated forwarders with a common clock, and their destination.

use super::budget::FleetBudget;
use super::common::{config, listed_endpoint, submission, IDEMPOTENT, MS, TIME_TO_LIVE};
use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// Number of forwarders, the same as on the `throng` day of the standing test.
const FORWARDER_COUNT: usize = 30;

/// Time at which the destination begins to fail, in µs. Some calls have succeeded by then.
const FAILS_AT: Micros = 5_000 * MS;
const RETURNS_AT: Micros = FAILS_AT + 10_000 * MS;

/// Duration of a call that is delivered or gets an error response, in µs.
const RESPONSE_TIME: Micros = 30 * MS;
const REFUSAL_TIME: Micros = MS;
const HEALTH_CHECK_TIME: Micros = 10 * MS;
const HEALTH_CHECK_TIMEOUT: Micros = 1_500 * MS;

/// The way in which the destination fails.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Errors,
    RefusedConnections,
    NoResponses,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub seed: u64,
    pub may_health_check: bool,
    /// Capacity of the destination when it is warm, in calls per second.
    pub capacity: f32,
    /// Messages per second that are submitted to each forwarder.
    pub submission_rate: f64,
    pub fault: Fault,
}

/// A call or a health check in flight, with the outcome that it will have.
#[derive(Clone, Copy)]
struct InFlightCall {
    sent_at: Micros,
    endpoint: EndpointId,
    outcome: Outcome,
}

/// An event that is scheduled for a forwarder.
enum ScheduledEvent {
    Submission,
    Timer(TimerToken),
    CallEnds {
        id: MessageId,
        attempt_index: u8,
        call: InFlightCall,
    },
    HealthCheckEnds(InFlightCall),
}

/// Time of an event in µs, and a sequence number that orders the events of the same time.
type ScheduleKey = (Micros, u64);

/// The last attempt at a message, whether it is in flight or has ended.
struct LastAttempt {
    index: u8,
    end_key: ScheduleKey,
}

pub struct Fleet {
    case: Case,
    now: Micros,
    rng: Pcg64Mcg,
    forwarders: Vec<Forwarder>,
    /// Scheduled events in the order of their time, each with the index of its forwarder.
    scheduled_events: BTreeMap<ScheduleKey, (usize, ScheduledEvent)>,
    last_sequence_number: u64,
    last_message_id: u32,
    last_attempts: BTreeMap<(usize, MessageId), LastAttempt>,
    /// Whether a forwarder has seen the destination fail, by the index of the forwarder.
    saw_failure: Vec<bool>,
    pub budget: FleetBudget,
    /// Number of messages that were delivered after the return of the destination.
    pub delivered_after_return: usize,
}

fn forwarder_config(case: Case, number: usize) -> Config {
    Config {
        forwarder_id: number as u16,
        fleet_size: FORWARDER_COUNT as u32,
        may_health_check: case.may_health_check,
        max_attempts: 20,
        max_messages: 400,
        ..config()
    }
}

impl Fleet {
    /// Creates the forwarders, each with the endpoint list and its first submission scheduled.
    pub fn new(case: Case) -> Fleet {
        let forwarder = |number: usize| {
            let seed = case.seed * 1_000 + number as u64;
            Forwarder::new(forwarder_config(case, number), seed)
        };
        let rules = forwarder_config(case, 0).rules;
        let mut fleet = Fleet {
            case,
            now: 1_000,
            rng: Pcg64Mcg::seed_from_u64(case.seed),
            forwarders: (0..FORWARDER_COUNT).map(forwarder).collect(),
            scheduled_events: BTreeMap::new(),
            last_sequence_number: 0,
            last_message_id: 0,
            last_attempts: BTreeMap::new(),
            saw_failure: vec![false; FORWARDER_COUNT],
            budget: FleetBudget::new(rules, case.capacity.into(), RETURNS_AT),
            delivered_after_return: 0,
        };
        for number in 0..FORWARDER_COUNT {
            let list = vec![listed_endpoint(1, 0, case.capacity)];
            let update = EndpointListUpdate::Complete(list);
            fleet.handle(number, Event::EndpointListUpdated(update));
            fleet.schedule_submission(number);
        }
        fleet
    }

    /// Runs the simulation until the destination is warm.
    pub fn run_until_warm(&mut self) {
        let end = self.budget.warm_at();
        while let Some(((at, _), (forwarder, scheduled_event))) = self.scheduled_events.pop_first()
        {
            if at > end {
                return;
            }
            self.now = at;
            self.handle_scheduled_event(forwarder, scheduled_event);
        }
    }

    fn schedule(
        &mut self,
        delay: Micros,
        forwarder: usize,
        scheduled_event: ScheduledEvent,
    ) -> ScheduleKey {
        self.last_sequence_number += 1;
        let key = (self.now + delay, self.last_sequence_number);
        self.scheduled_events
            .insert(key, (forwarder, scheduled_event));
        key
    }

    /// Schedules the next submission after an exponentially distributed time.
    fn schedule_submission(&mut self, forwarder: usize) {
        let seconds = -(1.0 - self.rng.random::<f64>()).ln() / self.case.submission_rate;
        self.schedule(
            (seconds * 1e6) as Micros,
            forwarder,
            ScheduledEvent::Submission,
        );
    }

    /// Returns the outcome and the duration in µs of a call or a health check that is sent now. A
    /// response takes `response_time` µs.
    fn call_outcome(&self, response_time: Micros, timeout: Micros) -> (Outcome, Micros) {
        if !is_failing_at(self.now) {
            return (Outcome::Delivered, response_time);
        }
        match self.case.fault {
            Fault::Errors => (Outcome::Error, response_time),
            Fault::RefusedConnections => (Outcome::NoConnection, REFUSAL_TIME),
            Fault::NoResponses => (Outcome::Timeout, timeout),
        }
    }

    fn handle(&mut self, forwarder: usize, event: Event) {
        let mut actions = Vec::new();
        self.forwarders[forwarder].handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_action(forwarder, action);
        }
    }

    fn execute_action(&mut self, forwarder: usize, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.start_attempt(forwarder, id, endpoint, timeout.unwrap_or(TIME_TO_LIVE)),
            Action::StartHealthCheck { endpoint } => self.start_health_check(forwarder, endpoint),
            Action::CancelAttempt { id, .. } => self.cancel_attempt(forwarder, id),
            Action::SetTimer { delay, token } => {
                self.schedule(delay, forwarder, ScheduledEvent::Timer(token));
            }
            _ => {}
        }
    }

    fn start_attempt(
        &mut self,
        forwarder: usize,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Micros,
    ) {
        let (outcome, duration) = self.call_outcome(RESPONSE_TIME, timeout);
        let index = match self.last_attempts.get(&(forwarder, id)) {
            Some(last) => last.index + 1,
            None => 0,
        };
        let call_ends = ScheduledEvent::CallEnds {
            id,
            attempt_index: index,
            call: InFlightCall {
                sent_at: self.now,
                endpoint,
                outcome,
            },
        };
        let end_key = self.schedule(duration.min(timeout), forwarder, call_ends);
        let last_attempt = LastAttempt { index, end_key };
        self.last_attempts.insert((forwarder, id), last_attempt);
        self.budget
            .record_call(self.now, forwarder, &self.saw_failure);
    }

    fn start_health_check(&mut self, forwarder: usize, endpoint: EndpointId) {
        let (outcome, duration) = self.call_outcome(HEALTH_CHECK_TIME, HEALTH_CHECK_TIMEOUT);
        let health_check = InFlightCall {
            sent_at: self.now,
            endpoint,
            outcome,
        };
        self.schedule(
            duration,
            forwarder,
            ScheduledEvent::HealthCheckEnds(health_check),
        );
        self.budget
            .record_call(self.now, forwarder, &self.saw_failure);
    }

    /// Ends the call in flight for a message as cancelled, if there is one.
    fn cancel_attempt(&mut self, forwarder: usize, id: MessageId) {
        let Some(last) = self.last_attempts.get(&(forwarder, id)) else {
            return;
        };
        if let Some((
            _,
            ScheduledEvent::CallEnds {
                attempt_index,
                call,
                ..
            },
        )) = self.scheduled_events.remove(&last.end_key)
        {
            let call = InFlightCall {
                outcome: Outcome::Cancelled,
                ..call
            };
            self.schedule(
                0,
                forwarder,
                ScheduledEvent::CallEnds {
                    id,
                    attempt_index,
                    call,
                },
            );
        }
    }

    fn handle_scheduled_event(&mut self, forwarder: usize, scheduled_event: ScheduledEvent) {
        match scheduled_event {
            ScheduledEvent::Submission => self.submit(forwarder),
            ScheduledEvent::Timer(token) => self.handle(forwarder, Event::TimerFired { token }),
            ScheduledEvent::CallEnds {
                id,
                attempt_index,
                call,
            } => {
                self.end_call(forwarder, id, attempt_index, call);
            }
            ScheduledEvent::HealthCheckEnds(health_check) => {
                self.end_health_check(forwarder, health_check);
            }
        }
    }

    fn submit(&mut self, forwarder: usize) {
        self.last_message_id += 1;
        let submission = submission(MessageId(self.last_message_id), IDEMPOTENT, 0, TIME_TO_LIVE);
        self.schedule_submission(forwarder);
        self.handle(forwarder, Event::MessageSubmitted(submission));
    }

    fn end_call(&mut self, forwarder: usize, id: MessageId, attempt_index: u8, call: InFlightCall) {
        self.record_failure(forwarder, call);
        let is_delivered = call.outcome == Outcome::Delivered;
        if is_delivered && self.now > RETURNS_AT {
            self.delivered_after_return += 1;
        }
        let ended = Event::AttemptEnded {
            id,
            attempt_index,
            endpoint: call.endpoint,
            outcome: call.outcome,
            elapsed: self.now - call.sent_at,
            message_completed: is_delivered,
            load_metrics: Vec::new(),
        };
        self.handle(forwarder, ended);
    }

    fn end_health_check(&mut self, forwarder: usize, health_check: InFlightCall) {
        self.record_failure(forwarder, health_check);
        let ended = Event::HealthCheckEnded {
            endpoint: health_check.endpoint,
            outcome: health_check.outcome,
            elapsed: self.now - health_check.sent_at,
            load_metrics: Vec::new(),
        };
        self.handle(forwarder, ended);
    }

    fn record_failure(&mut self, forwarder: usize, call: InFlightCall) {
        if call.outcome != Outcome::Delivered && is_failing_at(call.sent_at) {
            self.saw_failure[forwarder] = true;
        }
    }
}

/// Returns whether the destination fails at this time.
fn is_failing_at(time: Micros) -> bool {
    (FAILS_AT..RETURNS_AT).contains(&time)
}
