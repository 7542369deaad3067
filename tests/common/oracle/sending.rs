//! The rules on the time and the receiving endpoint of an attempt, a call or a health check.

use super::super::message_table::{MessageTable, TrackedMessage};
use super::super::CheckResult;
use super::Oracle;
use opalpulley::*;

impl Oracle {
    /// Checks all rules on an attempt at a message that is about to be sent.
    pub fn check_attempt(
        &mut self,
        now: Micros,
        messages: &MessageTable,
        id: MessageId,
        endpoint: EndpointId,
    ) -> CheckResult {
        let message = messages.get(id)?;
        self.check_attempts_left(message)?;
        self.check_destination(message, endpoint)?;
        self.check_repeat(now, message, endpoint)?;
        if let Some(key) = self.order_key(message) {
            self.check_order(now, messages, message, key)?;
        }
        self.check_call(now, endpoint)
    }

    /// Rule: a message has at most one attempt in flight and at most `max_attempts` in all, and
    /// none after it is completed.
    fn check_attempts_left(&self, message: &TrackedMessage) -> CheckResult {
        let max_attempts = self.config.max_attempts as usize;
        if message.completed || message.attempts.len() >= max_attempts {
            return Err(format!(
                "the message is completed or has no attempts left: {message:?}"
            ));
        }
        if message.attempt_in_flight().is_some() {
            return Err("an attempt at the message is still in flight".into());
        }
        Ok(())
    }

    /// Rule: a message is sent to an endpoint of its destination.
    fn check_destination(&self, message: &TrackedMessage, endpoint: EndpointId) -> CheckResult {
        match self.entries.get(&endpoint) {
            Some(entry) if entry.destination == message.submission.destination => Ok(()),
            _ => Err("the endpoint does not belong to the destination of the message".into()),
        }
    }

    /// Rule: a message that may have taken effect is sent again only where the repeat is
    /// deduplicated or harmless.
    fn check_repeat(
        &self,
        now: Micros,
        message: &TrackedMessage,
        endpoint: EndpointId,
    ) -> CheckResult {
        let Some(first) = message.first_possible_effect() else {
            return Ok(());
        };
        let is_allowed = match self.class(message).semantics {
            DeliverySemantics::Idempotent => true,
            DeliverySemantics::AtMostOnce => false,
            DeliverySemantics::IdempotencyKeyed { scope, window } => {
                let is_in_scope = scope != DeduplicationScope::Zone
                    || self.zone(first.endpoint) == self.zone(endpoint);
                is_in_scope && now <= first.sent_at + window
            }
        };
        if is_allowed {
            Ok(())
        } else {
            Err(format!("the message might take effect twice: {message:?}"))
        }
    }

    /// Rule: messages of one order key are sent one at a time and in the order of submission, with
    /// a pause after an attempt with an unknown outcome.
    fn check_order(
        &self,
        now: Micros,
        messages: &MessageTable,
        message: &TrackedMessage,
        key: OrderKey,
    ) -> CheckResult {
        for earlier in messages.submitted_before(message.submission.id) {
            if self.order_key(earlier) != Some(key) {
                continue;
            }
            let has_ended = earlier.completed && earlier.attempt_in_flight().is_none();
            let is_acknowledged = !messages.unacknowledged.contains(&earlier.submission.id);
            if !has_ended || !is_acknowledged {
                return Err(
                    "an earlier message of the order key has not ended or is not acknowledged"
                        .into(),
                );
            }
        }
        let settles_at = self.key_settles_at.get(&key);
        if message.attempts.is_empty() && settles_at.is_some_and(|at| now < *at) {
            return Err(
                "the order key still settles after an attempt with an unknown outcome".into(),
            );
        }
        Ok(())
    }

    /// Checks the rules on a call or a health check to an endpoint, at the time at which the
    /// forwarder decides on it.
    pub fn check_call(&mut self, now: Micros, endpoint: EndpointId) -> CheckResult {
        self.check_endpoint_accepts_calls(now, endpoint)?;
        let rate = self.entries[&endpoint].rate;
        let has_batches = self.has_batches();
        let record = self.endpoint_records.entry(endpoint).or_default();
        record.check_slow_start(now, rate, has_batches, &self.config)
    }

    /// Rule: nothing is sent to an endpoint later than `drain_grace` after it began to drain or
    /// left the list, nor during a retry-after pause. The rule binds when the forwarder decides on
    /// a call and again when the bytes of the call are sent.
    pub fn check_endpoint_accepts_calls(&self, now: Micros, endpoint: EndpointId) -> CheckResult {
        let drain_grace = self.config.rules.drain_grace;
        let leaving_since = self.leaving_since.get(&endpoint);
        if leaving_since.is_some_and(|since| now > since + drain_grace) {
            return Err("the endpoint drains or has left the list".into());
        }
        let limit_key = self.limit_key(self.entries[&endpoint].destination, endpoint);
        let paused_until = self.paused_until.get(&limit_key);
        if paused_until.is_some_and(|until| now < *until) {
            return Err("a retry-after pause is in force".into());
        }
        Ok(())
    }
}
