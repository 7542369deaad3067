//! Simulates the platform. Each forwarder has an agent that serves the endpoint list and receives completion reports.

use super::endpoints::StandInEndpoint;
use super::timeline::lock;
use super::wire::{HttpConnection, HttpMessage, ReservedPort};
use super::RunContext;
use crate::oracle::FinalAnswer;
use opalpulley::Micros;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Number of changes of the list that are kept for watches. A forwarder that is further behind gets the complete list.
const MAX_KEPT_CHANGES: usize = 256;
/// Upper bound on the wait of a watch, in ms.
const MAX_WATCH_MS: u64 = 60_000;
/// Name of the count of requests for the list that were received while discovery was down.
const UNANSWERED_LIST_REQUEST: &str = "list request: unanswered";
/// Names of the zones in the endpoint list, by zone number.
const ZONE_NAMES: [&str; 2] = ["a", "b"];

/// The phase of an endpoint in the endpoint list. The names of the variants are the values in the platform's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The endpoint accepts calls.
    Ready,
    /// The endpoint drains.
    Terminating,
    /// The endpoint has been removed from the list.
    Gone,
}

/// An entry of the endpoint list, or a change of it.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// Index of the endpoint in the layout.
    pub endpoint_index: usize,
    /// Incarnation of the endpoint at its address, from 0.
    pub incarnation: u32,
    /// Phase of the endpoint from this change on.
    pub phase: Phase,
}

/// Phases by endpoint index and incarnation.
pub type ListMembers = BTreeMap<(usize, u32), Phase>;

/// The endpoint list that one agent serves.
struct ListState {
    revision: u64,
    members: ListMembers,
    /// Latest changes, oldest first, each with the revision that resulted from it. At most `MAX_KEPT_CHANGES`.
    changes: Vec<(u64, Vec<ListChange>)>,
    /// Oldest revision from which the kept changes lead to the present list.
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

    /// Returns an entry for each member of the list.
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

    /// Returns the kept changes that were made after a revision.
    fn changes_since(&self, from_revision: u64) -> Vec<ListChange> {
        let later = self
            .changes
            .iter()
            .filter(|(revision, _)| *revision > from_revision);
        later.flat_map(|(_, changes)| changes.clone()).collect()
    }
}

/// An error in a request with completion reports. Its text is the body of the response.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    /// A line could not be parsed as a completion report.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The id of the report doesn't belong to a submission of the laboratory.
    #[error("{id}: nobody handed that in")]
    UnknownSubmission { id: String },
    /// The status of the report is unknown to the platform.
    #[error("{status}: no such status")]
    UnknownStatus { status: String },
}

/// The platform's agent for one forwarder: discovery, and the receiver of completion reports.
pub struct PlatformAgent {
    /// Address at which the agent listens.
    pub address: SocketAddr,
    forwarder: u32,
    list: Mutex<ListState>,
    /// Revision of the list, on which watches wait.
    revision: watch::Sender<u64>,
    /// Whether requests for the list stay unanswered.
    silent: AtomicBool,
    /// The complete list as the forwarder knew it last, in the format of the platform's protocol.
    known_list: Mutex<Option<Value>>,
    stand_ins: Vec<Arc<StandInEndpoint>>,
}

/// A completion report in the format of the platform's protocol.
#[derive(Deserialize)]
struct CompletionReport {
    id: String,
    status: String,
    #[serde(default, rename = "again_ms")]
    retry_after_ms: Option<f64>,
}

impl CompletionReport {
    /// Returns the number of the submission that the report is about. Fails if the laboratory did not assign the id.
    fn submission(&self) -> Result<u64, ReportError> {
        let number = self.id.strip_prefix('p');
        let number = number.and_then(|number| number.parse().ok());
        number.ok_or_else(|| ReportError::UnknownSubmission {
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
    /// Starts the agent of a forwarder on a loopback port; port 0 selects a free one. Fails if the port can't be reserved.
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
            silent: AtomicBool::new(false),
            known_list: Mutex::new(None),
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

    /// Sets whether requests for the list stay unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    /// Returns the complete list as the forwarder knew it last.
    pub fn known_list(&self) -> Option<Value> {
        lock(&self.known_list).clone()
    }

    /// Applies changes to the list and wakes the watches.
    pub fn apply_changes(&self, changes: &[ListChange]) {
        let mut list = self.lock_list();
        list.add_changes(changes);
        self.revision.send_replace(list.revision);
    }

    /// Replaces the complete list and wakes the watches.
    pub fn replace_list(&self, members: ListMembers) {
        let mut list = self.lock_list();
        list.replace(members);
        self.revision.send_replace(list.revision);
    }

    /// Returns a member of the list in the format of the platform's protocol.
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

    /// Returns the response to a request for the list, or to a watch from a revision on. The oracle records that the forwarder
    /// knows these entries from now on.
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
        let all_members = list.all_entries();
        let all_members = all_members.iter().map(|entry| self.member(context, entry));
        let known_list = json!({"revision": list.revision, "complete": true, "members": all_members.collect::<Vec<_>>()});
        lock(&self.known_list).replace(known_list);
        drop(list);
        if complete && from_revision.is_some() {
            self.notify_oracle_of_removed(context, &entries);
        }
        self.notify_oracle(context, &entries);
        response.to_string()
    }

    /// Notifies the oracle that the forwarder now knows of the removal of each incarnation that the complete list lacks.
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
        if self.is_silent() {
            count_unanswered_request(context);
            return wait_until_closed(conn).await;
        }
        let list = self.list_response(context, from_revision);
        conn.respond("200 OK", "", &list).await
    }

    /// Waits until the list has changed since a revision, for at most `wait_ms` and at most [`MAX_WATCH_MS`].
    async fn wait_for_change(&self, from_revision: u64, wait_ms: u64) {
        let timeout = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let mut revision = self.revision.subscribe();
        let changed = revision.wait_for(|revision| *revision > from_revision);
        // On a timeout the response has no members.
        let _ = tokio::time::timeout(timeout, changed).await;
    }

    /// Records the completion reports of a request, one per line. Records none of them if a line can't be parsed; fails at the
    /// first report with an unknown id or status.
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
                    "completion report received: forwarder {} id {} status {}",
                    self.forwarder, report.id, report.status
                );
                continue;
            }
            let submission = report.submission()?;
            let answer = report.final_answer()?;
            let mut state = context.lock_state();
            // A forwarder repeats a report if it did not get the response to the first one.
            if !state.oracle.already_reported(submission, answer) {
                state.submission_ended(context, submission, answer, report.retry_after(), 0, now);
            }
        }
        Ok(())
    }
}

fn count_unanswered_request(context: &RunContext) {
    let mut state = context.lock_state();
    state.tally.count_outcome(UNANSWERED_LIST_REQUEST);
}

/// Leaves a request unanswered until the forwarder closes its connection, and fails then.
async fn wait_until_closed(conn: &mut HttpConnection) -> io::Result<()> {
    while conn.read_request().await?.is_some() {}
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// Returns the numeric value of a query parameter; `name` includes the equals sign.
fn query_parameter(query: &str, name: &str) -> Option<u64> {
    let mut parts = query.split('&');
    parts.find_map(|part| part.strip_prefix(name))?.parse().ok()
}
