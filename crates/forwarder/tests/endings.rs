//! What ends, and what is due at that moment: the whole program between peers that wait and write at the right point, so that
//! the rare order comes every time. `docs/design/endings.md` names the test of each ending.

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Rule 1: an answer that lies in the socket as the message's deadline passes came after it and delivers nothing. The process
/// is stopped over that moment, so that it finds both at once.
#[test]
fn reports_failure_for_a_response_after_the_deadline() {
    for effect in ["free", "guarded", "single_shot"] {
        let (release_sender, release_receiver) = channel::<()>();
        let release_receiver = Mutex::new(release_receiver);
        let (endpoint, request_log) = serve(move |_, _| {
            release_receiver
                .lock()
                .expect("the lock")
                .recv()
                .expect("it is released");
            plain("200 OK")
        });
        let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = folder();
        let forwarder = start(
            &state,
            &config("notice", effect, 200, 3.0),
            platform.address,
        );
        let head = submission_head("late", "notice", 4).replace("20000", "900");
        assert_eq!(forwarder.ask(&head, b"body"), 202);
        until("its attempt is out", || calls(&request_log, "late") == 1);
        forwarder.signal("-STOP");
        sleep_ms(1000);
        release_sender.send(()).expect("the endpoint waits");
        sleep_ms(50);
        forwarder.signal("-CONT");
        until("it is reported", || !report_lines(&platform).is_empty());
        assert_eq!(
            report_lines(&platform),
            ["{\"id\":\"late\",\"status\":\"undeliverable\"}"],
            "{effect}"
        );
        assert_eq!(calls(&request_log, "late"), 1);
    }
}

/// The order of a key: a message whose report the platform has not acknowledged is not over, also over a kill. The platform
/// rejects the first reports. An attempt that overtakes them would come before it acknowledges one.
#[test]
fn order_key_waits_for_the_report_acknowledgement() {
    const UNACKNOWLEDGED: usize = 12;
    let (endpoint, request_log) = serve(|m, _| match m.headers["request-id"].as_str() {
        "first" => plain("503 Full"),
        _ => plain("200 OK"),
    });
    let platform = platform(vec![member(endpoint, 7, "Ready")], UNACKNOWLEDGED);
    let (_dir, state) = folder();
    let text = config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let mut forwarder = start(&state, &text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, time_left_ms: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("20000", time_left_ms)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(forwarder.ask(&head, b"body"), 202, "{id}");
    };
    submit(&forwarder, "first", "700");
    submit(&forwarder, "second", "20000");
    until("the first is reported", || {
        report_lines(&platform).len() >= 2
    });
    assert_eq!(calls(&request_log, "second"), 0);
    kill_and_wait(&mut forwarder);
    forwarder = start(&state, &text, platform.address);
    until("the second follows", || calls(&request_log, "second") == 1);
    let reports = report_lines(&platform).len();
    assert!(
        reports > UNACKNOWLEDGED,
        "it followed after {reports} reports, the {UNACKNOWLEDGED}th was not acknowledged yet"
    );
    drop(forwarder);
}

/// A connection to the platform falls silent under a report. The report is repeated on another one before it is overdue.
#[test]
fn repeats_a_report_if_its_connection_falls_silent() {
    let (endpoint, request_log) = endpoint_responding_with("503 Full");
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, platform_requests) = serve(move |m, _| match m.first.contains("/v1/outcomes") {
        true => None, // read, and never answered
        false if m.first.contains("index=") => {
            sleep_ms(300);
            with_body(&list(1, false, &[]))
        }
        false => with_body(&list(1, true, &members)),
    });
    let (_dir, state) = folder();
    let forwarder = start(&state, &config("notice", "free", 200, 3.0), platform);
    let head = submission_head("short", "notice", 4).replace("20000", "300");
    assert_eq!(forwarder.ask(&head, b"body"), 202);
    until("its attempt is out", || calls(&request_log, "short") >= 1);
    let completion_reports = || {
        let platform_requests = platform_requests.lock().expect("the log");
        platform_requests
            .iter()
            .filter(|m| m.first.contains("/v1/outcomes"))
            .count()
    };
    until("it is reported", || completion_reports() == 1);
    let first_report_at = Instant::now();
    until("it is reported again", || completion_reports() >= 2);
    assert!(
        first_report_at.elapsed() < Duration::from_millis(300),
        "{:?}",
        first_report_at.elapsed()
    );
}

/// A restart finds an accepted message untried. While no list is known it waits, past its latency objective too. It is tried as
/// soon as a list names its destination.
#[test]
fn tries_a_recovered_message_once_a_list_is_known() {
    let (endpoint, request_log) = serve(|m, _| {
        if m.headers["request-id"] == "out" {
            None
        } else {
            plain("200 OK")
        }
    });
    let (list_available, members) = (
        Arc::new(AtomicBool::new(true)),
        vec![member(endpoint, 7, "Ready")],
    );
    let available = list_available.clone();
    let (platform, platform_requests) = serve(move |m, _| {
        if m.first.contains("/v1/outcomes") {
            return plain("204 No Content");
        }
        let (listed, watch) = (
            available.load(Ordering::Relaxed),
            m.first.contains("index="),
        );
        thread::sleep(Duration::from_millis(if watch { 100 } else { 0 }));
        match (listed, watch) {
            (false, _) => plain("503 Down"),
            (true, true) => with_body(&list(1, false, &[])),
            (true, false) => with_body(&list(1, true, &members)),
        }
    });
    let (_dir, state) = folder();
    let text = config("notice", "single_shot", 200, 3.0)
        .replace("GoalTimeUs\":2500000", "GoalTimeUs\":400000")
        .replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &text, platform);
    assert_eq!(forwarder.submit("out", "notice"), 202);
    until("the only permit is in use", || {
        calls(&request_log, "out") == 1
    });
    assert_eq!(forwarder.submit("untried", "notice"), 202);
    kill_and_wait(&mut forwarder);
    list_available.store(false, Ordering::Relaxed);
    let _forwarder = start(&state, &text, platform);
    sleep_ms(1500);
    list_available.store(true, Ordering::Relaxed);
    until("the list is in", || {
        let platform_requests = platform_requests.lock().expect("the log");
        platform_requests
            .last()
            .is_some_and(|m| m.first.contains("index="))
    });
    until("it is tried", || calls(&request_log, "untried") == 1);
    let platform_requests = platform_requests.lock().expect("the log");
    let sent = platform_requests
        .iter()
        .map(|m| String::from_utf8_lossy(&m.body).into_owned())
        .collect::<String>();
    assert!(!sent.contains("untried"), "{sent}");
}

/// A platform that is only slow is waited for longer after each silence, so that its acknowledgement counts in the end. The
/// next message of the key shows that it did.
#[test]
fn accepts_a_late_report_acknowledgement() {
    let (endpoint, request_log) = serve(|m, _| {
        plain(if m.headers["request-id"] == "first" {
            "503 Full"
        } else {
            "200 OK"
        })
    });
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, platform_requests) = serve(move |m, _| {
        let (completion_report, watch) =
            (m.first.contains("/v1/outcomes"), m.first.contains("index="));
        thread::sleep(Duration::from_millis(
            if completion_report { 450 } else { 0 } + if watch { 300 } else { 0 },
        ));
        match (completion_report, watch) {
            (true, _) => plain("204 No Content"),
            (false, true) => with_body(&list(1, false, &[])),
            (false, false) => with_body(&list(1, true, &members)),
        }
    });
    let (_dir, state) = folder();
    let text = config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let forwarder = start(&state, &text, platform);
    for (id, time_left_ms) in [("first", "300"), ("second", "20000")] {
        let head = submission_head(id, "notice", 4)
            .replace("20000", time_left_ms)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(forwarder.ask(&head, b"body"), 202, "{id}");
    }
    until("the second follows", || calls(&request_log, "second") == 1);
    let platform_requests = platform_requests.lock().expect("the log");
    assert!(
        platform_requests
            .iter()
            .filter(|m| m.first.contains("/v1/outcomes"))
            .count()
            > 1,
        "it was slow for the first report"
    );
}

/// A restart finds a full journal, more messages than permits. It is ready in time, and each of them is tried.
#[test]
fn restart_with_a_full_journal_is_ready_and_tries_each_message() {
    let endpoint_accepts = Arc::new(AtomicBool::new(false));
    let accepts = endpoint_accepts.clone();
    let (endpoint, request_log) = serve(move |_, _| {
        accepts
            .load(Ordering::Relaxed)
            .then(|| plain("200 OK"))
            .flatten()
    });
    let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = folder();
    let text = config("notice", "single_shot", 200, 3.0).replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &text, platform.address);
    let body = vec![b'x'; 40_000];
    let submit =
        |id: &String| forwarder.ask(&submission_head(id, "notice", body.len()), &body) == 202;
    let accepted: Vec<String> = (0..200)
        .map(|n| format!("p{n}"))
        .take_while(submit)
        .collect();
    assert!(
        accepted.len() > 8 && accepted.len() < 200,
        "the journal is full after {}",
        accepted.len()
    );
    kill_and_wait(&mut forwarder);
    endpoint_accepts.store(true, Ordering::Relaxed);
    let _forwarder = start(&state, &text, platform.address); // within ten seconds
    until("each is tried", || {
        accepted.iter().all(|id| calls(&request_log, id) == 1)
    });
    // The one in flight at the kill may have taken effect, and must not be repeated.
    assert_eq!(
        report_lines(&platform),
        ["{\"id\":\"p0\",\"status\":\"undeliverable\"}"]
    );
}

/// SIGTERM comes before the first list, and comes twice.
#[test]
fn exits_cleanly_on_two_sigterms_before_the_first_list() {
    let (platform, _) = silent_endpoint();
    let (_dir, state) = folder();
    let listen = free_address();
    let text = config("notice", "free", 200, 3.0);
    let child = command(&state, &text, &listen.to_string(), platform)
        .spawn()
        .expect("it starts");
    let mut forwarder = Forwarder { child, listen };
    until("it listens", || forwarder.connect().is_ok());
    let started_at = Instant::now();
    forwarder.signal("-TERM");
    forwarder.signal("-TERM");
    assert!(forwarder.child.wait().expect("it ends").success());
    assert!(
        started_at.elapsed() < Duration::from_millis(3600),
        "{:?}",
        started_at.elapsed()
    );
}

/// A file that is half written as the signal comes is read again until it is whole, with no second signal. One that never
/// becomes whole, or is gone, changes nothing, and the next signal has its effect.
#[test]
fn reload_rereads_a_partially_written_file() {
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let (other, other_request_log) = endpoint_responding_with("200 OK");
    let old = platform(vec![member(endpoint, 7, "Ready")], 0);
    let new = platform(vec![member(other, 7, "Ready")], 0);
    let (dir, state) = folder();
    let text = config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &text, old.address);
    let new_config = text.replacen('{', &format!("{{\"discovery\":\"{}\",", new.address), 1);
    let config_file = dir.path().join("config.json");
    let reload_with = |file_content: &str| {
        match file_content {
            "" => std::fs::remove_file(&config_file).expect("removed"),
            file_content => std::fs::write(&config_file, file_content).expect("written"),
        }
        forwarder.signal("-HUP");
    };
    for (n, file_content) in [&new_config[..new_config.len() - 1], ""].iter().enumerate() {
        reload_with(file_content);
        sleep_ms(2500); // past any time for which it is read again
        let id = format!("before-{n}");
        assert_eq!(forwarder.submit(&id, "notice"), 202);
        until("it goes on as before", || calls(&request_log, &id) == 1);
    }
    reload_with(&new_config[..new_config.len() - 1]);
    sleep_ms(500);
    std::fs::write(&config_file, &new_config).expect("written");
    let file_completed_at = Instant::now();
    let mut tries = 0;
    until("the new list counts", || {
        tries += 1;
        forwarder.submit(&format!("after-{tries}"), "notice");
        !other_request_log.lock().expect("the log").is_empty()
    });
    assert!(
        file_completed_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        file_completed_at.elapsed()
    );
    assert!(forwarder.child.try_wait().expect("its state").is_none());
}

/// Rule 2 over restarts, with a deduplication window of a second: a message that was in flight at a kill is repeated inside the
/// window of its first attempt, and never outside, whenever the last attempt started.
#[test]
fn restart_repeats_only_within_the_deduplication_window() {
    const WINDOW: Duration = Duration::from_secs(1);
    // How many attempts before the kill, how long after the first of them the next process starts, and whether it may repeat.
    for (attempts_before_kill, restart_after_ms, repeats) in
        [(1, 0, true), (1, 1100, false), (2, 1050, false)]
    {
        let attempt_starts: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let recorded_starts = attempt_starts.clone();
        let (endpoint, request_log) = serve(move |_, n| {
            recorded_starts
                .lock()
                .expect("the times")
                .push(Instant::now());
            // All but the last attempt before the kill end with an error that comes late: they may have taken effect.
            if n + 1 < attempts_before_kill {
                sleep_ms(400);
                return plain("500 Oops");
            }
            (n >= attempts_before_kill)
                .then(|| plain("200 OK"))
                .flatten()
        });
        let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = folder();
        let text = config("notice", "guarded", 200, 3.0)
            .replace("WindowUs\":15000000", "WindowUs\":1000000");
        let mut forwarder = start(&state, &text, platform.address);
        assert_eq!(forwarder.submit("out", "notice"), 202);
        until("the last attempt before the kill is out", || {
            calls(&request_log, "out") == attempts_before_kill
        });
        kill_and_wait(&mut forwarder);
        let first_start = attempt_starts.lock().expect("the times")[0];
        thread::sleep(
            (first_start + Duration::from_millis(restart_after_ms))
                .saturating_duration_since(Instant::now()),
        );
        let _forwarder = start(&state, &text, platform.address);
        if repeats {
            until("it is sent again", || {
                calls(&request_log, "out") == attempts_before_kill + 1
            });
            assert!(
                attempt_starts.lock().expect("the times")[attempts_before_kill]
                    < first_start + WINDOW
            );
        } else {
            until("it is reported", || !report_lines(&platform).is_empty());
            assert_eq!(
                report_lines(&platform),
                ["{\"id\":\"out\",\"status\":\"undeliverable\"}"]
            );
            assert_eq!(
                calls(&request_log, "out"),
                attempts_before_kill,
                "started {restart_after_ms} ms after the first attempt"
            );
        }
    }
}
