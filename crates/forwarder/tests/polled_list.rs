//! Polling of the endpoint list in a fleet of hundreds. After each fault of discovery the next poll must be early enough for
//! a change to be received within the time in which it counts as notified. Discovery is a scripted peer that falls silent,
//! rejects or responds late at the critical point. Several forwarders of one fleet run in parallel, so that a late poll is
//! not hidden by chance.

mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Number of forwarders that run, out of the 350 of the fleet.
const FORWARDERS: usize = 10;
/// Time after which a change counts as notified, from the moment at which discovery had the change and could be reached.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which nine in ten restarted processes must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// How discovery responds to polls.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
enum DiscoveryMode {
    Responds,
    Silent,
    Rejects,
    /// The first poll in this mode, even one that is already in flight, gets no response. Later polls get one.
    SilentOnce,
}

/// The discovery peer of one forwarder. All peers of a fleet share one mode.
struct Discovery {
    mode: Arc<AtomicU8>,
    /// Times at which discovery received the polls that it responded to.
    polls: Arc<Mutex<Vec<Instant>>>,
    address: SocketAddr,
}

impl Discovery {
    fn start(mode: Arc<AtomicU8>, members: Vec<String>) -> Discovery {
        let polls: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (current_mode, log) = (mode.clone(), polls.clone());
        let (address, _) = serve(move |request, _| {
            if !request.first_line.contains("/discovery/") {
                return empty_response("204 No Content");
            }
            let wait_ms = request
                .first_line
                .split("wait=")
                .nth(1)
                .and_then(|w| w.split(' ').next()?.parse().ok());
            let respond_at = Instant::now() + Duration::from_millis(wait_ms.unwrap_or(0));
            let initial_mode = current_mode.load(Ordering::SeqCst);
            if initial_mode == DiscoveryMode::Silent as u8 {
                return None;
            }
            if initial_mode == DiscoveryMode::Rejects as u8 {
                return empty_response("503 Busy");
            }
            log.lock()
                .expect("the request log is not poisoned")
                .push(Instant::now());
            while Instant::now() < respond_at {
                let latest_mode = current_mode.load(Ordering::SeqCst);
                if latest_mode != initial_mode && latest_mode != DiscoveryMode::Responds as u8 {
                    return None; // a watch that falls silent
                }
                sleep_ms(5);
            }
            let complete = wait_ms.is_none();
            ok_response(&endpoint_list(
                1,
                complete,
                if complete { &members } else { &[] },
            ))
        });
        Discovery {
            mode,
            polls,
            address,
        }
    }

    fn polls_received(&self) -> usize {
        self.polls
            .lock()
            .expect("the request log is not poisoned")
            .len()
    }

    /// Returns the time from `moment` to the first later poll that was answered.
    fn first_poll_after(&self, moment: Instant) -> Option<Duration> {
        let polls = self.polls.lock().expect("the request log is not poisoned");
        polls.iter().find(|at| **at > moment).map(|at| *at - moment)
    }
}

/// Some forwarders of a fleet that polls its list. All of them have a watch open.
struct Fleet {
    mode: Arc<AtomicU8>,
    members: Vec<(Discovery, Forwarder, tempfile::TempDir)>,
}

impl Fleet {
    fn watching(poll_interval_s: u64) -> Fleet {
        let mode = Arc::new(AtomicU8::new(DiscoveryMode::Responds as u8));
        let start_forwarder = |number: usize| {
            let discovery = Discovery::start(mode.clone(), Vec::new());
            let (dir, state) = state_folder();
            let config_text = config_file(number, poll_interval_s);
            let forwarder = start(&state, &config_text, discovery.address);
            (discovery, forwarder, dir)
        };
        let members: Vec<_> = (0..FORWARDERS).map(start_forwarder).collect();
        let fleet = Fleet { mode, members };
        wait_until("all forwarders have a watch open", || {
            fleet
                .members
                .iter()
                .all(|(discovery, ..)| discovery.polls_received() >= 3)
        });
        fleet
    }

    fn switch_to(&self, mode: DiscoveryMode) -> Instant {
        self.mode.store(mode as u8, Ordering::SeqCst);
        Instant::now()
    }

    /// Checks that each forwarder makes a successful poll before the changes that discovery had at `moment` count as
    /// notified.
    fn assert_polled_in_time_after(&self, moment: Instant) {
        let first_polls = || {
            self.members
                .iter()
                .map(|(discovery, ..)| discovery.first_poll_after(moment))
        };
        thread::sleep(NOTIFICATION_TIMEOUT.saturating_sub(moment.elapsed()));
        let late_count = first_polls()
            .filter(|after| after.is_none_or(|after| after > NOTIFICATION_TIMEOUT))
            .count();
        assert_eq!(
            late_count,
            0,
            "expected each forwarder to poll within {NOTIFICATION_TIMEOUT:?}; first polls after {:?}",
            first_polls().collect::<Vec<_>>()
        );
    }
}

/// Returns the startup configuration of one forwarder of the fleet. The poll interval is in seconds.
fn config_file(number: usize, poll_interval_s: u64) -> String {
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
            &format!(
                "\"AskWithinUs\":{},\"ColdFrom\"",
                poll_interval_s * 1_000_000
            ),
        )
}

/// A watch that has fallen silent is broken: the changes that it misses count as notified 6 s after it fell silent.
#[test]
fn reopens_a_silent_watch_of_a_polled_list_in_time() {
    let fleet = Fleet::watching(10);
    let silent_since = fleet.switch_to(DiscoveryMode::SilentOnce);
    sleep_ms(100);
    fleet.switch_to(DiscoveryMode::Responds); // further polls get a response
    fleet.assert_polled_in_time_after(silent_since);
}

#[test]
fn polls_discovery_in_time_after_silence() {
    let fleet = Fleet::watching(10);
    fleet.switch_to(DiscoveryMode::Silent);
    thread::sleep(Duration::from_secs(8));
    fleet.assert_polled_in_time_after(fleet.switch_to(DiscoveryMode::Responds));
}

/// The settings may allow a poll interval of a minute. A change must be received in time regardless.
#[test]
fn polls_discovery_in_time_after_rejections() {
    let fleet = Fleet::watching(60);
    fleet.switch_to(DiscoveryMode::Rejects);
    thread::sleep(Duration::from_secs(8));
    fleet.assert_polled_in_time_after(fleet.switch_to(DiscoveryMode::Responds));
}

/// An overloaded discovery responds after a poll has timed out. The response must be accepted, not discarded.
#[test]
fn accepts_the_response_to_a_timed_out_poll() {
    const RESPONSE_DELAY: Duration = Duration::from_millis(4_500);
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
    let members = vec![member(endpoint, 7, "Ready")];
    let poll_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let log = poll_times.clone();
    let (discovery, _) = serve(move |request, _| {
        if !request.first_line.contains("/discovery/") {
            return empty_response("204 No Content");
        }
        let first = {
            let mut log = log.lock().expect("the request log is not poisoned");
            log.push(Instant::now());
            log.len() == 1
        };
        // Only the first poll is ever answered with the list.
        if first {
            thread::sleep(RESPONSE_DELAY);
            return ok_response(&endpoint_list(1, true, &members));
        }
        if request.first_line.contains("index=1&") {
            sleep_ms(1_900);
            return ok_response(&endpoint_list(1, false, &[]));
        }
        None
    });
    let (_dir, state) = state_folder();
    let forwarder = start(&state, &config_file(1, 10), discovery);
    let mut tries = 0;
    // Submissions are rejected until a list contains the destination.
    wait_until("the list is received", || {
        tries += 1;
        forwarder.submit(&format!("p{tries}"), "notice") == 202
    });
    let first_poll_at = poll_times.lock().expect("the request log is not poisoned")[0];
    assert!(
        first_poll_at.elapsed() < RESPONSE_DELAY + Duration::from_millis(500),
        "expected the list within 500 ms of the response, sent after {RESPONSE_DELAY:?}; received after {:?}",
        first_poll_at.elapsed()
    );
    wait_until("the message is delivered", || {
        !request_log
            .lock()
            .expect("the request log is not poisoned")
            .is_empty()
    });
}

/// A restarted process with a journal is ready in time, whatever discovery does.
#[test]
fn restart_is_ready_in_time_if_discovery_fails() {
    for list_mode in ["pushed", "on_request"] {
        for discovery_mode in [DiscoveryMode::Silent, DiscoveryMode::Rejects] {
            assert_ready_after_restart(list_mode, Some(discovery_mode));
        }
        assert_ready_after_restart(list_mode, None);
    }
}

/// Restarts a forwarder and checks that it is ready in time. Without a mode, the machine of discovery is unreachable:
/// connections to it do not open.
fn assert_ready_after_restart(list_mode: &str, discovery_mode: Option<DiscoveryMode>) {
    let unreachable = FullBacklogListener::bind("127.0.0.1");
    let (endpoint, _) = silent_endpoint(); // keeps the message in flight until the kill
    let mode = Arc::new(AtomicU8::new(DiscoveryMode::Responds as u8));
    let discovery = Discovery::start(mode, vec![member(endpoint, 7, "Ready")]);
    let (_dir, state) = state_folder();
    let config_text = config_file(1, 10).replace("on_request", list_mode);
    let mut forwarder = start(&state, &config_text, discovery.address);
    wait_until("the list is received", || discovery.polls_received() >= 1);
    wait_until("a message is accepted", || {
        forwarder.submit("held", "notice") == 202
    });
    kill_and_wait(&mut forwarder);
    let address = discovery_mode.map_or(unreachable.address, |mode| {
        discovery.mode.store(mode as u8, Ordering::SeqCst);
        discovery.address
    });
    let started_at = Instant::now();
    let _restarted: Forwarder = start(&state, &config_text, address);
    assert!(
        started_at.elapsed() < READY_TIMEOUT,
        "{list_mode}: expected the process to be ready within {READY_TIMEOUT:?}, took {:?}",
        started_at.elapsed()
    );
}
