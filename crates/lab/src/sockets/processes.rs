//! Forwarder processes: started with the configuration of the scenario, killed, stopped, continued and started again.

use super::SocketsError;
use crate::scenario::Scenario;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// A forwarder answers `GET /up` in that time.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two looks whether a forwarder is up.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A tick of the kernel's account, µs, on every Linux that this runs on.
const CLOCK_TICK_MICROS: u64 = 10_000;
/// A page of memory, bytes, on every Linux that this runs on.
const PAGE_BYTES: u64 = 4096;

/// What a forwarder process is started with.
pub struct ProcessSetup {
    /// The forwarder's program.
    pub program: PathBuf,
    /// Its own folder.
    pub folder: PathBuf,
    /// Its number in the fleet.
    pub forwarder: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The scenario that configures it.
    pub scenario: Scenario,
    /// The seed of the run.
    pub seed: u64,
    /// The file of its log; none is kept if it is not named.
    pub log_file: Option<PathBuf>,
    /// The core that it is bound to (by `taskset`).
    pub pinned_core: Option<usize>,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// CPU time, user and system, µs.
    pub cpu_micros: u64,
    /// Resident memory, bytes.
    pub memory_bytes: u64,
}

/// One forwarder process, which may be down.
pub struct ForwarderProcess {
    setup: ProcessSetup,
    /// How often it was started.
    start_count: u64,
    child: Option<Child>,
}

impl ForwarderProcess {
    /// A process that is not started yet.
    pub fn new(setup: ProcessSetup) -> ForwarderProcess {
        ForwarderProcess {
            setup,
            start_count: 0,
            child: None,
        }
    }

    /// Starts it and waits until it accepts messages.
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

    /// Its start-up configuration; the seed differs from start to start.
    fn startup_config(&self) -> String {
        let setup = &self.setup;
        let seed = setup
            .seed
            .wrapping_mul(1000)
            .wrapping_add(u64::from(setup.forwarder) + 100 * self.start_count);
        let mut config = setup.scenario.startup_config(setup.forwarder, seed);
        config["listen"] = setup.listen.to_string().into();
        config["discovery"] = setup.discovery.to_string().into();
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

    /// Its id while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid as i32), signal); // one that has ended needs none
        }
    }

    /// Stops it: it does nothing until it goes on.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills it outright; without the folder, that is emptied too.
    pub async fn kill(&mut self, folder_kept: bool) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await; // one that has ended is gone as well
        }
        if !folder_kept {
            let _ = std::fs::remove_dir_all(self.setup.folder.join("state")); // made anew at the start
        }
    }

    /// Whether it has ended by itself, and how.
    pub fn exit_status(&mut self) -> Option<String> {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(Some(status))) => Some(status.to_string()),
            _ => None,
        }
    }

    /// CPU time that it has used, µs (user and system), and its resident memory, bytes; from the kernel's own account.
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
