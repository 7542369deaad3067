//! The results of a run: counts, which depend on the plan alone, and measurements of time and memory on this machine. They
//! are written as text, JSON and plot.

use super::counters::{EventKind, MessageCounts, EVENT_KINDS};
use super::destination_states::DestinationStates;
use super::discovery::{ConfigChange, Discovery};
use super::layout::{forwarder_zone, region};
use super::network::{ControlTraffic, Network};
use super::observer::ReceiverCounts;
use super::plan::{Plan, SECOND};
use super::receivers::Receivers;
use super::simulated_forwarder::SimulatedForwarder;
use opalpulley::Micros;
use serde::Serialize;
use std::time::Duration;

/// The results that depend on the plan alone. Two runs of one plan give equal counts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Counts {
    /// Sums over the fleet.
    pub messages: MessageCounts,
    /// Messages neither delivered, failed nor rejected by the end of the run.
    pub open: u64,
    pub receivers: ReceiverCounts,
    /// Sums over the fleet.
    pub control: ControlTraffic,
    pub control_bytes_a_second: ControlRates,
    /// Calls, health checks and their responses that a partition lost.
    pub attempts_lost: u64,
    /// Datagrams that a partition lost, counted once for each peer.
    pub gossip_lost: u64,
    /// All changes of configuration, in order.
    pub changes: Vec<ChangePropagation>,
    pub states: DestinationStates,
}

/// Control traffic of a forwarder after the start, in bytes per second on the wire, averaged over the whole run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ControlRates {
    pub gossip_out: MeanAndWorst,
    pub gossip_in: MeanAndWorst,
    pub list_out: MeanAndWorst,
    pub list_in: MeanAndWorst,
    /// The sum of the four kinds above.
    pub all: MeanAndWorst,
}

/// A figure that each forwarder has, over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MeanAndWorst {
    pub mean: f64,
    /// The highest value of a forwarder, at least 0.
    pub worst: f64,
}

impl MeanAndWorst {
    /// Computes the mean and the maximum of the values of the forwarders. Both are 0 without values.
    pub fn of(values: impl Iterator<Item = f64>) -> MeanAndWorst {
        let (mut sum, mut count, mut worst) = (0.0, 0u32, 0.0);
        for value in values {
            (sum, count, worst) = (sum + value, count + 1, f64::max(worst, value));
        }
        MeanAndWorst {
            mean: sum / f64::from(count.max(1)),
            worst,
        }
    }
}

/// How long a change of configuration took to be in force at the forwarders, in seconds after it was made.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ChangePropagation {
    /// Simulated time at which the change was made, in s.
    pub made_at: f64,
    /// Number of changed entries of the endpoint list.
    pub lines: usize,
    /// Median over the forwarders that had the change by the end of the run.
    pub median: Option<f64>,
    /// Maximum over the forwarders that had the change by the end of the run.
    pub last: Option<f64>,
    /// `last` for each region.
    pub last_by_region: [Option<f64>; 2],
    /// Number of forwarders that did not have the change by the end of the run.
    pub missing: usize,
}

impl ChangePropagation {
    fn of(change: &ConfigChange) -> ChangePropagation {
        let seconds_after = |at: &Micros| (at - change.made_at) as f64 / SECOND as f64;
        let mut times: Vec<f64> = change
            .in_force_at
            .iter()
            .flatten()
            .map(seconds_after)
            .collect();
        times.sort_by(f64::total_cmp);
        let last_in = |wanted: u16| {
            let in_region = |(at, forwarder): (&Option<Micros>, u32)| {
                at.filter(|_| region(forwarder_zone(forwarder)) == wanted)
            };
            change
                .in_force_at
                .iter()
                .zip(0..)
                .filter_map(in_region)
                .max()
                .map(|at| seconds_after(&at))
        };
        ChangePropagation {
            made_at: change.made_at as f64 / SECOND as f64,
            lines: change.entries.len(),
            median: times.get(times.len() / 2).copied(),
            last: times.last().copied(),
            last_by_region: [last_in(0), last_in(1)],
            missing: change.in_force_at.len() - times.len(),
        }
    }
}

/// Collects the counts of a finished run.
pub fn collect_counts(
    plan: &Plan,
    forwarders: &[SimulatedForwarder],
    network: &Network,
    receivers: &Receivers,
    discovery: &Discovery,
) -> Counts {
    let mut messages = MessageCounts::default();
    forwarders.iter().for_each(|f| messages += f.counts);
    let mut control = ControlTraffic::default();
    network.control.iter().for_each(|c| control += *c);
    let seconds = f64::from(plan.seconds);
    let rate = |bytes: fn(&ControlTraffic) -> u64| {
        MeanAndWorst::of(network.control.iter().map(|c| bytes(c) as f64 / seconds))
    };
    Counts {
        messages,
        open: forwarders
            .iter()
            .map(|f| f.unfinished_message_count() as u64)
            .sum(),
        receivers: receivers.counts,
        control,
        control_bytes_a_second: ControlRates {
            gossip_out: rate(|c| c.gossip_out.wire_bytes),
            gossip_in: rate(|c| c.gossip_in.wire_bytes),
            list_out: rate(|c| c.list_out.wire_bytes),
            list_in: rate(|c| c.list_in.wire_bytes),
            all: rate(ControlTraffic::bytes_after_start),
        },
        attempts_lost: network.attempts_lost,
        gossip_lost: network.gossip_lost,
        changes: discovery
            .changes
            .iter()
            .map(ChangePropagation::of)
            .collect(),
        states: DestinationStates::of(forwarders),
    }
}

/// Counts of one second of the run, summed over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Messages submitted.
    pub arrived: u64,
    /// Messages delivered.
    pub delivered: u64,
    /// Bytes on the wire.
    pub gossip_in_bytes: u64,
    /// Bytes on the wire, without the complete list at the start.
    pub list_in_bytes: u64,
    /// Calls and health checks that arrived at destinations that were down.
    pub attempts_while_down: u64,
}

impl SecondCounts {
    /// Computes the counts since the previous call. `totals` holds the sums up to it and is updated; it is `None` before the
    /// first call.
    pub fn since(
        totals: &mut Option<SecondCounts>,
        forwarders: &[SimulatedForwarder],
        network: &Network,
        receivers: &Receivers,
    ) -> SecondCounts {
        let sum = |of: fn(&ControlTraffic) -> u64| network.control.iter().map(of).sum();
        let now = SecondCounts {
            arrived: forwarders.iter().map(|f| f.counts.arrived).sum(),
            delivered: forwarders.iter().map(|f| f.counts.delivered).sum(),
            gossip_in_bytes: sum(|c| c.gossip_in.wire_bytes),
            list_in_bytes: sum(|c| c.list_in.wire_bytes),
            attempts_while_down: receivers.counts.calls_while_down
                + receivers.counts.health_checks_while_down,
        };
        let before = totals.replace(now).unwrap_or_default();
        SecondCounts {
            arrived: now.arrived - before.arrived,
            delivered: now.delivered - before.delivered,
            gossip_in_bytes: now.gossip_in_bytes - before.gossip_in_bytes,
            list_in_bytes: now.list_in_bytes - before.list_in_bytes,
            attempts_while_down: now.attempts_while_down - before.attempts_while_down,
        }
    }
}

/// The cost of one kind of events in the core of a forwarder, averaged over the fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EventKindCost {
    pub kind: EventKind,
    /// Events of one forwarder per simulated second.
    pub events_a_second: f64,
    /// Processor time of one event, in µs.
    pub microseconds_an_event: f64,
    /// Processor time of a forwarder as a fraction of simulated time: the share of one processor core that it would use.
    pub core_share: MeanAndWorst,
}

/// Time and memory that the run took on this machine. They differ from run to run and are never compared.
#[derive(Clone, Debug, Serialize)]
pub struct Measurements {
    /// Wall-clock time of the run with its start, in s.
    pub wall_seconds: f64,
    /// Wall-clock time until all forwarders had applied the complete list, in s.
    pub start_seconds: f64,
    /// Resident memory added since before the run, divided by the number of forwarders, once all have applied the complete
    /// list; in bytes.
    pub resident_a_forwarder_at_start: f64,
    /// The resident memory at the end of the run, computed in the same way.
    pub resident_a_forwarder_at_end: f64,
    /// One entry for each kind of events, in the order of [`EVENT_KINDS`].
    pub work: Vec<EventKindCost>,
}

impl Measurements {
    /// Computes the measurements of a finished run. `resident_before` and `resident_at_start` are the resident memory of the
    /// process before the run and after its start, in bytes.
    pub fn new(
        plan: &Plan,
        forwarders: &[SimulatedForwarder],
        resident_before: u64,
        resident_at_start: u64,
        start_time: Duration,
        wall_time: Duration,
    ) -> Measurements {
        let seconds = f64::from(plan.seconds);
        let bytes_per_forwarder =
            |bytes: u64| bytes.saturating_sub(resident_before) as f64 / forwarders.len() as f64;
        let cost_of = |kind: EventKind| {
            let costs = || forwarders.iter().map(|f| f.costs[kind as usize]);
            let events: u64 = costs().map(|cost| cost.events).sum();
            let time: f64 = costs().map(|cost| cost.cpu_time.as_secs_f64()).sum();
            EventKindCost {
                kind,
                events_a_second: events as f64 / seconds / forwarders.len() as f64,
                microseconds_an_event: time * 1e6 / events.max(1) as f64,
                core_share: MeanAndWorst::of(
                    costs().map(|cost| cost.cpu_time.as_secs_f64() / seconds),
                ),
            }
        };
        Measurements {
            wall_seconds: wall_time.as_secs_f64(),
            start_seconds: start_time.as_secs_f64(),
            resident_a_forwarder_at_start: bytes_per_forwarder(resident_at_start),
            resident_a_forwarder_at_end: bytes_per_forwarder(resident_bytes()),
            work: EVENT_KINDS.into_iter().map(cost_of).collect(),
        }
    }
}

/// The complete results of a run, as they are written to JSON.
#[derive(Clone, Debug, Serialize)]
pub struct FleetOutcome {
    pub plan: Plan,
    pub counts: Counts,
    /// One entry for each complete simulated second, in order.
    #[serde(rename = "columns")]
    pub per_second_counts: Vec<SecondCounts>,
    pub measured: Measurements,
}

/// Returns the resident memory of this process in bytes, or 0 if the system can't report it.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
