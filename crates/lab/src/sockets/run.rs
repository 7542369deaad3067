//! Plays one run on sockets: starts the stand-ins and the forwarders, plays the faults and the load, and determines the outcome.

use super::agents::PlatformAgent;
use super::clients::ForwarderClient;
use super::endpoints::{self, StandInEndpoint};
use super::processes::{ForwarderProcess, ProcessSetup};
use super::timeline::{lock, FaultTimeline, Fleet};
use super::wire::ReservedPort;
use super::{load_thread, RunContext, SocketsError, MAX_LATENESS_P99};
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

/// Interval at which the oracle checks for overdue final answers.
pub(super) const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound on the duration of a run after the deadline of the last message, in µs.
const MAX_TIME_AFTER_LAST_DEADLINE: Micros = 3_000_000;
/// Delay between the start of the last forwarder and the start of the load, in µs.
const LOAD_START_DELAY: Micros = 200_000;

/// The options of a run on sockets.
pub struct SocketRunOptions {
    /// Executable of the forwarder.
    pub program: PathBuf,
    /// Folder for the logs of the forwarders; if none, the logs are discarded.
    pub log_folder: Option<PathBuf>,
    /// Core to which the forwarders are bound (by `taskset`).
    pub pinned_core: Option<usize>,
}

/// The resource usage of all forwarders while the load ran.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// CPU time of all forwarders from the start to the end of the load, in µs.
    pub cpu_micros: u64,
    /// Highest resident memory of a single forwarder, in bytes.
    pub peak_memory_bytes: u64,
    /// Duration of the load, in s.
    pub seconds: f64,
}

/// Plays a scenario in real time and returns its outcome. Calls `progress` with the elapsed time and the longest possible
/// duration of the run, in µs. Fails if the run can't be set up or a forwarder can't be started.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    options: &SocketRunOptions,
    progress: impl FnMut(Micros, Micros),
) -> Result<(Outcome, FleetUsage), SocketsError> {
    let folder = tempfile::tempdir().map_err(SocketsError::Setup)?;
    let (context, resubmissions) = RunContext::new(scenario, seed, false);
    let stand_ins = endpoints::start(&context)
        .await
        .map_err(SocketsError::Setup)?;
    let mut ports = Vec::new(); // reserved until the end, so that a restarted forwarder gets the same port
    let fleet = start_fleet(
        &context,
        &stand_ins,
        seed,
        options,
        folder.path(),
        &mut ports,
    )
    .await?;
    let begins_at = context.now() + LOAD_START_DELAY;
    let clients = fleet.clients.clone();
    let timeline = FaultTimeline::new(context.clone(), stand_ins, fleet, seed, begins_at);
    context.lock_state().tally.set_start(begins_at);
    let loads = Loads::new(scenario, &context.layout, seed)?;
    let load_thread = load_thread::start(context.clone(), clients, loads, resubmissions, begins_at)
        .map_err(SocketsError::Setup)?;
    let fault_tasks = (0..scenario.faults.len())
        .map(|fault_index| tokio::spawn(timeline.clone().play_fault(fault_index)))
        .collect();
    let usage = wait_until_over(&timeline, fault_tasks, progress).await;
    drop(load_thread);
    for process in &timeline.fleet.processes {
        process.lock().await.kill(true).await;
    }
    Ok((finish_outcome(&timeline), usage))
}

/// Starts the forwarders of a run one after the other, each with its agent. Adds their reserved ports to `ports`, which the
/// caller must keep until the end of the run.
async fn start_fleet(
    context: &Arc<RunContext>,
    stand_ins: &[Arc<StandInEndpoint>],
    seed: u64,
    options: &SocketRunOptions,
    folder: &Path,
    ports: &mut Vec<ReservedPort>,
) -> Result<Fleet, SocketsError> {
    let mut fleet = Fleet::default();
    for forwarder in 0..context.scenario.forwarders.count {
        let agent = PlatformAgent::start(context, forwarder, stand_ins, 0)
            .await
            .map_err(SocketsError::Setup)?;
        let port = ReservedPort::reserve(0).map_err(SocketsError::Setup)?;
        let listen = port.address;
        ports.push(port);
        let mut process = ForwarderProcess::new(ProcessSetup {
            program: options.program.clone(),
            folder: folder.join(format!("forwarder-{forwarder}")),
            forwarder,
            listen,
            discovery: agent.address,
            scenario: context.scenario.clone(),
            seed,
            log_file: log_path(options, forwarder),
            pinned_core: options.pinned_core,
        });
        process.start().await?;
        fleet.agents.push(agent);
        fleet.clients.push(ForwarderClient::new(listen));
        fleet.processes.push(Arc::new(AsyncMutex::new(process)));
    }
    Ok(fleet)
}

fn log_path(options: &SocketRunOptions, forwarder: u32) -> Option<PathBuf> {
    let log_folder = options.log_folder.as_ref()?;
    Some(log_folder.join(format!("forwarder-{forwarder}.log")))
}

/// Waits until all messages and faults have ended, or the time limit of the run is reached. Returns the resource usage of the
/// forwarders while the load ran.
async fn wait_until_over(
    timeline: &FaultTimeline,
    fault_tasks: Vec<JoinHandle<()>>,
    mut progress: impl FnMut(Micros, Micros),
) -> FleetUsage {
    let scenario = &timeline.context.scenario;
    let load_ends_at = timeline.begins_at + scenario.lasts.0;
    let ends_at = load_ends_at + scenario.max_time_to_live() + MAX_TIME_AFTER_LAST_DEADLINE;
    let mut usage = FleetUsage {
        seconds: scenario.lasts.seconds(),
        ..FleetUsage::default()
    };
    let cpu_before = timeline.usage().await.cpu_micros;
    let mut load_has_ended = false;
    let mut check_timer = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
    loop {
        check_timer.tick().await;
        let now = timeline.context.now();
        progress(
            now.saturating_sub(timeline.begins_at),
            ends_at - timeline.begins_at,
        );
        let unfinished_messages = check_overdue_answers(&timeline.context, now);
        timeline.record_crashes().await;
        if !load_has_ended {
            let used = timeline.usage().await;
            usage.peak_memory_bytes = usage.peak_memory_bytes.max(used.memory_bytes);
            if now >= load_ends_at {
                usage.cpu_micros = used.cpu_micros.saturating_sub(cpu_before);
                load_has_ended = true;
            }
        }
        let is_over = now > load_ends_at
            && unfinished_messages == 0
            && fault_tasks.iter().all(JoinHandle::is_finished);
        if is_over || now > ends_at {
            return usage;
        }
    }
}

/// Lets the oracle check for overdue final answers. Returns the number of unfinished messages.
fn check_overdue_answers(context: &RunContext, now: Micros) -> usize {
    let mut state = context.lock_state();
    state.oracle.check_overdue_answers(now);
    state.messages.len()
}

/// Returns the outcome of a finished run from the tally and the oracle.
fn finish_outcome(timeline: &FaultTimeline) -> Outcome {
    let context = &timeline.context;
    let now = context.now();
    let mut state = context.lock_state();
    let overload_failures = state.receivers.overload_failures.clone();
    state.oracle.judge_overload_failures(&overload_failures);
    state.tally.counts.open = state.messages.len() as u64;
    let load_lateness = percentile_99(&state.load_lateness);
    let receiver_lateness = percentile_99(&state.receiver_lateness);
    let tally = std::mem::replace(&mut state.tally, Tally::new(&context.scenario));
    let mut outcome = tally.into_outcome(
        now,
        &context.scenario,
        Clock::Sockets,
        timeline.seed,
        "True",
    );
    outcome.broken = state.oracle.violation_counts_by_name();
    outcome.breaks = state.oracle.violations.clone();
    for violation in &mut outcome.breaks {
        violation.at = violation.at.saturating_sub(timeline.begins_at);
    }
    outcome.falls = overload_failures.len() as u64;
    outcome.load_late = load_lateness;
    outcome.receivers_late = receiver_lateness;
    outcome.void = invalidity_reason(&lock(&timeline.crashes), load_lateness, receiver_lateness);
    outcome
}

/// Returns the reason why a run is invalid, if it is: a crashed forwarder, or a late load generator or receiver. The
/// latenesses are 99th percentiles in µs.
fn invalidity_reason(
    crashes: &[String],
    load_lateness: u64,
    receiver_lateness: u64,
) -> Option<String> {
    if !crashes.is_empty() {
        return Some(crashes.join("; "));
    }
    if load_lateness > MAX_LATENESS_P99 {
        return Some(format!(
            "the load tool was {load_lateness} us late at p99, {MAX_LATENESS_P99} are allowed"
        ));
    }
    if receiver_lateness > MAX_LATENESS_P99 {
        return Some(format!(
            "the receivers were {receiver_lateness} us late at p99, {MAX_LATENESS_P99} are allowed"
        ));
    }
    None
}

/// Returns the 99th percentile of the recorded values; 0 if there are none.
pub(super) fn percentile_99(values: &Histogram<u64>) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.value_at_quantile(0.99)
}

/// Returns the default path of the forwarder's executable, which is in the directory of the running program.
pub fn default_forwarder_program() -> PathBuf {
    let own_program = std::env::current_exe().unwrap_or_default();
    own_program
        .parent()
        .unwrap_or(Path::new("."))
        .join("opalpulley-forwarder")
}
