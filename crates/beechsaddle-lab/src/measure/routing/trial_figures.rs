//! The `trial_figures` module provides the results of one or more runs.

/// Results of runs with the same parameters.
#[derive(Clone, Debug, Default)]
pub struct TrialFigures {
    /// Times to the first token, in milliseconds.
    pub first_ms: Vec<f64>,
    /// Times to the last token, in milliseconds.
    pub whole_ms: Vec<f64>,
    /// Prompt tokens found in a cache.
    pub cached_tokens: u64,
    /// All prompt tokens.
    pub prompt_tokens: u64,
    /// Calls for which no target was available.
    pub unplaced: u64,
    spread_sum: f64,
    spread_count: u64,
}

impl TrialFigures {
    /// Records the coefficient of variation of the calls per engine at one moment.
    pub fn record_spread(&mut self, calls: &[f64]) {
        let count = calls.len() as f64;
        let mean = calls.iter().sum::<f64>() / count;
        if mean <= 0.0 {
            return;
        }
        let variance = calls.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / count;
        self.spread_sum += variance.sqrt() / mean;
        self.spread_count += 1;
    }

    /// Adds the results of another run.
    pub fn add(&mut self, other: TrialFigures) {
        self.first_ms.extend(other.first_ms);
        self.whole_ms.extend(other.whole_ms);
        self.cached_tokens += other.cached_tokens;
        self.prompt_tokens += other.prompt_tokens;
        self.unplaced += other.unplaced;
        self.spread_sum += other.spread_sum;
        self.spread_count += other.spread_count;
    }

    /// Returns the share of prompt tokens that were found in a cache.
    pub fn hit_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns the mean coefficient of variation of calls per engine.
    pub fn spread(&self) -> f64 {
        self.spread_sum / self.spread_count.max(1) as f64
    }

    /// Returns the results as key=value pairs; sorts the latencies.
    pub fn line(&mut self) -> String {
        self.first_ms.sort_by(f64::total_cmp);
        self.whole_ms.sort_by(f64::total_cmp);
        format!(
            "calls={} unplaced={} first_p50_ms={:.0} first_p95_ms={:.0} first_p99_ms={:.0} \
             whole_p50_ms={:.0} whole_p95_ms={:.0} whole_p99_ms={:.0} prefix_hit_share={:.3} \
             load_cv={:.2}",
            self.whole_ms.len(),
            self.unplaced,
            quantile(&self.first_ms, 0.50),
            quantile(&self.first_ms, 0.95),
            quantile(&self.first_ms, 0.99),
            quantile(&self.whole_ms, 0.50),
            quantile(&self.whole_ms, 0.95),
            quantile(&self.whole_ms, 0.99),
            self.hit_share(),
            self.spread(),
        )
    }
}

/// Returns the value below which a share of the sorted values lies.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share) as usize;
    let last = sorted.len().saturating_sub(1);
    sorted.get(index.min(last)).copied().unwrap_or(0.0)
}
