//! What the core's own work costs while so many messages wait in one queue: the time of one submission and of one attempt's
//! end, with the scheduling round that follows. Wall-clock figures: they are of this machine.

use crate::scenario::Scenario;
use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointKindId, EndpointListUpdate, EndpointStatus, Event, Forwarder, MessageId, Micros,
    Outcome, Submission, TenantId, ZoneId,
};
use serde::Serialize;
use std::time::Instant;

/// Simulated time between events, µs.
const STEP: Micros = 100;
/// When the first event happens, µs.
const START: Micros = 1_000_000;
/// Calls a second that the endpoint takes: more than the core sends.
const RATE: f32 = 1e6;
const ENDPOINT: EndpointId = EndpointId {
    address: [10, 0, 0, 1],
    port: 80,
    incarnation: 0,
};
/// One forwarder with one permit and room for everything, one destination with one endpoint.
const SCENARIO: &str = r#"
version = 1
name = "b"
shows = "b"
lasts = "1s"
[forwarders]
slots = 1
room = 4000000000
[[profiles]]
name = "p"
effect = "fingerprinted"
contract_time = "1m"
expiry = "1h"
[[destinations]]
name = "d"
rate = 1000000.0
service = { kind = "constant", time = "1ms" }
[[loads]]
rate = 1.0
"#;

/// What the core's work costs with so many messages waiting.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Messages that wait.
    pub waiting: u32,
    /// A submission with what follows from it, ns.
    pub arrival: f64,
    /// An attempt's end with what follows from it, ns.
    pub end: f64,
}

/// Lets `waiting` messages wait behind the one in flight; then `rounds` times the one in flight ends and another is submitted.
pub fn cost(waiting: u32, rounds: u32) -> Cost {
    let mut bench = Bench::new();
    for _ in 0..=waiting {
        bench.now += STEP;
        bench.submit();
    }
    let (mut ends, mut submissions) = (0.0, 0.0);
    for _ in 0..rounds {
        let Some(id) = bench.in_flight() else {
            break;
        };
        bench.actions.clear();
        bench.now += STEP;
        ends += nanoseconds(|| bench.end_attempt(id));
        submissions += nanoseconds(|| bench.submit());
    }
    let rounds = f64::from(rounds.max(1));
    Cost {
        waiting,
        arrival: submissions / rounds,
        end: ends / rounds,
    }
}

fn nanoseconds(work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_nanos() as f64
}

/// A core with one endpoint, and what it has been told.
struct Bench {
    core: Forwarder,
    time_to_live: Micros,
    now: Micros,
    actions: Vec<Action>,
    /// Messages submitted so far.
    submitted: u32,
}

impl Bench {
    fn new() -> Bench {
        let scenario = Scenario::read(SCENARIO, "bids")
            .unwrap_or_else(|error| unreachable!("a fixed scenario: {error}"));
        let mut bench = Bench {
            core: Forwarder::new(scenario.config(0), 1),
            time_to_live: scenario.max_time_to_live(),
            now: START,
            actions: Vec::new(),
            submitted: 0,
        };
        let entry = EndpointEntry {
            endpoint: ENDPOINT,
            zone: ZoneId(0),
            up_since: 0,
            status: EndpointStatus::Ready,
            rate: RATE,
            destination: DestinationId(0),
            kind: EndpointKindId(0),
        };
        let list = EndpointListUpdate::Cached(vec![entry]);
        bench.handle(Event::EndpointListUpdated(list));
        bench
    }

    fn handle(&mut self, event: Event) {
        self.core.handle(self.now, event, &mut self.actions);
    }

    fn submit(&mut self) {
        self.submitted += 1;
        self.handle(Event::MessageSubmitted(Submission {
            id: MessageId(self.submitted),
            class: DeliveryClassId(0),
            tenant: TenantId(u32::MAX),
            order_key: None,
            time_left: self.time_to_live,
            destination: DestinationId(0),
            resubmitted: false,
            history: AttemptHistory::default(),
        }));
    }

    fn end_attempt(&mut self, id: MessageId) {
        self.handle(Event::AttemptEnded {
            id,
            attempt_index: 0,
            endpoint: ENDPOINT,
            outcome: Outcome::Delivered,
            elapsed: STEP,
            message_completed: true,
            load_metrics: Vec::new(),
        });
    }

    /// The message that was sent last.
    fn in_flight(&self) -> Option<MessageId> {
        let mut actions = self.actions.iter().rev();
        actions.find_map(|action| match action {
            Action::StartAttempt { id, .. } => Some(*id),
            _ => None,
        })
    }
}
