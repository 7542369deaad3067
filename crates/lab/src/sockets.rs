//! The clock of sockets: the same world on loopback and in real time, round one or several real forwarder processes.
//!
//! `Stage` holds what all stand-ins share; it is locked for a moment at a time and never over a wait. Packets leave it with
//! their end.

pub mod agents;
pub mod clients;
mod error;
pub mod processes;
pub mod run;
pub mod targets;
pub(crate) mod wire;

pub use error::SocketsError;

use crate::oracle::{Final, Oracle};
use crate::receivers::Receivers;
use crate::scenario::{Effect, Scenario};
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

/// A packet as its client knows it.
pub(crate) struct Packet {
    pub due: crate::load::Due,
    pub expires: Micros,
    pub returns: u32,
    pub again: bool,
    /// A forwarder had it that died, or did not answer.
    pub orphan: bool,
    pub tries: u32,
}

/// What the clients' task is told.
#[derive(Debug)]
pub(crate) enum Again {
    HandIn { packet: u64, at: Micros },
}

pub(crate) struct State {
    pub receivers: Receivers,
    pub oracle: Oracle,
    pub tally: Tally,
    pub packets: HashMap<u64, Packet>,
    pub next_duty: u64,
    pub next_packet: u64,
    pub load_late: Histogram<u64>,
    pub receivers_late: Histogram<u64>,
    pub effects: Vec<Effect>,
}

/// What all stand-ins share.
pub struct Stage {
    pub scenario: Scenario,
    pub layout: Layout,
    started: Instant,
    state: Mutex<State>,
    /// Falls each time that a target may have begun or ceased to refuse connections.
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) again: mpsc::UnboundedSender<Again>,
    /// Nobody judges: the stand-ins serve a person, who may hand in what the laboratory does not know.
    pub(crate) alone: bool,
}

impl Stage {
    pub(crate) fn new(
        scenario: &Scenario,
        seed: u64,
        alone: bool,
    ) -> (Arc<Stage>, mpsc::UnboundedReceiver<Again>) {
        let layout = Layout::new(scenario);
        let (again, agains) = mpsc::unbounded_channel();
        let late = || {
            Histogram::new_with_bounds(1, 3_600_000_000, 2)
                .unwrap_or_else(|_| unreachable!("fixed bounds"))
        };
        let state = State {
            receivers: Receivers::new(scenario, &layout, seed),
            oracle: Oracle::new(scenario, SLACK).for_sockets(),
            tally: Tally::new(scenario),
            packets: HashMap::new(),
            next_duty: 0,
            next_packet: 0,
            load_late: late(),
            receivers_late: late(),
            effects: scenario.profiles.iter().map(|p| p.effect).collect(),
        };
        let stage = Stage {
            scenario: scenario.clone(),
            layout,
            started: Instant::now(),
            state: Mutex::new(state),
            changed: watch::Sender::new(0),
            again,
            alone,
        };
        (Arc::new(stage), agains)
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
    /// A final answer to a duty, seen now.
    pub(crate) fn ended(
        &mut self,
        stage: &Stage,
        duty: u64,
        end: Final,
        come_back: Option<Micros>,
        trip: u32,
        now: Micros,
    ) {
        let packet = self.oracle.taking(duty).map(|t| t.packet);
        self.oracle.ended(duty, end, now);
        let Some(number) = packet else { return };
        match end {
            Final::Served => {
                let Some(packet) = self.packets.remove(&number) else {
                    return;
                };
                match now <= packet.expires + SLACK {
                    true => self.tally.served(
                        now,
                        now - packet.due.at,
                        packet.due.profile,
                        trip,
                        packet.again,
                    ),
                    false => self.tally.counts.written_off += 1,
                }
            }
            Final::Deferred => {
                self.tally.counts.deferrals += 1;
                self.come_again(stage, number, come_back, now);
            }
            Final::WrittenOff => {
                if self.packets.remove(&number).is_some() {
                    self.tally.counts.written_off += 1;
                    self.tally.tick(now, Tick::WrittenOff);
                }
            }
        }
    }

    /// The client was asked to come back later.
    pub(crate) fn come_again(
        &mut self,
        stage: &Stage,
        number: u64,
        come_back: Option<Micros>,
        now: Micros,
    ) {
        self.tally.tick(now, Tick::Deferred);
        let Some(packet) = self.packets.get_mut(&number) else {
            return;
        };
        let at = now + come_back.unwrap_or(1_000_000);
        if packet.returns == 0 || at >= packet.expires {
            return self.given_up(number);
        }
        packet.returns -= 1;
        packet.again = true;
        let _ = stage.again.send(Again::HandIn { packet: number, at });
    }

    pub(crate) fn given_up(&mut self, number: u64) {
        if self.packets.remove(&number).is_some() {
            self.tally.counts.given_up += 1;
        }
    }
}
