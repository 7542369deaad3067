//! The mean and the deviation of answer times, both weighted towards the latest: arithmetic. It decides nothing.

/// µs, but for the count.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimator {
    pub mean: f64,
    pub deviation: f64,
    count: f64, // answers learned from, up to what the short mean spans
}

impl LatencyEstimator {
    /// As they were learned before from so many answers.
    pub fn of(mean: f64, deviation: f64, count: f64) -> LatencyEstimator {
        LatencyEstimator {
            mean,
            deviation,
            count,
        }
    }

    /// Answers learned from, up to what the short mean spans.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// Takes one answer in, `took` µs, by a weight between 0 and 1.
    pub fn observe(&mut self, took: f64, weight: f64) {
        if self.count == 0.0 {
            (self.mean, self.deviation) = (took, took / 2.0);
        }
        self.count = (self.count + 1.0).min(1.0 / weight);
        self.deviation += 2.0 * weight * ((took - self.mean).abs() - self.deviation);
        self.mean += weight * (took - self.mean);
    }

    /// One's own as far as they go, up to `few` answers, for the rest those of all.
    pub fn blended_with(
        &self,
        all: &LatencyEstimator,
        few: f64,
        of: fn(&LatencyEstimator) -> f64,
    ) -> f64 {
        let own = (self.count / few).min(1.0);
        own * of(self) + (1.0 - own) * of(all)
    }
}
