//! `docs/CONFIGURATION.md` lists exactly the fields of the code.

use cowslip_settings::{field::Field, operator, process};

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

#[track_caller]
fn assert_documented(heading: &str, fields: &[Field]) {
    let (_, section) = PAGE.split_once(heading).expect(heading);
    let section = section.split("\n## ").next().expect("a section");
    let rows: Vec<_> = section.lines().filter(|it| it.starts_with("| `")).collect();
    let expected: Vec<_> = fields.iter().map(Field::markdown_row).collect();
    assert_eq!(rows, expected);
}

#[test]
fn docs_list_all_instance_settings() {
    assert_documented("## Settings of a process", process::FIELDS);
}

#[test]
fn docs_list_all_operator_settings() {
    assert_documented("## Settings of the operators' command", operator::FIELDS);
}
