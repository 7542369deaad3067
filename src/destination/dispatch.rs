//! What goes next: the candidate for a permit, and the call that uses it.

use super::{Destination, InFlightAttempt};
use crate::endpoint::EndpointSnapshot;
use crate::forwarder::context::DecisionContext;
use crate::forwarder::mailbox::{Candidate, EndpointEvent, ForwarderEvent};
use crate::model::{Action, EndpointId, MessageId};
use crate::policy::{attempt_timeout, concurrency, retry, selection};
use crate::queue::DispatchQueue;

/// A message that could go to an endpoint.
struct ScoredMessage {
    id: MessageId,
    /// What is lost by leaving it.
    expected_loss: f64,
}

impl Destination {
    /// Tells the forwarder what a permit would be used for, if anything.
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

    /// Endpoints that can take a call now, the best first. Limits that hold calls back are told
    /// so: their interval recovers.
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
                Some(pacer) => pacer.has_delayed = true,
                None => {}
            }
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
    }

    /// What is lost by not sending the best message to this endpoint now, per µs of the permit;
    /// none where nothing may go.
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

    /// The waiting message that loses most by not going to this endpoint now. Of equal ones the
    /// one with the earliest objective, then the one with the least id.
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

    /// Messages among which the best for this endpoint is.
    fn best_message_candidates(
        &self,
        endpoint: &EndpointSnapshot,
        context: &DecisionContext,
    ) -> Vec<MessageId> {
        let delays = selection::look_ahead(context.config);
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

    /// Starts the call that the candidate stood for: an attempt at each message of the batch.
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
