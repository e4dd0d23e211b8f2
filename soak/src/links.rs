//! Links between one instance and all targets, which faults cut.

use {
    crate::targets::ProxiedTarget,
    cowslip_adapter_standins::{
        link::{Link, LinkState},
        store::FakeStore,
        store_view::StoreView,
    },
    std::{collections::BTreeMap, net::SocketAddr},
    tokio::sync::Mutex,
};

/// Links of an instance.
#[derive(Debug)]
pub struct InstanceLinks {
    links: Vec<Link>,
    view: StoreView,
}

impl InstanceLinks {
    /// Opens links to targets.
    pub async fn open(store: &FakeStore, targets: &[Mutex<ProxiedTarget>]) -> Self {
        let (mut links, mut addresses) = (Vec::new(), BTreeMap::new());
        for target in targets {
            let target = target.lock().await;
            let link = Link::start(target.proxy.address);
            addresses.insert(target.id.clone(), link.address);
            links.push(link);
        }
        let view = StoreView::start(store, addresses).await;
        Self { links, view }
    }

    /// Returns the address of a front of the store that names the links as addresses of the targets.
    pub fn store_address(&self) -> SocketAddr {
        self.view.address()
    }

    /// Sets the state of all links.
    pub fn set_state(&self, state: LinkState) {
        self.links.iter().for_each(|link| link.set_state(state));
    }
}
