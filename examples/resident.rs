//! Measures the resident memory of the core alone: `cargo run --release --example resident -- DESTINATIONS [FULL]`.
//! FULL is the number of destinations held in full before idle ones are summarised; without it all are.
//!
//! One endpoint a destination and 400 forwarders. Prints the growth of resident memory for the whole list, after a second
//! whole list, and after 10 s of 200 messages a second to destinations by chance; how long each took is printed to compare.

use opalpulley::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Instant;

const FORWARDERS: u32 = 400;
const MESSAGES: u32 = 2_000;
const BETWEEN: Micros = 5_000; // µs between messages: 200 a second
const ANSWER: Micros = 30_000; // µs until each is delivered

fn config(full_destinations: Option<u32>) -> Config {
    let class = DeliveryClassConfig {
        semantics: DeliverySemantics::Idempotent,
        latency_objective: 1_000_000,
        time_to_live: 30_000_000,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ordered: false,
    };
    Config {
        fleet_size: FORWARDERS,
        concurrency_limit: 64,
        message_capacity: 10_000,
        max_attempts: 6,
        may_health_check: true,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: 2_000_000,
        listed_rates: ListedRates::Nominal,
        classes: vec![class],
        endpoint_kinds: vec![EndpointKindConfig {
            independent_limits: false,
            batch_size: 1,
        }],
        rules: RuleConfig {
            answer_slack: 20_000,
            drain_grace: 500_000,
            cold_capacity_share: 0.2,
            warm_up_time: 10_000_000,
            overload_multiple: 2.0,
            overload_window: 2_000_000,
            order_settle_time: 300_000,
        },
        scheduling_interval: 5_000,
        full_destinations,
        ..Config::default()
    }
}

fn entry(n: u32) -> EndpointEntry {
    let [_, a, b, c] = n.to_be_bytes();
    let endpoint = EndpointId {
        address: [10, a, b, c],
        port: 443,
        incarnation: 0,
    };
    let (standing, destination) = (EndpointStatus::Ready, DestinationId(n));
    EndpointEntry {
        endpoint,
        zone: ZoneId(0),
        up_since: 0,
        status: standing,
        rate: 20.0,
        destination,
        kind: EndpointKindId(0),
    }
}

/// Resident memory of this process, in bytes.
fn resident() -> Result<u64, std::io::Error> {
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

struct Run {
    forwarder: Forwarder,
    destinations: u32,
    before: u64,
    begun: Instant,
}

impl Run {
    fn list(&mut self, now: Micros) {
        // In pieces, as a front end may hand them over: the list itself is not to be measured.
        let chunk = 4_096;
        for first in (0..self.destinations).step_by(chunk as usize) {
            let entries = (first..self.destinations.min(first + chunk))
                .map(entry)
                .collect();
            self.forwarder.handle(
                now,
                Event::EndpointList(EndpointListUpdate::Changes(entries)),
                &mut Vec::new(),
            );
        }
    }

    fn messages(&mut self, begin: Micros) {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut actions = Vec::new();
        let mut out: Vec<(Micros, MessageId, EndpointId)> = Vec::new();
        for n in 0..MESSAGES {
            let now = begin + BETWEEN * Micros::from(n);
            let arrival = Submission {
                id: MessageId(n),
                class: DeliveryClassId(0),
                tenant: TenantId(0),
                key: None,
                time_left: 30_000_000,
                destination: DestinationId(chance.random_range(0..self.destinations)),
                resubmitted: false,
                history: AttemptHistory::default(),
            };
            self.forwarder
                .handle(now, Event::Submitted(arrival), &mut actions);
            self.forwarder.handle(
                now,
                Event::TimerFired {
                    token: TimerToken(0),
                },
                &mut actions,
            );
            for (_, id, endpoint) in out.extract_if(.., |(at, ..)| *at <= now) {
                let (outcome, report) = (Outcome::Delivered, Vec::new());
                let ended = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    endpoint,
                    outcome,
                    took: ANSWER,
                    completed: true,
                    report,
                };
                self.forwarder.handle(now, ended, &mut actions);
            }
            let sent = actions.drain(..).filter_map(|action| match action {
                Action::Send { id, endpoint, .. } => Some((now + ANSWER, id, endpoint)),
                _ => None,
            });
            out.extend(sent);
        }
    }

    fn report(&mut self, what: &str) -> Result<(), std::io::Error> {
        let bytes = resident()?.saturating_sub(self.before);
        let (took, counts) = (self.begun.elapsed(), self.forwarder.state_counts());
        let each = bytes as f64 / f64::from(self.destinations);
        println!("{what}: {bytes} bytes, {each:.0} a destination, {took:.1?}; {counts:?}");
        self.begun = Instant::now();
        Ok(())
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut arguments = std::env::args().skip(1);
    let destinations = arguments.next().ok_or("how many destinations?")?.parse()?;
    let full = arguments.next().map(|full| full.parse()).transpose()?;
    let (forwarder, before) = (Forwarder::new(config(full), 1), resident()?);
    let mut run = Run {
        forwarder,
        destinations,
        before,
        begun: Instant::now(),
    };
    run.list(1_000_000);
    run.report("whole list")?;
    run.list(2_000_000);
    run.report("the same again")?;
    run.messages(10_000_000);
    run.report("after messages").map_err(Into::into)
}
