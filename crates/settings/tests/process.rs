//! Settings of an instance: defaults, ranges, overrides, and errors with their location.

use {
    cowslip_settings::{
        error::Error,
        overrides::Overrides,
        process::{self, ProcessSettings},
    },
    std::time::Duration,
};

const VALID: &str = r#"
name = "entry-1"
data_centre = "hk-1"
store = "127.0.0.1:8000"
token = "a-long-token"

[listen]
callers = "127.0.0.1:7001"
readiness = "127.0.0.1:7002"
operators = "127.0.0.1:7003"
heartbeats = "127.0.0.1:7004"

[bounds]
grace = "7s"
max_hold = "2500ms"
retry_ratio = "0.3"
retry_slack = 62
retry_window = ""
"#;

fn parse_settings(text: &str, flags: &[&str]) -> Result<ProcessSettings, Error> {
    let flags = Overrides::parse(flags.iter().copied())?;
    process::parse(text, "entry.toml", &flags)
}

#[track_caller]
fn assert_rejected(from: &str, to: &str, line: Option<usize>, path: &str, expected: &str) {
    assert!(VALID.contains(from), "{from}");
    let error = parse_settings(&VALID.replace(from, to), &[]).expect_err(to);
    assert_error(&error, line, path, expected);
}

#[track_caller]
fn assert_error(error: &Error, line: Option<usize>, path: &str, expected: &str) {
    assert_eq!((error.line(), error.path()), (line, Some(path)), "{error}");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn missing_and_empty_fields_get_defaults() {
    let seconds = Duration::from_secs;
    let bounds = parse_settings(VALID, &[]).expect("valid settings").bounds;
    assert_eq!(
        (bounds.grace, bounds.max_ttl),
        (seconds(7), Duration::from_millis(2500))
    );
    assert_eq!((bounds.retry_ratio, bounds.retry_slack), (0.3, 62.0));
    assert_eq!(
        (bounds.retry_window, bounds.withdrawal),
        (seconds(10), seconds(5))
    );
    let (without_bounds, _) = VALID.split_once("[bounds]").expect("bounds section");
    let process = parse_settings(without_bounds, &[]).expect("valid settings");
    assert_eq!(
        (process.bounds.grace, process.bounds.retry_slack),
        (seconds(6), 30.0)
    );
    let process = parse_settings(&VALID.replace("token = \"a-long-token\"", ""), &[])
        .expect("valid settings");
    assert!(process.token.is_empty());
}

#[test]
fn errors_contain_file_line_path_and_expected_value() {
    let error =
        parse_settings(&VALID.replace("\"7s\"", "\"7 h\""), &[]).expect_err("invalid duration");
    let text = "entry.toml:14: bounds.grace: expected a duration like \"2500ms\" or \"6s\", \
                up to a day, found \"7 h\"";
    assert_eq!(error.to_string(), text);
    assert_rejected("\"7s\"", "7", Some(14), "bounds.grace", "found 7");
    assert_rejected(
        "\"0.3\"",
        "\"-1\"",
        Some(16),
        "bounds.retry_ratio",
        "0 or more",
    );
    assert_rejected("= 62", "= inf", Some(17), "bounds.retry_slack", "0 or more");
    assert_rejected("entry-1", "", Some(2), "name", "1 to 200 bytes");
    assert_rejected("name = \"entry-1\"", "", Some(1), "name", "missing");
    assert_rejected("127.0.0.1:8000", "store:80", Some(4), "store", "ip:port");
    assert_rejected(
        "127.0.0.1:7004",
        "127.0.0.1:0",
        Some(11),
        "listen.heartbeats",
        "1 to 65535",
    );
    assert_rejected(
        "callers = \"127.0.0.1:7001\"",
        "",
        Some(7),
        "listen.callers",
        "missing",
    );
    let long = format!("{}{}", "secret", "x".repeat(256));
    let error = parse_settings(&VALID.replace("a-long-token", &long), &[]).expect_err("long token");
    assert!(!error.to_string().contains("secretx"), "{error}");
    let error = parse_settings("name = ", &[]).expect_err("syntax error");
    assert!(
        error
            .to_string()
            .starts_with("entry.toml:1: not valid TOML"),
        "{error}"
    );
}

/// A file may be written for a later build.
#[test]
fn unknown_fields_of_a_file_are_listed_and_others_are_in_force() {
    for (from, to, ignored) in [
        ("grace", "mercy", "entry.toml:14: bounds.mercy"),
        ("[bounds]", "[bound]", "entry.toml:13: bound"),
        ("token", "link_speed", "entry.toml:5: link_speed"),
    ] {
        let process = parse_settings(&VALID.replace(from, to), &[]).expect(to);
        assert_eq!(process.ignored, [ignored]);
        assert_eq!(process.name.as_ref(), "entry-1");
    }
    let process = parse_settings(VALID, &[]).expect("valid settings");
    assert!(process.ignored.is_empty());
}

#[test]
fn overrides_replace_file_values() {
    let flags = [
        "bounds.grace=9s",
        "listen.callers=127.0.0.1:7012",
        "name=entry-9",
    ];
    let process = parse_settings(VALID, &flags).expect("valid settings");
    assert_eq!(process.bounds.grace, Duration::from_secs(9));
    assert_eq!(process.listen.callers.port(), 7012);
    assert_eq!(process.name.as_ref(), "entry-9");

    let error = parse_settings(VALID, &["bounds.grace=x"]).expect_err("invalid duration");
    assert_error(&error, None, "bounds.grace", "--set: ");
    let error = parse_settings(VALID, &["bounds.beat=1"]).expect_err("unknown field");
    assert_error(&error, None, "bounds.beat", "grace");
    let error = parse_settings(VALID, &["name.deeper=1"]).expect_err("field below a string");
    assert_error(
        &error,
        None,
        "name.deeper",
        "expected name alone, as it is not a table",
    );
    let error = parse_settings(VALID, &["nothing"]).expect_err("flag without value");
    assert_error(&error, None, "nothing", "path=value");
}

#[test]
fn error_names_missing_file() {
    let path = std::path::Path::new("no-such-file.toml");
    let error = process::load(path, &Overrides::default()).expect_err("missing file");
    assert!(
        error
            .to_string()
            .starts_with("no-such-file.toml: cannot be read"),
        "{error}"
    );
}
