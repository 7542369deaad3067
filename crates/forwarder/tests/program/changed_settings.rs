//! Restarts with other settings than the process before: the journal must be read by the names in the settings.

use crate::common::*;
use std::time::Duration;

/// Time for which no further call must arrive after a restart.
const NO_CALL_FOR: Duration = Duration::from_millis(1500);

/// Returns a start-up configuration with these delivery classes, each a name and its delivery semantics in the settings.
fn config_with_classes(classes: &[(&str, &str)]) -> String {
    let first = startup_config(classes[0].0, classes[0].1, 200, 3.0);
    let profile = |name: &str, effect: &str| {
        format!(
            r#"{{"Name":"{name}","Effect":"{effect}","DedupWindowUs":15000000,"GoalTimeUs":2500000,"HardLimitUs":28000000,"LateShare":0.5,"Points":1.0}}"#
        )
    };
    let mut config_text = first;
    for (name, effect) in &classes[1..] {
        let further = format!("\"Points\":1.0}},{}]", profile(name, effect));
        config_text = config_text.replace("\"Points\":1.0}]", &further);
    }
    config_text
}

/// Starts a forwarder with the classes `charge`, which is at-most-once, and `record`. Leaves a message of `charge` in flight,
/// kills the process and starts it with the classes `changed`. Then a message of `charge` must have run once and be reported.
fn assert_charge_is_not_repeated(changed: &[(&str, &str)]) {
    let (endpoint, request_log) = serve(|_, request_number| match request_number {
        0 => None,
        _ => empty_response("200 OK"),
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let config_text = config_with_classes(&[("charge", "single_shot"), ("record", "guarded")]);
    let mut forwarder = start(&state, &config_text, platform.address);
    assert_eq!(forwarder.submit("out", "charge"), 202);
    wait_until("the message is sent", || {
        count_calls(&request_log, "out") == 1
    });
    kill_and_wait(&mut forwarder);

    let mut forwarder = start(&state, &config_with_classes(changed), platform.address);
    std::thread::sleep(NO_CALL_FOR);
    assert_eq!(count_calls(&request_log, "out"), 1, "with {changed:?}");
    let report = "{\"id\":\"out\",\"status\":\"undeliverable\"}";
    wait_until("the message is reported", || {
        report_lines(&platform).contains(&report.to_owned())
    });
    // The new settings are in force: a message of a class that both have is delivered, also by a further process.
    assert_eq!(forwarder.submit("next", "record"), 202);
    wait_until("the message of the other class is delivered", || {
        count_calls(&request_log, "next") == 1
    });
    kill_and_wait(&mut forwarder);
    let _forwarder = start(&state, &config_with_classes(changed), platform.address);
    sleep_ms(500);
    assert_eq!(count_calls(&request_log, "out"), 1, "with {changed:?}");
}

/// Guards against an at-most-once message that runs twice because its class stands at another position in the settings.
#[test]
fn repeats_no_at_most_once_message_after_a_restart_with_one_more_class() {
    assert_charge_is_not_repeated(&[
        ("status", "free"),
        ("charge", "single_shot"),
        ("record", "guarded"),
    ]);
}

/// Guards against the same fault where the class is missing from the new settings.
#[test]
fn repeats_no_at_most_once_message_after_a_restart_without_its_class() {
    assert_charge_is_not_repeated(&[("record", "guarded")]);
}

/// Guards against the same fault where messages of the class may be repeated by the new settings.
#[test]
fn repeats_no_at_most_once_message_after_a_restart_with_other_semantics() {
    assert_charge_is_not_repeated(&[("charge", "free"), ("record", "guarded")]);
}

/// An untried at-most-once message is still delivered where its class stands at another position.
#[test]
fn delivers_untried_message_after_a_restart_with_one_more_class() {
    let endpoint = FullBacklogListener::bind("127.0.0.1");
    let platform = start_platform(vec![member(endpoint.address, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let config_text = config_with_classes(&[("charge", "single_shot"), ("record", "guarded")]);
    let mut forwarder = start(&state, &config_text, platform.address);
    assert_eq!(forwarder.submit("waiting", "charge"), 202);
    sleep_ms(300);
    kill_and_wait(&mut forwarder);
    let (_, request_log) = endpoint.accept_and_serve(|_, _| empty_response("200 OK"));
    let changed = [("status", "free"), ("charge", "single_shot")];
    let _forwarder = start(&state, &config_with_classes(&changed), platform.address);
    wait_until("the message is delivered", || {
        count_calls(&request_log, "waiting") == 1
    });
}
