//! The command as operators run it: output, exit codes, and instances that cannot be reached.

use {
    cowslip_adapter_standins::{
        config::build_config,
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

/// Runs the command with `words` and returns its exit code, standard output and error output.
async fn run(words: &[&str]) -> (i32, String, String) {
    let words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let command = move || {
        Command::new(env!("CARGO_BIN_EXE_cowslipctl"))
            .args(&words)
            .env_remove("COWSLIPCTL_SETTINGS")
            .env_remove("COWSLIPCTL_TOKEN")
            .output()
    };
    let output: Output = spawn_blocking(command)
        .await
        .expect("a thread")
        .expect("the command");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        output.status.code().expect("a code"),
        text(output.stdout),
        text(output.stderr),
    )
}

/// A directory with the files of one test.
struct Files(PathBuf);

impl Files {
    fn new(test: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, text).expect("a file");
        path.display().to_string()
    }
}

#[tokio::test]
async fn check_says_what_instances_would_leave_out() {
    let files = Files::new("check");
    let whole = build_config("r5", "boards");
    let good = files.write("good.json", &whole.replace("\"nowhere\"", "\"boards\""));
    let (code, out, error) = run(&["check", &good]).await;
    assert_eq!(code, 0, "{error}");
    assert!(
        out.contains("valid, version 5, 4 routes, 2 services"),
        "{out}"
    );
    let bad = files.write("bad.json", &whole);
    let (code, _, error) = run(&["check", &bad]).await;
    assert_eq!(code, 1);
    assert!(error.contains("service nowhere of route lost"), "{error}");
    let broken = files.write("broken.json", "{");
    let (code, out, _) = run(&["check", &broken, "--json"]).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, &json["exit"]), (1, &1.into()));
}

#[tokio::test]
async fn wrong_flags_and_settings_are_usage_errors() {
    let files = Files::new("usage");
    let settings = files.write("ctl.toml", "token = \"x\"\ntimeout = 3\n");
    for (words, said) in [
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
        let (code, _, error) = run(&words).await;
        assert_eq!(code, 2, "{words:?}: {error}");
        assert!(error.contains(said), "{words:?}: {error}");
    }
}

#[tokio::test]
async fn every_subcommand_has_help_with_examples() {
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
async fn show_prints_what_is_in_force() {
    let store = FakeStore::start().await;
    let set = format!("--set=store={}", store.address());
    let (code, _, error) = run(&["show", &set]).await;
    assert!(code == 1 && error.contains("no configuration"), "{error}");
    store.put("op", "config", build_config("r5", "boards").as_bytes());
    store.put("op", "evacuate/east", b"{}");
    let (code, out, error) = run(&["show", &set]).await;
    assert_eq!(code, 0, "{error}");
    assert!(
        out.contains("version 5") && out.contains("centres: east"),
        "{out}"
    );
    assert!(
        out.contains("route book front.example/book/ rank 0"),
        "{out}"
    );
    assert!(out.contains("left out: service nowhere"), "{out}");
    let (_, out, _) = run(&["show", &set, "--json"]).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (&json["version"], &json["withdrawn"]),
        (&5.into(), &json!(["east"]))
    );
    store.set_mode(StoreMode::Unavailable);
    let (code, _, error) = run(&["show", &set]).await;
    assert!(code == 4 && error.contains("store unreachable"), "{error}");
}

/// Serves the operators' pages of an instance with some events; returns the flag that names it.
async fn instance(name: &'static str, events: EventLog) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let status = json!({
        "name": name, "data_centre": "hk-1", "ready": true, "stopping": false, "leads": false,
        "config": 5, "targets": 4, "active": 0,
        "ages": {"config_ms": 3, "targets_ms": 700, "owners_ms": null},
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: http::Request<hyper::body::Incoming>| {
                let given = request.headers().get(AUTHORIZATION);
                let granted = given.is_some_and(|it| it == format!("Bearer {TOKEN}").as_str());
                let body = match request.uri().path() {
                    "/status" => status.to_string(),
                    _ => serde_json::to_string(&events.events_after(0)).expect("JSON"),
                };
                let mut response = Response::new(Full::new(Bytes::from(body)));
                if !granted {
                    *response.status_mut() = StatusCode::UNAUTHORIZED;
                }
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The command closes its connections as it likes.
            let _ = connection.await;
        }
    });
    format!("--set=instances.{name}={address}")
}

fn origin(name: &str) -> EventLog {
    let origin = Origin {
        process: name.into(),
        data_centre: "hk-1".into(),
        incarnation: Incarnation(1),
    };
    EventLog::new(origin, 100, None)
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_timeline_say_whom_they_could_not_reach() {
    let (one, two) = (origin("entry-1"), origin("entry-2"));
    let first = instance("entry-1", one.clone()).await;
    let second = instance("entry-2", two.clone()).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let gone = closed.local_addr().expect("an address");
    drop(closed);
    let gone = format!("--set=instances.entry-3={gone}");
    let token = "--set=token=a-long-token";
    one.record(events::LEADERSHIP_LOST, EventFields::default());
    two.observe_timestamp(one.next_timestamp());
    two.record(events::LEADERSHIP_GAINED, EventFields::default());

    let (code, out, _) = run(&["status", token, &first, &second]).await;
    assert!(
        code == 0 && out.contains("entry-1 ") && out.contains("3 / 700 / never"),
        "{out}"
    );
    let (code, out, _) = run(&["status", token, &first, &second, &gone]).await;
    assert!(code == 5 && out.contains("unreachable: entry-3: "), "{out}");
    assert_eq!(run(&["status", token, &gone]).await.0, 4);
    let (code, out, _) = run(&["status", "--set=token=wrong-token", &first]).await;
    assert!(code == 4 && out.contains("401"), "{out}");

    let (code, out, _) = run(&["timeline", token, &first, &second, &gone]).await;
    let lines: Vec<_> = out.lines().collect();
    assert_eq!((code, lines.len()), (5, 3), "{out}");
    assert!(
        lines[0].contains("CC0609") && lines[1].contains("CC0608"),
        "{out}"
    );
    assert!(lines[2].starts_with("unreachable: entry-3: "), "{out}");
    let words = [
        "timeline",
        token,
        &first,
        &second,
        &gone,
        "--json",
        "--instance=entry-2",
    ];
    let (code, out, _) = run(&words).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (code, json["events"].as_array().map(Vec::len)),
        (5, Some(1))
    );
    assert!(json["unreachable"]["entry-3"].is_string());
    let svg = Files::new("timeline").write("out.svg", "");
    let words = [
        "timeline",
        token,
        &first,
        &second,
        "--format=svg",
        "--out",
        &svg,
    ];
    assert_eq!(run(&words).await.0, 0);
    let picture = fs::read_to_string(&svg).expect("a file");
    assert!(picture.contains("<circle"));
    let words = ["timeline", token, &first, "--json", "--format=svg"];
    assert_eq!(run(&words).await.0, 2);
}
