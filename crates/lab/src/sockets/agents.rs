//! The platform as a forwarder sees it: an agent for each, which tells the list and hears of ends.

use super::endpoints::StandIn;
use super::wire::{Conn, HttpMessage, Port};
use super::Stage;
use crate::oracle::FinalAnswer;
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

pub type ListChange = (usize, u32, Phase);

#[derive(Default)]
struct ListState {
    revision: u64,
    members: BTreeMap<(usize, u32), Phase>,
    changes: Vec<(u64, Vec<ListChange>)>,
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
    told: Mutex<ListState>,
    list_revision: watch::Sender<u64>,
    stand_ins: Vec<Arc<StandIn>>,
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
        stand_ins: &[Arc<StandIn>],
        port: u16,
    ) -> io::Result<Arc<Agent>> {
        let port = Port::hold(port)?;
        let listener = port.listen()?;
        let members = (0..stand_ins.len())
            .map(|t| ((t, stand_ins[t].holder()), Phase::Ready))
            .collect();
        let told = ListState {
            revision: 1,
            members,
            changes: Vec::new(),
            whole_from: 1,
        };
        let agent = Arc::new(Agent {
            address: port.address,
            forwarder,
            told: Mutex::new(told),
            list_revision: watch::Sender::new(1),
            stand_ins: stand_ins.to_vec(),
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

    fn told(&self) -> MutexGuard<'_, ListState> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes that discovery has sent it.
    pub fn apply_changes(&self, entries: &[ListChange]) {
        let mut told = self.told();
        told.revision += 1;
        for (endpoint, holder, phase) in entries {
            match phase {
                Phase::Gone => _ = told.members.remove(&(*endpoint, *holder)),
                phase => _ = told.members.insert((*endpoint, *holder), *phase),
            }
        }
        let revision = told.revision;
        told.changes.push((revision, entries.to_vec()));
        if told.changes.len() > CHANGES {
            let (old, _) = told.changes.remove(0);
            told.whole_from = old;
        }
        self.list_revision.send_replace(revision);
    }

    /// The whole list anew.
    pub fn replace_list(&self, members: BTreeMap<(usize, u32), Phase>) {
        let mut told = self.told();
        told.revision += 1;
        told.whole_from = told.revision;
        told.members = members;
        told.changes.clear();
        self.list_revision.send_replace(told.revision);
    }

    fn member(&self, stage: &Stage, (endpoint, holder, phase): ListChange) -> Value {
        let spot = stage.layout.endpoints[endpoint];
        let group = &stage.scenario.destinations[spot.group];
        let zone = ["a", "b"][usize::from(spot.zone % 2)];
        let kind = if group.independent_limits {
            "apart"
        } else {
            "shared"
        };
        json!({"id": format!("t{endpoint}-{holder}"), "host_port": self.stand_ins[endpoint].address.to_string(),
            "locality": zone, "flavor": kind,
            "cell": spot.destination, "phase": format!("{phase:?}"), "size": group.rate, "up_since_ms": 0})
    }

    /// What a watch from a revision on is told; the oracle learns what the forwarder knows from now on.
    fn list(&self, stage: &Stage, from: Option<u64>) -> String {
        let told = self.told();
        let complete = from.is_none_or(|r| r < told.whole_from);
        let since = from.unwrap_or(0);
        let entries: Vec<ListChange> = match complete {
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
            for (endpoint, stand_in) in self.stand_ins.iter().enumerate() {
                for holder in 0..=stand_in.holder() {
                    if !entries
                        .iter()
                        .any(|(t, h, _)| (*t, *h) == (endpoint, holder))
                    {
                        state.oracle.endpoint_status_notified(
                            self.forwarder,
                            endpoint,
                            holder,
                            false,
                            now,
                        );
                    }
                }
            }
        }
        for (endpoint, holder, phase) in entries {
            state.oracle.endpoint_status_notified(
                self.forwarder,
                endpoint,
                holder,
                phase == Phase::Ready,
                now,
            );
        }
        text
    }

    async fn answer(
        &self,
        stage: &Arc<Stage>,
        conn: &mut Conn,
        request: HttpMessage,
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
            let mut list_revision = self.list_revision.subscribe();
            let _ = tokio::time::timeout(wait, list_revision.wait_for(|r| *r > from)).await;
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
            let submission = completion_report
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
            let Some(submission) = submission else {
                return Err(BadReport::UnknownMessage {
                    id: completion_report.id,
                });
            };
            let end = match completion_report.status.as_str() {
                "undeliverable" => FinalAnswer::Failed,
                "deferred" => FinalAnswer::Rejected,
                other => {
                    return Err(BadReport::UnknownStatus {
                        status: other.to_owned(),
                    })
                }
            };
            let retry_after: Option<Micros> =
                completion_report.again_ms.map(|ms| (ms * 1e3) as Micros);
            let mut state = stage.lock();
            // A notice for a message that is over does no harm if it is the same again: it was not heard the first time.
            if !state.oracle.already_reported(submission, end) {
                state.ended(stage, submission, end, retry_after, 0, now);
            }
        }
        Ok(())
    }
}
