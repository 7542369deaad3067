//! A fleet whose watches all fall silent as discovery goes down, and discovery's recovery.

use super::discovery::Discovery;
use super::*;

/// When the watches fall silent.
const SILENT_SINCE: Micros = 2 * POLL_INTERVAL;

/// The simulation ends this long after discovery's return.
const RECOVERY_TIME: Micros = 30_000 * MS;

/// An outage of discovery.
#[derive(Clone, Copy)]
struct Outage {
    fleet_size: u32,
    /// µs of discovery's time that a poll takes.
    poll_cost: Micros,
    /// Discovery rejects a poll that would wait for longer.
    max_wait: Micros,
    /// How long discovery is down.
    duration: Micros,
    notification_delay: Option<Micros>,
    /// A poll without an answer fails after this time.
    poll_timeout: Micros,
    /// An answer to a poll that failed counts all the same, up to this time after the poll.
    late_answer_limit: Micros,
}

const OUTAGE: Outage = Outage {
    fleet_size: 350,
    poll_cost: 16 * MS,
    max_wait: 3 * POLL_TIMEOUT,
    duration: 8_000 * MS,
    notification_delay: Some(NOTIFICATION_DELAY),
    poll_timeout: MAX_POLL_SILENCE,
    late_answer_limit: 7_000 * MS,
};

/// How the fleet recovered. Times are in µs from discovery's return; `Micros::MAX` or near it is
/// never.
#[derive(Debug)]
struct Recovery {
    /// The first poll of each forwarder.
    first_polls: Vec<Micros>,
    /// The answer to each forwarder.
    answers: Vec<Micros>,
    /// Polls in the busiest second.
    max_polls_per_second: usize,
    poll_count: usize,
}

impl Recovery {
    /// Forwarders answered within so many seconds.
    fn answered_within(&self, seconds: Micros) -> usize {
        let in_time = |at: &&Micros| **at <= seconds * 1_000 * MS;
        self.answers.iter().filter(in_time).count()
    }
}

/// A forwarder and its polls.
struct SimulatedForwarder {
    polling: PollingForwarder,
    /// When the poll in flight is answered.
    answer_at: Option<Micros>,
    /// When the last poll that failed and was accepted is answered.
    late_answer_at: Option<Micros>,
    fails_at: Option<Micros>,
    /// The first poll after discovery's return.
    first_poll_at: Option<Micros>,
    answered_at: Option<Micros>,
}

impl SimulatedForwarder {
    /// A forwarder whose watch falls silent, which it notices at `fails_at`.
    fn new(mut polling: PollingForwarder, outage: &Outage, fails_at: Micros) -> SimulatedForwarder {
        polling.config.list_notification_delay = outage.notification_delay;
        polling.timer = None;
        polling.list_poller.next_poll_at = None;
        SimulatedForwarder {
            polling,
            answer_at: None,
            late_answer_at: None,
            fails_at: Some(fails_at),
            first_poll_at: None,
            answered_at: None,
        }
    }

    /// Notes an answer that is in. Where both the last poll and one that failed are answered, the
    /// last poll counts, even if its answer is the later one.
    fn check_answers(&mut self, now: Micros) {
        let is_in = |at: &Micros| *at <= now;
        let late_answer = self.late_answer_at.filter(is_in);
        self.answered_at = self.answer_at.filter(is_in).or(late_answer);
    }

    /// Sends a poll to discovery, which is back.
    fn poll(&mut self, now: Micros, outage: &Outage, discovery: &mut Discovery) {
        self.first_poll_at.get_or_insert(now);
        let Some(answer_at) = discovery.accept(now) else {
            self.fails_at = Some(now + REJECTION_TIME);
            return;
        };
        let response_time = answer_at - now;
        let is_accepted = response_time <= outage.poll_timeout.max(outage.late_answer_limit);
        let times_out = response_time > outage.poll_timeout;
        self.answer_at = is_accepted.then_some(answer_at);
        self.fails_at = times_out.then_some(now + outage.poll_timeout);
    }

    fn check_failure(&mut self, now: Micros) {
        if self.fails_at.take_if(|at| *at <= now).is_some() {
            // Only the last accepted poll is still answered; a rejected one leaves it in place.
            if let Some(answer_at) = self.answer_at.take() {
                self.late_answer_at = Some(answer_at);
            }
            self.polling.fail_poll(now);
        }
    }
}

/// Simulates the outage and half a minute from discovery's return.
fn recover(outage: Outage, seed: u64) -> Recovery {
    let discovery_returns_at = SILENT_SINCE + outage.duration;
    let mut discovery = Discovery::new(outage.poll_cost, outage.max_wait);
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Vec::new();
    for polling in PollingForwarder::fleet(outage.fleet_size, seed) {
        let fails_at = SILENT_SINCE + rng.random_range(MS..=outage.poll_timeout);
        fleet.push(SimulatedForwarder::new(polling, &outage, fails_at));
    }
    let mut poll_times = Vec::new();
    for now in (SILENT_SINCE..discovery_returns_at + RECOVERY_TIME).step_by(MS as usize) {
        for forwarder in &mut fleet {
            forwarder.check_answers(now);
            if forwarder.answered_at.is_some() {
                continue;
            }
            if forwarder.polling.fire_timer(now) {
                if now < discovery_returns_at {
                    forwarder.fails_at = Some(now + outage.poll_timeout);
                } else {
                    poll_times.push(now);
                    forwarder.poll(now, &outage, &mut discovery);
                }
            }
            forwarder.check_failure(now);
        }
    }
    let since_discovery_return = |at: Option<Micros>| {
        at.unwrap_or(Micros::MAX)
            .saturating_sub(discovery_returns_at)
    };
    Recovery {
        first_polls: fleet
            .iter()
            .map(|forwarder| since_discovery_return(forwarder.first_poll_at))
            .collect(),
        answers: fleet
            .iter()
            .map(|forwarder| since_discovery_return(forwarder.answered_at))
            .collect(),
        max_polls_per_second: max_within_a_second(&poll_times),
        poll_count: poll_times.len(),
    }
}

/// The most of these times that lie within one second from one of them.
fn max_within_a_second(times: &[Micros]) -> usize {
    let within_a_second_from = |from: &Micros| {
        let second = *from..from + 1_000 * MS;
        times.iter().filter(|at| second.contains(at)).count()
    };
    times.iter().map(within_a_second_from).max().unwrap_or(0)
}

/// Where discovery can work off the polls of all within the time of notification.
#[test]
fn fleet_gets_list_within_notification_delay_after_outage() {
    for poll_cost in [1, 8, 14].map(|ms| ms * MS) {
        for seed in 0..5 {
            let recovery = recover(
                Outage {
                    poll_cost,
                    ..OUTAGE
                },
                seed,
            );
            let last = recovery.answers.iter().max().expect("a fleet");
            assert!(
                *last <= NOTIFICATION_DELAY,
                "{poll_cost} µs a poll, seed {seed}: the last answer after {last} µs"
            );
            assert!(
                recovery.max_polls_per_second <= 175,
                "{} polls in a second",
                recovery.max_polls_per_second
            );
        }
    }
}

/// The window exists for this: repeated polls do not keep an overloaded discovery down. At least a
/// third of what it can work off reaches the fleet, late answers included.
#[test]
fn overloaded_discovery_answers_a_third_of_possible_polls() {
    for poll_cost in [80, 40, 25].map(|ms| ms * MS) {
        for max_wait in [1_500, 6_000].map(|ms| ms * MS) {
            for seed in 0..5 {
                let outage = Outage {
                    poll_cost,
                    max_wait,
                    ..OUTAGE
                };
                let recovery = recover(outage, seed);
                for seconds in [10, 20, 30] {
                    let answered = recovery.answered_within(seconds) as u64;
                    let possible = (seconds * 1_000 * MS / poll_cost).min(350);
                    assert!(
                        3 * answered >= possible,
                        "{poll_cost} µs a poll, longest wait {max_wait} µs: \
                         {answered} of {possible} answered in {seconds} s"
                    );
                }
            }
        }
    }
}

/// Prints the table of `docs/design/fleet-growth.md`.
///
///     cargo test --lib trade -- --ignored --nocapture
#[test]
#[ignore = "prints a table"]
fn prints_trade_off_of_longest_delay() {
    let unbounded = Outage {
        notification_delay: None,
        poll_timeout: 7_000 * MS,
        late_answer_limit: 0,
        ..OUTAGE
    };
    let bounded = Outage {
        late_answer_limit: 0,
        ..OUTAGE
    };
    for poll_cost in [80, 40, 25, 20, 16, 8, 1].map(|ms| ms * MS) {
        for (name, outage) in [
            ("before", unbounded),
            ("bounded", bounded),
            ("bounded, late answers accepted", OUTAGE),
        ] {
            print_row(
                name,
                Outage {
                    poll_cost,
                    ..outage
                },
            );
        }
    }
}

/// Prints the means of five seeds, but for the first polls and the busiest second, which are the
/// most of all.
fn print_row(name: &str, outage: Outage) {
    let runs: Vec<Recovery> = (0..5).map(|seed| recover(outage, seed)).collect();
    let first_polls = runs.iter().flat_map(|run| &run.first_polls);
    let last_first_poll = first_polls.max().expect("polls") / MS;
    let busiest = runs.iter().map(|run| run.max_polls_per_second).max();
    let polls = runs.iter().map(|run| run.poll_count).sum::<usize>() / runs.len();
    let answered = |seconds: Micros| {
        let answered = runs.iter().map(|run| run.answered_within(seconds));
        answered.sum::<usize>() / runs.len()
    };
    println!(
        "| {} | {name} | {last_first_poll} | {} | {} | {} | {} | {polls} |",
        1_000 * MS / outage.poll_cost,
        answered(6),
        answered(15),
        answered(30),
        busiest.expect("runs"),
    );
}
