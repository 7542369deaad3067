//! The actor that gets the endpoint list. It fetches the complete list once and then watches for changes with long
//! polls.
//!
//! Where discovery reports changes by itself, the actor polls again right after each response. Where discovery must be
//! polled, each poll has a cost, so the actor polls only when the dispatcher requests it, and reports each failure to
//! the dispatcher.

mod poll_request;
mod state;

use super::table::EndpointTable;
use crate::clock::sleep_until;
use crate::commands::{DispatcherCommand, EndpointListCommand};
use crate::platform::{
    AgentAddress, PlatformClient, PlatformError, PlatformResponse, Reachability,
};
use crate::protocol::{list_path, EndpointListDocument};
use hyper::{Method, StatusCode};
use opalpulley::list_confirmation::NEW_AGENT_TIMEOUT;
use opalpulley::{EndpointListUpdate, Event};
use opalpulley_config::Names;
use poll_request::{PollRequest, PollTimeouts};
use slog::{info, warn, Logger};
use state::WatchState;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Delay after a failed poll, unless the poll timed out. It is shorter than the time after which a silent watch is
/// opened again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The actor that gets the endpoint list.
pub struct EndpointListWatch {
    /// The client of the platform's agent.
    pub platform: PlatformClient,
    /// The address of the agent. A change takes effect at once, also during a poll.
    pub agent_address: watch::Receiver<AgentAddress>,
    /// The names of zones and endpoint kinds in the settings.
    pub names: Names,
    /// The known list.
    pub table: EndpointTable,
    /// Whether discovery must be polled. Otherwise it reports changes by itself.
    pub must_be_polled: bool,
    /// The mailbox of the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// The logger for failed polls and for the recovery from them.
    pub log: Logger,
}

type PollResult = Result<EndpointListDocument, PlatformError>;

/// A poll in flight.
type PollInFlight = Pin<Box<dyn Future<Output = PollResult> + Send>>;

/// The way in which a poll ended.
enum PollOutcome {
    /// The poll got a response, failed or timed out.
    Finished(PollResult),
    /// The poll was dropped, because no poll, a fetch in place of a watch, or a poll of another address is wanted.
    Superseded,
}

/// The dispatcher has ended, so that the list is no longer needed.
struct DispatcherEnded;

impl EndpointListWatch {
    /// Runs the actor until the dispatcher ends.
    pub async fn run(mut self, mut commands: mpsc::Receiver<EndpointListCommand>) {
        // Where discovery must be polled, a known list is not fetched again, because a watch returns what has changed
        // since its revision.
        let fetch_wanted = !self.must_be_polled || self.table.revision.is_none();
        let watch_wanted = !self.must_be_polled;
        let mut state = WatchState::new(watch_wanted, fetch_wanted);
        while self.run_once(&mut state, &mut commands).await.is_ok() {}
    }

    /// Makes one poll and handles its result. If no poll is wanted, handles the next command, change of address or late
    /// result instead.
    async fn run_once(
        &mut self,
        state: &mut WatchState,
        commands: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Result<(), DispatcherEnded> {
        if !state.poll_wanted() {
            return self.handle_next_input(state, commands).await;
        }
        match self.poll(state, commands).await? {
            PollOutcome::Finished(Ok(document)) => {
                state.fetch_wanted = false;
                state.late_poll = None;
                self.apply_document(state, document).await
            }
            PollOutcome::Finished(Err(error)) => self.handle_poll_failure(state, error).await,
            PollOutcome::Superseded => Ok(()),
        }
    }

    /// Waits for one command, change of address or late result and handles it.
    async fn handle_next_input(
        &mut self,
        state: &mut WatchState,
        commands: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Result<(), DispatcherEnded> {
        let suspend_at = state.suspend_at;
        tokio::select! {
            command = commands.recv() => state.handle_command(command.ok_or(DispatcherEnded)?),
            Ok(()) = self.agent_address.changed() => self.handle_address_change(state),
            result = state.late_result() => self.apply_late_result(state, result).await?,
            () = sleep_until(suspend_at) => self.suspend_list(state).await?,
        }
        Ok(())
    }

    /// Makes one poll. A poll that times out may continue in the background.
    async fn poll(
        &mut self,
        state: &mut WatchState,
        commands: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Result<PollOutcome, DispatcherEnded> {
        let request = self.next_request(state);
        let mut poll = self.start_poll(&request);
        let timeout = tokio::time::sleep(request.timeout);
        tokio::pin!(timeout);
        // A command that does not supersede the poll leaves it in flight, because starting it again would double its
        // cost.
        loop {
            let suspend_at = state.suspend_at;
            tokio::select! {
                result = &mut poll => return Ok(PollOutcome::Finished(result)),
                () = &mut timeout => {
                    if request.continues_in_background() {
                        state.keep_late_poll(poll, self.must_be_polled);
                    }
                    return Ok(PollOutcome::Finished(Err(PlatformError::Timeout)));
                }
                command = commands.recv() => state.handle_command(command.ok_or(DispatcherEnded)?),
                Ok(()) = self.agent_address.changed() => {
                    self.handle_address_change(state);
                    return Ok(PollOutcome::Superseded);
                }
                result = state.late_result() => self.apply_late_result(state, result).await?,
                () = sleep_until(suspend_at) => self.suspend_list(state).await?,
            }
            if self.is_superseded(&request, state) {
                return Ok(PollOutcome::Superseded);
            }
        }
    }

    /// Returns the poll to make next.
    fn next_request(&self, state: &mut WatchState) -> PollRequest {
        let timeouts = PollTimeouts::new(self.must_be_polled);
        let Some(revision) = self.table.revision.filter(|_| !state.fetch_wanted) else {
            return timeouts.fetch(self.table.is_confirmed());
        };
        let confirmation_wanted = std::mem::take(&mut state.confirmation_wanted);
        // An answer without changes confirms the list as well.
        if confirmation_wanted && self.table.is_unconfirmed() {
            timeouts.changes_now(revision)
        } else {
            timeouts.watch(revision)
        }
    }

    fn start_poll(&self, request: &PollRequest) -> PollInFlight {
        let path = list_path(request.watch);
        let timeout = request.response_timeout;
        let platform = self.platform;
        Box::pin(async move {
            let response = platform
                .request(Method::GET, &path, Default::default(), timeout)
                .await;
            response.and_then(decode_document)
        })
    }

    /// Applies a document to the table and sends the resulting update to the dispatcher.
    async fn apply_document(
        &mut self,
        state: &mut WatchState,
        document: EndpointListDocument,
    ) -> Result<(), DispatcherEnded> {
        if state.reachability.update(Reachability::Reachable) {
            info!(self.log, "discovery poll succeeded after failures; endpoint list is up to date";
                "revision" => document.revision);
        }
        state.suspend_at = None;
        let was_unconfirmed = self.table.is_unconfirmed();
        let update = self.table.apply(document, &self.names);
        if self.table.is_unconfirmed() {
            // The answer has a lower revision than the cached list: discovery has started to count anew.
            state.fetch_wanted = true;
        } else if was_unconfirmed {
            info!(self.log, "cached endpoint list replaced by the list from discovery";
                "revision" => self.table.revision);
        }
        let Some(update) = update else {
            return Ok(());
        };
        info!(self.log, "endpoint list updated"; "revision" => self.table.revision);
        self.send_update(update).await
    }

    /// Applies the result of a poll that timed out, unless discovery has confirmed a later revision. The revision of a cached
    /// list does not count: discovery may have started to count anew. The watch continues from the revision of the result,
    /// so that discovery need not respond to another poll for it.
    async fn apply_late_result(
        &mut self,
        state: &mut WatchState,
        result: PollResult,
    ) -> Result<(), DispatcherEnded> {
        // The failure was already reported when the poll timed out.
        let Ok(document) = result else {
            return Ok(());
        };
        let known_revision = self.table.revision.unwrap_or(0);
        if self.table.is_confirmed() && known_revision > document.revision {
            return Ok(());
        }
        state.watch_wanted = true;
        if !self.must_be_polled {
            state.fetch_wanted = false;
        }
        self.apply_document(state, document).await
    }

    /// Logs the failure if the poll before it did not fail. Where discovery must be polled, reports the failure to the
    /// core, which decides when to poll again.
    async fn handle_poll_failure(
        &mut self,
        state: &mut WatchState,
        error: PlatformError,
    ) -> Result<(), DispatcherEnded> {
        if state.reachability.update(Reachability::Unreachable) {
            warn!(self.log, "endpoint list not updated: the poll failed"; "problem" => %error,
                "deliveries_wait" => !self.table.is_confirmed());
        }
        state.confirmation_wanted = true;
        if self.must_be_polled {
            state.watch_wanted = false;
            state.fetch_wanted = false;
            self.send_update(EndpointListUpdate::Failed).await?;
        }
        // After a timeout there is no further delay: it would postpone the news that endpoints are draining.
        if !matches!(error, PlatformError::Timeout) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Ok(())
    }

    /// Returns whether commands or results since the start of the poll have made it useless: no poll is wanted any more, a
    /// fetch is wanted in place of a watch, or an earlier fetch has got the list.
    fn is_superseded(&self, request: &PollRequest, state: &WatchState) -> bool {
        let is_fetch = request.watch.is_none();
        let fetch_replaces_watch = state.fetch_wanted && !is_fetch;
        let list_was_fetched =
            is_fetch && !self.must_be_polled && !state.fetch_wanted && self.table.is_confirmed();
        fetch_replaces_watch || list_was_fetched || !state.poll_wanted()
    }

    async fn send_update(&self, update: EndpointListUpdate) -> Result<(), DispatcherEnded> {
        let event = DispatcherCommand::Event(Event::EndpointListUpdated(update));
        self.dispatcher
            .send(event)
            .await
            .map_err(|_| DispatcherEnded)
    }

    async fn suspend_list(&self, state: &mut WatchState) -> Result<(), DispatcherEnded> {
        state.suspend_at = None;
        self.dispatcher
            .send(DispatcherCommand::SuspendEndpointList)
            .await
            .map_err(|_| DispatcherEnded)
    }

    /// Switches to the agent's new address. The agent there counts its own revisions, so the complete list is fetched
    /// again. The list from the previous address stays in use until then, for at most [`NEW_AGENT_TIMEOUT`].
    fn handle_address_change(&mut self, state: &mut WatchState) {
        let AgentAddress { address, set_at } = *self.agent_address.borrow_and_update();
        let has_new_agent = self.platform.set_address(address);
        if has_new_agent && self.table.is_confirmed() {
            state.suspend_at = Some(set_at + Duration::from_micros(NEW_AGENT_TIMEOUT));
        }
        self.table.revision = None;
        state.fetch_wanted = true;
        state.late_poll = None;
    }
}

fn decode_document(response: PlatformResponse) -> PollResult {
    if response.status != StatusCode::OK {
        return Err(PlatformError::Status(response.status));
    }
    serde_json::from_slice(&response.body).map_err(PlatformError::Decode)
}

#[cfg(test)]
mod tests;
