//! The configuration in force, indexed for the path of a request.

use {
    cowslip_decide::names::{Name, Version},
    cowslip_settings::document::{Document, Route},
    std::{collections::BTreeMap, sync::Arc},
};

/// A configuration with its version.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version of the table's row.
    pub version: Version,
    /// The document.
    pub document: Arc<Document>,
    /// Text of the document, for peers.
    pub text: Arc<str>,
    services: BTreeMap<Name, ServiceIndex>,
}

/// A service by the names of its routes.
#[derive(Clone, Debug)]
pub struct ServiceIndex {
    /// Name of the service.
    pub name: Name,
    /// Whether each key has one owning target.
    pub divided: bool,
    /// Routes by name.
    pub routes: BTreeMap<Name, Route>,
}

impl Config {
    /// Indexes a checked document.
    pub fn new(version: Version, document: Document, text: Arc<str>) -> Self {
        let index = |service: &cowslip_settings::document::Service| ServiceIndex {
            name: service.name.clone(),
            divided: service.divided,
            routes: service
                .routes
                .iter()
                .map(|route| (route.name.clone(), route.clone()))
                .collect(),
        };
        let services = document
            .services
            .iter()
            .map(|service| (service.name.clone(), index(service)))
            .collect();
        Self {
            version,
            document: Arc::new(document),
            text,
            services,
        }
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&ServiceIndex> {
        self.services.get(name)
    }
}
