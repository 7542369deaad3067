//! Kills, restarts and the planned end: no accepted message is lost.

use crate::common::*;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Rules 1 and 2 over a kill: a message that may be repeated is, one that may not is reported, and one that was over stays so.
#[test]
fn delivers_or_reports_each_message_after_a_kill() {
    for effect in ["free", "guarded", "single_shot"] {
        // The first attempt at each message hangs. Those after it are answered.
        let (endpoint, request_log) = serve(|m, n| {
            let hangs = n < 2 && m.headers.get("request-id").is_some_and(|i| i == "out");
            if hangs {
                None
            } else {
                plain("200 OK")
            }
        });
        let platform = platform(vec![member(endpoint, 7, "Ready")], 1);
        let (_dir, state) = folder();
        let text = config("notice", effect, 200, 3.0);
        let mut forwarder = start(&state, &text, platform.address);
        assert_eq!(forwarder.submit("done", "notice"), 202);
        until("one is delivered", || calls(&request_log, "done") == 1);
        sleep_ms(50);
        assert_eq!(forwarder.submit("out", "notice"), 202);
        until("the other is out", || calls(&request_log, "out") == 1);
        assert_eq!(
            forwarder.submit("out", "notice"),
            202,
            "the same id again is the same message"
        );
        kill_and_wait(&mut forwarder);
        let _forwarder = start(&state, &text, platform.address);
        if effect == "single_shot" {
            let line = "{\"id\":\"out\",\"status\":\"undeliverable\"}\n";
            // The first report is not acknowledged, so it is repeated.
            until("it is reported twice", || {
                report_bodies(&platform) == [line, line]
            });
            sleep_ms(300);
            assert_eq!(
                report_bodies(&platform).len(),
                2,
                "one acknowledgement is enough"
            );
            assert_eq!(calls(&request_log, "out"), 1);
        } else {
            until("it is sent again", || calls(&request_log, "out") == 2);
            sleep_ms(300);
            assert!(report_bodies(&platform).is_empty());
        }
        assert_eq!(calls(&request_log, "done"), 1);
    }
}

#[test]
fn sigterm_answers_submissions_finishes_attempts_and_exits_in_time() {
    let (endpoint, request_log) =
        serve(
            |m, _| match m.headers.get("request-id").map(String::as_str) {
                Some("stuck") => None,
                _ => {
                    sleep_ms(400);
                    plain("200 OK")
                }
            },
        );
    let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = folder();
    let text = config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &text, platform.address);
    assert_eq!(forwarder.submit("stuck", "notice"), 202);
    assert_eq!(forwarder.submit("before", "notice"), 202);
    let mut fresh = forwarder.connect().expect("a connection");
    let mut half = forwarder.connect().expect("a connection");
    let head = submission_head("half", "notice", 4);
    half.write_all(head.as_bytes()).expect("written");
    sleep_ms(100);
    let started_at = Instant::now();
    forwarder.signal("-TERM");
    sleep_ms(100);
    assert_eq!(forwarder.submit("after", "notice"), 202);
    half.write_all(b"body").expect("written");
    assert_eq!(status(&mut half), 202);
    fresh
        .write_all(&[submission_head("fresh", "notice", 4).as_bytes(), b"body"].concat())
        .expect("written");
    assert_eq!(status(&mut fresh), 202);
    let code = loop {
        if let Some(code) = forwarder.child.try_wait().expect("its state") {
            break code;
        }
        assert!(
            started_at.elapsed() < Duration::from_millis(3700),
            "it would be killed"
        );
        sleep_ms(5);
    };
    assert_eq!(code.code(), Some(0));
    for id in ["before", "after", "half", "fresh"] {
        assert_eq!(calls(&request_log, id), 1, "{id}");
    }
    let before = calls(&request_log, "stuck");
    let _forwarder = start(&state, &text, platform.address);
    until("the rest goes on", || calls(&request_log, "stuck") > before);
    assert_eq!(calls(&request_log, "before"), 1);
}

/// Rules 1 and 2 for destinations whose number has more than 16 bits: accepted, recovered after a kill, delivered there.
#[test]
fn recovers_a_message_to_destination_70000_after_a_kill() {
    let (endpoint, request_log) = serve(|m, n| {
        let hangs = n < 2 && m.headers.get("request-id").is_some_and(|i| i == "out");
        if hangs {
            None
        } else {
            plain("200 OK")
        }
    });
    // The destination of the number's low 16 bits is another.
    let (other, other_request_log) = endpoint_responding_with("200 OK");
    let platform = platform(
        vec![
            member(endpoint, 70_000, "Ready"),
            member(other, 70_000 - 65_536, "Ready"),
        ],
        0,
    );
    let (_dir, state) = folder();
    let text = config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, destination: &str| {
        let head =
            submission_head(id, "notice", 4).replace("dest=7", &format!("dest={destination}"));
        forwarder.ask(&head, b"body")
    };
    assert_eq!(submit(&forwarder, "done", "70000"), 202);
    until("one is delivered", || calls(&request_log, "done") == 1);
    assert_eq!(submit(&forwarder, "out", "70000"), 202);
    until("the other is out", || calls(&request_log, "out") == 1);
    assert_eq!(submit(&forwarder, "none", "70001"), 503);
    assert_eq!(submit(&forwarder, "none", "4294967295"), 503);
    assert_eq!(submit(&forwarder, "none", "4294967296"), 400);
    kill_and_wait(&mut forwarder);
    let _forwarder = start(&state, &text, platform.address);
    until("it is sent again", || calls(&request_log, "out") == 2);
    sleep_ms(300);
    assert_eq!(
        (
            calls(&request_log, "done"),
            calls(&request_log, "out"),
            calls(&request_log, "none")
        ),
        (1, 2, 0)
    );
    assert!(other_request_log.lock().expect("the log").is_empty());
    assert!(report_bodies(&platform).is_empty());
}

/// Rules 1 and 2 over kills at any moment: each accepted message is delivered or reported, an at-most-once one never twice.
#[test]
fn loses_no_message_when_killed_under_load() {
    for effect in ["guarded", "single_shot"] {
        let (endpoint, request_log) = serve(|_, n| {
            sleep_ms(20);
            plain(if n % 8 == 7 { "503 Full" } else { "200 OK" })
        });
        let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = folder();
        let text = config("notice", effect, 200, 3.0);
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
            kill_and_wait(&mut forwarder);
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
            let log = request_log.lock().expect("the log");
            let last = log
                .iter()
                .rposition(|m| m.headers.get("request-id") == Some(id));
            reported(id) || last.is_some_and(|n| n % 8 != 7)
        };
        until("each message is over", || accepted.iter().all(is_over));
        if effect == "single_shot" {
            let served = |id: &String| {
                let log = request_log.lock().expect("the log");
                let ran = |(n, m): &(usize, &Message)| {
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
