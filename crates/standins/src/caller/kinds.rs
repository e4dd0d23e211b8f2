//! Kinds of request, from the configuration document.

use {
    cowslip_decide::verdict::Priority,
    cowslip_settings::document::Document,
    std::{collections::BTreeMap, time::Duration},
};

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Service.
    pub service: String,
    /// Route.
    pub route: String,
    /// HTTP method.
    pub method: http::Method,
    /// Rank.
    pub priority: Priority,
    /// Whether running it twice is harmless.
    pub repeatable: bool,
    /// Whether it carries a key.
    pub divided: bool,
    /// Longest time that the caller waits.
    pub deadline: Duration,
    /// Share of the requests, relative to the other kinds.
    pub weight: f64,
}

/// Returns the kinds of a document; those that `mix` does not name have a weight by priority.
pub fn kinds(document: &Document, mix: &BTreeMap<String, f64>) -> Vec<Kind> {
    let routes = document
        .services
        .iter()
        .flat_map(|service| service.routes.iter().map(move |route| (service, route)));
    routes
        .map(|(service, route)| Kind {
            service: service.name.to_string(),
            route: route.name.to_string(),
            method: route.method.parse().unwrap_or(http::Method::POST),
            priority: route.priority,
            repeatable: route.repeatable,
            divided: service.divided,
            deadline: Duration::from_millis(route.deadline_ms),
            weight: mix
                .get(route.name.as_ref())
                .copied()
                .unwrap_or(weight(route.priority)),
        })
        .collect()
}

fn weight(priority: Priority) -> f64 {
    match priority {
        Priority::High => 5.0,
        Priority::Middle => 10.0,
        Priority::Low => 75.0,
    }
}
