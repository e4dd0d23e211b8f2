//! Routing of requests by host and longest matching path prefix.

use {
    cowslip_adapter::config::{Config, Route},
    cowslip_decide::names::Name,
    std::{collections::BTreeMap, rc::Rc},
};

/// Routes by host, sorted from the longest path prefix to the shortest.
#[derive(Debug, Default)]
pub struct Routes {
    hosts: BTreeMap<Name, Vec<Rc<Route>>>,
}

impl From<&Config> for Routes {
    fn from(config: &Config) -> Self {
        let mut hosts: BTreeMap<Name, Vec<Rc<Route>>> = BTreeMap::new();
        for route in &config.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.push(Rc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }
}

impl Routes {
    /// Returns the route for a host, with or without a port, and a path; `None` if none matches.
    pub fn find_route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let found = routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix));
        found.cloned()
    }
}
