//! Command lines in the docs and in the `--help` examples are valid.

use cowslipctl::cli;

const SOURCES: [&str; 2] = [
    include_str!("../../../docs/OPERATIONS.md"),
    include_str!("../src/cli.rs"),
];

/// Splits a command line at spaces outside single quotes.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    for (index, part) in line.split('\'').enumerate() {
        for (position, word) in part
            .split(if index % 2 == 0 { ' ' } else { '\n' })
            .enumerate()
        {
            match (position, words.last_mut()) {
                (0, Some(last)) => last.push_str(word),
                _ => words.push(word.to_owned()),
            }
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

#[test]
fn documented_command_lines_are_valid() {
    let mut count = 0;
    for line in SOURCES.iter().flat_map(|text| text.lines()) {
        let line = line.trim().trim_end_matches("\";");
        if !line.starts_with("cowslipctl ") {
            continue;
        }
        let parsed = cli::build_command().try_get_matches_from(split_words(line));
        assert!(parsed.is_ok(), "{line}: {parsed:?}");
        count += 1;
    }
    assert!(count > 12, "{count} lines");
}
