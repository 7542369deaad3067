//! Summarises idle destinations, and restores them before they are used again.

use super::Forwarder;
use crate::destination::Destination;
use crate::endpoint::{Endpoint, EndpointSnapshot};
use crate::idle::{BindingState, EndpointSummary, SUMMARY_RETRY_INTERVAL};
use crate::model::{
    DestinationId, EndpointEntry, EndpointId, EndpointStatus, Event, Micros, ZoneId,
};
use crate::policy::outlier::CONNECTION_GRACE;
use crate::policy::pacing::{self, ListedCapacity};
use crate::policy::selection;

/// A summarised endpoint, as the idle table holds it.
struct SummarisedEndpoint {
    endpoint: EndpointId,
    summary: EndpointSummary,
    binding_state: Option<BindingState>,
}

impl Forwarder {
    /// Returns whether `additional` destinations would exceed the limit of destinations held in
    /// full.
    pub(super) fn exceeds_full_limit(&self, additional: usize) -> bool {
        let full_limit = self.config.full_destinations;
        full_limit.is_some_and(|limit| self.destinations.len() + additional > limit as usize)
    }

    /// Restores the destination that the event concerns. The destinations of an endpoint list are
    /// restored while the list is applied.
    pub(super) fn restore_destination_of_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::MessageSubmitted(submission) => {
                self.restore_destination(now, submission.destination)
            }
            Event::RetryAfterReceived { endpoint, .. }
            | Event::AttemptEnded { endpoint, .. }
            | Event::HealthCheckEnded { endpoint, .. } => {
                self.restore_destination_of(now, *endpoint)
            }
            _ => {}
        }
    }

    /// Restores the destination of an endpoint if the destination is idle.
    pub(super) fn restore_destination_of(&mut self, now: Micros, endpoint: EndpointId) {
        if let Some(id) = self.idle.destination_of(endpoint) {
            self.restore_destination(now, id);
        }
    }

    /// Restores a destination if it is idle.
    pub(super) fn restore_destination(&mut self, now: Micros, id: DestinationId) {
        let endpoints = self.idle.endpoints_of(id);
        let Some(first) = endpoints.first().and_then(|e| self.idle.summary(id, *e)) else {
            return;
        };
        let batch_size = first.batch_size.into();
        let mut destination = Destination::new(id, first.has_independent_limits, batch_size);
        for endpoint in endpoints {
            self.restore_endpoint_into(&mut destination, now, endpoint);
        }
        self.update_restored_endpoints(&mut destination, now);
        self.destinations.insert(id, destination);
        self.idle.count_restored();
        self.schedule_summary(now, id);
    }

    /// Moves an endpoint from the idle table to a destination that is being restored.
    fn restore_endpoint_into(
        &mut self,
        destination: &mut Destination,
        now: Micros,
        endpoint: EndpointId,
    ) {
        let Some((summary, binding_state)) = self.idle.remove(destination.id, endpoint) else {
            return;
        };
        let pacer = summary.to_pacer(binding_state.as_ref(), now);
        let pacer_key = destination.pacer_key(endpoint);
        destination.pacers.entry(pacer_key).or_insert(pacer);
        destination
            .endpoints
            .insert(endpoint, EndpointSnapshot::default());
        let restored_endpoint = summary.to_endpoint(endpoint, destination.id, binding_state);
        self.endpoints.insert(endpoint, restored_endpoint);
    }

    /// Updates the capacity, the cost and the snapshot of each endpoint of a restored destination.
    fn update_restored_endpoints(&mut self, destination: &mut Destination, now: Micros) {
        let is_ready = |id: &&EndpointId| {
            let endpoint = self.endpoints.get(id);
            endpoint.is_some_and(|endpoint| endpoint.status == EndpointStatus::Ready)
        };
        let ready_endpoints = destination.endpoints.keys().filter(is_ready).count().max(1) as f64;
        let has_independent_limits = destination.has_independent_limits;
        let endpoints_per_limit = if has_independent_limits {
            1.0
        } else {
            ready_endpoints
        };
        for (id, snapshot) in &mut destination.endpoints {
            let Some(zone) = self.endpoints.get(id).map(|e| ZoneId(e.snapshot.zone)) else {
                continue;
            };
            let cost = self.message_cost(zone, has_independent_limits);
            let pacer = destination
                .pacers
                .get(&has_independent_limits.then_some(*id));
            let capacity = pacer.map_or(0.0, |pacer| pacer.capacity);
            let (tables, context) = self.split_state(now);
            if let Some(endpoint) = tables.endpoints.get_mut(id) {
                endpoint.capacity = capacity / endpoints_per_limit;
                endpoint.snapshot.cost = cost;
                endpoint.update_snapshot(&context);
                *snapshot = endpoint.snapshot;
            }
        }
    }

    /// Applies a rejection that a peer reported to the summaries of a destination. Returns whether
    /// the destination is idle. The destination is not restored: otherwise each forwarder would
    /// hold in full what other forwarders use.
    pub(super) fn apply_peer_rejection_to_idle(&mut self, now: Micros, id: DestinationId) -> bool {
        let endpoints = self.idle.endpoints_of(id);
        let Some(first) = endpoints.first().copied() else {
            return false;
        };
        let Some(summary) = self.idle.summary(id, first) else {
            return false;
        };
        if summary.has_independent_limits {
            return true; // no shared limit to slow down
        }
        let mut pacer = summary.to_pacer(self.idle.binding_state(first), now);
        pacer.handle_peer_rejection(now, &self.config, &mut self.rng);
        for endpoint in endpoints {
            let binding_state = self.idle.binding_state_mut(endpoint);
            binding_state.next_call_at = pacer.next_call_at;
            binding_state.pace_settled_at = pacer.settled_at();
            if let Some(summary) = self.idle.summary_mut(id, endpoint) {
                summary.pacing_interval = pacer.interval as f32;
            }
        }
        true
    }

    /// Applies an entry of the list to the summary of an idle endpoint. Returns false and changes
    /// nothing if the endpoint is not the only one of its destination, or if the entry or the
    /// summary has it as removed.
    pub(super) fn apply_entry_to_summary(&mut self, entry: &EndpointEntry) -> bool {
        let Some((endpoint, summary)) = self.idle.single_summary_mut(entry.destination) else {
            return false;
        };
        let is_removed = [entry.status, summary.status].contains(&EndpointStatus::Removed);
        if endpoint != entry.endpoint || is_removed {
            return false;
        }
        let listed = ListedCapacity::from_rate(entry.rate.into(), &self.config);
        summary.capacity = listed.calls_per_second as f32;
        summary.zone = entry.zone.0;
        summary.status = entry.status;
        summary.tie_breaker = selection::draw_tie_breaker(&mut self.rng) as f32;
        true
    }

    /// Schedules the summary of a destination that has no messages and calls. It is due once the
    /// timers of the destination have run out.
    pub(super) fn schedule_summary(&mut self, now: Micros, id: DestinationId) {
        if self.config.full_destinations.is_none() {
            return;
        }
        let Some(destination) = self.destinations.get(&id) else {
            return;
        };
        if destination.summary_due_at.is_some() {
            return;
        }
        let due_at = self.timers_end_at(destination, now);
        self.schedule_summary_at(id, due_at);
    }

    /// Returns the instant in µs at which the last timer of the destination runs out.
    fn timers_end_at(&self, destination: &Destination, now: Micros) -> Micros {
        let latest_settled_at = now + pacing::max_interval(&self.config) as Micros;
        let pace_settled_at = destination
            .pacers
            .values()
            .map(|pacer| pacer.settled_at().min(latest_settled_at));
        let connection_grace_end = destination
            .endpoints
            .keys()
            .filter_map(|endpoint| self.endpoints.get(endpoint))
            .map(|endpoint| endpoint.failures.last_response_at)
            .filter(|last_response_at| *last_response_at > 0)
            .map(|last_response_at| last_response_at + CONNECTION_GRACE);
        pace_settled_at
            .chain(connection_grace_end)
            .max()
            .unwrap_or(now)
    }

    fn schedule_summary_at(&mut self, id: DestinationId, due_at: Micros) {
        if let Some(destination) = self.destinations.get_mut(&id) {
            destination.summary_due_at = Some(due_at);
            self.idle.enqueue(due_at, id);
        }
    }

    /// Cancels the scheduled summary of a destination that is in use again or about to be removed.
    pub(super) fn cancel_scheduled_summary(&mut self, id: DestinationId) {
        if self.config.full_destinations.is_none() {
            return;
        }
        let Some(destination) = self.destinations.get_mut(&id) else {
            return;
        };
        if let Some(due_at) = destination.summary_due_at.take() {
            self.idle.dequeue(due_at, id);
        }
    }

    /// Summarises up to `max_summaries` destinations that are due, in the order of their due times,
    /// while the limit of destinations held in full is exceeded.
    pub(super) fn summarise_idle_destinations(&mut self, now: Micros, max_summaries: usize) {
        if self.config.full_destinations.is_none() {
            return;
        }
        self.idle.count_full(self.destinations.len());
        self.idle.sweep(now, self.config.rules.warm_up_time);
        for _ in 0..max_summaries {
            let Some(id) = self.idle.next_due(now) else {
                return;
            };
            if !self.exceeds_full_limit(0) {
                return;
            }
            self.cancel_scheduled_summary(id);
            match self.summaries_of(now, id) {
                Some(summaries) => self.summarise(id, summaries),
                None => self.retry_summary_later(now, id),
            }
        }
    }

    /// Schedules another try for a destination that could not be summarised, unless the destination
    /// is in use.
    fn retry_summary_later(&mut self, now: Micros, id: DestinationId) {
        if !self.activities.contains_key(&id) {
            self.schedule_summary_at(id, now + SUMMARY_RETRY_INTERVAL);
        }
    }

    fn summarise(&mut self, id: DestinationId, summaries: Vec<SummarisedEndpoint>) {
        self.destinations.remove(&id);
        for SummarisedEndpoint {
            endpoint,
            summary,
            binding_state,
        } in summaries
        {
            self.endpoints.remove(&endpoint);
            self.idle.insert(id, endpoint, summary, binding_state);
        }
        self.idle.count_summarised();
    }

    /// Returns the summaries of the endpoints of a destination. Returns `None` if the destination
    /// is in use, or if a summary would lose binding state.
    fn summaries_of(&mut self, now: Micros, id: DestinationId) -> Option<Vec<SummarisedEndpoint>> {
        let destination = self.destinations.get_mut(&id)?;
        destination.drop_unused_pacers(now, !destination.has_independent_limits);
        for pacer in destination.pacers.values_mut() {
            pacer.recover(now);
        }
        let limit_count = if destination.has_independent_limits {
            destination.endpoints.len()
        } else {
            1
        };
        let is_unused = !self.activities.contains_key(&id) && destination.messages.is_empty();
        let has_endpoints_and_pacers =
            !destination.endpoints.is_empty() && destination.pacers.len() == limit_count;
        if !is_unused || !has_endpoints_and_pacers {
            return None;
        }
        let destination = self.destinations.get(&id)?;
        destination
            .endpoints
            .keys()
            .map(|endpoint| self.summary_of(now, destination, *endpoint))
            .collect()
    }

    fn summary_of(
        &self,
        now: Micros,
        destination: &Destination,
        id: EndpointId,
    ) -> Option<SummarisedEndpoint> {
        let pacer = destination.pacers.get(&destination.pacer_key(id))?;
        let endpoint = self.endpoints.get(&id)?;
        let is_summarisable = |endpoint: &Endpoint| {
            endpoint.destination == destination.id
                && endpoint.has_no_calls_in_flight()
                && !endpoint.has_health_check_in_flight()
                && endpoint.batch_size == destination.batch_size
        };
        if !is_summarisable(endpoint) {
            return None;
        }
        let warm_up_time = self.config.rules.warm_up_time;
        Some(SummarisedEndpoint {
            endpoint: id,
            summary: EndpointSummary::of(endpoint, pacer, destination)?,
            binding_state: BindingState::of(endpoint, pacer, now, warm_up_time),
        })
    }
}
