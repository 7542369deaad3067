//! Measures the cost of core events while a given number of messages waits in one queue: the wall-clock time of one
//! submission and of one attempt's end, each with the scheduling round that follows. The figures depend on the machine.

use crate::scenario::Scenario;
use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointKindId, EndpointListUpdate, EndpointStatus, Event, Forwarder, MessageId, Micros,
    Outcome, Submission, TenantId, ZoneId,
};
use serde::Serialize;
use std::time::Instant;

/// Simulated time between two submissions or two rounds, in µs.
const EVENT_INTERVAL: Micros = 100;
/// Simulated time at which the benchmark begins, in µs.
const START_TIME: Micros = 1_000_000;
/// Calls per second that the endpoint accepts: more than the core sends, so that its rate never limits an attempt.
const ENDPOINT_RATE: f32 = 1e6;
const ENDPOINT: EndpointId = EndpointId {
    address: [10, 0, 0, 1],
    port: 80,
    incarnation: 0,
};
/// One forwarder with one concurrency permit and no effective bound on waiting messages, and one destination with one
/// endpoint.
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

/// The mean cost of core events with a given number of waiting messages.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CoreCost {
    /// Number of waiting messages.
    pub waiting: u32,
    /// Mean time of a submission with the scheduling that follows it, in ns.
    #[serde(rename = "arrival")]
    pub submission_ns: f64,
    /// Mean time of an attempt's end with the scheduling that follows it, in ns.
    #[serde(rename = "end")]
    pub attempt_end_ns: f64,
}

/// Measures the cost of core events with `waiting` messages behind the one in flight. In each of the `rounds`, the attempt
/// in flight ends and another message is submitted, so that the number of waiting messages stays the same.
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

/// A core with one endpoint, and the state of the benchmark around it.
struct CoreBenchmark {
    core: Forwarder,
    /// Time to live of each submitted message, in µs.
    time_to_live: Micros,
    /// Simulated time, in µs.
    now: Micros,
    /// Actions of the core; cleared in each round before its events.
    actions: Vec<Action>,
    /// Number of messages submitted so far. The count is also the id of the last one.
    submitted_count: u32,
}

impl CoreBenchmark {
    fn new() -> CoreBenchmark {
        let scenario = Scenario::read(SCENARIO, "bids")
            .unwrap_or_else(|error| unreachable!("the constant scenario must be valid: {error}"));
        let mut benchmark = CoreBenchmark {
            core: Forwarder::new(scenario.config(0), 1),
            time_to_live: scenario.max_time_to_live(),
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

    /// Returns the message of the attempt that the core started last, if `actions` contains one.
    fn message_in_flight(&self) -> Option<MessageId> {
        let mut actions = self.actions.iter().rev();
        actions.find_map(|action| match action {
            Action::StartAttempt { id, .. } => Some(*id),
            _ => None,
        })
    }
}
