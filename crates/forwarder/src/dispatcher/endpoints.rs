//! The actors of the endpoints in use. An actor is started by the first command to its endpoint, and is stopped once the
//! endpoint has been idle for a while.

use crate::commands::EndpointCommand;
use crate::endpoints::{Endpoint, EndpointContext};
use crate::protocol::address;
use opalpulley::{EndpointId, Micros};
use slog::error;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Capacity of an actor's mailbox for each concurrency permit, in commands: an attempt, its cancellation, and the
/// withdrawal that a retry-after in its response causes.
const COMMANDS_PER_PERMIT: usize = 3;

/// Capacity of an actor's mailbox for commands that belong to no permit: health checks, and withdrawals after a change of
/// the endpoint list.
const COMMANDS_WITHOUT_PERMIT: usize = 64;

/// Upper bound on the duration of a health check, in connect timeouts: `HEALTH_CHECK_TIMEOUT_FACTOR` of the endpoint's
/// actor (1.5), rounded up.
const HEALTH_CHECK_CONNECT_TIMEOUTS: Micros = 2;

/// An actor that has been started and not stopped, as [`EndpointActors`] sees it.
struct RunningActor {
    mailbox: mpsc::Sender<EndpointCommand>,
    outstanding_attempt_count: usize,
    /// Time at which the latest command was sent to the actor or its latest attempt ended, in µs.
    last_used_at: Micros,
    /// Time of the next check whether the actor is idle, in µs.
    idle_check_at: Micros,
}

/// The running actors, with the time of their next idle check. Owned by the dispatcher.
pub struct EndpointActors {
    context: Arc<EndpointContext>,
    mailbox_capacity: usize,
    /// Time without use after which an actor is stopped, in µs.
    idle_timeout: Micros,
    running: BTreeMap<EndpointId, RunningActor>,
    /// The next idle check of each running actor, the earliest first. Times are in µs.
    idle_checks: BTreeSet<(Micros, EndpointId)>,
}

impl EndpointActors {
    /// Creates an empty set of actors. `concurrency_limit` is the upper bound on the outstanding attempts of the
    /// forwarder.
    pub fn new(context: Arc<EndpointContext>, concurrency_limit: u32) -> EndpointActors {
        let mailbox_capacity =
            COMMANDS_PER_PERMIT * concurrency_limit as usize + COMMANDS_WITHOUT_PERMIT;
        // After this time every health check has ended.
        let config = &context.config;
        let health_check_timeout =
            HEALTH_CHECK_CONNECT_TIMEOUTS.saturating_mul(config.connect_timeout);
        let idle_timeout = config
            .connection_idle_timeout
            .saturating_add(health_check_timeout);
        EndpointActors {
            context,
            mailbox_capacity,
            idle_timeout,
            running: BTreeMap::new(),
            idle_checks: BTreeSet::new(),
        }
    }

    /// Sends a command to the actor of an endpoint, and starts the actor if it isn't running. Returns false if the
    /// actor's mailbox is full.
    pub fn send_command(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        command: EndpointCommand,
    ) -> bool {
        let (context, capacity) = (&self.context, self.mailbox_capacity);
        let idle_check_at = now.saturating_add(self.idle_timeout);
        let actor = self.running.entry(endpoint).or_insert_with(|| {
            self.idle_checks.insert((idle_check_at, endpoint));
            RunningActor {
                mailbox: start_actor(endpoint, context, capacity),
                outstanding_attempt_count: 0,
                last_used_at: now,
                idle_check_at,
            }
        });
        actor.last_used_at = now;
        let sent = match actor.mailbox.try_send(command) {
            // The actor ended before it could read the command, so a new actor gets it.
            Err(TrySendError::Closed(command)) => {
                actor.mailbox = start_actor(endpoint, context, capacity);
                actor.mailbox.try_send(command)
            }
            sent => sent,
        };
        if let Err(error) = &sent {
            error!(context.log, "endpoint command dropped";
                "endpoint" => %address(endpoint), "problem" => %error);
        }
        sent.is_ok()
    }

    /// Returns whether the actor of the endpoint is running.
    pub fn is_running(&self, endpoint: EndpointId) -> bool {
        self.running.contains_key(&endpoint)
    }

    /// Counts an attempt as outstanding. The caller has sent it to the actor of the endpoint.
    pub fn attempt_started(&mut self, endpoint: EndpointId) {
        if let Some(actor) = self.running.get_mut(&endpoint) {
            actor.outstanding_attempt_count += 1;
        }
    }

    /// Counts an attempt as ended, once the actor of the endpoint has reported its outcome.
    pub fn attempt_ended(&mut self, now: Micros, endpoint: EndpointId) {
        if let Some(actor) = self.running.get_mut(&endpoint) {
            actor.outstanding_attempt_count = actor.outstanding_attempt_count.saturating_sub(1);
            actor.last_used_at = now;
        }
    }

    /// Returns the number of outstanding attempts at the endpoint.
    pub fn outstanding_attempt_count(&self, endpoint: EndpointId) -> usize {
        self.running
            .get(&endpoint)
            .map_or(0, |actor| actor.outstanding_attempt_count)
    }

    /// Stops the actor of the endpoint. The actor still finishes the commands in its mailbox.
    pub fn stop(&mut self, endpoint: EndpointId) {
        if let Some(actor) = self.running.remove(&endpoint) {
            self.idle_checks.remove(&(actor.idle_check_at, endpoint));
        }
    }

    /// Returns the time at which [`EndpointActors::stop_idle`] is due next, in µs. `None` if no actor is running.
    pub fn next_idle_check_at(&self) -> Option<Micros> {
        self.idle_checks.first().map(|(due_at, _)| *due_at)
    }

    /// Stops the actors that have been idle for the idle timeout. An actor with an outstanding attempt is not idle.
    pub fn stop_idle(&mut self, now: Micros) {
        while let Some(endpoint) = self.pop_due_idle_check(now) {
            let Some(actor) = self.running.get_mut(&endpoint) else {
                continue;
            };
            let idle_since = if actor.outstanding_attempt_count > 0 {
                now
            } else {
                actor.last_used_at
            };
            let idle_timeout_at = idle_since.saturating_add(self.idle_timeout);
            if idle_timeout_at <= now {
                self.running.remove(&endpoint);
            } else {
                actor.idle_check_at = idle_timeout_at;
                self.idle_checks.insert((idle_timeout_at, endpoint));
            }
        }
    }

    /// Removes the earliest idle check if it is due at `now`, and returns its endpoint.
    fn pop_due_idle_check(&mut self, now: Micros) -> Option<EndpointId> {
        let (due_at, endpoint) = self.idle_checks.first().copied()?;
        if due_at > now {
            return None;
        }
        self.idle_checks.remove(&(due_at, endpoint));
        Some(endpoint)
    }
}

/// Starts an actor and returns its mailbox. Dropping the mailbox stops the actor: it reads the commands that are left,
/// and waits for the attempts and health checks in flight.
fn start_actor(
    endpoint: EndpointId,
    context: &Arc<EndpointContext>,
    capacity: usize,
) -> mpsc::Sender<EndpointCommand> {
    let (mailbox, commands) = mpsc::channel(capacity);
    tokio::spawn(Endpoint::new(endpoint, context.clone()).run(commands));
    mailbox
}

#[cfg(test)]
mod tests;
