//! Measures the resident memory of the decision core alone.
//!
//!     cargo run --release --example resident -- DESTINATIONS [FULL]
//!
//! DESTINATIONS is the number of destinations, each with one endpoint. FULL is the number of
//! destinations that are held in full before idle ones are summarised; without it, all destinations
//! are held in full. The forwarder belongs to a fleet of 400.
//!
//! Prints the growth of the resident memory after the complete list, after the same list again, and
//! after 10 s with 200 messages a second to random destinations. The duration of each step is
//! printed for comparison.

use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

const FLEET_SIZE: u32 = 400;

const MESSAGE_COUNT: u32 = 2_000;

/// Time between two messages in µs, which gives 200 messages a second.
const MESSAGE_INTERVAL: Micros = 5_000;

/// Time from the start of an attempt to its delivery, in µs.
const RESPONSE_TIME: Micros = 30_000;

/// Time from the submission of a message to its deadline, in µs.
const TIME_TO_LIVE: Micros = 30_000_000;

/// Number of list entries that are reported at a time. The list is reported in chunks so that the
/// memory of the list itself is not measured.
const LIST_CHUNK_LEN: u32 = 4_096;

fn config(full_destinations: Option<u32>) -> Config {
    let class = DeliveryClassConfig {
        semantics: DeliverySemantics::Idempotent,
        latency_objective: 1_000_000,
        time_to_live: TIME_TO_LIVE,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ordered: false,
    };
    let kind = EndpointKindConfig {
        has_independent_limits: false,
        max_batch_size: 1,
    };
    Config {
        fleet_size: FLEET_SIZE,
        concurrency_limit: 64,
        max_messages: 10_000,
        max_attempts: 6,
        may_health_check: true,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 2_000_000,
        listed_rate_accuracy: ListedRateAccuracy::Nominal,
        classes: vec![class],
        endpoint_kinds: vec![kind],
        rules: ServiceRuleConfig {
            answer_slack: 20_000,
            drain_grace: 500_000,
            cold_capacity_share: 0.2,
            warm_up_time: 10_000_000,
            overload_multiple: 2.0,
            overload_window: 2_000_000,
            order_settle_time: 300_000,
        },
        min_tick_interval: 5_000,
        full_destinations,
        ..Config::default()
    }
}

/// Returns the list entry of the only endpoint of a destination.
fn endpoint_entry(destination: u32) -> EndpointEntry {
    let [_, a, b, c] = destination.to_be_bytes();
    EndpointEntry {
        endpoint: EndpointId {
            address: [10, a, b, c],
            port: 443,
            incarnation: 0,
        },
        zone: ZoneId(0),
        up_since: 0,
        status: EndpointStatus::Ready,
        rate: 20.0,
        destination: DestinationId(destination),
        kind: EndpointKindId(0),
    }
}

/// Returns the resident memory of this process in bytes. Fails if `/proc/self/status` can't be read
/// or holds no `VmRSS`.
fn resident_bytes() -> Result<u64, std::io::Error> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or_default();
    let kilobytes: u64 = line
        .trim()
        .trim_end_matches(" kB")
        .parse()
        .map_err(std::io::Error::other)?;
    Ok(kilobytes * 1_024)
}

/// An attempt in flight that will be delivered at `delivered_at`, in µs.
struct AttemptInFlight {
    delivered_at: Micros,
    id: MessageId,
    endpoint: EndpointId,
}

/// Drives a forwarder and owns its attempts in flight.
struct Measurement {
    forwarder: Forwarder,
    destinations: u32,
    in_flight: Vec<AttemptInFlight>,
    /// Resident memory before the first list, in bytes.
    bytes_before: u64,
    step_started_at: Instant,
}

impl Measurement {
    fn report_list(&mut self, now: Micros) {
        for first in (0..self.destinations).step_by(LIST_CHUNK_LEN as usize) {
            let end = self.destinations.min(first + LIST_CHUNK_LEN);
            let entries = (first..end).map(endpoint_entry).collect();
            let update = EndpointListUpdate::Changes(entries);
            self.handle(now, Event::EndpointListUpdated(update));
        }
    }

    fn send_messages(&mut self, start: Micros) {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        for number in 0..MESSAGE_COUNT {
            let now = start + MESSAGE_INTERVAL * Micros::from(number);
            let submission = Submission {
                id: MessageId(number),
                class: DeliveryClassId(0),
                tenant: TenantId(0),
                order_key: None,
                time_left: TIME_TO_LIVE,
                destination: DestinationId(rng.random_range(0..self.destinations)),
                resubmitted: false,
                history: AttemptHistory::default(),
            };
            self.handle(now, Event::MessageSubmitted(submission));
            let token = TimerToken(0);
            self.handle(now, Event::TimerFired { token });
            self.deliver_due(now);
        }
    }

    /// Ends the attempts that are delivered by now.
    fn deliver_due(&mut self, now: Micros) {
        let is_due = |attempt: &mut AttemptInFlight| attempt.delivered_at <= now;
        let due: Vec<AttemptInFlight> = self.in_flight.extract_if(.., is_due).collect();
        for AttemptInFlight { id, endpoint, .. } in due {
            let delivered = Event::AttemptEnded {
                id,
                attempt_index: 0,
                endpoint,
                outcome: Outcome::Delivered,
                elapsed: RESPONSE_TIME,
                message_completed: true,
                load_metrics: Vec::new(),
            };
            self.handle(now, delivered);
        }
    }

    /// Handles an event and records the attempts that it starts.
    fn handle(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.forwarder.handle(now, event, &mut actions);
        for action in actions {
            if let Action::StartAttempt { id, endpoint, .. } = action {
                self.in_flight.push(AttemptInFlight {
                    delivered_at: now + RESPONSE_TIME,
                    id,
                    endpoint,
                });
            }
        }
    }

    /// Prints the growth of the resident memory since the start and the duration of the step.
    fn print_step(&mut self, step: &str) -> Result<(), std::io::Error> {
        let bytes = resident_bytes()?.saturating_sub(self.bytes_before);
        let step_elapsed = self.step_started_at.elapsed();
        let counts = self.forwarder.state_counts();
        let bytes_per_destination = bytes as f64 / f64::from(self.destinations);
        println!(
            "{step}: {bytes} bytes, {bytes_per_destination:.0} a destination, \
             {step_elapsed:.1?}; {counts:?}"
        );
        self.step_started_at = Instant::now();
        Ok(())
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let destinations = arguments
        .next()
        .ok_or("missing argument: DESTINATIONS")?
        .parse()?;
    let full_destinations = arguments.next().map(|full| full.parse()).transpose()?;
    let mut measurement = Measurement {
        forwarder: Forwarder::new(config(full_destinations), 1),
        destinations,
        in_flight: Vec::new(),
        bytes_before: resident_bytes()?,
        step_started_at: Instant::now(),
    };
    measurement.report_list(1_000_000);
    measurement.print_step("complete list")?;
    measurement.report_list(2_000_000);
    measurement.print_step("the same list again")?;
    measurement.send_messages(10_000_000);
    measurement.print_step("after the messages")?;
    Ok(())
}
