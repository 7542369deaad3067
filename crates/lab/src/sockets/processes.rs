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
const READY: Duration = Duration::from_secs(10);
/// Time between two looks whether a forwarder is up.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// A tick of the kernel's account, µs, on every Linux that this runs on.
const TICK: u64 = 10_000;
/// A page of memory, bytes, on every Linux that this runs on.
const PAGE: u64 = 4096;

/// What a forwarder process is started with.
pub struct ProcessSetup {
    /// The forwarder's program.
    pub program: PathBuf,
    /// Its own folder.
    pub folder: PathBuf,
    /// Its number in the fleet.
    pub number: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The scenario that configures it.
    pub scenario: Scenario,
    /// The seed of the run.
    pub seed: u64,
    /// The file of its log; none is kept if it is not named.
    pub log: Option<PathBuf>,
    /// The core that it is bound to (by `taskset`).
    pub pin: Option<usize>,
}

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// CPU time, user and system, µs.
    pub cpu: u64,
    /// Resident memory, bytes.
    pub memory: u64,
}

/// One forwarder process, which may be down.
pub struct Process {
    setup: ProcessSetup,
    /// How often it was started.
    starts: u64,
    child: Option<Child>,
}

impl Process {
    /// A process that is not started yet.
    pub fn new(setup: ProcessSetup) -> Process {
        Process {
            setup,
            starts: 0,
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
        self.starts += 1;
        self.wait_until_up().await
    }

    fn spawn(&self) -> io::Result<Child> {
        let state = self.setup.folder.join("state");
        std::fs::create_dir_all(&state)?;
        let config = self.setup.folder.join("papers.json");
        std::fs::write(&config, self.startup_config())?;
        self.command()
            .env("GW_CONFIG", &config)
            .env("GW_STATE", &state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(self.log()?)
            .kill_on_drop(true)
            .spawn()
    }

    /// Its start-up configuration; the seed differs from start to start.
    fn startup_config(&self) -> String {
        let setup = &self.setup;
        let seed = setup
            .seed
            .wrapping_mul(1000)
            .wrapping_add(u64::from(setup.number) + 100 * self.starts);
        let mut config = setup.scenario.startup_config(setup.number, seed);
        config["listen"] = setup.listen.to_string().into();
        config["discovery"] = setup.discovery.to_string().into();
        config.to_string()
    }

    fn log(&self) -> io::Result<Stdio> {
        let Some(path) = &self.setup.log else {
            return Ok(Stdio::null());
        };
        let log = std::fs::File::options()
            .append(true)
            .create(true)
            .open(path)?;
        Ok(Stdio::from(log))
    }

    fn command(&self) -> Command {
        let Some(core) = self.setup.pin else {
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
        let forwarder = self.setup.number;
        let started = Instant::now();
        while !self.up().await {
            if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
                return Err(SocketsError::EndedAtStart { forwarder, status });
            }
            if started.elapsed() > READY {
                return Err(SocketsError::NotUp {
                    forwarder,
                    waited: READY,
                });
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(())
    }

    async fn up(&self) -> bool {
        let ask = async {
            let mut conn =
                super::wire::Conn::new(tokio::net::TcpStream::connect(self.setup.listen).await?);
            conn.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            conn.answer().await
        };
        matches!(tokio::time::timeout(Duration::from_millis(500), ask).await, Ok(Ok(answer)) if answer.status == 200)
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
    pub fn stop(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills it outright; without the folder, that is emptied too.
    pub async fn kill(&mut self, folder: bool) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await; // one that has ended is gone as well
        }
        if !folder {
            let _ = std::fs::remove_dir_all(self.setup.folder.join("state")); // made anew at the start
        }
    }

    /// Whether it has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
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
            cpu: ticks * TICK,
            memory: pages * PAGE,
        })
    }
}
