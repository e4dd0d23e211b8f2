//! Losses and loads.

use {
    crate::peer,
    cowslip_decide::{assign::Losses, duty::Load, names::Name},
    std::time::Duration,
};

impl From<&Losses> for peer::Losses {
    fn from(losses: &Losses) -> Self {
        Self {
            targets: losses.targets.iter().map(|name| name.to_string()).collect(),
            instances: losses
                .instances
                .iter()
                .map(|name| name.to_string())
                .collect(),
        }
    }
}

impl From<peer::Losses> for Losses {
    fn from(losses: peer::Losses) -> Self {
        Self {
            targets: losses.targets.into_iter().map(Name::from).collect(),
            instances: losses.instances.into_iter().map(Name::from).collect(),
        }
    }
}

impl From<(&Name, &Load)> for peer::Load {
    fn from((target, load): (&Name, &Load)) -> Self {
        let hottest = load
            .hottest
            .iter()
            .map(|&(hash, share)| peer::Hot { hash, share });
        Self {
            target: target.to_string(),
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            latency_us: load.latency.as_micros() as u64,
            served: load.served,
            leaving: load.leaving,
            hottest: hottest.collect(),
        }
    }
}

impl From<peer::Load> for (Name, Load) {
    fn from(load: peer::Load) -> Self {
        let hottest = load
            .hottest
            .iter()
            .map(|hot| (hot.hash, hot.share))
            .collect();
        let value = Load {
            in_flight: load.in_flight,
            queued: load.queued,
            limit: load.limit,
            latency: Duration::from_micros(load.latency_us),
            served: load.served,
            leaving: load.leaving,
            hottest,
        };
        (load.target.into(), value)
    }
}
