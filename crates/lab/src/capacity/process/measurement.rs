//! Measures one forwarder process with one endpoint list: from its start through a rest, a load and a second rest.

use super::forwarder_process::{ForwarderProcess, UsagePeriod, READY_TIMEOUT};
use super::load::{submission_request, submit_all, MessageLoad};
use super::mock_servers::{start_discovery, start_targets, unused_address, EndpointList};
use super::startup_config::startup_config;
use super::{ListSource, Options};
use crate::capacity::error::CapacityError;
use crate::capacity::usage::Usage;
use crate::random::seeded_rng;
use rand::Rng;
use serde_json::Value;
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Upper bound on the time from the start until the forwarder accepts a message for the last listed destination.
const LISTED_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait after the load, in which the calls in flight end.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time to live of each message.
const TIME_TO_LIVE: Duration = Duration::from_secs(20);

/// The figures of one forwarder process; a time is NaN if its event did not occur.
#[derive(Clone, Debug)]
pub struct ProcessMeasurement {
    /// Number of targets in the endpoint list.
    pub listed_targets: u32,
    /// Number of distinct targets that the messages of the load are for.
    pub distinct_targets: u32,
    /// Time from the start until the forwarder is ready, in s.
    pub ready_s: f64,
    /// Time from the start until the forwarder accepts a message for the last listed destination, in s; NaN if that
    /// took longer than [`LISTED_TIMEOUT`].
    pub last_destination_accepted_s: f64,
    /// Usage when the forwarder is ready.
    pub usage_at_ready: Usage,
    /// Usage at the end of the first rest.
    pub usage_after_first_rest: Usage,
    /// Processor usage in the rest before the load.
    pub first_rest: UsagePeriod,
    /// Processor usage while the messages are submitted.
    pub under_load: UsagePeriod,
    /// Usage after the load, when [`SETTLE_TIME`] has elapsed.
    pub usage_after_load: Usage,
    /// Processor usage in the rest after the load.
    pub second_rest: UsagePeriod,
    /// Usage at the end of the second rest.
    pub usage_after_second_rest: Usage,
    /// Highest number of open descriptors sampled under load.
    pub max_descriptors: usize,
    /// Number of messages submitted under load.
    pub submitted: u64,
    /// Number of messages that the forwarder answered with status 202 under load.
    pub accepted: u64,
    /// Number of calls that the targets responded to from the start of the load to the end of the second rest.
    pub calls_answered: u64,
}

/// Draws the target of each message of the load. The `in_use` targets are evenly spaced over the list.
fn message_targets(options: &Options, listed: u32, in_use: u32) -> Arc<[u32]> {
    let mut rng = seeded_rng(options.seed, "capacity process", u64::from(in_use));
    let (in_use, messages) = (in_use.clamp(1, listed), options.rate * options.seconds);
    let target = |index: u32| (u64::from(index) * u64::from(listed) / u64::from(in_use)) as u32;
    (0..messages)
        .map(|_| target(rng.random_range(0..in_use)))
        .collect()
}

/// Returns a port that is free at the first address of the list; the other addresses are assumed to be unused.
async fn free_port() -> io::Result<u16> {
    let free = TcpListener::bind((Ipv4Addr::new(127, 1, 0, 0), 0)).await?;
    Ok(free.local_addr()?.port())
}

/// Returns the start-up configuration, which either contains the list or names a discovery server that is started here
/// to return it.
async fn startup_config_with_list(
    options: &Options,
    list: EndpointList,
    listen: SocketAddr,
    source: ListSource,
) -> io::Result<Value> {
    let startup = options.startup_options();
    let list = list.to_json();
    Ok(match source {
        ListSource::Known => startup_config(&startup, listen, unused_address().await?, Some(list)),
        ListSource::Discovery => {
            let (address, _) = start_discovery(list.to_string()).await?;
            startup_config(&startup, listen, address, None)
        }
    })
}

/// The mock servers around one forwarder, its configuration and the messages of its load.
struct Environment {
    /// Address for the forwarder to listen at.
    listen: SocketAddr,
    /// Start-up configuration of the forwarder.
    config: Value,
    /// Destination of each message of the load, in the order of submission.
    destinations: Arc<[u32]>,
    /// Number of distinct destinations in `destinations`.
    distinct_targets: u32,
    /// Number of calls that the targets have responded to so far.
    calls_answered: Arc<AtomicU64>,
}

impl Environment {
    /// Starts the mock servers: the targets of the load and the last listed target, and discovery if it is the list
    /// source.
    async fn start(
        options: &Options,
        listed: u32,
        in_use: u32,
        source: ListSource,
    ) -> io::Result<Environment> {
        let listen = unused_address().await?;
        let port = free_port().await?;
        let list = EndpointList {
            target_count: listed,
            port,
        };
        let destinations = message_targets(options, listed, in_use);
        let mut called_targets: BTreeSet<u32> = destinations.iter().copied().collect();
        let distinct_targets = called_targets.len() as u32;
        called_targets.insert(listed - 1);
        Ok(Environment {
            listen,
            calls_answered: start_targets(list, &called_targets)?,
            config: startup_config_with_list(options, list, listen, source).await?,
            destinations,
            distinct_targets,
        })
    }
}

/// The figures of the load.
struct LoadMeasurement {
    period: UsagePeriod,
    /// Usage when [`SETTLE_TIME`] has elapsed after the last message.
    usage_after: Usage,
    /// Highest number of open descriptors sampled, including [`SETTLE_TIME`].
    max_descriptors: usize,
    /// Number of accepted messages.
    accepted: u64,
}

/// Submits the messages and measures the forwarder until the calls in flight have ended.
async fn measure_load(
    forwarder: &ForwarderProcess,
    messages: MessageLoad,
    listen: SocketAddr,
) -> Result<LoadMeasurement, CapacityError> {
    let accepted = Arc::new(AtomicU64::new(0));
    let descriptor_sampler = forwarder.sample_descriptors();
    let load = submit_all(messages, listen, accepted.clone());
    let period = forwarder.usage_during(load).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    Ok(LoadMeasurement {
        period,
        max_descriptors: descriptor_sampler.stop(),
        usage_after: forwarder.usage()?,
        accepted: accepted.load(Ordering::Relaxed),
    })
}

/// Measures a forwarder with `listed` targets, of which up to `in_use` get messages. `listed` must be at least 1. Fails
/// if the forwarder can't be started or is not ready within [`READY_TIMEOUT`].
pub async fn measure(
    options: &Options,
    listed: u32,
    in_use: u32,
    source: ListSource,
) -> Result<ProcessMeasurement, CapacityError> {
    let folder = tempfile::tempdir()?;
    let environment = Environment::start(options, listed, in_use, source).await?;
    let listen = environment.listen;
    let started = Instant::now();
    let program = options.program();
    let mut forwarder =
        ForwarderProcess::start(&program, folder.path(), listen, &environment.config)?;
    let ready_s = forwarder.wait_until_ready(started, READY_TIMEOUT).await;
    let ready_s = ready_s.map_err(|error| CapacityError::AtListLength {
        listed_targets: listed,
        source: Box::new(error),
    })?;
    let usage_at_ready = forwarder.usage()?;
    let request_to_last =
        |attempt| submission_request(&format!("first-{attempt}"), listed - 1, TIME_TO_LIVE);
    let last_destination_accepted_s = forwarder
        .wait_for_status(started, LISTED_TIMEOUT, 202, request_to_last)
        .await;
    let first_rest = forwarder.usage_at_rest(options.rest).await?;
    let usage_after_first_rest = forwarder.usage()?;
    let calls_before = environment.calls_answered.load(Ordering::Relaxed);
    let submitted = environment.destinations.len() as u64;
    let messages = MessageLoad {
        destinations: environment.destinations,
        rate: options.rate,
        time_to_live: TIME_TO_LIVE,
    };
    let load = measure_load(&forwarder, messages, listen).await?;
    let second_rest = forwarder.usage_at_rest(options.rest).await?;
    let usage_after_second_rest = forwarder.usage()?;
    forwarder.child.kill().await?;
    Ok(ProcessMeasurement {
        listed_targets: listed,
        distinct_targets: environment.distinct_targets,
        ready_s,
        last_destination_accepted_s,
        usage_at_ready,
        usage_after_first_rest,
        first_rest,
        under_load: load.period,
        usage_after_load: load.usage_after,
        second_rest,
        usage_after_second_rest,
        max_descriptors: load.max_descriptors,
        submitted,
        accepted: load.accepted,
        calls_answered: environment.calls_answered.load(Ordering::Relaxed) - calls_before,
    })
}
