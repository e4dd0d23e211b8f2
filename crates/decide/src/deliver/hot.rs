//! Most frequent key hashes of a target, counted in bounded space with decay.

/// Hashes that are counted at the same time.
const COUNTERS: usize = 24;

/// Requests after which every count is halved.
const HALVING: u64 = 4096;

/// Smallest share that is reported, in thousandths.
const SMALLEST_SHARE: u64 = 20;

/// Space-saving counter of key hashes.
#[derive(Clone, Debug, Default)]
pub struct Hottest {
    counts: Vec<(u64, u64)>,
    total: u64,
}

impl Hottest {
    /// Counts one request for `hash`.
    pub fn count(&mut self, hash: u64) {
        self.total += 1;
        if self.total >= HALVING {
            self.halve();
        }
        if let Some((_, count)) = self.counts.iter_mut().find(|(known, _)| *known == hash) {
            *count += 1;
            return;
        }
        if self.counts.len() < COUNTERS {
            self.counts.push((hash, 1));
            return;
        }
        if let Some(least) = self.counts.iter_mut().min_by_key(|(_, count)| *count) {
            *least = (hash, least.1 + 1);
        }
    }

    /// Returns the most frequent hashes with their share in thousandths, the highest first.
    ///
    /// A share is never too low, and too high by at most one part in the number of counters.
    pub fn top(&self) -> Vec<(u64, u32)> {
        let total = self.total.max(1);
        let share = |(hash, count): &(u64, u64)| (*hash, (count * 1000 / total) as u32);
        let mut top: Vec<_> = self.counts.iter().map(share).collect();
        top.retain(|(_, share)| u64::from(*share) >= SMALLEST_SHARE);
        top.sort_by_key(|(hash, share)| (std::cmp::Reverse(*share), *hash));
        top
    }

    fn halve(&mut self) {
        self.total /= 2;
        for (_, count) in &mut self.counts {
            *count /= 2;
        }
    }
}
