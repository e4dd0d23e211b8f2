//! What the planner learns of a document.

use {
    cowslip_decide::{names::Version, plan::POOL_SIZE},
    cowslip_settings::{
        document::{Document, Service, Target},
        topology::topology,
    },
};

#[test]
fn every_target_and_withdrawn_data_centre_reaches_the_planner() {
    let target = |name: &str, slots| Target {
        name: name.into(),
        address: "127.0.0.1:1".into(),
        data_centre: "east".into(),
        slots,
        cold_limit: 1,
        connections: 50,
        checks_fence: true,
    };
    let document = Document {
        services: vec![Service {
            name: "sites".into(),
            divided: true,
            routes: Vec::new(),
            targets: vec![target("a", 2), target("b", 3)],
        }],
        withdrawn: ["west".into()].into(),
    };
    let topology = topology(&document, Version(7));
    assert_eq!(
        (topology.config, topology.pool_size),
        (Version(7), POOL_SIZE)
    );
    assert!(topology.withdrawn.contains("west"));
    let service = &topology.services["sites"];
    assert!(service.divided);
    let seen: Vec<_> = service.targets.iter().collect();
    let seen: Vec<_> = seen
        .iter()
        .map(|(name, t)| (&***name, t.slots, &*t.data_centre))
        .collect();
    assert_eq!(seen, [("a", 2, "east"), ("b", 3, "east")]);
    let first = &service.targets["a"];
    assert_eq!(
        (first.cold_limit, first.connections, first.checks_fence),
        (1, 50, true)
    );
}
