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
    count: f64,
}

impl LatencyEstimator {
    /// An estimate that was taken earlier, from `count` answers.
    pub fn from_parts(mean: f64, deviation: f64, count: f64) -> LatencyEstimator {
        LatencyEstimator {
            mean,
            deviation,
            count,
        }
    }

    /// Answers observed, up to the number that the weighted mean spans.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// Includes an answer that took `answer_time` µs. `weight` is its weight in the mean, between 0
    /// and 1.
    pub fn observe(&mut self, answer_time: f64, weight: f64) {
        if self.count == 0.0 {
            self.mean = answer_time;
            self.deviation = answer_time / 2.0;
        }
        self.count = (self.count + 1.0).min(1.0 / weight);
        // The deviation follows twice as fast as the mean, and is measured from the mean before
        // this answer.
        let distance = (answer_time - self.mean).abs();
        self.deviation += 2.0 * weight * (distance - self.deviation);
        self.mean += weight * (answer_time - self.mean);
    }

    /// A figure of this estimate blended with that of `all`. This estimate counts alone from
    /// `enough` answers on; with fewer, `all` makes up for the missing part.
    pub fn blend_with(
        &self,
        all: &LatencyEstimator,
        enough: f64,
        figure: fn(&LatencyEstimator) -> f64,
    ) -> f64 {
        let own = (self.count / enough).min(1.0);
        own * figure(self) + (1.0 - own) * figure(all)
    }
}
