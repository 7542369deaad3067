//! Tests that kills, restarts and planned shutdowns lose no accepted message.

use crate::common::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// After a kill, a message that may be repeated is repeated, any other is reported, and a completed one is not sent again.
#[test]
fn delivers_or_reports_each_message_after_a_kill() {
    for effect in ["free", "guarded", "single_shot"] {
        // The first attempt at the message `out` gets no response. All other requests get one.
        let (endpoint, request_log) = serve(|request, n| {
            let hangs = n < 2
                && request
                    .headers
                    .get("request-id")
                    .is_some_and(|i| i == "out");
            if hangs {
                None
            } else {
                empty_response("200 OK")
            }
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 1);
        let (_dir, state) = state_folder();
        let config_text = startup_config("notice", effect, 200, 3.0);
        let mut forwarder = start(&state, &config_text, platform.address);
        assert_eq!(forwarder.submit("done", "notice"), 202);
        wait_until("the message `done` is delivered", || {
            count_calls(&request_log, "done") == 1
        });
        sleep_ms(50);
        assert_eq!(forwarder.submit("out", "notice"), 202);
        wait_until("the message `out` is sent", || {
            count_calls(&request_log, "out") == 1
        });
        assert_eq!(
            forwarder.submit("out", "notice"),
            202,
            "expected a repeated submission to be accepted as the same message"
        );
        kill_and_wait(&mut forwarder);
        let _forwarder = start(&state, &config_text, platform.address);
        if effect == "single_shot" {
            let line = "{\"id\":\"out\",\"status\":\"undeliverable\"}\n";
            // The first report is not acknowledged, so that it is repeated.
            wait_until("the completion report arrives twice", || {
                report_bodies(&platform) == [line, line]
            });
            sleep_ms(300);
            assert_eq!(
                report_bodies(&platform).len(),
                2,
                "expected no further report after the acknowledgement"
            );
            assert_eq!(count_calls(&request_log, "out"), 1);
        } else {
            wait_until("the message is sent again", || {
                count_calls(&request_log, "out") == 2
            });
            sleep_ms(300);
            assert!(report_bodies(&platform).is_empty());
        }
        assert_eq!(count_calls(&request_log, "done"), 1);
    }
}

#[test]
fn sigterm_answers_submissions_finishes_attempts_and_exits_in_time() {
    let (endpoint, request_log) =
        serve(
            |request, _| match request.headers.get("request-id").map(String::as_str) {
                Some("stuck") => None,
                _ => {
                    sleep_ms(400);
                    empty_response("200 OK")
                }
            },
        );
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &config_text, platform.address);
    assert_eq!(forwarder.submit("stuck", "notice"), 202);
    assert_eq!(forwarder.submit("before", "notice"), 202);
    let mut fresh = forwarder.connect().expect("the connection is established");
    let mut half = forwarder.connect().expect("the connection is established");
    let head = submission_head("half", "notice", 4);
    half.write_all(head.as_bytes()).expect("the write succeeds");
    sleep_ms(100);
    let started_at = Instant::now();
    forwarder.signal("-TERM");
    sleep_ms(100);
    assert_eq!(forwarder.submit("after", "notice"), 202);
    half.write_all(b"body").expect("the write succeeds");
    assert_eq!(read_status(&mut half), 202);
    fresh
        .write_all(&[submission_head("fresh", "notice", 4).as_bytes(), b"body"].concat())
        .expect("the write succeeds");
    assert_eq!(read_status(&mut fresh), 202);
    let code = loop {
        if let Some(code) = forwarder
            .child
            .try_wait()
            .expect("the process state is readable")
        {
            break code;
        }
        assert!(
            started_at.elapsed() < Duration::from_millis(3700),
            "expected the process to exit within 3700 ms, before it would be killed"
        );
        sleep_ms(5);
    };
    assert_eq!(code.code(), Some(0));
    for id in ["before", "after", "half", "fresh"] {
        assert_eq!(
            count_calls(&request_log, id),
            1,
            "number of calls with the message `{id}`"
        );
    }
    let calls_before_restart = count_calls(&request_log, "stuck");
    let _forwarder = start(&state, &config_text, platform.address);
    wait_until("the message `stuck` is sent again", || {
        count_calls(&request_log, "stuck") > calls_before_restart
    });
    assert_eq!(count_calls(&request_log, "before"), 1);
}

/// A message to a destination whose number has more than 16 bits is accepted, recovered after a kill and delivered there.
#[test]
fn recovers_a_message_to_destination_70000_after_a_kill() {
    let (endpoint, request_log) = serve(|request, n| {
        let hangs = n < 2
            && request
                .headers
                .get("request-id")
                .is_some_and(|i| i == "out");
        if hangs {
            None
        } else {
            empty_response("200 OK")
        }
    });
    // The number of another destination consists of the low 16 bits of 70000.
    let (other, other_request_log) = endpoint_responding_with("200 OK");
    let platform = start_platform(
        vec![
            member(endpoint, 70_000, "Ready"),
            member(other, 70_000 - 65_536, "Ready"),
        ],
        0,
    );
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &config_text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, destination: &str| {
        let head =
            submission_head(id, "notice", 4).replace("dest=7", &format!("dest={destination}"));
        forwarder.request_status(&head, b"body")
    };
    assert_eq!(submit(&forwarder, "done", "70000"), 202);
    wait_until("the message `done` is delivered", || {
        count_calls(&request_log, "done") == 1
    });
    assert_eq!(submit(&forwarder, "out", "70000"), 202);
    wait_until("the message `out` is sent", || {
        count_calls(&request_log, "out") == 1
    });
    assert_eq!(submit(&forwarder, "none", "70001"), 503);
    assert_eq!(submit(&forwarder, "none", "4294967295"), 503);
    assert_eq!(submit(&forwarder, "none", "4294967296"), 400);
    kill_and_wait(&mut forwarder);
    let _forwarder = start(&state, &config_text, platform.address);
    wait_until("the message is sent again", || {
        count_calls(&request_log, "out") == 2
    });
    sleep_ms(300);
    assert_eq!(
        (
            count_calls(&request_log, "done"),
            count_calls(&request_log, "out"),
            count_calls(&request_log, "none")
        ),
        (1, 2, 0)
    );
    assert!(other_request_log
        .lock()
        .expect("the request log is not poisoned")
        .is_empty());
    assert!(report_bodies(&platform).is_empty());
}

/// After kills at any moment, each accepted message is delivered or reported, and an at-most-once message is never served
/// twice.
#[test]
fn loses_no_message_when_killed_under_load() {
    for effect in ["guarded", "single_shot"] {
        let (endpoint, request_log) = serve(|_, n| {
            sleep_ms(20);
            empty_response(if n % 8 == 7 { "503 Full" } else { "200 OK" })
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = state_folder();
        let config_text = startup_config("notice", effect, 200, 3.0);
        let mut forwarder = start(&state, &config_text, platform.address);
        let mut accepted = Vec::new();
        for round in 0..3 {
            for n in 0..12 {
                let id = format!("r{round}-{n}");
                if forwarder.submit(&id, "notice") == 202 {
                    accepted.push(id);
                }
            }
            thread::sleep(Duration::from_millis(15 * round));
            kill_and_wait(&mut forwarder);
            forwarder = start(&state, &config_text, platform.address);
        }
        assert!(
            accepted.len() > 30,
            "expected more than 30 accepted messages, got {}",
            accepted.len()
        );
        let reported = |id: &str| {
            let line = format!("{{\"id\":\"{id}\",");
            let reports = report_bodies(&platform);
            reports.iter().any(|body| body.contains(&line))
        };
        // Every eighth attempt was rejected. The last attempt at a message that is not reported must have been served.
        let is_over = |id: &String| {
            let log = request_log.lock().expect("the request log is not poisoned");
            let last = log
                .iter()
                .rposition(|request| request.headers.get("request-id") == Some(id));
            reported(id) || last.is_some_and(|n| n % 8 != 7)
        };
        wait_until("each message is delivered or reported", || {
            accepted.iter().all(is_over)
        });
        if effect == "single_shot" {
            let served = |id: &String| {
                let log = request_log.lock().expect("the request log is not poisoned");
                let was_served = |(n, request): &(usize, &HttpMessage)| {
                    n % 8 != 7 && request.headers.get("request-id") == Some(id)
                };
                log.iter().enumerate().filter(was_served).count()
            };
            assert!(
                accepted.iter().all(|id| served(id) <= 1),
                "expected each at-most-once message to be served at most once"
            );
        }
    }
}

/// Guards against at-most-once messages that a kill ends although nothing of them was sent: no connection to their endpoint
/// had come up. After the restart each is delivered once.
#[test]
fn kill_while_connecting_leaves_at_most_once_messages_untried() {
    const MESSAGES: usize = 6;
    let unreachable = FullBacklogListener::bind("127.0.0.1");
    let config_text = startup_config("notice", "single_shot", 200, 3.0);
    let (_dir, state) = state_folder();
    let old_platform = start_platform(vec![member(unreachable.address, 7, "Ready")], 0);
    let mut forwarder = start(&state, &config_text, old_platform.address);
    let ids: Vec<String> = (0..MESSAGES).map(|number| format!("m{number}")).collect();
    for id in &ids {
        assert_eq!(forwarder.submit(id, "notice"), 202);
    }
    sleep_ms(400);
    kill_and_wait(&mut forwarder);

    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let _forwarder = start(&state, &config_text, platform.address);
    wait_until("each message is sent or reported", || {
        let is_over = |id: &String| {
            count_calls(&request_log, id) > 0
                || report_bodies(&platform)
                    .iter()
                    .any(|body| body.contains(id.as_str()))
        };
        ids.iter().all(is_over)
    });
    sleep_ms(300);
    assert_eq!(report_lines(&platform), [""; 0], "no message is given up");
    for id in &ids {
        assert_eq!(count_calls(&request_log, id), 1, "calls of {id}");
    }
}
