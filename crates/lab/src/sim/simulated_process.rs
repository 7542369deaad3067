//! One forwarder process of the simulated world: the forwarder under test, its clock, and the messages that it answers for.

use super::clients::SubmissionAnswer;
use super::event::SimulatedEvent;
use super::Sim;
use crate::chance::stream;
use crate::oracle::FinalAnswer;
use crate::scenario::Scenario;
use crate::subject::Subject;
use crate::world::Layout;
use opalpulley::{
    Action, EndpointEntry, EndpointListUpdate, Event, MessageId, Micros, PossibleEffect, Submission,
};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// Messages just over that are still known: a broken forwarder may send one.
const MAX_RECENTLY_FINISHED: usize = 8;
/// Every clock starts at this at least, µs: no real one starts at 0.
const CLOCK_START: Micros = 1_000_000;

/// A message that the forwarder has accepted.
pub(super) struct HeldMessage {
    /// The submission as the oracle numbers it.
    pub submission: u64,
    /// The message as its client numbers it.
    pub client_message: u64,
    /// As it was submitted to the forwarder.
    pub message: Submission,
    pub deadline: Micros,
    /// Attempts so far, without those that were withdrawn.
    pub attempts: u32,
    /// Attempts in flight: the forwarder's number and the world's.
    pub in_flight: Vec<(u8, u64)>,
    /// It has its final answer.
    pub ended: bool,
    pub possible_effect: Option<PossibleEffect>,
}

impl HeldMessage {
    /// The world's number of an attempt in flight.
    pub fn attempt_in_flight(&self, attempt_index: u8) -> Option<u64> {
        let mut in_flight = self.in_flight.iter();
        let (_, number) = in_flight.find(|(index, _)| *index == attempt_index)?;
        Some(*number)
    }
}

/// A message that was over a short time ago.
struct FinishedMessage {
    id: MessageId,
    submission: u64,
}

/// A message as a client submits it to a forwarder.
pub(super) struct NewSubmission {
    /// The submission as the oracle numbers it.
    pub submission: u64,
    /// The message as its client numbers it.
    pub client_message: u64,
    pub deadline: Micros,
    /// What the forwarder is told; its id is chosen as it is accepted.
    pub message: Submission,
}

/// One forwarder process.
pub(super) struct SimulatedProcess {
    /// The forwarder under test; none while the process is down.
    pub subject: Option<Box<dyn Subject>>,
    /// How often it has been killed: events for an earlier incarnation are dropped.
    pub incarnation: u32,
    /// It is stopped.
    pub paused: bool,
    /// Events that wait while it is stopped.
    pub inbox: VecDeque<Event>,
    /// Messages that it answers for. Each leaves with its final answer and the outcome of its last attempt.
    pub open_messages: BTreeMap<MessageId, HeldMessage>,
    recently_finished: VecDeque<FinishedMessage>,
    next_id: u32,
    /// How far its clock is ahead, µs.
    pub clock_offset: Micros,
    /// The list as it knows it, by endpoint.
    pub known_endpoints: BTreeMap<usize, EndpointEntry>,
    /// Discovery sends it list updates.
    pub follows_list: bool,
    /// When its latest list update arrives: updates stay in order.
    pub list_update_at: Micros,
}

impl SimulatedProcess {
    /// A process that is not started yet; its clock is drawn.
    pub fn new(scenario: &Scenario, seed: u64, number: u32) -> SimulatedProcess {
        let max_clock_skew = scenario.forwarders.max_clock_skew.0;
        let skew = stream(seed, "clock", u64::from(number)).random_range(0..=max_clock_skew);
        SimulatedProcess {
            subject: None,
            incarnation: 0,
            paused: false,
            inbox: VecDeque::new(),
            open_messages: BTreeMap::new(),
            recently_finished: VecDeque::new(),
            next_id: 0,
            clock_offset: CLOCK_START + skew,
            known_endpoints: BTreeMap::new(),
            follows_list: false,
            list_update_at: 0,
        }
    }

    /// Whether the process runs, stopped or not.
    pub fn is_up(&self) -> bool {
        self.subject.is_some()
    }

    /// The next id that no open message has.
    pub fn new_id(&mut self) -> MessageId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            if !self.open_messages.contains_key(&MessageId(self.next_id)) {
                return MessageId(self.next_id);
            }
        }
    }

    /// The submission of a message that was over a short time ago.
    pub fn finished_submission(&self, id: MessageId) -> Option<u64> {
        let mut finished = self.recently_finished.iter();
        let message = finished.find(|message| message.id == id)?;
        Some(message.submission)
    }
}

impl Sim {
    /// Starts a process with the list that it had last; the first time with the list as it is.
    pub(super) fn start_process(&mut self, forwarder: u32) {
        let incarnation = self.processes[forwarder as usize].incarnation;
        let number = u64::from(forwarder) << 32 | u64::from(incarnation);
        let seed = stream(self.seed, "forwarder", number).random();
        let subject = self.variant.build(self.scenario.config(forwarder), seed);
        let process = &mut self.processes[forwarder as usize];
        process.subject = Some(subject);
        process.follows_list = self.scenario.network.polled_discovery.is_none();
        if process.known_endpoints.is_empty() {
            let list = Sim::complete_list(&self.layout, &self.scenario, &self.listed_endpoints);
            process.known_endpoints = list.into_iter().enumerate().collect();
        }
        let list = process.known_endpoints.values().cloned().collect();
        let cached = Event::EndpointListUpdated(EndpointListUpdate::Cached(list));
        self.run_forwarder(forwarder, cached, None);
    }

    /// A client submits a message to a forwarder that is up; gives the forwarder's answer.
    pub(super) fn accept_submission(
        &mut self,
        forwarder: u32,
        new: NewSubmission,
    ) -> SubmissionAnswer {
        let process = &mut self.processes[forwarder as usize];
        let id = process.new_id();
        let message = Submission { id, ..new.message };
        let held = HeldMessage {
            submission: new.submission,
            client_message: new.client_message,
            message: message.clone(),
            deadline: new.deadline,
            attempts: 0,
            in_flight: Vec::new(),
            ended: false,
            possible_effect: None,
        };
        process.open_messages.insert(id, held);
        let answer = self.run_forwarder(forwarder, Event::MessageSubmitted(message), Some(id));
        if !matches!(answer, SubmissionAnswer::Accepted) {
            self.processes[forwarder as usize].open_messages.remove(&id);
        }
        answer
    }

    /// Gives an event to one incarnation of a forwarder; it waits while the process is stopped.
    pub(super) fn deliver_event(&mut self, forwarder: u32, incarnation: u32, event: Event) {
        let process = &mut self.processes[forwarder as usize];
        if process.incarnation != incarnation || !process.is_up() {
            return;
        }
        if process.paused {
            return process.inbox.push_back(event);
        }
        self.run_forwarder(forwarder, event, None);
    }

    /// Lets the forwarder handle an event and carries out its actions. `submitted` is the message that a client submits just
    /// now: what the forwarder says of it is the answer to that client.
    pub(super) fn run_forwarder(
        &mut self,
        forwarder: u32,
        event: Event,
        submitted: Option<MessageId>,
    ) -> SubmissionAnswer {
        let process = &mut self.processes[forwarder as usize];
        let Some(subject) = &mut process.subject else {
            return SubmissionAnswer::Accepted;
        };
        let mut actions = Vec::new();
        subject.handle(self.now + process.clock_offset, event, &mut actions);
        self.stats.core_events += 1;
        self.stats.core_actions += actions.len() as u64;
        let mut answer = SubmissionAnswer::Accepted;
        for action in actions {
            match action {
                Action::Fail { id } if Some(id) == submitted => answer = SubmissionAnswer::Failed,
                Action::Reject { id, retry_after } if Some(id) == submitted => {
                    answer = SubmissionAnswer::Rejected(retry_after)
                }
                other => self.execute(forwarder, other),
            }
        }
        answer
    }

    fn execute(&mut self, forwarder: u32, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                endpoint,
                timeout,
                ..
            } => self.send_call(forwarder, id, endpoint, timeout),
            Action::Fail { id } => self.finish_message(forwarder, id, FinalAnswer::Failed, None),
            Action::Reject { id, retry_after } => {
                self.finish_message(forwarder, id, FinalAnswer::Rejected, retry_after)
            }
            Action::SetTimer { delay, token } => {
                let fires = SimulatedEvent::TimerFires {
                    forwarder,
                    incarnation: self.processes[forwarder as usize].incarnation,
                    token,
                };
                self.schedule(self.now + delay.max(1), fires);
            }
            Action::StartHealthCheck { endpoint } => self.send_health_check(forwarder, endpoint),
            Action::CancelAttempt { id, attempt_index } => {
                self.cancel_attempt(forwarder, id, attempt_index)
            }
            Action::CloseIdleConnections { endpoint } => {
                let connections = &mut self.connections[Layout::endpoint_index(endpoint)];
                connections.idle.remove(&forwarder);
            }
            Action::WatchEndpointList { enabled: true } => self.poll_list(forwarder),
            Action::SendGossip { peer, payload } => self.send_gossip(forwarder, peer, payload),
            Action::WithdrawUnsent { endpoint } => self.withdraw_unsent(forwarder, endpoint),
            Action::WatchEndpointList { .. }
            | Action::FetchEndpointList
            | Action::Log(_)
            | Action::LogError(_) => {}
        }
    }

    /// Sends gossip to one peer, or to all.
    fn send_gossip(&mut self, from: u32, peer: Option<u16>, payload: Vec<u8>) {
        let arrives_at = self.now + self.scenario.network.delay.0;
        for to in 0..self.processes.len() as u32 {
            if to == from || peer.is_some_and(|peer| u32::from(peer) != to) {
                continue;
            }
            let payload = payload.clone();
            self.schedule(arrives_at, SimulatedEvent::Gossip { from, to, payload });
        }
    }

    /// Forgets a message that is over and has no attempt in flight.
    pub(super) fn forget_finished(&mut self, forwarder: u32, id: MessageId) {
        let process = &mut self.processes[forwarder as usize];
        let is_finished = |held: &HeldMessage| held.ended && held.in_flight.is_empty();
        if !process.open_messages.get(&id).is_some_and(is_finished) {
            return;
        }
        if let Some(held) = process.open_messages.remove(&id) {
            let submission = held.submission;
            let finished = FinishedMessage { id, submission };
            process.recently_finished.push_front(finished);
            process.recently_finished.truncate(MAX_RECENTLY_FINISHED);
        }
    }

    /// A forwarder gives an accepted message its final answer. A second answer, which only a broken forwarder gives, goes to
    /// the oracle alone.
    fn finish_message(
        &mut self,
        forwarder: u32,
        id: MessageId,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
    ) {
        let process = &mut self.processes[forwarder as usize];
        let Some(held) = process.open_messages.get_mut(&id) else {
            if let Some(submission) = process.finished_submission(id) {
                self.oracle.message_ended(submission, answer, self.now);
            }
            return;
        };
        let (submission, client_message) = (held.submission, held.client_message);
        if held.ended {
            return self.oracle.message_ended(submission, answer, self.now);
        }
        held.ended = true;
        self.final_answer(client_message, submission, answer, retry_after, 0);
        self.forget_finished(forwarder, id);
    }
}
