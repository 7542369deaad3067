//! faults on their timeline: those of receivers go to the receivers, the rest strikes discovery and forwarders.

use super::{Sim, SimulatedEvent};
use crate::scenario::FaultKind;
use crate::world::Layout;
use opalpulley::{EndpointEntry, EndpointListUpdate, EndpointStatus, Event, Micros};
use rand::Rng;

impl Sim {
    pub(super) fn fault(&mut self, number: usize, on: bool) {
        let fault = self.scenario.faults[number].clone();
        let until = fault.at.0 + fault.lasts.0;
        let endpoints =
            self.layout
                .endpoints_struck(&self.scenario, &fault.scope, self.seed, number);
        let forwarders = Layout::forwarders_struck(&self.scenario, &fault.scope, self.seed, number);
        if on {
            self.schedule(until, SimulatedEvent::FaultChanges { number, on: false });
        } else {
            self.pending_faults -= 1;
        }
        match (&fault.kind, on) {
            (
                FaultKind::Killed {
                    folder_kept: folder,
                },
                true,
            ) => {
                for forwarder in forwarders {
                    self.kill(forwarder, *folder);
                    self.schedule(
                        until,
                        SimulatedEvent::ProcessRestarts {
                            forwarder,
                            folder: *folder,
                        },
                    );
                }
            }
            (FaultKind::Paused, true) => {
                for forwarder in forwarders {
                    if self.processes[forwarder as usize].up() {
                        self.processes[forwarder as usize].paused = true;
                        self.oracle.excuse(forwarder, Micros::MAX);
                    }
                    self.schedule(until, SimulatedEvent::ProcessResumes { forwarder });
                }
            }
            (FaultKind::Drain, true) => {
                let each = fault.lasts.0 / endpoints.len().max(1) as u64;
                for (place, endpoint) in endpoints.into_iter().enumerate() {
                    let begin = fault.at.0 + each * place as u64;
                    self.schedule(
                        begin,
                        SimulatedEvent::EndpointDrains {
                            endpoint,
                            gone: false,
                        },
                    );
                    self.schedule(
                        begin + each,
                        SimulatedEvent::EndpointDrains {
                            endpoint,
                            gone: true,
                        },
                    );
                }
            }
            (FaultKind::Stale, true) => self.stale_until = self.stale_until.max(until),
            (FaultKind::Partial { missing }, _) => {
                let missing = if on { *missing } else { 0.0 };
                let mut list = self.list();
                list.retain(|_| !self.lags.random_bool(missing));
                self.send_list_update(EndpointListUpdate::Complete(list));
            }
            (
                FaultKind::Killed { .. } | FaultKind::Paused | FaultKind::Drain | FaultKind::Stale,
                false,
            ) => {}
            (what, on) => self
                .receivers
                .set_fault(self.now, number, what, until, &endpoints, on),
        }
    }

    fn list(&self) -> Vec<EndpointEntry> {
        let entries = self.status.iter().enumerate();
        entries
            .map(|(t, (holder, status))| {
                self.layout
                    .listing(&self.scenario.destinations, t, *holder, *status)
            })
            .collect()
    }

    /// One endpoint begins to drain; or it is gone, and another holder stands under its address.
    pub(super) fn endpoint_drains(&mut self, endpoint: usize, gone: bool) {
        let (holder, _) = self.status[endpoint];
        let entry = |holder, status| {
            self.layout
                .listing(&self.scenario.destinations, endpoint, holder, status)
        };
        let list_update = match gone {
            false => {
                self.status[endpoint] = (holder, EndpointStatus::Draining);
                vec![entry(holder, EndpointStatus::Draining)]
            }
            true => {
                self.status[endpoint] = (holder + 1, EndpointStatus::Ready);
                self.receivers.replace(self.now, endpoint);
                self.connections[endpoint].idle.clear();
                vec![
                    entry(holder, EndpointStatus::Removed),
                    entry(holder + 1, EndpointStatus::Ready),
                ]
            }
        };
        self.send_list_update(EndpointListUpdate::Changes(list_update));
    }

    /// Tells every forwarder, each after a lag of its own, in order, and not while discovery is stale.
    fn send_list_update(&mut self, list_update: EndpointListUpdate) {
        for forwarder in 0..self.processes.len() {
            let lag = self.lags.random_range(0..=self.scenario.network.list_lag.0);
            let process = &mut self.processes[forwarder];
            let at = (self.now.max(self.stale_until) + lag).max(process.list_update_at);
            process.list_update_at = at;
            self.schedule(
                at,
                SimulatedEvent::ListUpdate {
                    forwarder: forwarder as u32,
                    list_update: list_update.clone(),
                },
            );
        }
    }

    /// A call for the list: worked off in turn, too late for its caller or not.
    pub(super) fn ask(&mut self, forwarder: u32) {
        let Some(asked) = &self.scenario.network.polled_discovery else {
            return;
        };
        self.work.list_calls += 1;
        let wait = self.discovery_busy.saturating_sub(self.now) + asked.poll_cost.0;
        let (after, told) = match wait {
            _ if wait > asked.longest_queue.0 => (2 * self.scenario.network.delay.0, false),
            _ => {
                self.discovery_busy = self.now + wait;
                (wait.min(asked.poll_timeout.0), wait <= asked.poll_timeout.0)
            }
        };
        let incarnation = self.processes[forwarder as usize].incarnation;
        self.schedule(
            self.now + after,
            SimulatedEvent::PollAnswered {
                forwarder,
                incarnation,
                told,
            },
        );
    }

    pub(super) fn asked(&mut self, forwarder: u32, incarnation: u32, told: bool) {
        let process = &mut self.processes[forwarder as usize];
        if process.incarnation != incarnation || !process.up() {
            return;
        }
        if told {
            process.follows_list = true;
            self.send_complete_list(forwarder);
        } else {
            self.deliver_event(
                forwarder,
                incarnation,
                Event::EndpointList(EndpointListUpdate::Failed),
            );
        }
    }

    /// A forwarder that was away hears the whole list.
    pub(super) fn send_complete_list(&mut self, forwarder: u32) {
        let list = self.list();
        let at = self.now.max(self.stale_until);
        self.schedule(
            at,
            SimulatedEvent::ListUpdate {
                forwarder,
                list_update: EndpointListUpdate::Complete(list),
            },
        );
    }
}
