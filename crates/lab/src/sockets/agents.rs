//! The platform as a forwarder sees it: an agent for each, which tells the list and hears of ends.

use super::targets::Standin;
use super::wire::{Conn, Message, Port};
use super::Stage;
use crate::oracle::Final;
use opalpulley::Micros;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Changes that are kept for watches; whoever is further behind gets the whole list.
const CHANGES: usize = 256;
const LONGEST_WATCH: u64 = 60_000; // ms

/// How a member of the list stands: its holder's number, and whether it drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Terminating,
    Gone,
}

pub type Entry = (usize, u32, Phase);

#[derive(Default)]
struct Told {
    revision: u64,
    members: BTreeMap<(usize, u32), Phase>,
    changes: Vec<(u64, Vec<Entry>)>,
    /// The revision from which on changes alone tell everything.
    whole_from: u64,
}

/// Why completion reports were not accepted; the text is the body of the answer.
#[derive(Debug, thiserror::Error)]
enum BadReport {
    /// A line is no completion report as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The report names a message that was never submitted.
    #[error("{id}: nobody handed that in")]
    UnknownMessage { id: String },
    /// The report's status is none that the platform knows.
    #[error("{status}: no such status")]
    UnknownStatus { status: String },
}

/// The agent of one forwarder.
pub struct Agent {
    pub address: SocketAddr,
    forwarder: u32,
    told: Mutex<Told>,
    news: watch::Sender<u64>,
    standins: Vec<Arc<Standin>>,
}

#[derive(Deserialize)]
struct CompletionReport {
    id: String,
    status: String,
    #[serde(default)]
    again_ms: Option<f64>,
}

impl Agent {
    pub async fn start(
        stage: &Arc<Stage>,
        forwarder: u32,
        standins: &[Arc<Standin>],
        port: u16,
    ) -> io::Result<Arc<Agent>> {
        let port = Port::hold(port)?;
        let listener = port.listen()?;
        let members = (0..standins.len())
            .map(|t| ((t, standins[t].holder()), Phase::Ready))
            .collect();
        let told = Told {
            revision: 1,
            members,
            changes: Vec::new(),
            whole_from: 1,
        };
        let agent = Arc::new(Agent {
            address: port.address,
            forwarder,
            told: Mutex::new(told),
            news: watch::Sender::new(1),
            standins: standins.to_vec(),
        });
        let (stage, this) = (stage.clone(), agent.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (stage, this) = (stage.clone(), this.clone());
                tokio::spawn(async move {
                    let mut conn = Conn::new(stream);
                    while let Ok(Some(request)) = conn.request().await {
                        if this.answer(&stage, &mut conn, request).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(agent)
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes that discovery has sent it.
    pub fn hears(&self, entries: &[Entry]) {
        let mut told = self.told();
        told.revision += 1;
        for (target, holder, phase) in entries {
            match phase {
                Phase::Gone => _ = told.members.remove(&(*target, *holder)),
                phase => _ = told.members.insert((*target, *holder), *phase),
            }
        }
        let revision = told.revision;
        told.changes.push((revision, entries.to_vec()));
        if told.changes.len() > CHANGES {
            let (old, _) = told.changes.remove(0);
            told.whole_from = old;
        }
        self.news.send_replace(revision);
    }

    /// The whole list anew.
    pub fn hears_whole(&self, members: BTreeMap<(usize, u32), Phase>) {
        let mut told = self.told();
        told.revision += 1;
        told.whole_from = told.revision;
        told.members = members;
        told.changes.clear();
        self.news.send_replace(told.revision);
    }

    fn member(&self, stage: &Stage, (target, holder, phase): Entry) -> Value {
        let spot = stage.layout.targets[target];
        let group = &stage.scenario.destinations[spot.group];
        let zone = ["a", "b"][usize::from(spot.zone % 2)];
        let kind = if group.routes_apart {
            "apart"
        } else {
            "shared"
        };
        json!({"id": format!("t{target}-{holder}"), "host_port": self.standins[target].address.to_string(),
            "locality": zone, "flavor": kind,
            "cell": spot.destination, "phase": format!("{phase:?}"), "size": group.rate, "up_since_ms": 0})
    }

    /// What a watch from a revision on is told; the oracle learns what the forwarder knows from now on.
    fn list(&self, stage: &Stage, from: Option<u64>) -> String {
        let told = self.told();
        let complete = from.is_none_or(|r| r < told.whole_from);
        let since = from.unwrap_or(0);
        let entries: Vec<Entry> = match complete {
            true => told
                .members
                .iter()
                .map(|((t, h), p)| (*t, *h, *p))
                .collect(),
            false => told
                .changes
                .iter()
                .filter(|(r, _)| *r > since)
                .flat_map(|(_, e)| e.clone())
                .collect(),
        };
        let members: Vec<Value> = entries.iter().map(|e| self.member(stage, *e)).collect();
        let text = json!({"revision": told.revision, "complete": complete, "members": members})
            .to_string();
        drop(told);
        let now = stage.now();
        let mut state = stage.lock();
        if complete && from.is_some() {
            for (target, standin) in self.standins.iter().enumerate() {
                for holder in 0..=standin.holder() {
                    if !entries.iter().any(|(t, h, _)| (*t, *h) == (target, holder)) {
                        state
                            .oracle
                            .told_standing(self.forwarder, target, holder, false, now);
                    }
                }
            }
        }
        for (target, holder, phase) in entries {
            state
                .oracle
                .told_standing(self.forwarder, target, holder, phase == Phase::Ready, now);
        }
        text
    }

    async fn answer(
        &self,
        stage: &Arc<Stage>,
        conn: &mut Conn,
        request: Message,
    ) -> io::Result<()> {
        if request.method == "POST" && request.path == "/v1/outcomes" {
            return match self.completion_reports(stage, &request.body) {
                Ok(()) => conn.reply("204 No Content", "", "").await,
                Err(problem) => {
                    let problem = problem.to_string();
                    conn.reply("400 Bad Request", "", &problem).await
                }
            };
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if request.method != "GET" || path != "/discovery/hosts" {
            return conn.reply("404 Not Found", "", "").await;
        }
        let value = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name))
                .and_then(|v| v.parse::<u64>().ok())
        };
        let from = value("index=");
        if let Some(from) = from {
            let wait = Duration::from_millis(value("wait=").unwrap_or(0).min(LONGEST_WATCH));
            let mut news = self.news.subscribe();
            let _ = tokio::time::timeout(wait, news.wait_for(|r| *r > from)).await;
            // else: nothing to tell
        }
        let text = self.list(stage, from);
        conn.reply("200 OK", "", &text).await
    }

    fn completion_reports(&self, stage: &Arc<Stage>, body: &[u8]) -> Result<(), BadReport> {
        let lines = body.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        let completion_reports: Vec<CompletionReport> = lines
            .map(serde_json::from_slice)
            .collect::<Result<_, _>>()?;
        let now = stage.now();
        for completion_report in completion_reports {
            let duty = completion_report
                .id
                .strip_prefix('p')
                .and_then(|n| n.parse::<u64>().ok());
            if stage.alone {
                println!(
                    "notice to forwarder {}: {} {}",
                    self.forwarder, completion_report.id, completion_report.status
                );
                continue;
            }
            let Some(duty) = duty else {
                return Err(BadReport::UnknownMessage {
                    id: completion_report.id,
                });
            };
            let end = match completion_report.status.as_str() {
                "undeliverable" => Final::WrittenOff,
                "deferred" => Final::Deferred,
                other => {
                    return Err(BadReport::UnknownStatus {
                        status: other.to_owned(),
                    })
                }
            };
            let come_back: Option<Micros> =
                completion_report.again_ms.map(|ms| (ms * 1e3) as Micros);
            let mut state = stage.lock();
            // A notice for a packet that is over does no harm if it is the same again: it was not heard the first time.
            if !state.oracle.heard_before(duty, end) {
                state.ended(stage, duty, end, come_back, 0, now);
            }
        }
        Ok(())
    }
}
