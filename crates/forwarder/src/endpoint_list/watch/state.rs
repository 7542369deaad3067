//! The polls of the endpoint list that are wanted, and the state of earlier ones.

use super::{PollInFlight, PollResult};
use crate::commands::EndpointListCommand;
use crate::platform::Reachability;
use tokio::time::Instant;

/// The polls that are wanted, and the state of earlier ones.
pub struct WatchState {
    /// Whether to watch for changes.
    pub watch_wanted: bool,
    /// Whether to fetch the complete list.
    pub fetch_wanted: bool,
    /// Whether the next watch of an unconfirmed list asks for an answer at once: the first one, and the one after a failure.
    pub confirmation_wanted: bool,
    /// Whether the latest poll succeeded. Only a change of this state is logged.
    pub reachability: Reachability,
    /// A poll that timed out and continues in the background. It is dropped once a later poll succeeds. An overloaded
    /// discovery responds late: dropping its responses and polling again would add load without ever getting a response
    /// in time.
    pub late_poll: Option<PollInFlight>,
    /// Time at which the list is suspended unless the agent, whose address has changed, sends one before.
    pub suspend_at: Option<Instant>,
}

impl WatchState {
    /// Returns the state before the first poll.
    pub fn new(watch_wanted: bool, fetch_wanted: bool) -> WatchState {
        WatchState {
            watch_wanted,
            fetch_wanted,
            confirmation_wanted: true,
            reachability: Reachability::Reachable,
            late_poll: None,
            suspend_at: None,
        }
    }

    /// Applies a command of the dispatcher.
    pub fn handle_command(&mut self, command: EndpointListCommand) {
        match command {
            EndpointListCommand::StartWatch => self.watch_wanted = true,
            EndpointListCommand::StopWatch => self.watch_wanted = false,
            EndpointListCommand::Fetch => self.fetch_wanted = true,
        }
    }

    /// Returns whether any poll is wanted.
    pub fn poll_wanted(&self) -> bool {
        self.watch_wanted || self.fetch_wanted
    }

    /// Lets a poll that timed out continue in the background. Where discovery must be polled, the latest such poll is kept,
    /// because the next one comes seconds later. Otherwise the oldest one is kept, so that polls that are repeated at short
    /// intervals leave an agent as long to respond as a single one.
    pub fn keep_late_poll(&mut self, poll: PollInFlight, must_be_polled: bool) {
        if must_be_polled || self.late_poll.is_none() {
            self.late_poll = Some(poll);
        }
    }

    /// Waits for the result of the poll that timed out. Never completes if there is no such poll.
    pub async fn late_result(&mut self) -> PollResult {
        let Some(poll) = &mut self.late_poll else {
            return std::future::pending().await;
        };
        let result = poll.await;
        self.late_poll = None;
        result
    }
}
