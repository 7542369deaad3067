//! Kills, restarts and the planned end: no accepted message is lost.

use crate::common::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Rules 1 and 2 over a kill: a message that may be repeated is, one that may not is reported, and one that was over stays so.
#[test]
fn after_a_kill_each_message_is_delivered_or_reported() {
    for effect in ["free", "guarded", "single_shot"] {
        // The first attempt at each message hangs. Those after it are answered.
        let (endpoint, seen) = serve(|m, n| {
            let hangs = n < 2 && m.headers.get("request-id").is_some_and(|i| i == "out");
            if hangs {
                None
            } else {
                empty_response("200 OK")
            }
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 1);
        let (_dir, state) = state_folder();
        let text = startup_config("notice", effect, 200, 3.0);
        let mut forwarder = start(&state, &text, platform.address);
        assert_eq!(forwarder.submit("done", "notice"), 202);
        wait_until("one is delivered", || count_calls(&seen, "done") == 1);
        pause(50);
        assert_eq!(forwarder.submit("out", "notice"), 202);
        wait_until("the other is out", || count_calls(&seen, "out") == 1);
        assert_eq!(
            forwarder.submit("out", "notice"),
            202,
            "the same id again is the same message"
        );
        kill(&mut forwarder);
        let _forwarder = start(&state, &text, platform.address);
        if effect == "single_shot" {
            let line = "{\"id\":\"out\",\"status\":\"undeliverable\"}\n";
            // The first report is not acknowledged, so it is repeated.
            wait_until("it is reported twice", || {
                report_bodies(&platform) == [line, line]
            });
            pause(300);
            assert_eq!(
                report_bodies(&platform).len(),
                2,
                "one acknowledgement is enough"
            );
            assert_eq!(count_calls(&seen, "out"), 1);
        } else {
            wait_until("it is sent again", || count_calls(&seen, "out") == 2);
            pause(300);
            assert!(report_bodies(&platform).is_empty());
        }
        assert_eq!(count_calls(&seen, "done"), 1);
    }
}

#[test]
fn on_sigterm_it_answers_what_comes_finishes_attempts_and_ends_in_time() {
    let (endpoint, seen) = serve(
        |m, _| match m.headers.get("request-id").map(String::as_str) {
            Some("stuck") => None,
            _ => {
                pause(400);
                empty_response("200 OK")
            }
        },
    );
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &text, platform.address);
    assert_eq!(forwarder.submit("stuck", "notice"), 202);
    assert_eq!(forwarder.submit("before", "notice"), 202);
    let mut fresh = forwarder.connect().expect("a connection");
    let mut half = forwarder.connect().expect("a connection");
    let head = submission_head("half", "notice", 4);
    half.write_all(head.as_bytes()).expect("written");
    pause(100);
    let begun = Instant::now();
    forwarder.signal("-TERM");
    pause(100);
    assert_eq!(forwarder.submit("after", "notice"), 202);
    half.write_all(b"body").expect("written");
    assert_eq!(read_status(&mut half), 202);
    fresh
        .write_all(&[submission_head("fresh", "notice", 4).as_bytes(), b"body"].concat())
        .expect("written");
    assert_eq!(read_status(&mut fresh), 202);
    let code = loop {
        if let Some(code) = forwarder.child.try_wait().expect("its state") {
            break code;
        }
        assert!(
            begun.elapsed() < Duration::from_millis(3700),
            "it would be killed"
        );
        pause(5);
    };
    assert_eq!(code.code(), Some(0));
    for id in ["before", "after", "half", "fresh"] {
        assert_eq!(count_calls(&seen, id), 1, "{id}");
    }
    let before = count_calls(&seen, "stuck");
    let _forwarder = start(&state, &text, platform.address);
    wait_until("the rest goes on", || count_calls(&seen, "stuck") > before);
    assert_eq!(count_calls(&seen, "before"), 1);
}

/// Rules 1 and 2 for destinations whose number has more than 16 bits: accepted, recovered after a kill, delivered there.
#[test]
fn a_message_to_the_seventy_thousandth_destination_survives_a_kill() {
    let (endpoint, seen) = serve(|m, n| {
        let hangs = n < 2 && m.headers.get("request-id").is_some_and(|i| i == "out");
        if hangs {
            None
        } else {
            empty_response("200 OK")
        }
    });
    // The destination of the number's low 16 bits is another.
    let (other, seen_other) = endpoint_with("200 OK");
    let platform = start_platform(
        vec![
            member(endpoint, 70_000, "Ready"),
            member(other, 70_000 - 65_536, "Ready"),
        ],
        0,
    );
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, destination: &str| {
        let head =
            submission_head(id, "notice", 4).replace("dest=7", &format!("dest={destination}"));
        forwarder.request_status(&head, b"body")
    };
    assert_eq!(submit(&forwarder, "done", "70000"), 202);
    wait_until("one is delivered", || count_calls(&seen, "done") == 1);
    assert_eq!(submit(&forwarder, "out", "70000"), 202);
    wait_until("the other is out", || count_calls(&seen, "out") == 1);
    assert_eq!(submit(&forwarder, "none", "70001"), 503);
    assert_eq!(submit(&forwarder, "none", "4294967295"), 503);
    assert_eq!(submit(&forwarder, "none", "4294967296"), 400);
    kill(&mut forwarder);
    let _forwarder = start(&state, &text, platform.address);
    wait_until("it is sent again", || count_calls(&seen, "out") == 2);
    pause(300);
    assert_eq!(
        (
            count_calls(&seen, "done"),
            count_calls(&seen, "out"),
            count_calls(&seen, "none")
        ),
        (1, 2, 0)
    );
    assert!(seen_other.lock().expect("the log").is_empty());
    assert!(report_bodies(&platform).is_empty());
}

/// Rules 1 and 2 over kills at any moment: each accepted message is delivered or reported, an at-most-once one never twice.
#[test]
fn nothing_is_lost_over_kills_in_the_middle_of_work() {
    for effect in ["guarded", "single_shot"] {
        let (endpoint, seen) = serve(|_, n| {
            pause(20);
            empty_response(if n % 8 == 7 { "503 Full" } else { "200 OK" })
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = state_folder();
        let text = startup_config("notice", effect, 200, 3.0);
        let mut forwarder = start(&state, &text, platform.address);
        let mut accepted = Vec::new();
        for round in 0..3 {
            for n in 0..12 {
                let id = format!("r{round}-{n}");
                if forwarder.submit(&id, "notice") == 202 {
                    accepted.push(id);
                }
            }
            thread::sleep(Duration::from_millis(15 * round));
            kill(&mut forwarder);
            forwarder = start(&state, &text, platform.address);
        }
        assert!(accepted.len() > 30, "{} accepted", accepted.len());
        let reported = |id: &str| {
            let line = format!("{{\"id\":\"{id}\",");
            let reports = report_bodies(&platform);
            reports.iter().any(|body| body.contains(&line))
        };
        // Every eighth attempt was rejected. The last attempt at a message that is not reported was served.
        let is_over = |id: &String| {
            let log = seen.lock().expect("the log");
            let last = log
                .iter()
                .rposition(|m| m.headers.get("request-id") == Some(id));
            reported(id) || last.is_some_and(|n| n % 8 != 7)
        };
        wait_until("each message is over", || accepted.iter().all(is_over));
        if effect == "single_shot" {
            let served = |id: &String| {
                let log = seen.lock().expect("the log");
                let ran = |(n, m): &(usize, &HttpMessage)| {
                    n % 8 != 7 && m.headers.get("request-id") == Some(id)
                };
                log.iter().enumerate().filter(ran).count()
            };
            assert!(
                accepted.iter().all(|id| served(id) <= 1),
                "an at-most-once message was served twice"
            );
        }
    }
}
