//! One forwarder process with one list: started, left at rest, put under load, left at rest again.

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

/// A forwarder knows the whole list within this time.
const LISTED_TIMEOUT: Duration = Duration::from_secs(20);
/// After the load, for calls under way.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The time to live of a message.
const TIME_TO_LIVE: Duration = Duration::from_secs(20);

/// What was measured; a figure that was never reached is not a number.
#[derive(Clone, Debug)]
pub struct ProcessMeasurement {
    /// Targets of the list.
    pub listed_targets: u32,
    /// Distinct targets that were called.
    pub distinct_targets: u32,
    /// From the start until it is up, and until it takes a message for the last listed destination, s.
    pub ready_s: f64,
    pub last_destination_accepted_s: f64,
    /// As it is up.
    pub usage_at_ready: Usage,
    /// After the first rest.
    pub usage_after_first_rest: Usage,
    /// The first rest.
    pub first_rest: UsagePeriod,
    /// Under load.
    pub under_load: UsagePeriod,
    /// After the load.
    pub usage_after_load: Usage,
    /// The second rest.
    pub second_rest: UsagePeriod,
    /// After the second rest.
    pub usage_after_second_rest: Usage,
    /// The most descriptors under load.
    pub max_descriptors: usize,
    /// Messages that were submitted.
    pub submitted: u64,
    /// Messages that were accepted.
    pub accepted: u64,
    /// Calls that were answered under load.
    pub calls_answered: u64,
}

/// Which targets get messages, in the order of the messages.
fn message_targets(options: &Options, listed: u32, in_use: u32) -> Arc<[u32]> {
    let mut rng = seeded_rng(options.seed, "capacity process", u64::from(in_use));
    let (in_use, messages) = (in_use.clamp(1, listed), options.rate * options.seconds);
    let target = |index: u32| (u64::from(index) * u64::from(listed) / u64::from(in_use)) as u32;
    (0..messages)
        .map(|_| target(rng.random_range(0..in_use)))
        .collect()
}

/// A port that is free at the first address of the list.
async fn free_port() -> io::Result<u16> {
    let free = TcpListener::bind((Ipv4Addr::new(127, 1, 0, 0), 0)).await?;
    Ok(free.local_addr()?.port())
}

/// The start-up configuration: it holds the list, or names a discovery that tells it.
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

/// What stands round the forwarder, and what it is to get.
struct Environment {
    listen: SocketAddr,
    config: Value,
    destinations: Arc<[u32]>,
    /// Distinct targets of the messages.
    distinct_targets: u32,
    /// Calls that the targets answered.
    calls_answered: Arc<AtomicU64>,
}

impl Environment {
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

/// What was measured under load.
struct LoadMeasurement {
    period: UsagePeriod,
    usage_after: Usage,
    max_descriptors: usize,
    accepted: u64,
}

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

/// Measures a forwarder with so many listed targets, of which so many get messages.
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
    let loaded = measure_load(&forwarder, messages, listen).await?;
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
        under_load: loaded.period,
        usage_after_load: loaded.usage_after,
        second_rest,
        usage_after_second_rest,
        max_descriptors: loaded.max_descriptors,
        submitted,
        accepted: loaded.accepted,
        calls_answered: environment.calls_answered.load(Ordering::Relaxed) - calls_before,
    })
}
