//! The actor that sends completion reports to the platform, again and again until they are acknowledged.

use crate::commands::{DispatcherCommand, PendingCompletionReport};
use crate::platform::{Platform, PlatformAnswer, PlatformError, Reachability};
use crate::protocol::{encode_completion_reports, COMPLETION_REPORTS_PATH};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use slog::{error, info, warn, Logger};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Messages in one request at most: some 20 KB, less than a third of the limit of a message.
const MAX_LINES: usize = 200;

/// How long an answer may take at first. The agent answers at once, and a report may be 300 ms late.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest timeout after repeated timeouts: the answer of a slow agent must arrive at some time.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after a failed request, unless it timed out.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The actor that sends completion reports.
pub struct CompletionReports {
    /// A connection to the platform's agent.
    pub platform: Platform,
    /// The address of the agent. Each change counts at once.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The mailbox of the dispatcher.
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    /// Where failures are logged.
    pub log: Logger,
}

/// Nobody needs the reports any more: the dispatcher has ended.
struct Stopped;

/// The reports that are not acknowledged, and how they are sent.
struct ReportQueue {
    /// The oldest first.
    waiting: VecDeque<PendingCompletionReport>,
    /// Messages in the next request at most.
    max_lines: usize,
    /// How long the next answer may take.
    answer_timeout: Duration,
    /// Whether the latest request succeeded. Only changes are logged.
    reachability: Reachability,
}

impl ReportQueue {
    fn new() -> ReportQueue {
        ReportQueue {
            waiting: VecDeque::new(),
            max_lines: MAX_LINES,
            answer_timeout: ANSWER_TIMEOUT,
            reachability: Reachability::Reachable,
        }
    }

    /// Takes all reports from the mailbox, and waits for one where none is waiting.
    async fn receive(
        &mut self,
        mailbox: &mut mpsc::UnboundedReceiver<PendingCompletionReport>,
    ) -> Result<(), Stopped> {
        if self.waiting.is_empty() {
            let report = mailbox.recv().await.ok_or(Stopped)?;
            self.waiting.push_back(report);
        }
        while let Ok(report) = mailbox.try_recv() {
            self.waiting.push_back(report);
        }
        Ok(())
    }

    fn encode(&self, lines: usize) -> Bytes {
        let reports = self.waiting.iter().take(lines);
        encode_completion_reports(reports.map(|report| (report.request_id.as_str(), report.ending)))
    }

    /// A timeout doubles the next one: the agent may only be slow. Any answer resets it, so that a connection that falls
    /// silent is noticed soon.
    fn adapt_timeout(&mut self, answer: &Result<PlatformAnswer, PlatformError>) {
        self.answer_timeout = match answer {
            Err(PlatformError::Timeout) => MAX_ANSWER_TIMEOUT.min(2 * self.answer_timeout),
            _ => ANSWER_TIMEOUT,
        };
    }
}

impl CompletionReports {
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
    async fn send_batch(&mut self, queue: &mut ReportQueue) -> Result<(), Stopped> {
        let lines = queue.waiting.len().min(queue.max_lines);
        let body = queue.encode(lines);
        let answer = tokio::select! {
            answer = self.platform.request(Method::POST, COMPLETION_REPORTS_PATH, body, queue.answer_timeout) => answer,
            // Reports that the old address has not acknowledged are sent to the new one.
            Ok(()) = self.discovery.changed() => {
                let address = *self.discovery.borrow_and_update();
                self.platform.move_to(address);
                return Ok(());
            }
        };
        queue.adapt_timeout(&answer);
        match answer.map(|answer| answer.status) {
            Ok(StatusCode::NO_CONTENT) => self.batch_acknowledged(queue, lines).await,
            // One line that the platform can't read must not hold up the others: they are sent one by one.
            Ok(StatusCode::BAD_REQUEST) if lines > 1 => {
                queue.max_lines = 1;
                Ok(())
            }
            Ok(StatusCode::BAD_REQUEST) => self.drop_unreadable_report(queue).await,
            Ok(status) => {
                self.batch_failed(queue, PlatformError::Status(status))
                    .await;
                Ok(())
            }
            Err(problem) => {
                self.batch_failed(queue, problem).await;
                Ok(())
            }
        }
    }

    async fn batch_acknowledged(
        &self,
        queue: &mut ReportQueue,
        lines: usize,
    ) -> Result<(), Stopped> {
        queue.max_lines = MAX_LINES;
        if queue.reachability.set(Reachability::Reachable) {
            info!(self.log, "completion reports acknowledged again");
        }
        let acknowledged = queue.waiting.drain(..lines);
        let serials = acknowledged.map(|report| report.serial).collect();
        self.confirm(serials).await
    }

    /// Gives up a report that the platform can't read. Sending it again would not help.
    async fn drop_unreadable_report(&self, queue: &mut ReportQueue) -> Result<(), Stopped> {
        let Some(report) = queue.waiting.pop_front() else {
            return Ok(());
        };
        error!(self.log, "completion report rejected as unreadable"; "id" => report.request_id);
        self.confirm(vec![report.serial]).await
    }

    /// Logs the first failure in a row, and pauses. A request that timed out has waited already.
    async fn batch_failed(&self, queue: &mut ReportQueue, problem: PlatformError) {
        if queue.reachability.set(Reachability::Unreachable) {
            warn!(self.log, "completion reports not acknowledged"; "problem" => %problem);
        }
        if !matches!(problem, PlatformError::Timeout) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Tells the dispatcher that these reports need not be sent any more.
    async fn confirm(&self, serials: Vec<u64>) -> Result<(), Stopped> {
        let acknowledged = DispatcherCommand::CompletionReportsAcknowledged(serials);
        self.dispatcher
            .send(acknowledged)
            .await
            .map_err(|_| Stopped)
    }
}

#[cfg(test)]
mod golden_tests;
