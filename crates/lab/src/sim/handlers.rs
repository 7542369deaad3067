//! Dispatches each simulated event to the method that handles it.

use super::event::SimulatedEvent;
use super::{Sim, OVERDUE_CHECK_INTERVAL};
use opalpulley::Event;

impl Sim {
    pub(super) fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Due(due) => {
                self.schedule_next_due();
                self.message_due(due);
            }
            SimulatedEvent::Submit { message } => self.submit(message),
            SimulatedEvent::RequestSent { attempt } => self.request_sent(attempt),
            SimulatedEvent::RequestArrives { attempt } => self.request_arrives(attempt),
            SimulatedEvent::RetryAfterReceived {
                attempt,
                retry_after,
            } => self.retry_after_received(attempt, retry_after),
            SimulatedEvent::AttemptEnds { attempt, outcome } => self.attempt_ends(attempt, outcome),
            SimulatedEvent::HealthCheckArrives(check) => self.health_check_arrives(check),
            SimulatedEvent::HealthCheckEnds {
                health_check,
                outcome,
            } => self.health_check_ends(health_check, outcome),
            SimulatedEvent::FaultChanges { fault, begins } => self.fault_changes(fault, begins),
            SimulatedEvent::EndpointDrains { endpoint, removed } => {
                self.endpoint_drains(endpoint, removed)
            }
            SimulatedEvent::OverdueCheck => self.check_overdue_answers(),
            other => self.handle_for_forwarder(other),
        }
    }

    /// Dispatches the events that concern a forwarder process.
    fn handle_for_forwarder(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::TimerFires {
                forwarder,
                incarnation,
                token,
            } => self.deliver_event(forwarder, incarnation, Event::TimerFired { token }),
            SimulatedEvent::ListUpdate { forwarder, update } => {
                self.receive_list_update(forwarder, update)
            }
            SimulatedEvent::PollAnswered {
                forwarder,
                incarnation,
                answered,
            } => self.poll_answered(forwarder, incarnation, answered),
            SimulatedEvent::Gossip { from, to, payload } => self.receive_gossip(from, to, payload),
            SimulatedEvent::ProcessRestarts {
                forwarder,
                folder_kept,
            } => self.restart_process(forwarder, folder_kept),
            SimulatedEvent::ProcessResumes { forwarder } => self.resume_process(forwarder),
            _ => {}
        }
    }

    fn receive_gossip(&mut self, peer: u32, to: u32, payload: Vec<u8>) {
        let incarnation = self.processes[to as usize].incarnation;
        let peer = peer as u16;
        self.deliver_event(to, incarnation, Event::GossipReceived { peer, payload });
    }

    /// Runs the oracle's check for overdue answers, updates the peak table size, and schedules the next check.
    fn check_overdue_answers(&mut self) {
        self.oracle.check_overdue_answers(self.now);
        let table_entries = self.oracle.table_entries()
            + self.receivers.entry_count()
            + self.messages.len()
            + self.attempts.len();
        self.stats.peak_table_entries = self.stats.peak_table_entries.max(table_entries);
        self.schedule(
            self.now + OVERDUE_CHECK_INTERVAL,
            SimulatedEvent::OverdueCheck,
        );
    }
}
