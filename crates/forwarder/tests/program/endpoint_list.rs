//! Tests of changes to the endpoint list.

use crate::common::*;

/// A change that a watch receives takes effect at once.
#[test]
fn sends_no_new_message_to_a_draining_endpoint() {
    let (old_endpoint, old_request_log) = endpoint_responding_with("200 OK");
    let (new_endpoint, new_request_log) = endpoint_responding_with("200 OK");
    let platform = start_platform(vec![member(old_endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform.address,
    );
    assert_eq!(forwarder.submit("first", "notice"), 202);
    wait_until("the old endpoint receives the message", || {
        count_calls(&old_request_log, "first") == 1
    });
    let change = endpoint_list(
        2,
        false,
        &[
            member(old_endpoint, 7, "Terminating"),
            member(new_endpoint, 7, "Ready"),
        ],
    );
    push_change(&platform, change);
    wait_until_changes_are_sent(&platform);
    sleep_ms(100);
    for n in 0..10 {
        assert_eq!(forwarder.submit(&format!("n{n}"), "notice"), 202);
    }
    wait_until("the new endpoint receives the messages", || {
        (0..10).all(|n| count_calls(&new_request_log, &format!("n{n}")) == 1)
    });
    assert_eq!(
        old_request_log
            .lock()
            .expect("the request log is not poisoned")
            .len(),
        1
    );
}

/// A new process at the address of an earlier one is another endpoint, with a destination, health and connections of its
/// own.
#[test]
fn treats_a_new_process_at_an_address_as_a_new_endpoint() {
    // The first process always rejects, with a long retry-after.
    let (endpoint, request_log) = serve(|request, _| {
        empty_response(if request.headers["request-id"].starts_with("old") {
            "429 Wait\r\nWait-Ms: 9000"
        } else {
            "200 OK"
        })
    });
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 200, 3.0));
    let forwarder = &setup.forwarder;
    assert_eq!(forwarder.submit("old", "notice"), 202);
    wait_until("the old process rejects the message", || {
        count_calls(&request_log, "old") == 1
    });
    let new_endpoint = member(endpoint, 8, "Ready").replace("s-", "t-");
    push_change(&setup.platform, endpoint_list(2, false, &[new_endpoint]));
    wait_until_changes_are_sent(&setup.platform);
    sleep_ms(100);
    assert_eq!(
        forwarder.request_status(&submission_head("lost", "notice", 4), b"body"),
        202
    ); // destination 7 has no endpoint any more
    let head = submission_head("new", "notice", 4).replace("dest=7", "dest=8");
    assert_eq!(forwarder.request_status(&head, b"body"), 202);
    wait_until("the new endpoint receives the message", || {
        count_calls(&request_log, "new") == 1
    });
    assert_eq!(
        (
            count_calls(&request_log, "old"),
            count_calls(&request_log, "lost")
        ),
        (1, 0)
    );
}
