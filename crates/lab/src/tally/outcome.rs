//! The outcome of a run, as it is written and as reports read it. The keys of its JSON are fixed by outcomes that were written
//! before; where a Rust name differs, the key is named by an explicit `serde(rename)`.

use crate::oracle::RuleViolation;
use crate::scenario::{Expectations, Fault};
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The clock of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Clock {
    /// Deterministic, as fast as it goes.
    Simulated,
    /// Real time, with forwarder processes.
    Sockets,
}

/// Counts over a whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Messages that were due.
    pub due: u64,
    /// Messages that were served in time.
    pub served: u64,
    /// Those within the latency objective.
    pub on_time: u64,
    /// Those by their first attempt.
    #[serde(rename = "first_trip")]
    pub first_attempt: u64,
    /// Those by another than the first.
    pub retried: u64,
    /// Failed: that was the final answer, or it was served too late.
    #[serde(rename = "written_off")]
    pub failed: u64,
    /// Rejected, and the client did not submit again in time.
    pub given_up: u64,
    /// Lost with a forwarder's folder.
    pub gone: u64,
    /// Not over when the run ended.
    pub open: u64,
    /// Submissions, with those of messages that were rejected before.
    #[serde(rename = "hand_ins")]
    pub submissions: u64,
    /// Rejections.
    #[serde(rename = "deferrals")]
    pub rejections: u64,
    /// Submissions that found no forwarder, or one without room.
    pub turned_away: u64,
    /// Calls that were sent.
    pub calls: u64,
    /// Health checks that were sent.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Connections that were opened.
    pub handshakes: u64,
    /// Outcomes of calls, by name.
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
    /// The longest.
    pub most: u64,
}

/// What happened within one time bucket.
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
    /// Calls that were answered well.
    pub good: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that failed otherwise.
    pub failed: u64,
    /// Calls in flight as the bucket began.
    pub calls_out: u64,
    /// The median latency of messages served in it, µs.
    pub p50: u64,
    /// The 99th percentile of the same, µs.
    pub p99: u64,
}

/// When a fault was in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultPeriod {
    /// The fault's name in the scenario file.
    pub what: String,
    /// µs from the start of the run.
    pub from: Micros,
    /// µs from the start of the run.
    pub until: Micros,
}

impl FaultPeriod {
    /// The period of a fault.
    pub fn from_fault(fault: &Fault) -> FaultPeriod {
        FaultPeriod {
            what: fault.kind.name(),
            from: fault.at.0,
            until: fault.ends_at(),
        }
    }
}

/// The whole outcome of a run, as `report` reads it. Nothing in a simulated one depends on the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// What the scenario shows.
    pub shows: String,
    /// The clock of the run.
    pub clock: Clock,
    /// The seed of the run.
    pub seed: u64,
    /// Which forwarder was played.
    pub subject: String,
    /// For how long messages were due, µs.
    pub lasts: Micros,
    /// Counts over the whole run.
    pub counts: Counts,
    /// Latencies of served messages.
    pub latency: Latency,
    /// The share of the weight that was due: a message counts in full within its latency objective, less after it.
    pub service: f64,
    /// How often each rule was broken, by the rule's name.
    pub broken: BTreeMap<String, u64>,
    /// The first broken rules, with what happened.
    pub breaks: Vec<RuleViolation>,
    /// Endpoints that fell over as they warmed up, blamed or not.
    pub falls: u64,
    /// Why the run shows nothing, if it does not.
    pub void: Option<String>,
    /// How late the load tool submitted messages, 99th percentile, µs (sockets).
    pub load_late: u64,
    /// How late the receivers answered, 99th percentile, µs (sockets).
    pub receivers_late: u64,
    /// The width of a time bucket, µs.
    #[serde(rename = "column")]
    pub bucket_width: Micros,
    /// What happened over time.
    #[serde(rename = "columns")]
    pub buckets: Vec<TimeBucket>,
    /// When faults were in force.
    pub spells: Vec<FaultPeriod>,
    /// What the scenario expects.
    pub expect: Expectations,
}

impl Outcome {
    /// The share of the messages that were served in time.
    pub fn served_share(&self) -> f64 {
        self.per_message(self.counts.served)
    }

    /// The share of the messages that were served by their first attempt.
    pub fn first_attempt_share(&self) -> f64 {
        self.per_message(self.counts.first_attempt)
    }

    /// Calls for each message that was due.
    pub fn calls_per_message(&self) -> f64 {
        self.per_message(self.counts.calls)
    }

    fn per_message(&self, count: u64) -> f64 {
        count as f64 / self.counts.due.max(1) as f64
    }

    /// What the run misses of what its scenario expects; nothing where all holds. A void run misses everything.
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

/// What is said of a figure outside of what is expected.
fn missed_expectation(name: &str, actual: f64, expected: Option<[f64; 2]>) -> Option<String> {
    let [least, most] = expected?;
    let outside = actual < least || actual > most;
    outside.then(|| format!("{name} {actual:.4}, expected {least} to {most}"))
}
