//! The configuration as the planner needs it.

use {
    crate::document::{self, Document},
    cowslip_decide::{
        names::Version,
        plan::{POOL_SIZE, Service, Target, Topology},
    },
};

/// Returns what the planner has to know of a document.
pub fn of(document: &Document, config: Version) -> Topology {
    let services = document.services.iter();
    Topology {
        config,
        services: services.map(|it| (it.name.clone(), service(it))).collect(),
        withdrawn: document.withdrawn.clone(),
        pool_size: POOL_SIZE,
    }
}

fn service(service: &document::Service) -> Service {
    let targets = service.targets.iter();
    Service {
        divided: service.divided,
        targets: targets.map(|it| (it.name.clone(), target(it))).collect(),
    }
}

fn target(target: &document::Target) -> Target {
    Target {
        data_centre: target.data_centre.clone(),
        slots: target.slots,
        cold_limit: target.cold_limit,
        connections: target.connections,
        checks_fence: target.checks_fence,
    }
}
