//! Time passes: timers fire, connections come up late, and attempts end by themselves.

use super::super::message_table::TrackedMessage;
use super::super::CheckResult;
use super::World;
use opalpulley::*;

impl World {
    /// Lets time pass. Timers fire, attempts time out, and attempts that were stopped end.
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

    /// The attempt in flight that is the next to do something by itself, and when.
    fn next_attempt_event(&self) -> Option<(Micros, MessageId)> {
        self.messages
            .all()
            .filter_map(|message| Some((self.attempt_event_at(message)?, message.submission.id)))
            .min()
    }

    /// When the attempt in flight at a message sends its bytes or ends by itself.
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

    /// Sends the bytes of an attempt whose connection has come up; returns whether it has. The
    /// rules that hold at this moment are checked again.
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
            Err(violation) => Err(format!("{id:?} sends its bytes at {now}: {violation}")),
        }
    }
}
