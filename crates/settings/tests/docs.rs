//! The page of the fields lists exactly the fields of the code.

use cowslip_settings::{field::Field, operator, process};

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

#[track_caller]
fn check(heading: &str, fields: &[Field]) {
    let (_, section) = PAGE.split_once(heading).expect(heading);
    let section = section.split("\n## ").next().expect("a section");
    let rows: Vec<_> = section.lines().filter(|it| it.starts_with("| `")).collect();
    let expected: Vec<_> = fields.iter().map(Field::markdown_row).collect();
    assert_eq!(rows, expected);
}

#[test]
fn the_page_lists_every_setting() {
    check("## Settings of a process", process::FIELDS);
}

#[test]
fn the_page_lists_every_setting_of_the_command() {
    check("## Settings of the operators' command", operator::FIELDS);
}
