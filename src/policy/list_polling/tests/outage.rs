//! Tests of a fleet whose watches all receive no more answers because discovery is down, and of its
//! recovery when discovery returns.

use super::discovery::Discovery;
use super::*;

/// Time from which the watches receive no answers, in µs.
const SILENT_SINCE: Micros = 2 * POLL_INTERVAL;

/// Time between discovery's return and the end of the simulation, in µs.
const RECOVERY_TIME: Micros = 30_000 * MS;

/// An outage of discovery.
#[derive(Clone, Copy)]
struct Outage {
    fleet_size: u32,
    /// Time in which discovery processes one poll, in µs.
    poll_cost: Micros,
    /// Discovery rejects a poll that would be answered only after a longer time, in µs.
    max_wait: Micros,
    /// Time for which discovery is down, in µs.
    duration: Micros,
    notification_delay: Option<Micros>,
    /// Time after which a poll without an answer fails, in µs.
    poll_timeout: Micros,
    /// Time after a poll up to which its answer is accepted even if the poll has failed, in µs.
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

/// The recovery of the fleet. Times are in µs since discovery's return; a value near `Micros::MAX`
/// means never.
#[derive(Debug)]
struct Recovery {
    /// Time of the first poll of each forwarder.
    first_polls: Vec<Micros>,
    /// Time of the answer to each forwarder.
    answers: Vec<Micros>,
    /// Number of polls in the busiest second.
    max_polls_per_second: usize,
    poll_count: usize,
}

impl Recovery {
    /// Returns the number of forwarders answered within `seconds` of discovery's return.
    fn answered_within(&self, seconds: Micros) -> usize {
        let in_time = |at: &&Micros| **at <= seconds * 1_000 * MS;
        self.answers.iter().filter(in_time).count()
    }
}

/// A simulated forwarder and the state of its polls.
struct SimulatedForwarder {
    polling: PollingForwarder,
    /// Time at which the poll in flight is answered.
    answer_at: Option<Micros>,
    /// Time at which the latest poll that discovery accepted, but that has since failed, is
    /// answered.
    late_answer_at: Option<Micros>,
    fails_at: Option<Micros>,
    /// Time of the first poll after discovery's return.
    first_poll_at: Option<Micros>,
    answered_at: Option<Micros>,
}

impl SimulatedForwarder {
    /// Creates a forwarder that detects at `fails_at` that its watch receives no answers.
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

    /// Records an answer that has arrived. If both the last poll and a failed poll are answered,
    /// the answer to the last poll counts, even if it is the later one.
    fn check_answers(&mut self, now: Micros) {
        let is_in = |at: &Micros| *at <= now;
        let late_answer = self.late_answer_at.filter(is_in);
        self.answered_at = self.answer_at.filter(is_in).or(late_answer);
    }

    /// Sends a poll to discovery, which must have returned.
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
            // Only the latest accepted poll is still answered. A rejected poll does not replace it.
            if let Some(answer_at) = self.answer_at.take() {
                self.late_answer_at = Some(answer_at);
            }
            self.polling.fail_poll(now);
        }
    }
}

/// Simulates the outage and the half minute after discovery's return.
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

/// Returns the largest number of `times` within one second that starts at one of them.
fn max_within_a_second(times: &[Micros]) -> usize {
    let within_a_second_from = |from: &Micros| {
        let second = *from..from + 1_000 * MS;
        times.iter().filter(|at| second.contains(at)).count()
    };
    times.iter().map(within_a_second_from).max().unwrap_or(0)
}

/// Covers a discovery service that can process the polls of all forwarders within the notification
/// delay.
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
            let last = recovery
                .answers
                .iter()
                .max()
                .expect("the fleet must not be empty");
            assert!(
                *last <= NOTIFICATION_DELAY,
                "{poll_cost} µs per poll, seed {seed}: the last answer arrived after {last} µs"
            );
            assert!(
                recovery.max_polls_per_second <= 175,
                "{} polls in a second, expected at most 175",
                recovery.max_polls_per_second
            );
        }
    }
}

/// Guards against repeated polls that keep discovery overloaded, which the delay window prevents.
/// At least a third of the polls that discovery can process must reach the fleet as answers,
/// including late ones.
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
                        "{poll_cost} µs per poll, longest wait {max_wait} µs: \
                         {answered} of {possible} answered in {seconds} s, expected a third"
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

/// Prints the means over five seeds; for the first polls and the busiest second, the maximum over
/// all seeds.
fn print_row(name: &str, outage: Outage) {
    let runs: Vec<Recovery> = (0..5).map(|seed| recover(outage, seed)).collect();
    let first_polls = runs.iter().flat_map(|run| &run.first_polls);
    let last_first_poll = first_polls.max().expect("each run must have polls") / MS;
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
        busiest.expect("there must be runs"),
    );
}
