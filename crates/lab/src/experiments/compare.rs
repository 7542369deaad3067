//! Two variants under the same seeds: differences pair by pair, bootstrap intervals, and a plain verdict.

use crate::random::seeded_rng;
use crate::tally::Outcome;
use rand::Rng;
use serde::Serialize;
use std::fmt;

/// Resamples of the pairs for an interval.
const RESAMPLES: usize = 4000;
/// Of the figure, a difference that nobody would see: the same to four places.
const UNSEEN: f64 = 1e-4;

/// How B stands against A.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// B is better.
    Better,
    /// B is worse.
    Worse,
    /// The runs don't tell.
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

/// Two variants compared.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Pairs of runs.
    pub pairs: usize,
    /// The figures of both.
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
    let mut rng = seeded_rng(seed, "bootstrap", 0);
    let n = differences.len();
    let mut resampled_mean = || {
        let drawn = (0..n).map(|_| differences[rng.random_range(0..n)]);
        drawn.sum::<f64>() / n as f64
    };
    let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resampled_mean()).collect();
    means.sort_by(f64::total_cmp);
    (
        means[RESAMPLES * 25 / 1000],
        means[RESAMPLES * 975 / 1000 - 1],
    )
}

/// Compares runs of A and of B, paired by their places.
pub fn compare(a: &[Outcome], b: &[Outcome]) -> Comparison {
    let pairs = a.len().min(b.len());
    let figures: Vec<Figure> = MEASURES
        .iter()
        .map(|measure| measure.compare(&a[..pairs], &b[..pairs]))
        .collect();
    let broken = [a, b].map(count_broken);
    let verdict = match broken {
        [0, in_b] if in_b > 0 => Verdict::Worse,
        [in_a, 0] if in_a > 0 => Verdict::Better,
        _ => figures[0].verdict,
    };
    Comparison {
        pairs,
        figures,
        broken,
        verdict,
    }
}

fn count_broken(outcomes: &[Outcome]) -> u64 {
    let counts = outcomes.iter().flat_map(|outcome| outcome.broken.values());
    counts.sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Measure {
    /// Compares this figure of paired runs.
    fn compare(&self, a: &[Outcome], b: &[Outcome]) -> Figure {
        let a: Vec<f64> = a.iter().map(self.of).collect();
        let b: Vec<f64> = b.iter().map(self.of).collect();
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let difference = mean(&differences);
        let (low, high) = interval(&differences, 1);
        let unseen = difference.abs() < UNSEEN * mean(&a).abs();
        // One pair shows no spread: nothing is told by it.
        let verdict = match a.len() < 2 || unseen {
            true => Verdict::CantTell,
            false => self.verdict(low, high),
        };
        Figure {
            name: self.name.into(),
            a: mean(&a),
            b: mean(&b),
            difference,
            low,
            high,
            verdict,
        }
    }

    /// What the interval of the difference B - A says.
    fn verdict(&self, low: f64, high: f64) -> Verdict {
        let sign = if self.more_is_better { 1.0 } else { -1.0 };
        let (low, high) = (low * sign, high * sign);
        if low.min(high) > 0.0 {
            Verdict::Better
        } else if low.max(high) < 0.0 {
            Verdict::Worse
        } else {
            Verdict::CantTell
        }
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
