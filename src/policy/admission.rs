//! What a new message counts, when load is shed, and what the client of an undelivered message
//! hears.
//!
//! Messages beyond a tenant's quota count less. Once nearly as many messages are held as may be,
//! the one that counts least in the longest queue is given up. A waiting message that is given up
//! is rejected with a retry-after where another try does no harm, else it fails. Two further ends
//! are in `destination/attempts.rs`: a message fails without a question where its next attempt
//! would come too late, and where it was delivered after its deadline. Times are µs, quotas messages per second for the whole fleet.
//! Source: the design page (bounded work, final answers); the quota's burst is ours.

use super::retry;
use crate::model::{
    Config, DeliveryClassConfig, DeliverySemantics, Micros, PossibleEffect, Submission, TenantId,
};
use crate::token_bucket::TokenBucket;

/// Seconds of a tenant's quota that may come at once: arrivals are uneven.
const QUOTA_BURST_SECONDS: f64 = 2.0;
/// Part of the message capacity that is used: beyond it the front turns work away unseen.
const CAPACITY_IN_USE: f64 = 0.95;
/// What a client is asked to wait at least, unless `max_retry_after` is shorter.
const MIN_RETRY_AFTER: Micros = 1_000_000;

/// What is left of each tenant's quota.
#[derive(Debug)]
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Full quotas.
    pub fn new(tenants: usize) -> TenantQuotas {
        let full = TokenBucket {
            tokens: f64::MAX,
            refilled_at: 0,
        };
        TenantQuotas {
            buckets: vec![full; tenants],
        }
    }

    /// The factor on the weight of a message that comes now: 1 within the quota, or without one.
    /// Each forwarder takes an even part of the fleet's quota for its own.
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

/// When a message that is submitted now is late: its latency objective is counted back from its
/// deadline. A first submission with less time than the objective counts in full to the end.
pub fn objective_at(now: Micros, submission: &Submission, class: &DeliveryClassConfig) -> Micros {
    let deadline = now + submission.time_left;
    let is_short = !submission.resubmitted && submission.time_left <= class.latency_objective;
    if is_short {
        deadline
    } else {
        (deadline + class.latency_objective).saturating_sub(class.time_to_live)
    }
}

/// Whether a message has to be given up for others.
pub fn is_overloaded(messages: usize, capacity: u32) -> bool {
    messages as f64 > CAPACITY_IN_USE * f64::from(capacity)
}

/// A message that waits and is given up.
#[derive(Clone, Copy, Debug)]
pub struct Undelivered {
    /// Whether it may be repeated.
    pub semantics: DeliverySemantics,
    /// Attempts so far.
    pub attempts: u32,
    /// Its deadline.
    pub deadline: Micros,
    /// The first attempt that may have taken effect.
    pub possible_effect: Option<PossibleEffect>,
}

/// The final answer to a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The client may submit it again.
    Reject {
        /// When, where the deployment may say so.
        retry_after: Option<Micros>,
    },
    /// Another try is of no use, or could take effect twice.
    Fail,
}

/// The final answer to a message that waits at a destination which is paused until then.
///
/// A message without an attempt has not failed, however late it is.
pub fn final_answer(
    now: Micros,
    message: Undelivered,
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
