//! The figures of an outcome, in the order in which the page and the terminal show them.

use crate::tally::{Clock, Outcome};

/// A figure of an outcome: its label and the function that formats its value.
pub(super) type Figure = (&'static str, fn(&Outcome) -> String);

/// All figures. The text for the terminal pads labels to 38 characters, so none may be longer.
pub(super) const FIGURES: [Figure; 20] = [
    ("clock", |outcome| {
        if outcome.clock == Clock::Simulated {
            "simulated".into()
        } else {
            "sockets".into()
        }
    }),
    ("seed", |outcome| outcome.seed.to_string()),
    ("forwarder", |outcome| outcome.subject.clone()),
    ("messages due", |outcome| outcome.counts.due.to_string()),
    ("served", |outcome| format!("{:.4}", outcome.served_share())),
    ("service (share of the weight)", |outcome| {
        format!("{:.4}", outcome.service)
    }),
    ("served by the first attempt", |outcome| {
        format!("{:.4}", outcome.first_attempt_share())
    }),
    ("calls per message", |outcome| {
        format!("{:.3}", outcome.calls_per_message())
    }),
    ("p50, p99, p99.9 ms", |outcome| {
        let ms = |micros: u64| micros as f64 / 1e3;
        format!(
            "{:.1}, {:.1}, {:.1}",
            ms(outcome.latency.p50),
            ms(outcome.latency.p99),
            ms(outcome.latency.p999)
        )
    }),
    ("failed", |outcome| outcome.counts.failed.to_string()),
    ("rejections", |outcome| {
        outcome.counts.rejections.to_string()
    }),
    ("given up by clients", |outcome| {
        outcome.counts.given_up.to_string()
    }),
    ("lost with a state directory", |outcome| {
        outcome.counts.gone.to_string()
    }),
    ("open at the end", |outcome| outcome.counts.open.to_string()),
    ("calls, health checks", |outcome| {
        format!("{}, {}", outcome.counts.calls, outcome.counts.health_checks)
    }),
    ("outcomes of calls", |outcome| {
        outcome
            .counts
            .outcomes
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect::<Vec<_>>()
            .join(", ")
    }),
    ("endpoint overloads, blamed or not", |outcome| {
        outcome.falls.to_string()
    }),
    ("rules broken", |outcome| match outcome.broken.is_empty() {
        true => "none".into(),
        false => outcome
            .broken
            .iter()
            .map(|(rule, count)| format!("{rule} {count}"))
            .collect::<Vec<_>>()
            .join(", "),
    }),
    (
        "load tool, receivers late at p99, us",
        |outcome| match outcome.clock {
            Clock::Simulated => "-".into(),
            Clock::Sockets => format!("{}, {}", outcome.load_late, outcome.receivers_late),
        },
    ),
    ("verdict", |outcome| {
        match (outcome.misses().is_empty(), &outcome.void) {
            (_, Some(_)) => "void".into(),
            (true, _) => "as expected".into(),
            _ => "misses expectations".into(),
        }
    }),
];
