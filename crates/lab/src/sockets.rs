//! Plays a scenario in real time on loopback sockets, against one or several real forwarder processes.
//!
//! All stand-ins (receivers, platform agents, clients) share a `RunContext`. The lock on its state is never held across an
//! await. A message is removed from the state when it ends.

mod accept_queue;
pub mod agents;
mod calls;
pub mod clients;
pub mod endpoints;
mod error;
mod load_thread;
pub mod processes;
mod replies;
pub mod run;
mod submissions;
mod timeline;
pub(crate) mod wire;
pub mod without_forwarders;

pub use error::SocketsError;

use crate::load::DueMessage;
use crate::oracle::{FinalAnswer, Oracle};
use crate::receivers::Receivers;
use crate::scenario::{DeliverySemantics, Scenario};
use crate::tally::{BucketEvent, Tally};
use crate::world::Layout;
use hdrhistogram::Histogram;
use opalpulley::Micros;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Tolerance for the delay between an event and its observation, in µs, on top of what the rules allow: 50 ms that the
/// platform's protocol adds to each limit, and 50 ms for scheduling delays of this machine.
const OBSERVATION_SLACK: Micros = 100_000;
/// Upper bound on the 99th percentile of the lateness of the load generator and of the receivers, in µs. A run that exceeds it
/// is invalid.
pub const MAX_LATENESS_P99: Micros = 25_000;
/// Delay before a client resubmits a rejected message if the rejection has no retry-after time, in µs.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;
/// Highest value that the lateness histograms distinguish, in µs; higher values are recorded as this one.
const LATENESS_HISTOGRAM_MAX: u64 = 3_600_000_000;
/// Significant decimal digits that the lateness histograms keep.
const LATENESS_HISTOGRAM_DIGITS: u8 = 2;

/// The client's view of an unfinished message. Owned by [`RunState`], and removed when the client gets the final answer or gives
/// up, when the message is lost or, without the oracle, when a forwarder accepts it. Unlike in the forwarder, attempts may still
/// be in flight then.
#[derive(Clone, Debug)]
pub(crate) struct ClientMessage {
    pub due: DueMessage,
    /// Time at which the message expires, in µs on the run's clock.
    pub deadline: Micros,
    /// Number of resubmissions after a rejection that the client still makes.
    pub resubmissions_left: u32,
    /// Whether a submission has been rejected or has got no answer.
    pub resubmitted: bool,
    /// Whether a forwarder refused the connection or gave no answer in time.
    pub forwarder_unresponsive: bool,
    /// Number of submissions so far.
    pub submission_count: u32,
}

/// A message that is to be submitted again at `at`, in µs on the run's clock.
#[derive(Debug)]
pub(crate) struct Resubmission {
    pub message_number: u64,
    pub at: Micros,
}

/// The mutable state of a run, shared by all stand-ins.
pub(crate) struct RunState {
    pub receivers: Receivers,
    pub oracle: Oracle,
    pub tally: Tally,
    /// Unfinished messages, by message number.
    pub messages: HashMap<u64, ClientMessage>,
    pub next_submission_number: u64,
    pub next_message_number: u64,
    /// Delay between the due time of a message and its first submission, in µs.
    pub load_lateness: Histogram<u64>,
    /// Delay between the scheduled time of a response and its sending, in µs.
    pub receiver_lateness: Histogram<u64>,
    /// Delivery semantics, indexed by delivery class.
    pub semantics_by_class: Vec<DeliverySemantics>,
}

/// The context of one run, shared by all stand-ins.
pub struct RunContext {
    /// Scenario of the run.
    pub scenario: Scenario,
    /// Destinations and endpoints of the scenario.
    pub layout: Layout,
    started_at: Instant,
    state: Mutex<RunState>,
    /// Counter that is incremented whenever an endpoint may have started or stopped refusing connections.
    pub(crate) receivers_changed: watch::Sender<u64>,
    resubmissions: mpsc::UnboundedSender<Resubmission>,
    /// Whether the oracle is disabled: the stand-ins serve an interactive user or the load generator alone, so that calls may
    /// carry messages that the laboratory has not submitted.
    pub(crate) without_oracle: bool,
}

impl RunContext {
    /// Creates the context of a run that starts now, and the channel of the messages that are to be resubmitted.
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        without_oracle: bool,
    ) -> (Arc<RunContext>, mpsc::UnboundedReceiver<Resubmission>) {
        let layout = Layout::new(scenario);
        let (sender, resubmissions) = mpsc::unbounded_channel();
        let context = RunContext {
            state: Mutex::new(RunState::new(scenario, &layout, seed)),
            scenario: scenario.clone(),
            layout,
            started_at: Instant::now(),
            receivers_changed: watch::Sender::new(0),
            resubmissions: sender,
            without_oracle,
        };
        (Arc::new(context), resubmissions)
    }

    /// Returns the time since the context was created, in µs.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time on the run's clock, in µs, into an instant for timers.
    pub(crate) fn instant_at(&self, time: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started_at + Duration::from_micros(time))
    }

    /// Locks the state, also if a thread panicked while it held the lock. The guard must not be held across an await.
    pub(crate) fn lock_state(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Schedules a resubmission. It is dropped if the load generator has stopped.
    pub(crate) fn resubmit(&self, resubmission: Resubmission) {
        let _ = self.resubmissions.send(resubmission);
    }
}

impl RunState {
    fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> RunState {
        let classes = scenario.classes.iter();
        RunState {
            receivers: Receivers::new(scenario, layout, seed),
            oracle: Oracle::new(scenario, OBSERVATION_SLACK).for_sockets(),
            tally: Tally::new(scenario),
            messages: HashMap::new(),
            next_submission_number: 0,
            next_message_number: 0,
            load_lateness: lateness_histogram(),
            receiver_lateness: lateness_histogram(),
            semantics_by_class: classes.map(|class| class.semantics).collect(),
        }
    }

    /// Records the final answer to a submission, observed at `now`. `attempt` is the index of the attempt that was served.
    pub(crate) fn submission_ended(
        &mut self,
        context: &RunContext,
        submission: u64,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
        attempt: u32,
        now: Micros,
    ) {
        let message_number = self.oracle.record(submission).map(|record| record.message);
        self.oracle.message_ended(submission, answer, now);
        let Some(message_number) = message_number else {
            return;
        };
        match answer {
            FinalAnswer::Served => self.record_served(message_number, attempt, now),
            FinalAnswer::Rejected => {
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(context, message_number, retry_after, now);
            }
            FinalAnswer::Failed => self.fail_message(message_number, now),
        }
    }

    /// Counts a served message; a message that is served after its deadline counts as failed.
    fn record_served(&mut self, message_number: u64, attempt: u32, now: Micros) {
        let Some(message) = self.messages.remove(&message_number) else {
            return;
        };
        if now > message.deadline + OBSERVATION_SLACK {
            self.tally.counts.failed += 1;
            return;
        }
        let latency = now - message.due.at;
        let class = message.due.class;
        self.tally
            .message_served(now, latency, class, attempt, message.resubmitted);
    }

    /// Counts a failed message.
    pub(crate) fn fail_message(&mut self, message_number: u64, now: Micros) {
        if self.messages.remove(&message_number).is_some() {
            self.tally.counts.failed += 1;
            self.tally.count(now, BucketEvent::MessageFailed);
        }
    }

    /// Schedules the resubmission of a rejected message. The client gives up if it has no resubmission left or if the message
    /// expires before the resubmission.
    pub(crate) fn schedule_resubmission(
        &mut self,
        context: &RunContext,
        message_number: u64,
        retry_after: Option<Micros>,
        now: Micros,
    ) {
        self.tally.count(now, BucketEvent::Rejected);
        let Some(message) = self.messages.get_mut(&message_number) else {
            return;
        };
        let at = now + retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        if message.resubmissions_left == 0 || at >= message.deadline {
            return self.give_up_message(message_number);
        }
        message.resubmissions_left -= 1;
        message.resubmitted = true;
        context.resubmit(Resubmission { message_number, at });
    }

    /// Counts a message that its client gives up.
    pub(crate) fn give_up_message(&mut self, message_number: u64) {
        if self.messages.remove(&message_number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }
}

fn lateness_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENESS_HISTOGRAM_MAX, LATENESS_HISTOGRAM_DIGITS).unwrap_or_else(
        |_| unreachable!("the bounds are constants within the range of the histogram"),
    )
}
