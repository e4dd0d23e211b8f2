//! What a configuration would change of the one in force.

use {
    cowslip_adapter::{config::Config, organisations::Organisation},
    cowslip_decide::names::Name,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Debug,
        hash::RandomState,
    },
};

/// Returns the differences, one line each; API keys are only counted.
pub(crate) fn compare(in_force: &Config, next: &Config) -> Vec<String> {
    let by_name = |config: &Config| -> BTreeMap<Name, _> {
        let routes = config.routes.iter().cloned();
        routes.map(|it| (it.name.clone(), it)).collect()
    };
    let mut lines = compare_entries("route", &by_name(in_force), &by_name(next));
    lines.extend(compare_entries(
        "service",
        &in_force.services,
        &next.services,
    ));
    if in_force.limits != next.limits {
        lines.push(format!(
            "limits: {:?}, now {:?}",
            next.limits, in_force.limits
        ));
    }
    lines.extend(compare_organisations(
        in_force.organisations.as_deref(),
        next.organisations.as_deref(),
    ));
    lines
}

fn compare_entries<T: PartialEq + Debug>(
    kind: &str,
    in_force: &BTreeMap<Name, T>,
    next: &BTreeMap<Name, T>,
) -> Vec<String> {
    let names: BTreeSet<&Name> = in_force.keys().chain(next.keys()).collect();
    let compare = |name: &Name| match (in_force.get(name), next.get(name)) {
        (None, Some(_)) => Some(format!("{kind} {name}: added")),
        (Some(_), None) => Some(format!("{kind} {name}: removed")),
        (Some(old), Some(new)) if old != new => {
            Some(format!("{kind} {name}: {new:?}, now {old:?}"))
        }
        _ => None,
    };
    names.into_iter().filter_map(compare).collect()
}

fn compare_organisations(
    in_force: Option<&[Organisation]>,
    next: Option<&[Organisation]>,
) -> Vec<String> {
    let mut lines = Vec::new();
    match (in_force.is_some(), next.is_some()) {
        (false, true) => lines.push("callers need API keys from now on".to_owned()),
        (true, false) => lines.push("callers need no API keys any more".to_owned()),
        _ => {}
    }
    let by_name = |all: Option<&[Organisation]>| -> BTreeMap<Name, Organisation> {
        let all = all.unwrap_or_default().iter().cloned();
        all.map(|it| (it.name.clone(), it)).collect()
    };
    let (in_force, next) = (by_name(in_force), by_name(next));
    let without_keys = |all: &BTreeMap<Name, Organisation>| -> BTreeMap<Name, Organisation> {
        let mut all = all.clone();
        all.values_mut().for_each(|it| it.keys.clear());
        all
    };
    lines.extend(compare_entries(
        "organisation",
        &without_keys(&in_force),
        &without_keys(&next),
    ));
    for (name, new) in &next {
        let Some(old) = in_force.get(name) else {
            continue;
        };
        let (added, removed) = count_keys(old, new);
        if added + removed > 0 {
            lines.push(format!(
                "organisation {name}: {added} API keys added, {removed} taken away"
            ));
        }
    }
    lines
}

/// Returns the numbers of keys that are added and taken away.
fn count_keys(old: &Organisation, new: &Organisation) -> (usize, usize) {
    let state = RandomState::new();
    let hashes = |it: &Organisation| -> BTreeSet<u64> {
        it.keys.iter().map(|key| key.hash(&state)).collect()
    };
    let (old, new) = (hashes(old), hashes(new));
    (new.difference(&old).count(), old.difference(&new).count())
}
