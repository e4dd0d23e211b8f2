//! The command as operators run it: output, exit codes, and instances that cannot be reached.

use {
    arc_swap::ArcSwap,
    cowslip_decide::names::{Incarnation, Version},
    cowslip_standins::platform::{Faults, Handle, serve},
    cowslipcross::{
        events::{self, About, Events, Origin},
        metrics::Metrics,
        operators::{self, Sources, status::Status},
    },
    serde_json::Value,
    std::{
        fs,
        net::TcpListener as Listener,
        path::PathBuf,
        process::{Command, Output},
        sync::Arc,
    },
    tokio::{net::TcpListener, task::spawn_blocking},
};

const DOCUMENT: &str = include_str!("../../../examples/ishikari.toml");

/// Runs the command with `words` and returns its exit code, standard output and error output.
async fn run(words: &[&str]) -> (i32, String, String) {
    let words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let command = move || {
        Command::new(env!("CARGO_BIN_EXE_cowslipctl"))
            .args(&words)
            .env_remove("COWSLIPCTL_SETTINGS")
            .env_remove("COWSLIPCTL_TOKEN")
            .env_remove("COWSLIPCTL_AUTHOR")
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

async fn platform() -> (Handle, String) {
    let handle = serve(TcpListener::bind("127.0.0.1:0").await.expect("a port")).expect("stand-in");
    let url = format!("http://{}", handle.address());
    let text = format!(
        "author = \"ann\"\ntoken = \"a-long-token\"\n[platform]\ntable = {url:?}\nobjects = {url:?}\n"
    );
    (handle, text)
}

#[tokio::test]
async fn check_names_file_line_and_field() {
    let files = Files::new("check");
    let good = files.write("good.toml", DOCUMENT);
    let (code, out, _) = run(&["check", &good]).await;
    assert_eq!(code, 0);
    assert!(out.contains("valid, 2 services, 33 targets"), "{out}");
    let bad = files.write("bad.toml", &DOCUMENT.replacen("slots = 2", "slots = 0", 1));
    let (code, _, error) = run(&["check", &bad]).await;
    assert_eq!(code, 1);
    assert!(
        error.contains("bad.toml:27: service[0].target[0].slots: expected"),
        "{error}"
    );
    let (code, out, _) = run(&["check", &bad, "--json"]).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (code, &json["line"], &json["exit"]),
        (1, &27.into(), &1.into())
    );
    assert_eq!(json["path"], "service[0].target[0].slots");
}

#[tokio::test]
async fn wrong_flags_and_settings_are_usage_errors() {
    let files = Files::new("usage");
    let settings = files.write("ctl.toml", "author = \"ann\"\ntimeout = 3\n");
    for (words, said) in [
        (vec!["publish"], "<FILE>"),
        (vec!["remove"], "unrecognized subcommand"),
        (vec!["show"], "platform"),
        (vec!["status"], "instances"),
        (
            vec!["show", "--settings", &settings],
            "ctl.toml:2: timeout: unknown field",
        ),
        (
            vec!["show", "--set", "timeout_ms=x"],
            "--set: timeout_ms: expected",
        ),
        (vec!["check", "no-such-file.toml"], "no-such-file.toml"),
    ] {
        let (code, _, error) = run(&words).await;
        assert_eq!(code, 2, "{words:?}: {error}");
        assert!(error.contains(said), "{words:?}: {error}");
    }
}

#[tokio::test]
async fn every_subcommand_has_help_with_examples() {
    let (code, out, _) = run(&["--help"]).await;
    assert!(
        code == 0 && out.contains("Exit codes:") && out.contains("lost race"),
        "{out}"
    );
    for name in [
        "check", "publish", "show", "withdraw", "restore", "status", "timeline",
    ] {
        let (code, out, _) = run(&[name, "--help"]).await;
        assert_eq!(code, 0);
        assert!(
            out.contains(&format!("Examples:\n  cowslipctl {name}")),
            "{out}"
        );
    }
}

#[tokio::test]
async fn publish_withdraw_and_restore_go_up_by_one_version_each() {
    let (handle, settings) = platform().await;
    let files = Files::new("publish");
    let settings = files.write("ctl.toml", &settings);
    let document = files.write("board.toml", DOCUMENT);
    let ctl = async |words: &[&str]| run(&[&["--settings", &settings], words].concat()).await;

    assert_eq!(ctl(&["show"]).await.0, 1);
    let (code, out, error) = ctl(&["publish", &document]).await;
    assert!(
        code == 0 && out.starts_with("published: version 1 by \"ann\""),
        "{out}{error}"
    );
    let (code, out, _) = ctl(&["publish", &document]).await;
    assert!(
        code == 0 && out.starts_with("unchanged: version 1"),
        "{out}"
    );
    let (_, out, _) = ctl(&["show", "--json"]).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (&json["version"], &json["document"]),
        (&1.into(), &DOCUMENT.into())
    );

    let (code, out, _) = ctl(&["withdraw", "hk-2"]).await;
    assert!(
        code == 0 && out.starts_with("hk-2 withdrawn: version 2"),
        "{out}"
    );
    let (code, out, _) = ctl(&["withdraw", "hk-2"]).await;
    assert!(
        code == 0 && out.starts_with("hk-2 already withdrawn: version 2"),
        "{out}"
    );
    let (_, out, _) = ctl(&["show"]).await;
    assert!(out.contains("withdrawn = [\"hk-2\"]"), "{out}");
    let (code, _, error) = ctl(&["withdraw", "ne-1"]).await;
    assert!(
        code == 1 && error.contains("hk-1, hk-2, hk-3, hk-4"),
        "{error}"
    );

    let race = ["--set", "author=bob", "restore", "hk-2", "--json"];
    for expected in ["1", "3"] {
        let (code, out, _) = ctl(&[&race[..], &["--expect", expected]].concat()).await;
        let json: Value = serde_json::from_str(&out).expect("JSON");
        assert_eq!(
            (code, &json["author"], &json["version"]),
            (3, &"ann".into(), &2.into())
        );
    }
    let (code, out, _) = ctl(&[&race[..], &["--expect", "2"]].concat()).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        (code, &json["author"], &json["version"]),
        (0, &"bob".into(), &3.into())
    );

    handle.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let (code, _, error) = ctl(&["withdraw", "hk-1"]).await;
    assert!(
        code == 4 && error.contains("platform unreachable"),
        "{error}"
    );
}

/// An instance's operators' port with one status and some events.
fn instance(name: &str, config: u64) -> (Arc<Sources>, String) {
    let origin = Origin {
        process: name.into(),
        data_centre: "hk-1".into(),
        incarnation: Incarnation(1),
    };
    let status = Status {
        name: name.into(),
        data_centre: "hk-1".into(),
        config: Version(config),
        lease_ms: Some(250),
        ..Status::default()
    };
    let sources = Arc::new(Sources {
        token: "a-long-token".into(),
        events: Events::new(origin, 100, None),
        metrics: Metrics::default(),
        status: Arc::new(ArcSwap::from_pointee(status)),
    });
    let listener = Listener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    operators::start(sources.clone(), listener).expect("the duty");
    (sources, format!("--set=instances.{name}={address}"))
}

#[tokio::test]
async fn status_and_timeline_say_whom_they_could_not_reach() {
    let ((one, first), (two, second)) = (instance("entry-1", 1), instance("entry-2", 2));
    let closed = Listener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("an address");
    let gone = format!("--set=instances.entry-3={closed}");
    let token = "--set=token=a-long-token";
    one.events.note(events::LEASE_LOST, About::default());
    two.events.witness(one.events.clock());
    two.events.note(
        events::INSTANCE_LOST,
        About {
            instance: Some("entry-1".into()),
            ..About::default()
        },
    );

    let (code, out, _) = run(&["status", token, &first, &second]).await;
    assert!(
        code == 0 && out.contains("entry-1 ") && out.contains("entry-2 "),
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
        lines[0].contains("CC0202") && lines[1].contains("CC0203"),
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
    assert!(
        fs::read_to_string(&svg)
            .expect("a file")
            .contains("<circle")
    );
    let words = ["timeline", token, &first, &second, "--json", "--out", &svg];
    let (code, out, _) = run(&words).await;
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, &json["events"]), (0, &2.into()));
    let saved = fs::read_to_string(&svg).expect("a file");
    let saved: Value = serde_json::from_str(&saved).expect("JSON");
    assert_eq!(saved["events"].as_array().map(Vec::len), Some(2));
    let words = ["timeline", token, &first, "--json", "--format=svg"];
    assert_eq!(run(&words).await.0, 2);
}

#[tokio::test]
async fn publish_waits_until_the_instances_follow() {
    let (_handle, settings) = platform().await;
    let files = Files::new("wait");
    let settings = files.write("ctl.toml", &settings);
    let document = files.write("board.toml", DOCUMENT);
    let ((_one, first), (two, second)) = (instance("entry-1", 1), instance("entry-2", 0));
    let words = [
        "--settings",
        &settings,
        "publish",
        &document,
        &first,
        &second,
        "--wait",
    ];
    let (code, out, _) = run(&[&words[..], &["0"]].concat()).await;
    assert!(
        code == 5 && out.contains("not in force at entry-2: version 0"),
        "{out}"
    );
    let status = Status {
        config: Version(2),
        ..Status::default()
    };
    two.status.store(Arc::new(status));
    let (code, out, _) = run(&[
        "--settings",
        &settings,
        "withdraw",
        "hk-1",
        &second,
        "--wait=60",
    ])
    .await;
    assert!(
        code == 0 && out.contains("in force at every instance"),
        "{out}"
    );
}
