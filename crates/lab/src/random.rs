//! Seeded random numbers. Each user draws from its own generator, so that an additional draw by one user doesn't change the
//! numbers that another one draws.

use crate::scenario::ServiceTime;
use opalpulley::Micros;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;

/// Returns the random number generator for a purpose in the run with this seed. `index` tells apart several generators for
/// the same purpose.
pub fn seeded_rng(seed: u64, purpose: &str, index: u64) -> Pcg64Mcg {
    // FNV-1a over the purpose. Any fixed hash is good enough, because the generator mixes its state further.
    let purpose_hash = purpose
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
        });
    let state = u128::from(seed) << 64
        | u128::from(purpose_hash ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut rng = Pcg64Mcg::new(state | 1);
    let _: u64 = rng.random(); // the first output still correlates with the initial state
    Pcg64Mcg::seed_from_u64(rng.random())
}

/// Draws an exponentially distributed number with mean 1.
pub fn exponential(rng: &mut Pcg64Mcg) -> f64 {
    Exp1.sample(rng)
}

/// Draws a service time in µs, at least 1.
pub fn sample_service_time(service_time: &ServiceTime, rng: &mut Pcg64Mcg) -> Micros {
    let micros = match service_time {
        ServiceTime::Constant { time } => time.0 as f64,
        ServiceTime::Exponential { mean } => mean.0 as f64 * exponential(rng),
        ServiceTime::Lognormal { mean, sigma } => {
            let mu = (mean.0.max(1) as f64).ln() - sigma * sigma / 2.0;
            LogNormal::new(mu, *sigma)
                .map_or(mean.0 as f64, |distribution| distribution.sample(rng))
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
    micros.round().max(1.0) as Micros
}

/// Returns the mean of the service times, in µs.
pub fn mean_service_time(service_time: &ServiceTime) -> f64 {
    match service_time {
        ServiceTime::Constant { time } => time.0 as f64,
        ServiceTime::Exponential { mean } | ServiceTime::Lognormal { mean, .. } => mean.0 as f64,
        ServiceTime::Bimodal {
            fast,
            slow,
            slow_share,
        } => fast.0 as f64 * (1.0 - slow_share) + slow.0 as f64 * slow_share,
    }
}

/// Draws indices, either in proportion to weights or from a Zipf distribution over the indices.
pub enum IndexSampler {
    /// The sum of the weights up to and including each index.
    CumulativeWeights(Vec<f64>),
    Zipf(Zipf<f64>),
}

impl IndexSampler {
    /// Creates a sampler over as many indices as there are weights. It uses a Zipf distribution with the exponent `skew` if
    /// `skew` is above 0, and the weights otherwise.
    pub fn new(weights: impl Iterator<Item = f64>, skew: f64) -> IndexSampler {
        let mut sum = 0.0;
        let cumulative_weights: Vec<f64> = weights
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
        match Zipf::new(cumulative_weights.len().max(1) as f64, skew) {
            Ok(zipf) if skew > 0.0 => IndexSampler::Zipf(zipf),
            _ => IndexSampler::CumulativeWeights(cumulative_weights),
        }
    }

    /// Draws an index.
    pub fn sample(&self, rng: &mut Pcg64Mcg) -> usize {
        match self {
            IndexSampler::Zipf(zipf) => zipf.sample(rng) as usize - 1,
            IndexSampler::CumulativeWeights(cumulative_weights) => {
                let target =
                    rng.random::<f64>() * cumulative_weights.last().copied().unwrap_or(0.0);
                cumulative_weights
                    .partition_point(|sum| *sum <= target)
                    .min(cumulative_weights.len().saturating_sub(1))
            }
        }
    }
}
