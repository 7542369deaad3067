//! Measures the resident memory of the core alone: `cargo run --release --example resident -- DESTINATIONS [FULL]`.
//! FULL is the number of destinations held in full before idle ones are summarised; without it all are.
//!
//! One target a destination and 400 forwarders. Prints the growth of resident memory for the whole list, after a second
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
    let profile = ProfileConfig {
        effect: Effect::Retriable,
        contract_time: 1_000_000,
        expiry: 30_000_000,
        importance: 1.0,
        late_share: 0.5,
        in_order: false,
    };
    Config {
        forwarders: FORWARDERS,
        slots: 64,
        room: 10_000,
        max_trips: 6,
        may_probe: true,
        may_call_off: true,
        may_say_when: true,
        longest_return: 2_000_000,
        list_rates: ListRates::Nominal,
        profiles: vec![profile],
        kinds: vec![KindConfig {
            routes_apart: false,
            per_call: 1,
        }],
        rules: RuleConfig {
            answer_slack: 20_000,
            drain_grace: 500_000,
            cold_from: 0.2,
            warm_after: 10_000_000,
            fall_multiple: 2.0,
            overload_for: 2_000_000,
            order_pause: 300_000,
        },
        round: 5_000,
        full_destinations,
        ..Config::default()
    }
}

fn entry(n: u32) -> Listing {
    let [_, a, b, c] = n.to_be_bytes();
    let target = TargetId {
        address: [10, a, b, c],
        port: 443,
        holder: 0,
    };
    let (standing, destination) = (Standing::Ready, DestinationId(n));
    Listing {
        target,
        zone: ZoneId(0),
        since: 0,
        standing,
        rate: 20.0,
        destination,
        kind: KindId(0),
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
                Event::List(ListNews::Changes(entries)),
                &mut Vec::new(),
            );
        }
    }

    fn messages(&mut self, begin: Micros) {
        let mut chance = Pcg64Mcg::seed_from_u64(1);
        let mut actions = Vec::new();
        let mut out: Vec<(Micros, PacketId, TargetId)> = Vec::new();
        for n in 0..MESSAGES {
            let now = begin + BETWEEN * Micros::from(n);
            let arrival = Arrival {
                id: PacketId(n),
                profile: ProfileId(0),
                tenant: TenantId(0),
                key: None,
                left: 30_000_000,
                hint: None,
                destination: DestinationId(chance.random_range(0..self.destinations)),
                again: false,
                write: false,
                orphan: false,
                past: Past::default(),
            };
            self.forwarder
                .handle(now, Event::Packet(arrival), &mut actions);
            self.forwarder
                .handle(now, Event::Alarm { token: Token(0) }, &mut actions);
            for (_, id, target) in out.extract_if(.., |(at, ..)| *at <= now) {
                let (outcome, report) = (Outcome::Delivered, Vec::new());
                let ended = Event::TripEnded {
                    id,
                    trip: 0,
                    target,
                    outcome,
                    took: ANSWER,
                    closed: true,
                    report,
                };
                self.forwarder.handle(now, ended, &mut actions);
            }
            let sent = actions.drain(..).filter_map(|action| match action {
                Action::Send { id, target, .. } => Some((now + ANSWER, id, target)),
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
