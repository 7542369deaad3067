//! The platform as a forwarder sees it: an agent for each, which serves the endpoint list and takes completion reports.

use super::endpoints::StandInEndpoint;
use super::wire::{HttpConnection, HttpMessage, ReservedPort};
use super::RunContext;
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
const MAX_KEPT_CHANGES: usize = 256;
/// The longest wait of a watch, ms.
const MAX_WATCH_MS: u64 = 60_000;
/// The names of the zones.
const ZONE_NAMES: [&str; 2] = ["a", "b"];

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

/// What the list says of one incarnation of an endpoint's address.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The endpoint.
    pub endpoint_index: usize,
    /// The number of the incarnation.
    pub incarnation: u32,
    /// Its phase.
    pub phase: Phase,
}

/// Phases by endpoint and incarnation.
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
            let key = (change.endpoint_index, change.incarnation);
            if change.phase == Phase::Gone {
                self.members.remove(&key);
            } else {
                self.members.insert(key, change.phase);
            }
        }
        self.changes.push((self.revision, changes.to_vec()));
        if self.changes.len() > MAX_KEPT_CHANGES {
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
    fn all_entries(&self) -> Vec<ListChange> {
        let members = self.members.iter();
        members
            .map(|((endpoint_index, incarnation), phase)| ListChange {
                endpoint_index: *endpoint_index,
                incarnation: *incarnation,
                phase: *phase,
            })
            .collect()
    }

    /// What has changed since a revision.
    fn changes_since(&self, from_revision: u64) -> Vec<ListChange> {
        let later = self
            .changes
            .iter()
            .filter(|(revision, _)| *revision > from_revision);
        later.flat_map(|(_, changes)| changes.clone()).collect()
    }
}

/// Why completion reports were not accepted; the text is the body of the answer.
#[derive(Debug, thiserror::Error)]
enum ReportError {
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
pub struct PlatformAgent {
    /// Where it listens.
    pub address: SocketAddr,
    forwarder: u32,
    list: Mutex<ListState>,
    /// The list's revision, for watches.
    revision: watch::Sender<u64>,
    stand_ins: Vec<Arc<StandInEndpoint>>,
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
    fn submission(&self) -> Result<u64, ReportError> {
        let number = self.id.strip_prefix('p');
        let number = number.and_then(|number| number.parse().ok());
        number.ok_or_else(|| ReportError::UnknownMessage {
            id: self.id.clone(),
        })
    }

    fn final_answer(&self) -> Result<FinalAnswer, ReportError> {
        match self.status.as_str() {
            "undeliverable" => Ok(FinalAnswer::Failed),
            "deferred" => Ok(FinalAnswer::Rejected),
            other => Err(ReportError::UnknownStatus {
                status: other.to_owned(),
            }),
        }
    }

    fn retry_after(&self) -> Option<Micros> {
        self.retry_after_ms.map(|ms| (ms * 1e3) as Micros)
    }
}

impl PlatformAgent {
    /// Starts the agent of a forwarder at this port; 0 for any free one.
    pub async fn start(
        context: &Arc<RunContext>,
        forwarder: u32,
        stand_ins: &[Arc<StandInEndpoint>],
        port: u16,
    ) -> io::Result<Arc<PlatformAgent>> {
        let port = ReservedPort::reserve(port)?;
        let listener = port.listen()?;
        let members = stand_ins.iter().enumerate();
        let members = members.map(|(endpoint_index, stand_in)| {
            let key = (endpoint_index, stand_in.incarnation());
            (key, Phase::Ready)
        });
        let list = ListState {
            revision: 1,
            members: members.collect(),
            changes: Vec::new(),
            complete_from: 1,
        };
        let agent = Arc::new(PlatformAgent {
            address: port.address,
            forwarder,
            list: Mutex::new(list),
            revision: watch::Sender::new(1),
            stand_ins: stand_ins.to_vec(),
        });
        tokio::spawn(agent.clone().accept_connections(context.clone(), listener));
        Ok(agent)
    }

    async fn accept_connections(
        self: Arc<PlatformAgent>,
        context: Arc<RunContext>,
        listener: TcpListener,
    ) {
        while let Ok((stream, _)) = listener.accept().await {
            let conn = HttpConnection::new(stream);
            tokio::spawn(self.clone().serve_connection(context.clone(), conn));
        }
    }

    async fn serve_connection(
        self: Arc<PlatformAgent>,
        context: Arc<RunContext>,
        mut conn: HttpConnection,
    ) {
        while let Ok(Some(request)) = conn.read_request().await {
            if self.respond(&context, &mut conn, request).await.is_err() {
                return;
            }
        }
    }

    fn lock_list(&self) -> MutexGuard<'_, ListState> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Discovery sends changes of the list.
    pub fn apply_changes(&self, changes: &[ListChange]) {
        let mut list = self.lock_list();
        list.add_changes(changes);
        self.revision.send_replace(list.revision);
    }

    /// Discovery sends the complete list.
    pub fn replace_list(&self, members: ListMembers) {
        let mut list = self.lock_list();
        list.replace(members);
        self.revision.send_replace(list.revision);
    }

    /// A member of the list as the platform's protocol has it.
    fn member(&self, context: &RunContext, change: &ListChange) -> Value {
        let ListChange {
            endpoint_index,
            incarnation,
            phase,
        } = change;
        let layout_endpoint = context.layout.endpoints[*endpoint_index];
        let group = &context.scenario.destinations[layout_endpoint.group_index];
        let zone = ZONE_NAMES[usize::from(layout_endpoint.zone) % ZONE_NAMES.len()];
        let limits_scope = match group.independent_limits {
            true => "apart",
            false => "shared",
        };
        let address = self.stand_ins[*endpoint_index].address.to_string();
        json!({"id": format!("t{endpoint_index}-{incarnation}"), "host_port": address, "locality": zone, "flavor": limits_scope,
            "cell": layout_endpoint.destination, "phase": format!("{phase:?}"), "size": group.rate, "up_since_ms": 0})
    }

    /// The answer to a watch from a revision on. The oracle notes that the forwarder knows it from now on.
    fn list_response(&self, context: &RunContext, from_revision: Option<u64>) -> String {
        let list = self.lock_list();
        let complete = from_revision.is_none_or(|revision| revision < list.complete_from);
        let entries = match complete {
            true => list.all_entries(),
            false => list.changes_since(from_revision.unwrap_or(0)),
        };
        let members = entries.iter().map(|entry| self.member(context, entry));
        let members: Vec<Value> = members.collect();
        let response = json!({"revision": list.revision, "complete": complete, "members": members});
        drop(list);
        if complete && from_revision.is_some() {
            self.notify_oracle_of_removed(context, &entries);
        }
        self.notify_oracle(context, &entries);
        response.to_string()
    }

    /// The forwarder knows from now on that holders which a complete list does not name are gone.
    fn notify_oracle_of_removed(&self, context: &RunContext, entries: &[ListChange]) {
        let mut removed = Vec::new();
        for (endpoint_index, stand_in) in self.stand_ins.iter().enumerate() {
            for incarnation in 0..=stand_in.incarnation() {
                let is_same = |entry: &ListChange| {
                    entry.endpoint_index == endpoint_index && entry.incarnation == incarnation
                };
                if !entries.iter().any(is_same) {
                    removed.push(ListChange {
                        endpoint_index,
                        incarnation,
                        phase: Phase::Gone,
                    });
                }
            }
        }
        self.notify_oracle(context, &removed);
    }

    fn notify_oracle(&self, context: &RunContext, entries: &[ListChange]) {
        let now = context.now();
        let mut state = context.lock_state();
        for entry in entries {
            let ready = entry.phase == Phase::Ready;
            let (endpoint_index, incarnation) = (entry.endpoint_index, entry.incarnation);
            state.oracle.endpoint_status_notified(
                self.forwarder,
                endpoint_index,
                incarnation,
                ready,
                now,
            );
        }
    }

    async fn respond(
        &self,
        context: &RunContext,
        conn: &mut HttpConnection,
        request: HttpMessage,
    ) -> io::Result<()> {
        if request.method == "POST" && request.path == "/v1/outcomes" {
            return match self.record_reports(context, &request.body) {
                Ok(()) => conn.respond("204 No Content", "", "").await,
                Err(error) => {
                    let error = error.to_string();
                    conn.respond("400 Bad Request", "", &error).await
                }
            };
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if request.method != "GET" || path != "/discovery/hosts" {
            return conn.respond("404 Not Found", "", "").await;
        }
        let from_revision = query_parameter(query, "index=");
        if let Some(from_revision) = from_revision {
            let wait_ms = query_parameter(query, "wait=").unwrap_or(0);
            self.wait_for_change(from_revision, wait_ms).await;
        }
        let list = self.list_response(context, from_revision);
        conn.respond("200 OK", "", &list).await
    }

    /// Waits until the list has changed since a revision, for so long at most.
    async fn wait_for_change(&self, from_revision: u64, wait_ms: u64) {
        let timeout = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|revision| *revision > from_revision);
        // Without a change the answer has no members.
        let _ = tokio::time::timeout(timeout, changed).await;
    }

    /// Takes the completion reports of a request, a line each; none of them where a line is no report.
    fn record_reports(&self, context: &RunContext, body: &[u8]) -> Result<(), ReportError> {
        let lines = body.split(|byte| *byte == b'\n');
        let reports: Vec<CompletionReport> = lines
            .filter(|line| !line.is_empty())
            .map(serde_json::from_slice)
            .collect::<Result<_, _>>()?;
        let now = context.now();
        for report in reports {
            if context.without_oracle {
                println!(
                    "notice to forwarder {}: {} {}",
                    self.forwarder, report.id, report.status
                );
                continue;
            }
            let submission = report.submission()?;
            let answer = report.final_answer()?;
            let mut state = context.lock_state();
            // The same report comes again where its first answer was lost.
            if !state.oracle.already_reported(submission, answer) {
                state.submission_ended(context, submission, answer, report.retry_after(), 0, now);
            }
        }
        Ok(())
    }
}

/// The number after a name in a query.
fn query_parameter(query: &str, name: &str) -> Option<u64> {
    let mut parts = query.split('&');
    parts.find_map(|part| part.strip_prefix(name))?.parse().ok()
}
