//! Weighted choice among positions.

/// Positions 0, 1, 2 ... with weights.
#[derive(Clone, Debug)]
pub(super) struct WeightedChoice {
    /// Sums of the weights up to each position.
    cumulative: Vec<f64>,
}

impl WeightedChoice {
    /// Creates a choice among as many positions as there are weights.
    pub(super) fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut cumulative = Vec::new();
        let mut sum = 0.0;
        for weight in weights {
            sum += weight;
            cumulative.push(sum);
        }
        Self { cumulative }
    }

    /// Returns the position that a number in 0..1 chooses; `None` without positions.
    pub(super) fn choose(&self, drawn: f64) -> Option<usize> {
        let total = *self.cumulative.last()?;
        let position = self.cumulative.partition_point(|&sum| sum <= drawn * total);
        Some(position.min(self.cumulative.len() - 1))
    }

    /// Returns the probability of a position.
    pub(super) fn probability(&self, position: usize) -> f64 {
        let before = if position == 0 {
            0.0
        } else {
            self.cumulative[position - 1]
        };
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        (self.cumulative[position] - before) / total
    }
}
