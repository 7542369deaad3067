//! A simulated world round one forwarder: clock, timers, clients, endpoints and endpoint list.

mod actions;
mod clock;

use super::fixtures::{submission, MS, TIME_TO_LIVE};
use super::message_table::{Attempt, MessageTable, TrackedMessage};
use super::oracle::Oracle;
use super::CheckResult;
use opalpulley::*;
use std::collections::BTreeSet;

/// Simulated time at which a world begins, in µs.
const START_TIME: Micros = 1_000_000;

/// Owns a forwarder and simulates everything that it communicates with. The oracle checks every
/// step.
pub struct World {
    pub now: Micros,
    pub config: Config,
    pub forwarder: Forwarder,
    pub messages: MessageTable,
    /// Actions of the current run of the forwarder.
    pub actions: Vec<Action>,
    /// Actions of all previous runs of the forwarder.
    pub earlier_actions: Vec<Action>,
    /// Endpoints with a health check in flight, in the order of sending.
    pub health_checks_in_flight: Vec<EndpointId>,
    /// Delay until the connection of a new attempt is established, in µs; 0 if it is established
    /// already.
    pub connect_delay: Micros,
    oracle: Oracle,
    timers: BTreeSet<(Micros, TimerToken)>,
    last_message_id: u32,
    /// Number of destinations that previous runs restored from summaries.
    restored_in_previous_runs: u64,
}

impl World {
    /// Creates a world whose forwarder has just started with the given endpoint list.
    pub fn new(config: Config, list: Vec<EndpointEntry>) -> World {
        let mut world = World::without_list(config);
        world
            .report_list(EndpointListUpdate::Cached(list))
            .expect("the first endpoint list must not break a rule");
        world
    }

    fn without_list(config: Config) -> World {
        let seed = 7 + u64::from(config.forwarder_id);
        World {
            now: START_TIME,
            forwarder: Forwarder::new(config.clone(), seed),
            oracle: Oracle::new(config.clone()),
            config,
            messages: MessageTable::default(),
            actions: Vec::new(),
            earlier_actions: Vec::new(),
            health_checks_in_flight: Vec::new(),
            connect_delay: 0,
            timers: BTreeSet::new(),
            last_message_id: 0,
            restored_in_previous_runs: 0,
        }
    }

    /// Simulates a crash and a start without a journal: the new run owes no final answers.
    pub fn restart_without_journal(&mut self) -> CheckResult {
        let cached_list = EndpointListUpdate::Cached(self.oracle.entries());
        let mut earlier_actions = std::mem::take(&mut self.earlier_actions);
        earlier_actions.append(&mut self.actions);
        *self = World {
            now: self.now,
            last_message_id: self.last_message_id,
            earlier_actions,
            restored_in_previous_runs: self.restored_destinations(),
            ..World::new(self.config.clone(), Vec::new())
        };
        self.report_list(cached_list)
    }

    /// Simulates the end of the process and a start with its journal: the new run owes every
    /// pending message a final answer.
    pub fn restart_with_journal(&mut self) -> CheckResult {
        let messages = std::mem::take(&mut self.messages);
        self.restart_without_journal()?;
        for message in messages.into_all() {
            if !message.completed {
                self.resubmit(message)?;
            }
        }
        Ok(())
    }

    /// Submits a message of the previous run again, with the attempts that its journal holds.
    fn resubmit(&mut self, mut message: TrackedMessage) -> CheckResult {
        if let Some(last_attempt) = message.attempts.last_mut() {
            if last_attempt.is_in_flight() {
                last_attempt.outcome = Some(Outcome::ConnectionReset);
                last_attempt.bytes_due_at = None;
            }
        }
        let possible_effect = message
            .first_possible_effect()
            .map(|attempt| PossibleEffect {
                sent_at: attempt.sent_at,
                zone: self.oracle.zone(attempt.endpoint).unwrap_or(ZoneId(0)),
            });
        let submission = Submission {
            time_left: message.deadline.saturating_sub(self.now),
            order_key: None,
            resubmitted: true,
            history: AttemptHistory {
                attempts: message.attempts.len() as u32,
                possible_effect,
            },
            ..message.submission
        };
        self.submit_with_attempts(submission, message.attempts)?;
        Ok(())
    }

    /// Returns the number of destinations that the forwarder has restored from summaries in all its
    /// runs.
    pub fn restored_destinations(&self) -> u64 {
        self.restored_in_previous_runs + self.forwarder.state_counts().restored
    }

    /// Reports an update of the endpoint list to the forwarder, as discovery does.
    pub fn report_list(&mut self, update: EndpointListUpdate) -> CheckResult {
        self.oracle.observe_list(self.now, &update);
        self.handle(Event::EndpointListUpdated(update))
    }

    /// Reports a change of one entry of the endpoint list.
    pub fn report_entry_change(&mut self, entry: EndpointEntry) -> CheckResult {
        self.report_list(EndpointListUpdate::Changes(vec![entry]))
    }

    /// Submits a message without an order key and with its whole time to live left.
    pub fn submit(&mut self, class: u16, destination: u32) -> CheckResult<MessageId> {
        self.submit_with_time_left(class, destination, TIME_TO_LIVE)
    }

    /// Submits `count` messages without an order key.
    pub fn submit_many(&mut self, count: usize, class: u16, destination: u32) -> CheckResult {
        for _ in 0..count {
            self.submit(class, destination)?;
        }
        Ok(())
    }

    /// Submits a message without an order key and with `time_left` µs to its deadline.
    pub fn submit_with_time_left(
        &mut self,
        class: u16,
        destination: u32,
        time_left: Micros,
    ) -> CheckResult<MessageId> {
        self.submit_with_key(class, destination, None, time_left)
    }

    /// Submits a message with `time_left` µs to its deadline, and returns its id.
    pub fn submit_with_key(
        &mut self,
        class: u16,
        destination: u32,
        order_key: Option<OrderKey>,
        time_left: Micros,
    ) -> CheckResult<MessageId> {
        self.last_message_id += 1;
        let id = MessageId(self.last_message_id);
        let submission = Submission {
            order_key,
            ..submission(id, class, destination, time_left)
        };
        self.submit_with_attempts(submission, Vec::new())
    }

    fn submit_with_attempts(
        &mut self,
        submission: Submission,
        attempts: Vec<Attempt>,
    ) -> CheckResult<MessageId> {
        let id = submission.id;
        self.messages.insert(TrackedMessage {
            submission: submission.clone(),
            deadline: self.now + submission.time_left,
            attempts,
            completed: false,
        });
        self.handle(Event::MessageSubmitted(submission))?;
        Ok(id)
    }

    /// Withdraws a message on behalf of its client.
    pub fn withdraw(&mut self, id: MessageId) -> CheckResult {
        self.messages.get_mut(id)?.completed = true;
        self.handle(Event::MessageWithdrawn { id })
    }

    /// Reports to the forwarder that the final answer to a message was acknowledged.
    pub fn acknowledge(&mut self, id: MessageId) -> CheckResult {
        self.messages.unacknowledged.remove(&id);
        self.handle(Event::FinalAnswerAcknowledged { id })
    }

    /// Delivers a gossip message from the forwarder with the number `peer`.
    pub fn receive_gossip(&mut self, peer: u16, payload: Vec<u8>) -> CheckResult {
        self.handle(Event::GossipReceived { peer, payload })
    }

    /// Delivers a retry-after that an endpoint sends ahead of the rest of its response. Does
    /// nothing if the message has no attempt in flight, or if the bytes of the attempt are not sent
    /// yet.
    pub fn receive_retry_after(&mut self, id: MessageId, retry_after: Micros) -> CheckResult {
        let Some(attempt) = self.messages[id].attempt_in_flight() else {
            return Ok(());
        };
        if attempt.bytes_due_at.is_some() {
            return Ok(());
        }
        let endpoint = attempt.endpoint;
        self.observe_retry_after(id, endpoint, retry_after);
        self.handle(Event::RetryAfterReceived {
            endpoint,
            retry_after,
        })
    }

    fn observe_retry_after(&mut self, id: MessageId, endpoint: EndpointId, retry_after: Micros) {
        let destination = self.messages[id].submission.destination;
        self.oracle
            .observe_retry_after(self.now, destination, endpoint, retry_after);
    }

    /// Ends the last attempt at a message with this outcome, unless the state of the attempt
    /// requires another one: an attempt that was withdrawn before it was sent ends as withdrawn,
    /// and an endpoint can respond only to bytes that it received.
    pub fn end_attempt(&mut self, id: MessageId, outcome: Outcome) -> CheckResult {
        let attempt = self.messages.last_attempt(id)?.clone();
        let outcome = match (attempt.stop_outcome, attempt.bytes_due_at) {
            (Some(Outcome::WithdrawnBeforeSend), _) => Outcome::WithdrawnBeforeSend,
            (None, Some(_)) if outcome != Outcome::Timeout => Outcome::NoConnection,
            _ => outcome,
        };
        if let Outcome::Rejected {
            retry_after: Some(retry_after),
        } = outcome
        {
            self.observe_retry_after(id, attempt.endpoint, retry_after);
        }
        self.oracle.observe_outcome(self.now, &attempt, outcome);
        let attempt_index = self.messages[id].attempts.len() - 1;
        self.record_outcome(id, outcome)?;
        self.handle(Event::AttemptEnded {
            id,
            attempt_index: attempt_index as u8,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: self.now - attempt.sent_at,
            message_completed: self.messages[id].completed,
            load_metrics: Vec::new(),
        })
    }

    /// Ends all attempts in flight with this outcome and returns their number.
    pub fn end_all_attempts(&mut self, outcome: Outcome) -> CheckResult<usize> {
        let in_flight = self.messages.ids_in_flight();
        for id in &in_flight {
            self.end_attempt(*id, outcome)?;
        }
        Ok(in_flight.len())
    }

    fn record_outcome(&mut self, id: MessageId, outcome: Outcome) -> CheckResult {
        let message = self.messages.get_mut(id)?;
        if outcome == Outcome::WithdrawnBeforeSend {
            // An attempt that was withdrawn before it was sent does not count.
            message.attempts.pop();
        } else if let Some(last_attempt) = message.attempts.last_mut() {
            last_attempt.outcome = Some(outcome);
        }
        if outcome == Outcome::Delivered {
            message.completed = true;
        }
        let is_unknown = matches!(
            outcome,
            Outcome::Timeout | Outcome::ConnectionReset | Outcome::Cancelled
        );
        if let (true, Some(key)) = (is_unknown, self.oracle.order_key(&self.messages[id])) {
            self.oracle.observe_unknown_outcome(self.now, key);
        }
        Ok(())
    }

    /// Ends the health check that was sent last, if any is in flight.
    pub fn end_health_check(&mut self, outcome: Outcome) -> CheckResult {
        match self.health_checks_in_flight.pop() {
            Some(endpoint) => self.handle(Event::HealthCheckEnded {
                endpoint,
                outcome,
                elapsed: MS,
                load_metrics: Vec::new(),
            }),
            None => Ok(()),
        }
    }

    /// Returns the times at which the attempts at a message were sent, in µs.
    pub fn attempts_sent_at(&self, id: MessageId) -> Vec<Micros> {
        let attempts = self.messages[id].attempts.iter();
        attempts.map(|attempt| attempt.sent_at).collect()
    }

    /// Returns the number of attempts at a message, including one in flight.
    pub fn attempt_count(&self, id: MessageId) -> usize {
        self.messages[id].attempts.len()
    }

    /// Returns whether the forwarder has failed a message in this run.
    pub fn has_failed(&self, id: MessageId) -> bool {
        self.actions.contains(&Action::Fail { id })
    }

    /// Returns whether a log line of this run contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        self.actions.iter().any(|action| match action {
            Action::Log(event) => event.to_string().contains(text),
            _ => false,
        })
    }

    pub fn has_ejected(&self) -> bool {
        self.has_logged("endpoint ejected")
    }
}
