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
fn a_message_answered_after_its_deadline_is_reported_as_failed() {
    for effect in ["free", "guarded", "single_shot"] {
        let (release, held) = channel::<()>();
        let held = Mutex::new(held);
        let (endpoint, seen) = serve(move |_, _| {
            held.lock()
                .expect("the lock")
                .recv()
                .expect("it is released");
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
        wait_until("its attempt is out", || count_calls(&seen, "late") == 1);
        forwarder.signal("-STOP");
        pause(1000);
        release.send(()).expect("the endpoint waits");
        pause(50);
        forwarder.signal("-CONT");
        wait_until("it is reported", || !report_lines(&platform).is_empty());
        assert_eq!(
            report_lines(&platform),
            ["{\"id\":\"late\",\"status\":\"undeliverable\"}"],
            "{effect}"
        );
        assert_eq!(count_calls(&seen, "late"), 1);
    }
}

/// The order of a key: a message whose report the platform has not acknowledged is not over, also over a kill. The platform
/// rejects the first reports. An attempt that overtakes them would come before it acknowledges one.
#[test]
fn the_next_message_of_a_key_waits_until_the_report_before_it_is_acknowledged() {
    const UNACKNOWLEDGED: usize = 12;
    let (endpoint, seen) = serve(|m, _| match m.headers["request-id"].as_str() {
        "first" => empty_response("503 Full"),
        _ => empty_response("200 OK"),
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], UNACKNOWLEDGED);
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let mut forwarder = start(&state, &text, platform.address);
    let submit = |forwarder: &Forwarder, id: &str, time: &str| {
        let head = submission_head(id, "notice", 4)
            .replace("20000", time)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(forwarder.request_status(&head, b"body"), 202, "{id}");
    };
    submit(&forwarder, "first", "700");
    submit(&forwarder, "second", "20000");
    wait_until("the first is reported", || {
        report_lines(&platform).len() >= 2
    });
    assert_eq!(count_calls(&seen, "second"), 0);
    kill(&mut forwarder);
    forwarder = start(&state, &text, platform.address);
    wait_until("the second follows", || count_calls(&seen, "second") == 1);
    let reports = report_lines(&platform).len();
    assert!(
        reports > UNACKNOWLEDGED,
        "it followed after {reports} reports, the {UNACKNOWLEDGED}th was not acknowledged yet"
    );
    drop(forwarder);
}

/// A connection to the platform falls silent under a report. The report is repeated on another one before it is overdue.
#[test]
fn a_report_on_a_connection_that_falls_silent_is_repeated_in_time() {
    let (endpoint, seen) = endpoint_with("503 Full");
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, asked) = serve(move |m, _| match m.first_line.contains("/v1/outcomes") {
        true => None, // read, and never answered
        false if m.first_line.contains("index=") => {
            pause(300);
            ok_response(&endpoint_list(1, false, &[]))
        }
        false => ok_response(&endpoint_list(1, true, &members)),
    });
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "free", 200, 3.0),
        platform,
    );
    let head = submission_head("short", "notice", 4).replace("20000", "300");
    assert_eq!(forwarder.request_status(&head, b"body"), 202);
    wait_until("its attempt is out", || count_calls(&seen, "short") >= 1);
    let completion_reports = || {
        let asked = asked.lock().expect("the log");
        asked
            .iter()
            .filter(|m| m.first_line.contains("/v1/outcomes"))
            .count()
    };
    wait_until("it is reported", || completion_reports() == 1);
    let first = Instant::now();
    wait_until("it is reported again", || completion_reports() >= 2);
    assert!(
        first.elapsed() < Duration::from_millis(300),
        "{:?}",
        first.elapsed()
    );
}

/// A restart finds an accepted message untried. While no list is known it waits, past its latency objective too. It is tried as
/// soon as a list names its destination.
#[test]
fn a_message_found_untried_at_a_restart_waits_for_a_list_and_is_tried() {
    let (endpoint, seen) = serve(|m, _| {
        if m.headers["request-id"] == "out" {
            None
        } else {
            empty_response("200 OK")
        }
    });
    let (known, members) = (
        Arc::new(AtomicBool::new(true)),
        vec![member(endpoint, 7, "Ready")],
    );
    let listed = known.clone();
    let (platform, asked) = serve(move |m, _| {
        if m.first_line.contains("/v1/outcomes") {
            return empty_response("204 No Content");
        }
        let (listed, watch) = (
            listed.load(Ordering::Relaxed),
            m.first_line.contains("index="),
        );
        thread::sleep(Duration::from_millis(if watch { 100 } else { 0 }));
        match (listed, watch) {
            (false, _) => empty_response("503 Down"),
            (true, true) => ok_response(&endpoint_list(1, false, &[])),
            (true, false) => ok_response(&endpoint_list(1, true, &members)),
        }
    });
    let (_dir, state) = state_folder();
    let text = startup_config("notice", "single_shot", 200, 3.0)
        .replace("GoalTimeUs\":2500000", "GoalTimeUs\":400000")
        .replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &text, platform);
    assert_eq!(forwarder.submit("out", "notice"), 202);
    wait_until("the only permit is in use", || {
        count_calls(&seen, "out") == 1
    });
    assert_eq!(forwarder.submit("untried", "notice"), 202);
    kill(&mut forwarder);
    known.store(false, Ordering::Relaxed);
    let _forwarder = start(&state, &text, platform);
    pause(1500);
    known.store(true, Ordering::Relaxed);
    wait_until("the list is in", || {
        let asked = asked.lock().expect("the log");
        asked
            .last()
            .is_some_and(|m| m.first_line.contains("index="))
    });
    wait_until("it is tried", || count_calls(&seen, "untried") == 1);
    let asked = asked.lock().expect("the log");
    let sent = asked
        .iter()
        .map(|m| String::from_utf8_lossy(&m.body).into_owned())
        .collect::<String>();
    assert!(!sent.contains("untried"), "{sent}");
}

/// A platform that is only slow is waited for longer after each silence, so that its acknowledgement counts in the end. The
/// next message of the key shows that it did.
#[test]
fn a_late_acknowledgement_of_a_report_counts() {
    let (endpoint, seen) = serve(|m, _| {
        empty_response(if m.headers["request-id"] == "first" {
            "503 Full"
        } else {
            "200 OK"
        })
    });
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, asked) = serve(move |m, _| {
        let (completion_report, watch) = (
            m.first_line.contains("/v1/outcomes"),
            m.first_line.contains("index="),
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
    let text = startup_config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let forwarder = start(&state, &text, platform);
    for (id, time) in [("first", "300"), ("second", "20000")] {
        let head = submission_head(id, "notice", 4)
            .replace("20000", time)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(forwarder.request_status(&head, b"body"), 202, "{id}");
    }
    wait_until("the second follows", || count_calls(&seen, "second") == 1);
    let asked = asked.lock().expect("the log");
    assert!(
        asked
            .iter()
            .filter(|m| m.first_line.contains("/v1/outcomes"))
            .count()
            > 1,
        "it was slow for the first report"
    );
}

/// A restart finds a full journal, more messages than permits. It is ready in time, and each of them is tried.
#[test]
fn a_restart_with_a_full_journal_is_up_in_time_and_tries_all_of_it() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let (endpoint, seen) = serve(move |_, _| {
        gate.load(Ordering::Relaxed)
            .then(|| empty_response("200 OK"))
            .flatten()
    });
    let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = state_folder();
    let text =
        startup_config("notice", "single_shot", 200, 3.0).replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &text, platform.address);
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
        "the journal is full after {}",
        accepted.len()
    );
    kill(&mut forwarder);
    open.store(true, Ordering::Relaxed);
    let _forwarder = start(&state, &text, platform.address); // within ten seconds
    wait_until("each is tried", || {
        accepted.iter().all(|id| count_calls(&seen, id) == 1)
    });
    // The one in flight at the kill may have taken effect, and must not be repeated.
    assert_eq!(
        report_lines(&platform),
        ["{\"id\":\"p0\",\"status\":\"undeliverable\"}"]
    );
}

/// SIGTERM comes before the first list, and comes twice.
#[test]
fn two_sigterms_before_the_first_list_end_it_in_order() {
    let (platform, _) = silent_endpoint();
    let (_dir, state) = state_folder();
    let listen = free_address();
    let text = startup_config("notice", "free", 200, 3.0);
    let child = command(&state, &text, &listen.to_string(), platform)
        .spawn()
        .expect("it starts");
    let mut forwarder = Forwarder { child, listen };
    wait_until("it listens", || forwarder.connect().is_ok());
    let begun = Instant::now();
    forwarder.signal("-TERM");
    forwarder.signal("-TERM");
    assert!(forwarder.child.wait().expect("it ends").success());
    assert!(
        begun.elapsed() < Duration::from_millis(3600),
        "{:?}",
        begun.elapsed()
    );
}

/// A file that is half written as the signal comes is read again until it is whole, with no second signal. One that never
/// becomes whole, or is gone, changes nothing, and the next signal has its effect.
#[test]
fn a_reload_that_meets_a_half_written_file_reads_it_again() {
    let (endpoint, seen) = endpoint_with("200 OK");
    let (other, seen_other) = endpoint_with("200 OK");
    let old = start_platform(vec![member(endpoint, 7, "Ready")], 0);
    let new = start_platform(vec![member(other, 7, "Ready")], 0);
    let (dir, state) = state_folder();
    let text = startup_config("notice", "free", 200, 3.0);
    let mut forwarder = start(&state, &text, old.address);
    let moved = text.replacen('{', &format!("{{\"discovery\":\"{}\",", new.address), 1);
    let config_file = dir.path().join("config.json");
    let reload_with = |half: &str| {
        match half {
            "" => std::fs::remove_file(&config_file).expect("removed"),
            half => std::fs::write(&config_file, half).expect("written"),
        }
        forwarder.signal("-HUP");
    };
    for (n, half) in [&moved[..moved.len() - 1], ""].iter().enumerate() {
        reload_with(half);
        pause(2500); // past any time for which it is read again
        let id = format!("before-{n}");
        assert_eq!(forwarder.submit(&id, "notice"), 202);
        wait_until("it goes on as before", || count_calls(&seen, &id) == 1);
    }
    reload_with(&moved[..moved.len() - 1]);
    pause(500);
    std::fs::write(&config_file, &moved).expect("written");
    let whole = Instant::now();
    let mut tries = 0;
    wait_until("the new list counts", || {
        tries += 1;
        forwarder.submit(&format!("after-{tries}"), "notice");
        !seen_other.lock().expect("the log").is_empty()
    });
    assert!(
        whole.elapsed() < Duration::from_secs(2),
        "{:?}",
        whole.elapsed()
    );
    assert!(forwarder.child.try_wait().expect("its state").is_none());
}

/// Rule 2 over restarts, with a deduplication window of a second: a message that was in flight at a kill is repeated inside the
/// window of its first attempt, and never outside, whenever the last attempt started.
#[test]
fn a_restart_repeats_only_inside_the_window_of_the_first_attempt() {
    const WINDOW: Duration = Duration::from_secs(1);
    // How many attempts before the kill, how long after the first of them the next process starts, and whether it may repeat.
    for (attempts, down, repeats) in [(1, 0, true), (1, 1100, false), (2, 1050, false)] {
        let begun: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let times = begun.clone();
        let (endpoint, seen) = serve(move |_, n| {
            times.lock().expect("the times").push(Instant::now());
            // All but the last attempt before the kill end with an error that comes late: they may have taken effect.
            if n + 1 < attempts {
                pause(400);
                return empty_response("500 Oops");
            }
            (n >= attempts).then(|| empty_response("200 OK")).flatten()
        });
        let platform = start_platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = state_folder();
        let text = startup_config("notice", "guarded", 200, 3.0)
            .replace("WindowUs\":15000000", "WindowUs\":1000000");
        let mut forwarder = start(&state, &text, platform.address);
        assert_eq!(forwarder.submit("out", "notice"), 202);
        wait_until("the last attempt before the kill is out", || {
            count_calls(&seen, "out") == attempts
        });
        kill(&mut forwarder);
        let first = begun.lock().expect("the times")[0];
        thread::sleep(
            (first + Duration::from_millis(down)).saturating_duration_since(Instant::now()),
        );
        let _forwarder = start(&state, &text, platform.address);
        if repeats {
            wait_until("it is sent again", || {
                count_calls(&seen, "out") == attempts + 1
            });
            assert!(begun.lock().expect("the times")[attempts] < first + WINDOW);
        } else {
            wait_until("it is reported", || !report_lines(&platform).is_empty());
            assert_eq!(
                report_lines(&platform),
                ["{\"id\":\"out\",\"status\":\"undeliverable\"}"]
            );
            assert_eq!(
                count_calls(&seen, "out"),
                attempts,
                "started {down} ms after the first attempt"
            );
        }
    }
}
