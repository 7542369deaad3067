//! Parts of the laboratory on sockets that start no forwarder: the world alone, and the load tool alone.

use super::agents::PlatformAgent;
use super::clients::ForwarderClient;
use super::endpoints;
use super::run::{percentile_99, SWEEP_INTERVAL};
use super::timeline::{FaultTimeline, Fleet};
use super::{load_thread, RunContext, SocketsError, MAX_LATENESS_P99};
use crate::load::Loads;
use crate::scenario::{FaultKind, Scenario};
use crate::tally::{Clock, Outcome, Tally};
use opalpulley::Micros;
use std::net::SocketAddr;

/// The load begins so long after the context is set, µs.
const LOAD_START_DELAY: Micros = 100_000;
/// The load tool waits so long for the last answers, µs.
const LAST_ANSWERS_WAIT: Micros = 1_000_000;

/// Where the stand-ins of a world listen.
pub struct StandInAddresses {
    /// Discovery, and the platform's address for completion reports.
    pub discovery: SocketAddr,
    /// The endpoints, in their order.
    pub endpoints: Vec<SocketAddr>,
}

/// The world alone, for a person: receivers, and an agent for one forwarder at this port. Plays the scenario's faults once,
/// and goes on until the process ends.
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
        // There is no forwarder process that these could strike.
        if !matches!(fault.kind, FaultKind::Killed { .. } | FaultKind::Paused) {
            tokio::spawn(timeline.clone().play_fault(fault_index));
        }
    }
    Ok(addresses)
}

/// The load of a scenario alone, at forwarders that run already. What becomes of the messages there is not known.
pub async fn run_load_only(
    scenario: &Scenario,
    seed: u64,
    forwarders: &[SocketAddr],
    mut progress: impl FnMut(Micros, Micros),
) -> Result<Outcome, SocketsError> {
    let (context, resubmissions) = RunContext::new(scenario, seed, true);
    let begins_at = context.now() + LOAD_START_DELAY;
    let loads = Loads::new(scenario, &context.layout, seed)?;
    context.lock_state().tally.begins(begins_at);
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
        tokio::time::sleep(SWEEP_INTERVAL).await;
        progress(context.now().saturating_sub(begins_at), ends_at - begins_at);
    }
    drop(load_thread);
    let mut state = context.lock_state();
    let now = context.now();
    let load_lateness = percentile_99(&state.load_lateness);
    let tally = std::mem::replace(&mut state.tally, Tally::new(scenario));
    let mut outcome = tally.close(now, scenario, Clock::Sockets, seed, "load alone");
    outcome.load_late = load_lateness;
    if load_lateness > MAX_LATENESS_P99 {
        outcome.void = Some(format!("the load tool was {load_lateness} us late at p99"));
    }
    Ok(outcome)
}
