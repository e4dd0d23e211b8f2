//! Tests of organisations: API keys, what targets are told of callers, and allotments over all instances.

use {
    crate::deployment::{Deployment, TOKEN, booking_request, lookup_request, wait_until},
    bytes::Bytes,
    cowslip_adapter_standins::config::{SampleOrganisation, build_config, with_organisations},
    futures_util::future::join_all,
    http::{HeaderMap, HeaderValue, Request, StatusCode},
    http_body_util::Full,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

const KEY: &str = "aj3nr26tta828m82thhk";
const OTHER_KEY: &str = "mgjqnirth5mgjy5rcpih";
const UNLIMITED: SampleOrganisation<'static> = ("bureau", &[KEY, OTHER_KEY], 1, 0, 0);
/// Requests per second and burst of the organisation with a limit.
const RATE: u32 = 20;
/// Window of the rule, and the requests that it allows: a tenth and 20 over the allotment.
const WINDOW: Duration = Duration::from_secs(5);
const MAX_REQUESTS: f64 = (RATE as f64 * 5.0 + RATE as f64) * 1.1 + 20.0;
/// Time within which a configuration is in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);

fn with_headers(
    mut request: Request<Full<Bytes>>,
    headers: &[(&'static str, &'static str)],
) -> Request<Full<Bytes>> {
    for (name, value) in headers {
        let value = HeaderValue::from_static(value);
        request.headers_mut().append(*name, value);
    }
    request
}

async fn start(instances: usize, organisations: &[SampleOrganisation<'_>]) -> Deployment {
    let deployment = Deployment::start(instances, 2, 4, Duration::from_millis(2)).await;
    apply(&deployment, "r6", organisations, false).await;
    deployment
}

async fn apply(
    deployment: &Deployment,
    version: &str,
    organisations: &[SampleOrganisation<'_>],
    public: bool,
) {
    let config = with_organisations(&build_config(version, "boards"), organisations, public);
    deployment.store.put("op", "config", config.as_bytes());
    sleep(CONFIG_APPLY).await;
}

fn received_headers(deployment: &Deployment, id: &str) -> Option<HeaderMap> {
    let mut all = deployment.boards.iter().chain(&deployment.crews);
    all.find_map(|target| target.received_headers(id))
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_get_the_name_of_the_organisation_and_never_the_api_key() {
    let deployment = start(1, &[UNLIMITED]).await;
    let instance = &deployment.instances[0];
    let claims: [&[(&str, &str)]; 3] = [
        &[],
        &[("x-tenant-id", "other"), ("X-Tenant-Id", "another")],
        &[("x_tenant_id", "other"), ("x_credential", KEY)],
    ];
    for (number, claim) in claims.into_iter().enumerate() {
        let id = format!("r{number}");
        let request = with_headers(booking_request(&id), &[("x-credential", KEY)]);
        let response = instance.send(with_headers(request, claim)).await;
        assert_eq!(response.map(|it| it.status), Some(StatusCode::OK));
        let headers = received_headers(&deployment, &id).expect("it arrived");
        let names: Vec<&HeaderValue> = headers.get_all("x-tenant-id").iter().collect();
        assert_eq!(names, ["bureau"]);
        assert!(!format!("{headers:?}").contains(KEY), "{headers:?}");
        assert!(!headers.contains_key("x_tenant_id"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn api_keys_are_in_no_log_metric_or_page() {
    let deployment = start(2, &[UNLIMITED, ("small", &["k"], 2, 1, 1)]).await;
    for instance in &deployment.instances {
        for (number, key) in [KEY, OTHER_KEY, "unknown-key-1"].into_iter().enumerate() {
            let request = with_headers(
                lookup_request(&format!("q{number}"), 7),
                &[("x-credential", key)],
            );
            instance.send(request).await.expect("a response");
        }
    }
    // Values of the wrong kind are not shown, either.
    let config = with_organisations(&build_config("r7", "boards"), &[UNLIMITED], false);
    let config = config.replace(
        &format!("[\"{KEY}\",\"{OTHER_KEY}\"]"),
        &format!("\"{KEY}\""),
    );
    deployment.store.put("op", "config", config.as_bytes());
    sleep(CONFIG_APPLY).await;
    for instance in &deployment.instances {
        let mut output = instance.log() + &instance.metrics().await;
        for path in ["/status", "/events"] {
            let page = instance.get_page(path, Some(TOKEN)).await;
            output += &String::from_utf8_lossy(&page.body);
        }
        assert!(
            output.contains("CC0305"),
            "the log tells of the wrong value"
        );
        for key in [KEY, OTHER_KEY, "unknown-key-1"] {
            assert!(!output.contains(key), "{key}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_without_a_key_of_an_organisation_are_refused_unless_the_route_is_public() {
    let deployment = start(1, &[UNLIMITED]).await;
    let instance = &deployment.instances[0];
    let cases: [&[(&str, &str)]; 3] = [
        &[],
        &[("x-credential", "unknown")],
        &[("x-credential", KEY), ("x-credential", "unknown")],
    ];
    for (number, headers) in cases.into_iter().enumerate() {
        let id = format!("r{number}");
        let response = instance
            .send(with_headers(lookup_request(&id, 7), headers))
            .await;
        assert_eq!(response.map(|it| it.status), Some(StatusCode::UNAUTHORIZED));
        assert_eq!(deployment.count_executions(&id), 0);
    }
    apply(&deployment, "r7", &[UNLIMITED], true).await;
    let request = with_headers(
        lookup_request("p1", 7),
        &[("x-tenant-id", "bureau"), ("x-credential", KEY)],
    );
    let response = instance.send(request).await;
    assert_eq!(response.map(|it| it.status), Some(StatusCode::OK));
    let headers = received_headers(&deployment, "p1").expect("it arrived");
    assert!(!headers.contains_key("x-tenant-id") && !headers.contains_key("x-credential"));
    let response = instance.send(booking_request("p2")).await;
    assert_eq!(response.map(|it| it.status), Some(StatusCode::UNAUTHORIZED));
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_that_are_taken_away_are_refused_by_all_instances_and_may_come_back() {
    let deployment = start(3, &[UNLIMITED]).await;
    let statuses = async |key: &'static str, id: &str| {
        let all = deployment.instances.iter().map(|instance| async move {
            let request = with_headers(lookup_request(id, 7), &[("x-credential", key)]);
            instance.send(request).await.expect("a response").status
        });
        join_all(all).await
    };
    assert_eq!(statuses(KEY, "a").await, [StatusCode::OK; 3]);
    apply(
        &deployment,
        "r7",
        &[("bureau", &[OTHER_KEY], 1, 0, 0)],
        false,
    )
    .await;
    assert_eq!(statuses(KEY, "b").await, [StatusCode::UNAUTHORIZED; 3]);
    assert_eq!(statuses(OTHER_KEY, "c").await, [StatusCode::OK; 3]);
    apply(&deployment, "r8", &[("bureau", &[], 1, 0, 0)], false).await;
    assert_eq!(
        statuses(OTHER_KEY, "d").await,
        [StatusCode::UNAUTHORIZED; 3]
    );
    apply(&deployment, "r9", &[UNLIMITED], false).await;
    assert_eq!(statuses(KEY, "e").await, [StatusCode::OK; 3]);
}

/// Sends bookings of the limited organisation to these instances for a time, far more than its limit;
/// returns when each one was served, and the times to return of those refused.
async fn press(
    deployment: &Deployment,
    instances: &[usize],
    time: Duration,
) -> (Vec<Instant>, Vec<f64>) {
    let end = Instant::now() + time;
    let callers = instances.iter().flat_map(|instance| {
        (0..4).map(move |caller| async move {
            let (mut served, mut waits) = (Vec::new(), Vec::new());
            let mut number = 0;
            while Instant::now() < end {
                number += 1;
                let id = format!("{instance}-{caller}-{number}-{end:?}");
                let request = with_headers(booking_request(&id), &[("x-credential", "k")]);
                let response = deployment.instances[*instance].send(request).await;
                let response = response.expect("a response");
                match response.status {
                    StatusCode::OK => served.push(Instant::now()),
                    StatusCode::TOO_MANY_REQUESTS => {
                        let wait = response.headers["retry-after"].to_str().expect("text");
                        waits.push(wait.parse().expect("seconds"));
                    }
                    StatusCode::SERVICE_UNAVAILABLE => {}
                    other => panic!("{other}"),
                }
                sleep(Duration::from_millis(25)).await;
            }
            (served, waits)
        })
    });
    let (served, waits): (Vec<_>, Vec<_>) = join_all(callers).await.into_iter().unzip();
    (served.concat(), waits.concat())
}

fn assert_allotment_kept(served: &[Instant]) {
    let count = |from: &Instant| {
        let in_window = served
            .iter()
            .filter(|at| (*from..*from + WINDOW).contains(at));
        in_window.count()
    };
    let most = served.iter().map(count).max().unwrap_or(0);
    assert!(
        most as f64 <= MAX_REQUESTS,
        "{most} of {MAX_REQUESTS} in a window"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_gets_its_allotment_and_no_more_at_one_instance_and_at_all() {
    let deployment = start(3, &[UNLIMITED, ("small", &["k"], 1, RATE, RATE)]).await;
    let (mut served, waits) = press(&deployment, &[1], Duration::from_secs(6)).await;
    assert!(served.len() as u32 >= 5 * RATE, "{} served", served.len());
    assert!(
        !waits.is_empty() && waits.iter().all(|it| (0.1..=6.1).contains(it)),
        "{waits:?}"
    );
    let (more, _) = press(&deployment, &[0, 1, 2], Duration::from_secs(6)).await;
    assert!(more.len() as u32 >= 4 * RATE, "{} served", more.len());
    served.extend(more);
    assert_allotment_kept(&served);
    // Others are let in all the while.
    let request = with_headers(booking_request("other"), &[("x-credential", KEY)]);
    let response = deployment.instances[1].send(request).await;
    assert_eq!(response.map(|it| it.status), Some(StatusCode::OK));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_allotment_holds_while_the_leader_is_killed() {
    let mut deployment = start(3, &[("small", &["k"], 1, RATE, RATE)]).await;
    let leader = deployment.find_leader().await;
    let others: Vec<usize> = (0..3).filter(|it| *it != leader).collect();
    let (mut served, _) = press(&deployment, &others, Duration::from_secs(3)).await;
    deployment.instances[leader].signal("KILL");
    let _ = deployment.instances[leader].wait_for_exit().await;
    let (more, _) = press(&deployment, &others, Duration::from_secs(8)).await;
    assert!(more.len() as u32 >= 3 * RATE, "{} served", more.len());
    served.extend(more);
    assert_allotment_kept(&served);
    wait_until(|| async { deployment.instances[others[0]].is_ready().await }).await;
}
