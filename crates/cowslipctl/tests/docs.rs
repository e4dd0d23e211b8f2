//! The command lines of the docs and of the examples in the help are valid.

use cowslipctl::cli;

const PAGES: [&str; 2] = [
    include_str!("../../../docs/OPERATIONS.md"),
    include_str!("../src/cli.rs"),
];

/// Splits a line at spaces outside of single quotes.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    for (index, part) in line.split('\'').enumerate() {
        for (place, word) in part
            .split(if index % 2 == 0 { ' ' } else { '\n' })
            .enumerate()
        {
            match (place, words.last_mut()) {
                (0, Some(last)) => last.push_str(word),
                _ => words.push(word.to_owned()),
            }
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

#[test]
fn every_command_line_of_the_docs_is_valid() {
    let mut count = 0;
    for line in PAGES.iter().flat_map(|page| page.lines()) {
        let line = line.trim().trim_end_matches("\";");
        if !line.starts_with("cowslipctl ") {
            continue;
        }
        let parsed = cli::build_command().try_get_matches_from(words(line));
        assert!(parsed.is_ok(), "{line}: {parsed:?}");
        count += 1;
    }
    assert!(count > 12, "{count} lines");
}
