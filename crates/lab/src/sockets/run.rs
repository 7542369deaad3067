//! One run on sockets: the stage is set, the forwarders are started, the timeline plays, the books are closed.

use super::agents::{Agent, ListChange, Phase};
use super::clients::{self, ForwarderClient};
use super::endpoints::{self, StandIn};
use super::processes::Process;
use super::wire::Port;
use super::{SocketsError, Stage, MOST_LATE};
use crate::chance::stream;
use crate::load::Loads;
use crate::oracle::Rule;
use crate::scenario::{FaultKind, Scenario};
use crate::tally::{Clock, Outcome};
use crate::world::Layout;
use opalpulley::Micros;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;

const SWEEP: Duration = Duration::from_millis(100);
const LAST: Micros = 3_000_000; // after the last deadline
const READY: Micros = 1_500_000; // after a restart: from then on what is owed may be overdue

/// How a run on sockets is done.
pub struct SocketRunOptions {
    /// The forwarder's program.
    pub program: PathBuf,
    /// Where its log goes; nowhere if not told.
    pub logs: Option<PathBuf>,
    /// The core that the forwarders are bound to (by `taskset`).
    pub pin: Option<usize>,
}

// Old name, until the forwarder's tests follow.
pub use SocketRunOptions as Means;

/// What the forwarders used, over the time in which messages were due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU µs of all forwarders, from the first message due to the last.
    pub cpu: u64,
    /// Resident bytes of the largest, at most.
    pub memory: u64,
    /// For how long messages were due, s.
    pub seconds: f64,
}

struct Timeline {
    stage: Arc<Stage>,
    stand_ins: Vec<Arc<StandIn>>,
    agents: Vec<Arc<Agent>>,
    clients: Vec<Arc<ForwarderClient>>,
    processes: Vec<Arc<AsyncMutex<Process>>>,
    lags: Mutex<Pcg64Mcg>,
    status: Mutex<Vec<Phase>>,
    stale_until: Mutex<Micros>,
    seed: u64,
    begin: Micros,
    crashes: Mutex<Vec<String>>,
    /// Forwarders that are killed now: one that has ended else has crashed.
    down: Mutex<BTreeSet<u32>>,
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a scenario in real time. `watch` hears how far it is, of how much, µs.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    means: &SocketRunOptions,
    mut watch: impl FnMut(Micros, Micros),
) -> Result<(Outcome, Usage), SocketsError> {
    let folder = tempfile::tempdir().map_err(SocketsError::Stage)?;
    let (stage, resubmissions) = Stage::new(scenario, seed, false);
    let stand_ins = endpoints::start(&stage)
        .await
        .map_err(SocketsError::Stage)?;
    let (mut agents, mut clients, mut processes) = (Vec::new(), Vec::new(), Vec::new());
    let mut ports = Vec::new(); // of the forwarders, kept while they are down

    for number in 0..scenario.forwarders.count {
        let agent = Agent::start(&stage, number, &stand_ins, 0)
            .await
            .map_err(SocketsError::Stage)?;
        let port = Port::hold(0).map_err(SocketsError::Stage)?;
        let listen = port.address;
        ports.push(port);
        let logs = means.logs.as_deref();
        let mut process = Process::new(
            &means.program,
            folder.path(),
            number,
            listen,
            agent.address,
            scenario,
            seed,
            logs,
            means.pin,
        );
        process.start().await?;
        agents.push(agent);
        clients.push(ForwarderClient::new(listen));
        processes.push(Arc::new(AsyncMutex::new(process)));
    }
    let begin = stage.now() + 200_000;
    let timeline = Arc::new(Timeline {
        status: Mutex::new(vec![Phase::Ready; stand_ins.len()]),
        stage: stage.clone(),
        stand_ins,
        agents,
        clients: clients.clone(),
        processes,
        lags: Mutex::new(stream(seed, "lags", 0)),
        stale_until: Mutex::new(0),
        seed,
        begin,
        crashes: Mutex::default(),
        down: Mutex::default(),
    });
    stage.lock().tally.begins(begin);
    let loads = Loads::new(scenario, &stage.layout, seed)?;
    let load = clients::start(stage.clone(), clients, loads, resubmissions, begin)
        .map_err(SocketsError::Stage)?;
    let faults: Vec<_> = (0..scenario.faults.len())
        .map(|n| tokio::spawn(timeline.clone().fault(n)))
        .collect();

    let (load_ends, last) = (
        begin + scenario.lasts.0,
        begin + scenario.lasts.0 + scenario.longest_time_to_live() + LAST,
    );
    let mut usage = Usage {
        seconds: scenario.lasts.seconds(),
        ..Usage::default()
    };
    let cpu_before = timeline.used().await.0;
    let mut measured = false;
    let mut sweep = tokio::time::interval(SWEEP);
    loop {
        sweep.tick().await;
        let now = stage.now();
        watch(now.saturating_sub(begin), last - begin);
        let open = {
            let mut state = stage.lock();
            state.oracle.sweep(now);
            state.messages.len()
        };
        timeline.look_for_crashes().await;
        if !measured {
            let (cpu, memory) = timeline.used().await;
            usage.memory = usage.memory.max(memory);
            if now >= load_ends {
                (usage.cpu, measured) = (cpu.saturating_sub(cpu_before), true);
            }
        }
        let is_over =
            now > load_ends && open == 0 && faults.iter().all(tokio::task::JoinHandle::is_finished);
        if is_over || now > last {
            break;
        }
    }
    drop(load);
    for process in &timeline.processes {
        process.lock().await.kill(true).await;
    }
    Ok((timeline.close(scenario), usage))
}

impl Timeline {
    /// CPU of all forwarders and the memory of the largest.
    async fn used(&self) -> (u64, u64) {
        let (mut cpu, mut memory) = (0, 0);
        for process in &self.processes {
            if let Ok(process) = process.try_lock() {
                if let Some((c, m)) = process.used() {
                    (cpu, memory) = (cpu + c, memory.max(m));
                }
            }
        }
        (cpu, memory)
    }

    async fn look_for_crashes(&self) {
        for (number, process) in self.processes.iter().enumerate() {
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

    fn close(&self, scenario: &Scenario) -> Outcome {
        let now = self.stage.now();
        let mut state = self.stage.lock();
        for fall in state.receivers.falls.clone() {
            if fall.blamed {
                let (endpoint, calls, budget) = (fall.endpoint, fall.calls, fall.budget);
                let what = format!(
                    "target {endpoint} fell over: {calls} calls in the window, {budget:.1} allowed"
                );
                state.oracle.broken(Rule::PushedOver, fall.at, what);
            }
        }
        state.tally.counts.open = state.messages.len() as u64;
        let late = |h: &hdrhistogram::Histogram<u64>| {
            if h.is_empty() {
                0
            } else {
                h.value_at_quantile(0.99)
            }
        };
        let (load_late, receivers_late) = (late(&state.load_late), late(&state.receivers_late));
        let tally = std::mem::replace(&mut state.tally, crate::tally::Tally::new(scenario));
        let mut outcome = tally.close(now, scenario, Clock::Sockets, self.seed, "True");
        outcome.broken = state
            .oracle
            .counts
            .iter()
            .map(|(r, n)| (r.to_string(), *n))
            .collect();
        outcome.breaks = state.oracle.breaks.clone();
        outcome
            .breaks
            .iter_mut()
            .for_each(|b| b.at = b.at.saturating_sub(self.begin));
        outcome.falls = state.receivers.falls.len() as u64;
        (outcome.load_late, outcome.receivers_late) = (load_late, receivers_late);
        let crashes = locked(&self.crashes);
        outcome.void = match () {
            () if !crashes.is_empty() => Some(crashes.join("; ")),
            () if load_late > MOST_LATE => Some(format!(
                "the load tool was {load_late} us late at p99, {MOST_LATE} are allowed"
            )),
            () if receivers_late > MOST_LATE => Some(format!(
                "the receivers were {receivers_late} us late at p99, {MOST_LATE} are allowed"
            )),
            () => None,
        };
        outcome
    }

    async fn until(&self, at: Micros) {
        tokio::time::sleep_until(self.stage.at(self.begin + at)).await;
    }

    /// One fault from its beginning to its end.
    async fn fault(self: Arc<Timeline>, number: usize) {
        let stage = &self.stage;
        let fault = stage.scenario.faults[number].clone();
        let ends = fault.at.0 + fault.lasts.0;
        let endpoints =
            stage
                .layout
                .endpoints_struck(&stage.scenario, &fault.scope, self.seed, number);
        let forwarders =
            Layout::forwarders_struck(&stage.scenario, &fault.scope, self.seed, number);
        self.until(fault.at.0).await;
        match &fault.kind {
            FaultKind::Killed {
                folder_kept: folder,
            } => {
                for forwarder in &forwarders {
                    self.kill(*forwarder, *folder).await;
                }
                self.until(ends).await;
                for forwarder in &forwarders {
                    self.back(*forwarder).await;
                }
            }
            FaultKind::Paused => {
                for forwarder in &forwarders {
                    stage.lock().oracle.excuse(*forwarder, Micros::MAX);
                    self.processes[*forwarder as usize].lock().await.stop();
                }
                self.until(ends).await;
                for forwarder in &forwarders {
                    self.processes[*forwarder as usize].lock().await.go_on();
                    let now = stage.now();
                    stage.lock().oracle.excuse(*forwarder, now + READY);
                }
            }
            FaultKind::Drain => {
                let each = fault.lasts.0 / endpoints.len().max(1) as u64;
                for (place, endpoint) in endpoints.into_iter().enumerate() {
                    self.until(fault.at.0 + each * place as u64).await;
                    self.endpoint_drains(endpoint);
                    self.until(fault.at.0 + each * (place as u64 + 1)).await;
                    self.replaced(endpoint);
                }
            }
            FaultKind::Stale => {
                let mut until = locked(&self.stale_until);
                *until = (*until).max(self.begin + ends);
            }
            FaultKind::Partial { missing } => {
                self.partial(*missing);
                self.until(ends).await;
                self.partial(0.0);
            }
            what => {
                let set_fault = |on| {
                    let now = stage.now();
                    stage.lock().receivers.set_fault(
                        now,
                        number,
                        what,
                        self.begin + ends,
                        &endpoints,
                        on,
                    );
                    stage.changed.send_modify(|n| *n += 1);
                };
                set_fault(true);
                self.until(ends).await;
                set_fault(false);
            }
        }
    }

    async fn kill(&self, forwarder: u32, folder: bool) {
        locked(&self.down).insert(forwarder);
        self.clients[forwarder as usize]
            .open
            .store(false, Ordering::Relaxed);
        self.stage.lock().oracle.excuse(forwarder, Micros::MAX);
        self.processes[forwarder as usize]
            .lock()
            .await
            .kill(folder)
            .await;
        let now = self.stage.now();
        let mut state = self.stage.lock();
        state.oracle.process_ended(forwarder);
        if !folder {
            let lost = state.oracle.lost_with_folder(forwarder, now);
            for message in lost {
                if state.messages.remove(&message).is_some() {
                    state.tally.counts.gone += 1;
                }
            }
        }
    }

    async fn back(&self, forwarder: u32) {
        let started = self.processes[forwarder as usize]
            .lock()
            .await
            .start()
            .await;
        match started {
            Ok(()) => {
                let now = self.stage.now();
                self.stage.lock().oracle.excuse(forwarder, now + READY);
                self.clients[forwarder as usize]
                    .open
                    .store(true, Ordering::Relaxed);
                locked(&self.down).remove(&forwarder);
            }
            Err(error) => locked(&self.crashes).push(error.to_string()),
        }
    }

    fn endpoint_drains(&self, endpoint: usize) {
        locked(&self.status)[endpoint] = Phase::Terminating;
        self.send_list_update(vec![(
            endpoint,
            self.stand_ins[endpoint].holder(),
            Phase::Terminating,
        )]);
    }

    fn replaced(&self, endpoint: usize) {
        let old = self.stand_ins[endpoint].holder();
        let now = self.stage.now();
        self.stage.lock().receivers.replace(now, endpoint);
        self.stand_ins[endpoint].replaced();
        locked(&self.status)[endpoint] = Phase::Ready;
        self.send_list_update(vec![
            (endpoint, old, Phase::Gone),
            (endpoint, old + 1, Phase::Ready),
        ]);
    }

    /// When each agent hears what discovery tells now.
    fn hearing(&self) -> Vec<Micros> {
        let most = self.stage.scenario.network.list_lag.0;
        let from = self.stage.now().max(*locked(&self.stale_until));
        let mut lags = locked(&self.lags);
        self.agents
            .iter()
            .map(|_| from + lags.random_range(0..=most))
            .collect()
    }

    fn send_list_update(&self, entries: Vec<ListChange>) {
        for (agent, at) in self.agents.iter().zip(self.hearing()) {
            let (agent, entries, at) = (agent.clone(), entries.clone(), self.stage.at(at));
            tokio::spawn(async move {
                tokio::time::sleep_until(at).await;
                agent.apply_changes(&entries);
            });
        }
    }

    fn partial(&self, missing: f64) {
        let status = locked(&self.status).clone();
        let mut members = BTreeMap::new();
        for (endpoint, phase) in status.into_iter().enumerate() {
            if !locked(&self.lags).random_bool(missing) {
                members.insert((endpoint, self.stand_ins[endpoint].holder()), phase);
            }
        }
        for (agent, at) in self.agents.iter().zip(self.hearing()) {
            let (agent, members, at) = (agent.clone(), members.clone(), self.stage.at(at));
            tokio::spawn(async move {
                tokio::time::sleep_until(at).await;
                agent.replace_list(members);
            });
        }
    }
}

/// The world alone, for a person: receivers, and an agent for one forwarder at this port. Plays the scenario's faults once,
/// and goes on until the process ends. Gives the addresses.
pub async fn stand_ins(
    scenario: &Scenario,
    seed: u64,
    port: u16,
) -> Result<(SocketAddr, Vec<SocketAddr>), SocketsError> {
    let (stage, _) = Stage::new(scenario, seed, true);
    let stand_ins = endpoints::start(&stage)
        .await
        .map_err(SocketsError::Stage)?;
    let agent = Agent::start(&stage, 0, &stand_ins, port)
        .await
        .map_err(SocketsError::Stage)?;
    let addresses = stand_ins.iter().map(|s| s.address).collect();
    let discovery = agent.address;
    let timeline = Arc::new(Timeline {
        status: Mutex::new(vec![Phase::Ready; stand_ins.len()]),
        begin: stage.now(),
        stage,
        stand_ins,
        agents: vec![agent],
        clients: Vec::new(),
        processes: Vec::new(),
        lags: Mutex::new(stream(seed, "lags", 0)),
        stale_until: Mutex::new(0),
        seed,
        crashes: Mutex::default(),
        down: Mutex::default(),
    });
    for (number, fault) in scenario.faults.iter().enumerate() {
        // Nobody's process is struck here.
        if !matches!(fault.kind, FaultKind::Killed { .. } | FaultKind::Paused) {
            tokio::spawn(timeline.clone().fault(number));
        }
    }
    Ok((discovery, addresses))
}

/// The load of a scenario alone, at forwarders that run already. Nothing is known of what becomes of the messages there.
pub async fn load_only(
    scenario: &Scenario,
    seed: u64,
    at: &[SocketAddr],
    mut watch: impl FnMut(Micros, Micros),
) -> Result<Outcome, SocketsError> {
    let (stage, resubmissions) = Stage::new(scenario, seed, true);
    let begin = stage.now() + 100_000;
    let loads = Loads::new(scenario, &stage.layout, seed)?;
    stage.lock().tally.begins(begin);
    let clients = at.iter().map(|a| ForwarderClient::new(*a)).collect();
    let load = clients::start(stage.clone(), clients, loads, resubmissions, begin)
        .map_err(SocketsError::LoadTool)?;
    let ends = begin + scenario.lasts.0 + 1_000_000;
    while stage.now() < ends {
        tokio::time::sleep(SWEEP).await;
        watch(stage.now().saturating_sub(begin), ends - begin);
    }
    drop(load);
    let mut state = stage.lock();
    let now = stage.now();
    let late = if state.load_late.is_empty() {
        0
    } else {
        state.load_late.value_at_quantile(0.99)
    };
    let tally = std::mem::replace(&mut state.tally, crate::tally::Tally::new(scenario));
    let mut outcome = tally.close(now, scenario, Clock::Sockets, seed, "load alone");
    outcome.load_late = late;
    outcome.void = (late > MOST_LATE).then(|| format!("the load tool was {late} us late at p99"));
    Ok(outcome)
}

/// Where a forwarder's program lies if nobody says: beside this one.
pub fn program_beside() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.parent()
        .unwrap_or(Path::new("."))
        .join("opalpulley-forwarder")
}
