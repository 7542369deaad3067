//! Two variants under the same seeds: differences pair by pair, bootstrap intervals, and a plain verdict.

use crate::chance::stream;
use crate::tally::Outcome;
use rand::Rng;
use serde::Serialize;
use std::fmt;

const RESAMPLES: usize = 4000;
/// Of the figure, a difference that nobody would see: the same to four places.
const UNSEEN: f64 = 1e-4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    Better,
    Worse,
    CantTell,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::CantTell => "can't tell",
        })
    }
}

/// One figure of both variants: means, the mean difference B - A, and its interval.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    pub name: String,
    pub a: f64,
    pub b: f64,
    pub difference: f64,
    pub low: f64,
    pub high: f64,
    pub verdict: Verdict,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    pub pairs: usize,
    pub figures: Vec<Figure>,
    /// Rules broken by A and by B, over all runs.
    pub broken: [u64; 2],
    /// B against A, by the share of the weight that was delivered; a broken rule comes before all figures.
    pub verdict: Verdict,
}

struct Measure {
    name: &'static str,
    of: fn(&Outcome) -> f64,
    more_is_better: bool,
}

const MEASURES: [Measure; 6] = [
    Measure {
        name: "service",
        of: |o| o.service,
        more_is_better: true,
    },
    Measure {
        name: "served",
        of: Outcome::served_share,
        more_is_better: true,
    },
    Measure {
        name: "p50 ms",
        of: |o| o.latency.p50 as f64 / 1e3,
        more_is_better: false,
    },
    Measure {
        name: "p99 ms",
        of: |o| o.latency.p99 as f64 / 1e3,
        more_is_better: false,
    },
    Measure {
        name: "calls a packet",
        of: Outcome::calls_per_message,
        more_is_better: false,
    },
    Measure {
        name: "falls",
        of: |o| o.falls as f64,
        more_is_better: false,
    },
];

/// The 95 % interval of the mean of the differences, by resampling the pairs.
pub fn interval(differences: &[f64], seed: u64) -> (f64, f64) {
    if differences.is_empty() {
        return (0.0, 0.0);
    }
    let mut rng = stream(seed, "bootstrap", 0);
    let n = differences.len();
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..n)
                .map(|_| differences[rng.random_range(0..n)])
                .sum::<f64>()
                / n as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    (
        means[RESAMPLES * 25 / 1000],
        means[RESAMPLES * 975 / 1000 - 1],
    )
}

/// Runs of A and of B, paired by their places.
pub fn compare(a: &[Outcome], b: &[Outcome]) -> Comparison {
    let pairs = a.len().min(b.len());
    let figure = |m: &Measure| {
        let values = |o: &[Outcome]| o[..pairs].iter().map(m.of).collect::<Vec<f64>>();
        let (a, b) = (values(a), values(b));
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let mean = |v: &[f64]| v.iter().sum::<f64>() / v.len().max(1) as f64;
        let (low, high) = interval(&differences, 1);
        let sign = if m.more_is_better { 1.0 } else { -1.0 };
        let verdict = match (low * sign, high * sign) {
            // One pair shows no spread: nothing is told by it.
            _ if pairs < 2 || mean(&differences).abs() < UNSEEN * mean(&a).abs() => {
                Verdict::CantTell
            }
            (l, h) if l.min(h) > 0.0 => Verdict::Better,
            (l, h) if l.max(h) < 0.0 => Verdict::Worse,
            _ => Verdict::CantTell,
        };
        Figure {
            name: m.name.into(),
            a: mean(&a),
            b: mean(&b),
            difference: mean(&differences),
            low,
            high,
            verdict,
        }
    };
    let figures: Vec<Figure> = MEASURES.iter().map(figure).collect();
    let broken = [a, b].map(|o| o.iter().flat_map(|o| o.broken.values()).sum::<u64>());
    let verdict = match broken {
        [0, b] if b > 0 => Verdict::Worse,
        [a, 0] if a > 0 => Verdict::Better,
        _ => figures[0].verdict,
    };
    Comparison {
        pairs,
        figures,
        broken,
        verdict,
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16}{:>12}{:>12}{:>12}   {:<26}B is",
            "", "A", "B", "B - A", "95 % interval"
        )?;
        for x in &self.figures {
            let interval = format!("{:+.4} to {:+.4}", x.low, x.high);
            let verdict = x.verdict;
            writeln!(
                f,
                "{:<16}{:>12.4}{:>12.4}{:>+12.4}   {interval:<26}{verdict}",
                x.name, x.a, x.b, x.difference
            )?;
        }
        writeln!(
            f,
            "rules broken: A {}, B {}; {} pairs by seed",
            self.broken[0], self.broken[1], self.pairs
        )?;
        write!(
            f,
            "verdict: B is {}",
            match self.verdict {
                Verdict::CantTell =>
                    "neither better nor worse as far as these runs can tell".into(),
                verdict => verdict.to_string(),
            }
        )
    }
}
