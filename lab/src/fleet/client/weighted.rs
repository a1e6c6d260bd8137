//! Weighted random choice among positions.

/// A distribution over the positions 0, 1, 2 and so on, each with a weight.
#[derive(Clone, Debug)]
pub(super) struct WeightedChoice {
    /// Sums of the weights up to and including each position.
    cumulative: Vec<f64>,
}

impl WeightedChoice {
    /// Creates a distribution with one position for each weight.
    pub(super) fn new(weights: impl Iterator<Item = f64>) -> Self {
        let mut cumulative = Vec::new();
        let mut sum = 0.0;
        for weight in weights {
            sum += weight;
            cumulative.push(sum);
        }
        Self { cumulative }
    }

    /// Returns the position that a uniform draw in 0..1 selects; `None` if there is no position.
    pub(super) fn choose(&self, drawn: f64) -> Option<usize> {
        let total = *self.cumulative.last()?;
        let position = self.cumulative.partition_point(|&sum| sum <= drawn * total);
        Some(position.min(self.cumulative.len() - 1))
    }

    /// Returns the probability of a position.
    ///
    /// # Panics
    /// If the position does not exist.
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
