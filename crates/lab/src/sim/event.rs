//! The events of the simulation, and the queue that orders them by time.

use crate::load::DueMessage;
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

/// An event of the simulation, owned by the queue until it happens.
pub(super) enum SimulatedEvent {
    /// A message of the load is due.
    Due(DueMessage),
    /// A client submits a message once more.
    Submit { message: u64 },
    /// A forwarder's timer fires.
    TimerFires {
        forwarder: u32,
        incarnation: u32,
        token: TimerToken,
    },
    /// The bytes of a call leave on a connection that was established late.
    RequestSent { attempt: u64 },
    /// A call's last byte reaches its endpoint.
    RequestArrives { attempt: u64 },
    /// The head of a response with a retry-after time reaches a forwarder; the outcome of the attempt follows.
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
    /// A poll of the endpoint list is answered, or fails.
    PollAnswered {
        forwarder: u32,
        incarnation: u32,
        answered: bool,
    },
    /// A gossip payload reaches a forwarder.
    Gossip {
        from: u32,
        to: u32,
        payload: Vec<u8>,
    },
    /// A fault begins or ends.
    FaultChanges { fault: usize, begins: bool },
    /// An endpoint begins to drain, or is removed.
    EndpointDrains { endpoint: usize, removed: bool },
    /// A killed forwarder restarts, with or without its state folder.
    ProcessRestarts { forwarder: u32, folder_kept: bool },
    /// A paused forwarder resumes.
    ProcessResumes { forwarder: u32 },
    /// The oracle checks for overdue final answers.
    OverdueCheck,
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
    /// Orders the earliest event as the greatest, since the heap returns the greatest first. Among events at the same time, the
    /// one scheduled first is the greatest.
    fn cmp(&self, other: &QueuedEvent) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The scheduled events, ordered by time. Events at the same time happen in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<QueuedEvent>,
    scheduled_count: u64,
}

impl EventQueue {
    /// Schedules an event at `at`, µs.
    pub fn push(&mut self, at: Micros, event: SimulatedEvent) {
        self.scheduled_count += 1;
        self.events.push(QueuedEvent {
            at,
            sequence: self.scheduled_count,
            event,
        });
    }

    /// Removes and returns the next event with its time, µs.
    pub fn pop(&mut self) -> Option<(Micros, SimulatedEvent)> {
        let next = self.events.pop()?;
        Some((next.at, next.event))
    }
}
