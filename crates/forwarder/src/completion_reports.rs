//! The actor that sends completion reports to the platform, again and again until they are acknowledged.

use crate::commands::{DispatcherCommand, PendingCompletionReport};
use crate::platform::{PlatformClient, PlatformError, PlatformResponse, Reachability};
use crate::protocol::{encode_completion_reports, COMPLETION_REPORTS_PATH};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use slog::{error, info, warn, Logger};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Messages in one request at most: some 20 KB, less than a third of the limit of a message.
const MAX_BATCH_REPORTS: usize = 200;

/// How long an answer may take at first. The agent answers at once, and a report may be 300 ms late.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest timeout after repeated timeouts: the answer of a slow agent must arrive at some time.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed request, unless it timed out.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The actor that sends completion reports.
pub struct CompletionReporter {
    /// A connection to the platform's agent.
    pub platform: PlatformClient,
    /// The address of the agent. Each change counts at once.
    pub agent_address: watch::Receiver<SocketAddr>,
    /// The mailbox of the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// Where failures are logged.
    pub log: Logger,
}

/// Nobody needs the reports any more: the dispatcher has ended.
struct DispatcherEnded;

/// The reports that are not acknowledged, and how they are sent.
struct ReportQueue {
    /// The oldest first.
    unacknowledged: VecDeque<PendingCompletionReport>,
    /// Messages in the next request at most.
    max_batch_reports: usize,
    /// How long the next answer may take.
    response_timeout: Duration,
    /// Whether the latest request succeeded. Only changes are logged.
    reachability: Reachability,
}

impl ReportQueue {
    fn new() -> ReportQueue {
        ReportQueue {
            unacknowledged: VecDeque::new(),
            max_batch_reports: MAX_BATCH_REPORTS,
            response_timeout: INITIAL_RESPONSE_TIMEOUT,
            reachability: Reachability::Reachable,
        }
    }

    /// Takes all reports from the mailbox, and waits for one where none is waiting.
    async fn receive(
        &mut self,
        mailbox: &mut mpsc::UnboundedReceiver<PendingCompletionReport>,
    ) -> Result<(), DispatcherEnded> {
        if self.unacknowledged.is_empty() {
            let report = mailbox.recv().await.ok_or(DispatcherEnded)?;
            self.unacknowledged.push_back(report);
        }
        while let Ok(report) = mailbox.try_recv() {
            self.unacknowledged.push_back(report);
        }
        Ok(())
    }

    fn encode(&self, batch_len: usize) -> Bytes {
        let reports = self.unacknowledged.iter().take(batch_len);
        encode_completion_reports(reports.map(|report| (report.request_id.as_str(), report.ending)))
    }

    /// A timeout doubles the next one: the agent may only be slow. Any answer resets it, so that a connection that falls
    /// silent is noticed soon.
    fn adapt_timeout(&mut self, response: &Result<PlatformResponse, PlatformError>) {
        self.response_timeout = match response {
            Err(PlatformError::Timeout) => MAX_RESPONSE_TIMEOUT.min(2 * self.response_timeout),
            _ => INITIAL_RESPONSE_TIMEOUT,
        };
    }
}

impl CompletionReporter {
    /// Runs until the dispatcher ends. The mailbox has no bound of its own: each report is of a message that takes room
    /// in the journal until the report is acknowledged.
    pub async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<PendingCompletionReport>) {
        let mut queue = ReportQueue::new();
        while queue.receive(&mut mailbox).await.is_ok() {
            if self.send_batch(&mut queue).await.is_err() {
                return;
            }
        }
    }

    /// Sends the oldest reports once and handles the answer.
    async fn send_batch(&mut self, queue: &mut ReportQueue) -> Result<(), DispatcherEnded> {
        let batch_len = queue.unacknowledged.len().min(queue.max_batch_reports);
        let body = queue.encode(batch_len);
        let response = tokio::select! {
            response = self.platform.request(Method::POST, COMPLETION_REPORTS_PATH, body, queue.response_timeout) => response,
            // Reports that the old address has not acknowledged are sent to the new one.
            Ok(()) = self.agent_address.changed() => {
                let address = *self.agent_address.borrow_and_update();
                self.platform.set_address(address);
                return Ok(());
            }
        };
        queue.adapt_timeout(&response);
        match response.map(|response| response.status) {
            Ok(StatusCode::NO_CONTENT) => self.handle_acknowledgement(queue, batch_len).await,
            // One line that the platform can't read must not hold up the others: they are sent one by one.
            Ok(StatusCode::BAD_REQUEST) if batch_len > 1 => {
                queue.max_batch_reports = 1;
                Ok(())
            }
            Ok(StatusCode::BAD_REQUEST) => self.drop_rejected_report(queue).await,
            Ok(status) => {
                self.handle_failure(queue, PlatformError::Status(status))
                    .await;
                Ok(())
            }
            Err(error) => {
                self.handle_failure(queue, error).await;
                Ok(())
            }
        }
    }

    async fn handle_acknowledgement(
        &self,
        queue: &mut ReportQueue,
        batch_len: usize,
    ) -> Result<(), DispatcherEnded> {
        queue.max_batch_reports = MAX_BATCH_REPORTS;
        if queue.reachability.update(Reachability::Reachable) {
            info!(self.log, "completion reports acknowledged again");
        }
        let acknowledged = queue.unacknowledged.drain(..batch_len);
        let serials = acknowledged.map(|report| report.serial).collect();
        self.notify_acknowledged(serials).await
    }

    /// Gives up a report that the platform can't read. Sending it again would not help.
    async fn drop_rejected_report(&self, queue: &mut ReportQueue) -> Result<(), DispatcherEnded> {
        let Some(report) = queue.unacknowledged.pop_front() else {
            return Ok(());
        };
        error!(self.log, "completion report rejected as unreadable"; "id" => report.request_id);
        self.notify_acknowledged(vec![report.serial]).await
    }

    /// Logs the first failure in a row, and pauses. A request that timed out has waited already.
    async fn handle_failure(&self, queue: &mut ReportQueue, error: PlatformError) {
        if queue.reachability.update(Reachability::Unreachable) {
            warn!(self.log, "completion reports not acknowledged"; "problem" => %error);
        }
        if !matches!(error, PlatformError::Timeout) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Tells the dispatcher that these reports need not be sent any more.
    async fn notify_acknowledged(&self, serials: Vec<u64>) -> Result<(), DispatcherEnded> {
        let acknowledged = DispatcherCommand::CompletionReportsAcknowledged(serials);
        self.dispatcher
            .send(acknowledged)
            .await
            .map_err(|_| DispatcherEnded)
    }
}

#[cfg(test)]
mod golden_tests;
