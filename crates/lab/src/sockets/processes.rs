//! Forwarder processes: started with the configuration of the scenario, killed, stopped, continued and started again.

use super::SocketsError;
use crate::scenario::Scenario;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

const READY: Duration = Duration::from_secs(10); // a forwarder answers GET /up in that time

pub struct Process {
    program: PathBuf,
    folder: PathBuf,
    listen: SocketAddr,
    discovery: SocketAddr,
    scenario: Scenario,
    number: u32,
    seed: u64,
    incarnation: u64,
    child: Option<Child>,
    pin: Option<usize>,
    log: Option<PathBuf>,
}

impl Process {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        program: &Path,
        folder: &Path,
        number: u32,
        listen: SocketAddr,
        discovery: SocketAddr,
        scenario: &Scenario,
        seed: u64,
        log: Option<&Path>,
        pin: Option<usize>,
    ) -> Process {
        Process {
            program: program.into(),
            folder: folder.join(format!("forwarder-{number}")),
            listen,
            discovery,
            scenario: scenario.clone(),
            number,
            seed,
            incarnation: 0,
            child: None,
            pin,
            log: log.map(|l| l.join(format!("forwarder-{number}.log"))),
        }
    }

    /// Starts it and waits until it takes messages.
    pub async fn start(&mut self) -> Result<(), SocketsError> {
        let told = |source: io::Error| SocketsError::Program {
            program: self.program.clone(),
            source,
        };
        let state = self.folder.join("state");
        std::fs::create_dir_all(&state).map_err(told)?;
        let startup_config = self.folder.join("papers.json");
        let seed = self
            .seed
            .wrapping_mul(1000)
            .wrapping_add(u64::from(self.number) + 100 * self.incarnation);
        let mut text = self.scenario.startup_config(self.number, seed);
        text["listen"] = self.listen.to_string().into();
        text["discovery"] = self.discovery.to_string().into();
        std::fs::write(&startup_config, text.to_string()).map_err(told)?;
        let log = match &self.log {
            Some(path) => Stdio::from(
                std::fs::File::options()
                    .append(true)
                    .create(true)
                    .open(path)
                    .map_err(told)?,
            ),
            None => Stdio::null(),
        };
        let mut command = match self.pin {
            Some(core) => {
                let mut command = Command::new("taskset");
                command.arg("-c").arg(core.to_string()).arg(&self.program);
                command
            }
            None => Command::new(&self.program),
        };
        let child = command
            .env("GW_CONFIG", &startup_config)
            .env("GW_STATE", &state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(told)?;
        self.child = Some(child);
        self.incarnation += 1;
        let begun = Instant::now();
        while !self.up().await {
            if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
                return Err(SocketsError::EndedAtStart {
                    forwarder: self.number,
                    status,
                });
            }
            if begun.elapsed() > READY {
                return Err(SocketsError::NotUp {
                    forwarder: self.number,
                    waited: READY,
                });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    async fn up(&self) -> bool {
        let ask = async {
            let mut conn =
                super::wire::Conn::new(tokio::net::TcpStream::connect(self.listen).await?);
            conn.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .await?;
            conn.answer().await
        };
        matches!(tokio::time::timeout(Duration::from_millis(500), ask).await, Ok(Ok(answer)) if answer.status == 200)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid as i32), signal); // one that has ended needs none
        }
    }

    pub fn stop(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Kills it outright; without the folder, that is emptied too.
    pub async fn kill(&mut self, folder: bool) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await; // one that has ended is gone as well
        }
        if !folder {
            let _ = std::fs::remove_dir_all(self.folder.join("state")); // made anew at the start
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
    pub fn used(&self) -> Option<(u64, u64)> {
        let pid = self.pid()?;
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let pages: u64 = fields.get(21)?.parse().ok()?;
        // Ticks are hundredths of a second and pages 4 KiB on every Linux that this runs on.
        Some((ticks * 10_000, pages * 4096))
    }
}
