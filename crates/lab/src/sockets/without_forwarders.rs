//! Parts of the laboratory on sockets that start no forwarder: the world alone, and the load tool alone.

use super::agents::Agent;
use super::clients::ForwarderClient;
use super::endpoints;
use super::run::{percentile_99, SWEEP_INTERVAL};
use super::timeline::{Fleet, Timeline};
use super::{load_thread, SocketsError, Stage, MOST_LATE};
use crate::load::Loads;
use crate::scenario::{FaultKind, Scenario};
use crate::tally::{Clock, Outcome, Tally};
use opalpulley::Micros;
use std::net::SocketAddr;

/// The load begins so long after the stage is set, µs.
const LOAD_BEGINS_AFTER: Micros = 100_000;
/// The load tool waits so long for the last answers, µs.
const LAST_ANSWERS: Micros = 1_000_000;

/// Where the stand-ins of a world listen.
pub struct StandInAddresses {
    /// Discovery, and the platform's address for completion reports.
    pub discovery: SocketAddr,
    /// The endpoints, in their order.
    pub endpoints: Vec<SocketAddr>,
}

/// The world alone, for a person: receivers, and an agent for one forwarder at this port. Plays the scenario's faults once,
/// and goes on until the process ends.
pub async fn stand_ins(
    scenario: &Scenario,
    seed: u64,
    port: u16,
) -> Result<StandInAddresses, SocketsError> {
    let (stage, _) = Stage::new(scenario, seed, true);
    let stand_ins = endpoints::start(&stage)
        .await
        .map_err(SocketsError::Stage)?;
    let agent = Agent::start(&stage, 0, &stand_ins, port)
        .await
        .map_err(SocketsError::Stage)?;
    let addresses = StandInAddresses {
        discovery: agent.address,
        endpoints: stand_ins.iter().map(|stand_in| stand_in.address).collect(),
    };
    let fleet = Fleet {
        agents: vec![agent],
        ..Fleet::default()
    };
    let begin = stage.now();
    let timeline = Timeline::new(stage, stand_ins, fleet, seed, begin);
    for (number, fault) in scenario.faults.iter().enumerate() {
        // There is no forwarder process that these could strike.
        if !matches!(fault.kind, FaultKind::Killed { .. } | FaultKind::Paused) {
            tokio::spawn(timeline.clone().play_fault(number));
        }
    }
    Ok(addresses)
}

/// The load of a scenario alone, at forwarders that run already. What becomes of the messages there is not known.
pub async fn load_only(
    scenario: &Scenario,
    seed: u64,
    forwarders: &[SocketAddr],
    mut progress: impl FnMut(Micros, Micros),
) -> Result<Outcome, SocketsError> {
    let (stage, resubmissions) = Stage::new(scenario, seed, true);
    let begin = stage.now() + LOAD_BEGINS_AFTER;
    let loads = Loads::new(scenario, &stage.layout, seed)?;
    stage.lock().tally.set_start(begin);
    let clients = forwarders.iter().copied().map(ForwarderClient::new);
    let load = load_thread::start(
        stage.clone(),
        clients.collect(),
        loads,
        resubmissions,
        begin,
    )
    .map_err(SocketsError::LoadTool)?;
    let ends = begin + scenario.lasts.0 + LAST_ANSWERS;
    while stage.now() < ends {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        progress(stage.now().saturating_sub(begin), ends - begin);
    }
    drop(load);
    let mut state = stage.lock();
    let now = stage.now();
    let load_late = percentile_99(&state.load_late);
    let tally = std::mem::replace(&mut state.tally, Tally::new(scenario));
    let mut outcome = tally.into_outcome(now, scenario, Clock::Sockets, seed, "load alone");
    outcome.load_late = load_late;
    if load_late > MOST_LATE {
        outcome.void = Some(format!("the load tool was {load_late} us late at p99"));
    }
    Ok(outcome)
}
