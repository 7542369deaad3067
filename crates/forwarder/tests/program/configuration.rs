//! Tests of the startup configuration, at the start and after a reload.

use crate::common::*;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After SIGHUP the list is fetched from the new platform and reports are sent to it. An invalid file changes nothing.
#[test]
fn reload_switches_platform_and_ignores_an_invalid_file() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let (other, other_request_log) = endpoint_responding_with("200 OK");
    let (silent_address, _) = silent_endpoint();
    let old_platform = start_platform(
        vec![
            member(endpoint, 7, "Ready"),
            member(silent_address, 9, "Ready"),
        ],
        usize::MAX,
    ); // the old platform acknowledges no report
    let new_platform = start_platform(vec![member(other, 7, "Ready")], 0);
    let (dir, state) = state_folder();
    let config_text = startup_config("notice", "free", 200, 3.0);
    // The revisions of the new platform start at a lower number.
    push_change(
        &old_platform,
        endpoint_list(90, false, &[member(endpoint, 7, "Ready")]),
    );
    let mut forwarder = start(&state, &config_text, old_platform.address);
    wait_until_changes_are_sent(&old_platform);
    let short_submission = submission_head("short", "notice", 4)
        .replace("20000", "300")
        .replace("dest=7", "dest=9");
    assert_eq!(forwarder.request_status(&short_submission, b"body"), 202);
    wait_until("a completion report arrives at the old platform", || {
        !report_bodies(&old_platform).is_empty()
    });
    let config_file = dir.path().join("config.json");
    std::fs::write(&config_file, "{\"name\":").expect("the write succeeds");
    forwarder.signal("-HUP");
    sleep_ms(200);
    assert_eq!(forwarder.submit("one", "notice"), 202);
    wait_until("the old endpoint receives the message", || {
        count_calls(&request_log, "one") == 1
    });
    let new_config = config_text.replacen(
        '{',
        &format!("{{\"discovery\":\"{}\",", new_platform.address),
        1,
    );
    std::fs::write(&config_file, new_config).expect("the write succeeds");
    forwarder.signal("-HUP");
    wait_until("the report is repeated to the new platform", || {
        !report_bodies(&new_platform).is_empty()
    });
    // A watch of the new platform follows its complete list: from now on the list of the old platform must not be used.
    push_change(&new_platform, endpoint_list(1, false, &[]));
    wait_until_changes_are_sent(&new_platform);
    wait_until("the new list takes effect", || {
        forwarder.submit("two", "notice") == 202 && count_calls(&other_request_log, "two") > 0
    });
    assert_eq!(count_calls(&request_log, "two"), 0);
    push_change(
        &new_platform,
        endpoint_list(2, false, &[member(endpoint, 7, "Terminating")]),
    );
    wait_until_changes_are_sent(&new_platform);
    assert!(forwarder
        .child
        .try_wait()
        .expect("the process state is readable")
        .is_none());
}

/// Guards against a message that reaches an endpoint of another destination because the agent that a reload names does not
/// answer: 4 s after SIGHUP the changes that it knows count as notified. Messages wait for its list and are then sent.
#[test]
fn sends_nothing_by_the_list_of_the_previous_agent_once_the_new_one_is_overdue() {
    let config_text = startup_config("notice", "free", 200, 3.0);
    assert_list_of_previous_agent_is_suspended(&config_text, Duration::from_secs(1));
}

/// Guards against the same fault in a large fleet that polls discovery.
#[test]
fn large_polled_fleet_sends_nothing_by_the_list_of_the_previous_agent_once_the_new_one_is_overdue()
{
    let polled = "\"Balancers\":45,\"MembershipMode\":\"on_request\"";
    let config_text = startup_config("notice", "free", 200, 3.0).replace("\"Balancers\":1", polled);
    // The next poll after a failure comes up to 5 s later, and is answered within a second.
    assert_list_of_previous_agent_is_suspended(&config_text, Duration::from_secs(6));
}

/// Reloads a configuration that names another agent, which stays silent, and checks that nothing is sent by the list of the
/// previous agent once the changes that the new one knows count as notified. Messages wait, and are sent within
/// `sent_within` of the time at which the new agent can be reached.
fn assert_list_of_previous_agent_is_suspended(config_text: &str, sent_within: Duration) {
    let (reused_address, reused_log) = endpoint_responding_with("200 OK");
    let (replacement, replacement_log) = endpoint_responding_with("200 OK");
    let old_platform = start_platform(vec![member_named("old", reused_address, 7, "Ready")], 0);
    let new_agent_answers = Arc::new(AtomicBool::new(false));
    let answers = new_agent_answers.clone();
    let (new_agent, _) = serve(move |_, _| {
        let members = [
            member_named("taker", reused_address, 8, "Ready"),
            member_named("replacement", replacement, 7, "Ready"),
        ];
        let is_silent = !answers.load(Ordering::SeqCst);
        (!is_silent).then(|| ok_response(&endpoint_list(1, true, &members)))?
    });
    let (dir, state) = state_folder();
    let forwarder = start(&state, config_text, old_platform.address);
    wait_until("the list of the old platform is received", || {
        forwarder.submit("first", "notice") == 202
    });
    let new_config = with_further_keys(config_text, &format!("\"discovery\":\"{new_agent}\""));
    std::fs::write(dir.path().join("config.json"), new_config).expect("the write succeeds");
    let reloaded_at = Instant::now();
    forwarder.signal("-HUP");
    sleep_ms(300);
    assert_eq!(forwarder.submit("early", "notice"), 202);
    wait_until("the list of the old platform is used meanwhile", || {
        count_calls(&reused_log, "early") == 1
    });

    std::thread::sleep(Duration::from_secs(4).saturating_sub(reloaded_at.elapsed()));
    assert_eq!(forwarder.submit("late", "notice"), 202);
    sleep_ms(700);
    assert_eq!(count_calls(&reused_log, "late"), 0);
    new_agent_answers.store(true, Ordering::SeqCst);
    let answered_at = Instant::now();
    wait_until("the message is sent by the new list", || {
        count_calls(&replacement_log, "late") == 1
    });
    let sent_after = answered_at.elapsed();
    assert!(
        sent_after < sent_within,
        "expected the message within {sent_within:?} of the agent's return, took {sent_after:?}"
    );
}

#[test]
fn exits_with_one_line_naming_the_invalid_key() {
    let (_dir, state) = state_folder();
    let valid_config = startup_config("notice", "free", 200, 3.0);
    let discovery = "127.0.0.1:1".parse().expect("the address is valid");
    let cases = [
        (
            valid_config.replace("\"Workers\":8", "\"Workers\":\"many\""),
            "settings.Domain.Workers",
        ),
        (
            valid_config.replace("\"Workers\":8", "\"Workers\":0"),
            "Domain.Workers",
        ),
        (valid_config.replace("\"MaxOpen\":400,", ""), "MaxOpen"),
        (
            valid_config.replace("\"sockets\":200", "\"sockets\":20"),
            "limits.sockets",
        ),
        (
            valid_config.replace("\"disk_mb\":3", "\"disk_mb\":0"),
            "limits.disk_mb",
        ),
        (
            valid_config.replace("\"memory_mb\":192", "\"memory_mb\":0"),
            "limits.memory_mb",
        ),
        (valid_config.replace("8c1f30d27a5be964", "seed"), "seed"),
        (
            valid_config[..valid_config.len() - 2].to_owned(),
            "GW_CONFIG",
        ),
    ];
    for (config_text, key) in cases {
        let output = command(&state, &config_text, "127.0.0.1:0", discovery)
            .stderr(Stdio::piped())
            .output();
        let output = output.expect("the program starts");
        let error_output = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success()
                && error_output.contains(key)
                && error_output.lines().count() == 1,
            "expected a failure with one line that contains {key}, got {error_output}"
        );
    }
    let output = command(&state, &valid_config, "nowhere", discovery)
        .stderr(Stdio::piped())
        .output()
        .expect("the program starts");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).contains("GW_LISTEN")
    );
}
