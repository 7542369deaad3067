//! The figures of an outcome, a row each, for page and terminal.

use crate::tally::{Clock, Outcome};

/// What a table row shows of an outcome.
pub(super) type Row = (&'static str, fn(&Outcome) -> String);

pub(super) const ROWS: [Row; 20] = [
    ("clock", |o| {
        if o.clock == Clock::Simulated {
            "simulated".into()
        } else {
            "sockets".into()
        }
    }),
    ("seed", |o| o.seed.to_string()),
    ("forwarder", |o| o.subject.clone()),
    ("messages due", |o| o.counts.due.to_string()),
    ("served", |o| format!("{:.4}", o.served_share())),
    ("service (share of the weight)", |o| {
        format!("{:.4}", o.service)
    }),
    ("served by the first attempt", |o| {
        format!("{:.4}", o.first_attempt_share())
    }),
    ("calls a message", |o| {
        format!("{:.3}", o.calls_per_message())
    }),
    ("p50, p99, p99.9 ms", |o| {
        let ms = |v: u64| v as f64 / 1e3;
        format!(
            "{:.1}, {:.1}, {:.1}",
            ms(o.latency.p50),
            ms(o.latency.p99),
            ms(o.latency.p999)
        )
    }),
    ("failed", |o| o.counts.failed.to_string()),
    ("deferrals", |o| o.counts.rejections.to_string()),
    ("given up by clients", |o| o.counts.given_up.to_string()),
    ("gone with a folder", |o| o.counts.gone.to_string()),
    ("open at the end", |o| o.counts.open.to_string()),
    ("calls, probes", |o| {
        format!("{}, {}", o.counts.calls, o.counts.health_checks)
    }),
    ("outcomes of calls", |o| {
        o.counts
            .outcomes
            .iter()
            .map(|(n, c)| format!("{n} {c}"))
            .collect::<Vec<_>>()
            .join(", ")
    }),
    ("targets pushed over, blamed or not", |o| {
        o.falls.to_string()
    }),
    ("rules broken", |o| match o.broken.is_empty() {
        true => "none".into(),
        false => o
            .broken
            .iter()
            .map(|(r, n)| format!("{r} {n}"))
            .collect::<Vec<_>>()
            .join(", "),
    }),
    ("load tool, receivers late at p99, us", |o| match o.clock {
        Clock::Simulated => "-".into(),
        Clock::Sockets => format!("{}, {}", o.load_late, o.receivers_late),
    }),
    ("verdict", |o| match (o.misses().is_empty(), &o.void) {
        (_, Some(_)) => "void".into(),
        (true, _) => "as expected".into(),
        _ => "misses what is expected".into(),
    }),
];
