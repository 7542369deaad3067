//! The state of one destination: its queue, its limits and the snapshots of its endpoints.
//!
//! [`Destination`] owns its messages from submission to the final answer. It calls the rules in
//! [`crate::policy`] and defines no thresholds itself. `attempts` handles the end of attempts;
//! `dispatch` selects the next call.

mod attempts;
mod dispatch;
mod message;

pub(crate) use message::{InFlightAttempt, Message};

use crate::endpoint::EndpointSnapshot;
use crate::forwarder::context::DecisionContext;
use crate::forwarder::mailbox::{
    Activity, DestinationEvent, EndpointEvent, EndpointTick, ForwarderEvent,
};
use crate::model::{Action, Config, DestinationId, EndpointId, MessageId, Micros};
use crate::policy::admission::{self, FinalAnswer};
use crate::policy::attempt_timeout::Permits;
use crate::policy::outlier;
use crate::policy::pacing::Pacer;
use crate::policy::retry::{self, SEND_MARGIN};
use crate::queue::DispatchQueue;
use std::collections::{BTreeMap, BTreeSet};

/// A group of endpoints with a common queue, owned by the forwarder. The endpoints share one limit,
/// unless each has a limit of its own.
#[derive(Default)]
pub(crate) struct Destination {
    pub id: DestinationId,
    /// Whether each endpoint has its own limit, pacing, pauses and outages.
    pub has_independent_limits: bool,
    /// Upper bound on the number of messages in a call.
    pub batch_size: usize,
    /// The latest snapshot of each endpoint. An entry is removed when the endpoint is discarded.
    pub endpoints: BTreeMap<EndpointId, EndpointSnapshot>,
    /// Pacers by [`Destination::pacer_key`]. A pacer is removed once its endpoints are discarded
    /// and its pause has ended.
    pub pacers: BTreeMap<Option<EndpointId>, Pacer>,
    /// Messages that await their final answer or have an attempt in flight.
    pub messages: BTreeMap<MessageId, Message>,
    /// The messages that wait for an attempt.
    queue: DispatchQueue,
    /// The messages that have an attempt in flight.
    in_flight: BTreeSet<MessageId>,
    /// The endpoint of the call that was offered to the forwarder last. `None` once the permit is
    /// used.
    candidate_endpoint: Option<EndpointId>,
    /// The instant in µs from which the destination may be summarised. `None` while no summary is
    /// scheduled.
    pub summary_due_at: Option<Micros>,
}

impl Destination {
    /// Creates a destination without endpoints and messages.
    pub fn new(id: DestinationId, has_independent_limits: bool, batch_size: usize) -> Destination {
        Destination {
            id,
            has_independent_limits,
            batch_size,
            ..Destination::default()
        }
    }

    /// Handles one event from the mailbox of the destination.
    pub fn handle(&mut self, event: DestinationEvent, context: &mut DecisionContext) {
        match event {
            DestinationEvent::MessageSubmitted(message) => self.enqueue(message, context),
            DestinationEvent::OrderGranted(id) => self.grant_order(id, context.config),
            DestinationEvent::AttemptEnded(ended) => {
                let Some(attempt) = self.take_attempt(ended.id, ended.endpoint) else {
                    return;
                };
                self.end_attempt(ended, attempt, context);
            }
            DestinationEvent::MessageWithdrawn(id) => self.withdraw(id, context),
            DestinationEvent::EndpointListed { endpoint, rate } => {
                self.apply_listed_rate(endpoint, rate, context);
            }
            DestinationEvent::EndpointDiscarded(endpoint) => {
                self.endpoints.remove(&endpoint);
            }
            DestinationEvent::SnapshotUpdated { endpoint, snapshot } => {
                if let Some(known) = self.endpoints.get_mut(&endpoint) {
                    *known = snapshot;
                }
            }
            DestinationEvent::TimerTick { permits } => self.tick(0.0, permits, context),
            DestinationEvent::PeerRejectionReceived => self.apply_peer_rejection(context),
            DestinationEvent::RetryAfterReceived {
                endpoint,
                retry_after,
            } => {
                self.apply_retry_after(endpoint, retry_after, context);
            }
            DestinationEvent::CandidateRequested => self.offer_candidate(context),
            DestinationEvent::PermitGranted => self.start_call(context),
            DestinationEvent::LoadSheddingRequested => self.shed_load(context),
        }
        self.report_activity(context);
    }

    /// Reports the calls and waiting messages to the forwarder, or that the destination needs no
    /// ticks.
    fn report_activity(&self, context: &mut DecisionContext) {
        let has_no_orphaned_pacer = !self.endpoints.is_empty() || self.pacers.is_empty();
        let needs_no_ticks = has_no_orphaned_pacer
            && self.messages.is_empty()
            && self.endpoints.values().all(|e| e.needs_no_ticks);
        let activity = (!needs_no_ticks).then(|| Activity {
            calls_in_flight: self.calls_in_flight(),
            is_degraded: self.is_degraded(),
            waiting_messages: self.queue.len(),
        });
        context
            .mailboxes
            .send_to_forwarder(ForwarderEvent::ActivityUpdated {
                destination: self.id,
                activity,
            });
    }

    /// Returns the key of the pacer that limits calls to the endpoint: the endpoint itself, or
    /// `None` for the pacer that all endpoints share.
    pub fn pacer_key(&self, endpoint: EndpointId) -> Option<EndpointId> {
        self.has_independent_limits.then_some(endpoint)
    }

    fn pacer_of(&mut self, endpoint: EndpointId) -> Option<&mut Pacer> {
        self.pacers.get_mut(&self.pacer_key(endpoint))
    }

    fn calls_in_flight(&self) -> usize {
        self.endpoints.values().map(|e| e.calls_in_flight).sum()
    }

    /// Returns whether any endpoint is degraded. The destination is then bound by the lower
    /// concurrency limit of degraded destinations.
    fn is_degraded(&self) -> bool {
        self.endpoints.values().any(|e| e.is_degraded)
    }

    /// Returns the instant in µs until which every pacer is paused.
    fn all_paused_until(&self) -> Micros {
        let pause_ends = self.pacers.values().map(|pacer| pacer.paused_until);
        pause_ends.min().unwrap_or(0)
    }

    fn messages_with_ids(&self, ids: Vec<MessageId>) -> impl Iterator<Item = &Message> {
        ids.into_iter().filter_map(|id| self.messages.get(&id))
    }

    fn enqueue(&mut self, message: Message, context: &mut DecisionContext) {
        self.queue.insert(&message.queue_entry(context.config));
        self.messages.insert(message.id, message);
        // The tick runs now because the deadline of the message may be before the next timer tick.
        self.tick(1.0, Permits::Free, context);
    }

    fn grant_order(&mut self, id: MessageId, config: &Config) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.is_order_granted = true;
            self.queue.grant_order(&message.queue_entry(config));
        }
    }

    fn withdraw(&mut self, id: MessageId, context: &mut DecisionContext) {
        match self.messages.get_mut(&id) {
            // The attempt is still running: the message keeps its turn in the order and its permit
            // until the outcome is known.
            Some(message) if message.in_flight.is_some() => message.is_completed = true,
            Some(_) => self.end_message(id, None, context),
            None => {}
        }
    }

    fn apply_listed_rate(&mut self, endpoint: EndpointId, rate: f64, context: &DecisionContext) {
        self.endpoints.entry(endpoint).or_default();
        let pacer = self.pacers.entry(self.pacer_key(endpoint)).or_default();
        pacer.apply_listed_rate(context.now, rate, context.config);
    }

    /// Slows the shared pacer. Does nothing where each endpoint has its own limit, because the
    /// event does not name the endpoint that rejected the call.
    fn apply_peer_rejection(&mut self, context: &mut DecisionContext) {
        if let Some(pacer) = self.pacers.get_mut(&None) {
            pacer.handle_peer_rejection(context.now, context.config, context.rng);
        }
    }

    /// Pauses the limit of the endpoint from now on. The endpoints behind the limit also withdraw
    /// calls and health checks that were started before and are not yet sent completely.
    fn apply_retry_after(
        &mut self,
        endpoint: EndpointId,
        retry_after: Micros,
        context: &mut DecisionContext,
    ) {
        if retry_after == 0 {
            return;
        }
        let Some(pacer) = self.pacer_of(endpoint) else {
            return;
        };
        pacer.pause_until(context.now.saturating_add(retry_after));
        let overload_window = context.config.rules.overload_window;
        let is_long_pause = outlier::is_long_retry_after(retry_after, overload_window);
        for other in self.endpoints.keys() {
            if !self.has_independent_limits || *other == endpoint {
                let event = EndpointEvent::Paused { is_long_pause };
                context.mailboxes.send_to_endpoint(*other, event);
            }
        }
    }

    /// Updates pacers, endpoints and attempts, and gives up expired messages. `arrivals` is the
    /// number of messages that arrived with this tick.
    fn tick(&mut self, arrivals: f64, permits: Permits, context: &mut DecisionContext) {
        self.drop_unused_pacers(context.now, !self.endpoints.is_empty());
        for pacer in self.pacers.values_mut() {
            pacer.recover(context.now);
        }
        self.send_endpoint_ticks(arrivals, context);
        self.cancel_overdue_attempts(permits, context);
        self.give_up_expired(context);
    }

    /// Removes the pacers of discarded endpoints, and the shared pacer unless
    /// `is_shared_pacer_used`. A pacer that is still paused is kept.
    pub fn drop_unused_pacers(&mut self, now: Micros, is_shared_pacer_used: bool) {
        let endpoints = &self.endpoints;
        let is_used = |key: &Option<EndpointId>| match key {
            Some(endpoint) => endpoints.contains_key(endpoint),
            None => is_shared_pacer_used,
        };
        self.pacers
            .retain(|key, pacer| is_used(key) || pacer.paused_until > now);
    }

    fn send_endpoint_ticks(&self, arrivals: f64, context: &mut DecisionContext) {
        let ready_endpoints = self
            .endpoints
            .values()
            .filter(|e| e.is_ready)
            .count()
            .max(1) as f64;
        let endpoints_per_limit = if self.has_independent_limits {
            1.0
        } else {
            ready_endpoints
        };
        for endpoint in self.endpoints.keys() {
            let Some(pacer) = self.pacers.get(&self.pacer_key(*endpoint)) else {
                continue;
            };
            let tick = EndpointTick {
                capacity: pacer.capacity / endpoints_per_limit,
                arrivals: arrivals / ready_endpoints,
                is_paused: context.now < pacer.paused_until,
            };
            context
                .mailboxes
                .send_to_endpoint(*endpoint, EndpointEvent::TimerTick(tick));
        }
    }

    /// Gives up the waiting messages that can no longer be sent in time.
    fn give_up_expired(&mut self, context: &mut DecisionContext) {
        let paused_until = self.all_paused_until();
        let horizon = paused_until.max(context.now + SEND_MARGIN);
        let expired: Vec<MessageId> = self
            .messages_with_ids(self.queue.expiring_by(horizon))
            .filter(|message| {
                paused_until >= message.deadline
                    || retry::is_too_late(context.now, message.latest_send_at(context.config))
            })
            .map(|message| message.id)
            .collect();
        for id in expired {
            self.give_up(id, context);
        }
    }

    /// Ends a waiting message with the final answer that the admission rules choose.
    fn give_up(&mut self, id: MessageId, context: &mut DecisionContext) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let undelivered = message.undelivered(context.config);
        let answer = admission::final_answer(
            context.now,
            undelivered,
            self.all_paused_until(),
            context.config,
        );
        let action = match answer {
            FinalAnswer::Reject { retry_after } => Action::Reject { id, retry_after },
            FinalAnswer::Fail => Action::Fail { id },
        };
        self.end_message(id, Some(action), context);
    }

    /// Gives up the waiting message with the lowest current weight. Ties are broken by the latest
    /// latency objective.
    fn shed_load(&mut self, context: &mut DecisionContext) {
        let current_weight = |message: &Message| message.weight_at(context.now, context.config);
        let least_important = self
            .messages_with_ids(self.queue.expiring_by(Micros::MAX))
            .min_by(|a, b| {
                let by_weight = current_weight(a).total_cmp(&current_weight(b));
                by_weight.then(b.objective_at.cmp(&a.objective_at))
            })
            .map(|message| message.id);
        if let Some(id) = least_important {
            self.give_up(id, context);
        }
    }

    /// Removes a message. `answer` is its final answer, or `None` if the message is completed
    /// without one.
    fn end_message(
        &mut self,
        id: MessageId,
        answer: Option<Action>,
        context: &mut DecisionContext,
    ) {
        self.in_flight.remove(&id);
        if let Some(message) = self.messages.remove(&id) {
            self.queue.remove(&message.queue_entry(context.config));
        }
        let is_answered_by_core = answer.is_some();
        if let Some(answer) = answer {
            context.mailboxes.emit_action(answer);
        }
        let ended = ForwarderEvent::MessageEnded {
            id,
            is_answered_by_core,
        };
        context.mailboxes.send_to_forwarder(ended);
    }
}
