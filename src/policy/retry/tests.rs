//! Tests of backoff, the last permitted send and resubmission, at the limits of the rules.

use super::*;

const SECOND: Micros = 1_000_000;
const DEADLINE: Micros = 60 * SECOND;

const KEYED: DeliverySemantics = DeliverySemantics::IdempotencyKeyed {
    scope: DeduplicationScope::Zone,
    window: 10 * SECOND,
};

fn effect_at(sent_at: Micros) -> Option<PossibleEffect> {
    Some(PossibleEffect {
        sent_at,
        zone: ZoneId(3),
    })
}

#[test]
fn backoff_doubles_up_to_share_of_time_to_live() {
    let waits: Vec<Micros> = (1..=6).map(|n| backoff(n, 4 * SECOND, 0.0)).collect();
    assert_eq!(
        waits,
        [100_000, 200_000, 400_000, 800_000, 1_000_000, 1_000_000]
    );
}

#[test]
fn backoff_stays_in_range_for_any_attempt_number() {
    assert_eq!(backoff(u32::MAX, 4 * SECOND, 0.0), SECOND);
    assert_eq!(backoff(0, 4 * SECOND, 0.0), 100_000);
}

#[test]
fn jitter_adds_less_than_next_doubling() {
    for attempts in 1..4 {
        let longest = backoff(attempts, DEADLINE, 1.0);
        assert_eq!(longest, backoff(attempts, DEADLINE, 0.0) * 3 / 2);
        assert!(longest < backoff(attempts + 1, DEADLINE, 0.0));
    }
}

#[test]
fn allows_no_send_at_attempt_limit_for_any_semantics() {
    for semantics in [
        DeliverySemantics::Idempotent,
        KEYED,
        DeliverySemantics::AtMostOnce,
    ] {
        assert_eq!(latest_send_at(semantics, 7, 8, DEADLINE, None), DEADLINE);
        assert_eq!(latest_send_at(semantics, 8, 8, DEADLINE, None), 0);
    }
}

#[test]
fn repeats_keyed_message_within_deduplication_window() {
    let last = |sent_at| latest_send_at(KEYED, 1, 8, DEADLINE, effect_at(sent_at));
    assert_eq!(last(5 * SECOND), 15 * SECOND);
    assert_eq!(
        last(55 * SECOND),
        DEADLINE,
        "the deadline is before the end of the window"
    );
    assert_eq!(
        last(Micros::MAX),
        DEADLINE,
        "the end of the window must not overflow"
    );
}

#[test]
fn does_not_repeat_at_most_once_message_after_possible_effect() {
    let once = DeliverySemantics::AtMostOnce;
    assert_eq!(latest_send_at(once, 1, 8, DEADLINE, effect_at(0)), 0);
    assert_eq!(latest_send_at(once, 1, 8, DEADLINE, None), DEADLINE);
}

#[test]
fn requires_zone_only_for_possible_effect_with_zone_scope() {
    let everywhere = DeliverySemantics::IdempotencyKeyed {
        scope: DeduplicationScope::AllEndpoints,
        window: SECOND,
    };
    assert_eq!(required_zone(KEYED, effect_at(0)), Some(ZoneId(3)));
    assert_eq!(required_zone(KEYED, None), None);
    assert_eq!(required_zone(everywhere, effect_at(0)), None);
}

#[test]
fn allows_resubmission_after_possible_effect_only_if_idempotent() {
    assert!(may_be_resubmitted(
        DeliverySemantics::Idempotent,
        effect_at(0)
    ));
    assert!(!may_be_resubmitted(KEYED, effect_at(0)));
    assert!(!may_be_resubmitted(
        DeliverySemantics::AtMostOnce,
        effect_at(0)
    ));
    assert!(may_be_resubmitted(DeliverySemantics::AtMostOnce, None));
}

#[test]
fn is_too_late_within_send_margin_of_last_send() {
    assert!(!is_too_late(DEADLINE - SEND_MARGIN - 1, DEADLINE));
    assert!(is_too_late(DEADLINE - SEND_MARGIN, DEADLINE));
    assert_eq!(send_by(DEADLINE), DEADLINE - SEND_MARGIN);
    assert_eq!(send_by(0), 0);
}
