//! The clock of sockets: the same world on loopback and in real time, round one or several real forwarder processes.
//!
//! `RunContext` holds what all stand-ins share; it is locked for a moment at a time and never over a wait. Messages leave it with
//! their end.

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
use crate::tally::{Tally, Tick};
use crate::world::Layout;
use hdrhistogram::Histogram;
use opalpulley::Micros;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// How much later something may be seen than it was done, beside what the rules allow, µs: 50 ms that the platform's protocol
/// adds to each limit, and 50 ms for this machine.
const OBSERVATION_SLACK: Micros = 100_000;
/// A run is void where load tool or receivers were later than that at their 99th percentile, µs.
pub const MAX_LATENESS_P99: Micros = 25_000;
/// A client submits again after so long where no time was named, µs.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;
/// The longest lateness that is told from longer ones, µs.
const LATENESS_HISTOGRAM_MAX: u64 = 3_600_000_000;
/// Significant digits of a lateness.
const LATENESS_HISTOGRAM_DIGITS: u8 = 2;

/// A message as its client knows it.
#[derive(Clone, Debug)]
pub(crate) struct ClientMessage {
    pub due: DueMessage,
    pub deadline: Micros,
    /// How often it may still be submitted again.
    pub resubmissions_left: u32,
    /// It was rejected before.
    pub resubmitted: bool,
    /// A forwarder that it was submitted to died, or did not answer.
    pub forwarder_unresponsive: bool,
    /// Submissions so far.
    pub submission_count: u32,
}

/// A message that is to be submitted again at this time.
#[derive(Debug)]
pub(crate) struct Resubmission {
    pub message_number: u64,
    pub at: Micros,
}

/// What all stand-ins change.
pub(crate) struct RunState {
    pub receivers: Receivers,
    pub oracle: Oracle,
    pub tally: Tally,
    /// Messages that are not over.
    pub messages: HashMap<u64, ClientMessage>,
    pub next_submission_number: u64,
    pub next_message_number: u64,
    /// How late messages were submitted, µs.
    pub load_lateness: Histogram<u64>,
    /// How late receivers answered, µs.
    pub receiver_lateness: Histogram<u64>,
    /// By delivery class.
    pub semantics_by_class: Vec<DeliverySemantics>,
}

/// What all stand-ins share.
pub struct RunContext {
    /// The scenario that is played.
    pub scenario: Scenario,
    /// Who stands where.
    pub layout: Layout,
    started_at: Instant,
    state: Mutex<RunState>,
    /// Changes each time that an endpoint may have begun or ceased to refuse connections.
    pub(crate) receivers_changed: watch::Sender<u64>,
    resubmissions: mpsc::UnboundedSender<Resubmission>,
    /// Nobody judges: the stand-ins serve a person, who may submit what the laboratory does not know.
    pub(crate) without_oracle: bool,
}

impl RunContext {
    /// A context on which nothing has happened yet, and the messages that are to be submitted again.
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

    /// µs since the context was set.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// A time on the context's clock, for timers.
    pub(crate) fn instant_at(&self, time: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started_at + Duration::from_micros(time))
    }

    /// The state, which a panic elsewhere leaves as it was.
    pub(crate) fn lock_state(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has a message submitted again. Once the load tool has stopped, nobody does.
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

    /// A final answer to a submission, seen now; `attempt` is the number of the one that served it.
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
        self.oracle.ended(submission, answer, now);
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

    /// Counts a served message; one served after its deadline counts as failed.
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
            .served(now, latency, class, attempt, message.resubmitted);
    }

    /// Counts a failed message.
    pub(crate) fn fail_message(&mut self, message_number: u64, now: Micros) {
        if self.messages.remove(&message_number).is_some() {
            self.tally.counts.failed += 1;
            self.tally.tick(now, Tick::MessageFailed);
        }
    }

    /// The client was asked to submit again later; it gives up where that is too late.
    pub(crate) fn schedule_resubmission(
        &mut self,
        context: &RunContext,
        message_number: u64,
        retry_after: Option<Micros>,
        now: Micros,
    ) {
        self.tally.tick(now, Tick::Rejected);
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

    /// Counts a message that its client has given up.
    pub(crate) fn give_up_message(&mut self, message_number: u64) {
        if self.messages.remove(&message_number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }
}

fn lateness_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENESS_HISTOGRAM_MAX, LATENESS_HISTOGRAM_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants within the library's range"))
}
