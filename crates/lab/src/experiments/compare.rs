//! Compares two variants that ran with the same seeds: the differences of each pair, bootstrap confidence intervals of their
//! means, and a verdict.

use crate::random::seeded_rng;
use crate::tally::Outcome;
use rand::Rng;
use serde::Serialize;
use std::fmt;

/// Number of bootstrap resamples for a confidence interval.
const BOOTSTRAP_RESAMPLES: usize = 4000;
/// Smallest mean difference that can decide a verdict, as a share of the mean of A. Smaller ones don't show in four digits.
const MIN_RELATIVE_DIFFERENCE: f64 = 1e-4;

/// The result of comparing B with A.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// B is better.
    Better,
    /// B is worse.
    Worse,
    /// The runs don't show a difference.
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

/// One figure of both variants, with the confidence interval of their difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    pub name: String,
    /// The mean over the runs of A.
    pub a: f64,
    /// The mean over the runs of B.
    pub b: f64,
    /// The mean of the differences B - A.
    pub difference: f64,
    /// The lower end of the 95 % confidence interval of the difference.
    pub low: f64,
    /// The upper end of the 95 % confidence interval of the difference.
    pub high: f64,
    /// The verdict from this figure alone.
    pub verdict: Verdict,
}

/// The comparison of two variants.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Number of pairs of runs.
    pub pairs: usize,
    /// The figures of both variants, the delivered share of the weight first.
    pub figures: Vec<Figure>,
    /// Number of rule violations in all runs of A and in all runs of B.
    pub broken: [u64; 2],
    /// Whether B is better than A. If one variant alone broke rules, it is the worse one; otherwise the share of the weight
    /// that was delivered decides.
    pub verdict: Verdict,
}

/// A figure of an outcome that is compared.
struct Metric {
    name: &'static str,
    value_of: fn(&Outcome) -> f64,
    more_is_better: bool,
}

/// The compared figures. The first one decides the verdict of the comparison. Their names are values in the JSON.
const METRICS: [Metric; 6] = [
    Metric {
        name: "service",
        value_of: |outcome| outcome.service,
        more_is_better: true,
    },
    Metric {
        name: "served",
        value_of: Outcome::served_share,
        more_is_better: true,
    },
    Metric {
        name: "p50 ms",
        value_of: |outcome| outcome.latency.p50 as f64 / 1e3,
        more_is_better: false,
    },
    Metric {
        name: "p99 ms",
        value_of: |outcome| outcome.latency.p99 as f64 / 1e3,
        more_is_better: false,
    },
    Metric {
        name: "calls a packet",
        value_of: Outcome::calls_per_message,
        more_is_better: false,
    },
    Metric {
        name: "falls",
        value_of: |outcome| outcome.falls as f64,
        more_is_better: false,
    },
];

/// Returns the 95 % bootstrap confidence interval of the mean of the differences. The resamples depend on the seed alone.
pub fn confidence_interval(differences: &[f64], seed: u64) -> (f64, f64) {
    if differences.is_empty() {
        return (0.0, 0.0);
    }
    let mut rng = seeded_rng(seed, "bootstrap", 0);
    let pair_count = differences.len();
    let mut resampled_mean = || {
        let resample = (0..pair_count).map(|_| differences[rng.random_range(0..pair_count)]);
        resample.sum::<f64>() / pair_count as f64
    };
    let mut means: Vec<f64> = (0..BOOTSTRAP_RESAMPLES).map(|_| resampled_mean()).collect();
    means.sort_by(f64::total_cmp);
    (
        means[BOOTSTRAP_RESAMPLES * 25 / 1000],
        means[BOOTSTRAP_RESAMPLES * 975 / 1000 - 1],
    )
}

/// Compares runs of A and B. Runs at the same index form a pair, so both slices must be in the same order of seeds. A run
/// without a partner counts only in `broken`.
pub fn compare(a: &[Outcome], b: &[Outcome]) -> Comparison {
    let pairs = a.len().min(b.len());
    let figures: Vec<Figure> = METRICS
        .iter()
        .map(|metric| metric.compare(&a[..pairs], &b[..pairs]))
        .collect();
    let broken = [a, b].map(count_violations);
    let verdict = match broken {
        [0, violations_of_b] if violations_of_b > 0 => Verdict::Worse,
        [violations_of_a, 0] if violations_of_a > 0 => Verdict::Better,
        _ => figures[0].verdict,
    };
    Comparison {
        pairs,
        figures,
        broken,
        verdict,
    }
}

fn count_violations(outcomes: &[Outcome]) -> u64 {
    let counts = outcomes.iter().flat_map(|outcome| outcome.broken.values());
    counts.sum()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

impl Metric {
    /// Compares this figure in paired runs.
    fn compare(&self, a: &[Outcome], b: &[Outcome]) -> Figure {
        let a: Vec<f64> = a.iter().map(self.value_of).collect();
        let b: Vec<f64> = b.iter().map(self.value_of).collect();
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let difference = mean(&differences);
        let (low, high) = confidence_interval(&differences, 1);
        let negligible = difference.abs() < MIN_RELATIVE_DIFFERENCE * mean(&a).abs();
        // A single pair has no variance, so its interval says nothing about the random variation between runs.
        let verdict = match a.len() < 2 || negligible {
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

    /// Returns the verdict for a confidence interval of the difference B - A.
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
        for figure in &self.figures {
            let interval = format!("{:+.4} to {:+.4}", figure.low, figure.high);
            let verdict = figure.verdict;
            writeln!(
                f,
                "{:<16}{:>12.4}{:>12.4}{:>+12.4}   {interval:<26}{verdict}",
                figure.name, figure.a, figure.b, figure.difference
            )?;
        }
        writeln!(
            f,
            "rules broken: A {} times, B {} times; {} pairs of runs with equal seeds",
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
