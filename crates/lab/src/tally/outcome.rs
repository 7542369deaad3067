//! The outcome of a run, as it is written to JSON and read by reports. The JSON keys must stay readable by and compatible with
//! outcomes that were written before; a field whose Rust name differs has an explicit `serde(rename)`.

use crate::oracle::RuleViolation;
use crate::scenario::{Expectations, Fault};
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The clock of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Clock {
    /// A simulated clock: deterministic, and not bound to real time.
    Simulated,
    /// Real time, with forwarder processes.
    Sockets,
}

/// Counts over a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Messages that were due.
    pub due: u64,
    /// Messages that were served by their deadline.
    pub served: u64,
    /// Messages that were served within the latency objective of their class.
    pub on_time: u64,
    /// Messages that were served by the first attempt of their first submission.
    #[serde(rename = "first_trip")]
    pub first_attempt: u64,
    /// Messages that were served by a later attempt, or after a resubmission.
    pub retried: u64,
    /// Messages whose final answer was a failure, or that were served after their deadline.
    #[serde(rename = "written_off")]
    pub failed: u64,
    /// Messages that their clients gave up after rejections or unreachable forwarders.
    pub given_up: u64,
    /// Messages that were lost with a forwarder's state folder.
    pub gone: u64,
    /// Messages that were unfinished at their clients when the run ended.
    pub open: u64,
    /// Submissions, including resubmissions.
    #[serde(rename = "hand_ins")]
    pub submissions: u64,
    /// Rejections.
    #[serde(rename = "deferrals")]
    pub rejections: u64,
    /// Submissions that reached no forwarder, or one that was at its message capacity.
    pub turned_away: u64,
    /// Calls that were sent.
    pub calls: u64,
    /// Health checks that were sent.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Connections that were opened.
    pub handshakes: u64,
    /// Number of outcomes, by name.
    pub outcomes: BTreeMap<String, u64>,
}

/// Latencies of served messages, counted from when a message was due, µs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The maximum.
    pub most: u64,
}

/// Counts and latencies of one time bucket.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimeBucket {
    /// Messages that were due.
    pub due: u64,
    /// Messages that were served.
    pub served: u64,
    /// Rejections.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Messages that failed.
    #[serde(rename = "written_off")]
    pub failed_messages: u64,
    /// Calls that were sent.
    pub calls: u64,
    /// Calls that got a successful response.
    pub good: u64,
    /// Calls that an endpoint rejected.
    pub refused: u64,
    /// Calls that ended with any other outcome.
    pub failed: u64,
    /// Calls in flight as the bucket began.
    pub calls_out: u64,
    /// The median latency of the messages that were served in this bucket, µs; 0 if there were none.
    pub p50: u64,
    /// The 99th percentile of their latency, µs; 0 if there were none.
    pub p99: u64,
}

/// The period in which a fault was active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultPeriod {
    /// The fault's name in the scenario file.
    pub what: String,
    /// When the fault began, in µs since the start of the run.
    pub from: Micros,
    /// When the fault ended, in µs since the start of the run.
    pub until: Micros,
}

impl FaultPeriod {
    /// Returns the period of a fault of the scenario.
    pub fn from_fault(fault: &Fault) -> FaultPeriod {
        FaultPeriod {
            what: fault.kind.name(),
            from: fault.at.0,
            until: fault.ends_at(),
        }
    }
}

/// The complete outcome of a run, as `report` reads it. The outcome of a simulated run doesn't depend on the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// What the scenario demonstrates.
    pub shows: String,
    /// The clock of the run.
    pub clock: Clock,
    /// The seed of the run.
    pub seed: u64,
    /// The forwarder that was run.
    pub subject: String,
    /// The time during which messages became due, µs.
    pub lasts: Micros,
    /// Counts over the whole run.
    pub counts: Counts,
    /// Latencies of served messages.
    pub latency: Latency,
    /// The served share of the priority weight that was due. A message counts with its full weight within its latency objective,
    /// and with less after it.
    pub service: f64,
    /// Number of violations of each rule, by the rule's name.
    pub broken: BTreeMap<String, u64>,
    /// The first violations, with their descriptions.
    pub breaks: Vec<RuleViolation>,
    /// Overload failures of endpoints during warm-up, whether or not forwarders caused them.
    pub falls: u64,
    /// Why the run is invalid, if it is: nothing can be concluded from it.
    pub void: Option<String>,
    /// How late the load generator submitted messages, 99th percentile, µs; on sockets only.
    pub load_late: u64,
    /// How late the receivers responded, 99th percentile, µs; on sockets only.
    pub receivers_late: u64,
    /// The width of a time bucket, µs.
    #[serde(rename = "column")]
    pub bucket_width: Micros,
    /// The time buckets, from the start of the run.
    #[serde(rename = "columns")]
    pub buckets: Vec<TimeBucket>,
    /// The periods in which faults were active.
    pub spells: Vec<FaultPeriod>,
    /// The expectations of the scenario.
    pub expect: Expectations,
}

impl Outcome {
    /// Returns the share of the messages that were served by their deadline.
    pub fn served_share(&self) -> f64 {
        self.per_message(self.counts.served)
    }

    /// Returns the share of the messages that were served by their first attempt.
    pub fn first_attempt_share(&self) -> f64 {
        self.per_message(self.counts.first_attempt)
    }

    /// Returns the number of calls per message that was due.
    pub fn calls_per_message(&self) -> f64 {
        self.per_message(self.counts.calls)
    }

    fn per_message(&self, count: u64) -> f64 {
        count as f64 / self.counts.due.max(1) as f64
    }

    /// Returns a line for each broken rule, for each expectation that the run doesn't meet, and for messages that were still
    /// open at the end; an empty list if there are none. For an invalid run it returns only why the run is invalid.
    pub fn misses(&self) -> Vec<String> {
        if let Some(void) = &self.void {
            return vec![format!("void: {void}")];
        }
        let broken = self.broken.iter();
        let mut misses: Vec<String> = broken
            .map(|(rule, times)| format!("rule broken: {rule}, {times} times"))
            .collect();
        let expect = &self.expect;
        misses.extend(missed_expectation(
            "served",
            self.served_share(),
            expect.served,
        ));
        let first_attempt = self.first_attempt_share();
        misses.extend(missed_expectation(
            "first attempt",
            first_attempt,
            expect.first_attempt,
        ));
        let calls = expect.calls_per_message.map(|most| [0.0, most]);
        misses.extend(missed_expectation(
            "calls a message",
            self.calls_per_message(),
            calls,
        ));
        misses.extend(self.missed_p99());
        let open = self.counts.open;
        if open > 0 {
            misses.push(format!("{open} messages were still open at the end"));
        }
        misses
    }

    fn missed_p99(&self) -> Option<String> {
        let expected = match self.clock {
            Clock::Sockets => self.expect.p99_sockets.or(self.expect.p99),
            Clock::Simulated => self.expect.p99,
        }?;
        let p99 = self.latency.p99;
        (p99 > expected.0).then(|| format!("p99 {p99} us, expected {expected} at most"))
    }
}

/// Returns a line on a figure that lies outside its expected range, both bounds included; `None` if it lies within, or if
/// nothing is expected.
fn missed_expectation(name: &str, actual: f64, expected: Option<[f64; 2]>) -> Option<String> {
    let [least, most] = expected?;
    let outside = actual < least || actual > most;
    outside.then(|| format!("{name} {actual:.4}, expected {least} to {most}"))
}
