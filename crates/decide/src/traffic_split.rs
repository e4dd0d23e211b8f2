//! Distribution of requests by weight.

/// Fraction by which the place in the unit interval moves with each request: the golden ratio,
/// whose multiples fill the interval evenly.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Deals requests out in the proportions of the weights, evenly over any span of requests.
#[derive(Clone, Copy, Debug)]
pub struct TrafficSplitter {
    place: f64,
}

impl TrafficSplitter {
    /// Creates a dealer that begins at `place`, 0 to 1.
    pub fn new(place: f64) -> Self {
        Self { place }
    }

    /// Returns the place of the next request's part in `weights`, or `None` if all are 0.
    pub fn next_index(&mut self, weights: impl Iterator<Item = f64> + Clone) -> Option<usize> {
        let total: f64 = weights.clone().sum();
        if total <= 0.0 {
            return None;
        }
        self.place = (self.place + STEP).fract();
        let mut left = self.place * total;
        let mut last = None;
        for (at, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
            last = Some(at);
            if left < weight {
                return last;
            }
            left -= weight;
        }
        last
    }
}
