//! Tests of the operators' pages of a running instance.

use {
    crate::deployment::{Deployment, TOKEN, lookup_request, wait_until},
    http::StatusCode,
    serde_json::Value,
    std::time::Duration,
};

fn json(body: &[u8]) -> Value {
    serde_json::from_slice(body).expect("JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn status_and_events_need_the_token() {
    let deployment = Deployment::start(1, 2, 2, Duration::from_millis(5)).await;
    let instance = &deployment.instances[0];
    for path in ["/status", "/events"] {
        for token in [None, Some("wrong-token"), Some("")] {
            let response = instance.get_page(path, token).await;
            assert_eq!(
                response.status,
                StatusCode::UNAUTHORIZED,
                "{path} {token:?}"
            );
        }
        let response = instance.get_page(path, Some(TOKEN)).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    for path in ["/healthz", "/metrics"] {
        assert_eq!(instance.get_page(path, None).await.status, StatusCode::OK);
    }
    assert_eq!(
        instance.get_page("/x", None).await.status,
        StatusCode::NOT_FOUND
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn status_contains_versions_ages_and_withdrawals() {
    let deployment = Deployment::start(1, 2, 2, Duration::from_millis(5)).await;
    let instance = &deployment.instances[0];
    let status = json(&instance.get_page("/status", Some(TOKEN)).await.body);
    assert_eq!(status["name"], "i0");
    assert_eq!(
        (&status["ready"], &status["leads"]),
        (&true.into(), &true.into())
    );
    // Version `r5` of the configuration; 2 targets of each of the two services.
    assert_eq!(
        (&status["config"], &status["targets"]),
        (&5.into(), &4.into())
    );
    assert!(status["owners"]["boards"].as_u64().is_some_and(|it| it > 0));
    for view in ["config_ms", "targets_ms", "owners_ms"] {
        let age = status["ages"][view].as_u64();
        assert!(age.is_some_and(|age| age < 4000), "{view}: {age:?}");
    }
    deployment.store.put("op", "evacuate/east", b"{}");
    wait_until(|| async {
        let status = json(&instance.get_page("/status", Some(TOKEN)).await.body);
        status["withdrawn"] == serde_json::json!(["east"])
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn events_can_be_read_after_a_number_and_metrics_contain_ages_and_responses() {
    let deployment = Deployment::start(1, 2, 2, Duration::from_millis(5)).await;
    let instance = &deployment.instances[0];
    let response = instance
        .send(lookup_request("r1", 7))
        .await
        .expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    let page = json(&instance.get_page("/events", Some(TOKEN)).await.body);
    let events = page["events"].as_array().expect("events");
    assert_eq!(events[0]["code"], "CC0101");
    let last = events.last().expect("an event")["seq"].as_u64();
    let path = format!("/events?after={}", last.expect("a number"));
    let page = json(&instance.get_page(&path, Some(TOKEN)).await.body);
    assert!(page["events"].as_array().expect("events").len() < events.len());
    let bad = instance.get_page("/events?after=x", Some(TOKEN)).await;
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
    let metrics = instance.metrics().await;
    assert!(metrics.contains("cowslipcross_answers_total{kind=\"repeatable\""));
    for view in ["configuration", "targets", "owners"] {
        let line = format!("cowslipcross_view_age_seconds{{view=\"{view}\"}}");
        assert!(metrics.contains(&line), "{line} in {metrics}");
    }
}
