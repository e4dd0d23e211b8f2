//! The part of the configuration document that the planner needs.

use {
    crate::document::{Document, Service, Target},
    cowslip_decide::{
        names::Version,
        plan::{self, POOL_SIZE, Topology},
    },
};

/// Returns what the planner needs of `document`, which is in force as `version`.
pub fn topology(document: &Document, version: Version) -> Topology {
    let services = document.services.iter();
    Topology {
        config: version,
        services: services
            .map(|service| (service.name.clone(), service.into()))
            .collect(),
        withdrawn: document.withdrawn.clone(),
        pool_size: POOL_SIZE,
    }
}

impl From<&Service> for plan::Service {
    fn from(service: &Service) -> Self {
        let targets = service.targets.iter();
        Self {
            divided: service.divided,
            targets: targets
                .map(|target| (target.name.clone(), target.into()))
                .collect(),
        }
    }
}

impl From<&Target> for plan::Target {
    fn from(target: &Target) -> Self {
        Self {
            data_centre: target.data_centre.clone(),
            slots: target.slots,
            cold_limit: target.cold_limit,
            connections: target.connections,
            checks_fence: target.checks_fence,
        }
    }
}
