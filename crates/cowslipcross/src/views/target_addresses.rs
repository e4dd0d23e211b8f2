//! Last known addresses of targets: one whose report has expired may still own keys.

use {
    crate::context::Context,
    cowslip_decide::{names::Name, owners::TargetIncarnation},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Addresses of the latest known incarnations of targets, by id.
#[derive(Debug, Default)]
pub struct TargetAddresses(BTreeMap<Name, KnownAddress>);

#[derive(Clone, Copy, Debug)]
struct KnownAddress {
    incarnation: u64,
    socket_address: SocketAddr,
}

impl TargetAddresses {
    /// Records the address of an incarnation unless a later one is known.
    pub fn record(&mut self, target: &TargetIncarnation, socket_address: SocketAddr) {
        let latest = KnownAddress {
            incarnation: target.incarnation,
            socket_address,
        };
        let known = self.0.entry(target.id.clone()).or_insert(latest);
        if known.incarnation <= latest.incarnation {
            *known = latest;
        }
    }

    /// Returns the address of an incarnation; `None` if that of another one is known, or none.
    pub fn get(&self, target: &TargetIncarnation) -> Option<SocketAddr> {
        let known = self.0.get(&target.id)?;
        (known.incarnation == target.incarnation).then_some(known.socket_address)
    }

    /// Returns the address of the latest known incarnation under an id.
    pub fn latest(&self, id: &str) -> Option<SocketAddr> {
        self.0.get(id).map(|it| it.socket_address)
    }
}

/// Records the addresses of all reported targets of the services in the configuration.
///
/// A report for another service was written by somebody else, and may name the address of a target.
pub fn record_reported(context: &Context) {
    let Some(config) = context.config.borrow().clone() else {
        return;
    };
    let mut addresses = context.target_addresses.borrow_mut();
    let targets = context.targets.borrow().clone();
    let configured = targets
        .all()
        .filter(|it| config.services.contains_key(&it.report.service));
    for target in configured {
        addresses.record(&target.target_incarnation(), target.report.address);
    }
}
