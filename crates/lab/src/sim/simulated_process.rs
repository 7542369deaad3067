//! A simulated forwarder process: the forwarder under test, its clock, and the messages that it has accepted.

use super::clients::SubmissionAnswer;
use super::event::SimulatedEvent;
use super::Sim;
use crate::oracle::FinalAnswer;
use crate::random::seeded_rng;
use crate::scenario::Scenario;
use crate::subject::Subject;
use crate::world::Layout;
use opalpulley::{
    Action, EndpointEntry, EndpointListUpdate, Event, MessageId, Micros, PossibleEffect, Submission,
};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};

/// Number of finished messages that are kept, so that the oracle can judge a call that a faulty forwarder sends with one of
/// them.
const MAX_RECENTLY_FINISHED: usize = 8;
/// Lower bound on the start of a process's clock, µs; a real clock doesn't start at 0.
const MIN_CLOCK_START: Micros = 1_000_000;

/// An unfinished message of a forwarder process: one without its final answer or with an attempt in flight.
pub(super) struct UnfinishedMessage {
    /// The oracle's number of the submission.
    pub submission: u64,
    /// The client's number of the message.
    pub client_message: u64,
    /// The message as it was submitted to the forwarder.
    pub message: Submission,
    pub deadline: Micros,
    /// Number of attempts so far, without withdrawn ones.
    pub attempts: u32,
    /// Attempts in flight: the attempt index of the forwarder, and the attempt number in `Sim::attempts`.
    pub in_flight: Vec<(u8, u64)>,
    /// Whether the message has its final answer.
    pub ended: bool,
    pub possible_effect: Option<PossibleEffect>,
}

impl UnfinishedMessage {
    /// Returns the number in `Sim::attempts` of an attempt in flight.
    pub fn attempt_in_flight(&self, attempt_index: u8) -> Option<u64> {
        let mut in_flight = self.in_flight.iter();
        let (_, number) = in_flight.find(|(index, _)| *index == attempt_index)?;
        Some(*number)
    }
}

/// A message that was finished recently.
struct FinishedMessage {
    id: MessageId,
    submission: u64,
}

/// A message as a client submits it to a forwarder.
pub(super) struct NewSubmission {
    /// The oracle's number of the submission.
    pub submission: u64,
    /// The client's number of the message.
    pub client_message: u64,
    pub deadline: Micros,
    /// The message for the forwarder. The process replaces its id.
    pub message: Submission,
}

/// A simulated forwarder process. Owned by `Sim`; outlives kills and restarts.
pub(super) struct SimulatedProcess {
    /// The forwarder under test; `None` while the process is down.
    pub subject: Option<Box<dyn Subject>>,
    /// Number of times that the process was killed. Events for an earlier incarnation are dropped.
    pub incarnation: u32,
    /// Whether the process is paused.
    pub paused: bool,
    /// Events that wait while the process is paused.
    pub inbox: VecDeque<Event>,
    /// The unfinished messages of the process. A message is removed once it has its final answer and no attempt in flight.
    pub unfinished_messages: BTreeMap<MessageId, UnfinishedMessage>,
    recently_finished: VecDeque<FinishedMessage>,
    next_id: u32,
    /// Offset of the process's clock from the simulated clock, µs.
    pub clock_offset: Micros,
    /// The endpoint list as the process knows it, by endpoint index.
    pub known_endpoints: BTreeMap<usize, EndpointEntry>,
    /// Whether discovery sends list updates to the process.
    pub follows_list: bool,
    /// When the latest list update arrives, µs. Later updates don't arrive before it.
    pub last_list_update_at: Micros,
}

impl SimulatedProcess {
    /// Creates a process that is not started, with a random clock offset.
    pub fn new(scenario: &Scenario, seed: u64, number: u32) -> SimulatedProcess {
        let max_clock_skew = scenario.forwarders.max_clock_skew.0;
        let skew = seeded_rng(seed, "clock", u64::from(number)).random_range(0..=max_clock_skew);
        SimulatedProcess {
            subject: None,
            incarnation: 0,
            paused: false,
            inbox: VecDeque::new(),
            unfinished_messages: BTreeMap::new(),
            recently_finished: VecDeque::new(),
            next_id: 0,
            clock_offset: MIN_CLOCK_START + skew,
            known_endpoints: BTreeMap::new(),
            follows_list: false,
            last_list_update_at: 0,
        }
    }

    /// Returns whether the process is up, which includes a paused one.
    pub fn is_up(&self) -> bool {
        self.subject.is_some()
    }

    /// Returns the next id that no unfinished message has.
    pub fn new_id(&mut self) -> MessageId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            if !self
                .unfinished_messages
                .contains_key(&MessageId(self.next_id))
            {
                return MessageId(self.next_id);
            }
        }
    }

    /// Returns the submission of a recently finished message.
    pub fn finished_submission(&self, id: MessageId) -> Option<u64> {
        let mut finished = self.recently_finished.iter();
        let message = finished.find(|message| message.id == id)?;
        Some(message.submission)
    }
}

impl Sim {
    /// Starts a process with the endpoint list that it knew last. A process that knows none gets the current list. As on
    /// sockets, a process that restarts has no list until discovery has confirmed it: while discovery is down, and before
    /// the first poll if discovery is polled.
    pub(super) fn start_process(&mut self, forwarder: u32) {
        let incarnation = self.processes[forwarder as usize].incarnation;
        let rng_index = u64::from(forwarder) << 32 | u64::from(incarnation);
        let seed = seeded_rng(self.seed, "forwarder", rng_index).random();
        let subject = self.variant.build(self.scenario.config(forwarder), seed);
        let process = &mut self.processes[forwarder as usize];
        process.subject = Some(subject);
        let is_polled = self.scenario.network.polled_discovery.is_some();
        process.follows_list = !is_polled;
        if process.known_endpoints.is_empty() {
            let list = Sim::complete_list(&self.layout, &self.scenario, &self.listed_endpoints);
            process.known_endpoints = list.into_iter().enumerate().collect();
        }
        let is_restart = incarnation > 0;
        let list = if self.now < self.discovery_down_until || (is_polled && is_restart) {
            Vec::new()
        } else {
            process.known_endpoints.values().cloned().collect()
        };
        let cached = Event::EndpointListUpdated(EndpointListUpdate::Cached(list));
        self.run_forwarder(forwarder, cached, None);
    }

    /// Submits a message to a forwarder, which must be up and not paused, and returns its answer.
    pub(super) fn accept_submission(
        &mut self,
        forwarder: u32,
        new: NewSubmission,
    ) -> SubmissionAnswer {
        let process = &mut self.processes[forwarder as usize];
        let id = process.new_id();
        let message = Submission { id, ..new.message };
        let unfinished_message = UnfinishedMessage {
            submission: new.submission,
            client_message: new.client_message,
            message: message.clone(),
            deadline: new.deadline,
            attempts: 0,
            in_flight: Vec::new(),
            ended: false,
            possible_effect: None,
        };
        process.unfinished_messages.insert(id, unfinished_message);
        let answer = self.run_forwarder(forwarder, Event::MessageSubmitted(message), Some(id));
        if !matches!(answer, SubmissionAnswer::Accepted) {
            self.processes[forwarder as usize]
                .unfinished_messages
                .remove(&id);
        }
        answer
    }

    /// Delivers an event to an incarnation of a forwarder. The event waits while the process is paused, and is dropped if the
    /// incarnation has ended.
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

    /// Lets the forwarder handle an event and executes its actions. If the event submits a client's message, `submitted` is its
    /// id, and the returned answer is the answer to the client.
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

    /// Sends a gossip payload to one peer, or to all peers if `peer` is `None`.
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

    /// Moves a message that has its final answer and no attempt in flight to the recently finished ones.
    pub(super) fn forget_finished(&mut self, forwarder: u32, id: MessageId) {
        let process = &mut self.processes[forwarder as usize];
        let is_finished =
            |message: &UnfinishedMessage| message.ended && message.in_flight.is_empty();
        if !process
            .unfinished_messages
            .get(&id)
            .is_some_and(is_finished)
        {
            return;
        }
        if let Some(unfinished_message) = process.unfinished_messages.remove(&id) {
            let submission = unfinished_message.submission;
            let finished = FinishedMessage { id, submission };
            process.recently_finished.push_front(finished);
            process.recently_finished.truncate(MAX_RECENTLY_FINISHED);
        }
    }

    /// Handles a forwarder's final answer to an accepted message. A second answer, which only a faulty forwarder gives, is
    /// reported to the oracle and not to the client.
    fn finish_message(
        &mut self,
        forwarder: u32,
        id: MessageId,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
    ) {
        let process = &mut self.processes[forwarder as usize];
        let Some(unfinished_message) = process.unfinished_messages.get_mut(&id) else {
            if let Some(submission) = process.finished_submission(id) {
                self.oracle.message_ended(submission, answer, self.now);
            }
            return;
        };
        let (submission, client_message) = (
            unfinished_message.submission,
            unfinished_message.client_message,
        );
        if unfinished_message.ended {
            return self.oracle.message_ended(submission, answer, self.now);
        }
        unfinished_message.ended = true;
        self.final_answer(client_message, submission, answer, retry_after, 0);
        self.forget_finished(forwarder, id);
    }
}
