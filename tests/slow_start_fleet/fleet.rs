//! Simulated forwarders on one clock, and their destination.

use super::budget::FleetBudget;
use super::common::{config, listed_endpoint, submission, IDEMPOTENT, MS, TIME_TO_LIVE};
use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// As many as the `throng` day of the standing test has.
const FORWARDERS: usize = 30;

/// The destination fails after some calls were answered.
const FAILS_AT: Micros = 5_000 * MS;
const RETURNS_AT: Micros = FAILS_AT + 10_000 * MS;

/// What a call takes that is delivered or answered with an error.
const ANSWER_TIME: Micros = 30 * MS;
const REFUSAL_TIME: Micros = MS;
const HEALTH_CHECK_TIME: Micros = 10 * MS;
const HEALTH_CHECK_TIMEOUT: Micros = 1_500 * MS;

/// How the destination fails.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Errors,
    RefusedConnections,
    NoAnswers,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub seed: u64,
    pub may_health_check: bool,
    /// Calls per second that the destination takes.
    pub capacity: f32,
    /// Messages per second that are submitted to each forwarder.
    pub submission_rate: f64,
    pub fault: Fault,
}

/// A call or a health check in flight.
#[derive(Clone, Copy)]
struct InFlight {
    sent_at: Micros,
    endpoint: EndpointId,
    outcome: Outcome,
}

/// What happens to a forwarder at its time.
enum Scheduled {
    Submission,
    Timer(TimerToken),
    CallEnds {
        id: MessageId,
        attempt: u8,
        call: InFlight,
    },
    HealthCheckEnds(InFlight),
}

/// A time, and a number that keeps the order within one moment.
type AgendaKey = (Micros, u64);

/// The last attempt at a message, in flight or over.
struct LastAttempt {
    number: u8,
    ends: AgendaKey,
}

pub struct Fleet {
    case: Case,
    now: Micros,
    rng: Pcg64Mcg,
    forwarders: Vec<Forwarder>,
    /// What happens, each with the number of the forwarder.
    agenda: BTreeMap<AgendaKey, (usize, Scheduled)>,
    last_agenda_number: u64,
    last_id: u32,
    last_attempts: BTreeMap<(usize, MessageId), LastAttempt>,
    /// Whether a forwarder has seen the destination fail.
    saw_failure: Vec<bool>,
    pub budget: FleetBudget,
    /// Messages delivered after the return.
    pub delivered: usize,
}

fn forwarder_config(case: Case, number: usize) -> Config {
    Config {
        forwarder_id: number as u16,
        fleet_size: FORWARDERS as u32,
        may_health_check: case.may_health_check,
        max_attempts: 20,
        max_messages: 400,
        ..config()
    }
}

impl Fleet {
    /// The forwarders, each with the endpoint list and its first submission scheduled.
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
            forwarders: (0..FORWARDERS).map(forwarder).collect(),
            agenda: BTreeMap::new(),
            last_agenda_number: 0,
            last_id: 0,
            last_attempts: BTreeMap::new(),
            saw_failure: vec![false; FORWARDERS],
            budget: FleetBudget::new(rules, case.capacity.into(), RETURNS_AT),
            delivered: 0,
        };
        for number in 0..FORWARDERS {
            let list = vec![listed_endpoint(1, 0, case.capacity)];
            let update = EndpointListUpdate::Complete(list);
            fleet.handle(number, Event::EndpointListUpdated(update));
            fleet.schedule_submission(number);
        }
        fleet
    }

    /// Runs until the destination is warm.
    pub fn run(&mut self) {
        let end = self.budget.warm_at();
        while let Some(((at, _), (forwarder, scheduled))) = self.agenda.pop_first() {
            if at > end {
                return;
            }
            self.now = at;
            self.happen(forwarder, scheduled);
        }
    }

    fn schedule(&mut self, after: Micros, forwarder: usize, scheduled: Scheduled) -> AgendaKey {
        self.last_agenda_number += 1;
        let key = (self.now + after, self.last_agenda_number);
        self.agenda.insert(key, (forwarder, scheduled));
        key
    }

    /// Schedules the next submission, after an exponentially distributed time.
    fn schedule_submission(&mut self, forwarder: usize) {
        let seconds = -(1.0 - self.rng.random::<f64>()).ln() / self.case.submission_rate;
        self.schedule((seconds * 1e6) as Micros, forwarder, Scheduled::Submission);
    }

    /// How a call or a health check that is sent now ends, and after what time. `answer_time` is
    /// what an answer takes.
    fn outcome(&self, answer_time: Micros, timeout: Micros) -> (Outcome, Micros) {
        if !fails_at(self.now) {
            return (Outcome::Delivered, answer_time);
        }
        match self.case.fault {
            Fault::Errors => (Outcome::Error, answer_time),
            Fault::RefusedConnections => (Outcome::NoConnection, REFUSAL_TIME),
            Fault::NoAnswers => (Outcome::Timeout, timeout),
        }
    }

    fn handle(&mut self, forwarder: usize, event: Event) {
        let mut actions = Vec::new();
        self.forwarders[forwarder].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(forwarder, action);
        }
    }

    fn carry_out(&mut self, forwarder: usize, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.send(forwarder, id, endpoint, timeout.unwrap_or(TIME_TO_LIVE)),
            Action::StartHealthCheck { endpoint } => self.send_health_check(forwarder, endpoint),
            Action::CancelAttempt { id, .. } => self.cancel(forwarder, id),
            Action::SetTimer { delay, token } => {
                self.schedule(delay, forwarder, Scheduled::Timer(token));
            }
            _ => {}
        }
    }

    fn send(&mut self, forwarder: usize, id: MessageId, endpoint: EndpointId, timeout: Micros) {
        let (outcome, takes) = self.outcome(ANSWER_TIME, timeout);
        let number = match self.last_attempts.get(&(forwarder, id)) {
            Some(last) => last.number + 1,
            None => 0,
        };
        let call_ends = Scheduled::CallEnds {
            id,
            attempt: number,
            call: InFlight {
                sent_at: self.now,
                endpoint,
                outcome,
            },
        };
        let ends = self.schedule(takes.min(timeout), forwarder, call_ends);
        let last_attempt = LastAttempt { number, ends };
        self.last_attempts.insert((forwarder, id), last_attempt);
        self.budget.count(self.now, forwarder, &self.saw_failure);
    }

    fn send_health_check(&mut self, forwarder: usize, endpoint: EndpointId) {
        let (outcome, takes) = self.outcome(HEALTH_CHECK_TIME, HEALTH_CHECK_TIMEOUT);
        let health_check = InFlight {
            sent_at: self.now,
            endpoint,
            outcome,
        };
        self.schedule(takes, forwarder, Scheduled::HealthCheckEnds(health_check));
        self.budget.count(self.now, forwarder, &self.saw_failure);
    }

    /// Ends the call in flight for a message as cancelled, if there is one.
    fn cancel(&mut self, forwarder: usize, id: MessageId) {
        let Some(last) = self.last_attempts.get(&(forwarder, id)) else {
            return;
        };
        if let Some((_, Scheduled::CallEnds { attempt, call, .. })) = self.agenda.remove(&last.ends)
        {
            let call = InFlight {
                outcome: Outcome::Cancelled,
                ..call
            };
            self.schedule(0, forwarder, Scheduled::CallEnds { id, attempt, call });
        }
    }

    fn happen(&mut self, forwarder: usize, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Submission => self.submit(forwarder),
            Scheduled::Timer(token) => self.handle(forwarder, Event::TimerFired { token }),
            Scheduled::CallEnds { id, attempt, call } => {
                self.end_call(forwarder, id, attempt, call);
            }
            Scheduled::HealthCheckEnds(health_check) => {
                self.end_health_check(forwarder, health_check);
            }
        }
    }

    fn submit(&mut self, forwarder: usize) {
        self.last_id += 1;
        let submission = submission(MessageId(self.last_id), IDEMPOTENT, 0, TIME_TO_LIVE);
        self.schedule_submission(forwarder);
        self.handle(forwarder, Event::MessageSubmitted(submission));
    }

    fn end_call(&mut self, forwarder: usize, id: MessageId, attempt_index: u8, call: InFlight) {
        self.note_failure(forwarder, call);
        let is_delivered = call.outcome == Outcome::Delivered;
        if is_delivered && self.now > RETURNS_AT {
            self.delivered += 1;
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

    fn end_health_check(&mut self, forwarder: usize, health_check: InFlight) {
        self.note_failure(forwarder, health_check);
        let ended = Event::HealthCheckEnded {
            endpoint: health_check.endpoint,
            outcome: health_check.outcome,
            elapsed: self.now - health_check.sent_at,
            load_metrics: Vec::new(),
        };
        self.handle(forwarder, ended);
    }

    fn note_failure(&mut self, forwarder: usize, call: InFlight) {
        if call.outcome != Outcome::Delivered && fails_at(call.sent_at) {
            self.saw_failure[forwarder] = true;
        }
    }
}

/// Whether the destination fails at this time.
fn fails_at(time: Micros) -> bool {
    (FAILS_AT..RETURNS_AT).contains(&time)
}
