//! The figures of a run: counts, latencies measured from when a message was due, and time buckets. `Tally` collects them during
//! the run; `outcome` defines them as they are written. Their size depends on the length of the run, not on the number of
//! messages.

mod outcome;

pub use outcome::{Clock, Counts, FaultPeriod, Latency, Outcome, TimeBucket};

use crate::scenario::{DeliveryClass, PriorityDecay, Scenario};
use hdrhistogram::Histogram;
use opalpulley::Micros;
use std::collections::BTreeMap;

/// Upper bound on the number of time buckets that the planned length of a run is divided into; a plot shows fewer.
const MAX_BUCKET_COUNT: u64 = 600;
/// Lower bound on the width of a time bucket, µs.
const MIN_BUCKET_WIDTH: Micros = 100_000;
/// Upper bound of the latency histograms, µs; longer latencies are recorded as this one.
const MAX_LATENCY: u64 = 24 * 3600 * 1_000_000;
/// Significant decimal digits of the latency histograms.
const LATENCY_DIGITS: u8 = 3;

/// An event that a time bucket counts.
#[derive(Clone, Copy, Debug)]
pub enum BucketEvent {
    /// A message was due.
    Due,
    /// A message was rejected.
    Rejected,
    /// A message failed.
    MessageFailed,
    /// A call was sent.
    Call,
    /// A call got a successful response.
    CallSucceeded,
    /// An endpoint rejected a call.
    CallRejected,
    /// A call ended with any other outcome.
    CallFailed,
}

/// Collects the figures of one run. Owned by the simulation, or by the shared state of a run on sockets.
pub struct Tally {
    /// Counts over the whole run.
    pub counts: Counts,
    /// Number of calls in flight; the owner counts it up and down.
    pub calls_in_flight: u64,
    latencies: Histogram<u64>,
    bucket_latencies: Histogram<u64>,
    bucket_width: Micros,
    /// When the first time bucket begins, µs.
    started_at: Micros,
    buckets: Vec<TimeBucket>,
    /// Sum of the priority weights of the served messages, each reduced if the message was late.
    served_weight: f64,
    /// Sum of the priority weights of all messages that were due.
    due_weight: f64,
    classes: Vec<DeliveryClass>,
    decay: PriorityDecay,
}

impl Tally {
    /// Creates a tally with all counts at 0, whose clock starts at 0.
    pub fn new(scenario: &Scenario) -> Tally {
        let length = scenario.lasts.0 + scenario.max_time_to_live();
        Tally {
            counts: Counts::default(),
            calls_in_flight: 0,
            latencies: latency_histogram(),
            bucket_latencies: latency_histogram(),
            bucket_width: (length / MAX_BUCKET_COUNT).max(MIN_BUCKET_WIDTH),
            started_at: 0,
            buckets: vec![TimeBucket::default()],
            served_weight: 0.0,
            due_weight: 0.0,
            classes: scenario.classes.clone(),
            decay: scenario.forwarders.priority_decay,
        }
    }

    /// Sets when the run starts, µs, if its clock doesn't start at 0. The caller must do this before anything is counted.
    pub fn set_start(&mut self, at: Micros) {
        self.started_at = at;
    }

    /// Returns the bucket of `now` and closes the buckets before it. `now` must not fall into a bucket that is closed already.
    fn bucket_at(&mut self, now: Micros) -> &mut TimeBucket {
        let now = now.saturating_sub(self.started_at);
        while now >= self.buckets.len() as u64 * self.bucket_width {
            self.close_bucket();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn close_bucket(&mut self) {
        let last = self.buckets.len() - 1;
        if !self.bucket_latencies.is_empty() {
            self.buckets[last].p50 = self.bucket_latencies.value_at_quantile(0.5);
            self.buckets[last].p99 = self.bucket_latencies.value_at_quantile(0.99);
            self.bucket_latencies.reset();
        }
        self.buckets.push(TimeBucket {
            calls_out: self.calls_in_flight,
            ..TimeBucket::default()
        });
    }

    /// Counts an event in the time bucket of `now`.
    pub fn count(&mut self, now: Micros, event: BucketEvent) {
        let bucket = self.bucket_at(now);
        let count = match event {
            BucketEvent::Due => &mut bucket.due,
            BucketEvent::Rejected => &mut bucket.rejected,
            BucketEvent::MessageFailed => &mut bucket.failed_messages,
            BucketEvent::Call => &mut bucket.calls,
            BucketEvent::CallSucceeded => &mut bucket.good,
            BucketEvent::CallRejected => &mut bucket.refused,
            BucketEvent::CallFailed => &mut bucket.failed,
        };
        *count += 1;
    }

    /// Counts a message that became due. `class` is the index of its delivery class.
    pub fn message_due(&mut self, now: Micros, class: u16) {
        self.counts.due += 1;
        self.due_weight += self.classes[usize::from(class)].priority_weight;
        self.count(now, BucketEvent::Due);
    }

    /// Counts a message that was served `latency` after it was due, µs. `attempt` is the index of the successful attempt, from
    /// 0; `resubmitted` says whether the message had been rejected before.
    pub fn message_served(
        &mut self,
        now: Micros,
        latency: Micros,
        class: u16,
        attempt: u32,
        resubmitted: bool,
    ) {
        let class = &self.classes[usize::from(class)];
        let weight_share = remaining_weight_share(class, self.decay, latency);
        self.served_weight += class.priority_weight * weight_share;
        self.counts.served += 1;
        if latency <= class.latency_objective.0 {
            self.counts.on_time += 1;
        }
        if attempt == 0 && !resubmitted {
            self.counts.first_attempt += 1;
        } else {
            self.counts.retried += 1;
        }
        self.bucket_at(now).served += 1;
        self.latencies.saturating_record(latency.max(1));
        self.bucket_latencies.saturating_record(latency.max(1));
    }

    /// Counts an outcome by its name.
    pub fn count_outcome(&mut self, name: &str) {
        if let Some(count) = self.counts.outcomes.get_mut(name) {
            *count += 1;
        } else {
            self.counts.outcomes.insert(name.to_owned(), 1);
        }
    }

    /// Closes the last time bucket and returns the outcome of the run. The caller fills in what the tally doesn't know: broken
    /// rules, overload failures, the lateness of load and receivers, and whether the run is invalid.
    pub fn into_outcome(
        mut self,
        now: Micros,
        scenario: &Scenario,
        clock: Clock,
        seed: u64,
        subject: &str,
    ) -> Outcome {
        self.bucket_at(now + self.bucket_width);
        Outcome {
            scenario: scenario.name.clone(),
            shows: scenario.shows.clone(),
            clock,
            seed,
            subject: subject.into(),
            lasts: scenario.lasts.0,
            latency: self.latency(),
            service: self.service(),
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
                .map(FaultPeriod::from_fault)
                .collect(),
            expect: scenario.expect.clone(),
        }
    }

    fn latency(&self) -> Latency {
        let latency_at = |quantile| match self.latencies.is_empty() {
            true => 0,
            false => self.latencies.value_at_quantile(quantile),
        };
        Latency {
            mean: self.latencies.mean(),
            p50: latency_at(0.5),
            p90: latency_at(0.9),
            p99: latency_at(0.99),
            p999: latency_at(0.999),
            most: self.latencies.max(),
        }
    }

    /// Returns the served share of the weight that was due; 1 if no message was due.
    fn service(&self) -> f64 {
        if self.due_weight > 0.0 {
            self.served_weight / self.due_weight
        } else {
            1.0
        }
    }
}

/// Returns the share of its weight that a message keeps when it is served `latency` after it was due: 1 within the latency
/// objective, and less after it.
fn remaining_weight_share(class: &DeliveryClass, decay: PriorityDecay, latency: Micros) -> f64 {
    let objective = class.latency_objective.0;
    let lateness = latency.saturating_sub(objective) as f64;
    let min_share = class.late_weight_share;
    let share = match decay {
        PriorityDecay::Exponential => (-lateness / objective.max(1) as f64).exp2().max(min_share),
        PriorityDecay::Linear => {
            let span = class.time_to_live.0.saturating_sub(objective).max(1);
            1.0 - (1.0 - min_share) * lateness / span as f64
        }
    };
    share.clamp(0.0, 1.0)
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY, LATENCY_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants within the library's range"))
}
