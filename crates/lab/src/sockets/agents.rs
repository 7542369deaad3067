//! The platform as a forwarder sees it: an agent for each, which serves the endpoint list and takes completion reports.

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
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Changes that are kept for watches; a forwarder that is further behind gets the complete list.
const KEPT_CHANGES: usize = 256;
/// The longest wait of a watch, ms.
const LONGEST_WATCH_MS: u64 = 60_000;
/// The names of the zones.
const ZONES: [&str; 2] = ["a", "b"];

/// What the list says of an endpoint. The names are those of the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes calls.
    Ready,
    /// It drains.
    Terminating,
    /// It is not there any more.
    Gone,
}

/// What the list says of one holder of an endpoint's address.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The endpoint.
    pub endpoint: usize,
    /// The number of the holder.
    pub holder: u32,
    /// Its phase.
    pub phase: Phase,
}

/// Phases by endpoint and holder.
pub type ListMembers = BTreeMap<(usize, u32), Phase>;

/// The list as one agent serves it.
struct ListState {
    revision: u64,
    members: ListMembers,
    /// The latest changes, each with the revision that it made.
    changes: Vec<(u64, Vec<ListChange>)>,
    /// The revision from which on the kept changes tell everything.
    complete_from: u64,
}

impl ListState {
    fn add_changes(&mut self, changes: &[ListChange]) {
        self.revision += 1;
        for change in changes {
            let key = (change.endpoint, change.holder);
            if change.phase == Phase::Gone {
                self.members.remove(&key);
            } else {
                self.members.insert(key, change.phase);
            }
        }
        self.changes.push((self.revision, changes.to_vec()));
        if self.changes.len() > KEPT_CHANGES {
            let (oldest, _) = self.changes.remove(0);
            self.complete_from = oldest;
        }
    }

    fn replace(&mut self, members: ListMembers) {
        self.revision += 1;
        self.complete_from = self.revision;
        self.members = members;
        self.changes.clear();
    }

    /// Every member.
    fn all(&self) -> Vec<ListChange> {
        let members = self.members.iter();
        members
            .map(|((endpoint, holder), phase)| ListChange {
                endpoint: *endpoint,
                holder: *holder,
                phase: *phase,
            })
            .collect()
    }

    /// What has changed since a revision.
    fn since(&self, from: u64) -> Vec<ListChange> {
        let later = self.changes.iter().filter(|(made, _)| *made > from);
        later.flat_map(|(_, changes)| changes.clone()).collect()
    }
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
    /// Where it listens.
    pub address: SocketAddr,
    forwarder: u32,
    list: Mutex<ListState>,
    /// The list's revision, for watches.
    revision: watch::Sender<u64>,
    stand_ins: Vec<Arc<StandIn>>,
}

/// A completion report as the platform's protocol has it.
#[derive(Deserialize)]
struct CompletionReport {
    id: String,
    status: String,
    #[serde(default, rename = "again_ms")]
    retry_after_ms: Option<f64>,
}

impl CompletionReport {
    /// The submission that it is about, by the oracle's number.
    fn submission(&self) -> Result<u64, BadReport> {
        let number = self.id.strip_prefix('p');
        let number = number.and_then(|number| number.parse().ok());
        number.ok_or_else(|| BadReport::UnknownMessage {
            id: self.id.clone(),
        })
    }

    fn answer(&self) -> Result<FinalAnswer, BadReport> {
        match self.status.as_str() {
            "undeliverable" => Ok(FinalAnswer::Failed),
            "deferred" => Ok(FinalAnswer::Rejected),
            other => Err(BadReport::UnknownStatus {
                status: other.to_owned(),
            }),
        }
    }

    fn retry_after(&self) -> Option<Micros> {
        self.retry_after_ms.map(|ms| (ms * 1e3) as Micros)
    }
}

impl Agent {
    /// Starts the agent of a forwarder at this port; 0 for any free one.
    pub async fn start(
        stage: &Arc<Stage>,
        forwarder: u32,
        stand_ins: &[Arc<StandIn>],
        port: u16,
    ) -> io::Result<Arc<Agent>> {
        let port = Port::hold(port)?;
        let listener = port.listen()?;
        let members = stand_ins.iter().enumerate();
        let members = members.map(|(endpoint, stand_in)| {
            let key = (endpoint, stand_in.holder());
            (key, Phase::Ready)
        });
        let list = ListState {
            revision: 1,
            members: members.collect(),
            changes: Vec::new(),
            complete_from: 1,
        };
        let agent = Arc::new(Agent {
            address: port.address,
            forwarder,
            list: Mutex::new(list),
            revision: watch::Sender::new(1),
            stand_ins: stand_ins.to_vec(),
        });
        tokio::spawn(agent.clone().accept(stage.clone(), listener));
        Ok(agent)
    }

    async fn accept(self: Arc<Agent>, stage: Arc<Stage>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let conn = Conn::new(stream);
            tokio::spawn(self.clone().serve(stage.clone(), conn));
        }
    }

    async fn serve(self: Arc<Agent>, stage: Arc<Stage>, mut conn: Conn) {
        while let Ok(Some(request)) = conn.request().await {
            if self.answer(&stage, &mut conn, request).await.is_err() {
                return;
            }
        }
    }

    fn list(&self) -> MutexGuard<'_, ListState> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discovery sends changes of the list.
    pub fn apply_changes(&self, changes: &[ListChange]) {
        let mut list = self.list();
        list.add_changes(changes);
        self.revision.send_replace(list.revision);
    }

    /// Discovery sends the complete list.
    pub fn replace_list(&self, members: ListMembers) {
        let mut list = self.list();
        list.replace(members);
        self.revision.send_replace(list.revision);
    }

    /// A member of the list as the platform's protocol has it.
    fn member(&self, stage: &Stage, change: &ListChange) -> Value {
        let ListChange {
            endpoint,
            holder,
            phase,
        } = change;
        let place = stage.layout.endpoints[*endpoint];
        let group = &stage.scenario.destinations[place.group_index];
        let zone = ZONES[usize::from(place.zone) % ZONES.len()];
        let kind = match group.independent_limits {
            true => "apart",
            false => "shared",
        };
        let address = self.stand_ins[*endpoint].address.to_string();
        json!({"id": format!("t{endpoint}-{holder}"), "host_port": address, "locality": zone, "flavor": kind,
            "cell": place.destination, "phase": format!("{phase:?}"), "size": group.rate, "up_since_ms": 0})
    }

    /// The answer to a watch from a revision on. The oracle notes that the forwarder knows it from now on.
    fn list_since(&self, stage: &Stage, from: Option<u64>) -> String {
        let list = self.list();
        let complete = from.is_none_or(|from| from < list.complete_from);
        let entries = match complete {
            true => list.all(),
            false => list.since(from.unwrap_or(0)),
        };
        let members = entries.iter().map(|entry| self.member(stage, entry));
        let members: Vec<Value> = members.collect();
        let answer = json!({"revision": list.revision, "complete": complete, "members": members});
        drop(list);
        if complete && from.is_some() {
            self.notify_missing(stage, &entries);
        }
        self.notify_oracle(stage, &entries);
        answer.to_string()
    }

    /// The forwarder knows from now on that holders which a complete list does not name are gone.
    fn notify_missing(&self, stage: &Stage, entries: &[ListChange]) {
        let mut missing = Vec::new();
        for (endpoint, stand_in) in self.stand_ins.iter().enumerate() {
            for holder in 0..=stand_in.holder() {
                let is_this =
                    |entry: &ListChange| entry.endpoint == endpoint && entry.holder == holder;
                if !entries.iter().any(is_this) {
                    missing.push(ListChange {
                        endpoint,
                        holder,
                        phase: Phase::Gone,
                    });
                }
            }
        }
        self.notify_oracle(stage, &missing);
    }

    fn notify_oracle(&self, stage: &Stage, entries: &[ListChange]) {
        let now = stage.now();
        let mut state = stage.lock();
        for entry in entries {
            let ready = entry.phase == Phase::Ready;
            let (endpoint, holder) = (entry.endpoint, entry.holder);
            state
                .oracle
                .endpoint_status_notified(self.forwarder, endpoint, holder, ready, now);
        }
    }

    async fn answer(&self, stage: &Stage, conn: &mut Conn, request: HttpMessage) -> io::Result<()> {
        if request.method == "POST" && request.path == "/v1/outcomes" {
            return match self.take_reports(stage, &request.body) {
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
        let from = query_number(query, "index=");
        if let Some(from) = from {
            let wait = query_number(query, "wait=").unwrap_or(0);
            self.wait_for_change(from, wait).await;
        }
        let list = self.list_since(stage, from);
        conn.reply("200 OK", "", &list).await
    }

    /// Waits until the list has changed since a revision, for so long at most.
    async fn wait_for_change(&self, from: u64, wait_ms: u64) {
        let wait = Duration::from_millis(wait_ms.min(LONGEST_WATCH_MS));
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|revision| *revision > from);
        // Without a change the answer has no members.
        let _ = tokio::time::timeout(wait, changed).await;
    }

    /// Takes the completion reports of a request, a line each; none of them where a line is no report.
    fn take_reports(&self, stage: &Stage, body: &[u8]) -> Result<(), BadReport> {
        let lines = body.split(|byte| *byte == b'\n');
        let reports: Vec<CompletionReport> = lines
            .filter(|line| !line.is_empty())
            .map(serde_json::from_slice)
            .collect::<Result<_, _>>()?;
        let now = stage.now();
        for report in reports {
            if stage.alone {
                println!(
                    "notice to forwarder {}: {} {}",
                    self.forwarder, report.id, report.status
                );
                continue;
            }
            let submission = report.submission()?;
            let answer = report.answer()?;
            let mut state = stage.lock();
            // The same report comes again where its first answer was lost.
            if !state.oracle.already_reported(submission, answer) {
                state.ended(stage, submission, answer, report.retry_after(), 0, now);
            }
        }
        Ok(())
    }
}

/// The number after a name in a query.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut parts = query.split('&');
    parts.find_map(|part| part.strip_prefix(name))?.parse().ok()
}
