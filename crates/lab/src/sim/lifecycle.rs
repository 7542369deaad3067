//! Kills, restarts, pauses and resumes simulated forwarder processes.

use super::simulated_process::UnfinishedMessage;
use super::Sim;
use crate::oracle::CallEffect;
use crate::world::Layout;
use opalpulley::{AttemptHistory, Event, Micros, PossibleEffect, Submission, ZoneId};

/// Time after a restart or a resumption during which final answers may be late, µs.
const RESTART_GRACE: Micros = 1_500_000;

impl Sim {
    /// Kills a process and aborts its calls. If its state folder is kept, its messages are recovered at the restart;
    /// otherwise they are lost.
    pub(super) fn kill_process(&mut self, forwarder: u32, folder_kept: bool) {
        let process = &mut self.processes[forwarder as usize];
        if !process.is_up() {
            return;
        }
        process.subject = None;
        process.paused = false;
        process.incarnation += 1;
        process.inbox.clear();
        self.abort_attempts(forwarder);
        for connections in &mut self.connections {
            connections.idle.remove(&forwarder);
        }
        self.oracle.process_ended(forwarder);
        self.oracle.excuse_until(forwarder, Micros::MAX);
        let process = &mut self.processes[forwarder as usize];
        process
            .unfinished_messages
            .retain(|_, message| !message.ended);
        if !folder_kept {
            self.lose_folder(forwarder);
        }
    }

    /// Aborts the attempts of a killed process, in the order of their numbers so that runs stay deterministic.
    fn abort_attempts(&mut self, forwarder: u32) {
        let attempts_of_process = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.forwarder == forwarder);
        let mut numbers: Vec<u64> = attempts_of_process
            .map(|(attempt_number, _)| *attempt_number)
            .collect();
        numbers.sort_unstable();
        for attempt_number in numbers {
            self.abort_attempt(attempt_number);
        }
    }

    fn abort_attempt(&mut self, attempt_number: u64) {
        let Some(attempt) = self.attempts.remove(&attempt_number) else {
            return;
        };
        let forwarder = attempt.forwarder;
        self.tally.calls_in_flight = self.tally.calls_in_flight.saturating_sub(1);
        self.oracle.call_ended(
            attempt.submission,
            forwarder,
            attempt.sent_at,
            CallEffect::Possible,
        );
        let index = Layout::endpoint_index(attempt.endpoint);
        self.release_connection(forwarder, index, false);
        let process = &mut self.processes[forwarder as usize];
        let possible_effect = PossibleEffect {
            sent_at: attempt.sent_at + process.clock_offset,
            zone: ZoneId(self.layout.endpoints[index].zone),
        };
        if let Some(unfinished_message) = process.unfinished_messages.get_mut(&attempt.id) {
            unfinished_message.in_flight.clear();
            unfinished_message
                .possible_effect
                .get_or_insert(possible_effect);
        }
    }

    /// Drops the messages of a killed process whose state folder is lost, and its endpoint list.
    fn lose_folder(&mut self, forwarder: u32) {
        let process = &mut self.processes[forwarder as usize];
        let lost = std::mem::take(&mut process.unfinished_messages);
        process.known_endpoints.clear();
        self.oracle.lost_with_folder(forwarder, self.now);
        for unfinished_message in lost.into_values() {
            if self
                .messages
                .remove(&unfinished_message.client_message)
                .is_some()
            {
                self.tally.counts.gone += 1;
            }
        }
    }

    /// Restarts a killed process, which recovers the messages of its state folder if the folder was kept.
    pub(super) fn restart_process(&mut self, forwarder: u32, folder_kept: bool) {
        self.oracle
            .excuse_until(forwarder, self.now + RESTART_GRACE);
        self.start_process(forwarder);
        if self.processes[forwarder as usize].follows_list {
            self.send_complete_list(forwarder);
        }
        if !folder_kept {
            return;
        }
        let process = &mut self.processes[forwarder as usize];
        let messages: Vec<UnfinishedMessage> = std::mem::take(&mut process.unfinished_messages)
            .into_values()
            .collect();
        for unfinished_message in messages {
            self.recover_message(forwarder, unfinished_message);
        }
    }

    /// Submits a message of the state folder to the restarted forwarder, with the history of its attempts.
    fn recover_message(&mut self, forwarder: u32, mut unfinished_message: UnfinishedMessage) {
        let process = &mut self.processes[forwarder as usize];
        let id = process.new_id();
        unfinished_message.message = Submission {
            id,
            time_left: unfinished_message.deadline.saturating_sub(self.now),
            resubmitted: true,
            history: AttemptHistory {
                attempts: unfinished_message.attempts,
                possible_effect: unfinished_message.possible_effect,
            },
            ..unfinished_message.message
        };
        let message = unfinished_message.message.clone();
        process.unfinished_messages.insert(id, unfinished_message);
        self.run_forwarder(forwarder, Event::MessageSubmitted(message), None);
    }

    /// Pauses a process: it handles no events until it is resumed.
    pub(super) fn pause_process(&mut self, forwarder: u32) {
        let process = &mut self.processes[forwarder as usize];
        if process.is_up() {
            process.paused = true;
            self.oracle.excuse_until(forwarder, Micros::MAX);
        }
    }

    /// Resumes a paused process, which handles the events that waited for it.
    pub(super) fn resume_process(&mut self, forwarder: u32) {
        let process = &mut self.processes[forwarder as usize];
        if !process.paused {
            return;
        }
        process.paused = false;
        self.oracle
            .excuse_until(forwarder, self.now + RESTART_GRACE);
        while let Some(event) = self.processes[forwarder as usize].inbox.pop_front() {
            self.run_forwarder(forwarder, event, None);
        }
    }
}
