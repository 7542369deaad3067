//! What a run came to: counts, latencies from when a message was due, and what happened over time. `Tally` gathers the
//! figures of one run, `outcome` holds them once it is over. Their size follows the length of the run, not the messages.

mod outcome;

pub use outcome::{Clock, Counts, FaultPeriod, Latency, Outcome, TimeBucket};

use crate::scenario::{DeliveryClass, PriorityDecay, Scenario};
use hdrhistogram::Histogram;
use opalpulley::Micros;
use std::collections::BTreeMap;

/// Time buckets at most: more than a plot shows.
const MAX_BUCKET_COUNT: u64 = 600;
/// The shortest time bucket, µs.
const MIN_BUCKET_WIDTH: Micros = 100_000;
/// The longest latency that is told from longer ones, µs.
const MAX_LATENCY: u64 = 24 * 3600 * 1_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// What a time bucket counts.
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
    /// A call was answered well.
    CallSucceeded,
    /// A call was refused.
    CallRefused,
    /// A call failed otherwise.
    CallFailed,
}

/// Gathers the figures while a run goes on.
pub struct Tally {
    /// Counts over the whole run.
    pub counts: Counts,
    /// Calls in flight now.
    pub calls_in_flight: u64,
    latencies: Histogram<u64>,
    bucket_latencies: Histogram<u64>,
    bucket_width: Micros,
    /// When the first bucket begins.
    started_at: Micros,
    buckets: Vec<TimeBucket>,
    /// The weight of the messages that were served, less where they were late.
    served_weight: f64,
    /// The weight of all messages that were due.
    due_weight: f64,
    classes: Vec<DeliveryClass>,
    decay: PriorityDecay,
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(scenario: &Scenario) -> Tally {
        let length = scenario.lasts.0 + scenario.longest_time_to_live();
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

    /// The run's first µs, where the clock does not begin with it.
    pub fn set_start(&mut self, at: Micros) {
        self.started_at = at;
    }

    /// The bucket of this time, which is not before that of an earlier call; those before it are closed.
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

    /// Counts something that happened now.
    pub fn count(&mut self, now: Micros, what: BucketEvent) {
        let bucket = self.bucket_at(now);
        let count = match what {
            BucketEvent::Due => &mut bucket.due,
            BucketEvent::Rejected => &mut bucket.rejected,
            BucketEvent::MessageFailed => &mut bucket.failed_messages,
            BucketEvent::Call => &mut bucket.calls,
            BucketEvent::CallSucceeded => &mut bucket.good,
            BucketEvent::CallRefused => &mut bucket.refused,
            BucketEvent::CallFailed => &mut bucket.failed,
        };
        *count += 1;
    }

    /// A message of this delivery class was due.
    pub fn message_due(&mut self, now: Micros, class: u16) {
        self.counts.due += 1;
        self.due_weight += self.classes[usize::from(class)].priority_weight;
        self.count(now, BucketEvent::Due);
    }

    /// A message was served: `latency` after it was due, by its attempt of this number (from 0). `resubmitted`: it was rejected
    /// before.
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

    /// Counts the outcome of a call, by its name.
    pub fn count_outcome(&mut self, name: &str) {
        if let Some(count) = self.counts.outcomes.get_mut(name) {
            *count += 1;
        } else {
            self.counts.outcomes.insert(name.to_owned(), 1);
        }
    }

    /// The outcome of the run. What the tally does not know is left empty: broken rules, falls, lateness, and whether the run
    /// is void.
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
        let quantile = |quantile| match self.latencies.is_empty() {
            true => 0,
            false => self.latencies.value_at_quantile(quantile),
        };
        Latency {
            mean: self.latencies.mean(),
            p50: quantile(0.5),
            p90: quantile(0.9),
            p99: quantile(0.99),
            p999: quantile(0.999),
            most: self.latencies.max(),
        }
    }

    /// The share of the weight that was due.
    fn service(&self) -> f64 {
        if self.due_weight > 0.0 {
            self.served_weight / self.due_weight
        } else {
            1.0
        }
    }
}

/// The part of its weight that a message has left when it is served so long after it was due.
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
