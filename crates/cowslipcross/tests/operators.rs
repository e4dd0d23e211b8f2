//! The operators' port and the metrics.

use {
    arc_swap::ArcSwap,
    bytes::Bytes,
    cowslip_decide::{
        assign::{Assignment, Losses},
        duty::Load,
        names::{Name, Version},
        verdict::{Reason, Verdict},
    },
    cowslipcross::{
        events::{self, About, Events},
        metrics::Metrics,
        operators::{self, Sources, status::Status},
    },
    http::{Request, StatusCode},
    http_body_util::{BodyExt, Empty},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const TOKEN: &str = "Bearer a-long-token";

struct Port {
    sources: Arc<Sources>,
    address: SocketAddr,
}

impl Port {
    fn open() -> Self {
        let sources = Arc::new(Sources {
            token: "a-long-token".into(),
            events: Events::default(),
            metrics: Metrics::default(),
            status: Arc::new(ArcSwap::from_pointee(Status::default())),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        operators::start(sources.clone(), listener).expect("the duty");
        Self { sources, address }
    }

    async fn call(&self, method: &str, path: &str, token: Option<&str>) -> (StatusCode, String) {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if let Some(token) = token {
            request = request.header("authorization", token);
        }
        let request = request.body(Empty::<Bytes>::new()).expect("a request");
        let client = Client::builder(TokioExecutor::new()).build_http();
        let answer = client.request(request).await.expect("an answer");
        let status = answer.status();
        let body = answer
            .into_body()
            .collect()
            .await
            .expect("a body")
            .to_bytes();
        (status, String::from_utf8(body.to_vec()).expect("text"))
    }

    async fn json(&self, path: &str) -> Value {
        let (status, body) = self.call("GET", path, Some(TOKEN)).await;
        assert_eq!(status, StatusCode::OK, "{body}");
        serde_json::from_str(&body).expect("JSON")
    }
}

#[tokio::test]
async fn only_healthz_is_open_without_the_token() {
    let port = Port::open();
    assert_eq!(port.call("GET", "/healthz", None).await.0, StatusCode::OK);
    let wrong = [
        None,
        Some("a-long-token"),
        Some("Bearer a-long-toke"),
        Some("Bearer a-long-tokenn"),
        Some("Bearer "),
    ];
    for path in ["/metrics", "/status", "/events", "/events?after=3"] {
        for token in wrong {
            let (status, body) = port.call("GET", path, token).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED, "{path} {token:?} {body}");
            assert!(body.contains("error"), "{body}");
        }
        assert_eq!(port.call("GET", path, Some(TOKEN)).await.0, StatusCode::OK);
    }
    assert_eq!(
        port.call("GET", "/nothing", Some(TOKEN)).await.0,
        StatusCode::NOT_FOUND
    );
    let refused = port.call("POST", "/status", Some(TOKEN)).await.0;
    assert_eq!(refused, StatusCode::METHOD_NOT_ALLOWED);
}

#[tokio::test]
async fn events_come_from_a_number_on() {
    let port = Port::open();
    for detail in ["one", "two", "three"] {
        let detail = Some(detail.to_owned());
        port.sources.events.note(
            events::TABLE_DOWN,
            About {
                detail,
                ..About::default()
            },
        );
    }
    assert_eq!(
        port.json("/events").await["events"]
            .as_array()
            .map(Vec::len),
        Some(3)
    );
    let page = port.json("/events?after=2").await;
    assert_eq!(page["events"][0]["text"], "table service down: three");
    assert_eq!(
        (&page["events"][0]["seq"], &page["dropped"]),
        (&3.into(), &0.into())
    );
    for bad in ["after=x", "after=-1", "from=3"] {
        let (status, body) = port
            .call("GET", &format!("/events?{bad}"), Some(TOKEN))
            .await;
        assert_eq!(status, StatusCode::BAD_REQUEST, "{body}");
    }
}

#[tokio::test]
async fn the_status_is_the_latest_one_published() {
    let port = Port::open();
    let assignment = Assignment {
        version: Version(7),
        members: ["entry-1".into(), "entry-2".into()].into(),
        ..Assignment::default()
    };
    let losses = Losses {
        instances: ["entry-2".into()].into(),
        ..Losses::default()
    };
    let mut status = Status {
        name: "entry-1".into(),
        lease_ms: Some(250),
        ..Status::default()
    };
    status.assigned(&assignment, &losses);
    status.loads.insert(
        "board-1".into(),
        (&Load {
            in_flight: 2,
            ..Load::default()
        })
            .into(),
    );
    port.sources.status.store(Arc::new(status));
    let seen = port.json("/status").await;
    assert_eq!(
        (&seen["name"], &seen["version"]),
        (&"entry-1".into(), &7.into())
    );
    assert_eq!(seen["members"]["entry-2"], "lost");
    assert_eq!(seen["members"]["entry-1"], "alive");
    assert_eq!(seen["loads"]["board-1"]["in_flight"], 2);
    assert_eq!(seen["lease_ms"], 250);
}

#[tokio::test]
async fn metrics_count_what_they_are_told() {
    let port = Port::open();
    let metrics = &port.sources.metrics;
    let (service, route): (Name, Name) = ("registry".into(), "removal".into());
    let some = Duration::from_millis(3);
    (0..5).for_each(|_| metrics.answered(&service, &route, Verdict::Ran, None, some));
    metrics.answered(
        &service,
        &route,
        Verdict::NotRun,
        Some(Reason::Overload),
        some,
    );
    let load = Load {
        in_flight: 2,
        queued: 9,
        limit: 1,
        ..Load::default()
    };
    metrics.loads(&BTreeMap::from([
        ("board-1".into(), load.clone()),
        ("board-2".into(), load.clone()),
    ]));
    metrics.loads(&BTreeMap::from([("board-2".into(), load)]));
    metrics.lease(Some(Duration::from_millis(240)));
    metrics.versions(Version(7), Version(3));
    metrics.platform_call("get", "ok", some);
    metrics.ring("hold", 12);
    metrics.connections(4);
    metrics.in_progress(2);
    metrics.hedged();
    metrics.retried();
    metrics.shed("board-2");
    metrics.bad_request(431);
    let (_, text) = port.call("GET", "/metrics", Some(TOKEN)).await;
    let lines = [
        r#"answers_total{route="removal",service="registry",verdict="ran"} 5"#,
        r#"answers_total{route="removal",service="registry",verdict="not-run"} 1"#,
        r#"refusals_total{reason="overload",route="removal",service="registry",verdict="not-run"} 1"#,
        r#"answer_seconds_bucket{route="removal",service="registry",le="0.002"} 0"#,
        r#"answer_seconds_bucket{route="removal",service="registry",le="0.004"} 6"#,
        r#"target_in_flight{target="board-2"} 2"#,
        r#"target_queued{target="board-2"} 9"#,
        r#"target_limit{target="board-2"} 1"#,
        "lease_milliseconds 240",
        r#"version{of="assignment"} 7"#,
        r#"version{of="configuration"} 3"#,
        r#"platform_calls_total{call="get",end="ok"} 1"#,
        r#"platform_seconds_count{call="get"} 1"#,
        r#"ring_items{ring="hold"} 12"#,
        "connections 4",
        "in_progress 2",
        "hedges_total 1",
        "retries_total 1",
        r#"sheds_total{target="board-2"} 1"#,
        r#"bad_requests_total{status="431"} 1"#,
    ];
    for line in lines {
        assert!(
            text.contains(&format!("\ncowslipcross_{line}\n")),
            "{line} is not in {text}"
        );
    }
    assert!(!text.contains("board-1"), "{text}");
}

#[tokio::test]
async fn a_connection_above_the_bound_is_closed_and_others_go_on() {
    let port = Port::open();
    let mut open = Vec::new();
    for _ in 0..64 {
        open.push(
            TcpStream::connect(port.address)
                .await
                .expect("a connection"),
        );
    }
    let mut beyond = TcpStream::connect(port.address)
        .await
        .expect("a connection");
    assert!(matches!(beyond.read(&mut [0]).await, Ok(0) | Err(_)));
    let head = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";
    open[0].write_all(head).await.expect("a request");
    assert_eq!(open[0].read(&mut [0]).await.expect("an answer"), 1);
}
