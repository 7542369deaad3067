//! Time passes: timers fire, connections come up late, and attempts end by themselves.

use super::super::message_table::TrackedMessage;
use super::super::Checked;
use super::World;
use opalpulley::*;

impl World {
    /// Lets time pass. Timers fire, attempts time out, and attempts that were stopped end.
    pub fn advance(&mut self, time: Micros) -> Checked {
        let until = self.now + time;
        loop {
            let attempt = self.next_attempt_step();
            let timer = self.timers.first().copied();
            let attempt_is_next = match (attempt, timer) {
                (Some((at, _)), Some((timer_at, _))) => at <= timer_at,
                (attempt, _) => attempt.is_some(),
            };
            match (attempt, timer) {
                (Some((at, id)), _) if at <= until && attempt_is_next => {
                    self.now = self.now.max(at);
                    self.step_attempt(id)?;
                }
                (_, Some((at, token))) if at <= until => {
                    self.timers.pop_first();
                    self.now = self.now.max(at);
                    self.handle(Event::TimerFired { token })?;
                }
                _ => break,
            }
        }
        self.now = until;
        self.oracle.check_deadlines(self.now, &self.messages)
    }

    /// The attempt in flight that is the next to do something by itself, and when.
    fn next_attempt_step(&self) -> Option<(Micros, MessageId)> {
        self.messages
            .all()
            .filter_map(|message| Some((self.attempt_step_at(message)?, message.submission.id)))
            .min()
    }

    /// When the attempt in flight at a message sends its bytes or ends by itself.
    fn attempt_step_at(&self, message: &TrackedMessage) -> Option<Micros> {
        let attempt = message.attempt_in_flight()?;
        let ends_at = match attempt.stopped_as {
            Some(_) => self.now,
            None => attempt.times_out_at.min(message.deadline),
        };
        match attempt.bytes_sent_at {
            Some(sent_at) => Some(sent_at.min(ends_at)),
            None => Some(ends_at),
        }
    }

    fn step_attempt(&mut self, id: MessageId) -> Checked {
        if self.send_bytes(id)? {
            return Ok(());
        }
        let stopped_as = self.messages.last_attempt(id)?.stopped_as;
        self.end_attempt(id, stopped_as.unwrap_or(Outcome::Timeout))
    }

    /// Sends the bytes of an attempt whose connection has come up; returns whether it has. The
    /// rules that hold at this moment are checked again.
    fn send_bytes(&mut self, id: MessageId) -> Checked<bool> {
        let now = self.now;
        let attempt = self.messages.last_attempt_mut(id)?;
        let is_connected = attempt.bytes_sent_at.is_some_and(|at| at <= now);
        if attempt.stopped_as.is_some() || !is_connected {
            return Ok(false);
        }
        attempt.bytes_sent_at = None;
        let endpoint = attempt.endpoint;
        match self.oracle.check_endpoint_takes_calls(now, endpoint) {
            Ok(()) => Ok(true),
            Err(broken) => Err(format!("{id:?} sends its bytes at {now}: {broken}")),
        }
    }
}
