//! The actor that gets the endpoint list: it fetches the complete list once, then watches for changes by long polls.
//!
//! Where discovery reports changes by itself, the actor polls at once again after each answer. Where discovery must be
//! polled, each poll has a cost: the actor polls only when the dispatcher asks for it, and reports each failure.

use super::table::EndpointTable;
use crate::commands::{DispatcherCommand, EndpointListCommand};
use crate::platform::{PlatformClient, PlatformError, PlatformResponse, Reachability};
use crate::protocol::{list_path, EndpointListDocument};
use hyper::{Method, StatusCode};
use opalpulley::{EndpointListUpdate, Event, MAX_POLL_SILENCE};
use opalpulley_config::Names;
use slog::{info, warn, Logger};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long the agent may wait for a change before it answers a watch. A watch that has fallen silent is noticed soon
/// after.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// How long an answer may take, beyond the wait that was asked for. The agent is on the same machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The same as [`WATCH_WAIT`] where discovery must be polled. The next poll comes later there, so that silence must be
/// noticed sooner.
const POLLED_WATCH_WAIT: Duration = Duration::from_secs(2);

/// The same as [`ANSWER_TIMEOUT`] where discovery must be polled. The core counts on the sum of the wait and this.
const POLLED_ANSWER_TIMEOUT: Duration =
    Duration::from_micros(MAX_POLL_SILENCE).saturating_sub(POLLED_WATCH_WAIT);

/// How long a poll that timed out goes on in the background: longer than any poll that is made meanwhile.
const LATE_POLL_TIMEOUT: Duration = Duration::from_secs(7);

/// The pause after a failed poll, unless it timed out: shorter than the time after which a watch is opened anew.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// The actor that gets the endpoint list.
pub struct EndpointListWatch {
    /// A connection to the platform's agent.
    pub platform: PlatformClient,
    /// The address of the agent. Each change counts at once.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The names of zones and kinds in the settings.
    pub names: Names,
    /// The list as it is known.
    pub table: EndpointTable,
    /// Whether discovery must be polled. Otherwise it reports changes by itself.
    pub must_be_polled: bool,
    /// The mailbox of the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// Where failures are logged.
    pub log: Logger,
}

type PollResult = Result<EndpointListDocument, PlatformError>;

/// A poll in flight. It returns the connection that it used.
type PollInFlight = Pin<Box<dyn Future<Output = (PlatformClient, PollResult)> + Send>>;

/// What is to be polled, and what is in flight.
struct WatchState {
    /// Whether changes are to be watched.
    watch_wanted: bool,
    /// Whether the complete list is to be fetched.
    fetch_wanted: bool,
    /// Whether the latest poll succeeded. Only changes are logged.
    reachability: Reachability,
    /// A poll that timed out. It is dropped once a later one succeeds, or times out and takes its place. An overloaded
    /// discovery answers late. Dropping its answers and polling again would add load without ever getting one in time.
    late_poll: Option<PollInFlight>,
}

impl WatchState {
    fn handle_command(&mut self, command: EndpointListCommand) {
        match command {
            EndpointListCommand::StartWatch => self.watch_wanted = true,
            EndpointListCommand::StopWatch => self.watch_wanted = false,
            EndpointListCommand::Fetch => self.fetch_wanted = true,
        }
    }

    fn poll_wanted(&self) -> bool {
        self.watch_wanted || self.fetch_wanted
    }

    /// The answer to the poll that timed out. Never ready where there is none.
    async fn late_answer(&mut self) -> PollResult {
        let Some(poll) = &mut self.late_poll else {
            return std::future::pending().await;
        };
        let (_, result) = poll.await;
        self.late_poll = None;
        result
    }
}

/// What one poll asks for.
struct PollRequest {
    /// The revision after which changes are asked for, and how long the agent may wait for one. None: the complete
    /// list.
    watch: Option<(u64, Duration)>,
    /// How long the whole answer may take.
    timeout: Duration,
}

impl PollRequest {
    /// Whether something else is wanted by now.
    fn is_superseded(&self, state: &WatchState) -> bool {
        let fetch_instead_of_watch = state.fetch_wanted && self.watch.is_some();
        fetch_instead_of_watch || !state.poll_wanted()
    }
}

/// How a poll ended.
enum PollEnd {
    /// It was answered, has failed or has timed out.
    Finished(PollResult),
    /// Something else is wanted by now, or from another address.
    Superseded,
}

/// Nobody needs the list any more: the dispatcher has ended.
struct Stopped;

impl EndpointListWatch {
    /// Runs until the dispatcher ends.
    pub async fn run(mut self, mut commands: mpsc::Receiver<EndpointListCommand>) {
        // Where discovery must be polled, a known list is not fetched again: a watch gets what has changed since.
        let fetch_wanted = !self.must_be_polled || self.table.revision.is_none();
        let mut state = WatchState {
            watch_wanted: !self.must_be_polled,
            fetch_wanted,
            reachability: Reachability::Reachable,
            late_poll: None,
        };
        while self.step(&mut state, &mut commands).await.is_ok() {}
    }

    /// Makes one poll and handles its answer. If no poll is wanted, handles the next command, change of address or late
    /// answer.
    async fn step(
        &mut self,
        state: &mut WatchState,
        commands: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Result<(), Stopped> {
        if !state.poll_wanted() {
            return self.wait(state, commands).await;
        }
        match self.poll(state, commands).await? {
            PollEnd::Finished(Ok(document)) => {
                state.fetch_wanted = false;
                state.late_poll = None;
                self.apply(state, document).await
            }
            PollEnd::Finished(Err(problem)) => self.poll_failed(state, problem).await,
            PollEnd::Superseded => Ok(()),
        }
    }

    /// Handles one command, change of address or late answer.
    async fn wait(
        &mut self,
        state: &mut WatchState,
        commands: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Result<(), Stopped> {
        tokio::select! {
            command = commands.recv() => state.handle_command(command.ok_or(Stopped)?),
            Ok(()) = self.discovery.changed() => self.address_changed(state),
            late = state.late_answer() => self.apply_late(state, late).await?,
        }
        Ok(())
    }

    /// Makes one poll. Where discovery must be polled, one that times out goes on in the background.
    async fn poll(
        &mut self,
        state: &mut WatchState,
        commands: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Result<PollEnd, Stopped> {
        let request = self.next_request(state);
        let mut poll = self.start_poll(&request);
        let timeout = tokio::time::sleep(request.timeout);
        tokio::pin!(timeout);
        // A command that does not supersede the poll leaves it alone: starting it again would cost it twice.
        loop {
            tokio::select! {
                (platform, result) = &mut poll => {
                    self.platform = platform;
                    return Ok(PollEnd::Finished(result));
                }
                () = &mut timeout => {
                    if self.must_be_polled {
                        state.late_poll = Some(poll);
                    } else {
                        state.late_poll = None;
                    }
                    return Ok(PollEnd::Finished(Err(PlatformError::Timeout)));
                }
                command = commands.recv() => state.handle_command(command.ok_or(Stopped)?),
                Ok(()) = self.discovery.changed() => {
                    self.address_changed(state);
                    return Ok(PollEnd::Superseded);
                }
                late = state.late_answer() => self.apply_late(state, late).await?,
            }
            if request.is_superseded(state) {
                return Ok(PollEnd::Superseded);
            }
        }
    }

    fn next_request(&self, state: &WatchState) -> PollRequest {
        // Where discovery must be polled, a fetch may take as long as a watch: giving it up would waste its cost.
        let (wait, answer_timeout, fetch_timeout) = if self.must_be_polled {
            let longest = POLLED_WATCH_WAIT + POLLED_ANSWER_TIMEOUT;
            (POLLED_WATCH_WAIT, POLLED_ANSWER_TIMEOUT, longest)
        } else {
            (WATCH_WAIT, ANSWER_TIMEOUT, ANSWER_TIMEOUT)
        };
        match self.table.revision {
            Some(revision) if !state.fetch_wanted => PollRequest {
                watch: Some((revision, wait)),
                timeout: wait + answer_timeout,
            },
            _ => PollRequest {
                watch: None,
                timeout: fetch_timeout,
            },
        }
    }

    /// Starts a poll on the connection. A new one to the same address takes its place, until the poll returns it.
    fn start_poll(&mut self, request: &PollRequest) -> PollInFlight {
        let path = list_path(request.watch);
        let timeout = if self.must_be_polled {
            LATE_POLL_TIMEOUT
        } else {
            request.timeout
        };
        let substitute = self.platform.clone_without_connection();
        let mut platform = std::mem::replace(&mut self.platform, substitute);
        Box::pin(async move {
            let answer = platform
                .request(Method::GET, &path, Default::default(), timeout)
                .await;
            let result = answer.and_then(decode_list);
            (platform, result)
        })
    }

    /// Applies a document to the table, and tells the dispatcher what has changed.
    async fn apply(
        &mut self,
        state: &mut WatchState,
        document: EndpointListDocument,
    ) -> Result<(), Stopped> {
        if state.reachability.update(Reachability::Reachable) {
            info!(self.log, "endpoint list received again"; "revision" => document.revision);
        }
        match self.table.apply(document, &self.names) {
            Some(update) => self.send(update).await,
            None => Ok(()),
        }
    }

    /// Applies the answer to a poll that timed out, unless a later revision is known. The watch goes on from its
    /// revision, so that discovery need not answer another poll for it.
    async fn apply_late(
        &mut self,
        state: &mut WatchState,
        result: PollResult,
    ) -> Result<(), Stopped> {
        // The failure was reported when the poll timed out.
        let Ok(document) = result else {
            return Ok(());
        };
        let is_outdated = self
            .table
            .revision
            .is_some_and(|known| known > document.revision);
        if is_outdated {
            return Ok(());
        }
        state.watch_wanted = true;
        self.apply(state, document).await
    }

    /// Logs the first failure in a row. Where discovery must be polled, the core decides when to poll again.
    async fn poll_failed(
        &mut self,
        state: &mut WatchState,
        problem: PlatformError,
    ) -> Result<(), Stopped> {
        if state.reachability.update(Reachability::Unreachable) {
            warn!(self.log, "endpoint list poll failed"; "problem" => %problem);
        }
        if self.must_be_polled {
            state.watch_wanted = false;
            state.fetch_wanted = false;
            self.send(EndpointListUpdate::Failed).await?;
        }
        // After a timeout there is no further pause: it would delay the news that endpoints are draining.
        if !matches!(problem, PlatformError::Timeout) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    }

    async fn send(&self, update: EndpointListUpdate) -> Result<(), Stopped> {
        let event = DispatcherCommand::Event(Event::EndpointListUpdated(update));
        self.dispatcher.send(event).await.map_err(|_| Stopped)
    }

    /// Goes on at the new address. It counts revisions of its own, so that the complete list is fetched there. Until it
    /// is known, the list from the old address stays.
    fn address_changed(&mut self, state: &mut WatchState) {
        let address = *self.discovery.borrow_and_update();
        self.platform.set_address(address);
        self.table.revision = None;
        state.fetch_wanted = true;
        state.late_poll = None;
    }
}

fn decode_list(answer: PlatformResponse) -> PollResult {
    if answer.status != StatusCode::OK {
        return Err(PlatformError::Status(answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(PlatformError::Decode)
}

#[cfg(test)]
mod tests;
