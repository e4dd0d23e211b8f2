//! Settings of a process: defaults, bounds, flags and errors that name the place.

use {
    cowslip_settings::{
        error::Error,
        overrides::Overrides,
        process::{self, ProcessSettings},
    },
    std::time::Duration,
};

const GOOD: &str = r#"
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

fn read(text: &str, flags: &[&str]) -> Result<ProcessSettings, Error> {
    let flags = Overrides::parse(flags.iter().copied())?;
    process::parse(text, "entry.toml", &flags)
}

#[track_caller]
fn refused(from: &str, to: &str, line: Option<usize>, path: &str, expected: &str) {
    assert!(GOOD.contains(from), "{from}");
    let error = read(&GOOD.replace(from, to), &[]).expect_err(to);
    check(&error, line, path, expected);
}

#[track_caller]
fn check(error: &Error, line: Option<usize>, path: &str, expected: &str) {
    assert_eq!((error.line(), error.path()), (line, Some(path)), "{error}");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn absent_and_empty_fields_have_their_defaults() {
    let seconds = Duration::from_secs;
    let bounds = read(GOOD, &[]).expect("good").bounds;
    assert_eq!(
        (bounds.grace, bounds.max_ttl),
        (seconds(7), Duration::from_millis(2500))
    );
    assert_eq!((bounds.retry_ratio, bounds.retry_slack), (0.3, 62.0));
    assert_eq!(
        (bounds.retry_window, bounds.withdrawal),
        (seconds(10), seconds(5))
    );
    let (short, _) = GOOD.split_once("[bounds]").expect("a section");
    let process = read(short, &[]).expect("good");
    assert_eq!(
        (process.bounds.grace, process.bounds.retry_slack),
        (seconds(6), 30.0)
    );
    let process = read(&GOOD.replace("token = \"a-long-token\"", ""), &[]).expect("good");
    assert!(process.token.is_empty());
}

#[test]
fn errors_name_file_line_path_and_expectation() {
    let error = read(&GOOD.replace("\"7s\"", "\"7 h\""), &[]).expect_err("no time");
    let text = "entry.toml:14: bounds.grace: expected a time such as \"2500ms\" or \"6s\", \
                at most a day, found \"7 h\"";
    assert_eq!(error.to_string(), text);
    refused("\"7s\"", "7", Some(14), "bounds.grace", "found 7");
    refused(
        "\"0.3\"",
        "\"-1\"",
        Some(16),
        "bounds.retry_ratio",
        "0 or more",
    );
    refused("= 62", "= inf", Some(17), "bounds.retry_slack", "0 or more");
    refused("grace", "mercy", Some(14), "bounds.mercy", "unknown field");
    refused("[bounds]", "[bound]", Some(13), "bound", "bounds");
    refused("entry-1", "", Some(2), "name", "1 to 200 bytes");
    refused("name = \"entry-1\"", "", Some(1), "name", "missing");
    refused("127.0.0.1:8000", "store:80", Some(4), "store", "ip:port");
    refused(
        "127.0.0.1:7004",
        "127.0.0.1:0",
        Some(11),
        "listen.heartbeats",
        "1 to 65535",
    );
    refused(
        "callers = \"127.0.0.1:7001\"",
        "",
        Some(7),
        "listen.callers",
        "missing",
    );
    let long = format!("{}{}", "secret", "x".repeat(256));
    let error = read(&GOOD.replace("a-long-token", &long), &[]).expect_err("long token");
    assert!(!error.to_string().contains("secretx"), "{error}");
    let error = read("name = ", &[]).expect_err("syntax");
    assert!(
        error
            .to_string()
            .starts_with("entry.toml:1: not valid TOML"),
        "{error}"
    );
}

#[test]
fn flags_go_over_the_file() {
    let flags = [
        "bounds.grace=9s",
        "listen.callers=127.0.0.1:7012",
        "name=entry-9",
    ];
    let process = read(GOOD, &flags).expect("good");
    assert_eq!(process.bounds.grace, Duration::from_secs(9));
    assert_eq!(process.listen.callers.port(), 7012);
    assert_eq!(process.name.as_ref(), "entry-9");

    let error = read(GOOD, &["bounds.grace=x"]).expect_err("type");
    check(&error, None, "bounds.grace", "--set: ");
    let error = read(GOOD, &["bounds.beat=1"]).expect_err("unknown");
    check(&error, None, "bounds.beat", "grace");
    let error = read(GOOD, &["name.deeper=1"]).expect_err("below a text");
    check(&error, None, "name.deeper", "no field below name");
    let error = read(GOOD, &["nothing"]).expect_err("no value");
    check(&error, None, "nothing", "path=value");
}

#[test]
fn an_absent_file_is_named() {
    let path = std::path::Path::new("no-such-file.toml");
    let error = process::load(path, &Overrides::default()).expect_err("absent");
    assert!(
        error
            .to_string()
            .starts_with("no-such-file.toml: cannot be read"),
        "{error}"
    );
}
