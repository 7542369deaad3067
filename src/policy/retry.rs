//! When a message is sent again, and until when it may be sent at all.
//!
//! After a failed attempt a message waits `min(base * 2^n, max)`, where `n` counts the attempts
//! before the failed one, and a random part on top. Attempts are bounded in number, and a message
//! that may have taken effect is repeated only as far as its delivery class allows.
//! Source: "Implementing Webhooks and Observing Failure Modes"; the jitter is ours.

use super::TIMER_INTERVAL;
use crate::model::{DeduplicationScope, DeliverySemantics, Micros, PossibleEffect, ZoneId};

/// Wait before the first retry.
const BASE_BACKOFF: Micros = 100_000;
/// Longest wait before jitter, as a part of the time to live.
const MAX_BACKOFF_SHARE: f64 = 0.25;
/// Largest random part, of the wait. Under 1, so that doubled waits still grow.
const JITTER_SHARE: f64 = 0.5;
/// Keeps the shift in range; any maximum is reached long before.
const MAX_DOUBLINGS: u32 = 20;

/// A message is not sent this close to its last moment: timers are late by as much.
pub const SEND_MARGIN: Micros = 2 * TIMER_INTERVAL;

/// The wait after the `attempt_number`-th attempt has failed.
///
/// `jitter_fraction` is drawn from 0 to 1. It spreads messages that failed together.
pub fn backoff(attempt_number: u32, time_to_live: Micros, jitter_fraction: f64) -> Micros {
    let max_wait = (MAX_BACKOFF_SHARE * time_to_live as f64) as Micros;
    let doublings = attempt_number.saturating_sub(1).min(MAX_DOUBLINGS);
    let wait = (BASE_BACKOFF << doublings).min(max_wait);
    wait + (wait as f64 * JITTER_SHARE * jitter_fraction) as Micros
}

/// The last moment at which the next attempt at a message may begin; 0 when there is to be none.
///
/// `attempts` counts those of earlier runs too.
pub fn last_send_at(
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

/// The only zone that may get a repeat; none where any may.
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

/// Whether the client may submit the message again without a second effect.
pub fn may_be_resubmitted(
    semantics: DeliverySemantics,
    possible_effect: Option<PossibleEffect>,
) -> bool {
    possible_effect.is_none() || semantics == DeliverySemantics::Idempotent
}

/// Whether it is too late for another attempt: the last moment to send comes within the margin.
pub fn is_too_late(now: Micros, last_send_at: Micros) -> bool {
    now + SEND_MARGIN >= last_send_at
}

/// The moment by which the first byte of an attempt has to be out.
pub fn send_by(last_send_at: Micros) -> Micros {
    last_send_at.saturating_sub(SEND_MARGIN)
}

#[cfg(test)]
mod tests;
