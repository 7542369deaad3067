//! The load tool: an open loop. A message is submitted when it is due, whatever became of those before; how late that was is
//! part of the result.

use super::clients::ForwarderClient;
use super::submissions::{submit, ClientPool};
use super::{ClientMessage, Resubmission, Stage};
use crate::load::{DueMessage, Loads};
use opalpulley::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Messages that are submitted before other tasks run.
const BATCH: usize = 32;

/// The load tool's own thread: submissions under way can't keep it from the next message's time. Dropped, it stops.
pub(crate) struct LoadThread {
    _stop: oneshot::Sender<()>,
}

/// Starts the thread. What it submits goes on in the runtime that this is called from.
pub(crate) fn start(
    stage: Arc<Stage>,
    clients: Vec<Arc<ForwarderClient>>,
    loads: Loads,
    resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    begin: Micros,
) -> io::Result<LoadThread> {
    let (stop, stopped) = oneshot::channel::<()>();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let schedule = Schedule {
        stage,
        clients: ClientPool::new(clients),
        loads,
        next: None,
        resubmissions,
        later: BinaryHeap::new(),
        begin,
        submitting: Handle::current(),
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
struct Schedule {
    stage: Arc<Stage>,
    clients: Arc<ClientPool>,
    loads: Loads,
    /// The next message of the load.
    next: Option<DueMessage>,
    resubmissions: mpsc::UnboundedReceiver<Resubmission>,
    /// Messages to submit again, by time.
    later: BinaryHeap<Reverse<(Micros, u64)>>,
    /// When the load begins.
    begin: Micros,
    /// The runtime in which submissions go on.
    submitting: Handle,
}

impl Schedule {
    /// Submits every message when it is due, and again those that were rejected.
    async fn run(mut self) {
        let mut submitted = 0;
        self.next = self.loads.next();
        loop {
            let Some(at) = self.next_time() else {
                match self.resubmissions.recv().await {
                    Some(resubmission) => self.add(resubmission),
                    None => return,
                }
                continue;
            };
            if at > self.stage.now() {
                self.wait_until(at).await;
                continue;
            }
            if let Some(message) = self.take_due(at) {
                let submission = submit(self.stage.clone(), self.clients.clone(), message);
                self.submitting.spawn(submission);
            }
            submitted += 1;
            if submitted % BATCH == 0 {
                tokio::task::yield_now().await;
            }
        }
    }

    /// When the next message is due, or is to be submitted again.
    fn next_time(&self) -> Option<Micros> {
        let due = self.next.as_ref().map(|due| due.at + self.begin);
        due.into_iter().chain(self.next_resubmission()).min()
    }

    fn next_resubmission(&self) -> Option<Micros> {
        let Reverse((at, _)) = self.later.peek()?;
        Some(*at)
    }

    fn add(&mut self, resubmission: Resubmission) {
        let Resubmission { message, at } = resubmission;
        self.later.push(Reverse((at, message)));
    }

    /// Waits until then, or until a message is rejected: it may have to be submitted before.
    async fn wait_until(&mut self, at: Micros) {
        tokio::select! {
            () = tokio::time::sleep_until(self.stage.at(at)) => {}
            Some(resubmission) = self.resubmissions.recv() => self.add(resubmission),
        }
    }

    /// The message that is due at this time: one to submit again, else the next of the load.
    fn take_due(&mut self, at: Micros) -> Option<u64> {
        if self.next_resubmission().is_some_and(|time| time <= at) {
            let Reverse((_, message)) = self.later.pop()?;
            return Some(message);
        }
        let mut due = self.next.take()?;
        self.next = self.loads.next();
        due.at += self.begin;
        Some(message_due(&self.stage, due))
    }
}

/// Notes a message that is due; gives its number.
fn message_due(stage: &Stage, due: DueMessage) -> u64 {
    let now = stage.now();
    let mut state = stage.lock();
    let number = state.next_message;
    state.next_message += 1;
    state.tally.message_due(due.at, due.class);
    let late = now.saturating_sub(due.at);
    state.load_late.saturating_record(late.max(1));
    let message = ClientMessage {
        expires: due.at + due.time_left,
        resubmissions: due.resubmissions,
        resubmitted: false,
        forwarder_lost: false,
        tries: 0,
        due,
    };
    state.messages.insert(number, message);
    number
}
