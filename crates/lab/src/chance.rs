//! Chance, seeded: each user draws from a stream of its own, so that one more draw here moves nothing there.

use crate::scenario::ServiceTime;
use opalpulley::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;

/// A stream of chance of its own for `what`, number `number`, of the run with this seed.
pub fn stream(seed: u64, what: &str, number: u64) -> Pcg64Mcg {
    // FNV-1a over the name: any fixed spreading does, the generator mixes further.
    let named = what.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    });
    let state =
        u128::from(seed) << 64 | u128::from(named ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut rng = Pcg64Mcg::new(state | 1);
    let _: u64 = rng.random(); // the first output still shows the state
    Pcg64Mcg::seed_from_u64(rng.random())
}

/// An exponential number with mean 1.
pub fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    Exp1.sample(rng)
}

/// A service time in µs, one at least.
pub fn service(service: &ServiceTime, rng: &mut Pcg64Mcg) -> Micros {
    let time = match service {
        ServiceTime::Constant { time } => time.0 as f64,
        ServiceTime::Exponential { mean } => mean.0 as f64 * exponential(rng),
        ServiceTime::Lognormal { mean, sigma } => {
            let mu = (mean.0.max(1) as f64).ln() - sigma * sigma / 2.0;
            LogNormal::new(mu, *sigma).map_or(mean.0 as f64, |l| l.sample(rng))
        }
        ServiceTime::Bimodal {
            fast,
            slow,
            slow_share,
        } => {
            (if rng.random_bool(slow_share.clamp(0.0, 1.0)) {
                slow.0
            } else {
                fast.0
            }) as f64
        }
    };
    time.round().max(1.0) as Micros
}

/// The mean of the service times, µs.
pub fn service_mean(service: &ServiceTime) -> f64 {
    match service {
        ServiceTime::Constant { time } => time.0 as f64,
        ServiceTime::Exponential { mean } | ServiceTime::Lognormal { mean, .. } => mean.0 as f64,
        ServiceTime::Bimodal {
            fast,
            slow,
            slow_share,
        } => fast.0 as f64 * (1.0 - slow_share) + slow.0 as f64 * slow_share,
    }
}

/// Which of several comes next: by weight, or by Zipf's law over their places.
pub enum Pick {
    Weights(Vec<f64>),
    Zipf(Zipf<f64>),
}

impl Pick {
    /// Chooses by Zipf's law where `skew` is above 0, else by weight.
    pub fn new(weights: impl Iterator<Item = f64>, skew: f64) -> Pick {
        let mut sum = 0.0;
        let sums: Vec<f64> = weights
            .map(|w| {
                sum += w;
                sum
            })
            .collect();
        match Zipf::new(sums.len().max(1) as f64, skew) {
            Ok(zipf) if skew > 0.0 => Pick::Zipf(zipf),
            _ => Pick::Weights(sums),
        }
    }

    /// Draws a place.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> usize {
        match self {
            Pick::Zipf(zipf) => zipf.sample(rng) as usize - 1,
            Pick::Weights(sums) => {
                let at = rng.random::<f64>() * sums.last().copied().unwrap_or(0.0);
                sums.partition_point(|s| *s <= at)
                    .min(sums.len().saturating_sub(1))
            }
        }
    }
}
