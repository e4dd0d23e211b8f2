//! Settings of a process: defaults, bounds, flags and errors that name the place.

use cowslip_settings::{
    error::Error,
    overrides::Overrides,
    process::{self, FIELDS, Process, limits::Limits, timing::Timing},
};

const GOOD: &str = r#"
name = "entry-1"
data_centre = "hk-1"
deployment = "ishikari"
token = "a-long-token"

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"

[platform]
table = "http://127.0.0.1:8000"
objects = "http://127.0.0.1:8001"
instances = "http://127.0.0.1:8002"

[peers]
entry-2 = "127.0.0.1:7011"

[timing]
heartbeat_ms = 20
"#;

fn read(text: &str, flags: &[&str]) -> Result<Process, Error> {
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
fn absent_fields_have_their_defaults() {
    let process = read(GOOD, &[]).expect("good");
    let timing = Timing {
        heartbeat_ms: 20,
        ..Timing::default()
    };
    assert_eq!(process.timing, timing);
    assert_eq!(process.limits, Limits::default());
    assert_eq!(process.platform.bucket.as_ref(), "cowslipcross");
    assert_eq!(process.peers["entry-2"].port(), 7011);
    assert_eq!(process.listen.callers.port(), 0);
}

#[test]
fn errors_name_file_line_path_and_expectation() {
    let error = read(&GOOD.replace("= 20", "= 1"), &[]).expect_err("too small");
    let text =
        "entry.toml:21: timing.heartbeat_ms: expected a whole number from 5 to 5000, found 1";
    assert_eq!(error.to_string(), text);
    refused(
        "= 20",
        "= \"20\"",
        Some(21),
        "timing.heartbeat_ms",
        "found \"20\"",
    );
    refused(
        "= 20",
        "= -20",
        Some(21),
        "timing.heartbeat_ms",
        "found -20",
    );
    refused(
        "heartbeat_ms",
        "heartbeat",
        Some(21),
        "timing.heartbeat",
        "unknown field",
    );
    refused("[timing]", "[timings]", Some(20), "timings", "timing");
    refused(
        "= 20",
        "= 200",
        Some(20),
        "timing.lease_ms",
        "at least 4 times heartbeat_ms (800)",
    );
    refused("entry-1", "Entry 1", Some(2), "name", "a name of");
    refused("name = \"entry-1\"", "", Some(1), "name", "missing");
    refused("a-long-token", "short", Some(5), "token", "8 to 256");
    refused(
        "127.0.0.1:7011",
        "localhost:7011",
        Some(18),
        "peers.entry-2",
        "ip:port",
    );
    refused(
        "127.0.0.1:7011",
        "127.0.0.1:0",
        Some(18),
        "peers.entry-2",
        "1 to 65535",
    );
    let error = read(&GOOD.replace("a-long-token", "secret"), &[]).expect_err("short token");
    assert!(!error.to_string().contains("\"secret\""), "{error}");
    refused(
        "http://127.0.0.1:8000",
        "https://x",
        Some(13),
        "platform.table",
        "http://ip:port",
    );
    refused(
        "callers = \"127.0.0.1:0\"",
        "",
        Some(7),
        "listen.callers",
        "missing",
    );
    refused(
        "[timing]\nheartbeat_ms",
        "timing",
        Some(20),
        "peers.timing",
        "ip:port",
    );
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
        "timing.heartbeat_ms=30",
        "peers.entry-3=127.0.0.1:7012",
        "name=entry-9",
    ];
    let process = read(GOOD, &flags).expect("good");
    assert_eq!(process.timing.heartbeat_ms, 30);
    assert_eq!(process.peers.len(), 2);
    assert_eq!(process.name.as_ref(), "entry-9");
    let limits = read(GOOD, &["limits.body_bytes=7"]).expect("good").limits;
    assert_eq!(limits.body_bytes, 7);

    let error = read(GOOD, &["timing.heartbeat_ms=x"]).expect_err("type");
    check(&error, None, "timing.heartbeat_ms", "--set: ");
    let error = read(GOOD, &["timing.beat=1"]).expect_err("unknown");
    check(&error, None, "timing.beat", "heartbeat_ms");
    let error = read(GOOD, &["name.deeper=1"]).expect_err("below a text");
    check(&error, None, "name.deeper", "no field below name");
    let error = read(GOOD, &["nothing"]).expect_err("no value");
    check(&error, None, "nothing", "path=value");
}

/// Every number is refused one beyond each bound and accepted at each bound that others permit.
#[test]
fn every_number_has_bounds() {
    use cowslip_settings::field::Kind;
    for field in FIELDS {
        let Kind::Number(low, high) = field.kind else {
            continue;
        };
        let default: u64 = field.default.expect("a default").parse().expect("a number");
        assert!((low..=high).contains(&default), "{}", field.path);
        let beyond = [low.checked_sub(1), Some(high + 1)];
        for value in beyond.into_iter().flatten() {
            let flag = format!("{}={value}", field.path);
            let error = read(GOOD, &[&flag]).expect_err(&flag);
            check(&error, None, field.path, &field.kind.to_string());
        }
        read(GOOD, &[&format!("{}={default}", field.path)]).expect(field.path);
    }
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
