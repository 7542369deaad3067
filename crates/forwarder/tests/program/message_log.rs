//! Tests of the log lines that tell the course of a message.

use crate::common::*;

/// Guards against a lost message whose fate the log does not tell: each transition names the client's id of the message.
#[test]
fn log_tells_each_transition_of_a_message() {
    let (endpoint, _) = serve(|request, _| {
        empty_response(match request.headers["request-id"].as_str() {
            "delivered" => "200 OK",
            _ => "503 Full",
        })
    });
    let setup = start_with_endpoint(endpoint, &startup_config("notice", "free", 200, 3.0));
    assert_eq!(setup.forwarder.submit("delivered", "notice"), 202);
    let head = submission_head("undelivered", "notice", 4).replace("20000", "400");
    assert_eq!(setup.forwarder.request_status(&head, b"body"), 202);
    let unknown = submission_head("refused", "notice", 4).replace("dest=7", "dest=8");
    assert_eq!(setup.forwarder.request_status(&unknown, b"body"), 503);
    let expected_lines = [
        ["message accepted", "message: delivered"],
        [
            "completed: true, outcome: Delivered, basis: response 200",
            "message: delivered",
        ],
        ["message accepted", "message: undelivered"],
        ["basis: response 503", "message: undelivered"],
        ["message ended without delivery", "message: undelivered"],
        ["completion report acknowledged", "message: undelivered"],
        ["answer: UnknownDestination", "message: refused"],
        ["endpoint list updated", "revision: 1"],
    ];
    for words in expected_lines {
        wait_until(&format!("the log has a line with {words:?}"), || {
            has_line(&setup, &words)
        });
    }
}

/// Returns whether a line of the forwarder's log contains all of these words.
fn has_line(setup: &TestSetup, words: &[&str]) -> bool {
    let log = std::fs::read_to_string(setup.state.with_file_name("forwarder.log"))
        .expect("the log is readable");
    log.lines()
        .any(|line| words.iter().all(|word| line.contains(word)))
}
