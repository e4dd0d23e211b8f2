//! Distribution of requests by weight.

/// Fraction by which the position in the unit interval moves with each request: the golden ratio,
/// whose multiples fill the interval evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Distributes requests by weight so that any number of consecutive requests is close to the
/// proportions.
#[derive(Clone, Copy, Debug)]
pub struct TrafficSplitter {
    position: f64,
}

impl TrafficSplitter {
    /// Creates a splitter that starts at `position`, 0 to 1.
    pub fn new(position: f64) -> Self {
        Self { position }
    }

    /// Returns the index in `weights` for the next request, or `None` if all weights are 0.
    pub fn next_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> Option<usize> {
        let total: f64 = weights.clone().sum();
        if total <= 0.0 {
            return None;
        }
        self.position = (self.position + GOLDEN_RATIO).fract();
        let mut remaining = self.position * total;
        let mut last = None;
        for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
            last = Some(index);
            if remaining < weight {
                return last;
            }
            remaining -= weight;
        }
        last
    }
}
