//! Begins and ends the faults of the scenario. Faults of receivers are set at the receivers; the other faults act on discovery
//! and the forwarder processes.

use super::event::SimulatedEvent;
use super::Sim;
use crate::scenario::{Fault, FaultKind};
use crate::world::Layout;

impl Sim {
    /// Begins or ends a fault, and schedules its end when it begins.
    pub(super) fn fault_changes(&mut self, fault_index: usize, begins: bool) {
        let fault = self.scenario.faults[fault_index].clone();
        if begins {
            let ends = SimulatedEvent::FaultChanges {
                fault: fault_index,
                begins: false,
            };
            self.schedule(fault.ends_at(), ends);
        } else {
            self.pending_faults -= 1;
        }
        match (&fault.kind, begins) {
            (FaultKind::Killed { folder_kept }, true) => {
                self.kill_processes(fault_index, &fault, *folder_kept)
            }
            (FaultKind::Paused, true) => self.pause_processes(fault_index, &fault),
            (FaultKind::Drain, true) => self.drain_endpoints(fault_index, &fault),
            (FaultKind::Stale, true) => {
                self.discovery_stale_until = self.discovery_stale_until.max(fault.ends_at())
            }
            (FaultKind::DiscoveryDown, true) => {
                self.discovery_stale_until = self.discovery_stale_until.max(fault.ends_at());
                self.discovery_down_until = self.discovery_down_until.max(fault.ends_at());
            }
            (FaultKind::Partial { missing }, true) => self.send_partial_list(*missing),
            (FaultKind::Partial { .. }, false) => self.send_partial_list(0.0),
            (
                FaultKind::Killed { .. }
                | FaultKind::Paused
                | FaultKind::Drain
                | FaultKind::Stale
                | FaultKind::DiscoveryDown,
                false,
            ) => {}
            (kind, begins) => {
                let endpoints = self.affected_endpoints(fault_index, &fault);
                let ends_at = fault.ends_at();
                self.receivers
                    .set_fault(self.now, fault_index, kind, ends_at, &endpoints, begins);
            }
        }
    }

    fn affected_endpoints(&self, fault_index: usize, fault: &Fault) -> Vec<usize> {
        self.layout
            .affected_endpoints(&self.scenario, &fault.scope, self.seed, fault_index)
    }

    fn affected_forwarders(&self, fault_index: usize, fault: &Fault) -> Vec<u32> {
        Layout::affected_forwarders(&self.scenario, &fault.scope, self.seed, fault_index)
    }

    fn kill_processes(&mut self, fault_index: usize, fault: &Fault, folder_kept: bool) {
        for forwarder in self.affected_forwarders(fault_index, fault) {
            self.kill_process(forwarder, folder_kept);
            let restarts = SimulatedEvent::ProcessRestarts {
                forwarder,
                folder_kept,
            };
            self.schedule(fault.ends_at(), restarts);
        }
    }

    fn pause_processes(&mut self, fault_index: usize, fault: &Fault) {
        for forwarder in self.affected_forwarders(fault_index, fault) {
            self.pause_process(forwarder);
            let resumes = SimulatedEvent::ProcessResumes { forwarder };
            self.schedule(fault.ends_at(), resumes);
        }
    }

    /// Drains the affected endpoints one after the other, each for an equal part of the fault's duration.
    fn drain_endpoints(&mut self, fault_index: usize, fault: &Fault) {
        let endpoints = self.affected_endpoints(fault_index, fault);
        let drain_time = fault.lasts.0 / endpoints.len().max(1) as u64;
        for (position, endpoint) in endpoints.into_iter().enumerate() {
            let begins_at = fault.at.0 + drain_time * position as u64;
            for (at, removed) in [(begins_at, false), (begins_at + drain_time, true)] {
                self.schedule(at, SimulatedEvent::EndpointDrains { endpoint, removed });
            }
        }
    }
}
