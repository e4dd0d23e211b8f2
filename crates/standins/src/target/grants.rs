//! Grants of ranges and the fences that a target has seen.

use {
    super::record::Held,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Body of `POST /-/grants`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Post {
    /// Instance that grants.
    pub holder: String,
    /// Version of the assignment.
    pub version: u64,
    /// Stamp that the target gave out before, in milliseconds of its clock; 0 grants nothing.
    pub stamp: u64,
    /// Time from the stamp until the grant ends, in milliseconds.
    pub ttl_ms: u64,
    /// Ranges granted.
    pub ranges: Vec<Range>,
}

/// A granted range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Service.
    pub service: String,
    /// First hash, decimal.
    pub start: String,
    /// Last hash, decimal.
    pub end: String,
    /// Fence of the owner.
    pub fence: u64,
}

/// Why a grant or a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A bound of a range is not a number.
    Malformed,
    /// A higher fence was seen.
    Fence(u64),
    /// The hash is in no granted range, or the grant has run out.
    Range,
}

/// Ranges granted now, and the highest fence seen for every hash.
#[derive(Debug, Default)]
pub struct Grants {
    now: Vec<Held>,
    seen: BTreeMap<String, BTreeMap<u64, u64>>,
    highest: u64,
}

impl Grants {
    /// Replaces the grants; `until` and `at` are microseconds of the machine's clock.
    ///
    /// # Errors
    ///
    /// Refuses all of them if one has a lower fence than was seen for a hash of its range.
    pub fn replace(
        &mut self,
        post: &Post,
        at: u64,
        until: u64,
        log: &mut Vec<Held>,
    ) -> std::result::Result<(), Refusal> {
        let mut fresh = Vec::with_capacity(post.ranges.len());
        for range in &post.ranges {
            fresh.push(held(post, range, at, until)?);
        }
        let seen = fresh.iter().map(|r| self.seen(&r.service, r.start, r.end));
        if let Some(fence) = seen
            .zip(&fresh)
            .filter(|(fence, range)| *fence > range.fence)
            .map(|(fence, _)| fence)
            .max()
        {
            return Err(Refusal::Fence(fence));
        }
        for range in &fresh {
            self.raise(&range.service, range.start, range.end, range.fence);
        }
        if until <= at {
            fresh.clear();
        }
        for old in &mut self.now {
            let same = fresh.iter_mut().find(|new| same_range(old, new));
            match same {
                Some(new) if old.until >= at => new.from = old.from,
                _ => close(old, at, log),
            }
        }
        self.now = fresh;
        Ok(())
    }

    /// Checks a request.
    ///
    /// # Errors
    ///
    /// Refuses a hash that is not granted now under exactly this fence.
    pub fn check(&self, service: &str, hash: u64, fence: u64, at: u64) -> Result<(), Refusal> {
        let seen = self.seen(service, hash, hash);
        if fence < seen {
            return Err(Refusal::Fence(seen));
        }
        let granted = self.now.iter().any(|range| {
            range.service == service
                && (range.start..=range.end).contains(&hash)
                && range.fence == fence
                && at < range.until
        });
        granted.then_some(()).ok_or(Refusal::Range)
    }

    /// Returns the highest fence seen for any hash.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns the ranges that were granted last.
    pub fn now(&self) -> &[Held] {
        &self.now
    }

    /// Gives up all grants, as a restart does; the fences seen stay.
    pub fn clear(&mut self, at: u64, log: &mut Vec<Held>) {
        for old in &mut self.now {
            close(old, at, log);
        }
        self.now.clear();
    }

    fn seen(&self, service: &str, start: u64, end: u64) -> u64 {
        let Some(steps) = self.seen.get(service) else {
            return 0;
        };
        let first = steps.range(..=start).next_back();
        let rest = steps.range(start..=end);
        first
            .into_iter()
            .chain(rest)
            .map(|(_, f)| *f)
            .max()
            .unwrap_or(0)
    }

    fn raise(&mut self, service: &str, start: u64, end: u64, fence: u64) {
        self.highest = self.highest.max(fence);
        let steps = self.seen.entry(service.to_owned()).or_default();
        for edge in [Some(start), end.checked_add(1)].into_iter().flatten() {
            let before = steps.range(..=edge).next_back().map_or(0, |(_, f)| *f);
            steps.entry(edge).or_insert(before);
        }
        for (_, seen) in steps.range_mut(start..=end) {
            *seen = (*seen).max(fence);
        }
    }
}

fn held(post: &Post, range: &Range, from: u64, until: u64) -> Result<Held, Refusal> {
    let start = range.start.parse().map_err(|_| Refusal::Malformed)?;
    let end = range.end.parse().map_err(|_| Refusal::Malformed)?;
    if start > end {
        return Err(Refusal::Malformed);
    }
    Ok(Held {
        service: range.service.clone(),
        start,
        end,
        fence: range.fence,
        holder: post.holder.clone(),
        from,
        until,
    })
}

fn same_range(a: &Held, b: &Held) -> bool {
    (&a.service, a.start, a.end, a.fence) == (&b.service, b.start, b.end, b.fence)
}

fn close(old: &mut Held, at: u64, log: &mut Vec<Held>) {
    old.until = old.until.min(at);
    log.push(old.clone());
}
