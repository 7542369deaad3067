//! Completion reports to the platform, repeated until it has acknowledged them.

use crate::commands::{DispatcherCommand, PendingReport};
use crate::platform::{Platform, PlatformError};
use crate::protocol::{encode_completion_reports, OUTCOMES};
use hyper::{Method, StatusCode};
use slog::{error, info, warn, Logger};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const MOST_LINES: usize = 200; // messages in one completion report: some 20 KB, under a third of a message's limit
const PATIENCE: Duration = Duration::from_millis(150); // for an answer: the agent answers at once, and a report may be 300 ms late
const LONGEST: Duration = Duration::from_secs(1); // the same after silences: an agent that is slow must be heard in the end
const AGAIN: Duration = Duration::from_millis(50); // between tries, after any answer but silence

pub struct CompletionReports {
    pub platform: Platform,
    /// Where the platform is told, from each change on.
    pub discovery: watch::Receiver<SocketAddr>,
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    pub log: Logger,
}

impl CompletionReports {
    /// The mailbox has no bound of its own: each entry is a message that takes room in the journal until it is heard.
    pub async fn run(mut self, mut mailbox: mpsc::UnboundedReceiver<PendingReport>) {
        let mut waiting: VecDeque<PendingReport> = VecDeque::new();
        let mut most = MOST_LINES;
        let mut down = false;
        let mut patience = PATIENCE;
        loop {
            if waiting.is_empty() {
                match mailbox.recv().await {
                    Some(pending_report) => waiting.push_back(pending_report),
                    None => return,
                }
            }
            while let Ok(pending_report) = mailbox.try_recv() {
                waiting.push_back(pending_report);
            }
            let lines = waiting.len().min(most);
            let text = encode_completion_reports(
                waiting
                    .iter()
                    .take(lines)
                    .map(|o| (o.request_id.as_str(), o.ending)),
            );
            let answer = tokio::select! {
                answer = self.platform.ask(Method::POST, OUTCOMES, text, patience) => answer,
                // What the old address has not answered for is told to the new one.
                Ok(()) = self.discovery.changed() => {
                    let address = *self.discovery.borrow_and_update();
                    self.platform.move_to(address);
                    continue;
                }
            };
            // Guards ends against a connection that has fallen silent, which is left soon, and against an agent that is only slow.
            let silent = matches!(answer, Err(PlatformError::OutOfTime));
            patience = if silent {
                LONGEST.min(2 * patience)
            } else {
                PATIENCE
            };
            match answer {
                Ok((StatusCode::NO_CONTENT, _)) => {
                    most = MOST_LINES;
                    if std::mem::take(&mut down) {
                        info!(self.log, "notices are heard again");
                    }
                    let heard = waiting.drain(..lines).map(|o| o.serial).collect();
                    if self
                        .dispatcher
                        .send(DispatcherCommand::ReportsAcknowledged(heard))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                // One line that can't be read must not keep back the others: they go one at a time.
                Ok((StatusCode::BAD_REQUEST, _)) if lines > 1 => most = 1,
                Ok((StatusCode::BAD_REQUEST, _)) => {
                    if let Some(pending_report) = waiting.pop_front() {
                        error!(self.log, "a notice is not understood"; "id" => pending_report.request_id);
                        if self
                            .dispatcher
                            .send(DispatcherCommand::ReportsAcknowledged(vec![
                                pending_report.serial,
                            ]))
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                }
                other => {
                    if !std::mem::replace(&mut down, true) {
                        let fault = other.map_or_else(
                            |fault| fault,
                            |(status, _)| PlatformError::Refused(status),
                        );
                        warn!(self.log, "notices are not heard"; "problem" => %fault);
                    }
                    if !silent {
                        tokio::time::sleep(AGAIN).await;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod golden_tests;
