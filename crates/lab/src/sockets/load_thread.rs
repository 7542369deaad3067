//! The load tool: an open loop. A message is submitted when it is due, whatever became of those before; how late that was is
//! part of the result.

use super::clients::ForwarderClient;
use super::submissions::{submit, ClientPool};
use super::{ClientMessage, Resubmission, RunContext};
use crate::load::{DueMessage, Loads};
use opalpulley::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Messages that are submitted before other tasks run.
const SUBMISSIONS_PER_YIELD: usize = 32;

/// The load tool's own thread: submissions under way can't keep it from the next message's time. Dropped, it stops.
pub(crate) struct LoadThread {
    _stop: oneshot::Sender<()>,
}

/// Starts the thread. What it submits goes on in the runtime that this is called from.
pub(crate) fn start(
    context: Arc<RunContext>,
    clients: Vec<Arc<ForwarderClient>>,
    loads: Loads,
    resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    begins_at: Micros,
) -> io::Result<LoadThread> {
    let (stop, stopped) = oneshot::channel::<()>();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let schedule = SubmissionSchedule {
        context,
        clients: ClientPool::new(clients),
        loads,
        next_due: None,
        resubmissions,
        pending_resubmissions: BinaryHeap::new(),
        begins_at,
        submission_runtime: Handle::current(),
    };
    std::thread::Builder::new()
        .name("load".into())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = schedule.run() => {}
                    _ = stopped => {}
                }
            });
        })?;
    Ok(LoadThread { _stop: stop })
}

/// What is to be submitted, and when.
struct SubmissionSchedule {
    context: Arc<RunContext>,
    clients: Arc<ClientPool>,
    loads: Loads,
    /// The next message of the load.
    next_due: Option<DueMessage>,
    resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    /// Messages to submit again, by time.
    pending_resubmissions: BinaryHeap<Reverse<(Micros, u64)>>,
    /// When the load begins.
    begins_at: Micros,
    /// The runtime in which submissions go on.
    submission_runtime: Handle,
}

impl SubmissionSchedule {
    /// Submits every message when it is due, and again those that were rejected.
    async fn run(mut self) {
        let mut submitted_count = 0;
        self.next_due = self.loads.next();
        loop {
            let Some(at) = self.next_due_time() else {
                match self.resubmissions.recv().await {
                    Some(resubmission) => self.add_resubmission(resubmission),
                    None => return,
                }
                continue;
            };
            if at > self.context.now() {
                self.wait_until(at).await;
                continue;
            }
            if let Some(message_number) = self.take_due(at) {
                let submission = submit(self.context.clone(), self.clients.clone(), message_number);
                self.submission_runtime.spawn(submission);
            }
            submitted_count += 1;
            if submitted_count % SUBMISSIONS_PER_YIELD == 0 {
                tokio::task::yield_now().await;
            }
        }
    }

    /// When the next message is due, or is to be submitted again.
    fn next_due_time(&self) -> Option<Micros> {
        let due = self.next_due.as_ref().map(|due| due.at + self.begins_at);
        due.into_iter().chain(self.next_resubmission()).min()
    }

    fn next_resubmission(&self) -> Option<Micros> {
        let Reverse((at, _)) = self.pending_resubmissions.peek()?;
        Some(*at)
    }

    fn add_resubmission(&mut self, resubmission: Resubmission) {
        let Resubmission { message_number, at } = resubmission;
        self.pending_resubmissions
            .push(Reverse((at, message_number)));
    }

    /// Waits until then, or until a message is rejected: it may have to be submitted before.
    async fn wait_until(&mut self, at: Micros) {
        tokio::select! {
            () = tokio::time::sleep_until(self.context.instant_at(at)) => {}
            Some(resubmission) = self.resubmissions.recv() => self.add_resubmission(resubmission),
        }
    }

    /// The message that is due at this time: one to submit again, else the next of the load.
    fn take_due(&mut self, at: Micros) -> Option<u64> {
        if self.next_resubmission().is_some_and(|time| time <= at) {
            let Reverse((_, message_number)) = self.pending_resubmissions.pop()?;
            return Some(message_number);
        }
        let mut due = self.next_due.take()?;
        self.next_due = self.loads.next();
        due.at += self.begins_at;
        Some(record_due_message(&self.context, due))
    }
}

/// Notes a message that is due; gives its number.
fn record_due_message(context: &RunContext, due: DueMessage) -> u64 {
    let now = context.now();
    let mut state = context.lock_state();
    let message_number = state.next_message_number;
    state.next_message_number += 1;
    state.tally.due(due.at, due.class);
    let lateness = now.saturating_sub(due.at);
    state.load_lateness.saturating_record(lateness.max(1));
    let message = ClientMessage {
        deadline: due.at + due.time_left,
        resubmissions_left: due.resubmissions,
        resubmitted: false,
        forwarder_unresponsive: false,
        submission_count: 0,
        due,
    };
    state.messages.insert(message_number, message);
    message_number
}
