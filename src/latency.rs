//! Running estimates of the latency of calls. They are arithmetic only; callers make the decisions.
//!
//! The mean and the mean deviation are exponentially weighted moving averages, as in the estimator
//! of TCP's retransmission timeout (RFC 6298, section 2).

/// An estimate of the mean latency and its mean deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    /// The weighted mean, in µs.
    pub mean: f64,
    /// The weighted mean deviation from the mean, in µs.
    pub deviation: f64,
    /// Number of samples, up to the number that the weighted mean spans.
    sample_count: f64,
}

impl LatencyEstimator {
    /// Restores an estimate that was based on `sample_count` samples. `mean` and `deviation` are in
    /// µs.
    pub fn from_parts(mean: f64, deviation: f64, sample_count: f64) -> LatencyEstimator {
        LatencyEstimator {
            mean,
            deviation,
            sample_count,
        }
    }

    /// Returns the number of samples, up to the number that the weighted mean spans.
    pub fn sample_count(&self) -> f64 {
        self.sample_count
    }

    /// Adds a sample of `latency` µs. `weight` is its weight in the mean and must be greater than 0
    /// and at most 1.
    pub fn observe(&mut self, latency: f64, weight: f64) {
        if self.sample_count == 0.0 {
            self.mean = latency;
            self.deviation = latency / 2.0;
        }
        self.sample_count = (self.sample_count + 1.0).min(1.0 / weight);
        // The deviation adapts twice as fast as the mean. It is measured from the mean before this
        // sample.
        let distance = (latency - self.mean).abs();
        self.deviation += 2.0 * weight * (distance - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    /// Returns a statistic of this estimate, blended with the same statistic of `overall`. The
    /// share of `overall` falls linearly to zero at `required_samples` samples.
    pub fn blend_with(
        &self,
        overall: &LatencyEstimator,
        required_samples: f64,
        statistic: fn(&LatencyEstimator) -> f64,
    ) -> f64 {
        let own_weight = (self.sample_count / required_samples).min(1.0);
        own_weight * statistic(self) + (1.0 - own_weight) * statistic(overall)
    }
}
