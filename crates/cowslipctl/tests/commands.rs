//! Output and exit codes of the `cowslipctl` binary, also when instances are unreachable.

use {
    cowslip_adapter_standins::{
        config::{build_config, with_organisations},
        store::{FakeStore, StoreMode},
    },
    cowslip_decide::names::Incarnation,
    cowslipcross::events::{self, EventFields, EventLog, Origin},
    http::{Response, StatusCode, header::AUTHORIZATION},
    http_body_util::Full,
    hyper::{body::Bytes, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    std::{
        convert::Infallible,
        fs,
        path::PathBuf,
        process::{Command, Output},
    },
    tokio::{net::TcpListener, task::spawn_blocking},
};

const TOKEN: &str = "a-long-token";

/// Runs the command and returns its exit code, standard output and standard error.
async fn run(arguments: &[&str]) -> (i32, String, String) {
    let arguments: Vec<String> = arguments.iter().map(|it| (*it).to_owned()).collect();
    let command = move || {
        Command::new(env!("CARGO_BIN_EXE_cowslipctl"))
            .args(&arguments)
            .env_remove("COWSLIPCTL_SETTINGS")
            .env_remove("COWSLIPCTL_TOKEN")
            .output()
    };
    let output: Output = spawn_blocking(command)
        .await
        .expect("thread finished")
        .expect("command started");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("UTF-8 output");
    (
        output.status.code().expect("exit code"),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Directory for the files of one test.
struct TestDir(PathBuf);

impl TestDir {
    fn new(test: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&path).expect("test directory");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).expect("test file");
        path.display().to_string()
    }
}

#[tokio::test]
async fn check_rejects_configuration_with_invalid_parts() {
    let dir = TestDir::new("check");
    // Version 5 with a route to a service that does not exist.
    let text = build_config("r5", "boards");
    let good = dir.write("good.json", &text.replace("\"nowhere\"", "\"boards\""));
    let (code, out, error) = run(&["check", &good]).await;
    assert_eq!(code, 0, "{error}");
    assert!(
        out.contains("valid, version 5, 4 routes, 2 services"),
        "{out}"
    );
    let bad = dir.write("bad.json", &text);
    let (code, _, error) = run(&["check", &bad]).await;
    assert_eq!(code, 1);
    assert!(error.contains("service nowhere of route lost"), "{error}");
    let broken = dir.write("broken.json", "{");
    let (code, out, _) = run(&["check", &broken, "--json"]).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, &json["exit"]), (1, &1.into()));
}

#[tokio::test]
async fn invalid_flags_and_settings_exit_with_usage_error() {
    let dir = TestDir::new("usage");
    let settings = dir.write("ctl.toml", "token = \"x\"\ntimeout = 3\n");
    for (args, message) in [
        (vec!["check"], "<FILE>"),
        (vec!["remove"], "unrecognized subcommand"),
        (vec!["show"], "store"),
        (vec!["status"], "instances"),
        (
            vec!["show", "--settings", &settings],
            "ctl.toml:2: timeout: unknown field",
        ),
        (
            vec!["show", "--set", "timeout_ms=x"],
            "--set: timeout_ms: expected",
        ),
        (vec!["check", "no-such-file.json"], "no-such-file.json"),
    ] {
        let (code, _, error) = run(&args).await;
        assert_eq!(code, 2, "{args:?}: {error}");
        assert!(error.contains(message), "{args:?}: {error}");
    }
}

#[tokio::test]
async fn help_of_each_subcommand_has_examples() {
    let (code, out, _) = run(&["--help"]).await;
    assert!(code == 0 && out.contains("Exit codes:"), "{out}");
    for name in ["check", "show", "status", "timeline", "explain"] {
        let (code, out, _) = run(&[name, "--help"]).await;
        assert_eq!(code, 0);
        assert!(
            out.contains(&format!("Examples:\n  cowslipctl {name}")),
            "{out}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn show_prints_stored_configuration() {
    let store = FakeStore::start().await;
    let store_flag = format!("--set=store={}", store.address());
    let (code, _, error) = run(&["show", &store_flag]).await;
    assert!(code == 1 && error.contains("no configuration"), "{error}");
    store.put("op", "config", build_config("r5", "boards").as_bytes());
    store.put("op", "evacuate/east", b"{}");
    let (code, out, error) = run(&["show", &store_flag]).await;
    assert_eq!(code, 0, "{error}");
    assert!(
        out.contains("version 5") && out.contains("centres: east"),
        "{out}"
    );
    assert!(
        out.contains("route book front.example/book/ rank 0"),
        "{out}"
    );
    assert!(out.contains("skipped: service nowhere"), "{out}");
    let (_, out, _) = run(&["show", &store_flag, "--json"]).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (&json["version"], &json["withdrawn"]),
        (&5.into(), &json!(["east"]))
    );
    store.set_mode(StoreMode::Unavailable);
    let (code, _, error) = run(&["show", &store_flag]).await;
    assert!(code == 4 && error.contains("store unreachable"), "{error}");
}

/// Starts a server with the operators' endpoints of an instance; returns the flag that gives
/// `cowslipctl` the address.
async fn start_instance(name: &'static str, events: EventLog) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("local address");
    let status = json!({
        "name": name, "data_centre": "hk-1", "ready": true, "stopping": false, "leads": false,
        "config": 5, "targets": 4, "active": 0,
        "ages": {"config_ms": 3, "targets_ms": 700, "owners_ms": null},
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
                let authorization = request.headers().get(AUTHORIZATION);
                let authorized =
                    authorization.is_some_and(|it| it == format!("Bearer {TOKEN}").as_str());
                let body = match request.uri().path() {
                    "/status" => status.to_string(),
                    _ => serde_json::to_string(&events.events_after(0)).expect("JSON"),
                };
                let mut response = Response::new(Full::new(Bytes::from(body)));
                if !authorized {
                    *response.status_mut() = StatusCode::UNAUTHORIZED;
                }
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The command may close the connection at any time.
            let _ = connection.await;
        }
    });
    format!("--set=instances.{name}={address}")
}

fn create_event_log(name: &str) -> EventLog {
    let origin = Origin {
        process: name.into(),
        data_centre: "hk-1".into(),
        incarnation: Incarnation(1),
    };
    EventLog::new(origin, 100, None)
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_timeline_list_unreachable_instances() {
    let (first_log, second_log) = (create_event_log("entry-1"), create_event_log("entry-2"));
    let first = start_instance("entry-1", first_log.clone()).await;
    let second = start_instance("entry-2", second_log.clone()).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let closed_address = closed.local_addr().expect("local address");
    drop(closed);
    let unreachable = format!("--set=instances.entry-3={closed_address}");
    let token_flag = "--set=token=a-long-token";
    first_log.record(events::LEADERSHIP_LOST, EventFields::default());
    second_log.observe_timestamp(first_log.next_timestamp());
    second_log.record(events::LEADERSHIP_GAINED, EventFields::default());

    let (code, out, _) = run(&["status", token_flag, &first, &second]).await;
    assert!(
        code == 0 && out.contains("entry-1 ") && out.contains("3 / 700 / never"),
        "{out}"
    );
    let (code, out, _) = run(&["status", token_flag, &first, &second, &unreachable]).await;
    assert!(code == 5 && out.contains("unreachable: entry-3: "), "{out}");
    assert_eq!(run(&["status", token_flag, &unreachable]).await.0, 4);
    let (code, out, _) = run(&["status", "--set=token=wrong-token", &first]).await;
    assert!(code == 4 && out.contains("401"), "{out}");

    let (code, out, _) = run(&["timeline", token_flag, &first, &second, &unreachable]).await;
    let lines: Vec<_> = out.lines().collect();
    assert_eq!((code, lines.len()), (5, 3), "{out}");
    assert!(
        lines[0].contains("CC0609") && lines[1].contains("CC0608"),
        "{out}"
    );
    assert!(lines[2].starts_with("unreachable: entry-3: "), "{out}");
    let args = [
        "timeline",
        token_flag,
        &first,
        &second,
        &unreachable,
        "--json",
        "--instance=entry-2",
    ];
    let (code, out, _) = run(&args).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (code, json["events"].as_array().map(Vec::len)),
        (5, Some(1))
    );
    assert!(json["unreachable"]["entry-3"].is_string());
    let svg_path = TestDir::new("timeline").write("out.svg", "");
    let args = [
        "timeline",
        token_flag,
        &first,
        &second,
        "--format=svg",
        "--out",
        &svg_path,
    ];
    assert_eq!(run(&args).await.0, 0);
    let diagram = fs::read_to_string(&svg_path).expect("test file");
    assert!(diagram.contains("<circle"));
    let args = ["timeline", token_flag, &first, "--json", "--format=svg"];
    assert_eq!(run(&args).await.0, 2);
}

#[tokio::test]
async fn check_warns_of_entries_without_effect_and_of_limits_that_contradict_each_other() {
    let dir = TestDir::new("check-warnings");
    let organisations = [
        ("a", &["secret-1"][..], 1, 10, 10),
        ("b", &["secret-1"][..], 1, 10, 0),
        ("c", &[][..], 1, 0, 0),
    ];
    let text = with_organisations(&build_config("r6", "boards"), &organisations, false);
    let text = text
        .replace("\"nowhere\"", "\"boards\"")
        .replace("/lost/", "/book/")
        .replace("\"600ms\"", "\"9000ms\"")
        .replace("\"15000ms\"", "\"1000ms\"");
    let file = dir.write("next.json", &text);
    let (code, out, error) = run(&["check", &file]).await;
    assert_eq!(code, 0, "{error}");
    for expected in [
        "route lost never matches: book has the same host and prefix",
        "route lookup: its timeout of 3000 ms is shorter than its latency goal of 9000 ms",
        "limits: a request head may take 3000 ms, but a connection is idle for 1000 ms at most",
        "organisation b: one of its API keys belongs to a",
        "organisation b: a burst of 0",
        "organisation c can send nothing",
    ] {
        assert!(
            out.contains(&format!("warning: {expected}")),
            "{expected}: {out}"
        );
    }
    assert!(!out.contains("secret"), "{out}");
}

#[tokio::test]
async fn check_shows_what_differs_from_the_configuration_in_force() {
    let dir = TestDir::new("check-against");
    let config = |version, keys: &[&str], rate| {
        let organisations = [("a", keys, 1, rate, rate)];
        let text = with_organisations(&build_config(version, "boards"), &organisations, false);
        text.replace("\"nowhere\"", "\"boards\"")
    };
    let in_force = config("r5", &["secret-1", "secret-2"], 10);
    let store = FakeStore::start().await;
    store.put("op", "config", in_force.as_bytes());
    let in_force = dir.write("in-force.json", &in_force);
    let next = config("r6", &["secret-2", "secret-3", "secret-4"], 20).replace("lost", "found");
    let next = dir.write("next.json", &next);
    let store = format!("store={}", store.address());
    for against in [
        vec!["--against", &in_force],
        vec!["--against", "store", "--set", &store],
    ] {
        let (code, out, error) = run(&[vec!["check", &next], against].concat()).await;
        assert_eq!(code, 0, "{error}");
        for expected in [
            "route found: added",
            "route lost: removed",
            "organisation a: 2 API keys added, 1 taken away",
            "rate: 20.0",
        ] {
            assert!(out.contains(expected), "{expected}: {out}");
        }
        assert!(!out.contains("secret"), "{out}");
    }
    let (code, out, _) = run(&["check", &in_force, "--against", &next]).await;
    assert_eq!((code, out.as_str()), (1, ""), "an older version is ignored");
    let (code, out, _) = run(&["check", &next]).await;
    assert!(code == 0 && !out.contains("change:"), "{out}");
}
