//! The thread of the open-loop load generator. A message is submitted when it is due, independent of the outcome of earlier
//! messages. The lateness of the submissions is part of the result of a run.

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

/// Number of submissions after which the load generator yields to other tasks.
const SUBMISSIONS_PER_YIELD: usize = 32;

/// The thread of the load generator, which stops when this handle is dropped. It is separate from the runtime of the
/// submissions, so that submissions in progress can't delay the next message.
pub(crate) struct LoadThread {
    _stop: oneshot::Sender<()>,
}

/// Starts the thread of the load generator. The submissions run in the caller's runtime, so the caller must be inside one.
/// `begins_at` is the start of the load in µs on the run's clock. Fails if the thread or its runtime can't be created.
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

/// The schedule of submissions and resubmissions, owned by the thread of the load generator.
struct SubmissionSchedule {
    context: Arc<RunContext>,
    clients: Arc<ClientPool>,
    loads: Loads,
    /// Next message of the load; its time is relative to the start of the load.
    next_due: Option<DueMessage>,
    resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    /// Messages to resubmit, as time in µs and message number, earliest first.
    pending_resubmissions: BinaryHeap<Reverse<(Micros, u64)>>,
    /// Start of the load, in µs on the run's clock.
    begins_at: Micros,
    /// Runtime in which the submissions run.
    submission_runtime: Handle,
}

impl SubmissionSchedule {
    /// Submits each message when it is due, and resubmits rejected messages.
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

    /// Returns the time of the next submission or resubmission, in µs on the run's clock.
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

    /// Waits until `at` or until a resubmission is scheduled, which may be due earlier.
    async fn wait_until(&mut self, at: Micros) {
        tokio::select! {
            () = tokio::time::sleep_until(self.context.instant_at(at)) => {}
            Some(resubmission) = self.resubmissions.recv() => self.add_resubmission(resubmission),
        }
    }

    /// Takes the message that is due at `at`: a resubmission if one is due, otherwise the next message of the load. Returns its
    /// number.
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

/// Records a message that is due, and its lateness. Returns its number.
fn record_due_message(context: &RunContext, due: DueMessage) -> u64 {
    let now = context.now();
    let mut state = context.lock_state();
    let message_number = state.next_message_number;
    state.next_message_number += 1;
    state.tally.message_due(due.at, due.class);
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
