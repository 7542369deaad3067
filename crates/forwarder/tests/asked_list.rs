//! The list where it must be polled, in a fleet of hundreds: after each fault of discovery the next poll comes early enough
//! that a change arrives by the time at which it counts as notified. Discovery is a scripted peer that falls silent, rejects or
//! answers late at the right point. Several forwarders of one fleet run side by side, so that no lucky moment hides a late poll.

mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The forwarders that run, of the fleet's 350.
const FORWARDERS: usize = 10;
/// A change counts as notified so long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// For nine in ten restarted processes to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// What discovery does with polls.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
enum DiscoveryMode {
    Answers,
    Silent,
    Rejects,
    /// The first poll in this mode is never answered, even where it is out already. Later ones are.
    SilentOnce,
}

/// One discovery for each forwarder, all in the same mode.
struct Discovery {
    mode: Arc<AtomicU8>,
    /// When each poll came that was answered.
    polls: Arc<Mutex<Vec<Instant>>>,
    address: SocketAddr,
}

impl Discovery {
    fn start(mode: Arc<AtomicU8>, members: Vec<String>) -> Discovery {
        let polls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (is, log) = (mode.clone(), polls.clone());
        let (address, _) = serve(move |m, _| {
            if !m.first_line.contains("/discovery/") {
                return empty_response("204 No Content");
            }
            let wait = m
                .first_line
                .split("wait=")
                .nth(1)
                .and_then(|w| w.split(' ').next()?.parse().ok());
            let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
            let before = is.load(Ordering::SeqCst);
            if before == DiscoveryMode::Silent as u8 {
                return None;
            }
            if before == DiscoveryMode::Rejects as u8 {
                return empty_response("503 Busy");
            }
            log.lock().expect("the log").push(Instant::now());
            while Instant::now() < until {
                let now = is.load(Ordering::SeqCst);
                if now != before && now != DiscoveryMode::Answers as u8 {
                    return None; // a watch that falls silent
                }
                pause(5);
            }
            let whole = wait.is_none();
            ok_response(&endpoint_list(1, whole, if whole { &members } else { &[] }))
        });
        Discovery {
            mode,
            polls,
            address,
        }
    }

    fn calls(&self) -> usize {
        self.polls.lock().expect("the log").len()
    }

    /// How long after that moment the first poll came that was answered.
    fn first_after(&self, moment: Instant) -> Option<Duration> {
        let polls = self.polls.lock().expect("the log");
        polls.iter().find(|at| **at > moment).map(|at| *at - moment)
    }
}

/// A part of a fleet that polls its list. All have watches open.
struct Fleet {
    mode: Arc<AtomicU8>,
    members: Vec<(Discovery, Forwarder, tempfile::TempDir)>,
}

impl Fleet {
    fn watching(poll_interval: u64) -> Fleet {
        let mode = Arc::new(AtomicU8::new(DiscoveryMode::Answers as u8));
        let begin = |number: usize| {
            let discovery = Discovery::start(mode.clone(), Vec::new());
            let (dir, state) = state_folder();
            let text = config_file(number, poll_interval);
            let forwarder = start(&state, &text, discovery.address);
            (discovery, forwarder, dir)
        };
        let members: Vec<_> = (0..FORWARDERS).map(begin).collect();
        let fleet = Fleet { mode, members };
        wait_until("all watch", || {
            fleet
                .members
                .iter()
                .all(|(discovery, ..)| discovery.calls() >= 3)
        });
        fleet
    }

    fn switch_to(&self, mode: DiscoveryMode) -> Instant {
        self.mode.store(mode as u8, Ordering::SeqCst);
        Instant::now()
    }

    /// Checks that each makes a poll that is answered before what discovery had at that moment counts as notified.
    fn assert_polled_in_time_after(&self, moment: Instant) {
        let first = || {
            self.members
                .iter()
                .map(|(discovery, ..)| discovery.first_after(moment))
        };
        thread::sleep(NOTIFIED_WITHIN.saturating_sub(moment.elapsed()));
        let late = first()
            .filter(|after| after.is_none_or(|after| after > NOTIFIED_WITHIN))
            .count();
        assert_eq!(late, 0, "{:?}", first().collect::<Vec<_>>());
    }
}

/// The start-up configuration of one of the fleet's forwarders. The poll interval is in seconds.
fn config_file(number: usize, poll_interval: u64) -> String {
    startup_config("notice", "free", 200, 3.0)
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

/// A watch that has fallen silent is broken: what it misses counts as notified 6 s after it fell silent.
#[test]
fn a_watch_of_a_polled_list_that_falls_silent_is_opened_anew_in_time() {
    let fleet = Fleet::watching(10);
    let silent = fleet.switch_to(DiscoveryMode::SilentOnce);
    pause(100);
    fleet.switch_to(DiscoveryMode::Answers); // reachable for further polls
    fleet.assert_polled_in_time_after(silent);
}

#[test]
fn discovery_is_polled_in_time_after_it_was_silent() {
    let fleet = Fleet::watching(10);
    fleet.switch_to(DiscoveryMode::Silent);
    thread::sleep(Duration::from_secs(8));
    fleet.assert_polled_in_time_after(fleet.switch_to(DiscoveryMode::Answers));
}

/// The settings may want a poll in a minute only. What counts as notified does not wait for it.
#[test]
fn discovery_is_polled_in_time_after_it_rejected_polls() {
    let fleet = Fleet::watching(60);
    fleet.switch_to(DiscoveryMode::Rejects);
    thread::sleep(Duration::from_secs(8));
    fleet.assert_polled_in_time_after(fleet.switch_to(DiscoveryMode::Answers));
}

/// An overloaded discovery answers after a poll has timed out. The answer counts all the same, and no poll is lost on it.
#[test]
fn the_answer_to_a_poll_that_timed_out_counts() {
    const LATE: Duration = Duration::from_millis(4_500);
    let (endpoint, seen) = endpoint_with("200 OK");
    let members = vec![member(endpoint, 7, "Ready")];
    let calls: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let log = calls.clone();
    let (discovery, _) = serve(move |m, _| {
        if !m.first_line.contains("/discovery/") {
            return empty_response("204 No Content");
        }
        let first = {
            let mut log = log.lock().expect("the log");
            log.push(Instant::now());
            log.len() == 1
        };
        // Only the first poll is ever answered with the list.
        if first {
            thread::sleep(LATE);
            return ok_response(&endpoint_list(1, true, &members));
        }
        if m.first_line.contains("index=1&") {
            pause(1_900);
            return ok_response(&endpoint_list(1, false, &[]));
        }
        None
    });
    let (_dir, state) = state_folder();
    let forwarder = start(&state, &config_file(1, 10), discovery);
    let mut tries = 0;
    // Rejected until a list names the destination.
    wait_until("the list is in", || {
        tries += 1;
        forwarder.submit(&format!("p{tries}"), "notice") == 202
    });
    let first = calls.lock().expect("the log")[0];
    assert!(
        first.elapsed() < LATE + Duration::from_millis(500),
        "{:?}",
        first.elapsed()
    );
    wait_until("it is delivered", || {
        !seen.lock().expect("the log").is_empty()
    });
}

/// A restarted process with a journal is ready in time, whatever discovery does.
#[test]
fn a_restarted_process_is_ready_in_time_whatever_discovery_does() {
    for list_mode in ["pushed", "on_request"] {
        for discovery_mode in [DiscoveryMode::Silent, DiscoveryMode::Rejects] {
            restart(list_mode, Some(discovery_mode));
        }
        restart(list_mode, None);
    }
}

/// Where there is no mode, discovery's machine is gone: connections to it do not open.
fn restart(list_mode: &str, discovery_mode: Option<DiscoveryMode>) {
    let shut = FullBacklogListener::bind("127.0.0.1");
    let (endpoint, _) = silent_endpoint(); // so that the message is still in flight at the kill
    let mode_now = Arc::new(AtomicU8::new(DiscoveryMode::Answers as u8));
    let discovery = Discovery::start(mode_now, vec![member(endpoint, 7, "Ready")]);
    let (_dir, state) = state_folder();
    let text = config_file(1, 10).replace("on_request", list_mode);
    let mut forwarder = start(&state, &text, discovery.address);
    wait_until("the list is in", || discovery.calls() >= 1);
    wait_until("a message is accepted", || {
        forwarder.submit("held", "notice") == 202
    });
    kill(&mut forwarder);
    let address = discovery_mode.map_or(shut.address, |mode| {
        discovery.mode.store(mode as u8, Ordering::SeqCst);
        discovery.address
    });
    let begun = Instant::now();
    let _again: Forwarder = start(&state, &text, address);
    assert!(
        begun.elapsed() < READY_WITHIN,
        "{list_mode}: ready after {:?}",
        begun.elapsed()
    );
}
