//! Runs the stand-ins alone, or the load generator alone, without starting a forwarder.

use super::agents::PlatformAgent;
use super::clients::ForwarderClient;
use super::endpoints;
use super::run::{percentile_99, OVERDUE_CHECK_INTERVAL};
use super::timeline::{FaultTimeline, Fleet};
use super::{load_thread, RunContext, SocketsError, MAX_LATENESS_P99};
use crate::load::Loads;
use crate::scenario::{FaultKind, Scenario};
use crate::tally::{Clock, Outcome, Tally};
use opalpulley::Micros;
use std::net::SocketAddr;

/// Delay between the creation of the context and the start of the load, in µs.
const LOAD_START_DELAY: Micros = 100_000;
/// Time after the end of the load for which the load generator waits for answers, in µs.
const LAST_ANSWERS_WAIT: Micros = 1_000_000;

/// The addresses at which the stand-ins listen.
pub struct StandInAddresses {
    /// Address of discovery, which also receives completion reports.
    pub discovery: SocketAddr,
    /// Addresses of the endpoints, in the order of the layout.
    pub endpoints: Vec<SocketAddr>,
}

/// Starts the receivers and a platform agent for one forwarder, for interactive use. The agent listens on `port`. Plays the
/// faults of the scenario once; the stand-ins run until the process exits. Fails if a port can't be reserved.
pub async fn start_stand_ins(
    scenario: &Scenario,
    seed: u64,
    port: u16,
) -> Result<StandInAddresses, SocketsError> {
    let (context, _) = RunContext::new(scenario, seed, true);
    let stand_ins = endpoints::start(&context)
        .await
        .map_err(SocketsError::Setup)?;
    let agent = PlatformAgent::start(&context, 0, &stand_ins, port)
        .await
        .map_err(SocketsError::Setup)?;
    let addresses = StandInAddresses {
        discovery: agent.address,
        endpoints: stand_ins.iter().map(|stand_in| stand_in.address).collect(),
    };
    let fleet = Fleet {
        agents: vec![agent],
        ..Fleet::default()
    };
    let begins_at = context.now();
    let timeline = FaultTimeline::new(context, stand_ins, fleet, seed, begins_at);
    for (fault_index, fault) in scenario.faults.iter().enumerate() {
        // Kills and pauses need a forwarder process, and there is none.
        if !matches!(fault.kind, FaultKind::Killed { .. } | FaultKind::Paused) {
            tokio::spawn(timeline.clone().play_fault(fault_index));
        }
    }
    Ok(addresses)
}

/// Submits the load of a scenario to forwarders that run already, and returns the outcome of the submissions. The final
/// answers are not observed. Calls `progress` with the elapsed time and the duration of the run, in µs.
pub async fn run_load_only(
    scenario: &Scenario,
    seed: u64,
    forwarders: &[SocketAddr],
    mut progress: impl FnMut(Micros, Micros),
) -> Result<Outcome, SocketsError> {
    let (context, resubmissions) = RunContext::new(scenario, seed, true);
    let begins_at = context.now() + LOAD_START_DELAY;
    let loads = Loads::new(scenario, &context.layout, seed)?;
    context.lock_state().tally.set_start(begins_at);
    let clients = forwarders.iter().copied().map(ForwarderClient::new);
    let load_thread = load_thread::start(
        context.clone(),
        clients.collect(),
        loads,
        resubmissions,
        begins_at,
    )
    .map_err(SocketsError::LoadGenerator)?;
    let ends_at = begins_at + scenario.lasts.0 + LAST_ANSWERS_WAIT;
    while context.now() < ends_at {
        tokio::time::sleep(OVERDUE_CHECK_INTERVAL).await;
        progress(context.now().saturating_sub(begins_at), ends_at - begins_at);
    }
    drop(load_thread);
    let mut state = context.lock_state();
    let now = context.now();
    let load_lateness = percentile_99(&state.load_lateness);
    let tally = std::mem::replace(&mut state.tally, Tally::new(scenario));
    let mut outcome = tally.into_outcome(now, scenario, Clock::Sockets, seed, "load alone");
    outcome.load_late = load_lateness;
    if load_lateness > MAX_LATENESS_P99 {
        outcome.void = Some(format!("the load tool was {load_lateness} us late at p99"));
    }
    Ok(outcome)
}
