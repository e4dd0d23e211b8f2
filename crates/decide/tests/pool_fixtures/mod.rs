//! Targets, requests and reports of pools for tests.

use {
    cowslip_decide::{
        names::Name,
        permits::{PermitOutcome, PermitReply, PermitReport, PermitRequest, PoolTarget},
    },
    std::{collections::BTreeMap, time::Duration},
    tokio::time::Instant,
};

pub const SLOTS: u32 = 2;

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn pool_targets(names: &[(&str, Option<f64>)]) -> BTreeMap<Name, PoolTarget> {
    let pool_target = |cold_rate: Option<f64>| PoolTarget {
        slots: SLOTS,
        data_centre: "west".into(),
        cold_rate,
        rate_limit: None,
    };
    names
        .iter()
        .map(|(name, cold)| (Name::from(*name), pool_target(*cold)))
        .collect()
}

pub fn permit_request(
    priority: u8,
    now: Instant,
    latency_goal: u64,
    deadline: u64,
) -> PermitRequest {
    PermitRequest {
        priority,
        latency_goal: now + millis(latency_goal),
        deadline: now + millis(deadline),
        data_centre: "west".into(),
        excluded: Vec::new(),
    }
}

pub fn report(outcome: PermitOutcome) -> PermitReport {
    PermitReport {
        outcome,
        slowdown: None,
        quiet_time: None,
    }
}

pub fn is_granted(reply: &PermitReply) -> bool {
    matches!(reply, PermitReply::Granted(_))
}
