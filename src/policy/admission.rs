//! Admission: the weight of a new message, load shedding, and the final answer to the client of an
//! undelivered message.
//!
//! A message over its tenant's quota has a reduced weight. When the forwarder holds nearly
//! `max_messages` messages, it sheds the message with the lowest weight in the longest queue. A
//! waiting message that is shed is rejected with a retry-after if a resubmission does no harm, and
//! fails otherwise. `destination/attempts.rs` ends messages in two further cases, without calling
//! this module: a message fails if its next attempt would be too late, or if it was delivered after
//! its deadline.
//!
//! Times are in µs, quotas in messages per second for the whole fleet. See `docs/design.md` on
//! bounded work and final answers.

use super::retry;
use crate::model::{
    Config, DeliveryClassConfig, DeliverySemantics, Micros, PossibleEffect, Submission, TenantId,
};
use crate::token_bucket::TokenBucket;

/// Burst that a tenant's quota allows, in seconds of the quota. Arrivals are uneven.
const QUOTA_BURST_SECONDS: f64 = 2.0;
/// Share of `max_messages` above which load is shed. Beyond `max_messages`, submissions are refused
/// before the decision core sees them.
const LOAD_SHEDDING_THRESHOLD: f64 = 0.95;
/// Lower bound on the retry-after of a rejection, in µs, unless `max_retry_after` is shorter.
const MIN_RETRY_AFTER: Micros = 1_000_000;

/// Tracks the unused quota of each tenant. Owned by the forwarder.
#[derive(Debug)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates the quotas of `tenants` tenants, none of which is used yet.
    pub fn new(tenants: usize) -> TenantQuotas {
        let full_bucket = TokenBucket {
            tokens: f64::MAX,
            refilled_at: 0,
        };
        TenantQuotas {
            buckets: vec![full_bucket; tenants],
        }
    }

    /// Returns the factor on the weight of a message that is submitted now, and counts the message
    /// against the tenant's quota.
    ///
    /// The factor is 1 within the quota and for an unknown tenant, and
    /// `over_quota_weight_share` beyond the quota. Each forwarder applies an even share of the
    /// quota, which holds for the whole fleet.
    pub fn weight_factor(&mut self, now: Micros, tenant: TenantId, config: &Config) -> f64 {
        let index = tenant.0 as usize;
        let (Some(bucket), Some(tenant)) = (self.buckets.get_mut(index), config.tenants.get(index))
        else {
            return 1.0;
        };
        let rate = tenant.quota / f64::from(config.fleet_size.max(1));
        bucket.refill(now, rate, rate * QUOTA_BURST_SECONDS);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            1.0
        } else {
            config.over_quota_weight_share
        }
    }
}

/// Returns the time from which a message that is submitted now is late.
///
/// The latency objective of the class is counted from the deadline minus the time to live. A first
/// submission with no more time left than the objective is late only at its deadline.
pub fn objective_at(now: Micros, submission: &Submission, class: &DeliveryClassConfig) -> Micros {
    let deadline = now + submission.time_left;
    let is_short = !submission.resubmitted && submission.time_left <= class.latency_objective;
    if is_short {
        deadline
    } else {
        (deadline + class.latency_objective).saturating_sub(class.time_to_live)
    }
}

/// Returns whether a message must be shed when `message_count` messages are held.
pub fn is_overloaded(message_count: usize, max_messages: u32) -> bool {
    message_count as f64 > LOAD_SHEDDING_THRESHOLD * f64::from(max_messages)
}

/// A waiting message that the forwarder ends without delivery.
#[derive(Clone, Copy, Debug)]
pub struct UndeliveredMessage {
    /// Determines whether the message may be repeated.
    pub semantics: DeliverySemantics,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time after which a delivery no longer counts, in µs.
    pub deadline: Micros,
    /// The first attempt that may have taken effect, if there is one.
    pub possible_effect: Option<PossibleEffect>,
}

/// The final answer to a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The client may submit it again.
    Reject {
        /// Time after which to resubmit, in µs; `None` if the deployment forbids a retry-after.
        retry_after: Option<Micros>,
    },
    /// A resubmission would be too late, or the message could take effect twice.
    Fail,
}

/// Returns the final answer to a message that waits at a destination paused until `paused_until`.
///
/// A message without an attempt is rejected rather than failed, even if a resubmission would miss
/// the deadline.
pub fn final_answer(
    now: Micros,
    message: UndeliveredMessage,
    paused_until: Micros,
    config: &Config,
) -> FinalAnswer {
    let wait = MIN_RETRY_AFTER.max(paused_until.saturating_sub(now));
    let is_useful = message.attempts == 0 || now + wait < message.deadline;
    if retry::may_be_resubmitted(message.semantics, message.possible_effect) && is_useful {
        let retry_after = wait.min(config.max_retry_after);
        FinalAnswer::Reject {
            retry_after: config.may_send_retry_after.then_some(retry_after),
        }
    } else {
        FinalAnswer::Fail
    }
}

#[cfg(test)]
mod tests;
