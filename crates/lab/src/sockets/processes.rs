//! Controls the forwarder processes of a run: starts, pauses, resumes, kills and restarts them.

use super::SocketsError;
use crate::scenario::Scenario;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// Time within which a started forwarder must answer `GET /up`.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a started forwarder is asked whether it is up.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Clock tick of the CPU times in `/proc/PID/stat`, in µs, on every Linux that the laboratory runs on.
const CLOCK_TICK_MICROS: u64 = 10_000;
/// Memory page, in bytes, on every Linux that the laboratory runs on.
const PAGE_BYTES: u64 = 4096;

/// The parameters with which a forwarder process is started.
pub struct ProcessSetup {
    /// Executable of the forwarder.
    pub program: PathBuf,
    /// Folder of the process, for its configuration and its state.
    pub folder: PathBuf,
    /// Number of the forwarder in the fleet, from 0.
    pub forwarder: u32,
    /// Address at which the forwarder listens.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Scenario from which the start-up configuration is derived.
    pub scenario: Scenario,
    /// Seed of the run.
    pub seed: u64,
    /// File to which the log is appended; if none, the log is discarded.
    pub log_file: Option<PathBuf>,
    /// Core to which the process is bound (by `taskset`).
    pub pinned_core: Option<usize>,
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// User and system CPU time since the start of the process, in µs.
    pub cpu_micros: u64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

/// A forwarder that runs as a process of its own and can be killed and restarted. The process is killed on drop.
pub struct ForwarderProcess {
    setup: ProcessSetup,
    /// Number of times that the process has been started; part of the seed of the next start.
    start_count: u64,
    /// The endpoint list that the forwarder knew last, as the start-up configuration states it. `None` before the first one.
    known_list: Option<Value>,
    child: Option<Child>,
}

impl ForwarderProcess {
    /// Creates a forwarder whose process is not started yet.
    pub fn new(setup: ProcessSetup) -> ForwarderProcess {
        ForwarderProcess {
            setup,
            start_count: 0,
            known_list: None,
            child: None,
        }
    }

    /// Sets the endpoint list with which the process is started next.
    pub fn set_known_list(&mut self, known_list: Option<Value>) {
        self.known_list = known_list;
    }

    /// Starts the process and waits until it accepts messages. Fails if the program can't be started, exits, or isn't up within
    /// 10 s.
    pub async fn start(&mut self) -> Result<(), SocketsError> {
        let spawned = self.spawn();
        self.child = Some(spawned.map_err(|source| SocketsError::Program {
            program: self.setup.program.clone(),
            source,
        })?);
        self.start_count += 1;
        self.wait_until_up().await
    }

    fn spawn(&self) -> io::Result<Child> {
        let state_folder = self.setup.folder.join("state");
        std::fs::create_dir_all(&state_folder)?;
        let config_path = self.setup.folder.join("papers.json");
        std::fs::write(&config_path, self.startup_config())?;
        self.command()
            .env("GW_CONFIG", &config_path)
            .env("GW_STATE", &state_folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log_output()?)
            .kill_on_drop(true)
            .spawn()
    }

    /// Returns the start-up configuration as JSON. The seed differs from start to start.
    fn startup_config(&self) -> String {
        let setup = &self.setup;
        let seed = setup
            .seed
            .wrapping_mul(1000)
            .wrapping_add(u64::from(setup.forwarder) + 100 * self.start_count);
        let mut config = setup.scenario.startup_config(setup.forwarder, seed);
        config["listen"] = setup.listen.to_string().into();
        config["discovery"] = setup.discovery.to_string().into();
        if let Some(known_list) = &self.known_list {
            config["known"] = known_list.clone();
        }
        config.to_string()
    }

    fn log_output(&self) -> io::Result<Stdio> {
        let Some(path) = &self.setup.log_file else {
            return Ok(Stdio::null());
        };
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(path)?;
        Ok(Stdio::from(log))
    }

    fn command(&self) -> Command {
        let Some(core) = self.setup.pinned_core else {
            return Command::new(&self.setup.program);
        };
        let mut command = Command::new("taskset");
        command
            .arg("-c")
            .arg(core.to_string())
            .arg(&self.setup.program);
        command
    }

    async fn wait_until_up(&mut self) -> Result<(), SocketsError> {
        let forwarder = self.setup.forwarder;
        let started = Instant::now();
        while !self.is_up().await {
            if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
                return Err(SocketsError::EndedAtStart { forwarder, status });
            }
            if started.elapsed() > STARTUP_TIMEOUT {
                return Err(SocketsError::NotUp {
                    forwarder,
                    waited: STARTUP_TIMEOUT,
                });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_up(&self) -> bool {
        let exchange = async {
            let mut conn = super::wire::HttpConnection::new(
                tokio::net::TcpStream::connect(self.setup.listen).await?,
            );
            conn.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            conn.read_response().await
        };
        matches!(tokio::time::timeout(Duration::from_millis(500), exchange).await, Ok(Ok(answer)) if answer.status == 200)
    }

    /// Returns the process id while the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid as i32), signal); // the process may have exited already
        }
    }

    /// Pauses the process by SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process by SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process by SIGKILL and waits for its exit. Deletes its state unless `folder_kept`.
    pub async fn kill(&mut self, folder_kept: bool) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await; // the process may have exited already
        }
        if !folder_kept {
            let _ = std::fs::remove_dir_all(self.setup.folder.join("state")); // the next start creates it again
        }
    }

    /// Returns the exit status if the process has exited without having been killed by [`ForwarderProcess::kill`].
    pub fn exit_status(&mut self) -> Option<String> {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(Some(status))) => Some(status.to_string()),
            _ => None,
        }
    }

    /// Returns the CPU time and the resident memory of the process, from `/proc`; none if the process doesn't run.
    pub fn usage(&self) -> Option<ProcessUsage> {
        let pid = self.pid()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        Some(ProcessUsage {
            cpu_micros: ticks * CLOCK_TICK_MICROS,
            memory_bytes: pages * PAGE_BYTES,
        })
    }
}
