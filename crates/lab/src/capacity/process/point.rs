//! One forwarder process with one list: started, left at rest, put under load, left at rest again.

use super::standins::{discovery, nowhere, targets, Listed};
use super::{ListFrom, Options};
use crate::capacity::error::CapacityError;
use crate::capacity::usage::Usage;
use crate::chance::stream;
use crate::sockets::wire::Conn;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

pub const READY_WITHIN: Duration = Duration::from_secs(60);
const LISTED_WITHIN: Duration = Duration::from_secs(20);
const LOOK_AGAIN: Duration = Duration::from_millis(2); // between two questions whether it is ready
const SAMPLE: Duration = Duration::from_millis(100); // between two looks at its descriptors under load
const CLIENTS: u32 = 16; // connections that messages are submitted on: few beside the descriptors
const SETTLED: Duration = Duration::from_secs(2); // after the load, for calls under way
const MESSAGE_TIME: Duration = Duration::from_secs(20);
const BODY: usize = 512; // bytes of a message
const PROFILE: &str = "notice";

/// What was measured; a figure that was never reached is not a number.
#[derive(Clone, Debug)]
pub struct Point {
    pub listed: u32,
    /// Distinct targets that were called.
    pub used: u32,
    /// From the start until it is up, and until it takes a message for the last listed destination, s.
    pub ready: f64,
    pub last_taken: f64,
    pub at_ready: Usage,
    pub at_rest: Usage,
    pub rest: Stretch,
    pub load: Stretch,
    pub after_load: Usage,
    pub rest_after: Stretch,
    pub after_rest: Usage,
    pub most_descriptors: usize,
    pub submitted: u64,
    pub taken: u64,
    pub calls: u64,
}

#[derive(Clone, Copy, Debug)]
pub struct Stretch {
    pub lasted: Duration,
    pub processor: Duration,
}

impl Stretch {
    /// Part of a core.
    pub fn of_a_core(&self) -> f64 {
        self.processor.as_secs_f64() / self.lasted.as_secs_f64()
    }
}

/// What the start-up configuration of a forwarder says beside its list.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub seed: u64,
    pub forwarders: u32,
    pub memory_mb: f64,
    pub disk_mb: f64,
    pub descriptors: u32,
    /// Messages that it holds at most.
    pub room: u32,
    /// Time that a message has at most.
    pub expiry: Duration,
}

impl Default for Shape {
    /// The operators' figures.
    fn default() -> Shape {
        Shape {
            seed: 1,
            forwarders: 400,
            memory_mb: 192.0,
            disk_mb: 16.0,
            descriptors: 256,
            room: 4_000,
            expiry: Duration::from_secs(28),
        }
    }
}

pub fn startup_config(
    shape: &Shape,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Option<Value>,
) -> Value {
    let mut config = json!({
        "name": "n0", "seed": format!("{:016x}", shape.seed),
        "listen": listen.to_string(), "discovery": discovery.to_string(),
        "limits": {"memory_mb": shape.memory_mb, "sockets": shape.descriptors, "disk_mb": shape.disk_mb},
        "settings": {
            "Azs": ["a"], "Balancers": shape.forwarders, "Me": 0, "HostTypes": ["m"], "QuantumUs": 5000,
            "Weights": "nominal",
            "Domain": {"Fades": "halving", "Workers": 200, "PerCall": [1], "RoutesApart": [false]},
            "Limits": {"Cancelling": true, "ConnIdleUs": 5_000_000, "ConnectTimeoutUs": 1_000_000, "MaxAttempts": 6,
                "MaxOpen": shape.room, "MaxRetryAfterUs": 2_000_000, "Probing": true, "RetryAfter": true},
            "Profiles": [{"Name": PROFILE, "Effect": "free", "DedupWindowUs": 15_000_000, "GoalTimeUs": 2_500_000,
                "HardLimitUs": shape.expiry.as_micros() as u64, "LateShare": 0.5, "Points": 1.0}],
            "Rules": {"AnswerSlackUs": 20_000, "ColdFrom": 0.2, "DrainGraceUs": 500_000, "FallMultiple": 2.0,
                "OverloadForUs": 2_000_000, "WarmAfterUs": 10_000_000}
        }
    });
    if let Some(known) = known {
        config["known"] = known;
    }
    config
}

/// A forwarder that ends with this.
pub struct Subject {
    pub child: Child,
    pid: u32,
    listen: SocketAddr,
    log: PathBuf,
}

impl Subject {
    pub fn start(
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        config: &Value,
    ) -> Result<Subject, CapacityError> {
        let say = |source: std::io::Error| CapacityError::Program {
            program: program.to_owned(),
            source,
        };
        let (state, file) = (folder.join("state"), folder.join("papers.json"));
        std::fs::create_dir_all(&state).map_err(say)?;
        std::fs::write(&file, config.to_string()).map_err(say)?;
        let log = folder.join("forwarder.log");
        let errors = std::fs::File::create(&log).map_err(say)?;
        let child = Command::new(program)
            .env("GW_CONFIG", &file)
            .env("GW_STATE", &state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(say)?;
        let pid = child.id().ok_or_else(|| CapacityError::EndedAtOnce {
            program: program.to_owned(),
        })?;
        Ok(Subject {
            child,
            pid,
            listen,
            log,
        })
    }

    pub fn usage(&self) -> Result<Usage, CapacityError> {
        Usage::of(self.pid)
    }

    async fn stretch(
        &self,
        work: impl std::future::Future<Output = ()>,
    ) -> Result<Stretch, CapacityError> {
        let (before, begun) = (self.usage()?, Instant::now());
        work.await;
        let lasted = begun.elapsed();
        Ok(Stretch {
            lasted,
            processor: self.usage()?.processor.saturating_sub(before.processor),
        })
    }

    /// The status of one request on a connection of its own; none where there was no answer.
    async fn ask(&self, text: &str) -> Option<u16> {
        let mut conn = Conn::new(TcpStream::connect(self.listen).await.ok()?);
        conn.write(text.as_bytes()).await.ok()?;
        conn.answer().await.ok().map(|answer| answer.status)
    }

    /// Waits until it is up; gives the time since `begun`, s.
    pub async fn ready(&mut self, begun: Instant, within: Duration) -> Result<f64, CapacityError> {
        let up = |_| "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned();
        let ready = self.until(begun, within, 200, up).await;
        if ready.is_nan() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            return Err(CapacityError::NotUp { within, log });
        }
        Ok(ready)
    }

    /// Asks again and again until the status comes; gives the time since `begun`, s.
    async fn until(
        &mut self,
        begun: Instant,
        within: Duration,
        status: u16,
        text: impl Fn(u32) -> String,
    ) -> f64 {
        for question in 0.. {
            if self.ask(&text(question)).await == Some(status) {
                break;
            }
            let ended = !matches!(self.child.try_wait(), Ok(None));
            if ended || begun.elapsed() > within {
                return f64::NAN;
            }
            tokio::time::sleep(LOOK_AGAIN).await;
        }
        begun.elapsed().as_secs_f64()
    }
}

fn hand_in(id: &str, destination: u32, time: Duration) -> String {
    let time = time.as_millis();
    format!(
        "POST /{PROFILE} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {PROFILE}\r\n\
         Request-Timeout-Ms: {time}\r\nIdempotency-Key: k-{id}\r\nEnvelope: dest={destination}\r\n\
         Content-Length: {BODY}\r\n\r\n{:b<BODY$}",
        ""
    )
}

/// Messages that are submitted: their destinations in order, how many a second, and the time that each has.
#[derive(Clone)]
pub struct Load {
    pub draws: Arc<[u32]>,
    pub rate: u64,
    pub time: Duration,
}

/// Messages at an even pace from a few clients.
pub async fn load(messages: Load, listen: SocketAddr, taken: Arc<AtomicU64>) {
    let next = Arc::new(AtomicUsize::new(0));
    let begun = tokio::time::Instant::now();
    let client = |_| {
        let (Load { draws, rate, time }, next, taken) =
            (messages.clone(), next.clone(), taken.clone());
        tokio::spawn(async move {
            let mut kept: Option<Conn> = None;
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(destination) = draws.get(number) else {
                    return;
                };
                let due = begun + Duration::from_secs_f64(number as f64 / rate as f64);
                tokio::time::sleep_until(due).await;
                let text = hand_in(&format!("m{number}"), *destination, time);
                let answer = async {
                    let mut conn = match kept.take() {
                        Some(conn) => conn,
                        None => Conn::new(TcpStream::connect(listen).await?),
                    };
                    conn.write(text.as_bytes()).await?;
                    let answer = conn.answer().await?;
                    kept = Some(conn);
                    std::io::Result::Ok(answer.status)
                };
                // One that fails is a message that was not taken: it is counted as that.
                taken.fetch_add(
                    u64::from(matches!(answer.await, Ok(202))),
                    Ordering::Relaxed,
                );
            }
        })
    };
    for client in (0..CLIENTS).map(client).collect::<Vec<_>>() {
        let _ = client.await; // one that panics has submitted less, which the count of those taken shows
    }
}

/// Which targets get messages, in the order of the messages.
fn draws(options: &Options, listed: u32, in_use: u32) -> Arc<[u32]> {
    let mut chance = stream(options.seed, "capacity process", u64::from(in_use));
    let (in_use, messages) = (in_use.clamp(1, listed), options.rate * options.seconds);
    let target = |place: u32| (u64::from(place) * u64::from(listed) / u64::from(in_use)) as u32;
    (0..messages)
        .map(|_| target(chance.random_range(0..in_use)))
        .collect()
}

pub async fn measure(
    options: &Options,
    listed: u32,
    in_use: u32,
    from: ListFrom,
) -> Result<Point, CapacityError> {
    let folder = tempfile::tempdir()?;
    let listen = nowhere().await?;
    let port = {
        let free = TcpListener::bind((Ipv4Addr::new(127, 1, 0, 0), 0)).await?;
        free.local_addr()?.port()
    };
    let list = Listed {
        targets: listed,
        port,
    };
    let draws = draws(options, listed, in_use);
    let last = listed - 1;
    let mut used: BTreeSet<u32> = draws.iter().copied().collect();
    let distinct = used.len() as u32;
    used.insert(last);
    let calls = targets(list, &used)?;
    let shape = options.shape();
    let config = match from {
        ListFrom::Known => startup_config(&shape, listen, nowhere().await?, Some(list.text())),
        ListFrom::Discovery => {
            let (at, _) = discovery(list.text().to_string()).await?;
            startup_config(&shape, listen, at, None)
        }
    };
    let begun = Instant::now();
    let mut subject = Subject::start(&options.program(), folder.path(), listen, &config)?;
    let ready =
        subject
            .ready(begun, READY_WITHIN)
            .await
            .map_err(|error| CapacityError::AtListLength {
                listed,
                source: Box::new(error),
            })?;
    let at_ready = subject.usage()?;
    let to_last = |question| hand_in(&format!("first-{question}"), last, MESSAGE_TIME);
    let last_taken = subject.until(begun, LISTED_WITHIN, 202, to_last).await;
    let rest = || tokio::time::sleep(Duration::from_secs(options.rest));
    let first_rest = subject.stretch(rest()).await?;
    let at_rest = subject.usage()?;
    let calls_before = calls.load(Ordering::Relaxed);
    let (taken, most_descriptors) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicUsize::new(0)));
    let watch = {
        let (pid, most) = (subject.pid, most_descriptors.clone());
        tokio::spawn(async move {
            while let Ok(usage) = Usage::of(pid) {
                most.fetch_max(usage.descriptors, Ordering::Relaxed);
                tokio::time::sleep(SAMPLE).await;
            }
        })
    };
    let messages = Load {
        draws: draws.clone(),
        rate: options.rate,
        time: MESSAGE_TIME,
    };
    let under_load = subject
        .stretch(load(messages, listen, taken.clone()))
        .await?;
    tokio::time::sleep(SETTLED).await;
    watch.abort();
    let after_load = subject.usage()?;
    let rest_after = subject.stretch(rest()).await?;
    let after_rest = subject.usage()?;
    subject.child.kill().await?;
    Ok(Point {
        listed,
        used: distinct,
        ready,
        last_taken,
        at_ready,
        at_rest,
        rest: first_rest,
        load: under_load,
        after_load,
        rest_after,
        after_rest,
        most_descriptors: most_descriptors.load(Ordering::Relaxed),
        submitted: draws.len() as u64,
        taken: taken.load(Ordering::Relaxed),
        calls: calls.load(Ordering::Relaxed) - calls_before,
    })
}
