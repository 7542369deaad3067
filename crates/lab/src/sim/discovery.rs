//! Simulated discovery: the endpoint list, its updates to the forwarders, and the forwarders' polls of it.

use super::event::SimulatedEvent;
use super::Sim;
use crate::scenario::Scenario;
use crate::world::Layout;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus, Event, Micros};
use rand::Rng;

/// Time after which a forwarder drops a poll that has timed out, in µs. It uses an answer that comes before, as the forwarder
/// on sockets does.
const LATE_POLL_TIMEOUT: Micros = 7_000_000;

/// The entry of an endpoint's address in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedEndpoint {
    /// The incarnation of the endpoint; each new endpoint at the same address has the next number.
    pub incarnation: u32,
    pub status: EndpointStatus,
}

impl Sim {
    /// Returns the complete list, in the order of the endpoint indices.
    pub(super) fn complete_list(
        layout: &Layout,
        scenario: &Scenario,
        listed: &[ListedEndpoint],
    ) -> Vec<EndpointEntry> {
        let entry = |(endpoint, listed): (usize, &ListedEndpoint)| {
            let groups = &scenario.destinations;
            layout.list_entry(groups, endpoint, listed.incarnation, listed.status)
        };
        listed.iter().enumerate().map(entry).collect()
    }

    fn current_list(&self) -> Vec<EndpointEntry> {
        Sim::complete_list(&self.layout, &self.scenario, &self.listed_endpoints)
    }

    /// Starts to drain an endpoint; or, if `removed`, removes it and lists a new endpoint at its address as ready.
    pub(super) fn endpoint_drains(&mut self, endpoint: usize, removed: bool) {
        let incarnation = self.listed_endpoints[endpoint].incarnation;
        let changes = if removed {
            self.receivers.replace(self.now, endpoint);
            self.connections[endpoint].idle.clear();
            vec![
                (incarnation, EndpointStatus::Removed),
                (incarnation + 1, EndpointStatus::Ready),
            ]
        } else {
            vec![(incarnation, EndpointStatus::Draining)]
        };
        if let Some((incarnation, status)) = changes.last().copied() {
            self.listed_endpoints[endpoint] = ListedEndpoint {
                incarnation,
                status,
            };
        }
        let groups = &self.scenario.destinations;
        let entry = |(incarnation, status)| {
            self.layout
                .list_entry(groups, endpoint, incarnation, status)
        };
        let entries = changes.into_iter().map(entry).collect();
        self.send_list_update(EndpointListUpdate::Changes(entries));
    }

    /// Sends the complete list to all forwarders, with each entry left out with probability `missing_share`.
    pub(super) fn send_partial_list(&mut self, missing_share: f64) {
        let mut list = self.current_list();
        list.retain(|_| !self.discovery_rng.random_bool(missing_share));
        self.send_list_update(EndpointListUpdate::Complete(list));
    }

    /// Sends an update to every forwarder, each after a random lag, in the order of the updates and not before discovery stops
    /// being stale.
    fn send_list_update(&mut self, update: EndpointListUpdate) {
        for forwarder in 0..self.processes.len() {
            let lag = self
                .discovery_rng
                .random_range(0..=self.scenario.network.list_lag.0);
            let process = &mut self.processes[forwarder];
            let arrives_at = self.now.max(self.discovery_stale_until) + lag;
            process.last_list_update_at = arrives_at.max(process.last_list_update_at);
            let at = process.last_list_update_at;
            self.schedule_list_update(at, forwarder as u32, update.clone());
        }
    }

    fn schedule_list_update(&mut self, at: Micros, forwarder: u32, update: EndpointListUpdate) {
        self.schedule(at, SimulatedEvent::ListUpdate { forwarder, update });
    }

    /// Sends the complete list to a forwarder that missed updates.
    pub(super) fn send_complete_list(&mut self, forwarder: u32) {
        let update = EndpointListUpdate::Complete(self.current_list());
        let arrives_at = self.now.max(self.discovery_stale_until);
        self.schedule_list_update(arrives_at, forwarder, update);
    }

    /// Handles a forwarder's poll of the list. Discovery answers polls one after the other, including those that have timed out
    /// by then, and rejects a poll that would be queued for too long. A poll that times out fails, and may be answered later.
    pub(super) fn poll_list(&mut self, forwarder: u32) {
        let Some(discovery) = &self.scenario.network.polled_discovery else {
            return;
        };
        self.stats.list_polls += 1;
        let queue_delay =
            self.discovery_busy_until.saturating_sub(self.now) + discovery.poll_service_time.0;
        let timeout = discovery.poll_timeout.0;
        if queue_delay > discovery.max_queue_wait.0 {
            let rejection_delay = 2 * self.scenario.network.delay.0;
            return self.schedule_poll_answer(forwarder, rejection_delay, false);
        }
        self.discovery_busy_until = self.now + queue_delay;
        if queue_delay > timeout {
            self.schedule_poll_answer(forwarder, timeout, false);
        }
        if queue_delay <= timeout.max(LATE_POLL_TIMEOUT) {
            self.schedule_poll_answer(forwarder, queue_delay, true);
        }
    }

    /// Schedules the end of a poll in `delay` µs, by an answer or by a failure.
    fn schedule_poll_answer(&mut self, forwarder: u32, delay: Micros, answered: bool) {
        let answered_event = SimulatedEvent::PollAnswered {
            forwarder,
            incarnation: self.processes[forwarder as usize].incarnation,
            answered,
        };
        self.schedule(self.now + delay, answered_event);
    }

    pub(super) fn poll_answered(&mut self, forwarder: u32, incarnation: u32, answered: bool) {
        let process = &mut self.processes[forwarder as usize];
        if process.incarnation != incarnation || !process.is_up() {
            return;
        }
        if answered {
            process.follows_list = true;
            self.send_complete_list(forwarder);
        } else {
            let failed = Event::EndpointListUpdated(EndpointListUpdate::Failed);
            self.deliver_event(forwarder, incarnation, failed);
        }
    }

    /// Applies and delivers a list update to a forwarder. The update is dropped if the forwarder is down or gets no updates yet;
    /// it gets the complete list later.
    pub(super) fn receive_list_update(&mut self, forwarder: u32, update: EndpointListUpdate) {
        let process = &self.processes[forwarder as usize];
        if !process.is_up() || !process.follows_list {
            return;
        }
        let incarnation = process.incarnation;
        match &update {
            EndpointListUpdate::Changes(entries) => self.apply_entries(forwarder, entries),
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                self.remove_missing(forwarder, entries);
                self.apply_entries(forwarder, entries);
            }
            EndpointListUpdate::Failed => {}
        }
        self.deliver_event(forwarder, incarnation, Event::EndpointListUpdated(update));
    }

    /// Removes endpoints that are missing from a complete list.
    fn remove_missing(&mut self, forwarder: u32, entries: &[EndpointEntry]) {
        let known_endpoints = &self.processes[forwarder as usize].known_endpoints;
        let missing = |known: &&EndpointEntry| {
            let mut listed = entries.iter();
            !listed.any(|entry| entry.endpoint == known.endpoint)
        };
        let missing: Vec<EndpointEntry> =
            known_endpoints.values().filter(missing).cloned().collect();
        for entry in missing {
            let known_endpoints = &mut self.processes[forwarder as usize].known_endpoints;
            known_endpoints.remove(&Layout::endpoint_index(entry.endpoint));
            self.notify_oracle(forwarder, &entry, false);
        }
    }

    fn apply_entries(&mut self, forwarder: u32, entries: &[EndpointEntry]) {
        for entry in entries {
            self.notify_oracle(forwarder, entry, entry.status == EndpointStatus::Ready);
            let known_endpoints = &mut self.processes[forwarder as usize].known_endpoints;
            let index = Layout::endpoint_index(entry.endpoint);
            if entry.status != EndpointStatus::Removed {
                known_endpoints.insert(index, entry.clone());
                continue;
            }
            // The entry of a newer endpoint at the same address stays.
            let known = known_endpoints.get(&index);
            if known.is_some_and(|known| known.endpoint == entry.endpoint) {
                known_endpoints.remove(&index);
            }
        }
    }

    /// Notifies the oracle that a forwarder knows whether an endpoint takes new calls.
    fn notify_oracle(&mut self, forwarder: u32, entry: &EndpointEntry, ready: bool) {
        let index = Layout::endpoint_index(entry.endpoint);
        let incarnation = entry.endpoint.incarnation;
        self.oracle
            .endpoint_status_notified(forwarder, index, incarnation, ready, self.now);
    }
}
