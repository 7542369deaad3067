//! Retries: the backoff after a failed attempt, and the time until which a message may be sent.
//!
//! After a failed attempt a message waits for `min(base * 2^n, max)` plus random jitter, where `n`
//! is the number of attempts before the failed one. The number of attempts is bounded. A message
//! that may have taken effect is repeated only as far as its delivery class allows.
//!
//! The backoff follows "Implementing Webhooks and Observing Failure Modes", with jitter added.

use super::TIMER_INTERVAL;
use crate::model::{DeduplicationScope, DeliverySemantics, Micros, PossibleEffect, ZoneId};

/// Backoff before the first retry, without jitter, in µs.
const BASE_BACKOFF: Micros = 100_000;
/// Upper bound on the backoff without jitter, as a share of the time to live.
const MAX_BACKOFF_SHARE: f64 = 0.25;
/// Upper bound on the jitter, as a share of the backoff. It is below 1, so that a doubled backoff
/// is longer than its predecessor in any case.
const JITTER_SHARE: f64 = 0.5;
/// Upper bound on the doublings of the backoff. Keeps the shift in range; the backoff reaches its
/// own upper bound long before.
const MAX_DOUBLINGS: u32 = 20;

/// Time before `latest_send_at` during which no attempt is started any more, in µs, because timers
/// may fire this late.
pub const SEND_MARGIN: Micros = 2 * TIMER_INTERVAL;

/// Returns the delay after a failed attempt, in µs. The first attempt has number 1.
///
/// The caller must draw `jitter_fraction` at random from 0 to 1. It spreads the retries of messages
/// that failed together.
pub fn backoff(attempt_number: u32, time_to_live: Micros, jitter_fraction: f64) -> Micros {
    let max_wait = (MAX_BACKOFF_SHARE * time_to_live as f64) as Micros;
    let doublings = attempt_number.saturating_sub(1).min(MAX_DOUBLINGS);
    let wait = (BASE_BACKOFF << doublings).min(max_wait);
    wait + (wait as f64 * JITTER_SHARE * jitter_fraction) as Micros
}

/// Returns the last time at which the next attempt at a message may begin, in µs; 0 if the message
/// must not be sent again.
///
/// `attempts` includes the attempts of earlier runs of the forwarder.
pub fn latest_send_at(
    semantics: DeliverySemantics,
    attempts: u32,
    max_attempts: u32,
    deadline: Micros,
    possible_effect: Option<PossibleEffect>,
) -> Micros {
    if attempts >= max_attempts {
        return 0;
    }
    match (semantics, possible_effect) {
        (DeliverySemantics::IdempotencyKeyed { window, .. }, Some(effect)) => {
            deadline.min(effect.sent_at.saturating_add(window))
        }
        (DeliverySemantics::AtMostOnce, Some(_)) => 0,
        _ => deadline,
    }
}

/// Returns the only zone to which the message may be repeated, or `None` if it may be sent to any
/// zone.
pub fn required_zone(
    semantics: DeliverySemantics,
    possible_effect: Option<PossibleEffect>,
) -> Option<ZoneId> {
    match semantics {
        DeliverySemantics::IdempotencyKeyed {
            scope: DeduplicationScope::Zone,
            ..
        } => possible_effect.map(|effect| effect.zone),
        _ => None,
    }
}

/// Returns whether the client may resubmit the message without the risk of a harmful second effect.
pub fn may_be_resubmitted(
    semantics: DeliverySemantics,
    possible_effect: Option<PossibleEffect>,
) -> bool {
    possible_effect.is_none() || semantics == DeliverySemantics::Idempotent
}

/// Returns whether it is too late for another attempt: `latest_send_at` is within [`SEND_MARGIN`] of
/// now, or past.
pub fn is_too_late(now: Micros, latest_send_at: Micros) -> bool {
    now + SEND_MARGIN >= latest_send_at
}

/// Returns the time by which the first byte of an attempt must have been sent, in µs.
pub fn send_by(latest_send_at: Micros) -> Micros {
    latest_send_at.saturating_sub(SEND_MARGIN)
}

#[cfg(test)]
mod tests;
