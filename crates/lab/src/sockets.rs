//! The clock of sockets: the same world on loopback and in real time, round one or several real forwarder processes.
//!
//! `Stage` holds what all stand-ins share; it is locked for a moment at a time and never over a wait. Messages leave it with
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
use crate::tally::{BucketEvent, Tally};
use crate::world::Layout;
use hdrhistogram::Histogram;
use opalpulley::Micros;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// How much later something may be seen than it was done, beside what the rules allow, µs: 50 ms that the platform's protocol
/// adds to each limit, and 50 ms for this machine.
const SLACK: Micros = 100_000;
/// A run is void where load tool or receivers were later than that at their 99th percentile, µs.
pub const MOST_LATE: Micros = 25_000;
/// A client submits again after so long where no time was named, µs.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;
/// The longest lateness that is told from longer ones, µs.
const MAX_LATENESS: u64 = 3_600_000_000;
/// Significant digits of a lateness.
const LATENESS_DIGITS: u8 = 2;

/// A message as its client knows it.
#[derive(Clone, Debug)]
pub(crate) struct ClientMessage {
    pub due: DueMessage,
    pub expires: Micros,
    /// How often it may still be submitted again.
    pub resubmissions: u32,
    /// It was rejected before.
    pub resubmitted: bool,
    /// A forwarder that it was submitted to died, or did not answer.
    pub forwarder_lost: bool,
    /// Submissions so far.
    pub tries: u32,
}

/// A message that is to be submitted again at this time.
#[derive(Debug)]
pub(crate) struct Resubmission {
    pub message: u64,
    pub at: Micros,
}

/// What all stand-ins change.
pub(crate) struct State {
    pub receivers: Receivers,
    pub oracle: Oracle,
    pub tally: Tally,
    /// Messages that are not over.
    pub messages: HashMap<u64, ClientMessage>,
    pub next_submission: u64,
    pub next_message: u64,
    /// How late messages were submitted, µs.
    pub load_late: Histogram<u64>,
    /// How late receivers answered, µs.
    pub receivers_late: Histogram<u64>,
    /// By delivery class.
    pub semantics: Vec<DeliverySemantics>,
}

/// What all stand-ins share.
pub struct Stage {
    /// The scenario that is played.
    pub scenario: Scenario,
    /// Who stands where.
    pub layout: Layout,
    started: Instant,
    state: Mutex<State>,
    /// Changes each time that an endpoint may have begun or ceased to refuse connections.
    pub(crate) changed: watch::Sender<u64>,
    resubmissions: mpsc::UnboundedSender<Resubmission>,
    /// Nobody judges: the stand-ins serve a person, who may submit what the laboratory does not know.
    pub(crate) alone: bool,
}

impl Stage {
    /// A stage on which nothing has happened yet, and the messages that are to be submitted again.
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        alone: bool,
    ) -> (Arc<Stage>, mpsc::UnboundedReceiver<Resubmission>) {
        let layout = Layout::new(scenario);
        let (sender, resubmissions) = mpsc::unbounded_channel();
        let stage = Stage {
            state: Mutex::new(State::new(scenario, &layout, seed)),
            scenario: scenario.clone(),
            layout,
            started: Instant::now(),
            changed: watch::Sender::new(0),
            resubmissions: sender,
            alone,
        };
        (Arc::new(stage), resubmissions)
    }

    /// µs since the stage was set.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// A time on the stage's clock, for timers.
    pub(crate) fn at(&self, time: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + Duration::from_micros(time))
    }

    /// The state, which a panic elsewhere leaves as it was.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has a message submitted again. Once the load tool has stopped, nobody does.
    pub(crate) fn resubmit(&self, resubmission: Resubmission) {
        let _ = self.resubmissions.send(resubmission);
    }
}

impl State {
    fn new(scenario: &Scenario, layout: &Layout, seed: u64) -> State {
        let classes = scenario.classes.iter();
        State {
            receivers: Receivers::new(scenario, layout, seed),
            oracle: Oracle::new(scenario, SLACK).for_sockets(),
            tally: Tally::new(scenario),
            messages: HashMap::new(),
            next_submission: 0,
            next_message: 0,
            load_late: lateness_histogram(),
            receivers_late: lateness_histogram(),
            semantics: classes.map(|class| class.semantics).collect(),
        }
    }

    /// A final answer to a submission, seen now; `attempt` is the number of the one that served it.
    pub(crate) fn ended(
        &mut self,
        stage: &Stage,
        submission: u64,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
        attempt: u32,
        now: Micros,
    ) {
        let message = self.oracle.record(submission).map(|record| record.message);
        self.oracle.message_ended(submission, answer, now);
        let Some(number) = message else { return };
        match answer {
            FinalAnswer::Served => self.message_served(number, attempt, now),
            FinalAnswer::Rejected => {
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(stage, number, retry_after, now);
            }
            FinalAnswer::Failed => self.fail_message(number, now),
        }
    }

    /// Counts a served message; one served after its deadline counts as failed.
    fn message_served(&mut self, number: u64, attempt: u32, now: Micros) {
        let Some(message) = self.messages.remove(&number) else {
            return;
        };
        if now > message.expires + SLACK {
            self.tally.counts.failed += 1;
            return;
        }
        let took = now - message.due.at;
        let class = message.due.class;
        self.tally
            .message_served(now, took, class, attempt, message.resubmitted);
    }

    /// Counts a failed message.
    pub(crate) fn fail_message(&mut self, number: u64, now: Micros) {
        if self.messages.remove(&number).is_some() {
            self.tally.counts.failed += 1;
            self.tally.count(now, BucketEvent::MessageFailed);
        }
    }

    /// The client was asked to submit again later; it gives up where that is too late.
    pub(crate) fn schedule_resubmission(
        &mut self,
        stage: &Stage,
        number: u64,
        retry_after: Option<Micros>,
        now: Micros,
    ) {
        self.tally.count(now, BucketEvent::Rejected);
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        let at = now + retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        if message.resubmissions == 0 || at >= message.expires {
            return self.given_up(number);
        }
        message.resubmissions -= 1;
        message.resubmitted = true;
        stage.resubmit(Resubmission {
            message: number,
            at,
        });
    }

    /// Counts a message that its client has given up.
    pub(crate) fn given_up(&mut self, number: u64) {
        if self.messages.remove(&number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }
}

fn lateness_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENESS, LATENESS_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants within the library's range"))
}
