//! Executes the core's actions.

use super::{log_events, Dispatcher};
use crate::commands::{EndpointCommand, EndpointListCommand, GossipDatagram};
use crate::protocol::Ending;
use opalpulley::{Action, EndpointId, EndpointListUpdate, Event, Micros, Outcome};
use slog::{error, warn};

impl Dispatcher {
    /// Executes one action. `now` is the time at which the core decided on it, in µs.
    pub(super) fn execute_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                send_by,
            } => self.start_attempt(now, id, endpoint, timeout, send_by),
            Action::Fail { id } => self.end_with_report(id, Ending::Failed),
            Action::Reject { id, retry_after } => {
                self.end_with_report(id, Ending::Rejected { retry_after });
            }
            Action::SetTimer { delay, token } => self.timers.set(now + delay, token),
            Action::StartHealthCheck { endpoint } => self.start_health_check(endpoint),
            Action::CancelAttempt { id, attempt_index } => self.cancel_attempt(id, attempt_index),
            Action::WithdrawUnsent { endpoint } => {
                self.send_endpoint_command_if_running(endpoint, EndpointCommand::WithdrawUnsent);
            }
            // No connection is idle: each carries one request and is then closed.
            Action::CloseIdleConnections { .. } => {}
            Action::WatchEndpointList { enabled } => {
                self.send_list_command(if enabled {
                    EndpointListCommand::StartWatch
                } else {
                    EndpointListCommand::StopWatch
                });
            }
            Action::FetchEndpointList => self.send_list_command(EndpointListCommand::Fetch),
            Action::SendGossip { peer, payload } => {
                self.send_gossip(GossipDatagram { peer, payload });
            }
            Action::Log(event) => log_events::write(&self.log, &event),
            Action::LogError(message) => error!(self.log, "{}", message),
        }
    }

    fn start_health_check(&mut self, endpoint: EndpointId) {
        if self.send_endpoint_command(endpoint, EndpointCommand::StartHealthCheck) {
            return;
        }
        self.queued_events.push_back(Event::HealthCheckEnded {
            endpoint,
            outcome: Outcome::NoConnection,
            elapsed: 0,
            load_metrics: Vec::new(),
        });
    }

    /// Sends a command to the actor that watches the endpoint list. A full or closed mailbox is reported to the core as a
    /// failed poll, so that the core polls again later.
    fn send_list_command(&mut self, command: EndpointListCommand) {
        if self.list_watch.try_send(command).is_err() {
            let failed = Event::EndpointListUpdated(EndpointListUpdate::Failed);
            self.queued_events.push_back(failed);
        }
    }

    /// Sends a datagram to the gossip socket. It is dropped if the mailbox is full or closed.
    fn send_gossip(&self, datagram: GossipDatagram) {
        if self.gossip.try_send(datagram).is_err() {
            warn!(
                self.log,
                "gossip datagram dropped: the mailbox of the gossip socket is full or closed"
            );
        }
    }

    /// Sends a command to the actor of an endpoint, and starts the actor if it isn't running. Returns false if the
    /// endpoint is not listed or the actor's mailbox is full.
    pub(super) fn send_endpoint_command(
        &mut self,
        endpoint: EndpointId,
        command: EndpointCommand,
    ) -> bool {
        if !self.listed_endpoints.contains_key(&endpoint) {
            return false;
        }
        let now = self.clock.now();
        self.endpoint_actors.send_command(now, endpoint, command)
    }

    /// Sends a command to the actor of an endpoint if the actor is running. An endpoint without an actor has neither
    /// attempts nor connections.
    fn send_endpoint_command_if_running(&mut self, endpoint: EndpointId, command: EndpointCommand) {
        if self.endpoint_actors.is_running(endpoint) {
            self.send_endpoint_command(endpoint, command);
        }
    }
}
