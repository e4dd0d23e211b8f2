//! The operators' pages name only metrics and events that exist.

use {
    cowslip_decide::{
        duty::Load,
        names::Version,
        verdict::{Reason, Verdict},
    },
    cowslipcross::{events::CATALOGUE, metrics::Metrics},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const PAGES: [&str; 2] = [
    include_str!("../../../docs/OPERATING.md"),
    include_str!("../../../docs/EVENTS.md"),
];

/// Returns the words of the pages that begin with `prefix`, without repetition.
fn words(prefix: &str) -> BTreeSet<&'static str> {
    let inside = |it: char| it.is_ascii_alphanumeric() || it == '_';
    let all = PAGES.iter().flat_map(|page| page.split(|it| !inside(it)));
    all.filter(|word| word.starts_with(prefix)).collect()
}

#[test]
fn pages_name_exactly_the_metrics_that_exist() {
    let metrics = Metrics::default();
    let (name, some) = ("x".into(), Duration::from_millis(1));
    metrics.answered(&name, &name, Verdict::NotRun, Some(Reason::Shed), some);
    metrics.bad_request(400);
    metrics.shed("x");
    metrics.loads(&BTreeMap::from([(name.clone(), Load::default())]));
    metrics.versions(Version(1), Version(1));
    metrics.ring("x", 1);
    metrics.platform_call("x", "ok", some);
    let text = String::from_utf8(metrics.text()).expect("text");
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let made: BTreeSet<_> = lines.filter_map(|line| line.split(' ').next()).collect();
    let mut named = words("cowslipcross_");
    named.remove("cowslipcross_");
    assert_eq!(named, made);
}

#[test]
fn pages_name_only_events_that_exist() {
    let made: BTreeSet<_> = CATALOGUE.iter().map(|kind| kind.code.to_string()).collect();
    let named = words("CC0");
    let unknown: Vec<_> = named.iter().filter(|code| !made.contains(**code)).collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
