//! Plays the faults of a run on sockets.

use super::agents::{ListChange, Phase, PlatformAgent};
use super::clients::ForwarderClient;
use super::endpoints::StandInEndpoint;
use super::processes::{ForwarderProcess, ProcessUsage};
use super::RunContext;
use crate::random::seeded_rng;
use crate::scenario::{Fault, FaultKind};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Mutex as AsyncMutex;

/// Time after a restart or a resumption during which final answers may be late, in µs.
const RESTART_GRACE: Micros = 1_500_000;

/// The forwarders of a run with their agents and clients, indexed by forwarder number. Without forwarder processes, `clients`
/// and `processes` are empty.
#[derive(Default)]
pub(super) struct Fleet {
    pub agents: Vec<Arc<PlatformAgent>>,
    pub clients: Vec<Arc<ForwarderClient>>,
    pub processes: Vec<Arc<AsyncMutex<ForwarderProcess>>>,
}

/// Plays the faults of a run against its stand-ins and forwarders. Shared by the tasks of all faults.
pub(super) struct FaultTimeline {
    pub context: Arc<RunContext>,
    stand_ins: Vec<Arc<StandInEndpoint>>,
    pub fleet: Fleet,
    pub seed: u64,
    /// Start of the load, in µs on the run's clock. The times of the faults are relative to it.
    pub begins_at: Micros,
    /// Random numbers of discovery: lags, and the endpoints that a partial list lacks.
    discovery_rng: Mutex<Pcg64Mcg>,
    /// Phase of each endpoint in the list, by endpoint index.
    phases: Mutex<Vec<Phase>>,
    /// Time until which discovery sends no updates, in µs on the run's clock.
    stale_until: Mutex<Micros>,
    /// Descriptions of crashes and failed restarts of forwarders. If there are any, the run is invalid.
    pub crashes: Mutex<Vec<String>>,
    /// Forwarders that are known to be down, killed or crashed. Any other forwarder that has exited has crashed.
    down_forwarders: Mutex<BTreeSet<u32>>,
}

/// Locks a mutex, also if a thread panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultTimeline {
    /// Creates a timeline with all endpoints ready and no active fault.
    pub fn new(
        context: Arc<RunContext>,
        stand_ins: Vec<Arc<StandInEndpoint>>,
        fleet: Fleet,
        seed: u64,
        begins_at: Micros,
    ) -> Arc<FaultTimeline> {
        Arc::new(FaultTimeline {
            phases: Mutex::new(vec![Phase::Ready; stand_ins.len()]),
            context,
            stand_ins,
            fleet,
            seed,
            begins_at,
            discovery_rng: Mutex::new(seeded_rng(seed, "lags", 0)),
            stale_until: Mutex::default(),
            crashes: Mutex::default(),
            down_forwarders: Mutex::default(),
        })
    }

    /// Returns the total CPU time of the forwarders and the memory of the largest one. Forwarders that are being killed or
    /// started are omitted.
    pub async fn usage(&self) -> ProcessUsage {
        let mut total = ProcessUsage::default();
        for process in &self.fleet.processes {
            let Ok(process) = process.try_lock() else {
                continue;
            };
            if let Some(usage) = process.usage() {
                total.cpu_micros += usage.cpu_micros;
                total.memory_bytes = total.memory_bytes.max(usage.memory_bytes);
            }
        }
        total
    }

    /// Records forwarders that exited without having been killed.
    pub async fn record_crashes(&self) {
        for (forwarder, process) in self.fleet.processes.iter().enumerate() {
            let Ok(mut process) = process.try_lock() else {
                continue;
            };
            if lock(&self.down_forwarders).contains(&(forwarder as u32)) {
                continue;
            }
            if let Some(exit_status) = process.exit_status() {
                lock(&self.crashes).push(format!(
                    "forwarder {forwarder} ended by itself: {exit_status}"
                ));
                lock(&self.down_forwarders).insert(forwarder as u32);
            }
        }
    }

    /// Sleeps until a time of the scenario, in µs from the start of the load.
    async fn sleep_until(&self, at: Micros) {
        tokio::time::sleep_until(self.context.instant_at(self.begins_at + at)).await;
    }

    /// Plays one fault from its start to its end, by its index in the scenario.
    pub async fn play_fault(self: Arc<FaultTimeline>, fault_index: usize) {
        let scenario = &self.context.scenario;
        let fault = scenario.faults[fault_index].clone();
        let forwarders =
            Layout::affected_forwarders(scenario, &fault.scope, self.seed, fault_index);
        let layout = &self.context.layout;
        let endpoints = layout.affected_endpoints(scenario, &fault.scope, self.seed, fault_index);
        self.sleep_until(fault.at.0).await;
        match &fault.kind {
            FaultKind::Killed { folder_kept } => {
                self.play_kill(&fault, &forwarders, *folder_kept).await
            }
            FaultKind::Paused => self.play_pause(&fault, &forwarders).await,
            FaultKind::Drain => self.play_drain(&fault, &endpoints).await,
            FaultKind::Stale => self.withhold_updates(&fault),
            FaultKind::DiscoveryDown => {
                self.withhold_updates(&fault);
                self.set_agents_silent(true);
                self.sleep_until(fault.ends_at()).await;
                self.set_agents_silent(false);
            }
            FaultKind::Partial { missing } => {
                self.send_partial_list(*missing);
                self.sleep_until(fault.ends_at()).await;
                self.send_partial_list(0.0);
            }
            _ => {
                self.set_receiver_fault(fault_index, &fault, &endpoints, true);
                self.sleep_until(fault.ends_at()).await;
                self.set_receiver_fault(fault_index, &fault, &endpoints, false);
            }
        }
    }

    /// Withholds updates of the list until the end of the fault.
    fn withhold_updates(&self, fault: &Fault) {
        let mut until = lock(&self.stale_until);
        *until = (*until).max(self.begins_at + fault.ends_at());
    }

    fn set_agents_silent(&self, silent: bool) {
        for agent in &self.fleet.agents {
            agent.set_silent(silent);
        }
    }

    fn set_receiver_fault(
        &self,
        fault_index: usize,
        fault: &Fault,
        endpoints: &[usize],
        is_active: bool,
    ) {
        let now = self.context.now();
        let until = self.begins_at + fault.ends_at();
        let mut state = self.context.lock_state();
        state
            .receivers
            .set_fault(now, fault_index, &fault.kind, until, endpoints, is_active);
        drop(state);
        self.context
            .receivers_changed
            .send_modify(|changes| *changes += 1);
    }

    async fn play_kill(&self, fault: &Fault, forwarders: &[u32], folder_kept: bool) {
        for forwarder in forwarders {
            self.kill_process(*forwarder, folder_kept).await;
        }
        self.sleep_until(fault.ends_at()).await;
        for forwarder in forwarders {
            self.restart_process(*forwarder).await;
        }
    }

    async fn play_pause(&self, fault: &Fault, forwarders: &[u32]) {
        for forwarder in forwarders {
            self.context
                .lock_state()
                .oracle
                .excuse_until(*forwarder, Micros::MAX);
            self.process(*forwarder).lock().await.pause();
        }
        self.sleep_until(fault.ends_at()).await;
        for forwarder in forwarders {
            self.process(*forwarder).lock().await.resume();
            self.excuse_during_restart(*forwarder);
        }
    }

    /// Drains the endpoints one after the other, each for the same share of the fault's duration.
    async fn play_drain(&self, fault: &Fault, endpoints: &[usize]) {
        let drain_time = fault.lasts.0 / endpoints.len().max(1) as u64;
        for (position, endpoint) in endpoints.iter().enumerate() {
            let drain_start = fault.at.0 + drain_time * position as u64;
            self.sleep_until(drain_start).await;
            self.start_drain(*endpoint);
            self.sleep_until(drain_start + drain_time).await;
            self.replace_endpoint(*endpoint);
        }
    }

    fn process(&self, forwarder: u32) -> &AsyncMutex<ForwarderProcess> {
        &self.fleet.processes[forwarder as usize]
    }

    fn set_available(&self, forwarder: u32, available: bool) {
        let client = &self.fleet.clients[forwarder as usize];
        client.available.store(available, Ordering::Relaxed);
    }

    fn excuse_during_restart(&self, forwarder: u32) {
        let now = self.context.now();
        let mut state = self.context.lock_state();
        state.oracle.excuse_until(forwarder, now + RESTART_GRACE);
    }

    async fn kill_process(&self, forwarder: u32, folder_kept: bool) {
        lock(&self.down_forwarders).insert(forwarder);
        self.set_available(forwarder, false);
        self.context
            .lock_state()
            .oracle
            .excuse_until(forwarder, Micros::MAX);
        self.process(forwarder).lock().await.kill(folder_kept).await;
        let now = self.context.now();
        let mut state = self.context.lock_state();
        state.oracle.process_ended(forwarder);
        if folder_kept {
            return;
        }
        for message in state.oracle.lost_with_folder(forwarder, now) {
            if state.messages.remove(&message).is_some() {
                state.tally.counts.gone += 1;
            }
        }
    }

    async fn restart_process(&self, forwarder: u32) {
        let known_list = self.fleet.agents[forwarder as usize].known_list();
        let mut process = self.process(forwarder).lock().await;
        process.set_known_list(known_list);
        let started = process.start().await;
        drop(process);
        match started {
            Ok(()) => {
                self.excuse_during_restart(forwarder);
                self.set_available(forwarder, true);
                lock(&self.down_forwarders).remove(&forwarder);
            }
            Err(error) => lock(&self.crashes).push(error.to_string()),
        }
    }

    fn start_drain(&self, endpoint_index: usize) {
        lock(&self.phases)[endpoint_index] = Phase::Terminating;
        let incarnation = self.stand_ins[endpoint_index].incarnation();
        let phase = Phase::Terminating;
        self.send_changes(vec![ListChange {
            endpoint_index,
            incarnation,
            phase,
        }]);
    }

    /// Removes an endpoint and announces its next incarnation at the same address as ready.
    fn replace_endpoint(&self, endpoint_index: usize) {
        let old_incarnation = self.stand_ins[endpoint_index].incarnation();
        let now = self.context.now();
        self.context
            .lock_state()
            .receivers
            .replace(now, endpoint_index);
        self.stand_ins[endpoint_index].start_new_incarnation();
        lock(&self.phases)[endpoint_index] = Phase::Ready;
        let change = |incarnation, phase| ListChange {
            endpoint_index,
            incarnation,
            phase,
        };
        self.send_changes(vec![
            change(old_incarnation, Phase::Gone),
            change(old_incarnation + 1, Phase::Ready),
        ]);
    }

    /// Draws the time at which each agent receives an update that discovery sends now, in µs on the run's clock.
    fn arrival_times(&self) -> Vec<Micros> {
        let max_lag = self.context.scenario.network.list_lag.0;
        let earliest = self.context.now().max(*lock(&self.stale_until));
        let mut rng = lock(&self.discovery_rng);
        let agents = self.fleet.agents.iter();
        agents
            .map(|_| earliest + rng.random_range(0..=max_lag))
            .collect()
    }

    fn send_changes(&self, changes: Vec<ListChange>) {
        for (agent, arrival_time) in self.fleet.agents.iter().zip(self.arrival_times()) {
            let (agent, changes) = (agent.clone(), changes.clone());
            let arrival_time = self.context.instant_at(arrival_time);
            tokio::spawn(async move {
                tokio::time::sleep_until(arrival_time).await;
                agent.apply_changes(&changes);
            });
        }
    }

    /// Sends a complete list that lacks each endpoint with the probability `missing_share`.
    fn send_partial_list(&self, missing_share: f64) {
        let phases = lock(&self.phases).clone();
        let mut members = BTreeMap::new();
        for (endpoint_index, phase) in phases.into_iter().enumerate() {
            if !lock(&self.discovery_rng).random_bool(missing_share) {
                members.insert(
                    (endpoint_index, self.stand_ins[endpoint_index].incarnation()),
                    phase,
                );
            }
        }
        for (agent, arrival_time) in self.fleet.agents.iter().zip(self.arrival_times()) {
            let (agent, members) = (agent.clone(), members.clone());
            let arrival_time = self.context.instant_at(arrival_time);
            tokio::spawn(async move {
                tokio::time::sleep_until(arrival_time).await;
                agent.replace_list(members);
            });
        }
    }
}
