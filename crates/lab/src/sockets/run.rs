//! One run on sockets: the stage is set, the forwarders are started, the timeline plays, the tally is closed.

use super::agents::Agent;
use super::clients::ForwarderClient;
use super::endpoints::{self, StandIn};
use super::processes::{Process, ProcessSetup};
use super::timeline::{locked, Fleet, Timeline};
use super::wire::Port;
use super::{load_thread, SocketsError, Stage, MOST_LATE};
use crate::load::Loads;
use crate::scenario::Scenario;
use crate::tally::{Clock, Outcome, Tally};
use hdrhistogram::Histogram;
use opalpulley::Micros;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinHandle;

/// Time between the oracle's looks for what is overdue.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The run goes on so long after the last deadline, µs.
const AFTER_LAST_DEADLINE: Micros = 3_000_000;
/// The first message may be due so long after the forwarders are up, µs.
const LOAD_BEGINS_AFTER: Micros = 200_000;

/// How a run on sockets is done.
pub struct SocketRunOptions {
    /// The forwarder's program.
    pub program: PathBuf,
    /// The folder of the forwarders' logs; none are kept if it is not named.
    pub logs: Option<PathBuf>,
    /// The core that the forwarders are bound to (by `taskset`).
    pub pin: Option<usize>,
}

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

/// Plays a scenario in real time; `progress` is told the time that has passed and the length of the run, µs.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    options: &SocketRunOptions,
    progress: impl FnMut(Micros, Micros),
) -> Result<(Outcome, Usage), SocketsError> {
    let folder = tempfile::tempdir().map_err(SocketsError::Stage)?;
    let (stage, resubmissions) = Stage::new(scenario, seed, false);
    let stand_ins = endpoints::start(&stage)
        .await
        .map_err(SocketsError::Stage)?;
    let mut ports = Vec::new(); // kept until the end, so that a forwarder finds its own again
    let fleet = start_fleet(&stage, &stand_ins, seed, options, folder.path(), &mut ports).await?;
    let begin = stage.now() + LOAD_BEGINS_AFTER;
    let clients = fleet.clients.clone();
    let timeline = Timeline::new(stage.clone(), stand_ins, fleet, seed, begin);
    stage.lock().tally.set_start(begin);
    let loads = Loads::new(scenario, &stage.layout, seed)?;
    let load = load_thread::start(stage.clone(), clients, loads, resubmissions, begin)
        .map_err(SocketsError::Stage)?;
    let faults = (0..scenario.faults.len())
        .map(|number| tokio::spawn(timeline.clone().play_fault(number)))
        .collect();
    let usage = play(&timeline, faults, progress).await;
    drop(load);
    for process in &timeline.fleet.processes {
        process.lock().await.kill(true).await;
    }
    Ok((close(&timeline), usage))
}

/// Starts the forwarders of a run one after the other, each with its agent.
async fn start_fleet(
    stage: &Arc<Stage>,
    stand_ins: &[Arc<StandIn>],
    seed: u64,
    options: &SocketRunOptions,
    folder: &Path,
    ports: &mut Vec<Port>,
) -> Result<Fleet, SocketsError> {
    let mut fleet = Fleet::default();
    for number in 0..stage.scenario.forwarders.count {
        let agent = Agent::start(stage, number, stand_ins, 0)
            .await
            .map_err(SocketsError::Stage)?;
        let port = Port::hold(0).map_err(SocketsError::Stage)?;
        let listen = port.address;
        ports.push(port);
        let mut process = Process::new(ProcessSetup {
            program: options.program.clone(),
            folder: folder.join(format!("forwarder-{number}")),
            number,
            listen,
            discovery: agent.address,
            scenario: stage.scenario.clone(),
            seed,
            log: log_of(options, number),
            pin: options.pin,
        });
        process.start().await?;
        fleet.agents.push(agent);
        fleet.clients.push(ForwarderClient::new(listen));
        fleet.processes.push(Arc::new(AsyncMutex::new(process)));
    }
    Ok(fleet)
}

fn log_of(options: &SocketRunOptions, forwarder: u32) -> Option<PathBuf> {
    let logs = options.logs.as_ref()?;
    Some(logs.join(format!("forwarder-{forwarder}.log")))
}

/// Waits until the run is over; gives what the forwarders used while messages were due.
async fn play(
    timeline: &Timeline,
    faults: Vec<JoinHandle<()>>,
    mut progress: impl FnMut(Micros, Micros),
) -> Usage {
    let scenario = &timeline.stage.scenario;
    let load_ends = timeline.begin + scenario.lasts.0;
    let last = load_ends + scenario.max_time_to_live() + AFTER_LAST_DEADLINE;
    let mut usage = Usage {
        seconds: scenario.lasts.seconds(),
        ..Usage::default()
    };
    let cpu_before = timeline.usage().await.cpu;
    let mut load_has_ended = false;
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        sweep.tick().await;
        let now = timeline.stage.now();
        progress(now.saturating_sub(timeline.begin), last - timeline.begin);
        let open = sweep_oracle(&timeline.stage, now);
        timeline.look_for_crashes().await;
        if !load_has_ended {
            let used = timeline.usage().await;
            usage.memory = usage.memory.max(used.memory);
            if now >= load_ends {
                usage.cpu = used.cpu.saturating_sub(cpu_before);
                load_has_ended = true;
            }
        }
        let is_over = now > load_ends && open == 0 && faults.iter().all(JoinHandle::is_finished);
        if is_over || now > last {
            return usage;
        }
    }
}

/// Lets the oracle look for what is overdue; gives the number of messages that are not over.
fn sweep_oracle(stage: &Stage, now: Micros) -> usize {
    let mut state = stage.lock();
    state.oracle.sweep(now);
    state.messages.len()
}

/// Closes tally and oracle.
fn close(timeline: &Timeline) -> Outcome {
    let stage = &timeline.stage;
    let now = stage.now();
    let mut state = stage.lock();
    let falls = state.receivers.overload_failures.clone();
    state.oracle.judge_overload_failures(&falls);
    state.tally.counts.open = state.messages.len() as u64;
    let load_late = percentile_99(&state.load_late);
    let receivers_late = percentile_99(&state.receivers_late);
    let tally = std::mem::replace(&mut state.tally, Tally::new(&stage.scenario));
    let mut outcome =
        tally.into_outcome(now, &stage.scenario, Clock::Sockets, timeline.seed, "True");
    outcome.broken = state.oracle.violation_counts_by_name();
    outcome.breaks = state.oracle.violations.clone();
    for broken in &mut outcome.breaks {
        broken.at = broken.at.saturating_sub(timeline.begin);
    }
    outcome.falls = falls.len() as u64;
    outcome.load_late = load_late;
    outcome.receivers_late = receivers_late;
    outcome.void = void_reason(&locked(&timeline.crashes), load_late, receivers_late);
    outcome
}

/// Why a run shows nothing, if it does not.
fn void_reason(crashes: &[String], load_late: u64, receivers_late: u64) -> Option<String> {
    if !crashes.is_empty() {
        return Some(crashes.join("; "));
    }
    if load_late > MOST_LATE {
        return Some(format!(
            "the load tool was {load_late} us late at p99, {MOST_LATE} are allowed"
        ));
    }
    if receivers_late > MOST_LATE {
        return Some(format!(
            "the receivers were {receivers_late} us late at p99, {MOST_LATE} are allowed"
        ));
    }
    None
}

/// The 99th percentile; 0 where nothing was recorded.
pub(super) fn percentile_99(values: &Histogram<u64>) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.value_at_quantile(0.99)
}

/// Where a forwarder's program lies if none is named: beside this one.
pub fn program_beside() -> PathBuf {
    let here = std::env::current_exe().unwrap_or_default();
    here.parent()
        .unwrap_or(Path::new("."))
        .join("opalpulley-forwarder")
}
