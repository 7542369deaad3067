//! A forwarder process that is measured: started, asked, and its use of the machine read.

use crate::capacity::error::CapacityError;
use crate::capacity::usage::Usage;
use crate::sockets::wire::HttpConnection;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::JoinHandle;

/// A forwarder is up within this time.
pub const READY_WITHIN: Duration = Duration::from_secs(60);
/// Time between two questions whether it is ready.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two looks at its descriptors.
const SAMPLE: Duration = Duration::from_millis(100);

/// What a process used over some time.
#[derive(Clone, Copy, Debug)]
pub struct Stretch {
    /// How long it lasted.
    pub lasted: Duration,
    /// Processor time of the process.
    pub processor: Duration,
}

impl Stretch {
    /// Part of a core.
    pub fn of_a_core(&self) -> f64 {
        self.processor.as_secs_f64() / self.lasted.as_secs_f64()
    }
}

/// The most descriptors that a process has had open.
pub struct DescriptorWatch {
    most: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl DescriptorWatch {
    /// Stops looking; gives the most that was seen.
    pub fn stop(self) -> usize {
        self.task.abort();
        self.most.load(Ordering::Relaxed)
    }
}

/// A forwarder process that ends with this.
pub struct Subject {
    /// The process.
    pub child: Child,
    pid: u32,
    listen: SocketAddr,
    log: PathBuf,
}

impl Subject {
    /// Starts the forwarder with this configuration, in this folder.
    pub fn start(
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        config: &Value,
    ) -> Result<Subject, CapacityError> {
        let unusable = |source: std::io::Error| CapacityError::Program {
            program: program.to_owned(),
            source,
        };
        let state = folder.join("state");
        let file = folder.join("papers.json");
        std::fs::create_dir_all(&state).map_err(unusable)?;
        std::fs::write(&file, config.to_string()).map_err(unusable)?;
        let log = folder.join("forwarder.log");
        let errors = std::fs::File::create(&log).map_err(unusable)?;
        let child = Command::new(program)
            .env("GW_CONFIG", &file)
            .env("GW_STATE", &state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .map_err(unusable)?;
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

    /// What the process uses now.
    pub fn usage(&self) -> Result<Usage, CapacityError> {
        Usage::of(self.pid)
    }

    /// What the process uses while some work is done.
    pub async fn stretch(
        &self,
        work: impl std::future::Future<Output = ()>,
    ) -> Result<Stretch, CapacityError> {
        let before = self.usage()?;
        let started = Instant::now();
        work.await;
        let lasted = started.elapsed();
        Ok(Stretch {
            lasted,
            processor: self.usage()?.processor.saturating_sub(before.processor),
        })
    }

    /// What the process uses at rest, for so many seconds.
    pub async fn rest(&self, seconds: u64) -> Result<Stretch, CapacityError> {
        let rest = tokio::time::sleep(Duration::from_secs(seconds));
        self.stretch(rest).await
    }

    /// Looks at its descriptors again and again; until it is stopped.
    pub fn watch_descriptors(&self) -> DescriptorWatch {
        let (pid, most) = (self.pid, Arc::new(AtomicUsize::new(0)));
        let seen = most.clone();
        let task = tokio::spawn(async move {
            while let Ok(usage) = Usage::of(pid) {
                seen.fetch_max(usage.descriptors, Ordering::Relaxed);
                tokio::time::sleep(SAMPLE).await;
            }
        });
        DescriptorWatch { most, task }
    }

    /// The status of one request on a connection of its own; none where there was no answer.
    async fn ask(&self, text: &str) -> Option<u16> {
        let mut conn = HttpConnection::new(TcpStream::connect(self.listen).await.ok()?);
        conn.write(text.as_bytes()).await.ok()?;
        conn.read_response().await.ok().map(|answer| answer.status)
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
    pub async fn until(
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
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        begun.elapsed().as_secs_f64()
    }
}
