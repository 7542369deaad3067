//! Tests of events that end a message, an attempt, a connection or the process, and that coincide with other events. The
//! program runs between peers that wait and write at the critical moment, so that the rare order occurs in each run.
//! `docs/design/endings.md` names the test of each ending.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A response that arrives after the deadline of its message does not deliver the message, even if both are noticed at once.
/// The process is stopped across the deadline, so that it finds both at the same time.
#[test]
fn reports_failure_for_a_response_after_the_deadline() {
    for effect in ["free", "guarded", "single_shot"] {
        let (release_sender, release_receiver) = channel::<()>();
        let release_receiver = Mutex::new(release_receiver);
        let (endpoint, request_log) = serve(move |_, _| {
            release_receiver
                .lock()
                .expect("the receiver is not poisoned")
                .recv()
                .expect("the test releases the endpoint");
            empty_response("200 OK")
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = state_folder();
        let forwarder = start(
            &state,
            &startup_config("notice", effect, 200, 3.0),
            platform.address,
        );
        let head = submission_head("late", "notice", 4).replace("20000", "900");
        assert_eq!(forwarder.request_status(&head, b"body"), 202);
        wait_until("the attempt is sent", || {
            count_calls(&request_log, "late") == 1
        });
        forwarder.signal("-STOP");
        sleep_ms(1000);
        release_sender
            .send(())
            .expect("the endpoint waits for the release");
        sleep_ms(50);
        forwarder.signal("-CONT");
        wait_until("a completion report arrives", || {
            !report_lines(&platform).is_empty()
        });
        assert_eq!(
            report_lines(&platform),
            ["{\"id\":\"late\",\"status\":\"undeliverable\"}"],
            "completion reports with the effect {effect}"
        );
        assert_eq!(count_calls(&request_log, "late"), 1);
    }
}

/// A message whose completion report is not acknowledged still blocks its order key, also after a kill. The platform rejects
/// the first reports. A second message that did not wait would be sent before the platform acknowledges a report.
#[test]
fn order_key_waits_for_the_report_acknowledgement() {
    const UNACKNOWLEDGED: usize = 12;
    let (endpoint, request_log) =
        serve(|request, _| match request.headers["request-id"].as_str() {
            "first" => empty_response("503 Full"),
            _ => empty_response("200 OK"),
        });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], UNACKNOWLEDGED);
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let mut forwarder = start(&state, &config_text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, time_left_ms: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("20000", time_left_ms)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(
            forwarder.request_status(&head, b"body"),
            202,
            "status of the submission {id}"
        );
    };
    submit(&forwarder, "first", "700");
    submit(&forwarder, "second", "20000");
    wait_until("the first message is reported repeatedly", || {
        report_lines(&platform).len() >= 2
    });
    assert_eq!(count_calls(&request_log, "second"), 0);
    kill_and_wait(&mut forwarder);
    forwarder = start(&state, &config_text, platform.address);
    wait_until("the second message is sent", || {
        count_calls(&request_log, "second") == 1
    });
    let reports = report_lines(&platform).len();
    assert!(
        reports > UNACKNOWLEDGED,
        "the second message was sent after {reports} reports, expected more than {UNACKNOWLEDGED}"
    );
    drop(forwarder);
}

/// A connection to the platform falls silent during a report. The report must be repeated on another connection before it is
/// overdue.
#[test]
fn repeats_a_report_if_its_connection_falls_silent() {
    let (endpoint, request_log) = endpoint_responding_with("503 Full");
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, platform_requests) =
        serve(
            move |request, _| match request.first_line.contains("/v1/outcomes") {
                true => None, // the request is read and never answered
                false if request.first_line.contains("index=") => {
                    sleep_ms(300);
                    ok_response(&endpoint_list(1, false, &[]))
                }
                false => ok_response(&endpoint_list(1, true, &members)),
            },
        );
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform,
    );
    let head = submission_head("short", "notice", 4).replace("20000", "300");
    assert_eq!(forwarder.request_status(&head, b"body"), 202);
    wait_until("the attempt is sent", || {
        count_calls(&request_log, "short") >= 1
    });
    let completion_reports = || {
        let platform_requests = platform_requests
            .lock()
            .expect("the request log is not poisoned");
        platform_requests
            .iter()
            .filter(|request| request.first_line.contains("/v1/outcomes"))
            .count()
    };
    wait_until("a completion report arrives", || completion_reports() == 1);
    let first_report_at = Instant::now();
    wait_until("the completion report arrives again", || {
        completion_reports() >= 2
    });
    assert!(
        first_report_at.elapsed() < Duration::from_millis(300),
        "the report was repeated after {:?}, expected less than 300 ms",
        first_report_at.elapsed()
    );
}

/// A restart finds an accepted message without an attempt. The message waits while no list is known, even past its latency
/// objective, and is tried as soon as a list contains its destination.
#[test]
fn tries_a_recovered_message_as_soon_as_a_list_is_known() {
    let (endpoint, request_log) = serve(|request, _| {
        if request.headers["request-id"] == "out" {
            None
        } else {
            empty_response("200 OK")
        }
    });
    let (list_available, members) = (
        Arc::new(AtomicBool::new(true)),
        vec![member(endpoint, 7, "Ready")],
    );
    let available = list_available.clone();
    let (platform, platform_requests) = serve(move |request, _| {
        if request.first_line.contains("/v1/outcomes") {
            return empty_response("204 No Content");
        }
        let (listed, watch) = (
            available.load(Ordering::Relaxed),
            request.first_line.contains("index="),
        );
        thread::sleep(Duration::from_millis(if watch { 100 } else { 0 }));
        match (listed, watch) {
            (false, _) => empty_response("503 Down"),
            (true, true) => ok_response(&endpoint_list(1, false, &[])),
            (true, false) => ok_response(&endpoint_list(1, true, &members)),
        }
    });
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "single_shot", 200, 3.0)
        .replace("GoalTimeUs\":2500000", "GoalTimeUs\":400000")
        .replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &config_text, platform);
    assert_eq!(forwarder.submit("out", "notice"), 202);
    wait_until("the only permit is in use", || {
        count_calls(&request_log, "out") == 1
    });
    assert_eq!(forwarder.submit("untried", "notice"), 202);
    kill_and_wait(&mut forwarder);
    list_available.store(false, Ordering::Relaxed);
    let _forwarder = start(&state, &config_text, platform);
    sleep_ms(1500);
    list_available.store(true, Ordering::Relaxed);
    wait_until("the list is received", || {
        let platform_requests = platform_requests
            .lock()
            .expect("the request log is not poisoned");
        platform_requests
            .last()
            .is_some_and(|request| request.first_line.contains("index="))
    });
    wait_until("the message is tried", || {
        count_calls(&request_log, "untried") == 1
    });
    let platform_requests = platform_requests
        .lock()
        .expect("the request log is not poisoned");
    let sent = platform_requests
        .iter()
        .map(|request| String::from_utf8_lossy(&request.body).into_owned())
        .collect::<String>();
    assert!(
        !sent.contains("untried"),
        "expected no completion report for the message `untried`, got {sent}"
    );
}

/// The timeout for a report grows each time it expires, so that the late acknowledgement of a slow platform is accepted in
/// the end. The attempt at the next message of the order key shows that it was accepted.
#[test]
fn accepts_a_late_report_acknowledgement() {
    let (endpoint, request_log) = serve(|request, _| {
        empty_response(if request.headers["request-id"] == "first" {
            "503 Full"
        } else {
            "200 OK"
        })
    });
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, platform_requests) = serve(move |request, _| {
        let (completion_report, watch) = (
            request.first_line.contains("/v1/outcomes"),
            request.first_line.contains("index="),
        );
        thread::sleep(Duration::from_millis(
            if completion_report { 450 } else { 0 } + if watch { 300 } else { 0 },
        ));
        match (completion_report, watch) {
            (true, _) => empty_response("204 No Content"),
            (false, true) => ok_response(&endpoint_list(1, false, &[])),
            (false, false) => ok_response(&endpoint_list(1, true, &members)),
        }
    });
    let (_dir, state) = state_folder();
    let config_text = startup_config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let forwarder = start(&state, &config_text, platform);
    for (id, time_left_ms) in [("first", "300"), ("second", "20000")] {
        let head = submission_head(id, "notice", 4)
            .replace("20000", time_left_ms)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(
            forwarder.request_status(&head, b"body"),
            202,
            "status of the submission {id}"
        );
    }
    wait_until("the second message is sent", || {
        count_calls(&request_log, "second") == 1
    });
    let platform_requests = platform_requests
        .lock()
        .expect("the request log is not poisoned");
    assert!(
        platform_requests
            .iter()
            .filter(|request| request.first_line.contains("/v1/outcomes"))
            .count()
            > 1,
        "expected the first report to be repeated before it is acknowledged"
    );
}

/// A restart finds a full journal with more messages than permits. It must be ready in time, and each message must be tried.
#[test]
fn restart_with_a_full_journal_is_ready_and_tries_each_message() {
    let endpoint_accepts = Arc::new(AtomicBool::new(false));
    let accepts = endpoint_accepts.clone();
    let (endpoint, request_log) = serve(move |_, _| {
        accepts
            .load(Ordering::Relaxed)
            .then(|| empty_response("200 OK"))
            .flatten()
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let config_text =
        startup_config("notice", "single_shot", 200, 3.0).replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &config_text, platform.address);
    let body = vec![b'x'; 40_000];
    let submit = |id: &String| {
        forwarder.request_status(&submission_head(id, "notice", body.len()), &body) == 202
    };
    let accepted: Vec<String> = (0..200)
        .map(|n| format!("p{n}"))
        .take_while(submit)
        .collect();
    assert!(
        accepted.len() > 8 && accepted.len() < 200,
        "expected the journal to be full after 9 to 199 messages, got {}",
        accepted.len()
    );
    kill_and_wait(&mut forwarder);
    endpoint_accepts.store(true, Ordering::Relaxed);
    let _forwarder = start(&state, &config_text, platform.address); // ready within ten seconds
    wait_until("each message is tried once", || {
        accepted.iter().all(|id| count_calls(&request_log, id) == 1)
    });
    // The message in flight at the kill may have taken effect, and must not be repeated.
    assert_eq!(
        report_lines(&platform),
        ["{\"id\":\"p0\",\"status\":\"undeliverable\"}"]
    );
}

/// SIGTERM is sent twice before the first list is received.
#[test]
fn exits_cleanly_on_two_sigterms_before_the_first_list() {
    let (platform, _) = silent_endpoint();
    let (_dir, state) = state_folder();
    let listen = free_address();
    let config_text = startup_config("notice", "free", 200, 3.0);
    let child = command(&state, &config_text, &listen.to_string(), platform)
        .spawn()
        .expect("the process starts");
    let mut forwarder = Forwarder { child, listen };
    wait_until("the process listens", || forwarder.connect().is_ok());
    let started_at = Instant::now();
    forwarder.signal("-TERM");
    forwarder.signal("-TERM");
    assert!(forwarder.child.wait().expect("the process exits").success());
    assert!(
        started_at.elapsed() < Duration::from_millis(3600),
        "the process exited after {:?}, expected less than 3600 ms",
        started_at.elapsed()
    );
}

/// A file that is partially written at the signal is read again until it is complete, without a second signal. A file that
/// never becomes complete, or is missing, changes nothing, and the next signal still takes effect.
#[test]
fn reload_rereads_a_partially_written_file() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let (other, other_request_log) = endpoint_responding_with("200 OK");
    let old_platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let new_platform = start_platform(vec![member(other, 7, "Ready")], 0);
    let (dir, state) = state_folder();
    let config_text = startup_config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &config_text, old_platform.address);
    let new_config = config_text.replacen(
        '{',
        &format!("{{\"discovery\":\"{}\",", new_platform.address),
        1,
    );
    let config_file = dir.path().join("config.json");
    let reload_with = |file_content: &str| {
        match file_content {
            "" => std::fs::remove_file(&config_file).expect("the file is removed"),
            file_content => std::fs::write(&config_file, file_content).expect("the write succeeds"),
        }
        forwarder.signal("-HUP");
    };
    for (n, file_content) in [&new_config[..new_config.len() - 1], ""].iter().enumerate() {
        reload_with(file_content);
        sleep_ms(2500); // longer than the time during which the file is reread
        let id = format!("before-{n}");
        assert_eq!(forwarder.submit(&id, "notice"), 202);
        wait_until("the old endpoint receives the message", || {
            count_calls(&request_log, &id) == 1
        });
    }
    reload_with(&new_config[..new_config.len() - 1]);
    sleep_ms(500);
    std::fs::write(&config_file, &new_config).expect("the write succeeds");
    let file_completed_at = Instant::now();
    let mut tries = 0;
    wait_until("the new list takes effect", || {
        tries += 1;
        forwarder.submit(&format!("after-{tries}"), "notice");
        !other_request_log
            .lock()
            .expect("the request log is not poisoned")
            .is_empty()
    });
    assert!(
        file_completed_at.elapsed() < Duration::from_secs(2),
        "the new list took effect after {:?}, expected less than 2 s",
        file_completed_at.elapsed()
    );
    assert!(forwarder
        .child
        .try_wait()
        .expect("the process state is readable")
        .is_none());
}

/// With a deduplication window of one second, a message in flight at a kill is repeated only within the window of its first
/// attempt, regardless of when the last attempt started.
#[test]
fn restart_repeats_only_within_the_deduplication_window() {
    const WINDOW: Duration = Duration::from_secs(1);
    // Number of attempts before the kill, time from the first of them to the restart, and whether the restart may repeat.
    for (attempts_before_kill, restart_after_ms, repeats) in
        [(1, 0, true), (1, 1100, false), (2, 1050, false)]
    {
        let attempt_starts: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded_starts = attempt_starts.clone();
        let (endpoint, request_log) = serve(move |_, n| {
            recorded_starts
                .lock()
                .expect("the times are not poisoned")
                .push(Instant::now());
            // All attempts but the last one before the kill end with a late error: they may have taken effect.
            if n + 1 < attempts_before_kill {
                sleep_ms(400);
                return empty_response("500 Oops");
            }
            (n >= attempts_before_kill)
                .then(|| empty_response("200 OK"))
                .flatten()
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = state_folder();
        let config_text = startup_config("notice", "guarded", 200, 3.0)
            .replace("WindowUs\":15000000", "WindowUs\":1000000");
        let mut forwarder = start(&state, &config_text, platform.address);
        assert_eq!(forwarder.submit("out", "notice"), 202);
        wait_until("the last attempt before the kill is sent", || {
            count_calls(&request_log, "out") == attempts_before_kill
        });
        kill_and_wait(&mut forwarder);
        let first_start = attempt_starts.lock().expect("the times are not poisoned")[0];
        thread::sleep(
            (first_start + Duration::from_millis(restart_after_ms))
                .saturating_duration_since(Instant::now()),
        );
        let _forwarder = start(&state, &config_text, platform.address);
        if repeats {
            wait_until("the message is sent again", || {
                count_calls(&request_log, "out") == attempts_before_kill + 1
            });
            assert!(
                attempt_starts.lock().expect("the times are not poisoned")[attempts_before_kill]
                    < first_start + WINDOW
            );
        } else {
            wait_until("a completion report arrives", || {
                !report_lines(&platform).is_empty()
            });
            assert_eq!(
                report_lines(&platform),
                ["{\"id\":\"out\",\"status\":\"undeliverable\"}"]
            );
            assert_eq!(
                count_calls(&request_log, "out"),
                attempts_before_kill,
                "expected no further attempt with a restart {restart_after_ms} ms after the first attempt"
            );
        }
    }
}
