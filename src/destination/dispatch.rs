//! Selection of the next call: the candidate that is offered for a permit, and the call that uses
//! the permit.

use super::{Destination, InFlightAttempt};
use crate::endpoint::EndpointSnapshot;
use crate::forwarder::context::DecisionContext;
use crate::forwarder::mailbox::{Candidate, EndpointEvent, ForwarderEvent};
use crate::model::{Action, EndpointId, MessageId};
use crate::policy::{attempt_timeout, concurrency, retry, selection};
use crate::queue::DispatchQueue;

/// A message that may be sent to an endpoint, with the score by which it was selected.
struct ScoredMessage {
    id: MessageId,
    /// Expected loss of weight if the message is not sent now.
    expected_loss: f64,
}

impl Destination {
    /// Offers the forwarder a candidate for a permit, if any call may start now.
    pub(super) fn offer_candidate(&mut self, context: &mut DecisionContext) {
        self.candidate_endpoint = None;
        let messages = &self.messages;
        self.queue.promote_ready(context.now, |id| {
            messages
                .get(&id)
                .map(|message| message.queue_entry(context.config))
        });
        let limit =
            concurrency::destination_limit(context.config.concurrency_limit, self.is_degraded());
        if self.calls_in_flight() >= limit {
            return;
        }
        for endpoint in self.rank_available_endpoints(context) {
            let Some(loss_per_permit_time) = self.candidate_loss_per_permit_time(endpoint, context)
            else {
                continue;
            };
            self.candidate_endpoint = Some(endpoint);
            let candidate = Candidate {
                destination: self.id,
                loss_per_permit_time,
            };
            context
                .mailboxes
                .send_to_forwarder(ForwarderEvent::CandidateOffered(candidate));
            return;
        }
    }

    /// Returns the endpoints that accept a call now, in the order of their rank. Marks the pacers
    /// that delay a call, so that their interval recovers.
    fn rank_available_endpoints(&mut self, context: &DecisionContext) -> Vec<EndpointId> {
        let mut ranked: Vec<(f64, EndpointId)> = Vec::new();
        for (endpoint, snapshot) in &self.endpoints {
            if !snapshot.is_ready || snapshot.free_calls == 0 {
                continue;
            }
            let pacer_key = self.pacer_key(*endpoint);
            match self.pacers.get_mut(&pacer_key) {
                Some(pacer) if pacer.is_open(context.now) => {
                    ranked.push((snapshot.rank(), *endpoint));
                }
                Some(pacer) => pacer.has_delayed_message = true,
                None => {}
            }
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// Returns the expected loss per µs of the permit if the best message for the endpoint is not
    /// sent now. Returns `None` if no message may be sent to the endpoint.
    fn candidate_loss_per_permit_time(
        &self,
        endpoint: EndpointId,
        context: &DecisionContext,
    ) -> Option<f64> {
        let snapshot = &self.endpoints[&endpoint];
        let best = self.best_message_for(snapshot, context)?;
        let objective_at = self.messages[&best.id].objective_at;
        let pacer = self.pacers.get(&self.pacer_key(endpoint));
        let has_spare_call = pacer.is_none_or(|pacer| pacer.has_spare_call(context.now));
        selection::may_take_call(context.now, objective_at, has_spare_call)
            .then(|| selection::loss_per_permit_time(best.expected_loss, snapshot.mean_latency))
    }

    /// Returns the waiting message with the highest expected loss if it is not sent to the endpoint
    /// now. Ties are broken by the earliest latency objective, then by the lowest id.
    fn best_message_for(
        &self,
        endpoint: &EndpointSnapshot,
        context: &DecisionContext,
    ) -> Option<ScoredMessage> {
        let loss_of = |id: MessageId| {
            let message = self.messages.get(&id)?;
            let loss = message.expected_loss(context.now, endpoint.mean_latency, context.config);
            Some((message, loss))
        };
        self.best_message_candidates(endpoint, context)
            .into_iter()
            .filter_map(loss_of)
            .max_by(|(a, loss_a), (b, loss_b)| {
                loss_a
                    .total_cmp(loss_b)
                    .then(b.objective_at.cmp(&a.objective_at))
                    .then(b.id.cmp(&a.id))
            })
            .map(|(message, loss)| ScoredMessage {
                id: message.id,
                expected_loss: loss,
            })
    }

    /// Returns messages that include the best one for the endpoint.
    fn best_message_candidates(
        &self,
        endpoint: &EndpointSnapshot,
        context: &DecisionContext,
    ) -> Vec<MessageId> {
        let delays = selection::look_ahead_delays(context.config);
        let mut candidate_ids = Vec::new();
        for (group, messages) in self.queue.groups() {
            if group.zone.is_some_and(|zone| zone != endpoint.zone) {
                continue;
            }
            let class = context.class(group.class_index);
            let eligible_objectives = selection::eligible_objectives(
                context.now,
                group.objective_to_deadline,
                group.objective_to_latest_send,
                class,
                endpoint.is_degraded,
            );
            let decay_time = selection::decay_time(class);
            let now = context.now as f64;
            let breakpoints = || group.breakpoints(now, endpoint.mean_latency, delays, decay_time);
            DispatchQueue::collect_best_message_candidates(
                messages,
                eligible_objectives,
                breakpoints,
                &mut candidate_ids,
            );
        }
        candidate_ids
    }

    /// Starts the call that was offered as the candidate, with an attempt at each message of the
    /// batch. The forwarder must have granted a permit.
    pub(super) fn start_call(&mut self, context: &mut DecisionContext) {
        let Some(endpoint) = self.candidate_endpoint.take() else {
            return;
        };
        let Some(snapshot) = self.endpoints.get(&endpoint).copied() else {
            return;
        };
        if let Some(pacer) = self.pacer_of(endpoint) {
            pacer.start_call(context.now, context.rng);
        }
        for _ in 0..self.batch_size {
            let Some(best) = self.best_message_for(&snapshot, context) else {
                break;
            };
            self.start_attempt(best.id, endpoint, &snapshot, context);
        }
    }

    fn start_attempt(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        snapshot: &EndpointSnapshot,
        context: &mut DecisionContext,
    ) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        self.queue.remove(&message.queue_entry(context.config));
        self.in_flight.insert(id);
        message.attempts += 1;
        message.in_flight = Some(InFlightAttempt {
            endpoint,
            sent_at: context.now,
        });
        message.is_attempt_cancelled = false;
        let class = context.class(message.class_index);
        let attempt_bound =
            attempt_timeout::attempt_bound(snapshot.latency_bound, message.attempts);
        let time_left = message.deadline - context.now;
        let timeout = attempt_timeout::timeout(class, attempt_bound, time_left);
        let send_by = retry::send_by(message.latest_send_at(context.config));
        context
            .mailboxes
            .send_to_endpoint(endpoint, EndpointEvent::AttemptStarted);
        context.mailboxes.emit_action(Action::StartAttempt {
            id,
            endpoint,
            timeout,
            send_by,
        });
    }
}
