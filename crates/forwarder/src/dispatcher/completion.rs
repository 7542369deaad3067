//! Ends messages, and keeps track of the completion reports that pass final answers to the platform.

use super::{message_log, Dispatcher};
use crate::commands::PendingCompletionReport;
use crate::protocol::Ending;
use opalpulley::{Event, MessageId};
use slog::error;

impl Dispatcher {
    /// Ends a message that was not delivered, and sends its completion report to the platform. Does nothing if the
    /// ending is already decided.
    pub(super) fn end_with_report(&mut self, id: MessageId, ending: Ending) {
        let Some(message) = self.unfinished_messages.get_undecided(id) else {
            return;
        };
        message.ending_decided = true;
        message_log::ended(&self.log, message, ending);
        let is_ordered = message.submitted.order_key.is_some();
        let report = PendingCompletionReport {
            serial: message.serial,
            request_id: message.submitted.request_id.clone(),
            ending,
        };
        let written = self.journal.record_pending_report(report.serial, ending);
        self.log_journal_error(written);
        self.send_report(report, is_ordered.then_some(id));
        self.unfinished_messages.remove_if_possible(id);
    }

    /// Ends a message without a completion report, because its client gets the answer itself or has disconnected. Does
    /// nothing if the ending is already decided.
    pub(super) fn end_without_report(&mut self, id: MessageId) {
        let Some(message) = self.unfinished_messages.get_undecided(id) else {
            return;
        };
        message.ending_decided = true;
        let serial = message.serial;
        let written = self.journal.record_message_end(serial);
        self.log_journal_error(written);
        self.unfinished_messages.remove_if_possible(id);
    }

    /// Hands a completion report to the actor that sends it until the platform acknowledges it. `ordered_message` is the
    /// id of the message if the core waits for the acknowledgement. Does nothing if the report is already pending.
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
                "completion report deferred to the next start: the actor that sends reports has ended"
            );
        }
    }

    /// Handles the platform's acknowledgement of a completion report. The journal no longer needs to keep the message,
    /// and the core is notified if it waits for the acknowledgement.
    pub(super) fn handle_report_acknowledgement(&mut self, serial: u64) {
        let ordered_message = self.pending_reports.remove(&serial).flatten();
        let written = self.journal.record_message_end(serial);
        self.log_journal_error(written);
        if let Some(id) = ordered_message {
            self.handle_event(Event::FinalAnswerAcknowledged { id });
        }
    }
}
