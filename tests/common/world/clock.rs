//! Advances the simulated clock: timers fire, delayed connections are established, and attempts end
//! without a response.

use super::super::message_table::TrackedMessage;
use super::super::CheckResult;
use super::World;
use opalpulley::*;

impl World {
    /// Advances the clock by `duration` µs. Timers fire, attempts time out, and cancelled or
    /// withdrawn attempts end. Fails if a message misses its final answer.
    pub fn advance(&mut self, duration: Micros) -> CheckResult {
        let end = self.now + duration;
        loop {
            let attempt = self.next_attempt_event();
            let timer = self.timers.first().copied();
            let attempt_is_next = match (attempt, timer) {
                (Some((at, _)), Some((timer_at, _))) => at <= timer_at,
                (attempt, _) => attempt.is_some(),
            };
            match (attempt, timer) {
                (Some((at, id)), _) if at <= end && attempt_is_next => {
                    self.now = self.now.max(at);
                    self.handle_attempt_event(id)?;
                }
                (_, Some((at, token))) if at <= end => {
                    self.timers.pop_first();
                    self.now = self.now.max(at);
                    self.handle(Event::TimerFired { token })?;
                }
                _ => break,
            }
        }
        self.now = end;
        self.oracle.check_deadlines(self.now, &self.messages)
    }

    /// Returns the time and the message of the next attempt that sends its bytes or ends without a
    /// response.
    fn next_attempt_event(&self) -> Option<(Micros, MessageId)> {
        self.messages
            .all()
            .filter_map(|message| Some((self.attempt_event_at(message)?, message.submission.id)))
            .min()
    }

    /// Returns the time at which the attempt in flight at a message sends its bytes or ends without
    /// a response. Returns `None` if no attempt is in flight.
    fn attempt_event_at(&self, message: &TrackedMessage) -> Option<Micros> {
        let attempt = message.attempt_in_flight()?;
        let ends_at = match attempt.stop_outcome {
            Some(_) => self.now,
            None => attempt.times_out_at.min(message.deadline),
        };
        match attempt.bytes_due_at {
            Some(sent_at) => Some(sent_at.min(ends_at)),
            None => Some(ends_at),
        }
    }

    fn handle_attempt_event(&mut self, id: MessageId) -> CheckResult {
        if self.send_bytes_if_connected(id)? {
            return Ok(());
        }
        let stop_outcome = self.messages.last_attempt(id)?.stop_outcome;
        self.end_attempt(id, stop_outcome.unwrap_or(Outcome::Timeout))
    }

    /// Sends the bytes of an attempt if its connection is established by now, and returns whether
    /// they were sent. The rules that bind at the time of sending are checked again.
    fn send_bytes_if_connected(&mut self, id: MessageId) -> CheckResult<bool> {
        let now = self.now;
        let attempt = self.messages.last_attempt_mut(id)?;
        let is_connected = attempt.bytes_due_at.is_some_and(|at| at <= now);
        if attempt.stop_outcome.is_some() || !is_connected {
            return Ok(false);
        }
        attempt.bytes_due_at = None;
        let endpoint = attempt.endpoint;
        match self.oracle.check_endpoint_accepts_calls(now, endpoint) {
            Ok(()) => Ok(true),
            Err(violation) => Err(format!("bytes of {id:?} sent at {now}: {violation}")),
        }
    }
}
