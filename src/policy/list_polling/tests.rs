//! Tests of the poll delays of one forwarder, and of a fleet at its start and after an outage of
//! discovery.

use super::*;
use crate::model::{
    DestinationId, EndpointEntry, EndpointId, EndpointKindId, EndpointStatus, ZoneId,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

mod discovery;
mod outage;
mod start;

const MS: Micros = 1_000;

/// Poll interval of the service rules in most tests, in µs.
const POLL_INTERVAL: Micros = 10_000 * MS;

/// Time that a poll waits for its answer in most tests, in µs.
const POLL_TIMEOUT: Micros = 2_000 * MS;

/// Time until a rejected poll fails, in µs.
const REJECTION_TIME: Micros = 20 * MS;

/// Time after a change at which a forwarder counts as notified, in µs; the same as in the tests on
/// sockets.
const NOTIFICATION_DELAY: Micros = 6_000 * MS;

fn config(fleet_size: u32) -> Config {
    Config {
        fleet_size,
        list_poll_interval: Some(POLL_INTERVAL),
        ..Config::default()
    }
}

fn list_entry() -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId {
            address: [10, 0, 0, 1],
            port: 80,
            incarnation: 0,
        },
        zone: ZoneId(0),
        up_since: 0,
        status: EndpointStatus::Ready,
        rate: 20.0,
        destination: DestinationId(7),
        kind: EndpointKindId(0),
    }
}

/// The list poller of one forwarder, and the time of the timer that it has set.
struct PollingForwarder {
    list_poller: ListPoller,
    config: Config,
    rng: Pcg64Mcg,
    timer: Option<Micros>,
}

impl PollingForwarder {
    /// Creates a forwarder that starts at time 0.
    fn new(config: Config, seed: u64) -> PollingForwarder {
        PollingForwarder::with_cached_list(config, seed, Vec::new())
    }

    /// Creates a forwarder that starts at time 0 with a list in force, unless the list is empty.
    fn with_cached_list(config: Config, seed: u64, list: Vec<EndpointEntry>) -> PollingForwarder {
        let is_only_forwarder = config.fleet_size == 1;
        let mut forwarder = PollingForwarder {
            list_poller: ListPoller::default(),
            config,
            rng: Pcg64Mcg::seed_from_u64(seed),
            timer: None,
        };
        let cached_list = Event::EndpointListUpdated(EndpointListUpdate::Cached(list));
        let polls = forwarder.handle(0, cached_list);
        assert!(is_only_forwarder || !polls || forwarder.timer == Some(0));
        forwarder
    }

    /// Creates the forwarders of a fleet that starts at time 0.
    fn fleet(fleet_size: u32, seed: u64) -> Vec<PollingForwarder> {
        (0..fleet_size)
            .map(|number| PollingForwarder::new(config(fleet_size), seed << 32 | u64::from(number)))
            .collect()
    }

    /// Handles an event, and returns whether the forwarder polls.
    fn handle(&mut self, now: Micros, event: Event) -> bool {
        let mut actions = Vec::new();
        self.list_poller
            .handle_event(now, &event, &self.config, &mut self.rng, &mut actions);
        for action in &actions {
            if let Action::SetTimer { delay, .. } = action {
                self.timer = Some(now + delay);
            }
        }
        actions.contains(&Action::WatchEndpointList { enabled: true })
    }

    /// Fires the timer if it is due, and returns whether the forwarder polls.
    fn fire_timer(&mut self, now: Micros) -> bool {
        let is_due = self.timer.take_if(|at| *at <= now).is_some();
        is_due && self.handle(now, Event::TimerFired { token: POLL_TIMER })
    }

    fn fail_poll(&mut self, now: Micros) {
        self.handle(now, Event::EndpointListUpdated(EndpointListUpdate::Failed));
    }

    /// Returns the time at which the next poll is due.
    fn next_poll_at(&self) -> Micros {
        self.timer.expect("a poll must be scheduled")
    }

    /// Sends each poll when it is due, and fails it after `fails_after`. Returns the delays between
    /// each failure and the next poll.
    fn delays_after_failures(&mut self, failures: usize, fails_after: Micros) -> Vec<Micros> {
        let mut delays = Vec::new();
        for _ in 0..failures {
            let polled_at = self.next_poll_at();
            self.fire_timer(polled_at);
            let failed_at = polled_at + fails_after;
            self.fail_poll(failed_at);
            delays.push(self.next_poll_at() - failed_at);
        }
        delays
    }
}

#[test]
fn sends_first_poll_within_half_the_interval_and_at_once_without_peers() {
    for fleet_size in [1, 2, 50, 100_000] {
        let delay = PollingForwarder::new(config(fleet_size), 1).next_poll_at();
        assert!(
            delay <= POLL_INTERVAL / 2 && (fleet_size > 1 || delay == 0),
            "{fleet_size} forwarders: the first poll came after {delay} µs"
        );
    }
}

/// Guards against deliveries that wait for longer than discovery takes to answer a fleet: the first
/// poll is sent sooner where no list is in force.
#[test]
fn sends_first_poll_sooner_while_deliveries_wait_for_it() {
    const FLEET_SIZE: u32 = 100;
    let awaited_window = Micros::from(FLEET_SIZE - 1) * AWAITED_POLL_SPREAD_US;
    let first_delays = |list: Vec<EndpointEntry>| -> Vec<Micros> {
        let first_delay = |seed| {
            PollingForwarder::with_cached_list(config(FLEET_SIZE), seed, list.clone())
                .next_poll_at()
        };
        (0..100).map(first_delay).collect()
    };
    let awaited = first_delays(Vec::new());
    assert!(
        awaited.iter().all(|delay| *delay < awaited_window),
        "expected each poll within {awaited_window} µs, got {awaited:?}"
    );
    let with_list = first_delays(vec![list_entry()]);
    assert!(
        with_list.iter().any(|delay| *delay > awaited_window),
        "expected polls over twice the window, got {with_list:?}"
    );
}

#[test]
fn consecutive_failures_lengthen_delay_up_to_poll_interval() {
    for fleet_size in [1, 100] {
        let mut forwarder = PollingForwarder::new(config(fleet_size), 2);
        let delays = forwarder.delays_after_failures(40, POLL_TIMEOUT);
        assert!(
            delays
                .iter()
                .all(|delay| (1..=POLL_INTERVAL).contains(delay)),
            "delays must be within 1 µs and the poll interval: {delays:?}"
        );
        assert!(
            delays.iter().any(|delay| *delay >= POLL_INTERVAL / 2),
            "a delay must reach half the poll interval: {delays:?}"
        );
    }
}

#[test]
fn restarts_failure_count_after_long_answered_poll() {
    for fleet_size in [1, 100] {
        let mut forwarder = PollingForwarder::new(config(fleet_size), 2);
        forwarder.delays_after_failures(40, POLL_TIMEOUT);
        let polled_at = forwarder.next_poll_at();
        forwarder.fire_timer(polled_at);
        forwarder.fail_poll(polled_at + 2 * POLL_INTERVAL);
        assert_eq!(forwarder.list_poller.consecutive_failures, 1);
    }
}

/// Polls fail by a rejection, by a broken connection, or by a silence of the longest duration.
#[test]
fn next_answer_arrives_within_notification_delay_after_any_failure() {
    for fleet_size in [1, 20, 350] {
        for poll_interval in [POLL_INTERVAL, 60 * POLL_INTERVAL] {
            for fails_after in [REJECTION_TIME, 1_000 * MS, MAX_POLL_SILENCE] {
                for seed in 0..200 {
                    check_delays_between_polls(fleet_size, poll_interval, fails_after, seed);
                }
            }
        }
    }
}

fn check_delays_between_polls(
    fleet_size: u32,
    poll_interval: Micros,
    fails_after: Micros,
    seed: u64,
) {
    let mut forwarder = PollingForwarder::new(config(fleet_size), seed);
    forwarder.config.list_poll_interval = Some(poll_interval);
    forwarder.config.list_notification_delay = Some(NOTIFICATION_DELAY);
    for failures in 1..=20 {
        let polled_at = forwarder.next_poll_at();
        // A forwarder without peers sends its first poll when it starts.
        assert!(forwarder.fire_timer(polled_at) || fleet_size == 1 && failures == 1);
        forwarder.fail_poll(polled_at + fails_after);
        let time_between_polls = forwarder.next_poll_at() - polled_at;
        assert!(
            time_between_polls + ANSWER_ALLOWANCE_US <= NOTIFICATION_DELAY,
            "{fleet_size} forwarders, {failures} failures: {time_between_polls} µs to the next poll"
        );
        assert!(
            time_between_polls > fails_after,
            "{fleet_size} forwarders: the next poll must be delayed"
        );
    }
    // A watch that was answered for long receives no more answers. The forwarder detects the
    // silence after its longest duration.
    let polled_at = forwarder.next_poll_at();
    assert!(forwarder.fire_timer(polled_at));
    let noticed_at = polled_at + 2 * POLL_INTERVAL + MAX_POLL_SILENCE;
    forwarder.fail_poll(noticed_at);
    let time_without_watch = MAX_POLL_SILENCE + forwarder.next_poll_at() - noticed_at;
    assert!(
        time_without_watch + ANSWER_ALLOWANCE_US <= NOTIFICATION_DELAY,
        "{fleet_size} forwarders: {time_without_watch} µs from a silent watch to a new one"
    );
}

/// Covers a silence that is reported slightly late, as on sockets, and small fleets, whose window
/// is nearly empty.
#[test]
fn consecutive_failures_lengthen_delay_under_notification_delay() {
    for (fleet_size, fails_after) in [
        (1, REJECTION_TIME),
        (1, MAX_POLL_SILENCE + 30 * MS),
        (3, MAX_POLL_SILENCE + 30 * MS),
    ] {
        let mut forwarder = PollingForwarder::new(config(fleet_size), 2);
        forwarder.config.list_notification_delay = Some(NOTIFICATION_DELAY);
        let delays = forwarder.delays_after_failures(8, fails_after);
        assert!(
            delays[0] < 300 * MS && delays[7] >= 1_000 * MS,
            "{fleet_size} forwarders: the delays must grow from under 300 ms to 1 s: {delays:?}"
        );
    }
}

#[test]
fn first_answer_arrives_within_notification_delay_for_long_poll_interval() {
    for seed in 0..200 {
        let config_with_long_interval = Config {
            list_poll_interval: Some(60 * POLL_INTERVAL),
            list_notification_delay: Some(NOTIFICATION_DELAY),
            ..config(350)
        };
        let forwarder = PollingForwarder::new(config_with_long_interval, seed);
        assert!(forwarder.next_poll_at() + ANSWER_ALLOWANCE_US <= NOTIFICATION_DELAY);
    }
}
