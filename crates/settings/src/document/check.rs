//! Checks the fields of a document against each other.

use {
    super::{Document, Service, Target},
    crate::{error::Result, reader::Section},
    cowslip_decide::names::Name,
    std::collections::BTreeMap,
};

/// Where a value that must be unique was first used, by the value.
type Used = BTreeMap<Name, String>;

pub(super) fn document(root: &Section<'_>, document: &Document) -> Result<()> {
    if document.services.is_empty() {
        return Err(root.missing("service", "at least one service"));
    }
    let (mut services, mut targets, mut addresses) = (Used::new(), Used::new(), Used::new());
    for (section, service) in root.sections("service")?.iter().zip(&document.services) {
        unique(&mut services, section, "name", &service.name)?;
        routes(section, service)?;
        if service.targets.is_empty() {
            return Err(section.missing("target", "at least one target"));
        }
        for (section, target) in section.sections("target")?.iter().zip(&service.targets) {
            unique(&mut targets, section, "name", &target.name)?;
            unique(&mut addresses, section, "address", &target.address)?;
            bounds(section, target)?;
        }
    }
    withdrawn(root, document)
}

fn routes(section: &Section<'_>, service: &Service) -> Result<()> {
    if service.routes.is_empty() {
        return Err(section.missing("route", "at least one route"));
    }
    let mut names = Used::new();
    for (section, route) in section.sections("route")?.iter().zip(&service.routes) {
        unique(&mut names, section, "name", &route.name)?;
    }
    Ok(())
}

fn bounds(section: &Section<'_>, target: &Target) -> Result<()> {
    if target.cold_limit > target.slots {
        let expected = format!("at most slots ({})", target.slots);
        return Err(section.invalid("cold_limit", expected, target.cold_limit.to_string()));
    }
    if target.connections < target.slots {
        let expected = format!("at least slots ({})", target.slots);
        return Err(section.invalid("connections", expected, target.connections.to_string()));
    }
    Ok(())
}

fn withdrawn(root: &Section<'_>, document: &Document) -> Result<()> {
    let known = document.data_centres();
    let Some(name) = document.withdrawn.iter().find(|name| !known.contains(name)) else {
        return Ok(());
    };
    let names: Vec<&str> = known.iter().map(|name| name.as_ref()).collect();
    let expected = format!("data centres with targets: {}", names.join(", "));
    Err(root.invalid("withdrawn", expected, format!("{name:?}")))
}

fn unique(used: &mut Used, section: &Section<'_>, key: &str, value: &Name) -> Result<()> {
    match used.insert(value.clone(), section.path().to_owned()) {
        None => Ok(()),
        Some(first) => {
            let expected = format!("a value that {first}.{key} does not have");
            Err(section.invalid(key, expected, format!("{value:?}")))
        }
    }
}
