//! Thirty forwarders and one destination that fails for ten seconds and then warms up. All calls
//! and health checks that they send together must stay within the limit of the service rules, with
//! a tolerance for chance.

#[path = "../common/mod.rs"]
mod common;

mod budget;
mod fleet;

use fleet::{Case, Fault, Fleet};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Capacities of the destination when it is warm, in calls per second.
const CAPACITIES: [f32; 4] = [3.0, 12.0, 40.0, 150.0];

/// Messages per second that are submitted to each forwarder.
const SUBMISSION_RATES: [f64; 4] = [0.1, 0.3, 1.0, 6.0];

/// Results of all cases of one seed.
#[derive(Default)]
struct SeedReport {
    /// Largest ratio of the calls in one overload window to the limit.
    max_limit_share: f64,
    /// Descriptions of the cases that exceeded the limit.
    exceeding_cases: Vec<String>,
}

impl SeedReport {
    fn run_case(&mut self, case: Case) {
        let mut fleet = Fleet::new(case);
        fleet.run_until_warm();
        let budget = &fleet.budget;
        println!(
            "{case:?}: {:.2} of the limit, {} delivered",
            budget.max_limit_share, fleet.delivered_after_return
        );
        assert!(
            fleet.delivered_after_return > 0,
            "{case:?}: expected a delivery after the return of the destination"
        );
        self.max_limit_share = self.max_limit_share.max(budget.max_limit_share);
        if let Some(excess) = &budget.first_excess {
            self.exceeding_cases.push(format!("{case:?}: {excess}"));
        }
    }
}

fn run_seed(seed: u64, fault: Fault) -> SeedReport {
    let mut report = SeedReport::default();
    for may_health_check in [true, false] {
        for capacity in CAPACITIES {
            for submission_rate in SUBMISSION_RATES {
                report.run_case(Case {
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

/// Runs all cases of one fault, with a thread for each seed, and checks that none exceeds the
/// limit.
fn check_all_cases(fault: Fault) {
    let reports: Vec<SeedReport> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| scope.spawn(move || run_seed(seed, fault)))
            .collect();
        threads
            .into_iter()
            .map(|thread| {
                thread
                    .join()
                    .expect("all cases of a seed should run without a panic")
            })
            .collect()
    });
    for report in reports {
        assert!(
            report.exceeding_cases.is_empty(),
            "expected all cases within the limit:\n{}",
            report.exceeding_cases.join("\n")
        );
        assert!(
            report.max_limit_share > 0.3,
            "expected the fleet to use more than 0.3 of the limit, used {:.2}",
            report.max_limit_share
        );
    }
}

#[test]
fn fleet_does_not_overload_warming_destination_after_errors() {
    check_all_cases(Fault::Errors);
}

#[test]
fn fleet_does_not_overload_warming_destination_after_refused_connections() {
    check_all_cases(Fault::RefusedConnections);
}

#[test]
fn fleet_does_not_overload_warming_destination_after_missing_responses() {
    check_all_cases(Fault::NoResponses);
}
