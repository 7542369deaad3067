//! The clock of sockets: the same world on loopback and in real time, round one or several real forwarder processes.
//!
//! `Stage` holds what all stand-ins share; it is locked for a moment at a time and never over a wait. Messages leave it with
//! their end.

pub mod agents;
pub mod clients;
pub mod endpoints;
mod error;
pub mod processes;
pub mod run;
pub(crate) mod wire;

pub use error::SocketsError;

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

/// What may pass between a thing done and the same thing seen, beside what the rules allow: 50 ms that the platform's
/// protocol adds to each limit, and 50 ms for this machine.
const SLACK: Micros = 100_000;
/// A run is void where load tool or receivers were later than that at their 99th percentile.
pub const MOST_LATE: Micros = 25_000;

/// A message as its client knows it.
pub(crate) struct ClientMessage {
    pub due: crate::load::Due,
    pub expires: Micros,
    pub resubmissions: u32,
    pub resubmitted: bool,
    /// A forwarder had it that died, or did not answer.
    pub forwarder_lost: bool,
    pub tries: u32,
}

/// What the clients' task is told.
#[derive(Debug)]
pub(crate) enum Resubmission {
    Submit { message: u64, at: Micros },
}

pub(crate) struct State {
    pub receivers: Receivers,
    pub oracle: Oracle,
    pub tally: Tally,
    pub messages: HashMap<u64, ClientMessage>,
    pub next_submission: u64,
    pub next_message: u64,
    pub load_late: Histogram<u64>,
    pub receivers_late: Histogram<u64>,
    pub effects: Vec<DeliverySemantics>,
}

/// What all stand-ins share.
pub struct Stage {
    pub scenario: Scenario,
    pub layout: Layout,
    started: Instant,
    state: Mutex<State>,
    /// Falls each time that an endpoint may have begun or ceased to refuse connections.
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) resubmissions: mpsc::UnboundedSender<Resubmission>,
    /// Nobody judges: the stand-ins serve a person, who may hand in what the laboratory does not know.
    pub(crate) alone: bool,
}

impl Stage {
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        alone: bool,
    ) -> (Arc<Stage>, mpsc::UnboundedReceiver<Resubmission>) {
        let layout = Layout::new(scenario);
        let (sender, resubmissions) = mpsc::unbounded_channel();
        let late = || {
            Histogram::new_with_bounds(1, 3_600_000_000, 2)
                .unwrap_or_else(|_| unreachable!("fixed bounds"))
        };
        let state = State {
            receivers: Receivers::new(scenario, &layout, seed),
            oracle: Oracle::new(scenario, SLACK).for_sockets(),
            tally: Tally::new(scenario),
            messages: HashMap::new(),
            next_submission: 0,
            next_message: 0,
            load_late: late(),
            receivers_late: late(),
            effects: scenario.classes.iter().map(|p| p.semantics).collect(),
        };
        let stage = Stage {
            scenario: scenario.clone(),
            layout,
            started: Instant::now(),
            state: Mutex::new(state),
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

    pub(crate) fn at(&self, time: Micros) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + Duration::from_micros(time))
    }

    /// The state, which a panic elsewhere leaves as it was.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// A final answer to a submission, seen now.
    pub(crate) fn ended(
        &mut self,
        stage: &Stage,
        submission: u64,
        end: FinalAnswer,
        retry_after: Option<Micros>,
        attempt: u32,
        now: Micros,
    ) {
        let message = self.oracle.record(submission).map(|t| t.message);
        self.oracle.ended(submission, end, now);
        let Some(number) = message else { return };
        match end {
            FinalAnswer::Served => {
                let Some(message) = self.messages.remove(&number) else {
                    return;
                };
                match now <= message.expires + SLACK {
                    true => self.tally.served(
                        now,
                        now - message.due.at,
                        message.due.class,
                        attempt,
                        message.resubmitted,
                    ),
                    false => self.tally.counts.written_off += 1,
                }
            }
            FinalAnswer::Rejected => {
                self.tally.counts.rejections += 1;
                self.schedule_resubmission(stage, number, retry_after, now);
            }
            FinalAnswer::Failed => {
                if self.messages.remove(&number).is_some() {
                    self.tally.counts.written_off += 1;
                    self.tally.tick(now, Tick::MessageFailed);
                }
            }
        }
    }

    /// The client was asked to come back later.
    pub(crate) fn schedule_resubmission(
        &mut self,
        stage: &Stage,
        number: u64,
        retry_after: Option<Micros>,
        now: Micros,
    ) {
        self.tally.tick(now, Tick::Rejected);
        let Some(message) = self.messages.get_mut(&number) else {
            return;
        };
        let at = now + retry_after.unwrap_or(1_000_000);
        if message.resubmissions == 0 || at >= message.expires {
            return self.given_up(number);
        }
        message.resubmissions -= 1;
        message.resubmitted = true;
        let _ = stage.resubmissions.send(Resubmission::Submit {
            message: number,
            at,
        });
    }

    pub(crate) fn given_up(&mut self, number: u64) {
        if self.messages.remove(&number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }
}
