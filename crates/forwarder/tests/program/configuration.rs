//! The start-up configuration, at the start and at a reload.

use crate::common::*;
use std::process::Stdio;

/// After SIGHUP the list comes from the new address and reports go there. An invalid file changes nothing.
#[test]
fn a_reload_moves_to_the_new_platform_and_an_invalid_file_changes_nothing() {
    let (endpoint, seen) = endpoint_with("200 OK");
    let (other, seen_other) = endpoint_with("200 OK");
    let (mute, _) = silent_endpoint();
    let old = start_platform(
        vec![member(endpoint, 7, "Ready"), member(mute, 9, "Ready")],
        usize::MAX,
    ); // it acknowledges no report
    let new = start_platform(vec![member(other, 7, "Ready")], 0);
    let (dir, state) = state_folder();
    let text = startup_config("notice", "free", 200, 3.0);
    // Revisions start lower at the new one.
    push_change(
        &old,
        endpoint_list(90, false, &[member(endpoint, 7, "Ready")]),
    );
    let mut forwarder = start(&state, &text, old.address);
    until_changes_are_sent(&old);
    let short = submission_head("short", "notice", 4)
        .replace("20000", "300")
        .replace("dest=7", "dest=9");
    assert_eq!(forwarder.request_status(&short, b"body"), 202);
    wait_until("it is reported without an acknowledgement", || {
        !report_bodies(&old).is_empty()
    });
    let config_file = dir.path().join("config.json");
    std::fs::write(&config_file, "{\"name\":").expect("written");
    forwarder.signal("-HUP");
    pause(200);
    assert_eq!(forwarder.submit("one", "notice"), 202);
    wait_until("it goes on as before", || count_calls(&seen, "one") == 1);
    let moved = text.replacen('{', &format!("{{\"discovery\":\"{}\",", new.address), 1);
    std::fs::write(&config_file, moved).expect("written");
    forwarder.signal("-HUP");
    wait_until("the report is repeated at the new one", || {
        !report_bodies(&new).is_empty()
    });
    // A watch there comes after the new list: from now on nothing goes by the old one.
    push_change(&new, endpoint_list(1, false, &[]));
    until_changes_are_sent(&new);
    wait_until("the new list counts", || {
        forwarder.submit("two", "notice") == 202 && count_calls(&seen_other, "two") > 0
    });
    assert_eq!(count_calls(&seen, "two"), 0);
    push_change(
        &new,
        endpoint_list(2, false, &[member(endpoint, 7, "Terminating")]),
    );
    until_changes_are_sent(&new);
    assert!(forwarder.child.try_wait().expect("its state").is_none());
}

#[test]
fn an_invalid_configuration_ends_it_with_one_line_that_names_the_key() {
    let (_dir, state) = state_folder();
    let good = startup_config("notice", "free", 200, 3.0);
    let discovery = "127.0.0.1:1".parse().expect("an address");
    let cases = [
        (
            good.replace("\"Workers\":8", "\"Workers\":\"many\""),
            "settings.Domain.Workers",
        ),
        (
            good.replace("\"Workers\":8", "\"Workers\":0"),
            "Domain.Workers",
        ),
        (good.replace("\"MaxOpen\":400,", ""), "MaxOpen"),
        (
            good.replace("\"sockets\":200", "\"sockets\":20"),
            "limits.sockets",
        ),
        (
            good.replace("\"disk_mb\":3", "\"disk_mb\":0"),
            "limits.disk_mb",
        ),
        (
            good.replace("\"memory_mb\":192", "\"memory_mb\":0"),
            "limits.memory_mb",
        ),
        (good.replace("8c1f30d27a5be964", "seed"), "seed"),
        (good[..good.len() - 2].to_owned(), "GW_CONFIG"),
    ];
    for (text, key) in cases {
        let ended = command(&state, &text, "127.0.0.1:0", discovery)
            .stderr(Stdio::piped())
            .output();
        let ended = ended.expect("it runs");
        let words = String::from_utf8_lossy(&ended.stderr).into_owned();
        assert!(
            !ended.status.success() && words.contains(key) && words.lines().count() == 1,
            "{key}: {words}"
        );
    }
    let ended = command(&state, &good, "nowhere", discovery)
        .stderr(Stdio::piped())
        .output()
        .expect("it runs");
    assert!(
        !ended.status.success() && String::from_utf8_lossy(&ended.stderr).contains("GW_LISTEN")
    );
}
