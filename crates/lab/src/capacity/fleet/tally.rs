//! What a hollow forwarder counts of its messages, and what the core's work costs by kind of event.

use nix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// Kinds of events, by which the core's work is booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    Message,
    Tick,
    Probe,
    Gossip,
    List,
    FirstList,
}

/// All kinds, in the order of their figures.
pub const WORK_KINDS: [Work; 6] = [
    Work::Message,
    Work::Tick,
    Work::Probe,
    Work::Gossip,
    Work::List,
    Work::FirstList,
];

/// Events handled and the processor time that it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkDone {
    pub events: u64,
    pub time: Duration,
}

/// What became of messages and attempts at one forwarder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MessageCounts {
    pub arrived: u64,
    pub delivered: u64,
    pub failed: u64,
    pub rejected: u64,
    pub attempts: u64,
    pub probes: u64,
    pub called_off: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    /// Messages that could use their whole latency target within the run, to destinations up at their arrival.
    pub due_to_up: u64,
    pub in_time_to_up: u64,
    /// The same to destinations that were down at their arrival.
    pub due_to_down: u64,
    pub in_time_to_down: u64,
    /// Faults that the core reported; none is expected.
    pub faults: u64,
}

impl std::ops::AddAssign for MessageCounts {
    fn add_assign(&mut self, other: MessageCounts) {
        self.arrived += other.arrived;
        self.delivered += other.delivered;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.attempts += other.attempts;
        self.probes += other.probes;
        self.called_off += other.called_off;
        self.timed_out += other.timed_out;
        self.no_connection += other.no_connection;
        self.due_to_up += other.due_to_up;
        self.in_time_to_up += other.in_time_to_up;
        self.due_to_down += other.due_to_down;
        self.in_time_to_down += other.in_time_to_down;
        self.faults += other.faults;
    }
}

impl WorkDone {
    /// Does some work and books it.
    pub fn measure(&mut self, work: impl FnOnce()) {
        let began = thread_time();
        work();
        self.events += 1;
        self.time += thread_time().saturating_sub(began);
    }
}

/// Processor time of this thread so far: other work on the machine does not count. Zero where the system does not tell.
fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
