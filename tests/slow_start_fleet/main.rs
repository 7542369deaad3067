//! Thirty forwarders and one destination that fails for ten seconds and then warms up. All that
//! they send it together stays within what the service rules allow, with some slack for chance.

#[path = "../common/mod.rs"]
mod common;

mod budget;
mod fleet;

use fleet::{Case, Fault, Fleet};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Calls per second that the destination takes.
const CAPACITIES: [f32; 4] = [3.0, 12.0, 40.0, 150.0];

/// Messages per second that are submitted to each forwarder.
const SUBMISSION_RATES: [f64; 4] = [0.1, 0.3, 1.0, 6.0];

/// What came of all cases of one seed.
#[derive(Default)]
struct SeedReport {
    /// The largest part of the limit that the calls of one window made up.
    largest_part: f64,
    /// The cases that exceeded the limit, in words.
    exceeded: Vec<String>,
}

impl SeedReport {
    fn add(&mut self, case: Case) {
        let mut fleet = Fleet::new(case);
        fleet.run();
        let budget = &fleet.budget;
        println!(
            "{case:?}: {:.2} of the limit, {} delivered",
            budget.largest_part, fleet.delivered
        );
        assert!(
            fleet.delivered > 0,
            "{case:?}: nothing is delivered after the return"
        );
        self.largest_part = self.largest_part.max(budget.largest_part);
        if let Some(excess) = &budget.first_excess {
            self.exceeded.push(format!("{case:?}: {excess}"));
        }
    }
}

fn run_seed(seed: u64, fault: Fault) -> SeedReport {
    let mut report = SeedReport::default();
    for may_health_check in [true, false] {
        for capacity in CAPACITIES {
            for submission_rate in SUBMISSION_RATES {
                report.add(Case {
                    seed,
                    may_health_check,
                    capacity,
                    submission_rate,
                    fault,
                });
            }
        }
    }
    report
}

/// Runs all cases of one fault, each seed on a thread of its own.
fn check_all_cases(fault: Fault) {
    let reports: Vec<SeedReport> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| scope.spawn(move || run_seed(seed, fault)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("all cases run"))
            .collect()
    });
    for report in reports {
        assert!(
            report.exceeded.is_empty(),
            "beyond the limit:\n{}",
            report.exceeded.join("\n")
        );
        assert!(
            report.largest_part > 0.3,
            "the fleet hardly calls: {:.2} of the limit",
            report.largest_part
        );
    }
}

#[test]
fn a_destination_that_answered_with_errors_is_not_overloaded_as_it_warms_up() {
    check_all_cases(Fault::Errors);
}

#[test]
fn a_destination_that_refused_connections_is_not_overloaded_as_it_warms_up() {
    check_all_cases(Fault::RefusedConnections);
}

#[test]
fn a_destination_that_did_not_answer_is_not_overloaded_as_it_warms_up() {
    check_all_cases(Fault::NoAnswers);
}
