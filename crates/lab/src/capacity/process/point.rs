//! One forwarder process with one list: started, left at rest, put under load, left at rest again.

use super::load::{load, submission, Load};
use super::standins::{discovery, nowhere, targets, Listed};
use super::startup_config::startup_config;
use super::subject::{Stretch, Subject, READY_WITHIN};
use super::{ListFrom, Options};
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
const LISTED_WITHIN: Duration = Duration::from_secs(20);
/// After the load, for calls under way.
const SETTLED: Duration = Duration::from_secs(2);
/// The time to live of a message.
const MESSAGE_TIME: Duration = Duration::from_secs(20);

/// What was measured; a figure that was never reached is not a number.
#[derive(Clone, Debug)]
pub struct Point {
    /// Targets of the list.
    pub listed: u32,
    /// Distinct targets that were called.
    pub used: u32,
    /// From the start until it is up, and until it takes a message for the last listed destination, s.
    pub ready: f64,
    pub last_taken: f64,
    /// As it is up.
    pub at_ready: Usage,
    /// After the first rest.
    pub at_rest: Usage,
    /// The first rest.
    pub rest: Stretch,
    /// Under load.
    pub load: Stretch,
    /// After the load.
    pub after_load: Usage,
    /// The second rest.
    pub rest_after: Stretch,
    /// After the second rest.
    pub after_rest: Usage,
    /// The most descriptors under load.
    pub most_descriptors: usize,
    /// Messages that were submitted.
    pub submitted: u64,
    /// Messages that were accepted.
    pub taken: u64,
    /// Calls that were answered under load.
    pub calls: u64,
}

/// Which targets get messages, in the order of the messages.
fn draws(options: &Options, listed: u32, in_use: u32) -> Arc<[u32]> {
    let mut chance = seeded_rng(options.seed, "capacity process", u64::from(in_use));
    let (in_use, messages) = (in_use.clamp(1, listed), options.rate * options.seconds);
    let target = |place: u32| (u64::from(place) * u64::from(listed) / u64::from(in_use)) as u32;
    (0..messages)
        .map(|_| target(chance.random_range(0..in_use)))
        .collect()
}

/// A port that is free at the first address of the list.
async fn free_port() -> io::Result<u16> {
    let free = TcpListener::bind((Ipv4Addr::new(127, 1, 0, 0), 0)).await?;
    Ok(free.local_addr()?.port())
}

/// The start-up configuration: it holds the list, or names a discovery that tells it.
async fn config(
    options: &Options,
    list: Listed,
    listen: SocketAddr,
    from: ListFrom,
) -> io::Result<Value> {
    let shape = options.shape();
    let list = list.text();
    Ok(match from {
        ListFrom::Known => startup_config(&shape, listen, nowhere().await?, Some(list)),
        ListFrom::Discovery => {
            let (address, _) = discovery(list.to_string()).await?;
            startup_config(&shape, listen, address, None)
        }
    })
}

/// What stands round the forwarder, and what it is to get.
struct Surroundings {
    listen: SocketAddr,
    config: Value,
    draws: Arc<[u32]>,
    /// Distinct targets of the messages.
    distinct: u32,
    /// Calls that the targets answered.
    calls: Arc<AtomicU64>,
}

impl Surroundings {
    async fn start(
        options: &Options,
        listed: u32,
        in_use: u32,
        from: ListFrom,
    ) -> io::Result<Surroundings> {
        let listen = nowhere().await?;
        let port = free_port().await?;
        let list = Listed {
            targets: listed,
            port,
        };
        let draws = draws(options, listed, in_use);
        let mut used: BTreeSet<u32> = draws.iter().copied().collect();
        let distinct = used.len() as u32;
        used.insert(listed - 1);
        Ok(Surroundings {
            listen,
            calls: targets(list, &used)?,
            config: config(options, list, listen, from).await?,
            draws,
            distinct,
        })
    }
}

/// What was measured under load.
struct UnderLoad {
    stretch: Stretch,
    after: Usage,
    most_descriptors: usize,
    accepted: u64,
}

async fn measure_load(
    subject: &Subject,
    messages: Load,
    listen: SocketAddr,
) -> Result<UnderLoad, CapacityError> {
    let accepted = Arc::new(AtomicU64::new(0));
    let descriptors = subject.watch_descriptors();
    let work = load(messages, listen, accepted.clone());
    let stretch = subject.stretch(work).await?;
    tokio::time::sleep(SETTLED).await;
    Ok(UnderLoad {
        stretch,
        most_descriptors: descriptors.stop(),
        after: subject.usage()?,
        accepted: accepted.load(Ordering::Relaxed),
    })
}

/// Measures a forwarder with so many listed targets, of which so many get messages.
pub async fn measure(
    options: &Options,
    listed: u32,
    in_use: u32,
    from: ListFrom,
) -> Result<Point, CapacityError> {
    let folder = tempfile::tempdir()?;
    let around = Surroundings::start(options, listed, in_use, from).await?;
    let listen = around.listen;
    let started = Instant::now();
    let program = options.program();
    let mut subject = Subject::start(&program, folder.path(), listen, &around.config)?;
    let ready = subject.ready(started, READY_WITHIN).await;
    let ready = ready.map_err(|error| CapacityError::AtListLength {
        listed,
        source: Box::new(error),
    })?;
    let at_ready = subject.usage()?;
    let to_last = |question| submission(&format!("first-{question}"), listed - 1, MESSAGE_TIME);
    let last_taken = subject.until(started, LISTED_WITHIN, 202, to_last).await;
    let rest = subject.rest(options.rest).await?;
    let at_rest = subject.usage()?;
    let calls_before = around.calls.load(Ordering::Relaxed);
    let submitted = around.draws.len() as u64;
    let messages = Load {
        draws: around.draws,
        rate: options.rate,
        time: MESSAGE_TIME,
    };
    let loaded = measure_load(&subject, messages, listen).await?;
    let rest_after = subject.rest(options.rest).await?;
    let after_rest = subject.usage()?;
    subject.child.kill().await?;
    Ok(Point {
        listed,
        used: around.distinct,
        ready,
        last_taken,
        at_ready,
        at_rest,
        rest,
        load: loaded.stretch,
        after_load: loaded.after,
        rest_after,
        after_rest,
        most_descriptors: loaded.most_descriptors,
        submitted,
        taken: loaded.accepted,
        calls: around.calls.load(Ordering::Relaxed) - calls_before,
    })
}
