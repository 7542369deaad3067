//! The measured forwarder process: its start, the status of its answers and its resource usage.

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

/// Upper bound on the time from the start of a forwarder until it is ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two requests that poll for a status.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time between two samples of the number of open descriptors.
const DESCRIPTOR_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Processor usage of a process over a period of time.
#[derive(Clone, Copy, Debug)]
pub struct UsagePeriod {
    /// Wall-clock length of the period.
    pub elapsed: Duration,
    /// User and system time of the process in the period.
    pub processor_time: Duration,
}

impl UsagePeriod {
    /// Returns the processor time as a share of one processor core; above 1 if several cores were busy.
    pub fn core_fraction(&self) -> f64 {
        self.processor_time.as_secs_f64() / self.elapsed.as_secs_f64()
    }
}

/// Background task that records the highest number of open descriptors of a process, from [`sample_descriptors`] until
/// [`stop`].
///
/// [`sample_descriptors`]: ForwarderProcess::sample_descriptors
/// [`stop`]: DescriptorSampler::stop
pub struct DescriptorSampler {
    /// Highest number sampled so far.
    max_descriptors: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl DescriptorSampler {
    /// Stops the task and returns the highest number that it has sampled.
    pub fn stop(self) -> usize {
        self.task.abort();
        self.max_descriptors.load(Ordering::Relaxed)
    }
}

/// A running forwarder process, which is killed when this value is dropped.
pub struct ForwarderProcess {
    /// Handle of the process, to kill it earlier.
    pub child: Child,
    pid: u32,
    /// Address at which the forwarder accepts HTTP requests.
    listen: SocketAddr,
    /// File that receives the standard error of the process.
    log: PathBuf,
}

impl ForwarderProcess {
    /// Starts the forwarder with this configuration. The configuration, the state and the log are written below
    /// `folder`; state from an earlier start is kept. `listen` must be the address that `config` names.
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

    /// Reads the current usage of the process; fails if it has exited.
    pub fn usage(&self) -> Result<Usage, CapacityError> {
        Usage::of(self.pid)
    }

    /// Runs `work` to its end and returns the usage of the process in the meantime.
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

    /// Returns the usage of the process over a wait of `seconds`.
    pub async fn usage_at_rest(&self, seconds: u64) -> Result<UsagePeriod, CapacityError> {
        let rest = tokio::time::sleep(Duration::from_secs(seconds));
        self.usage_during(rest).await
    }

    /// Starts to sample the number of open descriptors, until the sampler is stopped or the process exits.
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

    /// Sends one request on a new connection and returns the status of the answer, or `None` if there is no answer.
    async fn request_status(&self, request: &str) -> Option<u16> {
        let mut conn = HttpConnection::new(TcpStream::connect(self.listen).await.ok()?);
        conn.write(request.as_bytes()).await.ok()?;
        conn.read_response().await.ok().map(|answer| answer.status)
    }

    /// Waits until `GET /up` is answered with 200 and returns the time elapsed since `started`, in s. Fails if
    /// `timeout` has elapsed since `started` or the process has exited.
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

    /// Repeats a request until it is answered with `status` and returns the time elapsed since `started`, in s;
    /// `request` gets the number of the attempt. Returns NaN if `timeout` has elapsed since `started` or the process
    /// has exited.
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
