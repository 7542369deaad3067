use super::*;

fn new_oracle() -> Oracle {
    let class = |name: &str, effect: &str, further_keys: &str| {
        format!("[[profiles]]\nname = \"{name}\"\neffect = \"{effect}\"\nwindow = \"2s\"\ncontract_time = \"1s\"\nexpiry = \"10s\"\n{further_keys}\n")
    };
    let text = format!(
        "version = 1\nname = \"o\"\nshows = \"o\"\nlasts = \"1s\"\n[forwarders]\nslots = 2\ntrips = 3\n{}{}{}\
         [[destinations]]\nname = \"d\"\nrate = 1.0\nservice = {{ kind = \"constant\", time = \"1ms\" }}\n[[loads]]\nrate = 1.0\n",
        class("r", "retriable", "in_order = true"),
        class("f", "fingerprinted", ""),
        class("b", "binding", "")
    );
    Oracle::new(
        &Scenario::read(&text, "o").expect("the scenario is valid"),
        1000,
    )
}

fn submit(oracle: &mut Oracle, submission: u64, class: u16, key: Option<u64>) {
    let record = SubmissionRecord {
        submission,
        message: submission,
        forwarder: 0,
        deadline: 10_000_000,
        class,
        destination: 0,
        order_key: key,
    };
    oracle.message_submitted(record);
    oracle.submission_accepted(submission);
}

fn send(oracle: &mut Oracle, submission: u64, at: Micros) {
    oracle.call_sent(
        SentCall {
            submission,
            forwarder: 0,
            destination: 0,
            endpoint: 5,
            incarnation: 0,
            limiter: 0,
        },
        at,
    );
}

fn broken_rules(oracle: &Oracle) -> Vec<Rule> {
    oracle.violation_counts.keys().copied().collect()
}

#[test]
fn served_message_breaks_no_rule_and_leaves_no_table_entries() {
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 1, None);
    send(&mut oracle, 1, 100);
    oracle.call_ended(1, 0, 100, CallEffect::Possible);
    oracle.took_effect(1, 1, 200);
    oracle.message_ended(1, FinalAnswer::Served, 300);
    oracle.check_overdue_answers(200_000_000);
    oracle.check_overdue_answers(300_000_000);
    oracle.took_effect(2, 2, 200_000_000);
    assert!(
        broken_rules(&oracle).is_empty() && oracle.table_entries() == 0,
        "expected no violation and no entries, got {:?} and {} entries",
        oracle.violations,
        oracle.table_entries()
    );
}

#[test]
fn allows_value_at_bound_of_each_rule_and_reports_violation_past_it() {
    type Case = (Rule, fn(&mut Oracle, Micros), Micros, Micros);
    // The rule, the steps of a run with a given value, a value that the rule allows, and one that it forbids.
    let cases: [Case; 8] = [
        (
            Rule::Lost,
            |oracle, value| {
                submit(oracle, 1, 0, None);
                oracle.check_overdue_answers(value)
            },
            10_021_000,
            10_021_001,
        ),
        (
            Rule::Lost,
            |oracle, value| {
                submit(oracle, 1, 0, None);
                oracle.message_ended(1, FinalAnswer::Failed, value)
            },
            10_021_000,
            10_021_001,
        ),
        (
            Rule::SentAfterEnd,
            |oracle, value| {
                submit(oracle, 1, 0, None);
                oracle.message_ended(1, FinalAnswer::Rejected, 500);
                send(oracle, 1, value)
            },
            1500,
            1501,
        ),
        (
            Rule::EffectTwice,
            |oracle, value| {
                submit(oracle, 1, 1, None);
                send(oracle, 1, 0);
                oracle.call_ended(1, 0, 0, CallEffect::Possible);
                send(oracle, 1, value)
            },
            2_001_000,
            2_001_001,
        ),
        (
            Rule::DrainNotKept,
            |oracle, value| {
                submit(oracle, 1, 0, None);
                oracle.endpoint_status_notified(0, 5, 0, false, 0);
                send(oracle, 1, value)
            },
            501_000,
            501_001,
        ),
        (
            Rule::RetryAfterIgnored,
            |oracle, value| {
                submit(oracle, 1, 0, None);
                oracle.retry_after_notified(0, 0, 0, 90_000);
                send(oracle, 1, value)
            },
            90_000,
            89_999,
        ),
        (
            Rule::TooManyAttempts,
            |oracle, value| {
                submit(oracle, 1, 0, None);
                (0..value).for_each(|n| {
                    send(oracle, 1, n);
                    oracle.call_ended(1, 0, n, CallEffect::None)
                })
            },
            3,
            4,
        ),
        (
            Rule::TooManyInFlight,
            |oracle, value| {
                (1..=value).for_each(|n| {
                    submit(oracle, n, 0, None);
                    send(oracle, n, 1)
                })
            },
            2,
            3,
        ),
    ];
    for (rule, run_steps, allowed_value, forbidden_value) in cases {
        let mut oracle = new_oracle();
        run_steps(&mut oracle, allowed_value);
        assert!(
            broken_rules(&oracle).is_empty(),
            "expected no violation of {rule} at its bound, got {:?}",
            oracle.violations
        );
        let mut oracle = new_oracle();
        run_steps(&mut oracle, forbidden_value);
        assert_eq!(
            broken_rules(&oracle),
            [rule],
            "expected {rule} alone past its bound, got {:?}",
            oracle.violations
        );
    }
}

#[test]
fn reports_second_answer_concurrent_attempt_second_effect_and_wrong_destination() {
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 0, None);
    oracle.message_ended(1, FinalAnswer::Served, 10);
    oracle.message_ended(1, FinalAnswer::Failed, 20);
    assert_eq!(broken_rules(&oracle), [Rule::SecondFinalAnswer]);
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 0, None);
    send(&mut oracle, 1, 0);
    send(&mut oracle, 1, 1);
    assert_eq!(broken_rules(&oracle), [Rule::TwoAttemptsInFlight]);
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 2, None);
    send(&mut oracle, 1, 0);
    oracle.call_ended(1, 0, 0, CallEffect::None);
    send(&mut oracle, 1, 5);
    assert!(broken_rules(&oracle).is_empty());
    oracle.call_ended(1, 0, 5, CallEffect::Possible);
    send(&mut oracle, 1, 9);
    assert_eq!(broken_rules(&oracle), [Rule::EffectTwice]);
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 2, None);
    oracle.took_effect(1, 1, 5);
    oracle.took_effect(1, 1, 9);
    assert_eq!(broken_rules(&oracle), [Rule::EffectTwice]);
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 0, None);
    oracle.call_sent(
        SentCall {
            submission: 1,
            forwarder: 0,
            destination: 3,
            endpoint: 5,
            incarnation: 0,
            limiter: 0,
        },
        1,
    );
    assert_eq!(broken_rules(&oracle), [Rule::WrongDestination]);
}

#[test]
fn reports_call_sent_before_earlier_message_of_its_order_key_ended() {
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 0, Some(7));
    submit(&mut oracle, 2, 0, Some(7));
    submit(&mut oracle, 3, 0, Some(8));
    send(&mut oracle, 1, 0);
    send(&mut oracle, 3, 0);
    oracle.call_ended(3, 0, 0, CallEffect::Possible);
    assert!(broken_rules(&oracle).is_empty());
    oracle.message_ended(1, FinalAnswer::Failed, 50);
    send(&mut oracle, 2, 60); // an attempt of the first message is still in flight
    assert_eq!(broken_rules(&oracle), [Rule::OrderNotKept]);
}

#[test]
fn expects_no_answer_from_forwarder_that_is_down_or_lost_its_folder() {
    let mut oracle = new_oracle();
    submit(&mut oracle, 1, 0, None);
    oracle.excuse_until(0, 51_000_000);
    oracle.check_overdue_answers(50_000_000);
    assert!(broken_rules(&oracle).is_empty());
    oracle.lost_with_folder(0, 50_000_000);
    oracle.check_overdue_answers(60_000_000);
    assert!(broken_rules(&oracle).is_empty() && oracle.unanswered_submissions() == 0);
}

#[test]
fn allows_one_more_answer_for_message_served_while_its_forwarder_was_down() {
    for (down, violated_rule_count) in [(true, 0), (false, 1)] {
        let mut oracle = new_oracle();
        submit(&mut oracle, 1, 1, None);
        send(&mut oracle, 1, 0);
        oracle.excuse_until(0, if down { 1_000_000 } else { 0 });
        oracle.call_ended(1, 0, 0, CallEffect::Possible);
        oracle.message_ended(1, FinalAnswer::Served, 500_000);
        oracle.message_ended(1, FinalAnswer::Failed, 2_000_000);
        assert_eq!(oracle.violation_counts.len(), violated_rule_count);
        oracle.message_ended(1, FinalAnswer::Failed, 3_000_000);
        assert_eq!(
            broken_rules(&oracle),
            [Rule::SecondFinalAnswer],
            "expected a violation for a third answer"
        );
    }
}

/// Guards against a false violation on sockets under load: an endpoint responded 289 us after the deadline, and 411 us later the
/// forwarder reported the message as failed, as it had to. The response and the completion report had crossed. A response that
/// was recorded just before the deadline may be read after it too: in a trace 3 ms after it.
#[test]
fn allows_one_failure_after_late_delivery_on_sockets() {
    const DEADLINE: Micros = 10_000_000;
    let delivered_then_failed = |delivered_at: Micros, failures: usize| {
        let mut oracle = new_oracle();
        submit(&mut oracle, 1, 1, None);
        send(&mut oracle, 1, DEADLINE - 1_000);
        oracle.call_ended(1, 0, DEADLINE - 1_000, CallEffect::Possible);
        oracle.message_ended(1, FinalAnswer::Served, delivered_at);
        for _ in 0..failures {
            oracle.message_ended(1, FinalAnswer::Failed, delivered_at + 411);
        }
        broken_rules(&oracle)
    };
    assert!(delivered_then_failed(DEADLINE + 289, 0).is_empty());
    assert!(delivered_then_failed(DEADLINE + 289, 1).is_empty());
    let second = [Rule::SecondFinalAnswer];
    assert_eq!(delivered_then_failed(DEADLINE + 289, 2), second);
    assert!(delivered_then_failed(DEADLINE - 25_000, 1).is_empty());
    assert_eq!(delivered_then_failed(DEADLINE - 25_000, 2), second);
    assert_eq!(
        delivered_then_failed(DEADLINE - 25_001, 1),
        second,
        "expected a violation for a delivery before the deadline"
    );
}

#[test]
fn reports_second_answer_after_late_delivery_on_simulated_clock() {
    let mut oracle = new_oracle();
    oracle.observation_slack = 0;
    submit(&mut oracle, 1, 1, None);
    oracle.message_ended(1, FinalAnswer::Served, 10_000_289);
    oracle.message_ended(1, FinalAnswer::Failed, 10_000_700);
    assert_eq!(broken_rules(&oracle), [Rule::SecondFinalAnswer]);
}
