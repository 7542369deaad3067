//! What a run came to: counts, latencies from when a packet was due, and what happened second by second. Owns the figures
//! of one run; its size follows the length of the run, not the packets.

use crate::oracle::Break;
use crate::scenario::{Expected, Scenario};
use hdrhistogram::Histogram;
use opalpulley::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Columns of the series at most: more than a plot shows.
const COLUMNS: u64 = 600;
const LONGEST: u64 = 24 * 3600 * 1_000_000; // µs that a latency may have

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Clock {
    Simulated,
    Sockets,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    pub due: u64,
    pub served: u64,
    /// Within the contract time.
    pub on_time: u64,
    /// By their first trip.
    pub first_trip: u64,
    /// By another than the first.
    pub retried: u64,
    pub written_off: u64,
    /// Deferred, and the client did not come again in time.
    pub given_up: u64,
    /// Lost with a forwarder's folder.
    pub gone: u64,
    /// Not over when the run ended.
    pub open: u64,
    /// Hand-ins, with those that came again.
    pub hand_ins: u64,
    pub deferrals: u64,
    /// Hand-ins that found no forwarder, or one without room.
    pub turned_away: u64,
    pub calls: u64,
    pub probes: u64,
    pub handshakes: u64,
    /// Outcomes of calls, by name.
    pub outcomes: BTreeMap<String, u64>,
}

/// µs, counted from when a packet was due.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub mean: f64,
    pub p50: u64,
    pub p90: u64,
    pub p99: u64,
    pub p999: u64,
    pub most: u64,
}

/// One column of the series.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Column {
    pub due: u64,
    pub served: u64,
    pub deferred: u64,
    pub written_off: u64,
    pub calls: u64,
    pub good: u64,
    pub refused: u64,
    pub failed: u64,
    pub calls_out: u64,
    pub p50: u64,
    pub p99: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spell {
    pub what: String,
    pub from: Micros,
    pub until: Micros,
}

/// The whole outcome of a run, as `report` reads it. Nothing in a simulated one depends on the machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub scenario: String,
    pub shows: String,
    pub clock: Clock,
    pub seed: u64,
    pub subject: String,
    pub lasts: Micros,
    pub counts: Counts,
    pub latency: Latency,
    /// Share of the worth that was due: in full within the contract time, less after it.
    pub service: f64,
    pub broken: BTreeMap<String, u64>,
    pub breaks: Vec<Break>,
    /// Targets that fell over as they came back, blamed or not.
    pub falls: u64,
    /// Why the run says nothing, if it does not.
    pub void: Option<String>,
    /// How late the load tool handed packets in, 99th percentile, µs (sockets).
    pub load_late: u64,
    /// How late the receivers answered, 99th percentile, µs (sockets).
    pub receivers_late: u64,
    pub column: Micros,
    pub columns: Vec<Column>,
    pub spells: Vec<Spell>,
    pub expect: Expected,
}

impl Outcome {
    pub fn served_share(&self) -> f64 {
        self.counts.served as f64 / self.counts.due.max(1) as f64
    }

    pub fn first_trip_share(&self) -> f64 {
        self.counts.first_trip as f64 / self.counts.due.max(1) as f64
    }

    pub fn calls_a_packet(&self) -> f64 {
        self.counts.calls as f64 / self.counts.due.max(1) as f64
    }

    /// What the run misses of what its scenario expects; nothing where all holds.
    pub fn misses(&self) -> Vec<String> {
        let mut misses: Vec<String> = self
            .broken
            .iter()
            .map(|(r, n)| format!("rule broken: {r}, {n} times"))
            .collect();
        if let Some(void) = &self.void {
            return vec![format!("void: {void}")];
        }
        let within = |name: &str, found: f64, wanted: Option<[f64; 2]>| {
            wanted
                .filter(|[least, most]| found < *least || found > *most)
                .map(|[least, most]| format!("{name} {found:.4}, expected {least} to {most}"))
        };
        misses.extend(within("served", self.served_share(), self.expect.served));
        misses.extend(within(
            "first trip",
            self.first_trip_share(),
            self.expect.first_trip,
        ));
        let most = self.expect.calls_a_packet.map(|m| [0.0, m]);
        misses.extend(within("calls a packet", self.calls_a_packet(), most));
        let p99 = match self.clock {
            Clock::Sockets => self.expect.p99_sockets.or(self.expect.p99),
            Clock::Simulated => self.expect.p99,
        };
        if let Some(p99) = p99.filter(|p| self.latency.p99 > p.0) {
            misses.push(format!(
                "p99 {} us, expected {p99} at most",
                self.latency.p99
            ));
        }
        if self.counts.open > 0 {
            misses.push(format!(
                "{} packets were still open at the end",
                self.counts.open
            ));
        }
        misses
    }
}

fn histogram() -> Histogram<u64> {
    // The bounds are constants within the library's range.
    Histogram::new_with_bounds(1, LONGEST, 3)
        .unwrap_or_else(|_| Histogram::new(3).unwrap_or_else(|_| unreachable!()))
}

/// Gathers while a run goes on.
pub struct Tally {
    pub counts: Counts,
    latencies: Histogram<u64>,
    column_latencies: Histogram<u64>,
    column: Micros,
    begin: Micros,
    columns: Vec<Column>,
    worth: f64,
    worth_due: f64,
    pub calls_out: u64,
    importances: Vec<(f64, Micros, Micros, f64)>,
    halving: bool,
}

/// What a column counts.
#[derive(Clone, Copy, Debug)]
pub enum Tick {
    Due,
    Deferred,
    WrittenOff,
    Call,
    Good,
    Refused,
    Failed,
}

impl Tally {
    pub fn new(scenario: &Scenario) -> Tally {
        let whole = scenario.lasts.0 + scenario.longest_expiry();
        Tally {
            counts: Counts::default(),
            latencies: histogram(),
            column_latencies: histogram(),
            column: (whole / COLUMNS).max(100_000),
            begin: 0,
            columns: vec![Column::default()],
            worth: 0.0,
            worth_due: 0.0,
            calls_out: 0,
            importances: scenario
                .profiles
                .iter()
                .map(|p| (p.importance, p.contract_time.0, p.expiry.0, p.late_share))
                .collect(),
            halving: scenario.forwarders.fading == crate::scenario::Fading::Halving,
        }
    }

    /// The run's first µs, where the clock does not begin with it.
    pub fn begins(&mut self, at: Micros) {
        self.begin = at;
    }

    fn at(&mut self, now: Micros) -> &mut Column {
        let now = now.saturating_sub(self.begin);
        while now >= self.columns.len() as u64 * self.column {
            let last = self.columns.len() - 1;
            if !self.column_latencies.is_empty() {
                self.columns[last].p50 = self.column_latencies.value_at_quantile(0.5);
                self.columns[last].p99 = self.column_latencies.value_at_quantile(0.99);
                self.column_latencies.reset();
            }
            self.columns.push(Column {
                calls_out: self.calls_out,
                ..Column::default()
            });
        }
        let last = self.columns.len() - 1;
        &mut self.columns[last]
    }

    pub fn tick(&mut self, now: Micros, what: Tick) {
        let column = self.at(now);
        *(match what {
            Tick::Due => &mut column.due,
            Tick::Deferred => &mut column.deferred,
            Tick::WrittenOff => &mut column.written_off,
            Tick::Call => &mut column.calls,
            Tick::Good => &mut column.good,
            Tick::Refused => &mut column.refused,
            Tick::Failed => &mut column.failed,
        }) += 1;
    }

    pub fn due(&mut self, now: Micros, profile: u16) {
        self.counts.due += 1;
        self.worth_due += self.importances[usize::from(profile)].0;
        self.tick(now, Tick::Due);
    }

    /// A packet was served, so long after it was due, by its trip of that number (from 0).
    pub fn served(&mut self, now: Micros, took: Micros, profile: u16, trip: u32, again: bool) {
        let (importance, contract, expiry, late_share) = self.importances[usize::from(profile)];
        let late = took.saturating_sub(contract) as f64;
        let kept = match self.halving {
            true => (-late / contract.max(1) as f64).exp2().max(late_share),
            false => {
                1.0 - (1.0 - late_share) * late / expiry.saturating_sub(contract).max(1) as f64
            }
        };
        self.worth += importance * kept.clamp(0.0, 1.0);
        self.counts.served += 1;
        self.counts.on_time += u64::from(took <= contract);
        match trip == 0 && !again {
            true => self.counts.first_trip += 1,
            false => self.counts.retried += 1,
        }
        self.at(now).served += 1;
        self.latencies.saturating_record(took.max(1));
        self.column_latencies.saturating_record(took.max(1));
    }

    pub fn outcome(&mut self, name: &str) {
        match self.counts.outcomes.get_mut(name) {
            Some(n) => *n += 1,
            None => _ = self.counts.outcomes.insert(name.to_owned(), 1),
        }
    }

    /// Closes the books. What is not of the tally is left to the caller.
    pub fn close(
        mut self,
        now: Micros,
        scenario: &Scenario,
        clock: Clock,
        seed: u64,
        subject: &str,
    ) -> Outcome {
        self.at(now + self.column);
        let h = &self.latencies;
        let q = |q| {
            if h.is_empty() {
                0
            } else {
                h.value_at_quantile(q)
            }
        };
        let latency = Latency {
            mean: h.mean(),
            p50: q(0.5),
            p90: q(0.9),
            p99: q(0.99),
            p999: q(0.999),
            most: h.max(),
        };
        Outcome {
            scenario: scenario.name.clone(),
            shows: scenario.shows.clone(),
            clock,
            seed,
            subject: subject.into(),
            lasts: scenario.lasts.0,
            latency,
            service: if self.worth_due > 0.0 {
                self.worth / self.worth_due
            } else {
                1.0
            },
            counts: self.counts,
            broken: BTreeMap::new(),
            breaks: Vec::new(),
            falls: 0,
            void: None,
            load_late: 0,
            receivers_late: 0,
            column: self.column,
            columns: self.columns,
            spells: scenario
                .troubles
                .iter()
                .map(|t| Spell {
                    what: t.what.name(),
                    from: t.at.0,
                    until: t.at.0 + t.lasts.0,
                })
                .collect(),
            expect: scenario.expect.clone(),
        }
    }
}

impl crate::scenario::What {
    /// As the file names it.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or("trouble").to_owned()
    }
}
