//! A forwarder process that is measured: started, asked, and its use of the machine read.

use crate::capacity::error::CapacityError;
use crate::capacity::usage::Usage;
use crate::sockets::wire::Conn;
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
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two questions whether it is ready.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two looks at its descriptors.
const DESCRIPTOR_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// What a process used over some time.
#[derive(Clone, Copy, Debug)]
pub struct UsagePeriod {
    /// How long it lasted.
    pub elapsed: Duration,
    /// Processor time of the process.
    pub processor_time: Duration,
}

impl UsagePeriod {
    /// Part of a core.
    pub fn core_fraction(&self) -> f64 {
        self.processor_time.as_secs_f64() / self.elapsed.as_secs_f64()
    }
}

/// The most descriptors that a process has had open.
pub struct DescriptorSampler {
    max_descriptors: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl DescriptorSampler {
    /// Stops looking; gives the most that was seen.
    pub fn stop(self) -> usize {
        self.task.abort();
        self.max_descriptors.load(Ordering::Relaxed)
    }
}

/// A forwarder process that ends with this.
pub struct ForwarderProcess {
    /// The process.
    pub child: Child,
    pid: u32,
    listen: SocketAddr,
    log: PathBuf,
}

impl ForwarderProcess {
    /// Starts the forwarder with this configuration, in this folder.
    pub fn start(
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        config: &Value,
    ) -> Result<ForwarderProcess, CapacityError> {
        let program_error = |source: std::io::Error| CapacityError::Program {
            program: program.to_owned(),
            source,
        };
        let state_folder = folder.join("state");
        let config_file = folder.join("papers.json");
        std::fs::create_dir_all(&state_folder).map_err(program_error)?;
        std::fs::write(&config_file, config.to_string()).map_err(program_error)?;
        let log = folder.join("forwarder.log");
        let stderr = std::fs::File::create(&log).map_err(program_error)?;
        let child = Command::new(program)
            .env("GW_CONFIG", &config_file)
            .env("GW_STATE", &state_folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .map_err(program_error)?;
        let pid = child.id().ok_or_else(|| CapacityError::ExitedAtStart {
            program: program.to_owned(),
        })?;
        Ok(ForwarderProcess {
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
    pub async fn usage_during(
        &self,
        work: impl std::future::Future<Output = ()>,
    ) -> Result<UsagePeriod, CapacityError> {
        let before = self.usage()?;
        let started = Instant::now();
        work.await;
        let elapsed = started.elapsed();
        Ok(UsagePeriod {
            elapsed,
            processor_time: self
                .usage()?
                .processor_time
                .saturating_sub(before.processor_time),
        })
    }

    /// What the process uses at rest, for so many seconds.
    pub async fn usage_at_rest(&self, seconds: u64) -> Result<UsagePeriod, CapacityError> {
        let rest = tokio::time::sleep(Duration::from_secs(seconds));
        self.usage_during(rest).await
    }

    /// Looks at its descriptors again and again; until it is stopped.
    pub fn sample_descriptors(&self) -> DescriptorSampler {
        let (pid, max_descriptors) = (self.pid, Arc::new(AtomicUsize::new(0)));
        let max_seen = max_descriptors.clone();
        let task = tokio::spawn(async move {
            while let Ok(usage) = Usage::of(pid) {
                max_seen.fetch_max(usage.descriptors, Ordering::Relaxed);
                tokio::time::sleep(DESCRIPTOR_SAMPLE_INTERVAL).await;
            }
        });
        DescriptorSampler {
            max_descriptors,
            task,
        }
    }

    /// The status of one request on a connection of its own; none where there was no answer.
    async fn request_status(&self, request: &str) -> Option<u16> {
        let mut conn = Conn::new(TcpStream::connect(self.listen).await.ok()?);
        conn.write(request.as_bytes()).await.ok()?;
        conn.answer().await.ok().map(|answer| answer.status)
    }

    /// Waits until it is up; gives the time since `begun`, s.
    pub async fn wait_until_ready(
        &mut self,
        started: Instant,
        timeout: Duration,
    ) -> Result<f64, CapacityError> {
        let request = |_| "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned();
        let ready_s = self.wait_for_status(started, timeout, 200, request).await;
        if ready_s.is_nan() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            return Err(CapacityError::NotReady { timeout, log });
        }
        Ok(ready_s)
    }

    /// Asks again and again until the status comes; gives the time since `begun`, s.
    pub async fn wait_for_status(
        &mut self,
        started: Instant,
        timeout: Duration,
        status: u16,
        request: impl Fn(u32) -> String,
    ) -> f64 {
        for attempt in 0.. {
            if self.request_status(&request(attempt)).await == Some(status) {
                break;
            }
            let exited = !matches!(self.child.try_wait(), Ok(None));
            if exited || started.elapsed() > timeout {
                return f64::NAN;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        started.elapsed().as_secs_f64()
    }
}
