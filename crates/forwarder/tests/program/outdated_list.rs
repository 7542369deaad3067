//! Restarts while an address passes to an endpoint of another destination, with discovery up or down. Nothing may be sent by
//! the cached list, clients may submit messages at once, and the messages are sent as soon as discovery has answered.

use crate::common::*;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Time from a start for which discovery stays down. It exceeds every wait of a start.
const OUTAGE: Duration = Duration::from_millis(3500);
/// Upper bound on the time from a start until a message is accepted.
const ACCEPTED_WITHIN: Duration = Duration::from_millis(900);
/// Upper bound on the time from the end of the outage to the first call, where discovery reports changes by itself.
const SENT_WITHIN: Duration = Duration::from_millis(1000);
/// The same where discovery must be polled: the next poll after a failure comes up to 5 s later, and its answer counts as
/// notified 6 s after discovery could be reached.
const SENT_AFTER_POLL_WITHIN: Duration = Duration::from_secs(6);

/// Size of a fleet whose first polls are spread over almost a second.
const MEDIUM_FLEET: u32 = 45;
/// Size of a fleet whose first polls are spread over 5 s.
const LARGE_FLEET: u32 = 350;

/// How discovery treats requests for the list.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
enum DiscoveryMode {
    Responds,
    /// Requests get no response, also not after the outage.
    Silent,
    /// The body of the response is no list.
    Unreadable,
    Rejects,
}

/// A discovery that reports one list from revision 1 and another one from revision 2 on.
struct Discovery {
    address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Discovery {
    /// Starts a discovery whose revision 2 holds `members` in place of the member `removed`.
    fn start(mode: DiscoveryMode, members: [String; 2], removed: String) -> Discovery {
        let mode = Arc::new(AtomicU8::new(mode as u8));
        let current_mode = mode.clone();
        let (address, _) = serve(move |request, _| {
            if !request.first_line.contains("/discovery/") {
                return empty_response("204 No Content");
            }
            let mode = current_mode.load(Ordering::SeqCst);
            if mode == DiscoveryMode::Silent as u8 {
                return None;
            }
            if mode == DiscoveryMode::Unreadable as u8 {
                return ok_response("overloaded");
            }
            if mode == DiscoveryMode::Rejects as u8 {
                return empty_response("503 Busy");
            }
            let document = if request.first_line.contains("index=1&") {
                let [taker, replacement] = members.clone();
                endpoint_list(2, false, &[removed.clone(), taker, replacement])
            } else if request.first_line.contains("index=2&") {
                sleep_ms(300);
                endpoint_list(2, false, &[])
            } else {
                endpoint_list(2, true, &members)
            };
            ok_response(&document)
        });
        Discovery { address, mode }
    }

    fn end_outage(&self) -> Instant {
        let responds = DiscoveryMode::Responds as u8;
        self.mode.store(responds, Ordering::SeqCst);
        Instant::now()
    }
}

/// How the first process ends.
#[derive(Clone, Copy)]
enum Stop {
    Terminate,
    Kill,
}

/// A first run, whose message is in flight at the endpoint `old` of destination 7. That endpoint leaves the list before the
/// second run.
struct FirstRun {
    forwarder: Forwarder,
    state: PathBuf,
    /// The entry of the endpoint `old` in the list.
    old_member: String,
    /// The address of the endpoint `old`, which another endpoint takes over.
    reused_address: SocketAddr,
    reused_log: RequestLog,
    _folder: TempDir,
}

impl FirstRun {
    /// Starts a forwarder and submits the message `before`. Its endpoint leaves that message unanswered, and answers all
    /// others with status 200.
    fn start(config_text: &str) -> FirstRun {
        let (reused_address, reused_log) =
            serve(|request, _| match request.headers["request-id"].as_str() {
                "before" => None,
                _ => empty_response("200 OK"),
            });
        let old_member = member_named("old", reused_address, 7, "Ready");
        let (folder, state) = state_folder();
        let platform = start_platform(vec![old_member.clone()], 0);
        let forwarder = start(&state, config_text, platform.address);
        assert_eq!(forwarder.submit("before", "notice"), 202);
        wait_until("the message is sent to the old endpoint", || {
            count_calls(&reused_log, "before") == 1
        });
        FirstRun {
            forwarder,
            state,
            old_member,
            reused_address,
            reused_log,
            _folder: folder,
        }
    }
}

/// Guards against a message that reaches an endpoint of another destination, which took the address of a removed one
/// between two runs.
#[test]
fn restart_sends_nothing_by_an_outdated_cached_list() {
    let config_text = startup_config("notice", "free", 200, 3.0);
    assert_outdated_list_is_not_used(&config_text);
}

/// Guards against the same fault where discovery must be polled: its first response holds changes to the cached list.
#[test]
fn restart_sends_nothing_by_an_outdated_cached_list_before_the_first_poll() {
    assert_outdated_list_is_not_used(&polled_config(1));
}

/// Guards against the same fault in larger fleets, where the first poll is sent some time after the start.
#[test]
fn restart_in_a_large_polled_fleet_sends_nothing_by_an_outdated_cached_list() {
    assert_outdated_list_is_not_used(&polled_config(MEDIUM_FLEET));
    assert_outdated_list_is_not_used(&polled_config(LARGE_FLEET));
}

/// Returns the start-up configuration of a forwarder in a fleet of this size that polls discovery.
fn polled_config(fleet_size: u32) -> String {
    let fleet = format!("\"Balancers\":{fleet_size},\"MembershipMode\":\"on_request\"");
    startup_config("notice", "free", 200, 3.0).replace("\"Balancers\":1", &fleet)
}

/// Leaves an unfinished message in the journal, replaces its endpoint while no process runs, and starts the second run with
/// the list that the first one had. Both that message and a new one must reach the replacement alone.
fn assert_outdated_list_is_not_used(config_text: &str) {
    let mut first_run = FirstRun::start(config_text);
    let reused_log = &first_run.reused_log;
    let (replacement, replacement_log) = endpoint_responding_with("200 OK");
    kill_and_wait(&mut first_run.forwarder);

    let discovery = discovery_with_changed_list([
        member_named("taker", first_run.reused_address, 8, "Ready"),
        member_named("replacement", replacement, 7, "Ready"),
    ]);
    let cached = endpoint_list(1, true, &[first_run.old_member]);
    let config_text = with_further_keys(config_text, &format!("\"known\":{cached}"));
    let forwarder = start(&first_run.state, &config_text, discovery);
    assert_eq!(forwarder.submit("after", "notice"), 202);
    wait_until("both messages are sent", || {
        call_count(reused_log) + call_count(&replacement_log) >= 3
    });
    assert_eq!(
        (call_count(reused_log), call_count(&replacement_log)),
        (1, 2),
        "calls at the reused address, one of them by the first run, and calls at the replacement"
    );
}

/// Guards against a message that reaches an endpoint of another destination because discovery is silent at a start.
#[test]
fn restart_sends_nothing_by_the_cached_list_while_discovery_is_silent() {
    let config_text = startup_config("notice", "free", 200, 3.0);
    assert_cached_list_is_withheld(&config_text, Stop::Terminate, DiscoveryMode::Silent);
    assert_cached_list_is_withheld(&config_text, Stop::Kill, DiscoveryMode::Silent);
}

/// Guards against the same fault where discovery refuses requests.
#[test]
fn restart_sends_nothing_by_the_cached_list_while_discovery_refuses() {
    let config_text = startup_config("notice", "free", 200, 3.0);
    assert_cached_list_is_withheld(&config_text, Stop::Terminate, DiscoveryMode::Rejects);
    assert_cached_list_is_withheld(&config_text, Stop::Kill, DiscoveryMode::Unreadable);
}

/// Guards against the same fault where discovery must be polled: a failed poll does not confirm the cached list.
#[test]
fn restart_sends_nothing_by_the_cached_list_after_failed_polls() {
    let config_text = polled_config(1);
    assert_cached_list_is_withheld(&config_text, Stop::Terminate, DiscoveryMode::Rejects);
    assert_cached_list_is_withheld(&config_text, Stop::Kill, DiscoveryMode::Silent);
}

/// Guards against the same fault in larger fleets.
#[test]
fn restart_in_a_large_polled_fleet_sends_nothing_by_the_cached_list_after_failed_polls() {
    let medium = polled_config(MEDIUM_FLEET);
    assert_cached_list_is_withheld(&medium, Stop::Terminate, DiscoveryMode::Silent);
    let large = polled_config(LARGE_FLEET);
    assert_cached_list_is_withheld(&large, Stop::Kill, DiscoveryMode::Rejects);
}

/// Restarts a forwarder during an outage of discovery, in which the address of its endpoint passes to destination 8. The
/// journal holds an unfinished message. No message of destination 7 may reach the address again, and all of
/// them must reach the replacement soon after the outage.
fn assert_cached_list_is_withheld(config_text: &str, stop: Stop, outage: DiscoveryMode) {
    let mut first_run = FirstRun::start(config_text);
    let reused_log = &first_run.reused_log;
    let (replacement, replacement_log) = endpoint_responding_with("200 OK");
    stop_and_wait(&mut first_run.forwarder, stop);
    let calls_before = call_count(reused_log);

    let new_members = [
        member_named("taker", first_run.reused_address, 8, "Ready"),
        member_named("replacement", replacement, 7, "Ready"),
    ];
    let removed = first_run.old_member.replace("Ready", "Gone");
    let discovery = Discovery::start(outage, new_members, removed);
    let cached = endpoint_list(1, true, &[first_run.old_member]);
    let config_text = with_further_keys(config_text, &format!("\"known\":{cached}"));
    let started_at = Instant::now();
    let forwarder = start(&first_run.state, &config_text, discovery.address);
    assert_eq!(forwarder.submit("after", "notice"), 202);
    let accepted_after = started_at.elapsed();
    assert!(
        accepted_after < ACCEPTED_WITHIN,
        "expected the message to be accepted within {ACCEPTED_WITHIN:?}, took {accepted_after:?}"
    );
    std::thread::sleep(OUTAGE.saturating_sub(started_at.elapsed()));
    assert_eq!(count_calls(&replacement_log, "after"), 0);

    let outage_ended_at = discovery.end_outage();
    let is_polled = config_text.contains("on_request");
    for id in ["before", "after"] {
        wait_until("the message is sent to the replacement", || {
            count_calls(&replacement_log, id) >= 1
        });
    }
    let sent_after = outage_ended_at.elapsed();
    let sent_within = if is_polled {
        SENT_AFTER_POLL_WITHIN
    } else {
        SENT_WITHIN
    };
    assert!(
        sent_after < sent_within,
        "expected all messages to be sent within {sent_within:?} of the outage, took {sent_after:?}"
    );
    let calls_after = call_count(reused_log) - calls_before;
    assert_eq!(
        calls_after, 0,
        "calls of the second run at the reused address"
    );
}

fn call_count(log: &RequestLog) -> usize {
    log.lock().expect("the request log is not poisoned").len()
}

/// Starts a discovery with the list `[taker, replacement]`, which has replaced the member `old` of revision 1. It responds
/// to each request after 300 ms, with the complete list or with the changes.
fn discovery_with_changed_list(members: [String; 2]) -> SocketAddr {
    let old_is_gone = members[0]
        .replace("taker", "old")
        .replace("\"cell\":8", "\"cell\":7")
        .replace("Ready", "Gone");
    let (address, _) = serve(move |request, _| {
        sleep_ms(300);
        let [taker, replacement] = members.clone();
        let document = if request.first_line.contains("index=1&") {
            endpoint_list(4, false, &[old_is_gone.clone(), taker, replacement])
        } else if request.first_line.contains("index=4&") {
            endpoint_list(4, false, &[])
        } else {
            endpoint_list(4, true, &[taker, replacement])
        };
        ok_response(&document)
    });
    address
}

fn stop_and_wait(forwarder: &mut Forwarder, stop: Stop) {
    match stop {
        Stop::Kill => kill_and_wait(forwarder),
        Stop::Terminate => {
            forwarder.signal("-TERM");
            forwarder.child.wait().expect("the process exits");
        }
    }
}
