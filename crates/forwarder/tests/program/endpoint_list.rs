//! Changes of the endpoint list.

use crate::common::*;

/// Rule 3: a change that the watch brings takes effect at once.
#[test]
fn a_draining_endpoint_gets_no_new_message() {
    let (old, seen_old) = endpoint_with("200 OK");
    let (new, seen_new) = endpoint_with("200 OK");
    let platform = start_platform(vec![member(old, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform.address,
    );
    assert_eq!(forwarder.submit("first", "notice"), 202);
    wait_until("the old one serves", || {
        count_calls(&seen_old, "first") == 1
    });
    let change = endpoint_list(
        2,
        false,
        &[member(old, 7, "Terminating"), member(new, 7, "Ready")],
    );
    push_change(&platform, change);
    until_changes_are_sent(&platform);
    pause(100);
    for n in 0..10 {
        assert_eq!(forwarder.submit(&format!("n{n}"), "notice"), 202);
    }
    wait_until("the new one serves", || {
        (0..10).all(|n| count_calls(&seen_new, &format!("n{n}")) == 1)
    });
    assert_eq!(seen_old.lock().expect("the log").len(), 1);
}

/// Where another process takes over an address it is another endpoint: its destination, health and connections are its own.
#[test]
fn a_new_holder_of_an_address_inherits_nothing() {
    // The first holder only rejects, with a long retry-after.
    let (endpoint, seen) = serve(|m, _| {
        empty_response(if m.headers["request-id"].starts_with("old") {
            "429 Wait\r\nWait-Ms: 9000"
        } else {
            "200 OK"
        })
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform.address,
    );
    assert_eq!(forwarder.submit("old", "notice"), 202);
    wait_until("the old one refuses", || count_calls(&seen, "old") == 1);
    let new = member(endpoint, 8, "Ready").replace("s-", "t-");
    push_change(&platform, endpoint_list(2, false, &[new]));
    until_changes_are_sent(&platform);
    pause(100);
    assert_eq!(
        forwarder.request_status(&submission_head("lost", "notice", 4), b"body"),
        202
    ); // 7 has no endpoint any more
    let head = submission_head("new", "notice", 4).replace("dest=7", "dest=8");
    assert_eq!(forwarder.request_status(&head, b"body"), 202);
    wait_until("the new one serves", || count_calls(&seen, "new") == 1);
    assert_eq!(
        (count_calls(&seen, "old"), count_calls(&seen, "lost")),
        (1, 0)
    );
}
