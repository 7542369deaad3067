//! What ends, and what is owed at that moment: the whole program between stand-ins that hold back and write at the point, so
//! that the bad order comes every time. `docs/design/endings.md` names the test of each ending.

use opalpulley_lab::scripted::{self, *};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-forwarder");

fn start(state: &Path, text: &str, discovery: SocketAddr) -> Forwarder {
    scripted::start(PROGRAM, state, text, discovery)
}

/// The lines of the notices that the platform has got.
fn told(platform: &Platform) -> Vec<String> {
    let completion_reports = platform.completion_reports.lock().expect("the notices");
    completion_reports
        .iter()
        .flat_map(|m| {
            String::from_utf8_lossy(&m.body)
                .lines()
                .map(str::to_owned)
                .collect::<Vec<_>>()
        })
        .collect()
}

/// Guards rule 1: an answer that lies in the socket as the message's time runs out came after it and delivers nothing. The
/// process stands still over that moment, so that it finds both at once.
#[test]
fn a_message_answered_after_its_time_is_told_as_undeliverable() {
    for effect in ["free", "guarded", "single_shot"] {
        let (release, held) = channel::<()>();
        let held = Mutex::new(held);
        let (endpoint, seen) = serve(move |_, _| {
            held.lock().expect("the door").recv().expect("it is let go");
            plain("200 OK")
        });
        let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = folder();
        let forwarder = start(
            &state,
            &config("notice", effect, 200, 3.0),
            platform.address,
        );
        let head = hand_in_head("late", "notice", 4).replace("20000", "900");
        assert_eq!(forwarder.ask(&head, b"body"), 202);
        until("its call is out", || calls(&seen, "late") == 1);
        forwarder.signal("-STOP");
        thread::sleep(Duration::from_millis(1000));
        release.send(()).expect("the target waits");
        thread::sleep(Duration::from_millis(50));
        forwarder.signal("-CONT");
        until("its end is told", || !told(&platform).is_empty());
        assert_eq!(
            told(&platform),
            ["{\"id\":\"late\",\"status\":\"undeliverable\"}"],
            "{effect}"
        );
        assert_eq!(calls(&seen, "late"), 1);
    }
}

/// Guards the order of a key: an end that the platform has not heard yet is no end, also over a kill. The platform is deaf
/// to the first notices; a call that overtakes them comes before it hears.
#[test]
fn the_next_message_of_a_key_waits_until_the_end_before_it_is_heard() {
    const DEAF: usize = 12;
    let (endpoint, seen) = serve(|m, _| match m.headers["request-id"].as_str() {
        "first" => plain("503 Full"),
        _ => plain("200 OK"),
    });
    let platform = platform(vec![member(endpoint, 7, "Ready")], DEAF);
    let (_dir, state) = folder();
    let text = config("notice", "guarded", 200, 3.0)
        .replace("\"Points\":1.0", "\"Points\":1.0,\"SerialByKey\":true");
    let mut forwarder = start(&state, &text, platform.address);
    let give = |forwarder: &Forwarder, id: &str, time: &str| {
        let head = hand_in_head(id, "notice", 4)
            .replace("20000", time)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(forwarder.ask(&head, b"body"), 202, "{id}");
    };
    give(&forwarder, "first", "700");
    give(&forwarder, "second", "20000");
    until("the end of the first is told", || {
        told(&platform).len() >= 2
    });
    assert_eq!(calls(&seen, "second"), 0);
    forwarder.child.kill().expect("killed");
    forwarder.child.wait().expect("ended");
    forwarder = start(&state, &text, platform.address);
    until("the second follows", || calls(&seen, "second") == 1);
    let heard = told(&platform).len();
    assert!(
        heard > DEAF,
        "it followed after {heard} notices, the {DEAF}th was not heard yet"
    );
    drop(forwarder);
}

/// Guards ends against a connection to the platform that falls silent under a notice: it is told on another one before a
/// notice is overdue.
#[test]
fn a_notice_on_a_connection_that_falls_silent_is_told_again_in_time() {
    let (endpoint, seen) = serve(|_, _| plain("503 Full"));
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, asked) = serve(move |m, _| match m.first.contains("/v1/outcomes") {
        true => None, // taken, and never answered
        false if m.first.contains("index=") => {
            thread::sleep(Duration::from_millis(300));
            with_body(&list(1, false, &[]))
        }
        false => with_body(&list(1, true, &members)),
    });
    let (_dir, state) = folder();
    let forwarder = start(&state, &config("notice", "free", 200, 3.0), platform);
    let head = hand_in_head("short", "notice", 4).replace("20000", "300");
    assert_eq!(forwarder.ask(&head, b"body"), 202);
    until("its call is out", || calls(&seen, "short") >= 1);
    let completion_reports = || {
        let asked = asked.lock().expect("the log");
        asked
            .iter()
            .filter(|m| m.first.contains("/v1/outcomes"))
            .count()
    };
    until("its end is told", || completion_reports() == 1);
    let first = Instant::now();
    until("it is told again", || completion_reports() >= 2);
    assert!(
        first.elapsed() < Duration::from_millis(300),
        "{:?}",
        first.elapsed()
    );
}

/// Guards what a restart finds taken on and untried: where no list is known for seconds it waits, past its contract time
/// too, and is tried as soon as a list names its destination.
#[test]
fn what_a_restart_finds_untried_waits_for_a_list_and_is_tried() {
    let (endpoint, seen) = serve(|m, _| {
        if m.headers["request-id"] == "out" {
            None
        } else {
            plain("200 OK")
        }
    });
    let (known, members) = (
        Arc::new(AtomicBool::new(true)),
        vec![member(endpoint, 7, "Ready")],
    );
    let listed = known.clone();
    let (platform, asked) = serve(move |m, _| {
        if m.first.contains("/v1/outcomes") {
            return plain("204 No Content");
        }
        let (listed, watch) = (listed.load(Ordering::Relaxed), m.first.contains("index="));
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
    assert_eq!(forwarder.hand_in("out", "notice"), 202);
    until("the only slot is taken", || calls(&seen, "out") == 1);
    assert_eq!(forwarder.hand_in("untried", "notice"), 202);
    forwarder.child.kill().expect("killed");
    forwarder.child.wait().expect("ended");
    known.store(false, Ordering::Relaxed);
    let _forwarder = start(&state, &text, platform);
    thread::sleep(Duration::from_millis(1500));
    known.store(true, Ordering::Relaxed);
    until("the list is told", || {
        let asked = asked.lock().expect("the log");
        asked.last().is_some_and(|m| m.first.contains("index="))
    });
    until("it is tried", || calls(&seen, "untried") == 1);
    let asked = asked.lock().expect("the log");
    let told = asked
        .iter()
        .map(|m| String::from_utf8_lossy(&m.body).into_owned())
        .collect::<String>();
    assert!(!told.contains("untried"), "{told}");
}

/// Guards ends against a platform that is only slow: it is waited for longer after each silence, and is heard. The next
/// message of a key tells that it was.
#[test]
fn a_platform_that_answers_notices_late_is_heard() {
    let (endpoint, seen) = serve(|m, _| {
        plain(if m.headers["request-id"] == "first" {
            "503 Full"
        } else {
            "200 OK"
        })
    });
    let members = vec![member(endpoint, 7, "Ready")];
    let (platform, asked) = serve(move |m, _| {
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
    for (id, time) in [("first", "300"), ("second", "20000")] {
        let head = hand_in_head(id, "notice", 4)
            .replace("20000", time)
            .replace("\r\n\r\n", "\r\nAffinity-Key: 000b832b68ec333d\r\n\r\n");
        assert_eq!(forwarder.ask(&head, b"body"), 202, "{id}");
    }
    until("the second follows", || calls(&seen, "second") == 1);
    let asked = asked.lock().expect("the log");
    assert!(
        asked
            .iter()
            .filter(|m| m.first.contains("/v1/outcomes"))
            .count()
            > 1,
        "it was slow for the first wait"
    );
}

/// Guards a restart that finds a full folder, more messages than slots: it is up in time, and each of them is tried.
#[test]
fn a_restart_with_a_full_journal_is_up_in_time_and_tries_all_of_it() {
    let open = Arc::new(AtomicBool::new(false));
    let gate = open.clone();
    let (endpoint, seen) = serve(move |_, _| {
        gate.load(Ordering::Relaxed)
            .then(|| plain("200 OK"))
            .flatten()
    });
    let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
    let (_dir, state) = folder();
    let text = config("notice", "single_shot", 200, 3.0).replace("Workers\":8", "Workers\":1");
    let mut forwarder = start(&state, &text, platform.address);
    let body = vec![b'x'; 40_000];
    let give = |id: &String| forwarder.ask(&hand_in_head(id, "notice", body.len()), &body) == 202;
    let taken: Vec<String> = (0..200).map(|n| format!("p{n}")).take_while(give).collect();
    assert!(
        taken.len() > 8 && taken.len() < 200,
        "the folder is full after {}",
        taken.len()
    );
    forwarder.child.kill().expect("killed");
    forwarder.child.wait().expect("ended");
    open.store(true, Ordering::Relaxed);
    let _forwarder = start(&state, &text, platform.address); // within ten seconds
    until("each is tried", || {
        taken.iter().all(|id| calls(&seen, id) == 1)
    });
    // The one that was out at the kill may have run, and must not run again.
    assert_eq!(
        told(&platform),
        ["{\"id\":\"p0\",\"status\":\"undeliverable\"}"]
    );
}

/// Guards an end that is asked for before the first list is in, and asked for twice.
#[test]
fn asked_to_end_twice_before_a_list_is_in_it_ends_in_order() {
    let (platform, _) = serve(|_, _| None);
    let (_dir, state) = folder();
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let listen = free.local_addr().expect("its address");
    drop(free);
    let text = config("notice", "free", 200, 3.0);
    let child = scripted::command(PROGRAM, &state, &text, &listen.to_string(), platform)
        .spawn()
        .expect("it starts");
    let mut forwarder = Forwarder { child, listen };
    until("it listens", || forwarder.connect().is_ok());
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

/// Guards a reload against a file that is half written as the signal comes: it is read again until it is whole, with no
/// second signal. One that never becomes whole, or is gone, changes nothing, and the next signal is heeded.
#[test]
fn a_reload_that_meets_a_half_written_file_reads_it_again() {
    let (endpoint, seen) = serve(|_, _| plain("200 OK"));
    let (other, seen_other) = serve(|_, _| plain("200 OK"));
    let old = platform(vec![member(endpoint, 7, "Ready")], 0);
    let new = platform(vec![member(other, 7, "Ready")], 0);
    let (dir, state) = folder();
    let text = config("notice", "free", 200, 3.0);
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
        thread::sleep(Duration::from_millis(2500)); // past any time for which it is read again
        let id = format!("before-{n}");
        assert_eq!(forwarder.hand_in(&id, "notice"), 202);
        until("it goes on as before", || calls(&seen, &id) == 1);
    }
    reload_with(&moved[..moved.len() - 1]);
    thread::sleep(Duration::from_millis(500));
    std::fs::write(&config_file, &moved).expect("written");
    let whole = Instant::now();
    let mut tries = 0;
    until("the new list counts", || {
        tries += 1;
        forwarder.hand_in(&format!("after-{tries}"), "notice");
        !seen_other.lock().expect("the log").is_empty()
    });
    assert!(
        whole.elapsed() < Duration::from_secs(2),
        "{:?}",
        whole.elapsed()
    );
    assert!(forwarder.child.try_wait().expect("its state").is_none());
}

/// Guards rule 2 on days of restarts whose window for repeats is a second: a process that is killed with a call out sends the
/// message again inside the window of its first attempt, and never outside, whenever the last attempt began.
#[test]
fn a_restart_repeats_only_inside_the_window_of_the_first_attempt() {
    const WINDOW: Duration = Duration::from_secs(1);
    // How many attempts before the kill, how long after the first of them the next process starts, and whether it may repeat.
    for (attempts, down, repeats) in [(1, 0, true), (1, 1100, false), (2, 1050, false)] {
        let begun: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let times = begun.clone();
        let (endpoint, seen) = serve(move |_, n| {
            times.lock().expect("the times").push(Instant::now());
            // All but the last attempt before the kill end with an error that comes late: they may have run.
            if n + 1 < attempts {
                thread::sleep(Duration::from_millis(400));
                return plain("500 Oops");
            }
            (n >= attempts).then(|| plain("200 OK")).flatten()
        });
        let platform = platform(vec![member(endpoint, 7, "Ready")], 0);
        let (_dir, state) = folder();
        let text = config("notice", "guarded", 200, 3.0)
            .replace("WindowUs\":15000000", "WindowUs\":1000000");
        let mut forwarder = start(&state, &text, platform.address);
        assert_eq!(forwarder.hand_in("out", "notice"), 202);
        until("the last attempt before the kill is out", || {
            calls(&seen, "out") == attempts
        });
        forwarder.child.kill().expect("killed");
        forwarder.child.wait().expect("ended");
        let first = begun.lock().expect("the times")[0];
        thread::sleep(
            (first + Duration::from_millis(down)).saturating_duration_since(Instant::now()),
        );
        let _forwarder = start(&state, &text, platform.address);
        if repeats {
            until("it is sent again", || calls(&seen, "out") == attempts + 1);
            assert!(begun.lock().expect("the times")[attempts] < first + WINDOW);
        } else {
            until("its end is told", || !told(&platform).is_empty());
            assert_eq!(
                told(&platform),
                ["{\"id\":\"out\",\"status\":\"undeliverable\"}"]
            );
            assert_eq!(
                calls(&seen, "out"),
                attempts,
                "started {down} ms after the first attempt"
            );
        }
    }
}
