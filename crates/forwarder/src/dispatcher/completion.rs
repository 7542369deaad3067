//! The final answers to messages, and the completion reports that tell the platform of them.

use super::Dispatcher;
use crate::commands::PendingCompletionReport;
use crate::protocol::Ending;
use opalpulley::{Event, MessageId};
use slog::error;

impl Dispatcher {
    /// Ends a message without delivery. The platform gets a completion report.
    pub(super) fn end_with_report(&mut self, id: MessageId, ending: Ending) {
        let Some(message) = self.in_flight.get_undecided(id) else {
            return;
        };
        message.ending_decided = true;
        let is_ordered = message.submitted.order_key.is_some();
        let report = PendingCompletionReport {
            serial: message.serial,
            request_id: message.submitted.request_id.clone(),
            ending,
        };
        let written = self.journal.report_pending(report.serial, ending);
        self.log_journal_error(written);
        self.send_report(report, is_ordered.then_some(id));
        self.in_flight.remove_if_finished(id);
    }

    /// Ends a message whose client needs no completion report: it gets the answer itself, or has left.
    pub(super) fn end_without_report(&mut self, id: MessageId) {
        let Some(message) = self.in_flight.get_undecided(id) else {
            return;
        };
        message.ending_decided = true;
        let serial = message.serial;
        let written = self.journal.ended(serial);
        self.log_journal_error(written);
        self.in_flight.remove_if_finished(id);
    }

    /// Sends a completion report until the platform acknowledges it. `ordered` is the message's id where the core
    /// waits for the acknowledgement.
    pub(super) fn send_report(
        &mut self,
        report: PendingCompletionReport,
        ordered_message: Option<MessageId>,
    ) {
        let already_pending = self
            .pending_reports
            .insert(report.serial, ordered_message)
            .is_some();
        if already_pending {
            return;
        }
        if self.completion_reports.send(report).is_err() {
            error!(
                self.log,
                "completion report delayed until the next start: the reporting actor has ended"
            );
        }
    }

    /// The platform has a completion report: nothing of its message needs to survive any more.
    pub(super) fn handle_report_acknowledgement(&mut self, serial: u64) {
        let ordered_message = self.pending_reports.remove(&serial).flatten();
        let written = self.journal.ended(serial);
        self.log_journal_error(written);
        if let Some(id) = ordered_message {
            self.handle_event(Event::FinalAnswerAcknowledged { id });
        }
    }
}
