//! What a hollow forwarder counts of its messages, and what the core's work costs by kind of event.

use nix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// Kinds of events, by which the core's work is booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    Message,
    Tick,
    Probe,
    Gossip,
    List,
    FirstList,
}

/// All kinds, in the order of their figures.
pub const EVENT_KINDS: [EventKind; 6] = [
    EventKind::Message,
    EventKind::Tick,
    EventKind::Probe,
    EventKind::Gossip,
    EventKind::List,
    EventKind::FirstList,
];

/// Events handled and the processor time that it took.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCost {
    pub events: u64,
    pub cpu_time: Duration,
}

/// What became of messages and attempts at one forwarder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MessageCounts {
    pub arrived: u64,
    pub delivered: u64,
    pub failed: u64,
    pub rejected: u64,
    pub attempts: u64,
    #[serde(rename = "probes")]
    pub health_checks: u64,
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    /// Messages that could use their whole latency target within the run, to destinations up at their arrival.
    #[serde(rename = "due_to_up")]
    pub eligible_while_up: u64,
    #[serde(rename = "in_time_to_up")]
    pub on_time_while_up: u64,
    /// The same to destinations that were down at their arrival.
    #[serde(rename = "due_to_down")]
    pub eligible_while_down: u64,
    #[serde(rename = "in_time_to_down")]
    pub on_time_while_down: u64,
    /// Faults that the core reported; none is expected.
    #[serde(rename = "faults")]
    pub core_errors: u64,
}

impl std::ops::AddAssign for MessageCounts {
    fn add_assign(&mut self, other: MessageCounts) {
        self.arrived += other.arrived;
        self.delivered += other.delivered;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.attempts += other.attempts;
        self.health_checks += other.health_checks;
        self.cancelled += other.cancelled;
        self.timed_out += other.timed_out;
        self.no_connection += other.no_connection;
        self.eligible_while_up += other.eligible_while_up;
        self.on_time_while_up += other.on_time_while_up;
        self.eligible_while_down += other.eligible_while_down;
        self.on_time_while_down += other.on_time_while_down;
        self.core_errors += other.core_errors;
    }
}

impl EventCost {
    /// Does some work and books it.
    pub fn measure(&mut self, work: impl FnOnce()) {
        let began = thread_cpu_time();
        work();
        self.events += 1;
        self.cpu_time += thread_cpu_time().saturating_sub(began);
    }
}

/// Processor time of this thread so far: other work on the machine does not count. Zero where the system does not tell.
fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
