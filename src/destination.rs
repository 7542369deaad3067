//! The state of one destination: its queue, its limits, and what it knows of its endpoints.
//!
//! [`Destination`] owns the messages for it, from their submission to the final answer. It calls
//! the rules in [`crate::policy`] and holds no threshold of its own. `attempts` handles the end of
//! attempts, `dispatch` chooses what goes next.

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

/// A destination: endpoints that share a queue, and a limit unless each has one of its own.
#[derive(Default)]
pub(crate) struct Destination {
    pub id: DestinationId,
    /// Whether each endpoint has its own limit, pace and outages.
    pub has_independent_limits: bool,
    /// Messages in one call at most.
    pub batch_size: usize,
    /// How each endpoint stands; emptied as endpoints are forgotten.
    pub endpoints: BTreeMap<EndpointId, EndpointSnapshot>,
    /// By [`Destination::pacer_key`]; emptied as endpoints are forgotten and pauses end.
    pub pacers: BTreeMap<Option<EndpointId>, Pacer>,
    /// Messages without a final answer, or with an attempt out.
    pub messages: BTreeMap<MessageId, Message>,
    /// Those of them that wait.
    queue: DispatchQueue,
    /// Those of them with an attempt out.
    in_flight: BTreeSet<MessageId>,
    /// Where the next message would go, between a candidate and its permit.
    candidate_endpoint: Option<EndpointId>,
    /// When it may be summarised, while it is in the queue for that.
    pub summary_due_at: Option<Micros>,
}

impl Destination {
    /// A destination without endpoints and messages.
    pub fn new(id: DestinationId, has_independent_limits: bool, batch_size: usize) -> Destination {
        Destination {
            id,
            has_independent_limits,
            batch_size,
            ..Destination::default()
        }
    }

    /// Handles one message of its mailbox.
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

    /// Tells the forwarder what is under way here.
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

    /// The key of the pacer that an endpoint's calls go by: its own, or that of all.
    pub fn pacer_key(&self, endpoint: EndpointId) -> Option<EndpointId> {
        self.has_independent_limits.then_some(endpoint)
    }

    fn pacer_of(&mut self, endpoint: EndpointId) -> Option<&mut Pacer> {
        self.pacers.get_mut(&self.pacer_key(endpoint))
    }

    fn calls_in_flight(&self) -> usize {
        self.endpoints.values().map(|e| e.calls_in_flight).sum()
    }

    /// Whether any of its endpoints is degraded: then the smaller share of permits holds for all.
    fn is_degraded(&self) -> bool {
        self.endpoints.values().any(|e| e.is_degraded)
    }

    /// Until when all of its limits are paused.
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
        // At once: it may have less time than the next tick takes to come.
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
            // Its attempt still runs: it keeps its turn and its permit until the outcome comes.
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

    /// Does nothing where each endpoint is at a limit of its own.
    fn apply_peer_rejection(&mut self, context: &mut DecisionContext) {
        if let Some(pacer) = self.pacers.get_mut(&None) {
            pacer.peer_rejected(context.now, context.config, context.rng);
        }
    }

    /// A retry-after binds everything behind the limit from when it is received: also calls and
    /// health checks that were chosen before and have not gone whole.
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

    /// Looks at all timers. `arrivals`: messages that have just come.
    fn tick(&mut self, arrivals: f64, permits: Permits, context: &mut DecisionContext) {
        self.drop_unused_pacers(context.now, !self.endpoints.is_empty());
        for pacer in self.pacers.values_mut() {
            pacer.recover(context.now);
        }
        self.send_endpoint_ticks(arrivals, context);
        self.cancel_overdue_attempts(permits, context);
        self.give_up_expired(context);
    }

    /// Drops the pacers of endpoints that are forgotten, and the shared one unless it is in use.
    /// One whose pause still binds stays.
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

    /// Gives up the waiting messages that can't be sent in time any more.
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

    /// Gives a waiting message its final answer.
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

    /// Gives up the waiting message that counts least; of equal ones that with the latest
    /// objective.
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

    /// A message leaves, with its final answer unless somebody else gave it.
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
