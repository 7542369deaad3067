//! What a run came to: counts, latencies from when a message was due, and what happened second by second. Owns the figures
//! of one run; its size follows the length of the run, not the messages.

use crate::oracle::Break;
use crate::scenario::{Expectations, Scenario};
use hdrhistogram::Histogram;
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Columns of the series at most: more than a plot shows.
const MAX_BUCKETS: u64 = 600;
const LONGEST: u64 = 24 * 3600 * 1_000_000; // µs that a latency may have

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Clock {
    Simulated,
    Sockets,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    pub due: u64,
    pub served: u64,
    /// Within the latency objective.
    pub on_time: u64,
    /// By their first attempt.
    #[serde(rename = "first_trip")]
    pub first_attempt: u64,
    /// By another than the first.
    pub retried: u64,
    // Old name, until the forwarder's tests follow.
    /// Failed: the forwarder gave the client that final answer, or delivered too late.
    pub written_off: u64,
    /// Rejected, and the client did not come again in time.
    pub given_up: u64,
    /// Lost with a forwarder's folder.
    pub gone: u64,
    /// Not over when the run ended.
    pub open: u64,
    /// Submissions, with those that came again.
    #[serde(rename = "hand_ins")]
    pub submissions: u64,
    #[serde(rename = "deferrals")]
    pub rejections: u64,
    /// Submissions that found no forwarder, or one without room.
    pub turned_away: u64,
    pub calls: u64,
    #[serde(rename = "probes")]
    pub health_checks: u64,
    pub handshakes: u64,
    /// Outcomes of calls, by name.
    pub outcomes: BTreeMap<String, u64>,
}

/// µs, counted from when a message was due.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub mean: f64,
    pub p50: u64,
    pub p90: u64,
    pub p99: u64,
    pub p999: u64,
    pub most: u64,
}

/// One column of the series.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimeBucket {
    pub due: u64,
    pub served: u64,
    #[serde(rename = "deferred")]
    pub rejected: u64,
    #[serde(rename = "written_off")]
    pub failed_messages: u64,
    pub calls: u64,
    pub good: u64,
    pub refused: u64,
    pub failed: u64,
    pub calls_out: u64,
    pub p50: u64,
    pub p99: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultPeriod {
    pub what: String,
    pub from: Micros,
    pub until: Micros,
}

/// The whole outcome of a run, as `report` reads it. Nothing in a simulated one depends on the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub scenario: String,
    pub shows: String,
    pub clock: Clock,
    pub seed: u64,
    pub subject: String,
    pub lasts: Micros,
    pub counts: Counts,
    pub latency: Latency,
    /// Share of the weight that was due: in full within the latency objective, less after it.
    pub service: f64,
    pub broken: BTreeMap<String, u64>,
    pub breaks: Vec<Break>,
    /// Endpoints that fell over as they came back, blamed or not.
    pub falls: u64,
    /// Why the run says nothing, if it does not.
    pub void: Option<String>,
    /// How late the load tool handed messages in, 99th percentile, µs (sockets).
    pub load_late: u64,
    /// How late the receivers answered, 99th percentile, µs (sockets).
    pub receivers_late: u64,
    #[serde(rename = "column")]
    pub bucket_width: Micros,
    #[serde(rename = "columns")]
    pub buckets: Vec<TimeBucket>,
    pub spells: Vec<FaultPeriod>,
    pub expect: Expectations,
}

impl Outcome {
    pub fn served_share(&self) -> f64 {
        self.counts.served as f64 / self.counts.due.max(1) as f64
    }

    pub fn first_attempt_share(&self) -> f64 {
        self.counts.first_attempt as f64 / self.counts.due.max(1) as f64
    }

    pub fn calls_per_message(&self) -> f64 {
        self.counts.calls as f64 / self.counts.due.max(1) as f64
    }

    /// What the run misses of what its scenario expects; nothing where all holds.
    pub fn misses(&self) -> Vec<String> {
        let mut misses: Vec<String> = self
            .broken
            .iter()
            .map(|(r, n)| format!("rule broken: {r}, {n} times"))
            .collect();
        if let Some(void) = &self.void {
            return vec![format!("void: {void}")];
        }
        let within = |name: &str, found: f64, wanted: Option<[f64; 2]>| {
            wanted
                .filter(|[least, most]| found < *least || found > *most)
                .map(|[least, most]| format!("{name} {found:.4}, expected {least} to {most}"))
        };
        misses.extend(within("served", self.served_share(), self.expect.served));
        misses.extend(within(
            "first trip",
            self.first_attempt_share(),
            self.expect.first_attempt,
        ));
        let most = self.expect.calls_per_message.map(|m| [0.0, m]);
        misses.extend(within("calls a packet", self.calls_per_message(), most));
        let p99 = match self.clock {
            Clock::Sockets => self.expect.p99_sockets.or(self.expect.p99),
            Clock::Simulated => self.expect.p99,
        };
        if let Some(p99) = p99.filter(|p| self.latency.p99 > p.0) {
            misses.push(format!(
                "p99 {} us, expected {p99} at most",
                self.latency.p99
            ));
        }
        if self.counts.open > 0 {
            misses.push(format!(
                "{} packets were still open at the end",
                self.counts.open
            ));
        }
        misses
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants within the library's range.
    Histogram::new_with_bounds(1, LONGEST, 3)
        .unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|_| unreachable!()))
}

/// Gathers while a run goes on.
pub struct Tally {
    pub counts: Counts,
    latencies: Histogram<u64>,
    bucket_latencies: Histogram<u64>,
    bucket_width: Micros,
    begin: Micros,
    buckets: Vec<TimeBucket>,
    weight: f64,
    weight_due: f64,
    pub calls_out: u64,
    class_weights: Vec<(f64, Micros, Micros, f64)>,
    exponential_decay: bool,
}

/// What a column counts.
#[derive(Clone, Copy, Debug)]
pub enum Tick {
    Due,
    Rejected,
    MessageFailed,
    Call,
    CallSucceeded,
    CallRefused,
    CallFailed,
}

impl Tally {
    pub fn new(scenario: &Scenario) -> Tally {
        let whole = scenario.lasts.0 + scenario.longest_time_to_live();
        Tally {
            counts: Counts::default(),
            latencies: histogram(),
            bucket_latencies: histogram(),
            bucket_width: (whole / MAX_BUCKETS).max(100_000),
            begin: 0,
            buckets: vec![TimeBucket::default()],
            weight: 0.0,
            weight_due: 0.0,
            calls_out: 0,
            class_weights: scenario
                .classes
                .iter()
                .map(|p| {
                    (
                        p.priority_weight,
                        p.latency_objective.0,
                        p.time_to_live.0,
                        p.late_weight_share,
                    )
                })
                .collect(),
            exponential_decay: scenario.forwarders.priority_decay
                == crate::scenario::PriorityDecay::Exponential,
        }
    }

    /// The run's first µs, where the clock does not begin with it.
    pub fn begins(&mut self, at: Micros) {
        self.begin = at;
    }

    fn at(&mut self, now: Micros) -> &mut TimeBucket {
        let now = now.saturating_sub(self.begin);
        while now >= self.buckets.len() as u64 * self.bucket_width {
            let last = self.buckets.len() - 1;
            if !self.bucket_latencies.is_empty() {
                self.buckets[last].p50 = self.bucket_latencies.value_at_quantile(0.5);
                self.buckets[last].p99 = self.bucket_latencies.value_at_quantile(0.99);
                self.bucket_latencies.reset();
            }
            self.buckets.push(TimeBucket {
                calls_out: self.calls_out,
                ..TimeBucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    pub fn tick(&mut self, now: Micros, what: Tick) {
        let bucket = self.at(now);
        *(match what {
            Tick::Due => &mut bucket.due,
            Tick::Rejected => &mut bucket.rejected,
            Tick::MessageFailed => &mut bucket.failed_messages,
            Tick::Call => &mut bucket.calls,
            Tick::CallSucceeded => &mut bucket.good,
            Tick::CallRefused => &mut bucket.refused,
            Tick::CallFailed => &mut bucket.failed,
        }) += 1;
    }

    pub fn due(&mut self, now: Micros, class: u16) {
        self.counts.due += 1;
        self.weight_due += self.class_weights[usize::from(class)].0;
        self.tick(now, Tick::Due);
    }

    /// A message was served, so long after it was due, by its attempt of that number (from 0).
    pub fn served(
        &mut self,
        now: Micros,
        took: Micros,
        class: u16,
        attempt: u32,
        resubmitted: bool,
    ) {
        let (priority_weight, contract, time_to_live, late_weight_share) =
            self.class_weights[usize::from(class)];
        let late = took.saturating_sub(contract) as f64;
        let kept = match self.exponential_decay {
            true => (-late / contract.max(1) as f64)
                .exp2()
                .max(late_weight_share),
            false => {
                1.0 - (1.0 - late_weight_share) * late
                    / time_to_live.saturating_sub(contract).max(1) as f64
            }
        };
        self.weight += priority_weight * kept.clamp(0.0, 1.0);
        self.counts.served += 1;
        self.counts.on_time += u64::from(took <= contract);
        match attempt == 0 && !resubmitted {
            true => self.counts.first_attempt += 1,
            false => self.counts.retried += 1,
        }
        self.at(now).served += 1;
        self.latencies.saturating_record(took.max(1));
        self.bucket_latencies.saturating_record(took.max(1));
    }

    pub fn outcome(&mut self, name: &str) {
        match self.counts.outcomes.get_mut(name) {
            Some(n) => *n += 1,
            None => _ = self.counts.outcomes.insert(name.to_owned(), 1),
        }
    }

    /// Closes the books. What is not of the tally is left to the caller.
    pub fn close(
        mut self,
        now: Micros,
        scenario: &Scenario,
        clock: Clock,
        seed: u64,
        subject: &str,
    ) -> Outcome {
        self.at(now + self.bucket_width);
        let h = &self.latencies;
        let q = |q| {
            if h.is_empty() {
                0
            } else {
                h.value_at_quantile(q)
            }
        };
        let latency = Latency {
            mean: h.mean(),
            p50: q(0.5),
            p90: q(0.9),
            p99: q(0.99),
            p999: q(0.999),
            most: h.max(),
        };
        Outcome {
            scenario: scenario.name.clone(),
            shows: scenario.shows.clone(),
            clock,
            seed,
            subject: subject.into(),
            lasts: scenario.lasts.0,
            latency,
            service: if self.weight_due > 0.0 {
                self.weight / self.weight_due
            } else {
                1.0
            },
            counts: self.counts,
            broken: BTreeMap::new(),
            breaks: Vec::new(),
            falls: 0,
            void: None,
            load_late: 0,
            receivers_late: 0,
            bucket_width: self.bucket_width,
            buckets: self.buckets,
            spells: scenario
                .faults
                .iter()
                .map(|t| FaultPeriod {
                    what: t.kind.name(),
                    from: t.at.0,
                    until: t.at.0 + t.lasts.0,
                })
                .collect(),
            expect: scenario.expect.clone(),
        }
    }
}
