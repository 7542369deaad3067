//! The actor that sends completion reports to the platform, and retries until the platform acknowledges them.

use crate::commands::{DispatcherCommand, PendingCompletionReport};
use crate::platform::{
    AgentAddress, PlatformClient, PlatformError, PlatformResponse, Reachability,
};
use crate::protocol::{encode_completion_reports, COMPLETION_REPORTS_PATH};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use slog::{error, info, warn, Logger};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Upper bound on the reports in one request. 200 reports take some 20 KB, less than a third of the size limit of a
/// message.
const MAX_BATCH_REPORTS: usize = 200;

/// Timeout of a request that follows no timeout. The agent responds at once, and a report may be 300 ms late.
const INITIAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Upper bound on the timeout of a request after repeated timeouts. The timeout grows so that the response of a slow
/// agent can arrive.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next request after a failed one. There is no delay after a timeout.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The actor that sends completion reports. It owns its connection to the platform's agent.
pub struct CompletionReporter {
    /// The client of the platform's agent.
    pub platform: PlatformClient,
    /// The address of the agent. A change cancels the request in flight.
    pub agent_address: watch::Receiver<AgentAddress>,
    /// The mailbox of the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// The logger for failures and recoveries of the exchange with the platform.
    pub log: Logger,
}

/// The dispatcher has ended, so that no report needs to be sent any more.
struct DispatcherEnded;

/// The reports that the platform has not acknowledged, and the state of sending them. Owned by the task of the reporter.
struct ReportQueue {
    /// The reports in the order in which the dispatcher sent them, the oldest first.
    unacknowledged: VecDeque<PendingCompletionReport>,
    /// Upper bound on the reports in the next request. 1 after the platform has rejected a batch, until it acknowledges
    /// a report.
    max_batch_reports: usize,
    /// Timeout of the next request.
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

    /// Moves all reports from the mailbox to the queue. Waits for a report if the queue is empty.
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

    /// Sets the timeout of the next request. A timeout doubles it, because the agent may only be slow. Any other result
    /// resets it, so that a connection that no longer responds is detected early.
    fn adapt_timeout(&mut self, response: &Result<PlatformResponse, PlatformError>) {
        self.response_timeout = match response {
            Err(PlatformError::Timeout) => MAX_RESPONSE_TIMEOUT.min(2 * self.response_timeout),
            _ => INITIAL_RESPONSE_TIMEOUT,
        };
    }
}

impl CompletionReporter {
    /// Runs until the dispatcher ends. The mailbox is not bounded itself. The journal bounds the number of reports: the
    /// message of each report takes space in it until the report is acknowledged.
    pub async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<PendingCompletionReport>) {
        let mut queue = ReportQueue::new();
        while queue.receive(&mut mailbox).await.is_ok() {
            if self.send_batch(&mut queue).await.is_err() {
                return;
            }
        }
    }

    /// Sends the oldest reports once and handles the response.
    async fn send_batch(&mut self, queue: &mut ReportQueue) -> Result<(), DispatcherEnded> {
        let batch_len = queue.unacknowledged.len().min(queue.max_batch_reports);
        let body = queue.encode(batch_len);
        let response = tokio::select! {
            response = self.platform.request(Method::POST, COMPLETION_REPORTS_PATH, body, queue.response_timeout) => response,
            // The reports stay in the queue: those that the old address did not acknowledge are sent to the new address.
            Ok(()) = self.agent_address.changed() => {
                let address = self.agent_address.borrow_and_update().address;
                self.platform.set_address(address);
                return Ok(());
            }
        };
        queue.adapt_timeout(&response);
        match response.map(|response| response.status) {
            Ok(StatusCode::NO_CONTENT) => self.handle_acknowledgement(queue, batch_len).await,
            // A report that the platform can't read must not block the other reports, so they are sent one by one.
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
            info!(
                self.log,
                "completion reports acknowledged by the platform again"
            );
        }
        let mut serials = Vec::with_capacity(batch_len);
        for report in queue.unacknowledged.drain(..batch_len) {
            info!(self.log, "completion report acknowledged"; "message" => report.request_id);
            serials.push(report.serial);
        }
        self.notify_acknowledged(serials).await
    }

    /// Drops a report that the platform can't read: it would reject a retry too.
    async fn drop_rejected_report(&self, queue: &mut ReportQueue) -> Result<(), DispatcherEnded> {
        let Some(report) = queue.unacknowledged.pop_front() else {
            return Ok(());
        };
        error!(self.log, "completion report dropped: the platform rejected it as unreadable"; "id" => report.request_id);
        self.notify_acknowledged(vec![report.serial]).await
    }

    /// Logs the first of consecutive failures, and waits for the retry delay. After a timeout there is no delay, because
    /// the request has waited already.
    async fn handle_failure(&self, queue: &mut ReportQueue, error: PlatformError) {
        if queue.reachability.update(Reachability::Unreachable) {
            warn!(self.log, "completion reports not acknowledged by the platform; they will be sent again"; "problem" => %error);
        }
        if !matches!(error, PlatformError::Timeout) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reports to the dispatcher that the reports with these serial numbers need not be sent any more. Fails if the
    /// dispatcher has ended.
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
