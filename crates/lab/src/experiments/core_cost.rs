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
const EVENT_INTERVAL: Micros = 100;
/// When the first event happens, µs.
const START_TIME: Micros = 1_000_000;
/// Calls a second that the endpoint takes: more than the core sends.
const ENDPOINT_RATE: f32 = 1e6;
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
pub struct CoreCost {
    /// Messages that wait.
    pub waiting: u32,
    /// A submission with what follows from it, ns.
    #[serde(rename = "arrival")]
    pub submission_ns: f64,
    /// An attempt's end with what follows from it, ns.
    #[serde(rename = "end")]
    pub attempt_end_ns: f64,
}

/// Lets `waiting` messages wait behind the one in flight; then `rounds` times the one in flight ends and another is submitted.
pub fn measure(waiting: u32, rounds: u32) -> CoreCost {
    let mut benchmark = CoreBenchmark::new();
    for _ in 0..=waiting {
        benchmark.now += EVENT_INTERVAL;
        benchmark.submit();
    }
    let (mut attempt_ends_ns, mut submissions_ns) = (0.0, 0.0);
    for _ in 0..rounds {
        let Some(id) = benchmark.message_in_flight() else {
            break;
        };
        benchmark.actions.clear();
        benchmark.now += EVENT_INTERVAL;
        attempt_ends_ns += measure_ns(|| benchmark.end_attempt(id));
        submissions_ns += measure_ns(|| benchmark.submit());
    }
    let rounds = f64::from(rounds.max(1));
    CoreCost {
        waiting,
        submission_ns: submissions_ns / rounds,
        attempt_end_ns: attempt_ends_ns / rounds,
    }
}

fn measure_ns(work: impl FnOnce()) -> f64 {
    let started_at = Instant::now();
    work();
    started_at.elapsed().as_nanos() as f64
}

/// A core with one endpoint, and what it has been told.
struct CoreBenchmark {
    core: Forwarder,
    time_to_live: Micros,
    now: Micros,
    actions: Vec<Action>,
    /// Messages submitted so far.
    submitted_count: u32,
}

impl CoreBenchmark {
    fn new() -> CoreBenchmark {
        let scenario = Scenario::read(SCENARIO, "bids")
            .unwrap_or_else(|error| unreachable!("a fixed scenario: {error}"));
        let mut benchmark = CoreBenchmark {
            core: Forwarder::new(scenario.config(0), 1),
            time_to_live: scenario.longest_time_to_live(),
            now: START_TIME,
            actions: Vec::new(),
            submitted_count: 0,
        };
        let entry = EndpointEntry {
            endpoint: ENDPOINT,
            zone: ZoneId(0),
            up_since: 0,
            status: EndpointStatus::Ready,
            rate: ENDPOINT_RATE,
            destination: DestinationId(0),
            kind: EndpointKindId(0),
        };
        let list = EndpointListUpdate::Cached(vec![entry]);
        benchmark.handle(Event::EndpointListUpdated(list));
        benchmark
    }

    fn handle(&mut self, event: Event) {
        self.core.handle(self.now, event, &mut self.actions);
    }

    fn submit(&mut self) {
        self.submitted_count += 1;
        self.handle(Event::MessageSubmitted(Submission {
            id: MessageId(self.submitted_count),
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
            elapsed: EVENT_INTERVAL,
            message_completed: true,
            load_metrics: Vec::new(),
        });
    }

    /// The message that was sent last.
    fn message_in_flight(&self) -> Option<MessageId> {
        let mut actions = self.actions.iter().rev();
        actions.find_map(|action| match action {
            Action::StartAttempt { id, .. } => Some(*id),
            _ => None,
        })
    }
}
