//! Reads a document field by field.

use {
    super::{Document, Route, Service, Target, fields},
    crate::{error::Result, field::Field, reader::Section},
    cowslip_decide::verdict::Priority,
};

pub(super) fn document(root: &Section<'_>) -> Result<Document> {
    let services = root.sections("service")?;
    Ok(Document {
        services: services.iter().map(service).collect::<Result<_>>()?,
        withdrawn: root.names(&fields::WITHDRAWN)?,
    })
}

fn service(section: &Section<'_>) -> Result<Service> {
    let routes = section.sections("route")?;
    let targets = section.sections("target")?;
    Ok(Service {
        name: section.text(&fields::SERVICE)?,
        divided: section.flag(&fields::DIVIDED)?,
        routes: routes.iter().map(route).collect::<Result<_>>()?,
        targets: targets.iter().map(target).collect::<Result<_>>()?,
    })
}

fn route(section: &Section<'_>) -> Result<Route> {
    Ok(Route {
        name: section.text(&fields::ROUTE)?,
        method: section.text(&fields::METHOD)?,
        priority: priority(&section.text(&fields::PRIORITY)?),
        repeatable: section.flag(&fields::REPEATABLE)?,
        deadline_ms: section.number(&fields::DEADLINE)?,
    })
}

fn target(section: &Section<'_>) -> Result<Target> {
    Ok(Target {
        name: section.text(&fields::TARGET)?,
        address: section.text(&fields::ADDRESS)?,
        data_centre: section.text(&fields::DATA_CENTRE)?,
        slots: small(section, &fields::SLOTS)?,
        cold_limit: small(section, &fields::COLD_LIMIT)?,
        connections: small(section, &fields::CONNECTIONS)?,
        checks_fence: section.flag(&fields::CHECKS_FENCE)?,
    })
}

fn small(section: &Section<'_>, field: &Field) -> Result<u32> {
    let number = section.number(field)?;
    let low = u32::try_from(number);
    low.map_err(|_| section.invalid(field.key(), field.kind.to_string(), number.to_string()))
}

/// Returns the priority of a word that the field has already accepted.
fn priority(word: &str) -> Priority {
    let known = Priority::ALL.into_iter().find(|it| it.as_str() == word);
    known.unwrap_or(Priority::Low)
}
