//! Tests that the operators' pages name only metrics and events that exist.

use {
    cowslipcross::{events::CATALOGUE, metrics::Metrics},
    std::collections::BTreeSet,
};

const PAGES: [&str; 2] = [
    include_str!("../../../docs/OPERATIONS.md"),
    include_str!("../../../docs/EVENTS.md"),
];

/// Returns the distinct words of the pages that begin with `prefix`.
fn find_words(prefix: &str) -> BTreeSet<&'static str> {
    let is_word_char = |it: char| it.is_ascii_alphanumeric() || it == '_';
    let all = PAGES
        .iter()
        .flat_map(|page| page.split(|it| !is_word_char(it)));
    all.filter(|word| word.starts_with(prefix)).collect()
}

#[test]
fn pages_name_exactly_the_metrics_that_exist() {
    let metrics = Metrics::default();
    let existing: BTreeSet<_> = metrics.names().iter().map(String::as_str).collect();
    let mut named = find_words("cowslipcross_");
    named.remove("cowslipcross_");
    assert_eq!(named, existing);
}

#[test]
fn pages_name_only_events_that_exist() {
    let existing: BTreeSet<_> = CATALOGUE.iter().map(|kind| kind.code.to_string()).collect();
    let named = find_words("CC0");
    let unknown: Vec<_> = named
        .iter()
        .filter(|code| !existing.contains(**code))
        .collect();
    assert!(unknown.is_empty(), "{unknown:?}");
}
