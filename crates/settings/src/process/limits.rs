//! Section `limits`: sizes, queues and bounds of time for callers.

use crate::section::numbers;

numbers! {
    /// Sizes, queues and bounds of time for callers.
    pub struct Limits in "limits" {
        /// Longest body of a request.
        body_bytes: 1048576 in 0..=67108864 "bytes",
        /// Longest body of a target's answer; a longer one counts as broken.
        answer_bytes: 16777216 in 1024..=268435456 "bytes",
        /// Longest head of a request.
        head_bytes: 16384 in 8192..=1048576 "bytes",
        /// Longest time for a caller to send a head.
        head_timeout_ms: 2000 in 50..=60000 "ms",
        /// Longest time for a caller to send a body.
        body_timeout_ms: 5000 in 50..=60000 "ms",
        /// Time after which an idle connection of a caller is closed.
        idle_timeout_ms: 30000 in 100..=600000 "ms",
        /// Connections of callers at the same time; further ones are closed at once.
        connections: 10000 in 1..=1000000 "connections",
        /// Requests of callers in progress at the same time; further ones are refused.
        in_progress: 20000 in 1..=1000000 "requests",
        /// Requests that wait for a slot of one target or pool.
        target_queue: 256 in 1..=100000 "requests",
        /// Places of the ring from the entry duty to the route duty.
        route_ring: 8192 in 16..=1000000 "places",
        /// Places of the ring to the holding duty.
        hold_ring: 8192 in 16..=1000000 "places",
        /// Places of the ring to the peer duty.
        peer_ring: 8192 in 16..=1000000 "places",
        /// Places of the ring to the member duty.
        member_ring: 1024 in 16..=1000000 "places",
        /// Places of the ring to the platform duty.
        platform_ring: 1024 in 16..=1000000 "places",
        /// Events kept for the operators; older ones are dropped.
        event_ring: 16384 in 16..=1000000 "events",
        /// Retries as a share of the requests answered.
        retry_percent: 10 in 0..=100 "percent",
        /// Hedged requests as a share of the requests answered.
        hedge_percent: 5 in 0..=100 "percent",
        /// Time for which the end of an order is kept for its repeats.
        order_hours: 24 in 1..=8760 "h",
        /// Longest time from the start of a stop to the end of the process.
        stop_ms: 20000 in 100..=600000 "ms",
    }
}
