//! The checks of the promises find what they are made for, and nothing in a good run.

use {
    cowslip_decide::verdict::{Priority, Verdict},
    cowslip_standins::{
        caller::{Fault, Kind, Plan, Sent, start},
        measures::{Evidence, Promise, Withdrawal, check, churn, gaps, imbalance},
        target::{
            options::{Faults, Options},
            record::{Breach, Held, Record, Run},
            serve,
        },
    },
    std::time::Duration,
    tokio::net::TcpListener,
};

fn kinds() -> Vec<Kind> {
    vec![Kind {
        service: "s".to_owned(),
        route: "removal".to_owned(),
        method: http::Method::POST,
        priority: Priority::Middle,
        repeatable: false,
        divided: true,
        deadline: Duration::from_secs(1),
        weight: 1.0,
    }]
}

fn sent(id: &str, at: u64, verdict: Verdict) -> Sent {
    Sent {
        id: id.to_owned(),
        kind: 0,
        key: "k1".to_owned(),
        keyed: true,
        sent: at,
        answered: at + 10,
        status: if verdict == Verdict::Ran { 200 } else { 503 },
        verdict: Some(verdict),
        reason: None,
        request: None,
        instance: None,
        fault: None,
    }
}

fn run(id: &str, start: u64, fence: u64) -> Run {
    Run {
        body: format!("{id} "),
        start,
        end: start + 5,
        fence,
        hash: 1,
        ..Run::default()
    }
}

fn held(fence: u64, from: u64, until: u64) -> Held {
    Held {
        service: "s".to_owned(),
        start: 0,
        end: u64::MAX,
        fence,
        from,
        until,
        ..Held::default()
    }
}

/// Two targets; the range passes from the first to the second at 100.
fn good() -> (Vec<Sent>, [Record; 2]) {
    let history = vec![
        sent("a", 10, Verdict::Ran),
        sent("b", 20, Verdict::NotRun),
        sent("c", 30, Verdict::MayHaveRun),
        sent("c", 40, Verdict::NotRun),
        sent("d", 200, Verdict::Ran),
    ];
    let record = |name: &str, runs: Vec<Run>, held| Record {
        name: name.to_owned(),
        service: "s".to_owned(),
        data_centre: format!("dc-{name}"),
        runs: runs.into(),
        held: vec![held],
        ..Record::default()
    };
    let first = record(
        "t1",
        vec![run("a", 12, 1), run("c", 32, 1)],
        held(1, 0, 100),
    );
    let second = record("t2", vec![run("d", 202, 2)], held(2, 100, 500));
    (history, [first, second])
}

fn broken(change: impl FnOnce(&mut Vec<Sent>, &mut [Record; 2])) -> Vec<Promise> {
    let (mut history, mut records) = good();
    change(&mut history, &mut records);
    let evidence = Evidence {
        kinds: &kinds(),
        history: &history,
        records: &records,
        withdrawals: &[Withdrawal {
            data_centre: "dc-t1".to_owned(),
            from: 50,
            until: 1000,
        }],
        notice: Duration::from_micros(50),
    };
    let mut found: Vec<_> = check(&evidence)
        .iter()
        .map(|broken| broken.promise)
        .collect();
    found.dedup();
    found
}

#[test]
fn every_broken_promise_is_found() {
    use Promise::*;
    assert_eq!(broken(|_, _| {}), []);
    assert_eq!(
        broken(|_, r| r[1].runs.push_back(run("a", 210, 2))),
        [OnceOnly]
    );
    assert_eq!(
        broken(|_, r| r[0].runs.push_back(run("b", 22, 1))),
        [TrueRefusal]
    );
    assert_eq!(
        broken(|h, _| h.push(sent("e", 5, Verdict::Ran))),
        [TrueAnswer]
    );
    assert_eq!(broken(|_, r| r[0].held[0].until = 101), [OneOwner]);
    assert_eq!(broken(|_, r| r[1].runs[0].fence = 0), []);
    assert_eq!(broken(|_, r| r[0].runs[1].fence = 3), [OneOwner]);
    assert_eq!(broken(|_, r| r[0].runs[1].end = 203), [OneOwner]);
    assert_eq!(
        broken(|_, r| r[0].breaches.push(Breach::default())),
        [ColdLimit]
    );
    assert_eq!(
        broken(|_, r| r[0].runs.push_back(run("x", 101, 1))),
        [NoNewWork]
    );
    assert_eq!(broken(|_, r| r[1].leaving = Some(100)), [NoNewWork]);
    assert_eq!(
        broken(|h, _| h[0].fault = Some(Fault::Foreign)),
        [OwnAnswer]
    );
    assert_eq!(broken(|h, _| h[1].verdict = None), []);
}

#[test]
fn measures_count_what_happened() {
    let (history, records) = good();
    assert_eq!(imbalance(&records, 0, 1000)["s"], 4.0 / 3.0);
    assert_eq!(churn(&records, 50, 1000)["s"], 1.0);
    let gaps = gaps(&kinds(), &history, 0, 1000)["s"];
    assert_eq!((gaps.count, gaps.longest), (1, Duration::from_micros(190)));
}

#[tokio::test(flavor = "current_thread")]
async fn load_on_a_faulty_target_keeps_a_true_history() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let options = Options {
        cold: false,
        checks_fence: false,
        service: "s".to_owned(),
        service_time: Duration::from_millis(1),
        ..Options::default()
    };
    let target = serve(listener, options).await.unwrap();
    target.switch(&Faults {
        cut: Some(0.2),
        ..Faults::default()
    });
    let plan = Plan {
        entries: vec![target.address],
        kinds: kinds(),
        rate: 500.0,
        time: Duration::from_millis(600),
        repeats: 0.0,
        direct: true,
        ..Plan::default()
    };
    let load = start(&plan);
    let joined = tokio::task::spawn_blocking(|| load.join()).await.unwrap();
    let tally = joined.unwrap();
    let reports = tally.reports(&plan.kinds);
    let all = tally.history.len() as u64;
    assert!((299..=301).contains(&all));
    let lost = reports[0].faults[&Fault::Lost];
    assert!(lost > 0 && reports[0].ran + reports[0].not_run + lost == all);
    let evidence = Evidence {
        kinds: &plan.kinds,
        history: &tally.history,
        records: &[target.record()],
        withdrawals: &[],
        notice: Duration::ZERO,
    };
    assert_eq!(check(&evidence), []);
}
