//! Running estimates of answer times. Arithmetic only; the callers decide.
//!
//! The mean and the mean deviation are exponentially weighted towards the latest answers, as in the
//! estimate from which TCP takes its retransmission timeout (RFC 6298, section 2).

/// The mean and the mean deviation of answer times, in µs.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    /// The weighted mean, in µs.
    pub mean: f64,
    /// The weighted mean deviation from the mean, in µs.
    pub deviation: f64,
    /// Answers observed, up to the number that the weighted mean spans.
    sample_count: f64,
}

impl LatencyEstimator {
    /// An estimate that was taken earlier, from `sample_count` answers.
    pub fn from_parts(mean: f64, deviation: f64, sample_count: f64) -> LatencyEstimator {
        LatencyEstimator {
            mean,
            deviation,
            sample_count,
        }
    }

    /// Answers observed, up to the number that the weighted mean spans.
    pub fn sample_count(&self) -> f64 {
        self.sample_count
    }

    /// Includes an answer that took `latency` µs. `weight` is its weight in the mean, between 0
    /// and 1.
    pub fn observe(&mut self, latency: f64, weight: f64) {
        if self.sample_count == 0.0 {
            self.mean = latency;
            self.deviation = latency / 2.0;
        }
        self.sample_count = (self.sample_count + 1.0).min(1.0 / weight);
        // The deviation follows twice as fast as the mean, and is measured from the mean before
        // this answer.
        let distance = (latency - self.mean).abs();
        self.deviation += 2.0 * weight * (distance - self.deviation);
        self.mean += weight * (latency - self.mean);
    }

    /// A figure of this estimate blended with that of `overall`. This estimate counts alone from
    /// `required_samples` answers on; with fewer, `overall` makes up for the missing part.
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
