//! What happens in the simulated world, and the queue that orders it by time.

use crate::load::Due;
use opalpulley::{EndpointId, EndpointListUpdate, Micros, Outcome, TimerToken};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A health check in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheck {
    pub forwarder: u32,
    pub incarnation: u32,
    pub endpoint: EndpointId,
    pub sent_at: Micros,
}

/// What happens next.
pub(super) enum SimulatedEvent {
    /// A message of the load is due.
    Due(Due),
    /// A client submits a message once more.
    Submit { message: u64 },
    /// A timer of a forwarder fires.
    TimerFires {
        forwarder: u32,
        incarnation: u32,
        token: TimerToken,
    },
    /// The bytes of a call leave, on a connection that came up late.
    RequestSent { attempt: u64 },
    /// A call's last byte reaches its endpoint.
    RequestArrives { attempt: u64 },
    /// The head of an answer holds a retry-after time; the outcome follows.
    RetryAfterReceived { attempt: u64, retry_after: Micros },
    /// An attempt's outcome reaches its forwarder.
    AttemptEnds { attempt: u64, outcome: Outcome },
    /// A health check reaches its endpoint.
    HealthCheckArrives(HealthCheck),
    /// The outcome of a health check reaches its forwarder.
    HealthCheckEnds {
        health_check: HealthCheck,
        outcome: Outcome,
    },
    /// A list update reaches a forwarder.
    ListUpdate {
        forwarder: u32,
        update: EndpointListUpdate,
    },
    /// A poll of the list is answered, or has failed.
    PollAnswered {
        forwarder: u32,
        incarnation: u32,
        answered: bool,
    },
    /// Gossip reaches a forwarder.
    Gossip {
        from: u32,
        to: u32,
        payload: Vec<u8>,
    },
    /// A fault begins or ends.
    FaultChanges { fault: usize, begins: bool },
    /// One endpoint of a drain begins to drain, or is gone.
    EndpointDrains { endpoint: usize, gone: bool },
    /// A killed forwarder starts again, with or without its folder.
    ProcessRestarts { forwarder: u32, folder_kept: bool },
    /// A stopped forwarder goes on.
    ProcessResumes { forwarder: u32 },
    /// The oracle looks for final answers that are overdue.
    OracleSweep,
}

struct QueuedEvent {
    at: Micros,
    sequence: u64,
    event: SimulatedEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    /// The greatest is taken first: the earliest, and of those at one time the one that was scheduled first.
    fn cmp(&self, other: &QueuedEvent) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Scheduled events; those at one time happen in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<QueuedEvent>,
    scheduled_count: u64,
}

impl EventQueue {
    /// Adds an event that happens at this time.
    pub fn push(&mut self, at: Micros, event: SimulatedEvent) {
        self.scheduled_count += 1;
        self.events.push(QueuedEvent {
            at,
            sequence: self.scheduled_count,
            event,
        });
    }

    /// Takes the next event, with its time.
    pub fn pop(&mut self) -> Option<(Micros, SimulatedEvent)> {
        let next = self.events.pop()?;
        Some((next.at, next.event))
    }
}
