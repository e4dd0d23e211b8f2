//! Tests of entries in the table of targets that another writer has left.

use {
    crate::deployment::{Deployment, lookup_request, removal_request, wait_until},
    cowslip_adapter_standins::scripted_target::ScriptedTarget,
    http::StatusCode,
    std::time::Duration,
    tokio::time::sleep,
};

const PROCESSING_TIME: Duration = Duration::from_millis(20);
/// Largest row of the store.
const MAX_ROW_BYTES: usize = 64 << 10;
/// Memory of the smallest instances.
const INSTANCE_MEMORY_BYTES: u64 = 120 << 20;
/// Time in which the leader reads the targets over twenty times.
const READ_TIME: Duration = Duration::from_secs(14);
/// Rows that are as long as they may be.
const LONG_ROWS: usize = 40;
/// Longest line of the log.
const MAX_LOG_LINE_BYTES: usize = 4 << 10;

/// Returns a report with one field replaced by this JSON.
fn report_with(field: &str, json: &str) -> String {
    let fields = [
        ("Service", r#""boards""#),
        ("Address", r#""127.0.0.1:9""#),
        ("Zone", r#""west""#),
        ("Version", r#""v1""#),
        ("Slots", "4"),
        ("State", r#""ready""#),
        ("ColdRemaining", r#""0ms""#),
        ("Sequence", "1"),
        ("born", "1"),
    ];
    let fields = fields.map(|(name, usual)| {
        let value = if name == field { json } else { usual };
        format!(r#""{name}":{value}"#)
    });
    format!("{{{}}}", fields.join(","))
}

fn nested(open: &str, close: &str) -> String {
    let depth = MAX_ROW_BYTES / (open.len() + close.len()) - 100;
    format!("{}1{}", open.repeat(depth), close.repeat(depth))
}

/// Returns reports none of which names a target to use.
fn odd_reports() -> Vec<String> {
    let mut reports = vec![
        nested("[", "]"),
        nested(r#"{"a":"#, "}"),
        report_with("State", &nested("[", "]")),
        format!(
            r#"{{"more":{},{}"#,
            nested("[", "]"),
            &report_with("", "")[1..]
        ),
    ];
    let too_large = ["1e400", "-1", "1e30", "18446744073709551616", "0.5"];
    for number in too_large {
        for field in ["Slots", "Sequence", "born"] {
            reports.push(report_with(field, number));
        }
    }
    reports.push(report_with("Slots", "18446744073709551615"));
    let times = ["1e400ms", "-1ms", "infs", "NaNs"];
    reports.extend(times.map(|time| report_with("ColdRemaining", &format!("{time:?}"))));
    let addresses = [
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1:99999999999999999999",
        "127.0.0.1:0",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
    ];
    reports.extend(addresses.map(|address| report_with("Address", &format!("{address:?}"))));
    reports
}

/// Guards against an entry that ends the instances, stops them from following the targets, or draws keys to a
/// target that is none.
#[tokio::test(flavor = "multi_thread")]
async fn odd_reports_of_targets_are_skipped_and_the_others_are_followed() {
    let deployment = Deployment::start(2, 2, 2, PROCESSING_TIME).await;
    for (index, report) in odd_reports().iter().enumerate() {
        let key = format!("odd{index}");
        deployment.store.put("servers", &key, report.as_bytes());
    }
    sleep(Duration::from_secs(3)).await;
    for (index, instance) in deployment.instances.iter().enumerate() {
        for key in (0..65_536u64).step_by(4099) {
            let request = removal_request(&format!("r{index}-{key}"), key);
            let response = instance.send(request).await.expect("a response");
            assert_eq!(response.status, StatusCode::OK, "key {key}");
        }
    }
    // Targets that come and go later are still followed.
    let target = ScriptedTarget::start(|request| request.answer().into()).await;
    deployment.hand_over_boards(&target).await;
    wait_until(|| async {
        let response = deployment.instances[1]
            .send(lookup_request("later", 7))
            .await;
        response.is_some_and(|it| it.status == StatusCode::OK)
    })
    .await;
}

/// Guards against memory and logs that grow with the length of what cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn long_odd_reports_do_not_exhaust_the_memory() {
    let deployment = Deployment::start(1, 2, 2, PROCESSING_TIME).await;
    let length = MAX_ROW_BYTES - 400;
    let texts = [
        "\\u0001".repeat(length / 6),
        "\u{e0001}".repeat(length / 4),
        "x".repeat(length),
    ];
    let fields = ["Address", "State", "ColdRemaining", "Service", "Zone"];
    for index in 0..LONG_ROWS {
        let json = format!(r#""{}""#, texts[index % texts.len()]);
        let report = report_with(fields[index % fields.len()], &json);
        let key = format!("odd{index}");
        deployment.store.put("servers", &key, report.as_bytes());
    }
    sleep(READ_TIME).await;
    let instance = &deployment.instances[0];
    let peak = instance.peak_memory();
    assert!(peak < INSTANCE_MEMORY_BYTES, "{peak} bytes");
    let longest = instance.log().lines().map(str::len).max();
    assert!(longest < Some(MAX_LOG_LINE_BYTES), "{longest:?} bytes");
    let response = instance.send(removal_request("after", 7)).await;
    assert_eq!(response.expect("a response").status, StatusCode::OK);
}
