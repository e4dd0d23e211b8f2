//! Findings about a configuration that instances accept: entries without effect, and limits that
//! contradict each other.

use {
    cowslip_adapter::{
        config::{Config, Limits, Route},
        organisations::Organisation,
    },
    cowslip_decide::names::Name,
    std::{collections::BTreeMap, hash::RandomState},
};

/// Returns the findings about a configuration, one line each.
pub(crate) fn review(config: &Config) -> Vec<String> {
    let mut findings = review_routes(&config.routes);
    findings.extend(review_services(config));
    findings.extend(review_limits(&config.limits));
    let organisations = config.organisations.as_deref();
    findings.extend(organisations.map(review_organisations).unwrap_or_default());
    findings
}

fn review_routes(routes: &[Route]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut first: BTreeMap<(&str, &str), &Route> = BTreeMap::new();
    for route in routes {
        let (name, prefix) = (&route.name, &route.path_prefix);
        let earlier = first.entry((&route.host, prefix)).or_insert(route);
        if earlier.name != route.name {
            findings.push(format!(
                "route {name} never matches: {} has the same host and prefix",
                earlier.name
            ));
        }
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            findings.push(format!(
                "route {name} never matches whole segments: prefix {prefix}"
            ));
        }
        if route.timeout < route.latency_goal {
            findings.push(format!(
                "route {name}: its timeout of {} ms is shorter than its latency goal of {} ms",
                route.timeout.as_millis(),
                route.latency_goal.as_millis()
            ));
        }
        let unused = route
            .traffic_split
            .iter()
            .filter(|(_, weight)| *weight <= 0.0);
        findings.extend(
            unused.map(|(service, _)| format!("route {name} sends nothing to {service}: weight 0")),
        );
    }
    findings
}

fn review_services(config: &Config) -> Vec<String> {
    let is_used = |name: &Name| {
        let splits = config.routes.iter().flat_map(|route| &route.traffic_split);
        splits
            .into_iter()
            .any(|(service, weight)| service == name && *weight > 0.0)
    };
    let unused = config.services.keys().filter(|name| !is_used(name));
    let mut findings: Vec<String> = unused
        .map(|name| format!("service {name} gets no requests: no route leads to it"))
        .collect();
    let no_connection = config
        .services
        .iter()
        .filter(|(_, it)| it.max_connections == 0);
    findings.extend(no_connection.map(|(name, _)| format!("service {name} allows no connections")));
    findings
}

fn review_limits(limits: &Limits) -> Vec<String> {
    let mut findings = Vec::new();
    if limits.header_timeout > limits.idle_timeout {
        findings.push(format!(
            "limits: a request head may take {} ms, but a connection is idle for {} ms at most",
            limits.header_timeout.as_millis(),
            limits.idle_timeout.as_millis()
        ));
    }
    if limits.header_bytes == 0 {
        findings.push("limits: no request head is short enough".to_owned());
    }
    findings
}

fn review_organisations(organisations: &[Organisation]) -> Vec<String> {
    let mut findings = Vec::new();
    let state = RandomState::new();
    let mut holders: BTreeMap<u64, &Name> = BTreeMap::new();
    let mut names: BTreeMap<&Name, usize> = BTreeMap::new();
    for organisation in organisations {
        let name = &organisation.name;
        *names.entry(name).or_default() += 1;
        if organisation.keys.is_empty() {
            findings.push(format!(
                "organisation {name} can send nothing: it has no API key"
            ));
        }
        for key in &organisation.keys {
            let holder = *holders.entry(key.hash(&state)).or_insert(name);
            if holder != name {
                findings.push(format!(
                    "organisation {name}: one of its API keys belongs to {holder}"
                ));
            }
        }
        if let Some(allotment) = organisation.allotment.filter(|it| it.burst < 1.0) {
            findings.push(format!(
                "organisation {name}: a burst of {} refuses requests that come together, at {} a second",
                allotment.burst, allotment.rate
            ));
        }
    }
    let repeated = names.into_iter().filter(|(_, count)| *count > 1);
    findings.extend(
        repeated.map(|(name, count)| format!("organisation {name} is listed {count} times")),
    );
    findings
}
