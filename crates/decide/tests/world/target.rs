//! A target that checks grants by its own clock.

use {
    super::{Clock, Event, Msg, World},
    cowslip_decide::{duty::Granted, member::Timing, names::Name},
    tokio::time::Instant,
};

/// Ranges posted by a holder, under a stamp that the target gave out before.
#[derive(Clone)]
pub struct Post {
    pub node: usize,
    pub run: u64,
    pub id: u64,
    pub stamp: Option<Instant>,
    pub ranges: Vec<Granted>,
}

pub struct Target {
    pub clock: Clock,
    pub frozen: bool,
    pub inbox: Vec<Post>,
    pub granted: Vec<Granted>,
    until: Option<Instant>,
    /// Every range that was granted, with its fence.
    seen: Vec<Granted>,
}

impl Target {
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            frozen: false,
            inbox: Vec::new(),
            granted: Vec::new(),
            until: None,
            seen: Vec::new(),
        }
    }

    /// Returns whether a fence is lower than one seen before.
    fn refuses(&self, ranges: &[Granted]) -> bool {
        let older = |range: &Granted, seen: &Granted| {
            range.fence < seen.fence && range.start <= seen.end && seen.start <= range.end
        };
        let mut ranges = ranges.iter();
        ranges.any(|range| self.seen.iter().any(|seen| older(range, seen)))
    }

    fn grant(&mut self, ranges: Vec<Granted>, until: Instant) {
        for range in &ranges {
            if !self.seen.contains(range) {
                self.seen.push(range.clone());
            }
        }
        self.granted = ranges;
        self.until = Some(until);
    }

    /// Returns the ranges that the target accepts requests for at `time`.
    pub fn accepts(&self, time: u64) -> &[Granted] {
        let now = self.clock.at(time);
        if self.frozen || self.until.is_none_or(|until| until <= now) {
            return &[];
        }
        &self.granted
    }
}

impl World {
    /// Lets a target take a post and answer with its stamp.
    pub fn post(&mut self, name: &Name, post: Post) {
        let time = self.time;
        let target = self.targets.get_mut(name).expect("a target of this world");
        if target.frozen {
            target.inbox.push(post);
            return;
        }
        let now = target.clock.at(time);
        let taken = !target.refuses(&post.ranges);
        if let Some(stamp) = post.stamp.filter(|_| taken) {
            target.grant(post.ranges, stamp + Timing::default().grant);
        }
        let msg = Msg::Answer {
            run: post.run,
            target: name.clone(),
            id: taken.then_some(post.id),
            stamp: now,
        };
        let delay = self.delay();
        self.push(delay, Event::Node { to: post.node, msg });
    }
}
