//! Counters of a simulated forwarder: outcomes of its messages, and the processor time of its core by kind of event.

use nix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// The kinds of events that a core handles, by which its processor time is accounted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The submission of a message or the end of an attempt.
    Message,
    /// A timer of the core.
    Tick,
    /// The end of a health check.
    Probe,
    Gossip,
    /// A response of discovery after the start.
    List,
    /// The complete endpoint list at the start.
    FirstList,
}

/// All kinds, in the order in which their figures are printed. The position of a kind is its discriminant.
pub const EVENT_KINDS: [EventKind; 6] = [
    EventKind::Message,
    EventKind::Tick,
    EventKind::Probe,
    EventKind::Gossip,
    EventKind::List,
    EventKind::FirstList,
];

/// Number of events of one kind and the processor time that the core spent on them.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCost {
    pub events: u64,
    pub cpu_time: Duration,
}

/// Counts of messages and attempts at one forwarder over the whole run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MessageCounts {
    /// Messages submitted to the core.
    pub arrived: u64,
    pub delivered: u64,
    /// Messages that the core gave up.
    pub failed: u64,
    /// Messages that the core rejected.
    pub rejected: u64,
    /// Attempts started; health checks are counted apart.
    pub attempts: u64,
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Attempts that the core cancelled.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    pub timed_out: u64,
    pub no_connection: u64,
    /// Messages to destinations that were up at the message's arrival, of the messages that arrived after the start-up phase
    /// and whose whole latency target lies within the run.
    #[serde(rename = "due_to_up")]
    pub eligible_while_up: u64,
    /// Of the messages of `eligible_while_up`, those delivered within the latency target.
    #[serde(rename = "in_time_to_up")]
    pub on_time_while_up: u64,
    /// The eligible messages to destinations that were down at the message's arrival.
    #[serde(rename = "due_to_down")]
    pub eligible_while_down: u64,
    /// Of the messages of `eligible_while_down`, those delivered within the latency target.
    #[serde(rename = "in_time_to_down")]
    pub on_time_while_down: u64,
    /// Errors that the core logged. A correct run has none.
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
    /// Calls `work`, and counts it as one event with the processor time that this thread spent in it.
    pub fn measure(&mut self, work: impl FnOnce()) {
        let started_at = thread_cpu_time();
        work();
        self.events += 1;
        self.cpu_time += thread_cpu_time().saturating_sub(started_at);
    }
}

/// Returns the processor time that this thread has used, so that other work on the machine is not counted. Returns zero if
/// the system can't report it.
fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
