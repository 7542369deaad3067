//! The list where it must be asked for, in a fleet of hundreds: after each trouble of discovery the next call comes early
//! enough that a change is told by the time at which it counts as told. Discovery is a stand-in that falls silent, refuses
//! or answers late at the point; several forwarders of one fleet play side by side, so that no lucky moment hides a late call.

use opalpulley_lab::scripted::{self, *};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_opalpulley-forwarder");
const FORWARDERS: usize = 10; // that are played, of the fleet's 350
const TOLD: Duration = Duration::from_secs(6); // what discovery had and could be asked for counts as told by then
const READY: Duration = Duration::from_secs(10); // nine in ten restarted processes

/// What discovery does with calls.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
enum Mood {
    Answers,
    Silent,
    Refuses,
    /// The first call in this mood falls silent, even where it is out already; later ones are answered.
    SilentOnce,
}

/// One discovery for each forwarder, all in the same mood.
struct Discovery {
    mood: Arc<AtomicU8>,
    /// When each call came that was answered.
    heard: Arc<Mutex<Vec<Instant>>>,
    address: SocketAddr,
}

impl Discovery {
    fn start(mood: Arc<AtomicU8>, members: Vec<String>) -> Discovery {
        let heard: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (is, log) = (mood.clone(), heard.clone());
        let (address, _) = serve(move |m, _| {
            if !m.first.contains("/discovery/") {
                return plain("204 No Content");
            }
            let wait = m
                .first
                .split("wait=")
                .nth(1)
                .and_then(|w| w.split(' ').next()?.parse().ok());
            let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
            let before = is.load(Ordering::SeqCst);
            if before == Mood::Silent as u8 {
                return None;
            }
            if before == Mood::Refuses as u8 {
                return plain("503 Busy");
            }
            log.lock().expect("the log").push(Instant::now());
            while Instant::now() < until {
                let now = is.load(Ordering::SeqCst);
                if now != before && now != Mood::Answers as u8 {
                    return None; // a watch that falls silent
                }
                thread::sleep(Duration::from_millis(5));
            }
            let whole = wait.is_none();
            with_body(&list(1, whole, if whole { &members } else { &[] }))
        });
        Discovery {
            mood,
            heard,
            address,
        }
    }

    fn calls(&self) -> usize {
        self.heard.lock().expect("the log").len()
    }

    /// How long after that moment the first call came that was answered.
    fn first_after(&self, moment: Instant) -> Option<Duration> {
        let heard = self.heard.lock().expect("the log");
        heard.iter().find(|at| **at > moment).map(|at| *at - moment)
    }
}

/// A part of a fleet with an asked list, and the settings' interval in seconds; all have watches open.
struct Fleet {
    mood: Arc<AtomicU8>,
    members: Vec<(Discovery, Forwarder, tempfile::TempDir)>,
}

impl Fleet {
    fn watching(poll_interval: u64) -> Fleet {
        let mood = Arc::new(AtomicU8::new(Mood::Answers as u8));
        let begin = |number: usize| {
            let discovery = Discovery::start(mood.clone(), Vec::new());
            let (dir, state) = folder();
            let text = config_file(number, poll_interval);
            let forwarder = scripted::start(PROGRAM, &state, &text, discovery.address);
            (discovery, forwarder, dir)
        };
        let members: Vec<_> = (0..FORWARDERS).map(begin).collect();
        let fleet = Fleet { mood, members };
        until("all watch", || {
            fleet
                .members
                .iter()
                .all(|(discovery, ..)| discovery.calls() >= 3)
        });
        fleet
    }

    fn turns(&self, mood: Mood) -> Instant {
        self.mood.store(mood as u8, Ordering::SeqCst);
        Instant::now()
    }

    /// Each makes a call that is answered before what discovery had at that moment counts as told.
    fn is_told_in_time_from(&self, moment: Instant) {
        let first = || {
            self.members
                .iter()
                .map(|(discovery, ..)| discovery.first_after(moment))
        };
        thread::sleep(TOLD.saturating_sub(moment.elapsed()));
        let late = first()
            .filter(|after| after.is_none_or(|after| after > TOLD))
            .count();
        assert_eq!(late, 0, "{:?}", first().collect::<Vec<_>>());
    }
}

/// The start papers of one of the fleet's forwarders.
fn config_file(number: usize, poll_interval: u64) -> String {
    config("notice", "free", 200, 3.0)
        .replace(
            "\"seed\":\"8c1f30d27a5be964\"",
            &format!("\"seed\":\"8c1f30d27a5be9{number:02x}\""),
        )
        .replace(
            "\"Balancers\":1",
            "\"Balancers\":350,\"MembershipMode\":\"on_request\"",
        )
        .replace(
            "\"ColdFrom\"",
            &format!("\"AskWithinUs\":{},\"ColdFrom\"", poll_interval * 1_000_000),
        )
}

/// A watch that has fallen silent is broken: what it misses counts as told 6 s after it fell silent.
#[test]
fn an_asked_watch_that_falls_silent_is_opened_anew_by_the_time_that_counts() {
    let fleet = Fleet::watching(10);
    let silent = fleet.turns(Mood::SilentOnce);
    thread::sleep(Duration::from_millis(100));
    fleet.turns(Mood::Answers); // reachable for whoever asks
    fleet.is_told_in_time_from(silent);
}

#[test]
fn discovery_is_asked_by_the_time_that_counts_after_it_was_down() {
    let fleet = Fleet::watching(10);
    fleet.turns(Mood::Silent);
    thread::sleep(Duration::from_secs(8));
    fleet.is_told_in_time_from(fleet.turns(Mood::Answers));
}

/// The settings may want a call in a minute only; what counts as told does not wait for it.
#[test]
fn discovery_is_asked_by_the_time_that_counts_after_it_refused() {
    let fleet = Fleet::watching(60);
    fleet.turns(Mood::Refuses);
    thread::sleep(Duration::from_secs(8));
    fleet.is_told_in_time_from(fleet.turns(Mood::Answers));
}

/// An overbooked discovery answers later than a call is waited for: the answer counts all the same, and no call is lost on it.
#[test]
fn an_answer_to_a_call_that_was_given_up_is_heard() {
    const LATE: Duration = Duration::from_millis(4_500);
    let (endpoint, seen) = serve(|_, _| plain("200 OK"));
    let members = vec![member(endpoint, 7, "Ready")];
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let log = calls.clone();
    let (discovery, _) = serve(move |m, _| {
        if !m.first.contains("/discovery/") {
            return plain("204 No Content");
        }
        let first = {
            let mut log = log.lock().expect("the log");
            log.push(Instant::now());
            log.len() == 1
        };
        // Only the call made first is ever answered with the list.
        if first {
            thread::sleep(LATE);
            return with_body(&list(1, true, &members));
        }
        if m.first.contains("index=1&") {
            thread::sleep(Duration::from_millis(1_900));
            return with_body(&list(1, false, &[]));
        }
        None
    });
    let (_dir, state) = folder();
    let forwarder = scripted::start(PROGRAM, &state, &config_file(1, 10), discovery);
    let mut tries = 0;
    // Turned away until a list names the destination.
    until("the list is heard", || {
        tries += 1;
        forwarder.hand_in(&format!("p{tries}"), "notice") == 202
    });
    let first = calls.lock().expect("the log")[0];
    assert!(
        first.elapsed() < LATE + Duration::from_millis(500),
        "{:?}",
        first.elapsed()
    );
    until("it is delivered", || {
        !seen.lock().expect("the log").is_empty()
    });
}

/// A restarted process with what it held is ready, whatever discovery does.
#[test]
fn a_restarted_process_is_ready_in_time_whatever_discovery_does() {
    for mode in ["pushed", "on_request"] {
        for mood in [Mood::Silent, Mood::Refuses] {
            restart(mode, Some(mood));
        }
        restart(mode, None);
    }
}

/// With discovery's machine gone (its connections do not come up) where there is no mood.
fn restart(mode: &str, mood: Option<Mood>) {
    let shut = SlowDoor::shut("127.0.0.1");
    let (endpoint, _) = serve(|_, _| None); // so that the message is still open at the kill
    let mood_now = Arc::new(AtomicU8::new(Mood::Answers as u8));
    let discovery = Discovery::start(mood_now, vec![member(endpoint, 7, "Ready")]);
    let (_dir, state) = folder();
    let text = config_file(1, 10).replace("on_request", mode);
    let mut forwarder = scripted::start(PROGRAM, &state, &text, discovery.address);
    until("the list is in", || discovery.calls() >= 1);
    until("a packet is taken on", || {
        forwarder.hand_in("held", "notice") == 202
    });
    forwarder.child.kill().expect("killed");
    forwarder.child.wait().expect("ended");
    let address = mood.map_or(shut.address, |mood| {
        discovery.mood.store(mood as u8, Ordering::SeqCst);
        discovery.address
    });
    let begun = Instant::now();
    let _again: Forwarder = scripted::start(PROGRAM, &state, &text, address);
    assert!(
        begun.elapsed() < READY,
        "{mode}: ready after {:?}",
        begun.elapsed()
    );
}
