//! Passes events to the forwarder, and checks and executes the resulting actions.

use super::super::message_table::Attempt;
use super::super::CheckResult;
use super::World;
use opalpulley::*;

impl World {
    /// Passes an event to the forwarder, and checks and executes all resulting actions. Fails with
    /// the first rule that an action breaks.
    pub fn handle(&mut self, event: Event) -> CheckResult {
        let mut actions = Vec::new();
        self.forwarder.handle(self.now, event, &mut actions);
        for action in &actions {
            self.execute_action(action)
                .map_err(|violation| format!("at {}: {action:?}: {violation}", self.now))?;
        }
        self.actions.extend(actions);
        Ok(())
    }

    fn execute_action(&mut self, action: &Action) -> CheckResult {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.start_attempt(*id, *endpoint, *timeout),
            Action::Reject { id, .. } | Action::Fail { id } => self.complete_message(*id, action),
            Action::StartHealthCheck { endpoint } => self.start_health_check(*endpoint),
            Action::CancelAttempt { id, .. } => self.cancel_attempt(*id),
            Action::WithdrawUnsent { endpoint } => {
                self.withdraw_unsent(*endpoint);
                Ok(())
            }
            Action::SetTimer { delay, token } => {
                // A timer never fires at the time at which it is set.
                self.timers.insert((self.now + delay.max(&1), *token));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn start_attempt(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        timeout: Option<Micros>,
    ) -> CheckResult {
        self.oracle
            .check_attempt(self.now, &self.messages, id, endpoint)?;
        let connects_late = self.connect_delay > 0;
        let bytes_due_at = connects_late.then_some(self.now + self.connect_delay);
        let message = self.messages.get_mut(id)?;
        let times_out_at = match timeout {
            Some(timeout) => self.now + timeout,
            None => message.deadline,
        };
        message.attempts.push(Attempt {
            sent_at: self.now,
            endpoint,
            times_out_at,
            stop_outcome: None,
            outcome: None,
            bytes_due_at,
        });
        self.oracle.check_permits(&self.messages)
    }

    fn complete_message(&mut self, id: MessageId, answer: &Action) -> CheckResult {
        self.oracle
            .check_final_answer(self.messages.get(id)?, answer)?;
        self.messages.get_mut(id)?.completed = true;
        if self.config.order_release == OrderRelease::OnAcknowledgement {
            self.messages.unacknowledged.insert(id);
        }
        Ok(())
    }

    fn start_health_check(&mut self, endpoint: EndpointId) -> CheckResult {
        self.health_checks_in_flight.push(endpoint);
        if !self.config.may_health_check {
            return Err("health checks are disabled by the configuration".into());
        }
        self.oracle.check_call(self.now, endpoint)
    }

    fn cancel_attempt(&mut self, id: MessageId) -> CheckResult {
        let attempt = self.messages.last_attempt_mut(id)?;
        attempt.stop_outcome.get_or_insert(Outcome::Cancelled);
        Ok(())
    }

    /// Marks the attempts to an endpoint whose bytes are not sent yet as withdrawn.
    fn withdraw_unsent(&mut self, endpoint: EndpointId) {
        for attempt in self.messages.last_attempts_mut() {
            let is_unsent = attempt.is_in_flight() && attempt.bytes_due_at.is_some();
            if attempt.endpoint == endpoint && is_unsent {
                attempt
                    .stop_outcome
                    .get_or_insert(Outcome::WithdrawnBeforeSend);
            }
        }
    }
}
