//! The timeline of a run on sockets: each fault from its beginning to its end.

use super::agents::{Agent, ListChange, Phase};
use super::clients::ForwarderClient;
use super::endpoints::StandIn;
use super::processes::{Process, ProcessUsage};
use super::Stage;
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

/// After a restart: from then on a final answer may be overdue, µs.
const READY_AFTER: Micros = 1_500_000;

/// The forwarders of a run, each with its agent and its clients; empty where no forwarder is run.
#[derive(Default)]
pub(super) struct Fleet {
    pub agents: Vec<Arc<Agent>>,
    pub clients: Vec<Arc<ForwarderClient>>,
    pub processes: Vec<Arc<AsyncMutex<Process>>>,
}

/// Plays the faults of a run.
pub(super) struct Timeline {
    pub stage: Arc<Stage>,
    stand_ins: Vec<Arc<StandIn>>,
    pub fleet: Fleet,
    pub seed: u64,
    /// When the first message may be due, µs on the stage's clock.
    pub begin: Micros,
    /// Chance of discovery: lags, and what a partial list lacks.
    lags: Mutex<Pcg64Mcg>,
    /// The phase of each endpoint in the list.
    phases: Mutex<Vec<Phase>>,
    /// Until when discovery sends nothing.
    stale_until: Mutex<Micros>,
    /// Forwarders that ended by themselves, in words.
    pub crashes: Mutex<Vec<String>>,
    /// Forwarders that are killed now: any other that has ended has crashed.
    down: Mutex<BTreeSet<u32>>,
}

/// What a mutex holds, which a panic elsewhere leaves as it was.
pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Timeline {
    /// A timeline on which nothing has happened yet.
    pub fn new(
        stage: Arc<Stage>,
        stand_ins: Vec<Arc<StandIn>>,
        fleet: Fleet,
        seed: u64,
        begin: Micros,
    ) -> Arc<Timeline> {
        Arc::new(Timeline {
            phases: Mutex::new(vec![Phase::Ready; stand_ins.len()]),
            stage,
            stand_ins,
            fleet,
            seed,
            begin,
            lags: Mutex::new(seeded_rng(seed, "lags", 0)),
            stale_until: Mutex::default(),
            crashes: Mutex::default(),
            down: Mutex::default(),
        })
    }

    /// CPU time of all forwarders and the memory of the largest; those that are being killed or started are left out.
    pub async fn usage(&self) -> ProcessUsage {
        let mut sum = ProcessUsage::default();
        for process in &self.fleet.processes {
            let Ok(process) = process.try_lock() else {
                continue;
            };
            if let Some(usage) = process.usage() {
                sum.cpu += usage.cpu;
                sum.memory = sum.memory.max(usage.memory);
            }
        }
        sum
    }

    /// Notes forwarders that ended by themselves.
    pub async fn look_for_crashes(&self) {
        for (number, process) in self.fleet.processes.iter().enumerate() {
            let Ok(mut process) = process.try_lock() else {
                continue;
            };
            if locked(&self.down).contains(&(number as u32)) {
                continue;
            }
            if let Some(how) = process.ended() {
                locked(&self.crashes).push(format!("forwarder {number} ended by itself: {how}"));
                locked(&self.down).insert(number as u32);
            }
        }
    }

    /// Waits until this time of the scenario.
    async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.stage.at(self.begin + at)).await;
    }

    /// Plays one fault, by its place in the scenario.
    pub async fn play_fault(self: Arc<Timeline>, number: usize) {
        let scenario = &self.stage.scenario;
        let fault = scenario.faults[number].clone();
        let forwarders = Layout::affected_forwarders(scenario, &fault.scope, self.seed, number);
        let layout = &self.stage.layout;
        let endpoints = layout.affected_endpoints(scenario, &fault.scope, self.seed, number);
        self.until(fault.at.0).await;
        match &fault.kind {
            FaultKind::Killed { folder_kept } => {
                self.play_kill(&fault, &forwarders, *folder_kept).await
            }
            FaultKind::Paused => self.play_pause(&fault, &forwarders).await,
            FaultKind::Drain => self.play_drain(&fault, &endpoints).await,
            FaultKind::Stale => {
                let mut until = locked(&self.stale_until);
                *until = (*until).max(self.begin + fault.ends_at());
            }
            FaultKind::Partial { missing } => {
                self.send_partial_list(*missing);
                self.until(fault.ends_at()).await;
                self.send_partial_list(0.0);
            }
            _ => {
                self.set_receiver_fault(number, &fault, &endpoints, true);
                self.until(fault.ends_at()).await;
                self.set_receiver_fault(number, &fault, &endpoints, false);
            }
        }
    }

    fn set_receiver_fault(&self, number: usize, fault: &Fault, endpoints: &[usize], begins: bool) {
        let now = self.stage.now();
        let until = self.begin + fault.ends_at();
        let mut state = self.stage.lock();
        state
            .receivers
            .set_fault(now, number, &fault.kind, until, endpoints, begins);
        drop(state);
        self.stage.changed.send_modify(|changes| *changes += 1);
    }

    async fn play_kill(&self, fault: &Fault, forwarders: &[u32], folder_kept: bool) {
        for forwarder in forwarders {
            self.kill_process(*forwarder, folder_kept).await;
        }
        self.until(fault.ends_at()).await;
        for forwarder in forwarders {
            self.restart_process(*forwarder).await;
        }
    }

    async fn play_pause(&self, fault: &Fault, forwarders: &[u32]) {
        for forwarder in forwarders {
            self.stage
                .lock()
                .oracle
                .excuse_until(*forwarder, Micros::MAX);
            self.process(*forwarder).lock().await.stop();
        }
        self.until(fault.ends_at()).await;
        for forwarder in forwarders {
            self.process(*forwarder).lock().await.go_on();
            self.excuse_until_ready(*forwarder);
        }
    }

    /// One endpoint after the other drains, each for the same part of the fault's time.
    async fn play_drain(&self, fault: &Fault, endpoints: &[usize]) {
        let each = fault.lasts.0 / endpoints.len().max(1) as u64;
        for (position, endpoint) in endpoints.iter().enumerate() {
            let begins_at = fault.at.0 + each * position as u64;
            self.until(begins_at).await;
            self.endpoint_drains(*endpoint);
            self.until(begins_at + each).await;
            self.endpoint_replaced(*endpoint);
        }
    }

    fn process(&self, forwarder: u32) -> &AsyncMutex<Process> {
        &self.fleet.processes[forwarder as usize]
    }

    fn set_open(&self, forwarder: u32, open: bool) {
        let client = &self.fleet.clients[forwarder as usize];
        client.open.store(open, Ordering::Relaxed);
    }

    fn excuse_until_ready(&self, forwarder: u32) {
        let now = self.stage.now();
        let mut state = self.stage.lock();
        state.oracle.excuse_until(forwarder, now + READY_AFTER);
    }

    async fn kill_process(&self, forwarder: u32, folder_kept: bool) {
        locked(&self.down).insert(forwarder);
        self.set_open(forwarder, false);
        self.stage
            .lock()
            .oracle
            .excuse_until(forwarder, Micros::MAX);
        self.process(forwarder).lock().await.kill(folder_kept).await;
        let now = self.stage.now();
        let mut state = self.stage.lock();
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
        let started = self.process(forwarder).lock().await.start().await;
        match started {
            Ok(()) => {
                self.excuse_until_ready(forwarder);
                self.set_open(forwarder, true);
                locked(&self.down).remove(&forwarder);
            }
            Err(error) => locked(&self.crashes).push(error.to_string()),
        }
    }

    fn endpoint_drains(&self, endpoint: usize) {
        locked(&self.phases)[endpoint] = Phase::Terminating;
        let holder = self.stand_ins[endpoint].holder();
        let phase = Phase::Terminating;
        self.send_changes(vec![ListChange {
            endpoint,
            holder,
            phase,
        }]);
    }

    /// The endpoint is gone, and a new holder of its address is ready.
    fn endpoint_replaced(&self, endpoint: usize) {
        let old = self.stand_ins[endpoint].holder();
        let now = self.stage.now();
        self.stage.lock().receivers.replace(now, endpoint);
        self.stand_ins[endpoint].replaced();
        locked(&self.phases)[endpoint] = Phase::Ready;
        let change = |holder, phase| ListChange {
            endpoint,
            holder,
            phase,
        };
        self.send_changes(vec![
            change(old, Phase::Gone),
            change(old + 1, Phase::Ready),
        ]);
    }

    /// When each agent gets what discovery sends now.
    fn arrival_times(&self) -> Vec<Micros> {
        let max_lag = self.stage.scenario.network.list_lag.0;
        let from = self.stage.now().max(*locked(&self.stale_until));
        let mut lags = locked(&self.lags);
        let agents = self.fleet.agents.iter();
        agents
            .map(|_| from + lags.random_range(0..=max_lag))
            .collect()
    }

    fn send_changes(&self, changes: Vec<ListChange>) {
        for (agent, arrives_at) in self.fleet.agents.iter().zip(self.arrival_times()) {
            let (agent, changes) = (agent.clone(), changes.clone());
            let arrives_at = self.stage.at(arrives_at);
            tokio::spawn(async move {
                tokio::time::sleep_until(arrives_at).await;
                agent.apply_changes(&changes);
            });
        }
    }

    /// Sends the whole list without a part of it that is drawn by chance.
    fn send_partial_list(&self, missing_share: f64) {
        let phases = locked(&self.phases).clone();
        let mut members = BTreeMap::new();
        for (endpoint, phase) in phases.into_iter().enumerate() {
            if !locked(&self.lags).random_bool(missing_share) {
                members.insert((endpoint, self.stand_ins[endpoint].holder()), phase);
            }
        }
        for (agent, arrives_at) in self.fleet.agents.iter().zip(self.arrival_times()) {
            let (agent, members) = (agent.clone(), members.clone());
            let arrives_at = self.stage.at(arrives_at);
            tokio::spawn(async move {
                tokio::time::sleep_until(arrives_at).await;
                agent.replace_list(members);
            });
        }
    }
}
